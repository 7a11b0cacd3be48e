"""Entries of the replicated log and the messages between control members.

A member is identified by the random id of its disk, not by its name: a member that
comes back with an empty disk under its old name is another member.
"""

import dataclasses
import enum

from cassiapitch import codec


class EntryKind(enum.IntEnum):
    """What a log entry carries."""

    COMMAND = 0
    NOTHING = 1
    GROUP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One log entry; `time_ms` is log time, which never decreases."""

    index: int
    term: int
    time_ms: int
    kind: EntryKind
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class GroupMember:
    """A member of the control group; one that isn't a voter is a learner."""

    name: str
    disk_id: str
    zone: str
    ip: str
    port: int
    voter: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The configuration of the group; an entry of kind GROUP carries one."""

    members: tuple[GroupMember, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after entry `index`, and the group in force then."""

    index: int
    term: int
    time_ms: int
    group: Group
    data: bytes


# Elections.


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAsk:
    """Asks for a vote, or with `pre_vote` whether one would be given.

    Attributes:
        term: The term that the candidate wants to lead.
        pre_vote: Whether this changes nothing at the receiver.
        transfer: Whether the leader told the candidate to take over, so that a
            recent heartbeat is no reason to reject.
        last_index: Index of the candidate's last entry.
        last_term: Term of the candidate's last entry.
    """

    term: int
    pre_vote: bool
    transfer: bool
    last_index: int
    last_term: int


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAnswer:
    """Answers a `VoteAsk`; `term` is the voter's, `asked_term` the candidate's."""

    term: int
    asked_term: int
    pre_vote: bool
    granted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutNow:
    """Tells a caught-up member to start an election at once."""

    term: int


# Replication. `round` and `sent_ms` come back with the answer: the one confirms
# reads, the other, on the leader's own clock, renews its lease.


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Entries that follow the entry (`previous_index`, `previous_term`)."""

    term: int
    round: int
    sent_ms: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Answers an `Append`, once its entries are synced.

    Attributes:
        term: The follower's term.
        round: As in the `Append`.
        sent_ms: As in the `Append`.
        accepted: Whether the previous entry matched.
        match_index: Up to where the follower's log equals the leader's.
        previous_index: As in the `Append`.
        last_index: Where to continue after a rejection, at the highest.
    """

    term: int
    round: int
    sent_ms: int
    accepted: bool
    match_index: int
    previous_index: int
    last_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """Sent every 100 ms and at the start of each read round."""

    term: int
    round: int
    sent_ms: int
    commit_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatAnswer:
    """Answers a `Heartbeat`."""

    term: int
    round: int
    sent_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """A part of an encoded `Snapshot` for a member that lags behind the log.

    Attributes:
        term: The leader's term.
        index: Index of the snapshot.
        index_term: Term of the entry at `index`.
        offset: Where `data` begins.
        total_bytes: Length of the encoded snapshot.
        checksum: CRC-32 of the encoded snapshot.
        data: The part.
    """

    term: int
    index: int
    index_term: int
    offset: int
    total_bytes: int
    checksum: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkAnswer:
    """Says which offset of the snapshot at `index` is needed next."""

    term: int
    index: int
    next_offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class StaleTerm:
    """Answers a message of a leader whose term is over.

    It carries nothing but the newer term: what a leader sent in an earlier term says
    nothing about its read rounds or its lease in a later one.
    """

    term: int


# Reads of a follower.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAsk:
    """Asks the leader for a confirmed index.

    Attributes:
        life: Random number of this run of the asking member, so that an answer to
            an earlier run isn't taken for one of this run.
        token: Number of the ask in this run.
    """

    life: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Answers a `ReadAsk`; `index` is None if nothing could be confirmed."""

    life: int
    token: int
    index: int | None


# Proposals that a follower passes on.


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardItem:
    """One proposal; `sequence` is unique in this run of the asking member."""

    sequence: int
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAsk:
    """Proposals for the leader."""

    life: int
    items: tuple[ForwardItem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardResult:
    """How a proposal ended.

    Attributes:
        sequence: As in the `ForwardItem`.
        index: Its log index if it was committed and applied, else None.
        result: What the state machine returned.
    """

    sequence: int
    index: int | None
    result: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Ended proposals of a `ForwardAsk`.

    One that isn't listed with an index certainly won't be applied.
    """

    life: int
    results: tuple[ForwardResult, ...]


class ChangeKind(enum.StrEnum):
    """Changes of the group and of its leadership."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    TRANSFER = "transfer"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAsk:
    """Asks the leader for a change; `ip` and what follows only for ADD_LEARNER."""

    life: int
    sequence: int
    kind: ChangeKind
    name: str
    zone: str = ""
    ip: str = ""
    port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """How a change ended: committed at `index`, else refused for `reason`.

    Attributes:
        life: As in the ask.
        sequence: As in the ask.
        index: Log index of the change, or None.
        reason: Why it was refused, or None if the member isn't the leader.
        uncertain: Whether the change may still come into force.
    """

    life: int
    sequence: int
    index: int | None
    reason: str | None
    uncertain: bool


# Connections between members.


@dataclasses.dataclass(frozen=True, slots=True)
class PeerHello:
    """First message of a stream, each way.

    Attributes:
        cluster: Name of the deployment.
        name: The sender's name.
        disk_id: The sender's disk id.
        ip: Where the sender's peers reach it.
        port: Where the sender's peers reach it.
        formed: Whether the sender's log holds a group.
        zone: The sender's availability zone.
        is_outside: Whether the sender waits to be admitted to a group.
        leader_ip: Where the leader's peers reach it, empty if unknown.
        leader_port: Where the leader's peers reach it.
    """

    cluster: str
    name: str
    disk_id: str
    ip: str
    port: int
    formed: bool
    zone: str = ""
    is_outside: bool = False
    leader_ip: str = ""
    leader_port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBatch:
    """Messages of one member for another, each encoded by `codec`.

    Attributes:
        target: Disk id of the member that they are meant for.
        items: The encoded messages.
    """

    target: str
    items: tuple[bytes, ...]


REGISTERED_TYPES = (
    Group,
    Snapshot,
    VoteAsk,
    VoteAnswer,
    TimeoutNow,
    Append,
    AppendAnswer,
    Heartbeat,
    HeartbeatAnswer,
    SnapshotChunk,
    ChunkAnswer,
    StaleTerm,
    ReadAsk,
    ReadAnswer,
    ForwardAsk,
    ForwardAnswer,
    ChangeAsk,
    ChangeAnswer,
    PeerHello,
    PeerBatch,
)
codec.register(REGISTERED_TYPES)
