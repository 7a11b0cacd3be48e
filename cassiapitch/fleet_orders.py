"""Decides which orders to engines may be recorded, and applies their responses.

Every new order is checked against the memory ledger of its engine, so the memory limits
hold even if a controller decided from outdated state.
"""

from cassiapitch import backends, model_load_times
from cassiapitch.backends import Incarnation
from cassiapitch.fleet_commands import NewOrder, OrderAnswer, OrderAttempt
from cassiapitch.fleet_state import FleetState
from cassiapitch.orders import (
    UNLOAD_KINDS,
    Order,
    is_adapter_key,
    model_key,
    name_of,
)
from cassiapitch.types import OrderKind, OrderOutcome


def record_order(state: FleetState, new_order: NewOrder) -> str | None:
    """Records an order; returns the reason if it is refused, or None."""
    incarnation = state.lives.get(new_order.backend)
    if incarnation is None or incarnation.life_id != new_order.life_id:
        return f"{new_order.backend}: the life is over"
    if reason := _order_fault(state, new_order, incarnation):
        return f"{new_order.backend}: {new_order.item}: {reason}"
    state.replicated.order_number += 1
    model = state.catalog.model_of(new_order.item)
    is_adapter = is_adapter_key(new_order.item)
    order = Order(
        order_id=f"o{state.replicated.order_number}",
        fence_term=state.replicated.term,
        fence_number=state.replicated.order_number,
        kind=new_order.kind,
        backend=incarnation.name,
        life_id=incarnation.life_id,
        key=new_order.item,
        model=model or ("" if is_adapter else name_of(new_order.item)),
        version=state.catalog.model_versions.get(model or "", 0),
        adapter=name_of(new_order.item) if is_adapter else "",
        memory_mib=state.catalog.memory_mib(new_order.item) or 0,
        attempt_term=state.replicated.term,
        from_store=is_adapter
        or not model_load_times.has_local_weights(incarnation, name_of(new_order.item)),
    )
    incarnation.ledger.orders[order.order_id] = order
    incarnation.order_steps_count += 1
    if order.is_load():
        incarnation.ledger.sizes[order.key] = order.memory_mib
    state.open_orders[order.order_id] = order
    state.update_derived(incarnation)
    return None


def apply_attempt(state: FleetState, attempt: OrderAttempt) -> None:
    """Records that an open order is about to be sent once more."""
    order = state.open_orders.get(attempt.order_id)
    if order is not None and attempt.attempt == order.attempt_count + 1:
        order.attempt_count = attempt.attempt
        order.attempt_term = state.replicated.term
        order.unanswered.append(attempt.attempt)
        state.lives[order.backend].order_steps_count += 1


def apply_answer(state: FleetState, answer: OrderAnswer) -> None:
    """Applies a backend server's response to an attempt."""
    order = state.open_orders.get(answer.order_id)
    incarnation = state.lives.get(answer.backend)
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
        del state.open_orders[answer.order_id]
    role = state.catalog.roles.get(incarnation.role)
    was_accepted = answer.answer in ("accepted", "done")
    if was_accepted and role is not None and not role.settles_orders:
        # For these roles each order carries the number of orders before it, so an
        # earlier attempt that is still in transit is rejected once a later order
        # was accepted.
        incarnation.ledger.late.clear()
    if order is not None and answer.answer in ("done", "failed"):
        outcome = OrderOutcome(answer.answer)
        incarnation.ledger.settle_answered(answer.order_id, outcome)
        state.open_orders.pop(answer.order_id, None)
    state.update_derived(incarnation)


def loads_in_flight_count(state: FleetState, *, adapters: bool) -> int:
    """Returns how many open loads count against the weight store's limit.

    Loads on a backend server that isn't serving don't count: otherwise a crashed
    one would use up the limit until it is given up, just when its models have to
    be loaded elsewhere.
    """
    kind = OrderKind.LOAD_ADAPTER if adapters else OrderKind.LOAD
    return sum(
        order.kind == kind
        and order.from_store
        and state.lives[order.backend].state == backends.SERVING
        for order in state.open_orders.values()
    )


def free_adapter_slots(state: FleetState, incarnation: Incarnation) -> int | None:
    """Returns the number of free adapter slots of an engine; None if unlimited."""
    role = state.catalog.roles.get(incarnation.role)
    if role is None or not role.adapter_places_count:
        return None
    return role.adapter_places_count - incarnation.ledger.adapters_count()


def has_free_adapter_slot(state: FleetState, incarnation: Incarnation) -> bool:
    """Returns whether an engine has a free adapter slot."""
    free_count = free_adapter_slots(state, incarnation)
    return free_count is None or free_count > 0


def _order_fault(
    state: FleetState, new_order: NewOrder, incarnation: Incarnation
) -> str | None:
    """Returns the reason why an order may not be recorded, or None."""
    if incarnation.state != backends.SERVING:
        return f"the backend server is {incarnation.state}"
    if incarnation.ledger.open_order(new_order.item) is not None:
        return "another order is open"
    is_loaded = new_order.item in incarnation.ledger.reported
    if new_order.kind in UNLOAD_KINDS:
        # A late attempt of a settled load may still load the item. An unload raises
        # the engine's fence above that attempt and so makes it void.
        voids_late_load = (
            incarnation.fencing and new_order.item in incarnation.ledger.late
        )
        return None if is_loaded or voids_late_load else "it is not loaded"
    if state.is_drained(incarnation):
        return "its zone is drained"
    if is_loaded:
        return "it is loaded already"
    if state.catalog.role_of(new_order.item) != incarnation.role:
        return "it is not of this role"
    return _limit_fault(state, new_order, incarnation)


def _limit_fault(
    state: FleetState, new_order: NewOrder, incarnation: Incarnation
) -> str | None:
    """Returns the limit that a load would exceed, or None."""
    is_adapter = is_adapter_key(new_order.item)
    store = state.catalog.store
    limit_count = (
        store.adapters_in_flight_count if is_adapter else store.loads_in_flight_count
    )
    is_from_store = is_adapter or not model_load_times.has_local_weights(
        incarnation, name_of(new_order.item)
    )
    in_flight_count = loads_in_flight_count(state, adapters=is_adapter)
    if is_from_store and in_flight_count >= limit_count:
        return "the weight store's limit is reached"
    if is_adapter and not incarnation.ledger.is_usable(
        model_key(state.catalog.model_of(new_order.item) or "")
    ):
        return "its model is not loaded"
    if is_adapter and not has_free_adapter_slot(state, incarnation):
        return "all adapter places are taken"
    needed_mib = state.catalog.memory_mib(new_order.item) or 0
    additional_mib = max(0, needed_mib - incarnation.ledger.late_mib(new_order.item))
    if incarnation.charged_mib + additional_mib > state.capacity_mib(incarnation):
        return "the memory doesn't suffice"
    return None
