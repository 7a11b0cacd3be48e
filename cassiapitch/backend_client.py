"""HTTP client of backend servers: pooled connections and single requests.

Used by the OpenAI-compatible interface; forwarding has `backend_connection`.
"""

import dataclasses
from collections.abc import AsyncGenerator, Callable
from typing import Any

import anyio
import httpcore

from cassiapitch import bytestream, response_statuses, timers
from cassiapitch.backend_paths import BackendPaths
from cassiapitch.bytestream import ByteStream
from cassiapitch.held_bytes import Holder, Kind
from cassiapitch.home_regions import Regions
from cassiapitch.mapped_bytes import MappedBytes
from cassiapitch.types import LifeId
from cassiapitch.viewitems import (
    BackendItem,
)

CONNECT_LIMIT_MS = 1_000
IDLE_LIMIT_S = 10.0
IDLE_LIMIT_COUNT = 64
# Larger bodies are written in pieces of this size, so that a backend server that reads
# slowly leaves one piece unsent, not a copy of the body.
PIECE_BYTES = 32 * 1024
OK_STATUS, FIRST_REDIRECT_STATUS = 200, 300
LIFE_HEADER = b"x-life-id"

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """No connection was made, so nothing was sent.

    Attributes:
        refused: Whether connecting failed with an error rather than a timeout.
    """

    refused: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended or timed out after sending had begun.

    Attributes:
        was_ended: Whether it ended or was reset rather than timed out.
    """

    was_ended: bool = False


class _GuardedStream(httpcore.AsyncNetworkStream):
    """Network stream that calls `guard` just before each write.

    `httpcore` yields to the event loop between the call and the write. A process
    that is suspended there would send with an authorization that has expired.
    """

    def __init__(self, stream: ByteStream) -> None:
        self.byte_stream = stream
        self.guard: Callable[[], None] | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        try:
            with anyio.fail_after(timeout):
                return await self.byte_stream.receive(
                    min(max_bytes, bytestream.READ_BYTES)
                )
        except TimeoutError as error:
            raise httpcore.ReadTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.ReadError(str(error)) from error

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        if self.guard is not None:
            self.guard()
        try:
            await self.byte_stream.send(buffer, timeout)
        except TimeoutError as error:
            raise httpcore.WriteTimeout(str(error)) from error
        except OSError as error:
            raise httpcore.WriteError(str(error)) from error

    async def aclose(self) -> None:
        self.byte_stream.end_hold()
        self.byte_stream.close()

    def get_extra_info(self, info: str) -> Any:
        # Bytes that arrive on an idle connection belong to no request. `httpcore`
        # treats a connection for which this is true as expired.
        return self.byte_stream.is_readable if info == "is_readable" else None

    @property
    def is_tunneled(self) -> bool:
        """Whether another entry passes the bytes on."""
        return self.byte_stream.is_tunneled

    @property
    def may_be_reused(self) -> bool:
        """Whether a further request may use the connection."""
        return self.byte_stream.may_be_reused


@dataclasses.dataclass(slots=True)
class Connection:
    """An open connection to one incarnation of a backend server."""

    http: httpcore.AsyncHTTP11Connection
    stream: _GuardedStream
    address: tuple[str, int]
    life_id: LifeId
    host: bytes


@dataclasses.dataclass(slots=True)
class Response:
    """A response whose head was read and whose body is still to be read."""

    status: int
    headers: Headers
    parts: AsyncGenerator[bytes, None]
    _http_response: httpcore.Response

    def header(self, name: bytes) -> str | None:
        """Returns a header's value or None; `name` is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value.decode("latin-1")
        return None

    async def close(self) -> None:
        """Ends the response; closes the connection if the body wasn't read whole."""
        with anyio.CancelScope(shield=True):
            await self.parts.aclose()
            await self._http_response.aclose()


class Connections:
    """Pool of idle connections, by incarnation and address of the backend server."""

    def __init__(self, paths: BackendPaths) -> None:
        """Creates an empty pool.

        Args:
            paths: Opens connections.
        """
        self._paths = paths
        self._idle: dict[tuple[LifeId, str, int], list[Connection]] = {}
        # Incarnations to which no idle connections are kept.
        self.drained_lives: frozenset[LifeId] = frozenset()

    async def open(
        self,
        backend: BackendItem,
        *,
        fresh: bool,
        regions: Regions = None,
        holder: Holder | None = None,
    ) -> Connection | NotConnected:
        """Returns an idle connection or opens one.

        What is unread and unsent on it counts for `holder` until it is released.

        Callers set `fresh`, which always opens one, if a lost request can't be
        repeated: the backend server may close an idle connection while a request is
        on its way, and then nobody knows whether the request was read.
        """
        idle = self._idle.get((backend.life_id, backend.ip, backend.port))
        while idle and not fresh:
            connection = idle.pop()
            if not self._paths.may_pass_on(connection.stream.byte_stream, regions):
                await _close(connection)
                continue
            if connection.http.is_available() and not connection.http.has_expired():
                _hold(connection.stream.byte_stream, holder)
                return connection
            await _close(connection)
        if idle:
            # Otherwise connections of calls that can't be repeated would pile up.
            await _close(idle.pop(0))
        try:
            stream = await self._paths.connect(backend, CONNECT_LIMIT_MS, regions)
        except TimeoutError:
            return NotConnected(refused=False)
        except OSError:
            return NotConnected(refused=True)
        stream.wait_for_each_write()
        stream.limit_reads()
        _hold(stream, holder)
        guarded = _GuardedStream(stream)
        host = backend.ip.encode()
        origin = httpcore.Origin(b"http", host, backend.port)
        http = httpcore.AsyncHTTP11Connection(origin, guarded, IDLE_LIMIT_S)
        authority = b"[%s]:%d" if b":" in host else b"%s:%d"
        return Connection(
            http,
            guarded,
            (backend.ip, backend.port),
            backend.life_id,
            authority % (host, backend.port),
        )

    async def release_connection(
        self, connection: Connection, status: int = OK_STATUS
    ) -> None:
        """Returns a connection to the pool, or closes it if it can't be reused.

        It can be reused if its last response was a success and was read to the end. A
        refusal or failure that is written once more would be taken for the response to
        the next request.
        """
        connection.stream.guard = None
        stream = connection.stream
        stream.byte_stream.end_hold()
        is_detour = stream.is_tunneled and not self._paths.is_lost(connection.life_id)
        is_success = OK_STATUS <= status < FIRST_REDIRECT_STATUS
        is_drained = connection.life_id in self.drained_lives
        may_be_reused = (
            is_success and stream.may_be_reused and not is_detour and not is_drained
        )
        if not may_be_reused or _has_trailing_data(connection):
            await _close(connection)
            return
        idle = self._idle.setdefault((connection.life_id, *connection.address), [])
        if connection.http.is_available() and len(idle) < IDLE_LIMIT_COUNT:
            idle.append(connection)
        else:
            await _close(connection)

    async def retain_only(self, life_ids: set[LifeId]) -> None:
        """Closes the idle connections to all other incarnations."""
        for key in [key for key in self._idle if key[0] not in life_ids]:
            for connection in self._idle.pop(key):
                await _close(connection)

    async def close_drained(self) -> None:
        """Closes the idle connections to incarnations of drained zones."""
        await self.retain_only({key[0] for key in self._idle} - self.drained_lives)

    async def close(self) -> None:
        """Closes every idle connection."""
        await self.retain_only(set())


async def exchange(
    connection: Connection,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    *,
    guard: Callable[[], None] | None,
    head_limit_ms: int,
    part_limit_ms: int,
) -> Response | ConnectionLost:
    """Sends one request and reads the head of its response.

    Args:
        connection: From `Connections.open`.
        method: HTTP method.
        target: Path and query.
        headers: Without `Host` and `Content-Length`.
        body: The whole body.
        guard: Called before every write; its exceptions propagate.
        head_limit_ms: Time limit until the head of the response has arrived.
        part_limit_ms: Time limit of each single read and write.
    """
    connection.stream.guard = guard
    fields = [(b"Host", connection.host), *headers]
    if body or method not in ("GET", "DELETE"):
        fields.append((b"Content-Length", str(len(body)).encode()))
    request = httpcore.Request(
        method.encode(),
        httpcore.URL(
            scheme=b"http",
            host=connection.address[0].encode(),
            port=connection.address[1],
            target=target.encode("ascii", "backslashreplace"),
        ),
        headers=fields,
        # `httpcore` keeps the content until the end of the response, but what a
        # generator has sent is freed.
        content=_pieces(body),
        extensions={
            "timeout": {
                "read": part_limit_ms / 1000,
                "write": part_limit_ms / 1000,
            }
        },
    )
    deadline_ms = timers.now_ms() + head_limit_ms
    response: httpcore.Response | None = None
    try:
        with anyio.move_on_after(max(0, deadline_ms - timers.now_ms()) / 1000):
            response = await connection.http.handle_async_request(request)
    except httpcore.TimeoutException:
        return ConnectionLost()
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return ConnectionLost(was_ended=True)
    if response is None:
        return ConnectionLost()
    if not response_statuses.is_final(response.status):
        with anyio.CancelScope(shield=True):
            await response.aclose()
        return ConnectionLost()
    parts: Any = response.stream.__aiter__()
    return Response(response.status, response.headers, parts, response)


async def read_all(response: Response, limit_bytes: int) -> bytes | None:
    """Returns the whole body, or None if it is incomplete or too large.

    Args:
        response: The response.
        limit_bytes: Largest size.
    """
    body = await read_answer(response, limit_bytes)
    return None if body is None else body[:]


async def read_answer(
    response: Response,
    limit_bytes: int,
    on_part: Callable[[int], None] = lambda size_bytes: None,
) -> MappedBytes | None:
    """Returns the whole body, or None if it is incomplete or too large.

    Args:
        response: The response.
        limit_bytes: Largest size.
        on_part: Called with the size of each part; its exceptions propagate.
    """
    body = MappedBytes()
    try:
        async for part in response.parts:
            if len(body) + len(part) > limit_bytes:
                return None
            on_part(len(part))
            body.append(part)
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return None
    return body


async def _pieces(body: bytes) -> AsyncGenerator[bytes, None]:
    for start in range(0, len(body), PIECE_BYTES):
        yield body[start : start + PIECE_BYTES]


def _hold(stream: ByteStream, holder: Holder | None) -> None:
    if holder is not None:
        stream.hold_for(holder, Kind.BACKEND_INPUT, Kind.BACKEND_OUTPUT)


def _has_trailing_data(connection: Connection) -> bool:
    """Tells whether bytes followed a response, such as a second copy of it."""
    # httpcore would treat them as the response to the next request.
    h11_state = getattr(connection.http, "_h11_state", None)
    return h11_state is None or bool(h11_state.trailing_data[0])


async def _close(connection: Connection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.http.aclose()
