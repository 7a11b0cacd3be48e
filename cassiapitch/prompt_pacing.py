"""Decides which engines get prompts only as fast as they process them.

An engine processes prompts between the tokens of running streams. With several prompts
at once, each step processes as much as fits, and all streams of the engine pause for
longer than their objective allows: on a deployment with 30 engines, half of the longer
streams did. So while an engine is busy, the leader spaces out its prompts: requests
wait for a permit at their entry, in one order over all entries (`prompt_schedule`), and
the engine's backlog stays at one or two prompts.
"""

import collections
import dataclasses
import itertools
import math
import statistics
from collections.abc import Iterable, Iterator, Mapping

from cassiapitch import backends
from cassiapitch.fleet import Fleet
from cassiapitch.types import LifeId

PERIOD_MS = 250
# Served tokens are summed over this time. Entries report them four times a second.
# Prompts are large, so that in a shorter time their number is mostly chance.
WINDOW_MS = 1_000
# An engine was busy throughout if at each report this much was pending, and more than
# it served until the next one. One or two prompts are pending at any engine under load.
BUSY_TOKENS = 5_000
# Speed relative to the median of the role below which an engine isn't paced further:
# its requests may be stuck, and then nothing is served at any pace.
SMALLEST_SPEED_SHARE = 0.3
# Engines of a role whose speed must be known before it is taken for others: one alone
# may be stuck. In a trial on the bench, one such engine made all others look slow.
MEASURED_COUNT = 3
# An engine is at least nearly as fast as the most that it served in a window; this much
# of that is kept for each second.
SERVED_SHARE = 0.9
SERVED_KEPT_PER_S = 0.97
SPEED_SAMPLE_WEIGHT = 0.2
# Pending tokens as time at the measured speed, relative to the objective for pauses.
# Pacing begins at the first, above the second the rate falls, and above the third no
# permits are given until it has come down to the second. A prompt is pending until an
# entry has reported its first token, so that at full rate about half is always pending.
BEGIN_SHARE = 0.5
TARGET_SHARE = 0.8
HOLD_SHARE = 1.5
# The rate relative to the measured speed. At full speed an engine always has a prompt
# to process, so that each of its steps takes as long as steps can.
RATE_SHARE = 0.93
# How much lower the rate is for a backlog above the target by the whole objective.
# Reports are about half a second old; with more, the backlog would swing.
CORRECTION = 0.5
SMALLEST_RATE_SHARE = 0.6
# Pacing ends when over this time permits took less than this part of the rate, and none
# had to be waited for longer than chance makes a request wait at that load.
END_AFTER_MS = 2_000
END_SHARE = 0.5
CHANCE_WAIT_MS = 300
# Prompts are pending for some time at any engine: while their tokens are processed, and
# until an entry has received and reported the first token. The lower quartile of such
# times of the last seconds is taken for that of an engine without a backlog, up to a
# limit, since it may have had one all the time. Where all of the time was counted
# as backlog, paced engines looked busy at any pace, and each measurement lowered the
# pace further: to two thirds within 30 s if first tokens took 300 ms to the entry.
UNLOADED_WINDOW_MS = 10_000
UNLOADED_LIMIT_MS = 500
# What has to be pending beyond that, relative to the objective for pauses, for pacing
# to begin, for the rate to fall, for permits to be held back, and for an engine to
# count as busy.
BEGIN_EXCESS_SHARE = 0.1
TARGET_EXCESS_SHARE = 0.4
HOLD_EXCESS_SHARE = 1.1
BUSY_EXCESS_SHARE = 0.25
# How much the known speed of a paced engine that keeps up rises in each period, up to
# the median of its role: it serves no more than its pace, so that nothing else would
# show that it isn't slow any more.
PROBE_RATIO = 1.02
# Weight of the newest wait for a permit in their average, and how long it counts after
# the last one.
WAIT_SAMPLE_WEIGHT = 0.2
WAIT_VALID_MS = 500
# More than an engine processes between two reports of an entry.
REPORTED_LIMIT_TOKENS = 1_000_000
# Engines that are paced at once, so that a message to the entries stays below 0.5 kB.
PACED_LIMIT_COUNT = 96


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """What the entries together have pending at an engine.

    Attributes:
        life_id: Its incarnation.
        role: Its role.
        pending_tokens: Prompt tokens of requests without a first token.
        gap_objective_ms: Shortest objective for pauses of the streams of its role; 0
            if there is none, and the engine is never paced.
        name: Name of the backend server.
    """

    life_id: LifeId
    role: str
    pending_tokens: int
    gap_objective_ms: int
    name: str = ""


@dataclasses.dataclass(slots=True)
class _Engine:
    """Measurements of one incarnation, and its pace.

    Attributes:
        served_tokens: Prompt tokens served since the first report.
        history: Time, served and pending tokens at the last periods.
        busy_tokens_per_ms: Speed of processing prompts while busy; 0 if it never was.
        measured_ms: Time of the last measurement of it.
        most_tokens_per_ms: The most that it served in a window, which fades.
        rate: Tokens per millisecond that permits allow; None while it isn't paced.
        first_ms: Earliest time of a permit.
        given_tokens: Tokens of the permits since `given_since_ms`.
        given_since_ms: Begin of the time after which pacing may end.
        unloaded_times_ms: For each period of the last seconds with enough tokens, the
            time and how long tokens were pending on average.
        expected_wait_ms: Average wait for a permit that prompts were told.
        waited_ms: When a prompt was last told its wait.
    """

    role: str = ""
    name: str = ""
    served_tokens: int = 0
    history: collections.deque[tuple[int, int, int]] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW_MS // PERIOD_MS + 1)
    )
    busy_tokens_per_ms: float = 0.0
    measured_ms: int = 0
    most_tokens_per_ms: float = 0.0
    rate: float | None = None
    first_ms: float = 0.0
    given_tokens: int = 0
    given_since_ms: int = 0
    unloaded_times_ms: collections.deque[tuple[int, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    expected_wait_ms: float = 0.0
    waited_ms: int = 0

    @property
    def tokens_per_ms(self) -> float:
        """Speed of processing prompts, 0 if it is not known."""
        if not self.busy_tokens_per_ms:
            return 0.0
        return max(self.busy_tokens_per_ms, SERVED_SHARE * self.most_tokens_per_ms)

    @property
    def unloaded_ms(self) -> float:
        """How long tokens are pending without a backlog; infinite if it isn't known."""
        times_ms = sorted(time_ms for _, time_ms in self.unloaded_times_ms)
        return times_ms[len(times_ms) // 4] if times_ms else math.inf

    def begin_period(self, now_ms: int) -> None:
        """Lets pacing go on for `END_AFTER_MS` at least."""
        self.given_tokens, self.given_since_ms = 0, now_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """At which pace an engine gets prompts.

    Attributes:
        tokens_per_ms: Prompt tokens per millisecond.
        first_ms: Earliest time of a permit.
    """

    tokens_per_ms: float
    first_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class PaceChanges:
    """Engines that have begun or ceased to be paced, with their speed then.

    Attributes:
        begun: Prompt tokens per millisecond by incarnation.
        ended: The same of those that are not paced any more; 0 if they are gone.
    """

    begun: dict[LifeId, float]
    ended: dict[LifeId, float]


def engine_loads(
    fleet: Fleet, totals: Mapping[LifeId, tuple[int, int]]
) -> Iterator[EngineLoad]:
    """Yields what is pending at the engines in service that report no load.

    Args:
        fleet: The replicated state.
        totals: Requests in flight and pending prompt tokens by incarnation.
    """
    for item in fleet.lives.values():
        role = fleet.catalog.roles.get(item.role)
        if (
            item.state == backends.SERVING
            and fleet.is_engine(item)
            and role is not None
            and not role.reports_load
        ):
            yield EngineLoad(
                item.life_id,
                item.role,
                totals.get(item.life_id, (0, 0))[1],
                fleet.catalog.gap_objectives_ms.get(item.role, 0),
                item.name,
            )


class PromptPacing:
    """Speeds and paces of all engines in one controller term."""

    def __init__(self) -> None:
        self._engines: dict[LifeId, _Engine] = {}
        self._ticked_ms: int | None = None
        self._logged_lives: set[LifeId] = set()
        self._has_changed = False

    def take_changes(self) -> PaceChanges:
        """Returns what has changed since the last call."""
        if not self._has_changed:
            return PaceChanges({}, {})
        self._has_changed = False
        before, after = self._logged_lives, set(self.paced_lives())
        self._logged_lives = after

        def speeds(lives: set[LifeId]) -> dict[LifeId, float]:
            known = {life_id: self._engines.get(life_id) for life_id in sorted(lives)}
            return {
                life_id: 0.0 if engine is None else round(engine.tokens_per_ms, 2)
                for life_id, engine in known.items()
            }

        return PaceChanges(speeds(after - before), speeds(before - after))

    def record_served(self, life_id: LifeId, tokens: int) -> None:
        """Records prompt tokens whose first token an entry has received."""
        if tokens > 0:
            self._engine(life_id).served_tokens += min(tokens, REPORTED_LIMIT_TOKENS)

    def record_permits(
        self, life_id: LifeId, tokens: int, wait_ms: int, now_ms: int
    ) -> None:
        """Records permits that were given, or a request that waits for one.

        Args:
            life_id: The incarnation.
            tokens: Prompt tokens of the permits that were given.
            wait_ms: Longest wait of a request for its permit, past or expected.
            now_ms: The current time.
        """
        engine = self._engine(life_id)
        engine.given_tokens += tokens
        if wait_ms > CHANCE_WAIT_MS:
            engine.begin_period(now_ms)
        if not tokens:
            engine.waited_ms = now_ms
            change_ms = wait_ms - engine.expected_wait_ms
            engine.expected_wait_ms += WAIT_SAMPLE_WEIGHT * change_ms

    def queued_tokens(self, life_id: LifeId, now_ms: int) -> int:
        """Returns about how many prompt tokens wait for permits of an engine.

        What entries have pending there says nothing of them. They are derived from the
        waits that prompts are told, since those that would wait for too long are
        refused and never queued.
        """
        engine = self._engines.get(life_id)
        if engine is None or engine.rate is None:
            return 0
        if now_ms - engine.waited_ms > WAIT_VALID_MS:
            return 0
        return int(engine.expected_wait_ms * engine.rate)

    def pace(self, life_id: LifeId) -> Pace | None:
        """Returns the pace of an engine, or None if it takes prompts as they come."""
        engine = self._engines.get(life_id)
        if engine is None or engine.rate is None:
            return None
        return Pace(engine.rate, engine.first_ms)

    def name(self, life_id: LifeId) -> str:
        """Returns the backend server of an incarnation, empty if it isn't known."""
        engine = self._engines.get(life_id)
        return "" if engine is None else engine.name

    def paced_lives(self) -> list[LifeId]:
        """Returns the incarnations that are paced."""
        return [
            life_id
            for life_id, engine in self._engines.items()
            if engine.rate is not None
        ]

    def role_speeds(self) -> dict[str, tuple[float, int]]:
        """Returns the median speed of each role in prompt tokens per millisecond.

        With the time of the last measurement at one of its engines.
        """
        return {
            role: (
                tokens_per_ms,
                max(
                    engine.measured_ms
                    for engine in self._engines.values()
                    if engine.role == role
                ),
            )
            for role, tokens_per_ms in self._role_speeds().items()
        }

    def is_due(self, now_ms: int) -> bool:
        """Returns whether `tick` is due."""
        return self._ticked_ms is None or now_ms - self._ticked_ms >= PERIOD_MS

    def tick(
        self,
        loads: Iterable[EngineLoad],
        now_ms: int,
        earlier_speeds: Mapping[str, float] | None = None,
    ) -> bool:
        """Updates speeds and paces.

        Args:
            loads: All engines in service; the others are forgotten.
            now_ms: The current time.
            earlier_speeds: Prompt tokens per millisecond of an engine of each role, as
                earlier leaders measured it; used until enough engines are measured.

        Returns:
            Whether an engine has begun or ceased to be paced.
        """
        self._ticked_ms = now_ms
        loads = list(loads)
        before = set(self.paced_lives())
        known = {load.life_id for load in loads}
        self._engines = {
            life_id: engine
            for life_id, engine in self._engines.items()
            if life_id in known
        }
        role_speeds, busy_speeds = self._role_speeds(), self._role_speeds(is_busy=True)
        role_times_ms = self._unloaded_times_ms()
        for load in loads:
            engine = self._engine(load.life_id)
            engine.role, engine.name = load.role, load.name
            _measure(
                engine,
                load.pending_tokens,
                role_speeds.get(load.role),
                busy_speeds.get(load.role),
                self._unloaded_ms(load, role_times_ms)
                + BUSY_EXCESS_SHARE * load.gap_objective_ms,
                now_ms,
            )
        role_speeds = {**(earlier_speeds or {}), **self._role_speeds()}
        for load in loads:
            role_speed = role_speeds.get(load.role)
            engine = self._engines[load.life_id]
            if role_speed is None or not load.gap_objective_ms:
                engine.rate = None
                continue
            own_speed = engine.tokens_per_ms or max(
                role_speed, SERVED_SHARE * engine.most_tokens_per_ms
            )
            speed = max(own_speed, SMALLEST_SPEED_SHARE * role_speed)
            unloaded_ms = self._unloaded_ms(load, role_times_ms)
            self._update(engine, load, speed, unloaded_ms, now_ms)
        if before == set(self.paced_lives()):
            return False
        self._has_changed = True
        return True

    def _engine(self, life_id: LifeId) -> _Engine:
        engine = self._engines.get(life_id)
        if engine is None:
            engine = self._engines[life_id] = _Engine()
        return engine

    def _role_speeds(self, *, is_busy: bool = False) -> dict[str, float]:
        """Returns the median speed of each role of which enough engines are known.

        Args:
            is_busy: Whether what they served at most doesn't count.
        """
        speeds: dict[str, list[float]] = {}
        for engine in self._engines.values():
            if engine.tokens_per_ms:
                speeds.setdefault(engine.role, []).append(
                    engine.busy_tokens_per_ms if is_busy else engine.tokens_per_ms
                )
        return {
            role: statistics.median(values)
            for role, values in speeds.items()
            if len(values) >= MEASURED_COUNT
        }

    def _unloaded_times_ms(self) -> dict[str, float]:
        """Returns how long tokens are pending at engines of a role without a backlog.

        Only a quarter of the engines need to be without one.
        """
        shortest: dict[str, list[float]] = {}
        for engine in self._engines.values():
            if engine.unloaded_times_ms:
                shortest.setdefault(engine.role, []).append(engine.unloaded_ms)
        return {
            role: sorted(times_ms)[len(times_ms) // 4]
            for role, times_ms in shortest.items()
        }

    def _unloaded_ms(self, load: EngineLoad, role_times_ms: dict[str, float]) -> float:
        """Returns how long tokens are pending at an engine without a backlog."""
        own_ms = self._engine(load.life_id).unloaded_ms
        return min(own_ms, role_times_ms.get(load.role, 0.0), UNLOADED_LIMIT_MS)

    def _update(
        self,
        engine: _Engine,
        load: EngineLoad,
        speed: float,
        unloaded_ms: float,
        now_ms: int,
    ) -> None:
        backlog_share = load.pending_tokens / speed / load.gap_objective_ms
        unloaded_share = unloaded_ms / load.gap_objective_ms
        if engine.rate is None:
            if backlog_share < max(BEGIN_SHARE, unloaded_share + BEGIN_EXCESS_SHARE):
                return
            if len(self.paced_lives()) >= PACED_LIMIT_COUNT:
                return
            engine.begin_period(now_ms)
        elif (elapsed_ms := now_ms - engine.given_since_ms) > END_AFTER_MS:
            if engine.given_tokens < END_SHARE * engine.rate * elapsed_ms:
                engine.rate = None
                return
            engine.begin_period(now_ms)
        target_share = max(TARGET_SHARE, unloaded_share + TARGET_EXCESS_SHARE)
        excess_share = backlog_share - target_share
        # Held back until the next reports only: callers may leave, so that a backlog
        # can be gone long before it would have been processed.
        hold_ms = min(2 * PERIOD_MS, excess_share * load.gap_objective_ms)
        hold_share = max(HOLD_SHARE, unloaded_share + HOLD_EXCESS_SHARE)
        engine.first_ms = now_ms + (hold_ms if backlog_share >= hold_share else 0)
        rate_share = RATE_SHARE - CORRECTION * max(0.0, excess_share)
        engine.rate = speed * max(SMALLEST_RATE_SHARE, rate_share)


def _measure(
    engine: _Engine,
    pending_tokens: int,
    role_speed: float | None,
    busy_speed: float | None,
    busy_ms: float,
    now_ms: int,
) -> None:
    """Updates the speed if the engine has been busy for a whole window.

    An engine that was idle in between has served what was offered, not what it can. The
    first window of an engine counts like a later one after the median of its role.

    Args:
        engine: The engine.
        pending_tokens: What is pending there.
        role_speed: Median speed of its role; None if it isn't known.
        busy_speed: The same of speeds while busy, up to which the speed may rise.
        busy_ms: A paced engine is busy if more is pending than it serves in this time.
        now_ms: The current time.
    """
    history = engine.history
    history.append((now_ms, engine.served_tokens, pending_tokens))
    first_ms, first_served, _ = history[0]
    elapsed_ms = now_ms - first_ms
    if elapsed_ms < WINDOW_MS - PERIOD_MS // 2:
        return
    sample = (engine.served_tokens - first_served) / elapsed_ms
    if not sample:
        # Requests are stuck or there are none, which shows nothing of the speed.
        return
    engine.most_tokens_per_ms = max(
        sample, engine.most_tokens_per_ms * SERVED_KEPT_PER_S ** (PERIOD_MS / 1_000)
    )
    is_kept_up = engine.rate is not None and pending_tokens <= busy_ms * sample
    if is_kept_up and busy_speed is not None and engine.busy_tokens_per_ms:
        probed = engine.busy_tokens_per_ms * PROBE_RATIO
        engine.busy_tokens_per_ms = max(
            engine.busy_tokens_per_ms, min(probed, busy_speed)
        )
    times_ms = engine.unloaded_times_ms
    while times_ms and now_ms - times_ms[0][0] > UNLOADED_WINDOW_MS:
        times_ms.popleft()
    if engine.served_tokens - first_served >= BUSY_TOKENS:
        mean_pending = sum(pending for _, _, pending in history) / len(history)
        times_ms.append((now_ms, mean_pending / sample))
    least_tokens = max(BUSY_TOKENS, 0 if engine.rate is None else busy_ms * sample)
    is_busy = all(
        pending >= max(least_tokens, served - earlier_served)
        for (_, earlier_served, pending), (_, served, _) in itertools.pairwise(history)
    )
    if not is_busy:
        return
    known = engine.busy_tokens_per_ms or role_speed or sample
    engine.busy_tokens_per_ms = known + SPEED_SAMPLE_WEIGHT * (sample - known)
    engine.measured_ms = now_ms
