"""A member of the control group: the task that owns its sockets and files."""

import dataclasses
import random
import secrets
from collections.abc import Callable
from typing import Any, Protocol

import anyio
import anyio.abc
import anyio.lowlevel
import anyio.to_thread

from cassiapitch import (
    consensus,
    events,
    files,
    identity,
    journal,
    memberchanges,
    peers,
    quorum,
    reads,
    replication,
    rpc,
    snapshots,
)
from cassiapitch.exceptions import StorageError
from cassiapitch.node import Node, Send, Write
from cassiapitch.proposals import (
    Appended,
    Committed,
    NotAccepted,
    Proposal,
    ReadConfirmed,
    Reads,
    ReadUnavailable,
    ReadWait,
    Replies,
    Uncertain,
    Waiting,
)
from cassiapitch.quorum import ChangeRefused
from cassiapitch.raftmessages import (
    ChangeAnswer,
    ChangeAsk,
    ChangeKind,
    Entry,
    EntryKind,
    ForwardAnswer,
    ForwardAsk,
    ForwardItem,
    GroupMember,
    PeerHello,
)
from cassiapitch.settings import Address, ControlSettings
from cassiapitch.timers import now_ms

TICK_MS = 25
BOOTSTRAP_RETRY_MS = 200
APPLY_BATCH_COUNT = 256
SNAPSHOT_BYTES = 8 * 1024 * 1024
SNAPSHOT_COUNT = 8_192

ProposeOutcome = Committed | NotAccepted | Uncertain
ReadOutcome = ReadConfirmed | ReadUnavailable
ChangeOutcome = Committed | ChangeRefused | NotAccepted | Uncertain


class StateMachine(Protocol):
    """What the log is applied to; deterministic."""

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Applies one command and returns its result."""
        ...

    def snapshot(self) -> bytes:
        """Returns the whole state."""
        ...

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by that of a snapshot."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """What a member knows of itself and the group.

    Attributes:
        name: Its name.
        role: `leader`, `candidate`, `follower`, `learner`, or `waiting` for a
            member that doesn't belong to a group.
        term: Its term.
        leader: The leader's name, if known.
        commit_index: Highest index that it knows to be committed.
        applied_index: Highest index that it has applied.
        members: The group.
    """

    name: str
    role: str
    term: int
    leader: str | None
    commit_index: int
    applied_index: int
    members: tuple[GroupMember, ...]


class Member:
    """One member; `run` has to run for everything else to work."""

    def __init__(
        self,
        settings: ControlSettings,
        machine: StateMachine,
        on_applied: Callable[[int], None],
        *,
        folder: files.Files | None = None,
        snapshot_count: int = SNAPSHOT_COUNT,
        retained_count: int = snapshots.RETAINED_COUNT,
    ) -> None:
        """Prepares a member.

        Args:
            settings: The process's settings.
            machine: What commands are applied to.
            on_applied: Called with the highest applied index after each batch, also
                where the batch held no command or was a snapshot.
            folder: File operations; the disk's by default.
            snapshot_count: Applied entries after which a snapshot is taken.
            retained_count: Entries kept in memory behind a snapshot.
        """
        self.settings = settings
        self._machine = machine
        self._on_applied = on_applied
        self._files = folder
        self._snapshot_count = snapshot_count
        self._retained_count = retained_count
        self._snapshot_index = 0
        self.node: Node | None = None
        self._journal: journal.Journal | None = None
        self.peers = peers.Peers(self._hello, self._on_message, settings.tls)
        self._identity: identity.Identity | None = None
        self._unsynced: list[Write] = []
        self._synced_number = 0
        self._held: list[Send] = []
        self._waiting = Waiting()
        self._retry: list[Proposal] = []
        self.appended = Appended()
        self._forwarded: dict[int, Proposal] = {}
        self._forward_number = 0
        self._replies = Replies()
        self._reads = Reads()
        self._changes = memberchanges.Changes(self)
        self._wake_writer = anyio.Event()
        self._wake_proposer = anyio.Event()
        self._wake_applier = anyio.Event()
        self._synced = anyio.Event()
        self._logged_leader: str | None = None
        self._logged_group = NO_GROUP

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Takes part in the group until cancelled.

        Raises:
            StorageError: The data folder is damaged or a write to it failed; the
                member must not go on, since it can't keep what it promises.
        """
        await anyio.to_thread.run_sync(self._open)
        async with anyio.create_task_group() as group:
            group.start_soon(self.peers.run)
            group.start_soon(self._write_forever)
            group.start_soon(self._propose_forever)
            group.start_soon(self._apply_forever)
            group.start_soon(self._tick_forever)
            group.start_soon(self._changes.run)
            group.start_soon(self._form_group)
            await anyio.lowlevel.checkpoint()
            self.pump()
            task_status.started()

    def _open(self) -> None:
        settings = self.settings
        try:
            if self._files is None:
                self._files = files.open_folder(settings.data_path)
            self._identity = identity.load_or_create(
                self._files, settings.cluster, settings.name, secrets.token_hex(16)
            )
        except OSError as error:
            raise StorageError(f"data folder can't be opened: {error}") from error
        self._journal, recovered = journal.open_journal(self._files)
        source = random.Random(secrets.randbits(64))
        self.node = Node(self._identity.disk_id, recovered, source, now_ms())
        events.log(
            events.Event.LOG_OPENED,
            disk_id=self._identity.disk_id,
            term=self.node.term,
            last_index=self.node.log.last_index,
        )

    # The interface for the other parts of the process.

    def serve_handlers(self) -> list[rpc.Handler]:
        """Returns the handlers to mount on the process's rpc server."""
        return [rpc.Handler(peers.SERVICE, {peers.METHOD: self._serve})]

    async def propose(self, command: bytes, timeout_ms: int) -> ProposeOutcome:
        """Has a command committed, through the leader if another member leads."""
        done = anyio.Event()
        ends: list[tuple[int, bytes] | None] = []

        def finish(end: tuple[int, bytes] | None) -> None:
            ends.append(end)
            done.set()

        proposal = Proposal(command, finish)
        if not self._waiting.add(proposal):
            return NotAccepted(self.leader_name())
        self._wake_proposer.set()
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await done.wait()
        finally:
            proposal.is_abandoned = True
        if ends:
            end = ends[0]
            return NotAccepted(self.leader_name()) if end is None else Committed(*end)
        return (
            Uncertain() if proposal.is_handed_over else NotAccepted(self.leader_name())
        )

    async def read_index(self, timeout_ms: int) -> ReadOutcome:
        """Returns once this member has applied all that was committed before."""
        read = ReadWait(anyio.Event())
        self._reads.waiting.append(read)
        self.pump()
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
        """Returns what this member knows now."""
        node = self.node
        if node is None:
            return MemberStatus(self.settings.name, "waiting", 0, None, 0, 0, ())
        own = quorum.member_by_id(node.group, node.own_id)
        if own is None:
            role = "waiting"
        else:
            role = str(node.role) if own.voter else "learner"
        return MemberStatus(
            self.settings.name,
            role,
            node.term,
            self.leader_name(),
            node.commit_index,
            node.applied_index,
            node.group.members,
        )

    def has_lease(self, time_ms: int) -> bool:
        """Tells whether this member leads and holds the quorum's lease."""
        return self.node is not None and replication.has_lease(self.node, time_ms)

    async def add_learner(
        self, name: str, address: Address, zone: str = "", timeout_ms: int = 5_000
    ) -> ChangeOutcome:
        """Adds the empty or removed member that answers at an address."""
        return await self._changes.request(
            ChangeKind.ADD_LEARNER, name, zone, address, timeout_ms
        )

    async def promote(self, name: str, timeout_ms: int = 5_000) -> ChangeOutcome:
        """Makes a learner a voter once it has caught up."""
        kind = ChangeKind.PROMOTE
        return await self._changes.request(kind, name, "", None, timeout_ms)

    async def remove(self, name: str, timeout_ms: int = 5_000) -> ChangeOutcome:
        """Removes a member."""
        kind = ChangeKind.REMOVE
        return await self._changes.request(kind, name, "", None, timeout_ms)

    async def transfer_leadership(
        self, to: str | None, timeout_ms: int = 5_000
    ) -> ChangeOutcome:
        """Hands the leadership to a voter, the most current one by default."""
        kind = ChangeKind.TRANSFER
        return await self._changes.request(kind, to or "", "", None, timeout_ms)

    def leader_name(self) -> str | None:
        """Returns the leader's name, if it is known."""
        node = self.node
        if node is None or node.leader_id is None:
            return None
        found = quorum.member_by_id(node.group, node.leader_id)
        return None if found is None else found.name

    # Messages.

    def _hello(self) -> PeerHello:
        assert self.node is not None
        settings = self.settings
        return PeerHello(
            settings.cluster,
            settings.name,
            self.node.own_id,
            settings.rpc_address.ip,
            settings.rpc_address.port,
            formed=bool(self.node.group.members),
        )

    async def _serve(self, stream: Any) -> None:
        if self.node is not None:
            await self.peers.serve(stream)

    def _on_message(self, sender: str, target: str, message: Any) -> None:
        node = self.node
        if node is None or target != node.own_id:
            return
        if isinstance(message, ForwardAsk):
            self._on_forward_ask(sender, message)
        elif isinstance(message, ForwardAnswer):
            self._on_forward_answer(message)
        elif isinstance(message, (ChangeAsk, ChangeAnswer)):
            self._changes.receive(sender, message)
        else:
            consensus.receive(node, sender, target, message, now_ms())
            self.pump()

    def pump(self) -> None:
        """Carries out what the decisions asked for; called after each input."""
        node = self.node
        if node is None:
            return
        token = self._reads.next_token(now_ms())
        if token is not None:
            reads.ask(node, token, now_ms())
        if node.writes:
            self._unsynced.extend(node.writes)
            node.writes = []
            self._wake_writer.set()
        for send in node.sends:
            if send.after <= self._synced_number:
                self.peers.send(send.target, send.message)
            else:
                self._held.append(send)
        node.sends.clear()
        for done in node.reads:
            self._reads.confirmed(done.token, done.index)
        if node.reads:
            node.reads.clear()
            self._reads.applied(node.applied_index)
        if node.to_restore or node.applied_index < node.commit_index:
            self._wake_applier.set()
        self._note_changes(node)

    def _note_changes(self, node: Node) -> None:
        if node.group is not self._logged_group:
            self._logged_group = node.group
            addresses = {
                one.disk_id: Address(one.ip, one.port)
                for one in node.group.members
                if one.disk_id != node.own_id
            }
            self.peers.keep(addresses)
            members = [f"{one.name}/{one.disk_id}" for one in node.group.members]
            events.log(events.Event.GROUP_CHANGED, members=members)
        if node.leader_id != self._logged_leader:
            self._logged_leader = node.leader_id
            name = self.leader_name()
            events.log(events.Event.LEADER_CHANGED, leader=name, term=node.term)
            self._wake_proposer.set()

    # Tasks.

    async def _tick_forever(self) -> None:
        assert self.node is not None
        while True:
            await anyio.sleep(TICK_MS / 1000)
            consensus.tick(self.node, now_ms())
            while self._retry and self._waiting.add(self._retry[-1]):
                self._retry.pop()
            if len(self._waiting) > 0:
                self._wake_proposer.set()
            self.pump()

    async def _write_forever(self) -> None:
        assert self.node is not None
        while True:
            await self._wake_writer.wait()
            self._wake_writer = anyio.Event()
            batch, self._unsynced = self._unsynced, []
            if not batch:
                continue
            try:
                await anyio.to_thread.run_sync(self._write_batch, batch)
            except StorageError as error:
                events.log(events.Event.STORAGE_FAILED, reason=str(error))
                raise
            self._synced_number += len(batch)
            consensus.synced(self.node, self._synced_number, now_ms())
            held, self._held = self._held, []
            self.node.sends[:0] = held
            synced, self._synced = self._synced, anyio.Event()
            synced.set()
            self.pump()

    def _write_batch(self, batch: list[Write]) -> None:
        assert self._journal is not None
        self._journal.write(batch)
        self._journal.sync()

    async def _propose_forever(self) -> None:
        assert self.node is not None
        while True:
            await self._wake_proposer.wait()
            self._wake_proposer = anyio.Event()
            while len(self._waiting) > 0 and self._hand_over(self.node):
                # What arrives during a sync goes into the next write as one batch.
                while self._synced_number < self.node.write_number:
                    await self._synced.wait()
                await anyio.lowlevel.checkpoint()

    def _hand_over(self, node: Node) -> bool:
        batch = self._waiting.take()
        if node.leadership is not None:
            return self._append(node, batch)
        own = [one for one in batch if not one.forwarded]
        for proposal in batch:
            if proposal.forwarded:
                proposal.finish(None)
        self._send_replies()
        if not self._forward(node, own):
            self._waiting.give_back(own)
            return False
        return True

    def _append(self, node: Node, batch: list[Proposal]) -> bool:
        commands = [one.command for one in batch]
        first = consensus.propose(node, commands, now_ms()) if batch else None
        if first is None:
            self._waiting.give_back(batch)
            return False
        for proposal in batch:
            proposal.is_handed_over = True
        self.appended.add(first, node.term, batch)
        self.pump()
        return True

    def _forward(self, node: Node, batch: list[Proposal]) -> bool:
        if not batch:
            return True
        if node.leader_id is None:
            return False
        items = []
        for proposal in batch:
            self._forward_number += 1
            items.append(ForwardItem(self._forward_number, proposal.command))
        if not self.peers.send(node.leader_id, ForwardAsk(node.life, tuple(items))):
            return False
        for item, proposal in zip(items, batch, strict=True):
            proposal.is_handed_over = True
            self._forwarded[item.sequence] = proposal
        return True

    def _on_forward_ask(self, sender: str, ask: ForwardAsk) -> None:
        for item in ask.items:

            def finish(
                end: tuple[int, bytes] | None, sequence: int = item.sequence
            ) -> None:
                self._replies.add(sender, ask.life, sequence, end)

            proposal = Proposal(item.command, finish, forwarded=True)
            if not self._waiting.add(proposal):
                finish(None)
        self._send_replies()
        self._wake_proposer.set()

    def _on_forward_answer(self, answer: ForwardAnswer) -> None:
        assert self.node is not None
        if answer.life != self.node.life:
            return
        for result in answer.results:
            proposal = self._forwarded.pop(result.sequence, None)
            if proposal is None:
                continue
            if result.index is not None:
                proposal.finish((result.index, result.result))
            elif not proposal.is_abandoned:
                # Certainly not applied, so that it may go to the next leader.
                proposal.is_handed_over = False
                self._retry.append(proposal)

    def _send_replies(self) -> None:
        for sender, life, results in self._replies.take():
            self.peers.send(sender, ForwardAnswer(life, results))

    async def _apply_forever(self) -> None:
        assert self.node is not None
        while True:
            await self._wake_applier.wait()
            self._wake_applier = anyio.Event()
            while await self._apply_some(self.node):
                await anyio.lowlevel.checkpoint()

    async def _apply_some(self, node: Node) -> bool:
        todo = consensus.take_applicable(node, APPLY_BATCH_COUNT)
        if isinstance(todo, consensus.Restore):
            self._machine.restore(todo.snapshot.data)
            self.appended.forget_to(todo.snapshot.index)
            self._snapshot_index = todo.snapshot.index
            index = todo.snapshot.index
            events.log(events.Event.SNAPSHOT_INSTALLED, index=index)
        elif todo:
            for entry in todo:
                self._apply(entry)
        else:
            return False
        self._on_applied(node.applied_index)
        self._reads.applied(node.applied_index)
        self._send_replies()
        self._take_snapshot(node)
        return True

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._machine.apply(entry.index, entry.time_ms, entry.data)
        self.appended.applied(entry.index, entry.term, result)

    def _take_snapshot(self, node: Node) -> None:
        count = node.applied_index - self._snapshot_index
        is_large = count > 1 and node.log.size_bytes > SNAPSHOT_BYTES
        if count < self._snapshot_count and not is_large:
            return
        self._snapshot_index = node.applied_index
        retained_count = 0 if is_large else self._retained_count
        snapshots.take(node, self._machine.snapshot(), retained_count)
        events.log(events.Event.SNAPSHOT_TAKEN, index=node.applied_index)
        self.pump()

    async def _form_group(self) -> None:
        await memberchanges.form_group(self)
