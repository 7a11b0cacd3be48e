"""State of one member's consensus decisions and the primitives that change it.

Every decision is a function of this state, a message and a time. What has to be
done outside is collected in `writes`, `sends` and `reads`. Writes are numbered; a
message is sent only once the write that it depends on is synced.
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
# that, which allows for clocks that differ in speed by a fifth.
LEASE_MS = 400
# The first failed election is repeated sooner than a leader is given up, since nobody
# leads meanwhile. Later ones wait for the whole election timeout, so that members with
# slow disks, which have to sync their votes, get one through.
RETRY_MIN_MS = 150
RETRY_MAX_MS = 300
STEP_DOWN_MS = 1_000


NO_GROUP = Group(())


class Role(enum.StrEnum):
    """What a member is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True, slots=True)
class SaveVote:
    """Write: the term and the vote in it."""

    term: int
    vote: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class SaveEntries:
    """Write: entries, which replace all that the log holds from the first on."""

    entries: tuple[Entry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write: an encoded snapshot; with `reset` it replaces the whole log."""

    index: int
    term: int
    blob: bytes
    reset: bool


Write = SaveVote | SaveEntries | SaveSnapshot


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """A message to send once the write number `after` is synced."""

    target: str
    message: Any
    after: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadDone:
    """The read `token` of this member: a confirmed index, or None."""

    token: int
    index: int | None


@dataclasses.dataclass(slots=True)
class Progress:
    """What the leader knows of another member's log.

    Attributes:
        match_index: Up to where the member's synced log equals the leader's.
        next_index: First entry to send next.
        probing: Whether one message is sent at a time, until one is accepted.
        in_flight_count: Messages sent and not answered yet.
        last_progress_ms: When the member last accepted something or a probe was sent.
        acked_ms: When the newest heartbeat was sent that the member answered.
        acked_round: The newest round that the member answered.
        snapshot: The encoded snapshot being sent, its index and term.
        snapshot_offset: What the member needs next of it.
        snapshot_checksum: CRC-32 of all of it.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    in_flight_count: int = 0
    last_progress_ms: int = 0
    acked_ms: int | None = None
    acked_round: int = 0
    snapshot: SaveSnapshot | None = None
    snapshot_offset: int = 0
    snapshot_checksum: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a round; `reader` is None for this member's own."""

    round: int
    reader: str | None
    life: int
    token: int
    index: int


@dataclasses.dataclass(slots=True)
class Leadership:
    """What only a leader has.

    Attributes:
        elected_ms: When the election was won.
        base_time_ms: Log time at the election.
        first_index: Its first entry; before that is committed, it answers no
            reads and has no lease, since it doesn't know the commit index yet.
        progress: Maps the other members' disk ids to their progress.
        next_heartbeat_ms: When the next heartbeat is due.
        round: Number of the newest read round.
        confirmed_round: The newest round that a quorum answered.
        reads: Reads that wait for a round, in order of rounds.
        early_reads: Reads that wait for the first commit: reader, life, token.
        transfer_to: Disk id of the member that is to take over.
        transfer_until_ms: When the transfer is abandoned.
    """

    elected_ms: int
    base_time_ms: int
    first_index: int
    progress: dict[str, Progress]
    next_heartbeat_ms: int
    round: int = 0
    confirmed_round: int = 0
    reads: collections.deque[PendingRead] = dataclasses.field(
        default_factory=collections.deque
    )
    early_reads: list[tuple[str | None, int, int]] = dataclasses.field(
        default_factory=list
    )
    transfer_to: str | None = None
    transfer_until_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Recovered:
    """What a member's disk holds: all fields are empty for a new disk."""

    term: int = 0
    vote: str | None = None
    snapshot: SaveSnapshot | None = None
    entries: tuple[Entry, ...] = ()


class Node:
    """One member's state; see the module's docstring."""

    def __init__(
        self, own_id: str, recovered: Recovered, source: random.Random, now_ms: int
    ) -> None:
        self.own_id = own_id
        self.source = source
        self.life = source.getrandbits(60)
        self.term = recovered.term
        self.vote = recovered.vote
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leadership: Leadership | None = None
        self.votes: set[str] = set()
        self.pre_voting = False
        # Elections that this member started since it last knew a leader.
        self.elections_count = 0
        # A member that has restarted doesn't know whether it answered a heartbeat
        # a moment ago, so it gives no vote as if it had.
        self.heard_ms = now_ms
        self.election_due_ms = 0
        self.snapshot = recovered.snapshot
        self.groups: list[tuple[int, Group]] = []
        # An installed snapshot that the state machine hasn't been restored from yet.
        self.to_restore = recovered.snapshot
        self.incoming_snapshot = bytearray()
        self.incoming_snapshot_id: tuple[int, int, int] | None = None
        self.time_ms_at_snapshot = 0
        base_index, base_term = 0, 0
        if recovered.snapshot is not None:
            base_index, base_term = recovered.snapshot.index, recovered.snapshot.term
            self._adopt_snapshot_group(recovered.snapshot)
        self.log = RaftLog(base_index, base_term, list(recovered.entries))
        for entry in recovered.entries:
            self._note_group(entry)
        if self.log.last_term > self.term:
            # A snapshot is stored before the term that came with it. No vote in that
            # term can have been answered, since votes wait for their write.
            self.term, self.vote = self.log.last_term, None
        self.commit_index = base_index
        self.applied_index = 0 if recovered.snapshot else base_index
        self.durable_index = self.log.last_index
        self.writes: list[Write] = []
        self.sends: list[Send] = []
        self.reads: list[ReadDone] = []
        self.write_number = 0
        self.vote_write_number = 0
        self.pending_appends: collections.deque[tuple[int, int]] = collections.deque()
        self.reset_election_timer(now_ms)

    @property
    def group(self) -> Group:
        """The newest group in the log, in force as soon as it is appended."""
        return self.groups[-1][1] if self.groups else NO_GROUP

    @property
    def group_index(self) -> int:
        """Index of the entry that carries the newest group."""
        return self.groups[-1][0] if self.groups else 0

    @property
    def last_time_ms(self) -> int:
        """Log time of the last entry."""
        entries = self.log.entries
        return entries[-1].time_ms if entries else self.time_ms_at_snapshot

    def send(self, target: str, message: Any, after: int = 0) -> None:
        """Queues a message."""
        self.sends.append(Send(target, message, after))

    def send_synced(self, target: str, message: Any) -> None:
        """Queues a message that must not leave before everything is synced."""
        self.sends.append(Send(target, message, self.write_number))

    def save(self, write: Write) -> None:
        """Queues a write."""
        self.write_number += 1
        self.writes.append(write)

    def save_vote(self) -> None:
        """Queues a write of term and vote."""
        self.save(SaveVote(self.term, self.vote))
        self.vote_write_number = self.write_number

    def reset_election_timer(self, now_ms: int) -> None:
        """Draws a new random time until the next election."""
        delay_ms = self.source.randint(ELECTION_MIN_MS, ELECTION_MAX_MS)
        self.election_due_ms = now_ms + delay_ms

    def set_retry_timer(self, now_ms: int) -> None:
        """Draws a random time until this candidate tries again."""
        if self.elections_count > 1:
            self.reset_election_timer(now_ms)
        else:
            delay_ms = self.source.randint(RETRY_MIN_MS, RETRY_MAX_MS)
            self.election_due_ms = now_ms + delay_ms

    def become_follower(self, term: int, leader_id: str | None, now_ms: int) -> None:
        """Follows `leader_id`, or nobody yet, in `term`."""
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

    def _fail_reads(self, leadership: Leadership) -> None:
        for read in leadership.reads:
            self.finish_read(read.reader, read.life, read.token, None)
        for reader, life, token in leadership.early_reads:
            self.finish_read(reader, life, token, None)

    def finish_read(
        self, reader: str | None, life: int, token: int, index: int | None
    ) -> None:
        """Answers a read, of this member or of another one."""
        if reader is None:
            self.reads.append(ReadDone(token, index))
        else:
            self.send(reader, ReadAnswer(life, token, index))

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Adds entries after the last one and queues their write."""
        self.log.append(entries)
        self.save(SaveEntries(entries))
        self.pending_appends.append((self.write_number, self.log.last_index))
        for entry in entries:
            self._note_group(entry)

    def truncate_from(self, index: int) -> None:
        """Removes entries that another leader's entries replace."""
        self.log.truncate_from(index)
        while self.groups and self.groups[-1][0] >= index:
            self.groups.pop()
        self._limit_durable(index - 1)

    def install(self, saved: SaveSnapshot) -> None:
        """Replaces the whole log by a snapshot."""
        self.log.reset(saved.index, saved.term)
        self._limit_durable(0)
        self.snapshot = saved
        self.to_restore = saved
        self._adopt_snapshot_group(saved)
        self.commit_index = saved.index
        self.save(saved)
        self.pending_appends.append((self.write_number, saved.index))

    def compact(self, saved: SaveSnapshot, retained_count: int) -> None:
        """Stores a snapshot of this member's own state machine."""
        self.snapshot = saved
        self.time_ms_at_snapshot = self.log.entry(saved.index).time_ms
        self.save(saved)
        self.log.compact_to(min(saved.index, saved.index - retained_count))
        while len(self.groups) > 1 and self.groups[1][0] <= self.log.base_index:
            self.groups.pop(0)

    def group_at(self, index: int) -> Group:
        """Returns the group in force after entry `index`."""
        found = NO_GROUP
        for group_index, group in self.groups:
            if group_index <= index:
                found = group
        return found

    def synced(self, write_number: int) -> None:
        """Notes that writes up to a number are synced."""
        while self.pending_appends and self.pending_appends[0][0] <= write_number:
            _, last_index = self.pending_appends.popleft()
            self.durable_index = max(self.durable_index, last_index)

    def _limit_durable(self, last_index: int) -> None:
        self.durable_index = min(self.durable_index, last_index)
        self.pending_appends = collections.deque(
            (number, min(index, last_index)) for number, index in self.pending_appends
        )

    def _adopt_snapshot_group(self, saved: SaveSnapshot) -> None:
        snapshot: Snapshot = codec.decode(saved.blob)
        self.groups = [(snapshot.index, snapshot.group)]
        self.time_ms_at_snapshot = snapshot.time_ms

    def _note_group(self, entry: Entry) -> None:
        if entry.kind is EntryKind.GROUP:
            self.groups.append((entry.index, codec.decode(entry.data)))
