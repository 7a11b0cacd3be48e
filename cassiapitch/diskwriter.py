"""Writes a member's journal in a worker thread, one batch at a time."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.to_thread

from cassiapitch import events
from cassiapitch.exceptions import StorageError
from cassiapitch.journal import Journal
from cassiapitch.node import Write


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
            try:
                await anyio.to_thread.run_sync(_write, journal, batch)
            except StorageError as error:
                events.log(events.Event.STORAGE_FAILED, reason=str(error))
                raise
            self.synced_number += len(batch)
            synced, self._synced = self._synced, anyio.Event()
            synced.set()
            self._on_synced(self.synced_number)

    def all_synced(self) -> Awaitable[None]:
        """Waits until everything that is queued now is synced."""
        return self._wait_for(self._added_number)

    async def _wait_for(self, number: int) -> None:
        while self.synced_number < number:
            await self._synced.wait()


def _write(journal: Journal, batch: list[Write]) -> None:
    journal.write(batch)
    journal.sync()
