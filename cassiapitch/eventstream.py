"""Splits an event stream into whole events, so that no caller gets a part of one."""

import dataclasses

# An event without an end would otherwise grow for ever.
EVENT_LIMIT_BYTES = 1024 * 1024


class EventTooLargeError(Exception):
    """An event exceeds the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event as it came, with its blank line.

    Attributes:
        data: Its bytes.
        event_id: Its number, or None if it has none.
    """

    data: bytes
    event_id: int | None


class EventSplitter:
    """Gathers the bytes of one run's stream."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Returns the events that are complete with these bytes.

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
        """Returns the bytes of an event that is not complete."""
        return self._pending


def _event_end(data: bytes) -> int:
    """Returns the index behind the first blank line, or 0 if there is none."""
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
