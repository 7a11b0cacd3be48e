"""Streams to the other control members.

Each member opens one stream to every other one and sends on it; messages back come
on the other one's stream, apart from an empty batch once a second, which shows that
this stream is alive. Messages may be lost: consensus repeats what matters.
"""

import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import codec, events, rpc
from cassiapitch.exceptions import CodecError
from cassiapitch.raftmessages import PeerBatch, PeerHello
from cassiapitch.settings import Address, TlsSettings
from cassiapitch.timers import now_ms

SERVICE = "Raft"
METHOD = "Messages"
QUEUE_LIMIT_BYTES = 16 * 1024 * 1024
QUEUE_LIMIT_COUNT = 4_096
BATCH_BYTES = 512 * 1024
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
# A connection to an isolated instance looks intact until TCP gives up, which takes
# minutes. The receiver of messages shows once a second that it is there.
SILENCE_LIMIT_MS = 3_000
ALIVE_MS = 1_000
BACKOFF_FIRST_S = 0.05
BACKOFF_LAST_S = 1.0

LOST = (
    OSError,
    TimeoutError,
    CodecError,
)


class PeerRefusedError(Exception):
    """The process at an address is not the member that was expected there."""


@dataclasses.dataclass(slots=True)
class _Link:
    """Messages that wait for one member, and its connection's state."""

    target: str
    address: Address
    waiting: collections.deque[bytes]
    size_bytes: int
    changed: anyio.Event
    scope: anyio.CancelScope
    unanswered_ms: int | None = None


class Peers:
    """Links to all members that something was sent to."""

    def __init__(
        self,
        hello: Callable[[], PeerHello],
        on_message: Callable[[str, str, Any], None],
        tls: TlsSettings | None,
    ) -> None:
        """Prepares the links.

        Args:
            hello: Returns what this member says of itself.
            on_message: Called with sender, target and each message that arrives.
            tls: Mutual TLS between members.
        """
        self._hello = hello
        self._on_message = on_message
        self._tls = tls
        self._links: dict[str, _Link] = {}
        self._members: dict[str, Address] = {}
        # Addresses of members with an open stream to this one: a member whose group
        # is out of date has to answer a leader that it doesn't know yet.
        self._connected: dict[str, Address] = {}
        self._group: anyio.abc.TaskGroup | None = None
        # Called with what each member that connects says of itself.
        self.on_hello: Callable[[PeerHello], None] = lambda hello: None

    async def run(self) -> None:
        """Owns the links until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    def set_members(self, addresses: dict[str, Address]) -> None:
        """Takes the addresses of the group and closes links to others."""
        self._members = addresses
        wanted = addresses.keys() | self._connected.keys()
        for target in self._links.keys() - wanted:
            self._links.pop(target).scope.cancel()

    def _close_unless_member(self, target: str) -> None:
        if target not in self._members and target in self._links:
            self._links.pop(target).scope.cancel()

    def send(self, target: str, message: Any) -> bool:
        """Queues a message; returns False if it was dropped at once."""
        address = self._members.get(target) or self._connected.get(target)
        if address is None or self._group is None:
            return False
        link = self._links.get(target)
        if link is None or link.address != address:
            link = self._open(target, address)
        data = codec.encode(message)
        if (
            len(link.waiting) >= QUEUE_LIMIT_COUNT
            or link.size_bytes + len(data) > QUEUE_LIMIT_BYTES
        ):
            return False
        link.waiting.append(data)
        link.size_bytes += len(data)
        link.changed.set()
        return True

    def _open(self, target: str, address: Address) -> _Link:
        assert self._group is not None
        old = self._links.get(target)
        if old is not None:
            old.scope.cancel()
        link = _Link(
            target, address, collections.deque(), 0, anyio.Event(), anyio.CancelScope()
        )
        self._links[target] = link
        self._group.start_soon(self._keep_connected, link)
        return link

    async def _keep_connected(self, link: _Link) -> None:
        delay_s = BACKOFF_FIRST_S
        with link.scope:
            while True:
                started_ms = now_ms()
                reason = await self._connect_and_send(link)
                fields = {"target": link.target, "reason": reason}
                events.log(events.Event.PEER_LOST, **fields)
                # What waited is old by now; its senders repeat what still matters.
                link.waiting.clear()
                link.size_bytes = 0
                if now_ms() - started_ms > 1_000:
                    delay_s = BACKOFF_FIRST_S
                await anyio.sleep(delay_s)
                delay_s = min(BACKOFF_LAST_S, delay_s * 2)

    async def _connect_and_send(self, link: _Link) -> str:
        reasons: list[str] = []
        try:
            await self._connect(link)
        except* (*LOST, PeerRefusedError) as group:
            reasons = [repr(error) for error in group.exceptions]
        return ", ".join(reasons)

    async def _connect(self, link: _Link) -> None:
        async with self._opened(link.address) as stream:
            hello = await self._exchange(stream)
            if hello.disk_id != link.target:
                raise PeerRefusedError(f"{hello.name} has another disk")
            fields = {"name": hello.name, "target": link.target}
            events.log(events.Event.PEER_CONNECTED, **fields)
            link.unanswered_ms = None
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, link, stream)
                await self._send_all(link, stream)

    @contextlib.asynccontextmanager
    async def _opened(self, address: Address) -> AsyncIterator[rpc.Stream]:
        """Opens a stream; a member that is gone takes no longer than the limit."""
        channel = rpc.open_channel(address, self._tls)
        async with contextlib.AsyncExitStack() as stack:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await stack.enter_async_context(
                    rpc.open_stream(channel, SERVICE, METHOD)
                )
            yield stream

    async def _watch(self, link: _Link, stream: rpc.Stream) -> None:
        # Without reading, the end of a stream on a live connection goes unnoticed.
        while await stream.recv_message() is not None:
            link.unanswered_ms = None
        raise TimeoutError("the member ended the stream")

    async def _exchange(self, stream: rpc.Stream) -> PeerHello:
        own = self._hello()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            await stream.send_message(own)
            hello = await stream.recv_message()
        if not isinstance(hello, PeerHello) or hello.cluster != own.cluster:
            raise PeerRefusedError("not a member of this deployment")
        return hello

    async def _send_all(self, link: _Link, stream: rpc.Stream) -> None:
        while True:
            if not link.waiting:
                link.changed = anyio.Event()
                await link.changed.wait()
            batch = self._take_batch(link)
            time_ms = now_ms()
            if link.unanswered_ms is None:
                link.unanswered_ms = time_ms
            elif time_ms - link.unanswered_ms > SILENCE_LIMIT_MS:
                raise TimeoutError("the member does not answer")
            with anyio.fail_after(SEND_TIMEOUT_S):
                await stream.send_message(batch)

    def _take_batch(self, link: _Link) -> PeerBatch:
        items: list[bytes] = []
        size_bytes = 0
        while link.waiting and size_bytes < BATCH_BYTES:
            item = link.waiting.popleft()
            size_bytes += len(item)
            items.append(item)
        link.size_bytes -= size_bytes
        return PeerBatch(link.target, tuple(items))

    async def probe(self, address: Address) -> PeerHello | None:
        """Asks the member at an address who it is; None if it doesn't answer."""
        try:
            async with self._opened(address) as stream:
                hello = await self._exchange(stream)
                await stream.end()
            return hello
        except (*LOST, PeerRefusedError):
            return None

    async def serve(self, stream: rpc.Stream) -> None:
        """Receives another member's messages."""
        hello = await stream.recv_message()
        own = self._hello()
        if not isinstance(hello, PeerHello):
            return
        await stream.send_message(own)
        if hello.cluster != own.cluster:
            events.log(events.Event.PEER_REFUSED, target=hello.name, reason="cluster")
            return
        self.on_hello(hello)
        address = Address(hello.ip, hello.port)
        self._connected[hello.disk_id] = address
        try:
            await self._receive(hello.disk_id, stream)
        finally:
            if self._connected.get(hello.disk_id) is address:
                del self._connected[hello.disk_id]
                self._close_unless_member(hello.disk_id)

    async def _receive(self, sender: str, stream: rpc.Stream) -> None:
        alive_ms = now_ms()
        async for batch in stream:
            if not isinstance(batch, PeerBatch):
                return
            if now_ms() - alive_ms >= ALIVE_MS:
                alive_ms = now_ms()
                await stream.send_message(PeerBatch(sender, ()))
            for item in batch.items:
                self._on_message(sender, batch.target, codec.decode(item))
