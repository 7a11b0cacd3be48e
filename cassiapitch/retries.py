"""Decides whether a request may be sent, or sent again."""

import dataclasses
from collections import deque

from cassiapitch.outcomes import RunOutcome
from cassiapitch.statechart import load_chart

RETRIES_LIMIT_COUNT = 2
WINDOW_MS = 10_000
RETRIES_SHARE = 0.1
RETRIES_LEAST_COUNT = 10


class RetryBudget:
    """Limits retries to a share of the requests of the last ten seconds.

    Without a common limit, each failing backend server would multiply the load on
    the ones that are left.
    """

    def __init__(self) -> None:
        self._requests: deque[int] = deque()
        self._retries: deque[int] = deque()

    def request(self, now_ms: int) -> None:
        """Counts a new request."""
        self._requests.append(now_ms)
        _drop_old(self._requests, now_ms)

    def free_ms(self, now_ms: int) -> int:
        """Returns the time until the oldest retry leaves the window."""
        return self._retries[0] + WINDOW_MS - now_ms if self._retries else 0

    def take(self, now_ms: int) -> bool:
        """Takes one retry from the budget; false if it is used up."""
        _drop_old(self._requests, now_ms)
        _drop_old(self._retries, now_ms)
        limit = max(RETRIES_LEAST_COUNT, int(RETRIES_SHARE * len(self._requests)))
        if len(self._retries) >= limit:
            return False
        self._retries.append(now_ms)
        return True


@dataclasses.dataclass(slots=True)
class Course:
    """One request's way through `charts/request.json` and what has left for it.

    Attributes:
        idempotent: Whether it may run more than once.
        state: State of the chart.
        may_have_left: Whether a backend server may have received part of it and
            did not say that it doesn't run it.
        written_count: How often it was written.
        failures_count: Attempts that failed.
    """

    idempotent: bool
    state: str = "received"
    may_have_left: bool = False
    written_count: int = 0
    failures_count: int = 0
    _earlier_may_have_left: bool = False

    def step(self, event: str) -> None:
        """Follows the chart."""
        self.state = load_chart("request").next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Tells whether the chart allows `event` now."""
        return load_chart("request").allows(self.state, event)

    def may_write(self) -> bool:
        """Tells whether the request may be written to a backend server now."""
        return self.state == "sending" and (self.idempotent or not self.may_have_left)

    def written(self) -> None:
        """Says that the first byte is about to leave; call it before writing."""
        if not self.may_write():
            raise RuntimeError("a non-idempotent request must be written only once")
        self._earlier_may_have_left = self.may_have_left
        self.may_have_left = True
        self.written_count += 1
        self.step("bytes_left")

    def declined(self) -> None:
        """The backend server of the newest attempt said that it did not run it."""
        self.may_have_left = self._earlier_may_have_left
        self.step("retry")

    def not_sent(self) -> None:
        """No byte of the newest attempt left, for instance no connection was made."""
        self.step("not_sent")

    def failed(self) -> bool:
        """Counts a failed attempt; tells whether the request allows another one."""
        self.failures_count += 1
        if self.failures_count > RETRIES_LIMIT_COUNT:
            return False
        return self.idempotent or not self.may_have_left

    def may_retry(self, budget: RetryBudget, now_ms: int) -> bool:
        """Counts a failed attempt and tells whether another one may be made."""
        return self.failed() and budget.take(now_ms)

    def outcome(self) -> RunOutcome:
        """Returns what a refusal may say of this request."""
        if self.may_have_left:
            return RunOutcome.UNKNOWN
        return RunOutcome.NOT_RUN


def _drop_old(times: deque[int], now_ms: int) -> None:
    while times and now_ms - times[0] >= WINDOW_MS:
        times.popleft()
