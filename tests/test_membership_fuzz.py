"""Series of losses within the tolerated number, played on the decisions alone."""

import os

import pytest

from tests import membership_world

SEEDS_COUNT = int(os.environ.get("CASSIAPITCH_MEMBERSHIP_SEEDS", "12"))
SERIES_COUNT = 4


@pytest.mark.parametrize("seed", range(1, SEEDS_COUNT + 1))
def test_any_two_disks_may_go_once_all_machines_are_back(seed):
    """Guards against a group that keeps a lost voter, or doesn't take one back."""
    membership_world.play(seed, SERIES_COUNT)
