"""Connects the parts of a control member and runs their tasks."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
import anyio.abc

from cassiapitch import (
    asgi,
    dump,
    group,
    metrics,
    plainhttp,
    process_limits,
    rpc,
    timers,
)
from cassiapitch.admin import AdminApi
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.command_batcher import CommandBatcher
from cassiapitch.connection_limit import descriptors_limit, streams_limit
from cassiapitch.entry_directory import EntryDirectory
from cassiapitch.group import ControlGroup
from cassiapitch.hub import Hub
from cassiapitch.leader_tasks import RateGrantService
from cassiapitch.limit_messages import PermitAsk, RelayedPermits
from cassiapitch.member_memory import MemberMemory, links_limit, member_state
from cassiapitch.messages import (
    DemandReport,
    LoadReports,
    RateAsk,
    RelayedGrants,
)
from cassiapitch.permit_service import PermitService
from cassiapitch.relay import Relay
from cassiapitch.replicated import FleetState, ReplicatedState
from cassiapitch.settings import ControlSettings
from cassiapitch.socket_retries import Listeners
from cassiapitch.task_failures import Restart, start
from cassiapitch.tunnel_messages import AllEntries, LinkedEntries
from cassiapitch.zone_drains import ZoneDrains

CLOSE_TIMEOUT_S = 3
# How often changes of the entries that are linked here are looked for.
ENTRIES_PERIOD_MS = 500
# Shortest time between two load reports to the entries.
LOAD_REPORTS_SPACING_MS = 20
# Connections to the metrics address; the reserved descriptors cover them.
METRICS_LIMIT_COUNT = 32
BACKEND_PREFIX = "/backend/"


class MemberTask(ControlGroup, Protocol):
    """What the process needs of `member.Member` besides `ControlGroup`."""

    async def run(self) -> None:
        """Runs the member with its sockets and files until cancelled."""

    def serve_handlers(self) -> list[Any]:
        """Returns handlers to mount on the process's rpc server."""


class PlacementTask(Protocol):
    """What the process needs of `controller.Controller`."""

    def on_announcement(self, announcement: Announcement) -> None:
        """Handles an announcement of a backend server."""

    def on_demand(self, report: DemandReport) -> bool:
        """Handles an entry's demand report as the leader.

        Returns:
            Whether all entries should get load reports at once.
        """

    def on_local_demand(self, report: DemandReport) -> None:
        """Handles the demand report of an entry that is linked to this member."""

    def on_load_reports(self, reports: LoadReports) -> None:
        """Handles what the leader sends to all members, for when this one leads."""

    def load_reports(self) -> LoadReports:
        """Returns the load reports that are new since the last call."""

    def update_metrics(self) -> None:
        """Sets the gauges of what this member knows as the leader."""

    def describe_speeds(self) -> list[dict[str, Any]]:
        """Returns the measured speeds of backend servers for the dump."""

    def describe_admission(self) -> dict[str, Any]:
        """Returns the backend servers that are short of capacity, for the dump."""

    async def run(self) -> None:
        """Places models while this member leads, until cancelled."""


Deliver = Callable[[Announcement], Awaitable[bool]]


async def _stay(member: MemberTask) -> None:
    """Keeps the member's place in the group."""


@dataclasses.dataclass(frozen=True, slots=True)
class ControlNodeParts:
    """Parts of a control member that other modules provide.

    Attributes:
        make_member: Creates the member from its state machine and `on_applied`.
        fleet: Backend servers and orders as replicated state.
        fleet_commands: The fleet's command data classes.
        make_placement: Creates the placement task, given the member.
        make_announce_route: Creates the HTTP application for announcements.
        tasks: Returns additional tasks to run by name, given the member. They keep
            no state, and are started again after errors.
        leave: Called when the process stops, before connections are closed.
        make_app: Creates the HTTP application of the administration address; by
            default the administration API and the announcements.
    """

    make_member: Callable[[ReplicatedState, Callable[[int], None]], MemberTask]
    fleet: FleetState
    fleet_commands: tuple[type, ...]
    make_placement: Callable[[MemberTask], PlacementTask]
    make_announce_route: Callable[[Deliver], asgi.App]
    tasks: Callable[[MemberTask], dict[str, Callable[[], Awaitable[None]]]] = (
        lambda member: ()
    )
    make_app: Callable[["ControlNode"], asgi.App] | None = None
    leave: Callable[[MemberTask], Awaitable[None]] = _stay


class ControlNode:
    """One control member with all its servers and tasks."""

    def __init__(
        self, settings: ControlSettings, parts: ControlNodeParts, stop: anyio.Event
    ) -> None:
        self._settings = settings
        self._stop = stop
        self._make_app = parts.make_app
        self._make_extra_tasks = parts.tasks
        self._leave = parts.leave
        self.state = ReplicatedState(parts.fleet, parts.fleet_commands)
        self.member = parts.make_member(self.state, self._on_applied)
        self._command_batcher = CommandBatcher(self.member, timers.now_ms)
        self._rate_grant_service = RateGrantService(
            self.member, self.state, settings.rate_policy, timers.now_ms
        )
        self._permit_service = PermitService(
            self.member,
            parts.fleet.backend_limit,
            timers.now_ms,
            lambda: self._placement.prompt_pacing,
            is_ranked=settings.permit_order == "rank",
            accepts_late=settings.late_prompts == "wait",
        )
        self._relay = Relay(
            settings.name,
            settings.cluster,
            self.member,
            settings.tls,
            self._handle_as_leader,
            self._handle_from_leader,
            accepts_zlib=settings.relay_compression == "zlib",
        )
        self._directory = EntryDirectory(settings.name)
        self._load_reports_due = anyio.Event()
        self.hub = Hub(
            settings.cluster,
            self.state,
            self.member,
            self._command_batcher,
            self._relay_to_leader,
            self._directory,
        )
        self._placement = parts.make_placement(self.member)
        self.zone_drains = ZoneDrains(
            self.member,
            self.state,
            self._known_zones,
            settings.tolerated_faults_count or 0,
            timers.now_ms,
        )
        self._admin = AdminApi(
            settings.operators,
            self.member,
            self.state,
            self.zone_drains,
            self._status,
            self._dump,
            stop.set,
        )
        self._announce_app = parts.make_announce_route(self.deliver)

    def _known_zones(self) -> set[str]:
        """Returns the deployment's zones: by the settings, or those in use."""
        if self._settings.zone_regions:
            return set(self._settings.zone_regions)
        members = self.member.status().members
        return self.state.zones() | {item.zone for item in members}

    def _on_applied(self, index: int) -> None:
        self.hub.on_applied(index)

    def _relay_to_leader(self, message: Any) -> None:
        """Relays an entry's message to the leader."""
        if isinstance(message, DemandReport):
            self._placement.on_local_demand(message)
        self._relay.send(message)

    def _handle_as_leader(self, message: Any, reply: Callable[[Any], None]) -> None:
        match message:
            case RateAsk():
                self._rate_grant_service.ask(message, reply)
            case PermitAsk():
                self._permit_service.ask(message, reply)
            case DemandReport():
                if self._placement.on_demand(message):
                    self._load_reports_due.set()
            case Announcement():
                self._placement.on_announcement(message)
            case LinkedEntries():
                self._directory.on_linked(message, timers.now_ms())

    def _handle_from_leader(self, message: Any) -> None:
        match message:
            case RelayedGrants():
                self.hub.deliver_answer(message.entry, message.life_id, message.grants)
            case RelayedPermits():
                self.hub.deliver_answer(message.entry, message.life_id, message.answer)
            case LoadReports():
                self._placement.on_load_reports(message)
                self.hub.broadcast(message)
            case AllEntries():
                self.hub.on_all_entries(message)

    async def deliver(self, announcement: Announcement) -> bool:
        """Relays an announcement to the leader; returns False if there is none."""
        if self.member.status().leader is None:
            return False
        self._relay.send(announcement)
        return True

    async def _serve_metrics(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"] != metrics.PATH:
            await asgi.send_json(send, 404, {})
            return
        metrics.VIEW_INDEX.set(self.state.index)
        self._placement.update_metrics()
        await metrics.serve(send)

    def _status(self) -> Any:
        return dump.status_document(
            self._settings.zone, self.member, self.state, self.hub, timers.now_ms()
        )

    def _dump(self) -> Any:
        document = dump.dump_document(
            self._settings.zone,
            self.member,
            self.state,
            self.hub,
            self._rate_grant_service,
            self._permit_service,
            self._placement.describe_admission(),
            timers.now_ms(),
        )
        return {**document, "speeds": self._placement.describe_speeds()}

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `stop` is set; reports the administration port."""
        if self._make_app is None:
            app = _combine_apps(self._admin, self._announce_app)
        else:
            app = self._make_app(self)
        memory = MemberMemory(
            process_limits.decide(self._settings).memory_bytes,
            self._settings.held_bytes_limit_bytes,
            member_state(self.state),
            has_tls=self._settings.tls is not None,
        )
        held_bytes = memory.held_bytes
        metrics.HELD_BYTES.sample = held_bytes.sizes
        listeners = Listeners(self._settings.listen_timeout_s)
        http = plainhttp.PlainHttpServer(
            app,
            self._settings.admin_address,
            held_bytes,
            listeners=listeners,
            memory_limit=memory.administration_limit_count,
        )
        server = rpc.RpcServer(
            [*self.member.serve_handlers(), self.hub.handler(), self._relay.handler()],
            held_bytes,
        )

        def open_limit() -> int | None:
            return streams_limit(
                descriptors_limit(),
                http.connections_limit_count,
                memory.streams_limit_count(),
            )

        self.hub.links_limit = lambda: links_limit(open_limit())
        self.hub.claims_limit = lambda: memory.claims_limit_count
        server.bind(
            self._settings.rpc_address,
            self._settings.tls,
            open_limit=open_limit,
            listeners=listeners,
        )
        try:
            async with anyio.create_task_group() as tasks:
                self._start_tasks(tasks, server, memory, listeners)
                http_ended = anyio.Event()
                start(tasks, "administration", _run_http, http, http_ended)
                task_status.started(http.port)
                await self._stop.wait()
                await self._shut_down(http)
                with anyio.move_on_after(CLOSE_TIMEOUT_S):
                    await http_ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.move_on_after(CLOSE_TIMEOUT_S, shield=True):
                await server.close()

    def _start_tasks(
        self,
        tasks: anyio.abc.TaskGroup,
        server: rpc.RpcServer,
        memory: MemberMemory,
        listeners: Listeners,
    ) -> None:
        """Starts all long-running tasks but that of the administration."""
        start(tasks, "member", self._run_member, server)
        start(tasks, "proposals", self._command_batcher.run)
        start(tasks, "confirmations", self.hub.run_confirmations)
        start(tasks, "rate grants", self._rate_grant_service.run)
        start(tasks, "permits", self._permit_service.run)
        start(tasks, "placement", self._placement.run)
        # These decide anew in each round, by what the log holds.
        for name, task in {
            "member lists": self.hub.announce_members,
            "load reports": self._broadcast_load_reports,
            "entry lists": self._share_entries,
            "relay": self._relay.run,
            "memory limits": memory.run,
            **self._make_extra_tasks(self.member),
        }.items():
            start(tasks, name, task, restart=Restart.AFTER_ANY_ERROR)
        if self._settings.metrics_address is not None:
            start(
                tasks,
                "metrics",
                plainhttp.PlainHttpServer(
                    self._serve_metrics,
                    self._settings.metrics_address,
                    memory.held_bytes,
                    METRICS_LIMIT_COUNT,
                    "metrics",
                    listeners,
                ).run,
            )

    async def _run_member(self, server: rpc.RpcServer) -> None:
        """Runs the member once it listens for the other members.

        A predecessor that still has the address may still write to the data folder.
        """
        await server.open()
        await self.member.run()

    async def _shut_down(self, http: plainhttp.PlainHttpServer) -> None:
        """Transfers leadership, and only then disconnects entries and operators."""
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            if group.is_leader(self.member):
                await self.member.transfer_leadership(None)
        await self._leave(self.member)
        self.hub.close_links()
        http.close()

    async def _broadcast_load_reports(self) -> None:
        period_ms = max(LOAD_REPORTS_SPACING_MS, self._settings.load_period_ms)
        while True:
            await anyio.sleep(LOAD_REPORTS_SPACING_MS / 1000)
            with anyio.move_on_after((period_ms - LOAD_REPORTS_SPACING_MS) / 1000):
                await self._load_reports_due.wait()
            self._load_reports_due = anyio.Event()
            if group.is_leader(self.member):
                self._relay.broadcast(self._placement.load_reports())

    async def _share_entries(self) -> None:
        """Tells the leader the entries linked here and, as the leader, all members."""
        while True:
            await anyio.sleep(ENTRIES_PERIOD_MS / 1000)
            now_ms = timers.now_ms()
            leader = self.member.status().leader
            all_entries = self._directory.all_entries(leader, now_ms)
            linked = self._directory.linked(self.hub.linked_entries(), leader, now_ms)
            if linked is not None:
                self._relay.send(linked)
            if all_entries is not None:
                self._relay.broadcast(all_entries)


async def _run_http(http: plainhttp.PlainHttpServer, ended: anyio.Event) -> None:
    await http.run()
    ended.set()


def _combine_apps(admin: asgi.App, announce: asgi.App) -> asgi.App:
    """Returns an application that serves backend servers and operators on one port."""

    async def serve(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        is_backend = scope.get("path", "").startswith(BACKEND_PREFIX)
        await (announce if is_backend else admin)(scope, receive, send)

    return serve
