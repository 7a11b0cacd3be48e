"""How long another attempt waits for a backend server that failed one."""

import dataclasses

SHORTEST_MS = 50
LONGEST_MS = 400
# The longest delay of the first step; it doubles with each further one.
FIRST_LONGEST_MS = 100
LAST_STEP = 2
# Draws are from this share of a delay's longest value up to it, so that requests that
# failed together don't return together.
JITTER_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A failed attempt, after which no other backend server may have room.

    Attributes:
        count: Failed attempts of the request, this one included.
        left_count: Attempts that the request may still make.
        now_ms: The current time.
        deadline_ms: When the request gets its final response at the latest.
        objective_end_ms: When its latency objective is missed; None without one.
        answer_ms: Expected time of an attempt; 0 if it isn't known.
    """

    count: int
    left_count: int
    now_ms: int
    deadline_ms: int
    objective_end_ms: int | None
    answer_ms: int


def delay_ms(failure: FailedAttempt, draw: float) -> int:
    """Returns the delay before the same backend server may get another attempt.

    Delays increase with the number of failed attempts. The last attempts get the
    longest ones, however few there are, so that they outlast a longer outage. Delays
    leave the expected time of an attempt until the deadline, and until the end of the
    objective if it can be met.

    Args:
        failure: The failed attempt.
        draw: A random number from 0 to 1.

    Returns:
        The delay in milliseconds; 0 if there is no time for the shortest one, so that
        the attempt is sent at once.
    """
    spent_ms = failure.now_ms + failure.answer_ms
    room_ms = failure.deadline_ms - spent_ms
    if room_ms < SHORTEST_MS:
        return 0
    if failure.objective_end_ms is not None:
        objective_room_ms = failure.objective_end_ms - spent_ms
        if objective_room_ms >= SHORTEST_MS:
            room_ms = min(room_ms, objective_room_ms)
    step = max(failure.count - 1, LAST_STEP + 1 - failure.left_count)
    step = max(0, min(LAST_STEP, step))
    longest_ms = min(LONGEST_MS, FIRST_LONGEST_MS << step, room_ms)
    least_ms = max(SHORTEST_MS, int(JITTER_SHARE * longest_ms))
    return least_ms + int(draw * (longest_ms - least_ms))
