"""Writes a member's journal in a worker thread, one batch at a time."""

from collections.abc import Awaitable, Callable

import anyio
import anyio.to_thread

from cassiapitch import events, metrics
from cassiapitch.exceptions import StorageRefusedError
from cassiapitch.journal import Journal
from cassiapitch.node import Write
from cassiapitch.timers import now_ms

STUCK_MS = 1_000
RETRY_S = 0.25
# A disk that refuses is said again in the log this often.
REFUSED_LOG_MS = 5_000


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
        self._is_refused = False
        self._logged_ms: int | None = None
        self._wake = anyio.Event()
        self._synced = anyio.Event()

    def add(self, writes: list[Write]) -> None:
        """Queues writes; they are numbered from 1 on."""
        self._waiting.extend(writes)
        self._added_number += len(writes)
        self._wake.set()

    async def run(self, journal: Journal) -> None:
        """Writes until cancelled.

        What a disk refuses for now is written again until it takes it. Meanwhile this
        member promises nothing: its votes and acknowledgements wait for their write.

        Raises:
            StorageError: The disk refused a write in a way that doesn't pass.
        """
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch, self._waiting = self._waiting, []
            self._started_ms = now_ms()
            await self._write(journal, batch)
            self._started_ms = None
            self.synced_number += len(batch)
            synced, self._synced = self._synced, anyio.Event()
            synced.set()
            self._on_synced(self.synced_number)

    async def _write(self, journal: Journal, batch: list[Write]) -> None:
        """Writes a batch, again and again while the disk refuses it for now."""
        while True:
            try:
                await anyio.to_thread.run_sync(_write_synced, journal, batch)
                break
            except StorageRefusedError as error:
                self._note_refused(str(error))
            await anyio.sleep(RETRY_S)
        if self._is_refused:
            self._is_refused = False
            self._logged_ms = None
            metrics.STORAGE_REFUSED.set(0)
            events.log(events.Event.STORAGE_RETURNED)

    def _note_refused(self, reason: str) -> None:
        self._is_refused = True
        metrics.STORAGE_REFUSED.set(1)
        time_ms = now_ms()
        if self._logged_ms is None or time_ms - self._logged_ms >= REFUSED_LOG_MS:
            self._logged_ms = time_ms
            events.log(events.Event.STORAGE_FAILED, reason=reason)

    def is_stuck(self, time_ms: int) -> bool:
        """Tells whether the disk refuses or takes too long for the current batch."""
        if self._is_refused:
            return True
        started_ms = self._started_ms
        return started_ms is not None and time_ms - started_ms > STUCK_MS

    def all_synced(self) -> Awaitable[None]:
        """Waits until everything that is queued now is synced."""
        return self._wait_for(self._added_number)

    async def _wait_for(self, number: int) -> None:
        while self.synced_number < number:
            await self._synced.wait()


def _write_synced(journal: Journal, batch: list[Write]) -> None:
    journal.write(batch)
    journal.sync()
