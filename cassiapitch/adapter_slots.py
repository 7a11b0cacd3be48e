"""Adapter slots of the engines in one placement round."""

from cassiapitch.backends import Incarnation
from cassiapitch.orders import Order, is_adapter_key, model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import EngineState, Survey

# An adapter that no request uses is unloaded within less time. Behind one that takes
# longer, another engine frees a slot.
UNLOAD_MS = 1_000

# An adapter that was asked for within this time may have running requests. Its unload
# would wait for them, and the engine carries out nothing else meanwhile.
IN_USE_MS = 3_000

# An adapter stays for at least this long, so that the requests that waited for it are
# served: entries have to see it and to send them.
RESIDENCE_MS = 800


class AdapterSlots:
    """Slots that are free, or that unloads free, less those that a round has used."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        self._state = state
        self._survey = survey
        self._now_ms = now_ms
        self._used_counts: dict[str, int] = {}
        # Slots that open unloads will free, by model, less those that waiting adapters
        # of this round count on.
        self._coming_counts: dict[str, int] = {}
        self._unloading_lives: set[str] = set()
        self._limits_by_model: dict[str, bool] = {}

    def limits(self, model: str) -> bool:
        """Tells whether a model's engines hold a limited number of adapters."""
        is_limited = self._limits_by_model.get(model)
        if is_limited is None:
            catalog = self._state.fleet.catalog
            role = catalog.roles.get(catalog.role_of(model_key(model)) or "")
            is_limited = role is not None and role.adapter_places_count > 0
            self._limits_by_model[model] = is_limited
        return is_limited

    def free_count(self, engine: EngineState) -> int:
        """Returns how many slots of an engine are free."""
        life_id = engine.incarnation.life_id
        free_count = self._state.fleet.free_adapter_slots(engine.incarnation) or 0
        return free_count - self._used_counts.get(life_id, 0)

    def take(self, engine: EngineState) -> None:
        """Takes a free slot of an engine for a load."""
        life_id = engine.incarnation.life_id
        self._used_counts[life_id] = self._used_counts.get(life_id, 0) + 1

    def choose_unload(
        self, model: str, engines: list[EngineState]
    ) -> tuple[EngineState, str] | None:
        """Chooses an adapter to unload for a waiting one, an idle one if possible.

        An engine may take long over an unload, or be gone; that holds up neither the
        other engines nor the other waiting adapters.

        Args:
            model: The model of the waiting adapter.
            engines: The engines that hold the model; none has a free slot.

        Returns:
            The engine and the adapter's ledger key; None if a slot becomes free without
            that, or if no adapter may be unloaded.
        """
        if model not in self._coming_counts:
            self._coming_counts[model] = sum(
                self._frees_slot_soon(engine.incarnation) for engine in engines
            )
        if self._coming_counts[model] > 0:
            self._coming_counts[model] -= 1
            return None
        waiting = {key for _, key in self._state.demand.waiting()}
        candidates = [
            (*self._rank(key), key, engine)
            for engine in engines
            if not engine.is_blocked and not self._is_unloading(engine.incarnation)
            for key in engine.incarnation.ledger.reported
            if is_adapter_key(key)
            and key not in waiting
            and self._may_unload(engine.incarnation, key)
        ]
        if not candidates:
            return None
        *_, key, engine = min(candidates, key=lambda item: item[:4])
        self._unloading_lives.add(engine.incarnation.life_id)
        return engine, key

    def _rank(self, key: str) -> tuple[bool, bool, float]:
        """Returns the sort key of an adapter; the lowest is unloaded first."""
        is_in_use = self._state.demand.idle_ms(key, self._now_ms) < IN_USE_MS
        is_only_copy = len(self._survey.copies.get(key, ())) <= 1
        return is_in_use, is_only_copy, self._state.demand.rate(key, self._now_ms)

    def _may_unload(self, incarnation: Incarnation, key: str) -> bool:
        resident_ms = self._state.resident_ms(incarnation.life_id, key, self._now_ms)
        has_open_order = incarnation.ledger.open_order(key) is not None
        return not has_open_order and resident_ms >= RESIDENCE_MS

    def _is_unloading(self, incarnation: Incarnation) -> bool:
        """Tells whether an engine unloads an adapter, or will by this round."""
        return incarnation.life_id in self._unloading_lives or any(
            map(_unloads_adapter, incarnation.ledger.orders.values())
        )

    def _frees_slot_soon(self, incarnation: Incarnation) -> bool:
        """Tells whether an engine unloads an adapter and isn't late with it."""
        first_seen_ms = self._state.order_first_seen_ms
        return any(
            _unloads_adapter(order)
            and self._now_ms - first_seen_ms.get(order.order_id, self._now_ms)
            <= UNLOAD_MS
            for order in incarnation.ledger.orders.values()
        )


def _unloads_adapter(order: Order) -> bool:
    return not order.is_load() and bool(order.adapter)
