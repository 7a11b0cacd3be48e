"""Writes log lines without ever blocking the process, within a bounded rate."""

import json
import os
import stat
from collections.abc import Callable

from cassiapitch import timers

# Above what an instance logs at its full load; a flood of failures stays below the
# processor time that its requests need.
LINES_PER_S = 400
BURST_LINES_COUNT = 1_200
PENDING_LIMIT_BYTES = 512 * 1024
# Standard output and standard error.
STANDARD_DESCRIPTORS = (1, 2)


class LogWriter:
    """A file descriptor with a budget of lines; what is left out is counted."""

    def __init__(
        self, descriptor: int, now_ms: Callable[[], int] = timers.now_ms
    ) -> None:
        """Makes a writer.

        Args:
            descriptor: Where to write; a pipe whose reader is slow loses lines. The
                writer keeps a duplicate of its own, unless it is a standard one.
            now_ms: The clock.
        """
        # A number that its owner closes may be given to a connection, into which log
        # lines would go. Standard ones stay open, and collectors know their numbers.
        self._descriptor = (
            descriptor if descriptor in STANDARD_DESCRIPTORS else os.dup(descriptor)
        )
        self._now_ms = now_ms
        self._available_lines = float(BURST_LINES_COUNT)
        self._refilled_ms = now_ms()
        self._pending = b""
        self.omitted_count = 0
        self._reported_omitted_count = 0
        # Other kinds of files are shared with whoever started the process.
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Writes one line with its end, or counts it as left out."""
        if not line:
            return
        now_ms = self._now_ms()
        refilled_lines = (
            self._available_lines + (now_ms - self._refilled_ms) * LINES_PER_S / 1_000
        )
        self._available_lines = min(float(BURST_LINES_COUNT), refilled_lines)
        self._refilled_ms = now_ms
        if self._available_lines < 1 or len(self._pending) > PENDING_LIMIT_BYTES:
            self.omitted_count += 1
            self._write_pending()
            return
        self._available_lines -= 1
        if self.omitted_count > self._reported_omitted_count:
            self._reported_omitted_count = self.omitted_count
            notice = {"message_type": "lines_omitted", "count": self.omitted_count}
            self._pending += json.dumps(notice).encode() + b"\n"
        self._pending += line
        self._write_pending()

    def flush(self) -> None:
        """Does nothing: each line is written at once or kept for the next one."""

    def _write_pending(self) -> None:
        while self._pending:
            try:
                written_bytes = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; the process goes on without it.
                self.omitted_count += self._pending.count(b"\n")
                self._pending = b""
                return
            self._pending = self._pending[written_bytes:]
