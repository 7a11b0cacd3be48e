"""Write-ahead log of a control member: log segments and snapshot files on disk.

A segment is a sequence of frames: magic, length, CRC-32, payload. Each batch of writes
is one frame, so a crash damages at most the last frame of the last segment.
Each segment begins with the term and vote, so that older segments can be deleted.
"""

import re
import struct
import zlib
from collections.abc import Iterator

import msgspec

from cassiapitch.disk_errors import storage_error
from cassiapitch.exceptions import StorageError
from cassiapitch.files import Files, write_atomically
from cassiapitch.node import Recovered, SaveEntries, SaveSnapshot, SaveVote, Write
from cassiapitch.raftmessages import Entry

SEGMENT_BYTES = 4 * 1024 * 1024
# The least that a disk writes whole.
_SECTOR_BYTES = 512
_MAGIC = b"\xc5pLg"
_HEADER = struct.Struct("<4sII")
_SEGMENT_PREFIX = "segment-"
_SNAPSHOT_PREFIX = "snapshot-"
_SEGMENT_NAME = re.compile(_SEGMENT_PREFIX + r"(\d+)")
_SNAPSHOT_NAME = re.compile(_SNAPSHOT_PREFIX + r"(\d+)-\d+")


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """One stored write; fields that it doesn't set are None.

    Attributes:
        vote: Current term, and the disk id voted for in it.
        entries: Entries to append; they replace stored ones from the first index on.
        reset: Index and term of a snapshot that replaces all entries before this.
    """

    vote: tuple[int, str | None] | None = None
    entries: tuple[Entry, ...] | None = None
    reset: tuple[int, int] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[_Record, ...])


def _decode(name: str, payload: bytes) -> tuple[_Record, ...]:
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise StorageError(f"{name}: invalid log record: {error}") from None


def encode_frame(payload: bytes) -> bytes:
    """Returns a payload framed with magic, length and checksum."""
    length = struct.pack("<I", len(payload))
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def _find_frame_end(data: bytes, start: int) -> int | None:
    """Returns the end offset of the frame at `start`, or None if it isn't valid."""
    if start + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, start)
    end = start + _HEADER.size + length
    if magic != _MAGIC or end > len(data):
        return None
    payload = memoryview(data)[start + _HEADER.size : end]
    actual_checksum = zlib.crc32(payload, zlib.crc32(struct.pack("<I", length)))
    return end if actual_checksum == checksum else None


def _has_frame_after(data: bytes, start: int) -> bool:
    """Tells whether a valid frame begins anywhere after `start`."""
    position = data.find(_MAGIC, start + 1)
    while position >= 0:
        if _find_frame_end(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def _is_unwritten(data: bytes, start: int) -> bool:
    """Tells whether a part of the frame at `start` never came to the disk.

    The file ends within the frame, or a sector of it holds nothing but zeros.
    """
    if start + _HEADER.size > len(data):
        return True
    magic, length, _ = _HEADER.unpack_from(data, start)
    if magic == _MAGIC and start + _HEADER.size + length > len(data):
        return True
    first_sector = start - start % _SECTOR_BYTES
    return any(
        not any(data[max(start, sector) : sector + _SECTOR_BYTES])
        for sector in range(first_sector, len(data), _SECTOR_BYTES)
    )


def read_frames(
    name: str, data: bytes, is_last: bool, *, may_be_unwritten: bool = False
) -> tuple[list[bytes], int]:
    """Returns the payloads of a file, and the length of its valid part.

    Args:
        name: The file's name, for error messages.
        data: The file's bytes.
        is_last: Whether it is the last segment, whose end a crash may have torn.
        may_be_unwritten: Whether its last frame may not have come to the disk.

    Raises:
        StorageError: A frame is damaged, and not by a crash during its write.
    """
    payloads: list[bytes] = []
    start = 0
    while start < len(data):
        end = _find_frame_end(data, start)
        if end is None:
            # A crash damages only the end of the last file. A valid frame after a
            # damaged one shows that the damaged one had been synced.
            may_be_torn = is_last or (may_be_unwritten and _is_unwritten(data, start))
            if not may_be_torn or _has_frame_after(data, start):
                raise StorageError(f"{name} is damaged at offset {start}")
            break
        payloads.append(data[start + _HEADER.size : end])
        start = end
    return payloads, start


class Journal:
    """Appends to the log segments of one folder; created by `open_journal`."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._segment_number = 0
        self._segment_bytes = 0
        # Length of the current segment that is known to be durable.
        self._synced_bytes = 0
        self._needs_repair = False
        self._vote: tuple[int, str | None] = (0, None)
        # Highest entry index in each older segment, by segment number.
        self._highest_index_by_segment: dict[int, int] = {}
        self._current_highest_index = 0
        # Entries up to here are in a durable snapshot and are to be deleted; 0 if none.
        self._obsolete_up_to_index = 0
        # Segments before the last whose end was lost, with what is left of them.
        self.torn_segments: dict[str, bytes] = {}

    def write(self, writes: list[Write]) -> None:
        """Writes a batch; it is durable after `sync`.

        If this or `sync` fails, the caller has to write the whole batch again.

        Raises:
            StorageRefusedError: The disk failed with an error that may be transient.
            StorageError: The disk failed with a permanent error.
        """
        try:
            if self._needs_repair:
                self._repair()
            self._needs_repair = True
            self._write(writes)
        except OSError as error:
            raise storage_error("write to the data folder", error) from error

    def _repair(self) -> None:
        """Truncates what a failed batch may have written after the last sync."""
        following = _segment_name(self._segment_number + 1)
        if following in self._files.list_names():
            # Left over from a refused `start_segment`; only the last segment may be
            # torn by a crash.
            self._files.remove(following)
        # Also if an earlier attempt has removed it: that may not be durable yet.
        self._files.sync_folder()
        name = _segment_name(self._segment_number)
        self._files.truncate(name, self._synced_bytes)
        self._files.sync(name)
        self._segment_bytes = self._synced_bytes

    def sync(self) -> None:
        """Makes everything written durable, then deletes obsolete files.

        Raises:
            StorageRefusedError: The disk failed with an error that may be transient.
            StorageError: The disk failed with a permanent error.
        """
        try:
            self._files.sync(_segment_name(self._segment_number))
            self._delete_obsolete()
            if self._segment_bytes > SEGMENT_BYTES:
                self.start_segment(self._segment_number + 1)
        except OSError as error:
            raise storage_error("sync of the data folder", error) from error
        self._synced_bytes = self._segment_bytes
        self._needs_repair = False

    def _write(self, writes: list[Write]) -> None:
        records: list[_Record] = []
        for write in writes:
            if isinstance(write, SaveVote):
                self._vote = (write.term, write.vote)
                records.append(_Record(vote=self._vote))
            elif isinstance(write, SaveEntries):
                records.append(_Record(entries=write.entries))
                last_index = write.entries[-1].index
                self._current_highest_index = max(
                    self._current_highest_index, last_index
                )
            else:
                # The snapshot has to be durable before the record that refers to it.
                write_atomically(
                    self._files, _snapshot_name(write), encode_frame(write.blob)
                )
                self._obsolete_up_to_index = max(
                    self._obsolete_up_to_index, write.index
                )
                if write.reset:
                    records.append(_Record(reset=(write.index, write.term)))
        if records:
            data = encode_frame(_encoder.encode(records))
            self._files.append(_segment_name(self._segment_number), data)
            self._segment_bytes += len(data)

    def start_segment(self, number: int, reset: tuple[int, int] | None = None) -> None:
        """Begins a new segment; its file name is durable before it is used."""
        data = encode_frame(_encoder.encode([_Record(vote=self._vote, reset=reset)]))
        write_atomically(self._files, _segment_name(number), data)
        # Only now is the old segment complete: if the disk refuses the new one, the
        # batch is written to the old one again.
        if self._segment_number > 0:
            self._highest_index_by_segment[self._segment_number] = (
                self._current_highest_index
            )
        self._segment_number = number
        self._segment_bytes = len(data)
        self._synced_bytes = len(data)
        self._current_highest_index = 0

    def _delete_obsolete(self) -> None:
        for number in sorted(self._highest_index_by_segment):
            if self._highest_index_by_segment[number] > self._obsolete_up_to_index:
                break
            # Deletions are synced one by one: if a crash undid the deletion of a
            # segment but not of its successor, entries that the successor had
            # replaced would be valid again.
            name = _segment_name(number)
            if name in self._files.list_names():
                # A failed attempt may have removed it already.
                self._files.remove(name)
            self._files.sync_folder()
            del self._highest_index_by_segment[number]
        if self._obsolete_up_to_index > 0:
            for name in self._files.list_names():
                index = _snapshot_index(name)
                if index is not None and index < self._obsolete_up_to_index:
                    self._files.remove(name)
            self._obsolete_up_to_index = 0

    def load(self) -> Recovered:
        """Reads all files; called once, by `open_journal`."""
        names = self._files.list_names()
        for name in names:
            if name.endswith(".tmp"):
                self._files.remove(name)
        snapshot = self._load_snapshot(names)
        replay = _Replay()
        numbers = sorted(_segment_numbers(names))
        begun_count = self._count_begun(numbers)
        # Builds before d82bc2e began a segment without syncing the one before, which a
        # loss of power could tear then.
        older_numbers = numbers[: len(numbers) - begun_count]
        unsynced_number = older_numbers[-1] if older_numbers else None
        contents: list[bytes] = []
        for number in numbers:
            segment = self._load_segment(
                number, number == numbers[-1], number == unsynced_number, replay
            )
            # Only the last two may be written again.
            contents = [*contents[-1:], segment]
        number = numbers[-1] + 1 if numbers else 1
        if numbers and not replay.has_additions:
            # Left over from a start that the disk refused, or from one that added
            # nothing; its number is used again.
            number = numbers.pop()
            contents.pop()
            self._highest_index_by_segment.pop(number)
        for name, valid in self.torn_segments.items():
            write_atomically(self._files, name, valid)
        if numbers:
            # A process that was killed may have written records without syncing them.
            # This member acts on them, and the next segment makes this one an older
            # one, which must be whole. Syncing it in place doesn't do: after a failed
            # sync, also of a former process, the kernel may hold bytes that it won't
            # write any more.
            write_atomically(self._files, _segment_name(numbers[-1]), contents[-1])
        entries = replay.entries_after(snapshot)
        reset = replay.last_reset
        if snapshot is not None and replay.entries and not entries:
            # The snapshot replaces all stored entries. Without a reset record the
            # next start would replay them together with the entries added from now.
            reset = (snapshot.index, snapshot.term)
        self._vote = replay.vote
        # Each run starts a new segment, so that a truncated one never grows again.
        self.start_segment(number, reset)
        return Recovered(replay.vote[0], replay.vote[1], snapshot, entries)

    def _count_begun(self, numbers: list[int]) -> int:
        """Returns how many of the last segments hold only their first record.

        The last one may lack that too, if its start was cut.
        """
        count = 0
        for number in reversed(numbers):
            name = _segment_name(number)
            data = self._files.read(name)
            end = _find_frame_end(data, 0)
            is_empty = end is None and not count and not _has_frame_after(data, 0)
            if not is_empty:
                if end is None or end < len(data):
                    break
                records = _decode(name, data[_HEADER.size :])
                if any(record.entries for record in records):
                    break
            count += 1
        return count

    def _load_segment(
        self, number: int, is_last: bool, may_be_unwritten: bool, replay: "_Replay"
    ) -> bytes:
        """Replays a segment; returns its valid part."""
        name = _segment_name(number)
        data = self._files.read(name)
        payloads, valid_bytes = read_frames(
            name, data, is_last, may_be_unwritten=may_be_unwritten
        )
        if valid_bytes < len(data) and not is_last:
            self.torn_segments[name] = data[:valid_bytes]
        highest_index = 0
        for payload in payloads:
            for record in _decode(name, payload):
                replay.apply(name, record)
                if record.entries:
                    highest_index = max(highest_index, record.entries[-1].index)
        self._highest_index_by_segment[number] = highest_index
        replay.has_additions = len(payloads) > 1 or highest_index > 0
        return data[:valid_bytes]

    def _load_snapshot(self, names: list[str]) -> SaveSnapshot | None:
        indexed_names = [(_snapshot_index(name), name) for name in names]
        snapshots = [
            (index, name) for index, name in indexed_names if index is not None
        ]
        if not snapshots:
            return None
        index, name = max(snapshots)
        payloads, _ = read_frames(name, self._files.read(name), is_last=False)
        if len(payloads) != 1:
            raise StorageError(f"{name} is damaged at offset 0")
        return SaveSnapshot(index, _snapshot_term(name), payloads[0], reset=False)


class _Replay:
    """Term, vote and entries after the records applied so far.

    Attributes:
        vote: Current term, and the disk id voted for in it.
        entries: The stored entries.
        last_reset: The last reset, if no entries have followed it.
        has_additions: Whether the last segment holds more than its first record.
    """

    def __init__(self) -> None:
        self.vote: tuple[int, str | None] = (0, None)
        self.entries: list[Entry] = []
        self.last_reset: tuple[int, int] | None = None
        self.has_additions = False

    def apply(self, name: str, record: _Record) -> None:
        if record.vote is not None:
            self.vote = record.vote
        if record.reset is not None:
            self.entries = []
            self.last_reset = record.reset
        if record.entries:
            self.last_reset = None
            self._append(name, record.entries)

    def _append(self, name: str, entries: tuple[Entry, ...]) -> None:
        first_index = entries[0].index
        if self.entries:
            kept_count = first_index - self.entries[0].index
            if kept_count > len(self.entries):
                raise StorageError(f"{name}: entries before {first_index} are missing")
            del self.entries[max(0, kept_count) :]
        self.entries.extend(entries)

    def entries_after(self, snapshot: SaveSnapshot | None) -> tuple[Entry, ...]:
        """Returns the entries that follow the snapshot.

        Raises:
            StorageError: Entries between the snapshot and the first one are missing.
        """
        entries = self.entries
        if not entries:
            return ()
        base_index = 0 if snapshot is None else snapshot.index
        if entries[0].index > base_index + 1:
            raise StorageError(
                f"entries {base_index + 1} to {entries[0].index - 1} missing"
            )
        position = base_index - entries[0].index
        if snapshot is None or position < 0:
            return tuple(entries)
        # A crash after a received snapshot was stored and before its reset record was
        # leaves the old, conflicting log; the snapshot replaces all of it.
        if position >= len(entries) or entries[position].term != snapshot.term:
            return ()
        return tuple(entries[position + 1 :])


def open_journal(files: Files) -> tuple[Journal, Recovered]:
    """Opens a folder's journal and returns it with the state read from it.

    Raises:
        StorageRefusedError: The disk failed with an error that may pass.
        StorageError: A file is damaged, or the disk failed for good.
    """
    journal = Journal(files)
    try:
        return journal, journal.load()
    except OSError as error:
        raise storage_error(
            "opening the data folder", error, is_opening=True
        ) from error


def _segment_name(number: int) -> str:
    return f"{_SEGMENT_PREFIX}{number:08d}"


def is_log_name(name: str) -> bool:
    """Returns whether a file holds a part of a log."""
    return bool(_SEGMENT_NAME.fullmatch(name) or _SNAPSHOT_NAME.fullmatch(name))


def _segment_numbers(names: list[str]) -> Iterator[int]:
    for name in names:
        if match := _SEGMENT_NAME.fullmatch(name):
            yield int(match[1])


def _snapshot_name(write: SaveSnapshot) -> str:
    return f"{_SNAPSHOT_PREFIX}{write.index:016d}-{write.term:010d}"


def _snapshot_index(name: str) -> int | None:
    match = _SNAPSHOT_NAME.fullmatch(name)
    return None if match is None else int(match[1])


def _snapshot_term(name: str) -> int:
    return int(name.split("-")[2])
