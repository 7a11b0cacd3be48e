"""Forming the group, and changes of it, on behalf of `member`."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from cassiapitch import consensus, events, membership
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

RETRY_MS = 50
BOOTSTRAP_RETRY_MS = 200


class MembershipChanges:
    """Requests for changes, of this member and of others while it leads."""

    def __init__(self, member: Member) -> None:
        self._member = member
        self._group: anyio.abc.TaskGroup | None = None
        self._numbers = itertools.count(1)
        self._asked: dict[int, _Asked] = {}

    async def run(self) -> None:
        """Serves other members' requests until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            await anyio.sleep_forever()

    async def request(
        self,
        kind: ChangeKind,
        name: str,
        zone: str,
        address: Address | None,
        timeout_ms: int,
    ) -> ChangeOutcome:
        """Makes a change here or has the leader make it."""
        deadline_ms = now_ms() + timeout_ms
        while True:
            node = self._member.node
            if node is not None and node.leadership is not None:
                return await self._make(kind, name, zone, address, deadline_ms)
            if node is not None and node.leader_id is not None:
                ask = ChangeAsk(
                    node.run_id,
                    next(self._numbers),
                    kind,
                    name,
                    zone,
                    "" if address is None else address.ip,
                    0 if address is None else address.port,
                )
                if self._member.peers.send(node.leader_id, ask):
                    outcome = await self._answer_to(ask, deadline_ms)
                    if not isinstance(outcome, NotAccepted):
                        return outcome
            if now_ms() >= deadline_ms:
                return NotAccepted(self._member.leader_name())
            await anyio.sleep(RETRY_MS / 1000)

    async def _answer_to(self, ask: ChangeAsk, deadline_ms: int) -> ChangeOutcome:
        asked = _Asked()
        self._asked[ask.sequence] = asked
        try:
            with anyio.move_on_after((deadline_ms - now_ms()) / 1000):
                await asked.done.wait()
        finally:
            del self._asked[ask.sequence]
        answer = asked.answer
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
            if self._group is not None:
                self._group.start_soon(self._serve, sender, message)
            return
        asked = self._asked.get(message.sequence)
        node = self._member.node
        if asked is not None and node is not None and message.life == node.run_id:
            asked.answer = message
            asked.done.set()

    async def _serve(self, sender: str, ask: ChangeAsk) -> None:
        address = Address(ask.ip, ask.port) if ask.ip else None
        outcome: ChangeOutcome = NotAccepted(None)
        node = self._member.node
        if node is not None and node.leadership is not None:
            deadline_ms = now_ms() + 5_000
            outcome = await self._make(
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

    async def _make(
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
            assert address is not None
            found = await self._learner(name, zone, address)
            if isinstance(found, ChangeRefused):
                return found
            learner = found
        node = self._member.node
        assert node is not None
        while True:
            index = membership.propose_change(node, kind, name, learner, now_ms())
            if isinstance(index, int):
                return await self._committed(index, deadline_ms)
            if not index.is_temporary or now_ms() >= deadline_ms:
                return index
            await anyio.sleep(RETRY_MS / 1000)

    async def _committed(self, index: int, deadline_ms: int) -> ChangeOutcome:
        node = self._member.node
        assert node is not None
        done = anyio.Event()
        ends: list[tuple[int, bytes] | None] = []

        def finish(end: tuple[int, bytes] | None) -> None:
            ends.append(end)
            done.set()

        self._member.proposer.note_appended(index, node.term, finish)
        self._member.process_outputs()
        with anyio.move_on_after((deadline_ms - now_ms()) / 1000):
            await done.wait()
        if not ends:
            return Uncertain()
        return NotAccepted(None) if ends[0] is None else Committed(*ends[0])

    async def _learner(
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
        refused = membership.start_transfer(node, name, now_ms())
        if refused is not None:
            return refused
        self._member.process_outputs()
        term = node.term
        while now_ms() < deadline_ms:
            if node.term > term and node.leader_id is not None:
                return Committed(node.commit_index, b"")
            if node.leadership is not None and node.leadership.transfer_to is None:
                return ChangeRefused("the member did not catch up in time")
            await anyio.sleep(RETRY_MS / 1000)
        return Uncertain()


class _Asked:
    """A request that waits for the leader's answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: ChangeAnswer | None = None


async def form_group(member: Member) -> None:
    """Forms the group at the first start, or waits to be admitted.

    Only the initial member with the first name writes the first record, once all
    initial members have said that their disks are empty, and the others receive it
    from the log. If each wrote a record of its own, a member that loses its disk in
    between could leave two different first records behind.
    """
    node = member.node
    settings = member.settings
    assert node is not None
    if node.group.members:
        return
    initial = settings.initial_members
    names = sorted(one.name for one in initial)
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
        # Admitted to a group in the meantime.
        return
    members = tuple(
        GroupMember(
            one.name,
            node.own_id if one.name == settings.name else hellos[one.name].disk_id,
            one.zone,
            one.address.ip,
            one.address.port,
            True,
        )
        for one in initial
    )
    consensus.form(node, Group(members), now_ms())
    events.log(events.Event.GROUP_FORMED, members=names)
    member.process_outputs()
