"""Spaces out the requests of all entries to backend servers with a limit.

A backend server has one if it has stated it, or while it is cold.

The control leader gives each request to a limited backend server its own time, one
interval of the limit after the previous one. The requests of all entries wait in one
queue for each incarnation; the position in it tells how long a request has to wait.
They are ordered by arrival, or by rank: then a waiting request counts as more urgent by
one rank after each `RANK_WAIT_MS`, and within a rank client accounts share the permits
by their weights.

A schedule exists for one term and is kept in memory only. It begins when all permits
of earlier leaders have expired.
"""

import collections
import dataclasses

import msgspec

from cassiapitch import ranks
from cassiapitch.limit_messages import (
    HORIZON_MS,
    PERMIT_LIFE_MS,
    WAITING_LIMIT_COUNT,
    PermitAnswer,
    PermitAsk,
    PermitRequest,
    Permits,
    unpacked_waiting,
)
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendLimit

# Longest interval between requests. A backend server that states a limit of 0 gets a
# request now and then, since only a response tells that the limit has ended.
LONGEST_INTERVAL_MS = 10_000
# An entry that hasn't asked for this long loses its positions in a queue.
QUEUED_TIMEOUT_MS = 700
# A queue that no entry has asked for in this time is removed.
UNUSED_QUEUE_TIMEOUT_MS = 60_000
# A request counts as more urgent by one rank after each such wait.
RANK_WAIT_MS = 2_000
# Rank of requests of entries of an earlier build, which don't tell it.
UNKNOWN_RANK = ranks.LEAST_URGENT_RANK // 2
UNKNOWN_ACCOUNT = 0
# An entry uses a permit for its most urgent request. That for which it was given keeps
# its time if the entry lists it again within this time.
GIVEN_KEPT_MS = 1_000
# The first permit of a backend server that has turned cold is given this much later:
# until their views show it, entries send to it without permits.
COLD_DELAY_MS = 200

EntryRun = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Queued:
    """A waiting request.

    Attributes:
        holder: Its entry.
        rank: Its priority rank, 0 first.
        account: Tag of its client account.
        since_ms: Time of the first ask for it.
        finish_tag: Its virtual finish time in fair queueing; within a rank, the
            smallest goes first.
    """

    holder: EntryRun
    rank: int
    account: int
    since_ms: int
    finish_tag: float

    def order(self, now_ms: int) -> tuple[int, float, int]:
        """Returns what requests are sorted by."""
        waited_ranks = (now_ms - self.since_ms) // RANK_WAIT_MS
        return max(0, self.rank - waited_ranks), self.finish_tag, self.since_ms


@dataclasses.dataclass(slots=True)
class _Queue:
    """Requests that wait for permits of one incarnation.

    Attributes:
        next_free_ms: Earliest time of the next permit.
        queued: The waiting requests, in order.
        served_tag: Largest finish tag of a request that has got a permit.
        last_tags: Largest finish tag by rank and account, if above `served_tag`.
        given: Requests that got a permit lately, with the time and in order, by entry.
        asked_ms: When each entry with a waiting request last asked.
        last_asked_ms: When any entry last asked.
        cold_index: Index of the last cold limit that it was asked for; 0 if none.
    """

    next_free_ms: float
    queued: list[_Queued] = dataclasses.field(default_factory=list)
    served_tag: float = 0.0
    last_tags: dict[tuple[int, int], float] = dataclasses.field(default_factory=dict)
    given: dict[EntryRun, list[tuple[int, _Queued]]] = dataclasses.field(
        default_factory=dict
    )
    asked_ms: dict[EntryRun, int] = dataclasses.field(default_factory=dict)
    last_asked_ms: int = 0
    cold_index: int = 0


@dataclasses.dataclass(slots=True)
class PermitSchedule:
    """Queues of all limited incarnations, for one term.

    Attributes:
        term: The term in which its member leads.
        start_ms: Time from which it gives permits.
        is_ranked: Whether ranks and weights count, not only the order of arrival.
    """

    term: int
    start_ms: int
    is_ranked: bool = False
    queues: dict[LifeId, _Queue] = dataclasses.field(default_factory=dict)


def start(term: int, now_ms: int, *, is_ranked: bool = False) -> PermitSchedule:
    """Returns the schedule of a member that has just begun to lead.

    An earlier leader may have given permits up to this moment, for times up to
    `HORIZON_MS` later.
    """
    return PermitSchedule(term, now_ms + HORIZON_MS + PERMIT_LIFE_MS, is_ranked)


def interval_ms(limit: BackendLimit) -> float:
    """Returns the time between two requests that a limit allows."""
    if limit.requests_per_s * LONGEST_INTERVAL_MS <= 1_000:
        return LONGEST_INTERVAL_MS
    return 1_000 / limit.requests_per_s


def answer(
    schedule: PermitSchedule,
    ask: PermitAsk,
    limits: dict[LifeId, BackendLimit | None],
    now_ms: int,
) -> PermitAnswer:
    """Answers an ask; see `PermitAnswer`.

    The caller has checked that its member holds the lease at `now_ms`, and has read
    `now_ms` after the ask arrived.

    Args:
        schedule: The schedule.
        ask: The ask.
        limits: The limit of each incarnation in the ask; None if it has none.
        now_ms: The current time.
    """
    _remove_unused_queues(schedule, now_ms)
    entry_run = (ask.entry, ask.life_id)
    permits = []
    for request in ask.requests:
        limit = limits[request.life_id]
        if limit is None:
            # The entry's view is about to show that nothing is limited any more.
            continue
        queue = schedule.queues.get(request.life_id)
        if queue is None:
            first_ms = max(schedule.start_ms, now_ms)
            queue = schedule.queues[request.life_id] = _Queue(first_ms)
        queue.last_asked_ms = now_ms
        if limit.is_cold and limit.index != queue.cold_index:
            queue.cold_index = limit.index
            queue.next_free_ms = max(queue.next_free_ms, now_ms + COLD_DELAY_MS)
        if not schedule.is_ranked:
            request = msgspec.structs.replace(request, waiting=())
        item = _serve_request(queue, entry_run, request, interval_ms(limit), now_ms)
        if not schedule.is_ranked:
            item = msgspec.structs.replace(item, next_waits_ms=())
        permits.append(item)
    return PermitAnswer(ask.sequence, tuple(permits))


def _serve_request(
    queue: _Queue,
    entry_run: EntryRun,
    request: PermitRequest,
    spacing_ms: float,
    now_ms: int,
) -> Permits:
    """Updates an entry's waiting requests, and gives permits to those that are due."""
    queue.asked_ms[entry_run] = now_ms
    _remove_silent(queue, now_ms)
    _replace(queue, entry_run, request, now_ms)
    delays_ms: list[int] = []
    waits_ms: list[int] = []
    # A probe uses a time that has passed unused, so that the next request which needs
    # a permit doesn't wait for it.
    if (
        request.is_probe
        and not queue.queued
        and queue.next_free_ms + spacing_ms <= now_ms
    ):
        queue.next_free_ms = now_ms
        delays_ms.append(0)
    first_ms = max(queue.next_free_ms, now_ms)
    still_queued = []
    for number, item in enumerate(queue.queued):
        delay_ms = int(first_ms + number * spacing_ms - now_ms)
        if item.holder == entry_run and delay_ms <= HORIZON_MS:
            delays_ms.append(delay_ms)
            queue.served_tag = max(queue.served_tag, item.finish_tag)
            queue.given.setdefault(entry_run, []).append((now_ms, item))
            continue
        still_queued.append(item)
        if item.holder == entry_run:
            waits_ms.append(delay_ms)
    queued, queue.queued = queue.queued, still_queued
    given_count = len(queued) - len(still_queued)
    if given_count:
        queue.next_free_ms = first_ms + given_count * spacing_ms
    if not waits_ms:
        queue.asked_ms.pop(entry_run, None)
    next_wait_ms = first_ms + len(queued) * spacing_ms - now_ms
    return Permits(
        request.life_id,
        tuple(delays_ms),
        tuple(waits_ms),
        int(next_wait_ms),
        int(spacing_ms),
        _next_waits_ms(queued, first_ms, spacing_ms, now_ms),
    )


def _replace(
    queue: _Queue, entry_run: EntryRun, request: PermitRequest, now_ms: int
) -> None:
    """Replaces an entry's waiting requests; those that it had keep their places."""
    waiting = unpacked_waiting(request.waiting, WAITING_LIMIT_COUNT)
    if not waiting:
        count = min(WAITING_LIMIT_COUNT, request.waiting_count)
        waiting = [(UNKNOWN_RANK, 1, UNKNOWN_ACCOUNT)] * count
    known: dict[tuple[int, int], list[_Queued]] = {}
    others = []
    for item in queue.queued:
        if item.holder == entry_run:
            known.setdefault((item.rank, item.account), []).append(item)
        else:
            others.append(item)
    own, new = [], []
    for rank, weight, account in waiting:
        if known.get((rank, account)):
            own.append(known[rank, account].pop(0))
        else:
            new.append((rank, weight, account))
    given = [
        pair
        for pair in queue.given.pop(entry_run, [])
        if now_ms - pair[0] <= GIVEN_KEPT_MS
    ]
    # Those that were listed before have used a permit, given for another request of the
    # entry that is listed again, or have left.
    unlisted = [item for items in known.values() for item in items]
    unlisted.sort(key=lambda item: item.order(now_ms))
    used_count = 0
    first_listed = []
    for rank, weight, account in new:
        key = (rank, account)
        found = next((p for p in given if (p[1].rank, p[1].account) == key), None)
        if used_count < len(unlisted) and found is not None:
            used_count += 1
            given.remove(found)
            own.append(found[1])
        else:
            first_listed.append((rank, weight, account))
    used, left = unlisted[:used_count], unlisted[used_count:]
    _forget_tags(queue, left, others + own + used)
    for rank, weight, account in first_listed:
        key = (rank, account)
        start_tag = max(queue.served_tag, queue.last_tags.get(key, 0.0))
        finish_tag = queue.last_tags[key] = start_tag + 1 / weight
        own.append(_Queued(entry_run, rank, account, now_ms, finish_tag))
    if given:
        queue.given[entry_run] = given
    queue.queued = sorted(others + own, key=lambda item: item.order(now_ms))
    if len(queue.last_tags) > WAITING_LIMIT_COUNT:
        queue.last_tags = {
            key: tag for key, tag in queue.last_tags.items() if tag > queue.served_tag
        }


def _forget_tags(queue: _Queue, left: list[_Queued], remaining: list[_Queued]) -> None:
    """Forgets the tags of requests that have left without a permit.

    Otherwise the account's next requests would wait as if these had been served.
    """
    for key in {(item.rank, item.account) for item in left}:
        tags = [
            item.finish_tag for item in remaining if (item.rank, item.account) == key
        ]
        if tags:
            queue.last_tags[key] = max(tags)
        else:
            queue.last_tags.pop(key, None)


def _next_waits_ms(
    queued: list[_Queued], first_ms: float, spacing_ms: float, now_ms: int
) -> tuple[int, ...]:
    """Returns `Permits.next_waits_ms` for the requests that wait."""
    counts = collections.Counter(item.order(now_ms)[0] for item in queued)
    pairs: list[int] = []
    before_count = 0
    for rank in sorted(counts):
        if rank > ranks.MOST_URGENT_RANK:
            wait_ms = int(first_ms + before_count * spacing_ms - now_ms)
            pairs += [rank - 1, wait_ms]
        before_count += counts[rank]
    return tuple(pairs)


def _remove_silent(queue: _Queue, now_ms: int) -> None:
    """Removes the requests of entries that have stopped asking, and what is outdated.

    Entries don't ask any more once all their requests have permits.
    """
    silent = {
        entry_run
        for entry_run, asked_ms in queue.asked_ms.items()
        if now_ms - asked_ms > QUEUED_TIMEOUT_MS
    }
    if silent:
        left = [item for item in queue.queued if item.holder in silent]
        queue.queued = [item for item in queue.queued if item.holder not in silent]
        _forget_tags(queue, left, queue.queued)
        for entry_run in silent:
            del queue.asked_ms[entry_run]
    outdated = [
        entry_run
        for entry_run, given in queue.given.items()
        if now_ms - given[-1][0] > GIVEN_KEPT_MS
    ]
    for entry_run in outdated:
        del queue.given[entry_run]


def _remove_unused_queues(schedule: PermitSchedule, now_ms: int) -> None:
    schedule.queues = {
        life_id: queue
        for life_id, queue in schedule.queues.items()
        if now_ms - queue.last_asked_ms <= UNUSED_QUEUE_TIMEOUT_MS
    }
