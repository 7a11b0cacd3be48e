"""Selects the announcements of backend servers that the log has to record.

Runs on the leader. Drops late announcements, and those that change nothing.
"""

import dataclasses

from cassiapitch import backends
from cassiapitch.announcements import Announcement
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import ReportBackends

# Limits the announcements in one command, so that it stays under 1 MiB.
ANNOUNCEMENTS_PER_COMMAND = 256

# Announcements are ignored for this long after a backend server was found to refuse
# connections, since they may have been sent before.
REFUSED_IGNORE_MS = 1_000


class AnnouncementIntake:
    """Announcements of one term: when they came, which are pending or proposed."""

    def __init__(self, fleet: Fleet, term: int, now_ms: int) -> None:
        """Starts without announcements.

        Args:
            fleet: The replicated state, read only.
            term: The term.
            now_ms: The current time, the start of the term.
        """
        self._fleet = fleet
        self._term = term
        self._term_start_ms = now_ms
        # The keys of these tables are life ids unless a comment says otherwise.
        self._last_heard_ms: dict[str, int] = {}
        self._last_sequences: dict[str, int] = {}
        self._proposed: dict[str, Announcement] = {}
        # By name of the backend server.
        self._pending: dict[str, Announcement] = {}
        # Incarnations whose HTTP responses said that they are leaving. It overrides
        # their heartbeats.
        self._leaving: set[str] = set()
        self._ignored_until_ms: dict[str, int] = {}

    def accept(self, announcement: Announcement, now_ms: int) -> bool:
        """Records when an announcement came; returns whether it counts."""
        life_id = announcement.life_id
        if self._fleet.is_ended(life_id):
            return False
        last_sequence = self._last_sequences.get(life_id, 0)
        if announcement.sequence and announcement.sequence <= last_sequence:
            return False
        if self._is_from_earlier_incarnation(announcement, now_ms):
            return False
        self._last_sequences[life_id] = announcement.sequence
        if now_ms < self._ignored_until_ms.get(life_id, 0):
            return False
        self._last_heard_ms[life_id] = now_ms
        return True

    def put(self, announcement: Announcement) -> None:
        """Keeps an accepted announcement if it would change the replicated state."""
        is_leaving = announcement.leaving or announcement.life_id in self._leaving
        without_load = dataclasses.replace(
            announcement,
            leaving=is_leaving,
            running_count=0,
            waiting_count=0,
            cached_prefixes=(),
            cold_remaining_ms=self._recorded_cold_ms(announcement),
        )
        if self._changes_state(without_load):
            self._pending[announcement.name] = without_load

    def has_pending(self) -> bool:
        """Returns whether any announcement would change the replicated state."""
        return bool(self._pending)

    def forget_proposed(self) -> None:
        """Forgets proposed announcements, so that later ones are proposed again."""
        self._proposed = {}

    def mark_leaving(self, life_id: str) -> None:
        """Records that an HTTP response of an incarnation said that it is leaving."""
        self._leaving.add(life_id)

    def ignore_for_now(self, life_id: str, now_ms: int) -> None:
        """Ignores the announcements of an incarnation that refuses connections."""
        self._ignored_until_ms[life_id] = now_ms + REFUSED_IGNORE_MS

    def heard_ms(self, life_id: str) -> int:
        """Returns when an incarnation was last heard, or else the term's start."""
        return self._last_heard_ms.get(life_id, self._term_start_ms)

    def forget_ended(self) -> None:
        """Forgets incarnations that have ended."""
        tables = (
            self._last_heard_ms,
            self._last_sequences,
            self._proposed,
            self._ignored_until_ms,
        )
        for table in tables:
            for life_id in [key for key in table if self._fleet.is_ended(key)]:
                del table[life_id]
        self._leaving = {
            life_id for life_id in self._leaving if not self._fleet.is_ended(life_id)
        }

    def take_commands(self) -> list[ReportBackends]:
        """Returns the commands for what is pending, which then counts as proposed."""
        pending = []
        for announcement in self._pending.values():
            self._proposed[announcement.life_id] = announcement
            incarnation = self._fleet.lives.get(announcement.name)
            open_ids = {} if incarnation is None else incarnation.ledger.orders
            settled = [
                item for item in announcement.settled if item.order_id in open_ids
            ]
            pending.append(dataclasses.replace(announcement, settled=tuple(settled)))
        self._pending = {}
        return [
            ReportBackends(
                self._term, tuple(pending[start : start + ANNOUNCEMENTS_PER_COMMAND])
            )
            for start in range(0, len(pending), ANNOUNCEMENTS_PER_COMMAND)
        ]

    def _is_from_earlier_incarnation(
        self, announcement: Announcement, now_ms: int
    ) -> bool:
        """Returns whether an announcement is a late one of an earlier incarnation.

        Start times decide if both incarnations have them. Otherwise: a member relays an
        announcement within a second or drops it. So while the known incarnation is
        heard from, an announcement of another one is late and from an earlier run.
        After two seconds of silence it must be from a later run.
        """
        incarnation = self._fleet.lives.get(announcement.name)
        if incarnation is None or incarnation.life_id == announcement.life_id:
            return False
        if announcement.started_ms and incarnation.started_ms:
            return announcement.started_ms < incarnation.started_ms
        heard_ms = self.heard_ms(incarnation.life_id)
        return now_ms - heard_ms < backends.SUSPECT_AFTER_MS

    def _changes_state(self, announcement: Announcement) -> bool:
        """Returns whether an announcement would change the replicated state."""
        incarnation = self._fleet.lives.get(announcement.name)
        if incarnation is None or incarnation.life_id != announcement.life_id:
            return True
        if incarnation.is_cold != (announcement.cold_remaining_ms > 0):
            # Also differs from a proposed one once the fleet has assumed it is cold.
            return True
        proposed = self._proposed.get(announcement.life_id)
        open_ids = incarnation.ledger.orders
        if any(item.order_id in open_ids for item in announcement.settled):
            return True
        is_role_known = announcement.role in self._fleet.catalog.roles
        event = backends.announcement_event(
            incarnation.state, leaving=announcement.leaving, is_role_known=is_role_known
        )
        return event is not None or _differs(announcement, proposed)

    def _recorded_cold_ms(self, announcement: Announcement) -> int:
        """Returns 1 for a cold backend server that needs a limit, otherwise 0.

        The log needs no more, and each further number would be another log entry.
        """
        role = self._fleet.catalog.roles.get(announcement.role)
        if role is None or not role.cold_requests_per_s:
            return 0
        return min(1, announcement.cold_remaining_ms)


def _differs(announcement: Announcement, proposed: Announcement | None) -> bool:
    """Returns whether anything but sequence and settled orders differs."""
    if proposed is None:
        return True
    comparable = dataclasses.replace(
        announcement, sequence=proposed.sequence, settled=proposed.settled
    )
    return comparable != proposed
