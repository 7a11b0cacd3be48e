"""What backend servers say of themselves."""

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
        memory_mib: Memory that it occupies, 0 where the engine doesn't say.
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
    """What a backend server says of itself, every 500 ms.

    Attributes:
        name: Its name.
        life_id: Random identity of this run.
        role: Its role in the bundle.
        zone: Its availability zone.
        ip: IP number of its HTTP port.
        port: Its HTTP port.
        memory_mib: Accelerator memory for models and adapters.
        max_running_count: Requests that it runs at once.
        loaded: Models that it holds.
        adapters: Adapters that it holds.
        settled: Orders that ended in this life.
        fence_term: Term of the highest fence it has seen.
        fence_number: Order number of the highest fence it has seen.
        running_count: Requests that run.
        waiting_count: Requests that wait.
        leaving: Whether it is about to stop.
        cached_prefixes: Digests of prompt prefixes in its cache, late and gapped.
        sequence: Number of this announcement in its life. Members pass
            announcements on concurrently, so that they may arrive out of order.
        started_ms: Start of this life by the backend server's clock, 0 if it doesn't
            say. Of two lives under one name or address the later one is the present
            one; other clocks are never compared with it.
        warm_models: Models whose weights are in its host's memory.
        disk_models: Models whose weights are on its disk.
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


REGISTERED_TYPES = (Announcement,)
codec.register(REGISTERED_TYPES)
