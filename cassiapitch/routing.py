"""Chooses the backend server for a request.

The router scores each backend server with a free slot by load, zone, cached prefixes,
recent failures and expected time to first token. The unit of the score is one request
in flight.
"""

import random
from collections.abc import Collection, Iterable, Sequence

from cassiapitch import (
    affinity,
    backend_choice,
    backend_state,
    idle_connections,
    ranks,
)
from cassiapitch.affinity import NO_SHARED_PREFIX, SharedPrefix
from cassiapitch.answer_samples import AnswerSamples
from cassiapitch.backend_costs import BackendCosts
from cassiapitch.backend_state import BackendState
from cassiapitch.brittle_backends import BrittleBackends
from cassiapitch.messages import LoadReport
from cassiapitch.prefill import PrefillEstimates
from cassiapitch.send_limits import SendLimits
from cassiapitch.shared_speeds import SharedSpeeds
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# A smaller backlog by the last report, less what was processed since, doesn't show
# that a backend server is busy: requests whose callers have left still count there.
UNPROVEN_BACKLOG_MS = 200
# Expected time to first token that costs as much as one request in flight.
PREFILL_MS_PER_COST_UNIT = 25.0
# Credit of the engine preferred for a prompt's shared prefix, in requests in flight; it
# applies even before any prefill speed is known.
SHARED_PREFIX_CREDIT = 1.0
# A limited backend server that has failed more of the requests lately isn't probed.
PROBE_FAILURE_SHARE = 0.3


class Router:
    """Load and health of the backend servers, and the choice among them."""

    def __init__(
        self,
        policy: str,
        zone: str,
        rng: random.Random,
        send_limits: SendLimits | None = None,
        *,
        records_answers: bool = True,
    ) -> None:
        """Starts without knowledge of any backend server.

        Args:
            policy: Routing policy.
            zone: The entry's availability zone.
            rng: Draws between backend servers.
            send_limits: Limits of backend servers, and permits to send to them.
            records_answers: Whether what is seen of answers is kept for reports.
        """
        self._policy = policy
        self._rng = rng
        self._send_limits = SendLimits("", "") if send_limits is None else send_limits
        self._states: dict[LifeId, BackendState] = {}
        self._round_robin_index = 0
        self.answer_samples = AnswerSamples(is_enabled=records_answers)
        self.shared_speeds = SharedSpeeds()
        self._costs = BackendCosts(zone, self._states, self.shared_speeds)
        self.prefill = PrefillEstimates(
            self.shared_speeds.tokens_per_ms, self.answer_samples.record_first_token
        )
        self._ended_counts: dict[LifeId, int] = {}
        self.brittle = BrittleBackends(rng)
        self.idle_preference = idle_connections.IdlePreference(rng)

    def request_started(self, life_id: LifeId) -> None:
        """Adds a request in flight."""
        self._state_of(life_id).own_in_flight_count += 1

    def request_ended(self, life_id: LifeId) -> None:
        """Removes a request in flight."""
        self._state_of(life_id).own_in_flight_count -= 1
        self._ended_counts[life_id] = self._ended_counts.get(life_id, 0) + 1

    def request_given_up(self, life_id: LifeId, sent_ms: int, now_ms: int) -> None:
        """Records that the answer to a written request is not waited for any more."""
        self.brittle.record_given_up(life_id, sent_ms, now_ms)

    def take_ended_counts(self) -> dict[LifeId, int]:
        """Returns how many requests have ended since the last call, by life id."""
        counts, self._ended_counts = self._ended_counts, {}
        return counts

    def in_flight(self, life_id: LifeId) -> int:
        """Returns this entry's requests in flight at a backend server."""
        state = self._states.get(life_id)
        return 0 if state is None else state.own_in_flight_count

    def total_in_flight(self, life_id: LifeId) -> int:
        """Returns the requests in flight at a backend server, of all entries."""
        state = self._states.get(life_id)
        if state is None:
            return 0
        return state.own_in_flight_count + state.other_entries_in_flight_count

    def in_flight_counts(self, now_ms: int) -> dict[LifeId, int]:
        """Returns this entry's requests in flight by life id.

        Where a backend server is brittle, those given up count for as long as it is
        thought to work on them.
        """
        counts = {
            life_id: self._occupied_count(life_id, state, now_ms)
            for life_id, state in self._states.items()
        }
        return {life_id: count for life_id, count in counts.items() if count}

    def _occupied_count(self, life_id: LifeId, state: BackendState, now_ms: int) -> int:
        given_up_count = self.brittle.given_up_count(life_id, now_ms)
        return state.own_in_flight_count + given_up_count

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
        own_count = self._occupied_count(life_id, state, now_ms)
        backend_state.record_request_count(state, own_count, count, now_ms)

    def mark_unreachable(self, life_id: LifeId, now_ms: int) -> None:
        """Avoids a backend server for a while after a failed connect.

        The view shows a stopped backend server as such only seconds later, and until
        then each request sent to it would cost a retry.
        """
        self._state_of(life_id).unreachable_until_ms = (
            now_ms + backend_state.UNREACHABLE_MS
        )

    def hold(self, backend: BackendItem, now_ms: int) -> None:
        """Sends nothing to a backend server that may have restarted cold.

        Args:
            backend: Its item in the current view; a change of it ends the hold.
            now_ms: The current time.
        """
        backend_state.hold(self._state_of(backend.life_id), backend, now_ms)

    def end_hold(self, life_id: LifeId) -> None:
        """Ends a hold; its cause was found not to be a restart."""
        state = self._states.get(life_id)
        if state is not None:
            state.held_until_ms = 0

    def update_holds(self, backends: Iterable[BackendItem]) -> None:
        """Ends the holds of backend servers of which the view shows something new."""
        for backend in backends:
            state = self._states.get(backend.life_id)
            if state is not None:
                backend_state.update_hold(state, backend)

    def remaining_hold_ms(self, life_id: LifeId, now_ms: int) -> int:
        """Returns the rest of a hold, or 0."""
        state = self._states.get(life_id)
        return 0 if state is None else max(0, state.held_until_ms - now_ms)

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
        self.answer_samples.record_rejection(backend.life_id, now_ms)
        self.idle_preference.record_rejection(backend.life_id, now_ms)
        return self.brittle.record_rejection(
            backend.life_id, backend_state.load(state, backend), now_ms
        )

    def record_success(self, life_id: LifeId, answer_ms: int, now_ms: int) -> None:
        """Records a success and the time until the answer began."""
        backend_state.record_success(self._state_of(life_id), answer_ms, now_ms)
        self.brittle.record_answer(life_id, answer_ms)

    def mean_answer_ms(self, life_id: LifeId) -> float:
        """Returns the mean time until an answer begins, 0 if none was seen."""
        state = self._states.get(life_id)
        return 0.0 if state is None else state.mean_answer_ms

    def record_failure(self, life_id: LifeId, now_ms: int) -> None:
        """Records a request that a backend server failed or didn't answer."""
        backend_state.record_failure(self._state_of(life_id), now_ms)

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Removes the state of incarnations that are no longer in the view."""
        self.answer_samples.retain_only(life_ids)
        self.idle_preference.retain_only(life_ids)
        for life_id in [key for key in self._states if key not in life_ids]:
            if self._states[life_id].own_in_flight_count == 0:
                del self._states[life_id]
                self._costs.forget(life_id)
                self.prefill.forget_engine(life_id)

    def has_free_slot(
        self,
        backend: BackendItem,
        rank: int,
        now_ms: int,
        first_rank: int = ranks.MOST_URGENT_RANK,
    ) -> bool:
        """Returns whether a backend server may get one more request now.

        It has a free slot, and this entry has a permit if it has a limit; see
        `has_capacity`.
        """
        return (
            self._send_limits.may_send(backend.life_id, now_ms)
            and self._send_limits.is_in_pace(backend, now_ms)
            and self.has_capacity(backend, rank, now_ms, first_rank)
        )

    def has_capacity(
        self,
        backend: BackendItem,
        rank: int,
        now_ms: int,
        first_rank: int = ranks.MOST_URGENT_RANK,
    ) -> bool:
        """Returns whether a backend server has a free slot for one more request.

        This entry may always have one request in flight there, so that the load of
        other entries can't shut it out forever; not where it is brittle.

        Args:
            backend: The backend server.
            rank: The request's rank.
            now_ms: The current time.
            first_rank: The least urgent rank that may be that one request.
        """
        state = self._states.get(backend.life_id)
        if state is None:
            state = BackendState()
        if backend_state.is_avoided(state, now_ms):
            return False
        if self.brittle.is_brittle(backend.life_id, now_ms):
            return self.brittle.may_send(
                backend.life_id, backend_state.load(state, backend), now_ms
            )
        if state.own_in_flight_count == 0 and rank <= first_rank:
            return True
        speed = self.shared_speeds.speed(backend.life_id, now_ms)
        limit = backend_state.slots_limit(backend, rank, speed)
        return backend_state.in_flight_count(state, now_ms) < limit

    def is_avoided(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether a backend server gets nothing now, whatever its load."""
        state = self._states.get(life_id)
        return state is not None and backend_state.is_avoided(state, now_ms)

    def has_room(self, backend: BackendItem, objective_ms: int, now_ms: int) -> bool:
        """Returns whether a backend server is far from a shortage of capacity."""
        state = self._states.get(backend.life_id)
        if state is None:
            return True
        backlog_ms = self.prefill.backlog_ms(backend.life_id, now_ms)
        return backend_state.has_room(state, backend, backlog_ms, objective_ms, now_ms)

    def is_idle(self, backend: BackendItem, now_ms: int) -> bool:
        """Returns whether reports don't show that a backend server is busy."""
        backlog_ms = self.prefill.backlog_ms(backend.life_id, now_ms)
        return backlog_ms <= UNPROVEN_BACKLOG_MS

    def choose(
        self,
        candidates: Sequence[BackendItem],
        rank: int,
        prefixes: Sequence[str],
        now_ms: int,
        prompt_tokens: int = 0,
        shared: SharedPrefix = NO_SHARED_PREFIX,
        first_rank: int = ranks.MOST_URGENT_RANK,
    ) -> BackendItem | None:
        """Returns the backend server for a request, or None if none has a free slot.

        For a request with a prompt, the expected time to first token is part of the
        score.
        """
        free = [
            backend
            for backend in candidates
            if self.has_free_slot(backend, rank, now_ms, first_rank)
        ]
        if not free:
            return None
        if self._send_limits.has_limits():
            # A cold backend server is slow, so it only gets what others have no room
            # for.
            warm = [
                item for item in free if not self._send_limits.is_cold(item.life_id)
            ]
            free = warm or free
            probed = [item for item in free if self._is_probe_due(item, now_ms)]
            free = probed or free
        if self._policy == "round_robin":
            self._round_robin_index += 1
            free.sort(key=lambda backend: backend.name)
            return free[self._round_robin_index % len(free)]
        if len(free) == 1:
            return free[0]
        preferred = self.preferred_engine(candidates, shared)
        scores = {
            backend.life_id: self._prompt_score(
                backend, prefixes, now_ms, prompt_tokens, shared, preferred
            )
            for backend in free
        }
        weights: dict[LifeId, float] | None = None
        if prompt_tokens and self._share_all_speeds(free, now_ms):
            chosen, weights = self._choose_by_shares(
                free, scores, preferred, prompt_tokens, now_ms
            )
        else:
            chosen = backend_choice.better_of_two(free, scores, self._rng)
        if chosen is preferred or self.idle_preference.has_idle is None:
            return chosen
        if weights is None:
            weights = idle_connections.weights_below_median(scores)

        def fixed_cost(backend: BackendItem) -> float:
            return self._costs.fixed_cost(backend, prefixes, now_ms)

        def speed(backend: BackendItem) -> float:
            shared_speed = self.shared_speeds.speed(backend.life_id, now_ms)
            return 1.0 if shared_speed is None else shared_speed.taken_ratio

        return self.idle_preference.replace(
            chosen, free, weights, scores, fixed_cost, speed, now_ms
        )

    def _is_probe_due(self, backend: BackendItem, now_ms: int) -> bool:
        """Returns whether a request is to tell whether a backend server's limit holds.

        By load and speed alone, entries would rather use the others and the end of the
        limit would be heard late or never. A server that fails gets no probe.
        """
        if not self._send_limits.has_probe(backend.life_id, now_ms):
            return False
        state = self._states.get(backend.life_id)
        return (
            state is None
            or backend_state.failure_share(state, now_ms) < PROBE_FAILURE_SHARE
        )

    def _prompt_score(
        self,
        backend: BackendItem,
        prefixes: Sequence[str],
        now_ms: int,
        prompt_tokens: int,
        shared: SharedPrefix,
        preferred: BackendItem | None,
    ) -> float:
        """Returns the cost of a backend server, with the time to first token."""
        is_preferred = backend is preferred
        tokens = prompt_tokens - (shared.tokens if is_preferred else 0)
        return (
            self.score(backend, prefixes, now_ms)
            + self.expected_ms(backend, tokens, now_ms) / PREFILL_MS_PER_COST_UNIT
            - (SHARED_PREFIX_CREDIT if is_preferred else 0.0)
        )

    def _share_all_speeds(self, backends: list[BackendItem], now_ms: int) -> bool:
        return all(
            self.shared_speeds.tokens_per_ms(backend.life_id, now_ms) is not None
            for backend in backends
        )

    def _choose_by_shares(
        self,
        free: list[BackendItem],
        scores: dict[LifeId, float],
        preferred: BackendItem | None,
        prompt_tokens: int,
        now_ms: int,
    ) -> tuple[BackendItem, dict[LifeId, float]]:
        """Chooses at random, with shares that level the expected times to first token.

        Until the next load report, all entries see the same backlogs. If each chose the
        best backend server, they would overload it meanwhile. The shares are those with
        which the prompts that all entries send until then fill the backlogs to one
        level; a backend server above the level gets none. The engine that is preferred
        for a shared prefix gets the prompt if it is the best one.

        Returns:
            The choice, and the shares.
        """
        costs_ms = {
            life_id: PREFILL_MS_PER_COST_UNIT * score
            for life_id, score in scores.items()
        }
        speeds = {
            life_id: self.shared_speeds.tokens_per_ms(life_id, now_ms) or 0.0
            for life_id in costs_ms
        }
        utilization = self.shared_speeds.utilization(free[0].life_id, now_ms)
        age_ms = backend_choice.report_age_ms(self.prefill.mean_error_ms)
        loads_ms = {
            backend.life_id: self.prefill.backlog_ms(backend.life_id, now_ms)
            + PREFILL_MS_PER_COST_UNIT * self._costs.in_flight_cost(backend, now_ms)
            for backend in free
        }
        costs_ms = backend_choice.corrected_costs_ms(
            costs_ms, loads_ms, speeds, age_ms, prompt_tokens
        )
        # Entries don't overload the engine that is preferred for a prefix: prefixes are
        # spread over all engines.
        if preferred is not None and (
            costs_ms.get(preferred.life_id) == min(costs_ms.values())
        ):
            return preferred, {}
        volume_tokens = prompt_tokens + utilization * age_ms * sum(speeds.values())
        shares = backend_choice.levelling_shares(costs_ms, speeds, volume_tokens)
        weights = [shares[backend.life_id] for backend in free]
        return self._rng.choices(free, weights)[0], shares

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
        return self._costs.score(backend, prefixes, now_ms)

    def _state_of(self, life_id: LifeId) -> BackendState:
        state = self._states.get(life_id)
        if state is None:
            state = self._states[life_id] = BackendState()
        return state
