"""Counts the demand for each model between two reports."""

import dataclasses

from cassiapitch.messages import (
    DemandReport,
    InFlight,
    ModelDemand,
)
from cassiapitch.types import LifeId, ModelName, Priority

REPORT_PERIOD_MS = 500


@dataclasses.dataclass(slots=True)
class _Count:
    arrived_count: int = 0
    tokens: int = 0
    refused_count: int = 0


class DemandCounter:
    """Arrivals, refusals and tokens since the last report."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._counts: dict[tuple[ModelName, Priority], _Count] = {}
        self._refused_backends: set[LifeId] = set()
        self._leaving_backends: set[LifeId] = set()
        self._reported_something = False

    def count_arrival(self, model: ModelName, priority: Priority) -> None:
        """Counts a request."""
        self._count(model, priority).arrived_count += 1

    def count_tokens(self, model: ModelName, priority: Priority, tokens: int) -> None:
        """Counts prompt and generated tokens."""
        self._count(model, priority).tokens += tokens

    def count_refusal(self, model: ModelName, priority: Priority) -> None:
        """Counts a request that was refused since the model isn't loaded."""
        self._count(model, priority).refused_count += 1

    def add_refused_backend(self, life_id: LifeId) -> None:
        """Notes a backend server that refused a connection."""
        self._refused_backends.add(life_id)

    def add_leaving_backend(self, life_id: LifeId) -> None:
        """Notes a backend server that has said in an answer that it leaves."""
        self._leaving_backends.add(life_id)

    def report(
        self,
        waiting: dict[tuple[ModelName, Priority], tuple[int, int]],
        in_flight: tuple[InFlight, ...] = (),
    ) -> DemandReport | None:
        """Returns the next report, or None where two in a row would be empty.

        Args:
            waiting: Maps model and priority to the number of waiting requests and
                the longest wait.
            in_flight: This entry's requests at each backend server.
        """
        demands: list[ModelDemand] = []
        for key in sorted(self._counts.keys() | waiting.keys()):
            count = self._counts.get(key, _Count())
            waiting_count, oldest_wait_ms = waiting.get(key, (0, 0))
            # A refused request counts as waiting: its caller comes back, and a
            # model without a copy is loaded only if somebody waits for it.
            demand = ModelDemand(
                model=key[0],
                priority=key[1],
                arrived_count=count.arrived_count,
                waiting_count=waiting_count + count.refused_count,
                oldest_wait_ms=oldest_wait_ms,
                tokens=count.tokens,
            )
            demands.append(demand)
        refused = tuple(sorted(self._refused_backends))
        self._counts.clear()
        leaving = tuple(sorted(self._leaving_backends))
        self._refused_backends.clear()
        self._leaving_backends.clear()
        is_empty = not demands and not refused and not in_flight and not leaving
        if is_empty and not self._reported_something:
            return None
        self._reported_something = not is_empty
        return DemandReport(self._entry, tuple(demands), refused, in_flight, leaving)

    def _count(self, model: ModelName, priority: Priority) -> _Count:
        return self._counts.setdefault((model, priority), _Count())
