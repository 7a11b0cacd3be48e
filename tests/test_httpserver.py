"""Tests of the HTTP server on `uvicorn`, and of reading request bodies."""

import asyncio
import multiprocessing
import os
import signal
import socket

import anyio
import anyio.to_thread
import httpcore
import pytest

from cassiapitch import asgi, httpserver
from cassiapitch.settings import Address
from demo import probes


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_close_completes_responses_in_progress():
    """Guards against a stop that cuts a response."""
    started, may_continue = anyio.Event(), anyio.Event()

    async def app(scope, receive, send):
        started.set()
        await may_continue.wait()
        await asgi.send_json(send, 200, {"ok": True})

    server = httpserver.HttpServer(app, Address("127.0.0.1", 0))
    answers = []

    async def call():
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", f"http://127.0.0.1:{server.port}/")
            answers.append((response.status, response.content))

    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        group.start_soon(call)
        await started.wait()
        server.close()
        may_continue.set()
    assert answers == [(200, b'{"ok":true}')]


@pytest.mark.anyio
async def test_body_over_the_limit_is_refused():
    """Guards against unbounded memory for one caller's body."""

    async def receive():
        return {"type": "http.request", "body": b"x" * 60, "more_body": True}

    outcome = await asgi.read_body(receive, limit_bytes=100, timeout_ms=10_000)
    assert outcome == asgi.BodyTooLarge()


@pytest.mark.anyio
async def test_responses_do_not_wait_for_acknowledgements():
    """Guards against a delay of 40 ms per response by Nagle's algorithm.

    Head and body are written separately.
    """
    options = []

    async def app(scope, receive, send):
        transport = send.__self__.transport
        accepted = transport.get_extra_info("socket")
        options.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        await asgi.send_json(send, 200, {})

    server = httpserver.HttpServer(app, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        async with httpcore.AsyncConnectionPool() as pool:
            await pool.request("GET", f"http://127.0.0.1:{server.port}/")
        server.close()
    assert options[0] != 0


@pytest.mark.anyio
@pytest.mark.parametrize("begin", [b"", b"GET / HTTP/1.1\r\nHost"])
async def test_connection_without_a_complete_head_is_closed(monkeypatch, begin):
    """Guards against callers that hold connections by sending heads slowly."""
    monkeypatch.setattr(httpserver, "HEAD_LIMIT_S", 0.1)

    async def app(scope, receive, send):
        await asgi.send_json(send, 200, {})

    server = httpserver.HttpServer(app, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        stream = await anyio.connect_tcp("127.0.0.1", server.port)
        if begin:
            await stream.send(begin)
        with anyio.fail_after(10), pytest.raises(anyio.EndOfStream):
            await stream.receive()
        await stream.aclose()
        server.close()


@pytest.mark.anyio
async def test_slow_response_is_not_cut_by_the_head_timer(monkeypatch):
    """Guards against a timer that still runs after the head has arrived."""
    monkeypatch.setattr(httpserver, "HEAD_LIMIT_S", 0.1)

    async def app(scope, receive, send):
        await anyio.sleep(0.3)
        await asgi.send_json(send, 200, {})

    server = httpserver.HttpServer(app, Address("127.0.0.1", 0))
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        async with httpcore.AsyncConnectionPool() as pool:
            for _ in range(2):
                response = await pool.request("GET", f"http://127.0.0.1:{server.port}/")
                assert response.status == 200
        server.close()


async def _serve_killed_after_head(report):
    """Serves one response and kills the process once its head is written."""

    async def app(scope, receive, send):
        transport = send.__self__.transport
        write = transport.write

        def write_once(data):
            write(data)
            os.kill(os.getpid(), signal.SIGKILL)

        transport.write = write_once
        await asgi.send_json(send, 200, {"ok": True})

    server = httpserver.HttpServer(app, Address("127.0.0.1", 0))
    report.send(server.port)
    await server.run()


def _run_killed_after_head(report):
    asyncio.run(_serve_killed_after_head(report))


@pytest.mark.anyio
async def test_response_of_a_process_killed_after_its_head_is_known_to_be_incomplete():
    """Guards against an incomplete response that its caller treats as a success."""
    receiver, report = multiprocessing.Pipe(duplex=False)
    context = multiprocessing.get_context("spawn")
    process = context.Process(target=_run_killed_after_head, args=(report,))
    process.start()
    try:
        port = await anyio.to_thread.run_sync(receiver.recv)
        with anyio.fail_after(10):
            reply = await probes.call(
                Address("127.0.0.1", port), probes.Request("GET", "/")
            )
    finally:
        process.kill()
        process.join(10)
    assert (reply.status, reply.content) == (200, b"")
    assert not reply.is_complete
