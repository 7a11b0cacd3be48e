"""Tracks, at one entry, which requests may crash backend servers.

A suspect is a request that was running on a backend server when it crashed. An
incarnation is one run of a backend server's process, from start to exit.
"""

import dataclasses
import hashlib
from collections.abc import Collection

from cassiapitch.types import LifeId, RequestDigest

QUARANTINE_CRASHES_COUNT = 2
RECORD_LIFETIME_MS = 600_000
# How long an incarnation counts as crashed. The control group removes a silent backend
# server after this time. If the view then still shows the incarnation as serving, it
# did not crash but was unreachable from this entry for a while.
CRASH_MEMORY_MS = 10_000


@dataclasses.dataclass(slots=True)
class _CrashRecord:
    """Reported crashes that happened while one request was running."""

    crash_count: int
    lives: frozenset[LifeId]
    until_ms: int


class CrashTracker:
    """Requests in flight by incarnation, and those that were in flight in a crash."""

    def __init__(self) -> None:
        self._in_flight: dict[LifeId, dict[RequestDigest, int]] = {}
        # Requests in flight that have begun to be answered.
        self._begun: dict[LifeId, dict[RequestDigest, int]] = {}
        self._suspects_by_life: dict[LifeId, set[RequestDigest]] = {}
        self._records: dict[RequestDigest, _CrashRecord] = {}
        self._crashed_at_ms: dict[LifeId, int] = {}

    def request_started(
        self, life_id: LifeId, digest: RequestDigest, suspect: bool
    ) -> None:
        """Adds a request that runs on an incarnation of a backend server."""
        counts = self._in_flight.setdefault(life_id, {})
        counts[digest] = counts.get(digest, 0) + 1
        if suspect:
            self._suspects_by_life.setdefault(life_id, set()).add(digest)

    def request_begun(self, life_id: LifeId, digest: RequestDigest) -> None:
        """Clears a request of a later crash: backend servers crash as they begin it."""
        counts = self._begun.setdefault(life_id, {})
        counts[digest] = counts.get(digest, 0) + 1
        self._remove_in_flight(life_id, digest)

    def request_ended(self, life_id: LifeId, digest: RequestDigest) -> None:
        """Removes a request that ran on an incarnation of a backend server."""
        begun = self._begun.get(life_id, {})
        if digest not in begun:
            self._remove_in_flight(life_id, digest)
            return
        begun[digest] -= 1
        if not begun[digest]:
            del begun[digest]
        if not begun:
            del self._begun[life_id]

    def _remove_in_flight(self, life_id: LifeId, digest: RequestDigest) -> None:
        counts = self._in_flight.get(life_id, {})
        counts[digest] = counts.get(digest, 0) - 1
        if counts[digest] > 0:
            return
        counts.pop(digest)
        self._suspects_by_life.get(life_id, set()).discard(digest)
        if not counts:
            self._in_flight.pop(life_id, None)
            self._suspects_by_life.pop(life_id, None)

    def record_crash(
        self, life_id: LifeId, now_ms: int
    ) -> tuple[RequestDigest, ...] | None:
        """Records a crash; returns the digests to report, or None if it was known."""
        if self.has_crashed(life_id, now_ms):
            return None
        self._crashed_at_ms[life_id] = now_ms
        return tuple(self._in_flight.get(life_id, {}))

    def has_crashed(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether this entry saw the incarnation crash recently."""
        at_ms = self._crashed_at_ms.get(life_id)
        return at_ms is not None and now_ms - at_ms < CRASH_MEMORY_MS

    def record_crash_counts(
        self,
        life_id: LifeId,
        digests: Collection[RequestDigest],
        crash_counts: Collection[int],
        now_ms: int,
    ) -> None:
        """Records the crash counts in the reply to a crash report."""
        for digest, count in zip(digests, crash_counts, strict=False):
            record = self._records.get(digest)
            earlier_lives = frozenset() if record is None else record.lives
            self._records[digest] = _CrashRecord(
                count, earlier_lives | {life_id}, now_ms + RECORD_LIFETIME_MS
            )

    def forget_suspect(self, digest: RequestDigest) -> None:
        """Removes the record of a request that ran to its end."""
        self._records.pop(digest, None)

    def crash_count(self, digest: RequestDigest, view_count: int, now_ms: int) -> int:
        """Returns the crashes of a request known here or, if more, in the view."""
        record = self._records.get(digest)
        if record is not None and now_ms >= record.until_ms:
            del self._records[digest]
            record = None
        return max(view_count, 0 if record is None else record.crash_count)

    def crashed_lives(self, digest: RequestDigest) -> frozenset[LifeId]:
        """Returns the incarnations whose crash on a request this entry reported."""
        record = self._records.get(digest)
        return frozenset() if record is None else record.lives

    def may_run_suspect(self, life_id: LifeId, digest: RequestDigest) -> bool:
        """Returns whether no other suspect runs on an incarnation.

        With two suspects on it, a crash would count against both, and a harmless one
        would be quarantined too.
        """
        return not (self._suspects_by_life.get(life_id, set()) - {digest})

    @staticmethod
    def suspect_rank(
        life_id: LifeId, digest: RequestDigest, denied_count: int = 0
    ) -> bytes:
        """Returns an incarnation's rank for a suspect; the highest rank is preferred.

        Rendezvous hashing: all entries compute the same ranks without messages. The
        same suspect at several entries thus goes to the same backend server, and
        different suspects mostly go to different ones. Each denied claim changes the
        ranks, so that a suspect doesn't wait for a backend server that stays claimed.
        """
        text = f"{digest} {life_id} {denied_count}"
        return hashlib.sha256(text.encode()).digest()

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Removes crashes of incarnations that are no longer in the view."""
        for life_id in [key for key in self._crashed_at_ms if key not in life_ids]:
            del self._crashed_at_ms[life_id]
