"""Finds out whether a backend server crashed, and reports it."""

import enum

import anyio

from cassiapitch import events, timers
from cassiapitch.calls import refused
from cassiapitch.entrystate import EntryState
from cassiapitch.messages import BackendItem, CrashAnswer, CrashReport, SuspectCleared
from cassiapitch.outcomes import ErrorKind
from cassiapitch.scheduler import Wanted
from cassiapitch.suspicion import QUARANTINE_CRASHES_COUNT
from cassiapitch.types import LifeId, RequestDigest

REPORT_LIMIT_MS = 3_000


class Verdict(enum.Enum):
    """What becomes of a request that was running in a crash."""

    RETRY = "retry"
    QUARANTINED = "quarantined"
    UNRECORDED = "unrecorded"


class Crashes:
    """Reports each crash once and lets every affected request wait for it."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._reported: dict[LifeId, tuple[anyio.Event, list[bool]]] = {}

    async def report(self, backend: BackendItem, digest: RequestDigest) -> Verdict:
        """Reports that `backend` crashed while `digest` ran on it.

        A request is run again only once the report is recorded, since the next
        crash must be recognised as its second, whoever retries it.
        """
        life_id = backend.life_id
        digests = self._state.suspicion.crashed(life_id, timers.now_ms())
        if digests is not None:
            self._reported[life_id] = (anyio.Event(), [])
            digests = digests if digest in digests else (*digests, digest)
            self._state.start_background(self._send, backend, digests)
        # A report of this life that ended before is in the log already.
        done, recorded = self._reported[life_id]
        await done.wait()
        if not recorded:
            return Verdict.UNRECORDED
        if self.crash_count(digest) >= QUARANTINE_CRASHES_COUNT:
            return Verdict.QUARANTINED
        return Verdict.RETRY

    async def admit_suspect(self, digest: RequestDigest) -> None:
        """Lets a suspect run only on a view that was confirmed after this call.

        The caller of a request that was just quarantined may repeat it at once
        through another entry, whose view doesn't show the second crash yet.

        Raises:
            CallRefusedError: It is quarantined, or nobody confirmed the view.
        """
        if not self.crash_count(digest):
            return
        if not await self._state.wait_confirmed_since(timers.now_ms()):
            raise refused(ErrorKind.AUTHORIZATION_UNCONFIRMED)
        if self.crash_count(digest) >= QUARANTINE_CRASHES_COUNT:
            raise refused(ErrorKind.REQUEST_QUARANTINED)

    def crash_count(self, digest: RequestDigest) -> int:
        """Returns the known crashes under a digest."""
        item = self._state.catalog.suspects.get(digest)
        in_view = 0 if item is None else item.crash_count
        return self._state.suspicion.crash_count(digest, in_view, timers.now_ms())

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
        return {*in_view, *self._state.suspicion.crashed_lives(digest)}

    def ran_clean(self, wanted: Wanted) -> None:
        """Says that a suspect ran to its end."""
        digest, lives = wanted.digest, tuple(sorted(wanted.crashed_lives))
        self._state.suspicion.cleared(digest)
        self._state.asks.tell(lambda sequence: SuspectCleared(sequence, digest, lives))

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
            answer = await self._state.asks.ask(
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
                self._state.suspicion.recorded(life_id, digests, counts, now_ms)
        finally:
            done.set()


def _is_recorded(answer: object) -> bool:
    return isinstance(answer, CrashAnswer) and answer.recorded
