"""The calls of an experiment, drawn from its seed."""

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

# Characters of prompt text for one token, as the entry estimates them.
CHARACTERS_PER_TOKEN = 4

_MEAN_COST_DRAWS_COUNT = 2_000
_FILLER = (
    "The rider asks for a jersey with a reflective back panel and short sleeves, "
    "delivered before the weekend, and wants to know which size fits a wide chest. "
)


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call as it is intended.

    Attributes:
        number: Position among all calls, from 0.
        at_ms: Intended send time, from the start of the load.
        account: The client account.
        class_name: Its class.
        model: The model or adapter, empty for a route.
        prompt: Prompt text, empty for a route.
        answer_tokens: Longest answer asked for.
        cost_tokens: What it takes of the account's rate, 0 on an open route.
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
    """Yields the calls in the order of their intended send times."""
    streams = [_account_calls(experiment, account) for account in experiment.accounts]
    merged = heapq.merge(*streams, key=lambda call: (call.at_ms, call.account))
    limited = itertools.islice(merged, experiment.calls_limit_count)
    for number, call in enumerate(limited):
        yield dataclasses.replace(call, number=number)


def _account_calls(
    experiment: Experiment, account: LoadAccount
) -> Iterator[PlannedCall]:
    source = random.Random(f"{experiment.seed}/{account.name}")
    names = list(account.class_weights)
    weights = list(account.class_weights.values())
    popularity = _Popularity(experiment)
    rate_per_ms = calls_per_s(experiment, account) / 1000
    times = _arrival_times(
        source, rate_per_ms, account.burstiness, account.burst_ms, experiment
    )
    for at_ms in times:
        name = source.choices(names, weights)[0]
        item = experiment.class_named(name)
        yield _draw_call(source, account, item, popularity, int(at_ms))


def calls_per_s(experiment: Experiment, account: LoadAccount) -> float:
    """Returns the mean calls a second that make up the account's rate share."""
    source = random.Random(f"{experiment.seed}/{account.name}/cost")
    names = list(account.class_weights)
    weights = list(account.class_weights.values())
    total_tokens = 0
    for name in source.choices(names, weights, k=_MEAN_COST_DRAWS_COUNT):
        item = experiment.class_named(name)
        total_tokens += _cost(item, *_draw_lengths(source, item))
    # Calls that cost nothing are limited as if each took one token.
    mean_tokens = max(1.0, total_tokens / _MEAN_COST_DRAWS_COUNT)
    return account.rate_share * account.rate_tokens_per_s / mean_tokens


def _arrival_times(
    source: random.Random,
    rate_per_ms: float,
    burstiness: float,
    burst_ms: int,
    experiment: Experiment,
) -> Iterator[float]:
    """Yields Poisson arrivals; above burstiness 1 in peaks with pauses between.

    A peak has `burstiness` times the mean rate and takes 1 / `burstiness` of the
    time on average, so that the mean rate stays as set.
    """
    time_ms = 0.0
    pause_ms = burst_ms * (burstiness - 1)
    while time_ms < experiment.duration_ms:
        if pause_ms == 0:
            end_ms = float(experiment.duration_ms)
        else:
            # The pause goes first, so that the accounts don't all begin in a peak.
            time_ms += source.expovariate(1 / pause_ms)
            end_ms = time_ms + source.expovariate(1 / burst_ms)
        while True:
            time_ms += source.expovariate(rate_per_ms * burstiness)
            if time_ms >= min(end_ms, experiment.duration_ms):
                break
            yield time_ms
        time_ms = end_ms


def _draw_call(
    source: random.Random,
    account: LoadAccount,
    item: CallClass,
    popularity: "_Popularity",
    at_ms: int,
) -> PlannedCall:
    prompt_tokens, answer_tokens = _draw_lengths(source, item)
    model = ""
    prompt = ""
    if item.kind is not CallKind.ROUTE:
        model = popularity.draw(source, at_ms)
        prompt = _prompt_text(source, model, prompt_tokens, item.prefix_sharing)
    return PlannedCall(
        number=0,
        at_ms=at_ms,
        account=account.name,
        class_name=item.name,
        model=model,
        prompt=prompt,
        answer_tokens=answer_tokens,
        cost_tokens=_cost(item, prompt_tokens, answer_tokens),
    )


def _draw_lengths(source: random.Random, item: CallClass) -> tuple[int, int]:
    if item.prompt is None or item.answer is None:
        return 0, 0
    return _draw_length(source, item.prompt), _draw_length(source, item.answer)


def _draw_length(source: random.Random, lengths: Lengths) -> int:
    drawn = lengths.median_tokens * math.exp(source.gauss(0, lengths.sigma))
    limited = min(lengths.maximum_tokens, max(lengths.minimum_tokens, drawn))
    return round(limited)


def _cost(item: CallClass, prompt_tokens: int, answer_tokens: int) -> int:
    if item.kind is CallKind.ROUTE:
        return 0 if item.open else item.cost_tokens
    return prompt_tokens + answer_tokens


def _prompt_text(
    source: random.Random, model: str, tokens: int, sharing: PrefixSharing | None
) -> str:
    size = tokens * CHARACTERS_PER_TOKEN
    # A number of its own makes each prompt, and thus each answer, different.
    own = f"[{source.getrandbits(48):012x}] "
    if sharing is None or source.random() >= sharing.share:
        return _repeat(own, tokens)
    group = source.randrange(sharing.group_count)
    prefix = _repeat(f"[{model} {group}] ", sharing.prefix_tokens)
    # A short prompt keeps room for its own number behind half of the prefix.
    prefix = prefix[: size // 2]
    return (prefix + _repeat(own, tokens))[:size]


def _repeat(start: str, tokens: int) -> str:
    size = tokens * CHARACTERS_PER_TOKEN
    return (start + _FILLER * (size // len(_FILLER) + 1))[:size]


class _Popularity:
    """Draws models by Zipf's law, with shifts at set times."""

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

    def draw(self, source: random.Random, at_ms: int) -> str:
        """Returns a model for a call at `at_ms`, which never decreases."""
        while self._shifts and self._shifts[0].at_ms <= at_ms:
            shift = self._shifts.pop(0)
            self._weights[self._names.index(shift.model)] *= shift.factor
            self._cumulative = list(itertools.accumulate(self._weights))
        return source.choices(self._names, cum_weights=self._cumulative)[0]
