"""Speed at which engines of each role process prompts, as the leader knows it.

The leader tells all members, so that the next leader knows the speeds at once. Without
them, the paces of a new term began 3.4 s into it.
"""

from collections.abc import Mapping

from cassiapitch.load_messages import KnownSpeed

# A speed of an earlier leader that was measured longer ago isn't used: the engines may
# have been replaced since.
VALID_MS = 60_000

# Time between two messages with speeds. A follower that misses one has older speeds,
# and knows their age.
SHARE_PERIOD_MS = 5_000

# By role: prompt tokens per millisecond, and the time of the measurement.
Speeds = Mapping[str, tuple[float, int]]


class RoleSpeeds:
    """Prompt tokens per millisecond that an engine processes, by role."""

    def __init__(self, earlier: Speeds | None = None) -> None:
        """Starts a term.

        Args:
            earlier: What earlier leaders measured.
        """
        self._earlier = dict(earlier or {})
        self._measured: dict[str, tuple[float, int]] = {}
        self._shared_ms: int | None = None

    def record(self, speeds: Speeds) -> None:
        """Records speeds that were measured in this term from all entries' reports."""
        self._measured.update(speeds)

    def tokens_per_ms(self, role: str, now_ms: int) -> float | None:
        """Returns the speed of an engine; None if it isn't known."""
        if role in self._measured:
            return self._measured[role][0]
        return self.earlier(now_ms).get(role)

    def earlier(self, now_ms: int) -> dict[str, float]:
        """Returns the speeds by earlier leaders that are not too old."""
        return {
            role: tokens_per_ms
            for role, (tokens_per_ms, measured_ms) in self._earlier.items()
            if now_ms - measured_ms <= VALID_MS
        }

    def next_message(self, now_ms: int) -> tuple[KnownSpeed, ...]:
        """Returns the speeds for the other members, or nothing while none are due."""
        if self._shared_ms is not None and now_ms - self._shared_ms < SHARE_PERIOD_MS:
            return ()
        self._shared_ms = now_ms
        return tuple(
            KnownSpeed(role, tokens_per_ms, max(0, now_ms - measured_ms))
            for role, (tokens_per_ms, measured_ms) in sorted(
                {**self._earlier, **self._measured}.items()
            )
            if now_ms - measured_ms <= VALID_MS
        )
