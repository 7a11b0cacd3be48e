"""Decides which members a control group without operators admits and replaces.

A group that has to survive the loss of f members at once has 2f + 1 voters. A member
that comes back with an empty disk, or another machine in its place, takes the place
of a voter; it has no vote before it has the whole log.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from cassiapitch.raftmessages import ChangeKind, Group, GroupMember

# A candidate asks several times a second; one that has stopped asking is gone.
CANDIDATE_LIFE_MS = 2_000

# A voter that is only restarted or frozen is back sooner.
LOST_AFTER_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A member that waits to be admitted, and when it last asked."""

    member: GroupMember
    asked_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of the group to make now; `member` is given for an admission."""

    kind: ChangeKind
    name: str
    member: GroupMember | None = None


def required_voters_count(tolerated_faults_count: int) -> int:
    """Returns the voters that bear the loss of a number of members at once."""
    return 2 * tolerated_faults_count + 1


def next_change(
    group: Group,
    wanted_count: int,
    candidates: Iterable[JoinRequest],
    contacts_ms: Mapping[str, int],
    now_ms: int,
) -> Change | None:
    """Returns the change that brings the group nearer to its size, if there is one.

    Args:
        group: The group in force.
        wanted_count: Voters that it should have.
        candidates: Members that ask to be admitted.
        contacts_ms: When each other member last answered the leader, by disk id.
        now_ms: The current time.
    """
    current = [
        candidate.member
        for candidate in candidates
        if now_ms - candidate.asked_ms <= CANDIDATE_LIFE_MS
    ]
    by_name = {member.name: member for member in group.members}
    known_ids = {member.disk_id for member in group.members}
    for member in current:
        replaced = by_name.get(member.name)
        if replaced is not None and replaced.disk_id != member.disk_id:
            return Change(ChangeKind.REMOVE, member.name)
    voters = [member for member in group.members if member.voter]
    learners = [member for member in group.members if not member.voter]
    lost = _lost(group, contacts_ms, now_ms)
    for member in learners:
        if member in lost:
            return Change(ChangeKind.REMOVE, member.name)
    if learners:
        if len(voters) < wanted_count:
            return Change(ChangeKind.PROMOTE, learners[0].name)
        for member in voters:
            if member in lost:
                return Change(ChangeKind.REMOVE, member.name)
    new = [member for member in current if member.disk_id not in known_ids]
    has_place = len(voters) + len(learners) < wanted_count
    # A spare is admitted only for a voter that is lost; further learners would only
    # receive the log.
    has_vacancy = any(member in lost for member in voters) and not learners
    if new and (has_place or has_vacancy):
        return Change(ChangeKind.ADD_LEARNER, new[0].name, new[0])
    return None


def _lost(
    group: Group, contacts_ms: Mapping[str, int], now_ms: int
) -> list[GroupMember]:
    """Returns members that haven't answered the leader for a long time."""
    lost = []
    for member in group.members:
        acked_ms = contacts_ms.get(member.disk_id)
        if acked_ms is not None and now_ms - acked_ms > LOST_AFTER_MS:
            lost.append(member)
    return lost
