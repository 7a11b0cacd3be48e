"""Streams between control members that carry the consensus messages.

Each member opens one stream to every other one and sends on it. Messages back arrive
on the other member's own stream, except for an empty batch once a second as a
keepalive. Messages may be lost: consensus repeats what matters. Batches with messages
are compressed if the hello messages of both members say that they read them so.
"""

import collections
import contextlib
import dataclasses
from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import codec, events, rpc, task_failures
from cassiapitch.exceptions import CodecError
from cassiapitch.raftmessages import PeerBatch, PeerHello
from cassiapitch.settings import Address, TlsSettings
from cassiapitch.timers import now_ms

SERVICE = "Raft"
METHOD = "Messages"
QUEUE_LIMIT_BYTES = 16 * 1024 * 1024
QUEUE_LIMIT_COUNT = 4_096
BATCH_LIMIT_BYTES = 512 * 1024
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
# A connection to an isolated instance looks intact until TCP gives up, which takes
# minutes. So the receiver sends a keepalive once a second while it gets messages. Only
# a batch that is sent this long after an unanswered one has to be answered: the
# receiver may have got the first one less than a second after its last keepalive.
SILENCE_LIMIT_MS = 3_000
KEEPALIVE_PERIOD_MS = 1_000
KEEPALIVE_DUE_MS = 1_500
BACKOFF_FIRST_S = 0.05
BACKOFF_LIMIT_S = 1.0

CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    CodecError,
)


class PeerRefusedError(Exception):
    """The process at an address isn't the expected member."""


@dataclasses.dataclass(slots=True)
class _Link:
    """Messages queued for one member, and the state of the connection to it.

    Attributes:
        target: The member's disk id.
        address: Where it listens.
        queued: Encoded messages.
        size_bytes: Their total size.
        message_queued: Set when a message is queued.
        scope: Cancels the link.
        unanswered_since_ms: When the first batch after the last keepalive was sent, or
            None if none was.
        due_since_ms: When the first batch that has to be answered was sent, or None if
            none was.
    """

    target: str
    address: Address
    queued: collections.deque[bytes]
    size_bytes: int
    message_queued: anyio.Event
    scope: anyio.CancelScope
    unanswered_since_ms: int | None = None
    due_since_ms: int | None = None

    def note_keepalive(self) -> None:
        """Records that the member has answered, or that a connection begins."""
        self.unanswered_since_ms = self.due_since_ms = None

    def note_batch(self, time_ms: int) -> None:
        """Records that a batch is about to be sent.

        Raises:
            TimeoutError: The member hasn't answered for `SILENCE_LIMIT_MS`.
        """
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = time_ms
        elif self.due_since_ms is None:
            if time_ms - self.unanswered_since_ms >= KEEPALIVE_DUE_MS:
                self.due_since_ms = time_ms
        elif time_ms - self.due_since_ms > SILENCE_LIMIT_MS - KEEPALIVE_DUE_MS:
            raise TimeoutError("the member does not answer")


class Peers:
    """Links to the members that messages were sent to."""

    def __init__(
        self,
        hello: Callable[[], PeerHello],
        on_message: Callable[[str, str, Any], None],
        tls: TlsSettings | None,
    ) -> None:
        """Starts without links; `send` opens them.

        Args:
            hello: Returns the hello message, which identifies this member.
            on_message: Called with sender, target and message for each that arrives.
            tls: Mutual TLS between members.
        """
        self._hello = hello
        self._on_message = on_message
        self._tls = tls
        self._links: dict[str, _Link] = {}
        self._member_addresses: dict[str, Address] = {}
        # Addresses of members with open streams to this one, the newest stream last: a
        # member with an outdated group has to answer a leader that it doesn't know yet.
        self._connected_addresses: dict[str, list[Address]] = {}
        self._task_group: anyio.abc.TaskGroup | None = None
        # Called with the hello of each member that connects.
        self.on_hello: Callable[[PeerHello], None] = lambda hello: None

    async def run(self) -> None:
        """Runs the tasks of the links until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._task_group = tasks
                await anyio.sleep_forever()
        finally:
            # Writes that end later still queue messages; these are dropped.
            self._task_group = None

    def set_members(self, addresses: dict[str, Address]) -> None:
        """Sets the addresses of the group's members and closes links to others."""
        self._member_addresses = addresses
        targets_to_keep = addresses.keys() | self._connected_addresses.keys()
        for target in self._links.keys() - targets_to_keep:
            self._links.pop(target).scope.cancel()

    def _close_unless_member(self, target: str) -> None:
        if target not in self._member_addresses and target in self._links:
            self._links.pop(target).scope.cancel()

    def send(self, target: str, message: Any) -> bool:
        """Queues a message; returns False if it was dropped.

        It is dropped if the target's address is unknown or the queue is full.
        """
        address = self._member_addresses.get(target)
        if address is None and target in self._connected_addresses:
            address = self._connected_addresses[target][-1]
        if address is None or self._task_group is None:
            return False
        link = self._links.get(target)
        if link is None or link.address != address:
            link = self._open(target, address)
        data = codec.encode(message)
        if (
            len(link.queued) >= QUEUE_LIMIT_COUNT
            or link.size_bytes + len(data) > QUEUE_LIMIT_BYTES
        ):
            return False
        link.queued.append(data)
        link.size_bytes += len(data)
        link.message_queued.set()
        return True

    def _open(self, target: str, address: Address) -> _Link:
        assert self._task_group is not None
        old = self._links.get(target)
        if old is not None:
            old.scope.cancel()
        link = _Link(
            target, address, collections.deque(), 0, anyio.Event(), anyio.CancelScope()
        )
        self._links[target] = link
        self._task_group.start_soon(self._keep_connected, link)
        return link

    async def _keep_connected(self, link: _Link) -> None:
        with link.scope:
            await task_failures.run_task(
                "peer",
                self._reconnect_forever,
                link,
                restart=task_failures.Restart.AFTER_ANY_ERROR,
            )

    async def _reconnect_forever(self, link: _Link) -> None:
        delay_s = BACKOFF_FIRST_S
        while True:
            started_ms = now_ms()
            reason = await self._run_until_lost(link)
            fields = {"target": link.target, "reason": reason}
            events.log(events.Event.PEER_LOST, **fields)
            # Queued messages are outdated; consensus repeats what still matters.
            link.queued.clear()
            link.size_bytes = 0
            if now_ms() - started_ms > 1_000:
                delay_s = BACKOFF_FIRST_S
            await anyio.sleep(delay_s)
            delay_s = min(BACKOFF_LIMIT_S, delay_s * 2)

    async def _run_until_lost(self, link: _Link) -> str:
        reasons: list[str] = []
        try:
            await self._run_connection(link)
        except* (*CONNECTION_ERRORS, PeerRefusedError) as errors:
            reasons = [repr(error) for error in errors.exceptions]
        return ", ".join(reasons)

    async def _run_connection(self, link: _Link) -> None:
        async with self._connected_stream(link.address) as stream:
            hello = await self._exchange_hellos(stream)
            if hello.disk_id != link.target:
                # The target's process is gone, even if its stream still looks open.
                self._connected_addresses.pop(link.target, None)
                self._close_unless_member(link.target)
                raise PeerRefusedError(f"{hello.name} has another disk id")
            if hello.accepts_zlib and self._hello().accepts_zlib:
                stream.compress_sent()
            fields = {"name": hello.name, "target": link.target}
            events.log(events.Event.PEER_CONNECTED, **fields)
            link.note_keepalive()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read_keepalives, link, stream)
                await self._send_all(link, stream)

    @contextlib.asynccontextmanager
    async def _connected_stream(self, address: Address) -> AsyncIterator[rpc.Stream]:
        """Opens a stream; raises TimeoutError if the member takes too long."""
        channel = rpc.open_channel(address, self._tls)
        async with contextlib.AsyncExitStack() as stack:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await stack.enter_async_context(
                    rpc.open_stream(channel, SERVICE, METHOD)
                )
            yield stream

    async def _read_keepalives(self, link: _Link, stream: rpc.Stream) -> None:
        # The end of a stream on a live connection is only noticed by reading.
        while await stream.recv_message() is not None:
            link.note_keepalive()
        raise TimeoutError("the member ended the stream")

    async def _exchange_hellos(self, stream: rpc.Stream) -> PeerHello:
        own = self._hello()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            await stream.send_message(own)
            hello = await stream.recv_message()
        if not isinstance(hello, PeerHello) or hello.cluster != own.cluster:
            raise PeerRefusedError("not a member of this deployment")
        return hello

    async def _send_all(self, link: _Link, stream: rpc.Stream) -> None:
        while True:
            if not link.queued:
                link.message_queued = anyio.Event()
                await link.message_queued.wait()
            batch = self._next_batch(link)
            link.note_batch(now_ms())
            with anyio.fail_after(SEND_TIMEOUT_S):
                await stream.send_message(batch)

    def _next_batch(self, link: _Link) -> PeerBatch:
        items: list[bytes] = []
        size_bytes = 0
        while link.queued and size_bytes < BATCH_LIMIT_BYTES:
            item = link.queued.popleft()
            size_bytes += len(item)
            items.append(item)
        link.size_bytes -= size_bytes
        return PeerBatch(link.target, tuple(items))

    async def probe(self, address: Address) -> PeerHello | None:
        """Returns the hello of the member at an address, or None without an answer."""
        try:
            async with self._connected_stream(address) as stream:
                hello = await self._exchange_hellos(stream)
                await stream.end()
            return hello
        except (*CONNECTION_ERRORS, PeerRefusedError):
            return None

    async def serve(self, stream: rpc.Stream) -> None:
        """Serves another member's stream: receives its messages."""
        hello = await stream.recv_message()
        own = self._hello()
        if not isinstance(hello, PeerHello):
            return
        await stream.send_message(own)
        if hello.cluster != own.cluster:
            events.log(events.Event.PEER_REFUSED, target=hello.name, reason="cluster")
            return
        if hello.accepts_zlib and own.accepts_zlib:
            stream.accept_compressed()
        self.on_hello(hello)
        address = Address(hello.ip, hello.port)
        addresses = self._connected_addresses.setdefault(hello.disk_id, [])
        addresses.append(address)
        try:
            await self._receive(hello.disk_id, stream)
        finally:
            addresses.remove(address)
            if not addresses and (
                self._connected_addresses.get(hello.disk_id) is addresses
            ):
                del self._connected_addresses[hello.disk_id]
                self._close_unless_member(hello.disk_id)

    async def _receive(self, sender: str, stream: rpc.Stream) -> None:
        keepalive_sent_ms = now_ms()
        async for batch in stream:
            if not isinstance(batch, PeerBatch):
                return
            if now_ms() - keepalive_sent_ms >= KEEPALIVE_PERIOD_MS:
                keepalive_sent_ms = now_ms()
                await stream.send_message(PeerBatch(sender, ()))
            self._handle_batch(sender, batch)
            # Nothing counts the bytes of a batch while the next one is awaited.
            del batch

    def _handle_batch(self, sender: str, batch: PeerBatch) -> None:
        for item in batch.items:
            self._on_message(sender, batch.target, codec.decode(item))
