"""Control loop of the leader: backend life cycle, model placement and orders.

Every control member runs the loop; it proposes commands and sends orders only while
its member leads. The decisions are made by `coordinator`.
"""

import collections
import dataclasses
import random
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import (
    events,
    metrics,
    order_sender,
    placement_waits,
    task_failures,
)
from cassiapitch.admission_levels import Changes
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.backend_speeds import BackendSpeeds
from cassiapitch.coordinator import Coordinator
from cassiapitch.failover_state import FailoverState
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BeginTerm,
    MarkBackends,
    RecordOrders,
    ReportBackends,
)
from cassiapitch.messages import (
    DemandReport,
    LoadReports,
)
from cassiapitch.order_attempts import OutgoingAttempt
from cassiapitch.placement_waits import Wait, WaitLog
from cassiapitch.prompt_pacing import PaceChanges, PromptPacing
from cassiapitch.types import BackendName, LifeId

SendOrderFunction = Callable[..., Awaitable[str | None]]
Propose = Callable[[Any, int], Awaitable[Any]]

# Longest pause of the loop. Announcements that change the replicated state and demand
# that needs an early placement round wake it sooner.
TICK_MS = 100
PROPOSE_TIMEOUT_MS = 2_000
# Backend servers named in one log line; all are counted.
LOGGED_LIVES_COUNT = 8


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
        *,
        has_admission: bool = False,
        paces_prompts: bool = False,
        relieves_backlogs: bool = False,
        loads_by_demand: bool = False,
        further_loads_by_demand: bool = False,
        spares_engines: bool = False,
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
            has_admission: Whether to compute admission levels for the entries.
            paces_prompts: Whether to pace the prompts to busy engines.
            relieves_backlogs: Whether models whose engines have a backlog of prompts
                get further copies at once.
            loads_by_demand: Whether models without a copy get as many loads at the same
                time as their demand calls for.
            further_loads_by_demand: Whether models with a backlog get as many further
                copies at the same time as their demand calls for.
            spares_engines: Whether engines are kept free of loads for adapters.
        """
        self._has_admission = has_admission
        self._paces_prompts = paces_prompts
        self._relieves_backlogs = relieves_backlogs
        self._loads_by_demand = loads_by_demand
        self._further_loads_by_demand = further_loads_by_demand
        self._spares_engines = spares_engines
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

    def on_load_reports(self, reports: LoadReports) -> None:
        """Records the speeds that the leader knows, for when this member leads."""
        self._failover_state.on_load_reports(reports, self._now_ms())

    def on_demand(self, report: DemandReport) -> bool:
        """Processes an entry's demand report; ignored unless this member leads.

        Returns:
            Whether all entries should get load reports at once.
        """
        if self._coordinator is None:
            return False
        are_reports_due = self._coordinator.on_demand(report, self._now_ms())
        _log_admission(self._coordinator.take_admission_changes())
        if self._coordinator.prompt_pacing is not None:
            _log_paces(self._coordinator.prompt_pacing.take_changes())
        if self._coordinator.next_round_delay_ms(self._now_ms()) < TICK_MS:
            self._wake_event.set()
        return are_reports_due

    @property
    def prompt_pacing(self) -> PromptPacing | None:
        """The paces of busy engines; None unless this member leads and paces them."""
        return None if self._coordinator is None else self._coordinator.prompt_pacing

    def describe_admission(self) -> dict[str, Any]:
        """Returns the backend servers that are short of capacity, for the dump."""
        coordinator = self._coordinator
        return {} if coordinator is None else coordinator.admission.describe()

    def load_reports(self) -> LoadReports:
        """Returns the load reports since the last call, for the entries."""
        if self._coordinator is None:
            return LoadReports((), {})
        reports = self._coordinator.load_reports(self._now_ms())
        self._log_speeds(self._coordinator.speeds)
        return reports

    def _log_speeds(self, speeds: BackendSpeeds) -> None:
        for change in speeds.take_changes():
            events.log(
                events.Event.BACKEND_SLOW
                if change.is_slow
                else events.Event.BACKEND_RECOVERED,
                life_id=change.life_id,
                ratio=round(change.ratio, 2),
                slots_share=round(change.slots_share, 2),
            )

    def update_metrics(self) -> None:
        """Sets the gauges of measured speeds; empties them unless this member leads."""
        speeds = [] if self._coordinator is None else self._coordinator.speeds.view()
        metrics.BACKEND_SPEED_RATIO.replace(
            {(item.life_id, item.role): item.taken_ratio for item in speeds}
        )
        metrics.BACKEND_CONCURRENCY.replace(
            {(item.life_id, item.role): item.concurrency for item in speeds}
        )

    def describe_speeds(self) -> list[dict[str, Any]]:
        """Returns the measured speeds for the dump; none unless this member leads."""
        speeds = [] if self._coordinator is None else self._coordinator.speeds.view()
        return [dataclasses.asdict(item) for item in speeds]

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
            has_admission=self._has_admission,
            paces_prompts=self._paces_prompts,
            relieves_backlogs=self._relieves_backlogs,
            loads_by_demand=self._loads_by_demand,
            further_loads_by_demand=self._further_loads_by_demand,
            spares_engines=self._spares_engines,
            role_speeds=self._failover_state.role_speeds,
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
            was_cold = self._cold_lives(command)
            if not await self._commit(command):
                coordinator.on_proposal_failed()
                return
            self._log_cold_changes(command, was_cold)
        orders = coordinator.run_placement_round(self._now_ms())
        self._log_waits(coordinator.placement.waits)
        if orders is not None:
            await self._commit_orders(orders)
        # The proposals above take time; a member that lost the lead or its term in the
        # meantime must not send orders.
        if self._is_leader() and self._fleet.term == coordinator.term:
            for outgoing in coordinator.due_attempts(self._now_ms()):
                group.start_soon(self._send, coordinator, outgoing)

    def _cold_lives(self, command: Any) -> set[tuple[BackendName, LifeId]]:
        """Returns which incarnations that a command reports count as cold."""
        if not isinstance(command, ReportBackends):
            return set()
        return {
            (announcement.name, announcement.life_id)
            for announcement in command.announcements
            if (incarnation := self._fleet.lives.get(announcement.name)) is not None
            and incarnation.life_id == announcement.life_id
            and incarnation.is_cold
        }

    def _log_cold_changes(
        self, command: Any, was_cold: set[tuple[BackendName, LifeId]]
    ) -> None:
        is_cold = self._cold_lives(command)
        for name, life_id in sorted(is_cold ^ was_cold):
            events.log(
                events.Event.BACKEND_COLD_CHANGED,
                name=name,
                life_id=life_id,
                is_cold=(name, life_id) in is_cold,
            )

    def _log_waits(self, waits: list[Wait]) -> None:
        metrics.WAITING_ITEMS.set(len(waits))
        if due := self._wait_log.due(waits, self._now_ms()):
            events.log(
                events.Event.PLACEMENT_WAITS,
                count=len(waits),
                longest=due,
                busiest=placement_waits.busiest(waits),
            )

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

        # Without an answer, the order counts as one that may still arrive.
        answer = None
        try:
            answer = await self._send_order(
                outgoing, fencing=fencing, may_send=may_send
            )
        except Exception as error:
            task_failures.log_failure("order", error)
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


def _log_paces(changes: PaceChanges) -> None:
    for event, speeds in (
        (events.Event.BACKEND_PACED, changes.begun),
        (events.Event.BACKEND_UNPACED, changes.ended),
    ):
        if speeds:
            events.log(event, count=len(speeds), tokens_per_ms=speeds)


def _log_admission(changes: Changes) -> None:
    for event, lives in (
        (events.Event.CAPACITY_SHORT, changes.begun),
        (events.Event.CAPACITY_SUFFICIENT, changes.ended),
    ):
        if lives:
            events.log(
                event,
                counts_by_role=dict(collections.Counter(lives.values())),
                life_ids=sorted(lives)[:LOGGED_LIVES_COUNT],
            )
