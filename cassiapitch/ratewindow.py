"""What an account may be granted ahead of its rate within the deployment's window.

Answers bursts of accounts that were quiet before: the users bound what an account uses
in any span of a window, and a bucket of that rate refuses most of a burst which the
window has room for. A granter that has seen all grants of a whole window may therefore
grant beyond its bucket, whose level becomes negative; see `granter`.
"""

import collections
import dataclasses

from cassiapitch.bucket import GRANT_LIFE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class WindowLimit:
    """The most tokens of an account in any span of a length."""

    tokens: int
    span_ms: int


@dataclasses.dataclass(slots=True)
class RateWindow:
    """Grants of one account that count in its window.

    Attributes:
        limit: The limit in force.
        known_since_ms: From when on every grant is in `grants`.
        grants: (stamp, time, microtokens) of each grant, oldest first.
        used: Sum of `grants`.
    """

    limit: WindowLimit
    known_since_ms: int
    grants: collections.deque[list[int]] = dataclasses.field(
        default_factory=collections.deque
    )
    used: int = 0


def span_ms(window: RateWindow) -> int:
    """Returns how long a grant counts: it may be used until the end of its life."""
    return window.limit.span_ms + GRANT_LIFE_MS


def note(window: RateWindow, stamp: int, amount: int, now_ms: int) -> None:
    """Counts a grant."""
    _forget(window, now_ms)
    window.grants.append([stamp, now_ms, amount])
    window.used += amount


def give_back(window: RateWindow, stamp: int, amount: int) -> None:
    """Takes off what of a grant was not used; an unknown grant is ignored."""
    for grant in reversed(window.grants):
        if grant[0] == stamp:
            returned = min(amount, grant[2])
            grant[2] -= returned
            window.used -= returned
            return


def room(window: RateWindow, now_ms: int, unit: int) -> int:
    """Returns the microtokens that may still be granted in this window.

    Nothing may be before all grants of a whole window are known: an earlier granter,
    or other limits, may have allowed as much.

    Args:
        window: The account's window.
        now_ms: The current time.
        unit: Microtokens in a token.
    """
    if now_ms - window.known_since_ms < span_ms(window):
        return 0
    _forget(window, now_ms)
    return max(0, window.limit.tokens * unit - window.used)


def free_ms(window: RateWindow, amount: int, now_ms: int, unit: int) -> int | None:
    """Returns the time until the window has room for an amount, or None if never."""
    needed = window.used + amount - window.limit.tokens * unit
    known_ms = max(0, window.known_since_ms + span_ms(window) - now_ms)
    for _, granted_ms, granted in window.grants:
        if needed <= 0:
            break
        needed -= granted
        known_ms = max(known_ms, granted_ms + span_ms(window) - now_ms)
    return None if needed > 0 else known_ms


def _forget(window: RateWindow, now_ms: int) -> None:
    while window.grants and window.grants[0][1] + span_ms(window) < now_ms:
        window.used -= window.grants.popleft()[2]
