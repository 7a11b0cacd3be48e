"""Decides which requests an entry still serves during a planned stop."""

from cassiapitch.service_times import ServiceTimes

# A request is taken if it will end in time though it takes this many times as long as
# usual, and a moment more.
TIME_ALLOWANCE = 1.2
SPARE_MS = 100


class StopAdmission:
    """Service times of one entry, and the deadline of its stop."""

    def __init__(self) -> None:
        self.service_times = ServiceTimes()
        self._deadline_ms: int | None = None

    def begin_stop(self, deadline_ms: int) -> None:
        """Begins a planned stop, in which responses must be complete by a deadline."""
        self._deadline_ms = deadline_ms

    def admits(self, kind: str, tokens: int, now_ms: int) -> bool:
        """Returns whether a request is likely to be served before the deadline.

        Args:
            kind: The kind of request.
            tokens: Number of tokens that its answer may have; 0 if unknown.
            now_ms: The current time.
        """
        if self._deadline_ms is None:
            return True
        likely_ms = self.service_times.likely_ms(kind, tokens)
        return now_ms + likely_ms * TIME_ALLOWANCE + SPARE_MS <= self._deadline_ms
