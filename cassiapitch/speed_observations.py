"""Decaying observations of one incarnation or one role, on the leader."""

import collections
import dataclasses
import math
from collections.abc import Iterable

from cassiapitch.model_costs import ModelCosts
from cassiapitch.speed_records import NEUTRAL, ServerSpeed

FAST_HALF_LIFE_MS = 800
SLOW_HALF_LIFE_MS = 10_000
# Half-life of the relation between load and pace, a property of a role.
ELASTICITY_HALF_LIFE_MS = 60_000
# A server counts as like the mean of its role, or as like its usual self, with the
# weight of this many answers or gaps.
PRIOR_ANSWERS_COUNT = 100.0
PRIOR_GAPS_COUNT = 32.0
# Newest samples of prompts that count, and the quantile of their speed that prompts
# without others ahead of them have. A higher one would take prompts that the server had
# cached for its speed.
PREFILL_SAMPLES_COUNT = 64
UNDELAYED_QUANTILE = 0.85
QUANTILE_PERIOD_MS = 2_000
SMALLEST_RATIO = 0.1
LARGEST_RATIO = 10.0
# Observations of a server from which its elasticity and speed are compared.
MIN_GAPS_COUNT = 8.0
MIN_ANSWERS_COUNT = 2.0
# Prior variance of the relative load; with little variation the elasticity stays 0.
ELASTICITY_PRIOR = 1.0


class Sums:
    """Decaying sums of work, time and observations."""

    def __init__(self, half_life_ms: int) -> None:
        self._half_life_ms = half_life_ms
        self._updated_ms = 0
        self.work = 0.0
        self.time_ms = 0.0
        self.count = 0.0

    def add(self, work: float, time_ms: float, count: float, now_ms: int) -> None:
        """Adds observations."""
        self.decay(now_ms)
        self.work += work
        self.time_ms += time_ms
        self.count += count

    def decay(self, now_ms: int) -> None:
        """Reduces the weight of what was added before."""
        factor = 0.5 ** (max(0, now_ms - self._updated_ms) / self._half_life_ms)
        self.work *= factor
        self.time_ms *= factor
        self.count *= factor
        self._updated_ms = now_ms


class PrefillSpeed:
    """Prefill speed of one incarnation, from two lower bounds.

    A prompt's own tokens divided by the time to its first token is a lower bound, and
    exact for a prompt that finds the server idle. The tokens processed per time are
    another one, and exact while the server is never idle. The larger of both needs no
    knowledge of the prompts ahead, which no entry has: those that other entries sent
    since the last load report would make a busy server look slow, and a server that
    looks slow would stay so.

    Prompts that the server may have kept in part count only while there are too few
    others: how many were kept depends on routing and on the server's models.
    """

    def __init__(self) -> None:
        # Tokens per millisecond, weight and time, of new prompts and of all.
        self._new_samples = _empty_samples()
        self._samples = _empty_samples()
        self._new_total = Sums(SLOW_HALF_LIFE_MS)
        self._total = Sums(SLOW_HALF_LIFE_MS)
        self._since_ms: int | None = None
        self._quantile = 0.0
        # Whether the quantile is that of new prompts.
        self._has_new = False
        self._quantile_ms = 0

    def add(
        self, tokens: float, time_ms: int, count: float, now_ms: int, *, are_new: bool
    ) -> None:
        """Adds prompts of one entry.

        Args:
            tokens: Their own tokens.
            time_ms: Time to their first tokens.
            count: Their weight.
            now_ms: The current time.
            are_new: Whether the server has kept no part of them.
        """
        if self._since_ms is None:
            self._since_ms = now_ms
        sample = (tokens / time_ms, count, now_ms)
        self._total.add(tokens, time_ms, count, now_ms)
        self._samples.append(sample)
        if are_new:
            self._new_total.add(tokens, time_ms, count, now_ms)
            self._new_samples.append(sample)

    def throughput(self, now_ms: int) -> float:
        """Returns the tokens per millisecond that it processes on average."""
        return self._throughput(self._total, now_ms)

    def _throughput(self, total: Sums, now_ms: int) -> float:
        if self._since_ms is None:
            return 0.0
        total.decay(now_ms)
        mean_ms = SLOW_HALF_LIFE_MS / math.log(2)
        observed_ms = max(1_000, now_ms - self._since_ms)
        return total.work / (mean_ms * (1 - math.exp(-observed_ms / mean_ms)))

    def count(self, now_ms: int) -> float:
        """Returns the number of observations, by their weight."""
        self._total.decay(now_ms)
        return self._total.count

    def new_count(self, now_ms: int) -> float:
        """Returns the number of observations of new prompts, by their weight."""
        self._new_total.decay(now_ms)
        return self._new_total.count

    def tokens_per_ms(self, now_ms: int) -> float:
        """Returns the speed; 0 without observations."""
        if not self._samples:
            return 0.0
        # The quantile moves slowly and takes most of the time of an update.
        if now_ms - self._quantile_ms >= QUANTILE_PERIOD_MS or not self._quantile:
            self._quantile_ms = now_ms
            self._has_new = self.new_count(now_ms) >= MIN_ANSWERS_COUNT
            samples = self._new_samples if self._has_new else self._samples
            self._quantile = _undelayed(samples, now_ms)
        total = self._new_total if self._has_new else self._total
        return max(self._quantile, self._throughput(total, now_ms))


def _empty_samples() -> collections.deque[tuple[float, float, int]]:
    return collections.deque(maxlen=PREFILL_SAMPLES_COUNT)


def _undelayed(samples: Iterable[tuple[float, float, int]], now_ms: int) -> float:
    weights = [
        (ratio, count * 0.5 ** (max(0, now_ms - at_ms) / SLOW_HALF_LIFE_MS))
        for ratio, count, at_ms in sorted(samples, reverse=True)
    ]
    rest = (1 - UNDELAYED_QUANTILE) * sum(weight for _, weight in weights)
    for ratio, weight in weights:
        rest -= weight
        if rest <= 0:
            return ratio
    return 0.0


class FastAndSlow:
    """The same observations with two half-lives."""

    def __init__(self) -> None:
        self.fast = Sums(FAST_HALF_LIFE_MS)
        self.slow = Sums(SLOW_HALF_LIFE_MS)

    def add(self, work: float, time_ms: float, count: float, now_ms: int) -> None:
        """Adds observations to both."""
        self.fast.add(work, time_ms, count, now_ms)
        self.slow.add(work, time_ms, count, now_ms)

    def decay(self, now_ms: int) -> None:
        """Reduces the weight of what was added before in both."""
        self.fast.decay(now_ms)
        self.slow.decay(now_ms)


@dataclasses.dataclass(slots=True)
class ServerObservations:
    """Observations of one incarnation, and what follows from them.

    Attributes:
        role: Its role.
        slots_count: Its limit of running requests.
        prefill: What prompts showed.
        pace: Requests in flight, time and number of gaps or plain answers.
        speed: Its speed relative to its role, before it is packed.
        relative_pace: Its pace now relative to its role, also within the band.
        sudden_ratio: Its speed now relative to its usual one, at most 1.
        slots_share: Part of its slots up to which its latency holds.
        early_rejections_count: Rejections since the last update while few of its slots
            were in use.
        in_flight_count: Requests in flight there, as last reported.
        cut_ms: When `slots_share` was last reduced.
        is_slow: Whether it was last reported as slow.
        sent: The speed that entries were last sent.
        sent_ms: When that was.
        is_wanted: Whether entries have to be sent its speed: it deviates, or did when
            they were last sent it.
    """

    role: str
    slots_count: int
    prefill: PrefillSpeed = dataclasses.field(default_factory=PrefillSpeed)
    pace: FastAndSlow = dataclasses.field(default_factory=FastAndSlow)
    speed: ServerSpeed = NEUTRAL
    relative_pace: float = 1.0
    sudden_ratio: float = 1.0
    slots_share: float = 1.0
    early_rejections_count: int = 0
    in_flight_count: float = 0.0
    cut_ms: int = 0
    is_slow: bool = False
    sent: ServerSpeed = NEUTRAL
    sent_ms: int = 0
    is_wanted: bool = False


@dataclasses.dataclass(slots=True)
class RoleObservations:
    """What is known of a role.

    Attributes:
        tokens_per_ms: Mean prefill speed of its servers; 0 if unknown.
        measured_ms: When it was measured.
        utilization: Prompt tokens processed, as a share of what its servers can.
        has_streams: Whether it was seen to answer with streams; its plain answers
            then show no pace.
        costs: What its models take.
        prompt_tokens: Prompt tokens multiplied by the costs of their models, and as
            they are (in `time_ms`).
        covariance: How the time of its answers follows the load, see `elasticity`.
    """

    tokens_per_ms: float = 0.0
    measured_ms: int = 0
    utilization: float = 0.0
    has_streams: bool = False
    costs: ModelCosts = dataclasses.field(default_factory=ModelCosts)
    prompt_tokens: Sums = dataclasses.field(
        default_factory=lambda: Sums(SLOW_HALF_LIFE_MS)
    )
    covariance: Sums = dataclasses.field(
        default_factory=lambda: Sums(ELASTICITY_HALF_LIFE_MS)
    )

    @property
    def mean_cost(self) -> float:
        """Cost of the models by the prompt tokens that were asked for."""
        tokens = self.prompt_tokens.time_ms
        return self.prompt_tokens.work / tokens if tokens else 1.0


def add_covariance(
    role: RoleObservations,
    server: ServerObservations,
    in_flight: float,
    time_ms: float,
    now_ms: int,
) -> None:
    """Adds how the time of an answer changed with the load of one incarnation."""
    known = server.pace.slow
    if known.count < MIN_GAPS_COUNT or known.time_ms <= 0:
        return
    load_change = math.log(in_flight * known.count / known.work)
    time_change = math.log(max(0.1, time_ms * known.count / known.time_ms))
    role.covariance.add(load_change * time_change, load_change**2, 1, now_ms)


def elasticity(role: RoleObservations) -> float:
    """Returns by which power of the load the time of an answer grows, 0 to 1.

    It is 0 where requests don't share the server's processor, and 1 where all share
    one. It compares each server only with itself: routing gives faster servers more
    requests, so that a comparison between servers would show the opposite.
    """
    covariance, variance = role.covariance.work, role.covariance.time_ms
    return max(0.0, min(1.0, covariance / (variance + ELASTICITY_PRIOR)))


def pace(sums: Sums, elasticity: float) -> float:
    """Returns the observations per millisecond, corrected for the load."""
    load = max(1.0, sums.work / sums.count)
    return float(load**elasticity * sums.count / max(1.0, sums.time_ms))


def sudden_ratio(sums: FastAndSlow, elasticity: float) -> float:
    """Returns the speed now relative to the usual one, at most 1."""
    if sums.fast.time_ms < 1 or sums.slow.time_ms < 1 or not sums.slow.work:
        return 1.0
    ratio = pace(sums.fast, elasticity) / pace(sums.slow, elasticity)
    # The time taken is averaged, as a few slow answers among fast ones are.
    slowness = shrunk(1 / max(SMALLEST_RATIO, ratio), sums.fast.count, PRIOR_GAPS_COUNT)
    return min(1.0, 1 / slowness)


def shrunk(ratio: float, count: float, prior_count: float, prior: float = 1.0) -> float:
    """Returns a ratio as far as the number of observations supports it."""
    ratio = max(SMALLEST_RATIO, min(LARGEST_RATIO, ratio))
    return (ratio * count + prior * prior_count) / (count + prior_count)
