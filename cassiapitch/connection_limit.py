"""How many connections of callers an entry serves, and which make room for new ones."""

import resource
from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

from cassiapitch import events, metrics, timers

# Descriptors for links, listeners, probes, logs and connections that are accepted only
# to be refused.
RESERVED_DESCRIPTORS_COUNT = 200
# A request in service needs a connection to a backend server as well.
DESCRIPTORS_PER_CONNECTION_COUNT = 2
# A connection without a request makes room for a new one after this time. A caller that
# goes on using its connection sends the next request sooner.
SILENT_MS = 5_000
# The search for silent connections reads all of them.
SEARCH_PERIOD_MS = 100
# Connections that a search closes at most.
SEARCH_LIMIT_COUNT = 64

# Of the descriptors that aren't reserved, a listener for administration takes this part
# at most; a control member's streams get the rest. While one of three members is away,
# 650 entries with two links each are all linked to both others: with 1,024 descriptors,
# a quarter left 618 for them.
ADMINISTRATION_DIVISOR = 6
# Tunnels take this part of them at most.
TUNNELS_DIVISOR = 8

# Set at the start of a program, see `process_limits`.
_descriptors_limit_count: int | None = None

Connection = TypeVar("Connection")


class CallerConnection(Protocol):
    """What closing silent connections needs of a caller's connection."""

    is_idle: bool
    idle_since_ms: int

    def close(self) -> None:
        """Closes the connection."""


CallerConnectionT = TypeVar("CallerConnectionT", bound=CallerConnection)


def set_descriptors_limit(count: int | None) -> None:
    """Sets how many descriptors this process may open; None for the kernel's limit."""
    global _descriptors_limit_count
    _descriptors_limit_count = count


def descriptors_limit() -> int:
    """Returns how many descriptors this process may open."""
    if _descriptors_limit_count is not None:
        return _descriptors_limit_count
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def connections_limit(
    stated_count: int,
    descriptors_count: int,
    memory_count: int,
    others_count: int = 0,
) -> int:
    """Returns the most connections of callers to serve at once.

    Args:
        stated_count: The limit of the settings.
        descriptors_count: Descriptors of the process; `RLIM_INFINITY` for no limit.
        memory_count: Connections that the memory suffices for.
        others_count: Further descriptors: of connections that are open only to be
            refused, and of tunnels.
    """
    count = min(stated_count, memory_count)
    if descriptors_count != resource.RLIM_INFINITY:
        free_count = descriptors_count - RESERVED_DESCRIPTORS_COUNT - others_count
        count = min(count, free_count // DESCRIPTORS_PER_CONNECTION_COUNT)
    return max(1, count)


def administration_limit(stated_count: int, descriptors_count: int) -> int:
    """Returns the most connections of a listener for administration.

    Args:
        stated_count: The limit of the listener.
        descriptors_count: Descriptors of the process; `RLIM_INFINITY` for no limit.
    """
    if descriptors_count == resource.RLIM_INFINITY:
        return stated_count
    free_count = descriptors_count - RESERVED_DESCRIPTORS_COUNT
    return max(1, min(stated_count, free_count // ADMINISTRATION_DIVISOR))


def streams_limit(
    descriptors_count: int, others_count: int, memory_count: int | None = None
) -> int | None:
    """Returns the most streams of a control member, or None for no limit.

    Args:
        descriptors_count: Descriptors of the process; `RLIM_INFINITY` for no limit.
        others_count: Connections for administration.
        memory_count: Streams that the memory suffices for; None for no limit.
    """
    if descriptors_count == resource.RLIM_INFINITY:
        return memory_count
    count = descriptors_count - RESERVED_DESCRIPTORS_COUNT - others_count
    return max(1, count if memory_count is None else min(count, memory_count))


def tunnels_limit(
    stated_count: int, descriptors_count: int, memory_count: int | None = None
) -> int:
    """Returns the most tunnels that an entry serves at once, with two descriptors each.

    Args:
        stated_count: The limit on tunnels.
        descriptors_count: Descriptors of the process; `RLIM_INFINITY` for no limit.
        memory_count: Tunnels that the memory suffices for; None for no limit.
    """
    count = stated_count if memory_count is None else min(stated_count, memory_count)
    if descriptors_count != resource.RLIM_INFINITY:
        free_count = descriptors_count - RESERVED_DESCRIPTORS_COUNT
        share_count = free_count // TUNNELS_DIVISOR // DESCRIPTORS_PER_CONNECTION_COUNT
        count = min(count, share_count)
    return max(1, count)


class SilentConnections:
    """Finds the connections that make room when there are too many."""

    def __init__(self) -> None:
        self._next_search_ms = 0

    def find(
        self, idle_since_ms: Mapping[Connection, int | None], now_ms: int
    ) -> Iterable[Connection]:
        """Returns the connections to close, the longest silent first.

        Args:
            idle_since_ms: Since when each connection has had no request; None if it
                has one.
            now_ms: The current time.
        """
        if now_ms < self._next_search_ms:
            return ()
        self._next_search_ms = now_ms + SEARCH_PERIOD_MS
        silent = [
            (since_ms, number, connection)
            for number, (connection, since_ms) in enumerate(idle_since_ms.items())
            if since_ms is not None and now_ms - since_ms >= SILENT_MS
        ]
        silent.sort(key=lambda item: item[:2])
        return [connection for _, _, connection in silent[:SEARCH_LIMIT_COUNT]]


def close_silent(
    silent: SilentConnections, connections: Iterable[CallerConnectionT]
) -> list[CallerConnectionT]:
    """Closes connections that have had no request for long, to make room.

    Args:
        silent: Finds them.
        connections: All connections of a server.

    Returns:
        Those that were closed.
    """
    idle_since_ms = {
        connection: connection.idle_since_ms if connection.is_idle else None
        for connection in connections
    }
    closed = list(silent.find(idle_since_ms, timers.now_ms()))
    for connection in closed:
        metrics.CALLERS_CLOSED.inc("silent")
        events.log_rate_limited(events.Event.CALLER_CLOSED, reason="silent")
        connection.close()
    return closed
