"""The entries' requests at each backend server, as the leader last heard of them."""

from cassiapitch.messages import InFlight
from cassiapitch.types import LifeId

# Entries report twice a second. Older reports are ignored, since the entry has stopped.
VALID_MS = 1_500


class EntryLoads:
    """The newest report of each entry in a controller term."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[dict[LifeId, InFlight], int]] = {}

    @property
    def entries_count(self) -> int:
        """Number of entries that have reported in this term."""
        return len(self._reports)

    def record(self, entry: str, in_flight: tuple[InFlight, ...], now_ms: int) -> None:
        """Replaces an entry's report."""
        by_life_id = {item.life_id: item for item in in_flight}
        self._reports[entry] = (by_life_id, now_ms)

    def count_since(self, since_ms: int) -> int:
        """Returns how many entries have reported since a time."""
        return sum(at_ms >= since_ms for _, at_ms in self._reports.values())

    def totals(self, now_ms: int) -> dict[LifeId, tuple[int, int]]:
        """Returns requests and pending prompt tokens at the incarnations that have any.

        The cost grows with what entries report, not with entries times incarnations.
        """
        totals: dict[LifeId, tuple[int, int]] = {}
        for by_life_id, at_ms in self._reports.values():
            if now_ms - at_ms > VALID_MS:
                continue
            for life_id, item in by_life_id.items():
                count, tokens = totals.get(life_id, (0, 0))
                totals[life_id] = (count + item.count, tokens + item.pending_tokens)
        return totals

    def rank_totals(self, now_ms: int) -> dict[LifeId, dict[int, int]]:
        """Returns pending prompt tokens by rank, as far as entries report them."""
        totals: dict[LifeId, dict[int, int]] = {}
        for by_life_id, at_ms in self._reports.values():
            if now_ms - at_ms > VALID_MS:
                continue
            for life_id, item in by_life_id.items():
                for rank, tokens in item.rank_tokens:
                    by_rank = totals.setdefault(life_id, {})
                    by_rank[rank] = by_rank.get(rank, 0) + tokens
        return totals

    def sums(self, life_ids: list[LifeId], now_ms: int) -> list[tuple[int, int]]:
        """Returns requests and waiting prompt tokens at each incarnation."""
        recent = [
            by_life_id
            for by_life_id, at_ms in self._reports.values()
            if now_ms - at_ms <= VALID_MS
        ]
        sums = []
        for life_id in life_ids:
            items = [item for report in recent if (item := report.get(life_id))]
            count = sum(item.count for item in items)
            sums.append((count, sum(item.pending_tokens for item in items)))
        return sums
