"""What a member offers to, and needs from, the other parts of a control process."""

import dataclasses
from typing import Protocol

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
