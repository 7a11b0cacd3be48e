"""Reads an engine's event stream into an answer and passes its chunks on."""

import anyio
import httpcore

from cassiapitch import events, timers
from cassiapitch.backend_client import Response
from cassiapitch.engine_calls import AttemptEnd, GenerationContext, stall_limit_s
from cassiapitch.streams import (
    Chunk,
    ChunkAdded,
    ChunksMissing,
    EventSplitter,
    StreamDone,
    parse_event,
)
from cassiapitch.viewitems import BackendItem


async def read_stream(
    context: GenerationContext, backend: BackendItem, response: Response
) -> AttemptEnd:
    """Reads a stream; returns COMPLETE or BROKEN.

    Only chunks count as progress: other bytes would keep a stalled stream open
    for ever.

    Raises:
        CallRefusedError: The deadline passed before the first chunk, or there is no
            room for the answer.
    """
    splitter = EventSplitter()
    if context.answer.next_position == 0:
        limit_s = max(0, context.call.deadline_ms - timers.now_ms()) / 1000
    else:
        limit_s = stall_limit_s(context.call.priority)
    stall_deadline_s = anyio.current_time() + limit_s
    try:
        with anyio.CancelScope(deadline=stall_deadline_s) as scope:
            async for part in response.parts:
                # The time limit for a slow caller is enforced by CallerStream.
                scope.deadline = float("inf")
                position = context.answer.next_position
                for raw in splitter.feed(part):
                    if not await _handle_event(context, raw):
                        return AttemptEnd.BROKEN
                if context.answer.next_position > position:
                    limit_s = stall_limit_s(context.call.priority)
                    stall_deadline_s = anyio.current_time() + limit_s
                scope.deadline = stall_deadline_s
    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
        _log_broken(context, backend, error)
        context.state.hold_if_maybe_cold(backend)
    except (httpcore.TimeoutException, ValueError) as error:
        _log_broken(context, backend, error)
    context.check_first_chunk_deadline()
    return AttemptEnd.COMPLETE if context.answer.is_complete else AttemptEnd.BROKEN


def _log_broken(
    context: GenerationContext, backend: BackendItem, error: Exception
) -> None:
    events.log(
        events.Event.STREAM_BROKEN,
        request_id=context.call.request_id,
        backend=backend.name,
        position=context.answer.next_position,
        reason=f"{type(error).__name__}: {error}",
    )


async def _handle_event(context: GenerationContext, raw: bytes) -> bool:
    """Handles one event; returns False if the stream must be resumed."""
    event = parse_event(raw)
    if isinstance(event, StreamDone):
        return context.answer.is_complete
    if not isinstance(event, Chunk):
        return True
    earlier_bytes = context.answer.text_bytes
    outcome = context.answer.add_chunk(event)
    if isinstance(outcome, ChunksMissing):
        return False
    if not isinstance(outcome, ChunkAdded):
        return True
    # The text is kept, as another engine may have to continue it.
    context.call.hold_response(context.answer.text_bytes - earlier_bytes)
    if context.call.progress.state == "running":
        context.call.progress.step("first_chunk")
    if context.write_chunk is not None:
        await context.write_chunk(raw)
    return True
