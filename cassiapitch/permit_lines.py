"""Chooses at which limited backend server a waiting request waits for a permit.

A request stays in one line, so that it doesn't lose its place. It changes to another
line only if its own is too slow for it.
"""

import dataclasses
from collections.abc import Callable, Sequence

from cassiapitch.send_limits import SendLimits
from cassiapitch.types import LifeId


@dataclasses.dataclass(slots=True, eq=False)
class LineMember:
    """A waiting request as this module sees it.

    Attributes:
        latest_ms: Latest time of a permit at which the request joins a line.
        deadline_ms: Time at which the request is refused if it still waits.
        life_id: The incarnation whose permit it waits for; None if not chosen yet.
        has_joined: Whether it was expected to get a permit by `latest_ms`.
    """

    latest_ms: int
    deadline_ms: int
    life_id: LifeId | None = None
    has_joined: bool = False

    def is_in_time(self, permit_ms: int) -> bool:
        """Returns whether a permit at this time is early enough.

        Once a request has joined a line, it stays until its deadline: waits are
        estimates, and giving up a place near the front would waste the wait.
        """
        return permit_ms <= (self.deadline_ms if self.has_joined else self.latest_ms)


Lines = dict[LifeId, list[LineMember]]
UsableLives = Callable[[LineMember], Sequence[LifeId]]


def assign(
    members: Sequence[LineMember],
    usable_lives: UsableLives,
    send_limits: SendLimits,
    now_ms: int,
) -> Lines:
    """Returns the lines of this entry, with the waiting requests in order.

    Args:
        members: The waiting requests, in the order in which they arrived.
        usable_lives: Returns the limited incarnations that may get a request.
        send_limits: What the leader told of the lines.
        now_ms: The current time.
    """
    lines: Lines = {}
    for member in members:
        lives = usable_lives(member)
        for life_id in lives:
            lines.setdefault(life_id, [])
        if member.life_id not in lives:
            member.life_id = _shortest(lives, lines, send_limits, now_ms)
        if member.life_id is not None:
            lines[member.life_id].append(member)
    return lines


def late_members(
    lines: Lines, usable_lives: UsableLives, send_limits: SendLimits, now_ms: int
) -> list[tuple[LineMember, int]]:
    """Returns the requests that get no permit before their deadline in any line.

    Moves those that are in time in another line to its end.

    Returns:
        Pairs of a request and the time in milliseconds until it could be sent. The
        times are one interval apart, so that the callers don't return at once.
    """
    late = []
    for life_id in list(lines):
        position, refused_count = 0, 0
        for member in list(lines[life_id]):
            wait_ms = send_limits.expected_wait_ms(life_id, position, now_ms)
            if wait_ms is None or member.is_in_time(now_ms + wait_ms):
                member.has_joined = member.has_joined or wait_ms is not None
                position += 1
                continue
            # A refused request gives its place to those behind it.
            lines[life_id].remove(member)
            other = _shortest(usable_lives(member), lines, send_limits, now_ms)
            if other is not None and other != life_id:
                other_wait_ms = send_limits.expected_wait_ms(
                    other, len(lines[other]), now_ms
                )
                if member.is_in_time(now_ms + (other_wait_ms or 0)):
                    member.life_id = other
                    lines[other].append(member)
                    continue
            spacing_ms = send_limits.spacing_ms(life_id)
            late.append((member, wait_ms + refused_count * spacing_ms))
            refused_count += 1
    return late


def _shortest(
    lives: Sequence[LifeId], lines: Lines, send_limits: SendLimits, now_ms: int
) -> LifeId | None:
    """Returns the incarnation whose line has the shortest wait at its end."""
    return min(
        lives,
        key=lambda life_id: (
            send_limits.expected_wait_ms(life_id, len(lines[life_id]), now_ms) or 0
        ),
        default=None,
    )
