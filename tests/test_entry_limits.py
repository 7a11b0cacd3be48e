"""Tests of the limits on connections and buffered bodies on a whole entry."""

import anyio
import pytest

from cassiapitch import asgi
from tests.entryfakes import KEY, FakeEngine, error, world


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def send_on(stream, path, body=b""):
    """Sends a request on a connection and returns the status and the answer."""
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
    """Guards against a refusal that callers can't read, and against refusing calls
    on connections within the limit."""
    monkeypatch.setattr(asgi, "REFUSED_LIMIT_COUNT", 1)
    async with world(FakeEngine("n1", "l1"), connections_limit_count=2) as w:
        port = w.entry.callers.port
        held = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(2)]
        for stream in held:
            assert (await send_on(stream, "/healthz"))[0] == 200
        excess = await anyio.connect_tcp("127.0.0.1", port)
        status, head, content = await send_on(excess, "/v1/models")
        assert (status, error(content)) == (503, ("overloaded", "not_run"))
        assert b"retry-after: 1" in head
        assert b"connection: close" in head
        with pytest.raises(anyio.EndOfStream):
            await excess.receive()
        await excess.aclose()
        assert (await send_on(held[0], "/v1/models"))[0] == 405

        excess = await anyio.connect_tcp("127.0.0.1", port)
        further = await anyio.connect_tcp("127.0.0.1", port)
        with anyio.fail_after(20), pytest.raises(anyio.EndOfStream):
            await further.receive()
        assert (await send_on(excess, "/healthz"))[0] == 200
        for stream in (*held, excess, further):
            await stream.aclose()
