"""Limits of the weight store on the loads of one placement round."""

from cassiapitch import model_load_times
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import EngineState

# Time in which an engine frees the memory for a planned load.
PLAN_AHEAD_MS = 1_000


class StoreLimits:
    """What the weight store allows, less the loads that a round has ordered."""

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._catalog = state.fleet.catalog
        # By whether they are loads of adapters.
        self._new_load_counts = {True: 0, False: 0}

    def may_load(self, key: str, engine: EngineState) -> bool:
        """Tells whether a load at an engine stays within the weight store's limits."""
        return has_local_weights(engine, key) or self.allows(key)

    def may_load_on_any(self, key: str, engines: list[EngineState]) -> bool:
        """Tells whether a load at any of these engines stays within those limits."""
        has_weights = any(has_local_weights(engine, key) for engine in engines)
        return has_weights or self.allows(key)

    def allows(self, key: str) -> bool:
        """Tells whether the weight store's limits allow one more load."""
        is_adapter = is_adapter_key(key)
        store = self._catalog.store
        limit_count = (
            store.adapters_in_flight_count
            if is_adapter
            else store.loads_in_flight_count
        )
        in_flight_count = self._state.fleet.loads_in_flight_count(adapters=is_adapter)
        if in_flight_count + self._new_load_counts[is_adapter] >= limit_count:
            return False
        return is_adapter or self._state.store_tokens >= 1

    def allows_spare(self, key: str) -> bool:
        """Tells whether the limits allow a load of a model and one more after it.

        Where they never allow two at a time, the whole of the rate must be left.
        """
        store = self._catalog.store
        in_flight_count = self._state.fleet.loads_in_flight_count(adapters=False)
        in_flight_count += self._new_load_counts[False]
        return (
            self.allows(key)
            and in_flight_count + 2 <= store.loads_in_flight_count
            and self._state.store_tokens >= min(2.0, store.loads_per_s)
        )

    def charge(self, key: str, engine: EngineState) -> None:
        """Charges a load that the round orders; local weights cost nothing."""
        if has_local_weights(engine, key):
            return
        is_adapter = is_adapter_key(key)
        self._new_load_counts[is_adapter] += 1
        if not is_adapter:
            self._state.store_tokens -= 1

    def is_booked(self, key: str) -> bool:
        """Tells whether planned loads use what the weight store allows soon.

        Memory that an engine frees before its load may begin serves nobody. Only for
        roles that fill their memory: plans of others may last for a minute.
        """
        if is_adapter_key(key) or not self._catalog.fills_memory(key):
            return False
        store = self._catalog.store
        planned_count = sum(
            not is_adapter_key(planned) and self._catalog.fills_memory(planned)
            for planned in self._state.planned_loads
        ) + sum(
            len(plans)
            for planned, plans in self._state.plans_beside.items()
            if self._catalog.fills_memory(planned)
        )
        in_flight_count = self._state.fleet.loads_in_flight_count(adapters=False)
        in_flight_count += self._new_load_counts[False]
        soon = self._state.store_tokens + store.loads_per_s * PLAN_AHEAD_MS / 1_000
        return (
            planned_count + 1 > max(1.0, soon)
            or planned_count + in_flight_count >= store.loads_in_flight_count
        )


def has_local_weights(engine: EngineState, key: str) -> bool:
    """Tells whether an engine has a model's weights at hand."""
    if is_adapter_key(key):
        return False
    return model_load_times.has_local_weights(engine.incarnation, name_of(key))
