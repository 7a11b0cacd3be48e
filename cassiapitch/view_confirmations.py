"""Requests of entries to confirm that their view is current.

A member runs one `read_index` at a time. It answers only requests that arrived before
it began, since its index says nothing about what was acknowledged later.
"""

import dataclasses
from collections.abc import Hashable, Iterable


@dataclasses.dataclass(slots=True)
class ViewConfirmations:
    """Confirmation requests of all links; a link's later one replaces its earlier one.

    Attributes:
        waiting: Sequence number of each link's request that waits for the next read.
        covered: Sequence numbers that the running read answers; empty if none runs.
        is_reading: Whether a read is running.
    """

    waiting: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    covered: dict[Hashable, int] = dataclasses.field(default_factory=dict)
    is_reading: bool = False


def add_request(state: ViewConfirmations, link: Hashable, sequence: int) -> None:
    """Adds a link's request; its answer also answers the link's older requests."""
    state.waiting[link] = max(sequence, state.waiting.get(link, 0))


def begin_read(state: ViewConfirmations) -> bool:
    """Starts a read for all waiting requests.

    Returns False if no request waits or a read is already running.
    """
    if state.is_reading or not state.waiting:
        return False
    state.covered = state.waiting
    state.waiting = {}
    state.is_reading = True
    return True


def end_read(
    state: ViewConfirmations, index: int | None
) -> Iterable[tuple[Hashable, int]]:
    """Ends the read; returns links and sequence numbers that `index` confirms.

    Without an index the requests are dropped: the entries repeat them, and a later
    read must not be taken for a confirmation of a moment before it began.
    """
    covered = state.covered
    state.covered = {}
    state.is_reading = False
    return [] if index is None else list(covered.items())
