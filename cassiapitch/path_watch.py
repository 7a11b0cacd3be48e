"""Ends TCP connections whose path is lost, but none whose peer only reads slowly.

The kernel's own limit for this, TCP_USER_TIMEOUT, also ends a connection whose peer
acknowledges each probe of a closed window. Here, only missing acknowledgements count.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable

from cassiapitch import task_failures

# A connection whose peer acknowledges nothing for this long has lost its path. A host
# acknowledges even while the process on it stands still.
SILENCE_LIMIT_MS = 1_800
LOOK_PERIOD_MS = 300
# An idle connection is probed this often, in whole seconds, and ends without an
# acknowledgement for one period more than the count. A single lost packet ends none.
PROBE_PERIOD_S = 1
PROBES_LIMIT_COUNT = 2
# Probes of a closed window that must be unanswered. One may be lost, and a host leaves
# probes unanswered for 500 ms after the last that it has answered.
WINDOW_PROBES_COUNT = 2

# The start of `struct tcp_info` of linux/tcp.h, the same on all 64-bit machines, since
# Linux 5.4: tcpi_probes at byte 3, tcpi_unacked at 24, tcpi_last_data_sent at 44,
# tcpi_last_ack_recv at 56, tcpi_bytes_acked at 120 and tcpi_snd_wnd at 228.
_TCP_INFO = struct.Struct("=3xB20xI16xI8xI60xQ100xI")


@dataclasses.dataclass(frozen=True, slots=True)
class Look:
    """What the kernel says of a connection at one time.

    Attributes:
        time_ms: When, on a monotonic clock.
        unacked_count: Sent segments that are not acknowledged.
        probes_count: Probes since the last segment that was heard.
        sent_age_ms: Time since data was sent last, also once more.
        heard_age_ms: Time since the last segment with an acknowledgement, of new bytes
            or not.
        acked_bytes: All bytes that were acknowledged.
        window_bytes: What the peer takes beyond these.
    """

    time_ms: int
    unacked_count: int
    probes_count: int
    sent_age_ms: int
    heard_age_ms: int
    acked_bytes: int
    window_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """A time in which the peer owes an acknowledgement.

    Attributes:
        since_ms: When it began.
        looked_ms: The last look.
        acked_bytes: All bytes that were acknowledged by then.
    """

    since_ms: int
    looked_ms: int
    acked_bytes: int

    @property
    def is_path_lost(self) -> bool:
        """Whether it is too long for a path that is intact."""
        return self.looked_ms - self.since_ms >= SILENCE_LIMIT_MS


def next_silence(silence: Silence | None, look: Look | None) -> Silence | None:
    """Returns the silence after a look; None if the peer owes no acknowledgement.

    Args:
        silence: The silence as of the look before.
        look: The look; None if nothing is unanswered.
    """
    if look is None:
        return None
    if look.unacked_count:
        sent_ms = look.time_ms - look.sent_age_ms
    elif look.probes_count >= WINDOW_PROBES_COUNT:
        # The kernel doesn't say when the probes were sent.
        sent_ms = look.time_ms
    else:
        return None
    heard_ms = look.time_ms - look.heard_age_ms
    if look.window_bytes == 0 and heard_ms >= sent_ms:
        # The window closed while segments were on their way. The kernel sends them
        # again at times that double, and the last of these was answered.
        return None
    if silence is not None and look.acked_bytes == silence.acked_bytes:
        # Where only the way to the peer is lost, it goes on to send its own bytes, with
        # acknowledgements of nothing new. With a closed window, it can't acknowledge
        # more.
        is_answer = look.window_bytes == 0 and heard_ms > silence.looked_ms
        if not is_answer:
            return Silence(silence.since_ms, look.time_ms, look.acked_bytes)
    return Silence(max(sent_ms, heard_ms), look.time_ms, look.acked_bytes)


def look_at(sock: socket.socket, time_ms: int) -> Look | None:
    """Returns what the kernel says of a connection; None if nothing is unanswered.

    Args:
        sock: Its socket.
        time_ms: The time.

    Raises:
        OSError: The socket is closed.
    """
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    probes_count, unacked_count, *rest = _TCP_INFO.unpack(info)
    if not unacked_count and not probes_count:
        return None
    return Look(time_ms, unacked_count, probes_count, *rest)


def probe_when_idle(sock: socket.socket) -> None:
    """Lets the kernel end an idle connection whose path is lost."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_LIMIT_COUNT)


@dataclasses.dataclass(slots=True, eq=False)
class Watched:
    """One connection that is watched."""

    sock: socket.socket
    end: Callable[[], None]
    silence: Silence | None = None


class PathWatch:
    """The connections of one event loop that carry requests."""

    def __init__(self) -> None:
        self._watched: set[Watched] = set()
        self._timer: asyncio.TimerHandle | None = None

    def add(self, sock: socket.socket, end: Callable[[], None]) -> Watched:
        """Watches a connection until it is removed or closed.

        Args:
            sock: Its socket.
            end: Called once if the path is lost.
        """
        watched = Watched(sock, end)
        self._watched.add(watched)
        if self._timer is None:
            self._start_timer()
        return watched

    def remove(self, watched: Watched) -> None:
        """Watches a connection no longer."""
        self._watched.discard(watched)

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LOOK_PERIOD_MS / 1000, self._look_at_all)

    def _look_at_all(self) -> None:
        self._timer = None
        if not self._watched:
            return
        self._start_timer()
        # Unlike the clock of `timers`, the loop's stops during a suspend, as the
        # kernel's retransmissions do.
        time_ms = int(asyncio.get_running_loop().time() * 1000)
        for watched in list(self._watched):
            # It may have been removed or closed by the end of another one.
            if watched not in self._watched:
                continue
            if watched.sock.fileno() < 0:
                self._watched.discard(watched)
                continue
            try:
                look = look_at(watched.sock, time_ms)
            except OSError as error:
                task_failures.log_failure("path watch", error)
                continue
            watched.silence = next_silence(watched.silence, look)
            if watched.silence is not None and watched.silence.is_path_lost:
                self._watched.discard(watched)
                watched.end()


_watches: dict[asyncio.AbstractEventLoop, PathWatch] = {}


def running_watch() -> PathWatch:
    """Returns the watch of the running event loop."""
    loop = asyncio.get_running_loop()
    if loop not in _watches:
        for closed in [other for other in _watches if other.is_closed()]:
            del _watches[closed]
        _watches[loop] = PathWatch()
    return _watches[loop]
