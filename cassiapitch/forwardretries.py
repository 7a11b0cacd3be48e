"""Further attempts of forwarded requests: retry budget, and delays before them.

After a failed attempt, the backend server is excluded for a delay. If other backend
servers may get the request, it waits for a slot at them meanwhile. When the delay has
ended, the one that failed may get it again.
"""

import dataclasses
import random

import anyio

from cassiapitch import timers
from cassiapitch.attempt_delays import LONGEST_MS, FailedAttempt, delay_ms
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardtypes import ForwardCall, RefusedError
from cassiapitch.prefill import FIRST_TOKEN_LIMIT_SHARE
from cassiapitch.slots import NoSlot, Slot, SlotRequest
from cassiapitch.types import LifeId

# Delay before a retry if every candidate was tried already and declined, and of
# attempts that fail during a planned stop.
SHORT_DELAY_MS = 40
# Many answers take longer than the mean.
ANSWER_ALLOWANCE = 1.5
# While a delay runs, this is how often it is checked whether other backend servers may
# get the request.
RECHECK_MS = 20


@dataclasses.dataclass(slots=True, eq=False)
class _Delay:
    """A running delay.

    Attributes:
        slot_request: The request's demand for a slot.
        failed_lives: Incarnations that failed attempts of the request.
        ended: Set once it has ended.
        timer_token: Token of its timer.
    """

    slot_request: SlotRequest
    failed_lives: frozenset[LifeId]
    ended: anyio.Event
    timer_token: int = 0


class ForwardRetries:
    """Prepares the further attempts of one entry's requests."""

    def __init__(self, state: EntryState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        self._timers = timers.TimerService()
        self._delays: dict[ForwardCall, _Delay] = {}
        self._is_stopping = False

    async def run(self) -> None:
        """Ends delays when they are due, until cancelled."""
        await self._timers.run()

    def begin_stop(self) -> None:
        """Ends all delays, so that a planned stop doesn't wait for waiting requests."""
        self._is_stopping = True
        for call, delay in list(self._delays.items()):
            self._timers.cancel(delay.timer_token)
            self._end_delay(call, delay)

    async def prepare(
        self, call: ForwardCall, slot_request: SlotRequest, slot: Slot
    ) -> None:
        """Decides when and where a request may be sent again; `acquire` waits for it.

        Raises:
            RefusedError: It may not be sent again.
        """
        if not call.sent_count:
            return
        now_ms = timers.now_ms()
        if call.first_byte_ms is not None:
            # The caller waits for the next event as long as for the first one.
            limit_ms = call.route.first_token_limit_ms or 0
            next_event_deadline_ms = now_ms + int(FIRST_TOKEN_LIMIT_SHARE * limit_ms)
            slot_request.deadline_ms = min(call.deadline_ms, next_event_deadline_ms)
            slot_request.requested_ms = None
        if not self._state.retry_budget.try_spend(now_ms, slot_request.role):
            raise RefusedError(
                ErrorKind.BACKEND_SERVER_FAILED
                if call.progress.may_have_been_sent
                else ErrorKind.OVERLOADED
            )
        if slot.backend.life_id in call.failed_lives:
            self._begin_delay(call, slot, now_ms)
            return
        others = [
            backend
            for backend in slot_request.candidates()
            if backend.life_id not in slot_request.excluded_lives
        ]
        if not others or others == [slot.backend]:
            slot_request.excluded_lives.clear()
            await anyio.sleep(SHORT_DELAY_MS / 1000)

    async def acquire(
        self, call: ForwardCall, slot_request: SlotRequest
    ) -> Slot | NoSlot:
        """Waits for a slot; see `Scheduler.acquire`.

        A refusal is final only once no delay runs: the backend server that failed may
        get the request after it. While no other may get it, the request isn't queued,
        since requests behind it would be refused for the wait that they expect.
        """
        delay = self._delays.get(call)
        if delay is None:
            return await self._state.scheduler.acquire(slot_request)
        try:
            while not delay.ended.is_set():
                recheck_ms = RECHECK_MS
                if self._has_others(slot_request):
                    slot = await self._state.scheduler.acquire(slot_request)
                    if isinstance(slot, Slot):
                        return slot
                    # Asked again sooner, it would count as a shortage each time.
                    recheck_ms = slot.retry_after_ms or LONGEST_MS
                with anyio.move_on_after(recheck_ms / 1000):
                    await delay.ended.wait()
            return await self._state.scheduler.acquire(slot_request)
        finally:
            if self._delays.pop(call, None) is not None:
                self._timers.cancel(delay.timer_token)

    def _has_others(self, slot_request: SlotRequest) -> bool:
        """Returns whether backend servers that aren't excluded may get a request."""
        now_ms = timers.now_ms()
        return any(
            backend.life_id not in slot_request.excluded_lives
            and not self._state.router.is_avoided(backend.life_id, now_ms)
            for backend in slot_request.candidates()
        )

    def _begin_delay(self, call: ForwardCall, slot: Slot, now_ms: int) -> None:
        slot_request = slot.slot_request
        router = self._state.router
        answer_ms = max(
            router.mean_answer_ms(slot.backend.life_id),
            router.expected_ms(slot.backend, slot_request.prompt_tokens, now_ms),
        )
        wait_ms = SHORT_DELAY_MS
        if not self._is_stopping:
            failure = FailedAttempt(
                count=call.sent_count,
                left_count=call.route.attempts_limit_count - call.sent_count,
                now_ms=now_ms,
                deadline_ms=min(call.deadline_ms, slot_request.deadline_ms),
                objective_end_ms=_objective_end_ms(call, now_ms),
                answer_ms=int(ANSWER_ALLOWANCE * answer_ms),
            )
            wait_ms = delay_ms(failure, self._rng.random())
        delay = _Delay(slot_request, frozenset(call.failed_lives), anyio.Event())
        # Without a wait, too, the timer fires only after the other backend servers
        # were asked for a slot.
        delay.timer_token = self._timers.after(
            wait_ms, lambda _: self._end_delay(call, delay)
        )
        self._delays[call] = delay

    def _end_delay(self, call: ForwardCall, delay: _Delay) -> None:
        """Lets the backend servers that failed a request have it again."""
        if self._delays.get(call) is delay:
            del self._delays[call]
        delay.slot_request.excluded_lives -= delay.failed_lives
        delay.ended.set()
        self._state.scheduler.dispatch_waiting()


def _objective_end_ms(call: ForwardCall, now_ms: int) -> int | None:
    """Returns when a request's next event, or its response, is late."""
    if call.first_byte_ms is not None:
        gap_ms = call.route.gap_objective_ms
        return now_ms + gap_ms if gap_ms else None
    objective_ms = call.route.objective_ms
    return call.arrived_ms + objective_ms if objective_ms else None
