"""State of the granter of one term, kept in memory only.

`granter` answers asks from it, `floor_records` says what of it is in the replicated
log, and `token_reservations` saves up tokens for large calls.
"""

import dataclasses
from collections.abc import Iterable

from cassiapitch.bucket import Bucket
from cassiapitch.commands import RecordFloors
from cassiapitch.messages import RateGrants
from cassiapitch.ratewindow import RateWindow, WindowLimit
from cassiapitch.types import AccountName

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
