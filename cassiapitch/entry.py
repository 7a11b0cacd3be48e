"""`cassiapitch-entry`: takes callers' requests and forwards them."""

import logging
import sys
from collections.abc import Callable
from typing import Any, Protocol

import anyio

from cassiapitch import events, process, rate_budget, timers
from cassiapitch.catalog import Gap, SnapshotParts
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.exceptions import CodecError
from cassiapitch.link import Link, LinkHandlers, LinkPlan
from cassiapitch.messages import (
    ClaimAnswer,
    ConfirmAsk,
    Confirmed,
    ControlMembers,
    CrashAnswer,
    InFlight,
    LinkHello,
    LoadReports,
    RateGrants,
    SuspectRunAnswer,
    ViewDelta,
    ViewSnapshot,
)
from cassiapitch.operatorroutes import OperatorApplication
from cassiapitch.plainhttp import PlainHttpServer
from cassiapitch.seeds import peers_from_seeds
from cassiapitch.settings import EntrySettings

PRIMARY = 0
TICK_MS = 100
# Without a waiting call only what has expired is given back.
IDLE_TICK_MS = 1_000
# A wake for a waiting call asks at once, but calls that come together ask together.
RATE_ASK_SPACING_MS = 5
RETURN_WAIT_MS = 100


class CallerServer(Protocol):
    """What the process needs of the server for callers."""

    port: int

    async def run(self) -> None:
        """Serves until `close`, and then to the end of every call."""

    def begin_stop(self) -> None:
        """Has every further answer tell its caller to leave the connection."""

    def close(self) -> None:
        """Stops listening."""


MakeCallers = Callable[[EntryState, CrashContainment], CallerServer]


def _openai_callers(state: EntryState, crashes: CrashContainment) -> CallerServer:
    # An entry that forwards requests leaves these out, which halves its start.
    from cassiapitch.caller_app import CallerApplication
    from cassiapitch.httpserver import HttpServer

    application = CallerApplication(state, crashes)
    return HttpServer(
        application,
        state.settings.caller_address,
        connections_limit_count=state.settings.connections_limit_count,
        refuse=application.refuse_connection,
    )


class EntryProcess:
    """The tasks of one entry."""

    def __init__(
        self,
        settings: EntrySettings,
        stop: anyio.Event,
        make_callers: MakeCallers | None = None,
    ) -> None:
        """Makes an entry.

        Args:
            settings: The process's settings.
            stop: Begins the graceful shutdown.
            make_callers: Makes the server for callers; by default the one of the
                OpenAI-compatible interface.
        """
        self.state = EntryState(settings)
        self._settings = settings
        self._stop = stop
        self._crashes = CrashContainment(self.state)
        self._control = settings.control or peers_from_seeds(
            settings.seeds, settings.seed_rpc_port
        )
        self._plan = LinkPlan(self._control, settings.zone, settings.name)
        self._parts = {slot: SnapshotParts() for slot in range(settings.links_count)}
        self._send_primary: Any = None
        self.callers = (make_callers or _openai_callers)(self.state, self._crashes)
        operators = OperatorApplication(self.state, self._plan, stop)
        self.operators = PlainHttpServer(operators, settings.admin_address)

    async def run(self) -> None:
        """Serves until the stop event, then finishes every call and returns."""
        async with anyio.create_task_group() as group:
            self.state.use_background(group)
            self._start_links(group)
            group.start_soon(self._tick)
            group.start_soon(self._ask_rates)
            group.start_soon(self._report_demand)
            group.start_soon(self.operators.run)
            events.log(
                events.Event.ENTRY_LISTENING,
                caller_port=self.callers.port,
                admin_port=self.operators.port,
            )
            group.start_soon(self._close_on_stop)
            await self.callers.run()
            self.state.step_shutdown("drained")
            await self._return_grants()
            self.state.step_shutdown("stopped")
            group.cancel_scope.cancel()

    def reload(self, settings: EntrySettings) -> None:
        """Takes over what may change while the process runs: the seeds."""
        self._plan.add_seeds(peers_from_seeds(settings.seeds, settings.seed_rpc_port))

    def _start_links(self, group: Any) -> None:
        handlers = LinkHandlers(
            hello=self._hello,
            confirm_ask=self._confirm_ask,
            opened=self._opened,
            received=self._received,
            closed=self._closed,
        )
        settings = self._settings
        for slot in range(min(settings.links_count, len(self._control))):
            link = Link(
                slot, self._plan, handlers, settings.tls, settings.confirm_period_ms
            )
            group.start_soon(link.run)

    def _hello(self, slot: int) -> LinkHello:
        return LinkHello(
            entry=self._settings.name,
            life_id=self.state.life_id,
            cluster=self._settings.cluster,
            zone=self._settings.zone,
            applied_index=self.state.catalog.index,
            primary=slot == PRIMARY,
            wants_members=bool(self._settings.seeds),
        )

    def _confirm_ask(self) -> ConfirmAsk:
        return self.state.freshness.make_ask(timers.now_ms())

    def _opened(self, slot: int, send: Any) -> None:
        self._parts[slot] = SnapshotParts()
        events.log(
            events.Event.ENTRY_LINK_OPENED,
            link=slot,
            member=self._plan.current()[slot].name,
        )
        if slot == PRIMARY:
            self._send_primary = send
            self.state.control_requests.link_opened(send)
            self.state.rate_needed.notify_all()

    def _closed(self, slot: int) -> None:
        if slot == PRIMARY:
            self._send_primary = None
            self.state.control_requests.link_closed()

    def _received(self, slot: int, message: Any) -> bool:
        """Acts on a message; true if the link must be opened anew."""
        if isinstance(message, Confirmed):
            self.state.handle_confirmation(message)
        elif isinstance(message, ViewDelta | ViewSnapshot):
            return self._apply(slot, message)
        elif isinstance(message, RateGrants):
            self.state.handle_grants(message)
        elif isinstance(message, ClaimAnswer | CrashAnswer | SuspectRunAnswer):
            self.state.control_requests.answered(message)
        elif isinstance(message, ControlMembers):
            self._plan.update_members(message.members)
        elif isinstance(message, LoadReports) and slot == PRIMARY:
            # Both links bring the same reports; a second copy would pass for a
            # later one when own requests are discounted.
            self.state.handle_load_reports(message)
        return False

    def _apply(self, slot: int, message: ViewDelta | ViewSnapshot) -> bool:
        """Applies a change of the view; true if the link must be opened anew."""
        try:
            if isinstance(message, ViewDelta):
                outcome = self.state.catalog.apply_delta(message)
            elif (items := self._parts[slot].add(message)) is not None:
                outcome = self.state.catalog.apply_snapshot(message.index, items)
                events.log(events.Event.VIEW_APPLIED, index=message.index)
            else:
                return False
        except CodecError as error:
            events.log(
                events.Event.VIEW_REFUSED, index=message.index, reason=str(error)
            )
            return True
        self.state.applied(outcome)
        return isinstance(outcome, Gap)

    async def _tick(self) -> None:
        """Ends what lasted too long."""
        state = self.state
        while True:
            if state.has_waiting():
                await anyio.sleep(TICK_MS / 1000)
            else:
                await state.waiting_begun.wait(IDLE_TICK_MS)
            now_ms = timers.now_ms()
            ended_count = self.state.authorization.end_unauthorised(now_ms)
            if ended_count:
                events.log(
                    events.Event.CALLS_ENDED,
                    reason="authorization_unconfirmed",
                    calls_count=ended_count,
                )
            self.state.budget.tick(now_ms)
            self.state.deliver_decisions()
            self.state.scheduler.tick(now_ms)

    async def _ask_rates(self) -> None:
        """Asks for grants every period, and at once when a call waits for one."""
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
            if self._send_primary is None:
                continue
            if not is_due:
                await anyio.sleep(RATE_ASK_SPACING_MS / 1000)
                now_ms = timers.now_ms()
                if not self.state.budget.needs_ask(now_ms):
                    continue
            message = self.state.budget.ask(now_ms, periodic=is_due)
            if message is not None and self._send_primary is not None:
                self._send_primary(message)

    async def _report_demand(self) -> None:
        while True:
            await self.state.demand_needed.wait(self._settings.demand_period_ms)
            if self._send_primary is None:
                continue
            catalog = self.state.catalog
            waiting = {
                key: value
                for key, value in self.state.scheduler.waiting().items()
                if catalog.target(key[0]) is not None
            }
            report = self.state.demand.report(waiting, self._in_flight())
            if report is not None:
                self._send_primary(report)

    def _in_flight(self) -> tuple[InFlight, ...]:
        """Returns own requests at backend servers that don't state their load."""
        catalog = self.state.catalog
        counts = self.state.router.in_flight_counts()
        return tuple(
            InFlight(
                backend.life_id,
                counts[backend.life_id],
                self.state.router.prefill.pending_tokens(backend.life_id),
            )
            for backend in catalog.backends.values()
            if counts.get(backend.life_id) and not catalog.reports_load(backend.role)
        )

    async def _close_on_stop(self) -> None:
        """Leaves the balancer, then stops listening; calls go on to their end."""
        await self._stop.wait()
        self.state.step_shutdown("stop")
        self.callers.begin_stop()
        events.log(events.Event.ENTRY_DRAINING, operator=None)
        await anyio.sleep(self._settings.balancer_delay_ms / 1000)
        self.state.step_shutdown("balancer_left")
        self.callers.close()

    async def _return_grants(self) -> None:
        # The second time returns what was granted meanwhile; the waits let the
        # link's task write before the link is closed.
        for _ in range(2):
            message = self.state.budget.return_all()
            if message is not None and self._send_primary is not None:
                self._send_primary(message)
            await anyio.sleep(RETURN_WAIT_MS / 1000)


async def serve(settings: EntrySettings, stop: anyio.Event) -> None:
    """Runs an entry until `stop` is set and every call is finished."""
    # `uvicorn` logs a line for every answer that is cut on purpose; the entry logs
    # its own numbered events.
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    await EntryProcess(settings, stop).run()


def main() -> int:
    """Runs the program."""
    return process.run("cassiapitch-entry", EntrySettings, serve)


if __name__ == "__main__":
    sys.exit(main())
