"""Commands of the replicated log and their results: frozen data classes.

A command that may have been applied can be proposed again with the same content:
its result is then the first one. `author` is the operator who asked for a change.
"""

import dataclasses

from cassiapitch import codec
from cassiapitch.bundle import Bundle
from cassiapitch.types import (
    AccountName,
    ClaimState,
    LifeId,
    RequestDigest,
    SuspectRunOutcome,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PutBundle:
    """Brings a bundle into force.

    The signature was checked before the command was proposed, because members'
    settings may differ while operators are exchanged; it is kept for audits. The
    parsed bundle travels with its text, since parsing JSON with comments inside
    `apply` would block the leader's heartbeats for a large bundle.
    """

    bundle: Bundle
    content: str
    signature_hex: str
    operator: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantKey:
    """Makes a key work for a client account."""

    sha256: str
    account: AccountName
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Stops a key for ever."""

    sha256: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claims an idempotency key; fields as in `messages.ClaimAsk`."""

    account: AccountName
    key_digest: str
    request_digest: str
    holder: str
    lifetime_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinishClaim:
    """Stores the outcome of a claimed call."""

    account: AccountName
    key_digest: str
    holder: str
    status: int
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseClaim:
    """Gives a claim back: the call provably did not run."""

    account: AccountName
    key_digest: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """A life of a backend server crashed while these requests ran on it."""

    life_id: LifeId
    digests: tuple[RequestDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """A suspect request ran to its end without a crash.

    Attributes:
        digest: The suspect.
        lives: Lives whose crashes were known when the run began.
    """

    digest: RequestDigest
    lives: tuple[LifeId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFloors:
    """Promises that rate levels don't go below floors until the next record.

    Attributes:
        term: Term of the granter.
        sequence: Number of the record in this term, from 1. The first one changes
            nothing: it fences off records of earlier terms and reads the floors.
        floors: Maps an account to its floor in microtokens; others keep theirs. One
            below 0 says that the account has more in use than its burst allows.
        limits: Rate and burst in tokens that each floor holds under.
    """

    term: int
    sequence: int
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSuspectRun:
    """Claims a life of a backend server for one run of a suspect."""

    digest: RequestDigest
    life_id: LifeId
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSuspectRun:
    """Ends the claim of a run."""

    life_id: LifeId
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Ends what is past its time; log time advances only with log entries."""


@dataclasses.dataclass(frozen=True, slots=True)
class CommandBatch:
    """Several encoded commands in one log entry, applied in order."""

    commands: tuple[bytes, ...]


# Results.


@dataclasses.dataclass(frozen=True, slots=True)
class BundleAccepted:
    """The bundle is or was in force; a repeated command gets the same answer."""

    version: int
    digest: str
    author: str
    index: int
    warnings: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleRefused:
    """The bundle has faults."""

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """Another bundle has this version."""

    version: int
    digest: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSuperseded:
    """A newer version is in force; `digest` and `author` are that one's."""

    version: int
    digest: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """The key's change is in force since `index`."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key's change is not possible; `code` is for programs."""

    code: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """The state of a claim after a command."""

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectResult:
    """Crash counts of the command's digests, in order."""

    crash_counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRunResult:
    """Whether the suspect may run on the claimed life."""

    outcome: SuspectRunOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class FloorsRecorded:
    """Floors in force, or none if the record came from an older granter."""

    accepted: bool
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Past records are gone."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchResult:
    """Encoded results of a batch, in order."""

    results: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommandMalformed:
    """No member understands the command; nothing was changed."""

    reason: str


REGISTERED_TYPES = (
    PutBundle,
    GrantKey,
    WithdrawKey,
    ClaimKey,
    FinishClaim,
    ReleaseClaim,
    ReportCrash,
    ClearSuspect,
    ClaimSuspectRun,
    ReleaseSuspectRun,
    SuspectRunResult,
    RecordFloors,
    ExpireRecords,
    CommandBatch,
    BundleAccepted,
    BundleRefused,
    VersionConflict,
    VersionSuperseded,
    KeyChanged,
    KeyRefused,
    ClaimResult,
    SuspectResult,
    FloorsRecorded,
    Expired,
    BatchResult,
    CommandMalformed,
)
codec.register(REGISTERED_TYPES)
