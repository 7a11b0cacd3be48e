"""Submits proposals in batches, to this member's log or to the leader."""

from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel

from cassiapitch import consensus
from cassiapitch.node import Node
from cassiapitch.proposals import (
    AppendedProposals,
    Committed,
    ForwardReplies,
    NotAccepted,
    Proposal,
    ProposalQueue,
    Uncertain,
)
from cassiapitch.raftmessages import Entry, ForwardAnswer, ForwardAsk, ForwardItem
from cassiapitch.timers import now_ms

# Limit of this member's own proposals that have no outcome yet, queued or submitted.
PENDING_LIMIT_COUNT = 16_384

ProposeOutcome = Committed | NotAccepted | Uncertain


class Proposer:
    """Submits the proposals of this member, and of others while it leads."""

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
            process_outputs: Carries out what the Raft rules have queued.
            all_synced: Returns an awaitable that ends once every write is synced.
            leader_name: Returns the leader's name, or None if it isn't known.
        """
        self._send = send
        self._process_outputs = process_outputs
        self._all_synced = all_synced
        self._leader_name = leader_name
        self._waiting = ProposalQueue()
        self._to_retry: list[Proposal] = []
        self._appended = AppendedProposals()
        self._forwarded: dict[int, Proposal] = {}
        self._last_sequence = 0
        self._replies = ForwardReplies()
        self._wake = anyio.Event()
        self._pending_count = 0

    async def propose(self, command: bytes, timeout_ms: int) -> ProposeOutcome:
        """Queues a command and waits for its outcome."""
        done = anyio.Event()
        outcomes: list[tuple[int, bytes] | None] = []

        def finish(outcome: tuple[int, bytes] | None) -> None:
            outcomes.append(outcome)
            done.set()

        proposal = Proposal(command, finish)
        is_full = self._pending_count >= PENDING_LIMIT_COUNT
        if is_full or not self._waiting.add(proposal):
            return NotAccepted(self._leader_name())
        self._wake.set()
        self._pending_count += 1
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                await done.wait()
        finally:
            proposal.is_abandoned = True
            self._pending_count -= 1
        if outcomes and outcomes[0] is not None:
            return Committed(*outcomes[0])
        if proposal.may_be_applied and not outcomes:
            return Uncertain()
        return NotAccepted(self._leader_name())

    async def run(self, node: Node) -> None:
        """Submits queued proposals until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while len(self._waiting) > 0 and self._submit_batch(node):
                # Proposals that arrive during a sync are written next as one batch.
                await self._all_synced()
                await anyio.lowlevel.checkpoint()

    def wake(self) -> None:
        """Tries to submit again, for instance because there is a new leader."""
        self._wake.set()

    def tick(self) -> None:
        """Requeues proposals that another member rejected and drops abandoned ones."""
        while self._to_retry and self._waiting.add(self._to_retry[-1]):
            self._to_retry.pop()
        for sequence, proposal in list(self._forwarded.items()):
            if proposal.is_abandoned:
                del self._forwarded[sequence]
        if len(self._waiting) > 0:
            self._wake.set()

    def _submit_batch(self, node: Node) -> bool:
        batch = self._waiting.next_batch()
        if node.leadership is not None:
            return self._append(node, batch)
        own_proposals = [item for item in batch if not item.forwarded]
        for proposal in batch:
            if proposal.forwarded:
                # Forwarding it again could send it between members in a loop.
                proposal.finish(None)
        self.send_replies()
        if not self._forward(node, own_proposals):
            self._waiting.requeue(own_proposals)
            return False
        return True

    def _append(self, node: Node, batch: list[Proposal]) -> bool:
        commands = [item.command for item in batch]
        first_index = consensus.propose(node, commands, now_ms()) if batch else None
        if first_index is None:
            self._waiting.requeue(batch)
            return False
        for proposal in batch:
            proposal.may_be_applied = True
        self._appended.add(first_index, node.term, batch)
        self._process_outputs()
        return True

    def _forward(self, node: Node, batch: list[Proposal]) -> bool:
        if not batch:
            return True
        if node.leader_id is None:
            return False
        items = []
        for proposal in batch:
            self._last_sequence += 1
            items.append(ForwardItem(self._last_sequence, proposal.command))
        if not self._send(node.leader_id, ForwardAsk(node.run_id, tuple(items))):
            return False
        for item, proposal in zip(items, batch, strict=True):
            proposal.may_be_applied = True
            self._forwarded[item.sequence] = proposal
        return True

    def on_forward_ask(self, sender: str, ask: ForwardAsk) -> None:
        """Queues proposals that another member forwards."""
        for item in ask.items:

            def finish(
                outcome: tuple[int, bytes] | None, sequence: int = item.sequence
            ) -> None:
                self._replies.add(sender, ask.life, sequence, outcome)

            proposal = Proposal(item.command, finish, forwarded=True)
            if not self._waiting.add(proposal):
                finish(None)
        self.send_replies()
        self._wake.set()

    def on_forward_answer(self, node: Node, answer: ForwardAnswer) -> None:
        """Ends proposals that were forwarded to the leader."""
        if answer.life != node.run_id:
            return
        for result in answer.results:
            proposal = self._forwarded.pop(result.sequence, None)
            if proposal is None:
                continue
            if result.index is not None:
                proposal.finish((result.index, result.result))
            elif not proposal.is_abandoned:
                # It certainly won't be applied, so it may go to the next leader.
                proposal.may_be_applied = False
                self._to_retry.append(proposal)

    def notify_when_applied(
        self, index: int, term: int, finish: Callable[[tuple[int, bytes] | None], None]
    ) -> None:
        """Calls `finish` once the entry at an index is applied or replaced."""
        self._appended.add(index, term, [Proposal(b"", finish)])

    def on_applied(self, entry: Entry, result: bytes) -> None:
        """Ends the proposal at an entry's index."""
        self._appended.on_applied(entry.index, entry.term, result)

    def discard_through(self, index: int) -> None:
        """Removes proposals that a snapshot covers, since their results are unknown."""
        self._appended.discard_through(index)

    def send_replies(self) -> None:
        """Sends other members the results of their proposals."""
        for sender, run_id, results in self._replies.pop_all():
            self._send(sender, ForwardAnswer(run_id, results))
