"""Writes log lines in a thread, so that a disk that hangs holds up no caller."""

import threading
from typing import Protocol

from cassiapitch import daemon_threads

# Lines that may wait while the disk doesn't answer, for instance 2,500 of 200 bytes.
QUEUE_LIMIT_BYTES = 512 * 1024
# Pause between two writes. Waking the thread for each line takes 30 us of processor
# time, six times as much as the write.
GATHER_S = 0.02


class Output(Protocol):
    """Where lines are written; its calls may hang."""

    def open(self) -> None:
        """Opens the output.

        Raises:
            OSError: It can't be opened later either.
        """

    def write(self, data: bytes) -> None:
        """Writes whole lines, or counts those that it can't write as omitted."""

    def omit(self, count: int) -> None:
        """Counts lines that never came here, and writes how many are omitted."""


class QueuedLog:
    """Lines that wait for their output, in their order; counts those beyond a limit."""

    def __init__(self, output: Output) -> None:
        self._output = output
        self._changed = threading.Condition()
        self._lines: list[bytes] = []
        # With those that are being written.
        self._pending_bytes = 0
        self._dropped_count = 0
        self._is_opened = False
        self._open_error: OSError | None = None
        self._is_closed = False
        # Ends the pause between two writes.
        self._is_hurried = threading.Event()
        self._thread: threading.Thread | None = None

    def open(self, timeout_s: float) -> None:
        """Opens the output; goes on without it if that takes too long.

        Raises:
            OSError: It can't be opened later either.
        """
        with self._changed:
            self._start_thread()
            self._changed.wait_for(lambda: self._is_opened, timeout_s)
        if self._open_error is not None:
            self.close()
            raise self._open_error

    def write(self, line: bytes) -> None:
        """Queues one line, which ends with a newline, or counts it as dropped."""
        with self._changed:
            if self._pending_bytes + len(line) > QUEUE_LIMIT_BYTES:
                self._dropped_count += 1
            else:
                self._lines.append(line)
                self._pending_bytes += len(line)
            self._start_thread()
            self._changed.notify_all()

    def flush(self, timeout_s: float) -> None:
        """Waits until all lines are written, for a limited time."""
        self._is_hurried.set()
        with self._changed:
            self._changed.wait_for(
                lambda: not self._pending_bytes and not self._dropped_count, timeout_s
            )
        self._is_hurried.clear()

    def close(self) -> None:
        """Lets the thread end once all lines are written."""
        self._is_hurried.set()
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def _start_thread(self) -> None:
        if self._thread is None or not self._thread.is_alive():
            try:
                self._thread = daemon_threads.start("log", self._run)
            except OSError:
                # The next line tries again; those that don't fit are counted.
                self._thread = None

    def _run(self) -> None:
        if not self._is_opened:
            self._open()
        while True:
            with self._changed:
                self._changed.wait_for(self._has_work)
                if not self._lines and not self._dropped_count:
                    return
                data, self._lines = b"".join(self._lines), []
                # They came after these lines, and before those that are still to come.
                dropped_count, self._dropped_count = self._dropped_count, 0
            try:
                self._output.write(data)
                if dropped_count:
                    self._output.omit(dropped_count)
            finally:
                with self._changed:
                    self._pending_bytes -= len(data)
                    self._changed.notify_all()
            self._is_hurried.wait(GATHER_S)

    def _has_work(self) -> bool:
        return bool(self._lines or self._dropped_count or self._is_closed)

    def _open(self) -> None:
        try:
            self._output.open()
        except OSError as error:
            self._open_error = error
        finally:
            with self._changed:
                self._is_opened = True
                self._changed.notify_all()
