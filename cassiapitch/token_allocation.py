"""Fair division of tokens between entries that ask at the same time."""

import dataclasses
from collections.abc import Sequence
from typing import Protocol

from cassiapitch.bucket import MICROTOKENS_PER_TOKEN


class Saving(Protocol):
    """What is set aside for the oldest call that did not fit."""

    entry: str
    needed_tokens: int
    saved: int


@dataclasses.dataclass(frozen=True, slots=True)
class TokenRequest:
    """What one entry wants of one account.

    Attributes:
        number: Place of the ask among those answered together.
        entry: The asking entry.
        needed_tokens: For calls that wait now.
        expected_tokens: For calls that are expected.
        largest_tokens: Cost of the largest waiting call.
    """

    number: int
    entry: str
    needed_tokens: int
    expected_tokens: int
    largest_tokens: int


def max_min_shares(available: int, wants: Sequence[int]) -> list[int]:
    """Returns max-min fair shares: nobody gets more while another has less."""
    shares = [0] * len(wants)
    left = max(available, 0)
    order = sorted(range(len(wants)), key=lambda number: wants[number])
    for position, number in enumerate(order):
        shares[number] = min(wants[number], left // (len(order) - position))
        left -= shares[number]
    return shares


def allocate_tokens(
    available: int, wants: Sequence[TokenRequest], reservation: Saving | None
) -> list[int]:
    """Returns the tokens for each want, in order.

    Waiting calls go before expected ones. A share that is too small for an entry's
    largest waiting call would expire unused, so such shares are pooled and serve
    as many of these calls whole as possible.
    """
    available = max(available, 0)
    shares = [0] * len(wants)
    left = available
    for number, want in enumerate(wants):
        if reservation is None or want.entry != reservation.entry:
            continue
        if 0 < reservation.needed_tokens <= left:
            shares[number] = reservation.needed_tokens
            left -= reservation.needed_tokens
            reservation = None
    if reservation is not None:
        left = max(0, left - -(-reservation.saved // MICROTOKENS_PER_TOKEN))
    rest = [want.needed_tokens - shares[n] for n, want in enumerate(wants)]
    left -= _serve_needed(shares, rest, wants, left)
    if all(
        share >= want.needed_tokens for share, want in zip(shares, wants, strict=True)
    ):
        expected = [want.expected_tokens for want in wants]
        # Half stays for entries that ask a moment later.
        for number, extra in enumerate(max_min_shares(left // 2, expected)):
            shares[number] += extra
    return shares


def _serve_needed(
    shares: list[int], rest: list[int], wants: Sequence[TokenRequest], left: int
) -> int:
    """Adds shares for waiting calls and returns how many tokens they took."""
    offers = max_min_shares(left, rest)
    given = 0
    pooled = []
    for number, offer in enumerate(offers):
        want = wants[number]
        if shares[number] + offer >= min(want.largest_tokens, want.needed_tokens):
            shares[number] += offer
            given += offer
        else:
            pooled.append(number)
    for number in sorted(pooled, key=lambda n: wants[n].largest_tokens):
        amount = wants[number].largest_tokens - shares[number]
        if amount <= left - given:
            shares[number] += amount
            given += amount
    return given
