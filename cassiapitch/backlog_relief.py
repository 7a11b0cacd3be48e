"""Further copies of models whose engines have a backlog of prompts.

By demand alone, copies of roles that fill their memory are shared out in proportion to
the square root of demand, which is slow to follow a model that becomes busy: with 30
engines and 131 models, the engines of the busiest model had 2 to 5 s of prompts
waiting while half of the others were idle. The backlog of its engines shows at once
that a model needs more of them.
"""

import dataclasses

from cassiapitch.orders import model_key
from cassiapitch.placement_state import PlacementState
from cassiapitch.survey import EngineState, Survey

# Backlog of prompt tokens from which an engine counts as saturated: one long prompt
# waits on average.
SATURATED_BACKLOG_TOKENS = 2_500.0

# Backlog at which a model gets twice the copies that its demand calls for: about half a
# second of prompts, half of the usual objective for first tokens.
DOUBLING_BACKLOG_TOKENS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class NeededCopies:
    """Copies that a model with a backlog needs.

    Attributes:
        by_demand: As many as let each take as much as an engine does on average. They
            are loaded at the same time.
        most: Up to twice as many as by average demand, by the size of the backlog.
            Those beyond `by_demand` are loaded one after the other.
    """

    by_demand: float
    most: float


def mean_backlog_tokens(state: PlacementState, survey: Survey, key: str) -> float:
    """Returns the mean of the prompt tokens that wait at the engines of a model."""
    copies = survey.copies.get(key, ())
    backlogs = [state.backlogs.get(copy.life_id, 0.0) for copy in copies]
    return sum(backlogs) / max(1, len(backlogs))


def needed_by_model(
    state: PlacementState, survey: Survey, now_ms: int
) -> dict[str, NeededCopies]:
    """Returns what models need for their backlog, by ledger key.

    Covers models with a backlog in roles that fill their memory. Where loads are short,
    the demand of the last seconds counts, too: a model that has just become busy has
    little on average.
    """
    keys_by_role: dict[str, list[str]] = {}
    for name, model in state.fleet.catalog.models.items():
        role = state.fleet.catalog.roles.get(model.role)
        if state.relieves_backlogs and role is not None and role.fills_memory:
            keys_by_role.setdefault(model.role, []).append(model_key(name))
    needed: dict[str, NeededCopies] = {}
    for keys in keys_by_role.values():
        shares = _shares({key: state.demand.weighted_rate(key, now_ms) for key in keys})
        recent_shares: dict[str, float] = {}
        if state.starts_further_loads:
            recent_shares = _shares(
                {key: state.demand.recent_rate(key, now_ms) for key in keys}
            )
        for key in keys:
            recent_share = recent_shares.get(key, 0.0)
            copies = needed_copies(state, survey, key, shares[key], recent_share)
            if copies is not None:
                needed[key] = copies
    return needed


def _shares(rates: dict[str, float]) -> dict[str, float]:
    """Returns each model's part of all demand; 0 without demand."""
    total_rate = sum(rates.values())
    return {
        key: rate / total_rate if total_rate else 0.0 for key, rate in rates.items()
    }


def needed_copies(
    state: PlacementState,
    survey: Survey,
    key: str,
    demand_share: float,
    recent_share: float = 0.0,
) -> NeededCopies | None:
    """Returns the copies that a model needs for its backlog; None without a backlog.

    Args:
        state: State of the placement policy.
        survey: Engines and copies.
        key: Ledger key of the model.
        demand_share: Its part of the average demand for the models of its role.
        recent_share: The same of the last seconds.
    """
    backlog_tokens = mean_backlog_tokens(state, survey, key)
    if backlog_tokens < SATURATED_BACKLOG_TOKENS:
        return None
    role = state.fleet.catalog.role_of(key) or ""
    engines_count = len(survey.engines_by_role.get(role, ()))
    growth = 1 + min(1.0, backlog_tokens / DOUBLING_BACKLOG_TOKENS)
    by_demand = max(demand_share, recent_share) * engines_count
    return NeededCopies(
        by_demand, max(by_demand, demand_share * growth * engines_count)
    )


def free_engines(
    state: PlacementState, engines: list[EngineState]
) -> list[EngineState]:
    """Returns the engines without a backlog; all of them if each has one."""
    free = [
        engine
        for engine in engines
        if state.backlogs.get(engine.incarnation.life_id, 0.0)
        < SATURATED_BACKLOG_TOKENS
    ]
    return free or engines


def lacks_copies(
    state: PlacementState, survey: Survey, key: str, target_count: float
) -> bool:
    """Tells whether a model with a backlog lacks a whole copy or more."""
    return (
        state.relieves_backlogs
        and target_count - survey.effective_copies(key) >= 1
        and mean_backlog_tokens(state, survey, key) >= SATURATED_BACKLOG_TOKENS
    )
