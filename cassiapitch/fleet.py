"""Replicated state machine of backend servers and of orders to them.

`Fleet.apply` applies one command of the log. What announcements and orders change is
decided by `fleet_announcements` and `fleet_orders`; the commands are in
`fleet_commands`.
"""

from typing import Any

from cassiapitch import (
    backend_limits,
    backends,
    fleet_announcements,
    fleet_orders,
    fleet_view,
)
from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Bundle
from cassiapitch.fleet_catalog import BundleCatalog, from_bundle
from cassiapitch.fleet_commands import (
    BackendMark,
    BeginTerm,
    FleetResult,
    LimitRecorded,
    MarkBackends,
    RecordAnswers,
    RecordBackendLimit,
    RecordOrders,
    ReportBackends,
    SetZoneDrain,
    ZoneDrainSet,
)
from cassiapitch.fleet_state import FleetState
from cassiapitch.orders import Order
from cassiapitch.types import RoleKind
from cassiapitch.viewitems import BackendItem, BackendLimit

MARK_EVENTS = frozenset({"silent", "refused", "expired", "forgotten", "replaced"})


class Fleet:
    """Backend servers and orders.

    Changed only by `apply`, `set_bundle` and `restore`. An incarnation is one run of a
    backend server, identified by its `life_id`.
    """

    def __init__(self) -> None:
        self._state = FleetState()

    @property
    def term(self) -> int:
        """Current controller term."""
        return self._state.replicated.term

    @property
    def term_token(self) -> str:
        """Token of the controller that began the current term."""
        return self._state.replicated.term_token

    @property
    def lives(self) -> dict[str, Incarnation]:
        """Current incarnation of each backend server, by name."""
        return self._state.replicated.lives

    @property
    def catalog(self) -> BundleCatalog:
        """Roles, models, adapters and limits of the bundle in force."""
        return self._state.replicated.catalog

    @property
    def open_orders(self) -> dict[str, Order]:
        """Orders that are not settled, by id, sorted by fencing token."""
        return self._state.open_orders

    @property
    def drained_zones(self) -> dict[str, int]:
        """Zones that get no requests, with the log index of the order."""
        return self._state.drained_zones

    def is_drained(self, incarnation: Incarnation) -> bool:
        """Returns whether the zone of a backend server is drained."""
        return self._state.is_drained(incarnation)

    def zones(self) -> set[str]:
        """Returns the zones of the backend servers."""
        return {incarnation.zone for incarnation in self.lives.values()}

    def backend_limit(self, name: str, life_id: str) -> BackendLimit | None:
        """Returns the limit on requests to an incarnation, or None if it has none."""
        incarnation = self.lives.get(name)
        if incarnation is None or incarnation.life_id != life_id:
            return None
        return fleet_view.request_limit(incarnation, self.catalog)

    def is_ended(self, life_id: str) -> bool:
        """Returns whether an incarnation is known to have ended."""
        return self._state.is_ended(life_id)

    def credentials(self) -> dict[str, str]:
        """Returns the SHA-256 digest of each role's credential, by role."""
        return {
            name: role.credential_sha256 for name, role in self.catalog.roles.items()
        }

    def capacity_mib(self, incarnation: Incarnation) -> int:
        """Returns the memory that may be used on a backend server."""
        return self._state.capacity_mib(incarnation)

    def loads_in_flight_count(self, *, adapters: bool) -> int:
        """Returns how many open loads count against the weight store's limit."""
        return fleet_orders.loads_in_flight_count(self._state, adapters=adapters)

    def free_adapter_slots(self, incarnation: Incarnation) -> int | None:
        """Returns the number of free adapter slots of an engine; None if unlimited."""
        return fleet_orders.free_adapter_slots(self._state, incarnation)

    def has_free_adapter_slot(self, incarnation: Incarnation) -> bool:
        """Returns whether an engine has a free adapter slot."""
        return fleet_orders.has_free_adapter_slot(self._state, incarnation)

    def view_items(self) -> dict[str, BackendItem]:
        """Returns the view items of all backend servers, by item name."""
        return dict(self._state.view_items)

    def pop_view_changes(self) -> dict[str, BackendItem | None]:
        """Returns the view items that changed since the last call, and clears them.

        The value is None for a removed item. Spares callers from comparing all items
        after each command.
        """
        changes, self._state.view_changes = self._state.view_changes, {}
        return changes

    def snapshot(self) -> bytes:
        """Returns the whole state as MessagePack."""
        return self._state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""
        self._state.restore(data)

    def set_bundle(self, bundle: Bundle) -> None:
        """Replaces the bundle in force."""
        self._state.replicated.catalog = from_bundle(bundle, self.catalog)
        for incarnation in self.lives.values():
            self._state.set_fencing(incarnation)
            if incarnation.state == backends.ANNOUNCED and self._state.is_role_known(
                incarnation.role
            ):
                incarnation.advance("accept")
            self._state.update_derived(incarnation)

    def apply(
        self, command: Any, index: int, time_ms: int
    ) -> FleetResult | LimitRecorded | ZoneDrainSet:
        """Applies one of `fleet_commands.FLEET_COMMANDS`.

        Args:
            command: The command.
            index: Its log index.
            time_ms: Its time; not used.
        """
        if isinstance(command, SetZoneDrain):
            self._set_zone_drain(command, index)
            return ZoneDrainSet(index)
        if isinstance(command, RecordBackendLimit):
            self._apply_limit(command, index)
            return LimitRecorded(index)
        refused: list[str] = []
        if isinstance(command, BeginTerm):
            self._begin_term(command)
        elif isinstance(command, RecordAnswers):
            for answer in command.answers:
                fleet_orders.apply_answer(self._state, answer)
        elif command.term != self.term:
            refused.append(f"term {command.term} is over")
        elif isinstance(command, ReportBackends):
            for announcement in command.announcements:
                fleet_announcements.apply_announcement(self._state, announcement, index)
        elif isinstance(command, MarkBackends):
            for mark in command.marks:
                self._apply_mark(mark)
        elif isinstance(command, RecordOrders):
            reasons = [
                fleet_orders.record_order(self._state, order)
                for order in command.orders
            ]
            refused.extend(reason for reason in reasons if reason is not None)
        else:
            for attempt in command.attempts:
                fleet_orders.apply_attempt(self._state, attempt)
        return FleetResult(self.term, tuple(refused))

    def _begin_term(self, command: BeginTerm) -> None:
        if command.token != self.term_token:
            self._state.replicated.term += 1
            self._state.replicated.term_token = command.token

    def _apply_mark(self, mark: BackendMark) -> None:
        incarnation = self.lives.get(mark.name)
        if incarnation is None or incarnation.life_id != mark.life_id:
            return
        if mark.event not in MARK_EVENTS or not incarnation.allows(mark.event):
            return
        if mark.event in ("forgotten", "replaced"):
            self._state.end_incarnation(incarnation, mark.event)
            return
        incarnation.advance(mark.event)
        self._state.update_derived(incarnation)

    def _apply_limit(self, command: RecordBackendLimit, index: int) -> None:
        incarnation = self.lives.get(command.name)
        if incarnation is None or incarnation.life_id != command.life_id:
            return
        incarnation.limit = backend_limits.limit_after(
            incarnation.limit, command, index
        )
        self._state.update_derived(incarnation)

    def _set_zone_drain(self, command: SetZoneDrain, index: int) -> None:
        if command.is_drained:
            self.drained_zones.setdefault(command.zone, index)
        elif self.drained_zones.pop(command.zone, None) is not None:
            self._assume_cold(command.zone, index)
        for incarnation in self.lives.values():
            if incarnation.zone == command.zone:
                self._state.update_derived(incarnation)

    def _assume_cold(self, zone: str, index: int) -> None:
        """Counts the backend servers of a zone as cold; call it after a drain's end.

        Without requests they may have become cold, and their next announcement tells.
        """
        for incarnation in self.lives.values():
            role = self.catalog.roles.get(incarnation.role)
            if incarnation.zone != zone or role is None:
                continue
            if role.cold_requests_per_s:
                incarnation.assume_cold(index)
                self._state.update_derived(incarnation)

    def usable_keys(self, incarnation: Incarnation) -> list[str]:
        """Returns the ledger keys that requests may use on a backend server.

        They are reported as loaded, have no open unload and belong to its role in the
        bundle.
        """
        return fleet_view.usable_keys(incarnation, self.catalog)

    def is_engine(self, incarnation: Incarnation) -> bool:
        """Returns whether placement may load models on a backend server."""
        role = self.catalog.roles.get(incarnation.role)
        return role is not None and role.kind == RoleKind.ENGINE
