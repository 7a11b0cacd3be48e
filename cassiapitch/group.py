"""What replicated state needs of the control group, see `member.Member`."""

import dataclasses
from typing import Any, Protocol

from cassiapitch import codec
from cassiapitch.member import ChangeOutcome, ReadOutcome
from cassiapitch.membertypes import MemberStatus
from cassiapitch.proposals import Committed, NotAccepted, ReadConfirmed
from cassiapitch.proposer import ProposeOutcome
from cassiapitch.settings import Address


class ControlGroup(Protocol):
    """The part of `member.Member` that the hub and the administration API use."""

    async def propose(self, command: bytes, timeout_ms: int) -> ProposeOutcome:
        """Proposes a command; returns how that ended."""

    async def read_index(self, timeout_ms: int) -> ReadOutcome:
        """Returns once this member has applied what a quorum confirmed."""

    def status(self) -> MemberStatus:
        """Returns name, role, term, leader, indices and members."""

    def has_lease(self, time_ms: int) -> bool:
        """Tells whether this member leads and holds the quorum lease."""

    async def add_learner(
        self, name: str, address: Address, zone: str = ""
    ) -> ChangeOutcome:
        """Adds a member without a vote."""

    async def promote(self, name: str) -> ChangeOutcome:
        """Gives a learner its vote."""

    async def remove(self, name: str) -> ChangeOutcome:
        """Removes a member."""

    async def transfer_leadership(self, to: str | None) -> ChangeOutcome:
        """Makes another member the leader."""


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """A command is in the log; `result` is the decoded result."""

    index: int
    result: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoLeader:
    """A command was certainly not applied."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """A command may be applied or not."""


Outcome = Applied | NoLeader | Unresolved


async def propose(group: ControlGroup, command: Any, timeout_ms: int) -> Outcome:
    """Proposes a command data class and decodes its result."""
    outcome = await group.propose(codec.encode(command), timeout_ms)
    match outcome:
        case Committed():
            return Applied(outcome.index, codec.decode(outcome.result))
        case NotAccepted():
            return NoLeader()
        case _:
            return Unresolved()


async def read_index(group: ControlGroup, timeout_ms: int) -> int | None:
    """Returns an index that was confirmed after the call, or None."""
    outcome = await group.read_index(timeout_ms)
    return outcome.index if isinstance(outcome, ReadConfirmed) else None


def is_leader(group: ControlGroup) -> bool:
    """Tells whether this member takes itself for the leader."""
    status = group.status()
    return status.leader == status.name and str(status.role) == "leader"
