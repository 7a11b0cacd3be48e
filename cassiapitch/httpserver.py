"""HTTP server on `uvicorn`, with limits on connections and on slow heads."""

import asyncio
import contextlib
import functools
from collections.abc import Iterator
from typing import Any

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from cassiapitch import bytestream
from cassiapitch.asgi import App
from cassiapitch.settings import Address

KEEP_ALIVE_S = 75
HEAD_LIMIT_S = 30
# Connections over the limit that may be open at once to get a refusal. Any further one
# is closed without a response, so that a flood of connections uses bounded memory.
REFUSED_LIMIT_COUNT = 256


class _Protocol(H11Protocol):
    """`uvicorn`'s protocol with limits on open connections and on the time of a head.

    `uvicorn` times out idle connections only after their first response, so a caller
    that sends a head byte by byte could hold its connection forever. Its own limit on
    connections responds in plain text, also on connections made before the limit was
    reached.
    """

    _head_timer: asyncio.TimerHandle | None = None

    def __init__(
        self, *, limit_count: int | None, refuse: App | None, **arguments: Any
    ) -> None:
        super().__init__(**arguments)
        self._limit_count = limit_count
        self._refuse = refuse

    def connection_made(self, transport: Any) -> None:
        """Starts the timer for the first head; refuses connections over the limit."""
        super().connection_made(transport)
        self._update_head_timer()
        if self._limit_count is None:
            return
        excess_count = len(self.connections) - self._limit_count
        if excess_count > REFUSED_LIMIT_COUNT or (
            excess_count > 0 and not self._refuse
        ):
            self.transport.abort()
        elif excess_count > 0:
            self.app = self._refuse

    def data_received(self, data: bytes) -> None:
        """Starts or stops the timer, depending on whether a head is incomplete."""
        super().data_received(data)
        self._update_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stops the timer."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def _update_head_timer(self) -> None:
        if self.conn.their_state is not h11.IDLE:
            self._cancel_head_timer()
        elif self._head_timer is None:
            self._head_timer = self.loop.call_later(
                HEAD_LIMIT_S, self._close_on_timeout
            )

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_on_timeout(self) -> None:
        if not self.transport.is_closing():
            self.transport.close()


class _Server(uvicorn.Server):
    """`uvicorn` without its signal handlers; `process` handles signals."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """HTTP server; `run` serves until `close` or cancellation."""

    def __init__(
        self,
        app: App,
        address: Address,
        *,
        connections_limit_count: int | None = None,
        refuse: App | None = None,
        header_limit_bytes: int = 32 * 1024,
    ) -> None:
        """Binds the address; with port 0 a free port is picked, see `port`.

        Args:
            app: Serves the requests.
            address: Where to listen.
            connections_limit_count: Most connections that `app` serves at once.
            refuse: Responds to the first request of each connection over the limit
                and closes it; without it such connections are closed at once.
            header_limit_bytes: Largest head of a request.
        """
        self._socket = bytestream.listening_socket(address)
        self.port: int = self._socket.getsockname()[1]
        self._server = _Server(
            uvicorn.Config(
                app,
                loop="asyncio",
                # `uvicorn` doesn't recognise a bound method as an ASGI 3 application.
                interface="asgi3",
                # `X-Forwarded-*` headers aren't trusted, and parsing them costs time.
                proxy_headers=False,
                http=functools.partial(
                    _Protocol, limit_count=connections_limit_count, refuse=refuse
                ),
                ws="none",
                lifespan="off",
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_keep_alive=KEEP_ALIVE_S,
                h11_max_incomplete_event_size=header_limit_bytes,
            )
        )

    async def run(self) -> None:
        """Serves; after `close`, ends once the last response is complete."""
        await self._server.serve(sockets=[self._socket])

    def begin_stop(self, deadline_ms: int) -> None:
        """Does nothing: `uvicorn` closes idle connections when it stops listening.

        It completes responses without a limit, so the deadline doesn't matter.
        """

    def close(self) -> None:
        """Stops listening; responses in progress are completed."""
        self._server.should_exit = True
