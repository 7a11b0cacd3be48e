"""`cassiapitch-entry`: accepts callers' requests and sends them to backend servers.

An entry holds links to control members, over which it receives its view (keys, routes,
backend servers), rate grants and load reports.
"""

from cassiapitch import signals

if __name__ == "__main__":
    # The imports below take most of the start.
    signals.hold()

import logging
from collections.abc import Callable
from typing import Any, Protocol

import anyio

from cassiapitch import (
    demand_reports,
    events,
    metrics,
    process,
    rate_budget,
    stop_limit,
    timers,
)
from cassiapitch.catalog import Gap, SnapshotParts
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.exceptions import CodecError
from cassiapitch.limit_messages import LimitReportAnswer, PermitAnswer
from cassiapitch.link import Link, LinkHandlers, LinkPlan
from cassiapitch.messages import (
    ClaimAnswer,
    ConfirmAsk,
    Confirmed,
    ControlMembers,
    CrashAnswer,
    LinkHello,
    LoadReports,
    RateGrants,
    SuspectRunAnswer,
    ViewDelta,
    ViewSnapshot,
)
from cassiapitch.operatorroutes import OperatorApplication
from cassiapitch.origin_messages import OriginAnswer
from cassiapitch.part_messages import PartCrashAnswer
from cassiapitch.permit_asks import MIN_ASK_SPACING_MS
from cassiapitch.plainhttp import PlainHttpServer
from cassiapitch.seeds import peers_from_seeds
from cassiapitch.send_limits import WATCH_PERIOD_MS
from cassiapitch.settings import EntrySettings
from cassiapitch.stop_admission import stop_deadline_ms
from cassiapitch.task_failures import Restart, run_task, start
from cassiapitch.tunnel_messages import TunnelPeers
from cassiapitch.tunnel_server import TunnelServer, reserved_descriptors
from cassiapitch.types import BackendName

CONTROL_ANSWERS = (
    ClaimAnswer
    | CrashAnswer
    | SuspectRunAnswer
    | PartCrashAnswer
    | LimitReportAnswer
    | OriginAnswer
)
PRIMARY_LINK_NUMBER = 0
# Connections for administration; the reserved descriptors cover them.
OPERATORS_LIMIT_COUNT = 64
TICK_MS = 100
# Without waiting calls, the only periodic work is to return expired grants.
IDLE_TICK_MS = 1_000
# Delay before a request for grants that is made for a waiting call, so that calls
# that arrive together share one request.
GRANT_REQUEST_SPACING_MS = 5
# Time in which the link's task writes the returned grants at the shutdown.
GRANT_RETURN_WAIT_MS = 100


class CallerServer(Protocol):
    """Interface of the server that accepts callers' connections."""

    @property
    def port(self) -> int:
        """The port that callers connect to."""

    async def run(self) -> None:
        """Serves until `close` is called, then returns once every call has ended."""

    def begin_stop(self, deadline_ms: int) -> None:
        """Begins a planned stop, in which responses must be complete by a deadline.

        Further responses ask callers to close their connections.
        """

    def close(self) -> None:
        """Stops listening."""


MakeCallerServer = Callable[[EntryState, CrashContainment], CallerServer]


def _make_openai_server(
    state: EntryState, crash_containment: CrashContainment
) -> CallerServer:
    # Imported here since an entry that forwards requests does without these modules,
    # which halves its start time.
    from cassiapitch.caller_app import CallerApplication
    from cassiapitch.httpserver import HttpServer

    application = CallerApplication(state, crash_containment)
    return HttpServer(
        application,
        state.settings.caller_address,
        connections_limit_count=state.settings.connections_limit_count,
        refuse=application.refuse_connection,
        held_bytes=state.held_bytes,
        others_count=reserved_descriptors(state.settings.tunnel_address),
        listeners=state.listeners,
    )


class EntryProcess:
    """The tasks of one entry."""

    def __init__(
        self,
        settings: EntrySettings,
        stop: anyio.Event,
        make_caller_server: MakeCallerServer | None = None,
        stop_requested_ms: Callable[[], int | None] = lambda: None,
    ) -> None:
        """Creates an entry.

        Args:
            settings: The process's settings.
            stop: Set to begin the graceful shutdown.
            make_caller_server: Returns the server for callers; by default the server
                of the OpenAI-compatible interface.
            stop_requested_ms: Returns when a signal asked for the shutdown, or None.
        """
        self.state = EntryState(settings)
        self._settings = settings
        self._stop = stop
        self._stop_requested_ms = stop_requested_ms
        self._crash_containment = CrashContainment(self.state)
        self._control_peers = settings.control or peers_from_seeds(
            settings.seeds, settings.seed_rpc_port
        )
        self._link_plan = LinkPlan(self._control_peers, settings.zone, settings.name)
        self._snapshot_parts = {
            link_number: SnapshotParts() for link_number in range(settings.links_count)
        }
        self._send_to_primary: Any = None
        self.caller_server = (make_caller_server or _make_openai_server)(
            self.state, self._crash_containment
        )
        self._tunnel_server = TunnelServer(
            settings.cluster,
            settings.tunnel_address,
            settings.tls,
            lambda name: self.state.catalog.backends.get(BackendName(name)),
            self.state.backend_paths.is_lost,
            self.state.held_bytes,
            lambda life_id: life_id in self.state.drained_lives,
            self.state.listeners,
        )
        self.state.drain_callbacks.append(
            lambda life_ids: self.state.start_background(
                self._tunnel_server.leave_backends, life_ids
            )
        )
        self._stop_deadline_ms = 0
        operator_application = OperatorApplication(self.state, self._link_plan, stop)
        self.operator_server = PlainHttpServer(
            operator_application,
            settings.admin_address,
            self.state.held_bytes,
            OPERATORS_LIMIT_COUNT,
            listeners=self.state.listeners,
        )

    async def run(self) -> None:
        """Serves until `stop` is set, then returns once every call has ended."""
        async with anyio.create_task_group() as group:
            self.state.set_background_group(group)
            self._tunnel_server.bind()
            start(group, "tunnels", self._tunnel_server.run)
            self._start_links(group)
            start(group, "expiry", self._expire_periodically)
            start(group, "rate grants", self._request_grants)
            start(group, "permits", self._request_permits)
            # A lost report only delays what control members learn.
            start(
                group,
                "demand reports",
                self._report_demand,
                restart=Restart.AFTER_ANY_ERROR,
            )
            start(group, "administration", self.operator_server.run)
            events.log(
                events.Event.ENTRY_LISTENING,
                caller_port=self.caller_server.port,
                admin_port=self.operator_server.port,
            )
            start(group, "drain", self._drain_on_stop)
            await run_task("callers", self.caller_server.run)
            await self._tunnel_server.drain(self._stop_deadline_ms - timers.now_ms())
            self.state.step_shutdown("drained")
            # Grants that aren't returned lapse by themselves.
            stop_limit.mark_done("return of rate grants")
            await self._return_grants()
            self.state.step_shutdown("stopped")
            stop_limit.mark_done()
            group.cancel_scope.cancel()

    def reload(self, settings: EntrySettings) -> None:
        """Applies changed settings; only the seeds may change in a running process."""
        self._link_plan.add_seeds(
            peers_from_seeds(settings.seeds, settings.seed_rpc_port)
        )

    def _start_links(self, group: Any) -> None:
        handlers = LinkHandlers(
            hello=self._make_hello,
            confirm_ask=self._make_confirm_ask,
            opened=self._on_link_opened,
            received=self._handle_message,
            closed=self._on_link_closed,
        )
        settings = self._settings
        links_count = settings.links_count
        if settings.control:
            links_count = min(links_count, len(settings.control))
        # Seeds may be few or none at a start; others come with changed settings or from
        # the control members.
        for link_number in range(links_count):
            link = Link(
                link_number,
                self._link_plan,
                handlers,
                settings.tls,
                settings.confirm_period_ms,
            )
            # After an error of the program, the view may be half applied.
            start(
                group,
                f"link {link_number}",
                link.run,
                restart=Restart.AFTER_SYSTEM_ERRORS,
            )

    def _make_hello(self, link_number: int) -> LinkHello:
        return LinkHello(
            entry=self._settings.name,
            life_id=self.state.life_id,
            cluster=self._settings.cluster,
            zone=self._settings.zone,
            applied_index=self.state.catalog.index,
            primary=link_number == PRIMARY_LINK_NUMBER,
            wants_members=bool(self._settings.seeds),
            tunnel_address=self._tunnel_server.address,
            accepts_zlib=True,
        )

    def _make_confirm_ask(self) -> ConfirmAsk:
        return self.state.freshness.make_ask(timers.now_ms())

    def _on_link_opened(self, link_number: int, send: Any) -> None:
        self._snapshot_parts[link_number] = SnapshotParts()
        events.log(
            events.Event.ENTRY_LINK_OPENED,
            link=link_number,
            member=self._link_plan.current()[link_number].name,
        )
        if link_number == PRIMARY_LINK_NUMBER:
            self._send_to_primary = send
            self.state.control_requests.link_opened(send)
            self.state.rate_needed.notify_all()

    def _on_link_closed(self, link_number: int) -> None:
        if link_number == PRIMARY_LINK_NUMBER:
            self._send_to_primary = None
            self.state.control_requests.link_closed()

    def _handle_message(self, link_number: int, message: Any) -> bool:
        """Handles a message of a link; returns whether the link must be reopened."""
        if isinstance(message, Confirmed):
            self.state.handle_confirmation(message)
        elif isinstance(message, ViewDelta | ViewSnapshot):
            return self._apply_view_change(link_number, message)
        elif isinstance(message, RateGrants):
            self.state.handle_grants(message)
        elif isinstance(message, PermitAnswer):
            self.state.handle_permits(message)
        elif isinstance(message, CONTROL_ANSWERS):
            self.state.control_requests.answered(message)
        elif isinstance(message, ControlMembers):
            self._link_plan.update_members(message.members)
        elif isinstance(message, TunnelPeers):
            self.state.backend_paths.update_peers(message.peers)
        elif isinstance(message, LoadReports) and link_number == PRIMARY_LINK_NUMBER:
            # Every link delivers the same reports. A second copy would be treated as
            # a later report when the entry discounts its own requests.
            self.state.handle_load_reports(message)
        return False

    def _apply_view_change(
        self, link_number: int, message: ViewDelta | ViewSnapshot
    ) -> bool:
        """Applies a change of the view; returns whether the link must be reopened."""
        try:
            if isinstance(message, ViewDelta):
                outcome = self.state.catalog.apply_delta(message)
            elif (items := self._snapshot_parts[link_number].add(message)) is not None:
                outcome = self.state.catalog.apply_snapshot(message.index, items)
                events.log(events.Event.VIEW_APPLIED, index=message.index)
            else:
                return False
        except CodecError as error:
            events.log(
                events.Event.VIEW_REFUSED, index=message.index, reason=str(error)
            )
            return True
        self.state.handle_view_change(outcome)
        return isinstance(outcome, Gap)

    async def _expire_periodically(self) -> None:
        """Ends unauthorised calls, and expires rate grants and queued calls."""
        state = self.state
        state.freshness.watch_stalls(timers.now_ms())
        while True:
            if state.has_waiting():
                await anyio.sleep(TICK_MS / 1000)
            else:
                is_watched = bool(state.send_limits.cold_roles)
                await state.wait_started.wait(
                    WATCH_PERIOD_MS if is_watched else IDLE_TICK_MS
                )
            now_ms = timers.now_ms()
            state.check_standstill(now_ms)
            ended_count = self.state.authorization.end_unauthorised(now_ms)
            if ended_count:
                events.log(
                    events.Event.CALLS_ENDED,
                    reason="authorization_unconfirmed",
                    calls_count=ended_count,
                )
            self.state.send_limits.watch(now_ms)
            self.state.budget.tick(now_ms)
            self.state.deliver_decisions()
            self.state.scheduler.tick(now_ms)

    async def _request_grants(self) -> None:
        """Requests grants every period, and promptly when a call waits for one."""
        due_ms = timers.now_ms() + rate_budget.ASK_PERIOD_MS
        while True:
            if self.state.budget.is_idle():
                await self.state.rate_needed.wait(IDLE_TICK_MS)
            else:
                wait_until_ms = self.state.budget.ask_due_ms(due_ms)
                await self.state.rate_needed.wait(wait_until_ms - timers.now_ms())
            now_ms = timers.now_ms()
            is_due = now_ms >= due_ms
            if is_due:
                due_ms = now_ms + rate_budget.ASK_PERIOD_MS
            if self._send_to_primary is None:
                continue
            if not is_due:
                await anyio.sleep(GRANT_REQUEST_SPACING_MS / 1000)
                now_ms = timers.now_ms()
                if not self.state.budget.needs_ask(now_ms):
                    continue
            message = self.state.budget.ask(now_ms, periodic=is_due)
            if message is not None and self._send_to_primary is not None:
                self._send_to_primary(message)

    async def _request_permits(self) -> None:
        """Requests permits for limited backend servers, and sends requests with them.

        A permit becomes usable at a certain time, which may be between two ticks.
        """
        state = self.state
        while True:
            now_ms = timers.now_ms()
            wake_ms = state.send_limits.wake_ms(now_ms)
            wait_ms = IDLE_TICK_MS if wake_ms is None else max(1, wake_ms - now_ms)
            await state.permits_needed.wait(wait_ms)
            if state.send_limits.drop_stale_paces(timers.now_ms()):
                metrics.PACED_BACKENDS.set(0)
                state.scheduler.dispatch_waiting()
            if not state.send_limits.has_limits():
                continue
            # Requests that arrive together share one ask.
            await anyio.sleep(MIN_ASK_SPACING_MS / 1000)
            now_ms = timers.now_ms()
            state.scheduler.dispatch_waiting()
            if not state.send_limits.is_exchange_due(now_ms):
                continue
            queues, usable_lives = state.scheduler.queues_for_permits(now_ms)
            # Requests that are refused or wait for another engine need no ask.
            state.scheduler.refuse_without_permit(now_ms, queues, usable_lives)
            for message in state.send_limits.asks(queues, now_ms):
                if self._send_to_primary is not None:
                    self._send_to_primary(message)
            if state.send_limits.take_own_permits(queues, now_ms):
                state.scheduler.dispatch_waiting()

    async def _report_demand(self) -> None:
        """Reports demand to the primary member periodically, and when it is needed."""
        while True:
            await self.state.demand_needed.wait(self._settings.demand_period_ms)
            if self._send_to_primary is None:
                continue
            report = demand_reports.make_report(self.state)
            if report is not None:
                self._send_to_primary(report)

    async def _drain_on_stop(self) -> None:
        """Waits until the load balancer has removed the entry, then stops listening.

        Running calls go on to their end.
        """
        await self._stop.wait()
        begun_ms = self._stop_requested_ms() or timers.now_ms()
        self._stop_deadline_ms = stop_deadline_ms(begun_ms, self._settings.grace_s)
        self.state.step_shutdown("stop")
        self.caller_server.begin_stop(self._stop_deadline_ms)
        await self._tunnel_server.begin_stop()
        events.log(events.Event.ENTRY_DRAINING, operator=None)
        await anyio.sleep(self._settings.balancer_delay_ms / 1000)
        self.state.step_shutdown("balancer_left")
        self.caller_server.close()

    async def _return_grants(self) -> None:
        """Returns unused grants at the end of the shutdown, if there may be any."""
        # The second pass returns what was granted in the meantime. The waits let the
        # link's task write the message before the link is closed. On a busy machine
        # they take longer, and the shutdown exceeds its grace time.
        for is_last in (False, True):
            may_get_grants = not is_last and not self.state.budget.is_idle()
            message = self.state.budget.return_all()
            if message is None and not may_get_grants:
                return
            if message is not None and self._send_to_primary is not None:
                self._send_to_primary(message)
            await anyio.sleep(GRANT_RETURN_WAIT_MS / 1000)


async def serve(settings: EntrySettings, stop: anyio.Event) -> None:
    """Runs an entry until `stop` is set and every call is finished."""
    # `uvicorn` logs a line for every response that is truncated on purpose; the entry
    # logs its own numbered events.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    program = EntryProcess(settings, stop, stop_requested_ms=signals.stop_requested_ms)
    await program.run()


def main() -> int:
    """Runs the program."""
    return process.run("cassiapitch-entry", EntrySettings, serve)


if __name__ == "__main__":
    process.end(main())
