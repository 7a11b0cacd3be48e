"""A member of the control group: runs Raft over the process's sockets and files."""

import functools
import random
import secrets
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel

from cassiapitch import (
    admission,
    consensus,
    disk_errors,
    diskwriter,
    events,
    files,
    identity,
    journal,
    membership_requests,
    peers,
    proposer,
    read_index,
    replication,
    rpc,
    snapshots,
    task_failures,
)
from cassiapitch.applier import SNAPSHOT_COUNT, Applier
from cassiapitch.exceptions import (
    StorageError,
    StorageRefusedError,
    UnusableFolderError,
)
from cassiapitch.membertypes import (
    MemberStatus,
    StateMachine,
    name_of_leader,
    status_of,
)
from cassiapitch.node import NO_GROUP, Node, OutgoingMessage
from cassiapitch.proposals import (
    Committed,
    NotAccepted,
    ReadBatches,
    ReadConfirmed,
    ReadRequest,
    ReadUnavailable,
    Uncertain,
)
from cassiapitch.quorum import ChangeRefused
from cassiapitch.raftmessages import (
    ChangeAnswer,
    ChangeAsk,
    ChangeKind,
    ForwardAnswer,
    ForwardAsk,
    GroupMember,
    PeerHello,
)
from cassiapitch.settings import Address, ControlSettings
from cassiapitch.timers import TimerService, now_ms

__all__ = [
    "ChangeRefused",
    "Committed",
    "Member",
    "MemberStatus",
    "NotAccepted",
    "ReadConfirmed",
    "ReadUnavailable",
    "StateMachine",
    "Uncertain",
]

TICK_MS = 25
OPEN_RETRY_S = 0.5
READS_LIMIT_COUNT = 8_192

ReadOutcome = ReadConfirmed | ReadUnavailable
ChangeOutcome = Committed | ChangeRefused | NotAccepted | Uncertain


class Member:
    """A member of the control group; everything else works only while `run` runs."""

    def __init__(
        self,
        settings: ControlSettings,
        state_machine: StateMachine,
        on_applied: Callable[[int], None],
        *,
        folder: files.Files | None = None,
        snapshot_count: int = SNAPSHOT_COUNT,
        retained_count: int = snapshots.RETAINED_COUNT,
    ) -> None:
        """Prepares a member.

        Args:
            settings: The process's settings.
            state_machine: The state machine that commands are applied to.
            on_applied: Called with the highest applied index after each batch, even
                if the batch held no command or was a snapshot.
            folder: File operations in the data folder; by default, those of the
                folder that the settings name.
            snapshot_count: Number of applied entries after which a snapshot is taken.
            retained_count: Number of entries before a snapshot that stay in memory.
        """
        self.settings = settings
        self._on_applied = on_applied
        self._files = folder
        self.node: Node | None = None
        self._journal: journal.Journal | None = None
        self.peers = peers.Peers(self._hello, self._on_message, settings.tls)
        self.join_requests: dict[str, admission.JoinRequest] = {}
        # Disk ids of the members that asked this one, the leader, to leave the group
        # once others have their places.
        self.leaving_ids: set[str] = set()
        # Set once this member leaves for good; it doesn't ask to be admitted again.
        self.is_leaving = False
        self.peers.on_hello = self._record_join_request
        self._identity: identity.Identity | None = None
        self._writer = diskwriter.DiskWriter(self._on_synced)
        self._held_messages: list[OutgoingMessage] = []
        self.proposer = proposer.Proposer(
            self.peers.send,
            self.process_outputs,
            self._writer.all_synced,
            self.leader_name,
        )
        self._reads = ReadBatches()
        self._timers = TimerService()
        # Whether the timer for the next read round runs.
        self._awaits_round = False
        self.changes = membership_requests.MembershipChanges(self)
        self._applier = Applier(
            state_machine,
            self.proposer,
            self._announce_applied,
            self.process_outputs,
            snapshot_count=snapshot_count,
            retained_count=retained_count,
        )
        self._failed = anyio.Event()
        self._failures: list[Exception] = []
        self._logged_leader: str | None = None
        self._logged_group = NO_GROUP

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Takes part in the group until cancelled.

        Raises:
            UnusableFolderError: The data folder is damaged or another member's.
            StorageError: A write to it failed for good.
                The member must stop, since it can't store what it acknowledges.
        """
        await self._open_with_retries()
        async with anyio.create_task_group() as tasks:
            # After an error in one of these, what this member holds in memory may
            # differ from what it has acknowledged, so none is started again.
            for name, task in {
                "peers": self.peers.run,
                "disk": functools.partial(self._writer.run, self._journal),
                "proposer": functools.partial(self.proposer.run, self.node),
                "apply": functools.partial(self._applier.run, self.node),
                "ticks": self._tick_forever,
                "timers": self._timers.run,
                "membership changes": self.changes.run,
                "messages": self._raise_failure,
                "first group": functools.partial(membership_requests.form_group, self),
            }.items():
                task_failures.start(tasks, name, task)
            await anyio.lowlevel.checkpoint()
            self.process_outputs()
            task_status.started()

    async def _open_with_retries(self) -> None:
        """Opens the data folder; retries while the disk refuses it."""
        while True:
            try:
                await diskwriter.run_in_thread(self._open)
            except StorageRefusedError as error:
                if self._files is not None:
                    # Another disk may be there by now; open files are of the former.
                    self._files.close()
                self._writer.record_refusal(str(error))
                await anyio.sleep(OPEN_RETRY_S)
            except StorageError as error:
                raise UnusableFolderError(str(error)) from error
            else:
                self._writer.record_success()
                return

    def _open(self) -> None:
        settings = self.settings
        try:
            if self._files is None:
                self._files = files.open_folder(settings.data_path)
            self._identity = identity.load_or_create(
                self._files, settings.cluster, settings.name, secrets.token_hex(16)
            )
        except OSError as error:
            raise disk_errors.storage_error(
                "opening the data folder", error, is_opening=True
            ) from error
        self._journal, recovered = journal.open_journal(self._files)
        rng = random.Random(secrets.randbits(64))
        self.node = Node(
            self._identity.disk_id,
            recovered,
            rng,
            now_ms(),
            settings.read_batch_ms,
        )
        events.log(
            events.Event.LOG_OPENED,
            disk_id=self._identity.disk_id,
            term=self.node.term,
            last_index=self.node.log.last_index,
            torn_segments={
                name: len(valid) for name, valid in self._journal.torn_segments.items()
            },
        )

    # Interface for the rest of the process.

    def serve_handlers(self) -> list[rpc.Handler]:
        """Returns the handlers for the process's RPC server."""
        return [rpc.Handler(peers.SERVICE, {peers.METHOD: self._serve})]

    async def propose(self, command: bytes, timeout_ms: int) -> proposer.ProposeOutcome:
        """Proposes a command here or through the leader, and waits for its outcome."""
        return await self.proposer.propose(command, timeout_ms)

    async def read_index(self, timeout_ms: int) -> ReadOutcome:
        """Waits until this member has applied what was committed before the call."""
        if len(self._reads.waiting) >= READS_LIMIT_COUNT:
            return ReadUnavailable()
        read = ReadRequest(anyio.Event())
        self._reads.waiting.append(read)
        self.process_outputs()
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await read.done.wait()
        finally:
            if not read.done.is_set():
                self._reads.abandon(read)
        if not read.done.is_set() or read.index is None:
            return ReadUnavailable()
        return ReadConfirmed(read.index)

    def status(self) -> MemberStatus:
        """Returns what this member knows about itself and the group."""
        return status_of(self.settings.name, self.node)

    def has_lease(self, time_ms: int) -> bool:
        """Returns whether this member leads and holds a quorum's lease."""
        return self.node is not None and replication.has_lease(self.node, time_ms)

    async def add_learner(
        self, name: str, address: Address, zone: str = "", timeout_ms: int = 5_000
    ) -> ChangeOutcome:
        """Adds the member that answers at an address as a learner.

        Its disk must not belong to a current member.
        """
        return await self.changes.request(
            ChangeKind.ADD_LEARNER, name, zone, address, timeout_ms
        )

    async def promote(self, name: str, timeout_ms: int = 5_000) -> ChangeOutcome:
        """Makes a learner a voter once it has caught up with the log."""
        kind = ChangeKind.PROMOTE
        return await self.changes.request(kind, name, "", None, timeout_ms)

    async def remove(self, name: str, timeout_ms: int = 5_000) -> ChangeOutcome:
        """Removes a member."""
        kind = ChangeKind.REMOVE
        return await self.changes.request(kind, name, "", None, timeout_ms)

    async def leave(self, timeout_ms: int) -> ChangeOutcome:
        """Leaves the group once another member has taken this member's place.

        Until then, and if none takes it in time, this member stays in the group.
        """
        self.is_leaving = True
        return await self.remove(self.settings.name, timeout_ms)

    async def transfer_leadership(
        self, to: str | None, timeout_ms: int = 5_000
    ) -> ChangeOutcome:
        """Transfers leadership to a voter, by default the most current one."""
        kind = ChangeKind.TRANSFER
        return await self.changes.request(kind, to or "", "", None, timeout_ms)

    def leader_name(self) -> str | None:
        """Returns the leader's name, or None if it isn't known."""
        return None if self.node is None else name_of_leader(self.node)

    # Messages.

    def _hello(self) -> PeerHello:
        assert self.node is not None
        settings = self.settings
        status = self.status()
        leaders = [member for member in status.members if member.name == status.leader]
        leader = leaders[0] if leaders else None
        return PeerHello(
            settings.cluster,
            settings.name,
            self.node.own_id,
            settings.rpc_address.ip,
            settings.rpc_address.port,
            formed=bool(self.node.group.members),
            zone=settings.zone,
            is_outside=self.asks_to_join(),
            leader_ip="" if leader is None else leader.ip,
            leader_port=0 if leader is None else leader.port,
            accepts_zlib=settings.relay_compression == "zlib",
        )

    def asks_to_join(self) -> bool:
        """Returns whether this member asks the group's members to be admitted."""
        if self.node is None or self.is_leaving:
            return False
        return admission.should_ask_to_join(self.node, now_ms())

    def _record_join_request(self, hello: PeerHello) -> None:
        if hello.is_outside and hello.cluster == self.settings.cluster:
            member = GroupMember(
                hello.name, hello.disk_id, hello.zone, hello.ip, hello.port, False
            )
            admission.record_join_request(self.join_requests, member, now_ms())

    async def _serve(self, stream: Any) -> None:
        if self.node is not None:
            await self.peers.serve(stream)

    def _on_message(self, sender: str, target: str, message: Any) -> None:
        node = self.node
        if node is None or target != node.own_id:
            return
        if isinstance(message, ForwardAsk):
            self.proposer.on_forward_ask(sender, message)
        elif isinstance(message, ForwardAnswer):
            self.proposer.on_forward_answer(node, message)
        elif isinstance(message, (ChangeAsk, ChangeAnswer)):
            self.changes.receive(sender, message)
        elif not consensus.is_valid(message):
            events.log_rate_limited(
                events.Event.PEER_REFUSED,
                reason=f"invalid {type(message).__name__}",
                target=sender,
            )
        else:
            self._handle_raft_message(node, sender, target, message)

    def _handle_raft_message(
        self, node: Node, sender: str, target: str, message: Any
    ) -> None:
        if self._failures:
            return
        try:
            consensus.receive(node, sender, target, message, now_ms())
            self.process_outputs()
        except Exception as error:
            # Raised here, in a stream's task, it would end only that stream.
            self._failures.append(error)
            self._failed.set()

    def process_outputs(self) -> None:
        """Carries out what the Raft rules have queued; called after each input."""
        node = self.node
        if node is None:
            return
        token = self._reads.next_token(now_ms())
        if token is not None:
            read_index.request_read(node, token, now_ms())
        if node.writes:
            self._writer.add(node.writes)
            node.writes = []
        for item in node.outgoing:
            if item.after_write <= self._writer.synced_number:
                self.peers.send(item.target, item.message)
            else:
                self._held_messages.append(item)
        node.outgoing.clear()
        for finished_read in node.finished_reads:
            self._reads.on_confirmed(finished_read.token, finished_read.index)
        if node.finished_reads:
            node.finished_reads.clear()
            self._reads.on_applied(node.applied_index)
        if node.snapshot_to_restore or node.applied_index < node.commit_index:
            self._applier.wake()
        self._await_round(node)
        self._handle_group_and_leader_changes(node)

    def _announce_applied(self, index: int) -> None:
        self._on_applied(index)
        self._reads.on_applied(index)

    def _await_round(self, node: Node) -> None:
        """Sets the timer for the next read round, which ticks would begin too late."""
        due_ms = read_index.next_round_ms(node)
        if due_ms is None or self._awaits_round:
            return
        self._awaits_round = True

        def begin_round(time_ms: int) -> None:
            self._awaits_round = False
            read_index.advance(node, time_ms)
            self.process_outputs()

        self._timers.after(max(0, due_ms - now_ms()), begin_round)

    def _handle_group_and_leader_changes(self, node: Node) -> None:
        if node.group is not self._logged_group:
            self._logged_group = node.group
            addresses = {
                member.disk_id: Address(member.ip, member.port)
                for member in node.group.members
                if member.disk_id != node.own_id
            }
            self.peers.set_members(addresses)
            members = [
                f"{member.name}/{member.disk_id}" for member in node.group.members
            ]
            events.log(events.Event.GROUP_CHANGED, members=members)
        if node.leader_id != self._logged_leader:
            self._logged_leader = node.leader_id
            name = self.leader_name()
            events.log(events.Event.LEADER_CHANGED, leader=name, term=node.term)
            self.proposer.wake()

    def _on_synced(self, number: int) -> None:
        assert self.node is not None
        consensus.on_synced(self.node, number, now_ms())
        # Messages held back earlier are sent first, so that the order is kept.
        self.node.outgoing[:0] = self._held_messages
        self._held_messages = []
        self.process_outputs()

    # Tasks.

    async def _raise_failure(self) -> None:
        await self._failed.wait()
        raise self._failures[0]

    async def _tick_forever(self) -> None:
        assert self.node is not None
        while True:
            await anyio.sleep(TICK_MS / 1000)
            consensus.tick(self.node, now_ms())
            if self._writer.is_stuck(now_ms()):
                # Otherwise it would stay leader without ever applying an entry. Its
                # next election waits for the disk, since its vote has to be synced.
                consensus.step_down(self.node, now_ms())
            self.proposer.tick()
            self.process_outputs()
