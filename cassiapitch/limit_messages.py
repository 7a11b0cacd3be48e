"""Messages about the limits on requests that backend servers state.

Entries report what they hear to the control group, which records it in the log. They
ask the control leader for permits to send requests to a limited backend server. As in
`messages`, an incarnation is one run of a backend server.
"""

import itertools
import zlib
from collections.abc import Iterable, Sequence

import msgspec

from cassiapitch import codec, ranks
from cassiapitch.types import BackendName, LifeId

# Permits are given at most this long before they may be used. Entries ask again in
# time for it, so that an exchange with the leader leaves no time unused.
HORIZON_MS = 200
# How long a permit may be used. An entry that sent the request later, for instance
# after a suspend, would exceed the limit together with the requests of later permits.
PERMIT_LIFE_MS = 500
# An entry with requests in a queue asks at least this often.
ASK_PERIOD_MS = 200

# Requests of one entry that the leader keeps for one backend server.
WAITING_LIMIT_COUNT = 64

# Weights of client accounts beyond this count as this.
WEIGHT_LIMIT = 1_000_000

# Forms of `PermitAsk` and `PermitAnswer`. An earlier build sends no form, so that its
# messages have the first one; `CHANGES` is used with those that state `LISTS_KNOWN`.
FORM_FULL, FORM_LISTS_KNOWN, FORM_CHANGES, FORM_LIST_NEEDED = range(4)

# A prompt is packed into one number: tokens, longest wait and rank.
PROMPT_UNIT_TOKENS = 16
PROMPT_LIMIT_UNITS = 2**16 - 1
WAIT_UNIT_MS = 25
WAIT_LIMIT_UNITS = 2**10 - 1
# The time until a prompt's deadline and whether it may be late are packed into another,
# of one byte up to 12.6 s and two bytes above.
DEADLINE_UNIT_MS = 200
DEADLINE_LIMIT_UNITS = 2**7 - 1
# A prompt is late once it has waited for this many times its longest wait, which is 0.9
# of the objective.
LATE_AFTER_SHARE = 1.2


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports what a response stated; fields as in `RecordBackendLimit`."""

    sequence: int
    name: BackendName
    life_id: LifeId
    requests_per_s: float | None
    known_index: int


class LimitReportAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers the `LimitReport` with the same sequence.

    Attributes:
        sequence: Sequence of the report.
        index: Index of the view that shows its effect; None if the control group
            couldn't record it in time.
    """

    sequence: int
    index: int | None


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Permits that an entry needs for one incarnation.

    Attributes:
        name: The backend server.
        life_id: Its incarnation.
        waiting_count: Requests that wait for a permit. Replaces the number of the
            entry's last ask.
        is_probe: Whether the entry also wants a permit that no other entry needs,
            to hear whether the limit still holds.
        is_paced: Whether the incarnation is paced and has no limit that the entry
            knows (see `prompt_pacing`).
        prompts: Then rank and prompt tokens of each waiting request, the most urgent
            first.
        waiting: Otherwise, for each run of waiting requests of one rank and client
            account: rank, weight of the account, `account_tag` and number of requests,
            the most urgent first. An earlier build sends `waiting_count` only.
    """

    name: BackendName
    life_id: LifeId
    waiting_count: int
    is_probe: bool
    is_paced: bool = False
    prompts: tuple[tuple[int, int], ...] = ()
    waiting: tuple[int, ...] = ()


class PromptChange(msgspec.Struct, frozen=True, array_like=True):
    """Prompts that begin to wait for permits of one paced incarnation.

    Attributes:
        tag: Stands for the incarnation, see `load_report_queue.life_tag`.
        prompts: For each prompt its number and `packed_prompt`, the most urgent first.
        deadlines: For each prompt `packed_deadline`; empty as long as the leader
            hasn't stated that it accepts late prompts.
    """

    tag: int
    prompts: tuple[int, ...]
    deadlines: tuple[int, ...] = ()


class PermitAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the leader for permits.

    Attributes:
        entry: Name of the entry.
        life_id: Run of the entry.
        sequence: Number of this ask; the answer carries the same one.
        requests: One for each incarnation; none in the form `FORM_CHANGES`.
        form: `FORM_LISTS_KNOWN` if the entry can send changes, or `FORM_CHANGES`.
        is_complete: Whether `changes` lists all waiting prompts, not only new ones.
        changes: Waiting prompts; without any, those that the leader knows still wait.
        removed: Numbers of prompts that don't wait any more.
    """

    entry: str
    life_id: str
    sequence: int
    requests: tuple[PermitRequest, ...]
    form: int = FORM_FULL
    is_complete: bool = False
    changes: tuple[PromptChange, ...] = ()
    removed: tuple[int, ...] = ()


class Permits(msgspec.Struct, frozen=True, array_like=True):
    """Permits for one incarnation; all times count from the entry's ask.

    Attributes:
        life_id: The incarnation.
        delays_ms: For each permit, the time until it may be used.
        waits_ms: For each request that still waits, in order, the expected time
            until it may be sent.
        next_wait_ms: The same for one request more of the least urgent rank.
        spacing_ms: Time between two requests that the limit allows.
        next_waits_ms: Pairs of a rank and the wait of one request more of this rank and
            those above the rank of the pair before, the most urgent first; other ranks
            wait for `next_wait_ms`.
    """

    life_id: LifeId
    delays_ms: tuple[int, ...]
    waits_ms: tuple[int, ...]
    next_wait_ms: int
    spacing_ms: int
    next_waits_ms: tuple[int, ...] = ()


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers the `PermitAsk` with the same sequence, or gives permits that became due.

    Attributes:
        sequence: Sequence of the ask, also if it was answered before.
        permits: For each incarnation; none in the form `FORM_CHANGES`.
        form: `FORM_LISTS_KNOWN` if the leader accepts changes, `FORM_CHANGES` if it
            answers them, `FORM_LIST_NEEDED` if it doesn't know what they change.
        granted: Pairs of a prompt's number and the time until its permit may be used.
        waits_ms: For each prompt of the ask the expected time until it may be sent; if
            that is longer than its longest wait, -1 less that time.
        spacings_ms: For each of the ask's changes, the time that a prompt takes.
        is_pushed: Whether it follows the answer to the ask.
        accepts_late: Whether the leader lets late prompts wait.
        late_waits_ms: For each refused prompt of the ask, in order, the expected time
            until it would be sent as a late one; -1 if it wouldn't be.
        dropped: Pairs of the number of a waiting prompt that the leader has removed,
            since it wouldn't be sent before its deadline, and the time after which a
            further one would be admitted.
    """

    sequence: int
    permits: tuple[Permits, ...]
    form: int = FORM_FULL
    granted: tuple[int, ...] = ()
    waits_ms: tuple[int, ...] = ()
    spacings_ms: tuple[int, ...] = ()
    is_pushed: bool = False
    accepts_late: bool = False
    late_waits_ms: tuple[int, ...] = ()
    dropped: tuple[int, ...] = ()


class RelayedPermits(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a relayed `PermitAsk`, to be sent on the entry's link."""

    entry: str
    life_id: str
    answer: PermitAnswer


def account_tag(account: str) -> int:
    """Returns the four-byte number that stands for a client account.

    Two accounts that share one share their part of the permits of a backend server.
    """
    return zlib.crc32(account.encode())


def packed_waiting(requests: Iterable[tuple[int, int, int]]) -> tuple[int, ...]:
    """Returns rank, weight and account tag of requests as `PermitRequest.waiting`."""
    return tuple(
        value
        for key, run in itertools.groupby(requests)
        for value in (*key, sum(1 for _ in run))
    )


def unpacked_waiting(
    packed: Sequence[int], limit_count: int
) -> list[tuple[int, int, int]]:
    """Returns what `packed_waiting` got, within bounds and of at most a number."""
    requests: list[tuple[int, int, int]] = []
    runs = zip(packed[::4], packed[1::4], packed[2::4], packed[3::4], strict=False)
    for rank, weight, tag, count in runs:
        rank = min(ranks.LEAST_URGENT_RANK, max(ranks.MOST_URGENT_RANK, rank))
        weight = min(WEIGHT_LIMIT, max(1, weight))
        added_count = min(max(0, count), limit_count - len(requests))
        requests += [(rank, weight, tag)] * added_count
    return requests


def packed_prompt(rank: int, tokens: int, longest_wait_ms: int) -> int:
    """Returns a prompt as one number; tokens and wait are rounded up."""
    units = min(PROMPT_LIMIT_UNITS, -(-max(1, tokens) // PROMPT_UNIT_TOKENS))
    wait_units = min(WAIT_LIMIT_UNITS, -(-max(0, longest_wait_ms) // WAIT_UNIT_MS))
    rank = min(ranks.LEAST_URGENT_RANK, max(ranks.MOST_URGENT_RANK, rank))
    return (units << 14) | (wait_units << 4) | rank


def unpacked_prompt(packed: int) -> tuple[int, int, int]:
    """Returns rank, tokens and longest wait in milliseconds, within their bounds."""
    units = min(PROMPT_LIMIT_UNITS, max(1, packed >> 14))
    wait_units = (packed >> 4) & WAIT_LIMIT_UNITS
    rank = min(ranks.LEAST_URGENT_RANK, packed & 15)
    return rank, units * PROMPT_UNIT_TOKENS, wait_units * WAIT_UNIT_MS


def packed_deadline(left_ms: int, *, may_be_late: bool) -> int:
    """Returns the time until a deadline as one number; it is rounded down."""
    units = min(DEADLINE_LIMIT_UNITS, max(0, left_ms) // DEADLINE_UNIT_MS)
    return (units << 1) | may_be_late


def unpacked_deadline(packed: int) -> tuple[int, bool]:
    """Returns the time until a deadline, within its bounds, and if it may be late."""
    units = min(DEADLINE_LIMIT_UNITS, max(0, packed >> 1))
    return units * DEADLINE_UNIT_MS, bool(packed & 1)


REGISTERED_TYPES = (
    LimitReport,
    LimitReportAnswer,
    PermitAsk,
    PermitAnswer,
    RelayedPermits,
)
codec.register(REGISTERED_TYPES)
