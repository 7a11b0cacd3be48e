"""Tests of splitting forwarded streams into server-sent events."""

import pytest

from cassiapitch.eventstream import (
    EVENT_LIMIT_BYTES,
    EventSplitter,
    EventTooLargeError,
)


def test_events_come_out_whole_however_the_bytes_are_cut():
    raw = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n"
    for size in range(1, len(raw)):
        splitter = EventSplitter()
        events = []
        for start in range(0, len(raw), size):
            events += splitter.feed(raw[start : start + size])
        assert b"".join(event.data for event in events) == raw
        assert [event.event_id for event in events] == [1, 2, None]
        assert splitter.incomplete_event() == b""


def test_part_of_an_event_is_kept_back():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert splitter.incomplete_event()


def test_event_without_an_end_does_not_grow_for_ever():
    splitter = EventSplitter()
    with pytest.raises(EventTooLargeError):
        splitter.feed(b"x" * (EVENT_LIMIT_BYTES + 1))
