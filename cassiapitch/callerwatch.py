"""Runs the work of a call until its caller disconnects or the call is ended."""

import contextlib
from collections.abc import Awaitable, Callable

import anyio

from cassiapitch.asgi import Receive
from cassiapitch.calls import Call, CallEndedError


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


async def end_quietly(function: Callable[[], Awaitable[None]]) -> None:
    """Runs the function of a task group's task; returns if it is cancelled.

    Otherwise `anyio` keeps the error in a reference cycle, and with it the frames of
    the task, which refer to the connection and its buffers, until a garbage collection.
    85 streams that ended at once because their authorisation was unconfirmed took
    memory beside the 85 that followed them.
    """
    with contextlib.suppress(anyio.get_cancelled_exc_class()):
        await function()


async def run_watched(
    call: Call, receive: Receive, work: Callable[[], Awaitable[None]]
) -> None:
    """Runs `work`, and cancels it if the call is ended or the caller disconnects.

    Raises:
        CallEndedError: The call was ended early.
        CallerDisconnectedError: The caller closed its connection.
    """
    is_disconnected = False

    async def wait_for_disconnect() -> None:
        nonlocal is_disconnected
        with watch_scope:
            while (await receive())["type"] != "http.disconnect":
                pass
            is_disconnected = True
            scope.cancel()

    scope = call.scope or anyio.CancelScope()
    # Ends the watch without an error: what a cancelled task refers to, such as the
    # request, would take memory until a garbage collection.
    watch_scope = anyio.CancelScope()
    errors: list[Exception] = []
    with scope:
        async with anyio.create_task_group() as group:
            group.start_soon(end_quietly, wait_for_disconnect)
            try:
                await work()
            except Exception as error:
                errors.append(error)
            watch_scope.cancel()
    if errors:
        error = _first_leaf_error(errors.pop())
        try:
            raise error
        finally:
            # The error refers to this frame. Together they would keep what the frames
            # of the call hold until a garbage collection.
            del error
    if call.ended is not None and scope.cancelled_caught:
        raise CallEndedError(call.ended)
    if is_disconnected:
        raise CallerDisconnectedError


def _first_leaf_error(error: BaseException) -> BaseException:
    """Returns the first error that isn't an exception group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
