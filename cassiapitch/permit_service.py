"""Answers entries' asks for permits while this member leads and holds the lease."""

from collections.abc import Callable
from typing import Any

from cassiapitch import group, permit_schedule
from cassiapitch.group import ControlGroup
from cassiapitch.limit_messages import PermitAsk, RelayedPermits
from cassiapitch.permit_schedule import PermitSchedule
from cassiapitch.viewitems import BackendLimit

FindLimit = Callable[[str, str], BackendLimit | None]


class PermitService:
    """The permit schedule of the current term."""

    def __init__(
        self, member: ControlGroup, find_limit: FindLimit, now_ms: Callable[[], int]
    ) -> None:
        """Creates the service.

        Args:
            member: This control member.
            find_limit: Returns the limit of a backend server's incarnation, by name
                and life id.
            now_ms: Returns the current time.
        """
        self._member = member
        self._find_limit = find_limit
        self._now_ms = now_ms
        self._schedule: PermitSchedule | None = None

    def ask(self, ask: PermitAsk, reply: Callable[[Any], None]) -> None:
        """Answers an ask; drops it unless this member leads and holds the lease."""
        now_ms = self._now_ms()
        if not group.is_leader(self._member) or not self._member.has_lease(now_ms):
            return
        term = self._member.status().term
        if self._schedule is None or self._schedule.term != term:
            self._schedule = permit_schedule.start(term, now_ms)
        limits = {
            request.life_id: self._find_limit(request.name, request.life_id)
            for request in ask.requests
        }
        answer = permit_schedule.answer(self._schedule, ask, limits, now_ms)
        reply(RelayedPermits(ask.entry, ask.life_id, answer))

    def describe(self) -> dict[str, Any]:
        """Returns the queues at limited backend servers for the dump."""
        if self._schedule is None:
            return {}
        return {
            life_id: {
                "next_free_in_ms": int(queue.next_free_ms) - self._now_ms(),
                "waiting_count": len(queue.queued),
            }
            for life_id, queue in self._schedule.queues.items()
        }
