"""Types and helpers that the modules for forwarded requests share."""

import dataclasses
import hashlib

from cassiapitch import timers
from cassiapitch.caller_connection import CallerRequest
from cassiapitch.error_kinds import ERROR_RESPONSES, ErrorKind, RunOutcome
from cassiapitch.forwardroutes import ForwardRoute
from cassiapitch.header_codec import CallerHead
from cassiapitch.part_reports import PartRun
from cassiapitch.rate_budget import Admitted
from cassiapitch.retries import RequestProgress
from cassiapitch.service_times import ServiceRun
from cassiapitch.stop_admission import StopDecision
from cassiapitch.types import LifeId, PartDigest, RequestDigest
from cassiapitch.viewitems import AccountItem, BackendItem

# From this status on, a request that may be repeated is retried elsewhere.
SERVER_ERROR_STATUS = 500
# Statuses that promise the caller that its request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class RefusedError(Exception):
    """The request is refused; the entry responds with the error kind."""

    def __init__(
        self,
        kind: ErrorKind,
        retry_after_ms: int | None = None,
        stop_decision: StopDecision | None = None,
    ) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.retry_after_ms = retry_after_ms
        self.stop_decision = stop_decision


class StreamCutError(Exception):
    """A response that has begun can't be completed."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSource:
    """What began a stream; only such backend servers may continue it.

    Attributes:
        role: Role of the backend server.
        version: Its software version.
    """

    role: str
    version: str

    def matches(self, backend: BackendItem) -> bool:
        """Returns whether a backend server may continue the stream."""
        return backend.role == self.role and backend.software_version == self.version


@dataclasses.dataclass(slots=True, eq=False)
class ForwardCall:
    """One forwarded request and its state.

    Attributes:
        request: The request as received.
        head: What its headers say.
        route: Its route.
        account: Its client account; None on an open route.
        progress: How far it was sent to backend servers.
        arrived_ms: When it had arrived whole.
        deadline_ms: When it gets its final response at the latest.
        backends: Names of the backend servers that it was sent to.
        versions: Software versions of those that sent events of its stream.
        sent_count: How often it was written to a backend server.
        status: Status of the response to the caller.
        outcome: How it ended, for the log.
        last_event_id: Number of the last event that was sent to the caller.
        first_byte_ms: When the response began.
        is_broken: Whether the caller's response is missing or incomplete.
        request_key: Id that is unique in this entry.
        cost_tokens: Tokens that it costs its account.
        admitted_ms: When rate limiting admitted or refused it.
        longest_gap_ms: Longest pause between two pieces of a streamed response.
        admitted: What it took of its account's rate grants.
        placed_ms: When it last got a slot at a backend server.
        placed_at: That backend server.
        service_begun_ms: When it got the slot of the first attempt that was sent.
        events_count: Events that its caller was sent.
        shared_parts: Digests of the parts of its prompt that others may share.
        part_run: Its current attempt, for the evidence about these parts.
        has_attempt_begun: Whether this attempt has begun to be answered.
        source: What began its stream; None as long as that isn't known.
        reported_versions: Versions that the log may name as what began its stream.
        stop_decision: Why it was served or refused during a planned stop.
        is_tunneled: Whether its last attempt went through another entry.
        failed_lives: Incarnations that were not reached or broke off an attempt.
    """

    request: CallerRequest
    head: CallerHead
    route: ForwardRoute
    account: AccountItem | None
    progress: RequestProgress
    arrived_ms: int
    deadline_ms: int
    backends: list[str] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)
    sent_count: int = 0
    status: int = 0
    outcome: str = ""
    last_event_id: int | None = None
    first_byte_ms: int | None = None
    is_broken: bool = False
    request_key: str = ""
    cost_tokens: int = 0
    admitted_ms: int | None = None
    longest_gap_ms: int = 0
    admitted: Admitted | None = None
    placed_ms: int | None = None
    placed_at: BackendItem | None = None
    service_begun_ms: int | None = None
    events_count: int = 0
    shared_parts: tuple[PartDigest, ...] = ()
    part_run: PartRun | None = None
    has_attempt_begun: bool = False
    source: StreamSource | None = None
    reported_versions: set[str] = dataclasses.field(default_factory=set)
    stop_decision: StopDecision | None = None
    is_tunneled: bool = False
    failed_lives: set[LifeId] = dataclasses.field(default_factory=set)

    def left_ms(self) -> int:
        """Returns the time until the deadline, negative after it."""
        return self.deadline_ms - timers.now_ms()


def service_run(call: ForwardCall, now_ms: int) -> ServiceRun:
    """Returns what a request shows of service times so far."""
    service_begun_ms = call.service_begun_ms or now_ms
    answer_begun_ms = call.first_byte_ms or now_ms
    backend = call.placed_at
    # Several attempts don't show the pace of the last one's backend server.
    has_pace = backend is not None and call.sent_count <= 1
    return ServiceRun(
        kind=call.route.name,
        role=call.route.targets[0].role if backend is None else backend.role,
        life_id=backend.life_id if backend is not None and has_pace else None,
        stated_tokens=call.head.answer_tokens if call.route.is_stream else 0,
        begin_ms=answer_begun_ms - service_begun_ms,
        rest_ms=now_ms - answer_begun_ms,
        events_count=call.events_count,
        is_begun=call.first_byte_ms is not None,
    )


def refusal_status(kind: ErrorKind, *, may_have_run: bool) -> int:
    """Returns the HTTP status of a refusal.

    429 and 503 promise that the request has not run and never will; 502 and 504
    leave open whether it ran.
    """
    response = ERROR_RESPONSES[kind]
    if kind is ErrorKind.DEADLINE_EXCEEDED:
        return 504 if may_have_run else 503
    if may_have_run:
        return 502
    is_not_executed = response.outcome is RunOutcome.NOT_RUN
    if response.status in (400, 401, 404, 408, 413, 429, 431):
        return response.status
    return 503 if is_not_executed or kind is ErrorKind.BACKEND_SERVER_FAILED else 502


def request_digest(call: ForwardCall) -> RequestDigest:
    """Returns the digest by which repeats of one request are recognised."""
    content = hashlib.sha256()
    account = "" if call.account is None else call.account.name
    for part in (account.encode(), call.request.method, call.request.target):
        content.update(part + b"\0")
    content.update(call.request.body)
    return RequestDigest(content.hexdigest())
