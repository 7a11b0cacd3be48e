"""Minimal ASGI server on `caller_connection`, for low request rates.

It serves readiness probes, metrics, heartbeats and configurations on the platform,
where the programs don't use `uvicorn`: importing it takes a fifth of an entry's start
time.
"""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import asgi, bytestream, events, listening, metrics
from cassiapitch.asgi import BodyBufferLimit
from cassiapitch.caller_connection import (
    BadRequestError,
    CallerConnection,
    CallerRequest,
    serve_safely,
)
from cassiapitch.connection_limit import (
    SilentConnections,
    administration_limit,
    close_silent,
    descriptors_limit,
)
from cassiapitch.forwardroutes import CallerLimits
from cassiapitch.held_bytes import ADMINISTRATION_MAX_BYTES, HeldBytes, Kind
from cassiapitch.settings import Address
from cassiapitch.socket_retries import Listeners

# The administration API takes the largest bundle as a JSON string.
BODY_LIMIT_BYTES = 8 * 1024 * 1024
CALLER_LIMITS = CallerLimits(
    head_bytes=32 * 1024,
    body_bytes=BODY_LIMIT_BYTES,
    head_timeout_ms=10_000,
    idle_timeout_ms=75_000,
)
BUFFERED_LIMIT_BYTES = 64 * 1024 * 1024
CONNECTIONS_LIMIT_COUNT = 1_024
# Larger responses are counted and written in pieces: 88 connections that left a
# configuration of 1 MiB unread made a control member grow to 223 MiB.
PIECE_BYTES = 32 * 1024
# A response for which there is no room may be asked for again after this time.
RETRY_AFTER_S = 1
# A cancelled server still writes responses that have begun, for this long.
FINAL_WRITES_S = 0.2
FINAL_WRITES_POLL_S = 0.02


class PlainHttpServer:
    """HTTP server; `run` serves until `close` or cancellation."""

    def __init__(
        self,
        app: asgi.App,
        address: Address,
        held_bytes: HeldBytes | None = None,
        connections_limit_count: int = CONNECTIONS_LIMIT_COUNT,
        name: str = "administration",
        listeners: Listeners | None = None,
        memory_limit: Callable[[], int | None] = lambda: None,
    ) -> None:
        """Binds the address if it is free; with port 0 a free port is picked.

        Args:
            app: Serves the requests; each gets its body in one piece.
            address: Where to listen.
            held_bytes: Limit on all bytes that the process holds; None for a limit of
                this server's own.
            connections_limit_count: Connections that are open at once; the limit on
                descriptors lowers it.
            name: Name of the listener in the log.
            listeners: The listeners of the process; None for one of its own.
            memory_limit: Returns how many connections the memory suffices for now;
                None for no limit.

        Raises:
            UnusableAddressError: No process of this instance can listen there.
        """
        self._connections_limit_count = administration_limit(
            connections_limit_count, descriptors_limit()
        )
        self._memory_limit = memory_limit
        self._silent_connections = SilentConnections()
        self._app = app
        self._body_buffer_limit = BodyBufferLimit(BUFFERED_LIMIT_BYTES)
        self._held_bytes = held_bytes or HeldBytes(ADMINISTRATION_MAX_BYTES)
        self._listener = listening.Listener(address, self._accept, name, listeners)
        self._group: anyio.abc.TaskGroup | None = None
        self._connections: set[CallerConnection] = set()
        self._closed = anyio.Event()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._listener.port

    @property
    def connections_limit_count(self) -> int:
        """Most connections that are open at once."""
        memory_count = self._memory_limit()
        if memory_count is None:
            return self._connections_limit_count
        return min(self._connections_limit_count, memory_count)

    async def run(self) -> None:
        """Serves; after `close`, ends once the last response is complete.

        Raises:
            ExceptionGroup: With what `listening.Listener.run_until` raised.
        """
        async with anyio.create_task_group() as guard:
            guard.start_soon(self._abort_when_cancelled)
            async with anyio.create_task_group() as group:
                self._group = group
                await self._listener.run_until(self._closed)
                for connection in list(self._connections):
                    if connection.is_idle:
                        connection.close()
            self._group = None
            guard.cancel_scope.cancel()

    async def _abort_when_cancelled(self) -> None:
        """Ends the writes of responses that their peers don't read.

        They are shielded from the cancellation, and would hold up the end of the
        process for as long as a peer may take to read.
        """
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.move_on_after(FINAL_WRITES_S, shield=True):
                while self._connections:  # noqa: ASYNC110
                    await anyio.sleep(FINAL_WRITES_POLL_S)
            for connection in list(self._connections):
                connection.abort()

    def close(self) -> None:
        """Stops listening; responses in progress are completed."""
        self._closed.set()

    def _accept(self, stream: bytestream.ByteStream) -> None:
        if len(self._connections) >= self.connections_limit_count:
            closed = close_silent(self._silent_connections, self._connections)
            self._connections.difference_update(closed)
        is_full = len(self._connections) >= self.connections_limit_count
        if is_full or self._group is None:
            if is_full:
                metrics.CALLERS_REFUSED.inc("administration")
                events.log_rate_limited(
                    events.Event.CALLER_REFUSED,
                    reason="administration",
                    peer=stream.peer_ip,
                )
            stream.abort()
            return
        connection = CallerConnection(
            stream, lambda: CALLER_LIMITS, self._body_buffer_limit, self._held_bytes
        )
        self._connections.add(connection)
        self._group.start_soon(self._serve, connection)

    async def _serve(self, connection: CallerConnection) -> None:
        try:
            await serve_safely(connection, self._serve_requests)
        finally:
            self._connections.discard(connection)

    async def _serve_requests(self, connection: CallerConnection) -> None:
        while True:
            try:
                request = await connection.read_request()
            except BadRequestError as error:
                await connection.refuse_unread(error)
                return
            if request is None:
                return
            status, headers, body = await self._call(request)
            is_last = self._closed.is_set()
            await _answer(connection, status, headers, body, close=is_last)
            if not connection.start_next_request() or is_last:
                return

    async def _call(self, request: CallerRequest) -> tuple[int, asgi.Headers, bytes]:
        """Calls the application for one request and returns its response."""
        path, _, query = request.target.partition(b"?")
        scope = {
            "type": "http",
            "method": request.method.decode("latin-1"),
            "path": path.decode("latin-1"),
            "query_string": query,
            "headers": request.headers,
        }
        status = 500
        headers: asgi.Headers = []
        parts: list[bytes] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": request.body, "more_body": False}

        async def send(message: asgi.AsgiMessage) -> None:
            nonlocal status, headers
            if message["type"] == "http.response.start":
                status = message["status"]
                # `CallerConnection` adds the length itself.
                headers = [
                    item for item in message["headers"] if item[0] != b"content-length"
                ]
            else:
                parts.append(message.get("body", b""))

        await self._app(scope, receive, send)
        # A response to HEAD has no body; `h11` refuses to write one.
        body = b"" if request.method == b"HEAD" else b"".join(parts)
        return status, headers, body


async def _answer(
    connection: CallerConnection,
    status: int,
    headers: asgi.Headers,
    body: bytes,
    *,
    close: bool,
) -> None:
    """Writes a response, a large one only if there is room for it.

    Raises:
        CallerDisconnectedError: The caller has disconnected.
    """
    size_bytes = len(body)
    if size_bytes <= PIECE_BYTES:
        await connection.answer(status, headers, body, close=close)
        return
    if not connection.holder.reserve(Kind.RESPONSE, size_bytes):
        metrics.CALLERS_REFUSED.inc("response")
        events.log_rate_limited(events.Event.CALLER_REFUSED, reason="response")
        retry_after = (b"Retry-After", str(RETRY_AFTER_S).encode())
        await connection.answer(503, [retry_after], b"", close=close)
        return
    await connection.begin_answer(status, headers, length=size_bytes, close=close)
    for start in range(0, size_bytes, PIECE_BYTES):
        await connection.send_data(body[start : start + PIECE_BYTES])
    await connection.end_answer()
    connection.holder.remove(Kind.RESPONSE, size_bytes)
