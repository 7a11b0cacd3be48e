"""Proposals and reads that wait at one member, and how each one ends."""

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
    """The command is committed and applied here."""

    index: int
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class NotAccepted:
    """The command certainly won't be applied; `leader` is a name, if known."""

    leader: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Uncertain:
    """The command may have been applied, or may be later."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """A quorum confirmed after the call that nothing beyond `index` was known."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadUnavailable:
    """No quorum confirmed anything in time."""


@dataclasses.dataclass(slots=True, eq=False)
class Proposal:
    """A command on its way.

    Attributes:
        command: The command.
        finish: Called once with the end: (index, result), or None if the command
            certainly won't be applied.
        forwarded: Whether another member passed it on to this one.
        is_handed_over: Whether it may be applied from now on.
        is_abandoned: Whether nobody waits for it any more.
    """

    command: bytes
    finish: Callable[[tuple[int, bytes] | None], None]
    forwarded: bool = False
    is_handed_over: bool = False
    is_abandoned: bool = False


class Waiting:
    """Proposals that no log and no other member has received yet."""

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

    def take(self) -> list[Proposal]:
        """Returns the next batch."""
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

    def give_back(self, batch: list[Proposal]) -> None:
        """Puts a batch that could not be handed over back to the front."""
        self._queue.extendleft(reversed(batch))
        self._size_bytes += sum(len(one.command) for one in batch)

    def __len__(self) -> int:
        return len(self._queue)


class Appended:
    """Proposals in this member's log, by index, until an entry there is applied."""

    def __init__(self) -> None:
        self._by_index: dict[int, tuple[int, Proposal]] = {}

    def add(self, first_index: int, term: int, batch: list[Proposal]) -> None:
        """Notes a batch that was appended by this member as leader of `term`."""
        for offset, proposal in enumerate(batch):
            self._by_index[first_index + offset] = (term, proposal)

    def applied(self, index: int, term: int, result: bytes) -> None:
        """Ends the proposal at an index: done, or replaced by another entry."""
        found = self._by_index.pop(index, None)
        if found is not None:
            own_term, proposal = found
            proposal.finish((index, result) if own_term == term else None)

    def forget_to(self, index: int) -> None:
        """Forgets what a snapshot has covered: nobody knows its results."""
        for known in [one for one in self._by_index if one <= index]:
            del self._by_index[known]


class Replies:
    """Results of forwarded proposals, collected into one message each."""

    def __init__(self) -> None:
        self._results: dict[tuple[str, int], list[ForwardResult]] = {}

    def add(
        self, sender: str, run_id: int, sequence: int, end: tuple[int, bytes] | None
    ) -> None:
        """Notes how a forwarded proposal ended."""
        index, result = (None, b"") if end is None else end
        found = self._results.setdefault((sender, run_id), [])
        found.append(ForwardResult(sequence, index, result))

    def take(self) -> list[tuple[str, int, tuple[ForwardResult, ...]]]:
        """Returns the collected results by member and run."""
        taken = [
            (sender, run_id, tuple(results))
            for (sender, run_id), results in self._results.items()
        ]
        self._results = {}
        return taken


@dataclasses.dataclass(slots=True, eq=False)
class ReadWait:
    """A read; `index` is what a quorum confirmed."""

    done: anyio.Event
    index: int | None = None


class Reads:
    """Reads of this member, batched: a new batch starts when the last one ends."""

    # An unanswered batch is asked again with the reads that came after it.
    RETRY_MS = 150

    def __init__(self) -> None:
        self.waiting: list[ReadWait] = []
        self._batches: dict[int, list[ReadWait]] = {}
        self._token = 0
        self._asked_ms: int | None = None
        self._confirmed: list[ReadWait] = []

    def next_token(self, now_ms: int) -> int | None:
        """Starts a batch if reads wait and none is open."""
        is_open = self._asked_ms is not None and (
            now_ms - self._asked_ms < self.RETRY_MS
        )
        if is_open or not (self.waiting or self._batches):
            return None
        self._token += 1
        self._asked_ms = now_ms
        self._batches[self._token] = self.waiting
        self.waiting = []
        return self._token

    def confirmed(self, token: int, index: int | None) -> None:
        """Ends all batches up to `token`, or has them asked again."""
        if index is None:
            return
        if token == self._token:
            self._asked_ms = None
        for number in [one for one in self._batches if one <= token]:
            for read in self._batches.pop(number):
                read.index = index
                self._confirmed.append(read)

    def applied(self, index: int) -> None:
        """Ends the confirmed reads that this member has caught up with."""
        waiting = self._confirmed
        self._confirmed = []
        for read in waiting:
            if read.index is not None and read.index <= index:
                read.done.set()
            else:
                self._confirmed.append(read)

    def abandon(self, read: ReadWait) -> None:
        """Forgets a read that nobody waits for."""
        for reads in (self.waiting, self._confirmed, *self._batches.values()):
            if read in reads:
                reads.remove(read)
        self._batches = {
            number: reads for number, reads in self._batches.items() if reads
        }
