"""Linearizable reads with Raft's read index.

A read gets the leader's commit index and is confirmed by a round of heartbeats that
began after the read was requested. A round that a quorum answered proves that no
other leader had committed anything when the round began. Many reads share one round,
and one round is open at a time.

Nearly all reads are for confirmations of entries' views. A round takes only a round
trip, so with 99 entries two reads at most share one, and followers get hundreds of
heartbeats a second. `Node.read_batch_ms` makes more of them wait for the same round.
"""

from cassiapitch import quorum, replication
from cassiapitch.node import Leadership, Node, PendingRead
from cassiapitch.raftmessages import ReadAnswer, ReadAsk

READS_LIMIT_COUNT = 4_096


def request_read(node: Node, token: int, now_ms: int) -> None:
    """Starts a read of this member; its outcome appears in `node.finished_reads`."""
    if node.leadership is not None:
        _add_read(node, node.leadership, None, node.run_id, token, now_ms)
    elif node.leader_id is not None:
        node.send(node.leader_id, ReadAsk(node.run_id, token))
    else:
        node.finish_read(None, node.run_id, token, None)


def on_read_ask(node: Node, sender: str, message: ReadAsk, now_ms: int) -> None:
    """Adds a follower's read to the next round, or fails it if not the leader."""
    if node.leadership is None:
        node.finish_read(sender, message.life, message.token, None)
    else:
        _add_read(node, node.leadership, sender, message.life, message.token, now_ms)


def on_read_answer(node: Node, message: ReadAnswer) -> None:
    """Ends this member's read, unless an earlier run of the process requested it."""
    if message.life == node.run_id:
        node.finish_read(None, message.life, message.token, message.index)


def _add_read(
    node: Node,
    leadership: Leadership,
    reader: str | None,
    run_id: int,
    token: int,
    now_ms: int,
) -> None:
    pending_count = len(leadership.pending_reads) + len(leadership.early_reads)
    if pending_count >= READS_LIMIT_COUNT:
        node.finish_read(reader, run_id, token, None)
    elif node.commit_index < leadership.first_index:
        leadership.early_reads.append((reader, run_id, token))
    else:
        round_number = leadership.round + 1
        read = PendingRead(round_number, reader, run_id, token, node.commit_index)
        leadership.pending_reads.append(read)
        advance(node, now_ms)


def advance(node: Node, now_ms: int) -> None:
    """Ends the open round if a quorum answered it, and starts the next one.

    The first commit of the leader also gives its early reads their index and round.
    """
    leadership = node.leadership
    if leadership is None or node.commit_index < leadership.first_index:
        return
    early = leadership.early_reads
    leadership.early_reads = []
    for reader, run_id, token in early:
        round_number = leadership.round + 1
        leadership.pending_reads.append(
            PendingRead(round_number, reader, run_id, token, node.commit_index)
        )
    leadership.confirmed_round = _confirmed_round(node, leadership)
    _finish_confirmed(node, leadership)
    due_ms = next_round_ms(node)
    if due_ms is not None and now_ms >= due_ms:
        leadership.round += 1
        leadership.round_started_ms = now_ms
        replication.send_heartbeats(node, leadership, now_ms)
        # In a group with one voter, the round is confirmed at once.
        leadership.confirmed_round = _confirmed_round(node, leadership)
        _finish_confirmed(node, leadership)


def next_round_ms(node: Node) -> int | None:
    """Returns when the next round may begin; call `advance` then.

    Returns None if no read waits for it, or if a round is still open: the answers to
    that one begin the next.
    """
    leadership = node.leadership
    if leadership is None or not leadership.pending_reads:
        return None
    if leadership.confirmed_round != leadership.round:
        return None
    if leadership.round_started_ms is None:
        return leadership.elected_ms
    return leadership.round_started_ms + node.read_batch_ms


def _finish_confirmed(node: Node, leadership: Leadership) -> None:
    reads = leadership.pending_reads
    while reads and reads[0].round <= leadership.confirmed_round:
        read = reads.popleft()
        node.finish_read(read.reader, read.run_id, read.token, read.index)


def _confirmed_round(node: Node, leadership: Leadership) -> int:
    rounds = [
        leadership.round
        if disk_id == node.own_id
        else leadership.progress[disk_id].acked_round
        for disk_id in quorum.voter_ids(node.group)
    ]
    return quorum.quorum_value(rounds)
