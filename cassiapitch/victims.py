"""Which copies give way when an engine must make room."""

import math

from cassiapitch.backends import Incarnation
from cassiapitch.orders import is_adapter_key, model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.rooms import Room, Survey

# Classes of copies, from the one that gives way first.
ORPHAN_CLASS = 0
SURPLUS_CLASS = 1
COLD_CLASS = 2
SERVED_CLASS = 3
HOT_CLASS = 4
PINNED_CLASS = 5

# Ages on the waiting list from which the only copy of a model in demand, and then
# even a minimum copy, gives way: every model stays reachable.
HOT_AFTER_MS = 10_000
PINNED_AFTER_MS = 20_000

GAIN_RATIO = 1.3

# A further copy displaces an only copy for this many times its demand: the displaced
# model costs a load and its next caller the time of it.
ONLY_COPY_RATIO = 3.0

# Time constant in which demand becomes known: half of that over which it is averaged.
OBSERVATION_MS = 10_000

# Backlog of prompt tokens from which an engine counts as loaded: one long prompt waits
# on the average.
LOADED_TOKENS = 2_500.0


def class_allowed(age_ms: int) -> int:
    """Returns the last class that gives way for something that waits so long."""
    if age_ms >= PINNED_AFTER_MS:
        return PINNED_CLASS
    return HOT_CLASS if age_ms >= HOT_AFTER_MS else SERVED_CLASS


class Victims:
    """Copies that may be unloaded in one round, by role and in order."""

    def __init__(
        self,
        state: PlacementState,
        survey: Survey,
        wanted: dict[str, float],
        now_ms: int,
    ) -> None:
        """Prepares nothing; the lists are made when they are first needed."""
        self._state = state
        self._survey = survey
        self._wanted = wanted
        self._now_ms = now_ms
        self._lists: dict[str, list[tuple[int, float, str, str]]] = {}
        self._mean_rates: dict[str, float] = {}
        # An adapter that is waited for needs its model as well.
        waiting = [key for _, key in state.demand.waiting()]
        models = [state.fleet.catalog.model_of(key) or "" for key in waiting]
        self._waiting = {*waiting, *map(model_key, models)}

    def find(
        self,
        key: str,
        allowed: int,
        rooms: list[Room],
        gain: float,
        *,
        is_first: bool,
    ) -> tuple[Room, list[str]] | None:
        """Returns an engine and what to unload there, or None.

        Takes copies in the order of their classes until one engine has the room;
        then leaves out those that turn out not to be needed.
        """
        catalog = self._state.fleet.catalog
        role = catalog.role_of(key) or ""
        needed = {
            room.incarnation.life_id: self._survey.grown_mib(room, key) - room.free_mib
            for room in rooms
            if self._survey.may_load(room, key)
        }
        base = model_key(catalog.model_of(key) or "") if is_adapter_key(key) else ""
        taken: dict[str, list[tuple[str, int]]] = {}
        for listed, _, life_id, victim in self._list(role):
            # A copy's class only rises while a round unloads others.
            if listed > max(allowed, HOT_CLASS):
                return None
            if life_id not in needed or victim in (key, base):
                continue
            room = self._survey.rooms[life_id]
            level = self._class(room.incarnation, victim)
            if level is None:
                continue
            if self._by_value(role):
                if not self._gives_way(victim, key, allowed, is_first=is_first):
                    continue
            elif level > allowed and not self._is_worth_less(level, victim, key):
                continue
            is_outweighed = self._by_value(role) or not self._outweighs(victim, gain)
            if not is_first and not is_outweighed:
                continue
            freed_mib = self._freed_mib(room.incarnation, victim)
            if freed_mib <= 0:
                continue
            taken.setdefault(life_id, []).append((victim, freed_mib))
            needed[life_id] -= freed_mib
            if needed[life_id] <= 0:
                return room, _without_spare(taken[life_id], -needed[life_id])
        return None

    def wait_ms(self, rooms: list[Room], age_ms: int) -> int:
        """Returns the least time until one of the engines may have to make room."""
        rests_ms = [
            self._state.resident_rest_ms(room.incarnation.life_id, key, self._now_ms)
            for room in rooms
            for key in room.incarnation.ledger.reported
        ]
        rest_ms = min(rests_ms, default=0)
        if any(room.is_occupied for room in rooms):
            # It may make room once it has carried out its order.
            return rest_ms
        return max(rest_ms, HOT_AFTER_MS - age_ms, 0)

    def _list(self, role: str) -> list[tuple[int, float, str, str]]:
        if role not in self._lists:
            found = []
            for room in self._survey.by_role.get(role, []):
                ledger = room.incarnation.ledger
                for key in ledger.reported.keys() | ledger.late.keys():
                    level = self._class(room.incarnation, key)
                    if level is not None:
                        if self._by_value(role) and level != ORPHAN_CLASS:
                            level = SERVED_CLASS
                        found.append(
                            (level, self._value(key), room.incarnation.life_id, key)
                        )
            self._lists[role] = sorted(found)
        return self._lists[role]

    def _class(self, incarnation: Incarnation, key: str) -> int | None:
        """Returns the class of a copy, or None if it may not be unloaded now."""
        ledger = incarnation.ledger
        if ledger.orders and self._is_involved(incarnation, key):
            return None
        if key not in ledger.reported:
            return ORPHAN_CLASS if incarnation.fencing else None
        if not self._state.resident_long(incarnation.life_id, key, self._now_ms):
            return None
        catalog = self._state.fleet.catalog
        if is_adapter_key(key):
            model = model_key(catalog.model_of(key) or "")
            if model not in ledger.reported:
                return ORPHAN_CLASS
            minimum = 0
        else:
            model_item = catalog.models.get(key.split("/", 1)[1])
            minimum = 0 if model_item is None else model_item.minimum_copies
        left_count = len(self._survey.copies.get(key, ())) - 1
        if left_count < minimum:
            return PINNED_CLASS
        if left_count >= 1:
            wanted = self._wanted.get(key, 0.0) * GAIN_RATIO
            return SURPLUS_CLASS if left_count >= wanted else SERVED_CLASS
        is_cold = self._state.demand.is_cold(key, self._now_ms)
        return COLD_CLASS if is_cold and key not in self._waiting else HOT_CLASS

    def _is_involved(self, incarnation: Incarnation, key: str) -> bool:
        """Tells whether an open order is about a copy or an adapter on it."""
        name = key.split("/", 1)[1]
        return any(
            order.key == key or order.model == name
            for order in incarnation.ledger.orders.values()
        )

    def _outweighs(self, victim: str, gain: float) -> bool:
        """Tells whether a copy is worth more than a further copy of another model.

        The only copy of a model gives way to a first copy alone.
        """
        copies_count = len(self._survey.copies.get(victim, ()))
        if copies_count <= 1:
            return True
        own = self._wanted.get(victim, 0.0) / copies_count
        return gain > 0 and gain <= GAIN_RATIO * own

    def _by_value(self, role: str) -> bool:
        """Tells whether copies of a role fill its memory by what they are worth."""
        item = self._state.fleet.catalog.roles.get(role)
        return item is not None and item.fills_memory

    def _value(self, key: str) -> float:
        """Returns the demand that one copy serves, by which copies give way."""
        return self._rate(key) / max(1, len(self._survey.copies.get(key, ())))

    def _rate(self, key: str) -> float:
        """Returns the demand for a model, near the mean as long as little is known.

        Answers the first seconds of traffic or of a leader's term: a model that nobody
        has asked for yet may be the one in demand, so that further copies of others
        give way before its only one.
        """
        rate = self._state.demand.rate(key, self._now_ms)
        if is_adapter_key(key):
            return rate
        observed_ms = self._state.demand.observed_ms(self._now_ms)
        unknown = math.exp(-observed_ms / OBSERVATION_MS)
        return rate + unknown * (self._mean_rate(key) - rate)

    def _mean_rate(self, key: str) -> float:
        role = self._state.fleet.catalog.role_of(key) or ""
        if role not in self._mean_rates:
            names = [
                name
                for name, model in self._state.fleet.catalog.models.items()
                if model.role == role
            ]
            total = sum(
                self._state.demand.rate(model_key(name), self._now_ms) for name in names
            )
            self._mean_rates[role] = total / max(1, len(names))
        return self._mean_rates[role]

    def _gives_way(
        self, victim: str, key: str, allowed: int, *, is_first: bool
    ) -> bool:
        """Tells whether a copy is worth less than what needs its room.

        Answers a few models with most of the demand beside many that are asked for
        now and then: the many take turns in what room the few leave, and a further
        copy of one of the few may displace an only copy, which is loaded again when
        somebody asks for it.
        """
        if is_first and allowed >= HOT_CLASS:
            return True
        is_only = len(self._survey.copies.get(victim, ())) <= 1
        if is_only and victim in self._waiting:
            return False
        rate = self._rate(key)
        if is_first:
            return self._value(victim) < GAIN_RATIO * rate
        if not self._is_loaded(key):
            return False
        copies_count = len(self._survey.copies.get(key, ()))
        ratio = ONLY_COPY_RATIO if is_only else GAIN_RATIO
        return ratio * self._value(victim) < rate / (copies_count + 1)

    def _is_loaded(self, key: str) -> bool:
        """Tells whether prompts wait at every engine that holds a model.

        A further copy is worth a load, and another model's room, only then.
        """
        backlogs = [
            self._state.backlogs.get(incarnation.life_id, 0.0)
            for incarnation in self._survey.copies.get(key, ())
        ]
        return bool(backlogs) and min(backlogs) >= LOADED_TOKENS

    def _is_worth_less(self, level: int, victim: str, key: str) -> bool:
        """Tells whether an only copy is asked for much less than what needs its room.

        Answers the loss of engines whose models were in demand: they must not wait
        behind models that are asked for now and then.
        """
        if level != HOT_CLASS or victim in self._waiting:
            return False
        rate = self._state.demand.rate(victim, self._now_ms)
        return rate * GAIN_RATIO < self._state.demand.rate(key, self._now_ms)

    def _freed_mib(self, incarnation: Incarnation, key: str) -> int:
        ledger = incarnation.ledger
        unknown_mib = self._state.fleet.catalog.memory_mib(key) or 0
        return ledger.charge_mib(key, unknown_mib) - incarnation.reserved_mib(key)


def _without_spare(taken: list[tuple[str, int]], spare_mib: int) -> list[str]:
    kept = []
    # The last ones are worth the most, so they are spared first.
    for key, freed_mib in reversed(taken):
        if freed_mib <= spare_mib:
            spare_mib -= freed_mib
        else:
            kept.append(key)
    return kept
