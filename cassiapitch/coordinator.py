"""Decision logic of the leader's controller for one term; does no I/O.

The coordinator turns announcements, demand reports, missed heartbeats and responses
of engines into commands for the replicated log, and selects the recorded attempts of
orders that are to be sent now. Callers pass the current time.
"""

import enum

from cassiapitch import (
    admission_codec,
    backends,
    metrics,
    placement,
    placement_state,
    prompt_pacing,
    refused_reports,
)
from cassiapitch.admission_gate import LEVELS_VALID_MS
from cassiapitch.admission_levels import AdmissionLevels, Changes, Server
from cassiapitch.announcement_intake import AnnouncementIntake
from cassiapitch.announcements import Announcement
from cassiapitch.backend_pauses import BackendPauses
from cassiapitch.backends import Incarnation
from cassiapitch.brittle_backends import BrittleReports
from cassiapitch.demand_tracker import DemandTracker, add_known_demand
from cassiapitch.entry_loads import EntryLoads
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BackendMark,
    MarkBackends,
    RecordAnswers,
    RecordAttempts,
    RecordOrders,
    ReportBackends,
)
from cassiapitch.load_messages import AnswerSample
from cassiapitch.load_report_queue import (
    FULL_BATCH_LIMIT_BYTES,
    LoadReportQueue,
    pack_tags,
)
from cassiapitch.messages import (
    DemandReport,
    LoadReport,
    LoadReports,
)
from cassiapitch.order_attempts import OrderAttempts, OutgoingAttempt
from cassiapitch.orders import Order, is_adapter_key, name_of
from cassiapitch.placement_state import PlacementState
from cassiapitch.prompt_pacing import PromptPacing
from cassiapitch.refused_reports import RefusedReports
from cassiapitch.role_speeds import RoleSpeeds, Speeds
from cassiapitch.service_times import KNOWN_COUNT
from cassiapitch.shared_service_times import SharedServiceTimes

PLACEMENT_ROUND_MS = 1_000
# Shortest time between two readings of the fleet for unknown life ids in reports.
NAMES_PERIOD_MS = 500

# While anything is short of capacity, levels are sent this often; load reports go with
# them only if their own period of a second is nearly over. A shorter period in the
# settings holds while the reports of a second fit the bytes of one full batch.
LEVELS_PERIOD_MS = 500
LOAD_REPORTS_MIN_MS = 900

# Shortest time between two rounds when requests start to wait for a model or adapter
# that isn't loaded. An adapter loads in a few milliseconds, so most of its delay would
# be the wait for the round.
URGENT_ROUND_MS = 250
URGENT_ADAPTER_ROUND_MS = 40
# The same if an order has ended that waiting requests may have waited for.
ENDED_ORDER_ROUND_MS = 100

# After this time in a new term every running entry has reported at least once.
ENTRIES_REPORTED_MS = 2_000

Command = ReportBackends | MarkBackends | RecordAnswers | RecordAttempts | RecordOrders


class _Due(enum.Enum):
    """Why the next message with load reports and levels is sent to the entries."""

    PERIODIC = enum.auto()
    LEVELS = enum.auto()
    ALL = enum.auto()


class Coordinator:
    """In-memory state and decisions of one controller term."""

    def __init__(
        self,
        fleet: Fleet,
        policy: str,
        term: int,
        now_ms: int,
        *,
        demand: DemandTracker | None = None,
        orders_blocked_until_ms: dict[str, int] | None = None,
        has_admission: bool = True,
        paces_prompts: bool = False,
        relieves_backlogs: bool = False,
        loads_by_demand: bool = False,
        further_loads_by_demand: bool = False,
        spares_engines: bool = False,
        role_speeds: Speeds | None = None,
    ) -> None:
        """Starts with a term that the replicated state has recorded already.

        Args:
            fleet: The replicated state, read only.
            policy: Placement policy.
            term: The term.
            now_ms: The current time.
            demand: Demand that this member observed while another one led.
            orders_blocked_until_ms: Time for each incarnation before which this term
                sends no orders, because those of an earlier leader may still be valid
                there.
            has_admission: Whether to compute admission levels for the entries.
            paces_prompts: Whether to pace the prompts to busy engines.
            relieves_backlogs: Whether models whose engines have a backlog of prompts
                get further copies at once.
            loads_by_demand: Whether models without a copy get as many loads at the same
                time as their demand calls for.
            further_loads_by_demand: Whether models with a backlog get as many further
                copies at the same time as their demand calls for.
            spares_engines: Whether engines are kept free of loads for adapters.
            role_speeds: Speeds of engines that earlier leaders measured.
        """
        self.term = term
        self.prompt_pacing = PromptPacing() if paces_prompts else None
        self._has_admission = has_admission
        self.placement = PlacementState(
            fleet,
            policy,
            now_ms,
            relieves_backlogs=relieves_backlogs,
            loads_by_demand=loads_by_demand,
            further_loads_by_demand=further_loads_by_demand,
            spares_engines=spares_engines,
        )
        self.placement.orders_blocked_until_ms = orders_blocked_until_ms or {}
        self.placement.role_speeds = RoleSpeeds(role_speeds)
        if demand is not None:
            self.placement.demand.copy_rates(demand)
        self._fleet = fleet
        self._term_start_ms = now_ms
        self._announcements = AnnouncementIntake(fleet, term, now_ms)
        self._refused_reports = RefusedReports()
        # What the last marks of refused connections rest on, by life id.
        self.refused_by: dict[str, tuple[str, ...]] = {}
        self._pauses = BackendPauses()
        self._brittle_reports = BrittleReports()
        self.speeds = self.placement.speeds
        self._service_times = SharedServiceTimes()
        # Names of backend servers by life id, and when they were last read.
        self._names: dict[str, str] = {}
        self._names_ms = now_ms - NAMES_PERIOD_MS
        self._attempts = OrderAttempts(fleet, self.placement, term)
        self._load_report_queue = LoadReportQueue()
        # By entry: its requests in flight by life id, and the time of the report.
        self._entry_loads = EntryLoads()
        self.admission = AdmissionLevels()
        self._changes = Changes({}, {})
        self._levels_sent_ms = self._load_reports_ms = now_ms
        self._due = _Due.PERIODIC
        self._has_packed_counts = False
        # By life id.
        self._last_reported_counts: dict[str, int] = {}
        self._next_round_ms = now_ms
        self._orders_at_round: frozenset[str] = frozenset()
        self._last_round_ms = now_ms

    def on_announcement(self, announcement: Announcement, now_ms: int) -> None:
        """Processes an announcement that a member relayed."""
        if not self._announcements.accept(announcement, now_ms):
            return
        life_id = announcement.life_id
        self.placement.unreachable_lives.discard(life_id)
        counts = (announcement.running_count, announcement.waiting_count)
        if self._reports_load(announcement.role):
            self.placement.request_counts[life_id] = counts
            prefixes = announcement.cached_prefixes
            self._load_report_queue.put(
                LoadReport(announcement.name, life_id, *counts, prefixes)
            )
        self._announcements.put(announcement)

    def has_pending_announcements(self) -> bool:
        """Returns whether pending announcements would change the replicated state."""
        return self._announcements.has_pending()

    def on_proposal_failed(self) -> None:
        """Forgets proposed announcements, so that later ones are proposed again."""
        self._announcements.forget_proposed()

    def on_demand(self, report: DemandReport, now_ms: int) -> bool:
        """Processes an entry's demand report and its observations of incarnations.

        Returns:
            Whether all entries should get load reports at once: one of them learned
            that a backend server is to be spared for now.
        """
        new_keys = add_known_demand(
            self.placement.demand, report, self._fleet.catalog, now_ms
        )
        unserved_keys = [
            key for key in new_keys if key not in self.placement.served_keys
        ]
        if unserved_keys:
            has_adapter = any(is_adapter_key(key) for key in unserved_keys)
            delay_ms = URGENT_ADAPTER_ROUND_MS if has_adapter else URGENT_ROUND_MS
            early_round_ms = self._last_round_ms + delay_ms
            self._next_round_ms = min(self._next_round_ms, early_round_ms)
        self._entry_loads.record(report.entry, report.in_flight, now_ms)
        for life_id in report.leaving_backends:
            self._announcements.mark_leaving(life_id)
        self._refused_reports.add(report.entry, report.refused_backends, now_ms)
        has_new_pause = self._pauses.add(report.pauses_ms, now_ms)
        has_new_hold = self._brittle_reports.add(report.brittle, now_ms)
        self._service_times.add(report.kind_times, now_ms)
        has_new_slow = self._add_samples(report.answer_samples, now_ms)
        self.admission.record_loads(report.entry, report.rank_loads, now_ms)
        for item in report.in_flight:
            work = item.served_tokens or item.served_count
            self.admission.record_served(item.life_id, work, item.tokens_per_s)
            if self.prompt_pacing is not None:
                self.prompt_pacing.record_served(item.life_id, item.served_tokens)
        are_levels_due = self._update_admission(now_ms) | self._update_pacing(now_ms)
        is_news = has_new_pause or has_new_hold or has_new_slow
        if is_news:
            self._due = _Due.ALL
        elif are_levels_due and self._due is _Due.PERIODIC:
            self._due = _Due.LEVELS
        return is_news or are_levels_due

    def _add_samples(self, samples: tuple[AnswerSample, ...], now_ms: int) -> bool:
        """Adds what an entry saw of answers; returns whether a server is now slow."""
        for sample in samples:
            incarnation = self._fleet.lives.get(self._name_of(sample.life_id, now_ms))
            # An entry may still know an incarnation that has ended.
            if incarnation is not None and incarnation.life_id == sample.life_id:
                self.speeds.add(
                    sample,
                    incarnation.role,
                    incarnation.max_running_count,
                    now_ms,
                )
        return self.speeds.update(now_ms)

    def _name_of(self, life_id: str, now_ms: int) -> str:
        """Returns the name of an incarnation's backend server, empty if unknown."""
        is_stale = now_ms - self._names_ms >= NAMES_PERIOD_MS
        if life_id not in self._names and is_stale:
            self._names_ms = now_ms
            self._names = {
                item.life_id: name for name, item in self._fleet.lives.items()
            }
        return self._names.get(life_id, "")

    def _update_admission(self, now_ms: int) -> bool:
        """Updates the admission levels; returns whether entries are to get them now."""
        if not self._has_admission or not self.admission.is_due(now_ms):
            return False
        totals = self._entry_loads.totals(now_ms)
        rank_totals = self._entry_loads.rank_totals(now_ms)
        servers = []
        for incarnation in self._fleet.lives.values():
            if incarnation.state != backends.SERVING:
                continue
            life_id, role = incarnation.life_id, incarnation.role
            if self._fleet.is_engine(incarnation):
                queues = tuple(
                    name_of(key)
                    for key in self._fleet.usable_keys(incarnation)
                    if not is_adapter_key(key)
                )
            else:
                queues = (role, f"role/{role}")
            pending: float | None = None
            if self._reports_load(role):
                count = sum(self.placement.request_counts.get(life_id, (0, 0)))
            else:
                count, tokens = totals.get(life_id, (0, 0))
                if self._fleet.is_engine(incarnation):
                    pending = tokens
            slots_count = incarnation.max_running_count
            by_rank = rank_totals.get(life_id, {})
            servers.append(
                Server(life_id, role, queues, slots_count, count, pending, by_rank)
            )
        changes = self.admission.tick(servers, now_ms)
        self._changes.begun.update(changes.begun)
        self._changes.ended.update(changes.ended)
        short_count = len(self.admission.current(now_ms, 0))
        metrics.SHORT_BACKENDS.set(short_count)
        if changes.begun or self.admission.needs_loads:
            return True
        return bool(short_count) and now_ms - self._levels_sent_ms >= LEVELS_PERIOD_MS

    def _update_pacing(self, now_ms: int) -> bool:
        """Updates the paces; returns whether entries are to hear of them now."""
        pacing = self.prompt_pacing
        if pacing is None or not pacing.is_due(now_ms):
            return False
        totals = self._entry_loads.totals(now_ms)
        loads = prompt_pacing.engine_loads(self._fleet, totals)
        role_speeds = self.placement.role_speeds
        has_changed = pacing.tick(loads, now_ms, role_speeds.earlier(now_ms))
        role_speeds.record(pacing.role_speeds())
        return has_changed

    def take_admission_changes(self) -> Changes:
        """Returns the shortages that began or ended since the last call."""
        changes, self._changes = self._changes, Changes({}, {})
        return changes

    def _reports_load(self, role: str) -> bool:
        role_config = self._fleet.catalog.roles.get(role)
        return role_config is None or role_config.reports_load

    def _sum_entry_loads(self, now_ms: int) -> None:
        """Sums the entries' in-flight requests for roles that report no load."""
        silent = [
            incarnation
            for incarnation in self._fleet.lives.values()
            if not self._reports_load(incarnation.role)
        ]
        sums = self._entry_loads.sums([item.life_id for item in silent], now_ms)
        for incarnation, (count, tokens) in zip(silent, sums, strict=True):
            self.placement.request_counts[incarnation.life_id] = (count, 0)
            queued_tokens = 0
            if self.prompt_pacing is not None:
                queued_tokens = self.prompt_pacing.queued_tokens(
                    incarnation.life_id, now_ms
                )
            self.placement.update_backlog(incarnation.life_id, tokens + queued_tokens)
            report = LoadReport(
                incarnation.name, incarnation.life_id, count, 0, (), tokens
            )
            if count or self._last_reported_counts.get(incarnation.life_id):
                self._load_report_queue.put(report)
            self._last_reported_counts[incarnation.life_id] = count

    def on_response(self, order: Order, attempt: int, answer: str | None) -> None:
        """Records the outcome of an attempt; `answer` is None without a response."""
        self._attempts.on_response(order, attempt, answer)
        if order.life_id in self.placement.unreachable_lives:
            # What was to be loaded there has to be planned elsewhere.
            early_round_ms = self._last_round_ms + ENDED_ORDER_ROUND_MS
            self._next_round_ms = min(self._next_round_ms, early_round_ms)

    def load_reports(self, now_ms: int) -> LoadReports:
        """Returns load reports that weren't returned before, within a size limit."""
        due, self._due = self._due, _Due.PERIODIC
        reports: tuple[LoadReport, ...] = ()
        counts = b""
        if self._are_loads_due(due, now_ms):
            self._load_reports_ms = now_ms
            reports, counts = self._load_report_queue.next_batch()
            self._has_packed_counts = bool(counts)
        self._levels_sent_ms = now_ms
        admission = admission_codec.pack(
            self.admission,
            now_ms,
            LEVELS_VALID_MS,
            admission_codec.SMALL_LIMIT_BYTES
            if self._has_packed_counts
            else admission_codec.LIMIT_BYTES,
        )
        expected_ms = placement_state.expected_ms(self.placement, now_ms)
        are_entries_known = now_ms - self._term_start_ms >= ENTRIES_REPORTED_MS
        entries_count = self._entry_loads.entries_count if are_entries_known else 0
        pauses_ms = self._pauses.remaining_ms(now_ms)
        brittle = self._brittle_reports.current(now_ms)
        self.speeds.update(now_ms)
        if self.prompt_pacing is None:
            self.placement.role_speeds.record(self.speeds.role_speeds())
        return LoadReports(
            reports,
            expected_ms,
            counts,
            entries_count,
            pauses_ms,
            brittle,
            admission,
            speeds=self.speeds.records(now_ms),
            kind_times=self._service_times.next_message(KNOWN_COUNT, now_ms),
            paced=b""
            if self.prompt_pacing is None
            else pack_tags(self.prompt_pacing.paced_lives()),
            role_speeds=self.placement.role_speeds.next_message(now_ms),
        )

    def _are_loads_due(self, due: _Due, now_ms: int) -> bool:
        """Returns whether a message to the entries is to hold load reports.

        Updates the reports of backend servers that don't report load.
        """
        since_ms = now_ms - self._load_reports_ms
        is_due = due is _Due.ALL or since_ms >= LOAD_REPORTS_MIN_MS
        is_early = due is _Due.PERIODIC and not self._has_packed_counts
        if is_due or is_early:
            self._sum_entry_loads(now_ms)
        allowed_bytes = FULL_BATCH_LIMIT_BYTES * since_ms / 1_000
        return is_due or (
            is_early and self._load_report_queue.pending_bytes() <= allowed_bytes
        )

    def commands(self, now_ms: int) -> list[Command]:
        """Returns the commands to propose now, in the order to propose them."""
        commands: list[Command] = []
        if answers := self._attempts.take_answers():
            commands.append(RecordAnswers(tuple(answers)))
        commands.extend(self._announcements.take_commands())
        if marks := self._due_marks(now_ms):
            commands.append(MarkBackends(self.term, tuple(marks)))
        if attempts := self._attempts.next_to_record(now_ms):
            commands.append(RecordAttempts(self.term, tuple(attempts)))
        return commands

    def run_placement_round(self, now_ms: int) -> RecordOrders | None:
        """Runs the placement round if it is due and returns its orders.

        Call it after the commands of `commands` were applied, so that placement sees
        their effect.
        """
        if self._has_order_ended():
            early_round_ms = self._last_round_ms + ENDED_ORDER_ROUND_MS
            self._next_round_ms = min(self._next_round_ms, early_round_ms)
        if now_ms < self._next_round_ms:
            return None
        self._last_round_ms = now_ms
        self._next_round_ms = now_ms + PLACEMENT_ROUND_MS
        self._forget_ended()
        orders = placement.decide_orders(self.placement, now_ms)
        self._orders_at_round = frozenset(
            order.order_id
            for order in self._fleet.open_orders.values()
            if order.adapter or self._blocks_engine(order)
        )
        return RecordOrders(self.term, tuple(orders)) if orders else None

    def _blocks_engine(self, order: Order) -> bool:
        """Tells whether an engine gets no other order before this one has ended."""
        role = self._fleet.catalog.roles.get(self._fleet.lives[order.backend].role)
        return role is not None and role.orders_one_by_one

    def _has_order_ended(self) -> bool:
        """Returns whether requests wait and an order has ended that may have held them.

        That is one of an adapter, or any of an engine that takes one at a time.
        """
        open_ids = self._fleet.open_orders.keys()
        return bool(self.placement.waits) and not self._orders_at_round <= open_ids

    def next_round_delay_ms(self, now_ms: int) -> int:
        """Returns the time until the next placement round."""
        return max(0, self._next_round_ms - now_ms)

    def due_attempts(self, now_ms: int) -> list[OutgoingAttempt]:
        """Returns the attempts that are recorded and not yet sent."""
        return self._attempts.due(now_ms)

    def _forget_ended(self) -> None:
        tables = (
            self.placement.request_counts,
            self.placement.backlogs,
            self._load_report_queue.last_full_batch,
            self._last_reported_counts,
        )
        for table in tables:
            for life_id in [key for key in table if self._fleet.is_ended(key)]:
                del table[life_id]
        self.placement.unreachable_lives = {
            life_id
            for life_id in self.placement.unreachable_lives
            if not self._fleet.is_ended(life_id)
        }
        self._announcements.forget_ended()
        self._refused_reports.forget_if(self._fleet.is_ended)
        self.speeds.retain_only(self._fleet.is_ended)

    def active_entries_count(self, now_ms: int) -> int:
        """Returns the number of entries that have reported lately."""
        since_ms = now_ms - refused_reports.WINDOW_MS
        return self._entry_loads.count_since(since_ms)

    def _due_marks(self, now_ms: int) -> list[BackendMark]:
        marks = []
        self.refused_by.clear()
        for incarnation in self._fleet.lives.values():
            heard_ms = self._announcements.heard_ms(incarnation.life_id)
            role = self._fleet.catalog.roles.get(incarnation.role)
            limit_ms = 0 if role is None else role.silence_limit_ms
            limit_ms = limit_ms or backends.SUSPECT_AFTER_MS
            event = backends.silence_event(
                incarnation.state, now_ms - heard_ms, limit_ms
            )
            if event is None and self._is_refusing_connections(
                incarnation, limit_ms, now_ms
            ):
                event = "refused"
                self._announcements.ignore_for_now(incarnation.life_id, now_ms)
            if event is not None:
                marks.append(BackendMark(incarnation.name, incarnation.life_id, event))
        return marks

    def _is_refusing_connections(
        self, incarnation: Incarnation, silence_limit_ms: int, now_ms: int
    ) -> bool:
        life_id = incarnation.life_id
        reports = self._refused_reports
        if not incarnation.allows("refused") or not reports.is_refusing(
            life_id,
            self.active_entries_count(now_ms),
            self._announcements.heard_ms(life_id),
            silence_limit_ms,
            now_ms,
        ):
            return False
        self.refused_by[life_id] = reports.reporters(life_id, now_ms)
        reports.forget(life_id)
        return True
