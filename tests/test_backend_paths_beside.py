"""Tests of lost links beside limits, bursts and releases."""

import anyio
import pytest

from tests.cut_world import (
    CALL_DEADLINE_MS,
    RESET,
    SERVED_SHARE,
    SILENT,
    play,
    play_cut,
)
from tests.limit_world import CONTACT_MS, WINDOW_MS, allowed_count

LIMIT_PER_S = 4


def test_requests_through_peers_exceed_the_limit_of_a_backend_server(tmp_path):
    async def scenario(world):
        for backend in world.backends:
            backend.headers = [f"Server-Limit: {LIMIT_PER_S}"]
        await play_cut(world, ["e0", "e3", "e1", "e4"], RESET, cut_s=10)
        world.assert_promises_held()
        return [most_in_window(backend) for backend in world.backends]

    assert max(play(scenario, tmp_path)) <= allowed_count(LIMIT_PER_S)


def most_in_window(backend):
    """Returns the most requests in a window after the limit was known to all."""
    times_ms = [run.started_ms for run in backend.runs]
    starts_ms = [time_ms for time_ms in times_ms if time_ms >= times_ms[0] + CONTACT_MS]
    return max(
        sum(start_ms <= time_ms < start_ms + WINDOW_MS for time_ms in times_ms)
        for start_ms in starts_ms
    )


@pytest.mark.parametrize("mode", [SILENT, RESET])
def test_burst_at_cut_entries_is_refused(mode, tmp_path):
    async def scenario(world):
        for backend in world.backends:
            backend.work_ms = 100
        cut_names = ["e0", "e3"]
        await world.mixed_load(world.entry_names, 20, 1)
        world.cut_paths(cut_names, mode)
        await world.mixed_load(world.entry_names, 20, CONTACT_MS / 1000)
        start_count = len(world.replies)
        async with anyio.create_task_group() as calls:
            for _ in range(60):
                for name in cut_names:
                    calls.start_soon(world.first_try, name, "/safe/")
        world.heal_paths(cut_names)
        world.assert_promises_held()
        return world.served_share(world.replies[start_count:], cut_names)

    assert play(scenario, tmp_path) >= SERVED_SHARE


def test_release_of_entries_and_members_takes_the_detour_away(tmp_path):
    async def scenario(world):
        async def release():
            await anyio.sleep(CONTACT_MS / 1000)
            for name in ("e1", "e0"):
                await world.stop_entry(name)
                world.start_entry(name)
                await anyio.sleep(0.5)
            leader = world.leader()
            await world.stop_member(leader)
            for peer in world.peers:
                if peer.name == leader:
                    world.start_member(peer)

        world.tasks.start_soon(release)
        shares = await play_cut(world, ["e0", "e3"], RESET, cut_s=10)
        world.assert_promises_held()
        return shares

    cut_share, other_share = play(scenario, tmp_path)
    assert cut_share >= SERVED_SHARE * other_share
    assert other_share >= SERVED_SHARE


def test_bundles_during_a_cut_are_not_in_force_at_cut_entries(tmp_path):
    async def scenario(world):
        await world.mixed_load(world.entry_names, 20, 1)
        world.cut_paths(["e0", "e3"], RESET)
        kept = [r for r in world.make_routes() if r.path_prefix != "/once/"]
        await world.roll_bundle(version=2, routes=tuple(kept))
        await anyio.sleep(CONTACT_MS / 1000)
        statuses = set()
        for name in world.entry_names:
            reply = await world.call(name, CALL_DEADLINE_MS, path="/once/")
            statuses.add(reply.status)
        replies = await world.mixed_load(["e0"], 20, 1)
        world.heal_paths(["e0", "e3"])
        return statuses, {reply.status for reply in replies if "/safe/" in reply.parts}

    assert play(scenario, tmp_path) == ({404}, {200})
