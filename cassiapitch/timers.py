"""The timer service: the one clock of a process and the ticks drawn from it."""

import heapq
import itertools
import time
from collections.abc import Callable

import anyio

MAX_IDLE_MS = 60_000

Subscriber = Callable[[int], None]


def now_ms() -> int:
    """Returns milliseconds of a clock that also runs while suspended or stopped.

    CLOCK_MONOTONIC stands still during a suspend, so that an instance that was
    suspended would take an expired grant or confirmation for a valid one.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Timers:
    """Deterministic timer queue; the caller says what time it is."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int]] = []
        self._entries: dict[int, tuple[Subscriber, int | None]] = {}
        self._tokens = itertools.count(1)

    def subscribe_every(
        self, period_ms: int, subscriber: Subscriber, *, start_ms: int
    ) -> int:
        """Calls `subscriber(now_ms)` every period; returns a token to cancel."""
        token = next(self._tokens)
        self._entries[token] = (subscriber, period_ms)
        heapq.heappush(self._queue, (start_ms + period_ms, token))
        return token

    def subscribe_at(self, due_ms: int, subscriber: Subscriber) -> int:
        """Calls `subscriber(now_ms)` once; returns a token to cancel."""
        token = next(self._tokens)
        self._entries[token] = (subscriber, None)
        heapq.heappush(self._queue, (due_ms, token))
        return token

    def cancel(self, token: int) -> None:
        """Forgets a subscription; a token that is already gone is ignored."""
        self._entries.pop(token, None)

    def next_due_ms(self) -> int | None:
        """Returns when the next subscriber is due, or None if there is none."""
        while self._queue and self._queue[0][1] not in self._entries:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def fire(self, time_ms: int) -> None:
        """Calls every subscriber that is due.

        A periodic subscriber that missed several periods, for instance while the
        process was stopped, is called once and not once for each of them.
        """
        while (due_ms := self.next_due_ms()) is not None and due_ms <= time_ms:
            _, token = heapq.heappop(self._queue)
            subscriber, period_ms = self._entries[token]
            if period_ms is None:
                del self._entries[token]
            else:
                heapq.heappush(self._queue, (time_ms + period_ms, token))
            subscriber(time_ms)


class TimerService:
    """Drives `Timers` from the process's clock; parts of a process subscribe."""

    def __init__(self) -> None:
        self._timers = Timers()
        self._changed = anyio.Event()

    def every(self, period_ms: int, subscriber: Subscriber) -> int:
        """Subscribes to a period; see `Timers.subscribe_every`."""
        token = self._timers.subscribe_every(period_ms, subscriber, start_ms=now_ms())
        self._changed.set()
        return token

    def after(self, delay_ms: int, subscriber: Subscriber) -> int:
        """Subscribes to one moment from now."""
        token = self._timers.subscribe_at(now_ms() + delay_ms, subscriber)
        self._changed.set()
        return token

    def cancel(self, token: int) -> None:
        """Forgets a subscription."""
        self._timers.cancel(token)

    async def run(self) -> None:
        """Fires subscribers when they are due, until cancelled."""
        while True:
            self._timers.fire(now_ms())
            due_ms = self._timers.next_due_ms()
            wait_ms = MAX_IDLE_MS if due_ms is None else max(0, due_ms - now_ms())
            self._changed = anyio.Event()
            with anyio.move_on_after(wait_ms / 1000):
                await self._changed.wait()
