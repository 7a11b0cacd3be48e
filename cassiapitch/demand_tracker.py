"""Demand for models and adapters, and the list of items that requests wait for."""

import math
from collections.abc import Callable

import msgspec

from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.messages import (
    DemandReport,
)
from cassiapitch.orders import adapter_key, model_key

# Time constant of the moving average: long enough to span bursts of a few seconds, and
# shorter than the 30 s that a copy stays resident.
DECAY_MS = 20_000

# A request that is reported without tokens, for instance a waiting one, counts as a
# short response of this many.
REQUEST_TOKENS = 100

# Below this rate a model counts as cold: about one request in two minutes.
COLD_TOKENS_PER_S = 1.0


class DemandTracker:
    """Exponentially decaying demand by ledger key, and the waiting list."""

    def __init__(self, decay_ms: int = DECAY_MS) -> None:
        """Starts without demand.

        Args:
            decay_ms: Time constant of the moving average.
        """
        self.decay_ms = decay_ms
        self._levels: dict[str, tuple[float, int]] = {}
        self._waiting: dict[str, int] = {}
        self._waiting_by_entry: dict[str, tuple[int, int]] = {}
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
        new_keys: set[str] = set()
        for item in report.demands:
            waiting_count += item.waiting_count
            model = adapters.get(item.model)
            keys = [model_key(item.model if model is None else model)]
            if model is not None:
                keys.append(adapter_key(item.model))
            tokens = max(item.tokens, item.arrived_count * REQUEST_TOKENS)
            for key in keys:
                self._add(key, tokens, now_ms)
                if item.arrived_count or item.waiting_count:
                    if key not in self._waiting:
                        new_keys.add(key)
                    requested_ms = now_ms - item.oldest_wait_ms
                    self._waiting[key] = min(
                        self._waiting.get(key, now_ms), requested_ms
                    )
        self._waiting_by_entry[report.entry] = (waiting_count, now_ms)
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
        level, since_ms = self._levels.get(key, (0.0, now_ms))
        return (
            level
            * math.exp((since_ms - now_ms) / self.decay_ms)
            * 1_000
            / self.decay_ms
        )

    def idle_ms(self, key: str, now_ms: int) -> float:
        """Returns the time since a model or adapter was last asked for."""
        known = self._levels.get(key)
        return math.inf if known is None else now_ms - known[1]

    def is_cold(self, key: str, now_ms: int) -> bool:
        """Tells whether a model or adapter has hardly any demand."""
        return self.rate(key, now_ms) < COLD_TOKENS_PER_S

    def waiting(self) -> list[tuple[int, str]]:
        """Returns (time of first request, key) of the waiting list, oldest first."""
        return sorted(
            (requested_ms, key) for key, requested_ms in self._waiting.items()
        )

    def remove_waiting(self, key: str) -> None:
        """Removes a key from the waiting list."""
        self._waiting.pop(key, None)

    def discard_unknown(self, is_known: Callable[[str], bool]) -> None:
        """Drops the keys that a new bundle does not have."""
        self._levels = {
            key: value for key, value in self._levels.items() if is_known(key)
        }
        self._waiting = {
            key: value for key, value in self._waiting.items() if is_known(key)
        }

    def waiting_count(self, now_ms: int) -> int:
        """Returns the number of waiting requests in the entries' last reports.

        Reports older than the time constant are left out.
        """
        return sum(
            count
            for count, reported_ms in self._waiting_by_entry.values()
            if reported_ms + self.decay_ms > now_ms
        )

    def _add(self, key: str, tokens: int, now_ms: int) -> None:
        if self._first_report_ms is None:
            self._first_report_ms = now_ms
        level, since_ms = self._levels.get(key, (0.0, now_ms))
        decayed = level * math.exp((since_ms - now_ms) / self.decay_ms)
        self._levels[key] = (decayed + tokens, now_ms)


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
