"""Floors of the rate buckets' levels as replicated state (see `floor_records`)."""

import dataclasses

from cassiapitch.commands import FloorsRecorded, RecordFloors
from cassiapitch.types import AccountName


@dataclasses.dataclass(slots=True)
class Floors:
    """The floors in force.

    Attributes:
        term: Raft term of the granter that recorded last.
        sequence: Number of that granter's last record.
        floors: Maps accounts to floors in microtokens.
        limits: Maps accounts to rate (tokens per second) and burst (tokens) under
            which their floor was recorded.
    """

    term: int
    sequence: int
    floors: dict[AccountName, int]
    limits: dict[AccountName, tuple[int, int]] = dataclasses.field(default_factory=dict)


def record(state: Floors, command: RecordFloors) -> FloorsRecorded:
    """Applies a record unless a later one, or one of a later term, was applied."""
    current = (state.term, state.sequence)
    if (command.term, command.sequence) < current:
        return FloorsRecorded(False, {})
    if (command.term, command.sequence) > current:
        state.term = command.term
        state.sequence = command.sequence
        state.floors.update(command.floors)
        state.limits.update(command.limits)
    return FloorsRecorded(True, dict(state.floors), dict(state.limits))
