"""An entry's paths to backend servers: its own link, or a tunnel through a peer.

A path counts as lost once a peer reaches a backend server that this entry doesn't. New
connections then go through peers, while the entry's own link is probed until it works
again. Whether a backend server itself is gone is decided by what peers see, too. Time
limits leave out time in which this process's own event loop didn't run: with them, a
burst at a busy entry opened several paths for each connection and made it busier.
"""

import asyncio
import contextlib
import dataclasses
import enum
import functools
import math
import random
import ssl
from collections.abc import Awaitable, Callable, Collection, Coroutine
from typing import Any

import anyio

from cassiapitch import (
    bytestream,
    events,
    metrics,
    task_failures,
    timers,
    tls_contexts,
    tunnels,
)
from cassiapitch.bytestream import ByteStream
from cassiapitch.events import Event
from cassiapitch.home_regions import Regions, is_allowed
from cassiapitch.running_time import RunningTime
from cassiapitch.settings import EntrySettings
from cassiapitch.task_failures import Restart
from cassiapitch.tunnel_messages import TunnelAsk, TunnelOutcome, TunnelPeer
from cassiapitch.tunnels import TunnelRefusedError
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# A path that has not connected after this time gets company by the next one.
NEXT_PATH_DELAY_MS = 200
# Peers that are tried for one connection, and how many of them in the own zone: a whole
# zone may be cut off at once.
PEERS_TRIED_COUNT = 4
PEERS_TRIED_IN_ZONE_COUNT = 2
# How long a peer that was of no help is tried last.
PEER_AVOIDED_MS = 1_000
# Lost paths are probed this often, a limited number at a time.
PROBE_PERIOD_MS = 500
PROBE_TIMEOUT_MS = 400
PROBES_LIMIT_COUNT = 16
# Whether a backend server is gone: peers that are asked, how many have to say so, and
# how long their answers may take.
WITNESSES_ASKED_COUNT = 3
WITNESSES_COUNT = 2
WITNESS_TIMEOUT_MS = 600
# An incarnation that is gone is not asked about again for this long.
GONE_MS = 1_000

_FAILURES = (OSError, TimeoutError, TunnelRefusedError)

Open = Callable[[], Awaitable[ByteStream]]


class Verdict(enum.Enum):
    """What this entry and its peers see of a backend server."""

    RUNNING = "running"
    GONE = "gone"
    UNKNOWN = "unknown"


@dataclasses.dataclass(slots=True)
class _Inquiry:
    """Peers are asked, or were asked lately, whether a backend server runs."""

    done: anyio.Event
    verdict: Verdict = Verdict.UNKNOWN
    until_ms: float = math.inf


class BackendPaths:
    """Paths of one entry; opens all its connections to backend servers."""

    def __init__(
        self,
        settings: EntrySettings,
        start_background: Callable[..., None],
        rng: random.Random,
    ) -> None:
        """Creates paths without peers.

        Args:
            settings: Settings of the entry.
            start_background: Starts work that outlives a call.
            rng: Spreads the entries' tunnels over equal peers.
        """
        self._settings = settings
        self._start_background = start_background
        self._rng = rng
        self._running_time = RunningTime()
        self._peers: tuple[TunnelPeer, ...] = ()
        self._are_peers_known = settings.tunnel_address is None
        self._avoided_until_ms: dict[str, int] = {}
        self._lost: dict[LifeId, BackendItem] = {}
        self._inquiries: dict[LifeId, _Inquiry] = {}
        self._is_probing = False
        self._tls: ssl.SSLContext | None = None
        # Called with the life id when the own path to an incarnation is lost.
        self.on_path_lost: Callable[[LifeId], None] = lambda _: None

    async def _load_tls(self) -> ssl.SSLContext | None:
        tls = self._settings.tls
        if tls is not None and self._tls is None:
            self._tls = await tls_contexts.load_client_context(tls)
        return self._tls

    def update_peers(self, peers: Collection[TunnelPeer]) -> None:
        """Sets the peers that may be asked for tunnels."""
        self._are_peers_known = True
        self._peers = tuple(peer for peer in peers if peer.entry != self._settings.name)
        names = {peer.entry for peer in self._peers}
        for name in self._avoided_until_ms.keys() - names:
            del self._avoided_until_ms[name]

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Forgets incarnations that are no longer in the view."""
        for table in (self._lost, self._inquiries):
            for life_id in [key for key in table if key not in life_ids]:
                del table[life_id]

    def is_lost(self, life_id: LifeId) -> bool:
        """Returns whether the entry's own path to an incarnation is lost."""
        return life_id in self._lost

    def peers_count(self) -> int:
        """Returns the number of peers that may be asked for tunnels."""
        return len(self._peers)

    def lost_count(self) -> int:
        """Returns the number of incarnations that are reached through peers only."""
        return len(self._lost)

    async def connect(
        self, backend: BackendItem, timeout_ms: int, regions: Regions = None
    ) -> ByteStream:
        """Opens a connection, through a peer if the own path doesn't lead there.

        Args:
            backend: The backend server.
            timeout_ms: Time limit.
            regions: Regions of the peers that may pass on what is sent; None for all.

        Raises:
            OSError: No path leads to the backend server.
            TimeoutError: None was found in time.
        """
        own_path = functools.partial(bytestream.connect, backend.ip, backend.port)
        if not self._peers:
            with self._running_time.fail_after(timeout_ms):
                return await own_path()
        own_first = not self.is_lost(backend.life_id)
        paths = [
            functools.partial(self._tunnel, peer, backend)
            for peer in self._peers_for(backend, regions)
        ]
        paths.insert(0 if own_first else len(paths), own_path)
        race = _Race(self._running_time)
        try:
            with self._running_time.fail_after(timeout_ms):
                for path in paths:
                    race.start(path)
                    if await race.first_result(NEXT_PATH_DELAY_MS):
                        break
                else:
                    await race.first_result(None)
                stream = race.take()
        finally:
            race.cancel()
        if stream.is_tunneled:
            metrics.TUNNELS_OPENED.inc()
            self._mark_lost(backend)
        return stream

    async def inquire(self, backend: BackendItem) -> Verdict:
        """Finds out whether a backend server that can't be reached is gone.

        Requests that ask at the same time share the answer.
        """
        if not self._peers:
            return Verdict.GONE if self._are_peers_known else Verdict.UNKNOWN
        inquiry = self._inquiries.get(backend.life_id)
        if inquiry is None or inquiry.until_ms < timers.now_ms():
            inquiry = self._inquiries[backend.life_id] = _Inquiry(anyio.Event())
            self._start_background(self._run_inquiry, backend, inquiry)
        await inquiry.done.wait()
        return inquiry.verdict

    async def _run_inquiry(self, backend: BackendItem, inquiry: _Inquiry) -> None:
        try:
            inquiry.verdict = await self._ask_witnesses(backend)
        finally:
            is_gone = inquiry.verdict is Verdict.GONE
            inquiry.until_ms = timers.now_ms() + GONE_MS if is_gone else 0
            inquiry.done.set()

    async def _ask_witnesses(self, backend: BackendItem) -> Verdict:
        outcomes: list[TunnelOutcome] = []

        async def ask(peer: TunnelPeer) -> None:
            try:
                stream = await self._tunnel(peer, backend)
            except TunnelRefusedError as error:
                outcomes.append(error.outcome)
            except OSError as error:
                events.log(Event.TUNNEL_REFUSED, peer=peer.entry, reason=str(error))
            else:
                stream.abort()
                outcomes.append(TunnelOutcome.OPENED)
                group.cancel_scope.cancel()

        with (
            contextlib.suppress(TimeoutError),
            self._running_time.fail_after(WITNESS_TIMEOUT_MS),
        ):
            async with anyio.create_task_group() as group:
                for peer in self._witnesses(backend):
                    group.start_soon(ask, peer)
        if TunnelOutcome.OPENED in outcomes:
            self._mark_lost(backend)
            return Verdict.RUNNING
        failed = (TunnelOutcome.REFUSED, TunnelOutcome.SILENT)
        failed_count = sum(outcome in failed for outcome in outcomes)
        is_gone = failed_count >= min(WITNESSES_COUNT, len(self._peers))
        return Verdict.GONE if is_gone else Verdict.UNKNOWN

    async def _tunnel(self, peer: TunnelPeer, backend: BackendItem) -> ByteStream:
        settings = self._settings
        ask = TunnelAsk(settings.cluster, settings.name, backend.name, backend.life_id)
        tls = await self._load_tls()
        # Unless it opens a connection in time, others are tried first for a while.
        now_ms = timers.now_ms()
        self._avoided_until_ms[peer.entry] = now_ms + PEER_AVOIDED_MS
        try:
            stream = await tunnels.open_tunnel(peer, ask, tls)
        except TunnelRefusedError as error:
            is_peer_sound = error.outcome in (
                TunnelOutcome.REFUSED,
                TunnelOutcome.UNKNOWN,
            )
            if is_peer_sound:
                self._avoided_until_ms.pop(peer.entry, None)
            raise
        self._avoided_until_ms.pop(peer.entry, None)
        stream.peer_zone = peer.zone
        return stream

    def _ranked_peers(self, backend: BackendItem) -> list[TunnelPeer]:
        """Returns peers in the order in which they cost least, usable ones first."""
        now_ms = timers.now_ms()
        own_zone = self._settings.zone

        def rank(peer: TunnelPeer) -> tuple[bool, int, float]:
            is_avoided = self._avoided_until_ms.get(peer.entry, 0) > now_ms
            crossings = (peer.zone != own_zone) + (peer.zone != backend.zone)
            is_elsewhere = peer.zone != own_zone
            return is_avoided, 2 * crossings + is_elsewhere, self._rng.random()

        return sorted(self._peers, key=rank)

    def may_pass_on(self, stream: ByteStream, regions: Regions) -> bool:
        """Returns whether what is restricted to regions may be sent on a stream."""
        zone = stream.peer_zone
        return zone is None or is_allowed(zone, regions, self._settings.zone_regions)

    def _peers_for(self, backend: BackendItem, regions: Regions) -> list[TunnelPeer]:
        """Returns the peers to try for a connection, not all of them in one zone."""
        zone_regions = self._settings.zone_regions
        ranked = [
            peer
            for peer in self._ranked_peers(backend)
            if is_allowed(peer.zone, regions, zone_regions)
        ]
        chosen: list[TunnelPeer] = []
        in_zone_count = 0
        for peer in ranked:
            if peer.zone == self._settings.zone:
                in_zone_count += 1
                if in_zone_count > PEERS_TRIED_IN_ZONE_COUNT:
                    continue
            chosen.append(peer)
        return (chosen or ranked)[:PEERS_TRIED_COUNT]

    def _witnesses(self, backend: BackendItem) -> list[TunnelPeer]:
        """Returns peers of as many zones as possible."""
        by_zone: dict[str, list[TunnelPeer]] = {}
        for peer in self._ranked_peers(backend):
            by_zone.setdefault(peer.zone, []).append(peer)
        witnesses: list[TunnelPeer] = []
        while by_zone and len(witnesses) < WITNESSES_ASKED_COUNT:
            for zone in list(by_zone):
                witnesses.append(by_zone[zone].pop(0))
                if not by_zone[zone]:
                    del by_zone[zone]
        return witnesses[:WITNESSES_ASKED_COUNT]

    def _mark_lost(self, backend: BackendItem) -> None:
        if backend.life_id in self._lost:
            return
        self._lost[backend.life_id] = backend
        self.on_path_lost(backend.life_id)
        events.log(Event.BACKEND_PATH_LOST, name=backend.name, life_id=backend.life_id)
        if not self._is_probing:
            self._is_probing = True
            self._start_background(self._keep_probing)

    async def _keep_probing(self) -> None:
        try:
            await task_failures.run_task(
                "path probes",
                self._probe_until_restored,
                restart=Restart.AFTER_ANY_ERROR,
            )
        finally:
            self._is_probing = False

    async def _probe_until_restored(self) -> None:
        """Tries the own paths that are lost until all of them work again."""
        while self._lost:
            await anyio.sleep(PROBE_PERIOD_MS / 1000)
            backends = list(self._lost.values())
            if len(backends) > PROBES_LIMIT_COUNT:
                backends = self._rng.sample(backends, PROBES_LIMIT_COUNT)
            async with anyio.create_task_group() as group:
                for backend in backends:
                    # One that fails unexpectedly must not end those of others.
                    group.start_soon(
                        task_failures.run_alone, "path probe", self._probe, backend
                    )

    async def _probe(self, backend: BackendItem) -> None:
        try:
            with self._running_time.fail_after(PROBE_TIMEOUT_MS):
                stream = await bytestream.connect(backend.ip, backend.port)
        except _FAILURES:
            return
        stream.abort()
        if self._lost.pop(backend.life_id, None) is not None:
            events.log(
                Event.BACKEND_PATH_RESTORED, name=backend.name, life_id=backend.life_id
            )


class _Race:
    """Connections that are being opened; the first one wins, the others are closed."""

    def __init__(self, running_time: RunningTime) -> None:
        self._running_time = running_time
        self._tasks: list[asyncio.Task[ByteStream]] = []
        self._winner: asyncio.Task[ByteStream] | None = None

    def start(self, open_path: Callable[[], Coroutine[Any, Any, ByteStream]]) -> None:
        """Begins to open one more connection."""
        self._tasks.append(asyncio.ensure_future(open_path()))

    async def first_result(self, wait_ms: int | None) -> bool:
        """Waits until one is open, the newest has failed, or the time is over.

        Args:
            wait_ms: Longest wait; None to wait until all have failed.

        Returns:
            Whether one is open.
        """
        newest = self._tasks[-1]
        expired: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        token = None
        if wait_ms is not None:
            token = self._running_time.after(wait_ms, lambda: expired.set_result(None))
        try:
            while True:
                for task in self._tasks:
                    if task.done() and _failure(task) is None:
                        self._winner = task
                        return True
                running = [task for task in self._tasks if not task.done()]
                if not running or (wait_ms is not None and newest.done()):
                    return False
                if expired.done():
                    return False
                await asyncio.wait(
                    [*running, expired], return_when=asyncio.FIRST_COMPLETED
                )
        finally:
            if token is not None:
                self._running_time.cancel(token)

    def take(self) -> ByteStream:
        """Returns the open connection.

        Raises:
            OSError: There is none.
        """
        if self._winner is None:
            failures = [failure for task in self._tasks if (failure := _failure(task))]
            raise ConnectionRefusedError("; ".join(map(str, failures)))
        return self._winner.result()

    def cancel(self) -> None:
        """Closes all connections but the one that was taken."""
        for task in self._tasks:
            if task is self._winner:
                continue
            task.add_done_callback(_abort)
            task.cancel()


def _failure(task: asyncio.Task[ByteStream]) -> BaseException | None:
    if not task.done():
        return None
    if task.cancelled():
        return asyncio.CancelledError()
    return task.exception()


def _abort(task: asyncio.Task[ByteStream]) -> None:
    if _failure(task) is None:
        task.result().abort()
