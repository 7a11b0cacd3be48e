"""Backend servers that fall over when they have to turn too many requests away.

A brittle backend server says in its responses how many rejections in a second it bears.
Entries then send it only what fits: each takes its part of the room that is free, by
the last load report, and all of them hold back after a rejection. A backend server that
is new is taken to be like the others of its role until its first response.
"""

import collections
import dataclasses
import random
from collections.abc import Iterable

import msgspec

from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# How long a backend server counts as brittle after the last response that said so. The
# first response that doesn't say so ends it; the time only matters without responses.
# With 3 s, an entry that stood still for that long sent a server all that waited.
BRITTLE_MS = 10_000
# A backend server that is new in the role of a brittle one counts as brittle this long
# after the other did, and for this long at most.
ASSUMED_MS = 10_000
# An entry repeats to the leader what it hears of a backend server after this time.
REPORT_PERIOD_MS = 1_000
# How long entries send nothing after a rejection, and by which share of it they return
# one after the other.
HOLD_MS = 700
HOLD_SPREAD_SHARE = 0.5
# Part of the bearable rejections that entries together use up before they hold back.
REJECTIONS_SHARE = 0.5
WINDOW_MS = 1_000
# How long an entry keeps to its part of the room: until its requests are in the load
# reports of all entries.
QUOTA_MS = 600
# Share of its places that an entry keeps then; the others get a part of the rest, so
# that none is shut out.
KEPT_SHARE = 0.9
# Share of the free room that all entries together take meanwhile: as much may be on its
# way already.
GROWTH_SHARE = 0.5
# Share of its places that a backend server is thought to have after a rejection, and
# the share that is tried again each second. Load reports are too old to say how many
# requests it had when it rejected one.
ROOM_KEPT_SHARE = 0.85
ROOM_REGAINED_PER_S = 0.1
# How long a request that got no answer, since its caller's deadline passed, is thought
# to occupy the backend server while no answer of its role was seen.
UNKNOWN_ANSWER_MS = 600
# Weight with which the longest time of an answer approaches shorter ones, and the
# shortest longer ones.
ANSWER_WEIGHT = 0.1
# Assumed before the leader has told how many entries there are.
DEFAULT_ENTRIES_COUNT = 16


class BrittleReport(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a brittle incarnation, from an entry or from the leader.

    Attributes:
        life_id: The incarnation.
        rejections_per_s: Rejections that it bears in a second, of all entries.
        hold_ms: How much longer entries are to send it nothing.
        room_count: Requests that fit, as its last rejection showed; None if none did.
    """

    life_id: LifeId
    rejections_per_s: float
    hold_ms: int
    room_count: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """An entry's and the others' requests at a backend server.

    Attributes:
        own_count: This entry's requests in flight now, without those given up.
        others_at_report_count: Those of other entries at the last load report.
        places_count: Requests that the backend server runs at once.
    """

    own_count: int
    others_at_report_count: int
    places_count: int


@dataclasses.dataclass(slots=True)
class _Brittle:
    """State of one brittle incarnation at an entry.

    Attributes:
        rejections_per_s: Rejections that it bears in a second.
        until_ms: Until when it counts as brittle.
        hold_until_ms: Until when this entry sends nothing.
        own_hold_until_ms: The same for a rejection of its own; only that is reported,
            or entries would prolong each other's holds.
        reported_ms: When this entry last told the leader.
        quota_count: Requests that this entry may have in flight.
        quota_until_ms: Until when that holds.
        used_count: How many of them it had in flight at once.
        room_count: Requests that fit, as the last rejection showed.
        room_ms: Time of that rejection.
        rejected_ms: Times of recent rejections of this entry.
        given_up_until_ms: Until when requests are thought to be worked on to which
            this entry gave up waiting for an answer.
    """

    rejections_per_s: float
    until_ms: int
    hold_until_ms: int = 0
    own_hold_until_ms: int = 0
    reported_ms: int | None = None
    quota_count: int = 0
    quota_until_ms: int = 0
    used_count: int = 0
    room_count: int | None = None
    room_ms: int = 0
    rejected_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    given_up_until_ms: list[int] = dataclasses.field(default_factory=list)


class BrittleBackends:
    """Brittle incarnations, as one entry knows them."""

    def __init__(self, rng: random.Random) -> None:
        """Creates an empty state.

        Args:
            rng: Rounds parts of the room, so that entries don't all round alike.
        """
        self._rng = rng
        self._brittle: dict[LifeId, _Brittle] = {}
        self._entries_count = DEFAULT_ENTRIES_COUNT
        # Roles of the incarnations in the view.
        self._roles: dict[LifeId, str] = {}
        # Rejections that backend servers of a role bear, and until when a new one is
        # taken to be like them.
        self._statements_by_role: dict[str, tuple[float, int]] = {}
        self._due_reports: set[LifeId] = set()
        # Shortest and longest time to an answer lately, by role: they are needed most
        # when backend servers are new.
        self._answers_ms_by_role: dict[str, tuple[float, float]] = {}

    def set_entries_count(self, entries_count: int) -> None:
        """Sets the number of entries; 0 means that the leader doesn't know."""
        if entries_count:
            self._entries_count = entries_count

    def record_statement(
        self, life_id: LifeId, rejections_per_s: float | None, now_ms: int
    ) -> None:
        """Records what a response says; None if it says nothing."""
        if rejections_per_s is None:
            if self._brittle.pop(life_id, None) is not None:
                self._statements_by_role.pop(self._roles.get(life_id, ""), None)
            return
        state = self._add(life_id, rejections_per_s, now_ms + BRITTLE_MS)
        if state.reported_ms is None or now_ms - state.reported_ms >= REPORT_PERIOD_MS:
            state.reported_ms = now_ms
            self._due_reports.add(life_id)

    def record_answer(self, life_id: LifeId, answer_ms: int) -> None:
        """Records the time from sending a request until its answer began."""
        role = self._roles.get(life_id)
        if role is None or life_id not in self._brittle:
            return
        shortest_ms, longest_ms = self._answers_ms_by_role.get(
            role, (answer_ms, answer_ms)
        )
        self._answers_ms_by_role[role] = (
            min(answer_ms, shortest_ms + ANSWER_WEIGHT * (answer_ms - shortest_ms)),
            max(answer_ms, longest_ms + ANSWER_WEIGHT * (answer_ms - longest_ms)),
        )

    def is_too_late(
        self, life_id: LifeId, requested_ms: int, deadline_ms: int, now_ms: int
    ) -> bool:
        """Returns whether a request has waited too long to be answered in time.

        It would take room from others for nothing. One whose deadline was that short
        from the beginning may be of a kind that is answered sooner.
        """
        if not self.is_brittle(life_id, now_ms):
            return False
        role = self._roles.get(life_id, "")
        shortest_ms, _ = self._answers_ms_by_role.get(role, (0.0, 0.0))
        return deadline_ms - now_ms < shortest_ms <= deadline_ms - requested_ms

    def record_given_up(self, life_id: LifeId, sent_ms: int, now_ms: int) -> None:
        """Records that the answer to a request is not waited for any more.

        The backend server may work on it all the same, and doesn't tell for how long.
        """
        state = self._brittle.get(life_id)
        if state is None:
            return
        role = self._roles.get(life_id, "")
        _, answer_ms = self._answers_ms_by_role.get(role, (0.0, UNKNOWN_ANSWER_MS))
        if sent_ms + answer_ms > now_ms:
            state.given_up_until_ms.append(int(sent_ms + answer_ms))

    def given_up_count(self, life_id: LifeId, now_ms: int) -> int:
        """Returns how many requests given up are probably still worked on."""
        state = self._brittle.get(life_id)
        if state is None or not state.given_up_until_ms:
            return 0
        state.given_up_until_ms = [
            until_ms for until_ms in state.given_up_until_ms if until_ms > now_ms
        ]
        return len(state.given_up_until_ms)

    def record_rejection(self, life_id: LifeId, load: Load, now_ms: int) -> bool:
        """Records that a request was turned away.

        Returns:
            Whether all entries are to hold back, so the leader should hear at once.
        """
        state = self._brittle.get(life_id)
        if state is None:
            return False
        room = self._room(state, load.places_count, now_ms)
        state.room_count = max(1, int(ROOM_KEPT_SHARE * room))
        state.room_ms = now_ms
        state.rejected_ms.append(now_ms)
        while state.rejected_ms[0] <= now_ms - WINDOW_MS:
            state.rejected_ms.popleft()
        bearable = REJECTIONS_SHARE * state.rejections_per_s / self._entries_count
        if len(state.rejected_ms) <= bearable:
            return False
        self._hold(state, HOLD_MS, now_ms)
        state.own_hold_until_ms = state.hold_until_ms
        self._due_reports.add(life_id)
        return True

    def reports(self, now_ms: int) -> tuple[BrittleReport, ...]:
        """Returns what the leader has not heard yet."""
        due = [
            (life_id, self._brittle[life_id])
            for life_id in sorted(self._due_reports)
            if life_id in self._brittle
        ]
        self._due_reports.clear()
        return tuple(
            BrittleReport(
                life_id,
                state.rejections_per_s,
                max(0, state.own_hold_until_ms - now_ms),
                state.room_count if state.own_hold_until_ms > now_ms else None,
            )
            for life_id, state in due
        )

    def apply_reports(self, reports: Iterable[BrittleReport], now_ms: int) -> None:
        """Applies what the leader tells."""
        for report in reports:
            state = self._add(
                report.life_id, report.rejections_per_s, now_ms + BRITTLE_MS
            )
            if report.hold_ms and state.hold_until_ms <= now_ms:
                self._hold(state, report.hold_ms, now_ms)
                if report.room_count is not None:
                    state.room_count, state.room_ms = report.room_count, now_ms

    def is_brittle(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether an incarnation counts as brittle."""
        state = self._brittle.get(life_id)
        if state is None:
            return False
        if now_ms >= state.until_ms:
            del self._brittle[life_id]
            return False
        return True

    def may_send(self, life_id: LifeId, load: Load, now_ms: int) -> bool:
        """Returns whether this entry may send a brittle incarnation one more request.

        No entry knows what the others send meanwhile, so each keeps to its part of the
        free room until a load report shows what came of it.
        """
        state = self._brittle[life_id]
        if now_ms < state.hold_until_ms:
            return False
        own_count = load.own_count + self.given_up_count(life_id, now_ms)
        if now_ms >= state.quota_until_ms:
            state.quota_count = self._quota(state, own_count, load, now_ms)
            state.quota_until_ms = now_ms + QUOTA_MS
            state.used_count = own_count
        if own_count >= state.quota_count:
            return False
        state.used_count = max(state.used_count, own_count + 1)
        return True

    def _quota(self, state: _Brittle, own_count: int, load: Load, now_ms: int) -> int:
        room = self._room(state, load.places_count, now_ms)
        kept = KEPT_SHARE * max(own_count, state.used_count)
        free = max(0.0, room - load.others_at_report_count - kept)
        part = GROWTH_SHARE * free / self._entries_count
        quota = kept + part + self._rng.random()
        return int(min(room, quota))

    def set_backends(self, backends: Iterable[BackendItem], now_ms: int) -> None:
        """Sets the incarnations of the view, and removes all others.

        One that is back after a fall would otherwise get all that waited for it.
        """
        roles = {backend.life_id: backend.role for backend in backends}
        self._brittle = {
            life_id: state
            for life_id, state in self._brittle.items()
            if life_id in roles
        }
        for life_id, role in roles.items():
            if life_id in self._roles or life_id in self._brittle:
                continue
            rejections_per_s, until_ms = self._statements_by_role.get(role, (0.0, 0))
            if now_ms < until_ms:
                self._brittle[life_id] = _Brittle(rejections_per_s, now_ms + ASSUMED_MS)
        self._roles = roles

    def _add(self, life_id: LifeId, rejections_per_s: float, until_ms: int) -> _Brittle:
        state = self._brittle.get(life_id)
        if state is None:
            state = self._brittle[life_id] = _Brittle(rejections_per_s, until_ms)
        state.rejections_per_s = rejections_per_s
        state.until_ms = max(state.until_ms, until_ms)
        if (role := self._roles.get(life_id)) is not None:
            self._statements_by_role[role] = (rejections_per_s, until_ms + ASSUMED_MS)
        return state

    def _hold(self, state: _Brittle, hold_ms: int, now_ms: int) -> None:
        spread = 1 + HOLD_SPREAD_SHARE * self._rng.random()
        state.hold_until_ms = max(state.hold_until_ms, now_ms + int(hold_ms * spread))
        state.quota_until_ms = state.used_count = 0

    def _room(self, state: _Brittle, places_count: int, now_ms: int) -> int:
        if state.room_count is None:
            return places_count
        since_s = (now_ms - state.room_ms) / 1000
        regained = int(ROOM_REGAINED_PER_S * places_count * since_s)
        return min(places_count, state.room_count + regained)


@dataclasses.dataclass(slots=True)
class _Known:
    """What the leader knows of one incarnation; fields as in `BrittleReport`."""

    rejections_per_s: float = 0.0
    until_ms: int = 0
    hold_until_ms: int = 0
    room_count: int | None = None


class BrittleReports:
    """Brittle incarnations, as the leader passes them on to all entries."""

    def __init__(self) -> None:
        self._known: dict[LifeId, _Known] = {}

    def add(self, reports: Iterable[BrittleReport], now_ms: int) -> bool:
        """Adds an entry's reports.

        Returns:
            Whether entries are to hold back that need not before.
        """
        has_new_hold = False
        for report in reports:
            known = self._known.setdefault(report.life_id, _Known())
            if report.hold_ms and known.hold_until_ms <= now_ms:
                has_new_hold = True
            known.rejections_per_s = report.rejections_per_s
            known.until_ms = now_ms + BRITTLE_MS
            known.hold_until_ms = max(known.hold_until_ms, now_ms + report.hold_ms)
            if report.room_count is not None:
                known.room_count = report.room_count
        return has_new_hold

    def current(self, now_ms: int) -> tuple[BrittleReport, ...]:
        """Returns what still holds, and forgets the rest."""
        self._known = {
            life_id: known
            for life_id, known in self._known.items()
            if known.until_ms > now_ms
        }
        return tuple(
            BrittleReport(
                life_id,
                known.rejections_per_s,
                max(0, known.hold_until_ms - now_ms),
                known.room_count,
            )
            for life_id, known in self._known.items()
        )
