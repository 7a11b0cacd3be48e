"""What a limiter that sees all calls of a client account at once would admit."""

import bisect
import dataclasses
from collections.abc import Iterable


class ReferenceBucket:
    """Token bucket over an account's whole stream of calls, as sent.

    A refund is credited up to the least headroom since its charge, which gives
    the same level as if the refunded tokens had never been charged.
    """

    def __init__(self, rate_tokens_per_s: int, burst_tokens: int) -> None:
        """Starts full."""
        self._rate_per_ms = rate_tokens_per_s / 1000
        self._burst = float(burst_tokens)
        self._headroom = 0.0
        self._time_ms = 0
        self._step = 0
        # Steps and headrooms of which no later one is lower; the first one at or
        # after a step is therefore the least headroom since then.
        self._steps: list[int] = []
        self._lows: list[float] = []

    def charge(self, time_ms: int, tokens: int) -> int | None:
        """Returns the charge's number, or None if the call is beyond the rate."""
        self._refill(time_ms)
        if self._headroom + tokens > self._burst:
            return None
        self._headroom += tokens
        self._record()
        return self._step

    def charge_anyway(self, time_ms: int, tokens: int) -> int:
        """Charges a call that was admitted, even beyond the rate."""
        self._refill(time_ms)
        self._headroom += tokens
        self._record()
        return self._step

    def has_room(self, time_ms: int, tokens: int) -> bool:
        """Tells whether a call would be within the rate."""
        self._refill(time_ms)
        return self._headroom + tokens <= self._burst

    def refund(self, time_ms: int, charge: int, tokens: int) -> None:
        """Credits tokens of a charge that were not used."""
        self._refill(time_ms)
        position = bisect.bisect_left(self._steps, charge)
        least = self._lows[position] if position < len(self._lows) else self._headroom
        self._headroom -= max(0.0, min(float(tokens), least))
        self._record()

    def _refill(self, time_ms: int) -> None:
        elapsed_ms = max(0, time_ms - self._time_ms)
        self._time_ms = max(time_ms, self._time_ms)
        self._headroom = max(0.0, self._headroom - elapsed_ms * self._rate_per_ms)
        self._record()

    def _record(self) -> None:
        self._step += 1
        while self._lows and self._lows[-1] >= self._headroom:
            self._lows.pop()
            self._steps.pop()
        self._lows.append(self._headroom)
        self._steps.append(self._step)


@dataclasses.dataclass(frozen=True, slots=True)
class RateRecord:
    """What one call asked of its account's rate.

    Attributes:
        number: The call's number.
        at_ms: Its intended send time.
        cost_tokens: Its cost at admission.
        is_refused: Whether it was refused.
        end_ms: When it ended.
        unused_tokens: What it gave back then.
    """

    number: int
    at_ms: int
    cost_tokens: int
    is_refused: bool
    end_ms: int
    unused_tokens: int


def find_avoidable_refusals(
    bucket: ReferenceBucket, records: Iterable[RateRecord]
) -> set[int]:
    """Returns the refused calls for which the calls served until then left room.

    An account that sends more than its rate is refused something in any case, and
    which calls these are says nothing; it was refused too much only where its bucket,
    charged with what it was served, had room. A call that is found is charged
    too, so that the same room is not found again for the next refusal.
    """
    # Of the same millisecond, refunds go first and calls in the order of sending.
    events: list[tuple[int, bool, int, RateRecord]] = []
    for record in records:
        events.append((record.at_ms, True, record.number, record))
        if record.unused_tokens and not record.is_refused:
            # A call that ends within the millisecond of its start is charged first.
            end_ms = max(record.end_ms, record.at_ms + 1)
            events.append((end_ms, False, record.number, record))
    events.sort(key=lambda event: event[:3])
    charges: dict[int, int] = {}
    found = set()
    for time_ms, is_call, number, record in events:
        if not is_call:
            bucket.refund(time_ms, charges.pop(number), record.unused_tokens)
        elif not record.is_refused:
            charges[number] = bucket.charge_anyway(time_ms, record.cost_tokens)
        elif bucket.has_room(time_ms, record.cost_tokens):
            found.add(number)
            bucket.charge_anyway(time_ms, record.cost_tokens)
    return found
