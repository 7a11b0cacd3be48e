"""Settings of `cassiapitch-standin`."""

import dataclasses
from typing import Annotated

from msgspec import Meta

from cassiapitch.settings import (
    LISTEN_TIMEOUT_S,
    Address,
    Name,
    NaturalInt,
    PositiveAmount,
    PositiveInt,
)
from cassiapitch.types import RoleKind

Ratio = Annotated[float, Meta(ge=0, le=1)]


@dataclasses.dataclass(frozen=True, slots=True)
class StandinSettings:
    """Settings of one stand-in backend server.

    Attributes:
        name: Name of the backend server; later incarnations may reuse it.
        kind: Engine or plain service.
        role: Role of the backend server in the bundle.
        zone: Availability zone.
        address: Address to listen on; also the address in announcements.
        credential: Bearer credential of the role.
        announce_addresses: Admin addresses of control members, tried in turn.
        announce_ms: Time between announcements.
        memory_mib: Accelerator memory for models and adapters.
        step_ms: Duration of one step of continuous batching, or of a service call.
        max_running_count: Most requests that run concurrently.
        fencing: Whether orders with a stale fence are rejected.
        load_ms: Time to load a model, by name; `load_ms_per_gib` applies to others.
        load_ms_per_gib: Time to load one GiB of a model that isn't in `load_ms`.
        adapter_load_ms: Time to load an adapter.
        report_lag_ms: Age of the load and of the cache events in announcements.
        cache_prefixes_count: Capacity of the prefix cache.
        cache_gap_ratio: Share of cache events that are never published.
        prefill_tokens_per_step: Uncached prompt tokens that one step processes.
        resume_ms: Time that a stream continues without a connection.
        leave_ms: Minimum time between announcing `leaving` and the exit.
        seed: Seed for choosing the cache events that aren't published.
        log_path: Log file; None for standard output.
        listen_timeout_s: How long `address` may stay taken, and the first sockets
            unavailable, before the process ends.
    """

    name: Name
    kind: RoleKind
    role: Name
    zone: Name
    address: Address
    credential: str = ""
    announce_addresses: tuple[Address, ...] = ()
    announce_ms: PositiveInt = 500
    memory_mib: PositiveInt = 81_920
    step_ms: PositiveInt = 20
    max_running_count: PositiveInt = 32
    fencing: bool = True
    load_ms: dict[str, NaturalInt] = dataclasses.field(default_factory=dict)
    load_ms_per_gib: NaturalInt = 100
    adapter_load_ms: NaturalInt = 10
    report_lag_ms: NaturalInt = 0
    cache_prefixes_count: PositiveInt = 64
    cache_gap_ratio: Ratio = 0.0
    prefill_tokens_per_step: PositiveInt = 2_048
    resume_ms: NaturalInt = 10_000
    leave_ms: NaturalInt = 2_500
    seed: NaturalInt = 1
    log_path: str | None = None
    listen_timeout_s: PositiveAmount = LISTEN_TIMEOUT_S
