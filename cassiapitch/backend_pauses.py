"""Pauses that backend servers asked for, as the leader passes them on to all entries.

A new leader doesn't know them. They are short, and the next response of a backend
server that still wants a pause tells it again.
"""

from collections.abc import Mapping

from cassiapitch.types import LifeId


class BackendPauses:
    """End of each pause by incarnation, by the leader's clock."""

    def __init__(self) -> None:
        self._until_ms: dict[LifeId, int] = {}

    def add(self, pauses_ms: Mapping[LifeId, int], now_ms: int) -> bool:
        """Adds pauses that an entry reported, by the time that is left of them.

        Returns:
            Whether any of them began now.
        """
        has_new = False
        for life_id, pause_ms in pauses_ms.items():
            until_ms = self._until_ms.get(life_id, 0)
            has_new = has_new or until_ms <= now_ms < now_ms + pause_ms
            self._until_ms[life_id] = max(until_ms, now_ms + pause_ms)
        return has_new

    def remaining_ms(self, now_ms: int) -> dict[LifeId, int]:
        """Returns what is left of each pause, and forgets those that are over."""
        self._until_ms = {
            life_id: until_ms
            for life_id, until_ms in self._until_ms.items()
            if until_ms > now_ms
        }
        return {
            life_id: until_ms - now_ms for life_id, until_ms in self._until_ms.items()
        }
