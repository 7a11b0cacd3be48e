"""Counts an entry's demand for each model between two reports to the leader."""

import dataclasses

from cassiapitch import ranks
from cassiapitch.answer_samples import REPORT_ALONE_COUNT, AnswerSamples
from cassiapitch.brittle_backends import BrittleReport
from cassiapitch.load_messages import AnswerSample, RankLoad
from cassiapitch.messages import (
    DemandReport,
    InFlight,
    ModelDemand,
)
from cassiapitch.shared_service_times import UnreportedTimes
from cassiapitch.types import LifeId, ModelName

REPORT_PERIOD_MS = 500


@dataclasses.dataclass(slots=True)
class _Counters:
    arrived_count: int = 0
    tokens: int = 0
    refused_count: int = 0


class DemandCounter:
    """Arrivals, refusals and tokens of an entry since its last report."""

    def __init__(self, entry: str) -> None:
        self._entry = entry
        self._counters_by_key: dict[tuple[ModelName, int], _Counters] = {}
        self._refused_backends: set[LifeId] = set()
        self._leaving_backends: set[LifeId] = set()
        self._paused_until_ms: dict[LifeId, int] = {}
        self._last_report_had_content = False

    def count_arrival(self, model: ModelName, rank: int) -> None:
        """Counts a request."""
        self._counters(model, rank).arrived_count += 1

    def count_tokens(self, model: ModelName, rank: int, tokens: int) -> None:
        """Counts prompt and generated tokens."""
        self._counters(model, rank).tokens += tokens

    def count_refusal(self, model: ModelName, rank: int) -> None:
        """Counts a request that was refused because the model isn't loaded."""
        self._counters(model, rank).refused_count += 1

    def add_refused_backend(self, life_id: LifeId) -> None:
        """Records a backend server that refused a connection."""
        self._refused_backends.add(life_id)

    def add_leaving_backend(self, life_id: LifeId) -> None:
        """Records a backend server that announced in a response that it leaves."""
        self._leaving_backends.add(life_id)

    def add_paused_backend(self, life_id: LifeId, until_ms: int) -> None:
        """Records a pause that a backend server asked for in a response."""
        self._paused_until_ms[life_id] = until_ms

    def report(
        self,
        waiting: dict[tuple[ModelName, int], tuple[int, int]],
        in_flight: tuple[InFlight, ...] = (),
        now_ms: int = 0,
        brittle: tuple[BrittleReport, ...] = (),
        answer_samples: AnswerSamples | None = None,
        unreported_times: UnreportedTimes | None = None,
        rank_loads: tuple[RankLoad, ...] = (),
    ) -> DemandReport | None:
        """Returns the next report, or None if both it and the last one are empty.

        Resets the counts.

        Args:
            waiting: Maps model and rank to the number of waiting requests and
                the longest wait in milliseconds.
            in_flight: This entry's requests at each backend server.
            now_ms: The current time.
            brittle: Brittle backend servers that the leader has not heard of.
            answer_samples: What was seen of answers since the last report.
            unreported_times: Longest times of requests that were not reported yet.
            rank_loads: Load by queue, rank and account while capacity is short.
        """
        demands: list[ModelDemand] = []
        for key in sorted(self._counters_by_key.keys() | waiting.keys()):
            counters = self._counters_by_key.get(key, _Counters())
            waiting_count, oldest_wait_ms = waiting.get(key, (0, 0))
            # A refused request counts as waiting: its caller retries, and a model
            # without a copy is loaded only if requests wait for it.
            demand = ModelDemand(
                model=key[0],
                priority=ranks.to_priority(key[1]),
                arrived_count=counters.arrived_count,
                waiting_count=waiting_count + counters.refused_count,
                oldest_wait_ms=oldest_wait_ms,
                tokens=counters.tokens,
                rank=key[1],
            )
            demands.append(demand)
        refused_backends = tuple(sorted(self._refused_backends))
        self._counters_by_key.clear()
        leaving_backends = tuple(sorted(self._leaving_backends))
        self._refused_backends.clear()
        self._leaving_backends.clear()
        pauses_ms = {
            life_id: until_ms - now_ms
            for life_id, until_ms in self._paused_until_ms.items()
            if until_ms > now_ms
        }
        self._paused_until_ms.clear()
        is_empty = (
            not demands
            and not refused_backends
            and not in_flight
            and not leaving_backends
            and not pauses_ms
            and not brittle
            and not rank_loads
        )
        samples: tuple[AnswerSample, ...] = ()
        if answer_samples is not None:
            is_alone = is_empty and not self._last_report_had_content
            samples = answer_samples.take(now_ms, is_alone=is_alone)
            is_empty = is_empty and not samples
        if unreported_times is not None:
            # Light load causes no additional messages.
            is_empty = is_empty and unreported_times.count < REPORT_ALONE_COUNT
        if is_empty and not self._last_report_had_content:
            return None
        self._last_report_had_content = not is_empty
        kind_times = () if unreported_times is None else unreported_times.take(now_ms)
        return DemandReport(
            self._entry,
            tuple(demands),
            refused_backends,
            in_flight,
            leaving_backends,
            pauses_ms,
            brittle,
            rank_loads,
            samples,
            kind_times,
        )

    def _counters(self, model: ModelName, rank: int) -> _Counters:
        return self._counters_by_key.setdefault((model, rank), _Counters())
