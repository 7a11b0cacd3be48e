"""Sends a generation request to one engine, once.

A stream that breaks is resumed on the same engine; whether another engine continues
the answer is decided by `generation`.
"""

from collections.abc import Callable

from cassiapitch import api, events, timers
from cassiapitch.answer_streams import read_stream
from cassiapitch.backend_client import (
    Connection,
    ConnectionLost,
    NotConnected,
    Response,
    exchange,
    read_all,
)
from cassiapitch.engine_calls import (
    ERROR_BODY_LIMIT_BYTES,
    AttemptEnd,
    EngineRefusedError,
    GenerationContext,
    cancel_at_engine,
    error_code,
    head_limit_ms,
    is_other_incarnation,
    part_limit_ms,
    record_unreachable,
)
from cassiapitch.exceptions import NotWrittenError
from cassiapitch.slots import Slot
from cassiapitch.stream_resumption import resume
from cassiapitch.viewitems import BackendItem

# Statuses with which an engine rejects a request as invalid; sent on to the caller.
_RELAYED_STATUSES = (400, 404, 413, 422)


async def attempt(context: GenerationContext, slot: Slot) -> AttemptEnd:
    """Sends the request to one engine and resumes its stream if it breaks.

    Returns:
        How the attempt ended; never BROKEN.

    Raises:
        CallRefusedError: The deadline passed before the first chunk, or there is no
            room for the answer.
        CallEndedError: The call was ended early, or isn't authorised any more.
        EngineRefusedError: The engine rejected the request as invalid.
    """
    backend = slot.backend
    # A suspect request needs a new connection: an idle one may belong to an
    # incarnation that has crashed, and the attempt would count as a run on it.
    connection = await context.state.connections.open(
        backend,
        fresh=slot.slot_request.suspect,
        regions=context.regions,
        holder=context.call.holder,
    )
    if isinstance(connection, NotConnected):
        record_unreachable(context.state, backend, connection)
        context.call.progress.mark_not_sent()
        return AttemptEnd.UNSENT
    if not context.state.may_still_send(slot):
        await context.state.connections.release_connection(connection)
        context.call.progress.mark_not_sent()
        return AttemptEnd.UNSENT
    context.state.count_limited_send(backend)
    end: AttemptEnd | None = None
    try:
        end = await _send_request(context, backend, connection)
        if end is AttemptEnd.BROKEN:
            end = await resume(context, backend)
        return end
    finally:
        # Otherwise the engine would go on generating for an abandoned attempt.
        is_written = context.call.progress.state not in ("sending", "queued")
        if is_written and end in (None, AttemptEnd.FAILED, AttemptEnd.CRASHED):
            context.state.start_background(
                cancel_at_engine, context.state, backend, context.call.request_id
            )


def _make_send_guard(
    context: GenerationContext, backend: BackendItem
) -> Callable[[], None]:
    """Returns a check of the authorisation, made before every write.

    The first write marks the request as written, unless the zone of the backend
    server was drained meanwhile.
    """
    is_first = True

    def guard() -> None:
        nonlocal is_first
        context.check_authorization()
        if is_first:
            if not context.state.may_write(backend):
                raise NotWrittenError
            is_first = False
            context.call.progress.mark_written()

    return guard


async def _send_request(
    context: GenerationContext, backend: BackendItem, connection: Connection
) -> AttemptEnd:
    """Sends the request, or the continuation of a begun answer, to an engine."""
    plan = context.plan
    if context.answer.next_position:
        events.log(
            events.Event.STREAM_CONTINUED,
            request_id=context.call.request_id,
            backend=backend.name,
            position=context.answer.next_position,
        )
    body = api.engine_body(
        plan.request,
        plan.target.model.name,
        plan.target.adapter,
        plan.max_tokens,
        context.answer,
    )
    headers = [
        (b"Content-Type", b"application/json"),
        (b"Accept", b"text/event-stream"),
        (b"X-Request-Id", context.call.request_id.encode()),
    ]
    try:
        response = await exchange(
            connection,
            "POST",
            plan.request.path,
            headers,
            body,
            guard=_make_send_guard(context, backend),
            head_limit_ms=head_limit_ms(context.answer, context.call),
            part_limit_ms=part_limit_ms(context.answer, context.call),
        )
    except NotWrittenError:
        await context.state.connections.release_connection(connection)
        context.call.progress.mark_not_sent()
        return AttemptEnd.UNSENT
    # The stream may be long.
    del body
    if isinstance(response, ConnectionLost):
        if response.was_ended:
            context.state.hold_if_maybe_cold(backend)
        context.check_first_chunk_deadline()
        return AttemptEnd.BROKEN
    try:
        return await _handle_response(context, backend, response)
    finally:
        await response.close()
        await context.state.connections.release_connection(connection, response.status)


async def _handle_response(
    context: GenerationContext, backend: BackendItem, response: Response
) -> AttemptEnd:
    """Reads the stream, or decides what an engine's error response means."""
    if is_other_incarnation(backend, response):
        # The request never ran on the chosen incarnation, so the end of that
        # incarnation isn't a crash that the request may have caused.
        context.state.router.mark_unreachable(backend.life_id, timers.now_ms())
        context.state.hold_if_maybe_cold(backend)
        return AttemptEnd.FAILED
    if response.status == 200:
        return await read_stream(context, backend, response)
    body = await read_all(response, ERROR_BODY_LIMIT_BYTES) or b""
    code = error_code(body)
    if (response.status, code) == (409, "not_loaded"):
        context.call.progress.mark_declined()
        return AttemptEnd.NOT_LOADED
    if (response.status, code) == (503, "overloaded"):
        context.call.progress.mark_declined()
        return AttemptEnd.OVERLOADED
    if response.status in _RELAYED_STATUSES and context.answer.next_position == 0:
        content_type = response.header(b"content-type") or "application/json"
        raise EngineRefusedError(response.status, content_type, body)
    return AttemptEnd.FAILED
