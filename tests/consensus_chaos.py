"""Faults at random intervals for the simulated control group.

Single faults seldom break a rule. A combination does, for instance a member that
restarts with lost writes while the leader is disconnected from some members only. So
faults are frequent, overlap, and end after a random time.
"""

import dataclasses
import itertools

from cassiapitch import membership
from cassiapitch.raftmessages import ChangeKind
from tests.consensus_model import STEP_MS

MEMBERSHIP_CHANGE_KINDS = (
    ChangeKind.ADD_LEARNER,
    ChangeKind.PROMOTE,
    ChangeKind.REMOVE,
)


@dataclasses.dataclass
class Profile:
    """Mean time between faults of each kind, and speed of the network and disks."""

    kill_ms: int = 0
    kill_many_ms: int = 0
    freeze_ms: int = 0
    partition_ms: int = 0
    change_ms: int = 0
    wipe_ms: int = 0
    transfer_ms: int = 0
    snapshot_ms: int = 0
    propose_ms: int = 40
    read_ms: int = 40
    delay_ms: int = 5
    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    sync_rate: float = 0.7
    slow_rates: tuple = (0.0,)
    max_downtime_ms: int = 1_500
    leader_share: float = 0.5
    partition_kinds: tuple = ("heal", "one", "one", "halves", "links", "links")


PROFILES = {
    "calm": Profile(snapshot_ms=300, change_ms=400, transfer_ms=700),
    "power_failures": Profile(
        kill_many_ms=700, kill_ms=900, sync_rate=0.1, partition_ms=900
    ),
    "restarts": Profile(kill_ms=450, partition_ms=600, sync_rate=0.5),
    "frozen": Profile(freeze_ms=600, kill_ms=2_000, transfer_ms=2_000, read_ms=15),
    "cuts": Profile(partition_ms=350, kill_ms=1_500, read_ms=15, sync_rate=0.3),
    "one_way": Profile(partition_ms=1_500, partition_kinds=("links",), sync_rate=1.0),
    "one_way_restarts": Profile(
        partition_ms=1_500,
        partition_kinds=("links",),
        sync_rate=1.0,
        kill_ms=250,
        max_downtime_ms=60,
        leader_share=0.0,
        loss_rate=0.3,
    ),
    "one_way_transfers": Profile(
        partition_ms=900, partition_kinds=("links",), transfer_ms=250
    ),
    "slow_disks": Profile(
        sync_rate=0.04, partition_ms=1_500, transfer_ms=900, read_ms=10
    ),
    "late": Profile(delay_ms=600, partition_ms=1_500, read_ms=15, kill_ms=2_500),
    "slow_links": Profile(
        partition_ms=1_500, partition_kinds=("heal", "one"), slow_rates=(0.2, 0.4)
    ),
    "slow_disk_kills": Profile(
        sync_rate=0.06, kill_ms=900, partition_ms=800, max_downtime_ms=200
    ),
    "late_transfers": Profile(delay_ms=300, transfer_ms=300, duplicate_rate=0.3),
    "lossy": Profile(loss_rate=0.3, duplicate_rate=0.3, delay_ms=60, snapshot_ms=200),
    "changes": Profile(change_ms=60, kill_ms=700, partition_ms=400, snapshot_ms=300),
    "repairs": Profile(wipe_ms=900, change_ms=80, kill_ms=1_500, partition_ms=1_200),
    "everything": Profile(
        kill_ms=1_500,
        kill_many_ms=5_000,
        freeze_ms=1_500,
        partition_ms=800,
        change_ms=300,
        wipe_ms=6_000,
        transfer_ms=1_500,
        snapshot_ms=400,
        delay_ms=50,
        loss_rate=0.05,
        duplicate_rate=0.1,
        sync_rate=0.4,
    ),
}


class Chaos:
    """Injects the faults of a profile into a cluster; can run several in turn."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.rng = cluster.rng
        self.scheduled = []

    def run(self, profile, duration_ms):
        cluster = self.cluster
        self.profile = profile
        cluster.loss_rate, cluster.duplicate_rate = (
            profile.loss_rate,
            profile.duplicate_rate,
        )
        cluster.delay_ms = profile.delay_ms
        faults = (
            (profile.kill_ms, self.kill),
            (profile.kill_many_ms, self.kill_several),
            (profile.freeze_ms, self.freeze),
            (profile.partition_ms, self.partition),
            (profile.change_ms, self.change),
            (profile.wipe_ms, self.wipe),
            (profile.transfer_ms, self.transfer),
            (profile.snapshot_ms, self.snapshot),
            (profile.propose_ms, cluster.propose),
            (profile.read_ms, self.read),
        )
        for _ in range(0, duration_ms, STEP_MS):
            for mean_ms, fault in faults:
                if mean_ms and self.rng.random() * mean_ms < STEP_MS:
                    fault()
            cluster.run(STEP_MS, profile.sync_rate)
            self.end_faults()

    def end_faults(self):
        for timed_action in [
            item for item in self.scheduled if item[0] <= self.cluster.time_ms
        ]:
            self.scheduled.remove(timed_action)
            timed_action[1]()

    def schedule(self, max_delay_ms, action):
        delay_ms = int(max_delay_ms * self.rng.random() ** 2)
        self.scheduled.append((self.cluster.time_ms + delay_ms, action))

    def pick_member(self):
        """Returns a running member; a leader with the profile's `leader_share`."""
        leaders = self.cluster.leaders()
        if leaders and self.rng.random() < self.profile.leader_share:
            return self.rng.choice(leaders)
        running = [
            member for member in self.cluster.members.values() if member.is_running
        ]
        if self.profile.leader_share == 0.0:
            running = [member for member in running if member not in leaders]
        return self.rng.choice(running) if running else None

    def kill(self, member=None):
        member = member or self.pick_member()
        if member is not None:
            member.crash(mid_write=self.rng.random() < 0.5)
            self.schedule(self.profile.max_downtime_ms, lambda: self.start(member.name))

    def start(self, name):
        if self.cluster.members[name].node is None:
            self.cluster.members[name].start()

    def kill_several(self):
        for member in self.cluster.members.values():
            if member.is_running and self.rng.random() < 0.7:
                self.kill(member)

    def freeze(self):
        member = self.pick_member()
        if member is not None:
            member.is_frozen = True
            self.schedule(4_000, lambda: self.wake(member))

    def wake(self, member):
        member.is_frozen = False
        self.cluster.check_leases()
        if member.is_running and self.rng.random() < 0.5:
            member.read()

    def partition(self):
        names = list(self.cluster.members)
        kind = self.rng.choice(self.profile.partition_kinds)
        pairs = list(itertools.permutations(names, 2))
        if kind == "heal":
            blocked = set()
        elif kind == "links":
            rate = self.rng.choice([0.1, 0.3, 0.5])
            blocked = {pair for pair in pairs if self.rng.random() < rate}
        else:
            chosen = self.pick_member()
            side = {chosen.name} if chosen else set()
            if kind == "halves":
                side |= set(self.rng.sample(names, len(names) // 2))
            blocked = {pair for pair in pairs if (pair[0] in side) != (pair[1] in side)}
        self.cluster.blocked_links = blocked
        rate = self.rng.choice(self.profile.slow_rates)
        self.cluster.slow_links = {pair for pair in pairs if self.rng.random() < rate}

    def change(self):
        name = self.rng.choice(list(self.cluster.members))
        self.cluster.change(self.rng.choice(MEMBERSHIP_CHANGE_KINDS), name)

    def wipe(self):
        name = self.rng.choice(list(self.cluster.members))
        if self.cluster.has_quorum(without=name):
            self.cluster.wipe(name)

    def transfer(self):
        for leader in self.cluster.leaders():
            name = self.rng.choice([None, *self.cluster.members])
            membership.start_transfer(leader.node, name, leader.now_ms())
            leader.process_outputs()

    def snapshot(self):
        member = self.pick_member()
        if member is not None:
            member.take_snapshot()

    def read(self):
        for member in self.cluster.members.values():
            if member.is_running:
                member.read()
