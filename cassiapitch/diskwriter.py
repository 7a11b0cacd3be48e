"""Writes a control member's journal in a worker thread, one batch at a time."""

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import anyio
import anyio.to_thread

from cassiapitch import events, metrics
from cassiapitch.exceptions import StorageRefusedError
from cassiapitch.journal import Journal
from cassiapitch.node import Write
from cassiapitch.timers import now_ms

STUCK_AFTER_MS = 1_000
RETRY_PAUSE_S = 0.25
# How often a refusal is logged again while the disk keeps refusing writes.
REFUSAL_LOG_PERIOD_MS = 5_000

Result = TypeVar("Result")


class DiskWriter:
    """Queue of writes; all queued ones are written and synced as one batch."""

    def __init__(self, on_synced: Callable[[int], None]) -> None:
        """Creates an empty queue.

        Args:
            on_synced: Called with the number of the last synced write.
        """
        self._on_synced = on_synced
        self._queued: list[Write] = []
        self._last_queued_number = 0
        self.synced_number = 0
        self._batch_started_ms: int | None = None
        self._is_refused = False
        self._last_logged_ms: int | None = None
        self._write_queued = anyio.Event()
        self._synced = anyio.Event()

    def add(self, writes: list[Write]) -> None:
        """Queues writes; they are numbered from 1 on."""
        self._queued.extend(writes)
        self._last_queued_number += len(writes)
        self._write_queued.set()

    async def run(self, journal: Journal) -> None:
        """Writes until cancelled.

        A batch that fails with a transient error is retried until it succeeds.
        Meanwhile this member sends no votes or acknowledgements of queued writes, since
        those are sent only after their writes are synced.

        Raises:
            StorageError: A write failed with a permanent error.
        """
        while True:
            await self._write_queued.wait()
            self._write_queued = anyio.Event()
            batch, self._queued = self._queued, []
            self._batch_started_ms = now_ms()
            await self._write(journal, batch)
            self._batch_started_ms = None
            self.synced_number += len(batch)
            synced, self._synced = self._synced, anyio.Event()
            synced.set()
            self._on_synced(self.synced_number)

    async def _write(self, journal: Journal, batch: list[Write]) -> None:
        """Writes and syncs a batch; retries while the error may be transient."""
        while True:
            try:
                await run_in_thread(_write_and_sync, journal, batch)
                break
            except StorageRefusedError as error:
                self.record_refusal(str(error))
            await anyio.sleep(RETRY_PAUSE_S)
        self.record_success()

    def record_success(self) -> None:
        """Records that the disk did what it was asked, perhaps after refusals."""
        if self._is_refused:
            self._is_refused = False
            self._last_logged_ms = None
            metrics.STORAGE_REFUSED.set(0)
            events.log(events.Event.STORAGE_RETURNED)

    def record_refusal(self, reason: str) -> None:
        """Records that the disk refused something, which is to be tried again."""
        self._is_refused = True
        metrics.STORAGE_REFUSED.set(1)
        time_ms = now_ms()
        if (
            self._last_logged_ms is None
            or time_ms - self._last_logged_ms >= REFUSAL_LOG_PERIOD_MS
        ):
            self._last_logged_ms = time_ms
            events.log(events.Event.STORAGE_FAILED, reason=reason)

    def is_stuck(self, time_ms: int) -> bool:
        """Tells whether the disk refuses the current batch or takes too long for it."""
        if self._is_refused:
            return True
        started_ms = self._batch_started_ms
        return started_ms is not None and time_ms - started_ms > STUCK_AFTER_MS

    def all_synced(self) -> Awaitable[None]:
        """Returns an awaitable that ends when all writes queued by now are synced."""
        return self._wait_until_synced(self._last_queued_number)

    async def _wait_until_synced(self, number: int) -> None:
        while self.synced_number < number:
            await self._synced.wait()


async def run_in_thread(function: Callable[..., Result], *arguments: Any) -> Result:
    """Returns what a function returns that reads or writes the data folder.

    Raises:
        StorageRefusedError: No thread or memory is left now; the function may have
            been interrupted anywhere, as by an error of the disk.
    """
    has_begun = False

    def call() -> Result:
        nonlocal has_begun
        has_begun = True
        return function(*arguments)

    try:
        return await anyio.to_thread.run_sync(call)
    except MemoryError as error:
        raise StorageRefusedError("no memory for the data folder") from error
    except RuntimeError as error:
        if has_begun:
            raise
        raise StorageRefusedError(f"no thread for the data folder: {error}") from error


def _write_and_sync(journal: Journal, batch: list[Write]) -> None:
    journal.write(batch)
    journal.sync()
