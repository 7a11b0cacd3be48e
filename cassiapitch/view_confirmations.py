"""Confirms to entries that their view is current.

One `read_index` at a time runs for a member. Only asks that came before it began
are answered by it, since its index says nothing about what was acknowledged later.
"""

import dataclasses
from collections.abc import Hashable, Iterable


@dataclasses.dataclass(slots=True)
class ViewConfirmations:
    """Asks of all links: one link's later ask replaces its earlier one.

    Attributes:
        waiting: Sequence of each link's ask that no running read covers.
        covered: Sequences that the running read covers; empty if none runs.
        is_reading: Whether a read runs.
    """

    waiting: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    covered: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    is_reading: bool = False


def add_request(state: ViewConfirmations, link: Hashable, sequence: int) -> None:
    """Notes an ask; an older sequence of the same link is covered by it."""
    state.waiting[link] = max(sequence, state.waiting.get(link, 0))


def begin_read(state: ViewConfirmations) -> bool:
    """Starts a read for all waiting asks; False if none waits or one runs."""
    if state.is_reading or not state.waiting:
        return False
    state.covered = state.waiting
    state.waiting = {}
    state.is_reading = True
    return True


def end_read(
    state: ViewConfirmations, index: int | None
) -> Iterable[tuple[Hashable, int]]:
    """Ends the read; returns links and sequences that `index` confirms.

    Without an index the asks are dropped: the entries ask again, and a later read
    must not be taken for a confirmation of an earlier moment than it began.
    """
    covered = state.covered
    state.covered = {}
    state.is_reading = False
    return [] if index is None else list(covered.items())
