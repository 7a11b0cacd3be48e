"""What placement sees of the fleet in one round: engines, their room, copies.

A survey reads each engine's ledger once, so that a round costs a step for each
engine and each copy, and none for each pair of engine and model.
"""

import collections
import dataclasses
from collections.abc import Collection

from cassiapitch import backends
from cassiapitch.backends import Incarnation
from cassiapitch.fleet import Fleet
from cassiapitch.orders import Order, is_adapter_key, model_key


@dataclasses.dataclass(slots=True)
class Room:
    """An engine that may get orders.

    Attributes:
        incarnation: The engine.
        capacity_mib: Memory that may be used on it.
        free_mib: Memory that neither the ledger nor a plan takes.
        busy_ratio: Requests that it runs and that wait there, by its limit.
        is_occupied: Whether it may get no order now, for instance since it would reject
            one while it carries out another.
    """

    incarnation: Incarnation
    capacity_mib: int
    free_mib: int
    busy_ratio: float
    is_occupied: bool = False


class Survey:
    """Engines, copies and open loads at the beginning of a round."""

    def __init__(
        self,
        fleet: Fleet,
        requests: dict[str, tuple[int, int]],
        is_late: dict[str, bool],
        held: Collection[str] = (),
    ) -> None:
        """Reads the fleet.

        Args:
            fleet: The replicated state.
            requests: Running and waiting requests by life id, as announced.
            is_late: Tells for each open order whether it has been open for so
                long that its engine is no longer counted on.
            held: Lives that may not get orders yet.
        """
        self._held = held
        self.fleet = fleet
        self.rooms: dict[str, Room] = {}
        self.by_role: dict[str, list[Room]] = collections.defaultdict(list)
        self.copies: dict[str, list[Incarnation]] = collections.defaultdict(list)
        self.coming: dict[str, list[Order]] = collections.defaultdict(list)
        self.late_rooms: dict[str, list[Room]] = collections.defaultdict(list)
        self.strays: list[tuple[Incarnation, str]] = []
        for incarnation in fleet.lives.values():
            if incarnation.state == backends.SERVING and fleet.is_engine(incarnation):
                self._add(incarnation, requests.get(incarnation.life_id, (0, 0)))
        for order in fleet.open_orders.values():
            is_counted = order.life_id in self.rooms and not is_late[order.order_id]
            if order.is_load() and is_counted:
                self.coming[order.key].append(order)

    def _add(self, incarnation: Incarnation, requests: tuple[int, int]) -> None:
        capacity_mib = self.fleet.capacity_mib(incarnation)
        busy_ratio = sum(requests) / max(1, incarnation.max_running_count)
        room = Room(
            incarnation,
            capacity_mib,
            capacity_mib - incarnation.charged_mib,
            busy_ratio,
        )
        is_busy = any(not order.adapter for order in incarnation.ledger.orders.values())
        room.is_occupied = incarnation.life_id in self._held or (
            is_busy and self._is_one_by_one(incarnation.role)
        )
        self.rooms[incarnation.life_id] = room
        self.by_role[incarnation.role].append(room)
        usable = self.fleet.usable_keys(incarnation)
        for key in usable:
            if not is_adapter_key(key) or self._has_model(key, usable):
                self.copies[key].append(incarnation)
        for key in incarnation.ledger.late:
            self.late_rooms[key].append(room)
        if len(usable) < len(incarnation.ledger.reported):
            self._find_strays(incarnation)

    def _is_one_by_one(self, role: str) -> bool:
        item = self.fleet.catalog.roles.get(role)
        return item is not None and item.orders_one_by_one

    def note_order(self, room: Room) -> None:
        """Notes that a load or unload of a model was decided for an engine."""
        room.is_occupied = self._is_one_by_one(room.incarnation.role)

    def _has_model(self, key: str, usable: list[str]) -> bool:
        return model_key(self.fleet.catalog.model_of(key) or "") in usable

    def _find_strays(self, incarnation: Incarnation) -> None:
        for key in incarnation.ledger.reported:
            is_of_role = self.fleet.catalog.role_of(key) == incarnation.role
            if not is_of_role and incarnation.ledger.open_order(key) is None:
                self.strays.append((incarnation, key))

    def copy_count(self, key: str) -> int:
        """Returns the copies that serve or are being loaded."""
        return len(self.copies.get(key, ())) + len(self.coming.get(key, ()))

    def zones(self, key: str) -> set[str]:
        """Returns the zones of the copies that serve or are being loaded."""
        serving = {incarnation.zone for incarnation in self.copies.get(key, ())}
        coming = self.coming.get(key, ())
        return serving | {
            self.rooms[order.life_id].incarnation.zone for order in coming
        }

    def is_served(self, key: str) -> bool:
        """Tells whether a copy serves."""
        return bool(self.copies.get(key))

    def grown_mib(self, room: Room, key: str) -> int:
        """Returns what a load would add to an engine's charges."""
        needed_mib = self.fleet.catalog.memory_mib(key) or 0
        return max(0, needed_mib - room.incarnation.ledger.late_mib(key))

    def may_load(self, room: Room, key: str) -> bool:
        """Tells whether an engine lacks a model or adapter and would take an order."""
        return not room.is_occupied and self.lacks(room, key)

    def lacks(self, room: Room, key: str) -> bool:
        """Tells whether an engine lacks a model or adapter and has no order on it."""
        ledger = room.incarnation.ledger
        if is_adapter_key(key) and not self.fleet.has_free_adapter_slot(
            room.incarnation
        ):
            return False
        return key not in ledger.reported and ledger.open_order(key) is None

    def usage(self, role: str, waiting_count: int) -> float:
        """Returns the share of the role's slots that requests ask for."""
        rooms = self.by_role.get(role, [])
        slots = sum(room.incarnation.max_running_count for room in rooms)
        asked = sum(
            room.busy_ratio * max(1, room.incarnation.max_running_count)
            for room in rooms
        )
        return (asked + waiting_count) / max(1, slots)
