"""Applies announcements of backend servers to the fleet's state.

Announcements may arrive late, out of order, and under a name or at an address that
another backend server has meanwhile. An incarnation is one run of a backend server.
"""

from cassiapitch import backends
from cassiapitch.announcements import Announcement
from cassiapitch.backends import Incarnation
from cassiapitch.fleet_state import FleetState
from cassiapitch.orders import Order


def apply_announcement(
    state: FleetState, announcement: Announcement, index: int
) -> None:
    """Takes over what a backend server announced, unless it is outdated.

    Args:
        state: The state.
        announcement: The announcement.
        index: Log index of the command.
    """
    if state.is_ended(announcement.life_id):
        return
    if not _end_earlier_at_address(state, announcement):
        return
    incarnation = state.lives.get(announcement.name)
    if incarnation is not None and incarnation.life_id != announcement.life_id:
        if 0 < announcement.started_ms < incarnation.started_ms:
            return
        # A backend server with the credential of one role must not replace a
        # running one of another role.
        is_other_role = incarnation.role != announcement.role
        if (
            is_other_role
            and incarnation.state != backends.DOWN
            and not announcement.started_ms
        ):
            return
        state.end_incarnation(incarnation, "replaced")
        incarnation = None
    if incarnation is None:
        incarnation = Incarnation(announcement.name, announcement.life_id)
        state.lives[announcement.name] = incarnation
    has_known_role = state.is_role_known(announcement.role)
    if not backends.apply_announcement(
        incarnation, announcement, is_role_known=has_known_role
    ):
        return
    incarnation.record_cold(is_cold=announcement.cold_remaining_ms > 0, index=index)
    state.set_fencing(incarnation)
    settled = {item.order_id: item.outcome for item in announcement.settled}
    ended_orders = incarnation.ledger.apply_report(
        backends.reported_items(announcement),
        settled,
        incarnation.fence(),
        fencing=incarnation.fencing,
    )
    ended_orders += _settle_observed_orders(state, incarnation)
    for order in ended_orders:
        del state.open_orders[order.order_id]
    state.update_derived(incarnation)


def _end_earlier_at_address(state: FleetState, announcement: Announcement) -> bool:
    """Ends earlier incarnations of other backend servers at the announced address.

    A heartbeat of a crashed incarnation may arrive after its address was assigned
    to another backend server.

    Returns:
        False if the announced incarnation itself is the earlier one and has to be
        ignored.
    """
    if not announcement.started_ms:
        return True
    address = (announcement.ip, announcement.port)
    incarnations_at_address = [
        incarnation
        for incarnation in state.lives.values()
        if (incarnation.ip, incarnation.port) == address
        and incarnation.life_id != announcement.life_id
    ]
    if any(
        incarnation.started_ms > announcement.started_ms
        for incarnation in incarnations_at_address
    ):
        return False
    for incarnation in incarnations_at_address:
        if incarnation.name != announcement.name:
            state.end_incarnation(incarnation, "replaced")
    return True


def _settle_observed_orders(state: FleetState, incarnation: Incarnation) -> list[Order]:
    """Settles accepted orders whose effect the last report shows.

    Used for roles whose announcements don't list settled orders.
    """
    role = state.catalog.roles.get(incarnation.role)
    if role is None or role.settles_orders:
        return []
    return incarnation.ledger.settle_observed()
