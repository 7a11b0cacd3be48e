"""Tests of which copies of models give way to others."""

import pytest

from tests.start_world import BUSY_SHARES, FAST, SLOW, StartWorld

SEEDS = (0, 1, 2)


@pytest.mark.parametrize("deployment", [SLOW, FAST])
@pytest.mark.parametrize("seed", SEEDS)
def test_copies_in_use_stay_while_demand_is_unknown(seed, deployment):
    """Guards against busy models that lose copies in the first seconds to models with
    single requests, since all models count alike then."""
    world = StartWorld(deployment, seed, has_copies_by_demand=True).run(5)
    for model, share in zip(world.busy, BUSY_SHARES, strict=True):
        assert world.copies(model) >= int(share * deployment.engines_count)


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_that_suffice_at_first_suffice_afterwards(seed):
    """Guards against loads of 8 s for models whose copies were given up without need."""
    world = StartWorld(SLOW, seed, has_copies_by_demand=True).run(14)
    assert world.on_time_share() >= 0.9
