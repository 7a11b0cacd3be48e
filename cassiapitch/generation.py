"""Runs one request for generated text on engines until its answer is complete.

A broken stream is resumed on the same engine. If that fails, another engine continues
the answer from the token position that has been reached.
"""

from collections.abc import Callable, Collection

import anyio

from cassiapitch import api, home_regions, ranks, timers
from cassiapitch.calls import Call, refused
from cassiapitch.catalog import ResolvedModel
from cassiapitch.crash_containment import CrashContainment, CrashVerdict
from cassiapitch.engine_attempts import attempt
from cassiapitch.engine_calls import (
    AttemptEnd,
    GenerationContext,
    GenerationPlan,
    WriteChunk,
)
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.prefixes import prefix_digests
from cassiapitch.slots import NoSlot, Slot, SlotRequest
from cassiapitch.streams import GeneratedAnswer
from cassiapitch.viewitems import BackendItem

# After a failed attempt, a request waits this long for the next copy of its model.
NEXT_COPY_WAIT_MS = 20_000


class Generation:
    """One answer and the attempts to generate it."""

    def __init__(
        self,
        state: EntryState,
        crash_containment: CrashContainment,
        call: Call,
        plan: GenerationPlan,
        write_chunk: WriteChunk | None,
    ) -> None:
        """Prepares the generation of an answer.

        Args:
            state: The entry's state.
            crash_containment: Reports crashes and claims the runs of suspects.
            call: The caller's call.
            plan: What is to be generated.
            write_chunk: Called with each chunk's bytes, or None if the caller wants
                the complete answer at once.
        """
        self.answer = GeneratedAnswer(call.request_id)
        self._state = state
        self._crash_containment = crash_containment
        self._call = call
        self._plan = plan
        # Software version of the engines that began the answer; empty before.
        self._versions: set[str] = set()
        self._regions = home_regions.allowed_regions(None, call.account)
        self._context = GenerationContext(
            state, call, plan, self._regions, self.answer, write_chunk
        )
        self._slot_request = self._make_slot_request()

    def used_tokens(self) -> int:
        """Returns the tokens that the request is charged against the account's rate."""
        if not self._call.progress.may_have_been_sent:
            return 0
        usage = self.answer.usage
        prompt_tokens = self._plan.request.prompt_tokens
        if usage is not None and usage.prompt_tokens > 0:
            prompt_tokens = usage.prompt_tokens
        return prompt_tokens + api.generated_tokens(self.answer)

    async def run(self) -> None:
        """Returns once the answer is complete.

        Raises:
            CallRefusedError: The answer can't be completed.
            CallEndedError: The call was ended early, or isn't authorised any more.
            EngineRefusedError: The engine rejected the request as invalid.
        """
        self._call.progress.step("admit")
        role = self._plan.target.model.role
        if self._state.is_outside_regions(role, self._regions):
            raise refused(ErrorKind.OUTSIDE_HOME_REGIONS)
        while not self.answer.is_complete:
            slot = await self._crash_containment.acquire(
                self._slot_request, self._call.request_id
            )
            if isinstance(slot, NoSlot):
                raise self._no_slot_refusal(slot)
            self._call.progress.step("route")
            end = AttemptEnd.FAILED
            try:
                end = await attempt(self._context, slot)
            finally:
                if self.answer.next_position and not self._versions:
                    self._versions.add(slot.backend.software_version)
                completed = end is AttemptEnd.COMPLETE
                self._state.scheduler.release(slot, completed=completed)
                if end is not AttemptEnd.CRASHED:
                    self._crash_containment.end_run(slot, self._call.request_id)
            if end is not AttemptEnd.COMPLETE:
                await self._prepare_retry(end, slot)
        self._call.progress.step("complete")
        if self._slot_request.suspect:
            self._crash_containment.report_clean_run(self._slot_request)

    def _make_slot_request(self) -> SlotRequest:
        call, plan, state = self._call, self._plan, self._state
        account = call.account
        name = plan.target.name
        return SlotRequest(
            name=name,
            queue=plan.target.model.name,
            candidates=_make_candidates(
                state, plan.target, self._regions, self._versions
            ),
            expected_ms=lambda: state.expected_ms(name),
            account="" if account is None else account.name,
            weight=1 if account is None else account.weight,
            rank=ranks.of_priority(call.priority),
            cost=plan.cost_tokens,
            deadline_ms=call.deadline_ms,
            digest=plan.request.digest,
            prefixes=tuple(
                prefix_digests(plan.target.model.name, plan.request.prompt_start)
            ),
            crashed_lives=self._crash_containment.crashed_lives(plan.request.digest),
            is_restricted=plan.target.adapter is not None or self._regions is not None,
        )

    def _no_slot_refusal(self, slot: NoSlot) -> Exception:
        """Returns the refusal for a request that got no slot on an engine."""
        target = self._plan.target
        if slot.kind is ErrorKind.MODEL_LOADING:
            rank = ranks.of_priority(self._call.priority)
            self._state.demand.count_refusal(target.name, rank)
        if self.answer.next_position:
            return refused(ErrorKind.STREAM_LOST)
        if self._call.progress.may_have_been_sent:
            return refused(ErrorKind.BACKEND_SERVER_FAILED)
        return refused(slot.kind, slot.retry_after_ms)

    async def _prepare_retry(self, end: AttemptEnd, slot: Slot) -> None:
        """Returns if another attempt may be made.

        Raises:
            CallRefusedError: No further attempt is allowed.
        """
        self._slot_request.excluded_lives.add(slot.backend.life_id)
        if end is AttemptEnd.CRASHED:
            await self._report_crash(slot.backend)
        progress = self._call.progress
        if end in (AttemptEnd.CRASHED, AttemptEnd.FAILED):
            # The failed backend server may have held the only copy of the model. The
            # answer has begun or was about to, so the request waits for the next
            # copy, which placement now loads.
            self._slot_request.waits_until_deadline = True
            next_copy_deadline_ms = timers.now_ms() + NEXT_COPY_WAIT_MS
            self._slot_request.deadline_ms = max(
                self._slot_request.deadline_ms, next_copy_deadline_ms
            )
        if progress.state == "streaming":
            # The last resumed stream delivered chunks and then broke again.
            progress.step("resume")
        if progress.allows("retry"):
            progress.step("retry")
        if progress.count_failure() and await self._spend_retry():
            return
        if self.answer.next_position:
            raise refused(ErrorKind.STREAM_LOST)
        refusal_kinds = {
            AttemptEnd.UNSENT: ErrorKind.NO_BACKEND_SERVER,
            AttemptEnd.NOT_LOADED: ErrorKind.MODEL_LOADING,
            AttemptEnd.OVERLOADED: ErrorKind.OVERLOADED,
        }
        raise refused(refusal_kinds.get(end, ErrorKind.BACKEND_SERVER_FAILED))

    async def _spend_retry(self) -> bool:
        """Spends a retry of the budget; returns False if none is available.

        A request that was running waits for one until its deadline.
        """
        budget = self._state.retry_budget
        now_ms = timers.now_ms()
        while not budget.try_spend(now_ms):
            wait_ms = max(1, budget.retry_wait_ms(now_ms))
            if (
                not self._slot_request.waits_until_deadline
                or now_ms + wait_ms > self._slot_request.deadline_ms
            ):
                return False
            await anyio.sleep(wait_ms / 1000)
            now_ms = timers.now_ms()
        return True

    async def _report_crash(self, backend: BackendItem) -> None:
        """Reports a crash during an attempt.

        Raises:
            CallRefusedError: The request is quarantined, or the report isn't recorded.
        """
        verdict = await self._crash_containment.report(
            backend, self._plan.request.digest
        )
        if verdict is CrashVerdict.QUARANTINED:
            raise refused(ErrorKind.REQUEST_QUARANTINED)
        if verdict is CrashVerdict.UNRECORDED:
            streamed = self.answer.next_position > 0
            lost = ErrorKind.STREAM_LOST
            raise refused(lost if streamed else ErrorKind.BACKEND_SERVER_FAILED)
        self._slot_request.crashed_lives.add(backend.life_id)


def _make_candidates(
    state: EntryState,
    target: ResolvedModel,
    regions: home_regions.Regions,
    versions: Collection[str],
) -> Callable[[], list[BackendItem]]:
    """Returns a function that returns the engines that may begin or continue an answer.

    It doesn't refer to the `Generation`, which refers to it: in a reference cycle, the
    request and the buffers of its connection would take memory until a garbage
    collection.

    Args:
        state: The entry's state.
        target: Model of the answer.
        regions: Regions of the engines.
        versions: Software version that began the answer; empty before. What two
            versions write doesn't fit together.
    """

    def candidates() -> list[BackendItem]:
        engines = state.in_regions(state.catalog.engines(target), regions)
        if not versions:
            return engines
        return [engine for engine in engines if engine.software_version in versions]

    return candidates
