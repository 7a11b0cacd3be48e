"""Target number of copies of each model, derived from demand."""

import math
from collections.abc import Mapping

from cassiapitch.backlog_relief import NeededCopies
from cassiapitch.orders import model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import Survey

# Share of the slots that requests should use; the rest absorbs bursts.
TARGET_USAGE = 0.6


def target_copies(
    state: PlacementState,
    survey: Survey,
    needed_copies: Mapping[str, NeededCopies],
    now_ms: int,
) -> dict[str, float]:
    """Returns the target number of copies by ledger key of the model.

    A role's requests need as many engines as keep slot usage at the target; each model
    gets a share of them in proportion to its demand for tokens, weighted by rank.
    Roles that fill their memory are divided by `_copies_filling_memory` instead.

    Args:
        state: State of the placement policy.
        survey: Engines and copies.
        needed_copies: Copies that models need for their backlog, by ledger key.
        now_ms: The current time.
    """
    rates = {
        name: state.demand.weighted_rate(model_key(name), now_ms)
        for name in state.fleet.catalog.models
    }
    total_rates: dict[str, float] = {}
    for name, model in state.fleet.catalog.models.items():
        total_rates[model.role] = total_rates.get(model.role, 0.0) + rates[name]
    waiting_count = state.demand.waiting_count(now_ms)
    needed_engines = {
        role: len(survey.engines_by_role.get(role, ()))
        * min(1.0, survey.slot_usage(role, waiting_count) / TARGET_USAGE)
        for role in total_rates
    }
    target_counts: dict[str, float] = {}
    for role in total_rates:
        role_item = state.fleet.catalog.roles.get(role)
        if role_item is not None and role_item.fills_memory:
            target_counts.update(
                _copies_filling_memory(state, survey, role, rates, needed_copies)
            )
    by_slot_usage = {
        model_key(name): rates[name]
        / total_rates[model.role]
        * needed_engines[model.role]
        for name, model in state.fleet.catalog.models.items()
        if total_rates[model.role] > 0 and model_key(name) not in target_counts
    }
    return {**by_slot_usage, **target_counts}


def _copies_filling_memory(
    state: PlacementState,
    survey: Survey,
    role: str,
    rates: dict[str, float],
    needed_copies: Mapping[str, NeededCopies],
) -> dict[str, float]:
    """Returns target copies of a role's models that together fill its engines' memory.

    With long prompts, prefill uses up an engine's time long before its slots are in
    use, so slot usage is no measure. Copies are in proportion to the square root of the
    demand for tokens: in proportion to the demand itself, a few models would take all
    memory, and each of the many others would be loaded and unloaded again for every
    request. A model whose engines have a backlog may get more, see `backlog_relief`.
    """
    fitting_count = survey.model_slots_count(role)
    roots = {
        name: math.sqrt(rates[name])
        for name, model in state.fleet.catalog.models.items()
        if model.role == role
    }
    total_root = sum(roots.values())
    if not total_root:
        return {}
    targets = {
        model_key(name): root / total_root * fitting_count
        for name, root in roots.items()
    }
    for key in targets:
        if key in needed_copies:
            targets[key] = max(targets[key], needed_copies[key].most)
    return targets
