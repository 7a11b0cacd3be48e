"""One account's token bucket at the granter, with refunds.

Amounts are integers of microtokens: one token a second is 1,000 a millisecond, so
that no refill is ever rounded. Grants charged in a window of T + life bound what is
admitted in T, hence the cap below the burst.
"""

import collections
import dataclasses

MICROTOKENS_PER_TOKEN = 1_000_000
GRANT_LIFE_MS = 1_000
# Part of a tolerance that is used; the rest covers clocks that differ.
USED_SHARE = 0.95
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


@dataclasses.dataclass(frozen=True, slots=True)
class RateTolerance:
    """What may be admitted beyond rate and burst in a window.

    Attributes:
        tokens: A fixed part.
        share: A share of rate and burst in the window.
        window_s: Length of the window.
    """

    tokens: int
    share: float
    window_s: float


def limits_with_tolerance(
    rate_tokens_per_s: int, burst_tokens: int, tolerance: RateTolerance
) -> tuple[int, int]:
    """Returns the rate and burst to keep so that a tolerance is used and not exceeded.

    Answers accounts that ask for somewhat more than their rate while engines have
    room: what a deployment tolerates in its window is served, the rest is refused. Over
    any window T all grants admit at most burst + rate x T of what is returned, grants
    that entries hold included, and over the deployment's window no more than it
    tolerates, less a margin. Neither is ever below what is stated.
    """
    if not tolerance.window_s:
        return rate_tokens_per_s, burst_tokens
    window_tokens = rate_tokens_per_s * tolerance.window_s + burst_tokens
    tolerated = int((tolerance.tokens + window_tokens * tolerance.share) * USED_SHARE)
    # Grants that entries hold can be in use beside a full bucket; a burst that is wider
    # by them lets the bucket hold the stated one.
    held = min(rate_tokens_per_s * GRANT_LIFE_MS // 1_000, burst_tokens, tolerated)
    spread_s = tolerance.window_s + GRANT_LIFE_MS / 1_000
    more = int((tolerated - held) / spread_s)
    rate = rate_tokens_per_s + more
    return rate, burst_tokens + held + more * GRANT_LIFE_MS // 1_000


def max_window_tokens(
    rate_tokens_per_s: int, burst_tokens: int, tolerance: RateTolerance
) -> int:
    """Returns the most that may be used in a deployment's window; 0 without one."""
    if not tolerance.window_s:
        return 0
    stated = rate_tokens_per_s * tolerance.window_s + burst_tokens
    tolerated = (tolerance.tokens + stated * tolerance.share) * USED_SHARE
    return int(stated + tolerated)


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
        horizon_ms: How long a charge may still be in use; the longest life of a
            grant under the present and earlier limits.
        settled: What earlier charges still count against a burst, at `settled_ms`.
        settled_ms: Time of the last charge in `settled`.
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
    horizon_ms: int
    settled: int
    settled_ms: int


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
    burst = burst_tokens * MICROTOKENS_PER_TOKEN // shares_count
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
        horizon_ms=life_ms,
        settled=0,
        settled_ms=now_ms,
    )


def resume(
    rate_tokens_per_s: int, burst_tokens: int, level: int, now_ms: int
) -> Bucket:
    """Returns a bucket that another granter left at `level` or above.

    Its grants aren't known here, so all that is missing may still be in use, after
    grants of a whole life at the account's rate.
    """
    bucket = create(rate_tokens_per_s, burst_tokens, level, now_ms)
    bucket.charges.append((now_ms, bucket.cap - bucket.level))
    bucket.settled = bucket.rate * bucket.life_ms
    return bucket


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

    Earlier charges count against the new burst, so the level may become negative.
    Grants that may still be in use can be admitted as late as the end of their life,
    when the new rate has already refilled the bucket for that long; the reserve
    makes up for it. Grants issued before the change are no longer refunded.
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
    new.horizon_ms = max(bucket.horizon_ms, new.life_ms)
    reserve = new.rate * new.horizon_ms if in_use else 0
    new.settled_ms = max(bucket.settled_ms, now_ms - bucket.horizon_ms)
    new.settled = _settled_at(bucket, new.settled_ms)
    counted = in_use + max(new.settled, reserve)
    new.level = min(new.level, new.burst - counted)
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
    while bucket.charges and bucket.charges[0][0] + bucket.horizon_ms < now_ms:
        charged_ms, amount = bucket.charges.popleft()
        bucket.settled = _settled_at(bucket, charged_ms) + amount
        bucket.settled_ms = max(bucket.settled_ms, charged_ms)


def _settled_at(bucket: Bucket, at_ms: int) -> int:
    """Returns what the settled charges still count at a later time."""
    elapsed_ms = max(0, at_ms - bucket.settled_ms)
    return max(0, bucket.settled - bucket.rate * elapsed_ms)
