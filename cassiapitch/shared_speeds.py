"""Speeds of backend servers as an entry has them from the leader."""

import dataclasses
from collections.abc import Iterable

from cassiapitch import speed_records
from cassiapitch.load_report_queue import life_tag
from cassiapitch.speed_records import NEUTRAL, RoleSpeed, ServerSpeed
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# The leader repeats each value within 3 s, so that one lost message ends no value, and
# a leader change of a few seconds doesn't either.
SPEED_LIFETIME_MS = 6_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Tags:
    role: int
    life: int


class SharedSpeeds:
    """Speeds of roles and of incarnations that deviate from them, with their age."""

    def __init__(self) -> None:
        self._tags: dict[LifeId, _Tags] = {}
        # By tag, with the time until which the value is used.
        self._roles: dict[int, tuple[RoleSpeed, int]] = {}
        self._servers: dict[int, tuple[ServerSpeed, int]] = {}

    def apply(
        self, content: bytes, backends: Iterable[BackendItem], now_ms: int
    ) -> None:
        """Records what the leader sent; does nothing if it sent no speeds."""
        if not content:
            return
        tags: dict[LifeId, _Tags] = {}
        for backend in backends:
            tags[backend.life_id] = self._tags.get(backend.life_id) or _Tags(
                life_tag(backend.role), life_tag(backend.life_id)
            )
        self._tags = tags
        until_ms = now_ms + SPEED_LIFETIME_MS
        records = speed_records.unpack(content)
        self._roles = {
            tag: value for tag, value in self._roles.items() if value[1] > now_ms
        }
        self._servers = {
            tag: value for tag, value in self._servers.items() if value[1] > now_ms
        }
        for role, role_speed in records.roles.items():
            self._roles[role] = (role_speed, until_ms)
        for server, speed in records.servers.items():
            self._servers[server] = (speed, until_ms)

    def speed(self, life_id: LifeId, now_ms: int) -> ServerSpeed | None:
        """Returns an incarnation's speed; None if the leader says nothing of it."""
        tags = self._tags.get(life_id)
        if tags is None or self._role_speed(tags, now_ms) is None:
            return None
        speed, until_ms = self._servers.get(tags.life, (NEUTRAL, 0))
        return speed if now_ms < until_ms else NEUTRAL

    def tokens_per_ms(self, life_id: LifeId, now_ms: int) -> float | None:
        """Returns an incarnation's prefill speed, or None."""
        tags = self._tags.get(life_id)
        speed = self.speed(life_id, now_ms)
        role = None if tags is None else self._role_speed(tags, now_ms)
        if role is None or speed is None:
            return None
        return role.tokens_per_ms * speed.prefill_ratio or None

    def utilization(self, life_id: LifeId, now_ms: int) -> float:
        """Returns the share of its role's prefill capacity that is asked for."""
        tags = self._tags.get(life_id)
        role = None if tags is None else self._role_speed(tags, now_ms)
        return 0.0 if role is None else role.utilization

    def _role_speed(self, tags: _Tags, now_ms: int) -> RoleSpeed | None:
        role, until_ms = self._roles.get(tags.role, (RoleSpeed(), 0))
        return role if now_ms < until_ms else None
