"""Tests of the limits on connections and buffered bodies on a complete entry."""

import anyio
import pytest

from cassiapitch import httpserver
from tests.entryfakes import KEY, FakeEngine, error, world

PATH = "/v1/chat/completions"


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_on(stream, path, body=b""):
    """Sends a request on a connection and returns status, head and body."""
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    await stream.send(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
    received = b""
    with anyio.fail_after(20):
        while b"\r\n\r\n" not in received or not received.endswith(b"}"):
            received += await stream.receive()
    head, _, content = received.partition(b"\r\n\r\n")
    return int(head.split()[1]), head.lower(), content


@pytest.mark.anyio
async def test_connections_over_the_limit_get_the_usual_refusal(monkeypatch):
    """Guards against a refusal that isn't a valid response, and against refusing
    calls on connections within the limit."""
    monkeypatch.setattr(httpserver, "REFUSED_LIMIT_COUNT", 1)
    async with world(FakeEngine("n1", "l1"), connections_limit_count=2) as w:
        port = w.entry.caller_server.port
        open_streams = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2)]
        for stream in open_streams:
            assert (await send_on(stream, "/healthz"))[0] == 200
        excess_stream = await anyio.connect_tcp("127.0.0.1", port)
        status, head, content = await send_on(excess_stream, "/v1/models")
        assert (status, error(content)) == (503, ("overloaded", "not_run"))
        assert b"retry-after: 1" in head
        assert b"connection: close" in head
        with pytest.raises(anyio.EndOfStream):
            await excess_stream.receive()
        await excess_stream.aclose()
        assert (await send_on(open_streams[0], "/v1/models"))[0] == 405

        excess_stream = await anyio.connect_tcp("127.0.0.1", port)
        second_excess_stream = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.fail_after(20), pytest.raises(anyio.EndOfStream):
            await second_excess_stream.receive()
        assert (await send_on(excess_stream, "/healthz"))[0] == 200
        for stream in (*open_streams, excess_stream, second_excess_stream):
            await stream.aclose()


async def begin_call(w, framing, body):
    """Opens a connection and sends the beginning of a call."""
    stream = await anyio.connect_tcp("127.0.0.1", w.entry.caller_server.port)
    head = f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
    await stream.send(f"{head}{framing}\r\n\r\n".encode() + body)
    return stream


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("framing", "body"),
    [
        ("Content-Length: 900", b""),
        ("Transfer-Encoding: chunked", b"1f4\r\n" + b" " * 500 + b"\r\n"),
    ],
)
async def test_bodies_of_all_calls_together_are_bounded(framing, body):
    """Guards against unbounded memory when many bodies are each within their limit."""
    async with world(FakeEngine("n1", "l1"), buffered_bodies_limit_bytes=1_000) as w:
        body_limit = w.entry.state.body_buffer_limit
        slow_stream = await begin_call(w, "Content-Length: 900", b" " * 600)
        await w.wait_until(lambda: body_limit.used_bytes == 600)
        with anyio.fail_after(20):
            refused_stream = await begin_call(w, framing, body)
            received = await refused_stream.receive()
            while not received.endswith(b"}"):
                received += await refused_stream.receive()
        head, _, content = received.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"connection: close" in head.lower()
        assert b"retry-after: 1" in head.lower()
        assert error(content) == ("overloaded", "not_run")
        assert body_limit.used_bytes == 600
        await refused_stream.aclose()
        await slow_stream.aclose()
        await w.wait_until(lambda: body_limit.used_bytes == 0)
        assert (await w.chat(3))[0] == 200
        assert body_limit.used_bytes == 0
