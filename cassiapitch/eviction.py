"""Selects copies of models and adapters to unload when an engine needs memory."""

import math
from collections.abc import Iterable, Mapping

from cassiapitch import backlog_relief, model_load_times
from cassiapitch.backends import Incarnation
from cassiapitch.backlog_relief import NeededCopies
from cassiapitch.first_loads import FirstLoads
from cassiapitch.orders import is_adapter_key, model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import EngineState, Survey

# Classes of copies, in the order in which they are unloaded:
# orphan: copies that cannot serve (late loads, adapters without their model);
# surplus: copies beyond the target count;
# cold: only copies of models that are hardly used;
# served: further copies within the target count;
# hot: only copies of models in demand;
# pinned: minimum copies.
ORPHAN_CLASS = 0
SURPLUS_CLASS = 1
COLD_CLASS = 2
SERVED_CLASS = 3
HOT_CLASS = 4
PINNED_CLASS = 5

# Ages on the waiting list from which a model may displace the only copy of a model in
# demand, and then even a minimum copy, so that every model stays reachable.
HOT_AFTER_MS = 10_000
PINNED_AFTER_MS = 20_000

# A copy is displaced only by one whose demand is higher by this ratio.
GAIN_RATIO = 1.3

# The same as a difference, for each second that a repeated load takes: a longer load
# must be worth more. Without it, models with a request now and then would take each
# other's memory, since demand is mostly chance at that rate.
MIN_GAIN_TOKENS_PER_S = 40.0

# A further copy must serve this many times the demand of an only copy to displace it:
# the displaced model must be loaded again, and its next request waits for that load.
ONLY_COPY_RATIO = 3.0

# A model may take its turn in place of a copy whose demand is up to the mean of its
# role, multiplied by the time that its requests went unserved divided by this. A busy
# model thus keeps its only copy, and yet none is unreachable for good.
TURN_SCALE_MS = 10_000

# A copy that was loaded for a turn stays for this long unless a request is served
# before: its requests are seconds apart, and the one it was loaded for has gone.
TURN_RESIDENCE_MS = 8_000

# Time constant with which demand becomes known: half of the one that averages it.
OBSERVATION_MS = 10_000

# Until demand was observed for this long, every copy counts as in use: the requests of
# less time say little of how many copies a model needs.
UNKNOWN_DEMAND_MS = 1_000


def max_victim_class(age_ms: int) -> int:
    """Returns the highest class that a first copy may displace.

    Args:
        age_ms: Time that the model or adapter has been on the waiting list.
    """
    if age_ms >= PINNED_AFTER_MS:
        return PINNED_CLASS
    return HOT_CLASS if age_ms >= HOT_AFTER_MS else SERVED_CLASS


class EvictionSelector:
    """Finds copies to unload in one round, from a ranking of each role's copies."""

    def __init__(
        self,
        state: PlacementState,
        survey: Survey,
        target_copies: Mapping[str, float],
        needed_copies: Mapping[str, NeededCopies],
        now_ms: int,
        first_loads: FirstLoads,
    ) -> None:
        """Builds no ranking yet; each role's is built on first use."""
        self._needed_copies = needed_copies
        self._first_loads = first_loads
        self._state = state
        self._survey = survey
        self._target_copies = target_copies
        self._now_ms = now_ms
        self._ranked_copies_by_role: dict[str, list[tuple[int, float, str, str]]] = {}
        # Mean demand for the models of a role, and their number.
        self._role_demands: dict[str, tuple[float, int]] = {}
        # By life id; several models ask for it in a round.
        self._remaining_residences_ms: dict[str, int] = {}
        # Requests that wait for an adapter need its model as well.
        waiting = [key for _, key in state.demand.waiting()]
        self._waiting = self._with_models(waiting)
        self._waited_for = self._with_models(
            [key for key in waiting if state.demand.is_waited_for(key, now_ms)]
        )
        self._due_ms = state.demand.unserved.due(now_ms)
        self._due = self._with_models(self._due_ms)

    def find(
        self,
        key: str,
        max_class: int,
        engines: list[EngineState],
        gain_ratio: float,
        *,
        is_first: bool,
    ) -> tuple[EngineState, list[str]] | None:
        """Returns an engine and the ledger keys to unload there, or None.

        Goes through the copies in the order of their classes until one engine would
        have enough memory, then leaves out those that are not needed.

        Args:
            key: Ledger key of the model or adapter to load.
            max_class: Highest class of copies that may be unloaded.
            engines: Engines on which it may be loaded.
            gain_ratio: Target count of copies divided by the current count.
            is_first: Whether the load is the first copy.
        """
        catalog = self._state.fleet.catalog
        role = catalog.role_of(key) or ""
        missing_mib = {
            engine.incarnation.life_id: self._survey.added_mib(engine, key)
            - engine.free_mib
            for engine in engines
            if self._survey.may_load(engine, key)
        }
        base_model = (
            model_key(catalog.model_of(key) or "") if is_adapter_key(key) else ""
        )
        chosen_copies: dict[str, list[tuple[str, int]]] = {}
        for ranked_class, _, life_id, victim in self._ranked_copies(role):
            # A copy's class only rises while a round unloads other copies, so its
            # rank in the list is a lower bound.
            if ranked_class > max(max_class, HOT_CLASS):
                return None
            if life_id not in missing_mib or victim in (key, base_model):
                continue
            engine = self._survey.engines[life_id]
            victim_class = self._victim_class(engine.incarnation, victim)
            if victim_class is None:
                continue
            if self._is_ranked_by_value(role):
                if not self._may_displace(
                    engine.incarnation, victim, key, is_first=is_first
                ):
                    continue
            elif victim_class > max_class and not self._is_worth_less(
                victim_class, victim, key
            ):
                continue
            is_displaceable = self._is_ranked_by_value(
                role
            ) or not self._outweighs_further_copy(victim, gain_ratio)
            if not is_first and not is_displaceable:
                continue
            freed_mib = self._freeable_mib(engine.incarnation, victim)
            if freed_mib <= 0:
                continue
            chosen_copies.setdefault(life_id, []).append((victim, freed_mib))
            missing_mib[life_id] -= freed_mib
            if missing_mib[life_id] <= 0:
                return engine, _without_unneeded(
                    chosen_copies[life_id], -missing_mib[life_id]
                )
        return None

    def _with_models(self, keys: Iterable[str]) -> set[str]:
        """Returns ledger keys and those of the models that adapters among them need."""
        models = [self._state.fleet.catalog.model_of(key) or "" for key in keys]
        return {*keys, *map(model_key, models)}

    def min_wait_ms(self, engines: list[EngineState], age_ms: int) -> int:
        """Returns the minimum time until one of the engines may unload a copy."""
        remaining_ms = min(
            (
                self._remaining_residence_ms(engine)
                for engine in engines
                if engine.incarnation.ledger.reported
            ),
            default=0,
        )
        if any(engine.is_blocked for engine in engines):
            # The engine may unload a copy as soon as its current order is done.
            return remaining_ms
        return max(remaining_ms, HOT_AFTER_MS - age_ms, 0)

    def _remaining_residence_ms(self, engine: EngineState) -> int:
        """Returns the shortest remaining minimum residence of an engine's copies."""
        life_id = engine.incarnation.life_id
        if life_id not in self._remaining_residences_ms:
            self._remaining_residences_ms[life_id] = min(
                self._state.remaining_residence_ms(life_id, key, self._now_ms)
                for key in engine.incarnation.ledger.reported
            )
        return self._remaining_residences_ms[life_id]

    def _ranked_copies(self, role: str) -> list[tuple[int, float, str, str]]:
        if role not in self._ranked_copies_by_role:
            ranked = []
            for engine in self._survey.engines_by_role.get(role, []):
                ledger = engine.incarnation.ledger
                for key in ledger.reported.keys() | ledger.late.keys():
                    victim_class = self._victim_class(engine.incarnation, key)
                    if victim_class is not None:
                        if (
                            self._is_ranked_by_value(role)
                            and victim_class != ORPHAN_CLASS
                        ):
                            victim_class = SERVED_CLASS
                        ranked.append(
                            (
                                victim_class,
                                self._value(engine.incarnation, key),
                                engine.incarnation.life_id,
                                key,
                            )
                        )
            self._ranked_copies_by_role[role] = sorted(ranked)
        return self._ranked_copies_by_role[role]

    def _victim_class(self, incarnation: Incarnation, key: str) -> int | None:
        """Returns the class of a copy, or None if the copy may not be unloaded now."""
        ledger = incarnation.ledger
        if ledger.orders and self._is_in_open_order(incarnation, key):
            return None
        if key not in ledger.reported:
            return ORPHAN_CLASS if incarnation.fencing else None
        if self._is_in_turn(incarnation, key) and self._is_ranked_by_value(
            incarnation.role
        ):
            return None
        if not self._state.is_past_min_residence(
            incarnation.life_id, key, self._now_ms
        ):
            return None
        catalog = self._state.fleet.catalog
        if is_adapter_key(key):
            model = model_key(catalog.model_of(key) or "")
            if model not in ledger.reported:
                return ORPHAN_CLASS
            minimum_count = 0
        else:
            model_item = catalog.models.get(key.split("/", 1)[1])
            minimum_count = 0 if model_item is None else model_item.minimum_copies
        remaining_count = len(self._survey.copies.get(key, ())) - 1
        if remaining_count < minimum_count:
            return PINNED_CLASS
        if remaining_count >= 1:
            target_copies = self._target_copies.get(key, 0.0) * GAIN_RATIO
            return SURPLUS_CLASS if remaining_count >= target_copies else SERVED_CLASS
        is_cold = self._state.demand.is_cold(key, self._now_ms)
        return COLD_CLASS if is_cold and key not in self._waiting else HOT_CLASS

    def _is_in_turn(self, incarnation: Incarnation, key: str) -> bool:
        """Tells whether a copy was loaded for a turn and has not served yet."""
        resident_ms = self._state.resident_ms(incarnation.life_id, key, self._now_ms)
        return key in self._due and resident_ms < TURN_RESIDENCE_MS

    def _is_in_open_order(self, incarnation: Incarnation, key: str) -> bool:
        """Tells whether an open order concerns a copy or an adapter of its model."""
        name = key.split("/", 1)[1]
        return any(
            order.key == key or order.model == name
            for order in incarnation.ledger.orders.values()
        )

    def _outweighs_further_copy(self, victim: str, gain_ratio: float) -> bool:
        """Tells whether a copy is worth more than a further copy of another model.

        The only copy of a model is always worth more; only a first copy displaces it.
        """
        copies_count = len(self._survey.copies.get(victim, ()))
        if copies_count <= 1:
            return True
        own_ratio = self._target_copies.get(victim, 0.0) / copies_count
        return gain_ratio > 0 and gain_ratio <= GAIN_RATIO * own_ratio

    def _is_ranked_by_value(self, role: str) -> bool:
        """Tells whether a role's copies are unloaded by value instead of by class."""
        item = self._state.fleet.catalog.roles.get(role)
        return item is not None and item.fills_memory

    def _value(self, incarnation: Incarnation, key: str) -> float:
        """Returns the demand that a copy serves; those with the least go first.

        While demand is not known yet, each copy that is in use counts as much as the
        only copy of a model, so that only spare copies count for less.
        """
        weight = self._survey.copy_weight(incarnation)
        served_share = weight / max(weight, self._survey.serving_weight(key))
        if served_share < 1 and self._is_in_use(key, weight):
            uncertainty = self._uncertainty()
            known_value = (1 - uncertainty) * self._known_value(incarnation, key)
            return uncertainty * self._mean_rate(key) + known_value
        return self._rate(key) * served_share

    def _known_value(self, incarnation: Incarnation, key: str) -> float:
        """Returns the same by what was observed alone."""
        weight = self._survey.copy_weight(incarnation)
        rate = self._state.demand.weighted_rate(key, self._now_ms)
        return rate * weight / max(weight, self._survey.serving_weight(key))

    def _is_in_use(self, key: str, weight: float) -> bool:
        """Tells whether a model's other copies would serve more than others do.

        That is more demand for each engine than the mean of the role.

        Args:
            key: Ledger key of the model or adapter.
            weight: What the copy counts for.
        """
        if is_adapter_key(key):
            return False
        if self._state.demand.observed_ms(self._now_ms) < UNKNOWN_DEMAND_MS:
            return True
        role = self._state.fleet.catalog.role_of(key) or ""
        engines_count = len(self._survey.engines_by_role.get(role, ()))
        mean_rate, models_count = self._role_demand(role)
        total_rate = mean_rate * models_count
        if not total_rate:
            return False
        rate = self._state.demand.weighted_rate(key, self._now_ms)
        return (
            self._survey.serving_weight(key) - weight
            < rate / total_rate * engines_count
        )

    def _rate(self, key: str) -> float:
        """Returns the demand for a model, blended with the mean while data is scarce.

        In the first seconds of traffic or of a leader's term, a model without requests
        so far may be the one in demand. With a rate near the mean, further copies of
        other models are unloaded before its only copy.
        """
        rate = self._state.demand.weighted_rate(key, self._now_ms)
        if is_adapter_key(key):
            return rate
        return rate + self._uncertainty() * (self._mean_rate(key) - rate)

    def _uncertainty(self) -> float:
        observed_ms = self._state.demand.observed_ms(self._now_ms)
        return math.exp(-observed_ms / OBSERVATION_MS)

    def _mean_rate(self, key: str) -> float:
        return self._role_demand(self._state.fleet.catalog.role_of(key) or "")[0]

    def _role_demand(self, role: str) -> tuple[float, int]:
        """Returns the mean demand for the models of a role, and their number."""
        if role not in self._role_demands:
            names = [
                name
                for name, model in self._state.fleet.catalog.models.items()
                if model.role == role
            ]
            total_rate = sum(
                self._state.demand.weighted_rate(model_key(name), self._now_ms)
                for name in names
            )
            self._role_demands[role] = total_rate / max(1, len(names)), len(names)
        return self._role_demands[role]

    def _may_displace(
        self,
        incarnation: Incarnation,
        victim: str,
        key: str,
        *,
        is_first: bool,
    ) -> bool:
        """Tells whether a copy is worth less than the one that needs its memory.

        Made for fleets in which a few models have most of the demand and many models
        get occasional requests: the many take turns in the memory that the few leave,
        and a further copy of one of the few may displace an only copy, which is loaded
        again at its next request.
        """
        is_only = self._is_last_copy(incarnation, victim)
        turn_share = self._due_ms.get(key, 0) / TURN_SCALE_MS if is_first else 0.0
        if is_only and victim in self._waited_for and turn_share < 1:
            return False
        rate = max(self._rate(key), self._first_loads.rate(key))
        value = self._value(incarnation, victim)
        if is_first:
            # Blended rates differ by less while demand is not known yet.
            min_gain = self._min_gain(key) * (1 - self._uncertainty())
            if GAIN_RATIO * value + min_gain < rate:
                return True
            return value < turn_share * self._mean_rate(key)
        loads_count = 0
        if self._first_loads.lacks(key) or self._state.starts_further_loads:
            loads_count = len(self._first_loads.engines_in_use(key))
        if self._first_loads.lacks(key):
            # A model that loses its only copy would wait for a whole load.
            if is_only and not self._state.demand.is_cold(victim, self._now_ms):
                return False
        elif not self.is_saturated(key) and not self.lacks_copies(key):
            return False
        copies_count = self._survey.serving_weight(key) + loads_count
        ratio = GAIN_RATIO
        if is_only and not self._has_limited_copies_only(key):
            ratio = ONLY_COPY_RATIO
        if self._state.starts_further_loads and self.lacks_copies_by_demand(key):
            # Its backlog shows that it is in demand, however short that was observed.
            value = self._known_value(incarnation, victim)
            rate = max(
                self._state.demand.weighted_rate(key, self._now_ms),
                self._state.demand.recent_rate(key, self._now_ms),
            )
        return ratio * value < rate / (copies_count + 1)

    def _min_gain(self, key: str) -> float:
        catalog = self._state.fleet.catalog
        model = catalog.models.get(catalog.model_of(key) or "")
        reload_ms = 0 if model is None else model_load_times.reload_ms(model)
        return MIN_GAIN_TOKENS_PER_S * reload_ms / 1_000

    def is_saturated(self, key: str) -> bool:
        """Tells whether no engine that holds a model takes requests as they come.

        Prompts wait there, or the engine stated a limit. Only then is a further copy
        worth a load and the memory of another model.
        """
        copies = self._survey.copies.get(key, ())
        return bool(copies) and all(
            incarnation.limit is not None
            or self._state.backlogs.get(incarnation.life_id, 0.0)
            >= backlog_relief.SATURATED_BACKLOG_TOKENS
            for incarnation in copies
        )

    def lacks_copies(self, key: str) -> bool:
        """Tells whether a model lacks copies for the backlog of its engines."""
        target_count = self._target_copies.get(key, 0.0)
        return backlog_relief.lacks_copies(self._state, self._survey, key, target_count)

    def lacks_copies_by_demand(self, key: str, loads_count: int = 0) -> bool:
        """Tells whether a model with a backlog lacks copies for its part of the demand.

        Args:
            key: Ledger key of the model.
            loads_count: Loads under way that count as copies.
        """
        needed = self._needed_copies.get(key)
        expected_count = self._survey.serving_weight(key) + loads_count
        return needed is not None and needed.by_demand - expected_count >= 1

    def _is_last_copy(self, incarnation: Incarnation, key: str) -> bool:
        """Tells whether a model would be left without a copy that takes all requests.

        Copies at engines that stated a limit don't replace one at an engine without.
        """
        return not any(
            incarnation.limit is not None or other.limit is None
            for other in self._survey.copies.get(key, ())
            if other.life_id != incarnation.life_id
        )

    def _has_limited_copies_only(self, key: str) -> bool:
        """Tells whether every engine that holds a model stated a limit on requests."""
        return all(
            incarnation.limit is not None
            for incarnation in self._survey.copies.get(key, ())
        )

    def _is_worth_less(self, victim_class: int, victim: str, key: str) -> bool:
        """Tells whether an only copy has much less demand than what needs its memory.

        After a loss of engines, models in demand that were on them must not wait
        behind models with occasional requests.
        """
        if victim_class != HOT_CLASS or victim in self._waiting:
            return False
        rate = self._state.demand.rate(victim, self._now_ms)
        return rate * GAIN_RATIO < self._state.demand.rate(key, self._now_ms)

    def _freeable_mib(self, incarnation: Incarnation, key: str) -> int:
        ledger = incarnation.ledger
        default_mib = self._state.fleet.catalog.memory_mib(key) or 0
        return ledger.charge_mib(key, default_mib) - incarnation.reserved_mib(key)


def _without_unneeded(
    chosen_copies: list[tuple[str, int]], spare_mib: int
) -> list[str]:
    needed = []
    # The last copies are worth the most, so they are kept first.
    for key, freed_mib in reversed(chosen_copies):
        if freed_mib <= spare_mib:
            spare_mib -= freed_mib
        else:
            needed.append(key)
    return needed
