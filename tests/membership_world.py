"""Simulated control group that forms its membership itself, under series of losses.

Only the decisions run: consensus, admission and the journal. A machine that is gone,
frozen or cut off counts as lost until `CATCH_UP_MS` after it is back; the machines draw
no more losses at once than the group tolerates.
"""

import dataclasses
import heapq

from cassiapitch import admission, membership, quorum, replication
from cassiapitch.raftmessages import GroupMember
from tests.consensus_model import STEP_MS, Cluster, SimulatedMember

FAULTS_COUNT = 2
CATCH_UP_MS = 4_000
MARGIN_MS = 1_000
RECOVERY_MS = 12_000
PROBE_PERIOD_MS = 300
CHANGE_PERIOD_MS = 100
LEAVE_LIMIT_MS = 3_000
DISRUPTIONS = (
    "planned",
    "planned",
    "replaced",
    "replaced",
    "frozen",
    "wiped",
    "cut",
    "restarted",
    "lossy",
    "large",
)


@dataclasses.dataclass
class Policy:
    """What the tasks of one member hold beside consensus."""

    join_requests: dict = dataclasses.field(default_factory=dict)
    leaving_ids: set = dataclasses.field(default_factory=set)


class MembershipCluster(Cluster):
    """Adds the tasks of `joining` to the simulated members."""

    def __init__(self, seed):
        super().__init__(seed, FAULTS_COUNT * 2 + 1, 0)
        self.policies = {}
        self.actions = []
        self.machines_count = len(self.members)
        self.history = []
        # When no machine counts as lost any more, and the machines that still stop.
        self.settled_ms = self.time_ms
        self.stopping = set()

    def at(self, delay_ms, action):
        heapq.heappush(
            self.actions, (self.time_ms + delay_ms, next(self.numbers), action)
        )

    def log(self, text):
        self.history.append(f"{self.time_ms - 1_000_000} ms: {text}")

    def run(self, duration_ms, sync_rate=0.7):
        for _ in range(0, duration_ms, STEP_MS):
            super().run(STEP_MS, sync_rate)
            while self.actions and self.actions[0][0] <= self.time_ms:
                heapq.heappop(self.actions)[2]()
            if self.time_ms % PROBE_PERIOD_MS == 0:
                self.ask_to_join()
            if self.time_ms % CHANGE_PERIOD_MS == 0:
                self.make_changes()
                self.propose()

    def policy(self, member):
        return self.policies.setdefault((member.disk_id, id(member.node)), Policy())

    def ask_to_join(self):
        running = [member for member in self.members.values() if member.is_running]
        for member in running:
            if not admission.should_ask_to_join(member.node, member.now_ms()):
                continue
            asking = GroupMember(member.name, member.disk_id, "z", "::1", 1, False)
            for other in running:
                is_cut = (member.name, other.name) in self.blocked_links
                is_lost = self.rng.random() < self.loss_rate
                if other is not member and not is_cut and not is_lost:
                    request = admission.JoinRequest(asking, other.now_ms())
                    self.policy(other).join_requests[member.name] = request

    def make_changes(self):
        for leader in self.leaders():
            now_ms = leader.now_ms()
            if not replication.has_lease(leader.node, now_ms):
                continue
            policy = self.policy(leader)
            change = admission.next_change(
                leader.node.group,
                FAULTS_COUNT,
                policy.join_requests.values(),
                admission.contacts_of(leader.node),
                policy.leaving_ids,
                now_ms,
            )
            if change is not None:
                made = membership.propose_change(
                    leader.node, change.kind, change.name, change.member, now_ms
                )
                self.log(f"{leader.name} {change.kind} {change.name}: {made}")
                leader.process_outputs()

    def back_after(self, duration_ms):
        """Notes that a machine is back, or new, after a time."""
        settled_ms = self.time_ms + duration_ms + CATCH_UP_MS + MARGIN_MS
        self.settled_ms = max(self.settled_ms, settled_ms)

    def run_until_settled(self):
        while self.stopping or self.time_ms < self.settled_ms:
            self.run(STEP_MS * 5)

    # Disruptions of one machine.

    def add_machine(self):
        name = f"m{self.machines_count}"
        self.machines_count += 1
        self.members[name] = SimulatedMember(self, name, f"{name}-0")
        self.members[name].start()
        self.log(f"{name} is new")

    def end_for_good(self, name):
        self.members.pop(name).crash(mid_write=False)
        self.log(f"{name} is gone for good")

    def planned(self, name):
        """The new machine comes first; the old one stops when the new one counts."""
        self.add_machine()
        self.stopping.add(name)
        self.at(CATCH_UP_MS + MARGIN_MS, lambda: self.stop(name, LEAVE_LIMIT_MS))

    def stop(self, name, left_ms):
        """Stops a machine as `joining.leave_if_replaced` does."""
        self.log(f"{name} stops")
        self._wait_to_leave(self.members[name], left_ms)

    def _wait_to_leave(self, member, left_ms):
        leadership = member.node.leadership
        if leadership is not None and leadership.transfer_to is None:
            leaving_ids = self.policy(member).leaving_ids
            membership.start_transfer(member.node, None, member.now_ms(), leaving_ids)
            member.process_outputs()
        others = [leader for leader in self.leaders() if leader is not member]
        for leader in others:
            self.policy(leader).leaving_ids.add(member.disk_id)
        is_removed = any(
            quorum.member_by_id(leader.node.group, member.disk_id) is None
            and leader.node.commit_index >= leader.node.group_index
            for leader in others
        )
        if is_removed or left_ms <= 0:
            for policy in self.policies.values():
                policy.leaving_ids.discard(member.disk_id)
            self.end_for_good(member.name)
            self.stopping.discard(member.name)
        else:
            self.at(50, lambda: self._wait_to_leave(member, left_ms - 50))

    def replaced(self, name):
        self.end_for_good(name)
        self.at(1_000, self.add_machine)
        self.back_after(1_000)

    def frozen(self, name):
        duration_ms = self.rng.choice((1_500, 3_000, 6_500))
        member = self.members[name]
        member.is_frozen = True
        self.log(f"{name} is frozen for {duration_ms} ms")

        def thaw():
            member.is_frozen = False

        self.at(duration_ms, thaw)
        self.back_after(duration_ms)

    def wiped(self, name):
        self.members[name].crash(mid_write=False)
        self.log(f"{name} loses its disk")
        self.at(1_500, lambda: self.wipe(name))
        self.back_after(1_500)

    def restarted(self, name):
        member = self.members[name]
        member.crash(mid_write=self.rng.random() < 0.5)
        duration_ms = self.rng.choice((300, 1_000, 5_000))
        self.log(f"{name} is down for {duration_ms} ms")
        self.at(duration_ms, member.start)
        self.back_after(duration_ms)

    def cut(self, name):
        self.blocked_links |= {
            pair
            for other in [*self.members, f"m{self.machines_count}"]
            for pair in ((name, other), (other, name))
        }
        duration_ms = self.rng.choice((1_500, 6_500))
        self.log(f"{name} is cut off for {duration_ms} ms")

        def heal():
            self.blocked_links = {
                pair for pair in self.blocked_links if name not in pair
            }

        self.at(duration_ms, heal)
        self.back_after(duration_ms)

    def lossy(self, name):
        self.loss_rate = 0.04

        def end():
            self.loss_rate = 0.0

        self.at(5_000, end)
        self.settled_ms = max(self.settled_ms, self.time_ms + 5_000)

    def large(self, name):
        """Compacts all logs, so that members that lag need a snapshot."""
        for member in self.members.values():
            if member.is_running:
                member.take_snapshot()


def play(seed, series_count):
    """Plays series of two disruptions, after each of which two disks are lost."""
    cluster = MembershipCluster(seed)
    rng = cluster.rng
    cluster.run(3_000)
    for _ in range(series_count):
        names = _order_with_leader(cluster, rng)
        for position in range(2):
            kind = rng.choice(DISRUPTIONS)
            cluster.run(rng.choice((0, 0, 500, 1_500, 3_000, 4_500)))
            getattr(cluster, kind)(names[position])
        cluster.run_until_settled()
        _lose_two_disks(cluster, rng)
    return cluster


def _order_with_leader(cluster, rng):
    """Returns the machines' names in random order, often the leader first."""
    names = sorted(cluster.members)
    rng.shuffle(names)
    leaders = [leader.name for leader in cluster.leaders()]
    if leaders and rng.random() < 0.4:
        names.remove(leaders[0])
        names.insert(0, leaders[0])
    return names


def _lose_two_disks(cluster, rng):
    before = cluster.oracle.highest_acknowledged
    for leader in cluster.leaders():
        voters = quorum.voter_ids(leader.node.group)
        working = [known for known in voters if cluster.find_by_disk_id(known)]
        needed_count = len(voters) // 2 + 1 + FAULTS_COUNT
        assert len(working) >= needed_count, "two more losses end the quorum"
    voters = [
        member.name
        for leader in cluster.leaders()[:1]
        for member in leader.node.group.members
        if member.voter and member.name in cluster.members
    ]
    names = rng.sample(voters or sorted(cluster.members), 2)
    for name in names:
        cluster.members[name].crash(mid_write=False)
    cluster.log(f"{names} lose their disks")
    cluster.run(1_000)
    for name in names:
        cluster.wipe(name)
    cluster.run(RECOVERY_MS)
    leaders = cluster.leaders()
    assert cluster.oracle.highest_acknowledged > before, "no quorum is left"
    for leader in leaders:
        cluster.oracle.on_state(leader.node.applied_index, leader.commands)
        voters_count = len(quorum.voter_ids(leader.node.group))
        assert voters_count >= FAULTS_COUNT * 2 + 1, "the group stays too small"
