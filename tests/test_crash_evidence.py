"""Tests that requests with a part that crashes backend servers are kept from them."""

from tests.crash_world import ALLOWED_COUNT, play

SHARE = 0.1


def test_part_that_crashes_backend_servers_is_refused_by_all_entries(tmp_path):
    async def scenario(world):
        world.deadly_parts.add("dead")

        def draw_parts():
            is_deadly = world.rng.random() < SHARE
            return ["f1", "dead" if is_deadly else world.rng.choice("abc")]

        await world.load_parts(draw_parts, calls_per_s=30, for_s=12)
        return world.late_count("dead"), len(world.crashes_ms())

    late_count, crashes_count = play(scenario, tmp_path)
    assert late_count <= ALLOWED_COUNT, crashes_count
