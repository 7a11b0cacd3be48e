"""Hands proposals to this member's log or to the leader, in batches."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel

from cassiapitch import consensus
from cassiapitch.node import Node
from cassiapitch.proposals import (
    Appended,
    Committed,
    NotAccepted,
    Proposal,
    Replies,
    Uncertain,
    Waiting,
)
from cassiapitch.raftmessages import Entry, ForwardAnswer, ForwardAsk, ForwardItem
from cassiapitch.timers import now_ms

# Proposals of this member that are not ended, wherever they are.
OPEN_LIMIT_COUNT = 16_384

ProposeOutcome = Committed | NotAccepted | Uncertain


class Proposer:
    """Proposals of this member, and of others while it leads."""

    def __init__(
        self,
        send: Callable[[str, Any], bool],
        process_outputs: Callable[[], None],
        all_synced: Callable[[], Any],
        leader_name: Callable[[], str | None],
    ) -> None:
        """Prepares the queues.

        Args:
            send: Sends a message to a member; False if it was dropped at once.
            process_outputs: Carries out the writes and sends that the Raft rules queued.
            all_synced: Returns an awaitable that ends once every write is synced.
            leader_name: Returns the leader's name, if known.
        """
        self._send = send
        self._process_outputs = process_outputs
        self._all_synced = all_synced
        self._leader_name = leader_name
        self._waiting = Waiting()
        self._retry: list[Proposal] = []
        self._appended = Appended()
        self._forwarded: dict[int, Proposal] = {}
        self._forward_number = 0
        self._replies = Replies()
        self._wake = anyio.Event()
        self._open_count = 0

    async def propose(self, command: bytes, timeout_ms: int) -> ProposeOutcome:
        """Queues a command and waits for its end."""
        done = anyio.Event()
        ends: list[tuple[int, bytes] | None] = []

        def finish(end: tuple[int, bytes] | None) -> None:
            ends.append(end)
            done.set()

        proposal = Proposal(command, finish)
        is_full = self._open_count >= OPEN_LIMIT_COUNT
        if is_full or not self._waiting.add(proposal):
            return NotAccepted(self._leader_name())
        self._wake.set()
        self._open_count += 1
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await done.wait()
        finally:
            proposal.is_abandoned = True
            self._open_count -= 1
        if ends and ends[0] is not None:
            return Committed(*ends[0])
        if proposal.is_handed_over and not ends:
            return Uncertain()
        return NotAccepted(self._leader_name())

    async def run(self, node: Node) -> None:
        """Hands over what waits, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while len(self._waiting) > 0 and self._hand_over(node):
                # What arrives during a sync goes into the next write as one batch.
                await self._all_synced()
                await anyio.lowlevel.checkpoint()

    def wake(self) -> None:
        """Tries again, for instance since there is a new leader."""
        self._wake.set()

    def tick(self) -> None:
        """Takes up what another member has rejected and drops what was given up."""
        while self._retry and self._waiting.add(self._retry[-1]):
            self._retry.pop()
        for sequence, proposal in list(self._forwarded.items()):
            if proposal.is_abandoned:
                del self._forwarded[sequence]
        if len(self._waiting) > 0:
            self._wake.set()

    def _hand_over(self, node: Node) -> bool:
        batch = self._waiting.take()
        if node.leadership is not None:
            return self._append(node, batch)
        own = [one for one in batch if not one.forwarded]
        for proposal in batch:
            if proposal.forwarded:
                # Passing it on again could go round in circles.
                proposal.finish(None)
        self.send_replies()
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
        self._appended.add(first, node.term, batch)
        self._process_outputs()
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
        if not self._send(node.leader_id, ForwardAsk(node.run_id, tuple(items))):
            return False
        for item, proposal in zip(items, batch, strict=True):
            proposal.is_handed_over = True
            self._forwarded[item.sequence] = proposal
        return True

    def on_forward_ask(self, sender: str, ask: ForwardAsk) -> None:
        """Takes proposals that another member passes on."""
        for item in ask.items:

            def finish(
                end: tuple[int, bytes] | None, sequence: int = item.sequence
            ) -> None:
                self._replies.add(sender, ask.life, sequence, end)

            proposal = Proposal(item.command, finish, forwarded=True)
            if not self._waiting.add(proposal):
                finish(None)
        self.send_replies()
        self._wake.set()

    def on_forward_answer(self, node: Node, answer: ForwardAnswer) -> None:
        """Ends proposals that were passed on to the leader."""
        if answer.life != node.run_id:
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

    def note_appended(
        self, index: int, term: int, finish: Callable[[tuple[int, bytes] | None], None]
    ) -> None:
        """Has `finish` called once the entry at an index is applied or replaced."""
        self._appended.add(index, term, [Proposal(b"", finish)])

    def applied(self, entry: Entry, result: bytes) -> None:
        """Ends the proposal at an entry's index."""
        self._appended.applied(entry.index, entry.term, result)

    def forget_to(self, index: int) -> None:
        """Forgets proposals that a snapshot has covered."""
        self._appended.forget_to(index)

    def send_replies(self) -> None:
        """Sends the results of other members' proposals."""
        for sender, run_id, results in self._replies.take():
            self._send(sender, ForwardAnswer(run_id, results))
