"""Reference limiter for load results: one token bucket that sees every call.

Load results are compared with what such a central limiter of a client account would
have admitted.
"""

import bisect
import dataclasses
from collections.abc import Iterable


class ReferenceBucket:
    """Token bucket over all calls of an account, in the order in which they were sent.

    A refund is credited up to the least headroom since its charge, which gives the
    same level as if the refunded tokens had never been charged. Headroom is what the
    bucket lacks to be full.
    """

    def __init__(self, rate_tokens_per_s: int, burst_tokens: int) -> None:
        """Creates a full bucket."""
        self._rate_per_ms = rate_tokens_per_s / 1000
        self._burst = float(burst_tokens)
        self._headroom = 0.0
        self._time_ms = 0
        self._step = 0
        # Steps and headrooms, without those that a later headroom equals or undercuts.
        # The first one at or after a step is the least headroom since then.
        self._steps: list[int] = []
        self._least_headrooms: list[float] = []

    def charge(self, time_ms: int, tokens: int) -> int | None:
        """Returns the charge's number, or None if the call is beyond the rate."""
        self._refill(time_ms)
        if self._headroom + tokens > self._burst:
            return None
        self._headroom += tokens
        self._record()
        return self._step

    def force_charge(self, time_ms: int, tokens: int) -> int:
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
        """Credits the unused tokens of a charge."""
        self._refill(time_ms)
        position = bisect.bisect_left(self._steps, charge)
        least = (
            self._least_headrooms[position]
            if position < len(self._least_headrooms)
            else self._headroom
        )
        self._headroom -= max(0.0, min(float(tokens), least))
        self._record()

    def _refill(self, time_ms: int) -> None:
        elapsed_ms = max(0, time_ms - self._time_ms)
        self._time_ms = max(time_ms, self._time_ms)
        self._headroom = max(0.0, self._headroom - elapsed_ms * self._rate_per_ms)
        self._record()

    def _record(self) -> None:
        self._step += 1
        while self._least_headrooms and self._least_headrooms[-1] >= self._headroom:
            self._least_headrooms.pop()
            self._steps.pop()
        self._least_headrooms.append(self._headroom)
        self._steps.append(self._step)


@dataclasses.dataclass(frozen=True, slots=True)
class RateRecord:
    """How one call was charged to its account's rate, or refused.

    Attributes:
        number: The call's number.
        at_ms: Its intended send time.
        cost_tokens: Its cost at admission.
        is_refused: Whether it was refused.
        end_ms: When it ended.
        unused_tokens: Tokens refunded when it ended.
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
    """Returns the numbers of refused calls that the account's rate had room for.

    Some calls of an account that sends more than its rate are refused in any case,
    whichever they are. A refusal was avoidable only if the bucket, charged with the
    calls that were served until then, had room for the call. Such a call is charged
    too, so that the same room doesn't count for the next refusal.
    """
    # Within a millisecond, refunds come first, then calls in the order of sending.
    events: list[tuple[int, bool, int, RateRecord]] = []
    for record in records:
        events.append((record.at_ms, True, record.number, record))
        if record.unused_tokens and not record.is_refused:
            # A refund comes after its charge, also if the call ends in the same
            # millisecond.
            end_ms = max(record.end_ms, record.at_ms + 1)
            events.append((end_ms, False, record.number, record))
    events.sort(key=lambda event: event[:3])
    charges: dict[int, int] = {}
    found = set()
    for time_ms, is_call, number, record in events:
        if not is_call:
            bucket.refund(time_ms, charges.pop(number), record.unused_tokens)
        elif not record.is_refused:
            charges[number] = bucket.force_charge(time_ms, record.cost_tokens)
        elif bucket.has_room(time_ms, record.cost_tokens):
            found.add(number)
            bucket.force_charge(time_ms, record.cost_tokens)
    return found
