"""Records which calls on files are running, for the log."""

import _thread
import dataclasses
from collections.abc import Callable
from typing import TypeVar

from cassiapitch.timers import now_ms

Result = TypeVar("Result")


@dataclasses.dataclass(frozen=True, slots=True)
class DiskCall:
    """A call that is running.

    Attributes:
        operation: Name of the operation.
        file_name: The file; empty for the data folder.
        begun_ms: When the call began.
    """

    operation: str
    file_name: str
    begun_ms: int


# By the thread that makes the call.
_running: dict[int, DiskCall] = {}


def recorded(operation: str, call: Callable[..., Result]) -> Callable[..., Result]:
    """Returns a function that makes a call and records it while it runs.

    Args:
        operation: Name of the operation.
        call: The call; its first argument, if any, is the file's name.
    """

    def run(*arguments: object) -> Result:
        thread_id = _thread.get_ident()
        file_name = str(arguments[0]) if arguments else ""
        _running[thread_id] = DiskCall(operation, file_name, now_ms())
        try:
            return call(*arguments)
        finally:
            del _running[thread_id]

    return run


def running() -> list[DiskCall]:
    """Returns the calls that are running now, the longest first."""
    return sorted(_running.copy().values(), key=lambda call: call.begun_ms)
