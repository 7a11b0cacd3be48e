"""Decides which backend servers may run a request that asks for a slot."""

from collections.abc import Iterator

from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.routing import Router
from cassiapitch.slots import SlotRequest
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem


class SlotCandidates:
    """Filters the candidates of a request by what this entry knows of them."""

    def __init__(self, router: Router, crash_tracker: CrashTracker) -> None:
        self._router = router
        self._crash_tracker = crash_tracker

    def usable(self, slot_request: SlotRequest, now_ms: int) -> list[BackendItem]:
        """Returns the candidates that a request may wait for."""
        closed_lives = self._closed_lives(slot_request, now_ms)
        return [
            backend
            for backend in self._running(slot_request, now_ms)
            if backend.life_id not in closed_lives
        ]

    def allowed(self, slot_request: SlotRequest, now_ms: int) -> Iterator[BackendItem]:
        """Returns the candidates that a request may be sent to now.

        Whether they have a free slot, are leaving or need a permit is left to the
        router.
        """
        closed_lives = self._closed_lives(slot_request, now_ms)
        for backend in slot_request.candidates():
            if backend.life_id in slot_request.excluded_lives:
                continue
            if backend.life_id in closed_lives:
                continue
            if self._crash_tracker.has_crashed(backend.life_id, now_ms):
                continue
            if self.is_too_late(backend, slot_request, now_ms):
                continue
            if slot_request.suspect and not self._crash_tracker.may_run_suspect(
                backend.life_id, slot_request.digest
            ):
                continue
            yield backend

    def is_too_late(
        self, backend: BackendItem, slot_request: SlotRequest, now_ms: int
    ) -> bool:
        """Returns whether a request has waited too long for a brittle backend server.

        See `brittle_backends`.
        """
        requested_ms = slot_request.requested_ms
        return self._router.brittle.is_too_late(
            backend.life_id,
            now_ms if requested_ms is None else requested_ms,
            slot_request.deadline_ms,
            now_ms,
        )

    def for_suspect(
        self,
        candidates: list[BackendItem],
        slot_request: SlotRequest,
        reserved_rank: int,
        now_ms: int,
    ) -> list[BackendItem]:
        """Returns the free candidate that ranks highest for a suspect, if any.

        Args:
            candidates: What `allowed` has returned.
            slot_request: The suspect.
            reserved_rank: The rank that may use this entry's reserved places.
            now_ms: The current time.
        """
        free = [
            backend
            for backend in candidates
            if self._router.has_free_slot(
                backend, slot_request.rank, now_ms, reserved_rank
            )
        ]
        free.sort(
            key=lambda item: self._crash_tracker.suspect_rank(
                item.life_id, slot_request.digest, slot_request.denied_count
            )
        )
        return free[-1:]

    def _running(self, slot_request: SlotRequest, now_ms: int) -> list[BackendItem]:
        return [
            backend
            for backend in slot_request.candidates()
            if backend.life_id not in slot_request.excluded_lives
            and not self._crash_tracker.has_crashed(backend.life_id, now_ms)
            and not self._router.is_leaving(backend.life_id)
        ]

    def _closed_lives(
        self, slot_request: SlotRequest, now_ms: int
    ) -> frozenset[LifeId]:
        """Returns the incarnations that admission closes to a request.

        A request that was admitted is not refused later because those that were open
        to it have failed or leave; then all are open.
        """
        verdict = slot_request.verdict
        if verdict is None or not verdict.closed_lives:
            return frozenset()
        is_open = any(
            backend.life_id not in verdict.closed_lives
            for backend in self._running(slot_request, now_ms)
        )
        return verdict.closed_lives if is_open else frozenset()
