"""Planned stops of entries as processes while the times of requests vary."""

import asyncio

import pytest

from tests import soak
from tests.stop_world import StopWorld


@pytest.mark.parametrize("seed", soak.seeds("CASSIAPITCH_PROCESS_STOP_SEEDS", "1"))
def test_entries_that_stop_end_all_that_they_admit(seed, tmp_path):
    """Guards against requests that are cut at the end of a planned stop."""
    verdict = asyncio.run(StopWorld(seed, tmp_path / "record.txt").play(stops_count=1))
    print(f"seed {seed}: {verdict}")
    assert not verdict.cut
    assert not verdict.failed
    assert not verdict.false_refusals
    assert not verdict.exit_codes
    assert not verdict.late_ends_s
    assert verdict.served_count > verdict.stops_count
