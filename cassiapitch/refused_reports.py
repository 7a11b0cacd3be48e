"""Entries' reports of backend servers that refuse connections, kept by the leader."""

import math
from collections.abc import Callable, Iterable

from cassiapitch.types import LifeId

# A backend server is suspected when this share of the entries, and this many at least,
# report within the window that it refuses connections.
WINDOW_MS = 3_000
ENTRIES_SHARE = 1 / 3
MIN_ENTRIES_COUNT = 2
# The least number of entries is enough once a backend server has also been silent for
# this part of the time after which silence alone makes it suspected. With 99 entries
# before 30 engines, too few entries send to one engine to be a third of all.
SILENCE_SHARE = 0.5


class RefusedReports:
    """Recent reports by incarnation and entry."""

    def __init__(self) -> None:
        self._reported_ms: dict[LifeId, dict[str, int]] = {}

    def add(self, entry: str, life_ids: Iterable[LifeId], now_ms: int) -> None:
        """Records that an entry was refused connections by some incarnations."""
        for life_id in life_ids:
            self._reported_ms.setdefault(life_id, {})[entry] = now_ms

    def reporters(
        self, life_id: LifeId, now_ms: int, since_ms: float = -math.inf
    ) -> tuple[str, ...]:
        """Returns the entries that reported an incarnation within the window.

        Args:
            life_id: The incarnation.
            now_ms: The current time.
            since_ms: Earlier reports don't count.
        """
        entries = self._reported_ms.get(life_id, {})
        since_ms = max(since_ms, now_ms - WINDOW_MS)
        return tuple(
            sorted(
                entry
                for entry, reported_ms in entries.items()
                if reported_ms >= since_ms
            )
        )

    def is_refusing(
        self,
        life_id: LifeId,
        entries_count: int,
        heard_ms: int,
        silence_limit_ms: int,
        now_ms: int,
    ) -> bool:
        """Returns whether an incarnation counts as refusing connections.

        Args:
            life_id: The incarnation.
            entries_count: Number of entries that would notice.
            heard_ms: When it was last heard.
            silence_limit_ms: Silence after which it is suspected without reports.
            now_ms: The current time.
        """
        needed_count = max(MIN_ENTRIES_COUNT, math.ceil(ENTRIES_SHARE * entries_count))
        if len(self.reporters(life_id, now_ms)) >= needed_count:
            return True
        if now_ms - heard_ms < SILENCE_SHARE * silence_limit_ms:
            return False
        return len(self.reporters(life_id, now_ms, heard_ms)) >= MIN_ENTRIES_COUNT

    def forget(self, life_id: LifeId) -> None:
        """Drops the reports of an incarnation, for instance once it is suspected."""
        self._reported_ms.pop(life_id, None)

    def forget_if(self, is_ended: Callable[[LifeId], bool]) -> None:
        """Drops the reports of incarnations that have ended."""
        for life_id in [key for key in self._reported_ms if is_ended(key)]:
            self.forget(life_id)
