"""TCP connections and listeners directly on `asyncio` transports.

A read that finds data and a write that the kernel accepts at once don't yield to the
event loop. This matters because an entry does one of each per event of a stream.
"""

import asyncio
import contextlib
import errno
import re
import socket
import ssl
import weakref
from collections.abc import Callable, Iterator

import anyio

from cassiapitch import path_watch, unread_input
from cassiapitch.held_bytes import Holder, Kind

# Unread bytes above which reading from the socket is paused.
INPUT_LIMIT_BYTES = 64 * 1024
# The kernel's buffers of a connection; it takes twice as much for its own structures.
# Left alone it takes up to 6 MiB to receive and 4 MiB to send, which counts as memory
# of the instance.
RECEIVE_BUFFER_BYTES = 16 * 1024
SEND_BUFFER_BYTES = 16 * 1024
# Of a connection to a backend server. With 32 KiB, a caller that reads no events had 71
# KiB in the kernel.
BACKEND_BUFFER_BYTES = 16 * 1024
# Of a connection in a tunnel. A piece that is relayed is copied several times; with 16
# KiB, 8 MiB through a tunnel took more than 4 s.
TUNNEL_BUFFER_BYTES = 32 * 1024
# After a close, unsent data is flushed for this long at most.
LINGER_S = 5.0

_END_OF_HEAD = re.compile(rb"\n\r?\n")

# Most that a connection reads at once where its memory counts. What was read from an
# engine is split into events, whose objects take more than its bytes. With 8 KiB, an
# entry with 120 unread answers took 2 MiB less, but an answer of 2 MiB half as much
# processor time again.
READ_BYTES = 16 * 1024

# Lets a process listen at the port of an outgoing connection. The kernel picks that
# port, which may be one where another process of this instance listens later.
OUTGOING_OPTIONS = ((socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),)

OnConnected = Callable[["ByteStream"], None]


class ByteStream(asyncio.Protocol):
    """One connection; at most one task may read and one task may write at a time.

    Attributes:
        on_input: Called when bytes or the end of input arrive, before they are read.
        on_lost: Called when the connection has ended.
        is_tunneled: Whether another entry passes the bytes on.
        peer_zone: Zone of the entry that passes the bytes on; None without one.
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
        self._end_waiter: asyncio.Future[None] | None = None
        self._holder: Holder | None = None
        self._watched: path_watch.Watched | None = None
        self._input_kind = Kind.INPUT
        self._output_kind = Kind.OUTPUT
        self.on_input: Callable[[], None] | None = None
        self.on_lost: Callable[[], None] | None = None
        self.is_tunneled = False
        self.peer_zone: str | None = None
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
        limit_bytes = INPUT_LIMIT_BYTES
        if self._holder is not None:
            is_held = self._holder.add(self._input_kind, len(data))
            if not is_held and self.is_closing:
                return
            # The bytes of a connection to a backend server are held for its caller,
            # whose connection may have been closed: then its reader has to go on.
            limit_bytes = self._holder.input_limit_bytes
        if self._input_bytes > limit_bytes and not self._is_reading_paused:
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
        self._error = self._error or exc
        self.unwatch_path()
        self._signal_input()
        if self.on_lost is not None:
            self.on_lost()
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
        self._count_output()

    def _count_output(self) -> None:
        if self._holder is not None:
            size_bytes = self._require_transport().get_write_buffer_size()
            self._holder.set(self._output_kind, size_bytes)

    def _signal_input(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)
        waiter = self._end_waiter
        if self._is_ended and waiter is not None and not waiter.done():
            waiter.set_result(None)
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
    def is_readable(self) -> bool:
        """Like `has_input`, also before the event loop has read it."""
        sock = self._require_transport().get_extra_info("socket")
        return self.has_input or unread_input.is_readable(sock)

    @property
    def has_unsent(self) -> bool:
        """Whether the kernel hasn't taken all bytes yet."""
        return self._require_transport().get_write_buffer_size() > 0

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self._require_transport().is_closing()

    async def receive(self, limit_bytes: int | None = None) -> bytes:
        """Returns buffered bytes, waiting for the first; empty at end of input.

        Args:
            limit_bytes: The most to return; None for all.

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
        if limit_bytes is not None and len(data) > limit_bytes:
            self._input.append(data[limit_bytes:])
            data = data[:limit_bytes]
        if self._holder is not None:
            self._holder.remove(self._input_kind, len(data))
        self._input_bytes -= len(data)
        if self._is_reading_paused and not self._input:
            self._is_reading_paused = False
            if not self._require_transport().is_closing():
                self._require_transport().resume_reading()
        return data

    async def wait_ended(self) -> None:
        """Returns at the end of the input or of the connection; reads no bytes.

        With so much unread input that reading is paused, the end goes unnoticed.
        """
        while not self._is_ended:
            self._end_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._end_waiter
            finally:
                self._end_waiter = None

    def hold_for(self, holder: Holder, input_kind: Kind, output_kind: Kind) -> None:
        """Counts unread input and unsent output for a connection from now on.

        Args:
            holder: The connection.
            input_kind: Kind of the unread input.
            output_kind: Kind of the unsent output.
        """
        self._holder = holder
        self._input_kind, self._output_kind = input_kind, output_kind
        holder.add(input_kind, self._input_bytes)
        self._count_output()

    def end_hold(self) -> None:
        """Counts input and output no longer."""
        holder, self._holder = self._holder, None
        if holder is not None:
            holder.remove(self._input_kind, self._input_bytes)
            holder.set(self._output_kind, 0)

    def watch_path(self) -> None:
        """Ends the connection, with an error, if its path is lost."""
        sock = self._require_transport().get_extra_info("socket")
        if self._watched is None and not self.is_closing:
            self._watched = path_watch.running_watch().add(sock, self._end_lost)

    def unwatch_path(self) -> None:
        """Leaves the detection of a lost path to the kernel's probes."""
        watched, self._watched = self._watched, None
        if watched is not None:
            path_watch.running_watch().remove(watched)

    def _end_lost(self) -> None:
        self._error = TimeoutError(errno.ETIMEDOUT, "the peer acknowledges nothing")
        self.abort()

    def wait_for_each_write(self) -> None:
        """Makes `send` wait until the kernel has taken all bytes.

        So the connection holds unsent bytes only while its user waits.
        """
        wait_for_each_write(self._require_transport())

    def limit_reads(self) -> None:
        """Limits what is read at once; see `limit_reads` of this module."""
        limit_reads(self._require_transport())

    @property
    def peer_ip(self) -> str:
        """Address of the other end; empty if the connection has ended already."""
        name = self._require_transport().get_extra_info("peername")
        return name[0] if name else ""

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
        if self._holder is not None and transport.get_write_buffer_size():
            self._count_output()
        if self._write_waiter is not None:
            with anyio.fail_after(timeout_s):
                await asyncio.shield(self._write_waiter)
            if transport.is_closing():
                raise ConnectionResetError("the connection is closed")

    async def discard_input(self, limit_bytes: int, timeout_s: float) -> None:
        """Ends the output, then reads and drops input until its end or a limit.

        The kernel resets a connection that is closed with unread input, and a reset
        may overtake the response that was written last.

        Args:
            limit_bytes: Input that is dropped at most.
            timeout_s: How long the peer may take to end its input.
        """
        transport = self._require_transport()
        if transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        with anyio.move_on_after(timeout_s):
            while limit_bytes > 0 and (data := await self.receive()):
                limit_bytes -= len(data)

    def close(self) -> None:
        """Closes the connection after the write buffer is flushed."""
        transport = self._require_transport()
        if transport.is_closing():
            return
        transport.close()
        if transport.get_write_buffer_size():
            abort_later(transport, LINGER_S)

    def abort(self) -> None:
        """Closes the connection at once and discards the write buffer."""
        self._require_transport().abort()

    def discard(self) -> None:
        """Closes the connection at once and drops what was received."""
        self.abort()
        self._input.clear()
        if self._holder is not None:
            self._holder.remove(self._input_kind, self._input_bytes)
        self._input_bytes = 0


def head_lines_count(data: bytes) -> int:
    """Returns the number of lines of a complete HTTP head, or 0."""
    end = _END_OF_HEAD.search(data)
    return 0 if end is None else data.count(b"\n", 0, end.start() + 1)


def limit_reads(transport: asyncio.BaseTransport) -> None:
    """Limits what a transport of `asyncio` reads at once.

    By default it takes 256 KiB for each read and cuts the block to what has arrived,
    which fragments the heap: with answers of 2 MiB, it grew to 130 MiB for 30 MiB in
    use. Over TLS it takes 256 KiB more before it stops for a reader that has paused.
    """
    # Of the selector event loop's transports.
    if hasattr(transport, "max_size"):
        transport.max_size = READ_BYTES
    # Of its transports over TLS.
    if hasattr(transport, "set_read_buffer_limits"):
        transport.set_read_buffer_limits(READ_BYTES)


def abort_later(transport: asyncio.WriteTransport, delay_s: float) -> None:
    """Ends a connection that is still open after a while.

    The timer keeps no connection that is closed: one with TLS has 400 KB of buffers.
    """
    find_transport = weakref.ref(transport)

    def abort_if_open() -> None:
        open_transport = find_transport()
        if open_transport is not None:
            open_transport.abort()

    asyncio.get_running_loop().call_later(delay_s, abort_if_open)


def wait_for_each_write(transport: asyncio.WriteTransport) -> None:
    """Pauses the writer of a transport whenever some of its bytes are unsent."""
    # Over TLS, asyncio pauses at `high` already: with 0, each write would wait until
    # the peer sends something.
    is_encrypted = transport.get_extra_info("sslcontext") is not None
    transport.set_write_buffer_limits(high=1 if is_encrypted else 0, low=0)


def outgoing_socket(ip: str) -> socket.socket:
    """Returns a socket for a connection to an address.

    Raises:
        OSError: There is no socket left.
    """
    family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    # For sockets created with IPPROTO_TCP, asyncio itself turns off Nagle's algorithm.
    # If that fails, it keeps an incomplete transport, and refuses the next socket that
    # gets the same number.
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for option in OUTGOING_OPTIONS:
            sock.setsockopt(*option)
    except BaseException:
        sock.close()
        raise
    return sock


async def connect(
    ip: str,
    port: int,
    *,
    tls: ssl.SSLContext | None = None,
    make_stream: Callable[[], ByteStream] = ByteStream,
    receive_bytes: int = BACKEND_BUFFER_BYTES,
    send_bytes: int = BACKEND_BUFFER_BYTES,
) -> ByteStream:
    """Opens a connection that ends when its path is lost.

    Args:
        ip: Address of the peer.
        port: Its port.
        tls: TLS to use; None for plain TCP.
        make_stream: Returns a stream without a transport.
        receive_bytes: Kernel's receive buffer.
        send_bytes: Kernel's send buffer.

    Raises:
        OSError: Connecting failed.
    """
    loop = asyncio.get_running_loop()
    sock = outgoing_socket(ip)
    with closed_on_failure(sock):
        path_watch.probe_when_idle(sock)
        # Set later, it wouldn't lower the window that the peer was offered first.
        limit_buffers(sock, receive_bytes, send_bytes)
        await loop.sock_connect(sock, (ip, port))
        hostname = None if tls is None else ip
        _, stream = await loop.create_connection(
            make_stream, sock=sock, ssl=tls, server_hostname=hostname
        )
    stream.watch_path()
    return stream


@contextlib.contextmanager
def closed_on_failure(sock: socket.socket) -> Iterator[None]:
    """Closes a socket if connecting it fails.

    Raises:
        OSError: Connecting failed.
    """
    try:
        yield
    except RuntimeError as error:
        # asyncio refuses a socket with the number of a transport that it could not
        # complete, until the garbage collection frees that one.
        sock.close()
        raise OSError(errno.EBUSY, str(error)) from None
    except (OverflowError, ValueError) as error:
        # A peer may have stated any number as its port and any text as its address.
        sock.close()
        raise OSError(errno.EINVAL, str(error)) from None
    except BaseException:
        sock.close()
        raise


def limit_buffers(
    sock: socket.socket, receive_bytes: int, send_bytes: int | None
) -> None:
    """Limits what the kernel holds of a connection in each direction.

    Args:
        sock: Socket of the connection, or the listener whose connections inherit it.
        receive_bytes: Receive buffer, for bytes that this process doesn't read.
        send_bytes: Send buffer, for bytes that the peer doesn't acknowledge; None to
            leave it to the kernel.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    if send_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_bytes)


def limit_unsent(sock: socket.socket, unsent_bytes: int) -> None:
    """Limits what the kernel takes beyond what it may send to the peer now.

    Unlike a send buffer, this doesn't limit the speed of a connection with a long round
    trip.
    """
    if hasattr(socket, "TCP_NOTSENT_LOWAT"):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, unsent_bytes)
