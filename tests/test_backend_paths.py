"""Tests of entries that lose their links to backend servers."""

import anyio
import pytest

from tests.cut_world import (
    NEW_REFUSED,
    NO_ANSWERS,
    RESET,
    SERVED_SHARE,
    SILENT,
    play,
    play_cut,
)


@pytest.mark.parametrize("mode", [SILENT, NO_ANSWERS, RESET, NEW_REFUSED])
def test_callers_of_entries_without_links_to_backend_servers_are_served(mode, tmp_path):
    async def scenario(world):
        shares = await play_cut(world, ["e0", "e3"], mode)
        world.assert_promises_held()
        return shares

    cut_share, other_share = play(scenario, tmp_path)
    assert cut_share >= SERVED_SHARE * other_share


@pytest.mark.parametrize("cut_names", [["e0", "e3"], ["e0", "e3", "e1", "e4"]])
def test_reports_of_cut_entries_take_no_backend_server_from_the_others(
    cut_names, tmp_path
):
    async def scenario(world):
        fewest = len(world.backends)

        async def watch():
            nonlocal fewest
            while True:
                shown = world.entries["e2"].state.catalog.services("shop")
                fewest = min(fewest, len(shown))
                await anyio.sleep(0.02)

        world.tasks.start_soon(watch)
        _, other_share = await play_cut(world, cut_names, RESET)
        return fewest == len(world.backends), other_share

    assert play(scenario, tmp_path) == (True, 1)
