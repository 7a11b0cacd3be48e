"""Control members, entries and scripted backend servers in this process.

Backend servers state limits on requests; the callers' load and all arrivals are
recorded. Links between entries and control members can be cut.
"""

import asyncio
import contextlib
import dataclasses
import functools
import random

import anyio

from cassiapitch import commands, control, forwarding, group, timers
from cassiapitch.announcements import Announcement
from cassiapitch.bundle import Bundle, Role
from cassiapitch.controlnode import ControlNode
from cassiapitch.entry import EntryProcess
from cassiapitch.forwardroutes import CallerLimits, ForwardRoute, Repeat, WeightedRole
from cassiapitch.platform.requests import HEADER_CODEC
from cassiapitch.settings import Address, ControlPeer, ControlSettings, EntrySettings
from cassiapitch.types import RoleKind
from tests.forward_world import Backend, answer_bytes
from tests.reserved import reserve_ports

LIMIT_S = 60
LOOPBACK = "127.0.0.1"
HOST = "shop.example"
# The users' rule: from this time after a limit was first stated, no window of this
# length has more than this share of what the limit allows, and this many more.
CONTACT_MS = 3_000
WINDOW_MS = 4_000
ALLOWED_SHARE = 1.5
SLACK_COUNT = 5


@dataclasses.dataclass(frozen=True)
class Reply:
    """How a call ended: `status` 0 without a response, times in milliseconds."""

    entry: str
    sent_ms: int
    took_ms: int
    status: int
    retry_after_s: float | None
    body: bytes = b""
    parts: tuple = ()
    request_id: str = ""


class CutRelay:
    """Forwards connections to one port; forwards nothing while it is cut."""

    def __init__(self, port, target_port):
        self.port, self.target_port = port, target_port
        self.restored = asyncio.Event()
        self.restored.set()

    async def run(self):
        server = await asyncio.start_server(self._serve, LOOPBACK, self.port)
        async with server:
            await anyio.sleep_forever()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError):
            await self.restored.wait()
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK, self.target_port
            )
            forwarders = [
                asyncio.ensure_future(self._forward(reader, target_writer)),
                asyncio.ensure_future(self._forward(target_reader, writer)),
            ]
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            for forwarder in forwarders:
                forwarder.cancel()
            target_writer.close()
        writer.close()

    async def _forward(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self.restored.wait()
                writer.write(data)
                await writer.drain()


class LimitedBackend(Backend):
    """A plain service that states its limit, or asks for a pause, while one is set."""

    places_count = 64

    def __init__(self, name, work_ms=5):
        super().__init__(name, self._answer)
        self.limit_per_s = None
        self.pause_s = None
        self.work_ms = work_ms
        self.arrivals_ms = []
        self.incarnation = 1
        self.port = 0

    async def _answer(self, backend, request, stream):
        self.arrivals_ms.append(timers.now_ms())
        headers = []
        if self.limit_per_s is not None:
            headers.append(f"Server-Limit: {self.limit_per_s}")
        status = 200
        if self.pause_s is not None:
            status = 503
            headers += ["Not-Executed: 1", f"Retry-After: {self.pause_s}"]
        await anyio.sleep(self.work_ms / 1000)
        request_id = request[2]["request-id"]
        await stream.send(answer_bytes(request_id, status=status, headers=headers))

    def count_between(self, start_ms, end_ms):
        return sum(start_ms <= arrived_ms < end_ms for arrived_ms in self.arrivals_ms)

    def most_in_window(self, since_ms):
        """Returns the highest count of any window that begins after a time."""
        starts = [
            arrived_ms for arrived_ms in self.arrivals_ms if arrived_ms >= since_ms
        ]
        return max(
            (self.count_between(start, start + WINDOW_MS) for start in starts),
            default=0,
        )


def allowed_count(limit_per_s):
    """Returns what the users' rule allows in one window."""
    return ALLOWED_SHARE * limit_per_s * WINDOW_MS / 1000 + SLACK_COUNT


class LimitWorld:
    """A deployment in one event loop; `play` starts and ends it."""

    repeat = Repeat.IDEMPOTENT
    attempts_limit_count = 2
    load_period_ms = 300

    def __init__(self, tasks, folder, entries_count, backends_count, seed=1):
        self.tasks, self.folder = tasks, folder
        self.seed, self.rng = seed, random.Random(seed)
        self.replies = []
        self.request_number = 0
        ports = iter(reserve_ports(6 + 3 * entries_count))
        self.peers = tuple(
            ControlPeer(f"c{n}", f"z{n}", Address(LOOPBACK, next(ports)))
            for n in range(3)
        )
        self.admin_ports = {peer.name: next(ports) for peer in self.peers}
        self.entry_names = [f"e{n}" for n in range(entries_count)]
        self.relays = {
            name: {
                peer.name: CutRelay(next(ports), peer.address.port)
                for peer in self.peers
            }
            for name in self.entry_names
        }
        self.backends = [self.make_backend(f"b{n}") for n in range(backends_count)]
        self.nodes, self.entries, self.scopes = {}, {}, {}
        self.stops, self.ended = {}, {}
        self.announced_count = 0

    async def start(self):
        for peer in self.peers:
            self.start_member(peer)
        for backend in self.backends:
            await self.start_backend(backend)
        for relays in self.relays.values():
            for relay in relays.values():
                self.tasks.start_soon(relay.run)
        for name in self.entry_names:
            self.start_entry(name)
        await self.roll_bundle()
        self.tasks.start_soon(self._announce)
        await self.wait_until(self.are_entries_ready)

    def make_backend(self, name):
        return LimitedBackend(name)

    def zone_of(self, name):
        """Returns the availability zone of an entry or a backend server."""
        return "z0"

    def make_routes(self):
        return (self.make_route("/", self.repeat),)

    def make_route(self, path_prefix, repeat):
        return ForwardRoute(
            f"r{path_prefix}",
            HOST,
            path_prefix,
            repeat,
            (WeightedRole("shop", 1),),
            10_000,
            attempts_limit_count=self.attempts_limit_count,
            open=True,
        )

    async def start_backend(self, backend):
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        backend.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.tasks.start_soon(listener.serve, backend.serve)

    def start_member(self, peer):
        folder = self.folder / peer.name
        folder.mkdir(exist_ok=True)
        settings = ControlSettings(
            name=peer.name,
            zone=peer.zone,
            cluster="test",
            data_path=str(folder),
            rpc_address=peer.address,
            admin_address=Address(LOOPBACK, self.admin_ports[peer.name]),
            initial_members=self.peers,
            load_period_ms=self.load_period_ms,
        )
        stop = self.stops[peer.name] = anyio.Event()
        node = ControlNode(settings, control.make_parts(settings), stop)
        self.nodes[peer.name] = node
        self._start(peer.name, node.run)

    def start_entry(self, name):
        control_peers = tuple(
            dataclasses.replace(
                peer, address=Address(LOOPBACK, self.relays[name][peer.name].port)
            )
            for peer in self.peers
        )
        settings = EntrySettings(
            name=name,
            zone=self.zone_of(name),
            cluster="test",
            caller_address=Address(LOOPBACK, 0),
            admin_address=Address(LOOPBACK, 0),
            control=control_peers,
            serve_unconfirmed=True,
            tunnel_address=Address(LOOPBACK, 0),
            links_count=1,
            demand_period_ms=250,
        )
        make_server = functools.partial(forwarding.make_caller_server, HEADER_CODEC)
        stop = self.stops[name] = anyio.Event()
        entry = EntryProcess(settings, stop, make_server)
        self.entries[name] = entry
        self._start(name, entry.run)

    def _start(self, name, run):
        scope = self.scopes[name] = anyio.CancelScope()
        ended = self.ended[name] = anyio.Event()

        async def run_in_scope():
            with scope:
                await run()
            ended.set()

        self.tasks.start_soon(run_in_scope)

    async def kill(self, name):
        """Ends an entry or a member without a shutdown."""
        self.scopes.pop(name).cancel()
        self.nodes.pop(name, None)
        self.entries.pop(name, None)
        await anyio.sleep(0.05)

    async def stop_entry(self, name):
        """Stops an entry as planned and returns once it has ended."""
        self.stops[name].set()
        await self.ended[name].wait()
        self.entries.pop(name, None)

    async def stop_member(self, name):
        """Stops a control member as planned and returns once it has ended."""
        del self.nodes[name]
        self.stops[name].set()
        await self.ended[name].wait()

    def cut(self, name):
        """Cuts an entry off from all control members."""
        for relay in self.relays[name].values():
            relay.restored.clear()

    def heal(self, name):
        for relay in self.relays[name].values():
            relay.restored.set()

    def leader(self):
        for name, node in self.nodes.items():
            if node.member.has_lease(timers.now_ms()):
                return name
        return None

    async def wait_until(self, condition):
        while not (result := condition()):  # noqa: ASYNC110
            await anyio.sleep(0.02)
        return result

    async def roll_bundle(self, version=1, routes=None):
        role = Role(
            "shop", RoleKind.SERVICE, silence_limit_ms=3_000, reports_load=False
        )
        bundle = Bundle(
            version=version,
            roles=(role,),
            forwards=routes or self.make_routes(),
            caller_limits=CallerLimits(16_384, 1_000_000, 1_000, 5_000),
        )
        command = commands.PutBundle(bundle, "text", "", "ann", "ann")
        while True:
            leader = await self.wait_until(self.leader)
            member = self.nodes[leader].member
            outcome = await group.propose(member, command, 2_000)
            if isinstance(outcome, group.Applied):
                return

    async def _announce(self):
        """Delivers announcements of all backend servers, to any member with a leader."""
        while True:
            self.announced_count += 1
            for backend in self.backends:
                announcement = Announcement(
                    backend.name,
                    f"{backend.name}@{backend.incarnation}",
                    "shop",
                    self.zone_of(backend.name),
                    LOOPBACK,
                    backend.port,
                    10**9,
                    backend.places_count,
                    sequence=self.announced_count,
                    started_ms=backend.incarnation,
                    software_version=getattr(backend, "version", ""),
                )
                for node in list(self.nodes.values()):
                    if await node.deliver(announcement):
                        break
            await anyio.sleep(0.3)

    def are_entries_ready(self):
        return all(
            len(entry.state.catalog.services("shop")) == len(self.backends)
            and entry.state.freshness.as_of_ms is not None
            for entry in self.entries.values()
        )

    async def call(
        self, name, deadline_ms=1_500, headers="", body=b"", parts=(), path="/x"
    ):
        """Sends one request to an entry and records its reply."""
        self.request_number += 1
        request_id = f"q{self.request_number}"
        entry = self.entries.get(name)
        sent_ms = timers.now_ms()
        head = (
            f"POST {path} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n"
            f"{headers}Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        received = b""
        ends = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, AttributeError)
        with contextlib.suppress(*ends):
            # There is no entry of this name, or no server yet, during a restart.
            port = entry.caller_server.port
            async with await anyio.connect_tcp(LOOPBACK, port) as stream:
                await stream.send(head.encode() + body)
                while True:
                    received += await stream.receive()
        status = int(received.split()[1]) if received else 0
        retry_after_s = None
        for line in received.split(b"\r\n"):
            if line.lower().startswith(b"retry-after:"):
                retry_after_s = float(line.split(b":")[1])
        took_ms = timers.now_ms() - sent_ms
        response_body = received.partition(b"\r\n\r\n")[2]
        reply = Reply(
            name,
            sent_ms,
            took_ms,
            status,
            retry_after_s,
            response_body,
            parts,
            request_id,
        )
        self.replies.append(reply)
        return reply

    async def load(self, names, calls_per_s, for_s, deadline_ms=1_500):
        """Sends calls at an even rate to entries drawn at random."""
        async with anyio.create_task_group() as calls:
            end_ms = timers.now_ms() + for_s * 1000
            while timers.now_ms() < end_ms:
                name = self.rng.choice([n for n in names if n in self.entries])
                calls.start_soon(self.call, name, deadline_ms)
                await anyio.sleep(1 / calls_per_s)

    def served_between(self, start_ms, end_ms):
        return [
            reply
            for reply in self.replies
            if reply.status == 200
            and start_ms <= reply.sent_ms + reply.took_ms < end_ms
        ]


def play(
    scenario, folder, *, entries_count=4, backends_count=2, seed=1, world_type=None
):
    """Runs a scenario in a started world and returns its result."""
    make_world = world_type or LimitWorld

    async def main():
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as tasks:
                world = make_world(tasks, folder, entries_count, backends_count, seed)
                await world.start()
                result = await scenario(world)
                tasks.cancel_scope.cancel()
        return result

    return anyio.run(main)


class KeptCaller:
    """A caller that uses one connection until it ends, then connects elsewhere."""

    def __init__(self, world, number, path="/x"):
        self.world, self.number, self.path = world, number, path
        self.rng = random.Random(f"{world.seed}-{number}")

    async def run(self):
        while True:
            await self._use_one_connection(self.rng.choice(sorted(self.world.entries)))
            await anyio.sleep(0.02)

    async def _use_one_connection(self, name):
        port = self.world.entries[name].caller_server.port
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
        except OSError:
            return
        try:
            while await self._exchange(name, reader, writer):  # noqa: ASYNC110
                await anyio.sleep(self.rng.uniform(0, 0.2))
        finally:
            writer.close()

    async def _exchange(self, name, reader, writer):
        self.world.request_number += 1
        sent_ms = timers.now_ms()
        head = (
            f"POST {self.path} HTTP/1.1\r\n"
            f"Host: {HOST}\r\n"
            f"Request-Id: q{self.world.request_number}\r\n"
            "Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
        )
        status = 0
        try:
            writer.write(head.encode())
            response_head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = response_head.split(b"content-length:")[1].split(b"\r\n")[0]
            await reader.readexactly(int(length))
            status = int(response_head.split()[1])
        except (OSError, asyncio.IncompleteReadError):
            response_head = b"connection: close"
        took_ms = timers.now_ms() - sent_ms
        self.world.replies.append(Reply(name, sent_ms, took_ms, status, None))
        return b"connection: close" not in response_head
