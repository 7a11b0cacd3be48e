"""Announcements: what backend servers report of themselves."""

import dataclasses

from cassiapitch import codec
from cassiapitch.types import (
    BackendName,
    LifeId,
    ModelName,
    OrderOutcome,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that an engine holds.

    Attributes:
        model: The model.
        version: Version of the bundle that defined it when it was loaded.
        memory_mib: Memory that it occupies, 0 if the engine doesn't say.
    """

    model: ModelName
    version: int
    memory_mib: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SettledOrder:
    """How an order ended at an engine."""

    order_id: str
    outcome: OrderOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Report of a backend server on itself, sent every 500 ms.

    Attributes:
        name: Its name.
        life_id: Random id of this incarnation.
        role: Its role in the bundle.
        zone: Its availability zone.
        ip: IP address of its HTTP port.
        port: Its HTTP port.
        memory_mib: Accelerator memory for models and adapters.
        max_running_count: Most requests that it runs at once.
        loaded: Models that it holds.
        adapters: Adapters that it holds.
        settled: Orders that ended in this incarnation.
        fence_term: Term of the highest fencing token it has seen.
        fence_number: Order number of the highest fencing token it has seen.
        running_count: Requests that run.
        waiting_count: Requests that wait.
        leaving: Whether it is about to stop.
        cached_prefixes: Digests of prompt prefixes in its cache; delayed and with gaps.
        sequence: Number of this announcement in its incarnation. Members forward
            announcements concurrently, so they may arrive out of order.
        started_ms: Start of this incarnation by the backend server's clock, 0 if it
            doesn't say. Of two incarnations under one name or address, the later one
            is the current one. It is never compared with other clocks.
        warm_models: Models whose weights are in its host's memory.
        disk_models: Models whose weights are on its disk.
        software_version: Version of its software, empty if it states none. Streams
            can't be continued by another version.
        cold_remaining_ms: How long it stays cold, that is slow and unable to take
            requests at its usual rate; 0 if it isn't cold.
    """

    name: BackendName
    life_id: LifeId
    role: str
    zone: str
    ip: str
    port: int
    memory_mib: int
    max_running_count: int
    loaded: tuple[LoadedModel, ...] = ()
    adapters: tuple[str, ...] = ()
    settled: tuple[SettledOrder, ...] = ()
    fence_term: int = 0
    fence_number: int = 0
    running_count: int = 0
    waiting_count: int = 0
    leaving: bool = False
    cached_prefixes: tuple[str, ...] = ()
    sequence: int = 0
    started_ms: int = 0
    warm_models: tuple[ModelName, ...] = ()
    disk_models: tuple[ModelName, ...] = ()
    software_version: str = ""
    cold_remaining_ms: int = 0


REGISTERED_TYPES = (Announcement,)
codec.register(REGISTERED_TYPES)
