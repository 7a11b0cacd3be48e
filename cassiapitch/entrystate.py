"""The state that the tasks of one entry share."""

import functools
import random
import secrets
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

import anyio
import anyio.abc

from cassiapitch import events, load_report_queue, timers
from cassiapitch.asgi import BodyBufferLimit
from cassiapitch.calls import Authorization, Call
from cassiapitch.catalog import Applied, ApplyOutcome, ViewCatalog
from cassiapitch.control_requests import ControlRequests
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.demand_counter import DemandCounter
from cassiapitch.freshness import NEW_CALL_WAIT_MS, Freshness
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
from cassiapitch.settings import EntrySettings
from cassiapitch.statechart import load_chart
from cassiapitch.types import LifeId, ModelName
from cassiapitch.viewitems import AccountItem

if TYPE_CHECKING:
    from cassiapitch.backend_client import Connections


class ChangeNotifier:
    """Wakes every task that waits for the next change."""

    def __init__(self) -> None:
        self._event = anyio.Event()

    def notify_all(self) -> None:
        """Wakes the waiting tasks."""
        event, self._event = self._event, anyio.Event()
        event.set()

    async def wait(self, timeout_ms: int) -> None:
        """Waits for the next change, at most for a time."""
        event = self._event
        with anyio.move_on_after(max(0, timeout_ms) / 1000):
            await event.wait()


class EntryState:
    """Decision state of one entry; only the entry's event loop touches it."""

    def __init__(self, settings: EntrySettings) -> None:
        self.settings = settings
        self.life_id = secrets.token_hex(8)
        self.catalog = ViewCatalog()
        self.freshness = Freshness()
        self.budget = RateBudget(settings.name, self.life_id)
        self.authorization = Authorization(self.catalog, self.freshness)
        self.router = Router(
            settings.routing_policy, settings.zone, random.Random(settings.seed)
        )
        self.crash_tracker = CrashTracker()
        self.waiting_begun = ChangeNotifier()
        self.scheduler = Scheduler(
            settings.queue_policy,
            self.router,
            self.crash_tracker,
            self.waiting_begun.notify_all,
        )
        limit = None
        if settings.retry_slack_count is not None:
            limit = RetryLimit(
                settings.retry_share,
                settings.retry_slack_count,
                settings.retry_window_s * 1000,
            )
        self.retries = RetryBudget(limit)
        self.demand = DemandCounter(settings.name)
        self.control_requests = ControlRequests()
        self.body_buffer_limit = BodyBufferLimit(settings.buffered_bodies_limit_bytes)
        self.confirmed = ChangeNotifier()
        self.rate_needed = ChangeNotifier()
        self.demand_needed = ChangeNotifier()
        # Told which lives of backend servers are left when some have gone.
        self.backend_removal_callbacks: list[Callable[[set[LifeId]], None]] = []
        self.shutdown = load_chart("shutdown").initial
        self.requests_count = 0
        self._expected: dict[ModelName, int] = {}
        self._budget_waits: dict[str, tuple[anyio.Event, list[Decision]]] = {}
        self._background: anyio.abc.TaskGroup | None = None

    def use_background(self, group: anyio.abc.TaskGroup) -> None:
        """Sets the task group for work that outlives a call."""
        self._background = group

    def start_background(
        self, work: Callable[..., Coroutine[Any, Any, None]], *arguments: Any
    ) -> None:
        """Starts work that outlives a call, such as a cancel at an engine."""
        if self._background is not None:
            self._background.start_soon(work, *arguments)

    @functools.cached_property
    def connections(self) -> "Connections":
        """Connections of the OpenAI-compatible interface to backend servers."""
        # An entry that forwards requests doesn't import the HTTP client.
        from cassiapitch.backend_client import Connections

        connections = Connections()
        self.backend_removal_callbacks.append(
            lambda lives: self.start_background(connections.retain_only, lives)
        )
        return connections

    def has_waiting(self) -> bool:
        """Tells whether calls wait for tokens, for a place or to be ended."""
        return bool(
            self._budget_waits
            or self.scheduler.has_waiting()
            or len(self.authorization)
        )

    def next_request_id(self) -> str:
        """Returns a request identity that is unique over all entries."""
        self.requests_count += 1
        return f"{self.settings.name}-{self.life_id}-{self.requests_count}"

    def step_shutdown(self, event: str) -> None:
        """Follows `charts/shutdown.json`."""
        # Told which lives of backend servers are left when some have gone.
        self.backend_removal_callbacks: list[Callable[[set[LifeId]], None]] = []
        self.shutdown = load_chart("shutdown").next_state(self.shutdown, event)

    def applied(self, outcome: ApplyOutcome) -> None:
        """Acts on a change of the view."""
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
        if outcome.backends_changed:
            lives = {item.life_id for item in self.catalog.backends.values()}
            self.router.retain_only(lives)
            self.crash_tracker.retain_only(lives)
            for forget in self.backend_removal_callbacks:
                forget(lives)
            self.scheduler.dispatch_waiting()
        self.confirmed.notify_all()

    def handle_confirmation(self, message: Confirmed) -> None:
        """Takes a confirmation and wakes calls that wait for one."""
        self.freshness.handle_confirmed(message)
        self.confirmed.notify_all()

    def handle_grants(self, message: RateGrants) -> None:
        """Takes grants and decides calls that wait for them."""
        self.budget.receive_grants(message, timers.now_ms())
        self.deliver_decisions()

    def handle_load_reports(self, message: LoadReports) -> None:
        """Takes load reports and the times at which copies are expected."""
        now_ms = timers.now_ms()
        self.retries.set_entries_count(message.entries_count)
        for report in message.reports:
            self.router.record_load_report(report, now_ms)
        counts = load_report_queue.unpack_counts(message.counts)
        # Packed counts come from large fleets only; others don't pay for the tags.
        for backend in self.catalog.backends.values() if counts else ():
            count = counts.get(load_report_queue.life_tag(backend.life_id))
            if count is not None:
                self.router.record_request_count(backend.life_id, count, now_ms)
        self._expected = {
            model: now_ms + expected_ms
            for model, expected_ms in message.expected_ms.items()
        }
        self.scheduler.dispatch_waiting()

    def expected_ms(self, name: ModelName) -> int | None:
        """Returns the time until a copy is expected, or None if none is."""
        at_ms = self._expected.get(name)
        return None if at_ms is None else max(0, at_ms - timers.now_ms())

    def deliver_decisions(self) -> None:
        """Wakes the calls on whose budget there is a decision now."""
        for call, decision in self.budget.decisions():
            wait = self._budget_waits.get(call)
            if wait is not None:
                wait[1].append(decision)
                wait[0].set()
            elif isinstance(decision, Admitted):
                self.budget.settle(decision, 0)

    async def wait_fresh(self) -> bool:
        """Waits at most the limit for new calls until the view is confirmed."""
        until_ms = timers.now_ms() + NEW_CALL_WAIT_MS
        while not self.freshness.is_fresh(now_ms := timers.now_ms()):
            if now_ms >= until_ms:
                return False
            await self.confirmed.wait(until_ms - now_ms)
        return True

    async def wait_confirmed_since(self, since_ms: int) -> bool:
        """Waits for a confirmation that was asked for after `since_ms`."""
        until_ms = timers.now_ms() + NEW_CALL_WAIT_MS
        while (self.freshness.as_of_ms or 0) < since_ms:
            if (now_ms := timers.now_ms()) >= until_ms:
                return False
            await self.confirmed.wait(until_ms - now_ms)
        return True

    async def admit(self, call: Call, tokens: int) -> Decision:
        """Takes a call's tokens from its account, waiting for a grant if needed."""
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
        """Takes tokens from an account for a request; see `admit`."""
        decision = self.budget.request(
            request_id, account, tokens, timers.now_ms(), limit_ms
        )
        if not isinstance(decision, Waiting):
            return decision
        event, decisions = anyio.Event(), list[Decision]()
        self._budget_waits[request_id] = (event, decisions)
        self.rate_needed.notify_all()
        self.waiting_begun.notify_all()
        try:
            await event.wait()
        except BaseException:
            if decisions and isinstance(decisions[0], Admitted):
                self.budget.settle(decisions[0], 0)
            raise
        finally:
            del self._budget_waits[request_id]
            self.budget.cancel_request(request_id, account.name)
        return decisions[0]
