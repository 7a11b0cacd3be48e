"""Alternative to `granter`, as a baseline: each entry gets an equal share of rates."""

import dataclasses
from collections.abc import Sequence

from cassiapitch import bucket as buckets
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN, Bucket
from cassiapitch.granter import MAX_WAIT_MS
from cassiapitch.granter_state import Limits
from cassiapitch.messages import (
    Grant,
    GrantAsk,
    RateAsk,
    RateGrants,
)
from cassiapitch.types import AccountName

# An entry that hasn't asked for this long gets no share.
ENTRY_SILENCE_MS = 10_000


@dataclasses.dataclass(slots=True)
class EqualSplit:
    """Buckets by account and entry.

    Attributes:
        term: The Raft term in which its member leads.
        limits: Rate and burst of each account of the bundle in force.
        last_ask_ms: When each known entry last asked.
        entry_buckets: Bucket of each account at each entry.
        last_sequences: Sequence of the last ask of each process run of an entry, by
            (entry, life_id).
        shares_count: Number of shares that the buckets were made for.
    """

    term: int
    limits: Limits
    last_ask_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    entry_buckets: dict[tuple[AccountName, str], Bucket] = dataclasses.field(
        default_factory=dict
    )
    last_sequences: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    shares_count: int = 0


def answer(
    split: EqualSplit, asks: Sequence[RateAsk], now_ms: int
) -> list[tuple[RateAsk, RateGrants]]:
    """Answers each ask from the entry's own buckets; repeated asks get no answer."""
    for ask in asks:
        split.last_ask_ms[ask.entry] = now_ms
    _update_buckets(split, now_ms)
    answers = []
    for ask in asks:
        session_id = (ask.entry, ask.life_id)
        if ask.sequence <= split.last_sequences.get(session_id, 0):
            continue
        split.last_sequences[session_id] = ask.sequence
        _credit_refunds(split, ask, now_ms)
        grants = [
            _grant(split, ask.entry, item, now_ms)
            for item in ask.asks
            if item.account in split.limits
        ]
        answers.append((ask, RateGrants(ask.sequence, tuple(grants))))
    return answers


def _update_buckets(split: EqualSplit, now_ms: int) -> None:
    """Adapts the buckets if the number of known entries has changed.

    The buckets of a silent entry are dropped. The other entries get its share of the
    rate, so it must not return with tokens that they were granted in the meantime.
    """
    silent = [
        entry
        for entry, last_ask_ms in split.last_ask_ms.items()
        if now_ms - last_ask_ms > ENTRY_SILENCE_MS
    ]
    for entry in silent:
        del split.last_ask_ms[entry]
    if silent:
        split.entry_buckets = {
            account_and_entry: bucket
            for account_and_entry, bucket in split.entry_buckets.items()
            if account_and_entry[1] in split.last_ask_ms
        }
    count = len(split.last_ask_ms)
    for account, (rate, burst) in split.limits.items():
        for entry in split.last_ask_ms:
            bucket = split.entry_buckets.get((account, entry))
            if bucket is None:
                bucket = buckets.create(rate, burst, 0, now_ms, shares_count=count)
            elif count != split.shares_count:
                bucket = buckets.reconfigure(
                    bucket, rate, burst, now_ms, shares_count=count
                )
            split.entry_buckets[(account, entry)] = bucket
    split.shares_count = count


def set_limits(split: EqualSplit, limits: Limits, now_ms: int) -> None:
    """Applies the limits of a new bundle and adapts the buckets at once.

    Otherwise they would fill at the old rate until the next ask.
    """
    if split.limits != limits:
        split.limits = dict(limits)
        split.shares_count = 0
        _update_buckets(split, now_ms)


def _credit_refunds(split: EqualSplit, ask: RateAsk, now_ms: int) -> None:
    for refund in ask.refunds:
        bucket = split.entry_buckets.get((refund.account, ask.entry))
        if bucket is not None and refund.term == split.term:
            buckets.credit(
                bucket, refund.tokens * MICROTOKENS_PER_TOKEN, refund.granted_ms, now_ms
            )


def _grant(split: EqualSplit, entry: str, item: GrantAsk, now_ms: int) -> Grant:
    bucket = split.entry_buckets[(item.account, entry)]
    buckets.refill(bucket, now_ms)
    needed = max(item.needed_tokens, item.largest_tokens, 0)
    requested = needed + max(item.expected_tokens, 0)
    tokens = min(requested, max(bucket.level, 0) // MICROTOKENS_PER_TOKEN)
    stamp = (
        buckets.charge(bucket, tokens * MICROTOKENS_PER_TOKEN, now_ms) if tokens else 0
    )
    wait_ms = None
    if tokens < needed:
        missing = (needed - tokens) * MICROTOKENS_PER_TOKEN
        wait_ms = min(MAX_WAIT_MS, -(-missing // max(bucket.rate, 1)))
    return Grant(item.account, tokens, bucket.life_ms, split.term, stamp, wait_ms)
