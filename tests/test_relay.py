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


def taken(outbox):
    """Returns the messages of the next batch, or None if there is none."""

    async def take():
        with anyio.move_on_after(0):
            return await outbox.take()
        return None

    batch = anyio.run(take)
    return None if batch is None else [codec.decode(data) for data in batch.messages]


def test_messages_that_waited_too_long_are_dropped():
    """Guards against an announcement of an ended life that arrives after a freeze."""
    clock = Clock()
    outbox = Outbox(clock)
    old, new = DemandReport("old", (), ()), DemandReport("new", (), ())
    outbox.push(old)
    clock.now_ms += 1_001
    outbox.push(new)
    assert taken(outbox) == [new]
    outbox.push(old)
    clock.now_ms += 1_001
    assert taken(outbox) is None


def test_messages_that_waited_shortly_are_sent_in_order():
    """Guards against losing what waits while another batch is written."""
    clock = Clock()
    outbox = Outbox(clock)
    reports = [DemandReport(name, (), ()) for name in ("a", "b")]
    for report in reports:
        outbox.push(report)
        clock.now_ms += 100
    assert taken(outbox) == reports
