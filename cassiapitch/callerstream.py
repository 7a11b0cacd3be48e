"""Writes a streamed response to its caller, with a bounded buffer."""

from typing import Any

import anyio
import msgspec

from cassiapitch import api, timers
from cassiapitch.asgi import Headers, Receive, Send
from cassiapitch.calls import Authorization, Call
from cassiapitch.error_kinds import Refusal
from cassiapitch.held_bytes import Kind

BUFFER_LIMIT_COUNT = 64
# Chunks of any size.
BUFFER_LIMIT_BYTES = 64 * 1024
SLOW_CALLER_LIMIT_MS = 10_000
# A response is written in pieces of this size.
PIECE_BYTES = 32 * 1024


class SlowCallerError(Exception):
    """The caller reads too slowly."""


class CallerTransport:
    """The connection that `uvicorn` uses below an ASGI `send` or `receive` function.

    `uvicorn` waits inside `send` while the caller doesn't read. An authorisation check
    made before that wait may be outdated when the bytes are written, so callers of
    this class wait first and check afterwards. With the `send` function of another
    server there is no wait.
    """

    def __init__(self, function: Send | Receive) -> None:
        cycle = getattr(function, "__self__", None)
        self._flow: Any = getattr(cycle, "flow", None)
        self._transport: Any = getattr(cycle, "transport", None)

    @property
    def is_blocked(self) -> bool:
        """Whether writing is paused since the caller hasn't read earlier bytes."""
        return self._flow is not None and self._flow.write_paused

    async def wait_writable(self, timeout_ms: int) -> bool:
        """Waits until more may be written; returns False on a timeout."""
        while self.is_blocked:
            with anyio.move_on_after(timeout_ms / 1000) as scope:
                await self._flow.drain()
            if scope.cancelled_caught:
                return False
        return True

    def abort(self) -> None:
        """Closes the connection without sending what is still buffered."""
        if self._transport is not None:
            self._transport.abort()


class CallerStream:
    """Buffer of chunks for one caller; buffered chunks are written together."""

    def __init__(
        self,
        call: Call,
        authorization: Authorization,
        send: Send,
        headers: Headers,
    ) -> None:
        self.transport = CallerTransport(send)
        self.is_started = False
        self._call = call
        self._authorization = authorization
        self._send = send
        self._headers = headers
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._is_complete = False
        self._has_chunks = anyio.Event()
        self._has_space = anyio.Event()

    async def add_chunk(self, chunk: bytes) -> None:
        """Adds a chunk; waits while the buffer is full."""
        while (
            len(self._chunks) >= BUFFER_LIMIT_COUNT
            or self._size_bytes >= BUFFER_LIMIT_BYTES
        ):
            self._has_space = anyio.Event()
            await self._has_space.wait()
        self._chunks.append(chunk)
        self._set_size(self._size_bytes + len(chunk))
        self._has_chunks.set()

    def _set_size(self, size_bytes: int) -> None:
        self._size_bytes = size_bytes
        if self._call.holder is not None:
            # Beyond the limit on all bytes held, who holds the most is closed.
            self._call.holder.set(Kind.QUEUED, size_bytes)

    def mark_complete(self) -> None:
        """Marks the answer as complete, so that `write_chunks` returns."""
        self._is_complete = True
        self._has_chunks.set()

    async def write_chunks(self) -> None:
        """Writes chunks until the answer is complete.

        Raises:
            SlowCallerError: The caller read nothing for too long.
            CallEndedError: The call is no longer authorised.
        """
        while True:
            await self._has_chunks.wait()
            if not await self.transport.wait_writable(SLOW_CALLER_LIMIT_MS):
                raise SlowCallerError
            self._authorization.check(self._call, timers.now_ms())
            is_last = self._is_complete
            data = b"".join(self._chunks)
            self._chunks.clear()
            self._set_size(0)
            self._has_chunks = anyio.Event()
            self._has_space.set()
            await self._send_head()
            if is_last:
                data += b"data: [DONE]\n\n"
            body = {
                "type": "http.response.body",
                "body": data,
                "more_body": not is_last,
            }
            await self._send(body)
            if is_last:
                return

    async def end_with_error(self, refusal: Refusal) -> None:
        """Ends a started response with an error event, leaving it incomplete.

        The caller can tell that the response is truncated, since the connection
        closes without the last chunk of the chunked encoding. Buffered chunks are
        written first, unless the call is no longer authorised.
        """
        if self.transport.is_blocked:
            self.transport.abort()
            return
        document = api.refusal_document(refusal, self._call.request_id, True)
        end_reason = self._authorization.end_reason(self._call, timers.now_ms())
        data = b"".join(self._chunks) if end_reason is None else b""
        data += b"data: " + msgspec.json.encode(document) + b"\n\n"
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def _send_head(self) -> None:
        if self.is_started:
            return
        self.is_started = True
        self._call.is_answering = True
        headers = [
            (b"content-type", b"text/event-stream; charset=utf-8"),
            (b"cache-control", b"no-cache"),
            *self._headers,
        ]
        await self._send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
