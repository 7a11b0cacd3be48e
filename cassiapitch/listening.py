"""Listening sockets whose accepted connections become byte streams."""

import asyncio
import errno
import functools
import socket
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import task_failures
from cassiapitch.bytestream import (
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    ByteStream,
    OnConnected,
    limit_buffers,
)
from cassiapitch.settings import Address
from cassiapitch.socket_retries import Listeners, ListeningSocket

LISTEN_BACKLOG = 1_024
# Connections accepted in one iteration of the event loop. Those over a limit are
# refused two iterations later, by which time another batch is accepted.
ACCEPT_BATCH_COUNT = 16
# Event loop iterations in which the kernel's accept queue is emptied.
ACCEPT_ITERATIONS_COUNT = LISTEN_BACKLOG // ACCEPT_BATCH_COUNT + 1


class PausableSocket(socket.socket):
    """A listening socket that accepts nothing while it is paused.

    Attributes:
        is_paused: Whether connections stay in the kernel's queue.
    """

    is_paused = False

    def accept(self) -> tuple[socket.socket, Any]:
        """Accepts a connection.

        Raises:
            BlockingIOError: None is queued, or the socket is paused.
            OSError: The call failed.
        """
        if self.is_paused:
            raise BlockingIOError(errno.EAGAIN, "paused")
        return super().accept()


def listening_socket(
    address: Address,
    receive_bytes: int = RECEIVE_BUFFER_BYTES,
    send_bytes: int | None = SEND_BUFFER_BYTES,
) -> PausableSocket:
    """Returns a bound, listening socket; port 0 picks a free port.

    Args:
        address: Where to listen.
        receive_bytes: Kernel's receive buffer of accepted connections.
        send_bytes: Their send buffer; None to leave it to the kernel.

    Raises:
        OSError: The address can't be had now, or at all.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    # asyncio turns off Nagle's algorithm only for sockets created with IPPROTO_TCP.
    # With Nagle's algorithm, the body of a response waits up to 40 ms for the
    # acknowledgement of its head.
    sock = PausableSocket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit the sizes of the kernel's buffers.
        limit_buffers(sock, receive_bytes, send_bytes)
        sock.bind((address.ip, address.port))
        sock.listen(LISTEN_BACKLOG)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


class Listener:
    """A listening socket that passes accepted connections to a callback."""

    def __init__(
        self,
        address: Address,
        on_connected: OnConnected,
        name: str = "listener",
        listeners: Listeners | None = None,
    ) -> None:
        """Binds the address if it is free; with port 0 a free port is picked.

        Args:
            address: Where to listen.
            on_connected: Called with each accepted connection.
            name: Name of the listener in the log.
            listeners: The listeners of the process; None for one of its own.

        Raises:
            UnusableAddressError: No process of this instance can listen there.
        """
        self._socket = ListeningSocket(listeners, name, address, listening_socket)
        self._on_connected = on_connected
        self._server: asyncio.Server | None = None
        self._refused_count = 0

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._socket.port

    async def run_until(self, closed: anyio.Event) -> None:
        """Accepts connections until an event is set, or until cancelled.

        Raises:
            ListenTimeoutError: The address was taken for too long.
            UnusableAddressError: No process of this instance can listen there.
        """
        await self.open(closed)
        try:
            await closed.wait()
        finally:
            with anyio.CancelScope(shield=True):
                await self.close()

    async def open(self, closed: anyio.Event | None = None) -> None:
        """Starts accepting connections; see `ListeningSocket.open`."""
        await self._socket.open(self._start, closed)

    async def _start(self, sock: socket.socket) -> None:
        assert isinstance(sock, PausableSocket)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ByteStream(functools.partial(self._connect, sock)),
            sock=sock,
            backlog=ACCEPT_BATCH_COUNT,
        )
        try:
            # asyncio has used its `backlog` for both; the queue may be longer.
            sock.listen(LISTEN_BACKLOG)
        except OSError:
            self._server.close()
            raise

    def _connect(self, sock: PausableSocket, stream: ByteStream) -> None:
        """Passes a connection on; pauses until the refused ones have ended.

        A refused connection has its descriptor until the next iteration. A crowd whose
        connections were accepted meanwhile could take all that are reserved.
        """
        try:
            self._on_connected(stream)
        except Exception as error:
            # Nobody else knows of the connection.
            task_failures.log_failure("accept", error)
            stream.abort()
        if stream.is_closing:
            self._refused_count += 1
            sock.is_paused = True
            stream.on_lost = functools.partial(
                self._forget_refused, sock, stream.on_lost
            )

    def _forget_refused(
        self, sock: PausableSocket, on_lost: Callable[[], None] | None
    ) -> None:
        self._refused_count -= 1
        sock.is_paused = self._refused_count > 0
        if on_lost is not None:
            on_lost()

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
