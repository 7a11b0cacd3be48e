"""Calls in progress: their state, authorisation checks and refusals."""

import dataclasses

import anyio

from cassiapitch import events, metrics
from cassiapitch.asgi import BodyBufferReservation
from cassiapitch.catalog import ViewCatalog
from cassiapitch.error_kinds import ErrorKind, Refusal
from cassiapitch.freshness import Freshness
from cassiapitch.held_bytes import Holder, Kind
from cassiapitch.retries import RequestProgress
from cassiapitch.types import Priority
from cassiapitch.viewitems import (
    AccountItem,
)


class CallEndedError(Exception):
    """The call was ended early or isn't authorised any more; `kind` says why."""

    def __init__(self, kind: ErrorKind) -> None:
        super().__init__(kind.value)
        self.kind = kind


@dataclasses.dataclass(slots=True, eq=False)
class Call:
    """One caller's request.

    Attributes:
        request_id: Id that is unique across all entries; also sent to backend servers.
        progress: State of the request, such as queued or streaming.
        arrived_ms: Time at which its head had arrived.
        key: The key's text, used to keep it out of what is forwarded; None if absent.
        key_digest: Digest of the key that authorised it; None on an open route.
        account: The client account; None on an open route.
        priority: Urgent or batch.
        deadline_ms: Time by which the response must have begun.
        ended: Why the call was ended early, or None.
        body_reservation: Bytes that its body reserves of the buffer limit.
        is_body_pending: Whether a part of its body was not read.
        is_answering: Whether the head of its response was written.
        holder: Account of what is held for it, beside its connection's own input and
            output; None before its body is read.
        scope: Cancelled when the call is ended early; None until generation starts and
            for plain services, whose work goes on.
    """

    request_id: str
    progress: RequestProgress
    arrived_ms: int
    key: str | None = None
    key_digest: str | None = None
    account: AccountItem | None = None
    priority: Priority = Priority.URGENT
    deadline_ms: int = 0
    ended: ErrorKind | None = None
    body_reservation: BodyBufferReservation | None = None
    is_body_pending: bool = False
    is_answering: bool = False
    holder: Holder | None = None
    scope: anyio.CancelScope | None = None

    def drop_response(self) -> None:
        """Counts off the parts of a response that is not used."""
        if self.holder is not None:
            self.holder.set(Kind.RESPONSE, 0)

    def hold_response(self, size_bytes: int) -> None:
        """Counts a part of the response that is held until it is complete.

        Raises:
            CallRefusedError: There is no room for it; the request has run.
        """
        if self.holder is None or self.holder.reserve(Kind.RESPONSE, size_bytes):
            return
        # The parts so far are dropped with the frames that hold them.
        self.holder.set(Kind.RESPONSE, 0)
        metrics.CALLERS_REFUSED.inc("response")
        events.log_rate_limited(events.Event.CALLER_REFUSED, reason="response")
        raise refused(ErrorKind.BACKEND_SERVER_FAILED)

    def end(self, kind: ErrorKind) -> None:
        """Ends the call early; the reason of the first call of `end` is kept."""
        if self.ended is None:
            self.ended = kind
            if self.scope is not None:
                self.scope.cancel()


class Authorization:
    """Tracks the calls in progress, and ends those that aren't authorised any more."""

    def __init__(self, catalog: ViewCatalog, freshness: Freshness) -> None:
        self._catalog = catalog
        self._freshness = freshness
        self._calls: set[Call] = set()

    def __len__(self) -> int:
        return len(self._calls)

    def register(self, call: Call) -> None:
        """Registers a call."""
        self._calls.add(call)

    def unregister(self, call: Call) -> None:
        """Removes a call."""
        self._calls.discard(call)

    def end_reason(self, call: Call, now_ms: int) -> ErrorKind | None:
        """Returns why a call must end at `now_ms`, or None if it may go on."""
        if call.ended is not None:
            return call.ended
        if call.key_digest is None:
            return None
        if not self._freshness.is_fresh(now_ms):
            return ErrorKind.AUTHORIZATION_UNCONFIRMED
        item = self._catalog.keys.get(call.key_digest)
        if item is None or call.account is None or item.account != call.account.name:
            return ErrorKind.KEY_WITHDRAWN
        return None

    def check(self, call: Call, now_ms: int) -> None:
        """Checks that a call may go on.

        Raises:
            CallEndedError: The call was ended or isn't authorised any more.
        """
        kind = self.end_reason(call, now_ms)
        if kind is not None:
            raise CallEndedError(kind)

    def end_unauthorised(self, now_ms: int) -> int:
        """Ends every call that isn't authorised any more; returns how many."""
        count = 0
        for call in list(self._calls):
            if (
                call.ended is None
                and (kind := self.end_reason(call, now_ms)) is not None
            ):
                call.end(kind)
                count += 1
        return count


class CallRefusedError(Exception):
    """The call is refused; raised to unwind from nested steps of the call."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


REFUSAL_MESSAGES: dict[ErrorKind, str] = {
    ErrorKind.KEY_MISSING: "send a key: Authorization: Bearer <key>",
    ErrorKind.KEY_UNKNOWN: "the key is not known",
    ErrorKind.KEY_WITHDRAWN: "the key was withdrawn",
    ErrorKind.AUTHORIZATION_UNCONFIRMED: "the view could not be confirmed in time",
    ErrorKind.MODEL_LOADING: "the model is not loaded yet",
    ErrorKind.NO_BACKEND_SERVER: "no backend server can be reached",
    ErrorKind.OVERLOADED: "too many requests wait for this model",
    ErrorKind.DEADLINE_EXCEEDED: "the request can't be answered before its deadline",
    ErrorKind.BACKEND_SERVER_FAILED: "the backend server failed",
    ErrorKind.STREAM_LOST: "the rest of the answer was lost",
    ErrorKind.REQUEST_QUARANTINED: "backend servers crashed while this request ran",
    ErrorKind.OUTSIDE_HOME_REGIONS: "no backend server is in the home regions",
    ErrorKind.CLAIM_RUNNING: "a call with this idempotency key is running",
    ErrorKind.CLAIM_UNKNOWN: (
        "a call with this idempotency key ended without a known outcome"
    ),
    ErrorKind.CLAIM_MISMATCH: "this idempotency key belongs to another request",
    ErrorKind.CLAIMS_FULL: "the client account has too many idempotency keys",
    ErrorKind.CLAIM_UNAVAILABLE: "the idempotency key could not be recorded",
    ErrorKind.KEY_IN_BODY: "the body contains the key",
    ErrorKind.NOT_READY: "the rate could not be confirmed in time",
    ErrorKind.INTERNAL: "internal error",
}


def refused(kind: ErrorKind, retry_after_ms: int | None = None) -> CallRefusedError:
    """Returns the exception for a refusal with the standard message of its kind."""
    return CallRefusedError(
        Refusal(kind, REFUSAL_MESSAGES[kind], retry_after_ms=retry_after_ms)
    )


def refusal_for(error: CallEndedError | CallRefusedError) -> Refusal:
    """Returns the refusal that is sent to the caller for an exception."""
    if isinstance(error, CallRefusedError):
        return error.refusal
    return Refusal(error.kind, REFUSAL_MESSAGES[error.kind])
