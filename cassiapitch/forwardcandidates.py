"""Candidate backend servers of forwarded requests, and feedback to the router."""

import random

from cassiapitch import affinity, rate_budget, timers
from cassiapitch.entrystate import EntryState
from cassiapitch.forwardroutes import ForwardRoute, choose_role
from cassiapitch.forwardtypes import (
    SERVER_ERROR_STATUS,
    ForwardCall,
    request_digest,
)
from cassiapitch.prefill import FIRST_TOKEN_LIMIT_SHARE
from cassiapitch.scheduler import Slot, SlotRequest
from cassiapitch.types import AccountName, LifeId, ModelName, Priority
from cassiapitch.viewitems import AccountItem, BackendItem

# How long an engine gets no requests for a model after it said that it doesn't hold it.
# By then the engine's next heartbeat has removed the model from the view.
MODEL_MISSING_MS = 1_200
# The wait for tokens may take at most the objective divided by this; prefill needs the
# rest.
ADMISSION_OBJECTIVE_DIVISOR = 3
# A wait shorter than an exchange with the leader would refuse calls within the rate.
MIN_ADMISSION_MS = 150
# Engines know the ranks 0 to 9; each account priority covers three of them.
LOWEST_RANK = 9
RANKS_PER_ACCOUNT = 3


class ForwardCandidates:
    """Builds slot requests for one entry's calls and reports results to the router."""

    def __init__(self, state: EntryState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        # When to use an engine for a model again, by incarnation and model name.
        self._missing_until_ms: dict[tuple[LifeId, str], int] = {}

    def make_slot_request(self, call: ForwardCall) -> SlotRequest:
        """Returns a call's request for a slot, and counts the demand for its model."""
        role = (
            choose_role(call.route.targets, self._rng)
            if call.source is None
            else call.source.role
        )
        catalog = self._state.catalog
        model = call.head.model
        resolved_model = None if model is None else catalog.resolve_model(model)
        if resolved_model is None:

            def candidates() -> list[BackendItem]:
                return _allowed_sources(call, catalog.services(role))

            def expected_ms() -> int | None:
                return None

            queue = role
        else:

            def candidates() -> list[BackendItem]:
                return self._without_missing(
                    _allowed_sources(call, catalog.engines(resolved_model)),
                    resolved_model.name,
                )

            def expected_ms() -> int | None:
                return self._state.expected_ms(ModelName(resolved_model.name))

            queue = str(resolved_model.name)
            self._state.demand.count_arrival(
                ModelName(resolved_model.name), Priority.URGENT
            )
            tokens = call.head.prompt_tokens + call.head.answer_tokens
            self._state.demand.count_tokens(
                ModelName(resolved_model.name), Priority.URGENT, tokens
            )
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
            priority=Priority.URGENT,
            cost=max(1, call.head.prompt_tokens + call.head.answer_tokens),
            deadline_ms=deadline_ms,
            digest=request_digest(call),
            prefixes=tuple(part.part_id for part in call.head.prompt_parts),
            prompt_tokens=call.head.prompt_tokens,
            first_token_limit_ms=call.route.first_token_limit_ms,
            role=role,
            shared=affinity.shared_prefix(queue, call.head.prompt_parts),
        )

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
            life_id = slot.backend.life_id
            prefill = self._state.router.prefill
            preferred = self._state.router.preferred_engine(
                slot.slot_request.candidates(), slot.slot_request.shared
            )
            if preferred is not None and preferred.life_id == life_id:
                tokens -= slot.slot_request.shared.tokens
            prefill.prompt_sent(life_id, call.request_key, tokens, timers.now_ms())

    def record_outcome(self, call: ForwardCall, slot: Slot) -> None:
        """Tells the router how long the response took, or that it was a failure."""
        now_ms = timers.now_ms()
        life_id = slot.backend.life_id
        if call.status >= SERVER_ERROR_STATUS:
            self._state.router.record_failure(life_id, now_ms)
        elif call.first_byte_ms is not None and call.placed_ms is not None:
            answer_ms = call.first_byte_ms - call.placed_ms
            self._state.router.record_success(life_id, answer_ms, now_ms)


def _allowed_sources(
    call: ForwardCall, backends: list[BackendItem]
) -> list[BackendItem]:
    """Leaves out backend servers that can't continue a call's stream."""
    source = call.source
    if source is None:
        return backends
    return [backend for backend in backends if source.matches(backend)]


def engine_rank(account: AccountItem | None, route: ForwardRoute) -> int | None:
    """Returns a request's rank at an engine, 0 first; None for plain services.

    The account's priority takes precedence over the route's.
    """
    if not route.is_stream:
        return None
    account_priority = (
        0 if account is None or account.priority is None else account.priority
    )
    return min(LOWEST_RANK, RANKS_PER_ACCOUNT * account_priority + route.priority)


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
