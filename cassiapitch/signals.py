"""Receives signals from the first statement of a program to its last.

A signal that nobody handles ends the process. So a program calls `hold` before it
imports anything else, and `ignore` once nothing is left to do. For that reason, this
module imports only built-in modules until then: `signal` alone takes nearly as long to
import as an interpreter takes to start without `site`.
"""

import _signal
import time

# Only type checkers import these modules: a start has no time for them yet.
TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from types import FrameType

STOP_SIGNALS = (_signal.SIGTERM, _signal.SIGINT)
RELOAD_SIGNAL = _signal.SIGHUP
SIGNALS = (*STOP_SIGNALS, RELOAD_SIGNAL)
WAKEUP_READ_BYTES = 4_096
# Worker threads have nothing left to do once the event loop has ended.
THREAD_END_S = 1.0

# Signals that came and that nobody has received yet, each of them once.
_held: list[int] = []
# When the first signal came that asks the process to stop.
_stop_requested_ms: int | None = None
# Called by the handler itself, since the event loop may stand still.
_on_stop: "Callable[[], None] | None" = None


def hold() -> None:
    """Keeps signals from ending the process; `receive` returns those that came.

    That includes signals that came while they were blocked: by the start script, or by
    a supervisor that blocks them before it starts the program.
    """
    for number in SIGNALS:
        _signal.signal(number, _hold_one)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, SIGNALS)


def ignore() -> None:
    """Ignores signals from now on; the interpreter's own end leaves that as it is.

    The interpreter reports a signal as an error that comes while its handler changes.
    So other threads, which may get it, end before, and this one gets none meanwhile.
    """
    import threading

    for thread in threading.enumerate():
        if thread is not threading.current_thread() and not thread.daemon:
            thread.join(THREAD_END_S)
    _signal.pthread_sigmask(_signal.SIG_BLOCK, SIGNALS)
    for number in SIGNALS:
        _signal.signal(number, _signal.SIG_IGN)
    _signal.pthread_sigmask(_signal.SIG_UNBLOCK, SIGNALS)


def block_in_thread() -> None:
    """Leaves signals to the main thread; called by threads that `ignore` can't join."""
    _signal.pthread_sigmask(_signal.SIG_BLOCK, SIGNALS)


def is_stop_requested() -> bool:
    """Returns whether a signal has come that asks the process to stop."""
    return any(number in STOP_SIGNALS for number in _held)


def stop_requested_ms() -> int | None:
    """Returns when a signal came that asks the process to stop, or None.

    In milliseconds of the clock of `timers.now_ms`. The event loop passes signals on
    only after whatever else is ready, so `receive` may yield them much later.
    """
    return _stop_requested_ms


def call_on_stop(function: "Callable[[], None] | None") -> None:
    """Sets what is called as soon as a signal asks the process to stop, or has.

    Args:
        function: Called by the signal's handler, perhaps more than once; None for
            nothing.
    """
    global _on_stop
    _on_stop = function
    if function is not None and is_stop_requested():
        function()


def _hold_one(number: int, frame: "FrameType | None") -> None:
    global _stop_requested_ms
    if number in STOP_SIGNALS and _stop_requested_ms is None:
        _stop_requested_ms = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000
    if number not in _held:
        _held.append(number)
    if number in STOP_SIGNALS and _on_stop is not None:
        _on_stop()


async def receive() -> "AsyncIterator[int]":
    """Yields the signals that have come since `hold`, and those that come."""
    import socket

    import anyio

    from cassiapitch import socket_retries

    pauses_s = socket_retries.pauses_s()
    while True:
        try:
            reader, writer = socket.socketpair()
            break
        except OSError as error:
            socket_retries.log_wait(error)
        while _held:
            yield _held.pop(0)
        await anyio.sleep(next(pauses_s))
    with reader, writer:
        reader.setblocking(False)
        writer.setblocking(False)
        # Without it, a signal that comes just before the event loop waits would be
        # noticed only when the loop's next timer is due.
        _signal.set_wakeup_fd(writer.fileno(), warn_on_full_buffer=False)
        try:
            while True:
                while _held:
                    yield _held.pop(0)
                await anyio.wait_readable(reader)
                reader.recv(WAKEUP_READ_BYTES)
        finally:
            _signal.set_wakeup_fd(-1)
