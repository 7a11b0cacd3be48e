"""Streams of messages between the system's own processes, over mutual TLS if it is set.

A connection carries one stream: the name of a method, then messages in both directions.
Each of these is a MessagePack byte string.
Messages may be compressed where both ends have agreed on it, see `compression`.
"""

import asyncio
import contextlib
import dataclasses
import functools
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

import anyio

from cassiapitch import (
    bytestream,
    compression,
    events,
    metrics,
    path_watch,
    task_failures,
)
from cassiapitch.codec import MessageCodec
from cassiapitch.connection_limit import connections_limit, descriptors_limit
from cassiapitch.exceptions import CodecError
from cassiapitch.held_bytes import HeldBytes, Holder, Kind
from cassiapitch.messages import (
    LoadReports,
    ViewDelta,
)
from cassiapitch.settings import Address, TlsSettings
from cassiapitch.socket_retries import Listeners
from cassiapitch.stream_items import (
    PIECE_BYTES,
    ReceivedItems,
    encode_item,
    pieces,
    stream_path,
)
from cassiapitch.stream_listener import Pending, StreamListener
from cassiapitch.tls_contexts import load_client_context, load_server_context

# Types of the messages that a hub sends unchanged over all its links.
SHARED_TYPES = (LoadReports, ViewDelta)

# Bytes that one read takes. With 64 KiB, a stream whose messages were not answered held
# 250 KiB in its reader and decoder.
READ_BYTES = 8 * 1024
# A snapshot of the replicated state is the largest message. Compressed messages have
# this limit in both forms.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024
# Links carry smaller messages as they are. A change with 1,500 routes takes 430 KB, and
# 22 KB when compressed.
COMPRESSED_FROM_BYTES = 16 * 1024
METHOD_LIMIT_BYTES = 256
METHOD_TIMEOUT_S = 5
# The first message tells who the peer is; it takes a few hundred bytes.
FIRST_MESSAGE_LIMIT_BYTES = 16 * 1024
FIRST_MESSAGE_TIMEOUT_S = 5
# Streams whose first message hasn't arrived. Anyone who reaches the port can open one;
# after a restart of the group, the entries of a large deployment link anew within a
# second.
PENDING_LIMIT_COUNT = 1_024
# The buffer of a message allocates up to twice what it needs, and the message is a copy
# beside it.
BUFFER_COPIES = 3
# Messages that are read in one go. A read may hold 8,000 small ones, and with 120 such
# streams a member served nothing else for 10 s.
READ_BATCH_COUNT = 64
# After a stream is closed, its last writes have this long until the connection aborts.
CLOSE_FLUSH_S = 2.0


class StreamError(ConnectionError):
    """A stream failed, or ended in the middle of a message."""


class Stream:
    """One stream of messages; one task may read while another one writes."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codec: MessageCodec,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._codec = codec
        self._items = ReceivedItems(MESSAGE_LIMIT_BYTES)
        self._received_bytes = 0
        self._read_count = 0
        self._holder: Holder | None = None
        self._is_discarded = False
        self._writes_pieces = False
        self._watched: path_watch.Watched | None = None
        self._on_first_message: Callable[[], None] | None = None
        self._compressor: compression.Compressor | None = None
        self._compresses_large = False
        self._decompressor: compression.Decompressor | None = None
        # Whether the peer has sent a compressed message.
        self.has_received_compressed = False

    def compress_sent(self) -> None:
        """Compresses the messages that are sent from now on."""
        if self._compressor is None:
            self._compressor = compression.Compressor()

    def compress_large_sent(self) -> None:
        """Compresses each large message by itself that is sent from now on.

        A message that many streams send is compressed once, and no stream keeps what a
        compressor takes.
        """
        self._compresses_large = True

    def accept_compressed(self) -> None:
        """Reads compressed messages from now on, between plain ones."""
        if self._decompressor is None:
            self._decompressor = compression.Decompressor(MESSAGE_LIMIT_BYTES)

    def hold_for(self, holder: Holder) -> None:
        """Counts what has been received of incomplete messages."""
        self._holder = holder

    def limit_first_message(self, on_received: Callable[[], None]) -> None:
        """Limits the size and the time of the peer's next message.

        Args:
            on_received: Called when it has arrived.
        """
        self._on_first_message = on_received

    async def send_message(self, message: Any) -> None:
        """Writes a message; waits while the peer reads too slowly.

        Raises:
            StreamError: The stream has ended.
        """
        data = self._codec.encode(message)
        # Nothing may wait between these two: messages have to be written in the order
        # in which they were compressed.
        if self._compressor is not None:
            data = self._compressor.compress(data)
        elif self._compresses_large and len(data) >= COMPRESSED_FROM_BYTES:
            data = self._codec.compress(data)
        await self._write(data)

    async def recv_message(self) -> Any | None:
        """Returns the next message, or None at the end of the stream.

        Raises:
            StreamError: The stream failed.
            CodecError: The peer sent something else than a message.
            TimeoutError: The first message is late.
        """
        on_received, self._on_first_message = self._on_first_message, None
        if on_received is None:
            data = await self.read_bytes()
        else:
            with anyio.fail_after(FIRST_MESSAGE_TIMEOUT_S):
                data = await self.read_bytes(FIRST_MESSAGE_LIMIT_BYTES)
            on_received()
        if data is not None and data.startswith(compression.PREFIX):
            if self._decompressor is None:
                raise CodecError("a compressed message that was not agreed on")
            data = self._decompressor.decompress(data)
            self.has_received_compressed = True
        return None if data is None else self._codec.decode(data)

    async def __aiter__(self) -> AsyncIterator[Any]:
        """Yields messages up to the end of the stream.

        It keeps none while it waits for the next one: nothing counts their bytes then.
        """
        while (message := await self.recv_message()) is not None:
            yield message
            del message

    async def read_bytes(self, limit_bytes: int | None = None) -> bytes | None:
        """Returns the next byte string, or None at the end of the stream.

        Args:
            limit_bytes: Bytes received since the stream began after which the byte
                string must be complete; None for the limit of messages.

        Raises:
            StreamError: The stream failed.
            CodecError: The peer sent something else than a byte string.
        """
        self._read_count += 1
        if self._read_count % READ_BATCH_COUNT == 0:
            await asyncio.sleep(0)
        while (item := self._items.take()) is None:
            if limit_bytes is not None and self._received_bytes > limit_bytes:
                raise CodecError("a byte string is too large")
            self._count_held()
            data = await self._receive()
            if self._is_discarded:
                # What is left of the message that was dropped is none by itself.
                raise StreamError("the connection is closed")
            if not data and self._items:
                raise StreamError("the stream ended within a message")
            if not data:
                return None
            self._items.feed(data)
            self._received_bytes += len(data)
        return item

    def _count_held(self) -> None:
        held_bytes = len(self._items)
        if held_bytes > READ_BYTES:
            held_bytes *= BUFFER_COPIES
        if self._holder is not None:
            self._holder.set(Kind.INPUT, held_bytes)

    async def _receive(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError as error:
            raise StreamError(str(error) or repr(error)) from None

    async def write_bytes(self, data: bytes) -> None:
        """Writes a byte string, see `send_message`."""
        await self._write(data)

    def _queue(self, item: bytes | bool) -> None:
        self._queue_raw(encode_item(item))

    def _queue_raw(self, data: bytes | memoryview) -> None:
        # Writes to a closing transport would be dropped without an error.
        if self._writer.transport.is_closing():
            raise StreamError("the connection is closed")
        self._writer.write(data)

    def write_in_pieces(self) -> None:
        """Passes long messages to the connection piece by piece from now on.

        Only one task may write then, and it waits until the kernel has all bytes.
        """
        self.wait_for_each_write()
        self._writes_pieces = True

    async def _write(self, item: bytes) -> None:
        if not self._writes_pieces or len(item) <= PIECE_BYTES:
            self._queue(item)
            await self._drain()
            return
        for piece in pieces(item):
            self._queue_raw(piece)
            await self._drain()

    async def _drain(self) -> None:
        try:
            await self._writer.drain()
        except OSError as error:
            raise StreamError(str(error) or repr(error)) from None

    async def end(self) -> None:
        """Tells the peer that no message follows."""
        with contextlib.suppress(OSError):
            if self._writer.can_write_eof():
                self._writer.write_eof()

    def queue_flag(self, flag: bool) -> None:
        """Writes a flag between byte strings, also while the peer reads too slowly.

        Raises:
            StreamError: The stream has ended.
        """
        self._queue(flag)

    async def cancel(self) -> None:
        """Ends the stream at once."""
        self.abort()

    def abort(self) -> None:
        """Ends the stream at once."""
        self._unwatch_path()
        self._writer.transport.abort()

    def discard(self) -> None:
        """Ends the stream at once and drops what has been received.

        The error that ends its reader may refer to the stream until a garbage
        collection.
        """
        self.abort()
        self._is_discarded = True
        self._items.clear()

    def wait_for_each_write(self) -> None:
        """Lets each write wait until the kernel has all its bytes."""
        bytestream.wait_for_each_write(self._writer.transport)

    @property
    def incomplete_bytes(self) -> int:
        """Bytes received since the last whole message.

        While a task waits for a message, they are the part of it that has arrived.
        """
        return len(self._items)

    @property
    def peer_ip(self) -> str:
        """Address of the other end; empty if the connection has ended already."""
        name = self._writer.get_extra_info("peername")
        return name[0] if name else ""

    def limit_silence(self) -> None:
        """Ends the stream when its path is lost.

        Raises:
            StreamError: The stream has ended; over TLS, its socket is then unknown.
        """
        sock = self._writer.get_extra_info("socket")
        if sock is None:
            raise StreamError("the connection is closed")
        path_watch.probe_when_idle(sock)
        self._watched = path_watch.running_watch().add(sock, self._end_lost)

    def _unwatch_path(self) -> None:
        # Otherwise the watch keeps the stream and its buffers until its next look.
        watched, self._watched = self._watched, None
        if watched is not None:
            path_watch.running_watch().remove(watched)

    def _end_lost(self) -> None:
        _log_failure("the peer acknowledges nothing")
        self.abort()

    def close(self) -> None:
        """Ends the stream when all writes are sent, at most `CLOSE_FLUSH_S` later."""
        self._unwatch_path()
        transport = self._writer.transport
        if not transport.is_closing():
            transport.close()
            bytestream.abort_later(transport, CLOSE_FLUSH_S)


RpcMethod = Callable[[Stream], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Handler:
    """The methods of one service.

    Attributes:
        service: Service name, for instance `Hub`.
        methods: Maps a method name to the function that serves its streams.
        writes_in_pieces: Whether its streams have one writer, see `write_in_pieces`.
    """

    service: str
    methods: dict[str, RpcMethod]
    writes_in_pieces: bool = False


class RpcServer:
    """Server that passes each stream to the method that the peer names."""

    def __init__(
        self, handlers: Iterable[Handler], held_bytes: HeldBytes | None = None
    ) -> None:
        self._methods = {
            stream_path(handler.service, name): (method, handler.writes_in_pieces)
            for handler in handlers
            for name, method in handler.methods.items()
        }
        self._codec = MessageCodec(SHARED_TYPES)
        self._held_bytes = held_bytes
        self._stream_tasks: set[asyncio.Task[None]] = set()
        self._listener: StreamListener | None = None

    def bind(
        self,
        address: Address,
        tls: TlsSettings | None,
        pending_limit_count: int = PENDING_LIMIT_COUNT,
        open_limit: Callable[[], int | None] = lambda: None,
        name: str = "rpc",
        listeners: Listeners | None = None,
    ) -> None:
        """Binds the address if it is free; see `serve`."""
        limit_count = connections_limit(
            pending_limit_count, descriptors_limit(), pending_limit_count
        )
        self._listener = StreamListener(
            address,
            None if tls is None else functools.partial(load_server_context, tls),
            self._serve,
            limit_count,
            open_limit,
            name,
            listeners,
        )

    async def open(self) -> None:
        """Starts accepting streams; waits until the address can be had.

        Raises:
            ListenTimeoutError: The address was taken for too long.
            UnusableAddressError: No process of this instance can listen there.
            SettingsError: The TLS files can't be used.
        """
        assert self._listener is not None
        await self._listener.open()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._listener is not None
        return self._listener.port

    async def _serve(
        self,
        pending: Pending,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        assert self._listener is not None
        identify = functools.partial(self._listener.identify, pending)
        task = asyncio.current_task()
        assert task is not None
        self._stream_tasks.add(task)
        stream = Stream(reader, writer, self._codec)
        holder = None
        if self._held_bytes is not None:
            close = functools.partial(_close_as_largest, stream)
            holder = self._held_bytes.open(stream.peer_ip, close)
            stream.hold_for(holder)
        known = None
        try:
            with anyio.move_on_after(METHOD_TIMEOUT_S):
                path = await stream.read_bytes(METHOD_LIMIT_BYTES)
                known = self._methods.get(path or b"")
            if known is None:
                _log_failure("no known method")
            else:
                method, writes_in_pieces = known
                if writes_in_pieces:
                    stream.write_in_pieces()
                stream.limit_first_message(identify)
                await method(stream)
        except Exception as failure:
            for error in task_failures.flatten(failure):
                if isinstance(error, OSError | CodecError):
                    _log_failure(str(error) or repr(error))
                else:
                    task_failures.log_failure("stream", error)
        except asyncio.CancelledError:
            # `close` cancels this task; asyncio would report that as an error.
            pass
        finally:
            self._listener.end(pending)
            self._stream_tasks.discard(task)
            if holder is not None:
                holder.close()
            stream.close()

    async def close(self) -> None:
        """Stops listening and ends the streams in progress, for a limited time."""
        assert self._listener is not None
        await self._listener.close()
        await task_failures.end_all(self._stream_tasks, "streams")


async def serve(
    handlers: Iterable[Handler],
    address: Address,
    tls: TlsSettings | None,
    pending_limit_count: int = PENDING_LIMIT_COUNT,
    open_limit_count: int | None = None,
    held_bytes: HeldBytes | None = None,
) -> RpcServer:
    """Starts a server for `handlers` on `address`.

    Args:
        handlers: The services.
        address: Where to listen.
        tls: Mutual TLS between the system's processes; None for plain TCP.
        pending_limit_count: Streams whose first message hasn't arrived; the limit on
            descriptors lowers it.
        open_limit_count: Streams at once, with those whose first message has arrived;
            None for no limit.
        held_bytes: Limit on all bytes that the process holds; None to count nothing.
    """
    server = RpcServer(handlers, held_bytes)
    server.bind(address, tls, pending_limit_count, lambda: open_limit_count)
    await server.open()
    return server


@dataclasses.dataclass(frozen=True, slots=True)
class Channel:
    """Address and TLS settings that `open_stream` connects with."""

    address: Address
    tls: TlsSettings | None


def open_channel(address: Address, tls: TlsSettings | None) -> Channel:
    """Returns a channel; each stream opened on it is a connection of its own."""
    return Channel(address, tls)


@contextlib.asynccontextmanager
async def open_stream(
    channel: Channel, service: str, method: str
) -> AsyncIterator[Stream]:
    """Opens a stream; closes it at the end of the `async with` block.

    Raises:
        StreamError: The connection failed.
    """
    try:
        reader, writer = await _connect(channel)
    except OSError as error:
        raise StreamError(str(error) or repr(error)) from None
    stream = Stream(reader, writer, MessageCodec())
    try:
        await stream.write_bytes(stream_path(service, method))
        yield stream
    finally:
        stream.close()


async def _connect(
    channel: Channel,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    context = None if channel.tls is None else await load_client_context(channel.tls)
    ip, port = channel.address.ip, channel.address.port
    sock = bytestream.outgoing_socket(ip)
    with bytestream.closed_on_failure(sock):
        await asyncio.get_running_loop().sock_connect(sock, (ip, port))
        return await asyncio.open_connection(
            sock=sock, ssl=context, server_hostname=None if context is None else ip
        )


def _close_as_largest(stream: Stream) -> None:
    metrics.CALLERS_CLOSED.inc("held_bytes")
    events.log_rate_limited(
        events.Event.CALLER_CLOSED, reason="held_bytes", peer=stream.peer_ip
    )
    stream.discard()


def _log_failure(reason: str) -> None:
    events.log_rate_limited(events.Event.STREAM_FAILED, reason="incoming", error=reason)
