"""Spaces out the requests of all entries to backend servers that stated a limit.

The control leader gives each request to a limited backend server its own time, one
interval of the limit after the time before. Entries wait in one line for each
incarnation; a place in it tells how long a request has to wait.

A schedule exists for one term and is kept in memory only. It begins when all permits
of earlier leaders have expired.
"""

import dataclasses

from cassiapitch.limit_messages import (
    HORIZON_MS,
    PERMIT_LIFE_MS,
    PermitAnswer,
    PermitAsk,
    Permits,
    PermitWish,
)
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendLimit

# Longest interval between requests. A backend server that states a limit of 0 gets a
# request now and then, since only a response tells that the limit has ended.
LONGEST_INTERVAL_MS = 10_000
# An entry that hasn't asked for this long loses its places in a line.
PLACE_TIMEOUT_MS = 700
# A line that no entry has asked for in this time is removed.
LINE_TIMEOUT_MS = 60_000
WAITING_LIMIT_COUNT = 64

EntryRun = tuple[str, str]


@dataclasses.dataclass(slots=True)
class _Line:
    """Requests that wait for permits of one incarnation.

    Attributes:
        next_free_ms: Earliest time of the next permit.
        places: The waiting entry of each place, in order.
        asked_ms: When each entry with a place last asked.
        last_asked_ms: When any entry last asked.
    """

    next_free_ms: float
    places: list[EntryRun] = dataclasses.field(default_factory=list)
    asked_ms: dict[EntryRun, int] = dataclasses.field(default_factory=dict)
    last_asked_ms: int = 0


@dataclasses.dataclass(slots=True)
class PermitSchedule:
    """Lines of all limited incarnations, for one term.

    Attributes:
        term: The term in which its member leads.
        start_ms: Time from which it gives permits.
    """

    term: int
    start_ms: int
    lines: dict[LifeId, _Line] = dataclasses.field(default_factory=dict)


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
    _remove_unused_lines(schedule, now_ms)
    entry_run = (ask.entry, ask.life_id)
    permits = []
    for wish in ask.wishes:
        limit = limits[wish.life_id]
        if limit is None:
            # The entry's view is about to show that nothing is limited any more.
            continue
        line = schedule.lines.get(wish.life_id)
        if line is None:
            first_ms = max(schedule.start_ms, now_ms)
            line = schedule.lines[wish.life_id] = _Line(first_ms)
        line.last_asked_ms = now_ms
        permits.append(_serve_wish(line, entry_run, wish, interval_ms(limit), now_ms))
    return PermitAnswer(ask.sequence, tuple(permits))


def _serve_wish(
    line: _Line,
    entry_run: EntryRun,
    wish: PermitWish,
    spacing_ms: float,
    now_ms: int,
) -> Permits:
    """Updates an entry's places, and gives it permits for those that are due."""
    line.asked_ms[entry_run] = now_ms
    _remove_silent(line, now_ms)
    _set_places_count(line, entry_run, min(WAITING_LIMIT_COUNT, wish.waiting_count))
    delays_ms: list[int] = []
    waits_ms: list[int] = []
    # An exploring request uses a time that has passed unused, so that the next request
    # which needs a permit doesn't wait for it.
    if (
        wish.is_exploring
        and not line.places
        and line.next_free_ms + spacing_ms <= now_ms
    ):
        line.next_free_ms = now_ms
        delays_ms.append(0)
    first_ms = max(line.next_free_ms, now_ms)
    remaining_places = []
    for number, holder in enumerate(line.places):
        delay_ms = int(first_ms + number * spacing_ms - now_ms)
        if holder == entry_run and delay_ms <= HORIZON_MS:
            delays_ms.append(delay_ms)
            continue
        remaining_places.append(holder)
        if holder == entry_run:
            waits_ms.append(delay_ms)
    places, line.places = line.places, remaining_places
    given_count = len(places) - len(remaining_places)
    if given_count:
        line.next_free_ms = first_ms + given_count * spacing_ms
    if not waits_ms:
        line.asked_ms.pop(entry_run, None)
    next_wait_ms = first_ms + len(places) * spacing_ms - now_ms
    return Permits(
        wish.life_id,
        tuple(delays_ms),
        tuple(waits_ms),
        int(next_wait_ms),
        int(spacing_ms),
    )


def _set_places_count(line: _Line, entry_run: EntryRun, count: int) -> None:
    """Adds places at the end of the line, or removes an entry's last ones."""
    held_count = line.places.count(entry_run)
    line.places += [entry_run] * max(0, count - held_count)
    for _ in range(held_count - count):
        last_index = len(line.places) - 1 - line.places[::-1].index(entry_run)
        del line.places[last_index]


def _remove_silent(line: _Line, now_ms: int) -> None:
    """Removes the places of entries that have stopped asking."""
    silent = {
        entry_run
        for entry_run, asked_ms in line.asked_ms.items()
        if now_ms - asked_ms > PLACE_TIMEOUT_MS
    }
    if silent:
        line.places = [holder for holder in line.places if holder not in silent]
        for entry_run in silent:
            del line.asked_ms[entry_run]


def _remove_unused_lines(schedule: PermitSchedule, now_ms: int) -> None:
    schedule.lines = {
        life_id: line
        for life_id, line in schedule.lines.items()
        if now_ms - line.last_asked_ms <= LINE_TIMEOUT_MS
    }
