"""Decides which floors of rate buckets a granter records, and what they let it grant.

A granter never grants below the floor of a bucket's level that the replicated log
names, so that the next leader's granter, which resumes at the floor, never grants the
same tokens again. `rate_floors` is the replicated state.
"""

from cassiapitch import bucket as buckets
from cassiapitch import ratewindow
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN
from cassiapitch.commands import RecordFloors
from cassiapitch.granter_state import Granter
from cassiapitch.types import AccountName

RECORD_PERIOD_MS = 500
# Records that waiting calls need are proposed at this shorter interval; one round trip
# to a quorum takes some milliseconds.
URGENT_PERIOD_MS = 20
# A floor is recorded again once it differs from its target by more than the cap divided
# by this.
FLOOR_TOLERANCE_DIVISOR = 20
# Tokens of the account's window that a record makes available beyond what calls
# already wait for: the amount that flows in at the account's rate in this time.
WINDOW_ADVANCE_MS = 500


def takeover_record(term: int) -> RecordFloors:
    """Returns the empty record that a new granter commits before it starts.

    Once it is committed, records of earlier terms have no effect, so the floors in
    its result are the ones in force.
    """
    return RecordFloors(term, 1, {})


def floor_in_force(granter: Granter, account: AccountName) -> int:
    """Returns the level below which nothing is granted.

    Whether a proposed record is committed is not known yet, so the higher floor of
    the proposed and the last committed record applies.
    """
    floor = granter.floors.get(account, 0)
    if granter.pending is not None:
        floor = max(floor, granter.pending.floors.get(account, floor))
    return floor


def spendable_microtokens(granter: Granter, account: AccountName, now_ms: int) -> int:
    """Returns the microtokens of an account that may be granted now.

    While the level stays at 0 or above, no window exceeds burst + rate x window. Below
    0, the limit of the account's own window applies (see `ratewindow`), and a record
    must have lowered the floor before. The next leader's granter resumes at that floor
    and grants nothing until its bucket has refilled, so that windows across a change
    of leader stay below burst + rate x window too.

    Returns 0 while the limits in force aren't the recorded ones: the next leader's
    granter assumes that the tokens missing from the bucket were granted under the
    recorded limits, so grants under other limits must wait for their record.
    """
    limits = granter.limits_in_force[account]
    if granter.recorded_limits.get(account) != limits:
        return 0
    pending = granter.pending
    if pending is not None and pending.limits.get(account, limits) != limits:
        return 0
    level, floor = granter.buckets[account].level, floor_in_force(granter, account)
    from_bucket = level - max(0, floor)
    if floor >= 0 or account not in granter.windows:
        return from_bucket
    in_window = ratewindow.available(
        granter.windows[account], now_ms, MICROTOKENS_PER_TOKEN
    )
    return max(from_bucket, min(in_window, level - floor))


def next_record(granter: Granter, now_ms: int) -> RecordFloors | None:
    """Returns the record to propose now, or None if none is due.

    A pending record is proposed again with the same content.
    """
    elapsed_ms = now_ms - granter.proposed_ms
    if elapsed_ms < URGENT_PERIOD_MS:
        return None
    if granter.pending is not None:
        granter.proposed_ms = now_ms
        return granter.pending
    floors = _target_floors(granter, now_ms, urgent_only=elapsed_ms < RECORD_PERIOD_MS)
    if not floors:
        return None
    granter.sequence += 1
    granter.proposed_ms = now_ms
    limits = {account: granter.limits_in_force[account] for account in floors}
    granter.pending = RecordFloors(granter.term, granter.sequence, floors, limits)
    return granter.pending


def record_committed(granter: Granter, record: RecordFloors) -> None:
    """Applies a committed record; ignores it unless it is the pending one."""
    if granter.pending == record:
        granter.floors.update(record.floors)
        granter.recorded_limits.update(record.limits)
        granter.pending = None


def _target_floors(
    granter: Granter, now_ms: int, *, urgent_only: bool
) -> dict[AccountName, int]:
    """Returns the floors that a record is due for, by account.

    The target is half the level, or less where calls wait for tokens below that.

    Args:
        granter: The granter.
        now_ms: The current time.
        urgent_only: Whether to return only floors of accounts whose limits aren't
            recorded, or whose floor must be lowered for waiting calls.
    """
    floors = {}
    for account in granter.limits_in_force:
        bucket = granter.buckets[account]
        buckets.refill(bucket, now_ms)
        current_floor = granter.floors.get(account, 0)
        level = bucket.level
        missing = granter.unmet_microtokens.get(account, 0)
        target = min(level, max(0, min(level // 2, level - missing)))
        window = granter.windows.get(account)
        if window is not None and missing > max(0, level):
            # The window still limits what is granted, however low the floor is.
            in_window = ratewindow.available(window, now_ms, MICROTOKENS_PER_TOKEN)
            advance = missing + bucket.rate * WINDOW_ADVANCE_MS
            target = min(target, level - min(in_window, advance))
        is_unrecorded = (
            granter.recorded_limits.get(account) != granter.limits_in_force[account]
        )
        is_urgent = is_unrecorded or (missing > 0 and target < current_floor)
        is_outdated = abs(target - current_floor) * FLOOR_TOLERANCE_DIVISOR > bucket.cap
        if is_urgent or (is_outdated and not urgent_only):
            floors[account] = target
    return floors
