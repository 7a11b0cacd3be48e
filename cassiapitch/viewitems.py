"""Types of the view's items, through which entries know the replicated state."""

import msgspec

from cassiapitch import codec
from cassiapitch.forwardroutes import CallerLimits, ForwardRoute
from cassiapitch.types import (
    AccountName,
    BackendName,
    LifeId,
    ModelName,
    RoleKind,
)


class BundleItem(msgspec.Struct, frozen=True, array_like=True):
    """`bundle`: the bundle in force."""

    version: int
    digest: str
    author: str


class ModelItem(msgspec.Struct, frozen=True, array_like=True):
    """`model/<name>`."""

    name: ModelName
    role: str
    memory_mib: int
    minimum_copies: int
    context_tokens: int


class AdapterItem(msgspec.Struct, frozen=True, array_like=True):
    """`adapter/<name>`: fine-tuned weights on top of `model`."""

    name: str
    model: ModelName
    memory_mib: int


class AccountItem(msgspec.Struct, frozen=True, array_like=True):
    """`account/<name>`: a client account with its rate over the whole fleet."""

    name: AccountName
    rate_tokens_per_s: int
    burst_tokens: int
    weight: int
    is_limited: bool = True
    counts_tokens: bool = True
    plain_cost_tokens: int = 1
    priority: int | None = None
    home_regions: tuple[str, ...] = ()


class RoleItem(msgspec.Struct, frozen=True, array_like=True):
    """`role/<name>`: a group of backend servers."""

    name: str
    kind: RoleKind
    fencing: bool
    connections_limit_count: int = 0
    cache_tokens: int = 0
    reports_load: bool = True
    cold_requests_per_s: float = 0.0


class RouteItem(msgspec.Struct, frozen=True, array_like=True):
    """`route/<method> <path>`: a call of a plain service.

    Attributes:
        path: Path at the entry and at the backend server.
        method: HTTP method.
        role: Role of the plain service.
        idempotent: Whether the call may be repeated.
        open: Whether callers need no key.
        timeout_ms: Time limit of a call.
        cost_tokens: Tokens that a call costs the client account.
    """

    path: str
    method: str
    role: str
    idempotent: bool
    open: bool
    timeout_ms: int
    cost_tokens: int


class KeyItem(msgspec.Struct, frozen=True, array_like=True):
    """`key/<sha256 hex>`: a valid key. A withdrawn key has no item."""

    account: AccountName


class BackendLimit(msgspec.Struct, frozen=True, array_like=True):
    """Limit on requests that a backend server stated, or that holds while it is cold.

    Attributes:
        requests_per_s: Rate of requests that it accepts from all entries together.
        index: Index of the log entry that set the limit.
        is_cold: Whether the limit holds because the backend server is cold; then only
            its heartbeats end it.
    """

    requests_per_s: float
    index: int
    is_cold: bool = False


class BackendItem(msgspec.Struct, frozen=True, array_like=True):
    """`backend/<name>`: a backend server.

    Attributes:
        name: Its name, which a later incarnation may reuse.
        life_id: Id of this incarnation of the backend server.
        role: Its role.
        zone: Its availability zone.
        ip: IP address of its HTTP port.
        port: Its HTTP port.
        state: State of the chart `backend_server`; only `serving` ones get new work.
        models: Models that it reports as loaded and that are not being unloaded.
        adapters: Adapters that it reports as loaded.
        max_running_count: Most requests that it runs at once.
        limit: The limit on requests in force, if any.
        software_version: Version of its software, empty if it states none.
    """

    name: BackendName
    life_id: LifeId
    role: str
    zone: str
    ip: str
    port: int
    state: str
    models: tuple[ModelName, ...]
    adapters: tuple[str, ...]
    max_running_count: int
    limit: BackendLimit | None = None
    software_version: str = ""


class VersionsItem(msgspec.Struct, frozen=True, array_like=True):
    """`versions/<role>`: software versions of a role that may have begun streams."""

    versions: tuple[str, ...]


class SuspectItem(msgspec.Struct, frozen=True, array_like=True):
    """`suspect/<digest>`: a request that was running when backend servers crashed.

    Attributes:
        crash_count: Distinct incarnations of backend servers that crashed under it.
        quarantined: Whether it is refused for now.
        lives: The ids of these incarnations.
    """

    crash_count: int
    quarantined: bool
    lives: tuple[LifeId, ...] = ()


class PartItem(msgspec.Struct, frozen=True, array_like=True):
    """`part/<digest>`: a part of prompts that may crash backend servers.

    Attributes:
        crash_count: Unexplained crashes that it may have caused.
        is_refused: Whether requests with it are refused.
        is_trusted: Whether a request with it was answered before.
    """

    crash_count: int
    is_refused: bool
    is_trusted: bool


REGISTERED_TYPES = (
    BundleItem,
    ModelItem,
    AdapterItem,
    AccountItem,
    RoleItem,
    RouteItem,
    KeyItem,
    BackendItem,
    SuspectItem,
    PartItem,
    VersionsItem,
    ForwardRoute,
    CallerLimits,
)
codec.register(REGISTERED_TYPES)
