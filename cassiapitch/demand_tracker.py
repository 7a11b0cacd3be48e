"""Demand for models and adapters, and the list of those that requests wait for."""

import math
from collections.abc import Callable

import msgspec

from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.messages import (
    DemandReport,
)
from cassiapitch.orders import adapter_key, model_key

# Time constant of the moving average: long enough to span bursts of a few seconds,
# short against the 30 s that a copy stays resident.
DECAY_MS = 20_000

# A request that is reported without tokens, for instance one that waits, counts
# as a short answer.
REQUEST_TOKENS = 100

# Below this rate a model counts as cold: about one request in two minutes.
COLD_TOKENS_PER_S = 1.0


class DemandTracker:
    """Exponentially decaying demand by ledger key, and the waiting list."""

    def __init__(self, decay_ms: int = DECAY_MS) -> None:
        self.decay_ms = decay_ms
        self._levels: dict[str, tuple[float, int]] = {}
        self._waiting: dict[str, int] = {}
        self._entry_waits: dict[str, tuple[int, int]] = {}
        self._first_ms: int | None = None

    def note(
        self, report: DemandReport, adapters: dict[str, str], now_ms: int
    ) -> set[str]:
        """Takes an entry's report; returns the keys that are new on the list.

        Args:
            report: The report; its names are of models or adapters of the bundle.
            adapters: Maps each adapter to its model.
            now_ms: The time of its arrival.
        """
        waiting_count = 0
        new: set[str] = set()
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
                        new.add(key)
                    asked_ms = now_ms - item.oldest_wait_ms
                    self._waiting[key] = min(self._waiting.get(key, now_ms), asked_ms)
        self._entry_waits[report.entry] = (waiting_count, now_ms)
        return new

    def copy_rates(self, earlier: "DemandTracker") -> None:
        """Takes over the rates that were observed before."""
        self._levels = dict(earlier._levels)
        self._first_ms = earlier._first_ms

    def known_keys(self) -> list[str]:
        """Returns the models and adapters that were ever asked for."""
        return list(self._levels)

    def observed_ms(self, now_ms: int) -> int:
        """Returns the time since the first request was reported; 0 before."""
        return 0 if self._first_ms is None else now_ms - self._first_ms

    def rate(self, key: str, now_ms: int) -> float:
        """Returns tokens per second asked of a model or adapter."""
        level, since_ms = self._levels.get(key, (0.0, now_ms))
        return (
            level
            * math.exp((since_ms - now_ms) / self.decay_ms)
            * 1_000
            / self.decay_ms
        )

    def is_cold(self, key: str, now_ms: int) -> bool:
        """Tells whether hardly anybody asks for a model or adapter."""
        return self.rate(key, now_ms) < COLD_TOKENS_PER_S

    def waiting(self) -> list[tuple[int, str]]:
        """Returns (time of the first request, key), oldest first."""
        return sorted((asked_ms, key) for key, asked_ms in self._waiting.items())

    def served(self, key: str) -> None:
        """Takes a key off the waiting list."""
        self._waiting.pop(key, None)

    def discard_unknown(self, is_known: Callable[[str], bool]) -> None:
        """Forgets everything but the keys that a new bundle knows."""
        self._levels = {
            key: value for key, value in self._levels.items() if is_known(key)
        }
        self._waiting = {
            key: value for key, value in self._waiting.items() if is_known(key)
        }

    def waiting_count(self, now_ms: int) -> int:
        """Returns how many requests waited at the entries by their last reports."""
        return sum(
            count
            for count, time_ms in self._entry_waits.values()
            if time_ms + self.decay_ms > now_ms
        )

    def _add(self, key: str, tokens: int, now_ms: int) -> None:
        if self._first_ms is None:
            self._first_ms = now_ms
        level, since_ms = self._levels.get(key, (0.0, now_ms))
        decayed = level * math.exp((since_ms - now_ms) / self.decay_ms)
        self._levels[key] = (decayed + tokens, now_ms)


def add_known_demand(
    demand: DemandTracker, report: DemandReport, catalog: BundleCatalog, now_ms: int
) -> set[str]:
    """Adds a report on the bundle's models; returns as `DemandTracker.note`."""
    adapters = {
        item.model: catalog.adapters[item.model].model
        for item in report.demands
        if item.model in catalog.adapters
    }
    # An entry may be a bundle behind, or ahead.
    known = tuple(
        item
        for item in report.demands
        if item.model in catalog.models or item.model in adapters
    )
    report = msgspec.structs.replace(report, demands=known)
    return demand.note(report, adapters, now_ms)
