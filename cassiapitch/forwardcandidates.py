"""Candidate backend servers of forwarded requests, and feedback to the router."""

import random

from cassiapitch import affinity, home_regions, ranks, rate_budget, timers
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardroutes import ForwardRoute, WeightedRole, choose_role
from cassiapitch.forwardtypes import (
    SERVER_ERROR_STATUS,
    ForwardCall,
    RefusedError,
    request_digest,
)
from cassiapitch.prefill import FIRST_TOKEN_LIMIT_SHARE
from cassiapitch.slots import Slot, SlotRequest
from cassiapitch.types import AccountName, LifeId, ModelName
from cassiapitch.viewitems import AccountItem, BackendItem

# How long an engine gets no requests for a model after it said that it doesn't hold it.
# By then the engine's next heartbeat has removed the model from the view.
MODEL_MISSING_MS = 1_200
# The wait for tokens may take at most the objective divided by this; prefill needs the
# rest.
ADMISSION_OBJECTIVE_DIVISOR = 3
# A wait shorter than an exchange with the leader would refuse calls within the rate.
MIN_ADMISSION_MS = 150
# Each account priority covers three ranks, one for each priority of a route.
RANKS_PER_ACCOUNT = 3


class ForwardCandidates:
    """Builds slot requests for one entry's calls and reports results to the router."""

    def __init__(self, state: EntryState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        # When to use an engine for a model again, by incarnation and model name.
        self._missing_until_ms: dict[tuple[LifeId, str], int] = {}

    def make_slot_request(self, call: ForwardCall) -> SlotRequest:
        """Returns a call's request for a slot, and counts the demand for its model.

        Raises:
            RefusedError: No backend server is in the call's home regions.
        """
        regions = home_regions.allowed_regions(call.route, call.account)
        role = choose_role(self.find_targets(call), self._rng)
        rank = request_rank(call.account, call.route)
        catalog = self._state.catalog
        model = call.head.model
        resolved_model = None if model is None else catalog.resolve_model(model)
        if resolved_model is None:

            def candidates() -> list[BackendItem]:
                return self._state.in_regions(
                    _allowed_sources(call, catalog.services(role)), regions
                )

            def expected_ms() -> int | None:
                return None

            queue = role
        else:

            def candidates() -> list[BackendItem]:
                allowed = self._state.in_regions(
                    _allowed_sources(call, catalog.engines(resolved_model)), regions
                )
                return self._without_missing(allowed, resolved_model.name)

            def expected_ms() -> int | None:
                return self._state.expected_ms(ModelName(resolved_model.name))

            queue = str(resolved_model.name)
            demand = self._state.demand
            demand.count_arrival(ModelName(resolved_model.name), rank)
            tokens = call.head.prompt_tokens + call.head.answer_tokens
            demand.count_tokens(ModelName(resolved_model.name), rank, tokens)
            if not candidates():
                self._state.demand_needed.notify_all()
        account = call.account
        deadline_ms = call.deadline_ms
        limit_ms = call.route.first_token_limit_ms
        if limit_ms is not None:
            first_token_wait_ms = int(FIRST_TOKEN_LIMIT_SHARE * limit_ms)
            deadline_ms = min(deadline_ms, call.arrived_ms + first_token_wait_ms)
        return SlotRequest(
            name=queue,
            queue=queue,
            candidates=candidates,
            expected_ms=expected_ms,
            account=AccountName("" if account is None else account.name),
            weight=1 if account is None else account.weight,
            rank=rank,
            cost=max(1, call.head.prompt_tokens + call.head.answer_tokens),
            deadline_ms=deadline_ms,
            digest=request_digest(call),
            prefixes=tuple(part.part_id for part in call.head.prompt_parts),
            prompt_tokens=call.head.prompt_tokens,
            first_token_limit_ms=call.route.first_token_limit_ms,
            role=role,
            objective_ms=call.route.objective_ms,
            # Requests without a body are too much alike to tell repeats from others.
            draw_key="" if call.request.body else call.request_key,
            shared=affinity.shared_prefix(queue, call.head.prompt_parts),
            is_restricted=regions is not None,
        )

    def find_targets(self, call: ForwardCall) -> tuple[WeightedRole, ...]:
        """Returns the roles that can ever serve a call.

        Raises:
            RefusedError: No backend server is in the call's home regions.
        """
        targets = call.route.targets
        if call.source is not None:
            targets = (WeightedRole(call.source.role, 1),)
        regions = home_regions.allowed_regions(call.route, call.account)
        if regions is None:
            return targets
        targets = tuple(
            target
            for target in targets
            if target.weight > 0
            and not self._state.is_outside_regions(target.role, regions)
        )
        if not targets:
            raise RefusedError(ErrorKind.OUTSIDE_HOME_REGIONS)
        return targets

    def _without_missing(
        self, engines: list[BackendItem], name: str
    ) -> list[BackendItem]:
        """Leaves out engines that recently said that they don't hold a model."""
        if not self._missing_until_ms:
            return engines
        now_ms = timers.now_ms()
        return [
            engine
            for engine in engines
            if self._missing_until_ms.get((engine.life_id, name), 0) <= now_ms
        ]

    def mark_model_missing(self, life_id: LifeId, name: str) -> None:
        """Records that an engine doesn't hold a model, contrary to the view."""
        now_ms = timers.now_ms()
        self._missing_until_ms = {
            key: until_ms
            for key, until_ms in self._missing_until_ms.items()
            if until_ms > now_ms
        }
        self._missing_until_ms[(life_id, name)] = now_ms + MODEL_MISSING_MS

    def begin_prefill(self, call: ForwardCall, slot: Slot) -> None:
        """Adds the prompt tokens that an engine must process to its prefill estimate.

        Tokens of a shared prefix don't count at the engine that has it cached.
        """
        tokens = call.head.prompt_tokens
        if tokens:
            rank, now_ms = slot.slot_request.rank, timers.now_ms()
            left_ms = max(0, slot.slot_request.deadline_ms - now_ms)
            local_levels = self._state.gate.local
            local_levels.sent(
                call.request_key, slot.backend.life_id, rank, left_ms, now_ms
            )
            life_id = slot.backend.life_id
            prefill = self._state.router.prefill
            shared = slot.slot_request.shared
            preferred = self._state.router.preferred_engine(
                slot.slot_request.candidates(), shared
            )
            if preferred is not None and preferred.life_id == life_id:
                tokens -= shared.tokens
            prefill.prompt_sent(
                life_id,
                call.request_key,
                tokens,
                now_ms,
                slot.slot_request.queue,
                rank,
                may_be_kept=shared.tokens > 0,
            )

    def record_outcome(self, call: ForwardCall, slot: Slot) -> None:
        """Tells the router how long the response took, or that it was a failure."""
        now_ms = timers.now_ms()
        life_id = slot.backend.life_id
        if call.status >= SERVER_ERROR_STATUS:
            self._state.router.record_failure(life_id, now_ms)
        elif call.first_byte_ms is not None and call.placed_ms is not None:
            answer_ms = call.first_byte_ms - call.placed_ms
            router = self._state.router
            router.record_success(life_id, answer_ms, now_ms)
            if not call.route.is_stream and not call.head.prompt_tokens:
                router.answer_samples.record_plain_answer(
                    life_id, answer_ms, router.total_in_flight(life_id), now_ms
                )


def _allowed_sources(
    call: ForwardCall, backends: list[BackendItem]
) -> list[BackendItem]:
    """Leaves out backend servers that can't continue a call's stream."""
    source = call.source
    if source is None:
        return backends
    return [backend for backend in backends if source.matches(backend)]


def engine_rank(account: AccountItem | None, route: ForwardRoute) -> int | None:
    """Returns the rank that a backend server is told; None for plain services."""
    return request_rank(account, route) if route.is_stream else None


def request_rank(account: AccountItem | None, route: ForwardRoute) -> int:
    """Returns a request's rank, 0 first.

    The account's priority takes precedence over the route's.
    """
    account_priority = (
        0 if account is None or account.priority is None else account.priority
    )
    rank = RANKS_PER_ACCOUNT * account_priority + route.priority
    return min(ranks.LEAST_URGENT_RANK, rank)


def admission_limit_ms(route: ForwardRoute) -> int:
    """Returns how long a request may wait for tokens of its account.

    The limit matters for an account that asks for more than its rate: tokens spent on
    requests that have already missed their objective are not available to those that
    could still be on time. The account's total rate stays the same.
    """
    if not route.is_stream or not route.objective_ms:
        return rate_budget.WAIT_LIMIT_MS
    share_ms = route.objective_ms // ADMISSION_OBJECTIVE_DIVISOR
    return min(rate_budget.WAIT_LIMIT_MS, max(MIN_ADMISSION_MS, share_ms))


def has_alternative(slot: Slot) -> bool:
    """Tells whether another backend server may get the request."""
    excluded_lives = slot.slot_request.excluded_lives | {slot.backend.life_id}
    return any(
        backend.life_id not in excluded_lives
        for backend in slot.slot_request.candidates()
    )
