"""Decides in which order waiting requests for one model are served."""

import dataclasses
import heapq
import itertools
from collections import deque
from collections.abc import Generator, Iterator

from cassiapitch.types import AccountName, Priority

WAITING_LIMIT_COUNT = 2_048
COMPLETIONS_WINDOW_MS = 5_000
# With fewer completions the rate says too little to refuse a request on its ground.
COMPLETIONS_LEAST_COUNT = 10


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """One waiting request.

    Attributes:
        account: Its client account, empty on an open route.
        weight: The account's weight.
        priority: Urgent or batch.
        cost: Its tokens, in which shares are measured.
        deadline_ms: When it is refused if it still waits.
        since_ms: When it began to wait.
        tag: Virtual finish time within its priority.
        number: Order of arrival.
        waiting: Whether it is still in the queue.
    """

    account: AccountName
    weight: int
    priority: Priority
    cost: int
    deadline_ms: int
    since_ms: int
    tag: float = 0.0
    number: int = 0
    waiting: bool = False


class _Class:
    """Waiting requests of one priority, self-clocked fair queueing (Golestani)."""

    def __init__(self, first_come: bool) -> None:
        self._first_come = first_come
        self._clock = 0.0
        self._finish: dict[AccountName, float] = {}
        self._heap: list[tuple[float, int, Ticket]] = []
        self.count = 0

    def push(self, ticket: Ticket) -> None:
        """Adds a ticket and sets its tag.

        An account that was idle starts at the clock: what it left unused went to
        the others and gives it no claim later, but its share is there at once.
        """
        start = max(self._clock, self._finish.get(ticket.account, 0.0))
        ticket.tag = start + ticket.cost / max(1, ticket.weight)
        self._finish[ticket.account] = ticket.tag
        self._insert(ticket)
        self.count += 1

    def _insert(self, ticket: Ticket) -> None:
        key = float(ticket.number) if self._first_come else ticket.tag
        heapq.heappush(self._heap, (key, ticket.number, ticket))

    def in_order(self) -> Generator[Ticket, None, None]:
        """Yields tickets in order; those still waiting afterwards are kept."""
        seen: list[Ticket] = []
        try:
            while self._heap:
                _, _, ticket = heapq.heappop(self._heap)
                if ticket.waiting:
                    seen.append(ticket)
                    yield ticket
        finally:
            for ticket in seen:
                if ticket.waiting:
                    self._insert(ticket)

    def served(self, ticket: Ticket) -> None:
        """Advances the clock to the served ticket."""
        self._clock = max(self._clock, ticket.tag)
        self.count -= 1
        self._forget_idle()

    def abandoned(self, ticket: Ticket) -> None:
        """Gives back the share of a ticket that left unserved."""
        share = ticket.cost / max(1, ticket.weight)
        if ticket.account in self._finish:
            self._finish[ticket.account] -= share
        self.count -= 1

    def ahead(self, ticket: Ticket) -> int:
        """Returns how many waiting tickets come before `ticket`."""
        key = float(ticket.number) if self._first_come else ticket.tag
        place = (key, ticket.number)
        return sum(
            1
            for key, number, other in self._heap
            if other.waiting and (key, number) < place
        )

    def tickets(self) -> Iterator[Ticket]:
        """Yields the waiting tickets in no particular order."""
        return (ticket for _, _, ticket in self._heap if ticket.waiting)

    def _forget_idle(self) -> None:
        if self.count == 0:
            self._finish.clear()
            self._clock = 0.0


class FairQueue:
    """Waiting requests of one model: urgent before batch, accounts by weight."""

    def __init__(self, policy: str) -> None:
        first_come = policy == "first_come"
        self._classes = {
            Priority.URGENT: _Class(first_come),
            Priority.BATCH: _Class(first_come),
        }
        self._numbers = itertools.count(1)
        self._completions: deque[int] = deque()

    def __len__(self) -> int:
        return sum(cls.count for cls in self._classes.values())

    def is_full(self) -> bool:
        """Tells whether no more requests may wait."""
        return len(self) >= WAITING_LIMIT_COUNT

    def push(self, ticket: Ticket) -> None:
        """Adds a request."""
        ticket.number = next(self._numbers)
        ticket.waiting = True
        self._classes[ticket.priority].push(ticket)

    def in_order(self, priority: Priority) -> Generator[Ticket, None, None]:
        """Yields waiting requests of one priority in the order to serve them."""
        return self._classes[priority].in_order()

    def serve(self, ticket: Ticket) -> None:
        """Takes a request out to serve it."""
        ticket.waiting = False
        self._classes[ticket.priority].served(ticket)

    def abandon(self, ticket: Ticket) -> None:
        """Takes a request out unserved; one that is out already is ignored."""
        if ticket.waiting:
            ticket.waiting = False
            self._classes[ticket.priority].abandoned(ticket)

    def completed(self, now_ms: int) -> None:
        """Counts a completion, from which waits are estimated."""
        self._completions.append(now_ms)
        self._drop_old(now_ms)

    def expected_wait_ms(self, ticket: Ticket, now_ms: int) -> int | None:
        """Estimates a waiting request's wait, or None if too little is known."""
        self._drop_old(now_ms)
        if len(self._completions) < COMPLETIONS_LEAST_COUNT:
            return None
        ahead = self._classes[ticket.priority].ahead(ticket)
        if ticket.priority is Priority.BATCH:
            ahead += self._classes[Priority.URGENT].count
        return ahead * COMPLETIONS_WINDOW_MS // len(self._completions)

    def expired(self, now_ms: int) -> list[Ticket]:
        """Returns waiting requests whose deadline has passed."""
        return [
            ticket
            for cls in self._classes.values()
            for ticket in cls.tickets()
            if now_ms >= ticket.deadline_ms
        ]

    def waiting(self, priority: Priority) -> tuple[int, int | None]:
        """Returns the number of waiting requests and since when the oldest waits."""
        tickets = list(self._classes[priority].tickets())
        oldest = min((ticket.since_ms for ticket in tickets), default=None)
        return len(tickets), oldest

    def _drop_old(self, now_ms: int) -> None:
        while self._completions and (
            now_ms - self._completions[0] > COMPLETIONS_WINDOW_MS
        ):
            self._completions.popleft()
