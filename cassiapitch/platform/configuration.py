"""Decodes the platform's configuration into a bundle."""

import hashlib
import math
from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from cassiapitch import bucket, configurations
from cassiapitch.bucket import RateTolerance
from cassiapitch.bundle import (
    Adapter,
    Bundle,
    ClientAccount,
    Key,
    Model,
    Role,
    Store,
)
from cassiapitch.exceptions import SettingsError
from cassiapitch.forwardroutes import (
    CallerLimits,
    ForwardRoute,
    Repeat,
    WeightedRole,
)
from cassiapitch.settings import ControlSettings
from cassiapitch.types import RoleKind

# After this many consecutive missed heartbeats an engine gets no new work.
MISSED_HEARTBEATS_COUNT = 3

# Callers abandon a stream after the maximum of this, 4 times the latency objective and
# 8 times the gap objective.
MIN_ABANDON_MS = 2_000

# Time for the view to reach the entries before a model is unloaded. Requests that still
# come later do no harm: engines decline requests for models they don't hold.
UNLOAD_DELAY_MS = 200


# Larger numbers can't be meant, and what is computed from them could not be stored.
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Whole = Annotated[int, Meta(ge=0, le=10**9)]
# Each adapter is a model of the bundle.
AdapterCount = Annotated[int, Meta(ge=0, le=10_000)]
VersionNumber = Annotated[int, Meta(le=2**53)]


class _Model(msgspec.Struct):
    name: str
    weightsMb: Amount  # noqa: N815
    loadS: Amount = 0.0  # noqa: N815
    adapters: AdapterCount = 0
    adapterMb: Amount = 0.0  # noqa: N815
    warmS: Amount = 0.0  # noqa: N815
    diskS: Amount = 0.0  # noqa: N815


class _Engine(msgspec.Struct):
    weightsMb: Amount = 0.0  # noqa: N815
    adapterSlots: Whole = 0  # noqa: N815
    loadsPerS: Amount = 1.0  # noqa: N815
    kvCapacityTokens: Whole = 0  # noqa: N815
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: str
    maxConnections: Whole = 0  # noqa: N815
    engine: _Engine | None = None
    # Servers state their remaining cold time themselves, so this one is only checked.
    coldStartS: Amount = 0.0  # noqa: N815
    coldPerS: Amount = 0.0  # noqa: N815


class _Split(msgspec.Struct):
    service: str
    weight: Amount


class _Route(msgspec.Struct):
    name: str
    host: str
    pathPrefix: str  # noqa: N815
    kind: str
    timeoutMs: Amount  # noqa: N815
    service: str | None = None
    trafficSplit: list[_Split] | None = None  # noqa: N815
    targetLatencyMs: Amount = 0.0  # noqa: N815
    gapAimMs: Amount = 0.0  # noqa: N815
    priority: Whole = 0
    maxAttempts: Whole = 1  # noqa: N815
    authExempt: bool = False  # noqa: N815
    resumable: bool = False
    allowedRegions: list[str] | None = None  # noqa: N815


class _Limits(msgspec.Struct):
    maxHeaderBytes: Whole = 16_384  # noqa: N815
    maxBodyBytes: Whole = 4_194_304  # noqa: N815
    headerTimeoutMs: Whole = 3_000  # noqa: N815
    idleTimeoutMs: Whole = 15_000  # noqa: N815


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []  # noqa: N815
    priority: Whole | None = None
    unit: str = "requests"
    plainTokens: Whole = 1  # noqa: N815
    ratePerS: Amount | None = None  # noqa: N815
    burst: Amount | None = None
    allowedRegions: list[str] | None = None  # noqa: N815


class _Document(msgspec.Struct):
    version: VersionNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits | None = None
    tenants: list[_Tenant] | None = None


def make_decoder(settings: ControlSettings) -> Callable[[bytes], Bundle]:
    """Returns the function that decodes a configuration."""
    tolerance = RateTolerance(
        int(settings.rate_tolerance_tokens),
        settings.rate_tolerance_share,
        settings.rate_window_s,
    )
    deployment = _Deployment(
        fencing=settings.engines_check_fences,
        silence_ms=int(MISSED_HEARTBEATS_COUNT * settings.heartbeat_ms),
        tolerance=tolerance,
    )

    def decode(content: bytes) -> Bundle:
        document = configurations.parse_document(content)
        try:
            parsed = msgspec.convert(document, _Document, strict=False)
        except msgspec.ValidationError as error:
            raise SettingsError([str(error)]) from None
        return _bundle(parsed, deployment)

    return decode


class _Deployment(msgspec.Struct, frozen=True):
    """Values from a member's settings that every bundle needs."""

    fencing: bool
    silence_ms: int
    tolerance: RateTolerance


def _bundle(document: _Document, deployment: _Deployment) -> Bundle:
    services = document.services
    engines = [item.engine for item in services if item.engine is not None]
    role_models = [
        (service.name, model)
        for service in services
        if service.engine is not None
        for model in service.engine.models
    ]
    tenants = document.tenants or []
    # If there is no list of tenants, requests need no key.
    is_open = document.tenants is None
    return Bundle(
        version=document.version,
        roles=tuple(_role(service, deployment) for service in services),
        models=tuple(_model(role, model) for role, model in role_models),
        adapters=tuple(
            Adapter(f"{model.name}/a{number}", model.name, _mib(model.adapterMb))
            for _, model in role_models
            for number in range(1, model.adapters + 1)
        ),
        client_accounts=tuple(
            _account(tenant, deployment.tolerance) for tenant in tenants
        ),
        keys=tuple(
            Key(hashlib.sha256(key.encode()).hexdigest(), tenant.name)
            for tenant in tenants
            for key in tenant.apiKeys
        ),
        store=_store(engines),
        forwards=tuple(_forward_route(route, is_open) for route in document.routes),
        caller_limits=_caller_limits(document.limits or _Limits()),
    )


def _role(service: _Service, deployment: _Deployment) -> Role:
    engine = service.engine
    return Role(
        name=service.name,
        kind=RoleKind.SERVICE if engine is None else RoleKind.ENGINE,
        fencing=deployment.fencing,
        memory_limit_mib=None if engine is None else math.floor(engine.weightsMb),
        settles_orders=False,
        adapter_places_count=0 if engine is None else engine.adapterSlots,
        connections_limit_count=service.maxConnections,
        silence_limit_ms=deployment.silence_ms,
        unload_delay_ms=UNLOAD_DELAY_MS,
        orders_one_by_one=True,
        fills_memory=True,
        reports_load=False,
        cache_tokens=0 if engine is None else engine.kvCapacityTokens,
        cold_requests_per_s=service.coldPerS,
    )


def _model(role: str, model: _Model) -> Model:
    return Model(
        name=model.name,
        role=role,
        memory_mib=_mib(model.weightsMb),
        load_ms=math.ceil(model.loadS * 1_000),
        warm_load_ms=math.ceil(model.warmS * 1_000),
        disk_load_ms=math.ceil(model.diskS * 1_000),
    )


def _mib(size_mb: float) -> int:
    # Sizes and capacity come in the same unit, so they are only rounded, not converted.
    return max(1, math.ceil(size_mb - 1e-6))


def _account(tenant: _Tenant, tolerance: RateTolerance) -> ClientAccount:
    rate = math.floor(tenant.ratePerS or 0.0)
    burst = math.floor(tenant.burst or rate)
    is_limited = rate > 0 or burst > 0
    rate, burst = max(1, rate), max(1, burst)
    window_tokens = bucket.max_window_tokens(rate, burst, tolerance)
    rate, burst = bucket.limits_with_tolerance(rate, burst, tolerance)
    return ClientAccount(
        name=tenant.name,
        rate_tokens_per_s=rate,
        burst_tokens=burst,
        is_limited=is_limited,
        counts_tokens=tenant.unit == "tokens",
        plain_cost_tokens=tenant.plainTokens if tenant.unit == "tokens" else 1,
        priority=tenant.priority,
        window_tokens=window_tokens,
        window_ms=round(tolerance.window_s * 1_000),
        home_regions=tuple(tenant.allowedRegions or ()),
    )


def _store(engines: list[_Engine]) -> Store:
    loads_per_s = sum(engine.loadsPerS for engine in engines) or 1.0
    load_s = max(
        (model.loadS for engine in engines for model in engine.models), default=0
    )
    # The store starts loads at its rate, so as many are in flight at full speed as it
    # starts during the longest load.
    return Store(
        loads_per_s=loads_per_s,
        loads_in_flight_count=max(2, math.floor(loads_per_s * load_s)),
    )


def _forward_route(route: _Route, is_open: bool) -> ForwardRoute:
    if route.trafficSplit:
        targets = tuple(
            WeightedRole(split.service, round(split.weight))
            for split in route.trafficSplit
        )
    else:
        targets = (WeightedRole(route.service or "", 1),)
    return ForwardRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.pathPrefix,
        repeat=_repeat(route),
        targets=targets,
        timeout_ms=math.floor(route.timeoutMs),
        objective_ms=math.floor(route.targetLatencyMs),
        gap_objective_ms=math.floor(route.gapAimMs),
        priority=route.priority,
        attempts_limit_count=max(1, route.maxAttempts),
        open=route.authExempt or is_open,
        first_token_limit_ms=_abandon_ms(route),
        home_regions=tuple(route.allowedRegions or ()),
    )


def _abandon_ms(route: _Route) -> int | None:
    """Returns the gap, also before the first event, after which callers give up."""
    if route.kind != "streaming":
        return None
    return math.floor(
        max(MIN_ABANDON_MS, 4 * route.targetLatencyMs, 8 * route.gapAimMs)
    )


def _repeat(route: _Route) -> Repeat:
    if route.kind == "streaming":
        return Repeat.RESUMABLE_STREAM if route.resumable else Repeat.STREAM
    # Requests of an unknown kind may not be repeated.
    return Repeat.IDEMPOTENT if route.kind == "safe" else Repeat.ONCE


def _caller_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        head_bytes=limits.maxHeaderBytes,
        body_bytes=limits.maxBodyBytes,
        head_timeout_ms=limits.headerTimeoutMs,
        idle_timeout_ms=limits.idleTimeoutMs,
    )
