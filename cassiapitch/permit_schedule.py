"""Spaces out the requests of all entries to backend servers that stated a limit.

The control leader gives each request to a limited backend server its own time, one
interval of the limit after the time before. Entries wait in one queue for each
incarnation; the position in it tells how long a request has to wait.

A schedule exists for one term and is kept in memory only. It begins when all permits
of earlier leaders have expired.
"""

import dataclasses

from cassiapitch.limit_messages import (
    HORIZON_MS,
    PERMIT_LIFE_MS,
    PermitAnswer,
    PermitAsk,
    PermitRequest,
    Permits,
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
WAITING_LIMIT_COUNT = 64

EntryRun = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Queue:
    """Requests that wait for permits of one incarnation.

    Attributes:
        next_free_ms: Earliest time of the next permit.
        queued: The entry of each waiting request, in order.
        asked_ms: When each entry with a waiting request last asked.
        last_asked_ms: When any entry last asked.
    """

    next_free_ms: float
    queued: list[EntryRun] = dataclasses.field(default_factory=list)
    asked_ms: dict[EntryRun, int] = dataclasses.field(default_factory=dict)
    last_asked_ms: int = 0


@dataclasses.dataclass(slots=True)
class PermitSchedule:
    """Queues of all limited incarnations, for one term.

    Attributes:
        term: The term in which its member leads.
        start_ms: Time from which it gives permits.
    """

    term: int
    start_ms: int
    queues: dict[LifeId, _Queue] = dataclasses.field(default_factory=dict)


def start(term: int, now_ms: int) -> PermitSchedule:
    """Returns the schedule of a member that has just begun to lead.

    An earlier leader may have given permits up to this moment, for times up to
    `HORIZON_MS` later.
    """
    return PermitSchedule(term, now_ms + HORIZON_MS + PERMIT_LIFE_MS)


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
        permits.append(
            _serve_request(queue, entry_run, request, interval_ms(limit), now_ms)
        )
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
    _set_queued_count(queue, entry_run, min(WAITING_LIMIT_COUNT, request.waiting_count))
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
    for number, holder in enumerate(queue.queued):
        delay_ms = int(first_ms + number * spacing_ms - now_ms)
        if holder == entry_run and delay_ms <= HORIZON_MS:
            delays_ms.append(delay_ms)
            continue
        still_queued.append(holder)
        if holder == entry_run:
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
    )


def _set_queued_count(queue: _Queue, entry_run: EntryRun, count: int) -> None:
    """Adds requests at the end of the queue, or removes an entry's last ones."""
    held_count = queue.queued.count(entry_run)
    queue.queued += [entry_run] * max(0, count - held_count)
    for _ in range(held_count - count):
        last_index = len(queue.queued) - 1 - queue.queued[::-1].index(entry_run)
        del queue.queued[last_index]


def _remove_silent(queue: _Queue, now_ms: int) -> None:
    """Removes the requests of entries that have stopped asking."""
    silent = {
        entry_run
        for entry_run, asked_ms in queue.asked_ms.items()
        if now_ms - asked_ms > QUEUED_TIMEOUT_MS
    }
    if silent:
        queue.queued = [holder for holder in queue.queued if holder not in silent]
        for entry_run in silent:
            del queue.asked_ms[entry_run]


def _remove_unused_queues(schedule: PermitSchedule, now_ms: int) -> None:
    schedule.queues = {
        life_id: queue
        for life_id, queue in schedule.queues.items()
        if now_ms - queue.last_asked_ms <= UNUSED_QUEUE_TIMEOUT_MS
    }
