"""Tests of single Raft rules whose violation the fuzzer seldom finds."""

import random
import zlib

import pytest

from cassiapitch import codec, consensus, membership, quorum, replication, snapshots
from cassiapitch.node import Node, Recovered, Role, SaveSnapshot, SaveVote
from cassiapitch.raftmessages import (
    Append,
    AppendAnswer,
    ChunkAnswer,
    Entry,
    EntryKind,
    Group,
    GroupMember,
    Heartbeat,
    HeartbeatAnswer,
    Snapshot,
    SnapshotChunk,
    StaleTerm,
    TimeoutNow,
    VoteAnswer,
    VoteAsk,
)


def group(*names):
    return Group(tuple(GroupMember(name, name, "z", "::1", 1, True) for name in names))


def group_entry(index, term, *names):
    return Entry(index, term, 0, EntryKind.GROUP, codec.encode(group(*names)))


def commands(first, last, term):
    kind = EntryKind.COMMAND
    return tuple(Entry(index, term, 0, kind, b"x") for index in range(first, last + 1))


FIRST = group_entry(1, 0, "a", "b", "c")


def make_node(entries=(FIRST,), term=0, now_ms=0):
    recovered = Recovered(term=term, entries=tuple(entries))
    return Node("a", recovered, random.Random(1), now_ms)


def sync(node, now_ms):
    node.writes.clear()
    consensus.on_synced(node, node.write_number, now_ms)


def elect(node, now_ms):
    """Makes node `a` the leader by votes of `b`."""
    consensus.tick(node, now_ms)
    for pre_vote in (True, False):
        term = node.term + 1 if pre_vote else node.term
        answer = VoteAnswer(node.term, term, pre_vote, True)
        consensus.receive(node, "b", "a", answer, now_ms)
    assert node.role is Role.LEADER


def sent_messages(node, kind):
    return [item.message for item in node.outgoing if isinstance(item.message, kind)]


def acknowledge_through(node, index, now_ms):
    """Delivers an answer of member `b` that it has synced entries up to an index."""
    answer = AppendAnswer(node.term, 0, now_ms, True, index, index, index)
    consensus.receive(node, "b", "a", answer, now_ms)


def test_entries_of_older_terms_are_not_committed_by_counting():
    """Guards against a committed entry that a later leader replaces."""
    node = make_node([FIRST, *commands(2, 3, 1)], term=2)
    elect(node, 2_000)
    sync(node, 2_000)
    acknowledge_through(node, 3, 2_010)
    assert node.commit_index == 0
    acknowledge_through(node, 4, 2_020)
    assert node.commit_index == 4


def test_replaced_entries_are_not_synced_before_their_write():
    """Guards against a quorum that counts an unsynced entry as synced.

    The index was synced before, but with another leader's entry.
    """
    node = make_node([FIRST, *commands(2, 10, 1)], term=1)
    message = Append(3, 0, 0, 3, 1, commands(4, 5, 3), 0)
    consensus.receive(node, "b", "a", message, 1_000)
    assert (node.log.last_index, node.durable_index) == (5, 3)
    answers = [item for item in node.outgoing if isinstance(item.message, AppendAnswer)]
    assert [item.after_write for item in answers] == [node.write_number]
    sync(node, 1_010)
    assert node.durable_index == 5


@pytest.mark.parametrize("pre_vote", [True, False])
def test_restarted_member_grants_no_vote_at_first(pre_vote):
    """Guards against two leases.

    The member may have answered the leader's heartbeat just before its restart.
    """
    node = make_node(now_ms=10_000)
    ask = VoteAsk(5, pre_vote, False, 9, 4)
    consensus.receive(node, "b", "a", ask, 10_499)
    consensus.receive(node, "b", "a", ask, 10_500)
    assert [vote.granted for vote in sent_messages(node, VoteAnswer)] == [False, True]


def test_leader_holds_no_lease_once_it_transfers_leadership():
    """Guards against two leases while the successor's election ignores heartbeats."""
    node = make_node()
    elect(node, 2_000)
    sync(node, 2_000)
    acknowledge_through(node, 2, 2_010)
    assert replication.has_lease(node, 2_020)
    assert membership.start_transfer(node, "b", 2_020) is None
    assert sent_messages(node, TimeoutNow) == [TimeoutNow(node.term)]
    assert not replication.has_lease(node, 2_020)
    assert consensus.propose(node, [b"x"], 2_020) is None


def test_lease_counts_from_when_the_heartbeat_was_sent():
    """Guards against a lease that counts from the arrival of a late answer."""
    node = make_node()
    elect(node, 2_000)
    sync(node, 2_000)
    acknowledge_through(node, 2, 2_000)
    answer = HeartbeatAnswer(node.term, 0, 2_100)
    consensus.receive(node, "b", "a", answer, 2_450)
    assert replication.has_lease(node, 2_499)
    assert not replication.has_lease(node, 2_500)


def test_leader_without_a_quorum_steps_down():
    """Guards against an isolated leader that keeps accepting proposals."""
    node = make_node()
    elect(node, 2_000)
    consensus.tick(node, 3_000)
    assert node.role is Role.LEADER
    consensus.tick(node, 3_001)
    assert node.role is Role.FOLLOWER
    assert consensus.propose(node, [b"x"], 3_001) is None


def test_message_for_a_lost_disk_is_dropped():
    """Guards against a member with a new disk that votes in place of the lost one."""
    node = make_node()
    consensus.receive(node, "b", "lost", VoteAsk(5, False, False, 9, 4), 5_000)
    assert node.outgoing == []
    assert node.term == 0


def test_votes_of_disks_outside_the_group_do_not_count():
    """Guards against an election won by votes of disks that aren't members."""
    node = make_node()
    consensus.tick(node, 2_000)
    for outsider in ("d", "e", "f"):
        consensus.receive(node, outsider, "a", VoteAnswer(0, 1, True, True), 2_000)
    assert node.role is Role.CANDIDATE
    assert node.term == 0


def test_snapshot_holds_the_group_of_its_index():
    """Guards against a snapshot that holds a later, uncommitted group."""
    entries = [FIRST, *commands(2, 3, 1)]
    node = make_node([*entries, group_entry(4, 1, "a", "b")], term=1)
    consensus.receive(node, "b", "a", Heartbeat(1, 0, 0, 3), 1_000)
    assert len(consensus.pop_applicable(node, 10)) == 3
    snapshots.take(node, b"state")
    snapshot = codec.decode(node.snapshot.blob)
    assert isinstance(snapshot, Snapshot)
    assert snapshot.group == group("a", "b", "c")


def test_changes_that_could_not_commit_are_refused():
    """Guards against a membership change that leaves the group without a quorum."""
    node = make_node()
    elect(node, 2_000)
    sync(node, 2_000)
    kind = membership.ChangeKind.REMOVE
    too_early = membership.propose_change(node, kind, "c", None, 2_005)
    assert too_early == quorum.ChangeRefused(
        "an earlier change is not committed yet", True
    )
    acknowledge_through(node, 2, 2_010)
    # Member `c` was never in contact, so `a` and `c` alone would have no quorum.
    without_quorum = membership.propose_change(node, kind, "b", None, 2_010)
    assert without_quorum.reason == "no quorum of the changed group is in contact"
    assert membership.propose_change(node, kind, "c", None, 2_010) == 3
    assert membership.propose_change(node, kind, "b", None, 2_010).is_temporary


def test_answer_to_an_older_term_says_nothing_but_the_newer_term():
    """Guards against a read that is confirmed by a round of an earlier term."""
    node = make_node(term=5)
    for message in (Heartbeat(4, 86, 900, 0), Append(4, 86, 900, 1, 0, (), 0)):
        consensus.receive(node, "b", "a", message, 1_000)
    assert [item.message for item in node.outgoing] == [StaleTerm(5), StaleTerm(5)]
    assert node.leader_id is None


def test_snapshot_does_not_replace_entries_that_follow_it():
    """Guards against losing synced entries that already count in a quorum.

    A restarted member doesn't know its commit index. So a leader with a compacted
    log may send it a snapshot that is older than the member's own log.
    """
    node = make_node([FIRST, *commands(2, 9, 1)], term=1)
    blob = codec.encode(Snapshot(4, 1, 0, group("a", "b", "c"), b"state"))
    chunk = SnapshotChunk(1, 4, 1, 0, len(blob), zlib.crc32(blob), blob)
    consensus.receive(node, "b", "a", chunk, 1_000)
    assert (node.log.last_index, node.durable_index) == (9, 9)
    assert (node.commit_index, node.snapshot_to_restore) == (4, None)
    assert sent_messages(node, ChunkAnswer) == [ChunkAnswer(1, 4, len(blob))]


def test_vote_waits_for_its_write():
    """Guards against two votes in one term, before and after a restart."""
    node = make_node()
    consensus.receive(node, "b", "a", VoteAsk(5, False, False, 9, 4), 5_000)
    assert node.writes[-1] == SaveVote(5, "b")
    assert [item.message.granted for item in node.outgoing] == [True]
    assert [item.after_write for item in node.outgoing] == [node.write_number]


def test_term_is_never_below_that_of_the_log():
    """Guards against an election in a past term.

    A crash can leave a snapshot stored without the term that came with it.
    """
    blob = codec.encode(Snapshot(4, 5, 0, group("a", "b", "c"), b"state"))
    recovered = Recovered(3, "b", SaveSnapshot(4, 5, blob, False), ())
    node = Node("a", recovered, random.Random(1), 0)
    assert (node.term, node.vote) == (5, None)


def test_damaged_snapshot_transfer_is_not_installed():
    """Guards against a state that is built from damaged chunks."""
    node = make_node()
    blob = codec.encode(Snapshot(4, 1, 0, group("a", "b", "c"), b"state"))
    damaged_chunk = SnapshotChunk(1, 4, 1, 0, len(blob), zlib.crc32(blob) ^ 1, blob)
    consensus.receive(node, "b", "a", damaged_chunk, 1_000)
    assert (node.commit_index, node.snapshot_to_restore) == (0, None)
    assert sent_messages(node, ChunkAnswer) == [ChunkAnswer(1, 4, 0)]
