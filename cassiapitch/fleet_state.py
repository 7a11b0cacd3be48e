"""State of backend servers and orders, and what is derived from it."""

import dataclasses

import msgspec

from cassiapitch import fleet_view
from cassiapitch.backends import Incarnation
from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.orders import Order
from cassiapitch.viewitems import BackendItem

# Ids of ended incarnations are kept, so that their late announcements are ignored.
ENDED_LIVES_LIMIT_COUNT = 8_192


@dataclasses.dataclass(slots=True)
class ReplicatedState:
    """The part of the state that is written to snapshots; the rest is derived.

    Snapshots of earlier builds lack `drained_zones`, which holds the log index of the
    order that drained each zone.
    """

    term: int = 0
    term_token: str = ""
    order_number: int = 0
    lives: dict[str, Incarnation] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    catalog: BundleCatalog = dataclasses.field(default_factory=BundleCatalog)
    drained_zones: dict[str, int] = dataclasses.field(default_factory=dict)


class FleetState:
    """Backend servers and orders, and the operations that keep derived state in step.

    Attributes:
        replicated: The part that is written to snapshots.
        open_orders: Orders that are not settled, by id, sorted by fencing token.
        view_items: View items of all backend servers, by item name.
        view_changes: Those that changed since they were last taken; None for a
            removed one.
    """

    def __init__(self) -> None:
        self.replicated = ReplicatedState()
        self.open_orders: dict[str, Order] = {}
        self.view_items: dict[str, BackendItem] = {}
        self.view_changes: dict[str, BackendItem | None] = {}

    @property
    def lives(self) -> dict[str, Incarnation]:
        """Current incarnation of each backend server, by name."""
        return self.replicated.lives

    @property
    def catalog(self) -> BundleCatalog:
        """Roles, models, adapters and limits of the bundle in force."""
        return self.replicated.catalog

    @property
    def drained_zones(self) -> dict[str, int]:
        """Zones that get no requests, with the log index of the order."""
        return self.replicated.drained_zones

    def is_drained(self, incarnation: Incarnation) -> bool:
        """Returns whether the zone of a backend server is drained."""
        return incarnation.zone in self.drained_zones

    def is_ended(self, life_id: str) -> bool:
        """Returns whether an incarnation is known to have ended."""
        return life_id in self.replicated.ended

    def is_role_known(self, role: str) -> bool:
        """Returns whether the bundle in force has a role."""
        return role in self.catalog.roles

    def capacity_mib(self, incarnation: Incarnation) -> int:
        """Returns the memory that may be used on a backend server.

        This is the announced memory, or the limit of the role if that is smaller.
        """
        role = self.catalog.roles.get(incarnation.role)
        limit_mib = None if role is None else role.memory_limit_mib
        return (
            incarnation.memory_mib
            if limit_mib is None
            else min(incarnation.memory_mib, limit_mib)
        )

    def snapshot(self) -> bytes:
        """Returns the whole state as MessagePack."""
        return msgspec.msgpack.encode(self.replicated)

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""
        removed_names = self.view_items.keys()
        self.replicated = msgspec.msgpack.decode(data, type=ReplicatedState)
        self.view_items = {}
        self.view_changes = dict.fromkeys(removed_names)
        for incarnation in self.lives.values():
            self.update_derived(incarnation)
        orders = [
            order
            for incarnation in self.lives.values()
            for order in incarnation.ledger.orders.values()
        ]
        orders.sort(key=lambda order: order.fence_number)
        self.open_orders = {order.order_id: order for order in orders}

    def set_fencing(self, incarnation: Incarnation) -> None:
        """Takes over from the bundle whether an engine checks fencing tokens."""
        role = self.catalog.roles.get(incarnation.role)
        if role is not None:
            incarnation.fencing = role.fencing

    def end_incarnation(self, incarnation: Incarnation, event: str) -> None:
        """Removes an incarnation together with its orders and its view item.

        Args:
            incarnation: The incarnation.
            event: Event of the life cycle that ends it.
        """
        incarnation.advance(event)
        for order in incarnation.ledger.orders.values():
            order.advance("life_ended")
            del self.open_orders[order.order_id]
        del self.lives[incarnation.name]
        self.replicated.ended[incarnation.life_id] = None
        while len(self.replicated.ended) > ENDED_LIVES_LIMIT_COUNT:
            del self.replicated.ended[next(iter(self.replicated.ended))]
        item_name = f"backend/{incarnation.name}"
        self.view_items.pop(item_name, None)
        self.view_changes[item_name] = None

    def update_derived(self, incarnation: Incarnation) -> None:
        """Recomputes the charged memory and the view item of an incarnation."""
        capacity_mib = self.capacity_mib(incarnation)
        incarnation.charged_mib = sum(
            incarnation.ledger.charge_mib(
                key, self.catalog.memory_mib(key) or capacity_mib
            )
            for key in incarnation.ledger.charged_keys()
        )
        item_name = f"backend/{incarnation.name}"
        item = fleet_view.backend_item(
            incarnation, self.catalog, is_drained=self.is_drained(incarnation)
        )
        if self.view_items.get(item_name) != item:
            self.view_items[item_name] = item
            self.view_changes[item_name] = item
