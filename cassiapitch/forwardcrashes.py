"""Crashes of backend servers under forwarded requests, and what follows from them."""

from cassiapitch import events
from cassiapitch.backend_paths import Verdict
from cassiapitch.crash_containment import CrashContainment, CrashVerdict
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardtypes import ForwardCall, RefusedError
from cassiapitch.part_reports import PartReports
from cassiapitch.slots import Slot

# A running backend server accepts a connection within a few network round trips.
CRASH_PROBE_MS = 400


class ForwardCrashes:
    """Tracks the attempts of one entry, and reports backend servers that crash."""

    def __init__(self, state: EntryState, crash_containment: CrashContainment) -> None:
        self._state = state
        self._crash_containment = crash_containment
        self._part_reports = PartReports(state)

    def refuse_harmful(self, call: ForwardCall) -> None:
        """Refuses a request with a part that crashes backend servers.

        Raises:
            RefusedError: It has such a part.
        """
        if self._part_reports.is_refused(call.shared_parts):
            raise RefusedError(ErrorKind.REQUEST_QUARANTINED)

    def attempt_started(self, call: ForwardCall, slot: Slot) -> None:
        """Records that a request is about to be sent."""
        call.part_run = self._part_reports.attempt_started(
            slot.backend, call.shared_parts
        )
        call.has_attempt_begun = False

    def answer_begun(self, call: ForwardCall, slot: Slot) -> None:
        """Records that the backend server has begun to answer the request.

        It crashes as it begins, so the request isn't the cause of a later crash.
        """
        call.has_attempt_begun = True
        call.versions.append(slot.backend.software_version)
        self._part_reports.attempt_ended(call.part_run)
        self._state.crash_tracker.request_begun(
            slot.backend.life_id, slot.slot_request.digest
        )

    def attempt_answered(self, call: ForwardCall) -> None:
        """Records that the request was served to its end."""
        self._part_reports.attempt_answered(call.part_run)

    def attempt_broke(self, call: ForwardCall) -> None:
        """Records that the exchange failed, maybe because of a crash."""
        self._part_reports.attempt_broke(call.part_run)

    def attempt_ended(self, call: ForwardCall) -> None:
        """Records the end of an attempt, however it ended."""
        self._part_reports.attempt_ended(call.part_run)

    async def report_if_crashed(self, call: ForwardCall, slot: Slot) -> bool:
        """Reports a backend server that accepts no connection as crashed.

        Returns:
            Whether the request must not be sent again, since it may crash another one.
        """
        backend = slot.backend
        paths = self._state.backend_paths
        try:
            stream = await paths.connect(backend, CRASH_PROBE_MS)
        except OSError:
            self._state.report_unreachable(backend)
            if await paths.inquire(backend) is not Verdict.GONE:
                return False
            refused_parts = await self._part_reports.report_crash(backend.life_id)
            digest = None if call.has_attempt_begun else slot.slot_request.digest
            verdict = await self._crash_containment.report(backend, digest)
            if not refused_parts.isdisjoint(call.shared_parts):
                verdict = CrashVerdict.QUARANTINED
            events.log(
                events.Event.BACKEND_CRASHED,
                name=backend.name,
                life_id=backend.life_id,
                verdict=verdict.value,
            )
            return verdict is CrashVerdict.QUARANTINED
        stream.abort()
        self._part_reports.backend_still_runs(backend.life_id)
        return False
