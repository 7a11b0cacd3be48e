"""Decides which backend server gets a request."""

import dataclasses
import random
from collections.abc import Collection, Sequence

from cassiapitch import affinity
from cassiapitch.affinity import NOTHING_SHARED, SharedPrompt
from cassiapitch.messages import (
    LoadReport,
)
from cassiapitch.prefill import PrefillEstimates
from cassiapitch.types import LifeId, Priority
from cassiapitch.viewitems import (
    BackendItem,
)

# Costs are in requests in flight, the unit of the score.
ZONE_COST = 1.0
PREFIX_CREDIT = 3.0
# Load reports come once a second and lag; their weight halves in this time, so
# that an old report doesn't keep work away from an idle backend server.
REPORT_HALF_LIFE_MS = 2_000
# Batch requests leave this share of a backend server's slots free for urgent ones.
BATCH_SHARE = 0.75
UNREACHABLE_MS = 1_000
# Time to the first token that weighs as much as one request in flight.
PREFILL_UNIT_MS = 25.0
# Credit of the engine that keeps a prompt's shared parts, known speeds or not.
KEPT_CREDIT = 1.0
# A backend server that fails every request costs as much as this many in flight; one
# that takes twice as long as the others, as much as the second number.
FAILURE_COST = 24.0
SLOWNESS_COST = 4.0
SLOWNESS_LIMIT = 4.0
# Share of the newest outcome in the averages.
OUTCOME_WEIGHT = 0.2
# With fewer answers an average says too little.
ANSWERS_LEAST_COUNT = 4
# What was learned loses half its weight in this time, so that a backend server that
# gets no requests any more is tried again.
OUTCOME_HALF_LIFE_MS = 4_000


@dataclasses.dataclass(slots=True)
class _Load:
    """What is known of the load of one life of a backend server."""

    own_count: int = 0
    own_at_report_count: int = 0
    others_count: int = 0
    reported_ms: int = 0
    prefixes: frozenset[str] = frozenset()
    avoid_until_ms: int = 0
    paused_until_ms: int = 0
    is_leaving: bool = False
    failure: float = 0.0
    answer_ms: float = 0.0
    answers_count: int = 0
    outcome_ms: int = 0


class Router:
    """Requests in flight and lagging reports of each backend server's life."""

    def __init__(self, policy: str, zone: str, source: random.Random) -> None:
        self._policy = policy
        self._zone = zone
        self._source = source
        self._loads: dict[LifeId, _Load] = {}
        self._roles: dict[LifeId, str] = {}
        self._turn = 0
        self.prefill = PrefillEstimates()

    def started(self, life_id: LifeId) -> None:
        """Counts a request as in flight."""
        self._load(life_id).own_count += 1

    def ended(self, life_id: LifeId) -> None:
        """Counts a request as no longer in flight."""
        self._load(life_id).own_count -= 1

    def in_flight(self, life_id: LifeId) -> int:
        """Returns this entry's requests in flight at a backend server."""
        load = self._loads.get(life_id)
        return 0 if load is None else load.own_count

    def in_flight_counts(self) -> dict[LifeId, int]:
        """Returns this entry's requests in flight by life."""
        return {
            life_id: load.own_count
            for life_id, load in self._loads.items()
            if load.own_count
        }

    def record_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Takes a backend server's report of its load and cached prefixes."""
        count = report.running_count + report.waiting_count
        self.record_request_count(report.life_id, count, now_ms)
        self._load(report.life_id).prefixes = frozenset(report.cached_prefixes)
        self.prefill.report(report.life_id, report.pending_tokens, now_ms)

    def record_request_count(self, life_id: LifeId, count: int, now_ms: int) -> None:
        """Takes the requests that a backend server runs or lets wait.

        The report lags by about the time between two reports, so requests that
        this entry sent since the previous one are not taken to be part of it.
        """
        load = self._load(life_id)
        included = min(load.own_count, load.own_at_report_count)
        load.others_count = max(0, count - included)
        load.own_at_report_count = load.own_count
        load.reported_ms = now_ms

    def mark_unreachable(self, life_id: LifeId, now_ms: int) -> None:
        """Sends nothing to a backend server for a while that can't be connected.

        The view learns of a stopped backend server seconds later, and each request
        sent to it until then would cost a retry.
        """
        self._load(life_id).avoid_until_ms = now_ms + UNREACHABLE_MS

    def pause(self, life_id: LifeId, pause_ms: int, now_ms: int) -> None:
        """Sends nothing to a backend server for as long as it has asked for."""
        load = self._load(life_id)
        load.paused_until_ms = max(load.paused_until_ms, now_ms + pause_ms)

    def mark_leaving(self, life_id: LifeId) -> None:
        """Sends nothing more to a backend server that has said that it leaves."""
        self._load(life_id).is_leaving = True

    def is_leaving(self, life_id: LifeId) -> bool:
        """Tells whether a backend server has said that it leaves."""
        load = self._loads.get(life_id)
        return load is not None and load.is_leaving

    def pause_rest_ms(self, life_id: LifeId, now_ms: int) -> int:
        """Returns how long a backend server still wants nothing; 0 if it takes work."""
        load = self._loads.get(life_id)
        return 0 if load is None else max(0, load.paused_until_ms - now_ms)

    def record_success(self, life_id: LifeId, answer_ms: int, now_ms: int) -> None:
        """Takes the time until a backend server's answer began."""
        load = self._load(life_id)
        load.failure *= 1 - OUTCOME_WEIGHT
        change = answer_ms - load.answer_ms
        load.answer_ms += change * (OUTCOME_WEIGHT if load.answers_count else 1.0)
        load.answers_count += 1
        load.outcome_ms = now_ms

    def record_failure(self, life_id: LifeId, now_ms: int) -> None:
        """Counts a request that a backend server failed or didn't answer."""
        load = self._load(life_id)
        load.failure += OUTCOME_WEIGHT * (1 - load.failure)
        load.outcome_ms = now_ms

    def _outcome_cost(self, backend: BackendItem, load: _Load, now_ms: int) -> float:
        """Returns what failures and slowness seen here cost.

        Answers the load beside backend servers that fail or delay a part of their
        requests while they call themselves healthy.
        """
        age_ms = max(0, now_ms - load.outcome_ms)
        weight = 0.5 ** (age_ms / OUTCOME_HALF_LIFE_MS)
        cost = FAILURE_COST * load.failure * weight
        usual_ms = self._usual_answer_ms(backend)
        if usual_ms and load.answers_count >= ANSWERS_LEAST_COUNT:
            excess = min(SLOWNESS_LIMIT, load.answer_ms / usual_ms) - 1
            cost += SLOWNESS_COST * max(0.0, excess) * weight
        return cost

    def _usual_answer_ms(self, backend: BackendItem) -> float:
        """Returns the lower middle of what backend servers of a role take."""
        times = sorted(
            load.answer_ms
            for life_id, load in self._loads.items()
            if load.answers_count >= ANSWERS_LEAST_COUNT
            and self._roles.get(life_id) == backend.role
        )
        return times[(len(times) - 1) // 2] if len(times) > 1 else 0.0

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Forgets lives that the view no longer holds."""
        for life_id in [key for key in self._loads if key not in life_ids]:
            if self._loads[life_id].own_count == 0:
                del self._loads[life_id]
                self._roles.pop(life_id, None)
                self.prefill.forget(life_id)

    def has_room(self, backend: BackendItem, priority: Priority, now_ms: int) -> bool:
        """Tells whether a backend server has a slot for one more request.

        An urgent request may always be the only one of this entry, so that other
        entries' load can't keep it away for good.
        """
        load = self._loads.get(backend.life_id)
        if load is None:
            return True
        if load.is_leaving or now_ms < max(load.avoid_until_ms, load.paused_until_ms):
            return False
        if load.own_count == 0 and priority is Priority.URGENT:
            return True
        share = BATCH_SHARE if priority is Priority.BATCH else 1.0
        limit = max(1.0, backend.max_running_count * share)
        return load.own_count + self._others(load, now_ms) < limit

    def choose(
        self,
        candidates: Sequence[BackendItem],
        priority: Priority,
        prefixes: Sequence[str],
        now_ms: int,
        prompt_tokens: int = 0,
        shared: SharedPrompt = NOTHING_SHARED,
    ) -> BackendItem | None:
        """Returns the backend server for a request, or None if none has room.

        A request with a prompt goes where its first token is expected first.
        """
        free = [
            backend
            for backend in candidates
            if self.has_room(backend, priority, now_ms)
        ]
        if not free:
            return None
        if self._policy == "round_robin":
            self._turn += 1
            free.sort(key=lambda backend: backend.name)
            return free[self._turn % len(free)]
        if len(free) == 1:
            return free[0]
        kept_at = self.preferred_engine(candidates, shared)
        scores = {
            backend.name: self.score(backend, prefixes, now_ms)
            + self.expected_ms(
                backend,
                prompt_tokens - (shared.tokens if backend is kept_at else 0),
                now_ms,
            )
            / PREFILL_UNIT_MS
            - (KEPT_CREDIT if backend is kept_at else 0.0)
            for backend in free
        }
        free.sort(key=lambda backend: (scores[backend.name], backend.name))
        # Two drawn from the better half: entries that hold the same report would
        # otherwise all send to the same backend server until the next one.
        better = free[: max(2, (len(free) + 1) // 2)]
        first, second = self._source.sample(better, 2)
        if scores[first.name] <= scores[second.name]:
            return first
        return second

    def preferred_engine(
        self, candidates: Sequence[BackendItem], shared: SharedPrompt
    ) -> BackendItem | None:
        """Returns the backend server that is expected to keep a prompt's parts."""
        if not shared.tokens:
            return None
        by_life = {backend.life_id: backend for backend in candidates}
        return by_life.get(affinity.preferred_engine(shared.key, by_life) or LifeId(""))

    def expected_ms(
        self, backend: BackendItem, prompt_tokens: int, now_ms: int
    ) -> float:
        """Returns the expected time to the first token of a prompt."""
        if not prompt_tokens:
            return 0.0
        return self.prefill.expected_ms(backend.life_id, prompt_tokens, now_ms)

    def score(
        self, backend: BackendItem, prefixes: Sequence[str], now_ms: int
    ) -> float:
        """Returns the expected cost of sending a request to a backend server."""
        zone_cost = 0.0 if backend.zone == self._zone else ZONE_COST
        load = self._loads.get(backend.life_id)
        if load is None:
            return zone_cost
        credit = 0.0
        if prefixes:
            credit = PREFIX_CREDIT * _cached_share(prefixes, load.prefixes)
        self._roles[backend.life_id] = backend.role
        cost = zone_cost + self._outcome_cost(backend, load, now_ms)
        return load.own_count + self._others(load, now_ms) - credit + cost

    def _others(self, load: _Load, now_ms: int) -> float:
        age_ms = max(0, now_ms - load.reported_ms)
        return load.others_count * 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)

    def _load(self, life_id: LifeId) -> _Load:
        load = self._loads.get(life_id)
        if load is None:
            load = self._loads[life_id] = _Load()
        return load


def _cached_share(prefixes: Sequence[str], cached: frozenset[str]) -> float:
    """Returns the share of a prompt's blocks that are cached from its start.

    Cache events come with gaps, so the longest prefix that is known counts, and
    not only an unbroken run of them.
    """
    for count in range(len(prefixes), 0, -1):
        if prefixes[count - 1] in cached:
            return count / len(prefixes)
    return 0.0
