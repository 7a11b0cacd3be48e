"""Grants rate tokens to entries: the leader's token bucket per client account.

Entries send asks (`RateAsk`), which request tokens and refund unused ones. The granter
answers with grants that expire soon. Its bucket levels are kept in memory only. So
that a new leader never grants the same tokens again, each granter records in the
replicated log a floor for each bucket level, and never grants below that floor.

A granter exists for one term. It starts from the recorded floors and charges buckets
only while its member holds the leader lease.
"""

from collections.abc import Sequence

from cassiapitch import bucket as buckets
from cassiapitch import (
    floor_records,
    ratewindow,
    token_allocation,
    token_reservations,
)
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN, Bucket
from cassiapitch.commands import FloorsRecorded
from cassiapitch.granter_state import Granter, Limits, WindowLimits
from cassiapitch.messages import Grant, RateAsk, RateGrants, Refund
from cassiapitch.ratewindow import RateWindow
from cassiapitch.token_allocation import TokenRequest
from cassiapitch.types import AccountName

SESSIONS_LIMIT_COUNT = 20_000
# Longest wait that an answer states; also stated for calls that are larger than the
# bucket and can never be granted.
MAX_WAIT_MS = 3_600_000


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
    reservation = token_reservations.update_reservation(
        granter, account, requests, now_ms
    )
    spendable = floor_records.spendable_microtokens(granter, account, now_ms)
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
    token_reservations.update_unmet(granter, account, requests, unmet, now_ms)
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
    return min(MAX_WAIT_MS, max(floor_records.URGENT_PERIOD_MS, wait_ms))
