"""Order in which models and adapters that requests wait for are loaded."""

import itertools

from cassiapitch.engine_selector import EngineSelector
from cassiapitch.orders import is_adapter_key
from cassiapitch.placement_state import PlacementState


def waiting_in_order(
    state: PlacementState, engines: EngineSelector, now_ms: int
) -> list[tuple[int, str]]:
    """Returns (time of first request, key) of what is to be loaded, in order.

    The oldest goes first, with a head start for urgent requests, so that every
    model gets its turn. Adapters whose model serves come before models: they load
    in milliseconds, but only while their engine has no order of a model. Where
    copies fill the memory by demand, what is due a turn and what has the most
    demand take turns, so that neither waits behind an endless queue of the other,
    and what was never served has its turn first; what no request waits for any more
    is left out unless it is due a turn.
    """
    demand = state.demand
    adapters, others, by_turn, by_demand = [], [], [], []
    for requested_ms, key in sorted(
        demand.waiting(), key=lambda item: demand.urgency_ms(item[1], item[0])
    ):
        if not state.fleet.catalog.fills_memory(key):
            others.append((requested_ms, key))
            continue
        due_ms = demand.unserved.due_ms(key, now_ms)
        is_waited_for = demand.is_waited_for(key, now_ms)
        if due_ms is None and not is_waited_for:
            continue
        item = (requested_ms, key)
        if is_adapter_key(key) and engines.candidates(key):
            adapters.append(item)
            continue
        if due_ms is not None:
            # Many keys that were served before may be due, each for longer.
            was_served = demand.unserved.was_served(key)
            by_turn.append((was_served, -due_ms, item))
        if is_waited_for:
            by_demand.append((-demand.weighted_rate(key, now_ms), item))
    by_turn.sort()
    by_demand.sort()
    first, second = (
        (by_turn, by_demand) if state.loads_count % 2 else (by_demand, by_turn)
    )
    alternating = [
        item
        for pair in itertools.zip_longest(first, second)
        for *_, item in filter(None, pair)
    ]
    return list(dict.fromkeys(adapters + others + alternating))
