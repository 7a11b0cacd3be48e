"""HTTP serving by `uvicorn`."""

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
# Connections over the limit that are open at once to be refused; any further one is
# closed without an answer, so that a flood of them takes bounded memory.
REFUSED_LIMIT_COUNT = 256


class _Protocol(H11Protocol):
    """`uvicorn`'s protocol with limits on open connections and on a head's time.

    `uvicorn` limits idle connections after their first response only, so that a
    caller that sends a head byte by byte would hold its connection for ever. Over
    its limit of connections it answers in plain text, on earlier ones as well.
    """

    _head_timer: asyncio.TimerHandle | None = None

    def __init__(
        self, *, limit_count: int | None, refuse: App | None, **arguments: Any
    ) -> None:
        super().__init__(**arguments)
        self._limit_count = limit_count
        self._refuse = refuse

    def connection_made(self, transport: Any) -> None:
        """Starts the time for the first head."""
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
        """Starts the time if only a part of a head has arrived."""
        super().data_received(data)
        self._update_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the time."""
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
    """`uvicorn` without its signal handlers, which belong to `process`."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """One listening HTTP server; `run` serves until `close` or cancellation."""

    def __init__(
        self,
        app: App,
        address: Address,
        *,
        connections_limit_count: int | None = None,
        refuse: App | None = None,
        header_limit_bytes: int = 32 * 1024,
    ) -> None:
        """Binds the address; port 0 takes a free one, see `port`.

        Args:
            app: Serves the requests.
            address: Where to listen.
            connections_limit_count: Connections that `app` serves at once.
            refuse: Answers the first request of each connection over the limit and
                closes it; without it they are closed at once.
            header_limit_bytes: Largest head of a request.
        """
        self._socket = bytestream.listening_socket(address)
        self.port: int = self._socket.getsockname()[1]
        self._server = _Server(
            uvicorn.Config(
                app,
                loop="asyncio",
                # A bound method isn't recognised as an ASGI 3 application.
                interface="asgi3",
                # Forwarding headers are not trusted, and cost time on each request.
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

    def begin_stop(self) -> None:
        """Does nothing: `uvicorn` ends kept connections when it stops listening."""

    def close(self) -> None:
        """Stops listening; responses in progress are completed."""
        self._server.should_exit = True
