"""Packed speeds of backend servers in `LoadReports.speeds`.

A role's record holds its mean speeds; a record of an incarnation says by how much it
deviates from them. An incarnation without a record in a role that has one is like the
mean. A role whose incarnations are alike has no records at all.
"""

import dataclasses
import math
import struct
from collections.abc import Iterable

from cassiapitch.load_report_queue import life_tag

# Ratios are coded in steps of 5 %, so that a change by a tenth is two steps.
RATIO_STEP = 1.05
LARGEST_CODE = 127
FULL_SHARE_CODE = 255

_ROLES_COUNT = struct.Struct("<B")
ROLES_LIMIT_COUNT = 255
_ROLE = struct.Struct("<Iff")
_SERVER = struct.Struct("<IbbB")
ROLE_RECORD_BYTES = _ROLE.size
SERVER_RECORD_BYTES = _SERVER.size


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSpeed:
    """Speed of an incarnation relative to the mean of its role.

    Attributes:
        prefill_ratio: Prompt tokens processed in a time; above 1 is faster.
        pace_ratio: Events or plain answers in a time at equal load; above 1 is faster.
        slots_share: Part of its slots up to which its latency holds.
    """

    prefill_ratio: float = 1.0
    pace_ratio: float = 1.0
    slots_share: float = 1.0

    @property
    def taken_ratio(self) -> float:
        """What it takes relative to the mean of its role, as one number.

        Prefill and pace are measured on the same processor. A server that shows only
        one of them has 1 for the other, so the one that deviates more is the evidence.
        """
        prefill_deviation = abs(math.log(self.prefill_ratio))
        pace_deviation = abs(math.log(self.pace_ratio))
        is_pace = pace_deviation > prefill_deviation
        ratio = self.pace_ratio if is_pace else self.prefill_ratio
        return ratio * self.slots_share


NEUTRAL = ServerSpeed()


@dataclasses.dataclass(frozen=True, slots=True)
class RoleSpeed:
    """What is known of a role.

    Attributes:
        tokens_per_ms: Mean prefill speed of its incarnations; 0 if unknown.
        utilization: Prompt tokens that arrive in a time, as a share of what all its
            incarnations can process.
    """

    tokens_per_ms: float = 0.0
    utilization: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedRecords:
    """Unpacked records.

    Attributes:
        roles: By the tag of the role's name.
        servers: Speeds by the tag of the life id.
    """

    roles: dict[int, RoleSpeed]
    servers: dict[int, ServerSpeed]


def quantize(speed: ServerSpeed) -> ServerSpeed:
    """Returns a speed as entries will read it."""
    prefill, pace, share = _codes(speed)
    return ServerSpeed(RATIO_STEP**prefill, RATIO_STEP**pace, share / FULL_SHARE_CODE)


def pack(
    roles: Iterable[tuple[str, RoleSpeed]], servers: Iterable[tuple[str, ServerSpeed]]
) -> bytes:
    """Returns the records of roles by name and of incarnations by life id."""
    role_records = [
        _ROLE.pack(life_tag(name), role.tokens_per_ms, role.utilization)
        for name, role in roles
    ][:ROLES_LIMIT_COUNT]
    server_records = [
        _SERVER.pack(life_tag(life_id), *_codes(speed)) for life_id, speed in servers
    ]
    if not role_records:
        return b""
    return b"".join(
        [_ROLES_COUNT.pack(len(role_records)), *role_records, *server_records]
    )


def unpack(content: bytes) -> SpeedRecords:
    """Returns the records; an incomplete last one is ignored."""
    if not content:
        return SpeedRecords({}, {})
    roles_end = _ROLES_COUNT.size + content[0] * _ROLE.size
    roles = content[_ROLES_COUNT.size : roles_end]
    servers = content[roles_end:]
    return SpeedRecords(
        {
            tag: RoleSpeed(tokens_per_ms, utilization)
            for tag, tokens_per_ms, utilization in _ROLE.iter_unpack(
                roles[: len(roles) - len(roles) % _ROLE.size]
            )
        },
        {
            tag: ServerSpeed(
                RATIO_STEP**prefill, RATIO_STEP**pace, share / FULL_SHARE_CODE
            )
            for tag, prefill, pace, share in _SERVER.iter_unpack(
                servers[: len(servers) - len(servers) % _SERVER.size]
            )
        },
    )


def _codes(speed: ServerSpeed) -> tuple[int, int, int]:
    share = round(FULL_SHARE_CODE * speed.slots_share)
    return (
        _ratio_code(speed.prefill_ratio),
        _ratio_code(speed.pace_ratio),
        max(1, min(FULL_SHARE_CODE, share)),
    )


def _ratio_code(ratio: float) -> int:
    code = round(math.log(max(ratio, 1e-9)) / math.log(RATIO_STEP))
    return max(-LARGEST_CODE, min(LARGEST_CODE, code))
