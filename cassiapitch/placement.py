"""Placement policy: decides which engines load which models and adapters.

`decide_orders` runs on the leader about once a second, and sooner when requests begin
to wait for a model or adapter without a copy. It places, in this order: models in
demand that have copies in drained zones only, further copies of models whose demand far
exceeds their copies, models and adapters that requests wait for (oldest first), minimum
copies, further copies by demand, and adapters.
"""

from cassiapitch import (
    backlog_relief,
    copy_targets,
    eviction,
    placement_fixed,
    placement_waits,
    waiting_order,
)
from cassiapitch.adapter_slots import AdapterSlots
from cassiapitch.engine_selector import EngineSelector
from cassiapitch.first_loads import FirstLoads
from cassiapitch.fleet_commands import NewOrder
from cassiapitch.orders import is_adapter_key, model_key, name_of
from cassiapitch.placement_loads import PlacementLoads
from cassiapitch.placement_state import VIEW_DELAY_MS, PlacementState
from cassiapitch.survey import EngineState, Survey

# A change must be worth this much more than what it replaces (design, section 8).
GAIN_RATIO = 1.3

# From this ratio of target copies to current copies on, a model's next copy is placed
# before first copies of other models. The queue of first copies may never be empty,
# so a further copy would otherwise wait without end.
URGENT_GAIN_RATIO = 1.6

# Demand from which an adapter is loaded next to each copy of its model: about one
# request in five seconds.
SPREAD_ADAPTER_TOKENS_PER_S = 200.0

# Adapter slots that further copies leave free, so that a first copy does not have to
# wait for an unload.
SPARE_ADAPTER_SLOTS_COUNT = 1

# A model counts as recently in demand for this long after its last request, even if
# its demand is low on average.
RECENT_DEMAND_MS = 30_000


def decide_orders(state: PlacementState, now_ms: int) -> list[NewOrder]:
    """Returns the orders to record in this round."""
    survey = state.begin_round(now_ms)
    placement_round = _Round(state, survey, now_ms)
    placement_round.unload_removed_items()
    if state.policy == "fixed":
        for life_id, key in placement_fixed.missing_items(state.fleet, survey):
            engine = survey.engines[life_id]
            is_allowed = placement_round.store.may_load(key, engine)
            if is_allowed and survey.may_load(engine, key):
                placement_round.loads.order_load(engine, key)
        return placement_round.loads.orders
    placement_round.place_drained()
    placement_round.loads.load_planned_beside()
    if placement_round.lacks_first_loads():
        placement_round.place_waiting()
        placement_round.place_beside_first()
        placement_round.place_further_copies(URGENT_GAIN_RATIO)
    else:
        placement_round.place_further_copies(URGENT_GAIN_RATIO)
        placement_round.place_waiting()
    placement_round.place_in_free_memory()
    placement_round.place_minimum_copies()
    placement_round.place_further_copies()
    placement_round.place_adapters()
    state.waits = placement_round.waits
    return placement_round.loads.orders


class _Round:
    """Decisions of one round; each takes the effect of earlier ones into account."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        self.waits: list[placement_waits.Wait] = []
        self._state = state
        self._survey = survey
        self._catalog = state.fleet.catalog
        self._now_ms = now_ms
        # Keys that `place_drained` has placed, or tried to.
        self._placed_drained: set[str] = set()
        self._engines = EngineSelector(state, survey, now_ms)
        self._adapter_slots = AdapterSlots(state, survey, now_ms)
        self._unserved_by_role: dict[str, bool] = {}
        self._first_loads = FirstLoads(state, survey, now_ms)
        needed_copies = backlog_relief.needed_by_model(state, survey, now_ms)
        self._target_copies = copy_targets.target_copies(
            state, survey, needed_copies, now_ms
        )
        self._eviction = eviction.EvictionSelector(
            state, survey, self._target_copies, needed_copies, now_ms, self._first_loads
        )
        self.loads = PlacementLoads(
            state,
            survey,
            self._engines,
            self._adapter_slots,
            self._eviction,
            self._first_loads,
            now_ms,
        )
        self.store = self.loads.store

    def unload_removed_items(self) -> None:
        """Unloads items that the bundle no longer has, once no entry routes to them."""
        if self._now_ms - self._state.bundle_seen_ms < VIEW_DELAY_MS:
            return
        for incarnation, key in self._survey.removed_items:
            self.loads.order_unload(incarnation, key)

    def place_drained(self) -> None:
        """Places models in demand whose only copies are in drained zones.

        Those with the most demand go first; requests need not wait for them yet.
        """
        demand = self._state.demand
        lost = [
            key
            for key in self._survey.drained_keys
            if self._survey.copy_count(key) == 0
            and (
                demand.idle_ms(key, self._now_ms) <= RECENT_DEMAND_MS
                or not demand.is_cold(key, self._now_ms)
            )
        ]
        lost.sort(key=lambda key: (-demand.rate(key, self._now_ms), key))
        requested_ms = {key: since_ms for since_ms, key in demand.waiting()}
        for key in lost:
            age_ms = self._now_ms - requested_ms.get(key, self._now_ms)
            self._place_waiting_item(key, age_ms)
            self._placed_drained.add(key)

    def lacks_first_loads(self) -> bool:
        """Tells whether models with much unserved demand need loads.

        Those are then placed before further copies of other models. None do if first
        loads don't follow demand.
        """
        return bool(self._first_loads.busy() or self._first_loads.lacking())

    def place_beside_first(self) -> None:
        """Starts as many loads of models without a serving copy as demand calls for."""
        for key in self._first_loads.lacking():
            engines = self._engines.candidates(key)
            while self._first_loads.lacks(key):
                if not self.loads.load_beside(key, engines):
                    break

    def place_waiting(self) -> None:
        """Places the first copy of each model or adapter that requests wait for."""
        for requested_ms, key in waiting_order.waiting_in_order(
            self._state, self._engines, self._now_ms
        ):
            if self._survey.copy_count(key) > 0:
                continue
            age_ms = self._now_ms - requested_ms
            may_place = is_adapter_key(key) or self._first_loads.may_load_first(key)
            if key not in self._placed_drained and may_place:
                self._place_waiting_item(key, age_ms)
            if all(order.item != key for order in self.loads.orders):
                wait = placement_waits.Wait(
                    name_of(key),
                    age_ms,
                    self._why(key),
                    int(self._state.demand.recent_rate(key, self._now_ms)),
                )
                self.waits.append(wait)

    def place_in_free_memory(self) -> None:
        """Loads models in demand without a copy where nothing has to be unloaded.

        Requests need not wait for them yet: where loads take longer than requests can
        wait, each would come too late.
        """
        demand = self._state.demand
        rates = {
            key: demand.weighted_rate(key, self._now_ms)
            for key in demand.known_keys()
            if not is_adapter_key(key)
            and self._catalog.fills_memory(key)
            and self._survey.copy_count(key) == 0
            and key not in self._state.planned_loads
            and not demand.is_cold(key, self._now_ms)
        }
        for key in sorted(rates, key=lambda key: -rates[key]):
            if not self.store.allows(key):
                return
            self.loads.try_place(key)

    def _why(self, key: str) -> str:
        """Returns why an item that requests wait for isn't loaded in this round."""
        if key in self._state.planned_loads:
            return "planned"
        engines = self._engines.candidates(key)
        if not engines:
            return "model_not_loaded" if is_adapter_key(key) else "no_engine"
        if all(engine.is_blocked for engine in engines):
            return "engines_busy"
        if not self.store.may_load_on_any(key, engines) or self.store.is_booked(key):
            return "store_limit"
        return "no_slot" if is_adapter_key(key) else "no_memory"

    def place_minimum_copies(self) -> None:
        """Places the minimum copies that the bundle demands."""
        for name, model in self._catalog.models.items():
            key = model_key(name)
            if key in self._placed_drained:
                continue
            copy_count = self._survey.copy_count(key)
            if copy_count < model.minimum_copies and not self.loads.try_place(key):
                is_first = copy_count == 0
                engines = self._engines.candidates(key)
                self.loads.make_room(
                    key, eviction.SERVED_CLASS, engines, is_first=is_first
                )

    def place_further_copies(self, min_gain_ratio: float = GAIN_RATIO) -> None:
        """Adds copies of models whose demand exceeds what their copies serve.

        Args:
            min_gain_ratio: Ratio of target copies to current copies above which a copy
                is added, and also below it if a backlog calls for one. Above
                `GAIN_RATIO`, only models whose copies fill their role's memory by
                demand are considered.
        """
        gain_ratios = [
            (target_count / self._survey.effective_copies(key), key)
            for key, target_count in self._target_copies.items()
            if self._survey.copy_count(key) > 0
        ]
        for gain_ratio, key in sorted(gain_ratios, reverse=True):
            lacks_copies = self._eviction.lacks_copies(key)
            if gain_ratio <= min_gain_ratio and not lacks_copies:
                continue
            if min_gain_ratio > GAIN_RATIO and not self._catalog.fills_memory(key):
                continue
            if self._has_unserved(key) and not (
                lacks_copies or self._eviction.is_saturated(key)
            ):
                continue
            engines = self._engines.for_further_copy(key)
            if not self.store.may_load_on_any(key, engines):
                continue
            is_planned = key in self._state.planned_loads
            if not is_planned and not self.loads.try_place(key, engines):
                self.loads.make_room(key, eviction.SERVED_CLASS, engines, gain_ratio)
            elif key in self._state.planned_loads:
                self.loads.load_as_planned(key)
            if self._state.starts_further_loads:
                self._place_beside(key, engines)

    def _place_beside(self, key: str, engines: list[EngineState]) -> None:
        """Starts the other loads that a model needs for its backlog at the same time.

        One after the other, they would take as many load times as copies are missing.
        """
        while self._eviction.lacks_copies_by_demand(
            key, len(self._first_loads.engines_in_use(key))
        ):
            if not self.loads.load_beside(key, engines):
                return

    def _has_unserved(self, key: str) -> bool:
        """Tells whether models in demand of a role that fills memory have no copy.

        Memory that is free then is worth more to them.
        """
        role = self._catalog.role_of(key) or ""
        if role not in self._unserved_by_role:
            self._unserved_by_role[role] = self._catalog.fills_memory(key) and any(
                model.role == role
                and self._survey.copy_count(model_key(name)) == 0
                and not self._state.demand.is_cold(model_key(name), self._now_ms)
                for name, model in self._catalog.models.items()
            )
        return self._unserved_by_role[role]

    def place_adapters(self) -> None:
        """Spreads adapters in demand, then places first copies of other adapters.

        Where engines hold a limited number of adapters, an adapter gets its first copy
        only while requests wait for it (`place_waiting`).
        """
        self._spread_adapters()
        for name, adapter in self._catalog.adapters.items():
            key = f"adapter/{name}"
            if self._adapter_slots.limits(adapter.model):
                continue
            if not self.store.allows(key):
                return
            if self.loads.has_no_searches_left():
                return
            if (
                self._survey.copy_count(key) == 0
                and key not in self._state.planned_loads
            ):
                self.loads.try_place(key)

    def _place_waiting_item(self, key: str, age_ms: int) -> None:
        if key in self._state.planned_loads:
            self.loads.load_as_planned(key)
            return
        engines = self._engines.candidates(key)
        if (
            is_adapter_key(key)
            and engines
            and self._adapter_slots.limits(self._model_of(key))
        ):
            free = [engine for engine in engines if not engine.is_blocked]
            if self._state.loads_by_demand and free:
                # Engines that load a model would keep the adapter waiting for as long.
                engines = free
            self._place_adapter(key, engines)
            return
        if self._engines.could_fit_any(key, engines):
            self.loads.place_or_make_room(key, engines, age_ms)
        elif is_adapter_key(key):
            self._place_model_of_adapter(key, age_ms)

    def _model_of(self, key: str) -> str:
        return self._catalog.model_of(key) or ""

    def _place_adapter(self, key: str, engines: list[EngineState]) -> None:
        """Loads an adapter next to its model.

        If no engine has a free slot, unloads another adapter.
        """
        available = [engine for engine in engines if self._survey.may_load(engine, key)]
        fitting = [
            engine
            for engine in available
            if engine.free_mib >= self._survey.added_mib(engine, key)
            and self._adapter_slots.free_count(engine) > 0
        ]
        if fitting and self.store.allows(key):
            engine = min(fitting, key=lambda engine: engine.busy_ratio)
            self._adapter_slots.take(engine)
            self.loads.order_load(engine, key)
        elif not fitting:
            unload = self._adapter_slots.choose_unload(self._model_of(key), engines)
            if unload is not None:
                engine, victim = unload
                self.loads.order_unload(engine.incarnation, victim)
            elif self._lacks_memory(key, engines):
                self.loads.make_room(key, eviction.SERVED_CLASS, engines, is_first=True)

    def _lacks_memory(self, key: str, engines: list[EngineState]) -> bool:
        """Tells whether no engine has the memory for an adapter, now or soon."""
        return not any(
            engine.free_mib >= self._survey.added_mib(engine, key)
            or any(map(is_adapter_key, engine.incarnation.ledger.reported))
            for engine in engines
        )

    def _spread_adapters(self) -> None:
        """Loads the adapters with the most demand into free adapter slots.

        With a single copy of an adapter, all its requests would go to one of the
        engines that hold its model.
        """
        rates = {
            key: self._state.demand.rate(key, self._now_ms)
            for key in self._state.demand.known_keys()
            if is_adapter_key(key) and self._catalog.model_of(key) is not None
        }
        in_demand = sorted(
            (key for key, rate in rates.items() if rate >= SPREAD_ADAPTER_TOKENS_PER_S),
            key=lambda key: -rates[key],
        )
        for key in in_demand:
            if not self._adapter_slots.limits(self._model_of(key)):
                continue
            for engine in self._engines.candidates(key):
                if (
                    self._adapter_slots.free_count(engine) <= SPARE_ADAPTER_SLOTS_COUNT
                    or not self._survey.may_load(engine, key)
                    or not self.store.allows(key)
                    or engine.free_mib < self._survey.added_mib(engine, key)
                ):
                    continue
                self._adapter_slots.take(engine)
                self.loads.order_load(engine, key)

    def _place_model_of_adapter(self, adapter: str, age_ms: int) -> None:
        """Loads an adapter's model on an engine where both fit.

        Called if no engine that holds the model could hold the adapter as well.
        """
        model = model_key(self._catalog.model_of(adapter) or "")
        extra_mib = self._catalog.memory_mib(adapter) or 0
        if self._survey.open_loads.get(model) or model in self._placed_drained:
            return
        if model in self._state.planned_loads:
            self.loads.load_as_planned(model)
            return
        engines = [
            engine
            for engine in self._engines.candidates(model)
            if self._engines.could_fit(engine, model, extra_mib)
        ]
        if engines:
            self.loads.place_or_make_room(model, engines, age_ms)
