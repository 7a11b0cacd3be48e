"""Generates the calls of a load experiment from its seed.

The same experiment file and seed always give the same calls.
"""

import dataclasses
import heapq
import itertools
import math
import random
from collections.abc import Iterator

from cassiapitch.experiment import (
    CallClass,
    CallKind,
    Experiment,
    Lengths,
    LoadAccount,
    PrefixSharing,
)

# Characters of prompt text per token; the same as in the entry's estimate.
CHARACTERS_PER_TOKEN = 4

_MEAN_COST_SAMPLES_COUNT = 2_000
_FILLER_TEXT = (
    "The rider asks for a jersey with a reflective back panel and short sleeves, "
    "delivered before the weekend, and wants to know which size fits a wide chest. "
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One planned call.

    Attributes:
        number: Index among all calls, from 0.
        at_ms: Planned send time, relative to the start of the load.
        account: The client account.
        class_name: Name of the call's class.
        model: The model or adapter, empty for a route of a plain service.
        prompt: Prompt text, empty for a route.
        answer_tokens: Maximum length of the answer.
        cost_tokens: Tokens charged to the account's rate, 0 on an open route.
    """

    number: int
    at_ms: int
    account: str
    class_name: str
    model: str
    prompt: str
    answer_tokens: int
    cost_tokens: int


def generate_calls(experiment: Experiment) -> Iterator[PlannedCall]:
    """Yields the calls in the order of their planned send times."""
    streams = [_account_calls(experiment, account) for account in experiment.accounts]
    merged = heapq.merge(*streams, key=lambda call: (call.at_ms, call.account))
    limited = itertools.islice(merged, experiment.calls_limit_count)
    for number, call in enumerate(limited):
        yield dataclasses.replace(call, number=number)


def _account_calls(
    experiment: Experiment, account: LoadAccount
) -> Iterator[PlannedCall]:
    rng = random.Random(f"{experiment.seed}/{account.name}")
    class_names = list(account.class_weights)
    weights = list(account.class_weights.values())
    popularity = _ModelPopularity(experiment)
    rate_per_ms = calls_per_s(experiment, account) / 1000
    times = _arrival_times(
        rng, rate_per_ms, account.burstiness, account.burst_ms, experiment
    )
    for at_ms in times:
        name = rng.choices(class_names, weights)[0]
        call_class = experiment.class_named(name)
        yield _draw_call(rng, account, call_class, popularity, int(at_ms))


def calls_per_s(experiment: Experiment, account: LoadAccount) -> float:
    """Returns the mean calls per second that use the account's share of its rate."""
    rng = random.Random(f"{experiment.seed}/{account.name}/cost")
    class_names = list(account.class_weights)
    weights = list(account.class_weights.values())
    total_tokens = 0
    for name in rng.choices(class_names, weights, k=_MEAN_COST_SAMPLES_COUNT):
        call_class = experiment.class_named(name)
        total_tokens += _cost(call_class, *_draw_lengths(rng, call_class))
    # Calls without a cost count as one token, so that their rate is limited too.
    mean_tokens = max(1.0, total_tokens / _MEAN_COST_SAMPLES_COUNT)
    return account.rate_share * account.rate_tokens_per_s / mean_tokens


def _arrival_times(
    rng: random.Random,
    rate_per_ms: float,
    burstiness: float,
    burst_ms: int,
    experiment: Experiment,
) -> Iterator[float]:
    """Yields arrival times of a Poisson process, on and off if burstiness exceeds 1.

    A burst has `burstiness` times the mean rate and bursts take 1 / `burstiness` of
    the time on average, so the mean rate doesn't depend on the burstiness.
    """
    time_ms = 0.0
    pause_ms = burst_ms * (burstiness - 1)
    while time_ms < experiment.duration_ms:
        if pause_ms == 0:
            end_ms = float(experiment.duration_ms)
        else:
            # Starts with a pause, so that not all accounts begin with a burst.
            time_ms += rng.expovariate(1 / pause_ms)
            end_ms = time_ms + rng.expovariate(1 / burst_ms)
        while True:
            time_ms += rng.expovariate(rate_per_ms * burstiness)
            if time_ms >= min(end_ms, experiment.duration_ms):
                break
            yield time_ms
        time_ms = end_ms


def _draw_call(
    rng: random.Random,
    account: LoadAccount,
    call_class: CallClass,
    popularity: "_ModelPopularity",
    at_ms: int,
) -> PlannedCall:
    prompt_tokens, answer_tokens = _draw_lengths(rng, call_class)
    model = ""
    prompt = ""
    if call_class.kind is not CallKind.ROUTE:
        model = popularity.draw(rng, at_ms)
        prompt = _prompt_text(rng, model, prompt_tokens, call_class.prefix_sharing)
    return PlannedCall(
        number=0,
        at_ms=at_ms,
        account=account.name,
        class_name=call_class.name,
        model=model,
        prompt=prompt,
        answer_tokens=answer_tokens,
        cost_tokens=_cost(call_class, prompt_tokens, answer_tokens),
    )


def _draw_lengths(rng: random.Random, call_class: CallClass) -> tuple[int, int]:
    if call_class.prompt is None or call_class.answer is None:
        return 0, 0
    return _draw_length(rng, call_class.prompt), _draw_length(rng, call_class.answer)


def _draw_length(rng: random.Random, lengths: Lengths) -> int:
    drawn = lengths.median_tokens * math.exp(rng.gauss(0, lengths.sigma))
    limited = min(lengths.maximum_tokens, max(lengths.minimum_tokens, drawn))
    return round(limited)


def _cost(call_class: CallClass, prompt_tokens: int, answer_tokens: int) -> int:
    if call_class.kind is CallKind.ROUTE:
        return 0 if call_class.open else call_class.cost_tokens
    return prompt_tokens + answer_tokens


def _prompt_text(
    rng: random.Random, model: str, tokens: int, sharing: PrefixSharing | None
) -> str:
    characters_count = tokens * CHARACTERS_PER_TOKEN
    # A random number makes each prompt, and thus each answer, unique.
    unique_start = f"[{rng.getrandbits(48):012x}] "
    if sharing is None or rng.random() >= sharing.share:
        return _fill_text(unique_start, tokens)
    group = rng.randrange(sharing.group_count)
    prefix = _fill_text(f"[{model} {group}] ", sharing.prefix_tokens)
    # At most half of the prompt is prefix, so that even a short one has its number.
    prefix = prefix[: characters_count // 2]
    return (prefix + _fill_text(unique_start, tokens))[:characters_count]


def _fill_text(start: str, tokens: int) -> str:
    characters_count = tokens * CHARACTERS_PER_TOKEN
    return (start + _FILLER_TEXT * (characters_count // len(_FILLER_TEXT) + 1))[
        :characters_count
    ]


class _ModelPopularity:
    """Draws models by Zipf's law; popularity shifts change the weights over time."""

    def __init__(self, experiment: Experiment) -> None:
        models = experiment.models
        ranking = sorted(models.names)
        random.Random(models.seed).shuffle(ranking)
        self._names = ranking
        self._weights = [
            1 / rank**models.zipf_exponent for rank in range(1, len(ranking) + 1)
        ]
        self._shifts = sorted(experiment.shifts, key=lambda shift: shift.at_ms)
        self._cumulative = list(itertools.accumulate(self._weights))

    def draw(self, rng: random.Random, at_ms: int) -> str:
        """Returns a model for a call at `at_ms`; calls must come in order of time."""
        while self._shifts and self._shifts[0].at_ms <= at_ms:
            shift = self._shifts.pop(0)
            self._weights[self._names.index(shift.model)] *= shift.factor
            self._cumulative = list(itertools.accumulate(self._weights))
        return rng.choices(self._names, cum_weights=self._cumulative)[0]
