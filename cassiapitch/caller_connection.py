"""HTTP/1.1 server side of one caller's connection, on `h11`; for forwarded requests."""

import contextlib
import dataclasses
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import h11

from cassiapitch import bytestream, events, metrics, timers
from cassiapitch.asgi import BodyBufferLimit, BodyBufferReservation
from cassiapitch.bytestream import ByteStream
from cassiapitch.forwardroutes import CallerLimits
from cassiapitch.held_bytes import HeldBytes, Kind

# A caller that reads nothing for this long is treated as disconnected.
SEND_TIMEOUT_S = 10
BODY_TIMEOUT_S = 15
# What a caller may still send while it gets the refusal of a request that can't be
# read: the rest of the largest body. Nothing of it is kept.
DISCARD_LIMIT_BYTES = 4 * 1024 * 1024
DISCARD_TIMEOUT_S = 1
# Objects of a header line, while it is parsed and afterwards. A head of 16 KiB may have
# 2,700 lines.
LINE_BYTES = 512
# Lines of ordinary requests, which aren't counted.
ORDINARY_LINES_COUNT = 64

DEFAULT_LIMITS = CallerLimits(16_384, 4 * 1024 * 1024, 3_000, 15_000)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request with its complete body."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes

    @property
    def path(self) -> str:
        """The target's path without its query."""
        target = self.target
        if not target.startswith(b"/"):
            # Absolute form of the request target: the path follows scheme and host.
            _, separator, rest = target.partition(b"://")
            slash = rest.find(b"/") if separator else -1
            target = rest[slash:] if slash >= 0 else target
        return target.partition(b"?")[0].decode("latin-1")

    def header(self, name: bytes) -> bytes | None:
        """Returns a header's value; `name` is in lower case."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def host(self) -> str:
        """The host without its port, in lower case."""
        value = (self.header(b"host") or b"").decode("latin-1").lower()
        name, separator, port = value.rpartition(":")
        return name if separator and port.isdigit() else value


class BadRequestError(Exception):
    """The request can't be read; `status` is sent, then the connection is closed."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


class CallerConnection:
    """One caller's connection: reads requests and writes responses, one at a time."""

    def __init__(
        self,
        stream: ByteStream,
        limits: Callable[[], CallerLimits],
        body_buffer_limit: BodyBufferLimit,
        held_bytes: HeldBytes,
    ) -> None:
        """Takes ownership of an accepted connection.

        Args:
            stream: The connection.
            limits: Returns the limits in force.
            body_buffer_limit: Limit on the buffered bodies of all connections.
            held_bytes: Limit on all bytes that the process holds.
        """
        self._stream = stream
        stream.wait_for_each_write()
        # Bytes that are held on behalf of this connection.
        self.holder = held_bytes.open(stream.peer_ip, self._close_as_largest)
        stream.hold_for(self.holder, Kind.INPUT, Kind.OUTPUT)
        # Bytes that `h11` has received and that belong to no complete request yet.
        self._parser_bytes = 0
        self._limits = limits
        self._body_buffer_limit = body_buffer_limit
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().head_bytes
        )
        self.is_idle = True
        self.idle_since_ms = timers.now_ms()
        # Whether the response to the current request has begun.
        self.has_answered = False
        # Whether an earlier request was served on this connection.
        self.has_served = False
        self.body_reservation: BodyBufferReservation | None = None
        self._is_disconnected = False

    async def read_request(self) -> CallerRequest | None:
        """Returns the next request, or None at the end of the connection.

        Raises:
            BadRequestError: The request can't be read.
            CallerDisconnectedError: The caller disconnected before the request's end.
        """
        self.has_answered = False
        try:
            head = await self._read_head()
            if head is None:
                return None
            self.is_idle = False
            headers = [(bytes(name), bytes(value)) for name, value in head.headers]
            _check_framing(headers)
            body = await self._read_body()
            self._count_parser(len(self._http.trailing_data[0]))
        except h11.RemoteProtocolError as error:
            raise BadRequestError(error.error_status_hint, str(error)) from None
        return CallerRequest(bytes(head.method), bytes(head.target), headers, body)

    async def _read_head(self) -> h11.Request | None:
        limits = self._limits()
        timeout_ms = limits.idle_timeout_ms
        while True:
            self._reserve_lines()
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            has_begun = bool(self._http.trailing_data[0])
            if has_begun:
                self.is_idle = False
                timeout_ms = limits.head_timeout_ms
            with anyio.move_on_after(timeout_ms / 1000) as scope:
                data = await self._receive()
            if scope.cancelled_caught:
                if has_begun:
                    raise BadRequestError(408, "the head did not arrive in time")
                return None
            if not data and not has_begun:
                return None
            self._http.receive_data(data)

    def _reserve_lines(self) -> None:
        """Counts the objects of a head of many lines, before it is parsed.

        Raises:
            BadRequestError: There is no room for them.
        """
        lines_count = bytestream.head_lines_count(self._http.trailing_data[0])
        size_bytes = LINE_BYTES * max(0, lines_count - ORDINARY_LINES_COUNT)
        if size_bytes and not self.holder.reserve(Kind.BODY, size_bytes):
            metrics.CALLERS_REFUSED.inc("headers")
            events.log_rate_limited(events.Event.CALLER_REFUSED, reason="headers")
            raise BadRequestError(503, "no room for the head")

    async def _read_body(self) -> bytes:
        limit_bytes = self._limits().body_bytes
        self.body_reservation = BodyBufferReservation(self._body_buffer_limit)
        parts: list[bytes] = []
        size_bytes = 0
        with anyio.move_on_after(BODY_TIMEOUT_S):
            while True:
                if self._http.they_are_waiting_for_100_continue:
                    await self._send(
                        h11.InformationalResponse(status_code=100, headers=[])
                    )
                event = self._http.next_event()
                if isinstance(event, h11.EndOfMessage):
                    return b"".join(parts)
                if isinstance(event, h11.Data):
                    parts.append(bytes(event.data))
                    size_bytes += len(event.data)
                    if size_bytes > limit_bytes:
                        raise BadRequestError(413, "the body is too large")
                    self._count_parser(max(0, self._parser_bytes - len(event.data)))
                    if not self.body_reservation.reserve(
                        len(event.data)
                    ) or not self.holder.reserve(Kind.BODY, len(event.data)):
                        metrics.CALLERS_REFUSED.inc("body")
                        raise BadRequestError(503, "no room for the body")
                elif event is h11.NEED_DATA:
                    data = await self._receive()
                    if not data:
                        raise CallerDisconnectedError
                    self._http.receive_data(data)
                else:
                    raise CallerDisconnectedError
        raise BadRequestError(408, "the body did not arrive in time")

    async def wait_until_disconnected(self) -> None:
        """Returns once the caller has disconnected while its request is served.

        Bytes that arrive in the meantime belong to the next request and stay unread.
        """
        await self._stream.wait_ended()
        self._is_disconnected = True

    async def begin_answer(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        *,
        length: int | None,
        reason: bytes = b"",
        close: bool = False,
        data: bytes = b"",
    ) -> None:
        """Writes the head of a response and the beginning of its body in one write.

        A body without a length is sent with chunked encoding.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        framed_headers = list(headers)
        if length is not None:
            framed_headers.append((b"Content-Length", str(length).encode()))
        if close:
            framed_headers.append((b"Connection", b"close"))
        self.has_answered = True
        response = h11.Response(
            status_code=status, headers=framed_headers, reason=reason
        )
        written = self._http.send(response) or b""
        if data:
            written += self._http.send(h11.Data(data=data)) or b""
        with anyio.CancelScope(shield=True):
            await self._write(written)

    async def send_data(self, data: bytes) -> None:
        """Writes a part of the body.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        await self._send(h11.Data(data=data))

    async def end_answer(self) -> None:
        """Completes the response.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        await self._send(h11.EndOfMessage())

    async def answer(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        *,
        reason: bytes = b"",
        close: bool = False,
    ) -> None:
        """Writes a complete response in one write.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        framed_headers = [*headers, (b"Content-Length", str(len(body)).encode())]
        if close:
            framed_headers.append((b"Connection", b"close"))
        self.has_answered = True
        response = h11.Response(
            status_code=status, headers=framed_headers, reason=reason
        )
        data = self._http.send(response) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        # Shielded so that a deadline that passes now doesn't leave the caller without
        # the response.
        with anyio.CancelScope(shield=True):
            await self._write(data)

    async def refuse_unread(self, error: BadRequestError) -> None:
        """Refuses a request that can't be read; the connection must be closed then.

        Raises:
            CallerDisconnectedError: The caller has disconnected.
        """
        await self.answer(error.status, [], b"", close=True)
        self._release_body()
        with contextlib.suppress(OSError):
            await self._stream.discard_input(DISCARD_LIMIT_BYTES, DISCARD_TIMEOUT_S)

    def start_next_request(self) -> bool:
        """Prepares for the next request; returns False if the connection must end."""
        self._release_body()
        self.has_served = True
        self.idle_since_ms = timers.now_ms()
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE) or self._is_disconnected:
            return False
        self._http.start_next_cycle()
        self.is_idle = not self._http.trailing_data[0] and not self._stream.has_input
        return True

    def _release_body(self) -> None:
        self.holder.set(Kind.BODY, 0)
        if self.body_reservation is not None:
            self.body_reservation.release()
            self.body_reservation = None

    def close(self) -> None:
        """Closes the connection; an incomplete response stays incomplete."""
        self._release_body()
        self._stream.close()
        if self._stream.has_unsent:
            self._stream.on_lost = self.holder.close
        else:
            self.holder.close()

    def abort(self) -> None:
        """Closes the connection at once; ends a write that its caller doesn't read."""
        self._stream.discard()
        self.holder.close()

    def _close_as_largest(self) -> None:
        metrics.CALLERS_CLOSED.inc("held_bytes")
        events.log_rate_limited(
            events.Event.CALLER_CLOSED, reason="held_bytes", peer=self._stream.peer_ip
        )
        self._stream.discard()

    async def _receive(self) -> bytes:
        try:
            data = await self._stream.receive()
        except OSError:
            # A reset is treated like a disconnect.
            return b""
        self._parser_bytes += len(data)
        if not self.holder.add(Kind.INPUT, len(data)):
            return b""
        return data

    def _count_parser(self, size_bytes: int) -> None:
        """Counts what `h11` still has of the input."""
        self.holder.remove(Kind.INPUT, self._parser_bytes - size_bytes)
        self._parser_bytes = size_bytes

    async def _send(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            await self._write(data)

    async def _write(self, data: bytes) -> None:
        try:
            await self._stream.send(data, SEND_TIMEOUT_S)
        except (OSError, TimeoutError):
            self._is_disconnected = True
            raise CallerDisconnectedError from None


async def serve_safely(
    connection: CallerConnection, serve: Callable[[CallerConnection], Awaitable[None]]
) -> None:
    """Serves a connection and closes it; its exceptions affect no other connection."""
    try:
        await serve(connection)
    except CallerDisconnectedError:
        pass
    except Exception as error:
        events.log(
            events.Event.CALL_FAILED,
            reason=repr(error),
            trace=traceback.format_exc(limit=-8),
        )
    finally:
        connection.close()


def _check_framing(headers: list[tuple[bytes, bytes]]) -> None:
    """Rejects requests whose end two parsers could see in different places.

    Raises:
        BadRequestError: The request has both Content-Length and Transfer-Encoding.
    """
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise BadRequestError(400, "both Content-Length and Transfer-Encoding")
