"""Calls to engines: plans, time limits, cancellation and error responses.

The streams themselves are read by `answer_streams`.
"""

import dataclasses
import enum
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from cassiapitch import api, home_regions, timers
from cassiapitch.backend_client import (
    LIFE_HEADER,
    NotConnected,
    Response,
    exchange,
    read_all,
)
from cassiapitch.calls import Call, refused
from cassiapitch.catalog import ResolvedModel
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.streams import GeneratedAnswer
from cassiapitch.types import Priority
from cassiapitch.viewitems import (
    BackendItem,
)

# A stream without a chunk for this long is treated as broken and resumed. Engines may
# pause batch requests in favour of urgent ones.
STALL_LIMIT_MS = {Priority.URGENT: 3_000, Priority.BATCH: 60_000}
# Longer, since an engine may have to process a long prompt before the first token.
FIRST_CHUNK_LIMIT_MS = {Priority.URGENT: 10_000, Priority.BATCH: 120_000}
CANCEL_LIMIT_MS = 2_000
ERROR_BODY_LIMIT_BYTES = 64 * 1024


class EngineRefusedError(Exception):
    """The engine rejected the request as invalid; its response goes to the caller."""

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        super().__init__(str(status))
        self.status = status
        self.content_type = content_type
        self.body = body


class AttemptEnd(enum.Enum):
    """How an attempt on one backend server ended."""

    COMPLETE = "complete"
    UNSENT = "unsent"
    NOT_LOADED = "not_loaded"
    OVERLOADED = "overloaded"
    FAILED = "failed"
    CRASHED = "crashed"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationPlan:
    """What is to be generated.

    Attributes:
        request: The caller's request.
        target: Model and adapter to use.
        max_tokens: Limit on the tokens of the answer.
    """

    request: api.GenerationRequest
    target: ResolvedModel
    max_tokens: int

    @property
    def cost_tokens(self) -> int:
        """Tokens that are charged to the account when the request is admitted."""
        return self.request.prompt_tokens + self.max_tokens


WriteChunk = Callable[[bytes], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationContext:
    """What all attempts at one answer share.

    Attributes:
        state: The entry's state.
        call: The caller's call.
        plan: What is to be generated.
        regions: Regions of the engines that may be used.
        answer: The answer so far.
        write_chunk: Called with each chunk's bytes, or None if the caller wants
            the complete answer at once.
    """

    state: EntryState
    call: Call
    plan: GenerationPlan
    regions: home_regions.Regions
    answer: GeneratedAnswer
    write_chunk: WriteChunk | None

    def check_authorization(self) -> None:
        """Raises CallEndedError if the call isn't authorised any more."""
        self.state.authorization.check(self.call, timers.now_ms())

    def check_first_chunk_deadline(self) -> None:
        """Raises CallRefusedError if the deadline passed before the first chunk."""
        is_late = timers.now_ms() >= self.call.deadline_ms
        if is_late and self.answer.next_position == 0:
            raise refused(ErrorKind.DEADLINE_EXCEEDED)


def record_unreachable(
    state: EntryState, backend: BackendItem, failure: NotConnected
) -> None:
    """Reports an engine that refused a connection, or avoids it for a while."""
    if failure.refused:
        state.report_unreachable(backend)
    else:
        state.router.mark_unreachable(backend.life_id, timers.now_ms())


async def cancel_at_engine(
    state: EntryState, backend: BackendItem, request_id: str
) -> None:
    """Tells an engine to stop generating an abandoned stream.

    An engine of a drained zone gets no requests, and ends the stream by itself.
    """
    if backend.life_id in state.drained_lives or state.is_held(backend):
        return
    with anyio.move_on_after(CANCEL_LIMIT_MS / 1000):
        connection = await state.connections.open(backend, fresh=False)
        if isinstance(connection, NotConnected):
            return
        response = await exchange(
            connection,
            "DELETE",
            f"/v1/streams/{request_id}",
            [(b"X-Request-Id", request_id.encode())],
            b"",
            guard=None,
            head_limit_ms=CANCEL_LIMIT_MS,
            part_limit_ms=CANCEL_LIMIT_MS,
        )
        if isinstance(response, Response):
            await read_all(response, ERROR_BODY_LIMIT_BYTES)
            await response.close()
            await state.connections.release_connection(connection)


def is_other_incarnation(backend: BackendItem, response: Response) -> bool:
    """Returns whether the response is of another incarnation than the chosen one."""
    life_id = response.header(LIFE_HEADER)
    return life_id is not None and life_id != backend.life_id


def error_code(body: bytes) -> str | None:
    """Returns the error code in the body of an engine's error response, if any."""
    try:
        document = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    error = document.get("error") if isinstance(document, dict) else None
    return error.get("code") if isinstance(error, dict) else None


def head_limit_ms(answer: GeneratedAnswer, call: Call) -> int:
    """Returns the time limit for the head of an engine's response."""
    if answer.next_position:
        return FIRST_CHUNK_LIMIT_MS[call.priority]
    return max(1, call.deadline_ms - timers.now_ms())


def stall_limit_s(priority: Priority) -> float:
    """Returns the time limit between two chunks of an engine's stream."""
    return STALL_LIMIT_MS[priority] / 1_000


def part_limit_ms(answer: GeneratedAnswer, call: Call) -> int:
    """Returns the time limit between two reads of an engine's stream."""
    if answer.next_position:
        return STALL_LIMIT_MS[call.priority]
    return FIRST_CHUNK_LIMIT_MS[call.priority]
