"""Chooses at which limited backend server a waiting request waits for a permit.

A request stays in one queue, so that it keeps its position. It changes to another queue
only if its own is too slow for it.
"""

import dataclasses
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from cassiapitch.types import LifeId

if TYPE_CHECKING:
    from cassiapitch.send_limits import SendLimits


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request as this module sees it.

    Attributes:
        latest_ms: Latest time of a permit at which the request joins a queue.
        deadline_ms: Time at which the request is refused if it still waits.
        life_id: The incarnation whose permit it waits for; None if not chosen yet.
        is_accepted: Whether it was expected to get a permit by `latest_ms`.
        rank: Priority rank, 0 first.
        tokens: Prompt tokens; 0 without a prompt.
        paced_wait_ms: Longest wait for a permit at which it joins a queue where prompts
            are paced.
        paced_latest_ms: Time until which it joins one; None before it first could.
        weight: Weight of its client account.
        account: Tag of its client account, see `limit_messages.account_tag`.
        granted_life: The paced incarnation for which the entry got a permit for it.
        is_late: Whether it waits as a late one, and uses a permit of its own only.
    """

    latest_ms: int
    deadline_ms: int
    life_id: LifeId | None = None
    is_accepted: bool = False
    rank: int = 0
    tokens: int = 0
    paced_wait_ms: int = 0
    paced_latest_ms: int | None = None
    weight: int = 1
    account: int = 0
    granted_life: LifeId | None = None
    is_late: bool = False

    def is_in_time(self, permit_ms: int, *, is_paced: bool = False) -> bool:
        """Returns whether a permit at this time is early enough.

        Once a request has joined a queue, it stays until its deadline: waits are
        estimates, and giving up a position near the front would waste the wait.
        """
        if self.is_accepted:
            return permit_ms <= self.deadline_ms
        latest_ms = self.paced_latest_ms if is_paced else self.latest_ms
        return latest_ms is None or permit_ms <= latest_ms


PermitQueues = dict[LifeId, list[QueuedRequest]]
UsableLives = Callable[[QueuedRequest], Sequence[LifeId]]


def assign(
    requests: Sequence[QueuedRequest],
    usable_lives: UsableLives,
    send_limits: "SendLimits",
    now_ms: int,
) -> PermitQueues:
    """Returns the queues of this entry, with the waiting requests in order.

    More urgent requests come first, those of one rank in the order of arrival, and late
    ones last.

    Args:
        requests: The waiting requests, in the order in which they arrived.
        usable_lives: Returns the limited incarnations that may get a request.
        send_limits: What the leader told of the queues.
        now_ms: The current time.
    """
    queues: PermitQueues = {}
    for request in sorted(requests, key=lambda item: (item.is_late, item.rank)):
        lives = usable_lives(request)
        for life_id in lives:
            queues.setdefault(life_id, [])
        if request.life_id not in lives:
            request.life_id = _shortest(request, lives, queues, send_limits, now_ms)
        if request.life_id is not None:
            queues[request.life_id].append(request)
    return queues


def late_requests(
    queues: PermitQueues,
    usable_lives: UsableLives,
    send_limits: "SendLimits",
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
            is_paced = send_limits.is_paced(life_id)
            if is_paced:
                wait_ms = send_limits.paced_wait_ms(life_id, request, position, now_ms)
            else:
                wait_ms = send_limits.expected_wait_ms(
                    life_id, position, now_ms, request.rank
                )
            if is_paced and request.paced_latest_ms is None:
                request.paced_latest_ms = now_ms + request.paced_wait_ms
            if wait_ms is None or request.is_in_time(
                now_ms + wait_ms, is_paced=is_paced
            ):
                request.is_accepted = request.is_accepted or wait_ms is not None
                position += 1
                continue
            # Those behind a refused request move up.
            queues[life_id].remove(request)
            other = _shortest(
                request, usable_lives(request), queues, send_limits, now_ms
            )
            if other is not None and other != life_id:
                other_wait_ms = _end_wait_ms(
                    request, other, queues, send_limits, now_ms
                )
                if request.is_in_time(
                    now_ms + (other_wait_ms or 0),
                    is_paced=send_limits.is_paced(other),
                ):
                    request.life_id = other
                    queues[other].append(request)
                    continue
            spacing_ms = send_limits.spacing_ms(life_id)
            late.append((request, wait_ms + refused_count * spacing_ms))
            refused_count += 1
    return late


def without_waiting_late(
    late: Sequence[tuple[QueuedRequest, int]],
    queues: PermitQueues,
    usable_lives: UsableLives,
    send_limits: "SendLimits",
    now_ms: int,
) -> list[tuple[QueuedRequest, int]]:
    """Lets requests wait as late ones where they are expected to be sent first.

    Args:
        late: What `late_requests` has returned.
        queues: The same as there; gets the requests that wait.
        usable_lives: The same as there.
        send_limits: What the leader told of the queues.
        now_ms: The current time.

    Returns:
        Those that can't be sent before their deadline in any queue.
    """
    paced = send_limits.paced_requests
    if not paced.accepts_late:
        return list(late)
    remaining = []
    for request, wait_ms in late:
        late_waits_ms = {
            life_id: paced.waits.late_wait_ms(life_id, request.rank, now_ms)
            for life_id in usable_lives(request)
            if send_limits.is_paced(life_id) and paced.waits.is_known(life_id)
        }
        life_id = min(late_waits_ms, key=late_waits_ms.__getitem__, default=None)
        if life_id is None or (now_ms + late_waits_ms[life_id] >= request.deadline_ms):
            remaining.append((request, wait_ms))
            continue
        request.life_id = life_id
        request.is_late = request.is_accepted = True
        queues.setdefault(life_id, []).append(request)
    return remaining


def may_use_permit(
    request: QueuedRequest, life_id: LifeId, send_limits: "SendLimits"
) -> bool:
    """Returns whether a request may use any permit of an incarnation.

    A late one leaves those of paced incarnations that weren't given for it to requests
    that can still be in time.
    """
    if not request.is_late or request.granted_life == life_id:
        return True
    is_paced = send_limits.is_paced(life_id)
    return not (is_paced and send_limits.paced_requests.accepts_late)


def _shortest(
    request: QueuedRequest,
    lives: Sequence[LifeId],
    queues: PermitQueues,
    send_limits: "SendLimits",
    now_ms: int,
) -> LifeId | None:
    """Returns the incarnation whose queue has the shortest wait at its end."""
    return min(
        lives,
        key=lambda life_id: (
            _end_wait_ms(request, life_id, queues, send_limits, now_ms) or 0
        ),
        default=None,
    )


def _end_wait_ms(
    request: QueuedRequest,
    life_id: LifeId,
    queues: PermitQueues,
    send_limits: "SendLimits",
    now_ms: int,
) -> int | None:
    """Returns the wait of a further request like this one, None if not known."""
    position = len(queues[life_id])
    if send_limits.is_paced(life_id):
        return send_limits.paced_wait_ms(life_id, request, position, now_ms)
    return send_limits.expected_wait_ms(life_id, position, now_ms, request.rank)
