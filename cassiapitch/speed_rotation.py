"""Selects the speeds that the next message to the entries carries."""

import math

from cassiapitch import speed_records
from cassiapitch.speed_observations import RoleObservations, ServerObservations
from cassiapitch.speed_records import NEUTRAL, RoleSpeed, ServerSpeed
from cassiapitch.types import LifeId

# Entries use a value for 6 s, so that all are repeated within half of it.
ROTATION_MS = 3_000
# Values are sent about once a second.
REPEAT_AFTER_MS = ROTATION_MS - 1_000
# Bytes of records in a second, and at most in one message: 58 incarnations that deviate
# from their role's mean, so 174 within the rotation and 348 within the values'
# lifetime.
RECORDS_LIMIT_BYTES = 420
# A change by a tenth is sent at once.
CHANGED_RATIO = 1.1


class SpeedRotation:
    """Bytes that are left for speeds, and when those of roles were last sent."""

    def __init__(self) -> None:
        # When records were last asked for, when those of roles were last returned, and
        # the bytes that are left for them now.
        self._records_ms = self._roles_ms = 0
        self._left_bytes = 0

    def records(
        self,
        servers: dict[LifeId, ServerObservations],
        role_states: dict[str, RoleObservations],
        now_ms: int,
    ) -> bytes:
        """Returns the packed speeds for the next message to the entries.

        Changes by a tenth come first, the largest change first, then those that were
        not sent for the longest time. Roles of equal servers take no bytes.
        """
        due: list[tuple[int, float, LifeId, ServerObservations, ServerSpeed]] = []
        roles: set[str] = set()
        for life_id, server in servers.items():
            if server.speed == NEUTRAL and not server.is_wanted:
                continue
            speed = speed_records.quantize(server.speed)
            change = _change(server.sent, speed)
            if speed != NEUTRAL or server.is_wanted:
                server.is_wanted = True
                roles.add(server.role)
                if change >= math.log(CHANGED_RATIO):
                    due.append((0, -change, life_id, server, speed))
                elif now_ms - server.sent_ms >= REPEAT_AFTER_MS:
                    due.append((1, server.sent_ms, life_id, server, speed))
        due.sort(key=lambda item: item[:3])
        roles_bytes = len(roles) * speed_records.ROLE_RECORD_BYTES
        elapsed_ms = now_ms - self._records_ms
        self._records_ms = now_ms
        self._left_bytes = min(
            RECORDS_LIMIT_BYTES,
            self._left_bytes + RECORDS_LIMIT_BYTES * elapsed_ms // 1_000,
        )
        limit_count = max(0, self._left_bytes - roles_bytes) // (
            speed_records.SERVER_RECORD_BYTES
        )
        sent: list[tuple[str, ServerSpeed]] = []
        for _, _, life_id, server, speed in due[:limit_count]:
            sent.append((life_id, speed))
            # A neutral speed is repeated for one rotation, in case a message is lost.
            if speed != NEUTRAL or server.sent != NEUTRAL:
                server.sent_ms = now_ms
            elif now_ms - server.sent_ms >= ROTATION_MS:
                server.is_wanted = False
            server.sent = speed
        if not sent and now_ms - self._roles_ms < REPEAT_AFTER_MS:
            return b""
        self._roles_ms = now_ms
        self._left_bytes -= roles_bytes + len(sent) * speed_records.SERVER_RECORD_BYTES
        role_speeds = [
            (name, RoleSpeed(role.tokens_per_ms, role.utilization))
            for name in sorted(roles)
            if (role := role_states[name])
        ]
        return speed_records.pack(role_speeds, sent)


def _change(old: ServerSpeed, new: ServerSpeed) -> float:
    return max(
        abs(math.log(new.prefill_ratio / old.prefill_ratio)),
        abs(math.log(new.pace_ratio / old.pace_ratio)),
        abs(math.log(new.slots_share / old.slots_share)),
    )
