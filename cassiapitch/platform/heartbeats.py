"""Decodes an engine's heartbeat into an announcement."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from cassiapitch.announcements import Announcement, LoadedModel
from cassiapitch.types import BackendName, LifeId, ModelName

# An engine doesn't state its memory; the limit of its role applies.
UNSTATED_MEMORY_MIB = 10**9

Natural = Annotated[int, Meta(ge=0)]


class _Model(msgspec.Struct):
    name: str
    version: int = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct):
    """Models whose weights an engine loads without the weight store."""

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
    models: list[_Model] = []
    atHand: _AtHand = msgspec.field(default_factory=_AtHand)  # noqa: N815


def decode(name: str, content: bytes) -> Announcement:
    """Decodes a heartbeat.

    Raises:
        ValueError: It isn't one of an engine.
    """
    try:
        beat = msgspec.json.decode(content, type=_Heartbeat)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"heartbeat can't be read: {error}") from None
    ip, _, port = beat.address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise ValueError(f"no address: {beat.address[:64]!r}")
    return Announcement(
        name=BackendName(name),
        # A start under the same id is another life.
        life_id=LifeId(f"{name}@{beat.born}"),
        role=beat.service,
        zone=beat.zone,
        ip=ip,
        port=int(port),
        memory_mib=UNSTATED_MEMORY_MIB,
        max_running_count=beat.slots,
        loaded=tuple(
            LoadedModel(ModelName(model.name), model.version) for model in beat.models
        ),
        adapters=tuple(
            f"{model.name}/{adapter}"
            for model in beat.models
            for adapter in model.adapters
        ),
        leaving=beat.state == "draining",
        sequence=beat.sequence,
        started_ms=beat.born,
        warm_models=tuple(map(ModelName, beat.atHand.inMemory)),
        disk_models=tuple(map(ModelName, beat.atHand.onDisk)),
    )
