"""Placement policy: which models and adapters are loaded where.

`decide_orders` runs once a second on the leader. It serves, in this order, what
requests wait for (oldest first), minimum copies, and further copies by demand.
"""

from cassiapitch import copies, model_load_times, placement_fixed, victims
from cassiapitch.backends import Incarnation
from cassiapitch.fleet_commands import NewOrder
from cassiapitch.orders import is_adapter_key, model_key, name_of
from cassiapitch.placement_state import VIEW_DELAY_MS, PlacementState, Plan
from cassiapitch.rooms import Room, Survey
from cassiapitch.types import OrderKind

# A change must be worth this much more than what it replaces (section 8).
GAIN_RATIO = 1.3

# Demand over what its copies serve from which a model's next copy goes before the first
# copies of others: these come one after the other without an end.
URGENT_GAIN = 1.6

# Searches for room in a round; each one looks at every engine of a role.
SEARCHES_PER_ROUND = 48

# Searches for copies to unload in a round; each one looks at every copy of a role.
FINDS_PER_ROUND = 12

# Demand from which an adapter gets a copy next to each copy of its model: about one
# request in five seconds.
SPREAD_TOKENS_PER_S = 200.0

# Adapter places that further copies leave free, so that a first copy waits for no
# unload.
SPARE_PLACES_COUNT = 1

# Age on the waiting list from which an engine is held free of other loads.
HOLD_AFTER_MS = 20_000


def decide_orders(state: PlacementState, now_ms: int) -> list[NewOrder]:
    """Returns the orders to record in this round."""
    survey = state.survey(now_ms)
    choice = _Round(state, survey, now_ms)
    choice.unload_strays()
    if state.policy == "fixed":
        for life_id, key in placement_fixed.missing(state.fleet, survey):
            room = survey.rooms[life_id]
            if choice.may_load(key, room) and survey.may_load(room, key):
                choice.load(room, key)
        return choice.orders
    choice.place_gains(URGENT_GAIN)
    choice.place_waiting()
    choice.place_minimums()
    choice.place_gains()
    choice.place_adapters()
    return choice.orders


class _Round:
    """Decisions of one round; later ones see the earlier ones' effect."""

    def __init__(self, state: PlacementState, survey: Survey, now_ms: int) -> None:
        self.orders: list[NewOrder] = []
        self._state = state
        self._survey = survey
        self._catalog = state.fleet.catalog
        self._now_ms = now_ms
        self._new_loads = {True: 0, False: 0}
        self._search_count = 0
        self._find_count = 0
        self._roomiest_mib: dict[str, int] = {}
        self._taken_places: dict[str, int] = {}
        self._limits_places: dict[str, bool] = {}
        self._wanted = copies.wanted_copies(state, survey, now_ms)
        self._victims = victims.Victims(state, survey, self._wanted, now_ms)

    def may_load(self, key: str, room: Room) -> bool:
        """Tells whether an engine may load without going over the store's limits."""
        return self._is_at_hand(room, key) or self._store_allows(key)

    def _may_load_in(self, key: str, rooms: list[Room]) -> bool:
        """Tells whether any of these engines may load."""
        at_hand = any(self._is_at_hand(room, key) for room in rooms)
        return at_hand or self._store_allows(key)

    def _is_at_hand(self, room: Room, key: str) -> bool:
        if is_adapter_key(key):
            return False
        return model_load_times.has_local_weights(room.incarnation, name_of(key))

    def _store_allows(self, key: str) -> bool:
        """Tells whether the store has room for one more load."""
        is_adapter = is_adapter_key(key)
        store = self._catalog.store
        limit_count = (
            store.adapters_in_flight_count
            if is_adapter
            else store.loads_in_flight_count
        )
        in_flight_count = self._state.fleet.loads_in_flight_count(adapters=is_adapter)
        if in_flight_count + self._new_loads[is_adapter] >= limit_count:
            return False
        return is_adapter or self._state.store_tokens >= 1

    def load(self, room: Room, key: str) -> None:
        """Decides a load."""
        is_adapter = is_adapter_key(key)
        room.free_mib -= self._survey.grown_mib(room, key)
        if not self._is_at_hand(room, key):
            self._new_loads[is_adapter] += 1
            if not is_adapter:
                self._state.store_tokens -= 1
        if not is_adapter:
            self._state.loads_count += 1
            self._survey.note_order(room)
        kind = OrderKind.LOAD_ADAPTER if is_adapter else OrderKind.LOAD
        self._order(kind, room.incarnation, key)

    def unload_strays(self) -> None:
        """Unloads what the bundle no longer has, once no entry can ask for it."""
        if self._now_ms - self._state.bundle_seen_ms < VIEW_DELAY_MS:
            return
        for incarnation, key in self._survey.strays:
            self._unload(incarnation, key)

    def place_waiting(self) -> None:
        """Gives each model or adapter that requests wait for its first copy."""
        for asked_ms, key in sorted(self._state.demand.waiting(), key=self._urgency):
            if self._survey.copy_count(key) == 0:
                self._place_waiting(key, self._now_ms - asked_ms)

    def _fills_memory(self, key: str) -> bool:
        """Tells whether copies of a key's role follow demand."""
        role = self._catalog.roles.get(self._catalog.role_of(key) or "")
        return role is not None and role.fills_memory

    def _urgency(self, waiting: tuple[int, str]) -> tuple[bool, float]:
        """Returns the rank of what is waited for, the least first.

        Oldest first, so that every model gets its turn. Where copies follow demand,
        every second load is of what is asked for most: the loss of engines leaves a
        model in demand behind a queue of rarely asked ones that never ends.
        """
        asked_ms, key = waiting
        if self._state.loads_count % 2 or not self._fills_memory(key):
            return (False, float(asked_ms))
        return (True, -self._state.demand.rate(key, self._now_ms))

    def place_minimums(self) -> None:
        """Loads the copies that the bundle wants resident."""
        for name, model in self._catalog.models.items():
            key = model_key(name)
            copy_count = self._survey.copy_count(key)
            if copy_count < model.minimum_copies and not self._place(key):
                is_first = copy_count == 0
                rooms = self._rooms(key)
                self._plan(key, victims.SERVED_CLASS, rooms, is_first=is_first)

    def place_gains(self, least_gain: float = GAIN_RATIO) -> None:
        """Adds copies of models whose demand exceeds what their copies serve.

        Args:
            least_gain: Demand over what the copies serve from which one is added.
        """
        gains = [
            (wanted / self._survey.copy_count(key), key)
            for key, wanted in self._wanted.items()
            if self._survey.copy_count(key) > 0
        ]
        for gain, key in sorted(gains, reverse=True):
            if gain <= least_gain:
                return
            if least_gain > GAIN_RATIO and not self._fills_memory(key):
                continue
            if not self._may_load_in(key, self._rooms(key)):
                continue
            if key not in self._state.plans and not self._place(key):
                self._plan(key, victims.SERVED_CLASS, self._rooms(key), gain)
            elif key in self._state.plans:
                self._use_plan(key)

    def place_adapters(self) -> None:
        """Loads adapters that have no copy next to one of their model's copies."""
        self._spread_adapters()
        for name, adapter in self._catalog.adapters.items():
            key = f"adapter/{name}"
            if self._has_places(adapter.model):
                continue
            if not self._store_allows(key):
                return
            if self._search_count >= SEARCHES_PER_ROUND:
                return
            if self._survey.copy_count(key) == 0 and key not in self._state.plans:
                self._place(key)

    def _place_waiting(self, key: str, age_ms: int) -> None:
        if key in self._state.plans:
            self._use_plan(key)
            return
        rooms = self._rooms(key)
        if is_adapter_key(key) and rooms and self._has_places(self._model_of(key)):
            self._place_adapter(key, rooms)
            return
        if self._fits_somewhere(key, rooms):
            self._place_or_plan(key, rooms, age_ms)
        elif is_adapter_key(key):
            self._place_model_for(key, age_ms)

    def _model_of(self, key: str) -> str:
        return self._catalog.model_of(key) or ""

    def _has_places(self, model: str) -> bool:
        """Tells whether engines of a model hold a limited number of adapters."""
        found = self._limits_places.get(model)
        if found is None:
            key = model_key(model)
            role = self._catalog.roles.get(self._catalog.role_of(key) or "")
            found = role is not None and role.adapter_places_count > 0
            self._limits_places[model] = found
        return found

    def _place_adapter(self, key: str, rooms: list[Room]) -> None:
        """Loads an adapter next to its model, in the place of the coldest if full."""
        free = [room for room in rooms if self._survey.may_load(room, key)]
        fitting = [
            room
            for room in free
            if room.free_mib >= self._survey.grown_mib(room, key)
            and self._taken_places.get(room.incarnation.life_id, 0)
            < (self._state.fleet.free_adapter_slots(room.incarnation) or 0)
        ]
        if fitting and self._store_allows(key):
            room = min(fitting, key=lambda room: room.busy_ratio)
            taken = self._taken_places.get(room.incarnation.life_id, 0)
            self._taken_places[room.incarnation.life_id] = taken + 1
            self.load(room, key)
        elif not fitting:
            self._vacate_place(key, rooms)

    def _spread_adapters(self) -> None:
        """Fills free places with the adapters that are asked for most.

        Answers the load of adapters in demand: with one copy, all their requests go
        to one of the engines that hold their model.
        """
        rates = {
            key: self._state.demand.rate(key, self._now_ms)
            for key in self._state.demand.known_keys()
            if is_adapter_key(key) and self._catalog.model_of(key) is not None
        }
        hot = sorted(
            (key for key, rate in rates.items() if rate >= SPREAD_TOKENS_PER_S),
            key=lambda key: -rates[key],
        )
        for key in hot:
            if not self._has_places(self._model_of(key)):
                continue
            for room in self._rooms(key):
                free = self._state.fleet.free_adapter_slots(room.incarnation) or 0
                taken = self._taken_places.get(room.incarnation.life_id, 0)
                if (
                    free - taken <= SPARE_PLACES_COUNT
                    or not self._survey.may_load(room, key)
                    or not self._store_allows(key)
                    or room.free_mib < self._survey.grown_mib(room, key)
                ):
                    continue
                self._taken_places[room.incarnation.life_id] = taken + 1
                self.load(room, key)

    def _vacate_place(self, key: str, rooms: list[Room]) -> None:
        """Unloads the adapter that is asked for least, unless one is on its way out."""
        waiting = {one for _, one in self._state.demand.waiting()}
        found: list[tuple[bool, float, str, Room]] = []
        for room in rooms:
            if self._has_open_unload(room.incarnation, adapters=True):
                return
            if room.is_occupied:
                continue
            found.extend(
                (
                    len(self._survey.copies.get(other, ())) <= 1,
                    self._state.demand.rate(other, self._now_ms),
                    other,
                    room,
                )
                for other in room.incarnation.ledger.reported
                if is_adapter_key(other)
                and other not in waiting
                and room.incarnation.ledger.open_order(other) is None
            )
        if found:
            _, _, victim, room = min(found, key=lambda item: item[:3])
            self._unload(room.incarnation, victim)

    def _place_model_for(self, adapter: str, age_ms: int) -> None:
        """Loads an adapter's model where both fit, if no copy is on such an engine."""
        model = model_key(self._catalog.model_of(adapter) or "")
        extra_mib = self._catalog.memory_mib(adapter) or 0
        if self._survey.coming.get(model):
            return
        if model in self._state.plans:
            self._use_plan(model)
            return
        rooms = [
            room
            for room in self._rooms(model)
            if self._fits_ever(room, model, extra_mib)
        ]
        if rooms:
            self._place_or_plan(model, rooms, age_ms)

    def _place_or_plan(self, key: str, rooms: list[Room], age_ms: int) -> None:
        self._state.blocked_until_ms.pop(key, None)
        if self._place(key, rooms):
            return
        allowed = victims.class_allowed(age_ms)
        is_planned = self._plan(key, allowed, rooms, is_first=True)
        if not is_planned:
            wait_ms = self._victims.wait_ms(rooms, age_ms)
            self._state.blocked_until_ms[key] = self._now_ms + wait_ms
        if not is_planned and age_ms >= HOLD_AFTER_MS:
            self._hold(key, rooms)

    def _place(self, key: str, rooms: list[Room] | None = None) -> bool:
        """Loads where there is room; returns whether there was."""
        if key in self._state.plans:
            return self._use_plan(key)
        if self._search_count >= SEARCHES_PER_ROUND:
            return True
        self._search_count += 1
        room = self._best_room(key, self._rooms(key) if rooms is None else rooms)
        if room is None:
            return False
        if self.may_load(key, room):
            self.load(room, key)
        return True

    def _use_plan(self, key: str) -> bool:
        """Loads as planned once the engine has the room."""
        plan = self._state.plans[key]
        if plan.since_ms == self._now_ms:
            return True
        room = self._survey.rooms[plan.life_id]
        if not self._survey.lacks(room, key):
            del self._state.plans[key]
            return True
        # The survey took the plan's own memory off the room.
        grown_mib = self._survey.grown_mib(room, key)
        is_free = room.free_mib >= 0 and not room.is_occupied
        if is_free and self.may_load(key, room):
            room.free_mib += grown_mib
            del self._state.plans[key]
            self.load(room, key)
        elif room.free_mib < 0 and not self._has_open_unload(room.incarnation):
            # The room didn't come, for instance because late loads stay charged.
            room.free_mib += grown_mib
            del self._state.plans[key]
        return True

    def _has_open_unload(
        self, incarnation: Incarnation, *, adapters: bool = False
    ) -> bool:
        """Tells whether an engine unloads anything, or any adapter."""
        return any(
            not order.is_load() and (bool(order.adapter) or not adapters)
            for order in incarnation.ledger.orders.values()
        )

    def _rooms(self, key: str) -> list[Room]:
        """Returns the engines on which a model or adapter may be loaded."""
        survey = self._survey
        if not is_adapter_key(key):
            return survey.by_role.get(self._catalog.role_of(key) or "", [])
        lives = survey.copies.get(model_key(self._catalog.model_of(key) or ""), [])
        return [survey.rooms[incarnation.life_id] for incarnation in lives]

    def _best_room(self, key: str, rooms: list[Room]) -> Room | None:
        survey = self._survey
        zones = survey.zones(key)
        late = {id(room) for room in survey.late_rooms.get(key, ())}
        held = self._held_life(key)
        needed_mib = self._catalog.memory_mib(key) or 0
        best: tuple[bool, bool, bool, int] | None = None
        chosen = None
        for room in rooms:
            is_reserved = id(room) in late
            grown_mib = survey.grown_mib(room, key) if is_reserved else needed_mib
            if room.free_mib < grown_mib or room.incarnation.life_id == held:
                continue
            has_local_weights = self._is_at_hand(room, key)
            is_new_zone = room.incarnation.zone not in zones
            rank = (is_reserved, has_local_weights, is_new_zone, room.free_mib)
            if (best is None or rank > best) and survey.may_load(room, key):
                best, chosen = rank, room
        return chosen

    def _held_life(self, key: str) -> str | None:
        """Returns the engine of this role that is held for another key."""
        hold = self._state.holds.get(self._catalog.role_of(key) or "")
        return None if hold is None or hold[0] == key else hold[1].life_id

    def _fits_somewhere(self, key: str, rooms: list[Room]) -> bool:
        """Tells whether any of these engines could ever hold a key."""
        if is_adapter_key(key):
            return any(self._fits_ever(room, key) for room in rooms)
        role = self._catalog.role_of(key) or ""
        if role not in self._roomiest_mib:
            self._roomiest_mib[role] = max(map(_roomy_mib, rooms), default=0)
        if (self._catalog.memory_mib(key) or 0) <= self._roomiest_mib[role]:
            return True
        reserved = self._survey.late_rooms.get(key, [])
        return any(self._fits_ever(room, key) for room in reserved)

    def _fits_ever(self, room: Room, key: str, extra_mib: int = 0) -> bool:
        """Tells whether an engine could hold a key with all else unloaded."""
        ledger = room.incarnation.ledger
        kept_mib = sum(
            room.incarnation.reserved_mib(other) for other in set(ledger.late) - {key}
        )
        if is_adapter_key(key):
            model = model_key(self._catalog.model_of(key) or "")
            kept_mib += ledger.charge_mib(model, 0) - room.incarnation.reserved_mib(
                model
            )
        needed_mib = max(self._catalog.memory_mib(key) or 0, ledger.late_mib(key))
        return kept_mib + needed_mib + extra_mib <= room.capacity_mib

    def _plan(
        self,
        key: str,
        allowed: int,
        rooms: list[Room],
        gain: float = 0.0,
        *,
        is_first: bool = False,
    ) -> bool:
        """Unloads others to make room; returns whether that is possible."""
        if self._find_count >= FINDS_PER_ROUND:
            return False
        self._find_count += 1
        held = self._held_life(key)
        open_rooms = [room for room in rooms if room.incarnation.life_id != held]
        at_hand = [room for room in open_rooms if self._is_at_hand(room, key)]
        found = self._victims.find(key, allowed, at_hand, gain, is_first=is_first)
        if found is None:
            found = self._victims.find(
                key, allowed, open_rooms, gain, is_first=is_first
            )
        if found is None:
            return False
        room, keys = found
        for victim in keys:
            self._unload(room.incarnation, victim)
        self._survey.note_order(room)
        room.free_mib -= self._survey.grown_mib(room, key)
        self._state.plans[key] = Plan(room.incarnation.life_id, self._now_ms)
        return True

    def _hold(self, key: str, rooms: list[Room]) -> None:
        """Keeps other loads off one engine until a large item has its room.

        Otherwise a stream of small models could each stay resident for 30 s in
        turn, so that an engine would never be empty enough for a large one.
        """
        role = self._catalog.role_of(key) or ""
        fitting = [room for room in rooms if self._fits_ever(room, key)]
        if role not in self._state.holds and fitting:
            room = max(fitting, key=lambda item: item.free_mib)
            self._state.holds[role] = (
                key,
                Plan(room.incarnation.life_id, self._now_ms),
            )

    def _unload(self, incarnation: Incarnation, key: str) -> None:
        kind = OrderKind.UNLOAD_ADAPTER if is_adapter_key(key) else OrderKind.UNLOAD
        self._order(kind, incarnation, key)
        copies = self._survey.copies.get(key)
        if copies and incarnation in copies:
            copies.remove(incarnation)

    def _order(self, kind: OrderKind, incarnation: Incarnation, key: str) -> None:
        self.orders.append(NewOrder(kind, incarnation.name, incarnation.life_id, key))


def _roomy_mib(room: Room) -> int:
    ledger = room.incarnation.ledger
    return room.capacity_mib - sum(
        room.incarnation.reserved_mib(key) for key in ledger.late
    )
