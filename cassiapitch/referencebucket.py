"""What a limiter that sees all calls of a client account at once would admit."""

import bisect


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
