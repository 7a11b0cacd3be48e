"""Handles heartbeats and departures of backend servers at any control member.

An ordinary heartbeat is forwarded to the leader without waiting for a commit. A message
that takes a backend server out of service is acknowledged only after it is committed to
the log, since the backend server relies on it from then on.
"""

from collections.abc import Awaitable, Callable

import anyio

from cassiapitch import events, group, metrics
from cassiapitch.announcements import Announcement
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BackendMark,
    FleetResult,
    MarkBackends,
    ReportBackends,
)
from cassiapitch.group import Applied, ControlGroup
from cassiapitch.types import BackendName

# Below the 1 s after which a backend server tries another member.
COMMIT_TIMEOUT_MS = 800

Deliver = Callable[[Announcement], Awaitable[bool]]


class Registrations:
    """Handler of heartbeats and departures at one control member."""

    def __init__(self, member: ControlGroup, fleet: Fleet, deliver: Deliver) -> None:
        """Creates the handler.

        Args:
            member: This control member.
            fleet: Its replicated state of backend servers.
            deliver: Forwards an announcement to the leader; returns False if there is
                no leader.
        """
        self._member = member
        self._fleet = fleet
        self._deliver = deliver

    async def heartbeat(self, announcement: Announcement) -> bool:
        """Processes a heartbeat; returns whether it may be acknowledged."""
        can_acknowledge = await self._process_heartbeat(announcement)
        metrics.HEARTBEATS.inc(str(can_acknowledge).lower())
        return can_acknowledge

    async def _process_heartbeat(self, announcement: Announcement) -> bool:
        if not announcement.leaving or self._is_known_as_leaving(announcement):
            return await self._deliver(announcement)
        command = ReportBackends(self._fleet.term, (announcement,))
        is_recorded = await self._commit(command)
        events.log(
            events.Event.BACKEND_LEAVES,
            name=announcement.name,
            life_id=announcement.life_id,
            is_recorded=is_recorded,
        )
        return is_recorded

    async def depart(self, name: BackendName) -> bool:
        """Removes a backend server that has stopped.

        Returns:
            Whether the removal is committed, or the server is unknown to the current
            state; then the message may be acknowledged.
        """
        incarnation = self._fleet.lives.get(name)
        if incarnation is None and not await self._confirm_state_is_current():
            return False
        incarnation = self._fleet.lives.get(name)
        if incarnation is None:
            return True
        mark = BackendMark(name, incarnation.life_id, "replaced")
        is_recorded = await self._commit(MarkBackends(self._fleet.term, (mark,)))
        events.log(
            events.Event.BACKEND_DEPARTED,
            name=name,
            life_id=incarnation.life_id,
            is_recorded=is_recorded,
        )
        return is_recorded

    async def _confirm_state_is_current(self) -> bool:
        return await group.read_index(self._member, COMMIT_TIMEOUT_MS) is not None

    def _is_known_as_leaving(self, announcement: Announcement) -> bool:
        incarnation = self._fleet.lives.get(announcement.name)
        return (
            incarnation is not None
            and incarnation.life_id == announcement.life_id
            and incarnation.state == "leaving"
        )

    async def _commit(self, command: ReportBackends | MarkBackends) -> bool:
        with anyio.move_on_after(COMMIT_TIMEOUT_MS / 1000):
            outcome = await group.propose(self._member, command, COMMIT_TIMEOUT_MS)
            return (
                isinstance(outcome, Applied)
                and isinstance(outcome.result, FleetResult)
                and not outcome.result.refused
            )
        return False
