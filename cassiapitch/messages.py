"""Messages between the system's own processes: frozen data classes.

Directions are given from the point of view of an entry: `Link` messages travel on
`Hub/Link` between an entry and a control member.
"""

import msgspec

from cassiapitch import codec
from cassiapitch.settings import ControlPeer
from cassiapitch.types import (
    AccountName,
    BackendName,
    ClaimState,
    LifeId,
    ModelName,
    Priority,
    RequestDigest,
    SuspectRunOutcome,
)

# The view: what entries know of the replicated state.


class ViewSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """The whole view as of `index`; `last` is false on all parts but the final one.

    Attributes:
        index: Log index that the view reflects.
        items: Maps item names to MessagePack bytes.
        first: Whether this part begins a new snapshot.
        last: Whether this part ends the snapshot; only then it is applied.
    """

    index: int
    items: dict[str, bytes]
    first: bool
    last: bool


class ViewDelta(msgspec.Struct, frozen=True, array_like=True):
    """What one or more log entries changed; applied as a whole.

    Attributes:
        previous_index: Index of the view that the delta applies to.
        index: Index of the view afterwards.
        upserts: Items that are new or changed.
        deletes: Names of items that are gone.
    """

    previous_index: int
    index: int
    upserts: dict[str, bytes]
    deletes: tuple[str, ...]


# Link, entry to control member.


class LinkHello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a link.

    Attributes:
        entry: The entry's name.
        life_id: Random identity of this run of the entry.
        cluster: Name of the deployment.
        zone: Availability zone of the entry.
        applied_index: Index of the entry's view, 0 for none.
        primary: Whether this link carries rate asks, claims and reports.
        wants_members: Whether the entry has no list of the control members.
    """

    entry: str
    life_id: str
    cluster: str
    zone: str
    applied_index: int
    primary: bool
    wants_members: bool = False


class ControlMembers(msgspec.Struct, frozen=True, array_like=True):
    """The members of the control group, for entries that know only some."""

    members: tuple[ControlPeer, ...]


class ConfirmAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a confirmation that the entry's view is current."""

    sequence: int


class GrantAsk(msgspec.Struct, frozen=True, array_like=True):
    """What one account needs at one entry.

    Attributes:
        account: The client account.
        needed_tokens: For calls that wait now.
        expected_tokens: For calls expected until the next ask.
        largest_tokens: Cost of the largest call that waits, 0 for none.
    """

    account: AccountName
    needed_tokens: int
    expected_tokens: int
    largest_tokens: int


class Refund(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of a grant that were not used.

    Attributes:
        account: The client account.
        tokens: How many tokens come back.
        term: Term of the granter that issued the grant.
        granted_ms: When it was issued, on that granter's clock.
    """

    account: AccountName
    tokens: int
    term: int
    granted_ms: int


class RateAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the granter for tokens and returns unused ones.

    Attributes:
        entry: The asking entry's name.
        life_id: Its run, so that refunds of a sequence are credited once.
        sequence: Number of this ask; its answer carries the same one. Grows by
            one with each ask of this run.
        asks: What each account needs.
        refunds: Unused tokens, delivered at most once.
    """

    entry: str
    life_id: str
    sequence: int
    asks: tuple[GrantAsk, ...]
    refunds: tuple[Refund, ...]


class ClaimAsk(msgspec.Struct, frozen=True, array_like=True):
    """Claims an idempotency key before a non-idempotent call is sent.

    Attributes:
        sequence: Number of this ask on the link.
        account: The client account, empty on an open route.
        key_digest: Digest of account, route and `Idempotency-Key`.
        request_digest: Digest of the request's content.
        holder: Identity of the claiming call, unique over all entries.
        lifetime_ms: Time after which a claim without an outcome is `unknown`.
    """

    sequence: int
    account: AccountName
    key_digest: str
    request_digest: str
    holder: str
    lifetime_ms: int


class ClaimFinish(msgspec.Struct, frozen=True, array_like=True):
    """Stores the outcome of a claimed call."""

    sequence: int
    account: AccountName
    key_digest: str
    holder: str
    status: int
    content_type: str
    body: bytes


class ClaimRelease(msgspec.Struct, frozen=True, array_like=True):
    """Gives a claim back: the call provably did not run."""

    sequence: int
    account: AccountName
    key_digest: str
    holder: str


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server crashed while these requests ran on it."""

    sequence: int
    backend: BackendName
    life_id: LifeId
    digests: tuple[RequestDigest, ...]


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True):
    """A suspect ran to its end without a crash.

    Attributes:
        sequence: Number of the message.
        digest: The suspect.
        lives: Lives whose crashes were known when the run began. A late repeat of
            this message leaves later crashes alone.
    """

    sequence: int
    digest: RequestDigest
    lives: tuple[LifeId, ...] = ()


class SuspectRunAsk(msgspec.Struct, frozen=True, array_like=True):
    """Claims a life of a backend server before a suspect is sent to it.

    Attributes:
        sequence: Number of this ask on the link.
        digest: The suspect.
        life_id: The life that it is to run on.
        holder: The call that runs it.
    """

    sequence: int
    digest: RequestDigest
    life_id: LifeId
    holder: str


class SuspectRunEnded(msgspec.Struct, frozen=True, array_like=True):
    """Ends the claim of a suspect's run."""

    sequence: int
    life_id: LifeId
    holder: str


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one model at one entry since its last report.

    Attributes:
        model: The model.
        priority: Urgent or batch.
        arrived_count: Requests that asked for it.
        waiting_count: Requests that wait for a copy now.
        oldest_wait_ms: Longest wait among them.
        tokens: Prompt and generated tokens.
    """

    model: ModelName
    priority: Priority
    arrived_count: int
    waiting_count: int
    oldest_wait_ms: int
    tokens: int


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one entry that a life of a backend server has.

    Attributes:
        life_id: The life.
        count: The requests.
        pending_tokens: Prompt tokens of those without a first token yet.
    """

    life_id: LifeId
    count: int
    pending_tokens: int = 0


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's demand, and what it has learned of backend servers.

    Attributes:
        entry: The entry's name.
        demands: Demand by model and priority.
        refused_backends: Lives that refused connections.
        in_flight: Its requests at lives.
        leaving_backends: Lives that said in an answer that they leave.
    """

    entry: str
    demands: tuple[ModelDemand, ...]
    refused_backends: tuple[LifeId, ...]
    in_flight: tuple[InFlight, ...] = ()
    leaving_backends: tuple[LifeId, ...] = ()


# Link, control member to entry.


class Confirmed(msgspec.Struct, frozen=True, array_like=True):
    """A quorum confirmed after the ask that `index` is current."""

    sequence: int
    index: int


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that an entry may admit for an account.

    Attributes:
        account: The client account.
        tokens: How many.
        life_ms: Validity, from the moment the entry asked.
        term: Term of the granter.
        granted_ms: When it was issued, on the granter's clock; for refunds.
        wait_ms: Where `tokens` covers less than was needed: time until the rest
            can be there if nobody else takes it; None if everything was given.
    """

    account: AccountName
    tokens: int
    life_ms: int
    term: int
    granted_ms: int
    wait_ms: int | None = None


class RateGrants(msgspec.Struct, frozen=True, array_like=True):
    """Answers the `RateAsk` with the same sequence."""

    sequence: int
    grants: tuple[Grant, ...]


class ClaimAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `ClaimAsk`, `ClaimFinish` and `ClaimRelease`.

    Attributes:
        sequence: Sequence of the ask.
        state: None if the control group could not decide in time.
        status: HTTP status of a finished claim.
        content_type: Content type of its body.
        body: Its body; None if it was too large to keep.
    """

    sequence: int
    state: ClaimState | None
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


class CrashAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `CrashReport` and `SuspectCleared`.

    Attributes:
        sequence: Sequence of the report.
        recorded: Whether the report is in the log.
        crash_counts: Crashes now known for each reported digest, in order.
    """

    sequence: int
    recorded: bool
    crash_counts: tuple[int, ...]


class SuspectRunAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `SuspectRunAsk` and `SuspectRunEnded`.

    Attributes:
        sequence: Sequence of the ask.
        outcome: None if the control group could not decide in time.
    """

    sequence: int
    outcome: SuspectRunOutcome | None


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """A backend server's own, lagging report."""

    name: BackendName
    life_id: LifeId
    running_count: int
    waiting_count: int
    cached_prefixes: tuple[str, ...]
    pending_tokens: int = 0


class LoadReports(msgspec.Struct, frozen=True, array_like=True):
    """Reports that are new since the last message, and loads under way.

    Attributes:
        reports: For backend servers that announced themselves anew; in a large
            fleet only some of them, with cached prefixes.
        expected_ms: Maps a model without a serving copy to the time until one is
            expected.
        counts: Packed loads of further backend servers, see `load_report_queue`.
        entries_count: Entries that the leader has heard of; 0 while it is new.
    """

    reports: tuple[LoadReport, ...]
    expected_ms: dict[ModelName, int]
    counts: bytes = b""
    entries_count: int = 0


class LinkRefused(msgspec.Struct, frozen=True, array_like=True):
    """The member can't serve this link; `reason` says why."""

    reason: str


# Relay, between control members: a member passes on what only the leader handles.


class RelayHello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a relay stream, from a member to the leader."""

    member: str
    cluster: str


class RelayBatch(msgspec.Struct, frozen=True, array_like=True):
    """Encoded messages in one, in either direction.

    To the leader: `RateAsk`, `DemandReport` and `Announcement`. From the leader:
    `RelayedGrants` and `LoadReports`.
    """

    messages: tuple[bytes, ...]


class RelayedGrants(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a relayed `RateAsk`, to be passed on to the entry's link."""

    entry: str
    life_id: str
    grants: RateGrants


REGISTERED_TYPES = (
    ViewSnapshot,
    ViewDelta,
    LinkHello,
    ControlMembers,
    ConfirmAsk,
    RateAsk,
    ClaimAsk,
    ClaimFinish,
    ClaimRelease,
    CrashReport,
    SuspectCleared,
    SuspectRunAsk,
    SuspectRunEnded,
    SuspectRunAnswer,
    DemandReport,
    Confirmed,
    RateGrants,
    ClaimAnswer,
    CrashAnswer,
    LoadReports,
    LinkRefused,
    RelayHello,
    RelayBatch,
    RelayedGrants,
)
codec.register(REGISTERED_TYPES)
