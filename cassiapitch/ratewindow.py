"""Sliding-window limit of a client account, next to its token bucket.

The deployment limits the tokens that an account uses in any window of a given length.
After a quiet time, a token bucket of the same rate would refuse most of a burst that
the window still allows. A granter that knows all grants of the past window may
therefore grant more than its bucket holds; the bucket's level becomes negative then
(see `granter`).
"""

import collections
import dataclasses

from cassiapitch.bucket import GRANT_LIFE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class WindowLimit:
    """The most tokens that an account may use in any window of length `span_ms`."""

    tokens: int
    span_ms: int


@dataclasses.dataclass(slots=True)
class RateWindow:
    """Grants of one account that count in its window.

    Attributes:
        limit: The limit in force.
        complete_since_ms: Time since which `grants` holds every grant.
        grants: [stamp, time, microtokens] of each grant, oldest first.
        used: Sum of the microtokens in `grants`.
    """

    limit: WindowLimit
    complete_since_ms: int
    grants: collections.deque[list[int]] = dataclasses.field(
        default_factory=collections.deque
    )
    used: int = 0


def counted_ms(window: RateWindow) -> int:
    """Returns how long a grant counts in the window.

    A grant may be used until it expires, so it counts for its lifetime in addition.
    """
    return window.limit.span_ms + GRANT_LIFE_MS


def add_grant(window: RateWindow, stamp: int, amount: int, now_ms: int) -> None:
    """Adds a grant of `amount` microtokens."""
    _drop_old_grants(window, now_ms)
    window.grants.append([stamp, now_ms, amount])
    window.used += amount


def credit_refund(window: RateWindow, stamp: int, amount: int) -> None:
    """Subtracts unused microtokens of a grant; an unknown grant is ignored."""
    for grant in reversed(window.grants):
        if grant[0] == stamp:
            returned = min(amount, grant[2])
            grant[2] -= returned
            window.used -= returned
            return


def available(window: RateWindow, now_ms: int, microtokens_per_token: int) -> int:
    """Returns the microtokens that the window still allows.

    Returns 0 until all grants of a whole window are known: an earlier granter may have
    granted as much as the limit, or this one under other limits.

    Args:
        window: The account's window.
        now_ms: The current time.
        microtokens_per_token: The unit of grants.
    """
    if now_ms - window.complete_since_ms < counted_ms(window):
        return 0
    _drop_old_grants(window, now_ms)
    return max(0, window.limit.tokens * microtokens_per_token - window.used)


def time_until_available_ms(
    window: RateWindow, amount: int, now_ms: int, microtokens_per_token: int
) -> int | None:
    """Returns the time until the window allows `amount` microtokens.

    None if it never does.
    """
    needed = window.used + amount - window.limit.tokens * microtokens_per_token
    wait_ms = max(0, window.complete_since_ms + counted_ms(window) - now_ms)
    for _, granted_ms, granted in window.grants:
        if needed <= 0:
            break
        needed -= granted
        wait_ms = max(wait_ms, granted_ms + counted_ms(window) - now_ms)
    return None if needed > 0 else wait_ms


def _drop_old_grants(window: RateWindow, now_ms: int) -> None:
    while window.grants and window.grants[0][1] + counted_ms(window) < now_ms:
        window.used -= window.grants.popleft()[2]
