"""Saves up tokens for the first call of an account that could not be granted in full.

Without a reservation, small calls would take each new token and a large call would
never be granted.
"""

import dataclasses

from cassiapitch.bucket import MICROTOKENS_PER_TOKEN
from cassiapitch.floor_records import spendable_microtokens
from cassiapitch.granter_state import Granter, Reservation
from cassiapitch.token_allocation import TokenRequest
from cassiapitch.types import AccountName

# A reservation ends once its entry hasn't asked for this long.
RESERVATION_TIMEOUT_MS = 1_000


def update_reservation(
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
    spendable = max(0, spendable_microtokens(granter, account, now_ms))
    saved = min(reservation.saved, spendable)
    saved += (spendable - saved) // 2
    needed = reservation.needed_tokens * MICROTOKENS_PER_TOKEN
    reservation = dataclasses.replace(reservation, saved=min(saved, needed))
    granter.reservations[account] = reservation
    return reservation


def update_unmet(
    granter: Granter,
    account: AccountName,
    requests: list[TokenRequest],
    unmet: list[tuple[TokenRequest, int]],
    now_ms: int,
) -> None:
    """Stores what waiting calls still lack, for the next record and answer.

    Drops a reservation that was served and, if there is none, makes one for the first
    call that was not granted in full.

    Args:
        granter: The granter.
        account: The client account.
        requests: The requests that were answered together.
        unmet: Those that were not granted in full, with the tokens granted.
        now_ms: The current time.
    """
    bucket = granter.buckets[account]
    reservation = granter.reservations.get(account)
    if reservation is not None:
        # Asks of other entries may have been answered before in the same millisecond.
        has_asked = any(request.entry == reservation.entry for request in requests)
        is_unmet = any(request.entry == reservation.entry for request, _ in unmet)
        if has_asked and not is_unmet:
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
