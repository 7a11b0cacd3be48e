"""Decides which requests an entry still serves during a planned stop."""

import dataclasses

from cassiapitch.service_times import ServiceRun, ServiceTimes

# Reserved at the end of the grace time for the final responses, the return of rate
# grants, and the exit of the process, which takes longer on a slow processor.
STOP_MARGIN_MS = 800
# A request is taken if it will end in time though it takes this many times as long as
# the longest, and a moment more.
TIME_ALLOWANCE = 1.1
SPARE_MS = 100


def stop_deadline_ms(begun_ms: int, grace_s: float) -> int:
    """Returns when responses must be complete in a stop.

    Args:
        begun_ms: When the stop was requested.
        grace_s: Time from then to the end of the process.
    """
    return begun_ms + max(0, int(grace_s * 1_000) - STOP_MARGIN_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class StopDecision:
    """Whether a request is served during a planned stop, and why.

    Attributes:
        is_admitted: Whether it is served.
        left_ms: Time that was left until responses must be complete.
        expected_ms: How long it may take.
        samples_count: Number of requests that this rests on.
    """

    is_admitted: bool
    left_ms: int
    expected_ms: int
    samples_count: int


@dataclasses.dataclass(slots=True)
class StopCounts:
    """What became of the requests that were looked at during a stop.

    Attributes:
        admitted_count: Admissions, repeated ones of one request included.
        refused_count: Requests that were refused since too little time was left.
        cut_count: Requests that were still running when the time was over.
    """

    admitted_count: int = 0
    refused_count: int = 0
    cut_count: int = 0


class StopAdmission:
    """Service times of one entry, and the deadline of its stop."""

    def __init__(self, service_times: ServiceTimes | None = None) -> None:
        """Starts without a deadline.

        Args:
            service_times: Times that this entry records and shares.
        """
        self.service_times = ServiceTimes() if service_times is None else service_times
        self.counts = StopCounts()
        self._deadline_ms: int | None = None

    def begin_stop(self, deadline_ms: int) -> None:
        """Begins a planned stop, in which responses must be complete by a deadline."""
        self._deadline_ms = deadline_ms

    @property
    def is_stopping(self) -> bool:
        """Whether a stop has begun."""
        return self._deadline_ms is not None

    def decide(
        self,
        run: ServiceRun,
        running: list[ServiceRun],
        limit_ms: int,
        now_ms: int,
        *,
        is_behind: bool = False,
    ) -> StopDecision:
        """Returns whether a request is served, once a stop has begun.

        Args:
            run: The request.
            running: Requests that are running.
            limit_ms: Time after which it gets its final response at the latest.
            now_ms: The current time.
            is_behind: Whether more urgent requests wait; they get what is left.
        """
        assert self._deadline_ms is not None
        left_ms = self._deadline_ms - now_ms
        longest_ms = self.service_times.longest_ms(run, running, now_ms)
        if longest_ms is not None:
            limit_ms = min(limit_ms, int(longest_ms * TIME_ALLOWANCE))
        expected_ms = limit_ms + SPARE_MS
        is_admitted = expected_ms <= left_ms and not is_behind
        if is_admitted:
            self.counts.admitted_count += 1
        else:
            self.counts.refused_count += 1
        samples_count = self.service_times.samples_count(run.kind)
        return StopDecision(is_admitted, left_ms, expected_ms, samples_count)
