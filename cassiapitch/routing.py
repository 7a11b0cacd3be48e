"""Chooses the backend server for a request.

The router scores each backend server with a free slot by load, zone, cached prefixes,
recent failures and expected time to first token. The unit of the score is one request
in flight.
"""

import dataclasses
import random
from collections.abc import Collection, Sequence

from cassiapitch import affinity
from cassiapitch.affinity import NO_SHARED_PREFIX, SharedPrefix
from cassiapitch.brittle_backends import BrittleBackends, Load
from cassiapitch.messages import (
    LoadReport,
)
from cassiapitch.prefill import PrefillEstimates
from cassiapitch.send_limits import SendLimits
from cassiapitch.types import LifeId, Priority
from cassiapitch.viewitems import (
    BackendItem,
)

# Costs and credits are in requests in flight, the unit of the score.
CROSS_ZONE_COST = 1.0
CACHED_PREFIX_CREDIT = 3.0
# Load reports arrive once a second and lag behind. Their weight halves in this time, so
# that an old report doesn't keep requests from an idle backend server.
REPORT_HALF_LIFE_MS = 2_000
# Batch requests may use this share of a backend server's slots; the rest stays free for
# urgent ones.
BATCH_SLOTS_SHARE = 0.75
UNREACHABLE_MS = 1_000
# Expected time to first token that costs as much as one request in flight.
PREFILL_MS_PER_COST_UNIT = 25.0
# Credit of the engine preferred for a prompt's shared prefix; it applies even before
# any prefill speed is known.
SHARED_PREFIX_CREDIT = 1.0
# Cost of a backend server that fails every request, and cost of one that takes twice as
# long as the others.
FAILURE_COST = 24.0
SLOWNESS_COST = 4.0
MAX_SLOWNESS_RATIO = 4.0
# Weight of the newest outcome in the moving averages.
OUTCOME_SAMPLE_WEIGHT = 0.2
# With fewer answers the average is too uncertain to be used.
MIN_ANSWERS_COUNT = 4
# Failures and slowness lose half their weight in this time, so that a backend server
# that was avoided is tried again.
OUTCOME_HALF_LIFE_MS = 4_000


@dataclasses.dataclass(slots=True)
class _BackendState:
    """Load and health of one incarnation of a backend server.

    An incarnation is one run of its process, from start to exit.

    Attributes:
        own_in_flight_count: This entry's requests in flight.
        own_in_flight_at_report_count: `own_in_flight_count` at the last load report.
        other_entries_in_flight_count: Running and waiting requests of other entries at
            the last load report.
        reported_ms: Time of the last load report.
        prefixes: Digests of the prompt prefixes in its cache.
        unreachable_until_ms: Until when it is avoided after a failed connect.
        paused_until_ms: End of the pause that it asked for.
        is_leaving: Whether it has announced its departure.
        failure_rate: Moving average of failed requests, 0 to 1.
        mean_answer_ms: Moving average of the time until the answer begins.
        answers_count: Answers in that average.
        last_outcome_ms: Time of the last answer or failure.
    """

    own_in_flight_count: int = 0
    own_in_flight_at_report_count: int = 0
    other_entries_in_flight_count: int = 0
    reported_ms: int = 0
    prefixes: frozenset[str] = frozenset()
    unreachable_until_ms: int = 0
    paused_until_ms: int = 0
    is_leaving: bool = False
    failure_rate: float = 0.0
    mean_answer_ms: float = 0.0
    answers_count: int = 0
    last_outcome_ms: int = 0


class Router:
    """Load and health of the backend servers, and the choice among them."""

    def __init__(
        self,
        policy: str,
        zone: str,
        rng: random.Random,
        send_limits: SendLimits | None = None,
    ) -> None:
        self._policy = policy
        self._zone = zone
        self._rng = rng
        self._send_limits = SendLimits("", "") if send_limits is None else send_limits
        self._states: dict[LifeId, _BackendState] = {}
        self._roles: dict[LifeId, str] = {}
        self._round_robin_index = 0
        self.prefill = PrefillEstimates()
        self.brittle = BrittleBackends(rng)

    def request_started(self, life_id: LifeId) -> None:
        """Adds a request in flight."""
        self._state_of(life_id).own_in_flight_count += 1

    def request_ended(self, life_id: LifeId) -> None:
        """Removes a request in flight."""
        self._state_of(life_id).own_in_flight_count -= 1

    def in_flight(self, life_id: LifeId) -> int:
        """Returns this entry's requests in flight at a backend server."""
        state = self._states.get(life_id)
        return 0 if state is None else state.own_in_flight_count

    def in_flight_counts(self) -> dict[LifeId, int]:
        """Returns this entry's requests in flight by life id."""
        return {
            life_id: state.own_in_flight_count
            for life_id, state in self._states.items()
            if state.own_in_flight_count
        }

    def record_load_report(self, report: LoadReport, now_ms: int) -> None:
        """Records a backend server's report of its load and cached prefixes."""
        count = report.running_count + report.waiting_count
        self.record_request_count(report.life_id, count, now_ms)
        self._state_of(report.life_id).prefixes = frozenset(report.cached_prefixes)
        self.prefill.record_report(report.life_id, report.pending_tokens, now_ms)

    def record_request_count(self, life_id: LifeId, count: int, now_ms: int) -> None:
        """Records the number of running and waiting requests at a backend server.

        A report lags by about one report period. Requests that this entry sent since
        the previous report are therefore assumed not to be included.
        """
        state = self._state_of(life_id)
        included = min(state.own_in_flight_count, state.own_in_flight_at_report_count)
        state.other_entries_in_flight_count = max(0, count - included)
        state.own_in_flight_at_report_count = state.own_in_flight_count
        state.reported_ms = now_ms

    def mark_unreachable(self, life_id: LifeId, now_ms: int) -> None:
        """Avoids a backend server for a while after a failed connect.

        The view shows a stopped backend server as such only seconds later, and until
        then each request sent to it would cost a retry.
        """
        self._state_of(life_id).unreachable_until_ms = now_ms + UNREACHABLE_MS

    def pause(self, life_id: LifeId, pause_ms: int, now_ms: int) -> None:
        """Sends a backend server no requests for the time that it asked for."""
        state = self._state_of(life_id)
        state.paused_until_ms = max(state.paused_until_ms, now_ms + pause_ms)

    def mark_leaving(self, life_id: LifeId) -> None:
        """Sends no more requests to a backend server that announced its departure."""
        self._state_of(life_id).is_leaving = True

    def is_leaving(self, life_id: LifeId) -> bool:
        """Returns whether a backend server has announced its departure."""
        state = self._states.get(life_id)
        return state is not None and state.is_leaving

    def remaining_pause_ms(self, life_id: LifeId, now_ms: int) -> int:
        """Returns the rest of the pause that a backend server asked for, or 0."""
        state = self._states.get(life_id)
        return 0 if state is None else max(0, state.paused_until_ms - now_ms)

    def record_rejection(self, backend: BackendItem, now_ms: int) -> bool:
        """Records that a backend server had no room for a request.

        Returns:
            Whether the leader should hear at once, so that all entries hold back.
        """
        state = self._state_of(backend.life_id)
        return self.brittle.record_rejection(
            backend.life_id, _load(backend, state), now_ms
        )

    def record_success(self, life_id: LifeId, answer_ms: int, now_ms: int) -> None:
        """Records a success and the time until the answer began."""
        state = self._state_of(life_id)
        state.failure_rate *= 1 - OUTCOME_SAMPLE_WEIGHT
        change = answer_ms - state.mean_answer_ms
        state.mean_answer_ms += change * (
            OUTCOME_SAMPLE_WEIGHT if state.answers_count else 1.0
        )
        state.answers_count += 1
        state.last_outcome_ms = now_ms

    def record_failure(self, life_id: LifeId, now_ms: int) -> None:
        """Records a request that a backend server failed or didn't answer."""
        state = self._state_of(life_id)
        state.failure_rate += OUTCOME_SAMPLE_WEIGHT * (1 - state.failure_rate)
        state.last_outcome_ms = now_ms

    def _outcome_cost(
        self, backend: BackendItem, state: _BackendState, now_ms: int
    ) -> float:
        """Returns the cost of failures and slowness seen by this entry.

        It keeps requests from backend servers that fail or delay some of their
        requests while they report themselves as healthy.
        """
        age_ms = max(0, now_ms - state.last_outcome_ms)
        weight = 0.5 ** (age_ms / OUTCOME_HALF_LIFE_MS)
        cost = FAILURE_COST * state.failure_rate * weight
        typical_ms = self._typical_answer_ms(backend)
        if typical_ms and state.answers_count >= MIN_ANSWERS_COUNT:
            excess = min(MAX_SLOWNESS_RATIO, state.mean_answer_ms / typical_ms) - 1
            cost += SLOWNESS_COST * max(0.0, excess) * weight
        return cost

    def _typical_answer_ms(self, backend: BackendItem) -> float:
        """Returns the lower median answer time of the role's backend servers, or 0."""
        times = sorted(
            state.mean_answer_ms
            for life_id, state in self._states.items()
            if state.answers_count >= MIN_ANSWERS_COUNT
            and self._roles.get(life_id) == backend.role
        )
        return times[(len(times) - 1) // 2] if len(times) > 1 else 0.0

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Removes the state of incarnations that are no longer in the view."""
        for life_id in [key for key in self._states if key not in life_ids]:
            if self._states[life_id].own_in_flight_count == 0:
                del self._states[life_id]
                self._roles.pop(life_id, None)
                self.prefill.forget_engine(life_id)

    def has_free_slot(
        self, backend: BackendItem, priority: Priority, now_ms: int
    ) -> bool:
        """Returns whether a backend server may get one more request now.

        It has a free slot, and this entry has a permit if it stated a limit.
        """
        return self._send_limits.may_send(
            backend.life_id, now_ms
        ) and self.has_capacity(backend, priority, now_ms)

    def has_capacity(
        self, backend: BackendItem, priority: Priority, now_ms: int
    ) -> bool:
        """Returns whether a backend server has a free slot for one more request.

        This entry may always have one urgent request in flight there, so that the
        load of other entries can't shut it out forever; not where it is brittle.
        """
        state = self._states.get(backend.life_id)
        if state is None:
            state = _BackendState()
        if state.is_leaving or now_ms < max(
            state.unreachable_until_ms, state.paused_until_ms
        ):
            return False
        if self.brittle.is_brittle(backend.life_id, now_ms):
            return self.brittle.may_send(backend.life_id, _load(backend, state), now_ms)
        if state.own_in_flight_count == 0 and priority is Priority.URGENT:
            return True
        share = BATCH_SLOTS_SHARE if priority is Priority.BATCH else 1.0
        limit = max(1.0, backend.max_running_count * share)
        return (
            state.own_in_flight_count + self._decayed_others_count(state, now_ms)
            < limit
        )

    def choose(
        self,
        candidates: Sequence[BackendItem],
        priority: Priority,
        prefixes: Sequence[str],
        now_ms: int,
        prompt_tokens: int = 0,
        shared: SharedPrefix = NO_SHARED_PREFIX,
    ) -> BackendItem | None:
        """Returns the backend server for a request, or None if none has a free slot.

        For a request with a prompt, the expected time to first token is part of the
        score.
        """
        free = [
            backend
            for backend in candidates
            if self.has_free_slot(backend, priority, now_ms)
        ]
        if not free:
            return None
        if self._policy == "round_robin":
            self._round_robin_index += 1
            free.sort(key=lambda backend: backend.name)
            return free[self._round_robin_index % len(free)]
        if len(free) == 1:
            return free[0]
        preferred = self.preferred_engine(candidates, shared)
        scores = {
            backend.name: self.score(backend, prefixes, now_ms)
            + self.expected_ms(
                backend,
                prompt_tokens - (shared.tokens if backend is preferred else 0),
                now_ms,
            )
            / PREFILL_MS_PER_COST_UNIT
            - (SHARED_PREFIX_CREDIT if backend is preferred else 0.0)
            for backend in free
        }
        free.sort(key=lambda backend: (scores[backend.name], backend.name))
        # Picks the better of two random backend servers of the better half. Entries
        # with the same load report would otherwise all choose the same backend server
        # until the next report.
        better = free[: max(2, (len(free) + 1) // 2)]
        first, second = self._rng.sample(better, 2)
        if scores[first.name] <= scores[second.name]:
            return first
        return second

    def preferred_engine(
        self, candidates: Sequence[BackendItem], shared: SharedPrefix
    ) -> BackendItem | None:
        """Returns the backend server expected to have a shared prefix cached."""
        if not shared.tokens:
            return None
        by_life = {backend.life_id: backend for backend in candidates}
        return by_life.get(affinity.preferred_engine(shared.key, by_life) or LifeId(""))

    def expected_ms(
        self, backend: BackendItem, prompt_tokens: int, now_ms: int
    ) -> float:
        """Returns the expected time to first token of a prompt, 0 without a prompt."""
        if not prompt_tokens:
            return 0.0
        return self.prefill.expected_ms(backend.life_id, prompt_tokens, now_ms)

    def score(
        self, backend: BackendItem, prefixes: Sequence[str], now_ms: int
    ) -> float:
        """Returns the cost of a backend server for a request, in requests in flight."""
        zone_cost = 0.0 if backend.zone == self._zone else CROSS_ZONE_COST
        state = self._states.get(backend.life_id)
        if state is None:
            return zone_cost
        credit = 0.0
        if prefixes:
            credit = CACHED_PREFIX_CREDIT * _cached_share(prefixes, state.prefixes)
        self._roles[backend.life_id] = backend.role
        cost = zone_cost + self._outcome_cost(backend, state, now_ms)
        return (
            state.own_in_flight_count
            + self._decayed_others_count(state, now_ms)
            - credit
            + cost
        )

    def _decayed_others_count(self, state: _BackendState, now_ms: int) -> float:
        age_ms = max(0, now_ms - state.reported_ms)
        return state.other_entries_in_flight_count * 0.5 ** (
            age_ms / REPORT_HALF_LIFE_MS
        )

    def _state_of(self, life_id: LifeId) -> _BackendState:
        state = self._states.get(life_id)
        if state is None:
            state = self._states[life_id] = _BackendState()
        return state


def _load(backend: BackendItem, state: _BackendState) -> Load:
    return Load(
        state.own_in_flight_count,
        state.other_entries_in_flight_count,
        backend.max_running_count,
    )


def _cached_share(prefixes: Sequence[str], cached: frozenset[str]) -> float:
    """Returns the cached share of a prompt's blocks, counted from its start.

    Cache events can be lost, so the longest known prefix counts even if shorter ones
    are unknown.
    """
    for count in range(len(prefixes), 0, -1):
        if prefixes[count - 1] in cached:
            return count / len(prefixes)
    return 0.0
