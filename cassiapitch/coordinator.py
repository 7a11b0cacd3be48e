"""Decisions of the leader's controller during one term: no socket, no clock.

The coordinator turns announcements, demand, silences and responses into commands for
the log, and says which recorded attempts are to be sent now.
"""

import dataclasses

from cassiapitch import backends, placement, placement_state
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.backends import Life
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BackendMark,
    MarkBackends,
    OrderAnswer,
    OrderAttempt,
    RecordAnswers,
    RecordAttempts,
    RecordOrders,
    ReportBackends,
)
from cassiapitch.loadtable import LoadTable
from cassiapitch.messages import (
    DemandReport,
    InFlight,
    LoadReport,
    LoadReports,
)
from cassiapitch.modeldemand import Demand, note_report
from cassiapitch.orders import Order, is_adapter_key
from cassiapitch.placement_state import VIEW_DELAY_MS, PlacementState

PLACEMENT_ROUND_MS = 1_000

# A round comes earlier when something new is waited for: an adapter loads in a few
# milliseconds, so that the wait for the round would be most of its delay.
URGENT_ROUND_MS = 250
URGENT_ADAPTER_ROUND_MS = 40

# More than the fleet can record while one member leads.
ORDERS_PER_TERM = 10**9

# Entries report twice a second; one that has stopped counts no longer.
IN_FLIGHT_VALID_MS = 1_500

# Announcements in one command, so that a command stays under a mebibyte.
ANNOUNCEMENTS_PER_COMMAND = 256

# Reports of refused connections count together within this time.
REFUSED_WINDOW_MS = 3_000
REFUSED_ENTRIES_COUNT = 2

# After refused connections an announcement counts as a sign of life only when it
# comes later than those that may have been under way.
REFUSED_IGNORE_MS = 1_000

# An attempt without a response is repeated after this time, then ever later. For
# engines without fencing each attempt that stays unanswered reserves memory until
# the life ends, so they get more time. One with fencing rejects an attempt that arrives
# late, by its fence and by the orders that it has accepted since.
RESEND_MS = 400
RESEND_LONGEST_MS = 2_000
RESEND_UNFENCED_MS = 4_000
RESEND_UNFENCED_LONGEST_MS = 8_000

# An engine that carries out another order is asked again sooner; most end in a second.
BUSY_RESEND_MS = 200
BUSY_DOUBLINGS_COUNT = 3

# A new term has heard of every entry that reports regularly after this time.
ENTRIES_REPORTED_MS = 2_000

# An accepted order that isn't settled is repeated, since engines may lose it.
RESEND_ACCEPTED_MS = 15_000

Command = ReportBackends | MarkBackends | RecordAnswers | RecordAttempts | RecordOrders


@dataclasses.dataclass(frozen=True, slots=True)
class SendOrder:
    """An attempt to be sent now.

    Attributes:
        order: The order.
        attempt: Its number.
        ip: Where the engine is.
        port: Where the engine is.
        fence: Fencing number of this attempt as one number; it rises with each term
            and within it.
    """

    order: Order
    attempt: int
    ip: str
    port: int
    fence: int = 0


@dataclasses.dataclass(slots=True)
class _OrderProgress:
    """What this term knows of an open order."""

    first_seen_ms: int
    sent_attempt: int = 0
    sent_ms: int = 0
    responded: bool = True
    is_busy: bool = False


class Coordinator:
    """State of one controller term, in memory."""

    def __init__(
        self,
        fleet: Fleet,
        policy: str,
        term: int,
        now_ms: int,
        *,
        demand: Demand | None = None,
        held_until_ms: dict[str, int] | None = None,
    ) -> None:
        """Begins a term that is already in force in the fleet.

        Args:
            fleet: The replicated state, read only.
            policy: Placement policy.
            term: The term.
            now_ms: The current time.
            demand: Demand that this member has seen before.
            held_until_ms: Times, by life, until which an earlier leader's orders may
                still count as current; this term sends none before.
        """
        self.term = term
        self.placement = PlacementState(fleet, policy, now_ms)
        self.placement.held_until_ms = held_until_ms or {}
        if demand is not None:
            self.placement.demand.follow(demand)
        self._fleet = fleet
        self._term_start_ms = now_ms
        self._last_heard_ms: dict[str, int] = {}
        self._last_sequences: dict[str, int] = {}
        self._proposed_announcements: dict[str, Announcement] = {}
        self._pending_announcements: dict[str, Announcement] = {}
        self._refusals_ms: dict[str, dict[str, int]] = {}
        # Lives that said in an answer that they leave, whatever heartbeats say.
        self._leaving_since_ms: dict[str, int] = {}
        self._ignored_until_ms: dict[str, int] = {}
        self._pending_answers: list[OrderAnswer] = []
        self._progress: dict[str, _OrderProgress] = {}
        self._load_table = LoadTable()
        self._in_flight: dict[str, tuple[dict[str, InFlight], int]] = {}
        self._last_reported_counts: dict[str, int] = {}
        self._next_round_ms = now_ms
        self._last_round_ms = now_ms

    def on_announcement(self, announcement: Announcement, now_ms: int) -> None:
        """Takes an announcement that a member passed on."""
        life_id = announcement.life_id
        if self._fleet.is_ended(life_id):
            return
        if life_id in self._leaving_since_ms:
            announcement = dataclasses.replace(announcement, leaving=True)
        last_sequence = self._last_sequences.get(life_id, 0)
        if announcement.sequence and announcement.sequence <= last_sequence:
            return
        if self._is_from_earlier_life(announcement, now_ms):
            return
        self._last_sequences[life_id] = announcement.sequence
        if now_ms < self._ignored_until_ms.get(life_id, 0):
            return
        self._last_heard_ms[life_id] = now_ms
        counts = (announcement.running_count, announcement.waiting_count)
        if self._reports_load(announcement.role):
            self.placement.requests[life_id] = counts
            prefixes = announcement.cached_prefixes
            self._load_table.put(
                LoadReport(announcement.name, life_id, *counts, prefixes)
            )
        without_load = dataclasses.replace(
            announcement, running_count=0, waiting_count=0, cached_prefixes=()
        )
        if self._changes_state(without_load):
            self._pending_announcements[announcement.name] = without_load

    def has_pending_announcements(self) -> bool:
        """Tells whether announcements wait that change the replicated state."""
        return bool(self._pending_announcements)

    def on_proposal_failed(self) -> None:
        """Forgets what was proposed, so that later announcements bring it again."""
        self._proposed_announcements = {}

    def on_demand(self, report: DemandReport, now_ms: int) -> None:
        """Takes an entry's demand and the connections that it was refused."""
        new_keys = note_report(
            self.placement.demand, report, self._fleet.catalog, now_ms
        )
        unserved_keys = [key for key in new_keys if key not in self.placement.served]
        if unserved_keys:
            has_adapter = any(is_adapter_key(key) for key in unserved_keys)
            delay_ms = URGENT_ADAPTER_ROUND_MS if has_adapter else URGENT_ROUND_MS
            early_round_ms = self._last_round_ms + delay_ms
            self._next_round_ms = min(self._next_round_ms, early_round_ms)
        in_flight_by_life = {item.life_id: item for item in report.in_flight}
        self._in_flight[report.entry] = (in_flight_by_life, now_ms)
        for life_id in report.leaving_backends:
            self._leaving_since_ms.setdefault(life_id, now_ms)
        for life_id in report.refused_backends:
            self._refusals_ms.setdefault(life_id, {})[report.entry] = now_ms

    def _reports_load(self, role: str) -> bool:
        item = self._fleet.catalog.roles.get(role)
        return item is None or item.reports_load

    def _sum_entry_loads(self, now_ms: int) -> None:
        """Adds up the entries' counts where announcements state no load."""
        recent = [
            counts
            for counts, at_ms in self._in_flight.values()
            if now_ms - at_ms <= IN_FLIGHT_VALID_MS
        ]
        for life in self._fleet.lives.values():
            if self._reports_load(life.role):
                continue
            found = [one for counts in recent if (one := counts.get(life.life_id))]
            count = sum(one.count for one in found)
            tokens = sum(one.pending_tokens for one in found)
            self.placement.requests[life.life_id] = (count, 0)
            self.placement.note_backlog(life.life_id, tokens)
            report = LoadReport(life.name, life.life_id, count, 0, (), tokens)
            if count or self._last_reported_counts.get(life.life_id):
                self._load_table.put(report)
            self._last_reported_counts[life.life_id] = count

    def on_response(self, order: Order, attempt: int, answer: str | None) -> None:
        """Takes the end of an attempt; `answer` is None without a response."""
        progress = self._progress.get(order.order_id)
        if progress is not None and progress.sent_attempt == attempt:
            progress.responded = True
            progress.is_busy = answer == "busy"
        if answer is not None:
            self._pending_answers.append(
                OrderAnswer(order.backend, order.order_id, attempt, answer)
            )

    def load_reports(self, now_ms: int) -> LoadReports:
        """Returns load reports that were not given yet, within a size limit."""
        self._sum_entry_loads(now_ms)
        reports, counts = self._load_table.take()
        expected_ms = placement_state.expected_ms(self.placement, now_ms)
        are_entries_known = now_ms - self._term_start_ms >= ENTRIES_REPORTED_MS
        entries_count = len(self._in_flight) if are_entries_known else 0
        return LoadReports(reports, expected_ms, counts, entries_count)

    def commands(self, now_ms: int) -> list[Command]:
        """Returns what to propose now; the caller proposes it in this order."""
        commands: list[Command] = []
        if self._pending_answers:
            commands.append(RecordAnswers(tuple(self._pending_answers)))
            self._pending_answers = []
        commands.extend(self._report_commands())
        if marks := self._due_marks(now_ms):
            commands.append(MarkBackends(self.term, tuple(marks)))
        if attempts := self._next_attempts(now_ms):
            commands.append(RecordAttempts(self.term, tuple(attempts)))
        return commands

    def round(self, now_ms: int) -> RecordOrders | None:
        """Returns the orders of the placement round, if one is due.

        Call it after the other commands are applied, so that the round sees them.
        """
        if now_ms < self._next_round_ms:
            return None
        self._last_round_ms = now_ms
        self._next_round_ms = now_ms + PLACEMENT_ROUND_MS
        self._forget_ended()
        orders = placement.decide(self.placement, now_ms)
        return RecordOrders(self.term, tuple(orders)) if orders else None

    def next_round_delay_ms(self, now_ms: int) -> int:
        """Returns the time until the next placement round."""
        return max(0, self._next_round_ms - now_ms)

    def sends(self, now_ms: int) -> list[SendOrder]:
        """Returns the attempts that are recorded and not yet sent.

        A fencing engine gets its next order only after it has answered the one
        before, since it rejects an order that arrives after a higher fence.
        """
        self._forget_settled()
        found: list[SendOrder] = []
        blocked = {
            life_id
            for life_id, until_ms in self.placement.held_until_ms.items()
            if until_ms > now_ms
        }
        for order in self._fleet.open_orders.values():
            life = self._fleet.lives[order.backend]
            progress = self._progress.setdefault(order.order_id, _OrderProgress(now_ms))
            is_blocked = order.life_id in blocked
            if life.fencing and not order.accepted:
                blocked.add(order.life_id)
            if is_blocked or not self._is_due(order, life, progress, now_ms):
                continue
            progress.sent_attempt = order.attempt_count
            progress.sent_ms = now_ms
            progress.responded = False
            fence = self.term * ORDERS_PER_TERM + order.fence_number
            found.append(
                SendOrder(order, order.attempt_count, life.ip, life.port, fence)
            )
        return found

    def _is_due(
        self, order: Order, life: Life, progress: _OrderProgress, now_ms: int
    ) -> bool:
        if order.attempt_term != self.term:
            return False
        if progress.sent_attempt >= order.attempt_count:
            return False
        if life.state in (backends.DOWN, backends.SUSPECTED):
            return False
        # The recorded unload left the view at once; entries may be a moment behind.
        role = self._fleet.catalog.roles.get(life.role)
        delay_ms = VIEW_DELAY_MS if role is None else role.unload_delay_ms
        return order.is_load() or now_ms - progress.first_seen_ms >= delay_ms

    def _forget_ended(self) -> None:
        tables = (
            self._last_heard_ms,
            self._last_sequences,
            self._proposed_announcements,
            self._refusals_ms,
            self._leaving_since_ms,
            self._ignored_until_ms,
            self.placement.requests,
            self.placement.backlogs,
            self._load_table.full_turns,
            self._last_reported_counts,
        )
        for table in tables:
            for life_id in [key for key in table if self._fleet.is_ended(key)]:
                del table[life_id]

    def _forget_settled(self) -> None:
        for order_id in self._progress.keys() - self._fleet.open_orders.keys():
            del self._progress[order_id]

    def _is_from_earlier_life(self, announcement: Announcement, now_ms: int) -> bool:
        """Tells whether an announcement names another life than one just heard.

        A member passes an announcement on within a second or not at all. So while
        the known life is heard, one of another life is late and of an earlier run,
        and after two seconds of silence it must be of a later one.
        """
        life = self._fleet.lives.get(announcement.name)
        if life is None or life.life_id == announcement.life_id:
            return False
        if announcement.started_ms and life.started_ms:
            return announcement.started_ms < life.started_ms
        heard_ms = self._last_heard_ms.get(life.life_id, self._term_start_ms)
        return now_ms - heard_ms < backends.SUSPECT_AFTER_MS

    def _changes_state(self, announcement: Announcement) -> bool:
        """Tells whether an announcement would change the replicated state."""
        life = self._fleet.lives.get(announcement.name)
        if life is None or life.life_id != announcement.life_id:
            return True
        recorded = self._proposed_announcements.get(announcement.life_id)
        open_ids = life.ledger.orders
        if any(item.order_id in open_ids for item in announcement.settled):
            return True
        is_role_known = announcement.role in self._fleet.catalog.roles
        event = backends.announcement_event(
            life.state, leaving=announcement.leaving, is_role_known=is_role_known
        )
        return event is not None or _differs(announcement, recorded)

    def _report_commands(self) -> list[ReportBackends]:
        pending = []
        for announcement in self._pending_announcements.values():
            self._proposed_announcements[announcement.life_id] = announcement
            life = self._fleet.lives.get(announcement.name)
            open_ids = {} if life is None else life.ledger.orders
            settled = [
                item for item in announcement.settled if item.order_id in open_ids
            ]
            pending.append(dataclasses.replace(announcement, settled=tuple(settled)))
        self._pending_announcements = {}
        return [
            ReportBackends(
                self.term, tuple(pending[start : start + ANNOUNCEMENTS_PER_COMMAND])
            )
            for start in range(0, len(pending), ANNOUNCEMENTS_PER_COMMAND)
        ]

    def _due_marks(self, now_ms: int) -> list[BackendMark]:
        marks = []
        for life in self._fleet.lives.values():
            heard_ms = self._last_heard_ms.setdefault(life.life_id, self._term_start_ms)
            role = self._fleet.catalog.roles.get(life.role)
            limit_ms = 0 if role is None else role.silence_limit_ms
            event = backends.silence_event(
                life.state,
                now_ms - heard_ms,
                limit_ms or backends.SUSPECT_AFTER_MS,
            )
            if event is None and self._is_refusing_connections(life, now_ms):
                event = "refused"
                self._ignored_until_ms[life.life_id] = now_ms + REFUSED_IGNORE_MS
            if event is not None:
                marks.append(BackendMark(life.name, life.life_id, event))
        return marks

    def _is_refusing_connections(self, life: Life, now_ms: int) -> bool:
        entries = self._refusals_ms.get(life.life_id)
        if entries is None or not life.allows("refused"):
            return False
        recent = [
            time_ms
            for time_ms in entries.values()
            if now_ms - time_ms <= REFUSED_WINDOW_MS
        ]
        if len(recent) >= REFUSED_ENTRIES_COUNT:
            del self._refusals_ms[life.life_id]
            return True
        return False

    def _next_attempts(self, now_ms: int) -> list[OrderAttempt]:
        found = []
        for order in self._fleet.open_orders.values():
            progress = self._progress.get(order.order_id)
            life = self._fleet.lives[order.backend]
            if progress is None or life.state in (backends.DOWN, backends.SUSPECTED):
                continue
            if self._needs_attempt(order, life, progress, now_ms):
                attempt = order.attempt_count + 1
                found.append(OrderAttempt(order.order_id, attempt))
        return found

    def _needs_attempt(
        self, order: Order, life: Life, progress: _OrderProgress, now_ms: int
    ) -> bool:
        if progress.sent_attempt == 0:
            # An attempt of an earlier term may be sent by its controller only.
            return order.attempt_term != self.term
        if progress.sent_attempt < order.attempt_count or not progress.responded:
            return False
        if progress.is_busy:
            doublings = min(order.attempt_count - 1, BUSY_DOUBLINGS_COUNT)
            return now_ms - progress.sent_ms >= BUSY_RESEND_MS * 2**doublings
        if life.fencing:
            first_ms, longest_ms = RESEND_MS, RESEND_LONGEST_MS
        else:
            first_ms, longest_ms = RESEND_UNFENCED_MS, RESEND_UNFENCED_LONGEST_MS
        wait_ms = min(longest_ms, first_ms * 2 ** (order.attempt_count - 1))
        if order.accepted:
            load_ms = int(self.placement.load_ms)
            wait_ms = max(RESEND_ACCEPTED_MS, 3 * load_ms)
        return now_ms - progress.sent_ms >= wait_ms


def _differs(announcement: Announcement, recorded: Announcement | None) -> bool:
    """Tells whether anything but sequence and settled orders differs."""
    if recorded is None:
        return True
    same = dataclasses.replace(
        announcement, sequence=recorded.sequence, settled=recorded.settled
    )
    return same != recorded
