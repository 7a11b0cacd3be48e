"""State that the tasks of one entry share: view, rate budget, router and queue."""

import functools
import random
import secrets
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc

from cassiapitch import (
    events,
    load_report_queue,
    metrics,
    process_limits,
    ranks,
    task_failures,
    timers,
)
from cassiapitch.admission_gate import AdmissionGate
from cassiapitch.asgi import BodyBufferLimit
from cassiapitch.backend_paths import BackendPaths, Verdict
from cassiapitch.calls import Authorization, Call
from cassiapitch.catalog import Applied, ApplyOutcome, ViewCatalog
from cassiapitch.control_requests import ControlRequests
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.demand_counter import DemandCounter
from cassiapitch.freshness import NEW_CALL_WAIT_MS, Freshness
from cassiapitch.held_bytes import HeldBytes, default_limit_bytes
from cassiapitch.home_regions import Regions, is_allowed
from cassiapitch.limit_messages import PermitAnswer
from cassiapitch.messages import (
    Confirmed,
    LoadReports,
    RateGrants,
)
from cassiapitch.rate_budget import (
    WAIT_LIMIT_MS,
    Admitted,
    Decision,
    RateBudget,
    Waiting,
)
from cassiapitch.retries import RetryBudget, RetryLimit
from cassiapitch.routing import Router
from cassiapitch.scheduler import Scheduler
from cassiapitch.send_limits import SendLimits
from cassiapitch.service_times import ServiceTimes
from cassiapitch.settings import EntrySettings
from cassiapitch.slots import Slot
from cassiapitch.socket_retries import Listeners
from cassiapitch.statechart import load_chart
from cassiapitch.types import LifeId, ModelName
from cassiapitch.viewitems import AccountItem, BackendItem

if TYPE_CHECKING:
    from cassiapitch.backend_client import Connections


class ChangeNotifier:
    """Wakes every task that waits for the next change; like a condition variable."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify_all(self) -> None:
        """Wakes the waiting tasks."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_ms: int) -> None:
        """Waits for the next change, for at most `timeout_ms`."""
        event = self._event
        with anyio.move_on_after(max(0, timeout_ms) / 1000):
            await event.wait()


class EntryState:
    """State of one entry; used only from the entry's event loop."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.life_id = secrets.token_hex(8)
        self.listeners = Listeners(settings.listen_timeout_s)
        self.catalog = ViewCatalog()
        self.freshness = Freshness()
        self.budget = RateBudget(settings.name, self.life_id)
        self.authorization = Authorization(self.catalog, self.freshness)
        self.send_limits = SendLimits(settings.name, self.life_id)
        self.router = Router(
            settings.routing_policy,
            settings.zone,
            # With the seed alone, all entries would draw the same numbers and decide
            # alike, which the draws are meant to prevent.
            random.Random(f"{settings.seed}/{settings.name}"),
            self.send_limits,
            records_answers=settings.speed_policy == "shared",
        )
        self.crash_tracker = CrashTracker()
        self.service_times = ServiceTimes()
        self.wait_started = ChangeNotifier()
        # Notified when requests may need permits of limited backend servers.
        self.permits_needed = ChangeNotifier()
        # Notified when demand is to be reported before the period has passed.
        self.demand_needed = ChangeNotifier()
        self.gate = AdmissionGate(is_enabled=settings.admission_policy == "shared")
        self.scheduler = Scheduler(
            settings.queue_policy,
            self.router,
            self.crash_tracker,
            self._on_request_queued,
            self.send_limits,
            self.permits_needed.notify_all,
            self.gate,
            self.demand_needed.notify_all,
        )
        retry_limit = None
        if settings.retry_slack_count is not None:
            retry_limit = RetryLimit(
                settings.retry_share,
                settings.retry_slack_count,
                settings.retry_window_s * 1000,
            )
        self.retry_budget = RetryBudget(retry_limit)
        self.demand = DemandCounter(settings.name)
        self.control_requests = ControlRequests()
        self.body_buffer_limit = BodyBufferLimit(settings.buffered_bodies_limit_bytes)
        self.held_bytes = HeldBytes(
            settings.held_bytes_limit_bytes
            or default_limit_bytes(process_limits.decide(settings).memory_bytes)
        )
        metrics.HELD_BYTES.sample = self.held_bytes.sizes
        # Notified when the view was confirmed or changed.
        self.confirmed = ChangeNotifier()
        # Notified when a call waits for a rate grant.
        self.rate_needed = ChangeNotifier()
        self.backend_paths = BackendPaths(
            settings, self.start_background, random.Random(settings.name)
        )
        # A lost path explains why a connection was reset.
        self.backend_paths.on_path_lost = self.router.end_hold
        # Called with the remaining life ids when backend servers of the view change.
        self.backend_removal_callbacks: list[Callable[[set[LifeId]], None]] = [
            self.backend_paths.retain_only
        ]
        # Incarnations that get no requests, since their zone is drained.
        self.drained_lives: frozenset[LifeId] = frozenset()
        # Called with them when they change; idle connections to them are closed.
        self.drain_callbacks: list[Callable[[frozenset[LifeId]], None]] = []
        # Called after each change of the view.
        self.view_callbacks: list[Callable[[], None]] = []
        # State of the chart `shutdown`.
        self.shutdown = load_chart("shutdown").initial
        self.requests_count = 0
        self._copy_expected_at_ms: dict[ModelName, int] = {}
        self._grant_waits: dict[str, tuple[anyio.Event, list[Decision]]] = {}
        self._background_group: anyio.abc.TaskGroup | None = None

    def set_background_group(self, group: anyio.abc.TaskGroup) -> None:
        """Sets the task group of work that outlives a call."""
        self._background_group = group

    def start_background(
        self, function: Callable[..., Coroutine[Any, Any, None]], *arguments: Any
    ) -> None:
        """Starts work that outlives a call; its errors are only logged."""
        if self._background_group is not None:
            name = getattr(function, "__name__", "background")
            self._background_group.start_soon(
                task_failures.run_alone, name, function, *arguments
            )

    def report_unreachable(self, backend: BackendItem) -> None:
        """Handles a backend server that no connection could be opened to.

        The leader hears of it only if other entries don't reach it either.
        """
        self.router.mark_unreachable(backend.life_id, timers.now_ms())
        self.hold_if_maybe_cold(backend)
        self.start_background(self._report_if_gone, backend)

    def hold_if_maybe_cold(self, backend: BackendItem) -> None:
        """Handles a connection to a backend server that was refused or reset.

        It may have restarted cold at the same address, which only the view tells.
        """
        shown = self.catalog.backends.get(backend.name)
        if shown is None or shown.life_id != backend.life_id:
            return
        if self.catalog.may_be_cold(backend.role):
            if not self.is_held(shown):
                metrics.BACKENDS_HELD.inc()
            self.router.hold(shown, timers.now_ms())

    def is_held(self, backend: BackendItem) -> bool:
        """Returns whether a backend server must get nothing now."""
        return self.router.remaining_hold_ms(backend.life_id, timers.now_ms()) > 0

    def may_still_send(self, slot: Slot) -> bool:
        """Returns whether a request may be sent now with a slot got a while ago.

        Its permit may have expired, or the backend server may have turned cold.
        """
        if slot.has_expired(timers.now_ms()) or self.is_held(slot.backend):
            return False
        return slot.permit is not None or not self.send_limits.is_cold(
            slot.backend.life_id
        )

    def in_regions(
        self, backends: list[BackendItem], regions: Regions
    ) -> list[BackendItem]:
        """Returns the backend servers that may get what is restricted to regions."""
        if regions is None:
            return backends
        zone_regions = self.settings.zone_regions
        return [
            item for item in backends if is_allowed(item.zone, regions, zone_regions)
        ]

    def is_outside_regions(self, role: str, regions: Regions) -> bool:
        """Returns whether a role has backend servers, but none in the regions.

        Without any, they may not have announced themselves yet.
        """
        zones = self.catalog.zones(role)
        zone_regions = self.settings.zone_regions
        if regions is not None and regions.isdisjoint(zone_regions.values()):
            return True
        return bool(zones) and not any(
            is_allowed(zone, regions, zone_regions) for zone in zones
        )

    def count_limited_send(self, backend: BackendItem) -> None:
        """Counts a request that is written to a backend server if it is limited."""
        if self.send_limits.is_limited(backend.life_id):
            metrics.LIMITED_SENDS.inc()
        if self.send_limits.is_cold(backend.life_id):
            metrics.COLD_SENDS.inc()

    async def _report_if_gone(self, backend: BackendItem) -> None:
        if await self.backend_paths.inquire(backend) is Verdict.GONE:
            self.demand.add_refused_backend(backend.life_id)

    @functools.cached_property
    def connections(self) -> "Connections":
        """Connections of the OpenAI-compatible interface to backend servers."""
        # Imported here since an entry that forwards requests does without the HTTP
        # client.
        from cassiapitch.backend_client import Connections

        connections = Connections(self.backend_paths)
        self.backend_removal_callbacks.append(
            lambda life_ids: self.start_background(connections.retain_only, life_ids)
        )

        def close_drained(life_ids: frozenset[LifeId]) -> None:
            connections.drained_lives = life_ids
            self.start_background(connections.close_drained)

        connections.drained_lives = self.drained_lives
        self.drain_callbacks.append(close_drained)
        return connections

    def has_waiting(self) -> bool:
        """Returns whether calls wait for tokens or a slot, or are in progress."""
        return bool(
            self._grant_waits or self.scheduler.has_waiting() or len(self.authorization)
        )

    def next_request_id(self) -> str:
        """Returns a request id that is unique across all entries."""
        self.requests_count += 1
        return f"{self.settings.name}-{self.life_id}-{self.requests_count}"

    def step_shutdown(self, event: str) -> None:
        """Applies an event of the state chart `charts/shutdown.json`."""
        self.shutdown = load_chart("shutdown").next_state(self.shutdown, event)

    def handle_view_change(self, outcome: ApplyOutcome) -> None:
        """Ends calls and drops state that a change of the view makes invalid."""
        if not isinstance(outcome, Applied):
            return
        self.freshness.set_applied_index(outcome.index)
        now_ms = timers.now_ms()
        if outcome.removed_keys:
            count = self.authorization.end_unauthorised(now_ms)
            if count:
                events.log(
                    events.Event.CALLS_ENDED, reason="key_withdrawn", calls_count=count
                )
        self.send_limits.cold_roles = self.catalog.cold_roles()
        self.send_limits.confirmed_ms = self.freshness.as_of_ms
        if outcome.backends_changed or self.send_limits.has_limits():
            self.send_limits.update(self.catalog.backends.values(), outcome.index)
            metrics.COLD_BACKENDS.set(self.send_limits.cold_count())
        if outcome.backends_changed:
            life_ids = {item.life_id for item in self.catalog.backends.values()}
            self.router.retain_only(life_ids)
            self.router.update_holds(self.catalog.backends.values())
            self.router.brittle.set_backends(self.catalog.backends.values(), now_ms)
            self.crash_tracker.retain_only(life_ids)
            for callback in self.backend_removal_callbacks:
                callback(life_ids)
            self._update_drained()
            self.scheduler.dispatch_waiting()
        for view_callback in self.view_callbacks:
            view_callback()
        self.confirmed.notify_all()

    def _update_drained(self) -> None:
        """Closes idle connections to backend servers whose zone is drained now."""
        drained_lives = self.catalog.drained_lives()
        if drained_lives == self.drained_lives:
            return
        self.drained_lives = drained_lives
        zones = {
            item.zone
            for item in self.catalog.backends.values()
            if item.life_id in drained_lives
        }
        events.log(
            events.Event.BACKENDS_DRAINED,
            zones=sorted(zones),
            backends_count=len(drained_lives),
            index=self.catalog.index,
        )
        metrics.DRAINED_BACKENDS.set(len(drained_lives))
        for callback in self.drain_callbacks:
            callback(drained_lives)

    def check_standstill(self, now_ms: int) -> None:
        """Records that the event loop runs, and whether it stood still before."""
        if stalled_ms := self.freshness.record_alive(now_ms):
            events.log(events.Event.ENTRY_STALLED, stalled_ms=stalled_ms)

    def is_reconfirmed(self) -> bool:
        """Returns whether the view was confirmed since the entry last stood still."""
        now_ms = timers.now_ms()
        self.check_standstill(now_ms)
        return self.freshness.is_reconfirmed(now_ms)

    async def wait_reconfirmed(self) -> bool:
        """Waits until `is_reconfirmed`, for at most `NEW_CALL_WAIT_MS`.

        Returns whether it is.
        """
        wait_deadline_ms = timers.now_ms() + NEW_CALL_WAIT_MS
        while not self.is_reconfirmed():
            wait_ms = wait_deadline_ms - timers.now_ms()
            if wait_ms <= 0:
                return False
            await self.confirmed.wait(wait_ms)
        return True

    def may_write(self, backend: BackendItem) -> bool:
        """Returns whether a request may be written to a backend server now.

        Ask it immediately before writing: the zone may have been drained while the
        request got its connection, or while the entry stood still.
        """
        if backend.life_id not in self.drained_lives:
            return self.is_reconfirmed()
        metrics.DRAINED_UNSENT.inc()
        return False

    def handle_confirmation(self, message: Confirmed) -> None:
        """Records a confirmation of the view and wakes calls that wait for one."""
        self.freshness.handle_confirmed(message)
        self.send_limits.confirmed_ms = self.freshness.as_of_ms
        self.confirmed.notify_all()

    def handle_grants(self, message: RateGrants) -> None:
        """Adds rate grants to the budget and decides calls that wait for them."""
        self.budget.receive_grants(message, timers.now_ms())
        self.deliver_decisions()

    def handle_permits(self, answer: PermitAnswer) -> None:
        """Adds permits and sends requests with them.

        The task that is notified refuses those that are too late at once, with the time
        after which their callers may return.
        """
        self.send_limits.receive(answer, timers.now_ms())
        self.scheduler.dispatch_waiting()
        self.permits_needed.notify_all()

    def _on_request_queued(self) -> None:
        self.wait_started.notify_all()
        if self.send_limits.has_limits():
            self.send_limits.note_change()
            self.permits_needed.notify_all()

    def handle_load_reports(self, message: LoadReports) -> None:
        """Records load reports and the times at which model copies are expected."""
        now_ms = timers.now_ms()
        self.retry_budget.set_entries_count(message.entries_count)
        self.router.brittle.set_entries_count(message.entries_count)
        self.router.brittle.apply_reports(message.brittle, now_ms)
        for report in message.reports:
            self.router.record_load_report(report, now_ms)
        counts = load_report_queue.unpack_counts(message.counts)
        # Only large fleets send packed counts; others save the cost of the tags.
        for backend in self.catalog.backends.values() if counts else ():
            count = counts.get(load_report_queue.life_tag(backend.life_id))
            if count is not None:
                self.router.record_request_count(backend.life_id, count, now_ms)
        if self.settings.speed_policy == "shared":
            self.router.shared_speeds.apply(
                message.speeds, self.catalog.backends.values(), now_ms
            )
        self.service_times.apply_shared(message.kind_times, now_ms)
        for life_id, pause_ms in message.pauses_ms.items():
            self.router.pause(life_id, pause_ms, now_ms)
        self._receive_levels(message.admission, now_ms)
        if self.settings.prompt_pacing == "shared":
            self._receive_paces(message.paced, now_ms)
        self._copy_expected_at_ms = {
            model: now_ms + expected_ms
            for model, expected_ms in message.expected_ms.items()
        }
        self.scheduler.dispatch_waiting()

    def _receive_paces(self, data: bytes, now_ms: int) -> None:
        """Takes over which engines get prompts with permits only."""
        tags = load_report_queue.unpack_tags(data)
        paced = {
            backend.life_id: backend.name
            for backend in (self.catalog.backends.values() if tags else ())
            if load_report_queue.life_tag(backend.life_id) in tags
        }
        metrics.PACED_BACKENDS.set(len(paced))
        if self.send_limits.set_paced(paced, now_ms):
            self.permits_needed.notify_all()

    def _receive_levels(self, data: bytes, now_ms: int) -> None:
        try:
            is_report_due = self.gate.receive(data, now_ms)
        except ValueError as error:
            events.log(events.Event.LEVELS_MALFORMED, reason=str(error))
            return
        if is_report_due:
            self.demand_needed.notify_all()
        rank = self.gate.strictest_rank(now_ms)
        metrics.ADMISSION_RANK.set(
            ranks.LEAST_URGENT_RANK + 1 if rank is None else rank
        )

    def expected_ms(self, name: ModelName) -> int | None:
        """Returns the time until a copy of a model is expected, or None if none is."""
        at_ms = self._copy_expected_at_ms.get(name)
        return None if at_ms is None else max(0, at_ms - timers.now_ms())

    def deliver_decisions(self) -> None:
        """Wakes the calls for which the rate budget now has a decision."""
        for call, decision in self.budget.decisions():
            pending = self._grant_waits.get(call)
            if pending is not None:
                pending[1].append(decision)
                pending[0].set()
            elif isinstance(decision, Admitted):
                self.budget.settle(decision, 0)

    async def wait_fresh(self) -> bool:
        """Waits until the view is confirmed, for at most `NEW_CALL_WAIT_MS`.

        Returns whether it is.
        """
        wait_deadline_ms = timers.now_ms() + NEW_CALL_WAIT_MS
        while not self.freshness.is_fresh(now_ms := timers.now_ms()):
            if now_ms >= wait_deadline_ms:
                return False
            await self.confirmed.wait(wait_deadline_ms - now_ms)
        return True

    async def wait_confirmed_since(self, since_ms: int) -> bool:
        """Waits for a confirmation that was requested after `since_ms`.

        Returns False if none arrives within `NEW_CALL_WAIT_MS`.
        """
        wait_deadline_ms = timers.now_ms() + NEW_CALL_WAIT_MS
        while (self.freshness.as_of_ms or 0) < since_ms:
            if (now_ms := timers.now_ms()) >= wait_deadline_ms:
                return False
            await self.confirmed.wait(wait_deadline_ms - now_ms)
        return True

    async def admit(self, call: Call, tokens: int) -> Decision:
        """Charges a call's tokens to its account, waiting for a grant if needed."""
        if call.account is None:
            return Admitted("", ())
        return await self.admit_cost(call.request_id, call.account, tokens)

    async def admit_cost(
        self,
        request_id: str,
        account: AccountItem,
        tokens: int,
        limit_ms: int = WAIT_LIMIT_MS,
    ) -> Decision:
        """Charges tokens to an account for a request; see `admit`."""
        decision = self.budget.request(
            request_id, account, tokens, timers.now_ms(), limit_ms
        )
        if not isinstance(decision, Waiting):
            return decision
        event, decisions = anyio.Event(), list[Decision]()
        self._grant_waits[request_id] = (event, decisions)
        self.rate_needed.notify_all()
        self.wait_started.notify_all()
        try:
            await event.wait()
        except BaseException:
            if decisions and isinstance(decisions[0], Admitted):
                self.budget.settle(decisions[0], 0)
            raise
        finally:
            del self._grant_waits[request_id]
            self.budget.cancel_request(request_id, account.name)
        return decisions[0]
