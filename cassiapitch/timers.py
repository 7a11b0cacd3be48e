"""The process's clock, and timers that call subscribers once or periodically."""

import heapq
import itertools
import time
from collections.abc import Callable

import anyio

MAX_IDLE_MS = 60_000

Subscriber = Callable[[int], None]


def now_ms() -> int:
    """Returns milliseconds of a clock that also runs while suspended or stopped.

    CLOCK_MONOTONIC stops during a suspend, so after a suspend an instance would take
    an expired grant or confirmation for a valid one.
    """
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class Timers:
    """Deterministic timer queue; the caller passes in the current time."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int]] = []
        self._subscriptions: dict[int, tuple[Subscriber, int | None]] = {}
        self._tokens = itertools.count(1)

    def subscribe_every(
        self, period_ms: int, subscriber: Subscriber, *, start_ms: int
    ) -> int:
        """Calls `subscriber(now_ms)` every period; returns a token to cancel."""
        token = next(self._tokens)
        self._subscriptions[token] = (subscriber, period_ms)
        heapq.heappush(self._queue, (start_ms + period_ms, token))
        return token

    def subscribe_at(self, due_ms: int, subscriber: Subscriber) -> int:
        """Calls `subscriber(now_ms)` once; returns a token to cancel."""
        token = next(self._tokens)
        self._subscriptions[token] = (subscriber, None)
        heapq.heappush(self._queue, (due_ms, token))
        return token

    def cancel(self, token: int) -> None:
        """Removes a subscription; an unknown token is ignored."""
        self._subscriptions.pop(token, None)

    def next_due_ms(self) -> int | None:
        """Returns when the next subscriber is due, or None without subscribers."""
        while self._queue and self._queue[0][1] not in self._subscriptions:
            heapq.heappop(self._queue)
        return self._queue[0][0] if self._queue else None

    def fire(self, time_ms: int) -> None:
        """Calls every subscriber that is due.

        A periodic subscriber that missed several periods, for instance while the
        process was stopped, is called only once.
        """
        while (due_ms := self.next_due_ms()) is not None and due_ms <= time_ms:
            _, token = heapq.heappop(self._queue)
            subscriber, period_ms = self._subscriptions[token]
            if period_ms is None:
                del self._subscriptions[token]
            else:
                heapq.heappush(self._queue, (time_ms + period_ms, token))
            subscriber(time_ms)


class TimerService:
    """Runs `Timers` on the process's clock."""

    def __init__(self) -> None:
        self._timers = Timers()
        self._timers_changed = anyio.Event()

    def every(self, period_ms: int, subscriber: Subscriber) -> int:
        """Calls `subscriber` every period; see `Timers.subscribe_every`."""
        token = self._timers.subscribe_every(period_ms, subscriber, start_ms=now_ms())
        self._timers_changed.set()
        return token

    def after(self, delay_ms: int, subscriber: Subscriber) -> int:
        """Calls `subscriber` once after a delay; see `Timers.subscribe_at`."""
        token = self._timers.subscribe_at(now_ms() + delay_ms, subscriber)
        self._timers_changed.set()
        return token

    def cancel(self, token: int) -> None:
        """Removes a subscription."""
        self._timers.cancel(token)

    async def run(self) -> None:
        """Calls subscribers when they are due, until cancelled."""
        while True:
            self._timers.fire(now_ms())
            due_ms = self._timers.next_due_ms()
            wait_ms = MAX_IDLE_MS if due_ms is None else max(0, due_ms - now_ms())
            self._timers_changed = anyio.Event()
            with anyio.move_on_after(wait_ms / 1000):
                await self._timers_changed.wait()
