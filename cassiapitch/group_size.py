"""Tells whether the control group has its full number of voters."""

from collections.abc import Callable

from cassiapitch import admission
from cassiapitch.group import ControlGroup

# Operators' changes are accepted only by a group with its full number of voters, so
# that they survive the loss of the tolerated number of members. A group that stays
# smaller for this long accepts them too.
GROWTH_TIMEOUT_MS = 8_000


class GroupSize:
    """Checks the size of the group that one control member belongs to."""

    def __init__(
        self,
        member: ControlGroup,
        tolerated_faults_count: int,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the check.

        Args:
            member: This control member.
            tolerated_faults_count: Members that may be lost at once.
            now_ms: The clock.
        """
        self._member = member
        self._required_voters_count = admission.required_voters_count(
            tolerated_faults_count
        )
        self._now_ms = now_ms
        self._formed_ms: int | None = None

    def is_complete(self) -> bool:
        """Tells whether the group has its full size or has had time to reach it."""
        voters = [member for member in self._member.status().members if member.voter]
        if not voters:
            return False
        if self._formed_ms is None:
            self._formed_ms = self._now_ms()
        is_late = self._now_ms() - self._formed_ms >= GROWTH_TIMEOUT_MS
        return len(voters) >= self._required_voters_count or is_late
