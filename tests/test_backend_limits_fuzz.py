"""Random faults, restarts and changes of limits in series, over a whole deployment.

More seeds: `CASSIAPITCH_LIMIT_SEEDS=1-50`.
"""

import anyio
import pytest

from cassiapitch import timers
from tests import soak
from tests.limit_world import CONTACT_MS, WINDOW_MS, KeptCaller, allowed_count, play

CALLERS_COUNT = 16
FAULTS_S = 14
# A new process has no view before its first link to a control member.
START_MS = 4_000
LIMITS_PER_S = (0.5, 1, 2, 5)


class Faults:
    """Brings about faults and changes, and keeps what was stated and restarted when.

    Attributes:
        stated: By backend server, pairs of a time and the limit stated from then on.
        started: Pairs of an entry and the time of its last start.
    """

    def __init__(self, world):
        self.world, self.rng = world, world.rng
        self.stated = {backend.name: [(0, None)] for backend in world.backends}
        self.started = []

    async def run(self):
        changes = (
            (self.change_limit, 4),
            (self.restart_entry, 2),
            (self.cut_entry, 2),
            (self.restart_leader, 1),
            (self.restart_backend, 1),
        )
        await soak.play_changes(self.rng, changes, FAULTS_S, pause_s=(0.1, 1.5))

    async def change_limit(self):
        backend = self.rng.choice(self.world.backends[:2])
        backend.limit_per_s = self.rng.choice((*LIMITS_PER_S, None))
        self.stated[backend.name].append((timers.now_ms(), backend.limit_per_s))

    async def restart_entry(self):
        running = sorted(self.world.entries)
        if len(running) > 2:
            name = self.rng.choice(running)
            await self.world.kill(name)
            await anyio.sleep(self.rng.uniform(0, 1))
            self.world.start_entry(name)
            self.started.append((name, timers.now_ms()))

    async def cut_entry(self):
        name = self.rng.choice(self.world.entry_names)
        self.world.cut(name)
        await anyio.sleep(self.rng.uniform(0.2, 4))
        self.world.heal(name)

    async def restart_leader(self):
        name = self.world.leader()
        if name is None or len(self.world.nodes) < 3:
            return
        await self.world.stop_member(name)
        await anyio.sleep(self.rng.uniform(0, 3))
        peer = next(peer for peer in self.world.peers if peer.name == name)
        self.world.start_member(peer)

    async def restart_backend(self):
        backend = self.rng.choice(self.world.backends[:2])
        backend.incarnation += 1
        backend.limit_per_s = None
        self.stated[backend.name].append((timers.now_ms(), None))

    def highest_limit(self, name, start_ms, end_ms):
        """Returns the highest limit stated in a span; None if there was none once."""
        stated = self.stated[name]
        ends_ms = [*(time_ms for time_ms, _ in stated[1:]), 10**15]
        limits = [
            limit
            for (time_ms, limit), next_ms in zip(stated, ends_ms, strict=True)
            if time_ms < end_ms and next_ms > start_ms
        ]
        return None if None in limits else max(limits)

    def broken_limits(self, backend):
        """Returns windows with more requests than the highest limit allows."""
        broken = []
        for start_ms in backend.arrivals_ms:
            end_ms = start_ms + WINDOW_MS
            limit = self.highest_limit(backend.name, start_ms - CONTACT_MS, end_ms)
            count = backend.count_between(start_ms, end_ms)
            if limit is not None and count > allowed_count(limit):
                broken.append((start_ms, count, limit))
        return broken

    def is_starting(self, reply):
        return any(
            name == reply.entry and 0 <= reply.sent_ms - started_ms < START_MS
            for name, started_ms in self.started
        )


@pytest.mark.parametrize("seed", soak.seeds("CASSIAPITCH_LIMIT_SEEDS"))
def test_fuzz_limits_hold_and_callers_lose_nothing_while_a_server_is_unlimited(
    seed, tmp_path
):
    async def scenario(world):
        faults = Faults(world)
        for number in range(CALLERS_COUNT):
            world.tasks.start_soon(KeptCaller(world, number).run)
        await faults.run()
        for name in world.entry_names:
            world.heal(name)
        await anyio.sleep(4)
        broken = [faults.broken_limits(backend) for backend in world.backends]
        refused = [
            reply
            for reply in world.replies
            if reply.status not in (0, 200) and not faults.is_starting(reply)
        ]
        return broken, refused, len(world.replies)

    broken, refused, replies_count = play(
        scenario, tmp_path, backends_count=3, seed=seed
    )
    assert broken == [[], [], []]
    assert refused == []
    assert replies_count > 1_000
