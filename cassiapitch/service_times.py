"""How long backend servers take for requests, as one entry has seen it.

A planned stop needs an upper bound rather than a usual time: what it admits and can't
finish is cut. So the longest counts, also of requests that are still running, and what
too few requests have shown counts as unknown.
"""

import collections
import dataclasses
import heapq
import statistics
from collections.abc import Iterable

from cassiapitch.load_messages import KindTimes
from cassiapitch.shared_service_times import UnreportedTimes
from cassiapitch.types import LifeId

# Kinds of requests whose times are kept; those that came last.
KINDS_LIMIT_COUNT = 256
# Incarnations of backend servers whose pace is kept; those that answered last.
PACES_LIMIT_COUNT = 4_096
# The longest of so many requests counts, and of those up to as many before them.
WINDOW_COUNT = 250
# What so many requests have shown is known.
KNOWN_COUNT = 50
# While fewer have been seen, one may take this many times as long as is usual.
FEW_ALLOWANCE = 15
# The median of so many is usual; of fewer the longest is.
USUAL_COUNT = 20
# What fewer have shown is unknown.
FEW_COUNT = 8
# A request that is still running may take this many times as long as so far, unless
# `FEW_COUNT` that took at least as long have ended.
RUNNING_ALLOWANCE = 2
# Newest streams of an incarnation whose pace counts, the slowest of them.
PACE_STREAMS_COUNT = 10
# Streams of a role that its pace rests on.
PACE_KNOWN_COUNT = 5
# Shorter streams show no pace.
PACE_EVENTS_COUNT = 4
# The leader repeats the times of a kind every 3 s. They age slowly, as they are longest
# times of a minute or two; an entry that has lost its link keeps them for this long.
SHARED_LIFETIME_MS = 60_000
# Not allowed in names of routes.
STATED_SUFFIX = "\x1f"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRun:
    """One request at a backend server, running or ended.

    Attributes:
        kind: The kind of request; those of one kind are alike.
        role: Role of the backend server.
        life_id: Incarnation of the backend server; None before it has one.
        stated_tokens: Number of tokens that its answer may have; 0 if not stated.
        begin_ms: From its slot until the response began, or until now.
        rest_ms: From then to the end of the response, or until now.
        events_count: Events of its stream so far.
        is_begun: Whether its response has begun.
    """

    kind: str
    role: str
    life_id: LifeId | None
    stated_tokens: int
    begin_ms: int = 0
    rest_ms: int = 0
    events_count: int = 0
    is_begun: bool = False

    @property
    def has_stated_length(self) -> bool:
        """Whether its length is bounded by what it states."""
        return self.stated_tokens > 0

    @property
    def pace_ms(self) -> float:
        """Time of one event."""
        return self.rest_ms / max(self.events_count - 1, PACE_EVENTS_COUNT - 1)


def shared_kind(run: ServiceRun) -> str:
    """Returns the kind under which entries share times.

    Requests that state their length are a kind of their own, or few of them could pass
    as well known among many others.
    """
    return run.kind + STATED_SUFFIX if run.has_stated_length else run.kind


class _Longest:
    """The longest of the newest values, in constant memory."""

    def __init__(self) -> None:
        self.count = 0
        self._current = 0.0
        self._previous = 0.0
        # All values, as long as they are few.
        self._few: list[float] = []
        # The longest of the complete requests in each window, as heaps.
        self._current_top: list[float] = []
        self._previous_top: list[float] = []

    def add(self, value: float, *, is_complete: bool) -> None:
        """Adds a value; one of a request that was broken off is a lower bound."""
        self._current = max(self._current, value)
        if not is_complete:
            return
        self.count += 1
        if len(self._current_top) < FEW_COUNT:
            heapq.heappush(self._current_top, value)
        else:
            heapq.heappushpop(self._current_top, value)
        if self.count < KNOWN_COUNT:
            self._few.append(value)
        else:
            self._few = []
        if self.count % WINDOW_COUNT == 0:
            self._previous, self._current = self._current, 0.0
            self._previous_top, self._current_top = self._current_top, []

    def bound(
        self, running: Iterable[float], shared: float | None = None
    ) -> float | None:
        """Returns what the next value won't exceed; None if that is unknown.

        Args:
            running: Values of requests so far that are still running.
            shared: The longest that other entries saw, of enough requests.
        """
        if self.count < FEW_COUNT and shared is None:
            return None
        longest = max(self._current, self._previous, shared or 0.0)
        if self._few and shared is None:
            is_usual_known = self.count >= USUAL_COUNT
            usual = statistics.median(self._few) if is_usual_known else max(self._few)
            longest = max(longest, FEW_ALLOWANCE * usual)
        longest_running = max(running, default=0)
        # The longest of a few long requests says little about the next one: of two
        # orders that took 5 and 5.7 s, the bound was 4.1 s after one of 3.6 s.
        is_rare = shared is None and self._ended_count(longest_running) < FEW_COUNT
        if is_rare or longest_running > longest:
            longest = max(longest, longest_running * RUNNING_ALLOWANCE)
        return longest

    def _ended_count(self, value: float) -> int:
        """Returns how many complete requests took at least so long, if they are few."""
        tops = (self._current_top, self._previous_top)
        return sum(ended >= value for top in tops for ended in top)


class _KindTimes:
    """What is known of one kind of request.

    Attributes:
        begins: Times until responses began.
        totals: Times until responses that state no length had ended.
        fills: Events of streams by each token that they state.
    """

    def __init__(self) -> None:
        self.begins = _Longest()
        self.totals = _Longest()
        self.fills = _Longest()


class ServiceTimes:
    """Service times by kind of request, and the pace of backend servers."""

    def __init__(self) -> None:
        self._kinds: collections.OrderedDict[str, _KindTimes] = (
            collections.OrderedDict()
        )
        # Role, and times of an event in the newest streams, by incarnation.
        self._paces: collections.OrderedDict[
            LifeId, tuple[str, collections.deque[float]]
        ] = collections.OrderedDict()
        self.unreported = UnreportedTimes()
        # Times that all entries saw, and until when they count, by kind.
        self._shared: dict[str, tuple[KindTimes, int]] = {}

    def apply_shared(self, kinds: tuple[KindTimes, ...], now_ms: int) -> None:
        """Records the times of all entries that the leader sent."""
        until_ms = now_ms + SHARED_LIFETIME_MS
        self._shared.update((times.kind, (times, until_ms)) for times in kinds)
        if kinds:
            self._shared = {
                kind: value for kind, value in self._shared.items() if value[1] > now_ms
            }

    def record(self, run: ServiceRun, *, is_complete: bool) -> None:
        """Records a request that has ended.

        Args:
            run: The request.
            is_complete: Whether it was answered to its end, and not broken off.
        """
        times = self._kinds.pop(run.kind, None) or _KindTimes()
        self._kinds[run.kind] = times
        if len(self._kinds) > KINDS_LIMIT_COUNT:
            self._kinds.popitem(last=False)
        times.begins.add(run.begin_ms, is_complete=is_complete and run.is_begun)
        if run.has_stated_length:
            fill = run.events_count / run.stated_tokens
            times.fills.add(fill, is_complete=is_complete)
        else:
            total_ms = run.begin_ms + run.rest_ms
            times.totals.add(total_ms, is_complete=is_complete)
        shows_pace = run.events_count >= PACE_EVENTS_COUNT
        if shows_pace and run.life_id is not None:
            self._record_pace(run, run.life_id)
        self.unreported.add(
            KindTimes(
                shared_kind(run),
                int(is_complete and run.is_begun),
                run.begin_ms,
                0 if run.has_stated_length else run.begin_ms + run.rest_ms,
                run.events_count / run.stated_tokens if run.has_stated_length else 0.0,
                run.pace_ms if shows_pace else 0.0,
            )
        )

    def _record_pace(self, run: ServiceRun, life_id: LifeId) -> None:
        _, paces_ms = self._paces.pop(life_id, (run.role, None))
        if paces_ms is None:
            paces_ms = collections.deque(maxlen=PACE_STREAMS_COUNT)
        paces_ms.append(run.pace_ms)
        self._paces[life_id] = (run.role, paces_ms)
        if len(self._paces) > PACES_LIMIT_COUNT:
            self._paces.popitem(last=False)

    def samples_count(self, kind: str) -> int:
        """Returns the number of requests of a kind that were answered to their end."""
        times = self._kinds.get(kind)
        if times is None:
            return 0
        return max(times.totals.count, times.fills.count)

    def longest_ms(
        self, run: ServiceRun, running: list[ServiceRun], now_ms: int = 0
    ) -> int | None:
        """Returns the longest that a request may take; None if that is unknown.

        Args:
            run: The request that is to be sent, to any incarnation if none is named.
            running: Requests that are running.
            now_ms: The current time, for the age of what other entries saw.
        """
        shared, until_ms = self._shared.get(shared_kind(run), (None, 0))
        if now_ms >= until_ms:
            shared = None
        times = self._kinds.get(run.kind)
        if times is None:
            if shared is None:
                return None
            times = _KindTimes()
        alike = [other for other in running if other.kind == run.kind]
        if not run.has_stated_length:
            total_ms = times.totals.bound(
                (other.begin_ms + other.rest_ms for other in alike),
                None if shared is None else shared.total_ms or None,
            )
            return None if total_ms is None else int(total_ms)
        begin_ms = times.begins.bound(
            (other.begin_ms for other in alike),
            None if shared is None else shared.begin_ms or None,
        )
        pace_ms = self._pace_ms(run, running)
        is_few = pace_ms is None or times.begins.count < KNOWN_COUNT
        if shared is not None and shared.pace_ms and is_few:
            # The slowest pace that any entry saw, of any incarnation.
            own_ms = (other.pace_ms for other in running if other.role == run.role)
            pace_ms = max(shared.pace_ms, *own_ms, pace_ms or 0.0)
        if begin_ms is None or pace_ms is None:
            return None
        fill = times.fills.bound(
            (
                other.events_count / other.stated_tokens
                for other in alike
                if other.has_stated_length
            ),
            None if shared is None else shared.fill or None,
        )
        if fill is None or fill > 1:
            # An event has a token at least.
            fill = 1.0
        return int(begin_ms + run.stated_tokens * fill * pace_ms)

    def _pace_ms(self, run: ServiceRun, running: list[ServiceRun]) -> float | None:
        """Returns the time of an event at an incarnation, or at the fastest one."""
        paces_ms: dict[LifeId, float] = {}
        streams_count = 0
        for life_id, (role, newest_ms) in self._paces.items():
            if role == run.role:
                paces_ms[life_id] = max(newest_ms)
                streams_count += len(newest_ms)
        for other in running:
            if other.role != run.role or other.life_id is None or not other.is_begun:
                continue
            streams_count += other.events_count >= PACE_EVENTS_COUNT
            known_ms = paces_ms.get(other.life_id, 0.0)
            paces_ms[other.life_id] = max(known_ms, other.pace_ms)
        if streams_count < PACE_KNOWN_COUNT:
            return None
        if run.life_id is None:
            return min(paces_ms.values())
        # One that has shown no pace yet may be as slow as the slowest.
        return paces_ms.get(run.life_id, max(paces_ms.values()))
