"""Data classes of the settings files of the programs; `config.load` reads them."""

import dataclasses
from typing import Annotated

from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65535)]
PositiveInt = Annotated[int, Meta(ge=1)]
NaturalInt = Annotated[int, Meta(ge=0)]
# Amounts in settings need not be whole numbers.
Amount = Annotated[float, Meta(ge=0)]
PositiveAmount = Annotated[float, Meta(gt=0)]
AmountAtLeastOne = Annotated[float, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$")]
Sha256Hex = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
IpPortText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}:[0-9]{1,5}$")]
IpAddressText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}$")]

# A predecessor that stops takes its grace time of 30 s by default, one that stands
# still takes minutes, and so may an outgoing connection that got the port.
LISTEN_TIMEOUT_S = 600.0
GRACE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """IP address and port that a process listens on."""

    ip: IpAddressText
    port: Port

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files for mutual TLS between the system's own processes."""

    ca_path: str
    certificate_path: str
    key_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """An operator, who may use the administration API and sign bundles.

    Attributes:
        name: Recorded as author of each change.
        token_sha256: Digest of the bearer token for the administration API.
        public_key_hex: Ed25519 public key for bundle signatures, 32 bytes in hex.
    """

    name: Name
    token_sha256: Sha256Hex
    public_key_hex: Sha256Hex


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPeer:
    """A control member and the address where its peers and the entries reach it."""

    name: Name
    zone: Name
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of `cassiapitch-control`.

    Attributes:
        name: This member's name in the control group.
        zone: Availability zone of this instance.
        cluster: Name of the deployment; members of other deployments are refused.
        data_path: Folder for the member's data on this instance's disk.
        rpc_address: Address for RPCs of peers and entries.
        admin_address: Address of the administration API and of announcements.
        initial_members: The members that form the control group at its first start.
        operators: Operators who may use the administration API and sign bundles.
        bootstrap: Whether this member takes part in forming a new group.
        tls: Mutual TLS between the system's own processes; None on loopback.
        placement_policy: `demand`, or `fixed` as a baseline for comparisons.
        rate_policy: `demand`, or `equal_split` as a baseline for comparisons.
        log_path: Log file; None for standard output.
        seeds: Some members as `ip:port`, instead of `initial_members` where no list
            of the members exists. The port isn't the one for RPCs of peers; it is
            replaced by `seed_rpc_port`.
        seed_rpc_port: Port for RPCs of peers, the same for every member; used with
            `seeds`.
        tolerated_faults_count: Number of members that may be lost at once; the group
            then admits and replaces members automatically. None leaves that to
            operators.
        order_lease_ms: How long a new leader sends no order to an engine after another
            leader's order to it, so that two members never send orders alternately.
        heartbeat_ms: Interval of a backend server's heartbeats.
        admin_listen: `admin_address` as text.
        load_period_ms: Longest interval of load reports to the entries; below 900 ms it
            applies while the reports of a second fit one full batch.
        metrics_address: Address where metrics are served; None serves none.
        rate_tolerance_tokens: Tokens that all entries together may admit beyond an
            account's rate and burst in a window; unused rate grants that entries hold
            count against it.
        rate_tolerance_share: The same, as a share of rate and burst in the window.
        rate_window_s: Length of that window.
        engines_check_fences: Whether engines reject orders with a stale fencing token.
        zone_regions: Region of each availability zone of the deployment.
        admission_policy: `own`, or `shared` to compute admission levels for all
            entries while backend servers are short of capacity.
        prompt_pacing: `off`, or `shared` to give permits for prompts to busy engines.
        late_prompts: `refuse`, or `wait` to let prompts that would be late wait behind
            the timely ones of a paced engine.
        replica_policy: `demand`, or `backlog` to add copies of models whose engines
            have a backlog of prompts at once.
        first_loads: `one`, or `by_demand` to start as many loads of a model without a
            copy at the same time as its unserved demand calls for.
        further_loads: `one`, or `by_demand` to start as many further copies of a model
            with a backlog at the same time as its part of the demand calls for, and to
            keep engines free of loads for models in demand, where loads take less than
            2 s. Needs `replica_policy` `backlog`.
        adapter_engines: `any`, or `spared` to load no model at the only engine that is
            free of orders and serves a model whose adapters are asked for, where loads
            take 2 s or more.
        permit_order: `arrival`, or `rank` to give permits to limited backend servers to
            the most urgent rank first.
        held_bytes_limit_bytes: Maximum of all bytes held for the connections of the
            administration address; None for 40 MiB, which holds the largest bundle.
        relay_compression: `off`, or `zlib` to compress streams to and from those
            control members that have it set too.
        read_batch_ms: Shortest time between the starts of two rounds in which the
            leader confirms reads; reads that arrive meanwhile share the next one.
        memory_limit_mb: Memory that this process may use, in MB of 1,000,000 bytes;
            None or 0 for what `/proc/meminfo` shows. The lower one counts.
        descriptors_limit_count: Descriptors that it may open; None or 0 for its limit
            on descriptors. The lower one counts.
        listen_timeout_s: How long an address of this process may stay taken, its first
            sockets unavailable, and its TLS files unusable without a change, before
            the process ends.
        grace_s: Time from SIGTERM to the end of the process, even if a call on a disk
            takes longer.
    """

    name: Name
    zone: Name
    cluster: Name
    data_path: str
    rpc_address: Address
    admin_address: Address
    initial_members: tuple[ControlPeer, ...] = ()
    operators: tuple[Operator, ...] = ()
    bootstrap: bool = True
    tls: TlsSettings | None = None
    placement_policy: Annotated[str, Meta(pattern="^(demand|fixed)$")] = "demand"
    rate_policy: Annotated[str, Meta(pattern="^(demand|equal_split)$")] = "demand"
    log_path: str | None = None
    seeds: tuple[str, ...] = ()
    seed_rpc_port: Port = 0
    tolerated_faults_count: NaturalInt | None = None
    order_lease_ms: Amount = 0.0
    heartbeat_ms: AmountAtLeastOne = 500.0
    engines_check_fences: bool = False
    rate_tolerance_tokens: Amount = 0.0
    rate_tolerance_share: Annotated[float, Meta(ge=0, le=1)] = 0.0
    rate_window_s: Annotated[float, Meta(ge=0)] = 0.0
    admin_listen: IpPortText | None = None
    metrics_address: Address | None = None
    load_period_ms: PositiveInt = 1_000
    zone_regions: dict[str, str] = dataclasses.field(default_factory=dict)
    admission_policy: Annotated[str, Meta(pattern="^(own|shared)$")] = "own"
    prompt_pacing: Annotated[str, Meta(pattern="^(off|shared)$")] = "off"
    late_prompts: Annotated[str, Meta(pattern="^(refuse|wait)$")] = "refuse"
    replica_policy: Annotated[str, Meta(pattern="^(demand|backlog)$")] = "demand"
    first_loads: Annotated[str, Meta(pattern="^(one|by_demand)$")] = "one"
    further_loads: Annotated[str, Meta(pattern="^(one|by_demand)$")] = "one"
    adapter_engines: Annotated[str, Meta(pattern="^(any|spared)$")] = "any"
    permit_order: Annotated[str, Meta(pattern="^(arrival|rank)$")] = "arrival"
    held_bytes_limit_bytes: PositiveInt | None = None
    relay_compression: Annotated[str, Meta(pattern="^(off|zlib)$")] = "off"
    # A confirmation of a view waits for up to two rounds, so with 20 ms it is late by
    # 40 ms at most, of the 1,800 ms for which it counts.
    read_batch_ms: Annotated[int, Meta(ge=0, le=20)] = 0
    memory_limit_mb: Amount | None = None
    descriptors_limit_count: Amount | None = None
    listen_timeout_s: PositiveAmount = LISTEN_TIMEOUT_S
    grace_s: Annotated[float, Meta(gt=0)] = GRACE_S


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of `cassiapitch-entry`.

    Attributes:
        name: This entry's name.
        zone: Availability zone of this instance.
        cluster: Name of the deployment.
        caller_address: Address for callers.
        admin_address: Address of the administration API: status, state dump and drain.
        control: The control members to link to.
        operators: Operators who may use the administration API.
        tls: Mutual TLS between the system's own processes.
        balancer_delay_ms: How long the load balancer takes to notice a change of
            `/healthz`.
        routing_policy: `least_cost`, or `round_robin` as a baseline for comparisons.
        queue_policy: `weighted_fair`, or `first_come` as a baseline for comparisons.
        body_limit_bytes: Maximum size of a request body.
        buffered_bodies_limit_bytes: Maximum total size of the bodies of all concurrent
            calls.
        connections_limit_count: Maximum number of caller connections that are served;
            up to 256 more are accepted at once only to be refused.
        seed: Seed of the random numbers for routing decisions, along with the name.
        log_path: Log file; None for standard output.
        seeds: Some control members as `ip:port`, instead of `control`; the port is
            replaced by `seed_rpc_port`.
        seed_rpc_port: Port for RPCs of entries, the same for every control member; used
            with `seeds`.
        readiness_address: Address where the load balancer checks whether this entry is
            ready.
        serve_unconfirmed: Whether an entry that has had a confirmed view before goes on
            serving with it while no control member can confirm it.
        caller_listen: `caller_address` as text.
        readiness_listen: `readiness_address` as text.
        demand_period_ms: Interval of reports of demand and requests in flight.
        grace_s: Time from SIGTERM to the end of the process.
        links_count: Number of control members that the entry is linked to at once; a
            second link keeps calls with a key confirmed while the member of the first
            link is lost.
        retry_share: Maximum number of retries from all entries to a role in a window,
            as a share of the requests for it; applies if `retry_slack_count` is set.
        retry_slack_count: Retries beyond that share, over all entries; None limits the
            retries of each entry separately.
        retry_window_s: Length of that window.
        confirm_period_ms: Interval of requests for a confirmation of the view.
        tunnel_address: Address where other entries that have lost their own links open
            connections to backend servers through this one; None to serve and use
            none.
        zone_regions: Region of each availability zone of the deployment.
        admission_policy: `own` admits by what this entry knows; `shared` also by the
            levels that the leader computes while backend servers are short of capacity.
        speed_policy: `own` rates backend servers by this entry's answers; `shared` by
            what all entries measured.
        prompt_pacing: `off`, or `shared` to send prompts to busy engines with permits
            of the leader only.
        held_bytes_limit_bytes: Maximum of all bytes held for callers and backend
            servers; None for an eighth of the instance's memory, within limits.
        prefer_idle_connections: Whether forwarded requests go to a backend server to
            which an idle connection exists, among about equally good ones.
        memory_limit_mb: Memory that this process may use, in MB of 1,000,000 bytes;
            None or 0 for what `/proc/meminfo` shows. The lower one counts.
        descriptors_limit_count: Descriptors that it may open; None or 0 for its limit
            on descriptors. The lower one counts.
        listen_timeout_s: How long an address of this process may stay taken, its first
            sockets unavailable, and its TLS files unusable without a change, before
            the process ends.
    """

    name: Name
    zone: Name
    cluster: Name
    caller_address: Address
    admin_address: Address
    control: tuple[ControlPeer, ...] = ()
    operators: tuple[Operator, ...] = ()
    tls: TlsSettings | None = None
    balancer_delay_ms: NaturalInt = 2_000
    routing_policy: Annotated[str, Meta(pattern="^(least_cost|round_robin)$")] = (
        "least_cost"
    )
    queue_policy: Annotated[str, Meta(pattern="^(weighted_fair|first_come)$")] = (
        "weighted_fair"
    )
    body_limit_bytes: PositiveInt = 4 * 1024 * 1024
    buffered_bodies_limit_bytes: PositiveInt = 128 * 1024 * 1024
    connections_limit_count: PositiveInt = 2_000
    seed: NaturalInt = 1
    log_path: str | None = None
    seeds: tuple[str, ...] = ()
    seed_rpc_port: Port = 0
    readiness_address: Address | None = None
    caller_listen: IpPortText | None = None
    readiness_listen: IpPortText | None = None
    serve_unconfirmed: bool = False
    grace_s: Annotated[float, Meta(gt=0)] = GRACE_S
    demand_period_ms: PositiveInt = 500
    retry_share: Annotated[float, Meta(ge=0, le=1)] = 0.2
    retry_slack_count: Amount | None = None
    retry_window_s: Annotated[float, Meta(gt=0)] = 10.0
    links_count: Annotated[int, Meta(ge=1, le=2)] = 2
    confirm_period_ms: Annotated[int, Meta(ge=50, le=500)] = 250
    tunnel_address: Address | None = None
    zone_regions: dict[str, str] = dataclasses.field(default_factory=dict)
    admission_policy: Annotated[str, Meta(pattern="^(own|shared)$")] = "own"
    speed_policy: Annotated[str, Meta(pattern="^(own|shared)$")] = "own"
    prompt_pacing: Annotated[str, Meta(pattern="^(off|shared)$")] = "off"
    held_bytes_limit_bytes: PositiveInt | None = None
    prefer_idle_connections: bool = False
    memory_limit_mb: Amount | None = None
    descriptors_limit_count: Amount | None = None
    listen_timeout_s: PositiveAmount = LISTEN_TIMEOUT_S
