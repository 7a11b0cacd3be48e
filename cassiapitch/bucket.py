"""Token bucket of one client account at the granter, with refunds.

Amounts are integers of microtokens: one token per second is 1,000 microtokens per
millisecond, so no refill is ever rounded. A grant may be used until the end of its
life, so what is admitted in a window of length T was charged in a window of length
T + life. Therefore the bucket holds less than the burst.
"""

import collections
import dataclasses

MICROTOKENS_PER_TOKEN = 1_000_000
GRANT_LIFE_MS = 1_000
# Share of a tolerance that is used; the rest covers differences between clocks.
TOLERANCE_USED_SHARE = 0.95
# Beyond this, the oldest headroom records are merged. A refund of a grant in the merged
# span is limited by its least headroom: it may credit too little, never too much.
HEADROOMS_LIMIT_COUNT = 512


def grant_life_ms(rate_tokens_per_s: int, burst_tokens: int) -> int:
    """Returns how long a grant is valid, counted from when the entry asked.

    At most half of the time in which the burst flows in, so that the bucket can hold
    about half of the burst (see `cap_tokens`).
    """
    return min(GRANT_LIFE_MS, burst_tokens * 500 // rate_tokens_per_s)


def cap_tokens(rate_tokens_per_s: int, burst_tokens: int) -> int:
    """Returns the largest number of tokens that the bucket ever holds."""
    life_ms = grant_life_ms(rate_tokens_per_s, burst_tokens)
    return burst_tokens - -(-rate_tokens_per_s * life_ms // 1000)


@dataclasses.dataclass(frozen=True, slots=True)
class RateTolerance:
    """What a deployment tolerates beyond rate and burst in a window.

    Attributes:
        tokens: Fixed number of tokens.
        share: Share of what rate and burst allow in the window, added to `tokens`.
        window_s: Length of the window; 0 if there is no tolerance.
    """

    tokens: int
    share: float
    window_s: float


def limits_with_tolerance(
    rate_tokens_per_s: int, burst_tokens: int, tolerance: RateTolerance
) -> tuple[int, int]:
    """Returns the rate and burst that use up a tolerance without exceeding it.

    An account that asks for somewhat more than its rate while engines have capacity is
    served up to what the deployment tolerates in its window; the rest is refused. Over
    any window T, all grants, including those that entries hold, admit at most the
    returned burst + rate x T. Over the deployment's window they admit no more than it
    tolerates, less a margin. Neither value is below the configured one.
    """
    if not tolerance.window_s:
        return rate_tokens_per_s, burst_tokens
    configured = rate_tokens_per_s * tolerance.window_s + burst_tokens
    tolerated = int(
        (tolerance.tokens + configured * tolerance.share) * TOLERANCE_USED_SHARE
    )
    # Grants that entries hold may be used while the bucket is full. The burst is raised
    # by their amount so that the bucket itself can hold the configured burst.
    held_tokens = min(
        rate_tokens_per_s * GRANT_LIFE_MS // 1_000, burst_tokens, tolerated
    )
    spread_s = tolerance.window_s + GRANT_LIFE_MS / 1_000
    extra_rate = int((tolerated - held_tokens) / spread_s)
    rate = rate_tokens_per_s + extra_rate
    return rate, burst_tokens + held_tokens + extra_rate * GRANT_LIFE_MS // 1_000


def max_window_tokens(
    rate_tokens_per_s: int, burst_tokens: int, tolerance: RateTolerance
) -> int:
    """Returns the most tokens that may be used in a deployment's window.

    Returns 0 if the deployment has no such window.
    """
    if not tolerance.window_s:
        return 0
    configured = rate_tokens_per_s * tolerance.window_s + burst_tokens
    tolerated = (tolerance.tokens + configured * tolerance.share) * TOLERANCE_USED_SHARE
    return int(configured + tolerated)


@dataclasses.dataclass(slots=True)
class Bucket:
    """Level and history of a bucket.

    Attributes:
        rate: Microtokens per millisecond.
        burst: Microtokens that may be admitted at once.
        life_ms: How long its grants are valid.
        cap: Upper limit of `level`.
        level: Microtokens that may be granted.
        updated_ms: Time of the last refill.
        stamp: Identity and time of the last grant; strictly increasing.
        headrooms: (stamp, least headroom since that grant), both ascending. Headroom
            is `cap - level`.
        charges: (time, microtokens) of grants that may still be in use.
        horizon_ms: How long a charge may be in use: the longest life of a grant under
            the current and earlier limits.
        residual: Microtokens that older charges than those in `charges` still count
            against the burst, at `residual_updated_ms`. It falls at `rate`.
        residual_updated_ms: Time of the last charge in `residual`.
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
    residual: int
    residual_updated_ms: int


def create(
    rate_tokens_per_s: int,
    burst_tokens: int,
    level: int,
    now_ms: int,
    *,
    shares_count: int = 1,
) -> Bucket:
    """Returns a new bucket; `shares_count` divides rate and burst evenly."""
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
        residual=0,
        residual_updated_ms=now_ms,
    )


def resume(
    rate_tokens_per_s: int, burst_tokens: int, level: int, now_ms: int
) -> Bucket:
    """Returns the bucket of an earlier granter, which left it at `level` or above.

    Its grants aren't known here. So everything that is missing is counted as granted
    now, on top of grants at the account's rate during one grant life before.
    """
    bucket = create(rate_tokens_per_s, burst_tokens, level, now_ms)
    bucket.charges.append((now_ms, bucket.cap - bucket.level))
    bucket.residual = bucket.rate * bucket.life_ms
    return bucket


def refill(bucket: Bucket, now_ms: int) -> None:
    """Adds the tokens that have flowed in since the last refill."""
    elapsed_ms = now_ms - bucket.updated_ms
    if elapsed_ms > 0:
        bucket.level = min(bucket.cap, bucket.level + bucket.rate * elapsed_ms)
        bucket.updated_ms = now_ms
        _lower_headrooms(bucket, bucket.cap - bucket.level)


def charge(bucket: Bucket, amount: int, now_ms: int) -> int:
    """Subtracts the amount of a grant and returns the grant's stamp.

    The stamp is the time, or the last stamp plus one if several grants are issued
    within a millisecond, so that a refund identifies a single grant.
    """
    refill(bucket, now_ms)
    bucket.level -= amount
    bucket.stamp = max(now_ms, bucket.stamp + 1)
    bucket.headrooms.append((bucket.stamp, bucket.cap - bucket.level))
    if len(bucket.headrooms) > HEADROOMS_LIMIT_COUNT:
        del bucket.headrooms[1]
    bucket.charges.append((now_ms, amount))
    _expire_charges(bucket, now_ms)
    return bucket.stamp


def credit(bucket: Bucket, amount: int, stamp: int, now_ms: int) -> int:
    """Credits a refund of the grant `stamp` and returns the credited amount.

    The credit is limited by the least headroom since the grant, so the level becomes
    what it would be if the amount had never been charged. Tokens that would have
    overflowed in the meantime are not granted a second time.
    """
    refill(bucket, now_ms)
    index = _headroom_index(bucket, stamp)
    if index is None or amount <= 0:
        return 0
    credited = min(amount, bucket.headrooms[index][1])
    bucket.level += credited
    remaining = bucket.headrooms[index][1] - credited
    bucket.headrooms = [
        (start, min(value, remaining) if number < index else value - credited)
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
    A grant that may still be in use can admit calls until the end of its life, and
    the new rate has refilled the bucket for that long by then; the reserve subtracts
    that refill. Refunds of grants issued before the change are no longer credited.
    """
    refill(bucket, now_ms)
    _expire_charges(bucket, now_ms)
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
    new.residual_updated_ms = max(
        bucket.residual_updated_ms, now_ms - bucket.horizon_ms
    )
    new.residual = _residual_at(bucket, new.residual_updated_ms)
    counted = in_use + max(new.residual, reserve)
    new.level = min(new.level, new.burst - counted)
    new.stamp = max(now_ms, bucket.stamp)
    new.charges = bucket.charges
    return new


def _lower_headrooms(bucket: Bucket, headroom: int) -> None:
    """Lowers the least headroom of all earlier grants to `headroom`."""
    headrooms = bucket.headrooms
    start = None
    while headrooms and headrooms[-1][1] >= headroom:
        start, _ = headrooms.pop()
    if start is not None:
        headrooms.append((start, headroom))


def _headroom_index(bucket: Bucket, stamp: int) -> int | None:
    """Returns the index of the headroom record that covers a grant."""
    for index in range(len(bucket.headrooms) - 1, -1, -1):
        if bucket.headrooms[index][0] <= stamp:
            return index
    return None


def _expire_charges(bucket: Bucket, now_ms: int) -> None:
    """Moves charges that can't be in use any more into the residual."""
    while bucket.charges and bucket.charges[0][0] + bucket.horizon_ms < now_ms:
        charged_ms, amount = bucket.charges.popleft()
        bucket.residual = _residual_at(bucket, charged_ms) + amount
        bucket.residual_updated_ms = max(bucket.residual_updated_ms, charged_ms)


def _residual_at(bucket: Bucket, at_ms: int) -> int:
    """Returns the residual at a later time."""
    elapsed_ms = max(0, at_ms - bucket.residual_updated_ms)
    return max(0, bucket.residual - bucket.rate * elapsed_ms)
