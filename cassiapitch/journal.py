"""The member's files: log segments and snapshots.

A segment is a sequence of frames: magic, length, CRC-32, payload. A batch of writes
is one frame, so that a crash damages at most the last frame of the last segment.
Each segment begins with the term and vote, so that older ones can be deleted.
"""

import errno
import struct
import zlib
from collections.abc import Iterator

import msgspec

from cassiapitch.exceptions import StorageError, StorageRefusedError
from cassiapitch.files import Files, write_atomically
from cassiapitch.node import Recovered, SaveEntries, SaveSnapshot, SaveVote, Write
from cassiapitch.raftmessages import Entry

SEGMENT_BYTES = 4 * 1024 * 1024
# Refusals that may end by themselves; others, such as a missing folder, stay.
PASSING_ERRNOS = frozenset(
    {errno.ENOSPC, errno.EDQUOT, errno.EIO, errno.EAGAIN, errno.ETIMEDOUT}
)
_MAGIC = b"\xc5pLg"
_HEADER = struct.Struct("<4sII")
_SEGMENT_PREFIX = "segment-"
_SNAPSHOT_PREFIX = "snapshot-"


class _Record(msgspec.Struct, array_like=True, frozen=True):
    """One write; fields that it doesn't concern are None."""

    vote: tuple[int, str | None] | None = None
    entries: tuple[Entry, ...] | None = None
    reset: tuple[int, int] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(tuple[_Record, ...])


def storage_error(doing: str, error: OSError) -> StorageError:
    """Returns the exception for what a disk refused."""
    is_passing = error.errno in PASSING_ERRNOS
    kind = StorageRefusedError if is_passing else StorageError
    return kind(f"{doing} failed: {error}")


def frame(payload: bytes) -> bytes:
    """Returns a payload with magic, length and checksum."""
    length = struct.pack("<I", len(payload))
    checksum = zlib.crc32(payload, zlib.crc32(length))
    return _HEADER.pack(_MAGIC, len(payload), checksum) + payload


def _frame_end(data: bytes, start: int) -> int | None:
    """Returns where the frame at `start` ends, or None if there is no valid one."""
    if start + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, start)
    end = start + _HEADER.size + length
    if magic != _MAGIC or end > len(data):
        return None
    payload = memoryview(data)[start + _HEADER.size : end]
    found = zlib.crc32(payload, zlib.crc32(struct.pack("<I", length)))
    return end if found == checksum else None


def _has_frame_after(data: bytes, start: int) -> bool:
    position = data.find(_MAGIC, start + 1)
    while position >= 0:
        if _frame_end(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def read_frames(name: str, data: bytes, is_last: bool) -> tuple[list[bytes], int]:
    """Returns the payloads of a file and the length that is valid.

    Raises:
        StorageError: A frame is damaged that a crash can't have torn.
    """
    payloads: list[bytes] = []
    start = 0
    while start < len(data):
        end = _frame_end(data, start)
        if end is None:
            # A crash tears only the end of the last file; a valid frame behind a
            # damaged one shows that the damaged one was synced.
            if not is_last or _has_frame_after(data, start):
                raise StorageError(f"{name} is damaged at offset {start}")
            break
        payloads.append(data[start + _HEADER.size : end])
        start = end
    return payloads, start


class Journal:
    """Open segments of one folder; `open_journal` makes it."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._number = 0
        self._size_bytes = 0
        # What is certain to be on the disk of the current segment.
        self._synced_bytes = 0
        self._needs_repair = False
        self._vote: tuple[int, str | None] = (0, None)
        # Highest entry index of each older segment, by segment number.
        self._highest: dict[int, int] = {}
        self._current_highest = 0
        self._obsolete_index = 0

    def write(self, writes: list[Write]) -> None:
        """Writes a batch; it is durable after `sync`.

        After a failure of this or of `sync`, write the whole batch again.

        Raises:
            StorageRefusedError: The disk refused it for now.
            StorageError: The disk refused it.
        """
        try:
            if self._needs_repair:
                self._repair()
            self._needs_repair = True
            self._write(writes)
        except OSError as error:
            raise storage_error("write to the data folder", error) from error

    def _repair(self) -> None:
        """Cuts off what a failed batch may have left behind the last sync."""
        name = _segment_name(self._number)
        self._files.truncate(name, self._synced_bytes)
        self._files.sync(name)
        self._size_bytes = self._synced_bytes

    def sync(self) -> None:
        """Makes everything written durable, then deletes what is obsolete.

        Raises:
            StorageRefusedError: The disk refused it for now.
            StorageError: The disk refused it.
        """
        try:
            self._files.sync(_segment_name(self._number))
            self._delete_obsolete()
            if self._size_bytes > SEGMENT_BYTES:
                self.start_segment(self._number + 1)
        except OSError as error:
            raise storage_error("sync of the data folder", error) from error
        self._synced_bytes = self._size_bytes
        self._needs_repair = False

    def _write(self, writes: list[Write]) -> None:
        records: list[_Record] = []
        for write in writes:
            if isinstance(write, SaveVote):
                self._vote = (write.term, write.vote)
                records.append(_Record(vote=self._vote))
            elif isinstance(write, SaveEntries):
                records.append(_Record(entries=write.entries))
                last = write.entries[-1].index
                self._current_highest = max(self._current_highest, last)
            else:
                # The snapshot is durable before the record that refers to it.
                write_atomically(self._files, _snapshot_name(write), frame(write.blob))
                self._obsolete_index = max(self._obsolete_index, write.index)
                if write.reset:
                    records.append(_Record(reset=(write.index, write.term)))
        if records:
            data = frame(_encoder.encode(records))
            self._files.append(_segment_name(self._number), data)
            self._size_bytes += len(data)

    def start_segment(self, number: int, reset: tuple[int, int] | None = None) -> None:
        """Begins a new segment, durable under its name before it is used."""
        if self._number > 0:
            self._highest[self._number] = self._current_highest
        data = frame(_encoder.encode([_Record(vote=self._vote, reset=reset)]))
        name = _segment_name(number)
        if name in self._files.list_names():
            # Left by an attempt that the disk refused.
            self._files.remove(name)
        self._files.append(name, data)
        self._files.sync(name)
        self._files.sync_folder()
        self._number = number
        self._size_bytes = len(data)
        self._synced_bytes = len(data)
        self._current_highest = 0

    def _delete_obsolete(self) -> None:
        for number in sorted(self._highest):
            if self._highest[number] > self._obsolete_index:
                break
            # Synced one by one: a segment that came back after a crash without its
            # successor would bring back entries that the successor replaced.
            self._files.remove(_segment_name(number))
            self._files.sync_folder()
            del self._highest[number]
        if self._obsolete_index > 0:
            for name in self._files.list_names():
                index = _snapshot_index(name)
                if index is not None and index < self._obsolete_index:
                    self._files.remove(name)
            self._obsolete_index = 0

    def load(self) -> Recovered:
        """Reads everything; called once, by `open_journal`."""
        names = self._files.list_names()
        for name in names:
            if name.endswith(".tmp"):
                self._files.remove(name)
        snapshot = self._load_snapshot(names)
        replay = _Replay()
        numbers = sorted(_segment_numbers(names))
        for number in numbers:
            self._load_segment(number, number == numbers[-1], replay)
        entries = replay.after(snapshot)
        reset = None
        if snapshot is not None and replay.entries and not entries:
            # Old entries that the snapshot replaces must not be replayed together
            # with those that follow it from now on.
            reset = (snapshot.index, snapshot.term)
        self._vote = replay.vote
        # A new segment for each run keeps a truncated one from growing again.
        self.start_segment(numbers[-1] + 1 if numbers else 1, reset)
        return Recovered(replay.vote[0], replay.vote[1], snapshot, entries)

    def _load_segment(self, number: int, is_last: bool, replay: "_Replay") -> None:
        name = _segment_name(number)
        data = self._files.read(name)
        payloads, length = read_frames(name, data, is_last)
        if length < len(data):
            self._files.truncate(name, length)
            self._files.sync(name)
        highest = 0
        for payload in payloads:
            try:
                records = _decoder.decode(payload)
            except msgspec.MsgspecError as error:
                raise StorageError(f"{name} holds no log records: {error}") from None
            for record in records:
                replay.apply(name, record)
                if record.entries:
                    highest = max(highest, record.entries[-1].index)
        self._highest[number] = highest

    def _load_snapshot(self, names: list[str]) -> SaveSnapshot | None:
        indices = [(_snapshot_index(name), name) for name in names]
        found = [(index, name) for index, name in indices if index is not None]
        if not found:
            return None
        index, name = max(found)
        payloads, _ = read_frames(name, self._files.read(name), is_last=False)
        if len(payloads) != 1:
            raise StorageError(f"{name} is damaged at offset 0")
        return SaveSnapshot(index, _snapshot_term(name), payloads[0], reset=False)


class _Replay:
    """Term, vote and entries that the records so far amount to."""

    def __init__(self) -> None:
        self.vote: tuple[int, str | None] = (0, None)
        self.entries: list[Entry] = []

    def apply(self, name: str, record: _Record) -> None:
        if record.vote is not None:
            self.vote = record.vote
        if record.reset is not None:
            self.entries = []
        if record.entries:
            self._add(name, record.entries)

    def _add(self, name: str, entries: tuple[Entry, ...]) -> None:
        first = entries[0].index
        if self.entries:
            kept_count = first - self.entries[0].index
            if kept_count > len(self.entries):
                raise StorageError(f"{name}: entries before {first} are missing")
            del self.entries[max(0, kept_count) :]
        self.entries.extend(entries)

    def after(self, snapshot: SaveSnapshot | None) -> tuple[Entry, ...]:
        """Returns the entries that follow the snapshot.

        Raises:
            StorageError: Entries between the two are missing.
        """
        entries = self.entries
        if not entries:
            return ()
        base = 0 if snapshot is None else snapshot.index
        if entries[0].index > base + 1:
            raise StorageError(f"entries {base + 1} to {entries[0].index - 1} missing")
        position = base - entries[0].index
        if snapshot is None or position < 0:
            return tuple(entries)
        # A crash between an installed snapshot and its record leaves the old,
        # conflicting log, all of which the snapshot replaces.
        if position >= len(entries) or entries[position].term != snapshot.term:
            return ()
        return tuple(entries[position + 1 :])


def open_journal(files: Files) -> tuple[Journal, Recovered]:
    """Opens a folder's journal.

    Raises:
        StorageError: A file is damaged, or the disk refused.
    """
    journal = Journal(files)
    try:
        return journal, journal.load()
    except OSError as error:
        raise storage_error("opening the data folder", error) from error


def _segment_name(number: int) -> str:
    return f"{_SEGMENT_PREFIX}{number:08d}"


def _segment_numbers(names: list[str]) -> Iterator[int]:
    for name in names:
        if name.startswith(_SEGMENT_PREFIX) and not name.endswith(".tmp"):
            yield int(name.removeprefix(_SEGMENT_PREFIX))


def _snapshot_name(write: SaveSnapshot) -> str:
    return f"{_SNAPSHOT_PREFIX}{write.index:016d}-{write.term:010d}"


def _snapshot_index(name: str) -> int | None:
    if not name.startswith(_SNAPSHOT_PREFIX) or name.endswith(".tmp"):
        return None
    return int(name.split("-")[1])


def _snapshot_term(name: str) -> int:
    return int(name.split("-")[2])
