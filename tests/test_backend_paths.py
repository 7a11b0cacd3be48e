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


@pytest.mark.parametrize("mode", [RESET, SILENT])
def test_broken_links_of_an_entry_are_no_evidence_of_crashes(mode, tmp_path):
    async def scenario(world):
        for backend in world.backends:
            backend.work_ms = 400
        async with anyio.create_task_group() as calls:
            for _ in range(30):
                calls.start_soon(call_with_part, world, "e0")
            await anyio.sleep(0.2)
            world.cut_paths(["e0"], mode)
        world.heal_paths(["e0"])
        shown = world.entries["e2"].state.catalog
        return len(shown.parts), len(shown.suspects)

    assert play(scenario, tmp_path) == (0, 0)


async def call_with_part(world, name):
    number = world.request_number + 1
    headers = f"Prompt-Prefix: f1:50,{number:x}:20\r\n"
    await world.call(name, 4_000, headers=headers, body=b"%d" % number, path="/safe/")
