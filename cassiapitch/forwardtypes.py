"""What the modules of one forwarded request share."""

import dataclasses
import hashlib

from cassiapitch import timers
from cassiapitch.caller_connection import CallerRequest
from cassiapitch.error_kinds import ERROR_RESPONSES, ErrorKind, RunOutcome
from cassiapitch.forwardroutes import ForwardRoute
from cassiapitch.header_codec import CallerHead
from cassiapitch.rate_budget import Admitted
from cassiapitch.retries import RequestProgress
from cassiapitch.types import RequestDigest
from cassiapitch.viewitems import AccountItem

# Statuses from which a request that may run again is tried elsewhere.
SERVER_ERROR_STATUS = 500
# They promise that a request has not run and never will.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})


class RefusedError(Exception):
    """The request gets a refusal."""

    def __init__(self, kind: ErrorKind, retry_after_ms: int | None = None) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.retry_after_ms = retry_after_ms


class StreamCutError(Exception):
    """An answer that has begun can't be completed."""


@dataclasses.dataclass(slots=True, eq=False)
class ForwardCall:
    """One request and what has become of it.

    Attributes:
        request: The request as it came.
        head: What its headers say.
        route: Its route.
        account: Its client account; None on an open route.
        progress: What was sent of it.
        arrived_ms: When it had arrived whole.
        deadline_ms: When it gets its final answer at the latest.
        backends: Names of the backend servers that it was sent to.
        sent_count: How often it was written to a backend server.
        status: Status of its answer.
        outcome: How it ended, for the log.
        last_event_id: The last event that the caller has.
        first_byte_ms: When the answer began.
        is_broken: Whether it was cut after a part of its answer.
        request_key: Identity that is unique in this entry.
        cost_tokens: What it took of its account.
        admitted_ms: When its account had the tokens, or hadn't.
        longest_gap_ms: Longest pause between two pieces of its answer.
        admitted: What it took of its account's grants.
        placed_ms: When it got its last place at a backend server.
    """

    request: CallerRequest
    head: CallerHead
    route: ForwardRoute
    account: AccountItem | None
    progress: RequestProgress
    arrived_ms: int
    deadline_ms: int
    backends: list[str] = dataclasses.field(default_factory=list)
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

    def left_ms(self) -> int:
        """Returns the time until the deadline."""
        return self.deadline_ms - timers.now_ms()


def refusal_status(kind: ErrorKind, *, may_have_run: bool) -> int:
    """Returns the status of a refusal.

    429 and 503 promise that the request has not run and never will; 502 and 504
    promise nothing.
    """
    answer = ERROR_RESPONSES[kind]
    if kind is ErrorKind.DEADLINE_EXCEEDED:
        return 504 if may_have_run else 503
    if may_have_run:
        return 502
    is_not_executed = answer.outcome is RunOutcome.NOT_RUN
    if answer.status in (400, 401, 404, 408, 413, 429, 431):
        return answer.status
    return 503 if is_not_executed or kind is ErrorKind.BACKEND_SERVER_FAILED else 502


def request_digest(call: ForwardCall) -> RequestDigest:
    """Returns the digest by which repeats of one request are recognised."""
    content = hashlib.sha256()
    account = "" if call.account is None else call.account.name
    for part in (account.encode(), call.request.method, call.request.target):
        content.update(part + b"\0")
    content.update(call.request.body)
    return RequestDigest(content.hexdigest())
