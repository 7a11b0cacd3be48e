"""Load and unload orders of one placement round, within memory and store limits."""

from cassiapitch import eviction, store_limits
from cassiapitch.adapter_slots import AdapterSlots
from cassiapitch.backends import Incarnation
from cassiapitch.engine_selector import EngineSelector
from cassiapitch.first_loads import FirstLoads
from cassiapitch.fleet_commands import NewOrder
from cassiapitch.orders import is_adapter_key
from cassiapitch.placement_state import EngineAssignment, PlacementState
from cassiapitch.spared_engines import SparedEngines
from cassiapitch.survey import EngineState, Survey
from cassiapitch.types import OrderKind

# Searches per round for an engine with free memory; each scans all engines of a role.
LOAD_SEARCHES_PER_ROUND = 48

# Searches per round for copies to unload; each scans all copies of a role.
EVICTION_SEARCHES_PER_ROUND = 12

# Age on the waiting list from which other loads are kept off one engine.
HOLD_AFTER_MS = 20_000


class PlacementLoads:
    """Orders of one round; each takes the effect of earlier ones into account.

    Attributes:
        orders: The orders so far.
        store: What the weight store still allows.
    """

    def __init__(
        self,
        state: PlacementState,
        survey: Survey,
        engines: EngineSelector,
        adapter_slots: AdapterSlots,
        copies: eviction.EvictionSelector,
        first_loads: FirstLoads,
        now_ms: int,
    ) -> None:
        """Starts without orders.

        Args:
            state: State of the placement policy.
            survey: Engines and copies; free memory is updated with each order.
            engines: Chooses engines.
            adapter_slots: Adapter slots that the round has not used yet.
            copies: Chooses copies to unload.
            first_loads: Copies that models without a serving copy need.
            now_ms: The current time.
        """
        self.orders: list[NewOrder] = []
        self.store = store_limits.StoreLimits(state)
        self._state = state
        self._survey = survey
        self._catalog = state.fleet.catalog
        self._now_ms = now_ms
        self._engines = engines
        self._adapter_slots = adapter_slots
        self._eviction = copies
        self._first_loads = first_loads
        self._spared = SparedEngines(state, survey, now_ms)
        self._load_search_count = 0
        self._eviction_search_count = 0

    def has_no_searches_left(self) -> bool:
        """Tells whether the round has searched for as many engines as it may."""
        return self._load_search_count >= LOAD_SEARCHES_PER_ROUND

    def order_load(self, engine: EngineState, key: str) -> None:
        """Adds a load order and charges its memory and its use of the weight store."""
        is_adapter = is_adapter_key(key)
        engine.free_mib -= self._survey.added_mib(engine, key)
        self.store.charge(key, engine)
        if not is_adapter:
            self._state.loads_count += 1
            self._survey.mark_ordered(engine)
            self._first_loads.record(key, engine.incarnation.life_id)
        kind = OrderKind.LOAD_ADAPTER if is_adapter else OrderKind.LOAD
        self._add_order(kind, engine.incarnation, key)

    def place_or_make_room(
        self, key: str, engines: list[EngineState], age_ms: int
    ) -> None:
        """Loads a first copy, or plans it where other copies can be unloaded.

        Args:
            key: Ledger key of the model or adapter.
            engines: Engines on which it may be loaded.
            age_ms: Time that it has been on the waiting list.
        """
        self._state.eviction_blocked_until_ms.pop(key, None)
        if self.try_place(key, engines):
            return
        max_class = eviction.max_victim_class(age_ms)
        is_planned = self.make_room(key, max_class, engines, is_first=True)
        if not is_planned:
            min_wait_ms = self._eviction.min_wait_ms(engines, age_ms)
            self._state.eviction_blocked_until_ms[key] = self._now_ms + min_wait_ms
        if not is_planned and age_ms >= HOLD_AFTER_MS:
            self._engines.hold(key, engines)

    def try_place(self, key: str, engines: list[EngineState] | None = None) -> bool:
        """Loads on an engine with free memory; returns False if there is none.

        Also returns True if the load is put off to a later round, for lack of searches
        or because of the weight store's limits.
        """
        if key in self._state.planned_loads:
            return self.load_as_planned(key)
        if self.has_no_searches_left():
            return True
        self._load_search_count += 1
        if engines is None:
            engines = self._engines.candidates(key)
        engine = self._engines.best(key, self._unspared(key, engines))
        if engine is None and self._first_loads.is_urgent(key):
            engine = self._engines.best(key, engines)
        if engine is None:
            return False
        if self.store.may_load(key, engine):
            self.order_load(engine, key)
        return True

    def _unspared(self, key: str, engines: list[EngineState]) -> list[EngineState]:
        """Leaves out engines that are kept free for the adapters of their models."""
        if is_adapter_key(key):
            return engines
        return self._spared.without(engines)

    def load_as_planned(self, key: str) -> bool:
        """Loads a planned item once its engine has the memory; always returns True."""
        assignment = self._state.planned_loads[key]
        if assignment.since_ms == self._now_ms:
            return True
        engine = self._survey.engines[assignment.life_id]
        if not self._survey.lacks(engine, key):
            del self._state.planned_loads[key]
            return True
        # The engine's free memory is already reduced by this planned load.
        added_mib = self._survey.added_mib(engine, key)
        is_free = engine.free_mib >= 0 and not engine.is_blocked
        if is_free and self.store.may_load(key, engine):
            engine.free_mib += added_mib
            del self._state.planned_loads[key]
            model = self._catalog.model_of(key) or ""
            if is_adapter_key(key) and self._adapter_slots.limits(model):
                self._adapter_slots.take(engine)
            self.order_load(engine, key)
        elif engine.free_mib < 0 and not _has_open_unload(engine.incarnation):
            # The unloads did not free enough, for instance because late loads stay
            # charged.
            engine.free_mib += added_mib
            del self._state.planned_loads[key]
        return True

    def make_room(
        self,
        key: str,
        max_class: int,
        engines: list[EngineState],
        gain_ratio: float = 0.0,
        *,
        is_first: bool = False,
        is_beside: bool = False,
    ) -> bool:
        """Orders unloads and plans the load; returns False if that is impossible.

        Args:
            key: Ledger key of the model or adapter to load.
            max_class: Highest class of copies that may be unloaded.
            engines: Engines on which it may be loaded.
            gain_ratio: Ratio of target copies to current copies.
            is_first: Whether the load is the first copy.
            is_beside: Whether the load is one more beside others of the model.
        """
        if self._eviction_search_count >= EVICTION_SEARCHES_PER_ROUND:
            return False
        if self.store.is_booked(key):
            return False
        self._eviction_search_count += 1
        held_life_id = self._engines.held_life_id(key)
        open_engines = [
            engine for engine in engines if engine.incarnation.life_id != held_life_id
        ]
        unspared = self._unspared(key, open_engines)
        with_weights = [
            engine for engine in unspared if store_limits.has_local_weights(engine, key)
        ]
        choices = [with_weights, unspared]
        if len(unspared) < len(open_engines) and self._first_loads.is_urgent(key):
            choices.append(open_engines)
        for candidates in choices:
            found = self._eviction.find(
                key, max_class, candidates, gain_ratio, is_first=is_first
            )
            if found is not None:
                break
        else:
            return False
        engine, victims = found
        for victim in victims:
            self.order_unload(engine.incarnation, victim)
        self._survey.mark_ordered(engine)
        engine.free_mib -= self._survey.added_mib(engine, key)
        plan = EngineAssignment(engine.incarnation.life_id, self._now_ms)
        if is_beside:
            self._state.plans_beside.setdefault(key, []).append(plan)
        else:
            self._state.planned_loads[key] = plan
        return True

    def load_beside(self, key: str, engines: list[EngineState]) -> bool:
        """Starts or plans one more load of a model beside those under way.

        Returns:
            Whether it did. It does not if that would use up the weight store's limits
            or the engines, which first copies of other models may need next.
        """
        used = self._first_loads.engines_in_use(key)
        others = [item for item in engines if item.incarnation.life_id not in used]
        may_use_engines = self._first_loads.may_use_engines(key)
        if not may_use_engines or not self.store.allows_spare(key):
            return False
        zones = {
            item.incarnation.zone
            for item in engines
            if item.incarnation.life_id in used
        }
        new_zones = [item for item in others if item.incarnation.zone not in zones]
        for candidates in (new_zones, others):
            if self.has_no_searches_left():
                return False
            self._load_search_count += 1
            engine = self._engines.best(key, candidates)
            if engine is not None:
                self.order_load(engine, key)
                return True
        return self.make_room(
            key,
            eviction.SERVED_CLASS,
            others,
            self._first_loads.gain_ratio(key),
            is_beside=True,
        )

    def load_planned_beside(self) -> None:
        """Loads what was planned beside other loads where the memory is free."""
        for key, plans in list(self._state.plans_beside.items()):
            for plan in list(plans):
                engine = self._survey.engines[plan.life_id]
                is_lacking = self._survey.lacks(engine, key)
                is_free = engine.free_mib >= 0 and not engine.is_blocked
                is_unloading = _has_open_unload(engine.incarnation)
                may_load = is_free and self.store.may_load(key, engine)
                if is_lacking and not may_load and (is_free or is_unloading):
                    continue
                plans.remove(plan)
                engine.free_mib += self._survey.added_mib(engine, key)
                if is_lacking and may_load:
                    self.order_load(engine, key)
            if not plans:
                del self._state.plans_beside[key]

    def order_unload(self, incarnation: Incarnation, key: str) -> None:
        """Adds an unload order; the copy no longer counts."""
        kind = OrderKind.UNLOAD_ADAPTER if is_adapter_key(key) else OrderKind.UNLOAD
        self._add_order(kind, incarnation, key)
        copies = self._survey.copies.get(key)
        if copies and incarnation in copies:
            copies.remove(incarnation)

    def _add_order(self, kind: OrderKind, incarnation: Incarnation, key: str) -> None:
        self.orders.append(NewOrder(kind, incarnation.name, incarnation.life_id, key))


def _has_open_unload(incarnation: Incarnation) -> bool:
    """Tells whether an engine has an open unload."""
    return any(not order.is_load() for order in incarnation.ledger.orders.values())
