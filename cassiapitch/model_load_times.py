"""How long an engine takes to load a model, and whether the weight store serves it.

Answers models that are asked for now and then on engines that held them before: their
weights are still on the engine's disk or in its host's memory. Such a load takes a
fraction of the time and does not count against the store's limits.
"""

from collections.abc import Iterable

from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Model
from cassiapitch.orders import Order


def has_local_weights(incarnation: Incarnation, name: str) -> bool:
    """Tells whether an engine has a model's weights without the weight store.

    A load that is under way may evict them, so nothing counts as at hand until the
    report that follows it.
    """
    if name not in incarnation.warm_models and name not in incarnation.disk_models:
        return False
    return not any(
        order.is_load() and not order.adapter
        for order in incarnation.ledger.orders.values()
    )


def load_ms(model: Model, incarnation: Incarnation) -> int:
    """Returns the time of a load at an engine; 0 if unknown."""
    if not has_local_weights(incarnation, model.name):
        return model.load_ms
    if model.name in incarnation.warm_models:
        return model.warm_load_ms or model.load_ms
    return model.disk_load_ms or model.load_ms


def order_ms(model: Model, order: Order) -> int:
    """Returns the time of a load that was ordered; 0 if unknown."""
    return model.load_ms if order.from_store else reload_ms(model)


def shortest_load_ms(model: Model, lives: Iterable[Incarnation]) -> int:
    """Returns the time of a load at the engine that is quickest; 0 if unknown."""
    return min(
        (load_ms(model, incarnation) for incarnation in lives), default=model.load_ms
    )


def reload_ms(model: Model) -> int:
    """Returns the time of loading a model again where it has been; 0 if unknown."""
    return model.disk_load_ms or model.load_ms
