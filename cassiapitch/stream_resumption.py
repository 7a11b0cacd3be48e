"""Resumes a broken stream on the same incarnation of an engine.

An incarnation is one run of an engine's process. Another one doesn't know the stream.
"""

import anyio

from cassiapitch import events
from cassiapitch.answer_streams import read_stream
from cassiapitch.backend_client import ConnectionLost, NotConnected, exchange
from cassiapitch.backend_paths import Verdict
from cassiapitch.engine_calls import (
    AttemptEnd,
    GenerationContext,
    is_other_incarnation,
    part_limit_ms,
    record_unreachable,
)
from cassiapitch.exceptions import NotWrittenError
from cassiapitch.viewitems import BackendItem

RESUME_HEAD_LIMIT_MS = 1_000
RESUMES_LIMIT_COUNT = 3
RESUME_DELAY_MS = 50


async def resume(context: GenerationContext, backend: BackendItem) -> AttemptEnd:
    """Resumes a broken stream until it ends or can't be resumed.

    Returns:
        COMPLETE, CRASHED if the incarnation is gone, or FAILED.

    Raises:
        CallRefusedError: As in `answer_streams.read_stream`.
        CallEndedError: The call was ended early, or isn't authorised any more.
    """
    progress = context.call.progress
    for _ in range(RESUMES_LIMIT_COUNT):
        if progress.state == "streaming":
            progress.step("resume")
        previous_position = context.answer.next_position
        end = await _resume_once(context, backend)
        if end is not AttemptEnd.BROKEN:
            return end
        if context.answer.next_position == previous_position:
            await anyio.sleep(RESUME_DELAY_MS / 1000)
    return AttemptEnd.FAILED


async def _resume_once(context: GenerationContext, backend: BackendItem) -> AttemptEnd:
    """Requests the rest of the stream; returns CRASHED if the engine is gone."""
    if not context.state.may_write(backend):
        # Another engine continues the answer.
        return AttemptEnd.FAILED
    connection = await context.state.connections.open(
        backend, fresh=True, regions=context.regions, holder=context.call.holder
    )
    if isinstance(connection, NotConnected):
        record_unreachable(context.state, backend, connection)
        verdict = await context.state.backend_paths.inquire(backend)
        is_gone = verdict is Verdict.GONE
        return AttemptEnd.CRASHED if is_gone else AttemptEnd.FAILED
    if context.state.is_held(backend):
        # It accepts connections, but may be a new incarnation that is cold.
        await context.state.connections.release_connection(connection)
        return AttemptEnd.FAILED
    request_id = context.call.request_id

    def guard() -> None:
        context.check_authorization()
        if not context.state.may_write(backend):
            raise NotWrittenError

    try:
        response = await exchange(
            connection,
            "GET",
            f"/v1/streams/{request_id}?after={context.answer.next_position - 1}",
            [(b"X-Request-Id", request_id.encode())],
            b"",
            guard=guard,
            head_limit_ms=RESUME_HEAD_LIMIT_MS,
            part_limit_ms=part_limit_ms(context.answer, context.call),
        )
    except NotWrittenError:
        await context.state.connections.release_connection(connection)
        return AttemptEnd.FAILED
    if isinstance(response, ConnectionLost):
        if response.was_ended:
            context.state.hold_if_maybe_cold(backend)
        context.check_first_chunk_deadline()
        return AttemptEnd.BROKEN
    try:
        if is_other_incarnation(backend, response):
            return AttemptEnd.CRASHED
        if response.status != 200:
            return AttemptEnd.FAILED
        if context.call.progress.state == "resuming":
            context.call.progress.step("resumed")
        events.log(
            events.Event.STREAM_RESUMED,
            request_id=request_id,
            backend=backend.name,
            position=context.answer.next_position,
        )
        return await read_stream(context, backend, response)
    finally:
        await response.close()
        await context.state.connections.release_connection(connection, response.status)
