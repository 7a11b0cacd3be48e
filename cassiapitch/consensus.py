"""Raft consensus of the control group: handles each input of a member.

Raft is described by Ongaro and Ousterhout, "In search of an understandable consensus
algorithm", 2014; pre-vote, single-member changes, read index and leadership transfer
in Ongaro's thesis. The state is in `node`, the rules are in `elections`,
`replication`, `read_index`, `snapshots` and `membership`.
"""

import dataclasses
from typing import Any

from cassiapitch import codec, elections, membership, read_index, replication, snapshots
from cassiapitch.node import Node, Role
from cassiapitch.raftmessages import (
    Append,
    AppendAnswer,
    ChunkAnswer,
    Entry,
    EntryKind,
    Group,
    Heartbeat,
    HeartbeatAnswer,
    ReadAnswer,
    ReadAsk,
    Snapshot,
    SnapshotChunk,
    StaleTerm,
    TimeoutNow,
    VoteAnswer,
    VoteAsk,
)

# A leader rejects proposals while more than this is uncommitted.
UNCOMMITTED_LIMIT_BYTES = 32 * 1024 * 1024
UNCOMMITTED_LIMIT_COUNT = 16_384
# Terms grow by one with each election, so that none of a member exceeds this. The log
# and the messages hold 64 bits.
TERM_LIMIT = 2**62
_WITH_TERM = (
    Append,
    AppendAnswer,
    ChunkAnswer,
    Heartbeat,
    HeartbeatAnswer,
    SnapshotChunk,
    StaleTerm,
    TimeoutNow,
    VoteAnswer,
    VoteAsk,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Restore:
    """Says that the state machine has to be restored from a snapshot."""

    snapshot: Snapshot


def form(node: Node, group: Group, now_ms: int) -> None:
    """Appends the first entry of a new group, its members, to an empty log."""
    assert node.log.last_index == 0, "a group is formed once"
    kind, data = replication.encode_group_entry(group)
    node.append((Entry(1, 0, 0, kind, data),))
    node.reset_election_timer(now_ms)


def is_valid(message: Any) -> bool:
    """Returns whether `receive` handles a message, and a member can have its term."""
    if isinstance(message, _WITH_TERM):
        return message.term <= TERM_LIMIT
    return isinstance(message, ReadAsk | ReadAnswer)


def receive(node: Node, sender: str, target: str, message: Any, now_ms: int) -> None:
    """Handles one message.

    Args:
        node: This member's state.
        sender: Disk id of the sender.
        target: Disk id that the message is addressed to. One for another disk, for
            instance for the lost disk of this member's name, is dropped.
        message: The message, for which `is_valid` holds.
        now_ms: The current time.
    """
    if target != node.own_id:
        return
    if isinstance(message, VoteAsk):
        elections.on_vote_ask(node, sender, message, now_ms)
    elif isinstance(message, VoteAnswer):
        elections.on_vote_answer(node, sender, message, now_ms)
    elif isinstance(message, ReadAsk):
        read_index.on_read_ask(node, sender, message, now_ms)
    elif isinstance(message, ReadAnswer):
        read_index.on_read_answer(node, message)
    else:
        if message.term > node.term:
            node.become_follower(message.term, None, now_ms)
        _receive_in_term(node, sender, message, now_ms)
        _advance(node, now_ms)


def _receive_in_term(node: Node, sender: str, message: Any, now_ms: int) -> None:
    if message.term < node.term:
        if isinstance(message, (Append, Heartbeat, SnapshotChunk)):
            node.send(sender, StaleTerm(node.term), node.vote_write_number)
    elif isinstance(message, Append):
        replication.on_append(node, sender, message, now_ms)
    elif isinstance(message, Heartbeat):
        replication.on_heartbeat(node, sender, message, now_ms)
    elif isinstance(message, AppendAnswer):
        replication.on_append_answer(node, sender, message, now_ms)
    elif isinstance(message, HeartbeatAnswer):
        replication.record_contact(node, sender, message.round, message.sent_ms)
    elif isinstance(message, SnapshotChunk):
        replication.follow_leader(node, sender, now_ms)
        snapshots.on_chunk(node, sender, message)
    elif isinstance(message, ChunkAnswer):
        replication.on_chunk_answer(node, sender, message, now_ms)
    elif isinstance(message, TimeoutNow):
        elections.on_timeout_now(node, message, now_ms)


def _advance(node: Node, now_ms: int) -> None:
    read_index.advance(node, now_ms)
    membership.finish_transfer(node, now_ms)


def tick(node: Node, now_ms: int) -> None:
    """Starts elections, sends heartbeats and retries; called every few milliseconds."""
    elections.tick(node, now_ms)
    replication.tick(node, now_ms)
    _advance(node, now_ms)


def step_down(node: Node, now_ms: int) -> None:
    """Makes a leader a follower, for instance because its disk doesn't respond."""
    if node.leadership is not None:
        node.become_follower(node.term, None, now_ms)


def on_synced(node: Node, write_number: int, now_ms: int) -> None:
    """Handles that all writes up to a number are synced."""
    node.on_synced(write_number)
    replication.advance_commit(node, now_ms)
    _advance(node, now_ms)


def accepts_proposals(node: Node) -> bool:
    """Returns whether `propose` accepts commands now."""
    leadership = node.leadership
    if leadership is None or leadership.transfer_to is not None:
        return False
    uncommitted_count = node.log.last_index - node.commit_index
    if uncommitted_count > UNCOMMITTED_LIMIT_COUNT:
        return False
    # The sizes are added up only if the whole log in memory exceeds the limit.
    if node.log.size_bytes <= UNCOMMITTED_LIMIT_BYTES:
        return True
    uncommitted = node.log.entries[len(node.log.entries) - uncommitted_count :]
    return sum(len(entry.data) for entry in uncommitted) <= UNCOMMITTED_LIMIT_BYTES


def propose(node: Node, commands: list[bytes], now_ms: int) -> int | None:
    """Appends commands in one write; returns the first index, or None if rejected."""
    if not accepts_proposals(node):
        return None
    items = [(EntryKind.COMMAND, command) for command in commands]
    return replication.append_own(node, items, now_ms)


def pop_applicable(node: Node, limit_count: int) -> Restore | list[Entry]:
    """Returns what to apply to the state machine next, and counts it as applied.

    Returns an empty list if there is nothing to apply. Only entries that are synced
    on this member's disk are applied, so that a snapshot never covers more than the
    stored log.
    """
    saved = node.snapshot_to_restore
    if saved is not None:
        if node.durable_index < saved.index:
            return []
        node.snapshot_to_restore = None
        node.applied_index = saved.index
        return Restore(codec.decode(saved.blob))
    last = min(node.commit_index, node.durable_index)
    last = min(last, node.applied_index + limit_count)
    entries = [
        node.log.entry(index) for index in range(node.applied_index + 1, last + 1)
    ]
    node.applied_index = max(node.applied_index, last)
    return entries


def is_leader(node: Node) -> bool:
    """Returns whether this member is the leader of its term."""
    return node.role is Role.LEADER
