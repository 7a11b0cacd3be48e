"""Grants of rate tokens on the leader, under floors in the replicated log.

A granter exists for one term. It starts from the floors that the previous one
promised to keep, and charges only while its member holds the lease.
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
# A record that a waiting call needs is proposed sooner; one round trip to a quorum
# takes some milliseconds.
URGENT_PERIOD_MS = 20
# A floor is recorded anew once it is this share of the cap off its target.
FLOOR_TOLERANCE = 20
RESERVATION_MS = 1_000
SESSIONS_LIMIT_COUNT = 20_000
NEVER_MS = 3_600_000

# What of the window's room a record makes available ahead of the calls that wait, as
# the time in which it flows in at the account's rate.
AHEAD_MS = 500

# Rate and burst of each account, in tokens.
Limits = dict[AccountName, tuple[int, int]]
Windows = dict[AccountName, WindowLimit]


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Tokens set aside for the oldest call that did not fit.

    Attributes:
        entry: Entry at which the call waits.
        needed_tokens: Its cost.
        saved: Microtokens set aside so far, out of the bucket's level.
        asked_ms: When the entry last asked for it.
    """

    entry: str
    needed_tokens: int
    saved: int
    asked_ms: int


@dataclasses.dataclass(slots=True)
class Granter:
    """State of the granter of one term.

    Attributes:
        term: Its term.
        buckets: One for each account that a bundle of this term named.
        active: Accounts of the bundle in force.
        floors: Floors of the last committed record, in microtokens.
        recorded: Limits under which those floors hold.
        pending: Record that was proposed and may have been committed.
        sequence: Number of the last record.
        recorded_ms: When the last record was proposed.
        unmet_microtokens: Microtokens that waiting calls need, by account.
        reservations: At most one for each account.
        sessions: Last sequence and answer of each run of an entry.
        windows: Grants that count in the window of each account that has one.
    """

    term: int
    buckets: dict[AccountName, Bucket]
    active: Limits
    floors: dict[AccountName, int]
    recorded: Limits
    pending: RecordFloors | None = None
    sequence: int = 1
    recorded_ms: int = 0
    unmet_microtokens: dict[AccountName, int] = dataclasses.field(default_factory=dict)
    reservations: dict[AccountName, Reservation] = dataclasses.field(
        default_factory=dict
    )
    sessions: dict[tuple[str, str], RateGrants] = dataclasses.field(
        default_factory=dict
    )
    windows: dict[AccountName, RateWindow] = dataclasses.field(default_factory=dict)


def takeover_record(term: int) -> RecordFloors:
    """Returns the command whose result a new granter starts from.

    Once it is committed, records of earlier terms are without effect, so that the
    floors in its result are the ones in force.
    """
    return RecordFloors(term, 1, {})


def start(
    term: int,
    promised: FloorsRecorded,
    limits: Limits,
    now_ms: int,
    windows: Windows | None = None,
) -> Granter:
    """Returns a granter that starts from the promised floors."""
    granter = Granter(term, {}, {}, dict(promised.floors), dict(promised.limits))
    set_limits(granter, limits, now_ms, windows)
    return granter


def set_limits(
    granter: Granter, limits: Limits, now_ms: int, windows: Windows | None = None
) -> None:
    """Takes over the rates and windows of a bundle.

    The bucket of an account that is gone is kept, so that an account that comes
    back in a later bundle gets no second burst.
    """
    _set_windows(granter, limits, windows or {}, now_ms)
    for account, (rate, burst) in limits.items():
        present = granter.buckets.get(account)
        if present is None:
            granter.buckets[account] = _first_bucket(
                granter, account, (rate, burst), now_ms
            )
        elif granter.active.get(account) != (rate, burst):
            granter.buckets[account] = buckets.reconfigure(present, rate, burst, now_ms)
    granter.active = dict(limits)


def _set_windows(
    granter: Granter, limits: Limits, windows: Windows, now_ms: int
) -> None:
    """Begins the windows of accounts whose limits are new, and keeps the others."""
    kept = {}
    for account, limit in windows.items():
        present = granter.windows.get(account)
        is_same = (
            present is not None
            and present.limit == limit
            and granter.active.get(account) == limits.get(account)
        )
        kept[account] = present if is_same else RateWindow(limit, now_ms)
    granter.windows = kept


def _first_bucket(
    granter: Granter, account: AccountName, limits: tuple[int, int], now_ms: int
) -> Bucket:
    """Returns the bucket of an account that this granter has not had yet.

    Nothing is granted before a record under the same limits is committed. So an
    account without a record has never had a grant and starts full, and the grants
    of an account with one were charged under the recorded limits.
    """
    if account not in granter.floors:
        return buckets.create(
            *limits, buckets.cap_tokens(*limits) * MICROTOKENS_PER_TOKEN, now_ms
        )
    recorded = granter.recorded.get(account, limits)
    bucket = buckets.resume(*recorded, granter.floors[account], now_ms)
    if recorded != limits:
        bucket = buckets.reconfigure(bucket, *limits, now_ms)
    return bucket


def answer(
    granter: Granter, asks: Sequence[RateAsk], now_ms: int
) -> list[tuple[RateAsk, RateGrants]]:
    """Answers asks that arrived together; late ones get no answer.

    The caller has checked that its member holds the lease at `now_ms`, and has read
    `now_ms` after the asks arrived. A repeated ask gets its first answer again.
    """
    answers = []
    fresh = []
    for ask in asks:
        session = granter.sessions.get((ask.entry, ask.life_id))
        if session is None or ask.sequence > session.sequence:
            _open_session(granter, ask)
            fresh.append(ask)
        elif ask.sequence == session.sequence and ask not in fresh:
            answers.append((ask, session))
    for ask in fresh:
        for refund in ask.refunds:
            _take_refund(granter, refund, now_ms)
    grants = _grant(granter, fresh, now_ms)
    for ask, issued in zip(fresh, grants, strict=True):
        response = RateGrants(ask.sequence, tuple(issued))
        session = granter.sessions.get((ask.entry, ask.life_id))
        if session is not None and session.sequence == ask.sequence:
            granter.sessions[(ask.entry, ask.life_id)] = response
        answers.append((ask, response))
    return answers


def _open_session(granter: Granter, ask: RateAsk) -> None:
    name = (ask.entry, ask.life_id)
    granter.sessions.pop(name, None)
    granter.sessions[name] = RateGrants(ask.sequence, ())
    if len(granter.sessions) > SESSIONS_LIMIT_COUNT:
        del granter.sessions[next(iter(granter.sessions))]


def _take_refund(granter: Granter, refund: Refund, now_ms: int) -> None:
    bucket = granter.buckets.get(refund.account)
    if bucket is not None and refund.term == granter.term:
        amount = refund.tokens * MICROTOKENS_PER_TOKEN
        buckets.credit(bucket, amount, refund.granted_ms, now_ms)
        window = granter.windows.get(refund.account)
        if window is not None:
            ratewindow.give_back(window, refund.granted_ms, amount)


def _grant(granter: Granter, asks: Sequence[RateAsk], now_ms: int) -> list[list[Grant]]:
    issued: list[list[Grant]] = [[] for _ in asks]
    wants: dict[AccountName, list[TokenRequest]] = {}
    for number, ask in enumerate(asks):
        for item in ask.asks:
            if item.account in granter.active:
                needed = max(item.needed_tokens, item.largest_tokens, 0)
                want = TokenRequest(
                    number,
                    ask.entry,
                    needed,
                    max(item.expected_tokens, 0),
                    max(item.largest_tokens, 0),
                )
                wants.setdefault(item.account, []).append(want)
    for account, group in wants.items():
        for want, grant in _grant_account(granter, account, group, now_ms):
            issued[want.number].append(grant)
    return issued


def _grant_account(
    granter: Granter, account: AccountName, wants: list[TokenRequest], now_ms: int
) -> list[tuple[TokenRequest, Grant]]:
    bucket = granter.buckets[account]
    buckets.refill(bucket, now_ms)
    reservation = _current_reservation(granter, account, wants, now_ms)
    spendable = _spendable(granter, account, now_ms)
    shares = token_allocation.allocate_tokens(
        spendable // MICROTOKENS_PER_TOKEN, wants, reservation
    )
    grants = []
    unmet = []
    for want, tokens in zip(wants, shares, strict=True):
        stamp = _charge(granter, account, tokens, now_ms) if tokens else 0
        if tokens < want.needed_tokens:
            unmet.append((want, tokens))
        grants.append((want, tokens, stamp))
    _note_unmet(granter, account, unmet, now_ms)
    return [
        (
            want,
            Grant(
                account,
                tokens,
                bucket.life_ms,
                granter.term,
                stamp,
                _wait_ms(granter, account, want, tokens, now_ms),
            ),
        )
        for want, tokens, stamp in grants
    ]


def _charge(granter: Granter, account: AccountName, tokens: int, now_ms: int) -> int:
    amount = tokens * MICROTOKENS_PER_TOKEN
    stamp = buckets.charge(granter.buckets[account], amount, now_ms)
    window = granter.windows.get(account)
    if window is not None:
        ratewindow.note(window, stamp, amount, now_ms)
    return stamp


def _current_reservation(
    granter: Granter, account: AccountName, wants: list[TokenRequest], now_ms: int
) -> Reservation | None:
    """Lets the reservation save half of what can be spent, and ends a stale one."""
    reservation = granter.reservations.get(account)
    if reservation is None:
        return None
    for want in wants:
        if want.entry == reservation.entry:
            if want.largest_tokens == 0:
                del granter.reservations[account]
                return None
            reservation = dataclasses.replace(
                reservation, needed_tokens=want.largest_tokens, asked_ms=now_ms
            )
    if now_ms - reservation.asked_ms > RESERVATION_MS:
        del granter.reservations[account]
        return None
    spendable = max(0, _spendable(granter, account, now_ms))
    saved = min(reservation.saved, spendable)
    saved += (spendable - saved) // 2
    needed = reservation.needed_tokens * MICROTOKENS_PER_TOKEN
    reservation = dataclasses.replace(reservation, saved=min(saved, needed))
    granter.reservations[account] = reservation
    return reservation


def _note_unmet(
    granter: Granter,
    account: AccountName,
    unmet: list[tuple[TokenRequest, int]],
    now_ms: int,
) -> None:
    """Remembers what waiting calls need, for the next record and round."""
    bucket = granter.buckets[account]
    reservation = granter.reservations.get(account)
    if reservation is not None and not any(
        want.entry == reservation.entry for want, _ in unmet
    ):
        served = now_ms == reservation.asked_ms
        if served:
            del granter.reservations[account]
    granter.unmet_microtokens.pop(account, None)
    if not unmet:
        return
    missing = sum(want.needed_tokens - given for want, given in unmet)
    granter.unmet_microtokens[account] = missing * MICROTOKENS_PER_TOKEN
    for want, given in unmet:
        fits = want.largest_tokens * MICROTOKENS_PER_TOKEN <= bucket.cap
        if account not in granter.reservations and fits and given < want.largest_tokens:
            granter.reservations[account] = Reservation(
                want.entry, want.largest_tokens, 0, now_ms
            )


def _wait_ms(
    granter: Granter, account: AccountName, want: TokenRequest, given: int, now_ms: int
) -> int | None:
    """Returns when the rest of a want can be there; None if nothing is missing."""
    if given >= want.needed_tokens:
        return None
    bucket = granter.buckets[account]
    if want.largest_tokens * MICROTOKENS_PER_TOKEN > bucket.cap:
        return NEVER_MS
    missing = (want.needed_tokens - given) * MICROTOKENS_PER_TOKEN
    wait_ms = -(-(missing - bucket.level) // bucket.rate)
    window = granter.windows.get(account)
    if window is not None:
        free_ms = ratewindow.free_ms(window, missing, now_ms, MICROTOKENS_PER_TOKEN)
        wait_ms = wait_ms if free_ms is None else min(wait_ms, free_ms)
    return min(NEVER_MS, max(URGENT_PERIOD_MS, wait_ms))


def floor_in_force(granter: Granter, account: AccountName) -> int:
    """Returns the level below which nothing is granted.

    A proposed record may be committed or not, so both it and the last committed
    one bind the granter.
    """
    floor = granter.floors.get(account, 0)
    if granter.pending is not None:
        floor = max(floor, granter.pending.floors.get(account, floor))
    return floor


def _spendable(granter: Granter, account: AccountName, now_ms: int) -> int:
    """Returns the microtokens above the floor; none without a record to cover them.

    Down to an empty bucket, no window exceeds burst + rate x window. Below that the
    account's own window decides, under a floor that a record has lowered before. A
    successor resumes at that floor and grants nothing until its bucket has filled up,
    so that windows across a change of the leader stay below burst + rate x window too.

    A successor takes the missing tokens for grants under the recorded limits, so
    that grants under other limits must wait for their record.
    """
    limits = granter.active[account]
    if granter.recorded.get(account) != limits:
        return 0
    pending = granter.pending
    if pending is not None and pending.limits.get(account, limits) != limits:
        return 0
    level, floor = granter.buckets[account].level, floor_in_force(granter, account)
    from_bucket = level - max(0, floor)
    if floor >= 0 or account not in granter.windows:
        return from_bucket
    room = ratewindow.room(granter.windows[account], now_ms, MICROTOKENS_PER_TOKEN)
    return max(from_bucket, min(room, level - floor))


def next_record(granter: Granter, now_ms: int) -> RecordFloors | None:
    """Returns the record to propose now, or None if none is due.

    A pending record is proposed again with the same content.
    """
    elapsed_ms = now_ms - granter.recorded_ms
    if elapsed_ms < URGENT_PERIOD_MS:
        return None
    if granter.pending is not None:
        granter.recorded_ms = now_ms
        return granter.pending
    floors = _target_floors(granter, now_ms, urgent_only=elapsed_ms < RECORD_PERIOD_MS)
    if not floors:
        return None
    granter.sequence += 1
    granter.recorded_ms = now_ms
    limits = {account: granter.active[account] for account in floors}
    granter.pending = RecordFloors(granter.term, granter.sequence, floors, limits)
    return granter.pending


def record_committed(granter: Granter, record: RecordFloors) -> None:
    """Takes over a record that is in the log."""
    if granter.pending == record:
        granter.floors.update(record.floors)
        granter.recorded.update(record.limits)
        granter.pending = None


def _target_floors(
    granter: Granter, now_ms: int, *, urgent_only: bool
) -> dict[AccountName, int]:
    floors = {}
    for account in granter.active:
        bucket = granter.buckets[account]
        buckets.refill(bucket, now_ms)
        present = granter.floors.get(account, 0)
        level = bucket.level
        missing = granter.unmet_microtokens.get(account, 0)
        target = min(level, max(0, min(level // 2, level - missing)))
        window = granter.windows.get(account)
        if window is not None and missing > max(0, level):
            # Only what the window has room for is granted, however low the floor is.
            room = ratewindow.room(window, now_ms, MICROTOKENS_PER_TOKEN)
            ahead = missing + bucket.rate * AHEAD_MS
            target = min(target, level - min(room, ahead))
        is_uncovered = granter.recorded.get(account) != granter.active[account]
        is_urgent = is_uncovered or (missing > 0 and target < present)
        is_off = abs(target - present) * FLOOR_TOLERANCE > bucket.cap
        if is_urgent or (is_off and not urgent_only):
            floors[account] = target
    return floors


def windows_by_account(accounts: Iterable[tuple[str, int, int]]) -> Windows:
    """Returns windows by account from (name, tokens, length), 0 tokens for none."""
    return {
        AccountName(name): WindowLimit(tokens, length_ms)
        for name, tokens, length_ms in accounts
        if tokens
    }


def limits_by_account(accounts: Iterable[tuple[str, int, int]]) -> Limits:
    """Returns limits by account from (name, rate, burst)."""
    return {AccountName(name): (rate, burst) for name, rate, burst in accounts}
