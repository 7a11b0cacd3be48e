"""Decides whether a request may be sent, or sent again."""

import dataclasses
from collections import deque

from cassiapitch.error_kinds import RunOutcome
from cassiapitch.statechart import load_chart

RETRIES_LIMIT_COUNT = 2
WINDOW_MS = 10_000
# Pause of one that waits for a budget which allows nothing yet.
BUDGET_POLL_MS = 100
RETRIES_SHARE = 0.1
RETRIES_LEAST_COUNT = 10
# Parts of a limit over all entries that are used: entries see windows of their own, and
# what one has counted may be sent late.
SHARE_USED = 0.75
SLACK_USED_SHARE = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimit:
    """How many retries a role may get from all entries together.

    Attributes:
        share: Retries as a share of the requests of the last window.
        slack_count: Retries beyond that share, over all entries.
        window_ms: Length of the window.
    """

    share: float
    slack_count: float
    window_ms: float


class RetryBudget:
    """Limits retries to a share of the requests of the last window, by role.

    Without a common limit, each failing backend server would multiply the load on
    the ones that are left.
    """

    def __init__(self, limit: RetryLimit | None = None) -> None:
        """Makes a budget.

        Args:
            limit: The limit over all entries; without one, this entry's own.
        """
        self._limit = limit
        self._window_ms = WINDOW_MS if limit is None else limit.window_ms
        self._entries_count: int | None = None
        self._requests: dict[str, deque[int]] = {}
        self._retries: dict[str, deque[int]] = {}

    def set_entries_count(self, entries_count: int) -> None:
        """Takes over how many entries there are, as far as the leader has heard.

        A leader that has lost some for a moment tells fewer; the most that was told
        holds, and 0 tells nothing.
        """
        if entries_count:
            self._entries_count = max(self._entries_count or 0, entries_count)

    def count_request(self, now_ms: int, role: str = "") -> None:
        """Counts a new request."""
        requests = self._requests.setdefault(role, deque())
        requests.append(now_ms)
        self._drop_old(requests, now_ms)

    def retry_wait_ms(self, now_ms: int, role: str = "") -> float:
        """Returns when to ask again: as the oldest retry leaves the window."""
        retries = self._retries.get(role)
        return retries[0] + self._window_ms - now_ms if retries else BUDGET_POLL_MS

    def try_spend(self, now_ms: int, role: str = "") -> bool:
        """Takes one retry from the budget; false if it is used up."""
        requests = self._requests.setdefault(role, deque())
        retries = self._retries.setdefault(role, deque())
        self._drop_old(requests, now_ms)
        self._drop_old(retries, now_ms)
        if len(retries) >= self._most(len(requests)):
            return False
        retries.append(now_ms)
        return True

    def _most(self, requests_count: int) -> int:
        """Returns the retries that this entry may make in a window.

        Answers a role that fails at a large fleet: a few retries at each of two hundred
        entries are more than all of them may make together.
        """
        if self._limit is None:
            return max(RETRIES_LEAST_COUNT, int(RETRIES_SHARE * requests_count))
        most = self._limit.share * SHARE_USED * requests_count
        if self._entries_count is not None:
            most += self._limit.slack_count * SLACK_USED_SHARE / self._entries_count
        return int(most)

    def _drop_old(self, times: deque[int], now_ms: int) -> None:
        while times and now_ms - times[0] >= self._window_ms:
            times.popleft()


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """One request's way through `charts/request.json` and what has left for it.

    Attributes:
        idempotent: Whether it may run more than once.
        state: State of the chart.
        may_have_been_sent: Whether a backend server may have received part of it and
            did not say that it doesn't run it.
        earlier_may_have_run: Whether an earlier call with the same `Idempotency-Key`
            may have run; decided by the claim.
        written_count: How often it was written.
        failures_count: Attempts that failed.
    """

    idempotent: bool
    state: str = "received"
    may_have_been_sent: bool = False
    earlier_may_have_run: bool = False
    written_count: int = 0
    failures_count: int = 0
    _earlier_may_have_left: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether this call, or an earlier one that it repeats, may have run."""
        return self.may_have_been_sent or self.earlier_may_have_run

    def step(self, event: str) -> None:
        """Follows the chart."""
        self.state = load_chart("request").next_state(self.state, event)

    def allows(self, event: str) -> bool:
        """Tells whether the chart allows `event` now."""
        return load_chart("request").allows(self.state, event)

    def may_write(self) -> bool:
        """Tells whether the request may be written to a backend server now."""
        return self.state == "sending" and (
            self.idempotent or not self.may_have_been_sent
        )

    def mark_written(self) -> None:
        """Says that the first byte is about to leave; call it before writing."""
        if not self.may_write():
            raise RuntimeError("a non-idempotent request must be written only once")
        self._earlier_may_have_left = self.may_have_been_sent
        self.may_have_been_sent = True
        self.written_count += 1
        self.step("bytes_left")

    def mark_declined(self) -> None:
        """The backend server of the newest attempt said that it did not run it."""
        self.may_have_been_sent = self._earlier_may_have_left
        self.step("retry")

    def mark_not_sent(self) -> None:
        """No byte of the newest attempt left, for instance no connection was made."""
        self.step("not_sent")

    def count_failure(self) -> bool:
        """Counts a failed attempt; tells whether the request allows another one."""
        self.failures_count += 1
        if self.failures_count > RETRIES_LIMIT_COUNT:
            return False
        return self.idempotent or not self.may_have_been_sent

    def may_retry(self, budget: RetryBudget, now_ms: int) -> bool:
        """Counts a failed attempt and tells whether another one may be made."""
        return self.count_failure() and budget.try_spend(now_ms)

    def outcome(self) -> RunOutcome:
        """Returns what a refusal may say of this request."""
        if self.may_have_been_sent:
            return RunOutcome.UNKNOWN
        return RunOutcome.NOT_RUN
