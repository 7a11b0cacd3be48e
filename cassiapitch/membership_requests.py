"""Bootstraps the group and serves requests for membership changes, for `member`."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from cassiapitch import consensus, events, membership, quorum
from cassiapitch.proposals import Committed, NotAccepted, Uncertain
from cassiapitch.quorum import ChangeRefused
from cassiapitch.raftmessages import (
    ChangeAnswer,
    ChangeAsk,
    ChangeKind,
    Group,
    GroupMember,
    PeerHello,
)
from cassiapitch.settings import Address
from cassiapitch.timers import now_ms

if TYPE_CHECKING:
    from cassiapitch.member import ChangeOutcome, Member
    from cassiapitch.node import Node

RETRY_MS = 50
BOOTSTRAP_RETRY_MS = 200
SERVE_TIMEOUT_MS = 5_000


class MembershipChanges:
    """Membership changes requested by this member, and by others while it leads."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._task_group: anyio.abc.TaskGroup | None = None
        self._sequences = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        # Whether a member that asks to be removed itself waits for another one.
        self.waits_for_replacement = False

    async def run(self) -> None:
        """Serves other members' requests until cancelled."""
        try:
            async with anyio.create_task_group() as tasks:
                self._task_group = tasks
                await anyio.sleep_forever()
        finally:
            # Streams of other members end only after this.
            self._task_group = None

    async def request(
        self,
        kind: ChangeKind,
        name: str,
        zone: str,
        address: Address | None,
        timeout_ms: int,
    ) -> ChangeOutcome:
        """Makes a change if this member leads, else asks the leader for it."""
        deadline_ms = now_ms() + timeout_ms
        while True:
            node = self._member.node
            if node is not None and node.leadership is not None:
                return await self._make_change(kind, name, zone, address, deadline_ms)
            if node is not None and node.leader_id is not None:
                ask = ChangeAsk(
                    node.run_id,
                    next(self._sequences),
                    kind,
                    name,
                    zone,
                    "" if address is None else address.ip,
                    0 if address is None else address.port,
                )
                if self._member.peers.send(node.leader_id, ask):
                    outcome = await self._wait_for_answer(ask, deadline_ms)
                    if not isinstance(outcome, NotAccepted):
                        return outcome
            if now_ms() >= deadline_ms:
                return NotAccepted(self._member.leader_name())
            await anyio.sleep(RETRY_MS / 1000)

    async def _wait_for_answer(self, ask: ChangeAsk, deadline_ms: int) -> ChangeOutcome:
        pending = _PendingRequest()
        self._pending[ask.sequence] = pending
        try:
            with anyio.move_on_after((deadline_ms - now_ms()) / 1000):
                await pending.done.wait()
        finally:
            del self._pending[ask.sequence]
        answer = pending.answer
        if answer is None or answer.uncertain:
            return Uncertain()
        if answer.index is not None:
            return Committed(answer.index, b"")
        if answer.reason is not None:
            return ChangeRefused(answer.reason)
        return NotAccepted(self._member.leader_name())

    def receive(self, sender: str, message: ChangeAsk | ChangeAnswer) -> None:
        """Handles another member's request or answer."""
        if isinstance(message, ChangeAsk):
            if self._task_group is not None:
                self._task_group.start_soon(self._serve, sender, message)
            return
        pending = self._pending.get(message.sequence)
        node = self._member.node
        if pending is not None and node is not None and message.life == node.run_id:
            pending.answer = message
            pending.done.set()

    async def _serve(self, sender: str, ask: ChangeAsk) -> None:
        address = Address(ask.ip, ask.port) if ask.ip else None
        outcome: ChangeOutcome = NotAccepted(None)
        node = self._member.node
        if node is not None and node.leadership is not None:
            deadline_ms = now_ms() + SERVE_TIMEOUT_MS
            if self.waits_for_replacement and _is_own_removal(node, sender, ask):
                outcome = await self._replace(node, sender, deadline_ms)
            else:
                outcome = await self._make_change(
                    ask.kind, ask.name, ask.zone, address, deadline_ms
                )
        answer = ChangeAnswer(
            ask.life,
            ask.sequence,
            outcome.index if isinstance(outcome, Committed) else None,
            outcome.reason if isinstance(outcome, ChangeRefused) else None,
            isinstance(outcome, Uncertain),
        )
        self._member.peers.send(sender, answer)

    async def _replace(
        self, node: Node, disk_id: str, deadline_ms: int
    ) -> ChangeOutcome:
        """Waits until a voter that stops has been replaced and removed."""
        leaving_ids = self._member.leaving_ids
        leaving_ids.add(disk_id)
        try:
            while node.leadership is not None and now_ms() < deadline_ms:
                is_member = quorum.member_by_id(node.group, disk_id) is not None
                if not is_member and node.commit_index >= node.group_index:
                    return Committed(node.group_index, b"")
                await anyio.sleep(RETRY_MS / 1000)
        finally:
            leaving_ids.discard(disk_id)
        return Uncertain()

    async def _make_change(
        self,
        kind: ChangeKind,
        name: str,
        zone: str,
        address: Address | None,
        deadline_ms: int,
    ) -> ChangeOutcome:
        if kind is ChangeKind.TRANSFER:
            return await self._transfer(name or None, deadline_ms)
        learner = None
        if kind is ChangeKind.ADD_LEARNER:
            if address is None:
                return ChangeRefused("a new member needs an address")
            probed = await self._probe_learner(name, zone, address)
            if isinstance(probed, ChangeRefused):
                return probed
            learner = probed
        node = self._member.node
        assert node is not None
        begun_ms = now_ms()
        while True:
            proposed = membership.propose_change(node, kind, name, learner, now_ms())
            if isinstance(proposed, int):
                return await self._wait_until_applied(proposed, deadline_ms)
            limit_ms = deadline_ms
            if proposed.retry_limit_ms is not None:
                limit_ms = min(limit_ms, begun_ms + proposed.retry_limit_ms)
            if not proposed.is_temporary or now_ms() >= limit_ms:
                return proposed
            await anyio.sleep(RETRY_MS / 1000)

    async def _wait_until_applied(self, index: int, deadline_ms: int) -> ChangeOutcome:
        node = self._member.node
        assert node is not None
        done = anyio.Event()
        outcomes: list[tuple[int, bytes] | None] = []

        def finish(outcome: tuple[int, bytes] | None) -> None:
            outcomes.append(outcome)
            done.set()

        self._member.proposer.notify_when_applied(index, node.term, finish)
        self._member.process_outputs()
        with anyio.move_on_after((deadline_ms - now_ms()) / 1000):
            await done.wait()
        if not outcomes:
            return Uncertain()
        return NotAccepted(None) if outcomes[0] is None else Committed(*outcomes[0])

    async def _probe_learner(
        self, name: str, zone: str, address: Address
    ) -> GroupMember | ChangeRefused:
        hello = await self._member.peers.probe(address)
        if hello is None:
            return ChangeRefused(f"no member of this deployment answers at {address}")
        if hello.name != name:
            return ChangeRefused(f"{hello.name} answers at {address}, not {name}")
        return GroupMember(name, hello.disk_id, zone, address.ip, address.port, False)

    async def _transfer(self, name: str | None, deadline_ms: int) -> ChangeOutcome:
        node = self._member.node
        assert node is not None
        refusal = membership.start_transfer(
            node, name, now_ms(), self._member.leaving_ids
        )
        if refusal is not None:
            return refusal
        self._member.process_outputs()
        term = node.term
        while now_ms() < deadline_ms:
            if node.term > term and node.leader_id is not None:
                return Committed(node.commit_index, b"")
            if node.leadership is not None and node.leadership.transfer_to is None:
                return ChangeRefused("the member did not catch up in time")
            await anyio.sleep(RETRY_MS / 1000)
        return Uncertain()


def _is_own_removal(node: Node, sender: str, ask: ChangeAsk) -> bool:
    """Returns whether a member asks to be removed itself."""
    own = quorum.member_by_id(node.group, sender)
    return ask.kind is ChangeKind.REMOVE and own is not None and own.name == ask.name


class _PendingRequest:
    """A request sent to the leader that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: ChangeAnswer | None = None


async def form_group(member: Member) -> None:
    """Forms the group at the first start, or leaves this member to be admitted.

    The initial member whose name sorts first appends the first log entry, once all
    initial members have reported empty disks; the others receive it by replication.
    If each member wrote a first entry of its own, one that lost its disk in between
    could lead to two different first entries.
    """
    node = member.node
    settings = member.settings
    assert node is not None
    if node.group.members:
        return
    initial = settings.initial_members
    names = sorted(voter.name for voter in initial)
    if not settings.bootstrap or not names or names[0] != settings.name:
        events.log(events.Event.WAITING_FOR_ADMISSION, disk_id=node.own_id)
        return
    hellos: dict[str, PeerHello] = {}
    while len(hellos) < len(initial) - 1:
        for peer in initial:
            if peer.name == settings.name:
                continue
            hello = await member.peers.probe(peer.address)
            if hello is not None and hello.formed:
                events.log(events.Event.WAITING_FOR_ADMISSION, disk_id=node.own_id)
                return
            if hello is not None and hello.name == peer.name:
                hellos[peer.name] = hello
            else:
                hellos.pop(peer.name, None)
        if len(hellos) < len(initial) - 1:
            await anyio.sleep(BOOTSTRAP_RETRY_MS / 1000)
    if node.group.members:
        # Another member has admitted this one to a group in the meantime.
        return
    members = tuple(
        GroupMember(
            voter.name,
            node.own_id if voter.name == settings.name else hellos[voter.name].disk_id,
            voter.zone,
            voter.address.ip,
            voter.address.port,
            True,
        )
        for voter in initial
    )
    consensus.form(node, Group(members), now_ms())
    events.log(events.Event.GROUP_FORMED, members=names)
    member.process_outputs()
