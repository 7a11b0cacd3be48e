"""Grants rate tokens to entries: the leader's token bucket per client account.

Entries send asks (`RateAsk`), which request tokens and refund unused ones. The granter
answers with grants that expire soon. Its bucket levels are kept in memory only. So
that a new leader never grants the same tokens again, each granter records in the
replicated log a floor for each bucket level, and never grants below that floor.

A granter exists for one term. It starts from the recorded floors and charges buckets
only while its member holds the leader lease.
"""

import dataclasses
from collections.abc import Iterable, Sequence

from cassiapitch import bucket as buckets
from cassiapitch import ratewindow, token_allocation
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN, Bucket
from cassiapitch.commands import FloorsRecorded, RecordFloors
from cassiapitch.messages import (
    Grant,
    RateAsk,
    RateGrants,
    Refund,
)
from cassiapitch.ratewindow import RateWindow, WindowLimit
from cassiapitch.token_allocation import TokenRequest
from cassiapitch.types import AccountName

RECORD_PERIOD_MS = 500
# Records that waiting calls need are proposed at this shorter interval; one round trip
# to a quorum takes some milliseconds.
URGENT_PERIOD_MS = 20
# A floor is recorded again once it differs from its target by more than the cap divided
# by this.
FLOOR_TOLERANCE_DIVISOR = 20
# A reservation ends once its entry hasn't asked for this long.
RESERVATION_TIMEOUT_MS = 1_000
SESSIONS_LIMIT_COUNT = 20_000
# Longest wait that an answer states; also stated for calls that are larger than the
# bucket and can never be granted.
MAX_WAIT_MS = 3_600_000

# Tokens of the account's window that a record makes available beyond what calls
# already wait for: the amount that flows in at the account's rate in this time.
WINDOW_ADVANCE_MS = 500

# Rate (tokens per second) and burst (tokens) of each account.
Limits = dict[AccountName, tuple[int, int]]
WindowLimits = dict[AccountName, WindowLimit]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for the first call that could not be granted in full.

    Without it, small calls would take each new token and a large call would never
    be granted.

    Attributes:
        entry: Entry at which the call waits.
        needed_tokens: The call's cost.
        saved: Microtokens set aside so far, out of the bucket's level.
        asked_ms: When the entry last asked for the call's tokens.
    """

    entry: str
    needed_tokens: int
    saved: int
    asked_ms: int


@dataclasses.dataclass(slots=True)
class Granter:
    """State of the granter of one term.

    Attributes:
        term: The Raft term in which its member leads.
        buckets: One for each account that a bundle of this term named.
        limits_in_force: Rate and burst of each account of the bundle in force.
        floors: Floors of the last committed record, in microtokens.
        recorded_limits: Limits under which those floors were recorded.
        pending: Record that was proposed and may have been committed.
        sequence: Number of the last record.
        proposed_ms: When the last record was proposed.
        unmet_microtokens: Microtokens that waiting calls still lack, by account.
        reservations: At most one for each account.
        sessions: Sequence and answer of the last ask of each process run of an entry,
            by (entry, life_id).
        windows: Grants that count in the window of each account that has one.
    """

    term: int
    buckets: dict[AccountName, Bucket]
    limits_in_force: Limits
    floors: dict[AccountName, int]
    recorded_limits: Limits
    pending: RecordFloors | None = None
    sequence: int = 1
    proposed_ms: int = 0
    unmet_microtokens: dict[AccountName, int] = dataclasses.field(default_factory=dict)
    reservations: dict[AccountName, Reservation] = dataclasses.field(
        default_factory=dict
    )
    sessions: dict[tuple[str, str], RateGrants] = dataclasses.field(
        default_factory=dict
    )
    windows: dict[AccountName, RateWindow] = dataclasses.field(default_factory=dict)


def takeover_record(term: int) -> RecordFloors:
    """Returns the empty record that a new granter commits before it starts.

    Once it is committed, records of earlier terms have no effect, so the floors in
    its result are the ones in force.
    """
    return RecordFloors(term, 1, {})


def start(
    term: int,
    recorded_floors: FloorsRecorded,
    limits: Limits,
    now_ms: int,
    window_limits: WindowLimits | None = None,
) -> Granter:
    """Returns a granter that starts from the floors recorded in the log."""
    granter = Granter(
        term, {}, {}, dict(recorded_floors.floors), dict(recorded_floors.limits)
    )
    set_limits(granter, limits, now_ms, window_limits)
    return granter


def set_limits(
    granter: Granter,
    limits: Limits,
    now_ms: int,
    window_limits: WindowLimits | None = None,
) -> None:
    """Applies the rates and windows of a new bundle.

    The bucket of an account that the bundle lacks is kept, so that the account gets
    no second burst if a later bundle names it again.
    """
    _set_windows(granter, limits, window_limits or {}, now_ms)
    for account, (rate, burst) in limits.items():
        existing = granter.buckets.get(account)
        if existing is None:
            granter.buckets[account] = _first_bucket(
                granter, account, (rate, burst), now_ms
            )
        elif granter.limits_in_force.get(account) != (rate, burst):
            granter.buckets[account] = buckets.reconfigure(
                existing, rate, burst, now_ms
            )
    granter.limits_in_force = dict(limits)


def _set_windows(
    granter: Granter, limits: Limits, window_limits: WindowLimits, now_ms: int
) -> None:
    """Replaces the windows of accounts whose limits changed; keeps the others."""
    updated = {}
    for account, limit in window_limits.items():
        existing = granter.windows.get(account)
        is_same = (
            existing is not None
            and existing.limit == limit
            and granter.limits_in_force.get(account) == limits.get(account)
        )
        updated[account] = existing if is_same else RateWindow(limit, now_ms)
    granter.windows = updated


def _first_bucket(
    granter: Granter, account: AccountName, limits: tuple[int, int], now_ms: int
) -> Bucket:
    """Returns the initial bucket of an account that is new to this granter.

    Nothing is granted before a record under the same limits is committed. So an
    account without a record has never had a grant and starts full, and the grants
    of an account with a record were charged under the recorded limits.
    """
    if account not in granter.floors:
        return buckets.create(
            *limits, buckets.cap_tokens(*limits) * MICROTOKENS_PER_TOKEN, now_ms
        )
    earlier_limits = granter.recorded_limits.get(account, limits)
    bucket = buckets.resume(*earlier_limits, granter.floors[account], now_ms)
    if earlier_limits != limits:
        bucket = buckets.reconfigure(bucket, *limits, now_ms)
    return bucket


def answer(
    granter: Granter, asks: Sequence[RateAsk], now_ms: int
) -> list[tuple[RateAsk, RateGrants]]:
    """Answers asks that arrived together.

    The caller has checked that its member holds the lease at `now_ms`, and has read
    `now_ms` after the asks arrived. A repeated ask gets its first answer again. An
    ask that arrives after a later one of the same session gets no answer.
    """
    answers = []
    new_asks = []
    for ask in asks:
        session = granter.sessions.get((ask.entry, ask.life_id))
        if session is None or ask.sequence > session.sequence:
            _update_session(granter, ask)
            new_asks.append(ask)
        elif ask.sequence == session.sequence and ask not in new_asks:
            answers.append((ask, session))
    for ask in new_asks:
        for refund in ask.refunds:
            _credit_refund(granter, refund, now_ms)
    grants_by_ask = _grant_asks(granter, new_asks, now_ms)
    for ask, grants in zip(new_asks, grants_by_ask, strict=True):
        response = RateGrants(ask.sequence, tuple(grants))
        session = granter.sessions.get((ask.entry, ask.life_id))
        if session is not None and session.sequence == ask.sequence:
            granter.sessions[(ask.entry, ask.life_id)] = response
        answers.append((ask, response))
    return answers


def _update_session(granter: Granter, ask: RateAsk) -> None:
    """Makes an ask the latest of its session; limits the number of sessions."""
    session_id = (ask.entry, ask.life_id)
    granter.sessions.pop(session_id, None)
    granter.sessions[session_id] = RateGrants(ask.sequence, ())
    if len(granter.sessions) > SESSIONS_LIMIT_COUNT:
        del granter.sessions[next(iter(granter.sessions))]


def _credit_refund(granter: Granter, refund: Refund, now_ms: int) -> None:
    """Credits a refund of a grant of this term; others are ignored."""
    bucket = granter.buckets.get(refund.account)
    if bucket is not None and refund.term == granter.term:
        amount = refund.tokens * MICROTOKENS_PER_TOKEN
        buckets.credit(bucket, amount, refund.granted_ms, now_ms)
        window = granter.windows.get(refund.account)
        if window is not None:
            ratewindow.credit_refund(window, refund.granted_ms, amount)


def _grant_asks(
    granter: Granter, asks: Sequence[RateAsk], now_ms: int
) -> list[list[Grant]]:
    """Returns the grants for each ask, in order."""
    grants_by_ask: list[list[Grant]] = [[] for _ in asks]
    requests: dict[AccountName, list[TokenRequest]] = {}
    for number, ask in enumerate(asks):
        for item in ask.asks:
            if item.account in granter.limits_in_force:
                needed = max(item.needed_tokens, item.largest_tokens, 0)
                request = TokenRequest(
                    number,
                    ask.entry,
                    needed,
                    max(item.expected_tokens, 0),
                    max(item.largest_tokens, 0),
                )
                requests.setdefault(item.account, []).append(request)
    for account, account_requests in requests.items():
        for request, grant in _grant_account(
            granter, account, account_requests, now_ms
        ):
            grants_by_ask[request.number].append(grant)
    return grants_by_ask


def _grant_account(
    granter: Granter, account: AccountName, requests: list[TokenRequest], now_ms: int
) -> list[tuple[TokenRequest, Grant]]:
    """Divides what an account can spend among its requests and charges the grants."""
    bucket = granter.buckets[account]
    buckets.refill(bucket, now_ms)
    reservation = _update_reservation(granter, account, requests, now_ms)
    spendable = _spendable(granter, account, now_ms)
    shares = token_allocation.allocate_tokens(
        spendable // MICROTOKENS_PER_TOKEN, requests, reservation
    )
    grants = []
    unmet = []
    for request, tokens in zip(requests, shares, strict=True):
        stamp = _charge(granter, account, tokens, now_ms) if tokens else 0
        if tokens < request.needed_tokens:
            unmet.append((request, tokens))
        grants.append((request, tokens, stamp))
    _update_unmet(granter, account, unmet, now_ms)
    return [
        (
            request,
            Grant(
                account,
                tokens,
                bucket.life_ms,
                granter.term,
                stamp,
                _wait_ms(granter, account, request, tokens, now_ms),
            ),
        )
        for request, tokens, stamp in grants
    ]


def _charge(granter: Granter, account: AccountName, tokens: int, now_ms: int) -> int:
    """Charges a grant to bucket and window and returns its stamp."""
    amount = tokens * MICROTOKENS_PER_TOKEN
    stamp = buckets.charge(granter.buckets[account], amount, now_ms)
    window = granter.windows.get(account)
    if window is not None:
        ratewindow.add_grant(window, stamp, amount, now_ms)
    return stamp


def _update_reservation(
    granter: Granter, account: AccountName, requests: list[TokenRequest], now_ms: int
) -> Reservation | None:
    """Updates the account's reservation and returns it, or None if it has none.

    Half of what is spendable beyond the reservation is added to it. It is dropped if
    its entry has no waiting call any more or hasn't asked for too long.
    """
    reservation = granter.reservations.get(account)
    if reservation is None:
        return None
    for request in requests:
        if request.entry == reservation.entry:
            if request.largest_tokens == 0:
                del granter.reservations[account]
                return None
            reservation = dataclasses.replace(
                reservation, needed_tokens=request.largest_tokens, asked_ms=now_ms
            )
    if now_ms - reservation.asked_ms > RESERVATION_TIMEOUT_MS:
        del granter.reservations[account]
        return None
    spendable = max(0, _spendable(granter, account, now_ms))
    saved = min(reservation.saved, spendable)
    saved += (spendable - saved) // 2
    needed = reservation.needed_tokens * MICROTOKENS_PER_TOKEN
    reservation = dataclasses.replace(reservation, saved=min(saved, needed))
    granter.reservations[account] = reservation
    return reservation


def _update_unmet(
    granter: Granter,
    account: AccountName,
    unmet: list[tuple[TokenRequest, int]],
    now_ms: int,
) -> None:
    """Stores what waiting calls still lack, for the next record and answer.

    Drops a reservation that was served and, if there is none, makes one for the first
    call that was not granted in full.
    """
    bucket = granter.buckets[account]
    reservation = granter.reservations.get(account)
    if reservation is not None and not any(
        request.entry == reservation.entry for request, _ in unmet
    ):
        was_served = now_ms == reservation.asked_ms
        if was_served:
            del granter.reservations[account]
    granter.unmet_microtokens.pop(account, None)
    if not unmet:
        return
    missing_tokens = sum(
        request.needed_tokens - granted_tokens for request, granted_tokens in unmet
    )
    granter.unmet_microtokens[account] = missing_tokens * MICROTOKENS_PER_TOKEN
    for request, granted_tokens in unmet:
        fits = request.largest_tokens * MICROTOKENS_PER_TOKEN <= bucket.cap
        if (
            account not in granter.reservations
            and fits
            and granted_tokens < request.largest_tokens
        ):
            granter.reservations[account] = Reservation(
                request.entry, request.largest_tokens, 0, now_ms
            )


def _wait_ms(
    granter: Granter,
    account: AccountName,
    request: TokenRequest,
    granted_tokens: int,
    now_ms: int,
) -> int | None:
    """Returns the time until the rest of a request can be granted.

    None if the request was granted in full.
    """
    if granted_tokens >= request.needed_tokens:
        return None
    bucket = granter.buckets[account]
    if request.largest_tokens * MICROTOKENS_PER_TOKEN > bucket.cap:
        return MAX_WAIT_MS
    missing = (request.needed_tokens - granted_tokens) * MICROTOKENS_PER_TOKEN
    wait_ms = -(-(missing - bucket.level) // bucket.rate)
    window = granter.windows.get(account)
    if window is not None:
        window_wait_ms = ratewindow.time_until_available_ms(
            window, missing, now_ms, MICROTOKENS_PER_TOKEN
        )
        wait_ms = wait_ms if window_wait_ms is None else min(wait_ms, window_wait_ms)
    return min(MAX_WAIT_MS, max(URGENT_PERIOD_MS, wait_ms))


def floor_in_force(granter: Granter, account: AccountName) -> int:
    """Returns the level below which nothing is granted.

    Whether a proposed record is committed is not known yet, so the higher floor of
    the proposed and the last committed record applies.
    """
    floor = granter.floors.get(account, 0)
    if granter.pending is not None:
        floor = max(floor, granter.pending.floors.get(account, floor))
    return floor


def _spendable(granter: Granter, account: AccountName, now_ms: int) -> int:
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


def window_limits_by_account(accounts: Iterable[tuple[str, int, int]]) -> WindowLimits:
    """Returns window limits by account from (name, tokens, length_ms).

    Accounts with 0 tokens have no window limit.
    """
    return {
        AccountName(name): WindowLimit(tokens, length_ms)
        for name, tokens, length_ms in accounts
        if tokens
    }


def limits_by_account(accounts: Iterable[tuple[str, int, int]]) -> Limits:
    """Returns limits by account from (name, rate_tokens_per_s, burst_tokens)."""
    return {AccountName(name): (rate, burst) for name, rate, burst in accounts}
