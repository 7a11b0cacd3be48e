"""Longest service times of all entries, by kind of request.

An entry that has served few requests of a kind refuses nearly all of them during its
planned stop, since it doesn't know how long one may take. What other entries saw tells
it. As at the entries, the longest counts, never a mean.
"""

import dataclasses

import msgspec

from cassiapitch.load_messages import KindTimes

# Kinds of requests that are kept; further ones are ignored until others lapse.
KINDS_LIMIT_COUNT = 256
# A time counts for one to two windows. A window holds many more requests than the 250
# that an entry keeps.
WINDOW_MS = 60_000
# A kind is shared once it was observed for this long. Short requests end first, so that
# those that end in a kind's first seconds look shorter than they are: without this, a
# stream of 5.4 s was admitted 6.3 s before the end of a stop, and cut.
OBSERVED_MS = 30_000
# A kind is known sooner if its times rest on enough requests and none has taken more
# than a small part of the time since: longer ones among them would have ended, too.
# Counted from the first request, too few may have begun early enough: 2 of 19,300
# requests were cut in simulated stops of entries that started one after the other.
SHORT_OBSERVED_MS = 5_000
OBSERVED_PER_LONGEST = 8
# Kinds in one message of an entry or of the leader, and the shortest time between two:
# at about 40 bytes a kind, 0.16 kB/s each way.
MESSAGE_LIMIT_COUNT = 4
MESSAGE_SPACING_MS = 1_000
# How often the leader repeats a kind, for entries that have just started.
REPEAT_AFTER_MS = 5_000


def merge(first: KindTimes, second: KindTimes) -> KindTimes:
    """Returns the longest times of both, which are of the same kind."""
    return KindTimes(
        first.kind,
        first.count + second.count,
        max(first.begin_ms, second.begin_ms),
        max(first.total_ms, second.total_ms),
        max(first.fill, second.fill),
        max(first.pace_ms, second.pace_ms),
    )


@dataclasses.dataclass(slots=True)
class _Windows:
    """Times of one kind in the current window and in the one before.

    Attributes:
        current: Times in the current window.
        since_ms: When it began.
        first_ms: When the kind was first reported.
        previous: Times in the window before.
        sent_ms: When the kind was last sent.
        known_ms: When its times first rested on enough requests.
    """

    current: KindTimes
    since_ms: int
    first_ms: int
    previous: KindTimes | None = None
    sent_ms: int | None = None
    known_ms: int | None = None

    @property
    def merged(self) -> KindTimes:
        """Times of both windows."""
        if self.previous is None:
            return self.current
        return merge(self.current, self.previous)

    def is_observed(self, known_count: int, now_ms: int) -> bool:
        """Returns whether the kind was observed for long enough.

        How long requests with a stated length may take depends on that length, so that
        they are not known sooner.
        """
        times = self.merged
        if self.known_ms is None and times.count >= known_count:
            self.known_ms = now_ms
        if self.known_ms is None or not times.total_ms:
            return now_ms - self.first_ms >= OBSERVED_MS
        needed_ms = max(SHORT_OBSERVED_MS, OBSERVED_PER_LONGEST * times.total_ms)
        return (
            now_ms - self.first_ms >= OBSERVED_MS or now_ms - self.known_ms >= needed_ms
        )


class SharedServiceTimes:
    """Longest times of each kind on the leader."""

    def __init__(self) -> None:
        self._kinds: dict[str, _Windows] = {}
        self._sent_ms = -MESSAGE_SPACING_MS

    def add(self, reports: tuple[KindTimes, ...], now_ms: int) -> None:
        """Adds what an entry reported."""
        self._rotate(now_ms)
        for report in reports:
            windows = self._kinds.get(report.kind)
            if windows is not None:
                windows.current = merge(windows.current, report)
            elif len(self._kinds) < KINDS_LIMIT_COUNT:
                self._kinds[report.kind] = _Windows(report, now_ms, now_ms)

    def next_message(self, known_count: int, now_ms: int) -> tuple[KindTimes, ...]:
        """Returns some kinds for the entries, those first that were sent longest ago.

        Args:
            known_count: Requests that a kind's times must rest on.
            now_ms: The current time.
        """
        if now_ms - self._sent_ms < MESSAGE_SPACING_MS:
            return ()
        self._rotate(now_ms)
        due = [
            (-1 if windows.sent_ms is None else windows.sent_ms, kind)
            for kind, windows in self._kinds.items()
            if windows.is_observed(known_count, now_ms)
            and (windows.sent_ms is None or now_ms - windows.sent_ms >= REPEAT_AFTER_MS)
        ]
        message: list[KindTimes] = []
        for _, kind in sorted(due):
            windows = self._kinds[kind]
            times = windows.merged
            if times.count >= known_count and len(message) < MESSAGE_LIMIT_COUNT:
                windows.sent_ms = now_ms
                message.append(times)
        if message:
            self._sent_ms = now_ms
        return tuple(message)

    def _rotate(self, now_ms: int) -> None:
        for kind, windows in list(self._kinds.items()):
            if now_ms - windows.since_ms < WINDOW_MS:
                continue
            if now_ms - windows.since_ms >= 2 * WINDOW_MS:
                # Not rotated for a whole window: the times of the last one are old.
                windows.previous = None
            else:
                windows.previous = windows.current
            windows.current = KindTimes(kind, 0)
            windows.since_ms = now_ms
            if windows.previous is None or windows.previous.count == 0:
                del self._kinds[kind]


class UnreportedTimes:
    """Longest times that an entry has not reported yet, by kind."""

    def __init__(self) -> None:
        self._kinds: dict[str, KindTimes] = {}
        self._taken_ms = -MESSAGE_SPACING_MS

    def add(self, times: KindTimes) -> None:
        """Adds a request that has ended; one that was broken off has the count 0."""
        known = self._kinds.get(times.kind)
        if known is not None:
            self._kinds[times.kind] = merge(known, times)
        elif len(self._kinds) < KINDS_LIMIT_COUNT:
            self._kinds[times.kind] = times

    @property
    def count(self) -> int:
        """Number of requests answered to their end."""
        return sum(times.count for times in self._kinds.values())

    def take(self, now_ms: int) -> tuple[KindTimes, ...]:
        """Removes and returns the kinds for the next report, the oldest ones."""
        if now_ms - self._taken_ms < MESSAGE_SPACING_MS or not self._kinds:
            return ()
        self._taken_ms = now_ms
        kinds = list(self._kinds)[:MESSAGE_LIMIT_COUNT]
        return tuple(
            msgspec.structs.replace(times, pace_ms=round(times.pace_ms, 1))
            for times in map(self._kinds.pop, kinds)
        )
