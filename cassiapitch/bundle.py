"""The bundle: the versioned configuration of a deployment, its schema and checks."""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable
from typing import Annotated, Any

import jsonc
from msgspec import Meta

from cassiapitch import config
from cassiapitch.exceptions import SettingsError
from cassiapitch.forwardroutes import CallerLimits, ForwardRoute, find_forward_faults
from cassiapitch.settings import Name, Sha256Hex
from cassiapitch.types import RoleKind

# A burst must be at least the rate divided by this. With a smaller one, grants would
# expire before they reach the entry; 1/25 keeps them valid for at least 20 ms.
RATE_TO_BURST_LIMIT = 25

MAX_CONTENT_BYTES = 4 * 1024 * 1024

# No known credential has this digest, so no backend server can announce itself with it.
NO_CREDENTIAL_SHA256 = "0" * 64

ItemName = Annotated[str, Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._:/-]{0,127}$")]
Method = Annotated[str, Meta(pattern=r"^(GET|POST|PUT|PATCH|DELETE)$")]
RoutePath = Annotated[str, Meta(pattern=r"^/[a-zA-Z0-9._~/-]{0,255}$")]
ColdRate = Annotated[float, Meta(ge=0, le=1e9)]
LoadRate = Annotated[float, Meta(gt=0, le=1_000_000)]
# The upper limits keep every number within the range of the log's encoding.
Count = Annotated[int, Meta(ge=1, le=10**9)]
CountOrZero = Annotated[int, Meta(ge=0, le=10**9)]
VersionNumber = Annotated[int, Meta(ge=1, le=2**53)]
Tokens = Annotated[int, Meta(ge=1, le=10**12)]

_RESERVED_PREFIXES = ("/v1", "/admin", "/backend")
_RESERVED_PATHS = ("/healthz",)


@dataclasses.dataclass(frozen=True, slots=True)
class Role:
    """A group of backend servers.

    Attributes:
        name: The role's name, which backend servers announce.
        kind: Engine or plain service.
        credential_sha256: Digest of the bearer credential of its backend servers.
        fencing: Whether its engines reject orders with a stale fencing number.
        memory_limit_mib: Accelerator memory of one backend server that is used at
            most; None for the announced memory.
        running_limit_count: Requests that one backend server runs at once at most;
            None for the announced limit.
        settles_orders: Whether its engines report the orders that ended; otherwise
            an order ends when the engine's report shows its effect.
        adapter_places_count: Adapters that one engine holds at most; 0 for no limit
            besides memory.
        connections_limit_count: Connections that one backend server accepts from
            all callers together; 0 for no limit.
        silence_limit_ms: Time without a report after which a backend server gets no
            new work; 0 for the default limit.
        cache_tokens: Tokens that fit into one engine's cache memory; 0 if unknown.
        unload_delay_ms: Time from the record of an unload until it is sent. Until
            then, entries with an older view may still send requests. May be short
            where engines reject requests for models that they don't hold.
        reports_load: Whether announcements state the running and waiting requests;
            otherwise the entries' own counts are added up.
        orders_one_by_one: Whether its engines reject an order while another load or
            unload of a model is in progress.
        fills_memory: Whether copies of models fill all memory in proportion to
            demand. For engines that are limited by the processing of prompts and not
            by the number of slots.
        cold_requests_per_s: Requests per second that a cold backend server tolerates
            from all entries together; 0 if cold ones need no limit.
    """

    name: Name
    kind: RoleKind
    credential_sha256: Sha256Hex = NO_CREDENTIAL_SHA256
    fencing: bool = False
    memory_limit_mib: Count | None = None
    running_limit_count: Count | None = None
    settles_orders: bool = True
    adapter_places_count: CountOrZero = 0
    connections_limit_count: CountOrZero = 0
    silence_limit_ms: CountOrZero = 0
    cache_tokens: CountOrZero = 0
    unload_delay_ms: CountOrZero = 2_000
    orders_one_by_one: bool = False
    fills_memory: bool = False
    reports_load: bool = True
    cold_requests_per_s: ColdRate = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Model:
    """A model that engines of a role serve.

    Attributes:
        name: The model's name.
        role: Role of its engines.
        memory_mib: Accelerator memory of its weights.
        minimum_copies: Copies that always stay loaded.
        context_tokens: Maximum length of prompt and answer together.
        load_ms: Duration of a load from the weight store; 0 if unknown.
        warm_load_ms: Duration of a load from the host's memory; 0 if unknown.
        disk_load_ms: Duration of a load from the engine's disk; 0 if unknown.
    """

    name: ItemName
    role: Name
    memory_mib: Count
    minimum_copies: CountOrZero = 0
    context_tokens: Count = 8_192
    load_ms: CountOrZero = 0
    warm_load_ms: CountOrZero = 0
    disk_load_ms: CountOrZero = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """Fine-tuned weights on top of a model."""

    name: ItemName
    model: ItemName
    memory_mib: Count


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account with its rate over all entries together.

    Attributes:
        name: The account's name.
        rate_tokens_per_s: Refill rate of its token bucket.
        burst_tokens: Capacity of its token bucket.
        weight: Weight in fair queuing.
        is_limited: Whether the rate is enforced.
        counts_tokens: Whether a forwarded request costs its tokens; otherwise 1.
        plain_cost_tokens: Cost of a forwarded request that states no tokens.
        priority: Priority of its forwarded requests, 0 is the highest; None for the
            route's priority.
        window_tokens: Tokens that it may use at most in any window of `window_ms`, even
            beyond its rate; 0 if only rate and burst apply.
        window_ms: Length of that window.
        home_regions: Regions whose backend servers may get its requests; empty for
            all.
    """

    name: Name
    rate_tokens_per_s: Tokens
    burst_tokens: Tokens
    weight: Annotated[int, Meta(ge=1, le=1_000_000)] = 1
    is_limited: bool = True
    counts_tokens: bool = True
    plain_cost_tokens: CountOrZero = 1
    priority: CountOrZero | None = None
    window_tokens: CountOrZero = 0
    window_ms: CountOrZero = 0
    home_regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Digest of a caller's key, and the key's client account."""

    sha256: Sha256Hex
    client_account: Name


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A method and path whose calls a plain service answers."""

    path: RoutePath
    method: Method
    role: Name
    idempotent: bool = False
    open: bool = False
    timeout_ms: Annotated[int, Meta(ge=1, le=3_600_000)] = 30_000
    cost_tokens: CountOrZero = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Store:
    """Limits on loads from the weight store."""

    loads_per_s: LoadRate = 1.0
    loads_in_flight_count: Count = 2
    adapters_in_flight_count: Count = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Bundle:
    """One version of the whole configuration."""

    version: VersionNumber
    roles: tuple[Role, ...] = ()
    models: tuple[Model, ...] = ()
    adapters: tuple[Adapter, ...] = ()
    client_accounts: tuple[ClientAccount, ...] = ()
    keys: tuple[Key, ...] = ()
    routes: tuple[Route, ...] = ()
    store: Store = Store()
    forwards: tuple[ForwardRoute, ...] = ()
    caller_limits: CallerLimits | None = None


def digest(content: bytes) -> str:
    """Returns the digest that identifies the content of a bundle file."""
    return hashlib.sha256(content).hexdigest()


def parse(text: str) -> Bundle:
    """Parses a bundle and checks it as a whole.

    Raises:
        SettingsError: The bundle has faults; lists each with its path.
    """
    if len(text.encode(errors="replace")) > MAX_CONTENT_BYTES:
        raise SettingsError([f"$: larger than {MAX_CONTENT_BYTES} bytes"])
    bundle = config.parse(text, Bundle)
    if faults := _repeated_fields(text) + find_faults(bundle):
        raise SettingsError(faults)
    return bundle


def _repeated_fields(text: str) -> list[str]:
    """Returns a fault for each field that occurs more than once in an object.

    The parser keeps only the last one, so a second `keys` section would silently
    replace the first.
    """
    faults = []

    def check_fields(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        counts = collections.Counter(name for name, _ in pairs)
        faults.extend(
            f"$: field {name!r} occurs {count} times in one object"
            for name, count in counts.items()
            if count > 1
        )
        return dict(pairs)

    jsonc.loads(text, object_pairs_hook=check_fields)
    return faults


def find_faults(bundle: Bundle) -> list[str]:
    """Returns every fault that the schema's types don't detect."""
    return [
        *_duplicates("roles", (role.name for role in bundle.roles)),
        *_duplicates("models", (model.name for model in bundle.models)),
        *_duplicates("adapters", (adapter.name for adapter in bundle.adapters)),
        *_duplicates("client_accounts", (item.name for item in bundle.client_accounts)),
        *_duplicates("keys", (key.sha256 for key in bundle.keys)),
        *_duplicates("routes", (f"{r.method} {r.path}" for r in bundle.routes)),
        *_model_faults(bundle),
        *_adapter_faults(bundle),
        *_account_faults(bundle),
        *_route_faults(bundle),
        *find_forward_faults(bundle.forwards, {role.name for role in bundle.roles}),
    ]


def _duplicates(section: str, names: Iterable[str]) -> list[str]:
    first_positions: dict[str, int] = {}
    faults = []
    for number, name in enumerate(names):
        earlier = first_positions.setdefault(name, number)
        if earlier != number:
            faults.append(
                f"$.{section}[{number}]: duplicate of $.{section}[{earlier}]: {name}"
            )
    return faults


def _model_faults(bundle: Bundle) -> list[str]:
    kinds_by_role = {role.name: role.kind for role in bundle.roles}
    faults = []
    for number, model in enumerate(bundle.models):
        path = f"$.models[{number}].role"
        if model.role not in kinds_by_role:
            faults.append(f"{path}: no role {model.role!r}")
        elif kinds_by_role[model.role] is not RoleKind.ENGINE:
            faults.append(f"{path}: role {model.role!r} is not of kind engine")
    limits = {role.name: role.memory_limit_mib for role in bundle.roles}
    for number, model in enumerate(bundle.models):
        limit_mib = limits.get(model.role)
        if limit_mib is not None and model.memory_mib > limit_mib:
            faults.append(
                f"$.models[{number}].memory_mib: above the {limit_mib} MiB of "
                f"role {model.role!r}"
            )
    return faults


def _adapter_faults(bundle: Bundle) -> list[str]:
    models = {model.name for model in bundle.models}
    faults = []
    for number, adapter in enumerate(bundle.adapters):
        if adapter.model not in models:
            faults.append(f"$.adapters[{number}].model: no model {adapter.model!r}")
        if adapter.name in models:
            faults.append(
                f"$.adapters[{number}].name: {adapter.name!r} is also a model's name"
            )
    return faults


def _account_faults(bundle: Bundle) -> list[str]:
    faults = []
    for number, account in enumerate(bundle.client_accounts):
        if not account.is_limited:
            continue
        if account.burst_tokens * RATE_TO_BURST_LIMIT < account.rate_tokens_per_s:
            faults.append(
                f"$.client_accounts[{number}].burst_tokens: must be at least "
                f"1/{RATE_TO_BURST_LIMIT} of rate_tokens_per_s"
            )
    names = {account.name for account in bundle.client_accounts}
    for number, key in enumerate(bundle.keys):
        if key.client_account not in names:
            faults.append(
                f"$.keys[{number}].client_account: no client account "
                f"{key.client_account!r}"
            )
    return faults


def _route_faults(bundle: Bundle) -> list[str]:
    kinds_by_role = {role.name: role.kind for role in bundle.roles}
    faults = []
    for number, route in enumerate(bundle.routes):
        path = f"$.routes[{number}]"
        if _is_reserved(route.path):
            faults.append(f"{path}.path: {route.path!r} is reserved")
        if route.role not in kinds_by_role:
            faults.append(f"{path}.role: no role {route.role!r}")
        elif kinds_by_role[route.role] is not RoleKind.SERVICE:
            faults.append(f"{path}.role: role {route.role!r} is not of kind service")
    return faults


def _is_reserved(path: str) -> bool:
    return path in _RESERVED_PATHS or any(
        path == prefix or path.startswith(prefix + "/") for prefix in _RESERVED_PREFIXES
    )
