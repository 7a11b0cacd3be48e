"""Replication of the log: appends, heartbeats, commit index and leader lease."""

from cassiapitch import codec, quorum, snapshots
from cassiapitch.exceptions import StorageError
from cassiapitch.node import (
    HEARTBEAT_MS,
    LEASE_MS,
    STEP_DOWN_MS,
    Leadership,
    Node,
    Progress,
    Role,
)
from cassiapitch.raftmessages import (
    Append,
    AppendAnswer,
    ChunkAnswer,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatAnswer,
)

MESSAGE_BYTES = 256 * 1024
PIPELINE_COUNT = 16
# If no message of a pipeline is accepted for this long, the leader sends again, from
# the entry after the last one that the follower is known to have.
RESEND_MS = 300


def append_own(node: Node, items: list[tuple[EntryKind, bytes]], now_ms: int) -> int:
    """Appends new entries to the leader's log and sends them.

    Returns the index of the first one.
    """
    leadership = node.leadership
    assert leadership is not None
    elapsed_ms = max(0, now_ms - leadership.elected_ms)
    time_ms = max(node.last_time_ms, leadership.base_time_ms + elapsed_ms)
    first_index = node.log.last_index + 1
    entries = tuple(
        Entry(first_index + offset, node.term, time_ms, kind, data)
        for offset, (kind, data) in enumerate(items)
    )
    node.append(entries)
    _track_group_members(node, leadership, now_ms)
    send_entries(node, leadership, now_ms)
    return first_index


def _track_group_members(node: Node, leadership: Leadership, now_ms: int) -> None:
    other_ids = {member.disk_id for member in node.group.members} - {node.own_id}
    for disk_id in leadership.progress.keys() - other_ids:
        del leadership.progress[disk_id]
    for disk_id in other_ids - leadership.progress.keys():
        leadership.progress[disk_id] = Progress(node.log.last_index + 1, now_ms)


def send_entries(node: Node, leadership: Leadership, now_ms: int) -> None:
    """Sends every member the entries that it lacks, up to the pipeline's limit."""
    for disk_id, progress in leadership.progress.items():
        _send_entries_to(node, leadership, disk_id, progress, now_ms)


def _send_entries_to(
    node: Node, leadership: Leadership, disk_id: str, progress: Progress, now_ms: int
) -> None:
    limit_count = 1 if progress.probing else PIPELINE_COUNT
    while progress.in_flight_count < limit_count and progress.snapshot is None:
        # A member whose match index is unknown is probed, even without new entries.
        is_known = not progress.probing
        if progress.next_index > node.log.last_index and is_known:
            return
        previous_term = node.log.term_at(progress.next_index - 1)
        if previous_term is None:
            snapshots.start_sending(node, disk_id, progress, now_ms)
            return
        entries = node.log.slice(
            progress.next_index, node.log.last_index, MESSAGE_BYTES
        )
        message = Append(
            node.term,
            leadership.round,
            now_ms,
            progress.next_index - 1,
            previous_term,
            entries,
            node.commit_index,
        )
        node.send(disk_id, message)
        if progress.in_flight_count == 0:
            progress.last_progress_ms = now_ms
        progress.in_flight_count += 1
        if not progress.probing:
            progress.next_index += len(entries)


def send_heartbeats(node: Node, leadership: Leadership, now_ms: int) -> None:
    """Sends every member a heartbeat with the current read round."""
    leadership.next_heartbeat_ms = now_ms + HEARTBEAT_MS
    for disk_id, progress in leadership.progress.items():
        # Beyond its match index, a member may hold entries of another leader, which
        # it must not count as committed.
        commit_index = min(node.commit_index, progress.match_index)
        message = Heartbeat(node.term, leadership.round, now_ms, commit_index)
        node.send(disk_id, message)


def tick(node: Node, now_ms: int) -> None:
    """Sends due heartbeats, resends what got no answer, or steps down."""
    leadership = node.leadership
    if leadership is None:
        return
    contact_ms = quorum_contact_ms(node, now_ms)
    if contact_ms is None or contact_ms < leadership.elected_ms:
        contact_ms = leadership.elected_ms
    if now_ms - contact_ms > STEP_DOWN_MS:
        node.become_follower(node.term, None, now_ms)
        return
    if leadership.transfer_to and now_ms >= leadership.transfer_deadline_ms:
        leadership.transfer_to = None
    if now_ms >= leadership.next_heartbeat_ms:
        send_heartbeats(node, leadership, now_ms)
    for disk_id, progress in leadership.progress.items():
        if now_ms - progress.last_progress_ms < RESEND_MS:
            continue
        if progress.snapshot is not None:
            progress.last_progress_ms = now_ms
            snapshots.send_chunk(node, disk_id, progress)
        elif progress.in_flight_count > 0:
            progress.last_progress_ms = now_ms
            progress.probing = True
            progress.in_flight_count = 0
            progress.next_index = progress.match_index + 1
            _send_entries_to(node, leadership, disk_id, progress, now_ms)


def quorum_contact_ms(node: Node, now_ms: int) -> int | None:
    """Returns the newest send time of messages that a quorum has answered.

    The leader counts as in contact now. Returns None without a leadership or if no
    quorum has answered yet.
    """
    leadership = node.leadership
    voters = quorum.voter_ids(node.group)
    if leadership is None or not voters:
        return None
    contact_times_ms = []
    for disk_id in voters:
        progress = leadership.progress.get(disk_id)
        if disk_id == node.own_id:
            contact_times_ms.append(now_ms)
        elif progress is None or progress.acked_sent_ms is None:
            contact_times_ms.append(-1)
        else:
            contact_times_ms.append(progress.acked_sent_ms)
    quorum_ms = quorum.quorum_value(contact_times_ms)
    return None if quorum_ms < 0 else quorum_ms


def has_lease(node: Node, now_ms: int) -> bool:
    """Returns whether this member leads and no other member can lead now."""
    leadership = node.leadership
    if leadership is None or node.commit_index < leadership.first_index:
        return False
    contact_ms = quorum_contact_ms(node, now_ms)
    return contact_ms is not None and now_ms - contact_ms < LEASE_MS


# Follower.


def follow_leader(node: Node, sender: str, now_ms: int) -> None:
    """Follows the sender, the leader of the term, and restarts the election timer."""
    if node.role is not Role.FOLLOWER or node.leader_id != sender:
        node.become_follower(node.term, sender, now_ms)
    node.leader_contact_ms = now_ms
    node.elections_count = 0
    node.reset_election_timer(now_ms)


def on_heartbeat(node: Node, sender: str, message: Heartbeat, now_ms: int) -> None:
    """Answers a heartbeat; the answer waits only until the term is synced."""
    follow_leader(node, sender, now_ms)
    _raise_commit_index(node, message.commit_index)
    answer = HeartbeatAnswer(node.term, message.round, message.sent_ms)
    node.send(sender, answer, node.vote_write_number)


def on_append(node: Node, sender: str, message: Append, now_ms: int) -> None:
    """Adds entries if the previous one matches, and answers once they are synced."""
    follow_leader(node, sender, now_ms)
    previous_term = node.log.term_at(message.previous_index)
    is_before_base = message.previous_index < node.log.base_index
    if not is_before_base and previous_term != message.previous_term:
        _answer_append(node, sender, message, accepted=False, match_index=0)
        return
    match_index = message.previous_index + len(message.entries)
    _add_entries(node, message.entries)
    # Entries up to the base are committed on this member, so they always match.
    _raise_commit_index(node, min(message.commit_index, match_index))
    _answer_append(node, sender, message, accepted=True, match_index=match_index)


def _add_entries(node: Node, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= node.log.base_index:
            continue
        local_term = node.log.term_at(entry.index)
        if local_term == entry.term:
            continue
        if local_term is not None:
            if entry.index <= node.commit_index:
                raise StorageError(
                    f"the leader's entry {entry.index} differs from a committed one; "
                    "this disk holds the log of another group"
                )
            node.truncate_from(entry.index)
        node.append(entries[position:])
        return


def _answer_append(
    node: Node, sender: str, message: Append, *, accepted: bool, match_index: int
) -> None:
    # After a rejection, the leader goes back to this index in one step. It skips what
    # this member lacks, and no committed entry, since those equal the leader's.
    hint = min(node.log.last_index, message.previous_index - 1)
    answer = AppendAnswer(
        node.term,
        message.round,
        message.sent_ms,
        accepted,
        match_index,
        message.previous_index,
        max(hint, node.commit_index),
    )
    node.send_synced(sender, answer)


def _raise_commit_index(node: Node, commit_index: int) -> None:
    new_index = min(commit_index, node.log.last_index)
    node.commit_index = max(node.commit_index, new_index)


# Leader: answers of the followers.


def record_contact(
    node: Node, sender: str, round_number: int, sent_ms: int
) -> Progress | None:
    """Records an answer of a member.

    Returns the member's progress, or None if it isn't in the group or if this member
    doesn't lead.
    """
    leadership = node.leadership
    progress = None if leadership is None else leadership.progress.get(sender)
    if progress is None:
        return None
    progress.acked_sent_ms = max(sent_ms, progress.acked_sent_ms or 0)
    progress.acked_round = max(round_number, progress.acked_round)
    return progress


def on_append_answer(
    node: Node, sender: str, answer: AppendAnswer, now_ms: int
) -> None:
    """Updates a member's progress and the commit index, and sends what comes next."""
    progress = record_contact(node, sender, answer.round, answer.sent_ms)
    leadership = node.leadership
    if progress is None or leadership is None or progress.snapshot is not None:
        return
    if answer.accepted:
        progress.in_flight_count = max(0, progress.in_flight_count - 1)
        progress.last_progress_ms = now_ms
        progress.probing = False
        progress.match_index = max(progress.match_index, answer.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(node, now_ms)
    elif progress.match_index < answer.previous_index < progress.next_index:
        progress.probing = True
        progress.in_flight_count = 0
        progress.next_index = max(progress.match_index, answer.last_index) + 1
    _send_entries_to(node, leadership, sender, progress, now_ms)


def on_chunk_answer(node: Node, sender: str, answer: ChunkAnswer, now_ms: int) -> None:
    """Sends the next chunk of a snapshot, or the entries after the snapshot."""
    is_complete = snapshots.on_chunk_answer(node, sender, answer, now_ms)
    leadership = node.leadership
    if is_complete and leadership is not None:
        advance_commit(node, now_ms)
        progress = leadership.progress.get(sender)
        if progress is not None:
            _send_entries_to(node, leadership, sender, progress, now_ms)


def advance_commit(node: Node, now_ms: int) -> None:
    """Commits entries that a quorum has synced, if the last is of the leader's term."""
    leadership = node.leadership
    if leadership is None:
        return
    synced_indexes = []
    for disk_id in quorum.voter_ids(node.group):
        if disk_id == node.own_id:
            synced_indexes.append(node.durable_index)
        else:
            synced_indexes.append(leadership.progress[disk_id].match_index)
    index = quorum.quorum_value(synced_indexes)
    if index <= node.commit_index or node.log.term_at(index) != node.term:
        return
    node.commit_index = index
    is_member = quorum.member_by_id(node.group, node.own_id) is not None
    if not is_member and node.group_index <= index:
        # A leader that was removed steps down once its removal is committed.
        node.become_follower(node.term, None, now_ms)


def encode_group_entry(group: object) -> tuple[EntryKind, bytes]:
    """Returns the kind and data of a log entry that holds a group."""
    return (EntryKind.GROUP, codec.encode(group))
