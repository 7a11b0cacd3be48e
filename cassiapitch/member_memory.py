"""Decides how many connections a control member serves, by the memory that it has left.

What the process itself takes comes first: the interpreter, the configuration in force
and the known backend servers. Connections, and the bytes that are held for them, share
the rest.
"""

import dataclasses
import sys
from collections.abc import Callable

import anyio

from cassiapitch.claims import BODIES_LIMIT_BYTES
from cassiapitch.held_bytes import (
    CONNECTION_COST_BYTES,
    HeldBytes,
    administration_limit_bytes,
)
from cassiapitch.process_limits import IDLE_BYTES
from cassiapitch.replicated import ReplicatedState

# Of the state: 11,300 routes with their accounts (4 MiB) took 62 MB, 180,000 keys
# (2 MiB) 190 MB, and 3,600 backend servers 16 MB.
ITEM_BYTES = 1_024
CONTENT_COPIES = 7
BACKEND_BYTES = 4 * 1024
# Claims and bodies with their parts of a snapshot, of copies of it as it is written,
# and of the log, which grows to the size of a snapshot before the next one: 40,960
# claims took 88 MB. A release took 450 bytes, and 160 of a snapshot.
CLAIM_BYTES = 2 * 1024
RELEASE_BYTES = 1_024
CLAIM_BODY_COPIES = 5
# Of the log with claims beside that: 8 MiB before a snapshot, what is on its way to the
# log, and the configuration's part of a snapshot.
CLAIM_LOG_BYTES = 12 * 1024 * 1024
CLAIM_LOG_CONTENT_COPIES = 3
# Callers get this many claims also where no memory is left for them.
CLAIMS_MIN_COUNT = 1_000
# A stream whose peer reads nothing, with the kernel's buffers: 1,000 streams took
# 138 MB.
STREAM_BYTES = 144 * 1024
# Of a connection with TLS. In a crowd, 43 streams took 22 MB with it.
TLS_BYTES = 320 * 1024
# Bytes that are held take twice as much, as in `held_bytes`.
HELD_COPIES = 2
# The largest configuration fits, see `held_bytes.UNASKED_DIVISOR`.
HELD_MIN_BYTES = 5 * 1024 * 1024
# Another member's message with it fits too, which counts as `rpc.BUFFER_COPIES` of it.
HELD_USUAL_BYTES = 14 * 1024 * 1024
# Part of the memory that is left up to which what is held gets this much.
HELD_DIVISOR = 2
# Connections for metrics, which have a limit of their own.
METRICS_BYTES = 32 * CONNECTION_COST_BYTES
# Part of the memory for connections that those for administration get.
ADMINISTRATION_DIVISOR = 4
# Streams that links of entries leave to other members: two each of eight others, and
# the same again while these are opened anew.
MEMBER_STREAMS_COUNT = 32
# Part of few streams that is left to other members.
MEMBER_STREAMS_DIVISOR = 4
# Connections get the memory of as many streams at least. With less, neither operators
# nor other members would get through.
STREAMS_MIN_COUNT = 64
# The state may change at any time; until the next look, the former limits hold.
UPDATE_PERIOD_S = 0.5
_BACKEND_ITEMS = "backend/"


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What a control member has for itself.

    Attributes:
        items_count: Items of its view.
        content_bytes: Size of the configuration in force.
        backends_count: Known backend servers.
        claims_count: Claims on idempotency keys.
        releases_count: Recent releases of claims.
        claim_body_bytes: Size of the stored bodies of claims.
    """

    items_count: int = 0
    content_bytes: int = 0
    backends_count: int = 0
    claims_count: int = 0
    releases_count: int = 0
    claim_body_bytes: int = 0

    @property
    def size_bytes(self) -> int:
        """Estimate of the memory that it takes."""
        return (
            self.size_without_claims_bytes
            + CLAIM_BYTES * self.claims_count
            + CLAIM_BODY_COPIES * self.claim_body_bytes
            + (self.claim_log_bytes if self.claims_count else 0)
        )

    @property
    def claim_log_bytes(self) -> int:
        """Estimate of the memory that the log of claims takes."""
        return CLAIM_LOG_BYTES + CLAIM_LOG_CONTENT_COPIES * self.content_bytes

    @property
    def size_without_claims_bytes(self) -> int:
        """Estimate of the memory that it takes beside claims."""
        return (
            ITEM_BYTES * self.items_count
            + CONTENT_COPIES * self.content_bytes
            + BACKEND_BYTES * self.backends_count
            + RELEASE_BYTES * self.releases_count
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Shares:
    """How the memory that is left is divided.

    Attributes:
        held_limit_bytes: Limit on the bytes held for others.
        streams_limit_count: Streams of entries and members at once.
        administration_limit_count: Connections for administration at once.
    """

    held_limit_bytes: int
    streams_limit_count: int
    administration_limit_count: int


def divide(
    memory_bytes: int,
    state_bytes: int,
    connections_count: int,
    held_max_bytes: int,
    *,
    has_tls: bool,
) -> Shares:
    """Divides the memory that the process itself doesn't take.

    Connections come first: what is held for them gets what those that are open leave.

    Args:
        memory_bytes: Memory of the process.
        state_bytes: Estimate of what its state takes.
        connections_count: Connections that are open, streams or others.
        held_max_bytes: Most bytes to hold.
        has_tls: Whether streams use TLS.
    """
    free_bytes = memory_bytes - IDLE_BYTES - METRICS_BYTES - state_bytes
    stream_bytes = STREAM_BYTES + (TLS_BYTES if has_tls else 0)
    connections_min_bytes = STREAMS_MIN_COUNT * stream_bytes
    usual_bytes = min(
        HELD_USUAL_BYTES,
        free_bytes // (HELD_COPIES * HELD_DIVISOR),
        (free_bytes - connections_min_bytes) // HELD_COPIES,
    )
    held_min_bytes = min(held_max_bytes, max(HELD_MIN_BYTES, usual_bytes))
    connections_bytes = max(
        free_bytes - HELD_COPIES * held_min_bytes, connections_min_bytes
    )
    administration_bytes = connections_bytes // ADMINISTRATION_DIVISOR
    rest_bytes = free_bytes - connections_count * stream_bytes
    held_bytes = min(held_max_bytes, max(held_min_bytes, rest_bytes // HELD_COPIES))
    return Shares(
        held_bytes,
        (connections_bytes - administration_bytes) // stream_bytes,
        administration_bytes // CONNECTION_COST_BYTES,
    )


def claims_limit(memory_bytes: int, state: State, *, has_tls: bool) -> int:
    """Returns how many claims fit beside all bodies and the fewest connections.

    Args:
        memory_bytes: Memory of the process.
        state: What it has for itself.
        has_tls: Whether streams use TLS.
    """
    stream_bytes = STREAM_BYTES + (TLS_BYTES if has_tls else 0)
    left_bytes = (
        memory_bytes
        - IDLE_BYTES
        - METRICS_BYTES
        - state.size_without_claims_bytes
        - state.claim_log_bytes
        - CLAIM_BODY_COPIES * BODIES_LIMIT_BYTES
        - HELD_COPIES * HELD_MIN_BYTES
        - STREAMS_MIN_COUNT * stream_bytes
    )
    return max(CLAIMS_MIN_COUNT, left_bytes // CLAIM_BYTES)


class MemberMemory:
    """The limits in force at a control member, by its memory and its state.

    Attributes:
        held_bytes: What is held for others, with its limit.
        claims_limit_count: Most claims on idempotency keys.
    """

    def __init__(
        self,
        memory_bytes: int | None,
        held_limit_bytes: int | None,
        state: Callable[[], State],
        *,
        has_tls: bool,
    ) -> None:
        """Computes the first limits.

        Args:
            memory_bytes: Memory of the process; None if it is unknown, and then only
                the bytes that are held are limited.
            held_limit_bytes: Limit of the settings on these; None for the default.
            state: Returns what the member has for itself.
            has_tls: Whether streams use TLS.
        """
        self._memory_bytes = memory_bytes
        self._held_max_bytes = held_limit_bytes or administration_limit_bytes(
            memory_bytes
        )
        self._state = state
        self._has_tls = has_tls
        self._state_bytes = 0
        self.claims_limit_count = sys.maxsize
        self.held_bytes = HeldBytes(self._held_max_bytes)
        self.update()

    async def run(self) -> None:
        """Keeps the limits up to date until cancelled."""
        while True:
            await anyio.sleep(UPDATE_PERIOD_S)
            self.update()

    def update(self) -> None:
        """Measures the state, and computes the limits by it."""
        state = self._state()
        self._state_bytes = state.size_bytes
        if self._memory_bytes is not None:
            self.claims_limit_count = claims_limit(
                self._memory_bytes, state, has_tls=self._has_tls
            )
        self._limit_held()

    def administration_limit_count(self) -> int | None:
        """Returns the most connections for administration; None for no limit."""
        shares = self._limit_held()
        return None if shares is None else shares.administration_limit_count

    def streams_limit_count(self) -> int | None:
        """Returns the most streams; None for no limit."""
        shares = self._limit_held()
        return None if shares is None else shares.streams_limit_count

    def _limit_held(self) -> Shares | None:
        """Limits what is held to what the connections that are open now leave.

        A crowd may arrive between two updates, and what was held before would take the
        memory of its connections.
        """
        if self._memory_bytes is None:
            return None
        shares = divide(
            self._memory_bytes,
            self._state_bytes,
            self.held_bytes.holders_count,
            self._held_max_bytes,
            has_tls=self._has_tls,
        )
        self.held_bytes.set_limit(shares.held_limit_bytes)
        return shares


def links_limit(streams_count: int | None) -> int:
    """Returns the most links of entries; other members need streams beside them.

    Args:
        streams_count: Most streams; None for no limit.
    """
    if streams_count is None:
        return sys.maxsize
    left_count = min(MEMBER_STREAMS_COUNT, streams_count // MEMBER_STREAMS_DIVISOR)
    return max(1, streams_count - left_count)


def member_state(replicated: ReplicatedState) -> Callable[[], State]:
    """Returns a function that describes a replicated state, for `MemberMemory`."""
    last = State()

    def describe() -> State:
        nonlocal last
        items = replicated.view.items
        content_bytes = len(replicated.content)
        if (len(items), content_bytes) != (last.items_count, last.content_bytes):
            backends_count = sum(name.startswith(_BACKEND_ITEMS) for name in items)
            last = State(len(items), content_bytes, backends_count)
        claims = replicated.claims
        return dataclasses.replace(
            last,
            claims_count=len(claims.table),
            releases_count=len(claims.releases),
            claim_body_bytes=claims.total_body_bytes,
        )

    return describe
