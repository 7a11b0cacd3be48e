"""Entries of the replicated log, and the messages between control members.

A member is identified by the random id of its disk, not by its name: a process that
returns under an old name with an empty disk is a different member.
"""

import dataclasses
import enum

import msgspec

from cassiapitch import codec


class EntryKind(enum.IntEnum):
    """Kind of a log entry: a command, nothing (the first of a leader), or a group."""

    COMMAND = 0
    NOTHING = 1
    GROUP = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A log entry; `time_ms` is log time, which never decreases."""

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
    """The members of the control group; an entry of kind GROUP holds one."""

    members: tuple[GroupMember, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """State of the state machine after entry `index`, and the group in force there."""

    index: int
    term: int
    time_ms: int
    group: Group
    data: bytes


# Elections.


@dataclasses.dataclass(frozen=True, slots=True)
class VoteAsk:
    """Asks for a vote, or, with `pre_vote`, whether a vote would be granted.

    Attributes:
        term: The term that the candidate wants to lead.
        pre_vote: Whether it is a pre-vote, which changes nothing at the receiver.
        transfer: Whether the leader told the candidate to take over. Voters then
            don't reject because of a recent heartbeat.
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


# Replication. Answers repeat `round` and `sent_ms`. The round confirms reads; the send
# time, which is of the leader's own clock, renews the leader's lease.


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
        match_index: Index up to which the follower's log equals the leader's.
        previous_index: As in the `Append`.
        last_index: After a rejection, the highest index that the follower's log can
            match; the leader continues after it.
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
    """A chunk of an encoded `Snapshot`, for a member that needs compacted entries.

    Attributes:
        term: The leader's term.
        index: Index of the snapshot.
        index_term: Term of the entry at `index`.
        offset: Offset of `data` in the encoded snapshot.
        total_bytes: Length of the encoded snapshot.
        checksum: CRC-32 of the encoded snapshot.
        data: The bytes of the chunk.
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
    """Answers a message of a leader whose term has ended.

    It holds only the newer term. It repeats no round or send time, since those of an
    earlier term must not confirm a read or renew the lease of a later one.
    """

    term: int


# Reads at a follower.


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAsk:
    """Asks the leader for a read index that a quorum has confirmed.

    Attributes:
        life: Random id of this run of the asking member, so that an answer to an
            earlier run is ignored.
        token: Number of the request in this run.
    """

    life: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReadAnswer:
    """Answers a `ReadAsk`; `index` is None if nothing could be confirmed."""

    life: int
    token: int
    index: int | None


# Proposals that a follower forwards to the leader.


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardItem:
    """One proposal; `sequence` is unique in this run of the asking member."""

    sequence: int
    command: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAsk:
    """Forwards proposals to the leader; `life` as in `ReadAsk`."""

    life: int
    items: tuple[ForwardItem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardResult:
    """Outcome of one forwarded proposal.

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
    """Outcomes of proposals of a `ForwardAsk`.

    A proposal whose result has no index certainly won't be applied.
    """

    life: int
    results: tuple[ForwardResult, ...]


class ChangeKind(enum.StrEnum):
    """Kinds of membership changes, and the leadership transfer."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"
    TRANSFER = "transfer"


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAsk:
    """Asks the leader for a change; `zone`, `ip` and `port` are set for ADD_LEARNER."""

    life: int
    sequence: int
    kind: ChangeKind
    name: str
    zone: str = ""
    ip: str = ""
    port: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeAnswer:
    """Outcome of a change: committed at `index`, or refused for `reason`.

    Attributes:
        life: As in the `ChangeAsk`.
        sequence: As in the `ChangeAsk`.
        index: Log index of the change, or None if it isn't committed.
        reason: Why it was refused. None if it is committed or uncertain, or if the
            member that answers doesn't lead.
        uncertain: Whether the change may still take effect.
    """

    life: int
    sequence: int
    index: int | None
    reason: str | None
    uncertain: bool


# Connections between members.


class PeerHello(msgspec.Struct, frozen=True, omit_defaults=True):
    """First message of a stream, in each direction.

    Fields with their default are left out, as earlier builds don't know them all.

    Attributes:
        cluster: Name of the deployment.
        name: The sender's name.
        disk_id: The sender's disk id.
        ip: IP address at which the sender's peers reach it.
        port: Port at which the sender's peers reach it.
        formed: Whether the sender's log holds a group.
        zone: The sender's availability zone.
        is_outside: Whether the sender waits to be admitted to a group.
        leader_ip: IP address at which peers reach the leader, empty if unknown.
        leader_port: Port at which peers reach the leader, 0 if unknown.
        accepts_zlib: Whether the sender reads compressed batches, and sends them if the
            other side reads them. False from earlier builds.
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
    accepts_zlib: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBatch:
    """Messages from one member to another, each encoded by `codec`.

    Attributes:
        target: Disk id of the member that they are addressed to.
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
