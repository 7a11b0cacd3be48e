"""Tests of the relay's queue."""

import anyio

from cassiapitch import codec
from cassiapitch.messages import (
    DemandReport,
)
from cassiapitch.relay import Outbox


class Clock:
    """A clock that a test sets."""

    def __init__(self):
        self.now_ms = 1_000

    def __call__(self):
        return self.now_ms


def next_messages(outbox):
    """Returns the messages of the next batch, or None if there is none."""

    async def next_batch():
        with anyio.move_on_after(0):
            return await outbox.next_batch()
        return None

    batch = anyio.run(next_batch)
    return None if batch is None else [codec.decode(data) for data in batch.messages]


def test_messages_that_waited_too_long_are_dropped():
    """Guards against an announcement of an ended incarnation after a freeze."""
    clock = Clock()
    outbox = Outbox(clock)
    old, new = DemandReport("old", (), ()), DemandReport("new", (), ())
    outbox.push(old)
    clock.now_ms += 1_001
    outbox.push(new)
    assert next_messages(outbox) == [new]
    outbox.push(old)
    clock.now_ms += 1_001
    assert next_messages(outbox) is None


def test_messages_that_waited_briefly_are_sent_in_order():
    """Guards against losing messages that wait while another batch is written."""
    clock = Clock()
    outbox = Outbox(clock)
    reports = [DemandReport(name, (), ()) for name in ("a", "b")]
    for report in reports:
        outbox.push(report)
        clock.now_ms += 100
    assert next_messages(outbox) == reports
