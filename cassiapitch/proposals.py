"""Proposals and reads that wait at one member, and their outcomes."""

import collections
import dataclasses
from collections.abc import Callable

import anyio

from cassiapitch.raftmessages import ForwardResult

WAITING_LIMIT_COUNT = 8_192
WAITING_LIMIT_BYTES = 32 * 1024 * 1024
BATCH_LIMIT_COUNT = 1_024
BATCH_LIMIT_BYTES = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Outcome: the command is committed, and applied with `result`."""

    index: int
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """Outcome: the command certainly won't be applied.

    Attributes:
        leader: The leader's name, or None if it isn't known.
    """

    leader: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """Outcome: the command may have been applied or may still be."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """Outcome: all that was committed before the call is at `index` or below it.

    A quorum confirmed this after the call.
    """

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUnavailable:
    """Outcome: no quorum confirmed the read in time."""


@dataclasses.dataclass(slots=True, eq=False)
class Proposal:
    """A command that is to be committed.

    Attributes:
        command: The command.
        finish: Called once with the outcome: (index, result), or None if the command
            certainly won't be applied.
        forwarded: Whether another member forwarded it to this one.
        may_be_applied: Whether it is in a log or on its way to the leader, so that
            it may be applied.
        is_abandoned: Whether its caller no longer waits for it.
    """

    command: bytes
    finish: Callable[[tuple[int, bytes] | None], None]
    forwarded: bool = False
    may_be_applied: bool = False
    is_abandoned: bool = False


class ProposalQueue:
    """Proposals that are neither appended to the log nor sent to the leader yet."""

    def __init__(self) -> None:
        self._queue: collections.deque[Proposal] = collections.deque()
        self._size_bytes = 0

    def add(self, proposal: Proposal) -> bool:
        """Queues a proposal; returns False if the queue is full."""
        size_bytes = self._size_bytes + len(proposal.command)
        if len(self._queue) >= WAITING_LIMIT_COUNT or size_bytes > WAITING_LIMIT_BYTES:
            return False
        self._queue.append(proposal)
        self._size_bytes = size_bytes
        return True

    def next_batch(self) -> list[Proposal]:
        """Removes and returns the next batch, without abandoned proposals."""
        batch: list[Proposal] = []
        size_bytes = 0
        while (
            self._queue
            and len(batch) < BATCH_LIMIT_COUNT
            and size_bytes < BATCH_LIMIT_BYTES
        ):
            proposal = self._queue.popleft()
            self._size_bytes -= len(proposal.command)
            if not proposal.is_abandoned:
                size_bytes += len(proposal.command)
                batch.append(proposal)
        return batch

    def requeue(self, batch: list[Proposal]) -> None:
        """Puts a batch that could not be submitted back at the front."""
        self._queue.extendleft(reversed(batch))
        self._size_bytes += sum(len(proposal.command) for proposal in batch)

    def __len__(self) -> int:
        return len(self._queue)


class AppendedProposals:
    """Proposals in this member's log, by index, until the entry there is applied."""

    def __init__(self) -> None:
        self._by_index: dict[int, tuple[int, Proposal]] = {}

    def add(self, first_index: int, term: int, batch: list[Proposal]) -> None:
        """Adds a batch that this member appended as the leader of `term`."""
        for offset, proposal in enumerate(batch):
            self._by_index[first_index + offset] = (term, proposal)

    def on_applied(self, index: int, term: int, result: bytes) -> None:
        """Ends the proposal at an index.

        It has failed if the applied entry has another term, and so replaced it.
        """
        appended = self._by_index.pop(index, None)
        if appended is not None:
            own_term, proposal = appended
            proposal.finish((index, result) if own_term == term else None)

    def discard_through(self, index: int) -> None:
        """Removes proposals that a snapshot covers, since their results are unknown."""
        for covered_index in [key for key in self._by_index if key <= index]:
            del self._by_index[covered_index]


class ForwardReplies:
    """Results of forwarded proposals, collected by member to send them together."""

    def __init__(self) -> None:
        self._results: dict[tuple[str, int], list[ForwardResult]] = {}

    def add(
        self, sender: str, run_id: int, sequence: int, outcome: tuple[int, bytes] | None
    ) -> None:
        """Adds the outcome of a forwarded proposal."""
        index, result = (None, b"") if outcome is None else outcome
        results = self._results.setdefault((sender, run_id), [])
        results.append(ForwardResult(sequence, index, result))

    def pop_all(self) -> list[tuple[str, int, tuple[ForwardResult, ...]]]:
        """Removes and returns the collected results by member and run."""
        replies = [
            (sender, run_id, tuple(results))
            for (sender, run_id), results in self._results.items()
        ]
        self._results = {}
        return replies


@dataclasses.dataclass(slots=True, eq=False)
class ReadRequest:
    """A read of this member.

    Attributes:
        done: Set once the read has ended.
        index: The index that a quorum confirmed, or None.
    """

    done: anyio.Event
    index: int | None = None


class ReadBatches:
    """Reads of this member in batches; a new one starts when the last one has ended."""

    # After this time without a confirmation, a new batch starts all the same. Its
    # confirmation holds for the older batches too.
    RETRY_MS = 150

    def __init__(self) -> None:
        self.waiting: list[ReadRequest] = []
        self._batches: dict[int, list[ReadRequest]] = {}
        self._last_token = 0
        self._batch_started_ms: int | None = None
        self._confirmed: list[ReadRequest] = []

    def next_token(self, now_ms: int) -> int | None:
        """Starts a batch and returns its token, or None if none can start now."""
        is_open = self._batch_started_ms is not None and (
            now_ms - self._batch_started_ms < self.RETRY_MS
        )
        if is_open or not (self.waiting or self._batches):
            return None
        self._last_token += 1
        self._batch_started_ms = now_ms
        self._batches[self._last_token] = self.waiting
        self.waiting = []
        return self._last_token

    def on_confirmed(self, token: int, index: int | None) -> None:
        """Confirms all batches up to `token`, unless the read failed.

        After a failed read (`index` is None) the batches wait for the next retry.
        """
        if index is None:
            return
        if token == self._last_token:
            self._batch_started_ms = None
        for confirmed_token in [key for key in self._batches if key <= token]:
            for read in self._batches.pop(confirmed_token):
                read.index = index
                self._confirmed.append(read)

    def on_applied(self, index: int) -> None:
        """Ends the confirmed reads whose index this member has applied."""
        waiting = self._confirmed
        self._confirmed = []
        for read in waiting:
            if read.index is not None and read.index <= index:
                read.done.set()
            else:
                self._confirmed.append(read)

    def abandon(self, read: ReadRequest) -> None:
        """Removes a read whose caller no longer waits."""
        for reads in (self.waiting, self._confirmed, *self._batches.values()):
            if read in reads:
                reads.remove(read)
        self._batches = {
            number: reads for number, reads in self._batches.items() if reads
        }
