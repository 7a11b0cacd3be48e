"""Control loop of the leader: backend life cycle, model placement and orders.

Every control member runs the loop; it proposes commands and sends orders only while
its member leads. The decisions are made by `coordinator`.
"""

import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import events, metrics, order_sender
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.coordinator import Coordinator, OutgoingAttempt
from cassiapitch.failover_state import FailoverState
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import BeginTerm, MarkBackends, RecordOrders
from cassiapitch.messages import (
    DemandReport,
    LoadReports,
)
from cassiapitch.placement_waits import Wait, WaitLog

SendOrderFunction = Callable[..., Awaitable[str | None]]
Propose = Callable[[Any, int], Awaitable[Any]]

# Longest pause of the loop. Announcements that change the replicated state and demand
# that needs an early placement round wake it sooner.
TICK_MS = 100
PROPOSE_TIMEOUT_MS = 2_000


class Controller:
    """Runs on every control member; proposes and sends orders only while it leads."""

    def __init__(
        self,
        propose: Propose,
        fleet: Fleet,
        is_leader: Callable[[], bool],
        now_ms: Callable[[], int],
        policy: str,
        random: random.Random,
        send_order: SendOrderFunction = order_sender.send_order,
        lease_ms: int = 0,
    ) -> None:
        """Creates a controller that is idle until its member leads.

        Args:
            propose: Like `Member.propose`, but takes a command data class and a
                timeout in milliseconds.
            fleet: The replicated state of this member, read only.
            is_leader: Returns whether this member leads and holds the lease.
            now_ms: Returns the current time.
            policy: Placement policy, `demand` or `fixed`.
            random: Source of the terms' tokens.
            send_order: Makes one attempt to send an order to an engine.
            lease_ms: How long a new term sends an engine no orders after an earlier
                leader's order to it.
        """
        self._send_order = send_order
        self._failover_state = FailoverState(fleet, lease_ms)
        self._propose = propose
        self._fleet = fleet
        self._is_leader = is_leader
        self._now_ms = now_ms
        self._policy = policy
        self._random = random
        self._coordinator: Coordinator | None = None
        self._token = ""
        self._wake_event = anyio.Event()
        self._wait_log = WaitLog()

    def on_announcement(self, announcement: Announcement) -> None:
        """Processes an announcement; ignored unless this member leads."""
        if self._coordinator is not None:
            self._coordinator.on_announcement(announcement, self._now_ms())
            if self._coordinator.has_pending_announcements():
                self._wake_event.set()

    def on_local_demand(self, report: DemandReport) -> None:
        """Records the demand of an entry that is linked to this member.

        Also called while another member leads, so that a new leader knows demand.
        """
        self._failover_state.on_demand(report, self._now_ms())

    def on_demand(self, report: DemandReport) -> bool:
        """Processes an entry's demand report; ignored unless this member leads.

        Returns:
            Whether all entries should get load reports at once.
        """
        if self._coordinator is None:
            return False
        are_reports_due = self._coordinator.on_demand(report, self._now_ms())
        if self._coordinator.next_round_delay_ms(self._now_ms()) < TICK_MS:
            self._wake_event.set()
        return are_reports_due

    def load_reports(self) -> LoadReports:
        """Returns the load reports since the last call, for the entries."""
        if self._coordinator is None:
            return LoadReports((), {})
        return self._coordinator.load_reports(self._now_ms())

    async def run(self) -> None:
        """Runs the control loop until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._run_once(group)
                with anyio.move_on_after(self._pause_ms() / 1_000):
                    await self._wake_event.wait()
                self._wake_event = anyio.Event()

    def _pause_ms(self) -> int:
        if self._coordinator is None:
            return TICK_MS
        return max(
            1, min(TICK_MS, self._coordinator.next_round_delay_ms(self._now_ms()))
        )

    async def _run_once(self, group: anyio.abc.TaskGroup) -> None:
        if not self._is_leader():
            self._coordinator = None
            self._failover_state.update_from_fleet(self._now_ms())
            return
        if self._coordinator is None or self._fleet.term_token != self._token:
            await self._begin_term()
        if self._coordinator is not None:
            await self._propose_and_send(self._coordinator, group)

    async def _begin_term(self) -> None:
        self._coordinator = None
        self._token = f"{self._random.getrandbits(64):016x}"
        await self._commit(BeginTerm(self._token))
        if self._fleet.term_token != self._token:
            return
        term = self._fleet.term
        self._failover_state.update_from_fleet(self._now_ms())
        self._coordinator = Coordinator(
            self._fleet,
            self._policy,
            term,
            self._now_ms(),
            demand=self._failover_state.demand,
            orders_blocked_until_ms=self._failover_state.orders_blocked_until_ms(),
        )
        events.log(events.Event.TERM_BEGUN, term=term)

    async def _propose_and_send(
        self, coordinator: Coordinator, group: anyio.abc.TaskGroup
    ) -> None:
        for command in coordinator.commands(self._now_ms()):
            if isinstance(command, MarkBackends):
                for mark in command.marks:
                    events.log(
                        events.Event.BACKEND_EVENT,
                        name=mark.name,
                        event=mark.event,
                        refused_by=coordinator.refused_by.get(mark.life_id, ()),
                        entries_count=coordinator.active_entries_count(self._now_ms()),
                    )
            if not await self._commit(command):
                coordinator.on_proposal_failed()
                return
        orders = coordinator.run_placement_round(self._now_ms())
        self._log_waits(coordinator.placement.waits)
        if orders is not None:
            await self._commit_orders(orders)
        # The proposals above take time; a member that lost the lead or its term in the
        # meantime must not send orders.
        if self._is_leader() and self._fleet.term == coordinator.term:
            for outgoing in coordinator.due_attempts(self._now_ms()):
                group.start_soon(self._send, coordinator, outgoing)

    def _log_waits(self, waits: list[Wait]) -> None:
        metrics.WAITING_ITEMS.set(len(waits))
        if due := self._wait_log.due(waits, self._now_ms()):
            events.log(events.Event.PLACEMENT_WAITS, count=len(waits), longest=due)

    async def _commit_orders(self, orders: RecordOrders) -> None:
        events.log(events.Event.ORDERS_RECORDED, count=len(orders.orders))
        await self._commit(orders)

    async def _commit(self, command: Any) -> bool:
        outcome = await self._propose(command, PROPOSE_TIMEOUT_MS)
        # `Committed` is the only outcome of `Member.propose` that has an index.
        is_committed = hasattr(outcome, "index")
        if not is_committed:
            name = type(command).__name__
            events.log(events.Event.PROPOSAL_FAILED, command=name)
        return is_committed

    async def _send(self, coordinator: Coordinator, outgoing: OutgoingAttempt) -> None:
        incarnation = self._fleet.lives.get(outgoing.order.backend)
        fencing = incarnation is not None and incarnation.fencing

        def may_send() -> bool:
            is_current = self._fleet.term == coordinator.term
            return is_current and self._is_leader()

        answer = await self._send_order(outgoing, fencing=fencing, may_send=may_send)
        metrics.ORDERS.inc(str(outgoing.order.kind), str(answer))
        events.log(
            events.Event.ORDER_ANSWERED,
            order_id=outgoing.order.order_id,
            backend=outgoing.order.backend,
            kind=outgoing.order.kind,
            model=outgoing.order.adapter or outgoing.order.model,
            attempt=outgoing.attempt,
            answer=answer,
        )
        coordinator.on_response(outgoing.order, outgoing.attempt, answer)
        self._wake_event.set()
