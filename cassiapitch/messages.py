"""Messages between entries and control members, and between control members.

`Link` messages travel on the RPC stream `Hub/Link` between an entry and a control
member; `Relay` messages travel between a control member and the leader.
"""

import msgspec

from cassiapitch import codec
from cassiapitch.brittle_backends import BrittleReport
from cassiapitch.load_messages import AnswerSample, KindTimes, KnownSpeed, RankLoad
from cassiapitch.settings import Address, ControlPeer
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

# The view: the part of the replicated state that entries receive.


class ViewSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """One part of a snapshot of the whole view at log index `index`.

    Attributes:
        index: Log index that the view reflects.
        items: Items of this part as MessagePack, by name.
        first: Whether this is the first part of a snapshot.
        last: Whether this is the last part; the entry then applies the snapshot.
    """

    index: int
    items: dict[str, bytes]
    first: bool
    last: bool


class ViewDelta(msgspec.Struct, frozen=True, array_like=True):
    """Changes of the view by one or more log entries; applied as a whole.

    Attributes:
        previous_index: Index of the view that the delta applies to.
        index: Index of the view afterwards.
        upserts: Items that are new or changed.
        deletes: Names of removed items.
    """

    previous_index: int
    index: int
    upserts: dict[str, bytes]
    deletes: tuple[str, ...]


# Link, entry to control member.


class LinkHello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a link.

    Attributes:
        entry: Name of the entry.
        life_id: Random identifier of this run of the entry.
        cluster: Name of the deployment.
        zone: Availability zone of the entry.
        applied_index: Index of the entry's view, 0 if it has none.
        primary: Whether this link carries rate requests, claims and reports.
        wants_members: Whether the entry wants the list of control members, since its
            settings only name some of them.
        tunnel_address: Where the entry accepts tunnels of other entries; None if it
            doesn't.
        accepts_zlib: Whether the entry reads messages that are compressed by
            themselves (`compression.compress_alone`).
    """

    entry: str
    life_id: str
    cluster: str
    zone: str
    applied_index: int
    primary: bool
    wants_members: bool = False
    tunnel_address: Address | None = None
    accepts_zlib: bool = False


class ControlMembers(msgspec.Struct, frozen=True, array_like=True):
    """All members of the control group, for entries that know only some of them."""

    members: tuple[ControlPeer, ...]


class ConfirmAsk(msgspec.Struct, frozen=True, array_like=True):
    """Requests a confirmation that the entry's view is current."""

    sequence: int


class GrantAsk(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that one account needs at one entry.

    Attributes:
        account: The client account.
        needed_tokens: Tokens for calls that are waiting now.
        expected_tokens: Tokens for calls expected until the next request.
        largest_tokens: Cost of the largest waiting call, 0 for none.
    """

    account: AccountName
    needed_tokens: int
    expected_tokens: int
    largest_tokens: int


class Refund(msgspec.Struct, frozen=True, array_like=True):
    """Tokens of a grant that were not used.

    Attributes:
        account: The client account.
        tokens: Number of tokens that are returned.
        term: Term of the granter that issued the grant.
        granted_ms: Time at which it was issued, by that granter's clock.
    """

    account: AccountName
    tokens: int
    term: int
    granted_ms: int


class RateAsk(msgspec.Struct, frozen=True, array_like=True):
    """Requests tokens from the granter and returns unused ones.

    Attributes:
        entry: Name of the requesting entry.
        life_id: Run of the entry. With `sequence` it identifies the request, so that
            refunds are credited once.
        sequence: Number of this request; the answer carries the same one. Increases
            by one with each request of this run.
        asks: Tokens that each account needs.
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
        sequence: Number of this request on the link.
        account: The client account, empty on an open route.
        key_digest: Digest of account, route and `Idempotency-Key`.
        request_digest: Digest of the request's content.
        holder: Identifier of the claiming call, unique across all entries.
        lifetime_ms: Time after which a claim without an outcome becomes `unknown`.
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
    """Releases a claim of a call that certainly didn't run."""

    sequence: int
    account: AccountName
    key_digest: str
    holder: str


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a backend server crashed while it ran these requests.

    The requests become suspects, see `suspects`.
    """

    sequence: int
    backend: BackendName
    life_id: LifeId
    digests: tuple[RequestDigest, ...]


class SuspectCleared(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a suspect request was completed without a crash.

    Attributes:
        sequence: Number of the message.
        digest: Digest of the suspect request.
        lives: Incarnations whose crashes were known when the run began. Later crashes
            aren't cleared, even if this message is repeated late.
    """

    sequence: int
    digest: RequestDigest
    lives: tuple[LifeId, ...] = ()


class SuspectRunAsk(msgspec.Struct, frozen=True, array_like=True):
    """Claims an incarnation of a backend server before a suspect request is sent to it.

    Attributes:
        sequence: Number of this request on the link.
        digest: Digest of the suspect request.
        life_id: Incarnation that it is to run on.
        holder: Identifier of the call that runs it.
    """

    sequence: int
    digest: RequestDigest
    life_id: LifeId
    holder: str


class SuspectRunEnded(msgspec.Struct, frozen=True, array_like=True):
    """Ends the claim of a suspect's run on an incarnation."""

    sequence: int
    life_id: LifeId
    holder: str


class ModelDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand for one model at one entry since its last report.

    Attributes:
        model: The model or adapter.
        priority: Urgent or batch.
        arrived_count: Requests for it that arrived.
        waiting_count: Requests that are waiting for a loaded copy now.
        oldest_wait_ms: Longest waiting time among them.
        tokens: Prompt and generated tokens.
        rank: Priority rank, 0 first.
    """

    model: ModelName
    priority: Priority
    arrived_count: int
    waiting_count: int
    oldest_wait_ms: int
    tokens: int
    rank: int = 0


class InFlight(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one entry that are in flight at an incarnation of a backend server.

    Attributes:
        life_id: The incarnation, which is one run of a backend server.
        count: Number of requests.
        pending_tokens: Prompt tokens of the requests without a first token yet.
        served_tokens: Prompt tokens of those whose first token has come since the last
            report.
        served_count: Requests that have ended since the last report.
        rank_tokens: `pending_tokens` by priority rank, as pairs. Empty without signs of
            a shortage, and from earlier builds.
        tokens_per_s: Speed at which the incarnation processed prompts of this entry; 0
            if not known, and from earlier builds.
    """

    life_id: LifeId
    count: int
    pending_tokens: int = 0
    served_tokens: int = 0
    served_count: int = 0
    rank_tokens: tuple[tuple[int, int], ...] = ()
    tokens_per_s: int = 0


class DemandReport(msgspec.Struct, frozen=True, array_like=True):
    """An entry's demand, and what it observed of backend servers.

    Attributes:
        entry: Name of the entry.
        demands: Demand by model and priority rank.
        refused_backends: Incarnations that refused connections.
        in_flight: Its requests in flight by incarnation.
        leaving_backends: Incarnations whose HTTP responses said that they are leaving.
        pauses_ms: Rest of the pauses that incarnations asked for since the last report.
        brittle: Brittle incarnations that it heard of since the last report.
        rank_loads: Its load by queue, priority rank and client account.
        answer_samples: What it saw of answers, by incarnation.
        kind_times: Longest times of kinds of requests since it last reported them.
    """

    entry: str
    demands: tuple[ModelDemand, ...]
    refused_backends: tuple[LifeId, ...]
    in_flight: tuple[InFlight, ...] = ()
    leaving_backends: tuple[LifeId, ...] = ()
    pauses_ms: dict[LifeId, int] = {}
    brittle: tuple[BrittleReport, ...] = ()
    rank_loads: tuple[RankLoad, ...] = ()
    answer_samples: tuple[AnswerSample, ...] = ()
    kind_times: tuple[KindTimes, ...] = ()


# Link, control member to entry.


class Confirmed(msgspec.Struct, frozen=True, array_like=True):
    """A quorum confirmed, after the request, that `index` is current."""

    sequence: int
    index: int


class Grant(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that an entry may spend for an account.

    Attributes:
        account: The client account.
        tokens: Number of tokens.
        life_ms: Validity, counted from the time of the entry's request.
        term: Term of the granter.
        granted_ms: Time of the grant by the granter's clock; repeated in refunds.
        wait_ms: If `tokens` is less than needed: time until the rest can be
            available if no other entry takes it. None if everything was granted.
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
        sequence: Sequence of the request.
        state: None if the control group couldn't decide in time.
        status: HTTP status of a finished claim.
        content_type: Content type of its body.
        body: Its body; None if it is not kept.
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
        crash_counts: Known crashes of each reported digest, in order.
    """

    sequence: int
    recorded: bool
    crash_counts: tuple[int, ...]


class SuspectRunAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `SuspectRunAsk` and `SuspectRunEnded`.

    Attributes:
        sequence: Sequence of the request.
        outcome: None if the control group couldn't decide in time.
    """

    sequence: int
    outcome: SuspectRunOutcome | None


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server some time ago.

    Either announced by the backend server or summed over the entries.
    """

    name: BackendName
    life_id: LifeId
    running_count: int
    waiting_count: int
    cached_prefixes: tuple[str, ...]
    pending_tokens: int = 0


class LoadReports(msgspec.Struct, frozen=True, array_like=True):
    """Load reports since the last message, and expected times of model loads.

    Attributes:
        reports: Reports of backend servers that announced themselves since; in a
            large fleet only some of those with cached prefixes.
        expected_ms: Maps a model without a serving copy to the time until one is
            expected.
        counts: Packed request counts of further backend servers, see
            `load_report_queue`.
        entries_count: Number of entries that reported to the leader; 0 in its first
            seconds, while it doesn't know them all.
        pauses_ms: Rest of the pauses that incarnations asked of any entry.
        brittle: Brittle incarnations.
        admission: Packed admission levels of what is short of capacity.
        speeds: Packed speeds of backend servers.
        kind_times: Longest times of kinds of requests, of all entries; some of them.
        paced: Packed tags of all incarnations that get prompts with permits only, see
            `prompt_pacing`.
        role_speeds: Speeds of engines by role, for the next leader; every few seconds.
    """

    reports: tuple[LoadReport, ...]
    expected_ms: dict[ModelName, int]
    counts: bytes = b""
    entries_count: int = 0
    pauses_ms: dict[LifeId, int] = {}
    brittle: tuple[BrittleReport, ...] = ()
    admission: bytes = b""
    speeds: bytes = b""
    kind_times: tuple[KindTimes, ...] = ()
    paced: bytes = b""
    role_speeds: tuple[KnownSpeed, ...] = ()


class LinkRefused(msgspec.Struct, frozen=True, array_like=True):
    """The member refuses the link; `reason` says why."""

    reason: str


# Relay, between control members: members forward what only the leader handles.


class RelayHello(msgspec.Struct, frozen=True, array_like=True):
    """First message of a relay stream, from a member to the leader.

    Attributes:
        member: Name of the member.
        cluster: Name of the deployment.
        accepts_zlib: Whether the member reads compressed messages, and sends them once
            it has received one. False from earlier builds.
    """

    member: str
    cluster: str
    accepts_zlib: bool = False


class RelayBatch(msgspec.Struct, frozen=True, array_like=True):
    """A batch of encoded messages, in either direction.

    To the leader: `RateAsk`, `PermitAsk`, `DemandReport`, `Announcement` and
    `LinkedEntries`. From the leader: `RelayedGrants`, `RelayedPermits`, `LoadReports`
    and `AllEntries`. An empty batch that is compressed tells the member that the leader
    reads compressed ones.
    """

    messages: tuple[bytes, ...]


class RelayedGrants(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a relayed `RateAsk`, to be sent on the entry's link."""

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
