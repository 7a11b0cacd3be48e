"""Decides how requests that may crash backend servers are contained."""

import dataclasses
import hashlib
from collections.abc import Collection

from cassiapitch.types import LifeId, RequestDigest

QUARANTINE_CRASHES_COUNT = 2
FORGET_MS = 600_000
# The control group takes a silent backend server out after this time. A life that
# it still shows as serving then was cut off from here for a while, not ended.
CRASHED_MS = 10_000


@dataclasses.dataclass(slots=True)
class _Known:
    crash_count: int
    lives: frozenset[LifeId]
    until_ms: int


class CrashTracker:
    """Digests in flight on each life, and digests that were in flight in a crash."""

    def __init__(self) -> None:
        self._in_flight: dict[LifeId, dict[RequestDigest, int]] = {}
        self._suspects_on: dict[LifeId, set[RequestDigest]] = {}
        self._known: dict[RequestDigest, _Known] = {}
        self._crashed: dict[LifeId, int] = {}

    def started(self, life_id: LifeId, digest: RequestDigest, suspect: bool) -> None:
        """Counts a request as running on a life of a backend server."""
        counts = self._in_flight.setdefault(life_id, {})
        counts[digest] = counts.get(digest, 0) + 1
        if suspect:
            self._suspects_on.setdefault(life_id, set()).add(digest)

    def ended(self, life_id: LifeId, digest: RequestDigest) -> None:
        """Counts a request as no longer running there."""
        counts = self._in_flight.get(life_id, {})
        counts[digest] = counts.get(digest, 0) - 1
        if counts[digest] > 0:
            return
        counts.pop(digest)
        self._suspects_on.get(life_id, set()).discard(digest)
        if not counts:
            self._in_flight.pop(life_id, None)
            self._suspects_on.pop(life_id, None)

    def crashed(self, life_id: LifeId, now_ms: int) -> tuple[RequestDigest, ...] | None:
        """Returns the digests to report for a crash, or None if it is known."""
        if self.has_crashed(life_id, now_ms):
            return None
        self._crashed[life_id] = now_ms
        return tuple(self._in_flight.get(life_id, {}))

    def has_crashed(self, life_id: LifeId, now_ms: int) -> bool:
        """Tells whether this entry saw the life crash a short while ago."""
        at_ms = self._crashed.get(life_id)
        return at_ms is not None and now_ms - at_ms < CRASHED_MS

    def recorded(
        self,
        life_id: LifeId,
        digests: Collection[RequestDigest],
        crash_counts: Collection[int],
        now_ms: int,
    ) -> None:
        """Takes the answer to the report that a life crashed."""
        for digest, count in zip(digests, crash_counts, strict=False):
            known = self._known.get(digest)
            earlier = frozenset() if known is None else known.lives
            self._known[digest] = _Known(count, earlier | {life_id}, now_ms + FORGET_MS)

    def cleared(self, digest: RequestDigest) -> None:
        """Forgets a digest that ran to its end."""
        self._known.pop(digest, None)

    def crash_count(
        self, digest: RequestDigest, in_view_count: int, now_ms: int
    ) -> int:
        """Returns the known crashes under a digest, here and in the view."""
        known = self._known.get(digest)
        if known is not None and now_ms >= known.until_ms:
            del self._known[digest]
            known = None
        return max(in_view_count, 0 if known is None else known.crash_count)

    def crashed_lives(self, digest: RequestDigest) -> frozenset[LifeId]:
        """Returns the lives whose crash under a digest was reported from here."""
        known = self._known.get(digest)
        return frozenset() if known is None else known.lives

    def may_run_suspect(self, life_id: LifeId, digest: RequestDigest) -> bool:
        """Tells whether no other suspect runs on a life of a backend server.

        With two suspects on it, a crash would count against both, and the one
        that is harmless would be quarantined too.
        """
        return not (self._suspects_on.get(life_id, set()) - {digest})

    @staticmethod
    def preference(
        life_id: LifeId, digest: RequestDigest, denied_count: int = 0
    ) -> bytes:
        """Returns the rank of a life for a suspect; the highest one is preferred.

        Rendezvous hashing: every entry ranks alike without a message, so that one
        suspect runs on one backend server even if several entries have it, and
        different suspects mostly run on different ones. Each denied claim changes
        the rank, so that a suspect doesn't wait for one that stays taken.
        """
        text = f"{digest} {life_id} {denied_count}"
        return hashlib.sha256(text.encode()).digest()

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Forgets crashes of lives that the view no longer holds."""
        for life_id in [key for key in self._crashed if key not in life_ids]:
            del self._crashed[life_id]
