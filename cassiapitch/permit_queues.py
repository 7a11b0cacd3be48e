"""Chooses at which limited backend server a waiting request waits for a permit.

A request stays in one queue, so that it keeps its position. It changes to another queue
only if its own is too slow for it.
"""

import dataclasses
from collections.abc import Callable, Sequence

from cassiapitch.send_limits import SendLimits
from cassiapitch.types import LifeId


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request as this module sees it.

    Attributes:
        latest_ms: Latest time of a permit at which the request joins a queue.
        deadline_ms: Time at which the request is refused if it still waits.
        life_id: The incarnation whose permit it waits for; None if not chosen yet.
        is_accepted: Whether it was expected to get a permit by `latest_ms`.
    """

    latest_ms: int
    deadline_ms: int
    life_id: LifeId | None = None
    is_accepted: bool = False

    def is_in_time(self, permit_ms: int) -> bool:
        """Returns whether a permit at this time is early enough.

        Once a request has joined a queue, it stays until its deadline: waits are
        estimates, and giving up a position near the front would waste the wait.
        """
        return permit_ms <= (self.deadline_ms if self.is_accepted else self.latest_ms)


PermitQueues = dict[LifeId, list[QueuedRequest]]
UsableLives = Callable[[QueuedRequest], Sequence[LifeId]]


def assign(
    requests: Sequence[QueuedRequest],
    usable_lives: UsableLives,
    send_limits: SendLimits,
    now_ms: int,
) -> PermitQueues:
    """Returns the queues of this entry, with the waiting requests in order.

    Args:
        requests: The waiting requests, in the order in which they arrived.
        usable_lives: Returns the limited incarnations that may get a request.
        send_limits: What the leader told of the queues.
        now_ms: The current time.
    """
    queues: PermitQueues = {}
    for request in requests:
        lives = usable_lives(request)
        for life_id in lives:
            queues.setdefault(life_id, [])
        if request.life_id not in lives:
            request.life_id = _shortest(lives, queues, send_limits, now_ms)
        if request.life_id is not None:
            queues[request.life_id].append(request)
    return queues


def late_requests(
    queues: PermitQueues,
    usable_lives: UsableLives,
    send_limits: SendLimits,
    now_ms: int,
) -> list[tuple[QueuedRequest, int]]:
    """Returns the requests that get no permit before their deadline in any queue.

    Moves those that are in time in another queue to its end.

    Returns:
        Pairs of a request and the time in milliseconds until it could be sent. The
        times are one interval apart, so that the callers don't return at once.
    """
    late = []
    for life_id in list(queues):
        position, refused_count = 0, 0
        for request in list(queues[life_id]):
            wait_ms = send_limits.expected_wait_ms(life_id, position, now_ms)
            if wait_ms is None or request.is_in_time(now_ms + wait_ms):
                request.is_accepted = request.is_accepted or wait_ms is not None
                position += 1
                continue
            # Those behind a refused request move up.
            queues[life_id].remove(request)
            other = _shortest(usable_lives(request), queues, send_limits, now_ms)
            if other is not None and other != life_id:
                other_wait_ms = send_limits.expected_wait_ms(
                    other, len(queues[other]), now_ms
                )
                if request.is_in_time(now_ms + (other_wait_ms or 0)):
                    request.life_id = other
                    queues[other].append(request)
                    continue
            spacing_ms = send_limits.spacing_ms(life_id)
            late.append((request, wait_ms + refused_count * spacing_ms))
            refused_count += 1
    return late


def _shortest(
    lives: Sequence[LifeId], queues: PermitQueues, send_limits: SendLimits, now_ms: int
) -> LifeId | None:
    """Returns the incarnation whose queue has the shortest wait at its end."""
    return min(
        lives,
        key=lambda life_id: (
            send_limits.expected_wait_ms(life_id, len(queues[life_id]), now_ms) or 0
        ),
        default=None,
    )
