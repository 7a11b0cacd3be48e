"""Read index: reads confirmed by a heartbeat round that began after they were asked.

A round that a quorum answered proves that no other leader had committed anything
when the round began. Many reads share one round, and one round is open at a time.
"""

from cassiapitch import quorum, replication
from cassiapitch.node import Leadership, Node, PendingRead
from cassiapitch.raftmessages import ReadAnswer, ReadAsk

READS_LIMIT_COUNT = 4_096


def ask(node: Node, token: int, now_ms: int) -> None:
    """Asks for this member's own read; the answer appears in `node.reads`."""
    if node.leadership is not None:
        _start(node, node.leadership, None, node.life, token, now_ms)
    elif node.leader_id is not None:
        node.send(node.leader_id, ReadAsk(node.life, token))
    else:
        node.finish_read(None, node.life, token, None)


def on_read_ask(node: Node, sender: str, message: ReadAsk, now_ms: int) -> None:
    """Takes a follower's read into a round."""
    if node.leadership is None:
        node.finish_read(sender, message.life, message.token, None)
    else:
        _start(node, node.leadership, sender, message.life, message.token, now_ms)


def on_read_answer(node: Node, message: ReadAnswer) -> None:
    """Passes a confirmed index on, if it was asked in this run."""
    if message.life == node.life:
        node.finish_read(None, message.life, message.token, message.index)


def _start(
    node: Node,
    leadership: Leadership,
    reader: str | None,
    life: int,
    token: int,
    now_ms: int,
) -> None:
    waiting_count = len(leadership.reads) + len(leadership.early_reads)
    if waiting_count >= READS_LIMIT_COUNT:
        node.finish_read(reader, life, token, None)
    elif node.commit_index < leadership.first_index:
        leadership.early_reads.append((reader, life, token))
    else:
        number = leadership.round + 1
        read = PendingRead(number, reader, life, token, node.commit_index)
        leadership.reads.append(read)
        advance(node, now_ms)


def advance(node: Node, now_ms: int) -> None:
    """Ends the open round if a quorum answered it, and begins the next one."""
    leadership = node.leadership
    if leadership is None or node.commit_index < leadership.first_index:
        return
    early = leadership.early_reads
    leadership.early_reads = []
    for reader, life, token in early:
        number = leadership.round + 1
        leadership.reads.append(
            PendingRead(number, reader, life, token, node.commit_index)
        )
    leadership.confirmed_round = _confirmed_round(node, leadership)
    _finish_confirmed(node, leadership)
    if leadership.reads and leadership.confirmed_round == leadership.round:
        leadership.round += 1
        replication.send_heartbeats(node, leadership, now_ms)
        # A group with one voter has nobody to wait for.
        leadership.confirmed_round = _confirmed_round(node, leadership)
        _finish_confirmed(node, leadership)


def _finish_confirmed(node: Node, leadership: Leadership) -> None:
    reads = leadership.reads
    while reads and reads[0].round <= leadership.confirmed_round:
        read = reads.popleft()
        node.finish_read(read.reader, read.life, read.token, read.index)


def _confirmed_round(node: Node, leadership: Leadership) -> int:
    rounds = [
        leadership.round
        if disk_id == node.own_id
        else leadership.progress[disk_id].acked_round
        for disk_id in quorum.voter_ids(node.group)
    ]
    return quorum.quorum_value(rounds)
