"""Decides which failures to open sockets at a start pass, and how long they may last.

An address may still be taken by the process's predecessor, or by an outgoing
connection, and descriptors or the kernel's memory may be used up. Such a failure is
retried; one that needs other settings ends the process at once.
"""

import asyncio
import dataclasses
import errno
import functools
import socket
import time
import weakref
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import anyio

from cassiapitch import events, task_failures
from cassiapitch.exceptions import ListenTimeoutError, UnusableAddressError
from cassiapitch.settings import LISTEN_TIMEOUT_S, Address

# Errors that the same call gives again, whatever other processes do.
FINAL_ERRNOS = frozenset(
    {
        errno.EACCES,
        errno.EADDRNOTAVAIL,
        errno.EAFNOSUPPORT,
        errno.EINVAL,
        errno.EPERM,
        errno.EPROTONOSUPPORT,
    }
)
# A predecessor that ends soon costs little time; one that takes long, few attempts.
FIRST_PAUSE_S = 0.02
LONGEST_PAUSE_S = 0.25
PAUSE_GROWTH = 1.5

StartListening = Callable[[socket.socket], Awaitable[None]]


def is_final(error: OSError) -> bool:
    """Returns whether a socket can't be opened without other settings."""
    return isinstance(error, socket.gaierror) or error.errno in FINAL_ERRNOS


def pauses_s() -> Iterator[float]:
    """Yields the pauses between attempts."""
    pause_s = FIRST_PAUSE_S
    while True:
        yield pause_s
        pause_s = min(LONGEST_PAUSE_S, pause_s * PAUSE_GROWTH)


class Listeners:
    """The listeners of one process, and those among them that wait for their address.

    Attributes:
        timeout_s: How long an address may stay taken.
        waiting: Listeners that could not be opened yet.
        held_back: Listeners that need more than their address.
    """

    def __init__(self, timeout_s: float = LISTEN_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        self.waiting: set[ListeningSocket] = set()
        self.held_back: set[ListeningSocket] = set()

    @property
    def are_open(self) -> bool:
        """Whether no listener waits for what it needs."""
        return not self.waiting and not self.held_back


class ListeningSocket:
    """A socket that listens at an address as soon as that is possible.

    Attributes:
        port: The port; 0 while it isn't known which free port is picked.
    """

    def __init__(
        self,
        listeners: Listeners | None,
        name: str,
        address: Address,
        make_socket: Callable[[Address], socket.socket],
    ) -> None:
        """Binds the address if it is free.

        Args:
            listeners: The listeners of the process; None for one of its own.
            name: Name of the listener in the log.
            address: Where to listen; port 0 picks a free port.
            make_socket: Returns a bound, listening socket.

        Raises:
            UnusableAddressError: No process of this instance can listen there.
        """
        self._listeners = listeners or Listeners()
        self._name = name
        self._address = address
        self._make_socket = make_socket
        self._socket: socket.socket | None = None
        self._begun_s = time.monotonic()
        self.port = address.port
        try:
            self._bind()
        except OSError as error:
            self._on_failure(error)

    def _bind(self) -> socket.socket:
        if self._socket is None:
            address = dataclasses.replace(self._address, port=self.port)
            try:
                sock = self._make_socket(address)
            except OverflowError as error:
                raise OSError(errno.EINVAL, str(error)) from None
            try:
                self.port = sock.getsockname()[1]
            except BaseException:
                sock.close()
                raise
            self._socket = sock
        return self._socket

    async def open(
        self, start: StartListening, closed: anyio.Event | None = None
    ) -> None:
        """Starts to accept connections; waits until the address can be had.

        Args:
            start: Starts to accept connections of the socket.
            closed: Ends the wait.

        Raises:
            ListenTimeoutError: The address was taken for too long.
            UnusableAddressError: No process of this instance can listen there.
        """
        closed = closed or anyio.Event()
        pauses = pauses_s()
        if self in self._listeners.waiting:
            await _pause(next(pauses), closed)
        while not closed.is_set():
            try:
                await start(self._bind())
            except OSError as error:
                self.close()
                self._on_failure(error)
                await _pause(next(pauses), closed)
            else:
                self._on_opened()
                return

    @property
    def timeout_s(self) -> float:
        """How long it may wait for what it needs."""
        return self._listeners.timeout_s

    def hold_back(self) -> None:
        """Counts as not open until `open` has ended."""
        self._listeners.held_back.add(self)

    def log_wait(self, error: OSError, part: str = "") -> None:
        """Logs why it can't be opened yet; `open` logs the end of that.

        Args:
            error: What failed.
            part: What it waits for, if that isn't its address.
        """
        self._listeners.waiting.add(self)
        events.log(
            events.Event.LISTENER_WAITS,
            listener=self._name,
            address=str(dataclasses.replace(self._address, port=self.port)),
            errno=error.errno,
            reason=part + _reason(error),
        )

    def close(self) -> None:
        """Closes the socket, if it is open."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _waited_ms(self) -> int:
        return int((time.monotonic() - self._begun_s) * 1000)

    def _on_failure(self, error: OSError) -> None:
        address = str(dataclasses.replace(self._address, port=self.port))
        reason = _reason(error)
        if is_final(error):
            raise UnusableAddressError(
                [f"can't listen at {address} ({self._name}): {reason}"]
            ) from None
        waited_ms = self._waited_ms()
        if waited_ms >= self._listeners.timeout_s * 1000:
            raise ListenTimeoutError(
                f"could not listen at {address} ({self._name}) for {waited_ms} ms: "
                f"{reason}"
            ) from None
        if self not in self._listeners.waiting:
            self.log_wait(error)

    def _on_opened(self) -> None:
        self._listeners.held_back.discard(self)
        if self in self._listeners.waiting:
            self._listeners.waiting.remove(self)
            events.log(
                events.Event.LISTENER_OPENED,
                listener=self._name,
                address=str(dataclasses.replace(self._address, port=self.port)),
                waited_ms=self._waited_ms(),
            )


def _reason(error: OSError) -> str:
    return error.strerror or repr(error)


async def _pause(pause_s: float, closed: anyio.Event) -> None:
    with anyio.move_on_after(pause_s):
        await closed.wait()


def log_wait(error: OSError) -> None:
    """Logs that the event loop can't open a socket of its own yet."""
    reason = _reason(error)
    events.log_rate_limited(
        events.Event.EVENT_LOOP_WAITS, reason=reason, errno=error.errno
    )


class _EventLoop(asyncio.SelectorEventLoop):
    """An event loop whose listeners outlast shortages of descriptors and memory.

    It is discarded quietly if it could not open its own sockets.
    """

    _is_complete = False

    def __init__(self) -> None:
        # When each listening socket was last added to the selector, or could not be.
        self._serving_s: weakref.WeakKeyDictionary[socket.socket, float] = (
            weakref.WeakKeyDictionary()
        )
        super().__init__()
        self._is_complete = True

    def _start_serving(
        self,
        protocol_factory: Any,
        sock: socket.socket,
        *arguments: Any,
        **options: Any,
    ) -> None:
        """Starts accepting; asyncio calls it again after each `accept` that failed.

        It does so once for each connection that it would have accepted in one go, and
        not again if this fails.
        """
        last_s = self._serving_s.get(sock)
        pause_s = asyncio.constants.ACCEPT_RETRY_DELAY
        if last_s is not None and (
            sock.fileno() < 0 or self.time() - last_s < pause_s / 2
        ):
            return
        start = functools.partial(
            super()._start_serving, protocol_factory, sock, *arguments, **options
        )
        try:
            start()
        except OSError as error:
            if last_s is None:
                raise
            task_failures.log_failure("accept", error)
            retry = functools.partial(
                self._start_serving, protocol_factory, sock, *arguments, **options
            )
            self.call_later(pause_s, retry)
        self._serving_s[sock] = self.time()

    def __del__(self) -> None:
        # Of a loop without sockets, it would print a traceback.
        if self._is_complete:
            super().__del__()


def new_event_loop(
    timeout_s: float = LISTEN_TIMEOUT_S,
    is_stopped: Callable[[], bool] = lambda: False,
) -> asyncio.AbstractEventLoop | None:
    """Returns a new event loop; waits while its own sockets can't be opened.

    Args:
        timeout_s: Longest wait.
        is_stopped: Returns whether to give up since the process has to end.

    Returns:
        The event loop, or None if `is_stopped` did.

    Raises:
        OSError: The sockets could not be opened in time.
    """
    begun_s = time.monotonic()
    pauses = pauses_s()
    while not is_stopped():
        try:
            return _EventLoop()
        except OSError as error:
            if time.monotonic() - begun_s >= timeout_s:
                raise
            log_wait(error)
            time.sleep(next(pauses))
    return None
