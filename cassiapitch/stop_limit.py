"""Ends a process whose planned stop takes longer than its grace time.

A call on a disk that hangs can't be cancelled, and a stop waits for its thread: as long
as that may write, the process has to keep its addresses, so that no successor opens
the same data folder. The process's end ends the thread and frees the addresses at once.

An entry ends its stop by itself, close to the end of its grace time. One that takes
longer waits for a task that does not end.
"""

import _thread
import asyncio
import errno
import os
import pathlib
import sys
import time
from collections.abc import Callable

from cassiapitch import disk_calls, events, signals, task_failures, timers

# Reserved at the end of the grace time for the log line and the exit of the process.
END_MARGIN_MS = 500
# The disk that hangs may be the log's as well.
LOG_LIMIT_MS = 200
# How much longer than its grace time an entry's stop may take. A process that stood
# still has this time as well.
ENTRY_OVERRUN_MS = 1_000
EXIT_DONE = 0
EXIT_CUT = 1
_PACKAGE_PATH = str(pathlib.Path(__file__).parent)

# Whether the process has done all that it owes others in a stop.
_is_done = False
# What an end would lose nevertheless, and that others can do without.
_unfinished: tuple[str, ...] = ()


def mark_done(*unfinished: str) -> None:
    """Tells that all calls have ended, so that an end of the process does no harm.

    Args:
        *unfinished: Names of what is still to be done, for the log.
    """
    global _is_done, _unfinished
    _is_done, _unfinished = True, unfinished


class StopLimit:
    """Waits for the end of the grace time once a stop has begun.

    It uses threads: the event loop stands still if its own thread calls the disk.
    """

    def __init__(
        self, program: str, name: str, grace_s: float, overrun_ms: int = 0
    ) -> None:
        """Creates a limit; `begin` starts to wait.

        Args:
            program: Name of the program for the log.
            name: Name of the process for the log.
            grace_s: Grace time of the stop.
            overrun_ms: How much longer the stop may take, of a process that owes its
                callers answers; 0 for one whose stop may end at any time.
        """
        self._program = program
        self._name = name
        self._grace_ms = int(grace_s * 1_000)
        self._overrun_ms = overrun_ms
        self._is_begun = False
        self._loop: asyncio.AbstractEventLoop | None = None

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Names the tasks of an event loop in the log."""
        self._loop = loop

    def begin(self) -> None:
        """Begins to wait, unless it has begun; also called by signal handlers.

        Raises:
            OSError: No thread can be started now.
        """
        if self._is_begun:
            return
        requested_ms = signals.stop_requested_ms()
        if requested_ms is None:
            requested_ms = timers.now_ms()
        overrun_ms, log_limit_ms = self._overrun_ms, LOG_LIMIT_MS
        end_ms = requested_ms + self._grace_ms
        if not overrun_ms:
            margin_ms = min(END_MARGIN_MS, self._grace_ms // 2)
            end_ms -= margin_ms
            log_limit_ms = min(LOG_LIMIT_MS, margin_ms // 2)
        try:
            _thread.start_new_thread(
                _call_at, (end_ms, overrun_ms + log_limit_ms, self._end)
            )
            _thread.start_new_thread(
                _call_at, (end_ms, overrun_ms, lambda: self._log_and_end(requested_ms))
            )
        except RuntimeError as error:
            raise OSError(errno.EAGAIN, str(error)) from error
        self._is_begun = True

    def _log_and_end(self, requested_ms: int) -> None:
        time_ms = timers.now_ms()
        try:
            events.log(
                events.Event.STOP_CUT_SHORT,
                program=self._program,
                name=self._name,
                stopping_ms=time_ms - requested_ms,
                disk_calls=[
                    {
                        "operation": call.operation,
                        "file": call.file_name,
                        "running_ms": time_ms - call.begun_ms,
                    }
                    for call in disk_calls.running()
                ],
                frames=_frames(),
                tasks=self._tasks(),
                exit_code=self._exit_code(),
                unfinished=_unfinished,
            )
            events.flush(LOG_LIMIT_MS / 1_000)
        finally:
            self._end()

    def _tasks(self) -> list[str]:
        # A data folder's process waits for its disk, not for tasks.
        if self._loop is None or not self._overrun_ms:
            return []
        return task_failures.name_tasks(asyncio.all_tasks(self._loop))

    def _exit_code(self) -> int:
        return EXIT_CUT if self._overrun_ms and not _is_done else EXIT_DONE

    def _end(self) -> None:
        # Nothing is closed before: the kernel frees the addresses once no thread can
        # write.
        os._exit(self._exit_code())


def _call_at(time_ms: int, delay_ms: int, function: Callable[[], None]) -> None:
    """Calls a function some time after a moment, or after now if that has passed."""
    time.sleep(max(0, time_ms - timers.now_ms()) / 1_000)
    # A separate wait, so that it isn't over as soon as a stopped process goes on.
    time.sleep(delay_ms / 1_000)
    function()


def _frames() -> list[str]:
    """Returns the package's innermost frame in each thread but this module's own."""
    frames = []
    for innermost in sys._current_frames().values():
        frame = innermost
        while frame and not frame.f_code.co_filename.startswith(_PACKAGE_PATH):
            frame = frame.f_back
        if frame and frame.f_code.co_filename != __file__:
            module = pathlib.PurePath(frame.f_code.co_filename).stem
            frames.append(f"{module}.{frame.f_code.co_name}:{frame.f_lineno}")
    return frames
