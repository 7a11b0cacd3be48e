"""One account's token bucket at the granter, with refunds.

Amounts are integers of microtokens: one token a second is 1,000 a millisecond, so
that no refill is ever rounded. Grants charged in a window of T + life bound what is
admitted in T, hence the cap below the burst.
"""

import collections
import dataclasses

MICROTOKENS = 1_000_000
GRANT_LIFE_MS = 1_000
# Older headroom records are merged; a refund of such a grant then gets the least
# headroom of the merged span, which credits too little and never too much.
HEADROOMS_LIMIT_COUNT = 512


def grant_life_ms(rate_tokens_per_s: int, burst_tokens: int) -> int:
    """Returns how long a grant is valid, from the entry's ask."""
    return min(GRANT_LIFE_MS, burst_tokens * 500 // rate_tokens_per_s)


def cap_tokens(rate_tokens_per_s: int, burst_tokens: int) -> int:
    """Returns the largest number of tokens that the bucket ever holds."""
    life_ms = grant_life_ms(rate_tokens_per_s, burst_tokens)
    return burst_tokens - -(-rate_tokens_per_s * life_ms // 1000)


@dataclasses.dataclass(slots=True)
class Bucket:
    """Level and history of a bucket.

    Attributes:
        rate: Microtokens a millisecond.
        burst: Microtokens that may be admitted at once.
        life_ms: Validity of its grants.
        cap: Upper limit of `level`.
        level: Microtokens that may be granted.
        updated_ms: Time of the last refill.
        stamp: Identity and time of the last grant; strictly increasing.
        headrooms: (stamp, least headroom since that grant), both ascending.
        charges: (time, microtokens) of grants that may still be in use.
    """

    rate: int
    burst: int
    life_ms: int
    cap: int
    level: int
    updated_ms: int
    stamp: int
    headrooms: list[tuple[int, int]]
    charges: collections.deque[tuple[int, int]]


def create(
    rate_tokens_per_s: int,
    burst_tokens: int,
    level: int,
    now_ms: int,
    *,
    shares_count: int = 1,
) -> Bucket:
    """Returns a bucket; `shares_count` divides rate and burst evenly."""
    life_ms = grant_life_ms(rate_tokens_per_s, burst_tokens)
    rate = rate_tokens_per_s * 1000 // shares_count
    burst = burst_tokens * MICROTOKENS // shares_count
    cap = burst - rate * life_ms
    return Bucket(
        rate=rate,
        burst=burst,
        life_ms=life_ms,
        cap=cap,
        level=min(level, cap),
        updated_ms=now_ms,
        stamp=now_ms,
        headrooms=[],
        charges=collections.deque(),
    )


def refill(bucket: Bucket, now_ms: int) -> None:
    """Adds what has come in since the last refill."""
    elapsed_ms = now_ms - bucket.updated_ms
    if elapsed_ms > 0:
        bucket.level = min(bucket.cap, bucket.level + bucket.rate * elapsed_ms)
        bucket.updated_ms = now_ms
        _observe(bucket, bucket.cap - bucket.level)


def charge(bucket: Bucket, amount: int, now_ms: int) -> int:
    """Takes an amount and returns the grant's stamp.

    The stamp is the time, or one more than the last stamp where several grants
    are issued within a millisecond, so that a refund names a single grant.
    """
    refill(bucket, now_ms)
    bucket.level -= amount
    bucket.stamp = max(now_ms, bucket.stamp + 1)
    bucket.headrooms.append((bucket.stamp, bucket.cap - bucket.level))
    if len(bucket.headrooms) > HEADROOMS_LIMIT_COUNT:
        del bucket.headrooms[1]
    bucket.charges.append((now_ms, amount))
    _forget_charges(bucket, now_ms)
    return bucket.stamp


def credit(bucket: Bucket, amount: int, stamp: int, now_ms: int) -> int:
    """Takes a refund of the grant `stamp` and returns what was credited.

    The credit is limited by the least headroom since the grant: the level is then
    what it would be had the amount never been charged. Tokens that would have
    overflowed in between are not given a second time.
    """
    refill(bucket, now_ms)
    position = _position(bucket, stamp)
    if position is None or amount <= 0:
        return 0
    credited = min(amount, bucket.headrooms[position][1])
    bucket.level += credited
    left = bucket.headrooms[position][1] - credited
    bucket.headrooms = [
        (start, min(value, left) if number < position else value - credited)
        for number, (start, value) in enumerate(bucket.headrooms)
    ]
    return credited


def reconfigure(
    bucket: Bucket,
    rate_tokens_per_s: int,
    burst_tokens: int,
    now_ms: int,
    *,
    shares_count: int = 1,
) -> Bucket:
    """Returns the bucket under a new rate and burst.

    Grants that may still be in use count against the new burst, so the level may
    become negative. Grants issued before the change are no longer refunded.
    """
    refill(bucket, now_ms)
    _forget_charges(bucket, now_ms)
    in_use = sum(amount for _, amount in bucket.charges)
    new = create(
        rate_tokens_per_s,
        burst_tokens,
        bucket.level,
        now_ms,
        shares_count=shares_count,
    )
    new.level = min(new.level, new.burst - in_use)
    new.stamp = max(now_ms, bucket.stamp)
    new.charges = bucket.charges
    return new


def _observe(bucket: Bucket, headroom: int) -> None:
    """Lowers the least headroom of all earlier grants to `headroom`."""
    headrooms = bucket.headrooms
    start = None
    while headrooms and headrooms[-1][1] >= headroom:
        start, _ = headrooms.pop()
    if start is not None:
        headrooms.append((start, headroom))


def _position(bucket: Bucket, stamp: int) -> int | None:
    """Returns the place of the record that covers a grant."""
    for position in range(len(bucket.headrooms) - 1, -1, -1):
        if bucket.headrooms[position][0] <= stamp:
            return position
    return None


def _forget_charges(bucket: Bucket, now_ms: int) -> None:
    while bucket.charges and bucket.charges[0][0] + GRANT_LIFE_MS < now_ms:
        bucket.charges.popleft()
