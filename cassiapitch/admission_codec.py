"""Packs admission levels into load reports, within a size limit.

A message holds records of backend servers, and of roles if not all servers fit. Each
record takes ten bytes, and three for each client account with a share of its own; an
account takes four bytes once in a message.
"""

import math
import struct
import zlib
from collections.abc import Mapping
from typing import NamedTuple

from cassiapitch.admission_levels import AdmissionLevels
from cassiapitch.level_shares import Level
from cassiapitch.load_report_queue import life_tag
from cassiapitch.types import AccountName, LifeId

# While anything is short, two of these are sent a second. With the largest load reports
# (4,500 bytes a second) only the smaller limit stays within an entry's 7 kB/s.
LIMIT_BYTES = 1_500
SMALL_LIMIT_BYTES = 500
# A role gets a record of its own if this part of its backend servers is short.
ROLE_SHORT_SHARE = 0.5
SHARE_SCALE = 0xFFFF
ACCOUNTS_LIMIT_COUNT = 0xFF

_HEAD = struct.Struct("<QB")
_TAG = struct.Struct("<I")
_RECORD = struct.Struct("<IBHHB")
_SHARE = struct.Struct("<BH")


# The upper bits of the leader's time hold the round trip, which earlier builds ignore.
# 0 stands for none from an earlier build, the limit for one that isn't known.
_TIME_BITS = 48
_ROUND_TRIP_UNKNOWN = 0xFFFF


class Message(NamedTuple):
    """Unpacked levels.

    Attributes:
        leader_ms: The leader's time when it packed them.
        round_trip_ms: Time for levels to arrive and the answer to come back;
            `math.inf` if the leader doesn't know it, 0 from earlier builds.
        levels: Levels by the number of the server or role.
    """

    leader_ms: int
    round_trip_ms: float
    levels: dict[int, Level]


def account_tag(account: AccountName) -> int:
    """Returns the four-byte number that stands for an account."""
    return zlib.crc32(account.encode())


def role_tag(role: str) -> int:
    """Returns the four-byte number that stands for a role."""
    return zlib.crc32(f"role/{role}".encode())


def pack(
    admission: AdmissionLevels,
    now_ms: int,
    valid_ms: int,
    limit_bytes: int = LIMIT_BYTES,
) -> bytes:
    """Returns the levels in force; empty if there are none.

    If they don't fit, accounts lose their own shares first. Then roles get records,
    and the backend servers with the strictest levels as far as there is room.
    """
    by_life = admission.current(now_ms, valid_ms)
    if not by_life:
        return b""
    levels = {life_tag(life_id): level for life_id, level in by_life.items()}
    leader_ms = now_ms | _scaled_round_trip(admission.round_trip_ms) << _TIME_BITS
    data = _encode(levels, leader_ms)
    if len(data) <= limit_bytes:
        return data
    levels = {tag: level.without_shares() for tag, level in levels.items()}
    order = sorted(levels, key=lambda tag: levels[tag].openness)
    packed = _role_levels(admission, by_life)
    room_count = (limit_bytes - _HEAD.size) // _RECORD.size
    for tag in order[: max(0, room_count - len(packed))]:
        packed[tag] = levels[tag]
    return _encode(packed, leader_ms)


def _role_levels(
    admission: AdmissionLevels, by_life: Mapping[LifeId, Level]
) -> dict[int, Level]:
    by_role: dict[str, list[Level]] = {}
    for life_id, level in by_life.items():
        by_role.setdefault(admission.role_of(life_id), []).append(level)
    levels = {}
    for role, items in by_role.items():
        if len(items) >= ROLE_SHORT_SHARE * admission.servers_count(role):
            items.sort(key=lambda level: level.openness)
            levels[role_tag(role)] = items[len(items) // 2].without_shares()
    return levels


def _encode(levels: Mapping[int, Level], leader_ms: int) -> bytes:
    accounts: dict[AccountName, int] = {}
    for level in levels.values():
        for account in level.shares:
            if len(accounts) < ACCOUNTS_LIMIT_COUNT:
                accounts.setdefault(account, len(accounts))
    parts = [_HEAD.pack(leader_ms, len(accounts))]
    parts += [_TAG.pack(account_tag(account)) for account in accounts]
    for tag, level in levels.items():
        shares = {
            accounts[account]: share
            for account, share in level.shares.items()
            if account in accounts
        }
        parts.append(
            _RECORD.pack(
                tag,
                level.marginal_rank,
                _scaled(level.share),
                _scaled(level.floor),
                len(shares),
            )
        )
        parts += [_SHARE.pack(index, _scaled(item)) for index, item in shares.items()]
    return b"".join(parts)


def unpack(data: bytes) -> Message:
    """Returns the levels of a message; accounts are keyed by `account_tag`.

    Raises:
        ValueError: The message is malformed.
    """
    try:
        leader_ms, accounts_count = _HEAD.unpack_from(data)
        offset = _HEAD.size
        accounts = []
        for _ in range(accounts_count):
            accounts.append(_TAG.unpack_from(data, offset)[0])
            offset += _TAG.size
        levels = {}
        while offset < len(data):
            tag, rank, share, floor, count = _RECORD.unpack_from(data, offset)
            offset += _RECORD.size
            shares = {}
            for _ in range(count):
                index, item = _SHARE.unpack_from(data, offset)
                offset += _SHARE.size
                shares[accounts[index]] = item / SHARE_SCALE
            levels[tag] = Level(rank, share / SHARE_SCALE, floor / SHARE_SCALE, shares)
    except (struct.error, IndexError) as error:
        raise ValueError(f"malformed admission levels: {error}") from error
    round_trip = leader_ms >> _TIME_BITS
    round_trip_ms = math.inf if round_trip == _ROUND_TRIP_UNKNOWN else round_trip
    return Message(leader_ms & ((1 << _TIME_BITS) - 1), round_trip_ms, levels)


def _scaled_round_trip(round_trip_ms: float | None) -> int:
    if round_trip_ms is None:
        return _ROUND_TRIP_UNKNOWN
    return min(_ROUND_TRIP_UNKNOWN - 1, round(round_trip_ms))


def _scaled(share: float) -> int:
    return round(min(1.0, max(0.0, share)) * SHARE_SCALE)
