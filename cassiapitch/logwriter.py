"""Writers of log lines that a full pipe or disk neither blocks nor ends."""

import contextlib
import errno
import io
import json
import os
import stat
from collections.abc import Callable

from cassiapitch import disk_errors, timers

# More than an instance logs at full load, and few enough that logging a flood of
# failures takes no processor time that the requests need.
LINES_PER_S = 400
BURST_LINES_COUNT = 1_200
PENDING_LIMIT_BYTES = 512 * 1024
# Standard output and standard error.
STANDARD_DESCRIPTORS = (1, 2)


class LogWriter:
    """Writes to a file descriptor, limited by a token bucket; counts omitted lines.

    Attributes:
        never_waits: Whether `write` returns at once, whatever becomes of the lines.
        omitted_count: Lines that were left out.
    """

    def __init__(
        self, descriptor: int, now_ms: Callable[[], int] = timers.now_ms
    ) -> None:
        """Creates a writer.

        Args:
            descriptor: Where to write; lines are omitted if it is a pipe with a slow
                reader. The writer uses a duplicate of it, except of standard output
                and standard error.
            now_ms: The clock.
        """
        # If the owner closes the descriptor, a connection may get its number, and log
        # lines would go into that connection. Standard descriptors stay open, and log
        # collectors rely on their numbers.
        self._descriptor = (
            descriptor if descriptor in STANDARD_DESCRIPTORS else os.dup(descriptor)
        )
        self._now_ms = now_ms
        self._available_lines = float(BURST_LINES_COUNT)
        self._refilled_ms = now_ms()
        self._pending = b""
        self.omitted_count = 0
        self._reported_omitted_count = 0
        # Only for pipes: other kinds of files are shared with the process that started
        # this one.
        self.never_waits = stat.S_ISFIFO(os.fstat(descriptor).st_mode)
        if self.never_waits:
            os.set_blocking(descriptor, False)

    def open(self) -> None:
        """Does nothing; the descriptor is open."""

    def write(self, data: bytes) -> None:
        """Writes lines, which end with a newline, or counts them as omitted."""
        for line in data.splitlines(keepends=True):
            self._add(line)
        self._write_pending()

    def omit(self, count: int) -> None:
        """Counts lines that never came here, and writes how many are omitted."""
        self.omitted_count += count
        self._add_notice()
        self._write_pending()

    def _add(self, line: bytes) -> None:
        now_ms = self._now_ms()
        refilled_lines = (
            self._available_lines + (now_ms - self._refilled_ms) * LINES_PER_S / 1_000
        )
        self._available_lines = min(float(BURST_LINES_COUNT), refilled_lines)
        self._refilled_ms = now_ms
        if self._available_lines < 1 or len(self._pending) > PENDING_LIMIT_BYTES:
            self.omitted_count += 1
            return
        self._available_lines -= 1
        self._add_notice()
        self._pending += line

    def _add_notice(self) -> None:
        if self.omitted_count > self._reported_omitted_count:
            self._reported_omitted_count = self.omitted_count
            self._pending += _omitted_notice(self.omitted_count)

    def flush(self) -> None:
        """Does nothing; lines that can't be written yet are written with the next."""

    def _write_pending(self) -> None:
        while self._pending:
            try:
                written_bytes = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The log has no reader any more; the process continues without it.
                self.omitted_count += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written_bytes:]


class FileLog:
    """Appends lines to a file; counts those that its disk doesn't take."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._file: io.FileIO | None = None
        self.omitted_count = 0
        self._reported_omitted_count = 0

    def open(self) -> None:
        """Opens the file, unless its disk refuses that now; `write` tries again then.

        Raises:
            OSError: The path names no file.
        """
        try:
            # Unbuffered, so that the last lines before a crash are in the file.
            self._file = open(self._path, "ab", buffering=0)  # noqa: SIM115
        except OSError as error:
            if not disk_errors.may_pass(error, is_opening=True):
                raise

    def write(self, data: bytes) -> None:
        """Writes lines, which end with a newline, or counts them as omitted."""
        try:
            self._write_notice()
            while data:
                data = data[self._opened().write(data) :]
        except OSError:
            self.omitted_count += data.count(b"\n")
            self._close()

    def omit(self, count: int) -> None:
        """Counts lines that never came here, and writes how many are omitted."""
        self.omitted_count += count
        # Otherwise, the next line brings the notice.
        with contextlib.suppress(OSError):
            self._write_notice()

    def _write_notice(self) -> None:
        if self.omitted_count > self._reported_omitted_count:
            # It begins with a newline, since half a line may have been written.
            self._opened().write(b"\n" + _omitted_notice(self.omitted_count))
            self._reported_omitted_count = self.omitted_count

    def _close(self) -> None:
        """Lets the next line open the file anew; its disk may have been replaced."""
        file, self._file = self._file, None
        if file is not None:
            with contextlib.suppress(OSError):
                file.close()

    def _opened(self) -> io.FileIO:
        if self._file is None:
            self.open()
        if self._file is None:
            raise OSError(errno.EIO, "the disk refuses to open the log")
        return self._file


def _omitted_notice(count: int) -> bytes:
    notice = {"message_type": "lines_omitted", "count": count}
    return json.dumps(notice).encode() + b"\n"
