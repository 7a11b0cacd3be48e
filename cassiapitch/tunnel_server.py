"""Connections to backend servers that an entry opens for other entries.

A tunnel ends at the entry that opens the connection: it is never passed on once more.
Requests stay whole: an entry that stood still passes nothing more on in its open
tunnels, since requests in them may have been given up meanwhile. What was passed on
before is still answered.
"""

import dataclasses
import functools
from collections.abc import Callable, Collection

import anyio

from cassiapitch import bytestream, events, metrics, rpc, timers
from cassiapitch.bytestream import ByteStream
from cassiapitch.connection_limit import (
    DESCRIPTORS_PER_CONNECTION_COUNT,
    descriptors_limit,
    tunnels_limit,
)
from cassiapitch.events import Event
from cassiapitch.exceptions import CodecError
from cassiapitch.held_bytes import HeldBytes, Kind
from cassiapitch.running_time import RunningTime
from cassiapitch.settings import Address, TlsSettings
from cassiapitch.socket_retries import Listeners
from cassiapitch.tunnel_messages import (
    LEAVING,
    TunnelAnswer,
    TunnelAsk,
    TunnelOutcome,
)
from cassiapitch.tunnels import METHOD, SERVICE
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# Tunnels that an entry serves at once. Its own callers need the rest of its sockets,
# memory and time.
TUNNELS_LIMIT_COUNT = 128
# What a tunnel takes that isn't counted, if neither end reads: 160 KiB of memory, and
# up to 94 KiB in the kernel at each end. An instance with 152 MB has memory for more
# than the limit above.
TUNNEL_COST_BYTES = 256 * 1024
# Connections that haven't asked yet, or are being refused.
PENDING_LIMIT_COUNT = 64
ASK_TIMEOUT_S = 1.0
# The entry that asks tries its next peer long before.
CONNECT_TIMEOUT_MS = 400
TICK_MS = 100
# An entry whose event loop ran nothing for this long stood still.
STALL_MS = 500
DRAIN_POLL_S = 0.05


def reserved_descriptors(address: Address | None) -> int:
    """Returns how many descriptors an entry's tunnels, and asks for them, may take.

    Args:
        address: Where the entry listens for them; None if it serves none.
    """
    if address is None:
        return 0
    limit_count = tunnels_limit(TUNNELS_LIMIT_COUNT, descriptors_limit())
    return limit_count * DESCRIPTORS_PER_CONNECTION_COUNT + PENDING_LIMIT_COUNT


FindBackend = Callable[[str], BackendItem | None]


@dataclasses.dataclass(slots=True, eq=False)
class _Tunnel:
    """One tunnel: the stream of the entry that asked, and the backend server's."""

    stream: rpc.Stream
    backend: ByteStream
    life_id: LifeId
    # Whether what arrives is passed on to the backend server.
    takes_requests: bool = True


class TunnelServer:
    """Serves the tunnels of one entry."""

    def __init__(
        self,
        cluster: str,
        address: Address | None,
        tls: TlsSettings | None,
        find_backend: FindBackend,
        is_path_lost: Callable[[LifeId], bool],
        held_bytes: HeldBytes,
        is_drained: Callable[[LifeId], bool] = lambda life_id: False,
        listeners: Listeners | None = None,
    ) -> None:
        """Creates a server; `run` listens.

        Args:
            cluster: Name of the deployment; entries of another one are refused.
            address: Where to listen; None to serve nothing.
            tls: Mutual TLS between the system's processes; None for plain TCP.
            find_backend: Returns a backend server of the view by name.
            is_path_lost: Returns whether this entry doesn't reach an incarnation.
            held_bytes: Limit on all bytes that the entry holds.
            is_drained: Returns whether the zone of an incarnation is drained. Entries
                that are cut off from the control group don't know that themselves.
            listeners: The listeners of the process; None for one of its own.
        """
        self._listeners = listeners
        self._held_bytes = held_bytes
        self._cluster = cluster
        self._address = address
        self._tls = tls
        self._find_backend = find_backend
        self._is_path_lost = is_path_lost
        self._is_drained = is_drained
        self._tunnels: set[_Tunnel] = set()
        self._pending_count = 0
        self._is_stopping = False
        self._tick_ms = timers.now_ms()
        self._running_time = RunningTime()
        self._server: rpc.RpcServer | None = None

    @property
    def count(self) -> int:
        """Number of tunnels that are open or being opened."""
        return len(self._tunnels) + self._pending_count

    @property
    def limit_count(self) -> int:
        """The most tunnels at once."""
        memory_count = self._held_bytes.connections_limit(TUNNEL_COST_BYTES)
        return tunnels_limit(TUNNELS_LIMIT_COUNT, descriptors_limit(), memory_count)

    def bind(self) -> None:
        """Binds the address if it is free.

        Raises:
            UnusableAddressError: No process of this instance can listen there.
        """
        if self._address is None:
            return
        handler = rpc.Handler(SERVICE, {METHOD: self._serve})
        server = rpc.RpcServer([handler], self._held_bytes)
        server.bind(
            self._address,
            self._tls,
            PENDING_LIMIT_COUNT,
            lambda: self.limit_count + PENDING_LIMIT_COUNT,
            "tunnels",
            self._listeners,
        )
        self._server = server

    @property
    def address(self) -> Address | None:
        """The address for other entries, or None if there is none (yet)."""
        if self._address is None or self._server is None or not self._server.port:
            return None
        return Address(self._address.ip, self._server.port)

    async def run(self) -> None:
        """Listens and watches for stalls until cancelled, then ends all tunnels.

        Raises:
            ExceptionGroup: With what `rpc.RpcServer.open` raised.
        """
        try:
            async with anyio.create_task_group() as group:
                if self._server is not None:
                    group.start_soon(self._server.open)
                while True:
                    self._check_standstill()
                    await anyio.sleep(TICK_MS / 1000)
        finally:
            if self._server is not None:
                with anyio.CancelScope(shield=True):
                    await self._server.close()

    async def begin_stop(self) -> None:
        """Opens no more tunnels; asks entries to end the open ones after use."""
        self._is_stopping = True
        self._end_after_use(list(self._tunnels))

    async def leave_backends(self, life_ids: Collection[LifeId]) -> None:
        """Asks entries to end the tunnels to some incarnations after use."""
        self._end_after_use(
            [tunnel for tunnel in self._tunnels if tunnel.life_id in life_ids]
        )

    def _end_after_use(self, tunnels: list[_Tunnel]) -> None:
        for tunnel in tunnels:
            try:
                tunnel.stream.queue_flag(LEAVING)
            except OSError as error:
                events.log(Event.TUNNEL_ENDED, reason=str(error))

    async def drain(self, timeout_ms: int) -> None:
        """Waits until all tunnels have ended, for a limited time."""
        with anyio.move_on_after(max(0, timeout_ms) / 1000):
            while self._tunnels:  # noqa: ASYNC110
                await anyio.sleep(DRAIN_POLL_S)

    def _check_standstill(self) -> None:
        """Passes no more requests on in the open tunnels after a stall.

        They are not ended: on a busy machine an entry stands still for 500 ms every
        few minutes, and requests that run would be broken off.
        """
        now_ms = timers.now_ms()
        stalled_ms = now_ms - self._tick_ms
        self._tick_ms = now_ms
        if stalled_ms < STALL_MS or not self._tunnels:
            return
        events.log(Event.TUNNEL_ENDED, reason=f"stood still for {stalled_ms} ms")
        for tunnel in self._tunnels:
            tunnel.takes_requests = False
            if tunnel.backend.has_unsent:
                # The rest of a request that was read before the stall.
                tunnel.backend.abort()
                tunnel.stream.abort()
        self._end_after_use(
            [tunnel for tunnel in self._tunnels if not tunnel.backend.is_closing]
        )

    async def _serve(self, stream: rpc.Stream) -> None:
        stream.limit_silence()
        stream.wait_for_each_write()
        with anyio.fail_after(ASK_TIMEOUT_S):
            ask = await stream.recv_message()
        if not isinstance(ask, TunnelAsk) or ask.cluster != self._cluster:
            events.log(Event.TUNNEL_REFUSED, reason="not an entry of this deployment")
            return
        backend: ByteStream | None = None
        self._pending_count += 1
        try:
            outcome, backend = await self._open(ask)
        finally:
            self._pending_count -= 1
        metrics.TUNNELS_SERVED.inc(outcome.value)
        if backend is None:
            await stream.send_message(TunnelAnswer(outcome))
            return
        backend.wait_for_each_write()
        backend.limit_reads()
        tunnel = _Tunnel(stream, backend, ask.life_id)
        self._tunnels.add(tunnel)
        holder = self._held_bytes.open(
            stream.peer_ip, functools.partial(_close_as_largest, tunnel)
        )
        backend.hold_for(holder, Kind.TUNNEL, Kind.BACKEND_OUTPUT)
        try:
            await stream.send_message(TunnelAnswer(outcome))
            async with anyio.create_task_group() as group:
                group.start_soon(self._pass_answers, tunnel)
                await self._pass_requests(tunnel)
                group.cancel_scope.cancel()
        finally:
            self._tunnels.discard(tunnel)
            holder.close()
            # Nobody waits for the rest of an answer.
            backend.abort()

    async def _open(self, ask: TunnelAsk) -> tuple[TunnelOutcome, ByteStream | None]:
        backend = self._find_backend(ask.backend)
        if backend is None or backend.life_id != ask.life_id:
            return TunnelOutcome.UNKNOWN, None
        if self._is_path_lost(ask.life_id):
            return TunnelOutcome.CUT, None
        # The one that is being opened is counted already.
        if self._is_stopping or self.count > self.limit_count:
            return TunnelOutcome.BUSY, None
        try:
            with self._running_time.fail_after(CONNECT_TIMEOUT_MS):
                stream = await bytestream.connect(
                    backend.ip,
                    backend.port,
                    receive_bytes=bytestream.TUNNEL_BUFFER_BYTES,
                )
        except TimeoutError:
            return TunnelOutcome.SILENT, None
        except OSError as error:
            events.log(Event.TUNNEL_REFUSED, backend=backend.name, reason=str(error))
            return TunnelOutcome.REFUSED, None
        if self._is_drained(ask.life_id):
            # Entries of earlier builds know no other outcome for this. It is told only
            # once the backend server is known to run, so that witnesses of a crash are
            # heard in a drained zone too.
            events.log(Event.TUNNEL_REFUSED, backend=backend.name, reason="drained")
            stream.abort()
            return TunnelOutcome.UNKNOWN, None
        return TunnelOutcome.OPENED, stream

    async def _pass_requests(self, tunnel: _Tunnel) -> None:
        """Passes bytes to the backend server until the entry that asked has left."""
        try:
            while (data := await tunnel.stream.read_bytes()) is not None:
                self._check_standstill()
                if not tunnel.takes_requests:
                    return
                await tunnel.backend.send(data)
        except (OSError, CodecError) as error:
            events.log(Event.TUNNEL_ENDED, reason=str(error) or repr(error))

    async def _pass_answers(self, tunnel: _Tunnel) -> None:
        """Passes the backend server's bytes on, and their end only if it is one."""
        try:
            while data := await tunnel.backend.receive(bytestream.READ_BYTES):
                await tunnel.stream.write_bytes(data)
            await tunnel.stream.write_bytes(b"")
        except OSError as error:
            events.log(Event.TUNNEL_ENDED, reason=str(error) or repr(error))
            tunnel.stream.abort()


def _close_as_largest(tunnel: _Tunnel) -> None:
    metrics.CALLERS_CLOSED.inc("held_bytes")
    events.log_rate_limited(Event.TUNNEL_ENDED, reason="it holds too many bytes")
    tunnel.backend.discard()
    tunnel.stream.abort()
