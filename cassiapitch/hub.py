"""Server side of the links between entries and this control member.

Sends entries the view, confirmations that it is current, load reports and rate grants,
and handles their claims and reports.
"""

import collections
import dataclasses
import sys
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from cassiapitch import (
    commands,
    events,
    group,
    linkstate,
    metrics,
    rpc,
    view_confirmations,
)
from cassiapitch import view as views
from cassiapitch.command_batcher import CommandBatcher
from cassiapitch.entry_directory import EntryDirectory
from cassiapitch.events import Event
from cassiapitch.exceptions import CodecError
from cassiapitch.fleet_commands import LimitRecorded, RecordBackendLimit
from cassiapitch.group import ControlGroup
from cassiapitch.limit_messages import LimitReport, LimitReportAnswer, PermitAsk
from cassiapitch.linkstate import LinkState
from cassiapitch.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimFinish,
    ClaimRelease,
    ConfirmAsk,
    ControlMembers,
    CrashAnswer,
    CrashReport,
    DemandReport,
    LinkHello,
    LinkRefused,
    LoadReports,
    RateAsk,
    SuspectCleared,
    SuspectRunAnswer,
    SuspectRunAsk,
    SuspectRunEnded,
    ViewSnapshot,
)
from cassiapitch.origin_messages import OriginAnswer, OriginAsk, OriginsReport
from cassiapitch.part_messages import PartCrashAnswer, PartCrashReport, PartsCleared
from cassiapitch.replicated import ReplicatedState
from cassiapitch.settings import Address, ControlPeer
from cassiapitch.tunnel_messages import (
    AllEntries,
    TunnelPeer,
    TunnelPeers,
)

# An entry's view counts as fresh for 1,800 ms after a confirmation, and an election
# takes up to about 1,200 ms. So a read that a lost leader left unanswered must not
# delay the next one for long.
READ_TIMEOUT_MS = 500
READ_RETRY_PAUSE_MS = 50
HELLO_TIMEOUT_S = 5
# A link is closed if the entry doesn't receive a message for this long. The entry
# reconnects and then gets one delta instead of everything that it missed.
SEND_TIMEOUT_S = 5
LINKS_LIMIT_COUNT = 4_096
MEMBERS_CHECK_PERIOD_S = 0.5

PRIMARY_LINK_MESSAGES = (
    RateAsk,
    ClaimAsk,
    ClaimFinish,
    ClaimRelease,
    CrashReport,
    SuspectCleared,
    SuspectRunAsk,
    SuspectRunEnded,
    PartCrashReport,
    PartsCleared,
    OriginsReport,
    OriginAsk,
    DemandReport,
    LimitReport,
    PermitAsk,
)


@dataclasses.dataclass(eq=False, slots=True)
class Link:
    """A link of an entry.

    Attributes:
        state: What is to be sent.
        wake: Wakes the task that writes to the link.
        scope: Cancelling it closes the link.
        close_reason: Why the link ended, for the log.
        peers_sent: Peers for tunnels that the entry was told last; None before.
    """

    state: LinkState
    wake: anyio.Event
    scope: anyio.CancelScope
    close_reason: str = "closed by the entry"
    peers_sent: TunnelPeers | None = None


class Hub:
    """All links between entries and this control member."""

    def __init__(
        self,
        cluster: str,
        state: ReplicatedState,
        member: ControlGroup,
        command_batcher: CommandBatcher,
        relay: Callable[[Any], None],
        directory: EntryDirectory,
    ) -> None:
        """Creates a hub without links.

        Args:
            cluster: Name of the deployment; entries of another one are refused.
            state: The replicated state that contains the view.
            member: This control member.
            command_batcher: Proposes the commands of claims and reports.
            relay: Forwards rate requests and demand reports to the leader.
            directory: The entries of the deployment.
        """
        self._cluster = cluster
        self._state = state
        self._member = member
        self._command_batcher = command_batcher
        self._relay_to_leader = relay
        self._directory = directory
        self._links: set[Link] = set()
        # Set by the process, to what its memory and descriptors suffice for.
        self.links_limit: Callable[[], int] = lambda: LINKS_LIMIT_COUNT
        self.claims_limit: Callable[[], int] = lambda: sys.maxsize
        self._pending_claims_count = 0
        self._primary_links: dict[tuple[str, str], Link] = {}
        self._confirmations = view_confirmations.ViewConfirmations()
        self._confirm_requested = anyio.Event()

    def handler(self) -> rpc.Handler:
        """Returns the service to mount on the RPC server of the process."""
        return rpc.Handler("Hub", {"Link": self.serve_link}, writes_in_pieces=True)

    def on_applied(self, index: int) -> None:
        """Wakes links with changes to send; called after `index` was applied."""
        views.advance(self._state.view, index)
        for link in self._links:
            if views.has_changes(self._state.view, link.state.sent_index):
                link.wake.set()

    def broadcast(self, reports: LoadReports) -> None:
        """Queues load reports for the primary links.

        An entry would drop those of its second link, and they are the largest part
        of a link's traffic.
        """
        for link in tuple(self._primary_links.values()):
            self._push(link, reports)

    def linked_entries(self) -> list[TunnelPeer]:
        """Returns the entries with a primary link here that serve tunnels."""
        hellos = [link.state.hello for link in self._primary_links.values()]
        return [
            TunnelPeer(hello.entry, hello.zone, hello.tunnel_address)
            for hello in hellos
            if hello.tunnel_address is not None
        ]

    def on_all_entries(self, message: AllEntries) -> None:
        """Tells each entry its peers, as far as they have changed."""
        self._directory.on_all_entries(message)
        for link in tuple(self._primary_links.values()):
            self._send_peers(link)

    def _send_peers(self, link: Link) -> None:
        hello = link.state.hello
        if hello.tunnel_address is None:
            # Entries of earlier releases end a link that brings an unknown message.
            return
        peers = self._directory.peers_of(hello.entry, hello.zone)
        if peers is not None and peers != link.peers_sent:
            link.peers_sent = peers
            self._push(link, peers)

    def deliver_answer(self, entry: str, life_id: str, answer: Any) -> None:
        """Queues the leader's answer if the primary link of the entry's run is open."""
        link = self._primary_links.get((entry, life_id))
        if link is not None:
            self._push(link, answer)

    def describe(self) -> list[dict[str, Any]]:
        """Returns descriptions of the links for the status and dump endpoints."""
        return [
            {
                "entry": link.state.hello.entry,
                "zone": link.state.hello.zone,
                "life_id": link.state.hello.life_id,
                "primary": link.state.hello.primary,
                "applied_index": link.state.sent_index,
                "queued_count": len(link.state.queue),
            }
            for link in sorted(self._links, key=lambda link: link.state.hello.entry)
        ]

    def close_links(self) -> None:
        """Closes all links, so that the entries connect to other members."""
        for link in self._links:
            link.close_reason = "this member is stopping"
            link.scope.cancel()

    async def serve_link(self, stream: rpc.Stream) -> None:
        """Serves one link until either side closes it."""
        hello = None
        with anyio.move_on_after(HELLO_TIMEOUT_S):
            hello = await stream.recv_message()
        if refusal_reason := self._refusal_reason(hello):
            events.log(Event.LINK_REFUSED, reason=refusal_reason)
            await stream.send_message(LinkRefused(refusal_reason))
            return
        await self._serve_accepted(stream, hello)

    def _refusal_reason(self, hello: Any) -> str | None:
        if not isinstance(hello, LinkHello):
            return "the first message must be LinkHello"
        if hello.cluster != self._cluster:
            return f"this is deployment {self._cluster!r}, not {hello.cluster!r}"
        is_full = len(self._links) >= min(self.links_limit(), LINKS_LIMIT_COUNT)
        if is_full and not (hello.primary and self._close_secondary_link()):
            return "too many links"
        return None

    def _close_secondary_link(self) -> bool:
        """Closes a link of an entry that has another; false if there is none.

        After a loss of members, the second links of some entries could otherwise leave
        no place for the only link of others.
        """
        for link in self._links:
            if not link.state.hello.primary and not link.scope.cancel_called:
                self._close(link, "a primary link needs the place")
                return True
        return False

    async def _serve_accepted(self, stream: rpc.Stream, hello: LinkHello) -> None:
        if hello.accepts_zlib:
            stream.compress_large_sent()
        with anyio.CancelScope() as scope:
            link = Link(linkstate.open_link(hello), anyio.Event(), scope)
            self._add_link(link)
            try:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(self._write_messages, stream, link)
                    await self._read_messages(stream, link)
                    tasks.cancel_scope.cancel()
            except* OSError as errors:
                link.close_reason = str(errors.exceptions[0])
            except* CodecError as errors:
                link.close_reason = f"malformed message: {errors.exceptions[0]}"
            finally:
                self._remove_link(link)

    def _add_link(self, link: Link) -> None:
        hello = link.state.hello
        self._links.add(link)
        if hello.wants_members:
            linkstate.push(link.state, self._control_members())
        if hello.primary:
            self._primary_links[(hello.entry, hello.life_id)] = link
            self._send_peers(link)
        link.wake.set()
        events.log(
            Event.LINK_OPENED,
            entry=hello.entry,
            primary=hello.primary,
            applied_index=hello.applied_index,
        )

    def _control_members(self) -> ControlMembers:
        return ControlMembers(
            tuple(
                ControlPeer(item.name, item.zone, Address(item.ip, item.port))
                for item in self._member.status().members
            )
        )

    async def announce_members(self) -> None:
        """Sends the member list whenever the control group changes, until cancelled."""
        last_sent = self._control_members()
        while True:
            await anyio.sleep(MEMBERS_CHECK_PERIOD_S)
            current = self._control_members()
            if current == last_sent:
                continue
            last_sent = current
            for link in tuple(self._links):
                if link.state.hello.wants_members:
                    self._push(link, current)

    def _remove_link(self, link: Link) -> None:
        hello = link.state.hello
        self._links.discard(link)
        if self._primary_links.get((hello.entry, hello.life_id)) is link:
            del self._primary_links[(hello.entry, hello.life_id)]
        events.log(Event.LINK_CLOSED, entry=hello.entry, reason=link.close_reason)

    async def _write_messages(self, stream: rpc.Stream, link: Link) -> None:
        while True:
            await link.wake.wait()
            link.wake = anyio.Event()
            for message in linkstate.pop_messages(link.state, self._state.view):
                if isinstance(message, ViewSnapshot) and message.first:
                    events.log(Event.SNAPSHOT_SENT, entry=link.state.hello.entry)
                with anyio.move_on_after(SEND_TIMEOUT_S) as timeout_scope:
                    await stream.send_message(message)
                if timeout_scope.cancelled_caught:
                    self._close(link, "the entry reads messages too slowly")
                    return

    async def _read_messages(self, stream: rpc.Stream, link: Link) -> None:
        while (message := await stream.recv_message()) is not None:
            self._dispatch(link, message)
            # Nothing counts its bytes while the next message is awaited.
            del message

    def _dispatch(self, link: Link, message: Any) -> None:
        if isinstance(message, PRIMARY_LINK_MESSAGES) and not link.state.hello.primary:
            self._close(link, "this message is allowed on the primary link only")
            return
        match message:
            case ConfirmAsk():
                view_confirmations.add_request(
                    self._confirmations, link, message.sequence
                )
                self._confirm_requested.set()
            case RateAsk() | PermitAsk() | DemandReport():
                self._relay_to_leader(message)
            case ClaimAsk():
                self._claim(link, message)
            case ClaimFinish():
                self._propose(link, message, _finish_answer)
            case ClaimRelease():
                self._propose(link, message, _claim_answer)
            case CrashReport() | SuspectCleared():
                self._propose(link, message, _crash_answer)
            case SuspectRunAsk() | SuspectRunEnded():
                self._propose(link, message, _suspect_run_answer)
            case PartCrashReport() | PartsCleared():
                self._propose(link, message, _part_crash_answer)
            case OriginsReport() | OriginAsk():
                self._propose(link, message, _origin_answer)
            case LimitReport():
                self._propose(link, message, _limit_report_answer)
            case _:
                self._close(link, f"unexpected message {type(message).__name__}")

    def _claim(self, link: Link, message: ClaimAsk) -> None:
        """Proposes a claim unless memory has no room for another one of its account.

        An account may have as many as are left, so that one with few gets more beside
        one that takes all it can. A known key is always proposed, for its outcome.
        """
        claims = self._state.claims
        is_known = (message.account, message.key_digest) in claims.table
        taken_count = len(claims.table) + self._pending_claims_count
        left_count = self.claims_limit() - taken_count
        if not is_known and claims.counts[message.account] >= left_count:
            metrics.CALLERS_REFUSED.inc("claims")
            events.log_rate_limited(events.Event.CALLER_REFUSED, reason="claims")
            # Undecided, since another member may know the key already.
            self._push(link, _claim_answer(message.sequence, None))
            return
        self._pending_claims_count += 1

        def make_answer(sequence: int, result: Any | None) -> ClaimAnswer:
            self._pending_claims_count -= 1
            return _claim_answer(sequence, result)

        self._propose(link, message, make_answer)

    def _propose(
        self, link: Link, message: Any, make_answer: Callable[[int, Any], Any]
    ) -> None:
        if link.state.pending_requests_count >= linkstate.PENDING_REQUESTS_LIMIT_COUNT:
            self._push(link, make_answer(message.sequence, None))
            return
        link.state.pending_requests_count += 1

        def on_result(result: Any | None) -> None:
            link.state.pending_requests_count -= 1
            self._push(link, make_answer(message.sequence, result))

        self._command_batcher.propose(_command_for(message), on_result)

    def _push(self, link: Link, message: Any) -> None:
        linkstate.push(link.state, message)
        link.wake.set()
        if link.state.overflowed:
            self._close(link, "too many messages are queued for the entry")

    def _close(self, link: Link, reason: str) -> None:
        link.close_reason = reason
        link.scope.cancel()

    async def run_confirmations(self) -> None:
        """Answers confirmation requests until cancelled."""
        while True:
            while not view_confirmations.begin_read(self._confirmations):
                self._confirm_requested = anyio.Event()
                await self._confirm_requested.wait()
            index = await group.read_index(self._member, READ_TIMEOUT_MS)
            if index is not None:
                views.advance(self._state.view, index)
            answers = view_confirmations.end_read(self._confirmations, index)
            for link, sequence in answers:
                self._confirm(link, sequence, index)
            if index is None:
                await anyio.sleep(READ_RETRY_PAUSE_MS / 1000)

    def _confirm(self, link: Any, sequence: int, index: int | None) -> None:
        if link not in self._links or index is None:
            return
        if index < link.state.hello.applied_index:
            # What an entry has applied was committed, so a later read returns at least
            # that index. Only a control group that was newly created returns less.
            self._close(link, "the entry's view is of another control group")
            return
        linkstate.queue_confirmation(link.state, sequence, index)
        link.wake.set()

    def count_links(self) -> collections.Counter[str]:
        """Returns the number of links by the entries' availability zone."""
        return collections.Counter(link.state.hello.zone for link in self._links)


def _command_for(message: Any) -> Any:
    match message:
        case ClaimAsk():
            return commands.ClaimKey(
                message.account,
                message.key_digest,
                message.request_digest,
                message.holder,
                message.lifetime_ms,
            )
        case ClaimFinish():
            return commands.FinishClaim(
                message.account,
                message.key_digest,
                message.holder,
                message.status,
                message.content_type,
                message.body,
            )
        case ClaimRelease():
            return commands.ReleaseClaim(
                message.account, message.key_digest, message.holder
            )
        case CrashReport():
            return commands.ReportCrash(message.life_id, message.digests)
        case SuspectRunAsk():
            return commands.ClaimSuspectRun(
                message.digest, message.life_id, message.holder
            )
        case SuspectRunEnded():
            return commands.ReleaseSuspectRun(message.life_id, message.holder)
        case PartCrashReport():
            return commands.ReportPartCrash(
                message.life_id, message.requests, message.trusted
            )
        case PartsCleared():
            return commands.ClearParts(message.parts, message.known_index)
        case OriginsReport():
            return commands.RecordOrigins(message.origins)
        case OriginAsk():
            return commands.FindOrigin(message.stream, message.roles)
        case LimitReport():
            return RecordBackendLimit(
                message.name,
                message.life_id,
                message.requests_per_s,
                message.known_index,
            )
        case _:
            return commands.ClearSuspect(message.digest, message.lives)


def _claim_answer(sequence: int, result: Any | None) -> ClaimAnswer:
    if not isinstance(result, commands.ClaimResult):
        return ClaimAnswer(sequence, None)
    return ClaimAnswer(
        sequence, result.state, result.status, result.content_type, result.body
    )


def _finish_answer(sequence: int, result: Any | None) -> ClaimAnswer:
    """Returns the answer without the body, which the entry has itself."""
    answer = _claim_answer(sequence, result)
    return ClaimAnswer(sequence, answer.state, answer.status, answer.content_type)


def _crash_answer(sequence: int, result: Any | None) -> CrashAnswer:
    if not isinstance(result, commands.SuspectResult):
        return CrashAnswer(sequence, False, ())
    return CrashAnswer(sequence, True, result.crash_counts)


def _suspect_run_answer(sequence: int, result: Any | None) -> SuspectRunAnswer:
    if not isinstance(result, commands.SuspectRunResult):
        return SuspectRunAnswer(sequence, None)
    return SuspectRunAnswer(sequence, result.outcome)


def _part_crash_answer(sequence: int, result: Any | None) -> PartCrashAnswer:
    if not isinstance(result, commands.PartCrashResult):
        return PartCrashAnswer(sequence, None)
    return PartCrashAnswer(sequence, result.refused)


def _origin_answer(sequence: int, result: Any | None) -> OriginAnswer:
    if not isinstance(result, commands.OriginResult):
        return OriginAnswer(sequence, False)
    return OriginAnswer(sequence, True, result.role, result.version)


def _limit_report_answer(sequence: int, result: Any | None) -> LimitReportAnswer:
    if not isinstance(result, LimitRecorded):
        return LimitReportAnswer(sequence, None)
    return LimitReportAnswer(sequence, result.index)
