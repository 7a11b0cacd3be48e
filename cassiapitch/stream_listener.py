"""Listener for streams between processes; bounds what peers take before they identify.

Whoever reaches the port can open connections. Until its first message, a peer holds a
place among a limited number; a TLS handshake, which takes buffers of 300 KB, has to
wait for one of fewer places. A peer that has sent nothing, or is late with its first
message, loses its place to others.
"""

import asyncio
import collections
import contextlib
import dataclasses
import functools
import socket
import ssl
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

from cassiapitch import (
    bytestream,
    events,
    listening,
    metrics,
    task_failures,
    unread_input,
)
from cassiapitch.settings import Address
from cassiapitch.socket_retries import Listeners, ListeningSocket

# From connecting to the first byte, and for the handshake that it begins.
FIRST_BYTE_TIMEOUT_S = 5.0
HANDSHAKE_TIMEOUT_S = 10.0
# A handshake takes a few ms. One that takes this long ends if others wait for a place,
# and so does a connection without a first message if there are too many. The process
# itself may stand still for a second.
CONTENDED_TIMEOUT_S = 2.0
# At most 10 MB for buffers of asyncio's TLS.
HANDSHAKES_LIMIT_COUNT = 32
# Kernel's receive buffer of a connection. One entry's tunnels pass 8 MiB in less than a
# second with it.
RECEIVE_BUFFER_BYTES = 32 * 1024
# What the kernel takes of a connection beyond what the peer has room for. Left alone,
# 120 tunnels whose answers were unread had 56 MiB there.
UNSENT_BYTES = 16 * 1024
# Twice as many unread bytes pause the reading of a connection.
READ_LIMIT_BYTES = 8 * 1024
# Connections that are accepted in one iteration of the event loop. With one, 650
# entries that linked anew took 13 s where each iteration took 120 ms.
ACCEPT_BATCH_COUNT = 64
# Those that are closed at once take a descriptor until the next iterations, and one
# that makes room for others has had some iterations for its first bytes: a batch is at
# most this part of the places for connections without a first message.
ACCEPT_BATCH_DIVISOR = 4
# After `accept` failed, for instance for lack of descriptors.
ACCEPT_PAUSE_S = 0.2


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A connection whose first message hasn't arrived.

    Attributes:
        opened_s: Time at which it was accepted, of the event loop's clock.
        abort: Closes it at once.
    """

    opened_s: float
    abort: Callable[[], None]


OnOpened = Callable[
    [Pending, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


# Takes the longest wait in seconds, and what to call with the error if it waits.
LoadTls = Callable[[float, Callable[[OSError], None]], Awaitable[ssl.SSLContext]]


def _no_limit() -> None:
    """Limits no connections."""


class StreamListener:
    """A listening socket whose connections are limited until their first message."""

    def __init__(
        self,
        address: Address,
        load_tls: LoadTls | None,
        on_opened: OnOpened,
        pending_limit_count: int,
        open_limit: Callable[[], int | None] = _no_limit,
        name: str = "listener",
        listeners: Listeners | None = None,
    ) -> None:
        """Binds the address if it is free; with port 0 a free port is picked.

        Args:
            address: Where to listen.
            load_tls: Returns the TLS to use, before connections are accepted; None for
                plain TCP.
            on_opened: Serves a connection once its handshake is complete; it calls
                `identify` at the first message and `end` at the end.
            pending_limit_count: Connections without a first message at once.
            open_limit: Returns how many connections may be open now; None for no limit.
            name: Name of the listener in the log.
            listeners: The listeners of the process; None for one of its own.

        Raises:
            UnusableAddressError: No process of this instance can listen there.
        """
        self._socket = ListeningSocket(listeners, name, address, _listening_socket)
        self._load_tls = load_tls
        if load_tls is not None:
            self._socket.hold_back()
        self._tls: ssl.SSLContext | None = None
        self._on_opened = on_opened
        self._pending_limit_count = pending_limit_count
        self._open_limit = open_limit
        self._pending: dict[Pending, None] = {}
        # Those of them that have sent nothing, with their sockets.
        self._silent: dict[Pending, socket.socket] = {}
        # Those whose first message has arrived.
        self._identified: set[Pending] = set()
        # Those that are no longer served, but aren't closed yet.
        self._ending: dict[Pending, None] = {}
        self._handshakes = asyncio.Semaphore(HANDSHAKES_LIMIT_COUNT)
        # Handshakes that take so long that they end when others wait.
        self._late_handshakes: collections.deque[asyncio.Transport] = (
            collections.deque()
        )
        self._waiting_count = 0
        # Accepted connections whose task hasn't begun.
        self._accepted_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._accept_task: asyncio.Task[None] | None = None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._socket.port

    async def open(self) -> None:
        """Starts accepting connections; see `ListeningSocket.open`."""
        if self._load_tls is not None:
            self._tls = await self._load_tls(
                self._socket.timeout_s,
                lambda error: self._socket.log_wait(error, "TLS files: "),
            )
        await self._socket.open(self._start)

    async def _start(self, sock: socket.socket) -> None:
        self._accept_task = asyncio.create_task(self._accept(sock))

    async def close(self) -> None:
        """Stops listening and ends the connections that aren't open yet."""
        tasks = [task for task in (self._accept_task, *self._tasks) if task]
        await task_failures.end_all(tasks, "listener")
        self._socket.close()

    def identify(self, pending: Pending) -> None:
        """Ends the limits of a connection at its first message."""
        if pending in self._pending:
            del self._pending[pending]
            self._identified.add(pending)

    def end(self, pending: Pending) -> None:
        """Lets a connection that is no longer served make room for others.

        Its last bytes may wait for the peer, and it keeps its place until it is closed.
        """
        if pending in self._pending or pending in self._identified:
            self._forget(pending)
            self._ending[pending] = None

    def _forget(self, pending: Pending) -> None:
        """Gives the place of a closed connection back."""
        self._pending.pop(pending, None)
        self._silent.pop(pending, None)
        self._identified.discard(pending)
        self._ending.pop(pending, None)

    async def _accept(self, sock: socket.socket) -> None:
        left_count = 0
        while True:
            try:
                accepted = await _accept_one(sock)
            except OSError as error:
                _refuse("descriptors", error=str(error))
                await asyncio.sleep(ACCEPT_PAUSE_S)
                continue
            try:
                self._start_opening(accepted)
            except Exception as error:
                # Nothing else would start to accept connections again.
                task_failures.log_failure("accept", error)
                accepted.close()
            # `_accept_one` doesn't yield while connections are queued.
            left_count -= 1
            if left_count <= 0:
                await asyncio.sleep(0)
                left_count = self._accept_batch_count()

    def _accept_batch_count(self) -> int:
        """Returns how many connections to accept before others are handled."""
        places_count = self._pending_limit_count
        limit_count = self._open_limit()
        if limit_count is not None:
            places_count = min(places_count, limit_count - len(self._identified))
        return max(1, min(ACCEPT_BATCH_COUNT, places_count // ACCEPT_BATCH_DIVISOR))

    def _start_opening(self, accepted: socket.socket) -> None:
        if not self._make_room():
            _refuse("streams")
            accepted.close()
            return
        self._accepted_count += 1
        task = asyncio.create_task(self._open(accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_room(self) -> bool:
        """Returns whether one more connection fits; may close another one for it.

        That is the oldest that has sent nothing, else the oldest that is no longer
        served, else the oldest without a first message if it is late.
        """
        pending_count = len(self._pending) + self._accepted_count
        open_count = pending_count + len(self._identified) + len(self._ending)
        limit_count = self._open_limit()
        has_room = limit_count is None or open_count < limit_count
        if has_room and pending_count < self._pending_limit_count:
            return True
        replaced = self._oldest_silent()
        if replaced is None and not has_room:
            replaced = next(iter(self._ending), None)
        if replaced is None:
            replaced = self._oldest_late()
        if replaced is None:
            return False
        if replaced not in self._ending:
            _close("silent")
        self._forget(replaced)
        replaced.abort()
        return True

    def _oldest_silent(self) -> Pending | None:
        """Returns the oldest connection that has sent nothing.

        A process of the system sends its first bytes as soon as it is connected, so
        that they are usually here once the connection is accepted.
        """
        while self._silent:
            pending, sock = next(iter(self._silent.items()))
            if not unread_input.is_readable(sock):
                return pending
            del self._silent[pending]
        return None

    def _oldest_late(self) -> Pending | None:
        """Returns the oldest connection without a first message if it is late."""
        oldest = next(iter(self._pending), None)
        if oldest is None:
            return None
        age_s = asyncio.get_running_loop().time() - oldest.opened_s
        return None if age_s < CONTENDED_TIMEOUT_S else oldest

    async def _open(self, accepted: socket.socket) -> None:
        """Waits for the first byte, then passes the connection on."""
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        assert task is not None
        pending = Pending(loop.time(), task.cancel)
        self._accepted_count -= 1
        self._pending[pending] = None
        self._silent[pending] = accepted
        transport: asyncio.Transport | None = None
        is_open = False
        try:
            async with asyncio.timeout(FIRST_BYTE_TIMEOUT_S):
                await _wait_readable(accepted)
            self._silent.pop(pending, None)
            transport, _ = await loop.connect_accepted_socket(_PausedProtocol, accepted)
            bytestream.limit_reads(transport)
            if self._tls is not None:
                # Nothing may be awaited between this and `_shake_hands`, which gives
                # the place back.
                await self._wait_for_handshake()
            pending.abort = transport.abort
            reader = asyncio.StreamReader(READ_LIMIT_BYTES, loop)
            serve = functools.partial(self._on_opened, pending)
            protocol = _ServedProtocol(reader, serve, loop)
            protocol.on_lost = functools.partial(self._forget, pending)
            if self._tls is not None:
                await self._shake_hands(transport, protocol)
            else:
                transport.set_protocol(protocol)
                protocol.connection_made(transport)
                transport.resume_reading()
            is_open = True
        except TimeoutError:
            _close("silent")
        except (OSError, RuntimeError) as error:
            # asyncio raises the latter for a descriptor with the number of a transport
            # that it could not complete.
            _close("handshake", error=str(error))
            # Frames of a failed handshake refer to its buffers, and to the error that
            # refers to them.
            traceback.clear_frames(error.__traceback__)
            error.__traceback__ = None
        finally:
            if not is_open:
                self._forget(pending)
                if transport is None:
                    accepted.close()
                else:
                    transport.abort()

    async def _wait_for_handshake(self) -> None:
        """Waits for a place; ends a handshake that has taken too long for that."""
        if self._handshakes.locked() and self._late_handshakes:
            _close("handshake")
            self._late_handshakes.popleft().abort()
        self._waiting_count += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self._handshakes.acquire()
        finally:
            self._waiting_count -= 1

    async def _shake_hands(
        self, transport: asyncio.Transport, protocol: asyncio.StreamReaderProtocol
    ) -> None:
        """Begins TLS at a place that `_wait_for_handshake` has taken.

        `loop.connect_accepted_socket` would do both in one, but in Python 3.11 its
        transport can't be closed during the handshake.
        """
        loop = asyncio.get_running_loop()
        late_timer = loop.call_later(
            CONTENDED_TIMEOUT_S, self._end_if_contended, transport
        )
        try:
            assert self._tls is not None
            tls_transport = await loop.start_tls(
                transport,
                protocol,
                self._tls,
                server_side=True,
                ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
            )
        finally:
            late_timer.cancel()
            with contextlib.suppress(ValueError):
                self._late_handshakes.remove(transport)
            self._handshakes.release()
        if tls_transport is None:
            # In Python 3.11 this is all that tells of an aborted transport.
            raise ConnectionAbortedError("the handshake was ended")
        bytestream.limit_reads(tls_transport)
        protocol.connection_made(tls_transport)

    def _end_if_contended(self, transport: asyncio.Transport) -> None:
        if self._waiting_count:
            _close("handshake")
            transport.abort()
        else:
            self._late_handshakes.append(transport)


class _PausedProtocol(asyncio.Protocol):
    """Reads nothing until another protocol replaces it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Pauses reading."""
        assert isinstance(transport, asyncio.Transport)
        transport.pause_reading()


class _ServedProtocol(asyncio.StreamReaderProtocol):
    """Passes a connection on, and tells when it is closed."""

    on_lost: Callable[[], None]

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells that the connection is closed."""
        super().connection_lost(exc)
        self.on_lost()
        # Otherwise the connection's buffers would wait for a garbage collection.
        del self.on_lost


def _listening_socket(address: Address) -> socket.socket:
    sock = listening.listening_socket(address, RECEIVE_BUFFER_BYTES, send_bytes=None)
    try:
        bytestream.limit_unsent(sock, UNSENT_BYTES)
    except BaseException:
        sock.close()
        raise
    return sock


async def _accept_one(sock: socket.socket) -> socket.socket:
    """Returns the next connection of a listening socket.

    `loop.sock_accept` of Python 3.11 raises an error in the event loop, and drops a
    connection, if it is cancelled in the iteration in which one arrives.
    """
    while True:
        try:
            accepted, _ = sock.accept()
        except (BlockingIOError, InterruptedError):
            await _wait_readable(sock)
            continue
        try:
            accepted.setblocking(False)
        except BaseException:
            accepted.close()
            raise
        return accepted


async def _wait_readable(sock: socket.socket) -> None:
    """Waits for the first byte, the end, or a connection, without taking it."""
    loop = asyncio.get_running_loop()
    is_readable = asyncio.Event()
    loop.add_reader(sock, is_readable.set)
    try:
        await is_readable.wait()
    finally:
        loop.remove_reader(sock)


def _refuse(reason: str, **fields: Any) -> None:
    metrics.CALLERS_REFUSED.inc(reason)
    events.log_rate_limited(events.Event.CALLER_REFUSED, reason=reason, **fields)


def _close(reason: str, **fields: Any) -> None:
    metrics.CALLERS_CLOSED.inc(reason)
    events.log_rate_limited(events.Event.CALLER_CLOSED, reason=reason, **fields)
