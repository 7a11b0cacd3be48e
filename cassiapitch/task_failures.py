"""Decides what the failure of one task means for the process that runs it.

A task that serves one connection or request ends alone. A long-running task is started
again after errors that pass; the failure of one whose state can't be trusted afterwards
ends the process, and its name is in the line that says so.
"""

import asyncio
import contextlib
import enum
import functools
import logging
import pathlib
import sys
import threading
import time
import traceback
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any

import anyio
import anyio.abc

from cassiapitch import events
from cassiapitch.exceptions import CassiapitchError

FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 2.0
# A task that ran this long has not failed at once again.
STEADY_S = 10.0
# Restarts after errors of the program within `STEADY_S` each; a fault that repeats at
# once doesn't pass.
RESTARTS_LIMIT_COUNT = 5
# How long tasks that are cancelled may take to end, and how often those that go on are
# cancelled anew: a task may lose a cancellation that comes together with a result.
END_LIMIT_S = 1.0
CANCEL_PERIOD_S = 0.2
# Names of tasks in one line of the log.
LEFT_LOGGED_COUNT = 20
_NOTE_PREFIX = "task: "
_PACKAGE_PATH = pathlib.Path(__file__).parent


class Restart(enum.Enum):
    """Errors after which a long-running task is started again.

    Attributes:
        NEVER: It takes work from a queue, or holds state that others rely on.
        AFTER_SYSTEM_ERRORS: Those of calls to the system, for instance for lack of
            descriptors. An error of the program may leave its state half changed.
        AFTER_ANY_ERROR: All but the package's own; it keeps no state between rounds.
    """

    NEVER = enum.auto()
    AFTER_SYSTEM_ERRORS = enum.auto()
    AFTER_ANY_ERROR = enum.auto()


async def run_task(
    name: str,
    function: Callable[..., Awaitable[Any]],
    *arguments: Any,
    restart: Restart = Restart.NEVER,
) -> None:
    """Runs a long-running task under a name; starts it again as `restart` says.

    Args:
        name: Name of the task for the log.
        function: The task.
        *arguments: Its arguments.
        restart: Errors after which it is started again.

    Raises:
        Exception: What ended the task, with its name, see `task_name`.
    """
    pause_s = FIRST_PAUSE_S
    restarts_count = 0
    while True:
        started_s = time.monotonic()
        try:
            await function(*arguments)
        except Exception as failure:
            errors = flatten(failure)
            if time.monotonic() - started_s >= STEADY_S:
                pause_s, restarts_count = FIRST_PAUSE_S, 0
            if not _may_restart(errors, restart, restarts_count):
                for error in errors:
                    error.add_note(_NOTE_PREFIX + name)
                raise
            if not all(map(_is_system_error, errors)):
                restarts_count += 1
            log_failure(name, failure)
        else:
            return
        await anyio.sleep(pause_s)
        pause_s = min(LONGEST_PAUSE_S, pause_s * 2)


def start(
    group: anyio.abc.TaskGroup,
    name: str,
    function: Callable[..., Awaitable[Any]],
    *arguments: Any,
    restart: Restart = Restart.NEVER,
) -> None:
    """Starts a long-running task in a group; see `run_task`."""
    run = functools.partial(run_task, name, function, *arguments, restart=restart)
    group.start_soon(run, name=name)


def _may_restart(
    errors: list[Exception], restart: Restart, restarts_count: int
) -> bool:
    if restart is Restart.NEVER:
        return False
    if all(map(_is_system_error, errors)):
        return True
    return (
        restart is Restart.AFTER_ANY_ERROR
        and restarts_count < RESTARTS_LIMIT_COUNT
        and not any(isinstance(error, CassiapitchError) for error in errors)
    )


def _is_system_error(error: Exception) -> bool:
    return isinstance(error, OSError | MemoryError)


async def run_alone(
    name: str, function: Callable[..., Awaitable[Any]], *arguments: Any
) -> None:
    """Runs a task for one connection or request; logs what ends it."""
    try:
        await function(*arguments)
    except Exception as failure:
        log_failure(name, failure)


def log_failure(name: str, failure: Exception) -> None:
    """Logs the errors of a failed task, one of each kind a second."""
    for error in flatten(failure):
        kind = type(error).__name__
        events.log_rate_limited(
            events.Event.TASK_FAILED,
            reason=f"{name}: {kind}",
            task=name,
            message=str(error),
            **describe(error),
        )


async def end_all(tasks: Iterable[asyncio.Task[Any]], part: str) -> None:
    """Cancels tasks and waits for their end, for a limited time.

    Args:
        tasks: The tasks; others that are added meanwhile are cancelled too.
        part: What they belong to, for the log.
    """
    until_s = time.monotonic() + END_LIMIT_S
    while running := [task for task in tasks if not task.done()]:
        if time.monotonic() >= until_s:
            log_left(running, part)
            return
        for task in running:
            task.cancel()
        await asyncio.wait(running, timeout=CANCEL_PERIOD_S)


def log_left(tasks: Iterable[asyncio.Task[Any]], part: str) -> None:
    """Logs the tasks, if any, that go on though they were to end.

    Args:
        tasks: The tasks.
        part: What they belong to.
    """
    left = list(tasks)
    if left:
        events.log(
            events.Event.TASKS_LEFT,
            part=part,
            tasks_count=len(left),
            tasks=name_tasks(left),
        )


def name_tasks(tasks: Iterable[asyncio.Task[Any]]) -> list[str]:
    """Returns the names of some tasks, each with the places where it waits."""
    names = sorted(f"{task.get_name()}: {_place(task)}" for task in tasks)
    return names[:LEFT_LOGGED_COUNT]


def _place(task: asyncio.Task[Any]) -> str:
    """Returns where a task waits: the package's functions, and the innermost one."""
    places: list[str] = []
    is_own = True
    awaited: Any = task.get_coro()
    while (frame := getattr(awaited, "cr_frame", None)) is not None:
        if places and not is_own:
            places.pop()
        is_own = frame.f_code.co_filename.startswith(str(_PACKAGE_PATH))
        places.append(f"{frame.f_code.co_qualname}:{frame.f_lineno}")
        awaited = awaited.cr_await
    return " > ".join(places)


def log_loop_failure(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Logs an error that no task waits for; the handler of an event loop."""
    error = context.get("exception")
    message = str(context.get("message", ""))
    events.log_rate_limited(
        events.Event.TASK_FAILED,
        reason=message.partition(":")[0].partition("<")[0][:80],
        task="event loop",
        message=message if error is None else f"{message}: {error}",
        **({} if error is None else describe(error)),
    )


class _LibraryLog(logging.Handler):
    """Writes warnings and errors of libraries to the log of events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs one record, one of each kind a second."""
        error = record.exc_info[1] if record.exc_info else None
        events.log_rate_limited(
            events.Event.TASK_FAILED,
            reason=f"{record.name}: {record.msg}",
            task=record.name,
            message=record.getMessage(),
            **({} if error is None else describe(error)),
        )


def _log_unraisable(unraisable: Any) -> None:
    """Logs an error that nothing can handle, for instance of a destructor."""
    error = unraisable.exc_value
    if isinstance(error, Exception):
        log_failure("unraisable", error)


def _log_thread_failure(arguments: Any) -> None:
    if isinstance(arguments.exc_value, Exception):
        log_failure("thread", arguments.exc_value)


@contextlib.contextmanager
def logged() -> Iterator[None]:
    """Logs what would be printed on standard error without an event."""
    hooks = sys.unraisablehook, threading.excepthook, logging.lastResort
    sys.unraisablehook = _log_unraisable
    threading.excepthook = _log_thread_failure
    logging.lastResort = _LibraryLog(logging.WARNING)
    try:
        yield
    finally:
        sys.unraisablehook, threading.excepthook, logging.lastResort = hooks


def describe(error: BaseException) -> dict[str, Any]:
    """Returns an error's type, its errno, and the package's frames, innermost last."""
    return {
        "error": type(error).__name__,
        "errno": getattr(error, "errno", None),
        "frames": [
            f"{pathlib.Path(frame.filename).stem}.{frame.name}:{frame.lineno}"
            for frame in traceback.extract_tb(error.__traceback__)
            if pathlib.Path(frame.filename).is_relative_to(_PACKAGE_PATH)
        ],
    }


def task_name(error: Exception) -> str | None:
    """Returns the names of the tasks that an error ended, the outermost first."""
    names = [
        note.removeprefix(_NOTE_PREFIX)
        for note in getattr(error, "__notes__", ())
        if note.startswith(_NOTE_PREFIX)
    ]
    return "/".join(reversed(names)) or None


def flatten(error: Exception) -> list[Exception]:
    """Returns an error, or those of a group and of the groups inside it."""
    if not isinstance(error, ExceptionGroup):
        return [error]
    return [leaf for inner in error.exceptions for leaf in flatten(inner)]
