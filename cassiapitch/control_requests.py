"""Requests of an entry to the control group that each get an answer.

These are claims on idempotency keys, crash reports and claims to run
suspect requests.
"""

import dataclasses
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import timers

RETRY_PAUSE_MS = 100

SendMessage = Callable[[Any], None]


@dataclasses.dataclass(slots=True)
class _OpenRequest:
    message: Any
    answer_received: anyio.Event
    answer: Any = None


class ControlRequests:
    """Sends requests over the primary link and matches answers by sequence.

    When the primary link is replaced, open requests are sent again over the new one.
    """

    def __init__(self) -> None:
        self._sequence = 0
        self._open_requests: dict[int, _OpenRequest] = {}
        self._send: SendMessage | None = None

    def link_opened(self, send: SendMessage) -> None:
        """Sends open requests again over a new primary link.

        Every request identifies its call or crash, so repeating it has no effect.
        """
        self._send = send
        for open_request in self._open_requests.values():
            send(open_request.message)

    def link_closed(self) -> None:
        """Keeps open requests until there is a primary link again."""
        self._send = None

    def answered(self, message: Any) -> None:
        """Completes the request of an answer; ignores it if there is none."""
        open_request = self._open_requests.get(message.sequence)
        if open_request is not None:
            open_request.answer = message
            open_request.answer_received.set()

    def notify(self, build_message: Callable[[int], Any]) -> None:
        """Sends a message without waiting for its answer; drops it without a link.

        Args:
            build_message: Returns the message for a sequence.
        """
        self._sequence += 1
        if self._send is not None:
            self._send(build_message(self._sequence))

    async def request_until_decided(
        self,
        build_message: Callable[[int], Any],
        is_decided: Callable[[Any], bool],
        timeout_ms: int,
    ) -> Any | None:
        """Repeats a request until its answer is decided.

        Args:
            build_message: Returns the message for a sequence.
            is_decided: Returns whether an answer is final.
            timeout_ms: Time limit over all repetitions.

        Returns:
            The decided answer, or None if the time is over.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        while (remaining_ms := deadline_ms - timers.now_ms()) > 0:
            answer = await self._request_once(build_message, remaining_ms)
            if answer is not None and is_decided(answer):
                return answer
            await anyio.sleep(min(RETRY_PAUSE_MS, remaining_ms) / 1000)
        return None

    async def _request_once(
        self, build_message: Callable[[int], Any], timeout_ms: int
    ) -> Any | None:
        self._sequence += 1
        sequence = self._sequence
        open_request = _OpenRequest(build_message(sequence), anyio.Event())
        self._open_requests[sequence] = open_request
        try:
            if self._send is not None:
                self._send(open_request.message)
            with anyio.move_on_after(timeout_ms / 1000):
                await open_request.answer_received.wait()
        finally:
            del self._open_requests[sequence]
        return open_request.answer
