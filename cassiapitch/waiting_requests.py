"""Requests that wait for a slot at this entry, and their numbers by rank.

A late request is one that can't be in time for its objective any more and goes on
waiting until its deadline, see `permit_queues.without_waiting_late`.
"""

import collections
import dataclasses

import anyio

from cassiapitch.fairness import Ticket
from cassiapitch.permit_queues import QueuedRequest
from cassiapitch.slots import NoSlot, Slot, SlotRequest


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A waiting request.

    Attributes:
        slot_request: The request.
        ticket: Its place in the fair queue.
        done: Set once `result` is.
        queued_request: The request as the queues for permits see it.
        result: Its slot or refusal; None while it waits.
        is_counted_late: Whether it counts as a late one, and not among the ranks that
            wait.
    """

    slot_request: SlotRequest
    ticket: Ticket
    done: anyio.Event
    queued_request: QueuedRequest
    result: Slot | NoSlot | None = None
    is_counted_late: bool = False


class WaitingRequests:
    """The waiting requests of all queues, in the order of their arrival."""

    def __init__(self) -> None:
        self._waiters: dict[Ticket, Waiter] = {}
        self._rank_counts: collections.Counter[int] = collections.Counter()
        # Late requests by queue.
        self._late_counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._waiters)

    def __getitem__(self, ticket: Ticket) -> Waiter:
        return self._waiters[ticket]

    def all(self) -> list[Waiter]:
        """Returns all waiting requests."""
        return list(self._waiters.values())

    def get(self, ticket: Ticket) -> Waiter | None:
        """Returns the request with a ticket; None if it doesn't wait any more."""
        return self._waiters.get(ticket)

    def add(self, waiter: Waiter) -> None:
        """Adds a request."""
        self._waiters[waiter.ticket] = waiter
        self._rank_counts[waiter.ticket.rank] += 1

    def remove(self, ticket: Ticket) -> bool:
        """Removes a request; returns False if it was removed before."""
        waiter = self._waiters.pop(ticket, None)
        if waiter is None:
            return False
        if waiter.is_counted_late:
            self._late_counts[waiter.slot_request.queue] -= 1
        else:
            self._uncount_rank(ticket.rank)
        return True

    def count_late(self, waiter: Waiter) -> None:
        """Counts a late request, for which no place is reserved any more."""
        if not waiter.is_counted_late:
            waiter.is_counted_late = True
            self._late_counts[waiter.slot_request.queue] += 1
            self._uncount_rank(waiter.ticket.rank)

    def has_late(self, queue_name: str) -> bool:
        """Returns whether late requests wait in a queue."""
        return self._late_counts[queue_name] > 0

    def first_rank(self) -> int | None:
        """Returns the most urgent rank that waits and isn't late, None if none does."""
        return min(self._rank_counts, default=None)

    def reserved_rank(self, rank: int) -> int:
        """Returns the rank that may use this entry's reserved place at a server.

        It is kept for the most urgent rank that waits, or for the request itself.

        Args:
            rank: Rank of the request.
        """
        first_rank = self.first_rank()
        return rank if first_rank is None else first_rank

    def totals(self, now_ms: int) -> dict[tuple[str, int], tuple[int, int]]:
        """Returns number and longest wait in milliseconds by model or role and rank."""
        totals: dict[tuple[str, int], tuple[int, int]] = {}
        for ticket, waiter in self._waiters.items():
            key = (waiter.slot_request.name, ticket.rank)
            count, longest_ms = totals.get(key, (0, 0))
            wait_ms = max(longest_ms, now_ms - ticket.since_ms)
            totals[key] = (count + 1, wait_ms)
        return totals

    def _uncount_rank(self, rank: int) -> None:
        self._rank_counts[rank] -= 1
        if not self._rank_counts[rank]:
            del self._rank_counts[rank]
