"""Splits forwarded streams into server-sent events.

Callers get only complete events. The OpenAI-compatible interface has its own splitter
in `streams`.
"""

import dataclasses

# Without a limit, an event that never ends would fill the memory.
EVENT_LIMIT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event.

    Attributes:
        data: Its bytes as received, including the blank line at its end.
        event_id: Its numeric `id`, or None if it has none.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Splits the bytes of one stream."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Adds bytes and returns the events that are now complete.

        Raises:
            EventTooLargeError: An event exceeds the limit.
        """
        self._pending += data
        events = []
        while (end := _event_end(self._pending)) > 0:
            raw, self._pending = self._pending[:end], self._pending[end:]
            events.append(StreamEvent(raw, _event_id(raw)))
        if len(self._pending) > EVENT_LIMIT_BYTES:
            raise EventTooLargeError
        return events

    def incomplete_event(self) -> bytes:
        """Returns the bytes of an event that isn't complete yet."""
        return self._pending


def _event_end(data: bytes) -> int:
    """Returns the index after the first blank line, or 0 if there is none."""
    ends = [
        index + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (index := data.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        name, separator, value = line.partition(b":")
        if separator and name == b"id" and value.strip().isdigit():
            return int(value)
    return None
