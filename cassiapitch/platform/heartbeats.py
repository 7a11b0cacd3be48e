"""Decodes an engine's heartbeat into an announcement."""

import hashlib
import math
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cassiapitch import announcement_checks, events
from cassiapitch.announcements import Announcement, LoadedModel
from cassiapitch.types import BackendName, LifeId, ModelName

# Heartbeats don't state the engine's memory, so that the limit of its role applies.
UNLIMITED_MEMORY_MIB = 10**9

PORT_LIMIT_LENGTH = 5

# Of a longer version, only a digest is kept.
VERSION_LIMIT_LENGTH = 128

# Longer cold times can't be meant.
COLD_LIMIT_MS = 3_600_000

Natural = Annotated[int, Meta(ge=0)]


class _Model(msgspec.Struct):
    name: str
    version: int = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct):
    """Models that an engine can load without the weight store."""

    inMemory: list[str] = []  # noqa: N815
    onDisk: list[str] = []  # noqa: N815


class _Heartbeat(msgspec.Struct):
    service: Annotated[str, Meta(min_length=1)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: Natural
    sequence: Natural
    born: Natural = 0
    version: str = ""
    models: list[_Model] = []
    atHand: _AtHand = msgspec.field(default_factory=_AtHand)  # noqa: N815
    # Undecoded, so that a malformed or huge value doesn't invalidate the heartbeat.
    coldRemainingMs: msgspec.Raw = msgspec.Raw(b"0")  # noqa: N815


def life_id(name: str, born: int) -> LifeId:
    """Returns the id of an incarnation: a restart under the same name is a new one."""
    return LifeId(f"{name}@{born}")


def decode(name: str, content: bytes) -> Announcement:
    """Decodes a heartbeat.

    Raises:
        ValueError: It isn't a valid heartbeat of an engine.
    """
    try:
        heartbeat = msgspec.json.decode(content, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"heartbeat can't be read: {error}") from None
    ip, _, port = heartbeat.address.rpartition(":")
    if not port.isascii() or not port.isdigit() or len(port) > PORT_LIMIT_LENGTH:
        raise ValueError(f"no address: {heartbeat.address[:64]!r}")
    announcement = Announcement(
        name=BackendName(name),
        life_id=life_id(name, heartbeat.born),
        role=heartbeat.service,
        zone=heartbeat.zone,
        ip=ip,
        port=int(port),
        memory_mib=UNLIMITED_MEMORY_MIB,
        max_running_count=heartbeat.slots,
        loaded=tuple(
            LoadedModel(ModelName(model.name), model.version)
            for model in heartbeat.models
        ),
        adapters=tuple(
            f"{model.name}/{adapter}"
            for model in heartbeat.models
            for adapter in model.adapters
        ),
        leaving=heartbeat.state == "draining",
        sequence=heartbeat.sequence,
        started_ms=heartbeat.born,
        warm_models=tuple(map(ModelName, heartbeat.atHand.inMemory)),
        disk_models=tuple(map(ModelName, heartbeat.atHand.onDisk)),
        software_version=_bounded(heartbeat.version),
        cold_remaining_ms=_parse_cold_ms(name, bytes(heartbeat.coldRemainingMs)),
    )
    return announcement_checks.check(announcement)


def _parse_cold_ms(name: str, content: bytes) -> int:
    """Returns the stated cold time, limited; 0 if it is malformed or negative."""
    try:
        # Unlike a JSON decoder, `float` accepts numbers of any size.
        stated_ms = float(content)
    except ValueError:
        stated_ms = -1.0
    if not stated_ms >= 0:
        events.log(
            events.Event.COLD_TIME_IGNORED,
            name=name[:64],
            stated=content[:32].decode(errors="replace"),
        )
        return 0
    return math.ceil(min(stated_ms, COLD_LIMIT_MS))


def _bounded(version: str) -> str:
    if len(version) <= VERSION_LIMIT_LENGTH:
        return version
    return hashlib.sha256(version.encode()).hexdigest()
