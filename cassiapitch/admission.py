"""Decides membership changes of a control group that has no operators to make them.

A group that has to survive the loss of f members at once has 2f + 1 voters. A member
that comes back with an empty disk, or another instance instead of it, replaces a
voter; it becomes a voter itself only after it has received the whole log.
"""

import dataclasses
from collections.abc import Iterable, Mapping

from cassiapitch.raftmessages import ChangeKind, Group, GroupMember

# A member that wants to join asks several times a second. One that has not asked for
# this long is considered gone.
JOIN_REQUEST_VALID_MS = 2_000

# A voter that only restarts or freezes answers again within less time.
LOST_AFTER_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class JoinRequest:
    """A member that asks to be admitted, and when it last asked."""

    member: GroupMember
    asked_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class GroupChange:
    """A membership change to make now; `member` is set for an admission only."""

    kind: ChangeKind
    name: str
    member: GroupMember | None = None


def required_voters_count(tolerated_faults_count: int) -> int:
    """Returns how many voters tolerate the loss of that many members at once."""
    return 2 * tolerated_faults_count + 1


def next_change(
    group: Group,
    target_voters_count: int,
    join_requests: Iterable[JoinRequest],
    contact_times_ms: Mapping[str, int],
    now_ms: int,
) -> GroupChange | None:
    """Returns the next change towards the target group, or None if there is none.

    Args:
        group: The group in force.
        target_voters_count: Voters that it should have.
        join_requests: Members that ask to be admitted.
        contact_times_ms: When each other member last answered the leader, by disk id.
        now_ms: The current time.
    """
    joining = [
        request.member
        for request in join_requests
        if now_ms - request.asked_ms <= JOIN_REQUEST_VALID_MS
    ]
    by_name = {member.name: member for member in group.members}
    known_ids = {member.disk_id for member in group.members}
    for member in joining:
        replaced = by_name.get(member.name)
        if replaced is not None and replaced.disk_id != member.disk_id:
            return GroupChange(ChangeKind.REMOVE, member.name)
    voters = [member for member in group.members if member.voter]
    learners = [member for member in group.members if not member.voter]
    lost = _find_lost(group, contact_times_ms, now_ms)
    for member in learners:
        if member in lost:
            return GroupChange(ChangeKind.REMOVE, member.name)
    if learners:
        if len(voters) < target_voters_count:
            return GroupChange(ChangeKind.PROMOTE, learners[0].name)
        for member in voters:
            if member in lost:
                return GroupChange(ChangeKind.REMOVE, member.name)
    newcomers = [member for member in joining if member.disk_id not in known_ids]
    is_below_target = len(voters) + len(learners) < target_voters_count
    # Beyond the target, a member is admitted only to replace a lost voter; other
    # learners would receive the log for nothing.
    must_replace_lost = any(member in lost for member in voters) and not learners
    if newcomers and (is_below_target or must_replace_lost):
        return GroupChange(ChangeKind.ADD_LEARNER, newcomers[0].name, newcomers[0])
    return None


def _find_lost(
    group: Group, contact_times_ms: Mapping[str, int], now_ms: int
) -> list[GroupMember]:
    """Returns the members that haven't answered the leader for `LOST_AFTER_MS`."""
    lost = []
    for member in group.members:
        contact_ms = contact_times_ms.get(member.disk_id)
        if contact_ms is not None and now_ms - contact_ms > LOST_AFTER_MS:
            lost.append(member)
    return lost
