"""Threads for calls on files that may hang.

The event loop goes on meanwhile, and the end of the process doesn't wait for them: they
are daemon threads, unlike those of anyio.
"""

import asyncio
import contextlib
import errno
import threading
from collections.abc import Callable
from typing import Any, TypeVar

from cassiapitch import signals
from cassiapitch.disk_calls import recorded

Result = TypeVar("Result")


def start(name: str, function: Callable[[], Any]) -> threading.Thread:
    """Starts a daemon thread, which receives no signals.

    Args:
        name: Name of the thread.
        function: What it runs.

    Raises:
        OSError: No thread can be started now.
    """

    def run() -> None:
        # `signals.ignore` doesn't wait for daemon threads.
        signals.block_in_thread()
        function()

    thread = threading.Thread(target=run, name=name, daemon=True)
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from error
    return thread


async def call(
    operation: str, function: Callable[..., Result], *arguments: Any
) -> Result:
    """Returns what a function returns that calls the disk, and runs in a thread.

    If the caller is cancelled, the thread goes on and its result is dropped.

    Args:
        operation: Name of the call; `disk_calls` names it while it runs.
        function: The function.
        *arguments: Its arguments; the first one names the file.

    Raises:
        OSError: No thread can be started now, or the function raised it.
        Exception: What else the function raised.
    """
    loop = asyncio.get_running_loop()
    done: asyncio.Future[Result] = loop.create_future()

    def settle(result: Result | None, error: BaseException | None) -> None:
        if done.done():
            return
        if error is not None:
            done.set_exception(error)
        else:
            done.set_result(result)

    def run() -> None:
        result, failure = None, None
        try:
            result = recorded(operation, function)(*arguments)
        except BaseException as error:
            failure = error
        # The event loop may be closed by now.
        with contextlib.suppress(RuntimeError):
            loop.call_soon_threadsafe(settle, result, failure)

    start(operation, run)
    return await done
