"""TCP connections and listeners directly on `asyncio` transports.

A read that finds data and a write that the kernel accepts at once don't yield to the
event loop. This matters because an entry does one of each per event of a stream.
"""

import asyncio
import socket
import ssl
from collections.abc import Callable

import anyio

from cassiapitch.settings import Address

# Unread bytes above which reading from the socket is paused.
INPUT_LIMIT_BYTES = 256 * 1024
LISTEN_BACKLOG = 1_024
# After a close, unsent data is flushed for this long at most.
LINGER_S = 5.0
# Event loop iterations in which the kernel's accept queue is emptied.
ACCEPT_ITERATIONS_COUNT = 4

# A connection whose peer acknowledges nothing for this long has lost its path. A host
# acknowledges even while the process on it stands still.
SILENCE_LIMIT_MS = 1_800
# An idle connection is probed this often, in whole seconds.
PROBE_PERIOD_S = 1

OnConnected = Callable[["ByteStream"], None]


class ByteStream(asyncio.Protocol):
    """One connection; at most one task may read and one task may write at a time.

    Attributes:
        on_input: Called when bytes or the end of input arrive, before they are read.
        is_tunneled: Whether another entry passes the bytes on.
        may_be_reused: Whether a further request may use the connection.
    """

    def __init__(self, on_connected: OnConnected | None = None) -> None:
        """Creates a stream without a transport; the event loop adds it on connecting.

        Args:
            on_connected: Called once the connection is established.
        """
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._input: list[bytes] = []
        self._input_bytes = 0
        self._is_reading_paused = False
        self._is_ended = False
        self._error: Exception | None = None
        self._read_waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self.on_input: Callable[[], None] | None = None
        self.is_tunneled = False
        self.may_be_reused = True

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and calls `on_connected`."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if self._on_connected is not None:
            self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Buffers received bytes; pauses reading if there are too many."""
        self._input.append(data)
        self._input_bytes += len(data)
        if self._input_bytes > INPUT_LIMIT_BYTES and not self._is_reading_paused:
            self._is_reading_paused = True
            self._require_transport().pause_reading()
        self._signal_input()

    def eof_received(self) -> bool:
        """Records the end of input; the connection stays open for writing."""
        self._is_ended = True
        self._signal_input()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the connection and wakes reader and writer."""
        self._is_ended = True
        self._error = exc
        self._signal_input()
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)

    def pause_writing(self) -> None:
        """Makes `send` wait until the write buffer has drained."""
        if self._write_waiter is None:
            self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Wakes the waiting writer."""
        waiter, self._write_waiter = self._write_waiter, None
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _signal_input(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
        if self.on_input is not None:
            self.on_input()

    def _require_transport(self) -> asyncio.Transport:
        assert self._transport is not None
        return self._transport

    # Interface for the user of the stream.

    @property
    def has_input(self) -> bool:
        """Whether there are unread bytes or the input has ended."""
        return bool(self._input) or self._is_ended

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._require_transport().is_closing()

    async def receive(self) -> bytes:
        """Returns all buffered bytes, waiting for the first; empty at end of input.

        Raises:
            OSError: The connection was reset.
        """
        while not self._input:
            if self._error is not None:
                raise ConnectionResetError(str(self._error) or repr(self._error))
            if self._is_ended:
                return b""
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._read_waiter
            finally:
                self._read_waiter = None
        data = self._input[0] if len(self._input) == 1 else b"".join(self._input)
        self._input.clear()
        self._input_bytes = 0
        if self._is_reading_paused:
            self._is_reading_paused = False
            if not self._require_transport().is_closing():
                self._require_transport().resume_reading()
        return data

    async def send(self, data: bytes, timeout_s: float | None = None) -> None:
        """Writes bytes; waits only while the write buffer is too full.

        Args:
            data: The bytes.
            timeout_s: Longest wait for the write buffer to drain.

        Raises:
            OSError: The connection is closed.
            TimeoutError: The peer read too slowly.
        """
        transport = self._require_transport()
        if transport.is_closing():
            raise ConnectionResetError("the connection is closed")
        transport.write(data)
        if self._write_waiter is not None:
            with anyio.fail_after(timeout_s):
                await asyncio.shield(self._write_waiter)
            if transport.is_closing():
                raise ConnectionResetError("the connection is closed")

    def close(self) -> None:
        """Closes the connection after the write buffer is flushed."""
        transport = self._require_transport()
        if transport.is_closing():
            return
        transport.close()
        if transport.get_write_buffer_size():
            asyncio.get_running_loop().call_later(LINGER_S, transport.abort)

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        self._require_transport().abort()


def limit_silence(sock: socket.socket) -> None:
    """Lets the kernel end a connection whose peer has fallen silent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENCE_LIMIT_MS)


async def connect(
    ip: str,
    port: int,
    *,
    tls: ssl.SSLContext | None = None,
    make_stream: Callable[[], ByteStream] = ByteStream,
) -> ByteStream:
    """Opens a connection that ends when its peer falls silent.

    Args:
        ip: Address of the peer.
        port: Its port.
        tls: TLS to use; None for plain TCP.
        make_stream: Returns a stream without a transport.

    Raises:
        OSError: Connecting failed.
    """
    loop = asyncio.get_running_loop()
    transport, stream = await loop.create_connection(make_stream, ip, port, ssl=tls)
    limit_silence(transport.get_extra_info("socket"))
    return stream


def listening_socket(address: Address) -> socket.socket:
    """Returns a bound, listening socket; port 0 picks a free port."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    # asyncio turns off Nagle's algorithm only for sockets created with IPPROTO_TCP.
    # With Nagle's algorithm, the body of a response waits up to 40 ms for the
    # acknowledgement of its head.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.ip, address.port))
    sock.listen(LISTEN_BACKLOG)
    sock.setblocking(False)
    return sock


class Listener:
    """A listening socket that passes accepted connections to a callback."""

    def __init__(self, address: Address, on_connected: OnConnected) -> None:
        """Binds the address; with port 0 a free port is picked, see `port`.

        Args:
            address: Where to listen.
            on_connected: Called with each accepted connection.
        """
        self._socket = listening_socket(address)
        self.port: int = self._socket.getsockname()[1]
        self._on_connected = on_connected
        self._server: asyncio.Server | None = None

    async def run_until(self, closed: anyio.Event) -> None:
        """Accepts connections until an event is set, or until cancelled."""
        await self.open()
        try:
            await closed.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await self.close()

    async def open(self) -> None:
        """Starts accepting connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ByteStream(self._on_connected),
            sock=self._socket,
            backlog=LISTEN_BACKLOG,
        )

    async def close(self) -> None:
        """Accepts the connections that are already queued, then stops listening.

        When a listening socket is closed, the kernel resets the connections in its
        accept queue. Under load, a planned stop would lose requests that callers have
        already sent on them.
        """
        for _ in range(ACCEPT_ITERATIONS_COUNT):
            await asyncio.sleep(0)
        if self._server is not None:
            self._server.close()
        self._socket.close()
