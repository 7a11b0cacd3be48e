"""Stateful fuzzing of the Raft rules with lost writes and messages."""

import os
import random

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from cassiapitch import membership
from cassiapitch.raftmessages import ChangeKind
from tests.consensus_chaos import PROFILES, Chaos
from tests.consensus_model import SMALL_LIMITS, Cluster

IS_LONG_RUN = "CASSIAPITCH_FUZZ" in os.environ
NAMES = st.integers(0, 4).map("m{}".format)
CHAOS_MS = st.sampled_from([1_000, 3_000, 10_000])
DURATIONS_MS = st.sampled_from([20, 50, 150, 400, 1_000, 2_500])


class ControlGroup(RuleBasedStateMachine):
    """Random kills, lost writes and disks, partitions, freezes, membership changes.

    Guards against lost, replaced or repeated commands, stale reads and two leases.
    """

    @initialize(seed=st.integers(0, 2**32), voter_count=st.integers(3, 5))
    def form(self, seed, voter_count):
        self.cluster = Cluster(seed, voter_count, 5 - voter_count)
        self.faults = Chaos(self.cluster)
        self.cluster.run(1_500)
        self.cluster.propose(3)

    def member(self, name):
        return self.cluster.members[name]

    @rule(duration_ms=DURATIONS_MS, sync_rate=st.sampled_from([0.05, 0.4, 1.0]))
    def run_on(self, duration_ms, sync_rate):
        self.cluster.run(duration_ms, sync_rate)

    @rule(count=st.integers(1, 5), duration_ms=DURATIONS_MS)
    def propose(self, count, duration_ms):
        self.cluster.propose(count)
        self.cluster.run(duration_ms)

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def read(self, name, duration_ms):
        if self.member(name).is_running:
            self.member(name).read()
        self.cluster.run(duration_ms)

    @rule()
    def read_and_propose_everywhere(self):
        for member in self.cluster.members.values():
            if member.is_running:
                member.read()
        self.cluster.propose()

    @rule(
        loss_rate=st.sampled_from([0.0, 0.1, 0.4]),
        duplicate_rate=st.sampled_from([0.0, 0.3]),
        delay_ms=st.sampled_from([2, 40, 300, 1_500]),
    )
    def change_network(self, loss_rate, duplicate_rate, delay_ms):
        self.cluster.loss_rate = loss_rate
        self.cluster.duplicate_rate = duplicate_rate
        self.cluster.delay_ms = delay_ms

    @rule(profile=st.sampled_from(sorted(PROFILES)), duration_ms=CHAOS_MS)
    def chaos(self, profile, duration_ms):
        self.faults.run(PROFILES[profile], duration_ms)

    @rule(
        first=st.sampled_from(sorted(PROFILES)),
        second=st.sampled_from(sorted(PROFILES)),
    )
    def chaos_twice(self, first, second):
        self.faults.run(PROFILES[first], 3_000)
        self.faults.run(PROFILES[second], 3_000)

    @rule(name=NAMES, mid_write=st.booleans(), duration_ms=DURATIONS_MS)
    def kill_and_restart(self, name, mid_write, duration_ms):
        self.member(name).crash(mid_write)
        self.member(name).start()
        self.cluster.run(duration_ms)

    @rule(mid_write=st.booleans())
    def kill_leaders(self, mid_write):
        for leader in self.cluster.leaders():
            leader.crash(mid_write)

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def lose_disk(self, name, duration_ms):
        self.cluster.wipe(name)
        self.cluster.run(duration_ms)

    @rule(duration_ms=DURATIONS_MS)
    def isolate_leaders(self, duration_ms):
        self.cluster.isolate({leader.name for leader in self.cluster.leaders()})
        self.cluster.run(duration_ms)

    @rule(names=st.sets(NAMES, max_size=2))
    def isolate(self, names):
        self.cluster.isolate(names)

    @rule(name=NAMES, duration_ms=DURATIONS_MS)
    def freeze(self, name, duration_ms):
        self.member(name).is_frozen = True
        self.cluster.run(duration_ms)

    @rule(duration_ms=DURATIONS_MS)
    def freeze_leaders(self, duration_ms):
        for leader in self.cluster.leaders():
            leader.is_frozen = True
        self.cluster.run(duration_ms)

    @rule(name=NAMES)
    def wake(self, name):
        self.member(name).is_frozen = False
        self.cluster.check_leases()

    @rule(name=NAMES)
    def wake_and_read(self, name):
        if self.member(name).node is not None:
            self.member(name).is_frozen = False
            self.member(name).read()

    @rule(name=NAMES, kind=st.sampled_from(list(ChangeKind)[:3]))
    def change(self, name, kind):
        self.cluster.change(kind, name)

    @precondition(lambda self: self.cluster.has_quorum())
    @rule(name=NAMES, second=NAMES)
    def repair_and_lose_second(self, name, second):
        """Replaces a lost disk, and then loses the disk of another member."""
        if not self.cluster.has_quorum(without=name):
            return
        self.cluster.heal()
        self.cluster.wipe(name)
        self.cluster.run(1_500)
        for kind in (ChangeKind.REMOVE, ChangeKind.ADD_LEARNER, ChangeKind.PROMOTE):
            self.cluster.change(kind, name)
            self.cluster.propose()
            self.cluster.run(300)
        self.cluster.wipe(second)
        self.cluster.run(1_500)

    @rule(name=NAMES)
    def snapshot(self, name):
        if self.member(name).is_running:
            self.member(name).take_snapshot()

    @rule(name=st.none() | NAMES, duration_ms=DURATIONS_MS)
    def transfer(self, name, duration_ms):
        for leader in self.cluster.leaders():
            membership.start_transfer(leader.node, name, leader.now_ms())
            leader.process_outputs()
        self.cluster.run(duration_ms)

    @rule()
    def heal(self):
        self.cluster.heal()
        self.cluster.run(1_500)

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.heal_and_check()


@pytest.fixture(autouse=True)
def _small_limits(monkeypatch):
    for module, name, value in SMALL_LIMITS:
        monkeypatch.setattr(module, name, value)


TestControlGroupFuzz = ControlGroup.TestCase
TestControlGroupFuzz.settings = settings(
    derandomize=not IS_LONG_RUN,
    deadline=None,
    database=None,
    max_examples=5_000 if IS_LONG_RUN else 150,
    stateful_step_count=50 if IS_LONG_RUN else 30,
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)


@pytest.mark.parametrize("profile", sorted(PROFILES))
def test_faults_of_one_kind_fuzz(profile):
    """Guards against the same failures with long runs of one mix of faults.

    They find what short runs don't.
    """
    rng = random.SystemRandom()
    seeds = [rng.getrandbits(32) for _ in range(300)] if IS_LONG_RUN else range(5)
    for seed in seeds:
        cluster = Cluster(seed, 3 + seed % 3, 2 - seed % 3)
        cluster.run(1_500)
        try:
            Chaos(cluster).run(PROFILES[profile], 20_000)
            cluster.heal_and_check()
        except Exception as error:
            error.add_note(f"profile {profile}, seed {seed}")
            raise
