"""Number of loads that a model without a serving copy needs at the same time.

With one load at a time, the second copy of a model that becomes busy begins to load
after the first one serves, which is a whole load later. Most of the requests of a burst
are rejected until then. The unserved demand tells at once how many engines it needs.
"""

from cassiapitch.copy_targets import TARGET_USAGE
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import Survey

# A further load begins if the demand exceeds what the loads under way will serve by
# this ratio; the same as for further copies.
GAIN_RATIO = 1.3

# Demand, in engines, from which a first copy is placed before further copies of other
# models, and may displace copies by its demand of the last seconds.
BUSY_COPIES = 0.5

# A model with little demand takes what is left for busy ones once it has been due a
# turn and unserved for this long.
LONG_UNSERVED_MS = 10_000

# Part of a role's engines that further loads leave free of orders, for first copies of
# models that come into demand next.
FREE_ENGINES_SHARE = 0.25


class FirstLoads:
    """Copies that models without a serving copy need, in one placement round."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        """Computes nothing if the first loads don't follow demand."""
        self._state = state
        self._survey = survey
        self._now_ms = now_ms
        self._needed: dict[str, float] = {}
        # By role: the number of engines, and their mean number of slots.
        self._engine_counts: dict[str, tuple[int, float]] = {}
        # Engines whose loads this round has ordered, by ledger key.
        self._ordered: dict[str, set[str]] = {}
        if not state.loads_by_demand:
            return
        waiting_counts = state.demand.waiting_counts(now_ms)
        for _, key in state.demand.waiting():
            is_unserved = not is_adapter_key(key) and not survey.copies.get(key)
            if is_unserved and state.demand.is_waited_for(key, now_ms):
                self._needed[key] = self._engines(key, waiting_counts.get(key, 0.0))

    def _engines(self, key: str, waiting_count: float) -> float:
        """Returns how many engines the unserved demand for a model would use."""
        role = self._state.fleet.catalog.role_of(key) or ""
        engines_count, slots_count = self._count_engines(role)
        needed = waiting_count / max(1.0, TARGET_USAGE * slots_count)
        tokens_per_ms = self._state.role_speeds.tokens_per_ms(role, self._now_ms)
        if tokens_per_ms is not None:
            used_per_s = TARGET_USAGE * 1_000 * tokens_per_ms
            rate = self._state.demand.recent_rate(key, self._now_ms)
            needed = max(needed, rate / used_per_s)
        return min(needed, engines_count)

    def _count_engines(self, role: str) -> tuple[int, float]:
        if role not in self._engine_counts:
            engines = self._survey.engines_by_role.get(role, ())
            total = sum(engine.incarnation.max_running_count for engine in engines)
            self._engine_counts[role] = len(engines), total / max(1, len(engines))
        return self._engine_counts[role]

    def rate(self, key: str) -> float:
        """Returns the recent tokens per second asked of a busy model in vain, or 0.

        At little demand the recent rate is mostly chance, and models would take each
        other's memory for single requests.
        """
        if self._needed.get(key, 0.0) < BUSY_COPIES:
            return 0.0
        return self._state.demand.recent_rate(key, self._now_ms)

    def record(self, key: str, life_id: str) -> None:
        """Records that this round has ordered a load."""
        self._ordered.setdefault(key, set()).add(life_id)

    def engines_in_use(self, key: str) -> set[str]:
        """Returns the life ids of engines that load a model or are planned to."""
        plan = self._state.planned_loads.get(key)
        return {
            *(order.life_id for order in self._survey.open_loads.get(key, ())),
            *self._ordered.get(key, ()),
            *(() if plan is None else (plan.life_id,)),
            *(other.life_id for other in self._state.plans_beside.get(key, ())),
        }

    def gain_ratio(self, key: str) -> float:
        """Returns the copies that a model needs for each one that is on its way."""
        loads_count = len(self.engines_in_use(key))
        return self._needed.get(key, 0.0) / max(1, loads_count)

    def lacks(self, key: str) -> bool:
        """Tells whether a model needs more copies than the loads under way."""
        return self.gain_ratio(key) > GAIN_RATIO

    def busy(self) -> list[str]:
        """Returns the models without a load whose demand is large, largest first."""
        return [
            key
            for key in self._in_order()
            if self._needed[key] >= BUSY_COPIES and not self.engines_in_use(key)
        ]

    def lacking(self) -> list[str]:
        """Returns the models that need more loads, those with the most demand first.

        Those without any load are left out.
        """
        return [
            key
            for key in self._in_order()
            if self.lacks(key) and self.engines_in_use(key)
        ]

    def may_load_first(self, key: str) -> bool:
        """Tells whether a first copy may be placed now.

        A model with little demand leaves engines free of orders, since an engine that
        takes one order at a time would keep a busy model waiting for a whole load.
        """
        if not self._state.starts_further_loads or self.is_urgent(key):
            return True
        return self.may_use_engines(key)

    def is_urgent(self, key: str) -> bool:
        """Tells whether a first copy may take what others leave for busy models.

        It may if the unserved demand for it is large, or was unserved for long.
        """
        if self._needed.get(key, 0.0) >= BUSY_COPIES:
            return True
        unserved_ms = self._state.demand.unserved.due_ms(key, self._now_ms)
        return unserved_ms is not None and unserved_ms >= LONG_UNSERVED_MS

    def may_use_engines(self, key: str) -> bool:
        """Tells whether enough engines of a model's role stay free of orders."""
        role = self._state.fleet.catalog.role_of(key) or ""
        engines = self._survey.engines_by_role.get(role, ())
        free_count = sum(not engine.is_blocked for engine in engines)
        return free_count > FREE_ENGINES_SHARE * len(engines)

    def _in_order(self) -> list[str]:
        return sorted(self._needed, key=lambda key: (-self._needed[key], name_of(key)))
