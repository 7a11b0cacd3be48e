"""The server of forwarded requests: connections, readiness and the planned stop."""

import random

import anyio
import anyio.abc

from cassiapitch import bytestream, events, timers
from cassiapitch.caller_connection import (
    DEFAULT_LIMITS,
    BadRequestError,
    CallerConnection,
    serve_safely,
)
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.forwardcall import Forwarder
from cassiapitch.forwardroutes import CallerLimits
from cassiapitch.header_codec import HeaderCodec
from cassiapitch.readiness import Readiness

# The end of the process itself takes a moment.
STOP_MARGIN_MS = 600
# Part of that margin in which the last answers are written.
FINAL_RESPONSES_MS = 200
# A connection that has just come gets this long for its first request at a stop.
FIRST_REQUEST_GRACE_MS = 1_000
STOP_POLL_S = 0.02


class ForwardServer:
    """Serves callers whose requests are forwarded; see `entry.CallerServer`."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        state: EntryState,
        crash_containment: CrashContainment,
    ) -> None:
        self._state = state
        settings = state.settings
        self._listener = bytestream.Listener(settings.caller_address, self.accept)
        self.port = self._listener.port
        rng = random.Random(f"{settings.name}-{state.life_id}")
        self._forwarder = Forwarder(header_codec, state, crash_containment, rng)
        self._readiness = Readiness(
            settings.readiness_address, header_codec.readiness_path, self._is_ready
        )
        self._connections: dict[CallerConnection, int] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._closed = anyio.Event()
        self._closed_ms = 0

    def _is_ready(self) -> bool:
        is_current = self._state.freshness.as_of_ms is not None
        has_bundle = self._state.catalog.bundle is not None
        return self._state.shutdown == "running" and is_current and has_bundle

    def _limits(self) -> CallerLimits:
        return self._state.catalog.caller_limits or DEFAULT_LIMITS

    async def run(self) -> None:
        """Serves until `close`, and then to the end of every call."""
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._readiness.run)
            await self._listener.run_until(self._closed)
            await self._drain_connections()
            group.cancel_scope.cancel()

    def begin_stop(self) -> None:
        """Has every further answer tell its caller to leave the connection."""
        self._forwarder.answers.is_stopping = True

    async def _drain_connections(self) -> None:
        """Ends idle connections at once and the others after their answer.

        What waits when the time is over, for instance for a model that is being
        loaded, is answered as well: its connection must not end without an answer.
        """
        await self._drain_until(self._closed_ms)
        self._forwarder.end_calls()
        await self._drain_until(timers.now_ms() + FINAL_RESPONSES_MS)

    async def _drain_until(self, until_ms: int) -> None:
        while self._connections and (now_ms := timers.now_ms()) < until_ms:
            for connection, accepted_ms in list(self._connections.items()):
                is_new = not connection.has_served
                if is_new and now_ms - accepted_ms < FIRST_REQUEST_GRACE_MS:
                    continue
                if connection.is_idle:
                    connection.close()
                    del self._connections[connection]
            await anyio.sleep(STOP_POLL_S)

    def close(self) -> None:
        """Stops listening; calls in progress are completed."""
        self.begin_stop()
        settings = self._state.settings
        grace_ms = int(settings.grace_s * 1_000)
        drain_ms = grace_ms - settings.balancer_delay_ms - STOP_MARGIN_MS
        self._closed_ms = timers.now_ms() + max(0, drain_ms)
        self._closed.set()

    def accept(self, stream: bytestream.ByteStream) -> None:
        """Takes over a connection that a caller has made."""
        connection = CallerConnection(
            stream, self._limits, self._state.body_buffer_limit
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
                await connection.answer(error.status, [], b"", close=True)
                return
            if request is None:
                return
            await self._forwarder.serve(request, connection)
            if not connection.begin_next():
                return


def make_forward_server(
    header_codec: HeaderCodec, state: EntryState, crash_containment: CrashContainment
) -> ForwardServer:
    """Returns the server for callers of an entry that forwards requests."""
    return ForwardServer(header_codec, state, crash_containment)
