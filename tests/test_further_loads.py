"""Tests of loads of further copies that begin at the same time."""

import pytest

from tests.start_world import FAST, SLOW, StartWorld

SEEDS = (0, 1, 2)
NEVER_SERVED_SHARE = 0.1


def play(deployment, seed, seconds, *, by_demand, has_copies_by_demand=False):
    world = StartWorld(deployment, seed, has_copies_by_demand=has_copies_by_demand)
    world.coordinator.placement.further_loads_by_demand = by_demand
    return world.run(seconds)


@pytest.mark.parametrize("seed", SEEDS)
def test_busy_models_get_the_copies_that_they_lack_at_the_same_time(seed):
    """Guards against copies that are loaded one after the other, so that a model's
    requests are late for as many load times as copies are missing."""
    one = play(FAST, seed, 12, by_demand=False)
    by_demand = play(FAST, seed, 12, by_demand=True)
    assert by_demand.on_time_share() >= one.on_time_share() + 0.05
    never_served_limit = 1 + NEVER_SERVED_SHARE * len(by_demand.counted())
    assert len(by_demand.starved()) <= never_served_limit


@pytest.mark.parametrize("seed", SEEDS)
def test_models_with_enough_copies_are_served_alike(seed):
    """Guards against loads for a burst that the copies would have served."""
    one, by_demand = (
        play(FAST, seed, 24, by_demand=choice, has_copies_by_demand=True)
        for choice in (False, True)
    )
    assert by_demand.on_time_share() >= one.on_time_share() - 0.01


def test_long_loads_begin_one_after_the_other():
    """Guards against loads that keep engines from loading adapters, and other models
    from serving, for longer than a burst lasts."""
    one, by_demand = (play(SLOW, 0, 12, by_demand=choice) for choice in (False, True))
    assert by_demand.loads_ms == one.loads_ms
