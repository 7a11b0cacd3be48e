"""The waits at paced engines that the leader has stated to one entry."""

import math
from collections.abc import Container

from cassiapitch.types import LifeId

# How long the wait that the leader stated for a rank is used for further prompts.
WAIT_VALID_MS = 300


class PacedWaits:
    """When further prompts would be sent, by incarnation of the engine and rank."""

    def __init__(self) -> None:
        # Time of the permit, and the time as of which that was stated.
        self._permits_ms: dict[LifeId, dict[int, tuple[int, int]]] = {}
        # The same of late prompts; infinite if they wouldn't be sent.
        self._late_permits_ms: dict[LifeId, dict[int, tuple[float, int]]] = {}
        self._spacings_ms: dict[LifeId, int] = {}

    def forget_unpaced(self, lives: Container[LifeId]) -> None:
        """Forgets the waits at incarnations that aren't paced any more."""
        for known in (self._permits_ms, self._late_permits_ms, self._spacings_ms):
            for life_id in [item for item in known if item not in lives]:
                del known[life_id]

    def note(self, life_id: LifeId, rank: int, permit_ms: int, as_of_ms: int) -> None:
        """Notes when one more prompt of a rank is expected to be sent."""
        self._permits_ms.setdefault(life_id, {})[rank] = (permit_ms, as_of_ms)

    def note_late(
        self, life_id: LifeId, rank: int, wait_ms: int, as_of_ms: int
    ) -> None:
        """Notes the wait of one more late prompt; negative if it wouldn't be sent."""
        permit_ms = math.inf if wait_ms < 0 else as_of_ms + wait_ms
        self._late_permits_ms.setdefault(life_id, {})[rank] = (permit_ms, as_of_ms)

    def note_spacing(self, life_id: LifeId, spacing_ms: int) -> None:
        """Notes the time that a prompt takes."""
        self._spacings_ms[life_id] = spacing_ms

    def is_known(self, life_id: LifeId) -> bool:
        """Returns whether the leader has stated any wait at an incarnation."""
        return life_id in self._permits_ms

    def wait_ms(self, life_id: LifeId, rank: int, now_ms: int) -> int | None:
        """Returns the wait of one more prompt of a rank; None if it isn't known."""
        waits_ms = [
            permit_ms - now_ms
            for other, (permit_ms, as_of_ms) in self._permits_ms.get(
                life_id, {}
            ).items()
            if other <= rank and now_ms - as_of_ms <= WAIT_VALID_MS
        ]
        return max(0, *waits_ms) if waits_ms else None

    def late_wait_ms(self, life_id: LifeId, rank: int, now_ms: int) -> float:
        """Returns the wait of one more late prompt of a rank, 0 if it isn't known."""
        known = self._late_permits_ms.get(life_id, {}).get(rank)
        if known is None or now_ms - known[1] > WAIT_VALID_MS:
            return 0
        return max(0, known[0] - now_ms)

    def spacing_ms(self, life_id: LifeId) -> int:
        """Returns the time that a prompt takes, 0 if unknown."""
        return self._spacings_ms.get(life_id, 0)
