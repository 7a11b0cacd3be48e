"""Fair division of an account's tokens among entries that ask at the same time."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from cassiapitch.bucket import MICROTOKENS_PER_TOKEN


class SavedTokens(Protocol):
    """Tokens saved up for the first call that could not be granted in full.

    Attributes:
        entry: The entry that the call waits at.
        needed_tokens: Cost of the call.
        saved: Microtokens saved so far.
    """

    entry: str
    needed_tokens: int
    saved: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """Tokens that one entry asks for of one account.

    Attributes:
        number: Index of the entry's `RateAsk` among those answered together.
        entry: The asking entry.
        needed_tokens: Tokens for calls that wait now.
        expected_tokens: Tokens for calls that are expected.
        largest_tokens: Cost of the largest waiting call.
    """

    number: int
    entry: str
    needed_tokens: int
    expected_tokens: int
    largest_tokens: int


def max_min_shares(available: int, demands: Sequence[int]) -> list[int]:
    """Returns max-min fair shares.

    No one gets more than another whose demand is not met in full.
    """
    shares = [0] * len(demands)
    remaining = max(available, 0)
    numbers = sorted(range(len(demands)), key=lambda number: demands[number])
    for position, number in enumerate(numbers):
        shares[number] = min(demands[number], remaining // (len(numbers) - position))
        remaining -= shares[number]
    return shares


def allocate_tokens(
    available: int, requests: Sequence[TokenRequest], reservation: SavedTokens | None
) -> list[int]:
    """Returns the tokens granted to each entry, in the order of `requests`.

    Waiting calls are served before expected ones. A share that is too small for an
    entry's largest waiting call would expire unused. Such shares are pooled, and the
    pool covers the full cost of as many of these calls as possible.

    Args:
        available: Tokens that can be granted.
        requests: What the entries ask for.
        reservation: Tokens saved up for a call that was not granted in full, if any.
    """
    available = max(available, 0)
    shares = [0] * len(requests)
    remaining = available
    for number, request in enumerate(requests):
        if reservation is None or request.entry != reservation.entry:
            continue
        if 0 < reservation.needed_tokens <= remaining:
            shares[number] = reservation.needed_tokens
            remaining -= reservation.needed_tokens
            reservation = None
    if reservation is not None:
        remaining = max(0, remaining - -(-reservation.saved // MICROTOKENS_PER_TOKEN))
    unmet = [
        request.needed_tokens - shares[index] for index, request in enumerate(requests)
    ]
    remaining -= _serve_needed(shares, unmet, requests, remaining)
    if all(
        share >= request.needed_tokens
        for share, request in zip(shares, requests, strict=True)
    ):
        expected = [request.expected_tokens for request in requests]
        # Half is kept for entries that ask a moment later.
        for number, expected_share in enumerate(
            max_min_shares(remaining // 2, expected)
        ):
            shares[number] += expected_share
    return shares


def _serve_needed(
    shares: list[int],
    unmet: list[int],
    requests: Sequence[TokenRequest],
    remaining: int,
) -> int:
    """Adds tokens for waiting calls to `shares`; returns their sum."""
    offers = max_min_shares(remaining, unmet)
    granted_tokens = 0
    pooled = []
    for number, offer in enumerate(offers):
        request = requests[number]
        if shares[number] + offer >= min(request.largest_tokens, request.needed_tokens):
            shares[number] += offer
            granted_tokens += offer
        else:
            pooled.append(number)
    for number in sorted(pooled, key=lambda index: requests[index].largest_tokens):
        missing_tokens = requests[number].largest_tokens - shares[number]
        if missing_tokens <= remaining - granted_tokens:
            shares[number] += missing_tokens
            granted_tokens += missing_tokens
    return granted_tokens
