"""Entries' reports of backend servers that refuse connections, kept by the leader."""

import math
from collections.abc import Callable, Iterable

from cassiapitch.types import LifeId

# A backend server is suspected when this share of the entries, and this many at least,
# report within the window that it refuses connections.
WINDOW_MS = 3_000
ENTRIES_SHARE = 1 / 3
MIN_ENTRIES_COUNT = 2


class RefusedReports:
    """Recent reports by incarnation and entry."""

    def __init__(self) -> None:
        self._reported_ms: dict[LifeId, dict[str, int]] = {}

    def add(self, entry: str, life_ids: Iterable[LifeId], now_ms: int) -> None:
        """Records that an entry was refused connections by some incarnations."""
        for life_id in life_ids:
            self._reported_ms.setdefault(life_id, {})[entry] = now_ms

    def reporters(self, life_id: LifeId, now_ms: int) -> tuple[str, ...]:
        """Returns the entries that reported an incarnation within the window."""
        entries = self._reported_ms.get(life_id, {})
        return tuple(
            sorted(
                entry
                for entry, reported_ms in entries.items()
                if now_ms - reported_ms <= WINDOW_MS
            )
        )

    def is_refusing(self, life_id: LifeId, entries_count: int, now_ms: int) -> bool:
        """Returns whether an incarnation counts as refusing connections.

        Args:
            life_id: The incarnation.
            entries_count: Number of entries that would notice.
            now_ms: The current time.
        """
        needed_count = max(MIN_ENTRIES_COUNT, math.ceil(ENTRIES_SHARE * entries_count))
        return len(self.reporters(life_id, now_ms)) >= needed_count

    def forget(self, life_id: LifeId) -> None:
        """Drops the reports of an incarnation, for instance once it is suspected."""
        self._reported_ms.pop(life_id, None)

    def forget_if(self, is_ended: Callable[[LifeId], bool]) -> None:
        """Drops the reports of incarnations that have ended."""
        for life_id in [key for key in self._reported_ms if is_ended(key)]:
            self.forget(life_id)
