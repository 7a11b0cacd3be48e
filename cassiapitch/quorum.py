"""Quorums of the control group, and the group after a change of one member."""

import dataclasses
from collections.abc import Iterable

from cassiapitch.raftmessages import Group, GroupMember

MAX_MEMBERS_COUNT = 9


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """Outcome: a change of the group or of its leader isn't allowed now.

    Attributes:
        reason: Why it isn't allowed.
        is_temporary: Whether the same change may be allowed shortly afterwards.
        retry_limit_ms: How long it is tried again if that is temporary; None for as
            long as the request allows.
    """

    reason: str
    is_temporary: bool = False
    retry_limit_ms: int | None = None


def member_by_id(group: Group, disk_id: str) -> GroupMember | None:
    """Returns the member with a disk id, or None if it isn't in the group."""
    return next((member for member in group.members if member.disk_id == disk_id), None)


def member_by_name(group: Group, name: str) -> GroupMember | None:
    """Returns the member with a name, or None if it isn't in the group."""
    return next((member for member in group.members if member.name == name), None)


def voter_ids(group: Group) -> tuple[str, ...]:
    """Returns the disk ids of all voters."""
    return tuple(member.disk_id for member in group.members if member.voter)


def is_quorum(group: Group, disk_ids: Iterable[str]) -> bool:
    """Returns whether a majority of the voters is among `disk_ids`."""
    voters = set(voter_ids(group))
    return len(voters) > 0 and len(voters.intersection(disk_ids)) * 2 > len(voters)


def quorum_value(values: list[int]) -> int:
    """Returns the highest value that a majority of `values` reaches or exceeds."""
    return sorted(values, reverse=True)[len(values) // 2]


def with_learner(group: Group, learner: GroupMember) -> Group | ChangeRefused:
    """Returns the group with a learner added."""
    if member_by_id(group, learner.disk_id) is not None:
        return ChangeRefused(f"{learner.name} is already a member with this disk")
    if member_by_name(group, learner.name) is not None:
        return ChangeRefused(f"{learner.name} is a member; remove it first")
    if len(group.members) >= MAX_MEMBERS_COUNT:
        return ChangeRefused(f"the group already has {MAX_MEMBERS_COUNT} members")
    return Group((*group.members, learner))


def with_promoted(group: Group, name: str) -> Group | ChangeRefused:
    """Returns the group with a learner promoted to voter."""
    member = member_by_name(group, name)
    if member is None:
        return ChangeRefused(f"{name} is not a member")
    if member.voter:
        return ChangeRefused(f"{name} is already a voter")
    promoted = dataclasses.replace(member, voter=True)
    return Group(
        tuple(promoted if other is member else other for other in group.members)
    )


def without_member(group: Group, name: str) -> Group | ChangeRefused:
    """Returns the group with a member removed."""
    member = member_by_name(group, name)
    if member is None:
        return ChangeRefused(f"{name} is not a member")
    if voter_ids(group) == (member.disk_id,):
        return ChangeRefused(f"{name} is the last voter")
    return Group(tuple(other for other in group.members if other is not member))
