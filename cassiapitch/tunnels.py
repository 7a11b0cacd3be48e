"""Connections to backend servers through another entry, as the entry that asks."""

import asyncio
import ssl
from typing import Any

import msgpack

from cassiapitch import bytestream, codec, rpc
from cassiapitch.bytestream import ByteStream
from cassiapitch.exceptions import CodecError
from cassiapitch.tunnel_messages import (
    LEAVING,
    TunnelAnswer,
    TunnelAsk,
    TunnelOutcome,
    TunnelPeer,
)

SERVICE, METHOD = "Tunnel", "Open"
# A byte string from a peer is one read of its connection to the backend server.
ITEM_LIMIT_BYTES = 4 * 1024 * 1024


class TunnelRefusedError(Exception):
    """The peer opened no connection; nothing was sent to the backend server."""

    def __init__(self, outcome: TunnelOutcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class TunnelStream(ByteStream):
    """A connection to a backend server through another entry."""

    def __init__(self) -> None:
        """Creates a stream that waits for the peer's answer."""
        super().__init__()
        self.is_tunneled = True
        self._unpacker = msgpack.Unpacker(max_buffer_size=ITEM_LIMIT_BYTES, raw=True)
        self._has_backend_ended = False
        self.answer: asyncio.Future[TunnelAnswer] = (
            asyncio.get_running_loop().create_future()
        )

    def data_received(self, data: bytes) -> None:
        """Takes the peer's messages apart."""
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                self._handle_item(item)
        except (ValueError, msgpack.UnpackException, msgpack.BufferFull, CodecError):
            self.abort()

    def _handle_item(self, item: Any) -> None:
        if not self.answer.done():
            answer = codec.decode(item) if isinstance(item, bytes) else None
            if not isinstance(answer, TunnelAnswer):
                raise CodecError("not an answer")
            self.answer.set_result(answer)
        elif item is LEAVING:
            self.may_be_reused = False
            if self.on_input is not None:
                self.on_input()
        elif not isinstance(item, bytes):
            raise CodecError("not a byte string")
        elif item:
            super().data_received(item)
        else:
            self._has_backend_ended = True
            super().eof_received()

    def eof_received(self) -> bool:
        """Lets the connection end; `connection_lost` follows."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end; without the end of the backend server's bytes, an error."""
        if not self._has_backend_ended and exc is None:
            exc = ConnectionResetError("the tunnel broke off")
        if not self.answer.done():
            self.answer.set_exception(exc or ConnectionResetError("no answer"))
            # Nobody waits for it if the entry gave up before.
            self.answer.exception()
        super().connection_lost(exc)

    async def send(self, data: bytes, timeout_s: float | None = None) -> None:
        """Writes bytes for the backend server; see `ByteStream.send`."""
        await super().send(rpc.encode_item(data), timeout_s)


async def open_tunnel(
    peer: TunnelPeer, ask: TunnelAsk, tls: ssl.SSLContext | None
) -> TunnelStream:
    """Opens a connection to a backend server through a peer.

    Args:
        peer: The entry to ask.
        ask: Names the backend server.
        tls: Mutual TLS between the system's processes; None for plain TCP.

    Raises:
        OSError: The peer can't be reached, or ended the connection.
        TunnelRefusedError: The peer opened no connection.
    """
    address = peer.address
    stream = await bytestream.connect(
        address.ip,
        address.port,
        tls=tls,
        make_stream=TunnelStream,
        receive_bytes=bytestream.TUNNEL_BUFFER_BYTES,
    )
    assert isinstance(stream, TunnelStream)
    try:
        await stream.send(rpc.stream_path(SERVICE, METHOD))
        await stream.send(codec.encode(ask))
        answer = await stream.answer
    except BaseException:
        stream.abort()
        raise
    if answer.outcome is not TunnelOutcome.OPENED:
        stream.abort()
        raise TunnelRefusedError(answer.outcome)
    return stream
