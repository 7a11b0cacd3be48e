"""Tests of the HTTP client's pooled connections."""

import contextlib

import anyio
import pytest

from cassiapitch.backend_client import Connections, Response, exchange, read_all
from cassiapitch.entrystate import EntryState
from tests.entryfakes import FakeEngine, world
from tests.forward_world import entry_settings, listening, run_limited

LIMIT_S = 10


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_second_copy_of_a_response_reaches_no_later_request(delay_s):
    """Guards against a caller that gets the response to an earlier call.

    A second copy of that response arrives together with it, or later while the
    connection is idle.
    """
    counts = []

    async def serve(stream):
        counts.append(0)
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()
                    counts[-1] += 1
                    number = sum(counts)
                    reply = answer(b"answer %d" % number)
                    if delay_s:
                        await stream.send(reply)
                        await anyio.sleep(delay_s)
                        await stream.send(reply)
                    else:
                        await stream.send(reply + reply)

    async def call(connections, item):
        connection = await connections.open(item, fresh=False)
        response = await exchange(
            connection,
            "GET",
            "/",
            [],
            b"",
            guard=None,
            head_limit_ms=2_000,
            part_limit_ms=2_000,
        )
        assert isinstance(response, Response)
        body = await read_all(response, 1_000)
        await response.close()
        await connections.release_connection(connection)
        return body

    async def main():
        async with listening(serve) as item:
            connections = Connections(EntryState(entry_settings()).backend_paths)
            for number in range(1, 4):
                assert await call(connections, item) == b"answer %d" % number
                await anyio.sleep(2 * delay_s)
            await connections.close()

    run_limited(main, LIMIT_S)


def test_connection_of_a_refusal_carries_no_later_request():
    """Guards against a refusal that is written once more, after the next request."""

    async def main():
        engine = FakeEngine("g1", "l1")
        engine.declines_with = (503, "overloaded")
        async with world(engine) as entry_world:
            await entry_world.chat()
            pool = entry_world.entry.state.connections
            assert not any(pool._idle.values())

    run_limited(main)
