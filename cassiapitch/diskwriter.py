"""Writes a member's journal in a worker thread, one batch at a time."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.to_thread

from cassiapitch import events
from cassiapitch.exceptions import StorageError
from cassiapitch.journal import Journal
from cassiapitch.node import Write
from cassiapitch.timers import now_ms

STUCK_MS = 1_000


class DiskWriter:
    """Queue of writes; all that wait share one write and one sync."""

    def __init__(self, on_synced: Callable[[int], None]) -> None:
        """Prepares the queue.

        Args:
            on_synced: Called with the number of the last synced write.
        """
        self._on_synced = on_synced
        self._waiting: list[Write] = []
        self._added_number = 0
        self.synced_number = 0
        self._started_ms: int | None = None
        self._wake = anyio.Event()
        self._synced = anyio.Event()

    def add(self, writes: list[Write]) -> None:
        """Queues writes; they are numbered from 1 on."""
        self._waiting.extend(writes)
        self._added_number += len(writes)
        self._wake.set()

    async def run(self, journal: Journal) -> None:
        """Writes until cancelled.

        Raises:
            StorageError: A write or sync failed. What is on the disk is unknown
                then, so that this member must answer nothing any more.
        """
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch, self._waiting = self._waiting, []
            self._started_ms = now_ms()
            try:
                await anyio.to_thread.run_sync(_write, journal, batch)
            except StorageError as error:
                events.log(events.Event.STORAGE_FAILED, reason=str(error))
                raise
            self._started_ms = None
            self.synced_number += len(batch)
            synced, self._synced = self._synced, anyio.Event()
            synced.set()
            self._on_synced(self.synced_number)

    def is_stuck(self, time_ms: int) -> bool:
        """Tells whether the disk has taken too long for the current batch."""
        started_ms = self._started_ms
        return started_ms is not None and time_ms - started_ms > STUCK_MS

    def all_synced(self) -> Awaitable[None]:
        """Waits until everything that is queued now is synced."""
        return self._wait_for(self._added_number)

    async def _wait_for(self, number: int) -> None:
        while self.synced_number < number:
            await self._synced.wait()


def _write(journal: Journal, batch: list[Write]) -> None:
    journal.write(batch)
    journal.sync()
