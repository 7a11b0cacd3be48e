"""Raft state of one member, and the operations that change it.

The rules, which work on this state, do no I/O and read no clock: each takes an input
and the current time. What the caller has to carry out is collected in `writes`,
`outgoing` and `finished_reads`. Writes are numbered; a message is sent only once the
write that it depends on is synced.
"""

import collections
import dataclasses
import enum
import random
from typing import Any

from cassiapitch import codec
from cassiapitch.raftlog import RaftLog
from cassiapitch.raftmessages import Entry, EntryKind, Group, ReadAnswer, Snapshot

HEARTBEAT_MS = 100
ELECTION_MIN_MS = 500
ELECTION_MAX_MS = 800
# Followers reject votes for 500 ms after a heartbeat. The lease ends 100 ms before
# that, which allows for clocks whose speeds differ by a fifth.
LEASE_MS = 400
# A candidate repeats its first failed election sooner than the election timeout, since
# there is no leader meanwhile. Later retries wait for the whole timeout, so that
# members with slow disks have the time to sync their votes.
RETRY_MIN_MS = 150
RETRY_MAX_MS = 300
# A leader that no quorum has answered for this long steps down.
STEP_DOWN_MS = 1_000


NO_GROUP = Group(())


class Role(enum.StrEnum):
    """Role of a member in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """A write of the current term and the vote given in it."""

    term: int
    vote: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """A write of entries, which replace the log from the first one's index on."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """A write of an encoded snapshot; with `reset` it replaces the whole log."""

    index: int
    term: int
    blob: bytes
    reset: bool


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingMessage:
    """A message to be sent once write number `after_write` is synced."""

    target: str
    message: Any
    after_write: int


@dataclasses.dataclass(frozen=True, slots=True)
class FinishedRead:
    """End of this member's read `token`: the confirmed index, or None if it failed."""

    token: int
    index: int | None


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of another member's log.

    Attributes:
        match_index: Index up to which the member's synced log equals the leader's.
        next_index: Index of the first entry to send next.
        probing: Whether one message is sent at a time, until one is accepted.
        tracked_since_ms: When the leader began to send to the member.
        in_flight_count: Number of messages that are sent and not answered yet.
        last_progress_ms: When the member last accepted something or a probe was sent.
        acked_sent_ms: When the newest message that the member answered was sent.
        acked_round: The newest read round that the member answered.
        snapshot: The snapshot that is being sent, or None.
        snapshot_offset: Offset of the chunk that the member needs next.
        snapshot_checksum: CRC-32 of the encoded snapshot.
    """

    next_index: int
    tracked_since_ms: int
    match_index: int = 0
    probing: bool = True
    in_flight_count: int = 0
    last_progress_ms: int = 0
    acked_sent_ms: int | None = None
    acked_round: int = 0
    snapshot: SaveSnapshot | None = None
    snapshot_offset: int = 0
    snapshot_checksum: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a round to be confirmed.

    Attributes:
        round: Number of the read round that confirms it.
        reader: Disk id of the member that reads, or None for this member.
        run_id: Id of the reader's run; see `Node.run_id`.
        token: Number that the reader gave the read.
        index: The leader's commit index when the read arrived.
    """

    round: int
    reader: str | None
    run_id: int
    token: int
    index: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """State that only a leader has.

    Attributes:
        elected_ms: When the election was won.
        base_time_ms: Log time at the election.
        first_index: Index of its first entry. Before that is committed, it answers
            no reads and has no lease, since it doesn't know the commit index yet.
        progress: Maps the other members' disk ids to their progress.
        next_heartbeat_ms: When the next heartbeat is due.
        round: Number of the newest read round.
        round_started_ms: When that round began; None before the first one.
        confirmed_round: The newest read round that a quorum answered.
        pending_reads: Reads that wait for a round, in order of rounds.
        early_reads: Reads that wait for the first commit: reader, run id, token.
        transfer_to: Disk id of the member that leadership is transferred to, or None.
        transfer_deadline_ms: When the transfer is aborted.
    """

    elected_ms: int
    base_time_ms: int
    first_index: int
    progress: dict[str, Progress]
    next_heartbeat_ms: int
    round: int = 0
    round_started_ms: int | None = None
    confirmed_round: int = 0
    pending_reads: collections.deque[PendingRead] = dataclasses.field(
        default_factory=collections.deque
    )
    early_reads: list[tuple[str | None, int, int]] = dataclasses.field(
        default_factory=list
    )
    transfer_to: str | None = None
    transfer_deadline_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recovered:
    """State read from a member's disk at its start; empty for a new disk."""

    term: int = 0
    vote: str | None = None
    snapshot: SaveSnapshot | None = None
    entries: tuple[Entry, ...] = ()


class Node:
    """Raft state of one member; see the module's docstring."""

    def __init__(
        self,
        own_id: str,
        recovered: Recovered,
        rng: random.Random,
        now_ms: int,
        read_batch_ms: int = 0,
    ) -> None:
        self.own_id = own_id
        self.rng = rng
        # Shortest time between the starts of two read rounds of this member as leader.
        self.read_batch_ms = read_batch_ms
        # Distinguishes the runs of this member, so that answers to requests of an
        # earlier run are ignored.
        self.run_id = rng.getrandbits(60)
        self.term = recovered.term
        self.vote = recovered.vote
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        # Votes in the own term count until it changes; pre-votes are for the next term.
        self.votes: set[str] = set()
        self.pre_votes: set[str] = set()
        self.pre_voting = False
        # Elections that this member started since it last heard from a leader.
        self.elections_count = 0
        # A restarted member doesn't know whether it answered a heartbeat just before
        # the restart, so it rejects votes as if it had.
        self.leader_contact_ms = now_ms
        self.election_due_ms = 0
        self.snapshot = recovered.snapshot
        # The groups in the log, each with the index of its entry; oldest first.
        self.groups: list[tuple[int, Group]] = []
        # A snapshot that the state machine hasn't been restored from yet.
        self.snapshot_to_restore = recovered.snapshot
        # The received part of a snapshot, and its leader's term, index and checksum.
        self.incoming_snapshot = bytearray()
        self.incoming_snapshot_id: tuple[int, int, int] | None = None
        self.snapshot_time_ms = 0
        base_index, base_term = 0, 0
        if recovered.snapshot is not None:
            base_index, base_term = recovered.snapshot.index, recovered.snapshot.term
            self._adopt_snapshot_group(recovered.snapshot)
        self.log = RaftLog(base_index, base_term, list(recovered.entries))
        for entry in recovered.entries:
            self._track_group(entry)
        if self.log.last_term > self.term:
            # A snapshot is stored before the term that came with it, and a crash can
            # come in between. No vote in that term can have been answered, since the
            # answer waits until the vote is synced.
            self.term, self.vote = self.log.last_term, None
        self.commit_index = base_index
        self.applied_index = 0 if recovered.snapshot else base_index
        self.durable_index = self.log.last_index
        self.writes: list[Write] = []
        self.outgoing: list[OutgoingMessage] = []
        self.finished_reads: list[FinishedRead] = []
        self.write_number = 0
        self.vote_write_number = 0
        # Write number and last entry index of each append that isn't synced yet.
        self.pending_appends: collections.deque[tuple[int, int]] = collections.deque()
        self.reset_election_timer(now_ms)

    @property
    def group(self) -> Group:
        """The newest group in the log; it is in force as soon as it is appended."""
        return self.groups[-1][1] if self.groups else NO_GROUP

    @property
    def group_index(self) -> int:
        """Index of the entry that holds the newest group."""
        return self.groups[-1][0] if self.groups else 0

    @property
    def last_time_ms(self) -> int:
        """Log time of the last entry."""
        entries = self.log.entries
        return entries[-1].time_ms if entries else self.snapshot_time_ms

    def send(self, target: str, message: Any, after_write: int = 0) -> None:
        """Queues a message, to be sent once write number `after_write` is synced."""
        self.outgoing.append(OutgoingMessage(target, message, after_write))

    def send_synced(self, target: str, message: Any) -> None:
        """Queues a message, to be sent once all writes so far are synced."""
        self.outgoing.append(OutgoingMessage(target, message, self.write_number))

    def save(self, write: Write) -> None:
        """Queues a write."""
        self.write_number += 1
        self.writes.append(write)

    def save_vote(self) -> None:
        """Queues a write of the term and the vote."""
        self.save(SaveVote(self.term, self.vote))
        self.vote_write_number = self.write_number

    def reset_election_timer(self, now_ms: int) -> None:
        """Restarts the election timer with a random timeout."""
        delay_ms = self.rng.randint(ELECTION_MIN_MS, ELECTION_MAX_MS)
        self.election_due_ms = now_ms + delay_ms

    def set_retry_timer(self, now_ms: int) -> None:
        """Restarts a candidate's election timer; the first retry comes sooner."""
        if self.elections_count > 1:
            self.reset_election_timer(now_ms)
        else:
            delay_ms = self.rng.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            self.election_due_ms = now_ms + delay_ms

    def become_follower(self, term: int, leader_id: str | None, now_ms: int) -> None:
        """Becomes a follower in `term`; `leader_id` is None if not known yet."""
        if self.leadership is not None:
            self._fail_reads(self.leadership)
            self.reset_election_timer(now_ms)
        if term > self.term:
            self.term = term
            self.vote = None
            self.save_vote()
        self.role = Role.FOLLOWER
        self.leadership = None
        self.leader_id = leader_id
        self.votes = set()
        self.pre_votes = set()

    def _fail_reads(self, leadership: Leadership) -> None:
        for read in leadership.pending_reads:
            self.finish_read(read.reader, read.run_id, read.token, None)
        for reader, run_id, token in leadership.early_reads:
            self.finish_read(reader, run_id, token, None)

    def finish_read(
        self, reader: str | None, run_id: int, token: int, index: int | None
    ) -> None:
        """Ends a read with its index, None if it failed.

        The read is this member's own if `reader` is None, else the reader's.
        """
        if reader is None:
            self.finished_reads.append(FinishedRead(token, index))
        else:
            self.send(reader, ReadAnswer(run_id, token, index))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Appends entries to the log and queues their write."""
        self.log.append(entries)
        self.save(SaveEntries(entries))
        self.pending_appends.append((self.write_number, self.log.last_index))
        for entry in entries:
            self._track_group(entry)

    def truncate_from(self, index: int) -> None:
        """Removes the entries from `index` on, which the leader's entries replace."""
        self.log.truncate_from(index)
        while self.groups and self.groups[-1][0] >= index:
            self.groups.pop()
        self._lower_durable_index(index - 1)

    def install(self, saved: SaveSnapshot) -> None:
        """Replaces the whole log with a snapshot that the leader sent."""
        self.log.reset(saved.index, saved.term)
        self._lower_durable_index(0)
        self.snapshot = saved
        self.snapshot_to_restore = saved
        self._adopt_snapshot_group(saved)
        self.commit_index = saved.index
        self.save(saved)
        self.pending_appends.append((self.write_number, saved.index))

    def compact(self, saved: SaveSnapshot, retained_count: int) -> None:
        """Stores a snapshot of this member's state machine and compacts the log."""
        self.snapshot = saved
        self.snapshot_time_ms = self.log.entry(saved.index).time_ms
        self.save(saved)
        self.log.compact_to(min(saved.index, saved.index - retained_count))
        while len(self.groups) > 1 and self.groups[1][0] <= self.log.base_index:
            self.groups.pop(0)

    def group_at(self, index: int) -> Group:
        """Returns the group in force after entry `index`."""
        group_in_force = NO_GROUP
        for group_index, group in self.groups:
            if group_index <= index:
                group_in_force = group
        return group_in_force

    def on_synced(self, write_number: int) -> None:
        """Raises the durable index; all writes up to a number are synced."""
        while self.pending_appends and self.pending_appends[0][0] <= write_number:
            _, last_index = self.pending_appends.popleft()
            self.durable_index = max(self.durable_index, last_index)

    def _lower_durable_index(self, last_index: int) -> None:
        self.durable_index = min(self.durable_index, last_index)
        self.pending_appends = collections.deque(
            (number, min(index, last_index)) for number, index in self.pending_appends
        )

    def _adopt_snapshot_group(self, saved: SaveSnapshot) -> None:
        snapshot: Snapshot = codec.decode(saved.blob)
        self.groups = [(snapshot.index, snapshot.group)]
        self.snapshot_time_ms = snapshot.time_ms

    def _track_group(self, entry: Entry) -> None:
        if entry.kind is EntryKind.GROUP:
            self.groups.append((entry.index, codec.decode(entry.data)))
