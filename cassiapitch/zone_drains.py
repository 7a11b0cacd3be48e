"""Orders to drain availability zones, and their withdrawal, at a control member.

No further requests are sent to the backend servers of a drained zone. The orders are
replicated state (`fleet.Fleet.drained_zones`), and entries see them as the state of the
backend servers in their view.
"""

import enum
from collections.abc import Callable, Collection

from cassiapitch import events, group, metrics
from cassiapitch.fleet_commands import SetZoneDrain, ZoneDrainSet
from cassiapitch.group import Applied, ControlGroup, NoLeader
from cassiapitch.group_size import GroupSize
from cassiapitch.replicated import ReplicatedState

# Below the caller's timeout of one second. A proposal that times out may still be
# committed; the caller then repeats its request.
PROPOSE_TIMEOUT_MS = 900
READ_TIMEOUT_MS = 800
# Longer names are cut off in the log, since callers choose them.
LOGGED_ZONE_LENGTH = 64


class DrainResult(enum.Enum):
    """Result of a request to drain a zone or to withdraw the order."""

    DONE = "done"
    UNKNOWN_ZONE = "unknown_zone"
    UNCERTAIN = "uncertain"


class ZoneDrains:
    """Interface to the replicated zone drains at one control member."""

    def __init__(
        self,
        member: ControlGroup,
        state: ReplicatedState,
        known_zones: Callable[[], Collection[str]],
        tolerated_faults_count: int,
        now_ms: Callable[[], int],
    ) -> None:
        """Initializes the interface.

        Args:
            member: This control member.
            state: The member's replicated state.
            known_zones: Returns the zones of the deployment.
            tolerated_faults_count: Members that may be lost at once.
            now_ms: The clock.
        """
        self._member = member
        self._state = state
        self._known_zones = known_zones
        self._group_size = GroupSize(member, tolerated_faults_count, now_ms)

    async def set_drained(
        self, zone: str, is_drained: bool, author: str
    ) -> DrainResult:
        """Drains a zone or withdraws the order; both may be repeated.

        Args:
            zone: The availability zone.
            is_drained: True to drain it, False to withdraw the order.
            author: Who ordered it.

        Returns:
            `DONE` once the change is committed by a group of full size; `UNCERTAIN`
            if it may or may not come into force.
        """
        result, reason = await self._set_drained(zone, is_drained, author)
        metrics.ZONE_DRAINS.inc("drain" if is_drained else "withdraw", result.value)
        events.log(
            events.Event.ZONE_DRAIN_ANSWERED,
            zone=zone[:LOGGED_ZONE_LENGTH],
            is_drained=is_drained,
            author=author,
            result=result.value,
            reason=reason,
            index=self._state.index,
        )
        return result

    async def _set_drained(
        self, zone: str, is_drained: bool, author: str
    ) -> tuple[DrainResult, str]:
        if not self._is_known(zone):
            # This member may have missed the zone's backend servers, or the order.
            if await group.read_index(self._member, READ_TIMEOUT_MS) is None:
                return DrainResult.UNCERTAIN, "no quorum confirmed the state"
            if not self._is_known(zone):
                return DrainResult.UNKNOWN_ZONE, "no such zone"
        if not self._group_size.is_complete():
            return DrainResult.UNCERTAIN, "the control group is still growing"
        command = SetZoneDrain(zone, is_drained, author)
        applied = await group.propose(self._member, command, PROPOSE_TIMEOUT_MS)
        if isinstance(applied, Applied):
            if isinstance(applied.result, ZoneDrainSet):
                return DrainResult.DONE, ""
            # The leader's build may be older than this one.
            reason = f"unexpected {type(applied.result).__name__}"
            return DrainResult.UNCERTAIN, reason
        reason = "no leader" if isinstance(applied, NoLeader) else "no answer in time"
        return DrainResult.UNCERTAIN, reason

    def _is_known(self, zone: str) -> bool:
        """Tells whether a zone exists; one that is drained does."""
        return zone in self._state.drained_zones or zone in self._known_zones()
