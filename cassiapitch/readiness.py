"""Readiness probe for the load balancer."""

from collections.abc import Callable

import anyio

from cassiapitch import asgi, plainhttp
from cassiapitch.held_bytes import HeldBytes
from cassiapitch.settings import Address
from cassiapitch.socket_retries import Listeners

# Connections for probes; the reserved descriptors cover them.
PROBES_LIMIT_COUNT = 32


class Readiness:
    """Server of the probe: 200 if this instance takes new connections, else 503."""

    def __init__(
        self,
        address: Address | None,
        path: str,
        is_ready: Callable[[], bool],
        held_bytes: HeldBytes,
        listeners: Listeners | None = None,
    ) -> None:
        """Binds the address if it is free.

        Args:
            address: Where to listen; None to run without a server.
            path: Path of the probe.
            is_ready: Tells whether this instance takes new connections.
            held_bytes: Limit on all bytes that the process holds.
            listeners: The listeners of the process; None for one of its own.
        """
        self._path = path
        self._is_ready = is_ready
        self._server = None
        if address is not None:
            self._server = plainhttp.PlainHttpServer(
                self._serve,
                address,
                held_bytes,
                PROBES_LIMIT_COUNT,
                "readiness",
                listeners,
            )

    async def run(self) -> None:
        """Serves until cancelled."""
        if self._server is None:
            await anyio.sleep_forever()
            return
        try:
            await self._server.run()
        finally:
            self._server.close()

    async def _serve(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        if scope["path"] != self._path:
            await asgi.send_json(send, 404, {})
        else:
            await asgi.send_json(send, 200 if self._is_ready() else 503, {})
