"""Applies committed entries to a member's state machine, and takes its snapshots."""

from collections.abc import Callable

import anyio
import anyio.lowlevel

from cassiapitch import consensus, events, snapshots
from cassiapitch.membertypes import StateMachine
from cassiapitch.node import Node
from cassiapitch.proposer import Proposer
from cassiapitch.raftmessages import Entry, EntryKind

BATCH_COUNT = 256
SNAPSHOT_BYTES = 8 * 1024 * 1024
SNAPSHOT_COUNT = 8_192


class Applier:
    """The state machine of a member, and what was applied to it."""

    def __init__(
        self,
        state_machine: StateMachine,
        proposer: Proposer,
        on_applied: Callable[[int], None],
        on_snapshot: Callable[[], None],
        *,
        snapshot_count: int,
        retained_count: int,
    ) -> None:
        """Prepares an applier; `run` applies.

        Args:
            state_machine: The state machine.
            proposer: Gets the results of the commands.
            on_applied: Called with the highest applied index after each batch, even
                if the batch held no command or was a snapshot.
            on_snapshot: Called after a snapshot was taken, which is to be written.
            snapshot_count: Number of applied entries after which a snapshot is taken.
            retained_count: Number of entries before a snapshot that stay in memory.
        """
        self._state_machine = state_machine
        self._proposer = proposer
        self._on_applied = on_applied
        self._on_snapshot = on_snapshot
        self._snapshot_count = snapshot_count
        self._retained_count = retained_count
        self._snapshot_index = 0
        self._wake = anyio.Event()

    def wake(self) -> None:
        """Lets `run` apply what is committed by now."""
        self._wake.set()

    async def run(self, node: Node) -> None:
        """Applies what is committed until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._apply_batch(node):
                await anyio.lowlevel.checkpoint()

    def _apply_batch(self, node: Node) -> bool:
        work = consensus.pop_applicable(node, BATCH_COUNT)
        if isinstance(work, consensus.Restore):
            self._state_machine.restore(work.snapshot.data)
            self._proposer.discard_through(work.snapshot.index)
            self._snapshot_index = work.snapshot.index
            index = work.snapshot.index
            events.log(events.Event.SNAPSHOT_INSTALLED, index=index)
        elif work:
            for entry in work:
                self._apply(entry)
        else:
            return False
        self._on_applied(node.applied_index)
        self._proposer.send_replies()
        self._take_snapshot(node)
        return True

    def _apply(self, entry: Entry) -> None:
        result = b""
        if entry.kind is EntryKind.COMMAND:
            result = self._state_machine.apply(entry.index, entry.time_ms, entry.data)
        self._proposer.on_applied(entry, result)

    def _take_snapshot(self, node: Node) -> None:
        count = node.applied_index - self._snapshot_index
        # The limit grows with the state: otherwise a state that is larger than the
        # limit would be written again after every few entries.
        state_bytes = 0 if node.snapshot is None else len(node.snapshot.blob)
        limit_bytes = max(SNAPSHOT_BYTES, state_bytes)
        is_large = count > 1 and node.log.size_bytes > limit_bytes
        if count < self._snapshot_count and not is_large:
            return
        self._snapshot_index = node.applied_index
        retained_count = 0 if is_large else self._retained_count
        snapshots.take(node, self._state_machine.snapshot(), retained_count)
        events.log(events.Event.SNAPSHOT_TAKEN, index=node.applied_index)
        self._on_snapshot()
