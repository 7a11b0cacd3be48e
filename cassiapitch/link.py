"""Links: streams of an entry to control members, and the choice of the members."""

import contextlib
import dataclasses
import zlib
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import events, rpc, timers
from cassiapitch.exceptions import CodecError
from cassiapitch.messages import (
    ConfirmAsk,
    Confirmed,
    LinkHello,
    LinkRefused,
    ViewSnapshot,
)
from cassiapitch.settings import ControlPeer, TlsSettings

CONNECT_LIMIT_MS = 1_000
# A member that is partitioned from the quorum can't confirm the view. The link must
# switch to another member well within the freshness limit of 1,800 ms.
SILENCE_LIMIT_MS = 1_000
# After this many streams in a row that no member confirmed, the limit doubles with each
# further one: all members may have to send a large change to all entries, and would
# have to begin anew with each stream.
UNCONFIRMED_STREAMS_COUNT = 3
LONGEST_SILENCE_LIMIT_MS = 16_000
# While more of a large change of the view arrives, its member isn't silent: ended, the
# link would have to receive all of it again. A member that is partitioned has only a
# limited amount to send. The change has this long in all, twice as long with each
# further stream that no member confirmed, up to the longest limit of silence. It is
# also how long the member tries to send a message (`hub.SEND_TIMEOUT_S`).
TRANSFER_LIMIT_MS = 5_000
# All other messages are smaller.
LARGE_MESSAGE_BYTES = 16 * 1024
INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2_000
# How long a failed member is tried last: long enough for attempts at two other members
# to time out first.
RECENT_FAILURE_MS = 2_000
# A link to a member in another zone looks for one in the entry's own zone this long
# after it was opened; entries wait up to twice as long, so that not all move at once.
# Each move doubles the time, since a member may accept links that it can't serve.
MOVE_AFTER_MS = 2_000
MOVE_DOUBLINGS_COUNT = 8
OUTGOING_LIMIT_COUNT = 4_096
# Grants and permits come over this link, so it may not lack a member that answers.
PRIMARY_LINK_NUMBER = 0


class LinkPlan:
    """Chooses the member of each link, with backoff after failures."""

    def __init__(self, members: tuple[ControlPeer, ...], zone: str, name: str) -> None:
        # The name of the entry decides the order, so that the entries of one zone start
        # with different members.
        offset = zlib.crc32(name.encode()) % max(1, len(members))
        self._members = members[offset:] + members[:offset]
        self._zone = zone
        self._current: dict[int, ControlPeer] = {}
        # Consecutive failures and time of the next attempt, by member name.
        self._backoffs: dict[str, tuple[int, int]] = {}
        self._failed_ms: dict[str, int] = {}
        # Links whose member has confirmed the view.
        self._confirmed: set[int] = set()
        # Set when the primary link needs the member of another one.
        self._yield_wanted: dict[int, anyio.Event] = {}
        self._former_names: set[str] = set()
        self._moves_count = 0
        self._move_spread = 1 + zlib.crc32(name.encode()) % 1_000 / 1_000

    def update_members(self, members: tuple[ControlPeer, ...]) -> None:
        """Sets the current members; former ones are kept as a last resort.

        A member that is known by its address only is replaced by its full description.
        """
        by_address = {peer.address: peer for peer in self._members}
        by_address.update({peer.address: peer for peer in members})
        self._members = tuple(by_address.values())
        current_addresses = {peer.address for peer in members}
        self._former_names = {
            peer.name
            for peer in self._members
            if members and peer.address not in current_addresses
        }

    def add_seeds(self, seeds: tuple[ControlPeer, ...]) -> None:
        """Adds members from reloaded settings."""
        known_addresses = {peer.address for peer in self._members}
        self._members += tuple(
            peer for peer in seeds if peer.address not in known_addresses
        )

    def choose(self, link_number: int, now_ms: int) -> ControlPeer | None:
        """Returns the member for a link, or None if all are used or backing off."""
        if link_number >= len(self._members):
            # The primary link, the first one, must not lack the only member.
            return None
        others = [peer for key, peer in self._current.items() if key != link_number]
        other_names = {peer.name for peer in others}
        other_zones = {peer.zone for peer in others}
        available = [
            peer
            for peer in self._members
            if peer.name not in other_names
            and self._backoffs.get(peer.name, (0, 0))[1] <= now_ms
        ]
        if not self._may_take_one(link_number, available) or not available:
            return None
        # Links go to different zones, so that the loss of one zone doesn't end two of
        # them. Recently failed members come after the others: if two members are
        # partitioned off, an entry would otherwise alternate between them.
        chosen = min(
            available,
            key=lambda peer: (
                peer.name in self._former_names,
                self._failed_ms.get(peer.name, -RECENT_FAILURE_MS)
                > now_ms - RECENT_FAILURE_MS,
                peer.zone in other_zones,
                peer.zone != self._zone,
            ),
        )
        self._current[link_number] = chosen
        self._yield_wanted[link_number] = anyio.Event()
        return chosen

    def _may_take_one(self, link_number: int, available: list[ControlPeer]) -> bool:
        """Returns whether a link may take a member that is available.

        Where all others have failed, the one that answers is the primary link's, even
        if another link has it by now.
        """
        working_count = sum(peer.name not in self._backoffs for peer in available)
        if link_number != PRIMARY_LINK_NUMBER:
            has_primary = PRIMARY_LINK_NUMBER in self._confirmed
            return has_primary or working_count != 1 or not self._backoffs
        lenders = [key for key in self._confirmed if key != PRIMARY_LINK_NUMBER]
        if available or not lenders:
            return True
        self._yield_wanted[lenders[0]].set()
        return False

    def yield_wanted(self, link_number: int) -> anyio.Event:
        """Returns what is set when the primary link needs the member of another."""
        return self._yield_wanted[link_number]

    def move_after_ms(self) -> int:
        """Returns how long a link stays at a member of another zone, if it may move."""
        doublings_count = min(self._moves_count, MOVE_DOUBLINGS_COUNT)
        return int(MOVE_AFTER_MS * self._move_spread * 2**doublings_count)

    def may_move_closer(self, link_number: int, now_ms: int) -> bool:
        """Returns whether a link should move to a member in the entry's own zone.

        An entry first knows only seeds, without their zones. What a member sends is
        the same for all its entries, and most of the bytes between zones are saved if
        they get it from a member next to them.
        """
        current = self._current.get(link_number)
        if current is None:
            return False
        zones = {peer.address: peer.zone for peer in self._members}
        linked_zones = {
            zones.get(peer.address, peer.zone) for peer in self._current.values()
        }
        if self._zone in linked_zones:
            return False
        return any(
            peer.zone == self._zone
            and peer.name not in self._former_names
            and self._backoffs.get(peer.name, (0, 0))[1] <= now_ms
            for peer in self._members
        )

    def record_move(self, link_number: int) -> None:
        """Frees a link that moves to another member, though its member works."""
        self._current.pop(link_number)
        self._confirmed.discard(link_number)
        self._moves_count += 1

    def record_yield(self, link_number: int) -> None:
        """Frees a link whose member the primary link takes over."""
        self._current.pop(link_number)
        self._confirmed.discard(link_number)

    def record_failure(self, link_number: int, now_ms: int) -> None:
        """Frees a link whose member failed, and backs off from that member.

        The delay doubles with each consecutive failure.
        """
        peer = self._current.pop(link_number)
        self._confirmed.discard(link_number)
        count = self._backoffs.get(peer.name, (0, 0))[0] + 1
        backoff_ms = INITIAL_BACKOFF_MS * 2 ** min(count - 1, 10)
        retry_at_ms = now_ms + min(MAX_BACKOFF_MS, backoff_ms)
        self._backoffs[peer.name] = (count, retry_at_ms)
        self._failed_ms[peer.name] = now_ms

    def record_success(self, link_number: int) -> None:
        """Resets the backoff of a link's member after it confirmed the view."""
        self._confirmed.add(link_number)
        name = self._current[link_number].name
        self._backoffs.pop(name, None)
        self._failed_ms.pop(name, None)

    def current(self) -> dict[int, ControlPeer]:
        """Returns the current member of each link by the link's number."""
        return dict(self._current)


@dataclasses.dataclass(frozen=True, slots=True)
class LinkHandlers:
    """Callbacks of a link.

    Attributes:
        hello: Returns the first message of the link with this number.
        confirm_ask: Returns the next request for a confirmation of the view.
        opened: Called with the link's number and its send function, which drops
            messages and ends the stream if too many wait.
        received: Called with the link's number and each message. Returns true if the
            link must be reopened because its deltas don't fit the view.
        closed: Called with the link's number.
    """

    hello: Callable[[int], LinkHello]
    confirm_ask: Callable[[], ConfirmAsk]
    opened: Callable[[int, Callable[[Any], None]], None]
    received: Callable[[int, Any], bool]
    closed: Callable[[int], None]


class LinkError(Exception):
    """The stream must end; the link then tries the next member."""


class LinkYieldedError(LinkError):
    """The stream ends, since the primary link needs its member."""


class LinkMovedError(LinkError):
    """The stream ends, since a member in the entry's own zone is available."""


EXPECTED_ERRORS = (
    LinkError,
    CodecError,
    OSError,
    anyio.WouldBlock,
)


class Link:
    """Task of one link; keeps a stream to some member open."""

    def __init__(
        self,
        link_number: int,
        plan: LinkPlan,
        handlers: LinkHandlers,
        tls: TlsSettings | None,
        confirm_period_ms: int,
    ) -> None:
        self._link_number = link_number
        self._plan = plan
        self._handlers = handlers
        self._tls = tls
        self._confirm_period_ms = confirm_period_ms
        self._confirmed_ms = 0
        # When a part of a large message or of a snapshot last arrived.
        self._progress_ms = 0
        # Streams that ended without a confirmation since the last one that had one.
        self._unconfirmed_count = 0
        self._is_moving = False
        self._is_yielding = False

    async def run(self) -> None:
        """Opens streams, one after the other, until cancelled."""
        while True:
            peer = self._plan.choose(self._link_number, timers.now_ms())
            if peer is None:
                await anyio.sleep(INITIAL_BACKOFF_MS / 1000)
                continue
            reason = await self._run_stream(peer)
            if self._is_moving:
                self._is_moving = False
                self._plan.record_move(self._link_number)
            elif self._is_yielding:
                self._is_yielding = False
                self._plan.record_yield(self._link_number)
            else:
                self._plan.record_failure(self._link_number, timers.now_ms())
            events.log(
                events.Event.LINK_LOST,
                link=self._link_number,
                member=peer.name,
                reason=reason,
            )

    async def _run_stream(self, peer: ControlPeer) -> str:
        """Runs one stream to its end and returns the reason it ended."""
        channel = rpc.open_channel(peer.address, self._tls)
        try:
            await self._exchange_messages(channel, peer)
        except Exception as error:
            causes = _flatten(error)
            if not all(isinstance(cause, EXPECTED_ERRORS) for cause in causes):
                raise
            return f"{type(causes[0]).__name__}: {causes[0]}"
        return "the member ended the stream"

    async def _exchange_messages(self, channel: Any, peer: ControlPeer) -> None:
        async with contextlib.AsyncExitStack() as stack:
            with anyio.fail_after(CONNECT_LIMIT_MS / 1000):
                stream = await stack.enter_async_context(
                    rpc.open_stream(channel, "Hub", "Link")
                )
                stream.accept_compressed()
                await stream.send_message(self._handlers.hello(self._link_number))
            sender, outgoing = anyio.create_memory_object_stream[Any](
                OUTGOING_LIMIT_COUNT
            )
            self._confirmed_ms = timers.now_ms()
            self._progress_ms = 0
            self._unconfirmed_count += 1
            overflowed = anyio.Event()

            def send(message: Any) -> None:
                # Raised here, the error would end the task of whoever sends.
                try:
                    sender.send_nowait(message)
                except anyio.WouldBlock:
                    overflowed.set()

            self._handlers.opened(self._link_number, send)
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._end_when_overflowed, overflowed)
                    group.start_soon(self._request_confirmations, stream, sender)
                    group.start_soon(self._move_closer)
                    group.start_soon(self._yield_to_primary)
                    group.start_soon(self._send, stream, outgoing)
                    await self._receive(stream)
            finally:
                self._handlers.closed(self._link_number)
                sender.close()
                outgoing.close()

    async def _end_when_overflowed(self, overflowed: anyio.Event) -> None:
        await overflowed.wait()
        raise LinkError("too many messages wait for the member")

    async def _send(self, stream: Any, outgoing: Any) -> None:
        async for message in outgoing:
            await stream.send_message(message)

    async def _request_confirmations(self, stream: Any, sender: Any) -> None:
        seen_bytes = 0
        while True:
            now_ms = timers.now_ms()
            incomplete_bytes = stream.incomplete_bytes
            if seen_bytes != incomplete_bytes >= LARGE_MESSAGE_BYTES:
                self._progress_ms = now_ms
            seen_bytes = incomplete_bytes
            self._check_silence(now_ms)
            sender.send_nowait(self._handlers.confirm_ask())
            await anyio.sleep(self._confirm_period_ms / 1000)

    def _check_silence(self, now_ms: int) -> None:
        """Raises LinkError if the member has been silent or sending for too long."""
        unconfirmed_ms = now_ms - self._confirmed_ms
        silent_ms = min(unconfirmed_ms, now_ms - self._progress_ms)
        if silent_ms > silence_limit_ms(self._unconfirmed_count):
            raise LinkError("the member did not confirm the view in time")
        if unconfirmed_ms > transfer_limit_ms(self._unconfirmed_count):
            raise LinkError("a change of the view did not arrive in time")

    async def _move_closer(self) -> None:
        """Ends the stream when a member in the entry's own zone may take it over."""
        while True:
            await anyio.sleep(self._plan.move_after_ms() / 1000)
            is_confirmed = self._unconfirmed_count == 0
            if is_confirmed and self._plan.may_move_closer(
                self._link_number, timers.now_ms()
            ):
                self._is_moving = True
                raise LinkMovedError("a member in the zone of this entry is available")

    async def _yield_to_primary(self) -> None:
        await self._plan.yield_wanted(self._link_number).wait()
        self._is_yielding = True
        raise LinkYieldedError("the primary link needs the member")

    async def _receive(self, stream: Any) -> None:
        while (message := await stream.recv_message()) is not None:
            if isinstance(message, LinkRefused):
                raise LinkError(f"refused: {message.reason}")
            if isinstance(message, ViewSnapshot):
                # A compressed part is smaller than `LARGE_MESSAGE_BYTES`.
                self._progress_ms = timers.now_ms()
            if isinstance(message, Confirmed):
                self._confirmed_ms = timers.now_ms()
                self._unconfirmed_count = 0
                self._plan.record_success(self._link_number)
            if self._handlers.received(self._link_number, message):
                raise LinkError("a delta does not fit the view")
        raise LinkError("the member ended the stream")


def silence_limit_ms(unconfirmed_count: int) -> int:
    """Returns how long a member may take to confirm the view.

    Args:
        unconfirmed_count: Streams without a confirmation, with the current one.
    """
    doublings_count = max(0, unconfirmed_count - UNCONFIRMED_STREAMS_COUNT)
    return min(
        LONGEST_SILENCE_LIMIT_MS, SILENCE_LIMIT_MS * 2 ** min(doublings_count, 8)
    )


def transfer_limit_ms(unconfirmed_count: int) -> int:
    """Returns how long a member may take to confirm the view while it sends a change.

    Args:
        unconfirmed_count: Streams without a confirmation, with the current one.
    """
    doublings_count = min(max(0, unconfirmed_count - 1), 8)
    return min(LONGEST_SILENCE_LIMIT_MS, TRANSFER_LIMIT_MS * 2**doublings_count)


def _flatten(error: BaseException) -> list[BaseException]:
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [cause for part in error.exceptions for cause in _flatten(part)]
