"""Tests of limits on requests that backend servers state, over all entries."""

from cassiapitch import timers
from tests.limit_world import CONTACT_MS, allowed_count, play

LIMIT_PER_S = 2


def test_entries_together_keep_to_the_limit_that_a_backend_server_states(tmp_path):
    async def scenario(world):
        limited = world.backends[0]
        limited.limit_per_s = LIMIT_PER_S
        start_ms = timers.now_ms()
        await world.load(world.entry_names, calls_per_s=32, for_s=9)
        return limited.most_in_window(start_ms + CONTACT_MS), world.replies

    most_count, replies = play(scenario, tmp_path)
    assert most_count <= allowed_count(LIMIT_PER_S)
    assert {reply.status for reply in replies} == {200}
