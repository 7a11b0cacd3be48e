"""Time that an engine takes to load a model, and whether it needs the weight store.

The weights of a model that an engine held before may still be on the engine's disk or
in its host's memory. Loading it again takes a fraction of the time and does not count
against the weight store's limits. This helps models with occasional requests.
"""

from collections.abc import Iterable

from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Model
from cassiapitch.orders import Order


def has_local_weights(incarnation: Incarnation, name: str) -> bool:
    """Tells whether an engine can load a model without the weight store.

    While a model is being loaded, this is False for all models: the load may evict
    cached weights, and only the engine's next report shows what is left.
    """
    if name not in incarnation.warm_models and name not in incarnation.disk_models:
        return False
    return not any(
        order.is_load() and not order.adapter
        for order in incarnation.ledger.orders.values()
    )


def load_ms(model: Model, incarnation: Incarnation) -> int:
    """Returns the time that a load takes at an engine; 0 if unknown."""
    if not has_local_weights(incarnation, model.name):
        return model.load_ms
    if model.name in incarnation.warm_models:
        return model.warm_load_ms or model.load_ms
    return model.disk_load_ms or model.load_ms


def ordered_load_ms(model: Model, order: Order) -> int:
    """Returns the time that an ordered load takes; 0 if unknown."""
    return model.load_ms if order.from_store else reload_ms(model)


def shortest_load_ms(model: Model, incarnations: Iterable[Incarnation]) -> int:
    """Returns the time that a load takes at the fastest engine; 0 if unknown."""
    return min(
        (load_ms(model, incarnation) for incarnation in incarnations),
        default=model.load_ms,
    )


def reload_ms(model: Model) -> int:
    """Returns the time to load a model again on the same engine; 0 if unknown."""
    return model.disk_load_ms or model.load_ms
