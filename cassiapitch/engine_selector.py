"""Engines on which a placement round may load a model or adapter."""

from cassiapitch import backlog_relief
from cassiapitch.orders import is_adapter_key, model_key
from cassiapitch.placement_state import EngineAssignment, PlacementState
from cassiapitch.store_limits import has_local_weights
from cassiapitch.survey import EngineState, Survey

# Engines whose relative capacities differ by less count as equal: the measured speed of
# equal engines varies a little.
CAPACITY_STEP = 0.25


class EngineSelector:
    """Chooses engines by memory, zone, weights at hand and capacity."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        self._state = state
        self._survey = survey
        self._catalog = state.fleet.catalog
        self._now_ms = now_ms
        # By role.
        self._max_usable_mib: dict[str, int] = {}
        # Mean demand for the models of a role.
        self._mean_rates: dict[str, float] = {}

    def candidates(self, key: str) -> list[EngineState]:
        """Returns the engines on which a model or adapter can be loaded.

        For a model, the engines of its role; for an adapter, those with its model.
        """
        survey = self._survey
        if not is_adapter_key(key):
            return survey.engines_by_role.get(self._catalog.role_of(key) or "", [])
        incarnations = survey.copies.get(
            model_key(self._catalog.model_of(key) or ""), []
        )
        return [survey.engines[incarnation.life_id] for incarnation in incarnations]

    def for_further_copy(self, key: str) -> list[EngineState]:
        """Returns engines for a further copy; engines with a limit only if all have.

        A further copy at an engine that stated a limit on requests serves few more, and
        one at an engine with a backlog would make it longer.
        """
        engines = self.candidates(key)
        if self._state.relieves_backlogs:
            engines = backlog_relief.free_engines(self._state, engines)
        unlimited = [engine for engine in engines if engine.incarnation.limit is None]
        return unlimited or engines

    def best(self, key: str, engines: list[EngineState]) -> EngineState | None:
        """Returns the best engine with enough free memory, or None.

        Prefers engines at which a late load of the same item may still arrive, then
        engines that have the weights, then a new zone, then, for a model in more demand
        than most, what the engine takes, then the most free memory.
        """
        survey = self._survey
        zones = survey.zones(key)
        late_ids = {id(engine) for engine in survey.late_load_engines.get(key, ())}
        held_life_id = self.held_life_id(key)
        needed_mib = self._catalog.memory_mib(key) or 0
        is_busy = self._is_busy(key)
        best_rank: tuple[bool, bool, bool, int, int] | None = None
        best_engine = None
        for engine in engines:
            has_late_load = id(engine) in late_ids
            added_mib = survey.added_mib(engine, key) if has_late_load else needed_mib
            if (
                engine.free_mib < added_mib
                or engine.incarnation.life_id == held_life_id
            ):
                continue
            has_weights = has_local_weights(engine, key)
            is_new_zone = engine.incarnation.zone not in zones
            capacity_step = int(engine.relative_capacity / CAPACITY_STEP)
            rank = (
                has_late_load,
                has_weights,
                is_new_zone,
                capacity_step if is_busy else 0,
                engine.free_mib,
            )
            if (best_rank is None or rank > best_rank) and survey.may_load(engine, key):
                best_rank, best_engine = rank, engine
        return best_engine

    def _is_busy(self, key: str) -> bool:
        """Tells whether a model is in more demand than the mean of its role."""
        role = self._catalog.role_of(key) or ""
        if role not in self._mean_rates:
            rates = [
                self._state.demand.rate(model_key(name), self._now_ms)
                for name, model in self._catalog.models.items()
                if model.role == role
            ]
            self._mean_rates[role] = sum(rates) / max(1, len(rates))
        return self._state.demand.rate(key, self._now_ms) > self._mean_rates[role]

    def held_life_id(self, key: str) -> str | None:
        """Returns the engine of this role that is held for another key, if any."""
        hold = self._state.holds.get(self._catalog.role_of(key) or "")
        return None if hold is None or hold[0] == key else hold[1].life_id

    def could_fit_any(self, key: str, engines: list[EngineState]) -> bool:
        """Tells whether any engine could hold an item with all else unloaded."""
        if is_adapter_key(key):
            return any(self.could_fit(engine, key) for engine in engines)
        role = self._catalog.role_of(key) or ""
        if role not in self._max_usable_mib:
            self._max_usable_mib[role] = max(map(_usable_mib, engines), default=0)
        if (self._catalog.memory_mib(key) or 0) <= self._max_usable_mib[role]:
            return True
        late_engines = self._survey.late_load_engines.get(key, [])
        return any(self.could_fit(engine, key) for engine in late_engines)

    def could_fit(self, engine: EngineState, key: str, extra_mib: int = 0) -> bool:
        """Tells whether an engine could hold an item with all else unloaded."""
        ledger = engine.incarnation.ledger
        kept_mib = sum(
            engine.incarnation.reserved_mib(other) for other in set(ledger.late) - {key}
        )
        if is_adapter_key(key):
            model = model_key(self._catalog.model_of(key) or "")
            kept_mib += ledger.charge_mib(model, 0) - engine.incarnation.reserved_mib(
                model
            )
        needed_mib = max(self._catalog.memory_mib(key) or 0, ledger.late_mib(key))
        return kept_mib + needed_mib + extra_mib <= engine.capacity_mib

    def hold(self, key: str, engines: list[EngineState]) -> None:
        """Keeps other loads off one engine until a large item fits there.

        Otherwise small models could be loaded there one after another, each resident
        for 30 s, so that the engine would never have enough memory for a large one.
        """
        role = self._catalog.role_of(key) or ""
        fitting = [engine for engine in engines if self.could_fit(engine, key)]
        if role not in self._state.holds and fitting:
            engine = max(fitting, key=lambda item: item.free_mib)
            self._state.holds[role] = (
                key,
                EngineAssignment(engine.incarnation.life_id, self._now_ms),
            )


def _usable_mib(engine: EngineState) -> int:
    ledger = engine.incarnation.ledger
    return engine.capacity_mib - sum(
        engine.incarnation.reserved_mib(key) for key in ledger.late
    )
