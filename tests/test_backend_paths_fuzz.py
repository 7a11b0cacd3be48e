"""Random cuts, kills and restarts in series, over a whole deployment.

More seeds: `CASSIAPITCH_PATH_SEEDS=1-50`.
"""

import anyio
import pytest

from cassiapitch import timers
from tests import soak
from tests.cut_world import (
    CALL_DEADLINE_MS,
    NEW_REFUSED,
    NO_ANSWERS,
    PATHS,
    RESET,
    SERVED_SHARE,
    SILENT,
    is_served,
    play,
)
from tests.limit_world import CONTACT_MS, KeptCaller

FAULTS_S = 14
CALLERS_COUNT = 12
# A new process has no view and no peers before its first link to a control member.
START_MS = 4_000


class Faults:
    """Brings about faults, and keeps which entry was cut or restarted when.

    Attributes:
        cuts: Entry, start and end of each cut.
        started: Pairs of an entry and the time of its last start.
    """

    def __init__(self, world):
        self.world, self.rng = world, world.rng
        self.cuts, self.started = [], []
        self.cut_names, self.stopping = set(), set()

    async def run(self):
        changes = (
            (self.cut_entries, 4),
            (self.restart_entry, 2),
            (self.stop_entry, 1),
            (self.restart_leader, 1),
            (self.cut_from_control, 1),
        )
        await soak.play_changes(self.rng, changes, FAULTS_S)

    async def cut_entries(self):
        """Cuts some entries off from all or some backend servers, not all entries."""
        world = self.world
        free = sorted(set(world.entry_names) - self.cut_names)
        count = min(self.rng.randint(1, 3), len(free) - 2)
        if count < 1:
            return
        names = self.rng.sample(free, count)
        self.cut_names.update(names)
        mode = self.rng.choice((SILENT, NO_ANSWERS, RESET, NEW_REFUSED))
        backends = self.rng.choice((world.backends, world.backends[:2]))
        start_ms = timers.now_ms()
        world.cut_paths(names, mode, backends)
        await anyio.sleep(self.rng.uniform(0.5, 6))
        world.heal_paths(names)
        self.cut_names.difference_update(names)
        self.cuts += [(name, start_ms, timers.now_ms()) for name in names]

    async def restart_entry(self):
        running = sorted(set(self.world.entries) - self.stopping)
        if len(running) > 4:
            name = self.rng.choice(running)
            await self.world.kill(name)
            await anyio.sleep(self.rng.uniform(0, 1))
            self.world.start_entry(name)
            self.started.append((name, timers.now_ms()))

    async def stop_entry(self):
        """Stops an entry as planned, and starts it again."""
        running = sorted(set(self.world.entries) - self.stopping)
        if len(running) > 4:
            name = self.rng.choice(running)
            self.stopping.add(name)
            self.started.append((name, timers.now_ms()))
            await self.world.stop_entry(name)
            self.stopping.discard(name)
            self.world.start_entry(name)
            self.started.append((name, timers.now_ms()))

    async def restart_leader(self):
        name = self.world.leader()
        if name is None or len(self.world.nodes) < 3:
            return
        await self.world.stop_member(name)
        await anyio.sleep(self.rng.uniform(0, 2))
        peer = next(peer for peer in self.world.peers if peer.name == name)
        self.world.start_member(peer)

    async def cut_from_control(self):
        name = self.rng.choice(self.world.entry_names)
        self.world.cut(name)
        await anyio.sleep(self.rng.uniform(0.2, 2))
        self.world.heal(name)

    def is_excused(self, reply):
        """Returns whether a reply's entry was starting, or just cut."""
        starting = any(
            name == reply.entry
            and started_ms - 2_000 <= reply.sent_ms
            and reply.sent_ms - started_ms < START_MS
            for name, started_ms in self.started
        )
        return starting or any(
            name == reply.entry
            and start_ms - CALL_DEADLINE_MS <= reply.sent_ms < start_ms + CONTACT_MS
            for name, start_ms, _ in self.cuts
        )


async def call_repeatedly(world):
    while True:
        await world.first_try(
            world.rng.choice(world.entry_names), world.rng.choice(PATHS)
        )
        await anyio.sleep(world.rng.uniform(0, 0.2))


@pytest.mark.parametrize("seed", soak.seeds("CASSIAPITCH_PATH_SEEDS"))
def test_fuzz_cut_entries_serve_and_nothing_runs_twice(seed, tmp_path):
    async def scenario(world):
        faults = Faults(world)
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS_COUNT):
                callers.start_soon(call_repeatedly, world)
                callers.start_soon(KeptCaller(world, number, "/safe/").run)
            await faults.run()
            callers.cancel_scope.cancel()
        world.heal_paths(world.entry_names)
        world.assert_promises_held()
        judged = [reply for reply in world.replies if not faults.is_excused(reply)]
        served = sum(map(is_served, judged)) / len(judged)
        shown = [len(entry.state.catalog.parts) for entry in world.entries.values()]
        await anyio.sleep(CONTACT_MS / 1000)
        after = await world.mixed_load(world.entry_names, 20, 1)
        lost = sum(
            entry.state.backend_paths.lost_count() for entry in world.entries.values()
        )
        return served, max(shown), sum(map(is_served, after)) / len(after), lost

    served, parts_count, served_after, lost_count = play(scenario, tmp_path, seed=seed)
    assert served >= SERVED_SHARE
    assert parts_count == 0
    assert served_after == 1
    assert lost_count == 0
