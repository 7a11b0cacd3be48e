"""Streams of messages between the system's own processes, over mutual TLS if it is set.

A connection carries one stream: the name of a method, then messages in both directions.
Each of these is a MessagePack byte string, split off by msgpack's streaming decoder.
"""

import asyncio
import contextlib
import dataclasses
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any

import anyio
import msgpack
import msgspec

from cassiapitch import bytestream, events
from cassiapitch.codec import MessageCodec
from cassiapitch.exceptions import CodecError
from cassiapitch.messages import (
    LoadReports,
    ViewDelta,
)
from cassiapitch.settings import Address, TlsSettings

# Types of the messages that a hub sends unchanged over all its links.
SHARED_TYPES = (LoadReports, ViewDelta)

READ_BYTES = 65_536
# A snapshot of the replicated state is the largest message.
MESSAGE_LIMIT_BYTES = 64 * 1024 * 1024
METHOD_LIMIT_BYTES = 256
METHOD_TIMEOUT_S = 5
# After a stream is closed, its last writes have this long until the connection aborts.
CLOSE_FLUSH_S = 2.0
LISTEN_BACKLOG = 1_024


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
        self._unpacker = msgpack.Unpacker(max_buffer_size=MESSAGE_LIMIT_BYTES, raw=True)
        self._received_bytes = 0
        self._decoded_bytes = 0

    async def send_message(self, message: Any) -> None:
        """Writes a message; waits while the peer reads too slowly.

        Raises:
            StreamError: The stream has ended.
        """
        await self._write(self._codec.encode(message))

    async def recv_message(self) -> Any | None:
        """Returns the next message, or None at the end of the stream.

        Raises:
            StreamError: The stream failed.
            CodecError: The peer sent something else than a message.
        """
        data = await self.read_bytes()
        return None if data is None else self._codec.decode(data)

    async def __aiter__(self) -> AsyncIterator[Any]:
        """Yields messages up to the end of the stream."""
        while (message := await self.recv_message()) is not None:
            yield message

    async def read_bytes(self) -> bytes | None:
        """Returns the next byte string, or None at the end of the stream.

        Raises:
            StreamError: The stream failed.
            CodecError: The peer sent something else than a byte string.
        """
        while True:
            try:
                item = self._unpacker.unpack()
            except msgpack.OutOfData:
                data = await self._receive()
                if not data and self._received_bytes > self._decoded_bytes:
                    raise StreamError("the stream ended within a message") from None
                if not data:
                    return None
                self._feed(data)
                continue
            except (ValueError, msgpack.UnpackException) as error:
                raise CodecError(f"malformed stream: {error!r}") from None
            # Only read after a whole message: while one is incomplete, the decoder's
            # position may lie within it.
            self._decoded_bytes = self._unpacker.tell()
            if not isinstance(item, bytes):
                raise CodecError("malformed stream: not a byte string")
            return item

    def _feed(self, data: bytes) -> None:
        try:
            self._unpacker.feed(data)
            self._received_bytes += len(data)
        except msgpack.BufferFull:
            raise CodecError("a message is too large") from None

    async def _receive(self) -> bytes:
        try:
            return await self._reader.read(READ_BYTES)
        except OSError as error:
            raise StreamError(str(error) or repr(error)) from None

    async def write_bytes(self, data: bytes) -> None:
        """Writes a byte string, see `send_message`."""
        await self._write(data)

    async def _write(self, item: bytes | bool) -> None:
        # Writes to a closing transport would be dropped without an error.
        if self._writer.transport.is_closing():
            raise StreamError("the connection is closed")
        self._writer.write(encode_item(item))
        try:
            await self._writer.drain()
        except OSError as error:
            raise StreamError(str(error) or repr(error)) from None

    async def end(self) -> None:
        """Tells the peer that no message follows."""
        with contextlib.suppress(OSError):
            if self._writer.can_write_eof():
                self._writer.write_eof()

    async def write_item(self, item: bool) -> None:
        """Writes a flag between byte strings, see `send_message`."""
        await self._write(item)

    async def cancel(self) -> None:
        """Ends the stream at once."""
        self.abort()

    def abort(self) -> None:
        """Ends the stream at once."""
        self._writer.transport.abort()

    def limit_silence(self) -> None:
        """Ends the stream when its peer falls silent."""
        bytestream.limit_silence(self._writer.get_extra_info("socket"))

    def close(self) -> None:
        """Ends the stream when all writes are sent, at most `CLOSE_FLUSH_S` later."""
        transport = self._writer.transport
        if not transport.is_closing():
            transport.close()
            asyncio.get_running_loop().call_later(CLOSE_FLUSH_S, transport.abort)


RpcMethod = Callable[[Stream], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class Handler:
    """The methods of one service.

    Attributes:
        service: Service name, for instance `Hub`.
        methods: Maps a method name to the function that serves its streams.
    """

    service: str
    methods: dict[str, RpcMethod]


class RpcServer:
    """Server that passes each stream to the method that the peer names."""

    def __init__(self, handlers: Iterable[Handler]) -> None:
        self._methods = {
            stream_path(handler.service, name): method
            for handler in handlers
            for name, method in handler.methods.items()
        }
        self._codec = MessageCodec(SHARED_TYPES)
        self._stream_tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, address: Address, tls: TlsSettings | None) -> None:
        """Starts listening."""
        context = None if tls is None else server_context(tls)
        self._server = await asyncio.start_server(
            self._serve,
            address.ip,
            address.port,
            ssl=context,
            backlog=LISTEN_BACKLOG,
        )

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._stream_tasks.add(task)
        stream = Stream(reader, writer, self._codec)
        method = None
        try:
            with anyio.move_on_after(METHOD_TIMEOUT_S):
                path = await stream.read_bytes()
                method = self._methods.get(path or b"")
            if method is None:
                events.log(events.Event.STREAM_FAILED, reason="no known method")
            else:
                await method(stream)
        except (OSError, CodecError) as error:
            events.log(events.Event.STREAM_FAILED, reason=str(error) or repr(error))
        except asyncio.CancelledError:
            # `close` cancels this task; asyncio would report that as an error.
            pass
        finally:
            self._stream_tasks.discard(task)
            stream.close()

    async def close(self) -> None:
        """Stops listening and ends the streams in progress."""
        assert self._server is not None
        self._server.close()
        for task in list(self._stream_tasks):
            task.cancel()
        while self._stream_tasks:
            await asyncio.wait(self._stream_tasks)


async def serve(
    handlers: Iterable[Handler], address: Address, tls: TlsSettings | None
) -> RpcServer:
    """Starts a server for `handlers` on `address`."""
    server = RpcServer(handlers)
    await server.listen(address, tls)
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
    context = None if channel.tls is None else client_context(channel.tls)
    try:
        reader, writer = await asyncio.open_connection(
            channel.address.ip, channel.address.port, ssl=context
        )
    except OSError as error:
        raise StreamError(str(error) or repr(error)) from None
    stream = Stream(reader, writer, MessageCodec())
    try:
        await stream.write_bytes(stream_path(service, method))
        yield stream
    finally:
        stream.close()


def encode_item(item: bytes | bool) -> bytes:
    """Returns an item of a stream as it is written to the connection."""
    return msgspec.msgpack.encode(item)


def stream_path(service: str, method: str) -> bytes:
    """Returns the byte string with which a stream to a method begins."""
    return f"{service}/{method}".encode()


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that accepts only peers with a certificate of our CA."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that presents our certificate and checks the peer's.

    Peers are addressed by IP address while their certificates name processes, so only
    the CA decides whether a peer belongs to the system.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    return context
