"""Commands of the replicated log and their results.

Commands are idempotent: one whose result was lost can be proposed again with the same
content and then gets the result of the first time. `author` is the operator who
requested a change.
"""

import dataclasses

from cassiapitch import codec
from cassiapitch.bundle import Bundle
from cassiapitch.origin_messages import StreamOrigin
from cassiapitch.types import (
    AccountName,
    ClaimState,
    LifeId,
    PartDigest,
    RequestDigest,
    StreamDigest,
    SuspectRunOutcome,
)


@dataclasses.dataclass(frozen=True, slots=True)
class PutBundle:
    """Replaces the bundle in force.

    The signature was checked before the command was proposed, because the operators
    in the members' settings may differ while they are being replaced. It is kept for
    audits. The command carries both the parsed bundle and its text, since parsing
    JSON with comments inside `apply` would block the leader's heartbeats for a large
    bundle.
    """

    bundle: Bundle
    content: str
    signature_hex: str
    operator: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class GrantKey:
    """Makes an API key valid for a client account."""

    sha256: str
    account: AccountName
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Revokes an API key permanently."""

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
    """Releases a claim of a call that certainly didn't run."""

    account: AccountName
    key_digest: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrash:
    """Records that a backend server's incarnation crashed while it ran these requests.

    The requests become suspects, see `suspects`. An incarnation is one run of a
    backend server, identified by `life_id`.
    """

    life_id: LifeId
    digests: tuple[RequestDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearSuspect:
    """Records that a suspect request was completed without a crash.

    Attributes:
        digest: Digest of the suspect request.
        lives: Incarnations whose crashes were known when the run began.
    """

    digest: RequestDigest
    lives: tuple[LifeId, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RecordFloors:
    """Guarantees that rate levels don't fall below floors until the next record.

    Attributes:
        term: Raft term of the granter.
        sequence: Number of the record in this term, from 1. The first one changes no
            floor: it fences off records of earlier terms and returns the floors.
        floors: Maps an account to its floor in microtokens; other accounts keep
            theirs. A floor below 0 means that the account has more in use than its
            burst allows.
        limits: Rate and burst in tokens for which each floor is valid.
    """

    term: int
    sequence: int
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSuspectRun:
    """Claims an incarnation of a backend server for one run of a suspect request."""

    digest: RequestDigest
    life_id: LifeId
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseSuspectRun:
    """Ends the claim of a suspect's run on an incarnation."""

    life_id: LifeId
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportPartCrash:
    """Reports the parts of prompts that may have crashed an incarnation.

    Attributes:
        life_id: The incarnation that crashed.
        requests: Shared parts, in order, of each of one entry's requests that ran
            there and had not begun to be answered.
        trusted: Those of the parts that the entry has seen answered before.
    """

    life_id: LifeId
    requests: tuple[tuple[PartDigest, ...], ...]
    trusted: tuple[PartDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ClearParts:
    """Reports that a request with these parts was answered to its end.

    Attributes:
        parts: The parts.
        known_index: Index of the view that the entry knew when it sent the request;
            0 if that isn't known.
    """

    parts: tuple[PartDigest, ...]
    known_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrigins:
    """Records which software version began streams."""

    origins: tuple[StreamOrigin, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FindOrigin:
    """Asks what began a stream; fields as in `origin_messages.OriginAsk`."""

    stream: StreamDigest
    roles: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpireRecords:
    """Removes expired records.

    Needed because the log's time advances only with log entries.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class CommandBatch:
    """Encoded commands that share one log entry and are applied in order."""

    commands: tuple[bytes, ...]


# Results.


@dataclasses.dataclass(frozen=True, slots=True)
class BundleAccepted:
    """The bundle is or was in force; a repeated command gets the same result."""

    version: int
    digest: str
    author: str
    index: int
    warnings: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BundleRefused:
    """The bundle is invalid."""

    faults: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """Another bundle was accepted with this version."""

    version: int
    digest: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class VersionSuperseded:
    """A newer version is in force; all fields describe that version."""

    version: int
    digest: str
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChanged:
    """The change of the key has been in force since log index `index`."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefused:
    """The key can't be changed; `code` is machine-readable."""

    code: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimResult:
    """State of a claim after a command, with the stored outcome if it has one."""

    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectResult:
    """Crash counts of the digests in the command, in order."""

    crash_counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectRunResult:
    """Whether the suspect request may run on the claimed incarnation."""

    outcome: SuspectRunOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class PartCrashResult:
    """Those of the reported parts that are refused now."""

    refused: tuple[PartDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OriginResult:
    """What began a stream; None if that can't be proved, or wasn't asked."""

    role: str | None
    version: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class FloorsRecorded:
    """Floors in force; not accepted and empty if a later record was applied before."""

    accepted: bool
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """Expired records were removed."""


@dataclasses.dataclass(frozen=True, slots=True)
class BatchResult:
    """Encoded results of the commands of a batch, in order."""

    results: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CommandMalformed:
    """The command can't be decoded or isn't known; nothing was changed."""

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
    ReportPartCrash,
    ClearParts,
    PartCrashResult,
    RecordOrigins,
    FindOrigin,
    OriginResult,
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
