"""Decides whether a request may be sent, or sent again.

`RequestProgress` tracks whether a backend server may have received a request, so that
one that isn't idempotent is sent at most once. `RetryBudget` limits retries as a share
of the requests.
"""

import dataclasses
from collections import deque

from cassiapitch.error_kinds import RunOutcome
from cassiapitch.statechart import load_chart

RETRIES_LIMIT_COUNT = 2
DEFAULT_WINDOW_MS = 10_000
# Wait before checking a budget again that allows no retry and has none in its window.
BUDGET_POLL_MS = 100
DEFAULT_RETRY_SHARE = 0.1
DEFAULT_MIN_RETRIES_COUNT = 10
# Entries together use only this part of the limit over all of them: each entry has its
# own window, and a retry may be sent later than it was counted.
SHARE_SAFETY_FACTOR = 0.75
SLACK_SAFETY_FACTOR = 0.75
_CHART = load_chart("request")


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimit:
    """Limit on the retries that all entries together may make for a role.

    Attributes:
        share: Allowed retries as a share of the requests in the last window.
        slack_count: Retries allowed beyond that share, over all entries.
        window_ms: Length of the sliding window.
    """

    share: float
    slack_count: float
    window_ms: float


class RetryBudget:
    """Limits retries to a share of the requests in the last window, for each role.

    Without a limit, the retries for failing backend servers would multiply the load on
    the remaining ones.
    """

    def __init__(self, limit: RetryLimit | None = None) -> None:
        """Makes a budget.

        Args:
            limit: The limit over all entries; None for this entry's default limit.
        """
        self._limit = limit
        self._window_ms = DEFAULT_WINDOW_MS if limit is None else limit.window_ms
        self._entries_count: int | None = None
        self._requests: dict[str, deque[int]] = {}
        self._retries: dict[str, deque[int]] = {}

    def set_entries_count(self, entries_count: int) -> None:
        """Sets the number of entries that share the limit, as known to the leader.

        A leader that has lost contact with some entries reports fewer, so the highest
        reported number is used. 0 means that the leader doesn't know.
        """
        if entries_count:
            self._entries_count = max(self._entries_count or 0, entries_count)

    def count_request(self, now_ms: int, role: str = "") -> None:
        """Records a new request."""
        requests = self._requests.setdefault(role, deque())
        requests.append(now_ms)
        self._drop_old(requests, now_ms)

    def retry_wait_ms(self, now_ms: int, role: str = "") -> float:
        """Returns the time until the oldest retry leaves the window."""
        retries = self._retries.get(role)
        return retries[0] + self._window_ms - now_ms if retries else BUDGET_POLL_MS

    def try_spend(self, now_ms: int, role: str = "") -> bool:
        """Records a retry; returns False if the budget is used up."""
        requests = self._requests.setdefault(role, deque())
        retries = self._retries.setdefault(role, deque())
        self._drop_old(requests, now_ms)
        self._drop_old(retries, now_ms)
        if len(retries) >= self._max_retries(len(requests)):
            return False
        retries.append(now_ms)
        return True

    def _max_retries(self, requests_count: int) -> int:
        """Returns the number of retries that this entry may make in a window.

        The slack is divided among the entries. In a large fleet, a few extra retries
        at each of two hundred entries would exceed the limit over all of them.
        """
        if self._limit is None:
            return max(
                DEFAULT_MIN_RETRIES_COUNT, int(DEFAULT_RETRY_SHARE * requests_count)
            )
        allowed_retries = self._limit.share * SHARE_SAFETY_FACTOR * requests_count
        if self._entries_count is not None:
            allowed_retries += (
                self._limit.slack_count * SLACK_SAFETY_FACTOR / self._entries_count
            )
        return int(allowed_retries)

    def _drop_old(self, times: deque[int], now_ms: int) -> None:
        while times and now_ms - times[0] >= self._window_ms:
            times.popleft()


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """State of a request in `charts/request.json`, and whether it may have been sent.

    Attributes:
        idempotent: Whether the request may run more than once.
        state: Current state in the chart.
        may_have_been_sent: Whether a backend server may have received part of it and
            has not declined to run it.
        earlier_may_have_run: Whether an earlier call with the same `Idempotency-Key`
            may have run; the idempotency claim settles it.
        written_count: Number of times that it was written to a connection.
        failures_count: Number of failed attempts.
    """

    idempotent: bool
    state: str = "received"
    may_have_been_sent: bool = False
    earlier_may_have_run: bool = False
    written_count: int = 0
    failures_count: int = 0
    _may_have_been_sent_before: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether this call, or an earlier one with the same key, may have run."""
        return self.may_have_been_sent or self.earlier_may_have_run

    def step(self, event: str) -> None:
        """Makes the transition for `event`."""
        self.state = _CHART.next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Returns whether the chart allows `event` in the current state."""
        return _CHART.allows(self.state, event)

    def may_write(self) -> bool:
        """Returns whether the request may be written to a backend server now."""
        return self.state == "sending" and (
            self.idempotent or not self.may_have_been_sent
        )

    def mark_written(self) -> None:
        """Records that the request is about to be written; call it before writing.

        Raises:
            RuntimeError: The request must not be written.
        """
        if not self.may_write():
            raise RuntimeError("a non-idempotent request must be written only once")
        self._may_have_been_sent_before = self.may_have_been_sent
        self.may_have_been_sent = True
        self.written_count += 1
        self.step("bytes_left")

    def mark_declined(self) -> None:
        """Records that the backend server of the last attempt declined to run it."""
        self.may_have_been_sent = self._may_have_been_sent_before
        self.step("retry")

    def mark_not_sent(self) -> None:
        """Records that the last attempt wrote no byte, e.g. no connection was made."""
        self.step("not_sent")

    def count_failure(self) -> bool:
        """Counts a failed attempt; returns whether the request allows another one."""
        self.failures_count += 1
        if self.failures_count > RETRIES_LIMIT_COUNT:
            return False
        return self.idempotent or not self.may_have_been_sent

    def may_retry(self, budget: RetryBudget, now_ms: int) -> bool:
        """Counts a failed attempt; returns whether request and budget allow another."""
        return self.count_failure() and budget.try_spend(now_ms)

    def outcome(self) -> RunOutcome:
        """Returns whether a refusal may say that the request did not run."""
        if self.may_have_been_sent:
            return RunOutcome.UNKNOWN
        return RunOutcome.NOT_RUN
