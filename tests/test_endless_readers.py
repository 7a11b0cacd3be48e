"""Bytes without end at the readers that test_endless and test_orders leave out."""

import contextlib
import resource

import anyio
import pytest

from cassiapitch import plainhttp
from cassiapitch.backend_connection import (
    IDENTITY_LIMIT_BYTES,
    BackendBrokenError,
    BackendConnectionPool,
)
from cassiapitch.forwardanswers import RESPONSE_LIMIT_BYTES
from cassiapitch.platform.requests import HEADER_CODEC
from tests.forward_world import ONCE, play
from tests.test_endless import BUFFERED_BYTES, PIECE, Endless, unframed_head
from tests.test_plainhttp import echo, receive_all
from tests.test_plainhttp import play as play_http
from tests.test_tunnels import answer, cut_off, peer_of

MEMORY_LIMIT_KIB = 128 * 1024


def peak_memory_kib():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


def test_body_without_end_through_a_peer_is_cut_off():
    """Guards against the two entries of a tunnel that keep what an engine sends."""
    endless = Endless(unframed_head, PIECE)

    async def scenario(world):
        peer = await peer_of(world)
        cut_off(world, [peer.peer], world.backends[0])
        reply = await world.call()
        await endless.disconnected.wait()
        return reply

    before_kib = peak_memory_kib()
    assert play(scenario, ONCE, endless).startswith(b"HTTP/1.1 502")
    assert endless.sent_bytes <= RESPONSE_LIMIT_BYTES + 2 * BUFFERED_BYTES
    assert peak_memory_kib() - before_kib < MEMORY_LIMIT_KIB


@pytest.mark.parametrize(
    "beginning", [b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nA: ", b""]
)
def test_report_without_end_is_cut_off(beginning):
    """Guards against an entry that asks an engine which incarnation it is, and keeps
    all that the engine sends."""
    sent_bytes = 0

    async def serve(stream):
        nonlocal sent_bytes
        async with stream:
            try:
                await stream.receive()
                await stream.send(beginning)
                while True:
                    await stream.send(PIECE)
                    sent_bytes += len(PIECE)
            except anyio.BrokenResourceError:
                pass

    async def scenario(world):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        world.group.start_soon(listener.serve, serve)
        (item,) = world.state.catalog.backends.values()
        item = type(item)(
            item.name, "b9@1", "shop", "a", "127.0.0.1", port, "serving", (), (), 8
        )
        pool = BackendConnectionPool(world.state.backend_paths)
        connection = await pool.open(item, "q1")
        with pytest.raises(BackendBrokenError):
            await connection.read_identity(HEADER_CODEC, item.name)
        connection.close()

    play(scenario, ONCE, None)
    assert sent_bytes <= IDENTITY_LIMIT_BYTES + BUFFERED_BYTES


def test_announcement_without_end_is_refused(monkeypatch):
    """Guards against a control member that keeps a body of an engine without end."""
    limits = plainhttp.CallerLimits(32 * 1024, 1024 * 1024, 10_000, 75_000)
    monkeypatch.setattr(plainhttp, "CALLER_LIMITS", limits)

    async def scenario(server):
        async with await anyio.connect_tcp("127.0.0.1", server.port) as stream:
            head = b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send(head)
            sent_bytes = 0
            with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
                while sent_bytes < 64 * 1024 * 1024:
                    await stream.send(b"%x\r\n%s\r\n" % (len(PIECE), PIECE))
                    sent_bytes += len(PIECE)
            assert sent_bytes < limits.body_bytes + BUFFERED_BYTES

    play_http(echo, scenario)


def test_head_of_an_announcement_without_end_is_refused():
    async def scenario(server):
        async with await anyio.connect_tcp("127.0.0.1", server.port) as stream:
            await stream.send(b"PUT /a HTTP/1.1\r\nA: " + b"x" * 40 * 1024)
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 431")

    play_http(echo, scenario)


def test_request_through_a_peer_is_answered_whole_during_a_stop():
    """Guards against a planned stop that cuts what runs through another entry."""
    begun = anyio.Event()

    async def slow(backend, request, stream):
        begun.set()
        await anyio.sleep(0.5)
        await answer(backend, request, stream)

    async def scenario(world):
        peer = await peer_of(world)
        cut_off(world, [peer.peer], world.backends[0])
        replies = []

        async def call():
            replies.append(await world.call())

        async with anyio.create_task_group() as calls:
            calls.start_soon(call)
            await begun.wait()
            world.state.step_shutdown("stop")
            world.server.close()
            await peer.server.begin_stop()
        assert replies[0].startswith(b"HTTP/1.1 200")
        assert len(world.backends[0].requests) == 1

    play(scenario, ONCE, slow)
