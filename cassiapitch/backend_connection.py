"""HTTP/1.1 client connections to backend servers, on `h11`; for forwarded requests."""

import contextlib
import dataclasses
import weakref
from collections.abc import Collection
from typing import Any

import anyio
import h11

from cassiapitch import events, metrics, response_statuses, timers
from cassiapitch.backend_paths import BackendPaths
from cassiapitch.bytestream import ByteStream
from cassiapitch.header_codec import HeaderCodec
from cassiapitch.held_bytes import Holder, Kind
from cassiapitch.home_regions import Regions
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

CONNECT_TIMEOUT_MS = 700
# Idle connections are closed this long before the backend server would close them: a
# request sent while it closes one may or may not have been read.
IDLE_MARGIN_MS = 800
DEFAULT_IDLE_MS = 4_000
# Idle connections that are kept per incarnation.
IDLE_LIMIT_COUNT = 16
# Connections to all backend servers, idle or in use, unless descriptors allow fewer.
DEFAULT_LIMIT_COUNT = 2_000
HEAD_LIMIT_BYTES = 64 * 1024
# Interim responses (status 1xx) allowed before the final one; each is limited to
# `HEAD_LIMIT_BYTES`.
INTERIM_LIMIT_COUNT = 8


# Larger bodies are written in pieces of this size.
PIECE_BYTES = 64 * 1024

# Refused requests that a connection remembers; it is closed after so many.
REFUSED_LIMIT_COUNT = 32

# Responses that are not relayed are read up to these limits, so that their connection
# can be reused.
DISCARD_LIMIT_BYTES = 64 * 1024
DISCARD_LIMIT_MS = 250
# A backend server reports on itself without a slot.
IDENTITY_TIMEOUT_MS = 400
IDENTITY_LIMIT_BYTES = 256 * 1024


class BackendUnreachableError(Exception):
    """No connection could be opened, so nothing was sent."""


class BackendBrokenError(Exception):
    """The connection failed, or the response is invalid or incomplete."""


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status, reason and headers of a response."""

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the body."""
        names = {name.lower() for name, _ in self.headers}
        return names.isdisjoint((b"content-length", b"transfer-encoding"))


class BackendConnection:
    """One connection to one incarnation of a backend server."""

    def __init__(self, life_id: LifeId, stream: ByteStream) -> None:
        self.life_id = life_id
        self.stream = stream
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )
        self.idle_until_ms = 0
        self.is_reused = False
        # Whether the process at its other end is known to be the incarnation.
        self.is_verified = False
        # Whether the backend server ended or reset the connection.
        self.was_ended = False
        # Set when the backend server is leaving.
        self.close_after_use = False
        # Requests that it has refused here. It may write a refusal once more, and only
        # the request id tells it from the response to a later request.
        self._refused_ids: set[str | None] = set()

    def hold_for(self, holder: Holder) -> None:
        """Counts unread and unsent bytes for a caller's connection from now on."""
        self.stream.hold_for(holder, Kind.BACKEND_INPUT, Kind.BACKEND_OUTPUT)

    async def send(
        self,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Writes a complete request.

        A failed write is ignored and detected by `read_head`: the backend server may
        have responded before it read the whole request.
        """
        framed_headers = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            framed_headers.append((b"Content-Length", str(len(body)).encode()))
        request = h11.Request(method=method, target=target, headers=framed_headers)
        data = self._http.send(request) or b""
        if body:
            # With Content-Length, the body is written as it is.
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        with contextlib.suppress(OSError):
            if len(body) <= PIECE_BYTES:
                await self.stream.send(data + body)
                return
            # A backend server that reads slowly leaves one piece unsent, not a copy of
            # the body.
            await self.stream.send(data)
            for start in range(0, len(body), PIECE_BYTES):
                await self.stream.send(body[start : start + PIECE_BYTES])

    async def read_head(self) -> ResponseHead:
        """Returns the response's head.

        Raises:
            BackendBrokenError: No complete head with a valid status was received.
        """
        for _ in range(INTERIM_LIMIT_COUNT + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                if not response_statuses.is_final(event.status_code):
                    raise BackendBrokenError(f"invalid status {event.status_code}")
                headers = [(bytes(name), bytes(value)) for name, value in event.headers]
                return ResponseHead(event.status_code, bytes(event.reason), headers)
            if not isinstance(event, h11.InformationalResponse):
                raise BackendBrokenError(f"unexpected {type(event).__name__}")
        raise BackendBrokenError("too many interim responses")

    async def read_data(self) -> bytes | None:
        """Returns the next bytes of the body, or None at its end.

        Raises:
            BackendBrokenError: The body is not complete.
        """
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                return None
            raise BackendBrokenError(f"unexpected {type(event).__name__}")

    async def read_identity(self, codec: HeaderCodec, name: str) -> LifeId | None:
        """Asks the backend server which incarnation it is; None if it doesn't say.

        Raises:
            BackendBrokenError: There is no response in time, or it is of another one.
        """
        content = b""
        with anyio.move_on_after(IDENTITY_TIMEOUT_MS / 1000):
            headers = codec.identity_headers(name)
            await self.send(b"GET", codec.identity_path.encode(), headers, b"")
            head = await self.read_head()
            while (data := await self.read_data()) is not None:
                content += data
                if len(content) > IDENTITY_LIMIT_BYTES:
                    raise BackendBrokenError("the report is too long")
            if codec.read_backend(head.status, head.headers).is_other_backend:
                raise BackendBrokenError("another backend server has the address")
            if self._http.their_state is not h11.DONE:
                raise BackendBrokenError("the report ends the connection")
            self._http.start_next_cycle()
            return codec.read_identity(name, content)
        raise BackendBrokenError("no report in time")

    async def discard_body(self) -> bool:
        """Reads a response to its end; returns false if it is too long or too slow."""
        size_bytes = 0
        with anyio.move_on_after(DISCARD_LIMIT_MS / 1000):
            try:
                while (data := await self.read_data()) is not None:
                    size_bytes += len(data)
                    if size_bytes > DISCARD_LIMIT_BYTES:
                        return False
            except BackendBrokenError as error:
                events.log(events.Event.FORWARD_BODY_LEFT, reason=str(error))
                return False
            return True
        return False

    async def _next_event(self) -> Any:
        try:
            while (event := self._http.next_event()) is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
        except h11.RemoteProtocolError as error:
            raise BackendBrokenError(f"no valid response: {error}") from None
        return event

    async def _receive(self) -> bytes:
        try:
            data = await self.stream.receive()
        except OSError:
            # A tunnel that breaks off may have lost the peer only.
            self.was_ended = not self.stream.is_tunneled
            raise BackendBrokenError("the connection was reset") from None
        self.was_ended = self.was_ended or not data
        return data

    def record_refusal(self, request_id: str | None) -> None:
        """Records that a request was refused; it may be sent again elsewhere only."""
        self._refused_ids.add(request_id)
        if request_id is None or len(self._refused_ids) >= REFUSED_LIMIT_COUNT:
            self.close_after_use = True

    def may_carry(self, request_id: str | None) -> bool:
        """Returns whether the response to a request could be told from a refusal."""
        return request_id not in self._refused_ids

    @property
    def is_tunneled(self) -> bool:
        """Whether another entry passes the bytes on."""
        return self.stream.is_tunneled

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self.stream.is_closing

    def is_reusable(self) -> bool:
        """Returns whether the connection can be used again.

        The exchange must be complete, with no bytes received after the response.
        """
        states = (self._http.our_state, self._http.their_state)
        is_done = states == (h11.DONE, h11.DONE)
        data, is_closed = self._http.trailing_data
        has_no_input = not data and not self.stream.has_input
        is_open = not is_closed and not self.is_closed and not self.close_after_use
        is_open = is_open and self.stream.may_be_reused
        return is_done and has_no_input and is_open

    def begin_idle(self, idle_ms: int) -> None:
        """Prepares the connection for the next request.

        Bytes that arrive while it is idle belong to no request and close it.
        """
        self._http.start_next_cycle()
        self.stream.end_hold()
        self.stream.unwatch_path()
        self.stream.on_input = self.close
        self.idle_until_ms = timers.now_ms() + idle_ms

    def end_idle(self) -> bool:
        """Ends the idle state; returns False if the connection can't be used again."""
        self.stream.on_input = None
        is_expired = timers.now_ms() >= self.idle_until_ms
        if self.is_closed or is_expired or self.stream.is_readable:
            self.close()
            return False
        self.stream.watch_path()
        self.is_reused = True
        return True

    def close(self) -> None:
        """Closes the connection at once."""
        self.stream.end_hold()
        self.stream.on_input = None
        self.stream.abort()


class BackendConnectionPool:
    """Idle connections by incarnation of a backend server."""

    def __init__(
        self, paths: BackendPaths, limit_count: int = DEFAULT_LIMIT_COUNT
    ) -> None:
        """Creates an empty pool.

        Args:
            paths: Opens connections.
            limit_count: From this many connections on, idle ones make room for new
                ones; requests in service are limited elsewhere.
        """
        self._paths = paths
        self._limit_count = limit_count
        # Connections in use and idle ones; also closed ones that still exist.
        self._opened: weakref.WeakSet[BackendConnection] = weakref.WeakSet()
        self._opening_count = 0
        self._idle: dict[LifeId, list[BackendConnection]] = {}
        self._drained_lives: frozenset[LifeId] = frozenset()

    async def open(
        self, backend: BackendItem, request_id: str | None, regions: Regions = None
    ) -> BackendConnection:
        """Returns an idle connection or a new one.

        Args:
            backend: The backend server.
            request_id: The caller's id of the request; without one, the connection is
                a new one.
            regions: Regions of the peers that may pass the request on; None for all.

        Raises:
            BackendUnreachableError: No connection could be opened in time.
        """
        idle = self._idle.get(backend.life_id, [])
        usable = [
            item
            for item in idle
            if item.may_carry(request_id)
            and self._paths.may_pass_on(item.stream, regions)
        ]
        while usable and request_id is not None:
            connection = usable.pop()
            idle.remove(connection)
            if connection.end_idle():
                return connection
        metrics.CONNECTIONS_OPENED.inc()
        self._make_room()
        self._opening_count += 1
        try:
            stream = await self._paths.connect(backend, CONNECT_TIMEOUT_MS, regions)
        except OSError as error:
            raise BackendUnreachableError(str(error) or "timeout") from None
        finally:
            self._opening_count -= 1
        connection = BackendConnection(backend.life_id, stream)
        self._opened.add(connection)
        return connection

    def _make_room(self) -> None:
        """Closes the idle connections that would expire first if there are too many."""
        excess_count = len(self._opened) + self._opening_count + 1 - self._limit_count
        if excess_count <= 0:
            return
        for connection in [item for item in self._opened if item.is_closed]:
            self._opened.discard(connection)
            excess_count -= 1
        idle = [item for items in self._idle.values() for item in items]
        idle = [item for item in idle if not item.is_closed]
        idle.sort(key=lambda item: item.idle_until_ms)
        for connection in idle[: max(0, excess_count)]:
            connection.close()
            self._idle[connection.life_id].remove(connection)
            self._opened.discard(connection)

    def has_idle(self, life_id: LifeId) -> bool:
        """Returns whether there is an idle connection that any request may use."""
        now_ms = timers.now_ms()
        return any(
            connection.idle_until_ms > now_ms
            and not connection.is_closed
            and not connection.is_tunneled
            for connection in self._idle.get(life_id, ())
        )

    def release_connection(
        self, connection: BackendConnection, idle_timeout_ms: int | None
    ) -> None:
        """Keeps a connection as idle for the next request, or closes it."""
        stated_ms = DEFAULT_IDLE_MS if idle_timeout_ms is None else idle_timeout_ms
        idle_ms = stated_ms - IDLE_MARGIN_MS
        self._close_expired()
        idle = self._idle.setdefault(connection.life_id, [])
        is_full = len(idle) >= IDLE_LIMIT_COUNT
        is_drained = connection.life_id in self._drained_lives
        is_detour = connection.is_tunneled and not self._paths.is_lost(
            connection.life_id
        )
        is_unwanted = is_full or is_detour or is_drained or idle_ms <= 0
        if is_unwanted or not connection.is_reusable():
            connection.close()
            return
        connection.begin_idle(idle_ms)
        idle.append(connection)

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Closes idle connections to all other incarnations, which left the view."""
        for life_id in [key for key in self._idle if key not in life_ids]:
            self.close_idle(life_id)

    def set_drained(self, life_ids: frozenset[LifeId]) -> None:
        """Closes idle connections to incarnations of drained zones; keeps none."""
        self._drained_lives = life_ids
        for life_id in life_ids:
            self.close_idle(life_id)

    def close_idle(self, life_id: LifeId) -> None:
        """Closes the idle connections to an incarnation."""
        for connection in self._idle.pop(life_id, ()):
            connection.close()

    def _close_expired(self) -> None:
        """Closes connections whose idle time is over."""
        now_ms = timers.now_ms()
        for idle in self._idle.values():
            for connection in idle:
                if connection.idle_until_ms <= now_ms:
                    connection.close()
            idle[:] = [item for item in idle if not item.is_closed]
