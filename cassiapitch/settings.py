"""Settings of each program; `config.load` reads them."""

import dataclasses
from typing import Annotated

from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65535)]
PositiveInt = Annotated[int, Meta(ge=1)]
NaturalInt = Annotated[int, Meta(ge=0)]
# Amounts that a deployment states may be fractions.
Amount = Annotated[float, Meta(ge=0)]
AmountAtLeastOne = Annotated[float, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$")]
Sha256Hex = Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
IpPortText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}:[0-9]{1,5}$")]
IpAddressText = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]{2,45}$")]


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a process listens: an IP number and a port."""

    ip: IpAddressText
    port: Port

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files of mutual TLS between the system's own processes."""

    ca_path: str
    certificate_path: str
    key_path: str


@dataclasses.dataclass(frozen=True, slots=True)
class Operator:
    """Who may use the administration API and sign bundles.

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
    """One control member as its peers and the entries reach it."""

    name: Name
    zone: Name
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class ControlSettings:
    """Settings of `cassiapitch-control`.

    Attributes:
        name: This member's name in the control group.
        zone: Availability zone of this instance.
        cluster: Name of the deployment; members of another one are refused.
        data_path: The data folder on this instance's disk.
        rpc_address: Where peers and entries reach this member.
        admin_address: Where the administration API and announcements listen.
        initial_members: The members that form the group at its first start.
        operators: Who may use the administration API and sign bundles.
        bootstrap: Whether this member takes part in forming a new group.
        tls: Mutual TLS between the system's own processes; none on loopback.
        placement_policy: `demand`, or `fixed` as the baseline.
        rate_policy: `demand`, or `equal_split` as the baseline.
        seeds: Some members as `ip:port`, in place of `initial_members` where no list
            of the members exists; the port is not that of their peers.
        seed_rpc_port: Where the peers of every member reach it, for `seeds`.
        tolerated_faults_count: Members that may be lost at once; the group then
            admits and replaces members by itself. None leaves that to operators.
        order_lease_ms: How long after another leader's order to an engine a new
            leader sends it none, so that two members never take turns.
        heartbeat_ms: Time between two heartbeats of a backend server.
        admin_listen: `admin_address` as text.
        load_period_ms: Time between two load reports to the entries.
        metrics_address: Where counters and histograms are served; None for nowhere.
        rate_tolerance_tokens: What all entries together may admit beyond an account's
            rate and burst in a window; grants that are held unused count against it.
        rate_tolerance_share: The same as a share of rate and burst in the window.
        rate_window_s: Length of that window.
        engines_check_fences: Whether engines reject orders with a stale fence.
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


@dataclasses.dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of `cassiapitch-entry`.

    Attributes:
        name: This entry's name.
        zone: Availability zone of this instance.
        cluster: Name of the deployment.
        caller_address: Where callers reach this entry.
        admin_address: Where state dumps and drain orders are answered.
        control: The control members to link to.
        operators: Who may ask for a state dump or a drain.
        tls: Mutual TLS between the system's own processes.
        balancer_delay_ms: How long the balancer takes to notice `/healthz`.
        routing_policy: `least_cost`, or `round_robin` as the baseline.
        queue_policy: `weighted_fair`, or `first_come` as the baseline.
        body_limit_bytes: Largest request body.
        buffered_bodies_limit_bytes: Largest sum of the bodies of all calls at once.
        connections_limit_count: Largest number of caller connections that are served;
            256 more are open at once to be refused.
        seed: Seed of the routing decisions.
        seeds: Some control members as `ip:port`, in place of `control`.
        seed_rpc_port: Where entries reach every control member, for `seeds`.
        readiness_address: Where the balancer asks whether this entry is ready.
        serve_unconfirmed: Whether an entry that has once had a confirmed view goes on
            with it while no control member can confirm it.
        caller_listen: `caller_address` as text.
        readiness_listen: `readiness_address` as text.
        demand_period_ms: Time between two reports of demand and requests in flight.
        grace_s: Time from SIGTERM to the end of the process.
        links_count: Control members that it is linked to at once; a second link
            keeps keyed calls confirmed while the member of the first is lost.
        retry_share: Retries that a role may get in a window from all entries, as a
            share of the requests for it; applies where `retry_slack_count` is set.
        retry_slack_count: Retries beyond that share, over all entries; None for limits
            of each entry alone.
        retry_window_s: Length of that window.
        confirm_period_ms: Time between two asks for a confirmation of its view.
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
    grace_s: Annotated[float, Meta(gt=0)] = 30.0
    demand_period_ms: PositiveInt = 500
    retry_share: Annotated[float, Meta(ge=0, le=1)] = 0.2
    retry_slack_count: Amount | None = None
    retry_window_s: Annotated[float, Meta(gt=0)] = 10.0
    links_count: Annotated[int, Meta(ge=1, le=2)] = 2
    confirm_period_ms: Annotated[int, Meta(ge=50, le=500)] = 250
