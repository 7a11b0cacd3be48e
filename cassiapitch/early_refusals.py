"""Refuses requests at once that can't be served before their deadline.

Their callers learn without a wait when to retry, and no engine time is spent on
responses that nobody waits for.
"""

from collections.abc import Callable

from cassiapitch import metrics
from cassiapitch.admission_gate import AdmissionGate
from cassiapitch.admission_levels import DEFAULT_OBJECTIVE_MS
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.prefill import is_first_token_in_time
from cassiapitch.routing import Router
from cassiapitch.slot_candidates import SlotCandidates
from cassiapitch.slots import NoSlot, SlotRequest
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# How long a request whose model isn't loaded waits to learn when it will be. The
# entry's demand report may take up to its period of 500 ms, and the leader's reply up
# to its period of 1,000 ms.
LOAD_TIME_WAIT_LIMIT_MS = 2_000
# When callers retry whose requests have waited too long at brittle backend servers. The
# queue there is as long as their deadline.
TOO_LATE_RETRY_MS = 1_000


class EarlyRefusals:
    """Refusals of one entry that don't depend on its queues."""

    def __init__(
        self,
        router: Router,
        slot_candidates: SlotCandidates,
        gate: AdmissionGate,
        on_shortage: Callable[[], None],
    ) -> None:
        """Prepares refusals.

        Args:
            router: Knows load, pauses and speeds of backend servers.
            slot_candidates: Filters the candidates of a request.
            gate: Admission levels of backend servers that are short of capacity.
            on_shortage: Called when the leader is to hear of this entry's load at once.
        """
        self._router = router
        self._slot_candidates = slot_candidates
        self._gate = gate
        self._on_shortage = on_shortage
        # Since when a queue has no candidates for requests that no other may overtake.
        # Most of them have the same candidates, and only the first is looked at.
        self._unservable_since_ms: dict[str, int] = {}

    def by_level(self, slot_request: SlotRequest, now_ms: int) -> NoSlot | None:
        """Decides by the admission levels when a request first asks for a slot.

        Stores the gate's verdict in the request.

        Returns:
            A refusal if all its candidates are closed to it.
        """
        if slot_request.verdict is not None or not self._gate.is_enabled:
            return None
        candidates = self._slot_candidates.usable(slot_request, now_ms)
        objective_ms = slot_request.objective_ms or DEFAULT_OBJECTIVE_MS
        roomy_lives = [
            backend.life_id
            for backend in candidates
            if self._router.has_room(backend, objective_ms, now_ms)
        ]
        if candidates and not roomy_lives and self._gate.note_busy(now_ms):
            self._on_shortage()
        idle_lives = [
            backend.life_id
            for backend in candidates
            if self._router.is_idle(backend, now_ms)
        ]
        verdict = self._gate.decide(
            slot_request.asked, candidates, idle_lives, roomy_lives, now_ms
        )
        slot_request.verdict = verdict
        if verdict.retry_after_ms is None:
            return None
        metrics.ADMISSION_REFUSED.inc(str(slot_request.rank))
        return NoSlot(ErrorKind.OVERLOADED, verdict.retry_after_ms)

    def by_candidates(self, slot_request: SlotRequest, now_ms: int) -> NoSlot | None:
        """Returns a refusal if no candidate can serve a request in time."""
        usable = self._slot_candidates.usable(slot_request, now_ms)
        if not usable:
            return self._refusal_if_loaded_late(slot_request, now_ms)
        self.record_servable(slot_request)
        if all(
            self._slot_candidates.is_too_late(item, slot_request, now_ms)
            for item in usable
        ):
            return NoSlot(ErrorKind.DEADLINE_EXCEEDED, TOO_LATE_RETRY_MS)
        pause_refusal = self._refusal_if_paused(slot_request, usable, now_ms)
        return pause_refusal or self._refusal_if_first_token_late(
            slot_request, usable, now_ms
        )

    def record_servable(self, slot_request: SlotRequest) -> None:
        """Records that a candidate can serve a request."""
        slot_request.unservable_since_ms = None
        if not slot_request.may_be_skipped:
            self._unservable_since_ms.pop(slot_request.queue, None)

    def _unservable_ms(self, slot_request: SlotRequest, now_ms: int) -> int:
        """Returns for how long a request has waited without a candidate."""
        if slot_request.unservable_since_ms is None:
            slot_request.unservable_since_ms = now_ms
        since_ms = slot_request.unservable_since_ms
        if not slot_request.may_be_skipped:
            queue_since_ms = self._unservable_since_ms.setdefault(
                slot_request.queue, now_ms
            )
            requested_ms = now_ms - slot_request.waited_ms(now_ms)
            since_ms = min(since_ms, max(queue_since_ms, requested_ms))
        return now_ms - since_ms

    def _refusal_if_loaded_late(
        self, slot_request: SlotRequest, now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal if no copy is expected before the deadline."""
        # It may have waited for long while there were candidates.
        unservable_ms = self._unservable_ms(slot_request, now_ms)
        if slot_request.waits_until_deadline:
            return None
        expected_ms = slot_request.expected_ms()
        if expected_ms is not None:
            is_late = now_ms + expected_ms > slot_request.deadline_ms
        else:
            is_late = unservable_ms > LOAD_TIME_WAIT_LIMIT_MS
        return NoSlot(ErrorKind.MODEL_LOADING, expected_ms) if is_late else None

    def _refusal_if_paused(
        self, slot_request: SlotRequest, usable: list[BackendItem], now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal if all backend servers are paused, or held for too long.

        Callers of an overloaded role thus learn at once when to retry.
        """

        def remaining_ms_of(life_id: LifeId) -> int:
            # A hold often ends early, so requests wait for it if they have the time.
            hold_ms = self._router.remaining_hold_ms(life_id, now_ms)
            is_too_long = now_ms + hold_ms > slot_request.deadline_ms
            pause_ms = self._router.remaining_pause_ms(life_id, now_ms)
            return max(pause_ms, hold_ms if is_too_long else 0)

        remaining_ms = min(remaining_ms_of(backend.life_id) for backend in usable)
        return NoSlot(ErrorKind.OVERLOADED, remaining_ms) if remaining_ms else None

    def _refusal_if_first_token_late(
        self, slot_request: SlotRequest, usable: list[BackendItem], now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal if the first token is expected after its limit.

        The caller would disconnect before it, and the engine time spent on the
        prompt would be wasted and delay the requests behind.
        """
        limit_ms = slot_request.first_token_limit_ms
        if limit_ms is None or not slot_request.prompt_tokens:
            return None
        if slot_request.verdict is not None and slot_request.verdict.is_in_time:
            return None
        shortest_ms = min(
            self._router.expected_ms(backend, slot_request.prompt_tokens, now_ms)
            for backend in usable
        )
        if is_first_token_in_time(
            slot_request.waited_ms(now_ms) + shortest_ms, limit_ms
        ):
            return None
        return NoSlot(ErrorKind.OVERLOADED, max(1, int(shortest_ms - limit_ms / 2)))
