"""The server of forwarded requests: connections, readiness and the planned stop."""

import random
import traceback

import anyio
import anyio.abc
import anyio.lowlevel

from cassiapitch import events, timers
from cassiapitch.callerlink import (
    DEFAULT_LIMITS,
    BadRequestError,
    CallerConnection,
    CallerGoneError,
    closing,
)
from cassiapitch.crashes import Crashes
from cassiapitch.entrystate import EntryState
from cassiapitch.forwardcall import Forwarder
from cassiapitch.forwardroutes import CallerLimits
from cassiapitch.readiness import Readiness
from cassiapitch.settings import Address
from cassiapitch.wire import Wire

LISTEN_BACKLOG = 1_024
# The end of the process itself takes a moment.
STOP_MARGIN_MS = 600
# Part of that margin in which the last answers are written.
LAST_ANSWERS_MS = 200
STOP_POLL_MS = 100


class ForwardServer:
    """Serves callers whose requests are forwarded; see `entry.CallerServer`."""

    def __init__(self, wire: Wire, state: EntryState, crashes: Crashes) -> None:
        self._state = state
        settings = state.settings
        self._address: Address = settings.caller_address
        self.port = settings.caller_address.port
        source = random.Random(f"{settings.name}-{state.life_id}")
        self._forwarder = Forwarder(wire, state, crashes, source)
        self._readiness = Readiness(
            settings.readiness_address, wire.readiness_path, self._is_ready
        )
        self._connections: set[CallerConnection] = set()
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
            group.start_soon(self._readiness.run)
            group.start_soon(self._watch_stop)
            await self._serve_connections()
            group.cancel_scope.cancel()

    async def _watch_stop(self) -> None:
        """Answers tell callers to leave the connection once the stop has begun."""
        while self._state.shutdown == "running":
            await self._state.confirmed.wait(STOP_POLL_MS)
        self._forwarder.answers.is_stopping = True

    async def _serve_connections(self) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self._address.ip,
            local_port=self._address.port,
            backlog=LISTEN_BACKLOG,
        )
        async with anyio.create_task_group() as group:
            async with listener:
                with anyio.CancelScope() as accepting:
                    group.start_soon(self._cancel_when_closed, accepting)
                    # Connections belong to the outer group and outlive the listener.
                    await listener.serve(self.serve_stream, task_group=group)
            await self._end_connections()
            group.cancel_scope.cancel()

    async def _cancel_when_closed(self, accepting: anyio.CancelScope) -> None:
        await self._closed.wait()
        accepting.cancel()

    async def _end_connections(self) -> None:
        """Ends idle connections at once and the others after their answer.

        What waits when the time is over, for instance for a model that is being
        loaded, is answered as well: its connection must not end without an answer.
        """
        await self._drain_until(self._closed_ms)
        self._forwarder.end_calls()
        await self._drain_until(timers.now_ms() + LAST_ANSWERS_MS)

    async def _drain_until(self, until_ms: int) -> None:
        while self._connections and timers.now_ms() < until_ms:
            for connection in list(self._connections):
                if connection.is_idle:
                    await connection.close()
                    self._connections.discard(connection)
            await anyio.sleep(0.02)

    def close(self) -> None:
        """Stops listening; calls in progress are completed."""
        settings = self._state.settings
        grace_ms = int(settings.grace_s * 1_000)
        rest_ms = grace_ms - settings.balancer_delay_ms - STOP_MARGIN_MS
        self._closed_ms = timers.now_ms() + max(0, rest_ms)
        self._closed.set()

    async def serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        """Serves one caller's connection to its end."""
        connection = CallerConnection(stream, self._limits, self._state.body_room)
        self._connections.add(connection)
        try:
            async with closing(connection):
                await self._serve_connection(connection)
        except CallerGoneError:
            pass
        except Exception as error:
            # One connection's fault must not end the others.
            events.log(
                events.Event.CALL_FAILED,
                reason=repr(error),
                trace=traceback.format_exc(limit=-8),
            )
        finally:
            self._connections.discard(connection)

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


def make_callers(wire: Wire, state: EntryState, crashes: Crashes) -> ForwardServer:
    """Returns the server for callers of an entry that forwards requests."""
    return ForwardServer(wire, state, crashes)
