"""Runs the work of a call until its caller disconnects or the call is ended."""

from collections.abc import Awaitable, Callable

import anyio

from cassiapitch.asgi import Receive
from cassiapitch.calls import Call, CallEndedError


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


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
        while (await receive())["type"] != "http.disconnect":
            pass
        is_disconnected = True
        scope.cancel()

    scope = call.scope or anyio.CancelScope()
    errors: list[Exception] = []
    with scope:
        async with anyio.create_task_group() as group:
            group.start_soon(wait_for_disconnect)
            try:
                await work()
            except Exception as error:
                errors.append(error)
            group.cancel_scope.cancel()
    if errors:
        raise _first_leaf_error(errors[0])
    if call.ended is not None and scope.cancelled_caught:
        raise CallEndedError(call.ended)
    if is_disconnected:
        raise CallerDisconnectedError


def _first_leaf_error(error: BaseException) -> BaseException:
    """Returns the first error that isn't an exception group."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
