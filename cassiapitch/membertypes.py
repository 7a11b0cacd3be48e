"""What a member offers to, and needs from, the other parts of a control process."""

import dataclasses
from typing import Protocol

from cassiapitch import quorum
from cassiapitch.node import Node
from cassiapitch.raftmessages import GroupMember


class StateMachine(Protocol):
    """What the log is applied to; deterministic."""

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Applies one command and returns its result."""
        ...

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by that of a snapshot."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member knows of itself and the group.

    Attributes:
        name: Its name.
        role: `leader`, `candidate`, `follower`, `learner`, or `waiting` for a
            member that doesn't belong to a group.
        term: Its term.
        leader: The leader's name, if known.
        commit_index: Highest index that it knows to be committed.
        applied_index: Highest index that it has applied.
        members: The group.
    """

    name: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    members: tuple[GroupMember, ...]


def name_of_leader(node: Node) -> str | None:
    """Returns the leader's name, if it is known."""
    if node.leader_id is None:
        return None
    found = quorum.member_by_id(node.group, node.leader_id)
    return None if found is None else found.name


def status_of(name: str, node: Node | None) -> MemberStatus:
    """Returns a member's status; `node` is None before its files are open."""
    if node is None:
        return MemberStatus(name, "waiting", 0, None, 0, 0, ())
    own = quorum.member_by_id(node.group, node.own_id)
    if own is None:
        role = "waiting"
    else:
        role = str(node.role) if own.voter else "learner"
    return MemberStatus(
        name,
        role,
        node.term,
        name_of_leader(node),
        node.commit_index,
        node.applied_index,
        node.group.members,
    )
