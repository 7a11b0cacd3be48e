"""Reports crashes of backend servers and limits the runs of suspects.

A suspect is a request that was running on a backend server when it crashed. It may run
again, but no two suspects run on the same backend server, and it is quarantined after
its second crash. The control group's log records crashes and claims of runs.
"""

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
from cassiapitch.slots import NoSlot, Slot, SlotRequest
from cassiapitch.types import LifeId, RequestDigest, SuspectRunOutcome
from cassiapitch.viewitems import (
    BackendItem,
)

CONTROL_TIMEOUT_MS = 3_000
CLAIM_RETRY_MS = 100


class CrashVerdict(enum.Enum):
    """What to do with a request whose backend server crashed."""

    RETRY = "retry"
    QUARANTINED = "quarantined"
    UNRECORDED = "unrecorded"


class CrashContainment:
    """Reports each crash once and claims the runs of suspects, for one entry."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reports: dict[LifeId, tuple[anyio.Event, list[bool]]] = {}

    async def report(
        self, backend: BackendItem, digest: RequestDigest | None
    ) -> CrashVerdict:
        """Reports that `backend` crashed while `digest` ran on it.

        The digest is None for a request that had begun to be answered, which clears it.
        Waits until the report is recorded. Only then may the request run again, so
        that the next crash counts as its second, whichever entry retries it.
        """
        life_id = backend.life_id
        digests = self._state.crash_tracker.record_crash(life_id, timers.now_ms())
        if digests is not None:
            self._reports[life_id] = (anyio.Event(), [])
            if digest is not None and digest not in digests:
                digests = (*digests, digest)
            self._state.start_background(self._send_report, backend, digests)
        # Other requests that ran on this incarnation share its report, which may have
        # been recorded in the log already.
        done, recorded = self._reports[life_id]
        await done.wait()
        if not recorded:
            return CrashVerdict.UNRECORDED
        is_convicted = (
            digest is not None and self.crash_count(digest) >= QUARANTINE_CRASHES_COUNT
        )
        return CrashVerdict.QUARANTINED if is_convicted else CrashVerdict.RETRY

    async def acquire(self, slot_request: SlotRequest, holder: str) -> Slot | NoSlot:
        """Returns a slot; for a suspect, on an incarnation that runs no other suspect.

        The run of a suspect is claimed in the control group's log, so that it holds
        for all entries. The claim also detects a quarantine that this entry's view
        doesn't show yet, for instance when the caller immediately repeats a request
        through another entry.

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
            await anyio.sleep(CLAIM_RETRY_MS / 1000)

    def end_run(self, slot: Slot, holder: str) -> None:
        """Releases the claim of a suspect's run; must not be called after a crash.

        The crash report takes over the claim, so that no other suspect is sent to the
        backend server in between.
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
            CONTROL_TIMEOUT_MS,
        )
        return None if answer is None else answer.outcome

    def crash_count(self, digest: RequestDigest) -> int:
        """Returns the number of known crashes while a request was running."""
        item = self._state.catalog.suspects.get(digest)
        view_count = 0 if item is None else item.crash_count
        return self._state.crash_tracker.crash_count(
            digest, view_count, timers.now_ms()
        )

    def is_quarantined(self, digest: RequestDigest) -> bool:
        """Returns whether a request is refused because it crashed backend servers."""
        item = self._state.catalog.suspects.get(digest)
        return item is not None and item.quarantined

    def crashed_lives(self, digest: RequestDigest) -> set[LifeId]:
        """Returns the incarnations that are known to have crashed on a request."""
        if not self.crash_count(digest):
            return set()
        item = self._state.catalog.suspects.get(digest)
        view_lives = () if item is None else item.lives
        return {*view_lives, *self._state.crash_tracker.crashed_lives(digest)}

    def report_clean_run(self, slot_request: SlotRequest) -> None:
        """Reports that a suspect ran to its end without a crash."""
        digest, lives = slot_request.digest, tuple(sorted(slot_request.crashed_lives))
        self._state.crash_tracker.forget_suspect(digest)
        self._state.control_requests.notify(
            lambda sequence: SuspectCleared(sequence, digest, lives)
        )

    async def _send_report(
        self, backend: BackendItem, digests: tuple[RequestDigest, ...]
    ) -> None:
        events.log(
            events.Event.BACKEND_CRASHED,
            backend=backend.name,
            life_id=backend.life_id,
            requests_count=len(digests),
        )
        done, recorded = self._reports[backend.life_id]
        try:
            answer = await self._state.control_requests.request_until_decided(
                lambda sequence: CrashReport(
                    sequence, backend.name, backend.life_id, digests
                ),
                _is_recorded,
                CONTROL_TIMEOUT_MS,
            )
            if answer is not None:
                recorded.append(True)
                counts = answer.crash_counts
                now_ms = timers.now_ms()
                life_id = backend.life_id
                self._state.crash_tracker.record_crash_counts(
                    life_id, digests, counts, now_ms
                )
        finally:
            done.set()


def _is_recorded(answer: object) -> bool:
    return isinstance(answer, CrashAnswer) and answer.recorded
