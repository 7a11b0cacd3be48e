"""Types between a member of the control group and the rest of its process."""

import dataclasses
from typing import Protocol

from cassiapitch import quorum
from cassiapitch.node import Node
from cassiapitch.raftmessages import GroupMember


class StateMachine(Protocol):
    """State machine that the log's commands are applied to; must be deterministic."""

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Applies a command and returns its result."""
        ...

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member knows about itself and the group.

    Attributes:
        name: The member's name.
        role: `leader`, `candidate`, `follower`, `learner`, or `waiting` for a
            member that doesn't belong to a group.
        term: The member's term.
        leader: The leader's name, or None if it isn't known.
        commit_index: Highest index that the member knows to be committed.
        applied_index: Highest index that the member has applied.
        members: The members of the group.
    """

    name: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    members: tuple[GroupMember, ...]


def name_of_leader(node: Node) -> str | None:
    """Returns the leader's name, or None if it isn't known."""
    if node.leader_id is None:
        return None
    leader = quorum.member_by_id(node.group, node.leader_id)
    return None if leader is None else leader.name


def status_of(name: str, node: Node | None) -> MemberStatus:
    """Returns a member's status; `node` is None until its data folder is open."""
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
