"""Random faults in series while two parts of prompts crash backend servers.

More seeds: `CASSIAPITCH_CRASH_SEEDS=1-50`.
"""

import anyio
import pytest

from cassiapitch import timers
from tests import soak
from tests.crash_world import ALLOWED_COUNT, play

FAULTS_S = 14
CALLS_PER_S = 30
DEADLY_SHARE = 0.12
DEADLY = ("dead1", "dead2")
SOUND = ("a", "b", "c")
# Entries and control members are back and connected after this time.
RECOVERY_S = 4
AFTERWARDS_S = 3


class Faults:
    """Brings about faults that may overlap."""

    def __init__(self, world):
        self.world, self.rng = world, world.rng
        self.are_members_restarting = False

    async def run(self):
        changes = (
            (self.crash_backend, 3),
            (self.restart_entry, 2),
            (self.cut_entry, 2),
            (self.restart_leader, 2),
            (self.restart_all_entries, 1),
            (self.restart_all_members, 1),
        )
        await soak.play_changes(self.rng, changes, FAULTS_S)

    async def crash_backend(self):
        running = [item for item in self.world.backends if item.is_running]
        if len(running) > 3:
            self.rng.choice(running).crash()

    async def restart_entry(self):
        running = sorted(self.world.entries)
        if len(running) > 2:
            await self._restart_entries([self.rng.choice(running)])

    async def restart_all_entries(self):
        await self._restart_entries(sorted(self.world.entries))

    async def _restart_entries(self, names):
        for name in names:
            await self.world.kill(name)
        await anyio.sleep(self.rng.uniform(0, 1))
        for name in names:
            self.world.start_entry(name)

    async def cut_entry(self):
        name = self.rng.choice(self.world.entry_names)
        self.world.cut(name)
        await anyio.sleep(self.rng.uniform(0.2, 4))
        self.world.heal(name)

    async def restart_leader(self):
        name = self.world.leader()
        if name is not None and not self.are_members_restarting:
            await self._restart_members([name])

    async def restart_all_members(self):
        if not self.are_members_restarting:
            await self._restart_members(sorted(self.world.nodes))

    async def _restart_members(self, names):
        self.are_members_restarting = True
        for name in names:
            await self.world.kill(name)
        for name in names:
            await self.world.ended[name].wait()
        await anyio.sleep(self.rng.uniform(0, 1))
        for peer in self.world.peers:
            if peer.name in names:
                self.world.start_member(peer)
        # A member that is killed before it listens leaves its port in use here.
        await self.world.wait_until(self.world.leader)
        self.are_members_restarting = False


@pytest.mark.parametrize("seed", soak.seeds("CASSIAPITCH_CRASH_SEEDS"))
def test_fuzz_harmful_parts_stay_refused_and_sound_requests_are_served(seed, tmp_path):
    async def scenario(world):
        world.deadly_parts.update(DEADLY)
        faults = Faults(world)

        def draw_parts():
            is_deadly = world.rng.random() < DEADLY_SHARE
            return ["f1", world.rng.choice(DEADLY if is_deadly else SOUND)]

        async def load(for_s):
            await world.load_parts(draw_parts, CALLS_PER_S, for_s)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load, FAULTS_S + 4)
            await faults.run()
        for name in world.entry_names:
            world.heal(name)
        await world.wait_until(lambda: len(world.nodes) == 3 and world.leader())
        await anyio.sleep(RECOVERY_S)
        replies_count, start_ms = len(world.replies), timers.now_ms()
        crashes_count = len(world.crashes_ms())
        await load(AFTERWARDS_S)
        late_arrivals = {
            part: sum(time_ms >= start_ms for time_ms in world.arrivals_ms(part))
            for part in DEADLY
            if world.crashes_by(part) >= 5
        }
        sound_statuses = [
            reply.status
            for reply in world.replies[replies_count:]
            if reply.parts[-1] in SOUND
        ]
        return late_arrivals, sound_statuses, len(world.crashes_ms()) - crashes_count

    late_arrivals, sound_statuses, late_crashes_count = play(
        scenario, tmp_path, seed=seed
    )
    assert all(count <= ALLOWED_COUNT for count in late_arrivals.values())
    assert sound_statuses.count(200) >= 0.9 * len(sound_statuses), late_crashes_count
    assert len(sound_statuses) > CALLS_PER_S
