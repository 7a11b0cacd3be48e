"""Chooses among backend servers by their costs, without knowledge of their state."""

import random
from collections.abc import Mapping, Sequence

from cassiapitch.speed_records import ServerSpeed
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# Time until what entries send shows in the load reports of all: the period of the
# entries' reports and that of the leader's, about a second and a half at most.
REPORT_AGE_MS = 500
# Age of reports, in mean errors of expected times. Without it, reports delayed by 2 s
# make all entries send to the same engine in turn: 0.52 of first tokens in time at 0.85
# of the capacity (tests/test_backend_speeds.py).
ERROR_AGES_COUNT = 4.0
# Up to this age, reported loads count in full. The differences between older ones
# shrink with the square of the age, since a backlog that has long been worked off
# would keep all entries from an idle engine: with reports delayed by 2 s, an engine
# idled for a whole slowdown in 6 of 20,000 cases without this, and in 2 with it.
TRUSTED_AGE_MS = 1_000
# Prompts of other entries that may have been sent meanwhile, of which no report tells.
# Each delays a first token by more at a slow engine than at a fast one, so that without
# this the slow engines' latest answers are later than those of the fast ones.
UNSEEN_PROMPTS_COUNT = 2.0


def better_of_two(
    backends: Sequence[BackendItem], scores: Mapping[LifeId, float], rng: random.Random
) -> BackendItem:
    """Returns the better of two random backend servers of the better half.

    Entries with the same load report would otherwise all choose the same backend server
    until the next report.

    Args:
        backends: At least two backend servers.
        scores: Their costs.
        rng: Draws the two.
    """
    ordered = sorted(
        backends, key=lambda backend: (scores[backend.life_id], backend.name)
    )
    better = ordered[: max(2, (len(ordered) + 1) // 2)]
    first, second = rng.sample(better, 2)
    return first if scores[first.life_id] <= scores[second.life_id] else second


def report_age_ms(mean_error_ms: float) -> float:
    """Returns the age of the reported loads.

    Where first tokens come at quite other times than expected, reports are older.

    Args:
        mean_error_ms: Mean error of the expected times to first token.
    """
    return max(REPORT_AGE_MS, ERROR_AGES_COUNT * mean_error_ms)


def corrected_costs_ms(
    costs_ms: dict[LifeId, float],
    loads_ms: dict[LifeId, float],
    speeds: dict[LifeId, float],
    age_ms: float,
    prompt_tokens: int,
) -> dict[LifeId, float]:
    """Returns costs corrected for old reports and for prompts that they don't show.

    Args:
        costs_ms: Cost of the prompt at each backend server.
        loads_ms: The part of these costs that rests on reported loads.
        speeds: Tokens per millisecond.
        age_ms: Age of the reported loads.
        prompt_tokens: Tokens of the prompt.
    """
    trust = min(1.0, TRUSTED_AGE_MS / age_ms) ** 2
    mean_ms = sum(speeds[life_id] * loads_ms[life_id] for life_id in speeds)
    mean_ms /= sum(speeds.values())
    return {
        life_id: costs_ms[life_id]
        + (1 - trust) * (mean_ms - loads_ms[life_id])
        + UNSEEN_PROMPTS_COUNT * prompt_tokens / tokens_per_ms
        for life_id, tokens_per_ms in speeds.items()
    }


def levelling_shares(
    costs_ms: dict[LifeId, float], speeds: dict[LifeId, float], volume_tokens: float
) -> dict[LifeId, float]:
    """Returns the tokens for each backend server that raise the lowest costs to one.

    Args:
        costs_ms: The costs now.
        speeds: Tokens per millisecond.
        volume_tokens: Tokens to distribute.
    """
    ordered = sorted(costs_ms, key=lambda life_id: costs_ms[life_id])
    speed_sum = weighted_sum = level_ms = 0.0
    for number, life_id in enumerate(ordered):
        speed_sum += speeds[life_id]
        weighted_sum += speeds[life_id] * costs_ms[life_id]
        level_ms = (volume_tokens + weighted_sum) / speed_sum
        is_last = number + 1 == len(ordered)
        if is_last or level_ms <= costs_ms[ordered[number + 1]]:
            break
    return {
        life_id: speeds[life_id] * max(0.0, level_ms - costs_ms[life_id])
        for life_id in ordered
    }


def load_cost(in_flight: float, speed: ServerSpeed) -> float:
    """Returns the requests in flight relative to what a backend server takes.

    The request to be sent counts too, so that a slow server also costs more while it
    is idle. At the mean speed the cost is the number in flight.
    """
    return (in_flight + 1) / speed.taken_ratio - 1
