"""Tasks that run only on the leader: rate grants and the expiry of records."""

from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import equalsplit, events, floor_records, granter, granter_state, group
from cassiapitch.bundle import Bundle
from cassiapitch.commands import ExpireRecords, FloorsRecorded, RecordFloors
from cassiapitch.equalsplit import EqualSplit
from cassiapitch.events import Event
from cassiapitch.granter_state import Granter, Limits
from cassiapitch.group import Applied, ControlGroup
from cassiapitch.messages import (
    RateAsk,
    RelayedGrants,
)
from cassiapitch.replicated import ReplicatedState

POLL_S = 0.02
IDLE_POLL_S = 0.1
# Rate requests (`RateAsk`) that arrive within this time are answered together.
BATCH_WINDOW_S = 0.002
PROPOSE_TIMEOUT_MS = 1_000
EXPIRY_PERIOD_MS = 5_000
ASKS_LIMIT_COUNT = 8_192

Reply = Callable[[Any], None]


class RateGrantService:
    """Answers rate requests while this member leads and holds the lease."""

    def __init__(
        self,
        member: ControlGroup,
        state: ReplicatedState,
        policy: str,
        now_ms: Callable[[], int],
    ) -> None:
        self._member = member
        self._state = state
        self._policy = policy
        self._now_ms = now_ms
        self._asks: list[tuple[RateAsk, Reply]] = []
        self._ask_arrived = anyio.Event()
        self._granter: Granter | EqualSplit | None = None
        self._bundle: Bundle | None = None

    def ask(self, ask: RateAsk, reply: Reply) -> None:
        """Queues a request; drops it if there is no granter or the queue is full."""
        if self._granter is not None and len(self._asks) < ASKS_LIMIT_COUNT:
            self._asks.append((ask, reply))
            self._ask_arrived.set()

    def describe(self) -> dict[str, Any]:
        """Returns the granter's state for the dump."""
        if not isinstance(self._granter, Granter):
            return {"granting": self._granter is not None, "policy": self._policy}
        return {
            "granting": True,
            "policy": self._policy,
            "term": self._granter.term,
            "level_microtokens": {
                account: bucket.level
                for account, bucket in self._granter.buckets.items()
            },
            "floor_microtokens": dict(self._granter.floors),
        }

    async def run(self) -> None:
        """Starts and stops the granter and answers requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._answer_forever)
            tasks.start_soon(self._expire_forever)
            while True:
                await self._follow_leadership()
                await anyio.sleep(POLL_S if self._has_urgent_record() else IDLE_POLL_S)

    def _has_urgent_record(self) -> bool:
        """Returns whether to poll often, so that a record of floors isn't late."""
        running_granter = self._granter
        if not isinstance(running_granter, Granter):
            return False
        return (
            bool(running_granter.unmet_microtokens)
            or running_granter.pending is not None
        )

    async def _follow_leadership(self) -> None:
        status = self._member.status()
        if not group.is_leader(self._member):
            self._stop_granter()
            return
        if self._granter is not None and self._granter.term != status.term:
            self._stop_granter()
        if not self._member.has_lease(self._now_ms()):
            return
        if self._granter is None:
            await self._start_granter(status.term)
            return
        self._apply_bundle_limits()
        if isinstance(self._granter, Granter):
            await self._record_floors(self._granter)

    def _stop_granter(self) -> None:
        if self._granter is not None:
            events.log(Event.GRANTER_STOPPED, term=self._granter.term)
        self._granter = None
        self._bundle = None
        self._asks.clear()

    async def _start_granter(self, term: int) -> None:
        if self._policy == "equal_split":
            self._granter = EqualSplit(term, self._limits())
        else:
            outcome = await self._propose(floor_records.takeover_record(term))
            if outcome is None or self._member.status().term != term:
                return
            limits = self._limits()
            now_ms = self._now_ms()
            self._granter = granter.start(
                term, outcome, limits, now_ms, self._window_limits()
            )
        events.log(Event.GRANTER_STARTED, term=term, policy=self._policy)

    async def _record_floors(self, running_granter: Granter) -> None:
        record = floor_records.next_record(running_granter, self._now_ms())
        if record is not None and await self._propose(record) is not None:
            floor_records.record_committed(running_granter, record)

    async def _propose(self, record: RecordFloors) -> FloorsRecorded | None:
        outcome = await group.propose(self._member, record, PROPOSE_TIMEOUT_MS)
        if not isinstance(outcome, Applied):
            return None
        result = outcome.result
        if isinstance(result, FloorsRecorded) and result.accepted:
            return result
        return None

    async def _answer_forever(self) -> None:
        while True:
            while not self._asks:
                self._ask_arrived = anyio.Event()
                await self._ask_arrived.wait()
            await anyio.sleep(BATCH_WINDOW_S)
            batch, self._asks = self._asks, []
            self._answer_batch(batch)

    def _answer_batch(self, batch: list[tuple[RateAsk, Reply]]) -> None:
        now_ms = self._now_ms()
        if self._granter is None or not self._member.has_lease(now_ms):
            return
        if self._member.status().term != self._granter.term:
            return
        asks = [ask for ask, _ in batch]
        self._apply_bundle_limits()
        if isinstance(self._granter, Granter):
            answers = granter.answer(self._granter, asks, now_ms)
        else:
            answers = equalsplit.answer(self._granter, asks, now_ms)
        replies = {id(ask): reply for ask, reply in batch}
        for ask, grants in answers:
            replies[id(ask)](RelayedGrants(ask.entry, ask.life_id, grants))

    def _apply_bundle_limits(self) -> None:
        """Applies a new bundle's rates at once: buckets fill at them from then on."""
        if self._state.bundle is self._bundle:
            return
        self._bundle = self._state.bundle
        if isinstance(self._granter, Granter):
            granter.set_limits(
                self._granter, self._limits(), self._now_ms(), self._window_limits()
            )
        elif self._granter is not None:
            equalsplit.set_limits(self._granter, self._limits(), self._now_ms())

    def _window_limits(self) -> granter_state.WindowLimits:
        bundle = self._state.bundle
        accounts = () if bundle is None else bundle.client_accounts
        return granter_state.window_limits_by_account(
            (item.name, item.window_tokens, item.window_ms) for item in accounts
        )

    def _limits(self) -> Limits:
        bundle = self._state.bundle
        accounts = () if bundle is None else bundle.client_accounts
        return granter_state.limits_by_account(
            (item.name, item.rate_tokens_per_s, item.burst_tokens) for item in accounts
        )

    async def _expire_forever(self) -> None:
        """Proposes the expiry of records while some are pending.

        Log time advances only with entries, so without this entry quarantines would
        not end while nothing else is proposed.
        """
        while True:
            await anyio.sleep(EXPIRY_PERIOD_MS / 1000)
            if group.is_leader(self._member) and self._state.has_pending_expiry():
                await group.propose(self._member, ExpireRecords(), PROPOSE_TIMEOUT_MS)
