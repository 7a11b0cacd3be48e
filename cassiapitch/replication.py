"""Replication: appends, heartbeats, commit, lease, and their answers."""

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
# A pipeline without any accepted message for this long starts again from what the
# follower is known to have.
RESEND_MS = 300


def append_own(node: Node, items: list[tuple[EntryKind, bytes]], now_ms: int) -> int:
    """Appends a leader's own entries and sends them; returns the first index."""
    leadership = node.leadership
    assert leadership is not None
    elapsed_ms = max(0, now_ms - leadership.elected_ms)
    time_ms = max(node.last_time_ms, leadership.base_time_ms + elapsed_ms)
    first = node.log.last_index + 1
    entries = tuple(
        Entry(first + offset, node.term, time_ms, kind, data)
        for offset, (kind, data) in enumerate(items)
    )
    node.append(entries)
    _follow_group(node, leadership)
    send_entries(node, leadership, now_ms)
    return first


def _follow_group(node: Node, leadership: Leadership) -> None:
    wanted = {one.disk_id for one in node.group.members} - {node.own_id}
    for disk_id in leadership.progress.keys() - wanted:
        del leadership.progress[disk_id]
    for disk_id in wanted - leadership.progress.keys():
        leadership.progress[disk_id] = Progress(node.log.last_index + 1)


def send_entries(node: Node, leadership: Leadership, now_ms: int) -> None:
    """Sends every member what it lacks, as far as its pipeline has room."""
    for disk_id, progress in leadership.progress.items():
        _send_to(node, leadership, disk_id, progress, now_ms)


def _send_to(
    node: Node, leadership: Leadership, disk_id: str, progress: Progress, now_ms: int
) -> None:
    limit_count = 1 if progress.probing else PIPELINE_COUNT
    while progress.waiting_count < limit_count and progress.snapshot is None:
        # A member whose position is unknown is probed, even without new entries.
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
        if progress.waiting_count == 0:
            progress.progress_ms = now_ms
        progress.waiting_count += 1
        if not progress.probing:
            progress.next_index += len(entries)


def send_heartbeats(node: Node, leadership: Leadership, now_ms: int) -> None:
    """Sends a heartbeat with the current read round to every member."""
    leadership.next_heartbeat_ms = now_ms + HEARTBEAT_MS
    for disk_id, progress in leadership.progress.items():
        # A member must not take an entry for committed that it may have to replace.
        commit_index = min(node.commit_index, progress.match_index)
        message = Heartbeat(node.term, leadership.round, now_ms, commit_index)
        node.send(disk_id, message)


def tick(node: Node, now_ms: int) -> None:
    """Sends heartbeats, restarts stuck pipelines, or steps down."""
    leadership = node.leadership
    if leadership is None:
        return
    contact_ms = quorum_contact_ms(node, now_ms)
    if contact_ms is None or contact_ms < leadership.elected_ms:
        contact_ms = leadership.elected_ms
    if now_ms - contact_ms > STEP_DOWN_MS:
        node.become_follower(node.term, None, now_ms)
        return
    if leadership.transfer_to and now_ms >= leadership.transfer_until_ms:
        leadership.transfer_to = None
    if now_ms >= leadership.next_heartbeat_ms:
        send_heartbeats(node, leadership, now_ms)
    for disk_id, progress in leadership.progress.items():
        if now_ms - progress.progress_ms < RESEND_MS:
            continue
        if progress.snapshot is not None:
            progress.progress_ms = now_ms
            snapshots.send_chunk(node, disk_id, progress)
        elif progress.waiting_count > 0:
            progress.progress_ms = now_ms
            progress.probing = True
            progress.waiting_count = 0
            progress.next_index = progress.match_index + 1
            _send_to(node, leadership, disk_id, progress, now_ms)


def quorum_contact_ms(node: Node, now_ms: int) -> int | None:
    """Returns since when at the latest a quorum has certainly followed."""
    leadership = node.leadership
    voters = quorum.voter_ids(node.group)
    if leadership is None or not voters:
        return None
    times_ms = []
    for disk_id in voters:
        progress = leadership.progress.get(disk_id)
        if disk_id == node.own_id:
            times_ms.append(now_ms)
        elif progress is None or progress.acked_ms is None:
            times_ms.append(-1)
        else:
            times_ms.append(progress.acked_ms)
    value_ms = quorum.quorum_value(times_ms)
    return None if value_ms < 0 else value_ms


def has_lease(node: Node, now_ms: int) -> bool:
    """Tells whether this member leads and no other member can lead now."""
    leadership = node.leadership
    if leadership is None or node.commit_index < leadership.first_index:
        return False
    contact_ms = quorum_contact_ms(node, now_ms)
    return contact_ms is not None and now_ms - contact_ms < LEASE_MS


# The follower's side.


def follow(node: Node, sender: str, now_ms: int) -> None:
    """Notes a message of the term's leader."""
    if node.role is not Role.FOLLOWER or node.leader_id != sender:
        node.become_follower(node.term, sender, now_ms)
    node.heard_ms = now_ms
    node.elections_count = 0
    node.reset_election_timer(now_ms)


def on_heartbeat(node: Node, sender: str, message: Heartbeat, now_ms: int) -> None:
    """Answers a heartbeat; that needs only the term to be synced."""
    follow(node, sender, now_ms)
    _raise_commit(node, message.commit_index)
    answer = HeartbeatAnswer(node.term, message.round, message.sent_ms)
    node.send(sender, answer, node.vote_write_number)


def on_append(node: Node, sender: str, message: Append, now_ms: int) -> None:
    """Adds entries if the previous one matches; answers once they are synced."""
    follow(node, sender, now_ms)
    previous_term = node.log.term_at(message.previous_index)
    behind_base = message.previous_index < node.log.base_index
    if not behind_base and previous_term != message.previous_term:
        _answer_append(node, sender, message, accepted=False, match_index=0)
        return
    match_index = message.previous_index + len(message.entries)
    _add_entries(node, message.entries)
    # Entries up to the base are committed here, so that they match in any case.
    _raise_commit(node, min(message.commit_index, match_index))
    _answer_append(node, sender, message, accepted=True, match_index=match_index)


def _add_entries(node: Node, entries: tuple[Entry, ...]) -> None:
    for position, entry in enumerate(entries):
        if entry.index <= node.log.base_index:
            continue
        held_term = node.log.term_at(entry.index)
        if held_term == entry.term:
            continue
        if held_term is not None:
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
    # The hint skips at once what this member doesn't hold, and never a committed
    # entry, since those equal the leader's.
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


def _raise_commit(node: Node, commit_index: int) -> None:
    highest = min(commit_index, node.log.last_index)
    node.commit_index = max(node.commit_index, highest)


# The leader's side of answers.


def note_contact(
    node: Node, sender: str, round_number: int, sent_ms: int
) -> Progress | None:
    """Notes that a member answered; None if it isn't in the group."""
    leadership = node.leadership
    progress = None if leadership is None else leadership.progress.get(sender)
    if progress is None:
        return None
    progress.acked_ms = max(sent_ms, progress.acked_ms or 0)
    progress.acked_round = max(round_number, progress.acked_round)
    return progress


def on_append_answer(
    node: Node, sender: str, answer: AppendAnswer, now_ms: int
) -> None:
    """Moves a member's progress and the commit index."""
    progress = note_contact(node, sender, answer.round, answer.sent_ms)
    leadership = node.leadership
    if progress is None or leadership is None or progress.snapshot is not None:
        return
    if answer.accepted:
        progress.waiting_count = max(0, progress.waiting_count - 1)
        progress.progress_ms = now_ms
        progress.probing = False
        progress.match_index = max(progress.match_index, answer.match_index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)
        advance_commit(node, now_ms)
    elif progress.match_index < answer.previous_index < progress.next_index:
        progress.probing = True
        progress.waiting_count = 0
        progress.next_index = max(progress.match_index, answer.last_index) + 1
    _send_to(node, leadership, sender, progress, now_ms)


def on_chunk_answer(node: Node, sender: str, answer: ChunkAnswer, now_ms: int) -> None:
    """Sends the next part of a snapshot, or the entries after it."""
    is_complete = snapshots.on_chunk_answer(node, sender, answer, now_ms)
    leadership = node.leadership
    if is_complete and leadership is not None:
        advance_commit(node, now_ms)
        progress = leadership.progress.get(sender)
        if progress is not None:
            _send_to(node, leadership, sender, progress, now_ms)


def advance_commit(node: Node, now_ms: int) -> None:
    """Commits what a quorum has synced, if it is of the leader's own term."""
    leadership = node.leadership
    if leadership is None:
        return
    matched = []
    for disk_id in quorum.voter_ids(node.group):
        if disk_id == node.own_id:
            matched.append(node.durable_index)
        else:
            matched.append(leadership.progress[disk_id].match_index)
    index = quorum.quorum_value(matched)
    if index <= node.commit_index or node.log.term_at(index) != node.term:
        return
    node.commit_index = index
    is_member = quorum.member_by_id(node.group, node.own_id) is not None
    if not is_member and node.group_index <= index:
        # A removed leader leads until its removal is committed.
        node.become_follower(node.term, None, now_ms)


def encode_group_entry(group: object) -> tuple[EntryKind, bytes]:
    """Returns the kind and data of an entry that carries a group."""
    return (EntryKind.GROUP, codec.encode(group))
