"""Takes snapshots, sends them in chunks to members that lag behind, installs them."""

import zlib

from cassiapitch import codec
from cassiapitch.node import Node, Progress, SaveSnapshot
from cassiapitch.raftmessages import ChunkAnswer, Snapshot, SnapshotChunk

CHUNK_BYTES = 256 * 1024
# Log entries up to a snapshot that stay in memory, so that a member that was
# unreachable for a moment receives entries instead of the whole state.
RETAINED_COUNT = 1_024


def take(node: Node, data: bytes, retained_count: int = RETAINED_COUNT) -> None:
    """Stores a snapshot of the state machine at the applied index.

    Args:
        node: The consensus state of this member.
        data: The state machine's state.
        retained_count: Entries up to the snapshot to keep in memory.
    """
    index = node.applied_index
    if index <= node.log.base_index:
        return
    entry = node.log.entry(index)
    snapshot = Snapshot(index, entry.term, entry.time_ms, node.group_at(index), data)
    saved = SaveSnapshot(index, entry.term, codec.encode(snapshot), reset=False)
    node.compact(saved, retained_count)


def start_sending(node: Node, disk_id: str, progress: Progress, now_ms: int) -> None:
    """Starts to send the newest snapshot to a member."""
    saved = node.snapshot
    assert saved is not None, "entries are removed only after a snapshot covers them"
    progress.snapshot = saved
    progress.snapshot_offset = 0
    progress.snapshot_checksum = zlib.crc32(saved.blob)
    progress.last_progress_ms = now_ms
    send_chunk(node, disk_id, progress)


def send_chunk(node: Node, disk_id: str, progress: Progress) -> None:
    """Sends the chunk that the member needs next."""
    saved = progress.snapshot
    assert saved is not None
    offset = progress.snapshot_offset
    message = SnapshotChunk(
        node.term,
        saved.index,
        saved.term,
        offset,
        len(saved.blob),
        progress.snapshot_checksum,
        saved.blob[offset : offset + CHUNK_BYTES],
    )
    node.send(disk_id, message)


def on_chunk(node: Node, sender: str, chunk: SnapshotChunk) -> None:
    """Collects received chunks; installs the snapshot when it is complete."""
    if node.log.term_at(chunk.index) == chunk.index_term:
        # The log holds the snapshot's last entry. Later entries may already count
        # towards a quorum, so the snapshot must not replace them.
        node.commit_index = max(node.commit_index, chunk.index)
    if chunk.index <= node.commit_index:
        answer = ChunkAnswer(node.term, chunk.index, chunk.total_bytes)
        node.send_synced(sender, answer)
        return
    identity = (chunk.term, chunk.index, chunk.checksum)
    if identity != node.incoming_snapshot_id:
        node.incoming_snapshot_id = identity
        node.incoming_snapshot = bytearray()
    if chunk.offset == len(node.incoming_snapshot):
        node.incoming_snapshot += chunk.data
    if len(node.incoming_snapshot) == chunk.total_bytes:
        _install_if_valid(node, chunk)
    if chunk.index <= node.commit_index:
        next_offset = chunk.total_bytes
    else:
        next_offset = len(node.incoming_snapshot)
    node.send_synced(sender, ChunkAnswer(node.term, chunk.index, next_offset))


def _install_if_valid(node: Node, chunk: SnapshotChunk) -> None:
    """Installs the received snapshot if its checksum matches."""
    blob = bytes(node.incoming_snapshot)
    node.incoming_snapshot = bytearray()
    node.incoming_snapshot_id = None
    if zlib.crc32(blob) == chunk.checksum:
        node.install(SaveSnapshot(chunk.index, chunk.index_term, blob, reset=True))


def on_chunk_answer(node: Node, sender: str, answer: ChunkAnswer, now_ms: int) -> bool:
    """Sends the next chunk; returns whether the member can receive entries now."""
    leadership = node.leadership
    progress = None if leadership is None else leadership.progress.get(sender)
    if progress is None or progress.snapshot is None:
        return False
    saved = progress.snapshot
    if saved.index != answer.index:
        return False
    progress.last_progress_ms = now_ms
    if answer.next_offset >= len(saved.blob):
        progress.snapshot = None
        progress.match_index = max(progress.match_index, saved.index)
        progress.next_index = progress.match_index + 1
        progress.probing = True
        progress.in_flight_count = 0
        return True
    if answer.next_offset == progress.snapshot_offset:
        # A duplicate answer. If the chunk was lost, a timeout sends it again.
        return False
    progress.snapshot_offset = answer.next_offset
    send_chunk(node, sender, progress)
    return False
