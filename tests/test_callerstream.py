"""Tests of writing a streamed response to its caller."""

import anyio
import pytest

from cassiapitch import callerstream, codec
from cassiapitch.callerstream import CallerStream
from cassiapitch.calls import Authorization, Call, refused
from cassiapitch.catalog import ViewCatalog
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.freshness import Freshness
from cassiapitch.messages import (
    Confirmed,
)
from cassiapitch.retries import RequestProgress
from cassiapitch.viewitems import (
    AccountItem,
    KeyItem,
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Caller:
    """A stream to a caller whose key is in the view; records what is sent."""

    def __init__(self, now_ms):
        self.catalog = ViewCatalog()
        item = codec.encode(KeyItem("acme"))
        self.catalog.apply_snapshot(1, {"key/digest": item})
        freshness = Freshness()
        freshness.set_applied_index(1)
        freshness.handle_confirmed(Confirmed(freshness.make_ask(now_ms).sequence, 1))
        self.call = Call("r1", RequestProgress(True), 0, key_digest="digest")
        self.call.account = AccountItem("acme", 1, 1, 1)
        authorization = Authorization(self.catalog, freshness)
        self.sent = []
        self.stream = CallerStream(self.call, authorization, self.send, [])

    async def send(self, message):
        self.sent.append(message)

    def body(self):
        return b"".join(message.get("body", b"") for message in self.sent)


@pytest.mark.anyio
@pytest.mark.parametrize("withdrawn", [False, True])
async def test_waiting_chunks_of_a_cut_stream_need_authorisation(
    withdrawn, monkeypatch
):
    """Guards against sending text after the key was withdrawn, and against losing text
    of a caller that is still authorised."""
    monkeypatch.setattr(callerstream.timers, "now_ms", lambda: 1_000)
    caller = Caller(1_000)
    await caller.stream.add_chunk(b"data: late\n\n")
    if withdrawn:
        caller.catalog.apply_snapshot(2, {})
    await caller.stream.end_with_error(refused(ErrorKind.STREAM_LOST).refusal)
    assert (b"late" in caller.body()) is not withdrawn
    assert b"stream_lost" in caller.body()
    assert caller.sent[-1]["more_body"]


@pytest.mark.anyio
async def test_chunks_that_wait_are_sent_together_and_buffers_are_bounded(monkeypatch):
    """Guards against one write per token, and against unbounded buffers."""
    monkeypatch.setattr(callerstream.timers, "now_ms", lambda: 1_000)
    caller = Caller(1_000)
    limit = callerstream.BUFFER_LIMIT_COUNT
    async with anyio.create_task_group() as group:
        for _ in range(limit):
            await caller.stream.add_chunk(b"x")
        with anyio.move_on_after(0.05) as scope:
            await caller.stream.add_chunk(b"one too many")
        assert scope.cancelled_caught
        group.start_soon(caller.stream.write_chunks)
        await caller.stream.add_chunk(b"y")
        caller.stream.mark_complete()
    bodies = [message["body"] for message in caller.sent if "body" in message]
    assert bodies[0] == b"x" * limit
    assert b"".join(bodies) == b"x" * limit + b"y" + b"data: [DONE]\n\n"
    assert not caller.sent[-1]["more_body"]
