"""Server for forwarded requests: connections, readiness and graceful shutdown."""

import random
from collections.abc import Callable

import anyio
import anyio.abc

from cassiapitch import bytestream, events, listening, metrics, timers
from cassiapitch.caller_connection import (
    DEFAULT_LIMITS,
    BadRequestError,
    CallerConnection,
    serve_safely,
)
from cassiapitch.connection_limit import (
    SilentConnections,
    close_silent,
    connections_limit,
    descriptors_limit,
)
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.forwardcall import Forwarder
from cassiapitch.forwardroutes import CallerLimits
from cassiapitch.header_codec import HeaderCodec
from cassiapitch.readiness import Readiness
from cassiapitch.stop_admission import stop_deadline_ms
from cassiapitch.task_failures import start
from cassiapitch.tunnel_server import reserved_descriptors

# Part of `STOP_MARGIN_MS` in which the final responses are written.
FINAL_RESPONSES_MS = 200
# During a stop, a new connection is kept open this long for its first request.
FIRST_REQUEST_GRACE_MS = 1_000
STOP_POLL_S = 0.02


class ForwardServer:
    """Serves callers whose requests are forwarded; implements `entry.CallerServer`."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        state: EntryState,
        crash_containment: CrashContainment,
        stop_requested_ms: Callable[[], int | None] = lambda: None,
    ) -> None:
        """Creates a server; `run` listens.

        Args:
            header_codec: Reads and writes the platform's headers.
            state: The entry's state.
            crash_containment: Quarantine of requests that crash backend servers.
            stop_requested_ms: Returns when a signal asked for a stop, or None.
        """
        self._state = state
        settings = state.settings
        self._listener = listening.Listener(
            settings.caller_address, self.accept, "callers", state.listeners
        )
        rng = random.Random(f"{settings.name}-{state.life_id}")
        self._forwarder = Forwarder(
            header_codec, state, crash_containment, rng, stop_requested_ms
        )
        self._readiness = Readiness(
            settings.readiness_address,
            header_codec.readiness_path,
            self._is_ready,
            state.held_bytes,
            state.listeners,
        )
        self._connections: dict[CallerConnection, int] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._closed = anyio.Event()
        self._drain_deadline_ms = 0
        self._connections_limit_count = connections_limit(
            settings.connections_limit_count,
            descriptors_limit(),
            state.held_bytes.connections_limit_count,
            reserved_descriptors(settings.tunnel_address),
        )
        self._silent_connections = SilentConnections()

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return self._listener.port

    def _is_ready(self) -> bool:
        is_current = self._state.freshness.as_of_ms is not None
        has_bundle = self._state.catalog.bundle is not None
        is_open = self._state.listeners.are_open and self._state.shutdown == "running"
        return is_open and is_current and has_bundle

    def _limits(self) -> CallerLimits:
        return self._state.catalog.caller_limits or DEFAULT_LIMITS

    async def run(self) -> None:
        """Serves until `close` is called and all calls in progress have ended."""
        async with anyio.create_task_group() as group:
            self._group = group
            start(group, "readiness", self._readiness.run)
            start(group, "requests", self._forwarder.run)
            await self._listener.run_until(self._closed)
            await self._drain_connections()
            group.cancel_scope.cancel()

    def begin_stop(self, deadline_ms: int) -> None:
        """Begins a planned stop: only what ends before a deadline is still served."""
        self._drain_deadline_ms = deadline_ms
        self._forwarder.begin_stop(deadline_ms)

    async def _drain_connections(self) -> None:
        """Closes idle connections at once and the others after their response.

        Requests that still wait when the time is over, for instance for a model that
        is being loaded, get a refusal: no connection may end without a response.
        """
        await self._drain_until(self._drain_deadline_ms)
        self._forwarder.end_calls()
        await self._drain_until(timers.now_ms() + FINAL_RESPONSES_MS)
        # A response is written to its end even if its request is cancelled. A caller
        # that reads slowly would keep the process beyond its grace time.
        for connection in list(self._connections):
            connection.abort()

    async def _drain_until(self, deadline_ms: int) -> None:
        while self._connections and (now_ms := timers.now_ms()) < deadline_ms:
            for connection, accepted_ms in list(self._connections.items()):
                is_new = not connection.has_served
                if is_new and now_ms - accepted_ms < FIRST_REQUEST_GRACE_MS:
                    continue
                if connection.is_idle:
                    connection.close()
                    del self._connections[connection]
            await anyio.sleep(STOP_POLL_S)

    def close(self) -> None:
        """Stops listening; calls in progress are completed until the deadline."""
        if not self._drain_deadline_ms:
            grace_s = self._state.settings.grace_s
            self.begin_stop(stop_deadline_ms(timers.now_ms(), grace_s))
        self._closed.set()

    def accept(self, stream: bytestream.ByteStream) -> None:
        """Starts to serve a new connection of a caller, or closes it at once."""
        if len(self._connections) >= self._connections_limit_count:
            for silent in close_silent(self._silent_connections, self._connections):
                del self._connections[silent]
        if len(self._connections) >= self._connections_limit_count:
            # Nothing was read, so the caller knows that no request has run.
            metrics.CALLERS_REFUSED.inc("connections")
            events.log_rate_limited(
                events.Event.CALLER_REFUSED,
                reason="connections",
                peer=stream.peer_ip,
                connections_count=len(self._connections),
            )
            stream.abort()
            return
        connection = CallerConnection(
            stream,
            self._limits,
            self._state.body_buffer_limit,
            self._state.held_bytes,
        )
        self._connections[connection] = timers.now_ms()
        assert self._group is not None
        self._group.start_soon(self._serve_accepted, connection)

    async def _serve_accepted(self, connection: CallerConnection) -> None:
        """Serves one caller's connection to its end."""
        try:
            await serve_safely(connection, self._serve_connection)
        finally:
            self._connections.pop(connection, None)

    async def _serve_connection(self, connection: CallerConnection) -> None:
        while True:
            try:
                request = await connection.read_request()
            except BadRequestError as error:
                events.log(
                    events.Event.FORWARD_REFUSED,
                    reason=str(error),
                    status=error.status,
                )
                await connection.refuse_unread(error)
                return
            if request is None:
                return
            await self._forwarder.serve(request, connection)
            if not connection.start_next_request():
                return


def make_caller_server(
    header_codec: HeaderCodec,
    state: EntryState,
    crash_containment: CrashContainment,
    stop_requested_ms: Callable[[], int | None] = lambda: None,
) -> ForwardServer:
    """Returns the server for callers of an entry that forwards requests."""
    return ForwardServer(header_codec, state, crash_containment, stop_requested_ms)
