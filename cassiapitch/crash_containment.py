"""Finds out whether a backend server crashed, and reports it."""

import enum

import anyio

from cassiapitch import events, timers
from cassiapitch.calls import refused
from cassiapitch.crash_tracker import QUARANTINE_CRASHES_COUNT
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.messages import (
    CrashAnswer,
    CrashReport,
    SuspectCleared,
    SuspectRunAsk,
    SuspectRunEnded,
)
from cassiapitch.scheduler import NoSlot, Slot, SlotRequest
from cassiapitch.types import LifeId, RequestDigest, SuspectRunOutcome
from cassiapitch.viewitems import (
    BackendItem,
)

REPORT_LIMIT_MS = 3_000
RUN_RETRY_MS = 100


class CrashVerdict(enum.Enum):
    """What becomes of a request that was running in a crash."""

    RETRY = "retry"
    QUARANTINED = "quarantined"
    UNRECORDED = "unrecorded"


class CrashContainment:
    """Reports each crash once and lets every affected request wait for it."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reported: dict[LifeId, tuple[anyio.Event, list[bool]]] = {}

    async def report(self, backend: BackendItem, digest: RequestDigest) -> CrashVerdict:
        """Reports that `backend` crashed while `digest` ran on it.

        A request is run again only once the report is recorded, since the next
        crash must be recognised as its second, whoever retries it.
        """
        life_id = backend.life_id
        digests = self._state.crash_tracker.crashed(life_id, timers.now_ms())
        if digests is not None:
            self._reported[life_id] = (anyio.Event(), [])
            digests = digests if digest in digests else (*digests, digest)
            self._state.start_background(self._send, backend, digests)
        # A report of this life that ended before is in the log already.
        done, recorded = self._reported[life_id]
        await done.wait()
        if not recorded:
            return CrashVerdict.UNRECORDED
        if self.crash_count(digest) >= QUARANTINE_CRASHES_COUNT:
            return CrashVerdict.QUARANTINED
        return CrashVerdict.RETRY

    async def acquire(self, slot_request: SlotRequest, holder: str) -> Slot | NoSlot:
        """Returns a slot; for a suspect, one that no other suspect has at any entry.

        The claim is made in the log. It also shows a quarantine that this entry's
        view lacks, for instance when the caller repeats a request at once through
        another entry.

        Raises:
            CallRefusedError: The suspect is quarantined.
        """
        while True:
            slot = await self._state.scheduler.acquire(slot_request)
            if isinstance(slot, NoSlot) or not slot_request.suspect:
                return slot
            outcome = None
            try:
                outcome = await self._claim_run(slot_request, slot, holder)
            finally:
                if outcome is not SuspectRunOutcome.GRANTED:
                    self.end_run(slot, holder)
                    self._state.scheduler.release(slot, completed=False)
            if outcome is SuspectRunOutcome.GRANTED:
                return slot
            if outcome is SuspectRunOutcome.QUARANTINED:
                raise refused(ErrorKind.REQUEST_QUARANTINED)
            slot_request.denied_count += 1
            if timers.now_ms() >= slot_request.deadline_ms:
                return NoSlot(ErrorKind.DEADLINE_EXCEEDED)
            await anyio.sleep(RUN_RETRY_MS / 1000)

    def end_run(self, slot: Slot, holder: str) -> None:
        """Ends the claim of a suspect's run, unless the backend server crashed.

        The report of a crash takes over the claim, so that no other suspect is sent
        there in between.
        """
        life_id = slot.backend.life_id
        if slot.slot_request.suspect:
            self._state.control_requests.notify(
                lambda sequence: SuspectRunEnded(sequence, life_id, holder)
            )

    async def _claim_run(
        self, slot_request: SlotRequest, slot: Slot, holder: str
    ) -> SuspectRunOutcome | None:
        answer = await self._state.control_requests.request_until_decided(
            lambda sequence: SuspectRunAsk(
                sequence, slot_request.digest, slot.backend.life_id, holder
            ),
            lambda answer: answer.outcome is not None,
            REPORT_LIMIT_MS,
        )
        return None if answer is None else answer.outcome

    def crash_count(self, digest: RequestDigest) -> int:
        """Returns the known crashes under a digest."""
        item = self._state.catalog.suspects.get(digest)
        in_view = 0 if item is None else item.crash_count
        return self._state.crash_tracker.crash_count(digest, in_view, timers.now_ms())

    def is_quarantined(self, digest: RequestDigest) -> bool:
        """Tells whether a request is refused because it crashed backend servers."""
        item = self._state.catalog.suspects.get(digest)
        return item is not None and item.quarantined

    def crashed_lives(self, digest: RequestDigest) -> set[LifeId]:
        """Returns the lives that are known to have crashed under a digest."""
        if not self.crash_count(digest):
            return set()
        item = self._state.catalog.suspects.get(digest)
        in_view = () if item is None else item.lives
        return {*in_view, *self._state.crash_tracker.crashed_lives(digest)}

    def report_clean_run(self, slot_request: SlotRequest) -> None:
        """Says that a suspect ran to its end."""
        digest, lives = slot_request.digest, tuple(sorted(slot_request.crashed_lives))
        self._state.crash_tracker.cleared(digest)
        self._state.control_requests.notify(
            lambda sequence: SuspectCleared(sequence, digest, lives)
        )

    async def _send(
        self, backend: BackendItem, digests: tuple[RequestDigest, ...]
    ) -> None:
        events.log(
            events.Event.BACKEND_CRASHED,
            backend=backend.name,
            life_id=backend.life_id,
            requests_count=len(digests),
        )
        done, recorded = self._reported[backend.life_id]
        try:
            answer = await self._state.control_requests.request_until_decided(
                lambda sequence: CrashReport(
                    sequence, backend.name, backend.life_id, digests
                ),
                _is_recorded,
                REPORT_LIMIT_MS,
            )
            if answer is not None:
                recorded.append(True)
                counts = answer.crash_counts
                now_ms = timers.now_ms()
                life_id = backend.life_id
                self._state.crash_tracker.recorded(life_id, digests, counts, now_ms)
        finally:
            done.set()


def _is_recorded(answer: object) -> bool:
    return isinstance(answer, CrashAnswer) and answer.recorded
