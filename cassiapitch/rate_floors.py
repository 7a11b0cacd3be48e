"""Floors of the rate levels as replicated state, see `granter`."""

import dataclasses

from cassiapitch.commands import FloorsRecorded, RecordFloors
from cassiapitch.types import AccountName


@dataclasses.dataclass(slots=True)
class Floors:
    """The record in force.

    Attributes:
        term: Term of the granter that wrote it.
        sequence: Number of its last record.
        floors: Maps accounts to floors in microtokens.
        limits: Rate and burst in tokens that each floor was recorded under.
    """

    term: int
    sequence: int
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


def record(state: Floors, command: RecordFloors) -> FloorsRecorded:
    """Applies a record unless it comes from an older granter or is a late one."""
    present = (state.term, state.sequence)
    if (command.term, command.sequence) < present:
        return FloorsRecorded(False, {})
    if (command.term, command.sequence) > present:
        state.term = command.term
        state.sequence = command.sequence
        state.floors.update(command.floors)
        state.limits.update(command.limits)
    return FloorsRecorded(True, dict(state.floors), dict(state.limits))
