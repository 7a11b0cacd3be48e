"""Time limits that leave out time in which this process's event loop did not run.

A connection that was not open when its limit passed may be late because of its path or
because of this process: while the event loop stands still, for instance on a busy
machine, it takes note of nothing that the kernel has done for it.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import anyio

from cassiapitch import timers

# The event loop is looked at this often while there are limits.
TICK_MS = 20
# Of the time between two looks so much counts; in the rest the event loop did not run.
COUNTED_LIMIT_MS = TICK_MS


class RunningTime:
    """Time in which the event loop ran, and limits in terms of it.

    It advances only while there are limits.
    """

    def __init__(self) -> None:
        self._timers = timers.Timers()
        self._counted_ms = 0
        self._looked_ms = 0
        self._handle: asyncio.TimerHandle | None = None

    def after(self, delay_ms: int, function: Callable[[], object]) -> int:
        """Calls a function after a delay; returns a token to cancel."""
        if self._handle is None:
            self._looked_ms = timers.now_ms()
        # The time since the last look is not added here: many calls within one late
        # iteration of the event loop would together count all of its time.
        due_ms = self._counted_ms + delay_ms
        token = self._timers.subscribe_at(due_ms, lambda _: function())
        if self._handle is None:
            self._schedule()
        return token

    def cancel(self, token: int) -> None:
        """Removes a limit; one that has passed is ignored."""
        self._timers.cancel(token)
        if self._handle is not None and self._timers.next_due_ms() is None:
            self._handle.cancel()
            self._handle = None

    @contextlib.contextmanager
    def fail_after(self, limit_ms: int) -> Iterator[None]:
        """Cancels what the block awaits after a limit.

        Raises:
            TimeoutError: The limit has passed.
        """
        with anyio.CancelScope() as scope:
            token = self.after(limit_ms, scope.cancel)
            try:
                yield
            finally:
                self.cancel(token)
        if scope.cancelled_caught:
            raise TimeoutError

    def _schedule(self) -> None:
        due_ms = self._timers.next_due_ms()
        if due_ms is None:
            self._handle = None
            return
        delay_ms = min(TICK_MS, max(0, due_ms - self._counted_ms))
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(delay_ms / 1000, self._look)

    def _look(self) -> None:
        now_ms = timers.now_ms()
        self._counted_ms += min(now_ms - self._looked_ms, COUNTED_LIMIT_MS)
        self._looked_ms = now_ms
        self._timers.fire(self._counted_ms)
        self._schedule()
