"""Quorums and single-member changes of the group."""

import dataclasses
from collections.abc import Iterable

from cassiapitch.raftmessages import Group, GroupMember

MAX_MEMBERS_COUNT = 9


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRefused:
    """A change of the group that isn't allowed now, and why.

    Attributes:
        reason: Why.
        is_temporary: Whether the same change may be allowed in a moment.
    """

    reason: str
    is_temporary: bool = False


def member_by_id(group: Group, disk_id: str) -> GroupMember | None:
    """Returns the member with a disk id, if it belongs to the group."""
    return next((one for one in group.members if one.disk_id == disk_id), None)


def member_by_name(group: Group, name: str) -> GroupMember | None:
    """Returns the member with a name, if it belongs to the group."""
    return next((one for one in group.members if one.name == name), None)


def voter_ids(group: Group) -> tuple[str, ...]:
    """Returns the disk ids of all voters."""
    return tuple(one.disk_id for one in group.members if one.voter)


def is_quorum(group: Group, disk_ids: Iterable[str]) -> bool:
    """Tells whether a majority of the voters is among `disk_ids`."""
    voters = set(voter_ids(group))
    return len(voters) > 0 and len(voters.intersection(disk_ids)) * 2 > len(voters)


def quorum_value(values: list[int]) -> int:
    """Returns the highest value that a majority of `values` reaches."""
    return sorted(values, reverse=True)[len(values) // 2]


def with_learner(group: Group, learner: GroupMember) -> Group | ChangeRefused:
    """Returns the group with one more learner."""
    if member_by_id(group, learner.disk_id) is not None:
        return ChangeRefused(f"{learner.name} is already a member with this disk")
    if member_by_name(group, learner.name) is not None:
        return ChangeRefused(f"{learner.name} is a member; remove it first")
    if len(group.members) >= MAX_MEMBERS_COUNT:
        return ChangeRefused(f"the group already has {MAX_MEMBERS_COUNT} members")
    return Group((*group.members, learner))


def with_promoted(group: Group, name: str) -> Group | ChangeRefused:
    """Returns the group with a learner made a voter."""
    member = member_by_name(group, name)
    if member is None:
        return ChangeRefused(f"{name} is not a member")
    if member.voter:
        return ChangeRefused(f"{name} is already a voter")
    promoted = dataclasses.replace(member, voter=True)
    return Group(tuple(promoted if one is member else one for one in group.members))


def without(group: Group, name: str) -> Group | ChangeRefused:
    """Returns the group without a member."""
    member = member_by_name(group, name)
    if member is None:
        return ChangeRefused(f"{name} is not a member")
    if voter_ids(group) == (member.disk_id,):
        return ChangeRefused(f"{name} is the last voter")
    return Group(tuple(one for one in group.members if one is not member))
