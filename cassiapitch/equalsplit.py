"""Baseline of the granter: a fixed, equal part of each rate for each entry."""

import dataclasses
from collections.abc import Sequence

from cassiapitch import bucket as buckets
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN, Bucket
from cassiapitch.granter import NEVER_MS, Limits
from cassiapitch.messages import (
    Grant,
    GrantAsk,
    RateAsk,
    RateGrants,
)
from cassiapitch.types import AccountName

ENTRY_SILENCE_MS = 10_000


@dataclasses.dataclass(slots=True)
class EqualSplit:
    """Buckets by account and entry.

    Attributes:
        term: Term of the member's leadership.
        limits: Rates of the bundle in force.
        heard_ms: When each known entry last asked.
        parts: Bucket of each account at each entry.
        sequences: Last sequence of each run of an entry.
        shares_count: Number of parts that the buckets were made for.
    """

    term: int
    limits: Limits
    heard_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    parts: dict[tuple[AccountName, str], Bucket] = dataclasses.field(
        default_factory=dict
    )
    sequences: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    shares_count: int = 0


def answer(
    split: EqualSplit, asks: Sequence[RateAsk], now_ms: int
) -> list[tuple[RateAsk, RateGrants]]:
    """Answers each ask from the entry's own part; a repeated one gets nothing."""
    for ask in asks:
        split.heard_ms[ask.entry] = now_ms
    _divide(split, now_ms)
    answers = []
    for ask in asks:
        name = (ask.entry, ask.life_id)
        if ask.sequence <= split.sequences.get(name, 0):
            continue
        split.sequences[name] = ask.sequence
        _take_refunds(split, ask, now_ms)
        grants = [
            _grant(split, ask.entry, item, now_ms)
            for item in ask.asks
            if item.account in split.limits
        ]
        answers.append((ask, RateGrants(ask.sequence, tuple(grants))))
    return answers


def _divide(split: EqualSplit, now_ms: int) -> None:
    """Makes the parts anew when the number of known entries has changed.

    The part of a silent entry is dropped: the others take over its rate, so it
    would otherwise come back with tokens that were given away meanwhile.
    """
    silent = [
        entry
        for entry, heard_ms in split.heard_ms.items()
        if now_ms - heard_ms > ENTRY_SILENCE_MS
    ]
    for entry in silent:
        del split.heard_ms[entry]
    if silent:
        split.parts = {
            name: part
            for name, part in split.parts.items()
            if name[1] in split.heard_ms
        }
    count = len(split.heard_ms)
    for account, (rate, burst) in split.limits.items():
        for entry in split.heard_ms:
            part = split.parts.get((account, entry))
            if part is None:
                part = buckets.create(rate, burst, 0, now_ms, shares_count=count)
            elif count != split.shares_count:
                part = buckets.reconfigure(
                    part, rate, burst, now_ms, shares_count=count
                )
            split.parts[(account, entry)] = part
    split.shares_count = count


def set_limits(split: EqualSplit, limits: Limits, now_ms: int) -> None:
    """Takes over the rates of a bundle; the parts are made anew at once.

    Until the next ask they would otherwise fill at the old rate.
    """
    if split.limits != limits:
        split.limits = dict(limits)
        split.shares_count = 0
        _divide(split, now_ms)


def _take_refunds(split: EqualSplit, ask: RateAsk, now_ms: int) -> None:
    for refund in ask.refunds:
        part = split.parts.get((refund.account, ask.entry))
        if part is not None and refund.term == split.term:
            buckets.credit(
                part, refund.tokens * MICROTOKENS_PER_TOKEN, refund.granted_ms, now_ms
            )


def _grant(split: EqualSplit, entry: str, item: GrantAsk, now_ms: int) -> Grant:
    part = split.parts[(item.account, entry)]
    buckets.refill(part, now_ms)
    needed = max(item.needed_tokens, item.largest_tokens, 0)
    wanted = needed + max(item.expected_tokens, 0)
    tokens = min(wanted, max(part.level, 0) // MICROTOKENS_PER_TOKEN)
    stamp = (
        buckets.charge(part, tokens * MICROTOKENS_PER_TOKEN, now_ms) if tokens else 0
    )
    wait_ms = None
    if tokens < needed:
        missing = (needed - tokens) * MICROTOKENS_PER_TOKEN
        wait_ms = min(NEVER_MS, -(-missing // max(part.rate, 1)))
    return Grant(item.account, tokens, part.life_ms, split.term, stamp, wait_ms)
