"""Relays messages that only the leader handles to it, and its answers back."""

import collections
import contextlib
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import anyio.abc

from cassiapitch import codec, events, group, rpc, timers
from cassiapitch.events import Event
from cassiapitch.exceptions import CodecError
from cassiapitch.group import ControlGroup
from cassiapitch.messages import (
    LinkRefused,
    RelayBatch,
    RelayHello,
)
from cassiapitch.settings import Address, TlsSettings

QUEUE_LIMIT_COUNT = 8_192
BATCH_LIMIT_COUNT = 512
CONNECT_TIMEOUT_S = 2
# A message leaves this member within a second (age limit plus send timeout) or is
# dropped, also after the process was frozen: a late announcement could be taken for one
# of a new incarnation of the backend server, see `Coordinator`.
MESSAGE_AGE_LIMIT_MS = 500
SEND_TIMEOUT_S = 0.5
RETRY_PAUSE_S = 0.1
LEADER_POLL_S = 0.05

Reply = Callable[[Any], None]


class Outbox:
    """Bounded queue of messages, sent in batches; drops excess and old ones.

    The senders repeat all requests and reports that are relayed, so dropping the
    oldest message costs a delay and loses no state.
    """

    def __init__(self, now_ms: Callable[[], int] = timers.now_ms) -> None:
        self._now_ms = now_ms
        self._messages: collections.deque[tuple[int, Any]] = collections.deque(
            maxlen=QUEUE_LIMIT_COUNT
        )
        self._message_queued = anyio.Event()

    def push(self, message: Any) -> None:
        """Queues a message."""
        self._messages.append((self._now_ms(), message))
        self._message_queued.set()

    def clear(self) -> None:
        """Drops all messages, for instance those meant for an earlier leader."""
        self._messages.clear()

    async def next_batch(self) -> RelayBatch:
        """Waits until messages are queued; removes and returns a batch of them."""
        self._drop_old()
        while not self._messages:
            self._message_queued = anyio.Event()
            await self._message_queued.wait()
            self._drop_old()
        count = min(BATCH_LIMIT_COUNT, len(self._messages))
        messages = []
        for _ in range(count):
            _, message = self._messages.popleft()
            try:
                messages.append(codec.encode(message))
            except (OverflowError, TypeError, ValueError) as error:
                name = type(message).__name__
                events.log(Event.STREAM_FAILED, reason=f"{name}: {error}")
        return RelayBatch(tuple(messages))

    def _drop_old(self) -> None:
        oldest_ms = self._now_ms() - MESSAGE_AGE_LIMIT_MS
        while self._messages and self._messages[0][0] < oldest_ms:
            self._messages.popleft()


class Relay:
    """This member's end of the relay, as a follower and as the leader."""

    def __init__(
        self,
        name: str,
        cluster: str,
        member: ControlGroup,
        tls: TlsSettings | None,
        handle_as_leader: Callable[[Any, Reply], None],
        handle_from_leader: Callable[[Any], None],
        *,
        accepts_zlib: bool = False,
    ) -> None:
        """Creates the relay; `run` connects it.

        Args:
            name: This member's name.
            cluster: Name of the deployment.
            member: This control member.
            tls: Mutual TLS between members.
            handle_as_leader: Handles a relayed message while this member is the
                leader; gets the message and a function that sends an answer back.
            handle_from_leader: Handles a message that the leader sends.
            accepts_zlib: Whether to compress streams to members that accept it too.
        """
        self._hello = RelayHello(name, cluster, accepts_zlib)
        self._member = member
        self._tls = tls
        self._handle_as_leader = handle_as_leader
        self._handle_from_leader = handle_from_leader
        self._outbox = Outbox()
        self._follower_outboxes: set[Outbox] = set()

    def handler(self) -> rpc.Handler:
        """Returns the service to mount on the process's rpc server."""
        return rpc.Handler("Relay", {"Messages": self.serve})

    def send(self, message: Any) -> None:
        """Sends a message to the leader; it may be lost."""
        if group.is_leader(self._member):
            self._handle_as_leader(message, self._handle_from_leader)
        else:
            self._outbox.push(message)

    def broadcast(self, message: Any) -> None:
        """Sends a message as the leader to all members, including this one."""
        self._handle_from_leader(message)
        for outbox in self._follower_outboxes:
            outbox.push(message)

    async def serve(self, stream: rpc.Stream) -> None:
        """Serves the stream of a follower that considers this member the leader."""
        hello = await stream.recv_message()
        is_same_cluster = (
            isinstance(hello, RelayHello) and hello.cluster == self._hello.cluster
        )
        if not is_same_cluster:
            await stream.send_message(LinkRefused("not a member of this deployment"))
            return
        outbox = Outbox()
        self._follower_outboxes.add(outbox)
        try:
            if hello.accepts_zlib and self._hello.accepts_zlib:
                stream.accept_compressed()
                stream.compress_sent()
                # Now the follower learns that it may compress what it sends. Until
                # then it sends plain messages, so none waits for this.
                with anyio.fail_after(SEND_TIMEOUT_S):
                    await stream.send_message(RelayBatch(()))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_batches, stream, outbox)
                await self._receive_from_follower(stream, outbox)
                tasks.cancel_scope.cancel()
        except* (OSError, CodecError) as error:
            events.log(Event.RELAY_CLOSED, member=hello.member, reason=str(error))
        finally:
            self._follower_outboxes.discard(outbox)

    async def _receive_from_follower(self, stream: rpc.Stream, outbox: Outbox) -> None:
        while isinstance(batch := await stream.recv_message(), RelayBatch):
            if not group.is_leader(self._member):
                return
            for message in _decoded(batch):
                self._handle_as_leader(message, outbox.push)
                # Nothing counts the bytes of either while the next batch is awaited.
                del message
            del batch

    async def run(self) -> None:
        """Keeps a stream to the current leader open until cancelled."""
        while True:
            leader = self._leader_address()
            if leader is None:
                await anyio.sleep(LEADER_POLL_S)
                continue
            name, address = leader
            try:
                await self._run_stream(name, address)
            except* (OSError, CodecError) as error:
                reason = str(error.exceptions[0])
                events.log(Event.RELAY_CLOSED, leader=name, reason=reason)
            self._outbox.clear()
            await anyio.sleep(RETRY_PAUSE_S)

    async def _run_stream(self, leader: str, address: Address) -> None:
        channel = rpc.open_channel(address, self._tls)
        async with contextlib.AsyncExitStack() as stack:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await stack.enter_async_context(
                    rpc.open_stream(channel, "Relay", "Messages")
                )
                await stream.send_message(self._hello)
            if self._hello.accepts_zlib:
                stream.accept_compressed()
            events.log(Event.RELAY_OPENED, leader=leader)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_send_batches, stream, self._outbox)
                tasks.start_soon(self._watch_leader, leader, tasks.cancel_scope)
                while isinstance(batch := await stream.recv_message(), RelayBatch):
                    if stream.has_received_compressed:
                        stream.compress_sent()
                    for message in _decoded(batch):
                        self._handle_from_leader(message)
                tasks.cancel_scope.cancel()
            await stream.cancel()

    async def _watch_leader(self, leader: str, scope: anyio.CancelScope) -> None:
        """Cancels `scope` when another member becomes the leader."""
        while True:
            await anyio.sleep(LEADER_POLL_S)
            if self._member.status().leader != leader:
                scope.cancel()
                return

    def _leader_address(self) -> tuple[str, Address] | None:
        """Returns the leader's name and address; None if unknown or this member."""
        status = self._member.status()
        if status.leader is None or status.leader == status.name:
            return None
        for member in status.members:
            if member.name == status.leader:
                return member.name, Address(member.ip, member.port)
        return None


def _decoded(batch: RelayBatch) -> Iterator[Any]:
    """Yields the messages of a batch; leaves out those that can't be read."""
    for data in batch.messages:
        try:
            message = codec.decode(data)
        except CodecError as error:
            events.log(Event.STREAM_FAILED, reason=str(error))
            continue
        yield message


async def _send_batches(stream: Any, outbox: Outbox) -> None:
    while True:
        batch = await outbox.next_batch()
        with anyio.fail_after(SEND_TIMEOUT_S):
            await stream.send_message(batch)
