"""Interface of the control group for the code that replicates state through it."""

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
        """Proposes a command and returns the outcome."""

    async def read_index(self, timeout_ms: int) -> ReadOutcome:
        """Returns once this member has applied what a quorum confirmed."""

    def status(self) -> MemberStatus:
        """Returns name, role, term, leader, indices and members."""

    def has_lease(self, time_ms: int) -> bool:
        """Tells whether this member is the leader and holds the quorum lease."""

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
    """The command is committed and applied; `result` is its decoded result."""

    index: int
    result: Any


@dataclasses.dataclass(frozen=True, slots=True)
class NoLeader:
    """The command was certainly not applied, for instance for lack of a leader."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unresolved:
    """The command may or may not be applied."""


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
    """Returns an index that a quorum confirmed after the call began, or None."""
    outcome = await group.read_index(timeout_ms)
    return outcome.index if isinstance(outcome, ReadConfirmed) else None


def is_leader(group: ControlGroup) -> bool:
    """Tells whether this member considers itself the leader; it may lack the lease."""
    status = group.status()
    return status.leader == status.name and str(status.role) == "leader"
