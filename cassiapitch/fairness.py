"""Fair queue of waiting requests for one model or service role.

More urgent ranks are served first. Within a rank, accounts share the service by weight
 (self-clocked fair queueing, Golestani 1994).
"""

import dataclasses
import heapq
import itertools
from collections import deque
from collections.abc import Generator, Iterator

from cassiapitch.types import AccountName

WAITING_LIMIT_COUNT = 2_048
COMPLETIONS_WINDOW_MS = 5_000
# With fewer completions the estimated rate is too uncertain to refuse a request.
MIN_COMPLETIONS_COUNT = 10


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One waiting request.

    Attributes:
        account: The client account, empty on an open route.
        weight: The account's weight.
        rank: Priority rank, 0 first.
        cost: The request's tokens, the unit in which service is shared.
        deadline_ms: Time at which the request is refused if it still waits.
        since_ms: Time at which it began to wait.
        finish_tag: Virtual finish time within its rank.
        number: Sequence number in order of arrival.
        is_waiting: Whether it is still in the queue.
    """

    account: AccountName
    weight: int
    rank: int
    cost: int
    deadline_ms: int
    since_ms: int
    finish_tag: float = 0.0
    number: int = 0
    is_waiting: bool = False


class _RankClass:
    """Waiting requests of one rank, by finish tag or first come, first served.

    Tickets that were served or abandoned stay in the heap until they reach its top.
    """

    def __init__(self, is_fifo: bool) -> None:
        self._is_fifo = is_fifo
        self._virtual_time = 0.0
        self._finish_tags: dict[AccountName, float] = {}
        self._heap: list[tuple[float, int, Ticket]] = []
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket and sets its finish tag.

        An account that was idle starts at the current virtual time. It gets its share
        at once, but no credit for the service that it left unused.
        """
        start_tag = max(self._virtual_time, self._finish_tags.get(ticket.account, 0.0))
        ticket.finish_tag = start_tag + ticket.cost / max(1, ticket.weight)
        self._finish_tags[ticket.account] = ticket.finish_tag
        self._insert(ticket)
        self.count += 1

    def _insert(self, ticket: Ticket) -> None:
        key = float(ticket.number) if self._is_fifo else ticket.finish_tag
        heapq.heappush(self._heap, (key, ticket.number, ticket))

    def in_order(self) -> Generator[Ticket, None, None]:
        """Yields waiting tickets in order; unserved ones stay queued when closed."""
        yielded: list[Ticket] = []
        try:
            while self._heap:
                _, _, ticket = heapq.heappop(self._heap)
                if ticket.is_waiting:
                    yielded.append(ticket)
                    yield ticket
        finally:
            for ticket in yielded:
                if ticket.is_waiting:
                    self._insert(ticket)

    def mark_served(self, ticket: Ticket) -> None:
        """Removes a served ticket and advances the virtual time to its finish tag."""
        self._virtual_time = max(self._virtual_time, ticket.finish_tag)
        self.count -= 1
        self._reset_if_idle()

    def mark_abandoned(self, ticket: Ticket) -> None:
        """Removes an unserved ticket and subtracts its cost from the account's tag."""
        normalized_cost = ticket.cost / max(1, ticket.weight)
        if ticket.account in self._finish_tags:
            self._finish_tags[ticket.account] -= normalized_cost
        self.count -= 1

    def count_ahead(self, ticket: Ticket) -> int:
        """Returns the number of waiting tickets before `ticket`."""
        key = float(ticket.number) if self._is_fifo else ticket.finish_tag
        position = (key, ticket.number)
        return sum(
            1
            for key, number, other in self._heap
            if other.is_waiting and (key, number) < position
        )

    def tickets(self) -> Iterator[Ticket]:
        """Yields the waiting tickets in no particular order."""
        return (ticket for _, _, ticket in self._heap if ticket.is_waiting)

    def _reset_if_idle(self) -> None:
        if self.count == 0:
            self._finish_tags.clear()
            self._virtual_time = 0.0


class FairQueue:
    """Waiting requests of one queue, by rank, and within a rank by accounts."""

    def __init__(self, policy: str) -> None:
        self._is_fifo = policy == "first_come"
        # One class for each rank that has had requests.
        self._classes: dict[int, _RankClass] = {}
        self._numbers = itertools.count(1)
        # Times of completions since then, while requests have waited without a break.
        self._completions: deque[int] = deque()
        self._waiting_since_ms = 0

    def __len__(self) -> int:
        return sum(rank_class.count for rank_class in self._classes.values())

    def is_full(self) -> bool:
        """Returns whether the queue has reached its limit."""
        return len(self) >= WAITING_LIMIT_COUNT

    def push(self, ticket: Ticket) -> None:
        """Queues a request."""
        if not len(self):
            # What was completed while nothing waited shows how many requests came, not
            # how many can be served.
            self._completions.clear()
            self._waiting_since_ms = ticket.since_ms
        ticket.number = next(self._numbers)
        ticket.is_waiting = True
        rank_class = self._classes.get(ticket.rank)
        if rank_class is None:
            rank_class = self._classes[ticket.rank] = _RankClass(self._is_fifo)
        rank_class.push(ticket)

    def ranks(self) -> list[int]:
        """Returns the ranks of waiting requests, the most urgent first."""
        return sorted(
            rank for rank, rank_class in self._classes.items() if rank_class.count
        )

    def count_up_to(self, rank: int) -> int:
        """Returns the number of waiting requests of this rank and more urgent ones."""
        return sum(
            rank_class.count
            for other, rank_class in self._classes.items()
            if other <= rank
        )

    def last_after(self, rank: int) -> Ticket | None:
        """Returns the last request of the least urgent rank after `rank`, if any."""
        ranks = self.ranks()
        if not ranks or ranks[-1] <= rank:
            return None
        tickets = self._classes[ranks[-1]].tickets()
        return max(tickets, key=lambda ticket: ticket.number)

    def in_order(self, rank: int) -> Generator[Ticket, None, None]:
        """Yields waiting requests of one rank in the order to serve them."""
        rank_class = self._classes.get(rank)
        if rank_class is not None:
            yield from rank_class.in_order()

    def serve(self, ticket: Ticket) -> None:
        """Removes a request that is being served."""
        ticket.is_waiting = False
        self._classes[ticket.rank].mark_served(ticket)

    def abandon(self, ticket: Ticket) -> None:
        """Removes an unserved request; does nothing if it was removed already."""
        if ticket.is_waiting:
            ticket.is_waiting = False
            self._classes[ticket.rank].mark_abandoned(ticket)

    def record_completion(self, now_ms: int) -> None:
        """Records a completed request; waits are estimated from the completion rate."""
        if len(self):
            self._completions.append(now_ms)
            self._drop_old(now_ms)

    def expected_wait_ms(self, ticket: Ticket, now_ms: int) -> int | None:
        """Returns the estimated wait of a request, or None with too few completions.

        Completions count since requests began to wait, at most the last 5 s.
        """
        self._drop_old(now_ms)
        if len(self._completions) < MIN_COMPLETIONS_COUNT:
            return None
        ahead = self._classes[ticket.rank].count_ahead(ticket)
        ahead += self.count_up_to(ticket.rank - 1)
        span_ms = min(COMPLETIONS_WINDOW_MS, now_ms - self._waiting_since_ms)
        return ahead * span_ms // len(self._completions)

    def expired(self, now_ms: int) -> list[Ticket]:
        """Returns the waiting requests whose deadline has passed."""
        return [
            ticket
            for rank_class in self._classes.values()
            for ticket in rank_class.tickets()
            if now_ms >= ticket.deadline_ms
        ]

    def oldest_since_ms(self, rank: int) -> int | None:
        """Returns since when a request of this rank or a more urgent one has waited."""
        return min(
            (
                ticket.since_ms
                for other, rank_class in self._classes.items()
                if other <= rank
                for ticket in rank_class.tickets()
            ),
            default=None,
        )

    def _drop_old(self, now_ms: int) -> None:
        while self._completions and (
            now_ms - self._completions[0] > COMPLETIONS_WINDOW_MS
        ):
            self._completions.popleft()
