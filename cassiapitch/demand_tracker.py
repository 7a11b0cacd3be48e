"""Demand for models and adapters, and the list of items that requests wait for."""

import math
from collections.abc import Callable

import msgspec

from cassiapitch import ranks
from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.messages import DemandReport, ModelDemand
from cassiapitch.orders import adapter_key, model_key
from cassiapitch.types import Priority
from cassiapitch.unserved_requests import UnservedRequests

# Time constant of the moving average: long enough to span bursts of a few seconds, and
# shorter than the 30 s that a copy stays resident.
DECAY_MS = 20_000

# Time constant of the recent demand, from which loads that start together follow: short
# beside a load, and long enough that a burst of a few requests does not look like more
# than one engine serves.
RECENT_DECAY_MS = 2_000

# A request that is reported without tokens, for instance a waiting one, counts as a
# short response of this many.
REQUEST_TOKENS = 100

# Below this rate a model counts as cold: about one request in two minutes.
COLD_TOKENS_PER_S = 1.0

# What requests wait for is reported again within this time: entries report twice a
# second. The callers of older requests have mostly given up.
WAITED_FOR_MS = 1_500

# Requests of a rank count on the waiting list as if they had waited this much less than
# those of the rank before. Age is unbounded, so that none is passed over forever.
RANK_HEAD_START_MS = 500


class DemandTracker:
    """Exponentially decaying demand by ledger key, and the waiting list."""

    def __init__(self, decay_ms: int = DECAY_MS) -> None:
        """Starts without demand.

        Args:
            decay_ms: Time constant of the moving average.
        """
        self.decay_ms = decay_ms
        self.unserved = UnservedRequests()
        # Tokens, the same weighted by rank, and the time of both.
        self._levels: dict[str, tuple[float, float, int]] = {}
        # For each key the time that orders it on the waiting list, see `urgency_ms`.
        self._waiting_urgency_ms: dict[str, int] = {}
        self._waiting: dict[str, int] = {}
        # By entry: requests that wait, the same by ledger key weighted by rank, and the
        # time of the report.
        self._waiting_by_entry: dict[str, tuple[int, dict[str, float], int]] = {}
        # Tokens weighted by rank, and their time.
        self._recent: dict[str, tuple[float, int]] = {}
        self._first_report_ms: int | None = None

    def add_report(
        self, report: DemandReport, adapters: dict[str, str], now_ms: int
    ) -> set[str]:
        """Adds an entry's report; returns the keys that are new on the waiting list.

        Args:
            report: The report; it may name only models and adapters of the bundle.
            adapters: Maps each adapter to its model.
            now_ms: Time at which the report arrived.
        """
        waiting_count = 0
        waiting_by_key: dict[str, float] = {}
        new_keys: set[str] = set()
        for item in report.demands:
            waiting_count += item.waiting_count
            rank = demand_rank(item)
            model = adapters.get(item.model)
            keys = [model_key(item.model if model is None else model)]
            if model is not None:
                keys.append(adapter_key(item.model))
            tokens = max(item.tokens, item.arrived_count * REQUEST_TOKENS)
            for key in keys:
                self._add(key, tokens, rank, now_ms)
                if item.waiting_count:
                    weighted = item.waiting_count * ranks.placement_weight(rank)
                    waiting_by_key[key] = waiting_by_key.get(key, 0.0) + weighted
                if item.arrived_count:
                    self.unserved.add(key, item.arrived_count, now_ms)
                if item.arrived_count or item.waiting_count:
                    if key not in self._waiting:
                        new_keys.add(key)
                    requested_ms = now_ms - item.oldest_wait_ms
                    self._waiting[key] = min(
                        self._waiting.get(key, now_ms), requested_ms
                    )
                    urgency_ms = requested_ms + rank * RANK_HEAD_START_MS
                    self._waiting_urgency_ms[key] = min(
                        self._waiting_urgency_ms.get(key, urgency_ms), urgency_ms
                    )
        # Kept in the order of the reports, so that the oldest ones are found at once.
        self._waiting_by_entry.pop(report.entry, None)
        self._waiting_by_entry[report.entry] = (waiting_count, waiting_by_key, now_ms)
        self._drop_old_reports(now_ms)
        return new_keys

    def copy_rates(self, other: "DemandTracker") -> None:
        """Copies the rates that another tracker has observed."""
        self._levels = dict(other._levels)
        self._first_report_ms = other._first_report_ms

    def known_keys(self) -> list[str]:
        """Returns the bundle's ledger keys for which demand was ever reported."""
        return list(self._levels)

    def observed_ms(self, now_ms: int) -> int:
        """Returns the time since the first report of demand; 0 before that report."""
        return 0 if self._first_report_ms is None else now_ms - self._first_report_ms

    def rate(self, key: str, now_ms: int) -> float:
        """Returns the demand for a model or adapter in tokens per second."""
        level, _, since_ms = self._levels.get(key, (0.0, 0.0, now_ms))
        return self._rate_of(level, since_ms, now_ms)

    def weighted_rate(self, key: str, now_ms: int) -> float:
        """Returns the same with less weight for less urgent ranks."""
        _, level, since_ms = self._levels.get(key, (0.0, 0.0, now_ms))
        return self._rate_of(level, since_ms, now_ms)

    def recent_rate(self, key: str, now_ms: int) -> float:
        """Returns the weighted rate of the last seconds in tokens per second."""
        level, since_ms = self._recent.get(key, (0.0, now_ms))
        decayed = level * math.exp((since_ms - now_ms) / RECENT_DECAY_MS)
        return decayed * 1_000 / RECENT_DECAY_MS

    def _rate_of(self, level: float, since_ms: int, now_ms: int) -> float:
        decayed = level * math.exp((since_ms - now_ms) / self.decay_ms)
        return decayed * 1_000 / self.decay_ms

    def idle_ms(self, key: str, now_ms: int) -> float:
        """Returns the time since a model or adapter was last asked for."""
        known = self._levels.get(key)
        return math.inf if known is None else now_ms - known[2]

    def is_waited_for(self, key: str, now_ms: int) -> bool:
        """Tells whether requests for a key arrived or waited lately."""
        return self.idle_ms(key, now_ms) <= WAITED_FOR_MS

    def is_cold(self, key: str, now_ms: int) -> bool:
        """Tells whether a model or adapter has hardly any demand."""
        return self.rate(key, now_ms) < COLD_TOKENS_PER_S

    def waiting(self) -> list[tuple[int, str]]:
        """Returns (time of first request, key) of the waiting list, oldest first."""
        return sorted(
            (requested_ms, key) for key, requested_ms in self._waiting.items()
        )

    def urgency_ms(self, key: str, requested_ms: int) -> int:
        """Returns the position of a key on the waiting list by age and rank."""
        return self._waiting_urgency_ms.get(key, requested_ms)

    def remove_waiting(self, key: str) -> None:
        """Removes a key from the waiting list."""
        self._waiting.pop(key, None)
        self._waiting_urgency_ms.pop(key, None)

    def discard_unknown(self, is_known: Callable[[str], bool]) -> None:
        """Drops the keys that a new bundle does not have."""
        self.unserved.discard_unknown(is_known)
        self._levels = {
            key: value for key, value in self._levels.items() if is_known(key)
        }
        self._recent = {
            key: value for key, value in self._recent.items() if is_known(key)
        }
        self._waiting = {
            key: value for key, value in self._waiting.items() if is_known(key)
        }
        self._waiting_urgency_ms = {
            key: value
            for key, value in self._waiting_urgency_ms.items()
            if key in self._waiting
        }

    def waiting_count(self, now_ms: int) -> int:
        """Returns the number of waiting requests in the entries' last reports.

        Reports older than the time constant are left out.
        """
        return sum(
            count
            for count, _, reported_ms in self._waiting_by_entry.values()
            if reported_ms + self.decay_ms > now_ms
        )

    def waiting_counts(self, now_ms: int) -> dict[str, float]:
        """Returns the requests that wait or were just rejected, by ledger key.

        Requests of less urgent ranks count for less.
        """
        counts: dict[str, float] = {}
        for _, by_key, reported_ms in self._waiting_by_entry.values():
            if now_ms - reported_ms <= WAITED_FOR_MS:
                for key, count in by_key.items():
                    counts[key] = counts.get(key, 0.0) + count
        return counts

    def _drop_old_reports(self, now_ms: int) -> None:
        """Forgets entries that are gone."""
        valid_ms = max(self.decay_ms, WAITED_FOR_MS)
        while True:
            entry, (_, _, reported_ms) = next(iter(self._waiting_by_entry.items()))
            if now_ms - reported_ms <= valid_ms:
                return
            del self._waiting_by_entry[entry]

    def _add(self, key: str, tokens: int, rank: int, now_ms: int) -> None:
        if self._first_report_ms is None:
            self._first_report_ms = now_ms
        level, weighted, since_ms = self._levels.get(key, (0.0, 0.0, now_ms))
        weighted_tokens = tokens * ranks.placement_weight(rank)
        decay = math.exp((since_ms - now_ms) / self.decay_ms)
        recent, recent_ms = self._recent.get(key, (0.0, now_ms))
        recent *= math.exp((recent_ms - now_ms) / RECENT_DECAY_MS)
        self._recent[key] = (recent + weighted_tokens, now_ms)
        self._levels[key] = (
            level * decay + tokens,
            weighted * decay + weighted_tokens,
            now_ms,
        )


def demand_rank(item: ModelDemand) -> int:
    """Returns the rank of demand; earlier builds state only a priority."""
    if item.rank == ranks.MOST_URGENT_RANK and item.priority is Priority.BATCH:
        return ranks.LEAST_URGENT_RANK
    return item.rank


def add_known_demand(
    demand: DemandTracker, report: DemandReport, catalog: BundleCatalog, now_ms: int
) -> set[str]:
    """Adds the part of a report that concerns models and adapters of the bundle.

    Returns the keys that are new on the waiting list.
    """
    adapters = {
        item.model: catalog.adapters[item.model].model
        for item in report.demands
        if item.model in catalog.adapters
    }
    # An entry may still have the previous bundle, or already the next one.
    known_demands = tuple(
        item
        for item in report.demands
        if item.model in catalog.models or item.model in adapters
    )
    report = msgspec.structs.replace(report, demands=known_demands)
    return demand.add_report(report, adapters, now_ms)
