"""The bytes that one process holds for others, with a bound on their sum.

Everything that is held on behalf of a caller counts towards its connection: what was
received and isn't served yet, its request's body, the engine's unread bytes and the
unsent response. So the connection that makes the process hold the most can be found
and closed, whatever kind of bytes it is.
"""

import enum
import heapq
from collections.abc import Callable

# Part of the instance's memory that may be held, if no limit is set. Python's copies,
# the objects of each connection and the kernel's buffers take a multiple of it.
MEMORY_DIVISOR = 8
# The largest request and the largest response, 4 and 8 MiB, fit below it.
DEFAULT_MIN_BYTES = 16 * 1024 * 1024
DEFAULT_MAX_BYTES = 512 * 1024 * 1024
# Of a control member: the largest bundle or configuration, and what is unread beside
# it, and the part of its memory that this may take; 256 MB have room for all of it.
ADMINISTRATION_MAX_BYTES = 40 * 1024 * 1024
ADMINISTRATION_DIVISOR = 6
# If the connections from one address hold more than this part of the limit, they read
# nothing further while they have unread input.
PEER_DIVISOR = 2
# Bodies and responses leave this part of the limit to what arrives unasked, so that a
# request's head doesn't close a connection whose body is being served.
UNASKED_DIVISOR = 8
# Input of one connection above which reading from it is paused.
CONNECTION_INPUT_BYTES = 32 * 1024
# Unread bytes that every connection has at times.
ORDINARY_EXCESS_BYTES = CONNECTION_INPUT_BYTES // 2
# What a busy connection takes that isn't counted, for which twice the limit is planned.
# With 64 KiB, 579 connections with unread streams took 147 MB of 152.
CONNECTION_COST_BYTES = 96 * 1024
CONNECTIONS_FACTOR = 2


class Kind(enum.IntEnum):
    """What bytes are held for."""

    INPUT = 0
    BODY = 1
    BACKEND_INPUT = 2
    RESPONSE = 3
    OUTPUT = 4
    BACKEND_OUTPUT = 5
    TUNNEL = 6
    QUEUED = 7


# Kinds that are held because a peer sends ahead or doesn't read.
_EXCESS_KINDS = (Kind.INPUT, Kind.OUTPUT, Kind.BACKEND_INPUT, Kind.QUEUED)


def default_limit_bytes(memory_bytes: int | None) -> int:
    """Returns the limit for an entry whose settings name none.

    Args:
        memory_bytes: Memory of the process; None if it is unknown, for which the
            lowest default is safe.
    """
    share_bytes = (memory_bytes or 0) // MEMORY_DIVISOR
    return min(DEFAULT_MAX_BYTES, max(DEFAULT_MIN_BYTES, share_bytes))


def administration_limit_bytes(memory_bytes: int | None) -> int:
    """Returns the limit for a control member whose settings name none.

    Args:
        memory_bytes: Memory of the process; None if it is unknown.
    """
    if memory_bytes is None:
        return ADMINISTRATION_MAX_BYTES
    return min(ADMINISTRATION_MAX_BYTES, memory_bytes // ADMINISTRATION_DIVISOR)


def _do_nothing() -> None:
    """Takes the place of the function that closes a connection once it has ended."""


class _Peer:
    """The connections from one address."""

    def __init__(self) -> None:
        self.held_bytes = 0
        self.holders: set[Holder] = set()


class HeldBytes:
    """Sum of all bytes that a process holds; closes who holds the most beyond it.

    Attributes:
        limit_bytes: Bound of the sum.
        reserve_limit_bytes: Sum up to which bodies and responses are taken.
        total_bytes: The sum.
        by_kind: The sum of each kind.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.total_bytes = 0
        self.by_kind = [0] * len(Kind)
        self._peers: dict[str, _Peer] = {}
        # Connections with more than `ORDINARY_EXCESS_BYTES`. A search of all of them
        # took 6 ms with 4,000 connections.
        self._with_excess: set[Holder] = set()
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Changes the bound; connections are closed until the sum is within it."""
        self.limit_bytes = limit_bytes
        self.reserve_limit_bytes = limit_bytes - limit_bytes // UNASKED_DIVISOR
        self._peer_limit_bytes = limit_bytes // PEER_DIVISOR
        self.reclaim(limit_bytes)

    @property
    def holders_count(self) -> int:
        """Number of connections that may hold bytes."""
        return sum(len(peer.holders) for peer in self._peers.values())

    @property
    def connections_limit_count(self) -> int:
        """Number of connections that the memory suffices for."""
        return self.connections_limit(CONNECTION_COST_BYTES)

    def connections_limit(self, cost_bytes: int) -> int:
        """Returns the number of connections that the memory suffices for.

        Args:
            cost_bytes: What a busy connection takes that isn't counted.
        """
        return max(1, CONNECTIONS_FACTOR * self.limit_bytes // cost_bytes)

    def sizes(self) -> dict[str, float]:
        """Returns the bytes held by the name of their kind."""
        return {kind.name.lower(): float(self.by_kind[kind]) for kind in Kind}

    def open(self, peer: str, close: Callable[[], None]) -> "Holder":
        """Returns the account of a new connection.

        Args:
            peer: Address of the other end, without its port.
            close: Closes the connection at once; called when the sum would exceed the
                limit and this connection holds the most.
        """
        entry = self._peers.get(peer)
        if entry is None:
            entry = self._peers[peer] = _Peer()
        holder = Holder(self, peer, entry, close)
        entry.holders.add(holder)
        return holder

    def is_over_peer_share(self, peer: _Peer) -> bool:
        """Returns whether the connections from an address hold more than their share.

        Beyond it they go on reading what they need, but nothing ahead: the address may
        be a load balancer's.
        """
        return peer.held_bytes > self._peer_limit_bytes

    def forget(self, holder: "Holder", peer_name: str, peer: _Peer) -> None:
        """Removes a connection that holds nothing any more."""
        peer.holders.discard(holder)
        if not peer.holders:
            self._peers.pop(peer_name, None)

    def reclaim(self, limit_bytes: int) -> None:
        """Closes connections until the sum is within a limit.

        They are of the address that holds the most.
        """
        while self.total_bytes > limit_bytes:
            peers = [peer for peer in self._peers.values() if peer.held_bytes]
            if not peers:
                return
            peer = max(peers, key=lambda item: item.held_bytes)
            max(peer.holders, key=lambda item: item.rank).evict()

    def reclaim_for(self, requester: "Holder", limit_bytes: int) -> None:
        """Closes connections until the sum is within a limit, for one that needs room.

        Only those are closed that sent ahead or left unread more than it, and whose
        address holds at least as much as its own at the time. They are of the address
        that holds the most among those that have one to close.

        Args:
            requester: The connection that needs room.
            limit_bytes: The limit.
        """
        excess_floor_bytes = requester.rank[0]
        by_peer: dict[_Peer, list[Holder]] = {}
        for holder in self._with_excess:
            if holder.excess_bytes > excess_floor_bytes:
                by_peer.setdefault(holder.peer, []).append(holder)
        # Each address's connections are ordered once: for one body, hundreds may have
        # to be closed, and a search of all for each took 8 s at a limit of 512 MiB.
        queue = [
            (-peer.held_bytes, number, peer) for number, peer in enumerate(by_peer)
        ]
        heapq.heapify(queue)
        ordered: set[_Peer] = set()
        while queue and self.total_bytes > limit_bytes:
            _, number, peer = heapq.heappop(queue)
            # The requester's address holds less after each closing of its own. Compared
            # with what it held at first, no second one could be closed.
            if peer.held_bytes < requester.peer.held_bytes:
                return
            holders = by_peer[peer]
            if peer not in ordered:
                ordered.add(peer)
                holders.sort(key=lambda holder: holder.rank)
            holders.pop().evict()
            if holders:
                heapq.heappush(queue, (-peer.held_bytes, number, peer))

    def note_excess(self, holder: "Holder") -> None:
        """Records that what a connection sent ahead or left unread has changed."""
        if holder.excess_bytes > ORDINARY_EXCESS_BYTES:
            self._with_excess.add(holder)
        else:
            self._with_excess.discard(holder)


class Holder:
    """Bytes that are held for one connection.

    Attributes:
        by_kind: The bytes of each kind.
        held_bytes: Their sum.
        excess_bytes: What was sent ahead or left unread of it.
        peer: The connections from its address.
    """

    __slots__ = (
        "_close",
        "_owner",
        "_peer_name",
        "by_kind",
        "excess_bytes",
        "held_bytes",
        "peer",
    )

    def __init__(
        self, owner: HeldBytes, peer_name: str, peer: _Peer, close: Callable[[], None]
    ) -> None:
        self._owner: HeldBytes | None = owner
        self._peer_name = peer_name
        self.peer = peer
        self._close = close
        self.by_kind = [0] * len(Kind)
        self.held_bytes = self.excess_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether bytes are still counted."""
        return self._owner is not None

    @property
    def rank(self) -> tuple[int, int]:
        """The highest is closed first: what was sent ahead or left unread, then all.

        A little of it is ordinary: a request's head or a piece of a body is on its way.
        """
        excess_bytes = self.excess_bytes
        if excess_bytes <= ORDINARY_EXCESS_BYTES:
            excess_bytes = 0
        return excess_bytes, self.held_bytes

    @property
    def input_limit_bytes(self) -> int:
        """Unread input above which the connection is to be read no further."""
        owner = self._owner
        if owner is not None and owner.is_over_peer_share(self.peer):
            return 0
        return CONNECTION_INPUT_BYTES

    def add(self, kind: Kind, size_bytes: int) -> bool:
        """Counts bytes that have arrived; closes who holds the most beyond the limit.

        Returns:
            False if this connection was closed.
        """
        owner = self._owner
        if owner is None:
            return False
        self._change(owner, kind, size_bytes)
        if owner.total_bytes > owner.limit_bytes:
            owner.reclaim(owner.limit_bytes)
        return self._owner is not None

    def reserve(self, kind: Kind, size_bytes: int) -> bool:
        """Counts bytes if they fit, or if who left more unread can be closed.

        These are connections of addresses that hold at least as much as this one's, so
        that an address with many large bodies closes none of others.

        Returns:
            Whether they are counted; if not, the caller must drop them.
        """
        owner = self._owner
        if owner is None:
            return False
        limit_bytes = owner.reserve_limit_bytes
        if size_bytes > limit_bytes:
            return False
        self._change(owner, kind, size_bytes)
        if owner.total_bytes > limit_bytes:
            owner.reclaim_for(self, limit_bytes)
        if owner.total_bytes > limit_bytes:
            self._change(owner, kind, -size_bytes)
            return False
        return True

    def remove(self, kind: Kind, size_bytes: int) -> None:
        """Subtracts bytes that are no longer held."""
        if self._owner is not None:
            self._change(self._owner, kind, -min(size_bytes, self.by_kind[kind]))

    def set(self, kind: Kind, size_bytes: int) -> bool:
        """Sets what is held of a kind now.

        Returns:
            False if this connection was closed.
        """
        change_bytes = size_bytes - self.by_kind[kind]
        if change_bytes > 0:
            return self.add(kind, change_bytes)
        if change_bytes < 0 and self._owner is not None:
            self._change(self._owner, kind, change_bytes)
        return self._owner is not None

    def close(self) -> None:
        """Subtracts everything; the connection has ended."""
        owner = self._owner
        if owner is None:
            return
        for kind in Kind:
            if self.by_kind[kind]:
                self._change(owner, kind, -self.by_kind[kind])
        self._owner = None
        # It refers to the connection, which refers to this account: both would take
        # memory until a garbage collection.
        self._close = _do_nothing
        owner.forget(self, self._peer_name, self.peer)

    def evict(self) -> None:
        """Subtracts everything and closes the connection."""
        close = self._close
        self.close()
        close()

    def _change(self, owner: HeldBytes, kind: Kind, change_bytes: int) -> None:
        self.by_kind[kind] += change_bytes
        self.held_bytes += change_bytes
        self.peer.held_bytes += change_bytes
        owner.by_kind[kind] += change_bytes
        owner.total_bytes += change_bytes
        if kind in _EXCESS_KINDS:
            self.excess_bytes += change_bytes
            owner.note_excess(self)
