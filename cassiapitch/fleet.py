"""Replicated state of backend servers and orders.

`Fleet.apply` checks each order against the ledger, whoever proposed it, so that the
memory rules don't depend on what a controller knew when it decided.
"""

import dataclasses
from typing import Any

import msgspec

from cassiapitch import backends, fleet_view, model_load_times
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Bundle
from cassiapitch.fleet_catalog import BundleCatalog, from_bundle
from cassiapitch.fleet_commands import (
    FLEET_COMMANDS,
    BackendMark,
    BeginTerm,
    FleetResult,
    MarkBackends,
    NewOrder,
    OrderAnswer,
    OrderAttempt,
    RecordAnswers,
    RecordOrders,
    ReportBackends,
)
from cassiapitch.orders import (
    UNLOAD_KINDS,
    Order,
    is_adapter_key,
    model_key,
    name_of,
)
from cassiapitch.types import OrderKind, OrderOutcome, RoleKind
from cassiapitch.viewitems import (
    BackendItem,
)

__all__ = ["FLEET_COMMANDS", "Fleet"]

# Lives that ended are remembered, so that their late announcements are ignored.
ENDED_LIVES_COUNT = 8_192

MARK_EVENTS = frozenset({"silent", "refused", "expired", "forgotten", "replaced"})


@dataclasses.dataclass(slots=True)
class _State:
    """What a snapshot holds."""

    term: int = 0
    term_token: str = ""
    order_number: int = 0
    lives: dict[str, Incarnation] = dataclasses.field(default_factory=dict)
    ended: dict[str, None] = dataclasses.field(default_factory=dict)
    catalog: BundleCatalog = dataclasses.field(default_factory=BundleCatalog)


class Fleet:
    """Backend servers and orders; changed only by `apply` and `set_bundle`."""

    def __init__(self) -> None:
        self._state = _State()
        self._items: dict[str, BackendItem] = {}
        self._changes: dict[str, BackendItem | None] = {}
        self._open: dict[str, Order] = {}

    @property
    def term(self) -> int:
        """Controller term in force."""
        return self._state.term

    @property
    def term_token(self) -> str:
        """Token of the controller whose term is in force."""
        return self._state.term_token

    @property
    def lives(self) -> dict[str, Incarnation]:
        """Current life of each backend server, by name."""
        return self._state.lives

    @property
    def catalog(self) -> BundleCatalog:
        """What the bundle in force says."""
        return self._state.catalog

    @property
    def open_orders(self) -> dict[str, Order]:
        """Orders that are not settled, by id, in the order of their fences."""
        return self._open

    def is_ended(self, life_id: str) -> bool:
        """Tells whether a life is known to be over."""
        return life_id in self._state.ended

    def credentials(self) -> dict[str, str]:
        """Returns the digest of each role's credential."""
        return {
            name: role.credential_sha256 for name, role in self.catalog.roles.items()
        }

    def capacity_mib(self, incarnation: Incarnation) -> int:
        """Returns the memory that may be used on a backend server."""
        role = self.catalog.roles.get(incarnation.role)
        limit_mib = None if role is None else role.memory_limit_mib
        return (
            incarnation.memory_mib
            if limit_mib is None
            else min(incarnation.memory_mib, limit_mib)
        )

    def loads_in_flight_count(self, *, adapters: bool) -> int:
        """Returns how many open loads count against the store's limit.

        Those of a backend server that doesn't serve don't: a dead one would occupy
        the store until it is given up, when its models have to be loaded elsewhere.
        """
        kind = OrderKind.LOAD_ADAPTER if adapters else OrderKind.LOAD
        return sum(
            order.kind == kind
            and order.from_store
            and self.lives[order.backend].state == backends.SERVING
            for order in self._open.values()
        )

    def view_items(self) -> dict[str, BackendItem]:
        """Returns the view's items of all backend servers, by item name."""
        return dict(self._items)

    def pop_view_changes(self) -> dict[str, BackendItem | None]:
        """Returns the items that changed since the last call; None for gone ones.

        Saves the comparison of all items after each command.
        """
        changes, self._changes = self._changes, {}
        return changes

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        return msgspec.msgpack.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        gone = self._items.keys()
        self._state = msgspec.msgpack.decode(data, type=_State)
        self._items = {}
        self._changes = dict.fromkeys(gone)
        for incarnation in self.lives.values():
            self._refresh(incarnation)
        orders = [
            order
            for incarnation in self.lives.values()
            for order in incarnation.ledger.orders.values()
        ]
        orders.sort(key=lambda order: order.fence_number)
        self._open = {order.order_id: order for order in orders}

    def set_bundle(self, bundle: Bundle) -> None:
        """Brings a bundle into force."""
        self._state.catalog = from_bundle(bundle, self.catalog)
        for incarnation in self.lives.values():
            self._set_fencing(incarnation)
            if incarnation.state == backends.ANNOUNCED and self._is_role_known(
                incarnation.role
            ):
                incarnation.advance("accept")
            self._refresh(incarnation)

    def apply(self, command: Any, index: int, time_ms: int) -> FleetResult:
        """Applies one of `FLEET_COMMANDS`."""
        refused: list[str] = []
        if isinstance(command, BeginTerm):
            self._begin_term(command)
        elif isinstance(command, RecordAnswers):
            for answer in command.answers:
                self._answer(answer)
        elif command.term != self.term:
            refused.append(f"term {command.term} is over")
        elif isinstance(command, ReportBackends):
            for announcement in command.announcements:
                self._announce(announcement)
        elif isinstance(command, MarkBackends):
            for mark in command.marks:
                self._mark(mark)
        elif isinstance(command, RecordOrders):
            reasons = [self._record(order) for order in command.orders]
            refused.extend(reason for reason in reasons if reason is not None)
        else:
            for attempt in command.attempts:
                self._attempt(attempt)
        return FleetResult(self.term, tuple(refused))

    def _begin_term(self, command: BeginTerm) -> None:
        if command.token != self._state.term_token:
            self._state.term += 1
            self._state.term_token = command.token

    def _is_role_known(self, role: str) -> bool:
        return role in self.catalog.roles

    def _set_fencing(self, incarnation: Incarnation) -> None:
        role = self.catalog.roles.get(incarnation.role)
        if role is not None:
            incarnation.fencing = role.fencing

    def _announce(self, announcement: Announcement) -> None:
        if self.is_ended(announcement.life_id):
            return
        if not self._end_earlier_at(announcement):
            return
        incarnation = self.lives.get(announcement.name)
        if incarnation is not None and incarnation.life_id != announcement.life_id:
            if 0 < announcement.started_ms < incarnation.started_ms:
                return
            # A credential of one role must not displace another role's servers.
            is_other_role = incarnation.role != announcement.role
            if (
                is_other_role
                and incarnation.state != backends.DOWN
                and not announcement.started_ms
            ):
                return
            self._end_life(incarnation, "replaced")
            incarnation = None
        if incarnation is None:
            incarnation = Incarnation(announcement.name, announcement.life_id)
            self.lives[announcement.name] = incarnation
        is_known = self._is_role_known(announcement.role)
        if not backends.apply_announcement(
            incarnation, announcement, is_role_known=is_known
        ):
            return
        self._set_fencing(incarnation)
        settled = {item.order_id: item.outcome for item in announcement.settled}
        ended = incarnation.ledger.apply_report(
            backends.reported_items(announcement),
            settled,
            incarnation.fence(),
            fencing=incarnation.fencing,
        )
        ended += self._settle_observed(incarnation)
        for order in ended:
            del self._open[order.order_id]
        self._refresh(incarnation)

    def _end_earlier_at(self, announcement: Announcement) -> bool:
        """Ends earlier lives at an address; false if this one is the earlier one.

        A heartbeat of a crashed life may arrive after its address has been given to
        another backend server.
        """
        if not announcement.started_ms:
            return True
        place = (announcement.ip, announcement.port)
        others = [
            incarnation
            for incarnation in self.lives.values()
            if (incarnation.ip, incarnation.port) == place
            and incarnation.life_id != announcement.life_id
        ]
        if any(
            incarnation.started_ms > announcement.started_ms for incarnation in others
        ):
            return False
        for incarnation in others:
            if incarnation.name != announcement.name:
                self._end_life(incarnation, "replaced")
        return True

    def _settle_observed(self, incarnation: Incarnation) -> list[Order]:
        """Ends orders whose effect a report shows, where reports name no orders."""
        role = self.catalog.roles.get(incarnation.role)
        if role is None or role.settles_orders:
            return []
        return incarnation.ledger.settle_observed()

    def _end_life(self, incarnation: Incarnation, event: str) -> None:
        incarnation.advance(event)
        for order in incarnation.ledger.orders.values():
            order.advance("life_ended")
            del self._open[order.order_id]
        del self.lives[incarnation.name]
        self._state.ended[incarnation.life_id] = None
        while len(self._state.ended) > ENDED_LIVES_COUNT:
            del self._state.ended[next(iter(self._state.ended))]
        item_name = f"backend/{incarnation.name}"
        self._items.pop(item_name, None)
        self._changes[item_name] = None

    def _mark(self, mark: BackendMark) -> None:
        incarnation = self.lives.get(mark.name)
        if incarnation is None or incarnation.life_id != mark.life_id:
            return
        if mark.event not in MARK_EVENTS or not incarnation.allows(mark.event):
            return
        if mark.event in ("forgotten", "replaced"):
            self._end_life(incarnation, mark.event)
            return
        incarnation.advance(mark.event)
        self._refresh(incarnation)

    def _record(self, new: NewOrder) -> str | None:
        """Records an order; returns why it is refused, or None."""
        incarnation = self.lives.get(new.backend)
        if incarnation is None or incarnation.life_id != new.life_id:
            return f"{new.backend}: the life is over"
        if reason := self._fault(new, incarnation):
            return f"{new.backend}: {new.item}: {reason}"
        self._state.order_number += 1
        model = self.catalog.model_of(new.item)
        is_adapter = is_adapter_key(new.item)
        order = Order(
            order_id=f"o{self._state.order_number}",
            fence_term=self.term,
            fence_number=self._state.order_number,
            kind=new.kind,
            backend=incarnation.name,
            life_id=incarnation.life_id,
            key=new.item,
            model=model or ("" if is_adapter else name_of(new.item)),
            version=self.catalog.model_versions.get(model or "", 0),
            adapter=name_of(new.item) if is_adapter else "",
            memory_mib=self.catalog.memory_mib(new.item) or 0,
            attempt_term=self.term,
            from_store=is_adapter
            or not model_load_times.has_local_weights(incarnation, name_of(new.item)),
        )
        incarnation.ledger.orders[order.order_id] = order
        incarnation.order_steps_count += 1
        if order.is_load():
            incarnation.ledger.sizes[order.key] = order.memory_mib
        self._open[order.order_id] = order
        self._refresh(incarnation)
        return None

    def _fault(self, new: NewOrder, incarnation: Incarnation) -> str | None:
        """Returns why an order breaks a rule of the ledger, or None."""
        if incarnation.state != backends.SERVING:
            return f"the backend server is {incarnation.state}"
        if incarnation.ledger.open_order(new.item) is not None:
            return "another order is open"
        is_loaded = new.item in incarnation.ledger.reported
        if new.kind in UNLOAD_KINDS:
            # The unload of a load that may arrive late raises the fence above it.
            is_void = incarnation.fencing and new.item in incarnation.ledger.late
            return None if is_loaded or is_void else "it is not loaded"
        if is_loaded:
            return "it is loaded already"
        if self.catalog.role_of(new.item) != incarnation.role:
            return "it is not of this role"
        return self._limit_fault(new, incarnation)

    def _limit_fault(self, new: NewOrder, incarnation: Incarnation) -> str | None:
        is_adapter = is_adapter_key(new.item)
        store = self.catalog.store
        limit_count = (
            store.adapters_in_flight_count
            if is_adapter
            else store.loads_in_flight_count
        )
        is_from_store = is_adapter or not model_load_times.has_local_weights(
            incarnation, name_of(new.item)
        )
        in_flight_count = self.loads_in_flight_count(adapters=is_adapter)
        if is_from_store and in_flight_count >= limit_count:
            return "the weight store's limit is reached"
        if is_adapter and not self._is_usable(
            incarnation, model_key(self.catalog.model_of(new.item) or "")
        ):
            return "its model is not loaded"
        if is_adapter and not self.has_free_adapter_slot(incarnation):
            return "all adapter places are taken"
        needed_mib = self.catalog.memory_mib(new.item) or 0
        grown_mib = max(0, needed_mib - incarnation.ledger.late_mib(new.item))
        if incarnation.charged_mib + grown_mib > self.capacity_mib(incarnation):
            return "the memory doesn't suffice"
        return None

    def free_adapter_slots(self, incarnation: Incarnation) -> int | None:
        """Returns the adapter places left on an engine; None without a limit."""
        role = self.catalog.roles.get(incarnation.role)
        if role is None or not role.adapter_places_count:
            return None
        taken = [
            key for key in incarnation.ledger.charged_keys() if is_adapter_key(key)
        ]
        return role.adapter_places_count - len(taken)

    def has_free_adapter_slot(self, incarnation: Incarnation) -> bool:
        """Tells whether an engine can take one more adapter."""
        free_count = self.free_adapter_slots(incarnation)
        return free_count is None or free_count > 0

    def _attempt(self, attempt: OrderAttempt) -> None:
        order = self._open.get(attempt.order_id)
        if order is not None and attempt.attempt == order.attempt_count + 1:
            order.attempt_count = attempt.attempt
            order.attempt_term = self.term
            order.unanswered.append(attempt.attempt)
            self.lives[order.backend].order_steps_count += 1

    def _answer(self, answer: OrderAnswer) -> None:
        order = self._open.get(answer.order_id)
        incarnation = self.lives.get(answer.backend)
        if incarnation is None:
            return
        incarnation.order_steps_count += 1
        is_accepted = answer.answer == "accepted"
        incarnation.ledger.record_response(
            answer.order_id, answer.attempt, accepted=is_accepted
        )
        is_stale = answer.answer == "stale_fence" and incarnation.fencing
        if order is not None and is_stale and not order.accepted:
            incarnation.ledger.record_rejection(answer.order_id)
            del self._open[answer.order_id]
        role = self.catalog.roles.get(incarnation.role)
        is_taken = answer.answer in ("accepted", "done")
        if is_taken and role is not None and not role.settles_orders:
            # Each order states how many came before it, so that an earlier one that
            # is still under way is void once another was taken.
            incarnation.ledger.late.clear()
        if order is not None and answer.answer in ("done", "failed"):
            outcome = OrderOutcome(answer.answer)
            incarnation.ledger.settle_answered(answer.order_id, outcome)
            self._open.pop(answer.order_id, None)
        self._refresh(incarnation)

    def _is_usable(self, incarnation: Incarnation, key: str) -> bool:
        if key not in incarnation.ledger.reported:
            return False
        order = incarnation.ledger.open_order(key)
        return order is None or order.is_load()

    def _refresh(self, incarnation: Incarnation) -> None:
        """Recomputes what is derived from a life."""
        capacity_mib = self.capacity_mib(incarnation)
        incarnation.charged_mib = sum(
            incarnation.ledger.charge_mib(
                key, self.catalog.memory_mib(key) or capacity_mib
            )
            for key in incarnation.ledger.charged_keys()
        )
        item_name = f"backend/{incarnation.name}"
        item = fleet_view.backend_item(incarnation, self.catalog)
        if self._items.get(item_name) != item:
            self._items[item_name] = item
            self._changes[item_name] = item

    def usable_keys(self, incarnation: Incarnation) -> list[str]:
        """Returns what is loaded, stays loaded and belongs to the bundle."""
        return fleet_view.usable_keys(incarnation, self.catalog)

    def is_engine(self, incarnation: Incarnation) -> bool:
        """Tells whether placement may load models on a backend server."""
        role = self.catalog.roles.get(incarnation.role)
        return role is not None and role.kind == RoleKind.ENGINE
