"""How many copies of each model the demand is worth."""

import math

from cassiapitch.orders import model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.rooms import Survey

# Share of the slots that requests should take; the rest absorbs bursts.
TARGET_USAGE = 0.6


def wanted_copies(
    state: PlacementState, survey: Survey, now_ms: int
) -> dict[str, float]:
    """Returns how many copies each model's demand is worth.

    A role's demand needs as many engines as its requests fill to the target; each
    model gets its share of them by tokens asked for.
    """
    rates = {
        name: state.demand.rate(model_key(name), now_ms)
        for name in state.fleet.catalog.models
    }
    totals: dict[str, float] = {}
    for name, model in state.fleet.catalog.models.items():
        totals[model.role] = totals.get(model.role, 0.0) + rates[name]
    waiting_count = state.demand.waiting_count(now_ms)
    engines = {
        role: len(survey.by_role.get(role, ()))
        * min(1.0, survey.usage(role, waiting_count) / TARGET_USAGE)
        for role in totals
    }
    wanted: dict[str, float] = {}
    for role in totals:
        item = state.fleet.catalog.roles.get(role)
        if item is not None and item.fills_memory:
            wanted.update(_share_memory(state, survey, role, rates))
    others = {
        model_key(name): rates[name] / totals[model.role] * engines[model.role]
        for name, model in state.fleet.catalog.models.items()
        if totals[model.role] > 0 and model_key(name) not in wanted
    }
    return {**others, **wanted}


def _share_memory(
    state: PlacementState, survey: Survey, role: str, rates: dict[str, float]
) -> dict[str, float]:
    """Returns the copies of a role's models that fill its engines' memory.

    Answers the load of long prompts: reading them takes an engine's time long before
    its slots are taken. Copies follow the square root of the demand for tokens: in
    proportion to it a few models would take all the room, and each of the many others
    would be loaded and displaced again for every request.
    """
    fitting_count = _copies_that_fit(state, survey, role)
    roots = {
        name: math.sqrt(rates[name])
        for name, model in state.fleet.catalog.models.items()
        if model.role == role
    }
    total = sum(roots.values())
    if not total:
        return {}
    return {
        model_key(name): root / total * fitting_count for name, root in roots.items()
    }


def _copies_that_fit(state: PlacementState, survey: Survey, role: str) -> float:
    """Returns how many copies of a usual size a role's engines hold together."""
    sizes = sorted(
        model.memory_mib
        for model in state.fleet.catalog.models.values()
        if model.role == role
    )
    if not sizes:
        return 0.0
    usual_mib = sizes[len(sizes) // 2]
    rooms = survey.by_role.get(role, ())
    return float(sum(room.capacity_mib // usual_mib for room in rooms))
