"""Log lines and metrics of forwarded requests."""

from cassiapitch import events, metrics, timers
from cassiapitch.caller_connection import CallerRequest
from cassiapitch.forwardtypes import ForwardCall, RefusedError
from cassiapitch.header_codec import CallerHead
from cassiapitch.stop_admission import StopDecision
from cassiapitch.viewitems import BackendItem


def log_failed_attempt(call: ForwardCall, backend: BackendItem, reason: str) -> None:
    """Logs and counts an attempt that gave the caller no response."""
    metrics.ATTEMPTS_FAILED.inc()
    events.log(
        events.Event.FORWARD_ATTEMPT_FAILED,
        request_id=call.head.request_id,
        backend=backend.name,
        reason=reason,
        sent_count=call.sent_count,
        left_ms=call.left_ms(),
        shared_parts=[part.part_id for part in call.head.prompt_parts[:-1]],
        has_begun=call.first_byte_ms is not None,
    )


def log_refused(
    request: CallerRequest, head: CallerHead, error: RefusedError, view_index: int
) -> None:
    """Logs a request that was refused before it got a route and an account."""
    events.log(
        events.Event.FORWARD_REFUSED,
        request_id=head.request_id,
        host=request.host,
        path=request.path,
        reason=error.kind.value,
        view_index=view_index,
        **_stop_fields(error.stop_decision),
    )


def _stop_fields(decision: StopDecision | None) -> dict[str, int]:
    """Returns what the decision about a request during a planned stop rests on."""
    if decision is None:
        return {}
    return {
        "stop_left_ms": decision.left_ms,
        "expected_ms": decision.expected_ms,
        "samples_count": decision.samples_count,
    }


def _ms_since_arrival(time_ms: int | None, call: ForwardCall) -> int | None:
    return None if time_ms is None else time_ms - call.arrived_ms


def _record_metrics(call: ForwardCall) -> None:
    route = call.route.name
    outcome = "cut" if call.outcome.startswith("cut") else call.outcome
    metrics.REQUESTS.inc(route, str(call.status), outcome)
    if call.first_byte_ms is not None:
        first_byte_wait_ms = call.first_byte_ms - call.arrived_ms
        metrics.FIRST_BYTE_S.observe(first_byte_wait_ms / 1000, route)
    if call.admitted_ms is not None:
        metrics.ADMISSION_S.observe((call.admitted_ms - call.arrived_ms) / 1000)
    if call.placed_ms is not None:
        queued_ms = call.arrived_ms if call.admitted_ms is None else call.admitted_ms
        metrics.QUEUE_S.observe((call.placed_ms - queued_ms) / 1000)


def log_call(call: ForwardCall, view_index: int) -> None:
    """Logs a request that has ended and updates the metrics."""
    now_ms = timers.now_ms()
    account = call.account
    _record_metrics(call)
    events.log(
        events.Event.FORWARDED,
        request_id=call.head.request_id,
        route=call.route.name,
        account=None if call.account is None else call.account.name,
        model=call.head.model,
        backends=call.backends,
        versions=call.versions,
        resumes=call.head.resumed_request_id,
        resumed_after=call.head.last_event_id,
        status=call.status,
        outcome=call.outcome,
        sent_count=call.sent_count,
        cost_tokens=call.cost_tokens,
        rate_tokens_per_s=None if account is None else account.rate_tokens_per_s,
        admitted_ms=_ms_since_arrival(call.admitted_ms, call),
        placed_ms=_ms_since_arrival(call.placed_ms, call),
        first_byte_ms=_ms_since_arrival(call.first_byte_ms, call),
        gap_ms=call.longest_gap_ms,
        request_bytes=len(call.request.body),
        took_ms=now_ms - call.arrived_ms,
        left_ms=call.deadline_ms - now_ms,
        view_index=view_index,
        tunneled=call.is_tunneled,
        **_stop_fields(call.stop_decision),
    )
