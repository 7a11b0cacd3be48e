"""`grpclib` between the system's own processes, over mutual TLS where set."""

import dataclasses
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

import grpclib.client
import grpclib.const
import grpclib.server

from cassiapitch.codec import MessageCodec
from cassiapitch.messages import (
    LoadReports,
    ViewDelta,
)
from cassiapitch.settings import Address, TlsSettings

# Messages that a hub sends alike over all its links.
SHARED_TYPES = (LoadReports, ViewDelta)

RpcMethod = Callable[[grpclib.server.Stream[Any, Any]], Awaitable[None]]


class Handler:
    """The methods of one service, as `grpclib` expects them."""

    def __init__(self, service: str, methods: dict[str, RpcMethod]) -> None:
        """Makes every method a stream of messages both ways.

        Args:
            service: Service name, for instance `Hub`.
            methods: Maps a method name to the function that serves its streams.
        """
        self._service = service
        self._methods = methods

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Returns `grpclib`'s table of paths."""
        return {
            f"/cassiapitch.{self._service}/{name}": grpclib.const.Handler(
                method, grpclib.const.Cardinality.STREAM_STREAM, object, object
            )
            for name, method in self._methods.items()
        }


@dataclasses.dataclass(slots=True)
class RpcServer:
    """A listening server; `close` ends it."""

    server: grpclib.server.Server

    async def close(self) -> None:
        """Stops listening and waits for the end of the calls in progress."""
        self.server.close()
        await self.server.wait_closed()


async def serve(
    handlers: list[Handler], address: Address, tls: TlsSettings | None
) -> RpcServer:
    """Starts a server for `handlers` on `address`."""
    codec = MessageCodec(SHARED_TYPES)
    server = grpclib.server.Server(handlers, codec=codec)
    context = None if tls is None else server_context(tls)
    await server.start(address.ip, address.port, ssl=context)
    return RpcServer(server)


def open_channel(address: Address, tls: TlsSettings | None) -> grpclib.client.Channel:
    """Returns a channel; the connection is made with its first call."""
    context = None if tls is None else client_context(tls)
    return grpclib.client.Channel(
        address.ip, address.port, codec=MessageCodec(), ssl=context
    )


def open_stream(
    channel: grpclib.client.Channel, service: str, method: str
) -> grpclib.client.Stream[Any, Any]:
    """Returns a stream of messages both ways; use it with `async with`."""
    return channel.request(
        f"/cassiapitch.{service}/{method}",
        grpclib.const.Cardinality.STREAM_STREAM,
        object,
        object,
    )


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that accepts only peers with a certificate of our CA."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that shows our certificate and checks the peer's.

    Peers are reached by IP number and their certificates name processes, so the
    CA alone decides whether a peer is one of the system's own.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    context.set_alpn_protocols(["h2"])
    return context
