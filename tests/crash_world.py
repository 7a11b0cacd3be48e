"""A deployment whose backend servers crash on certain parts of prompts.

Like `limit_world`; a crashed backend server is a new incarnation when it is back.
"""

import asyncio
import contextlib
import functools

import anyio

from cassiapitch import timers
from cassiapitch.forwardroutes import Repeat
from tests import limit_world
from tests.forward_world import answer_bytes, chunk, stream_head
from tests.reserved import reserve_ports

RESTART_MS = 700
WORK_MS = 25
EVENTS_COUNT = 12
EVENT_MS = 100
# The users' rule: so long after the fifth crash, this many requests with the part may
# still reach backend servers.
CRASHES_COUNT = 5
ALLOWED_COUNT = 3


class CrashingBackend:
    """Answers requests; crashes when it begins to answer one with a deadly part."""

    places_count = 64

    def __init__(self, name, tasks, deadly_parts):
        self.name, self.tasks, self.deadly_parts = name, tasks, deadly_parts
        self.incarnation, self.port = 1, 0
        self.server, self.writers = None, set()
        self.arrivals, self.crashes_ms, self.crashed_by = [], [], []
        self.is_running = True

    async def listen(self):
        self.server = await asyncio.start_server(
            self._serve, limit_world.LOOPBACK, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._exchange(reader, writer):
                    pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _exchange(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        fields = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line
        )
        await reader.readexactly(int(fields.get("content-length", 0)))
        parts = {
            item.split(":")[0] for item in fields.get("prompt-prefix", "").split(",")
        }
        if head.startswith("GET /-/report"):
            await self._report(writer)
            return True
        self.arrivals.append((timers.now_ms(), parts))
        if not self.is_running:
            # The connection was accepted just before the crash.
            return False
        incarnation = self.incarnation
        await asyncio.sleep(WORK_MS / 1000)
        if incarnation != self.incarnation:
            return False
        if parts & self.deadly_parts:
            self.crashed_by += parts & self.deadly_parts
            self.crash()
            return False
        return await self._answer(fields, writer)

    async def _report(self, writer):
        report = b'{"born": %d}' % self.incarnation
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(report), report)
        )
        await writer.drain()

    async def _answer(self, fields, writer):
        writer.write(answer_bytes(fields["request-id"]))
        await writer.drain()
        return True

    def crash(self):
        """Resets all connections and listens again later as a new incarnation."""
        if not self.is_running:
            return
        self.crashes_ms.append(timers.now_ms())
        self.incarnation += 1
        self.is_running = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.tasks.start_soon(self._restart)

    async def _restart(self):
        await anyio.sleep(RESTART_MS / 1000)
        await self.listen()
        self.is_running = True


class StreamingBackend(CrashingBackend):
    """Answers with a stream of events, after the last one that the caller has.

    Each event names the backend server's software version.
    """

    version = "v1"

    async def _answer(self, fields, writer):
        writer.write(stream_head(fields["request-id"]))
        for number in range(int(fields.get("last-event-id", 0)) + 1, EVENTS_COUNT + 1):
            data = f"id: {number}\ndata: {self.version}\n\n"
            writer.write(chunk(data.encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_MS / 1000)
        writer.write(b"0\r\n\r\n")
        return True


class CrashWorld(limit_world.LimitWorld):
    """The deployment; `deadly_parts` may change while it runs."""

    def __init__(self, *arguments):
        self.deadly_parts = set()
        super().__init__(*arguments)

    def make_backend(self, name):
        return CrashingBackend(name, self.tasks, self.deadly_parts)

    async def start_backend(self, backend):
        # Another connection could get a free port while the backend server is away.
        (backend.port,) = reserve_ports(1)
        await backend.listen()

    async def call_with_parts(self, name, parts, deadline_ms=1_500):
        """Sends a request whose prompt ends with a part of its own."""
        own = f"{self.request_number + 1:x}:20"
        prefix = ",".join([*(f"{part}:50" for part in parts), own])
        return await self.call(
            name,
            deadline_ms,
            headers=f"Prompt-Prefix: {prefix}\r\n",
            body=own.encode(),
            parts=tuple(parts),
        )

    async def load_parts(self, draw_parts, calls_per_s, for_s):
        """Sends calls at an even rate; `draw_parts` returns the parts of each."""
        async with anyio.create_task_group() as calls:
            end_ms = timers.now_ms() + for_s * 1000
            while timers.now_ms() < end_ms:
                name = self.rng.choice(self.entry_names)
                calls.start_soon(self.call_with_parts, name, draw_parts())
                await anyio.sleep(1 / calls_per_s)

    def crashes_ms(self):
        return sorted(time for item in self.backends for time in item.crashes_ms)

    def crashes_by(self, part):
        """Returns how many crashes a part has caused."""
        return sum(item.crashed_by.count(part) for item in self.backends)

    def arrivals_ms(self, part):
        """Returns when requests with a part reached backend servers."""
        return sorted(
            arrived_ms
            for backend in self.backends
            for arrived_ms, parts in backend.arrivals
            if part in parts
        )

    def late_count(self, part):
        """Returns how many requests with a part came too late after its fifth crash."""
        crashes_ms = self.crashes_ms()
        if len(crashes_ms) < CRASHES_COUNT:
            return 0
        limit_ms = crashes_ms[CRASHES_COUNT - 1] + limit_world.CONTACT_MS
        return sum(arrived_ms > limit_ms for arrived_ms in self.arrivals_ms(part))


class StreamWorld(CrashWorld):
    """The same with streams that may be resumed."""

    repeat = Repeat.RESUMABLE_STREAM
    attempts_limit_count = 4

    def make_backend(self, name):
        return StreamingBackend(name, self.tasks, self.deadly_parts)

    async def take_up(self, name, reply):
        """Continues a stream that has broken off, as its caller would."""
        headers = (
            f"Last-Event-Id: {last_event_id(reply)}\r\nResumes: {reply.request_id}\r\n"
        )
        return await self.call(name, 8_000, headers=headers, body=b"taken up")


def last_event_id(reply):
    return reply.body.count(b"id: ")


def is_whole(reply):
    return reply.body.endswith(b"0\r\n\r\n")


def versions(*replies):
    """Returns the software versions whose events the replies hold."""
    return {
        line.removeprefix(b"data: ").decode()
        for reply in replies
        for line in reply.body.split(b"\n")
        if line.startswith(b"data: ")
    }


play = functools.partial(limit_world.play, world_type=CrashWorld, backends_count=6)
