"""Tests of a planned stop of the server for forwarded requests."""

import anyio
import pytest

from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.forwarding import ForwardServer
from cassiapitch.platform.requests import HEADER_CODEC
from cassiapitch.service_times import KNOWN_COUNT
from cassiapitch.settings import Address, EntrySettings
from tests.forward_world import (
    KEY,
    ONCE,
    STREAM,
    World,
    answer_bytes,
    chunk,
    event,
    run_limited,
    stream_head,
)
from tests.reserved import reserve_ports

REQUEST = (
    b"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q1\r\n"
    b"Deadline-Ms: 4000\r\nAuthorization: Bearer " + KEY.encode() + b"\r\n"
    b"Content-Length: 0\r\n\r\n"
)


async def connect(port):
    while True:
        try:
            return await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.01)


async def start_entry(group, *behaviours, grace_s, repeat=ONCE):
    """Starts backend servers; returns their world, and an entry's state and port."""
    (port,) = reserve_ports(1)
    settings = EntrySettings(
        name="entry-1",
        zone="a",
        cluster="test",
        caller_address=Address("127.0.0.1", port),
        admin_address=Address("127.0.0.1", 0),
        serve_unconfirmed=True,
        balancer_delay_ms=0,
        grace_s=grace_s,
    )
    world = World(group, repeat)
    await world.start(*behaviours)
    state = EntryState(settings)
    state.set_background_group(group)
    state.catalog, state.freshness = world.state.catalog, world.state.freshness
    return world, state, port


def test_request_that_still_waits_at_the_end_of_a_planned_stop_is_answered():
    """Guards against a connection that ends without a response because its request
    waits for a model that isn't loaded in time."""

    async def never_called(backend, request, stream):
        raise AssertionError("the request was sent")

    async def main():
        async with anyio.create_task_group() as group:
            _, state, port = await start_entry(group, never_called, grace_s=1)

            async def wait_forever(slot_request):
                await anyio.sleep_forever()

            state.scheduler.acquire = wait_forever
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            group.start_soon(server.run)
            waiting = await connect(port)
            await waiting.send(REQUEST)
            await anyio.sleep(0.2)
            state.step_shutdown("stop")
            server.close()
            reply = await waiting.receive()
            assert reply.startswith(b"HTTP/1.1 503")
            assert b"connection: close" in reply.lower()
            assert await _ends(waiting)
            group.cancel_scope.cancel()

    run_limited(main)


def test_planned_stop_cuts_no_request_and_ends_without_an_error():
    """Guards against a stop that ends the process in the middle of responses."""
    release = anyio.Event()

    async def slow(backend, request, stream):
        await release.wait()
        await stream.send(answer_bytes("q1"))

    async def main():
        async with anyio.create_task_group() as group:
            world, state, port = await start_entry(group, slow, grace_s=5)
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            ended = anyio.Event()

            async def run():
                await server.run()
                ended.set()

            group.start_soon(run)
            busy, idle = await connect(port), await connect(port)
            await busy.send(REQUEST)
            while not world.backends[0].requests:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            state.step_shutdown("stop")
            server.close()
            assert await _ends(idle)
            release.set()
            reply = await busy.receive()
            assert reply.startswith(b"HTTP/1.1 200")
            await ended.wait()
            group.cancel_scope.cancel()

    run_limited(main)


async def _ends(stream):
    try:
        await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return True
    return False


def test_new_connection_is_served_during_a_planned_stop():
    """Guards against a lost request whose connection was accepted just before the stop,
    when nothing of the request had been read."""

    async def answers(backend, request, stream):
        await stream.send(answer_bytes(request[2]["request-id"]))

    async def main():
        async with anyio.create_task_group() as group:
            _, state, port = await start_entry(group, answers, grace_s=5.2)
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            group.start_soon(server.run)
            async with await connect(port) as early, await connect(port) as late:
                await early.send(REQUEST)
                assert (await early.receive()).startswith(b"HTTP/1.1 200")
                server.close()
                await anyio.sleep(0.1)
                await late.send(REQUEST)
                reply = await late.receive()
                assert reply.startswith(b"HTTP/1.1 200")
                assert b"connection: close" in reply.lower()
                with pytest.raises(anyio.EndOfStream):
                    await early.receive()
            group.cancel_scope.cancel()

    run_limited(main)


async def exchange(connection):
    """Sends a request; returns its reply and whether the connection has ended."""
    await connection.send(REQUEST)
    reply = b""
    while not _is_whole(reply):
        try:
            reply += await connection.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return reply, True
    return reply, False


def _is_whole(reply):
    if b"chunked" in reply:
        return reply.endswith(b"0\r\n\r\n")
    return b"\r\n\r\n" in reply and (b"200 X" not in reply or reply.endswith(b"done"))


def test_request_that_the_rest_of_a_stop_is_too_short_for_is_refused_unsent():
    """Guards against requests on kept connections that are passed on and cut."""

    async def streams(backend, request, stream):
        await stream.send(stream_head("q1") + chunk(event(1)))
        await anyio.sleep(0.9)
        await stream.send(chunk(event(2)) + b"0\r\n\r\n")

    async def main():
        async with anyio.create_task_group() as group:
            world, state, port = await start_entry(
                group, streams, grace_s=2.4, repeat=STREAM
            )
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            group.start_soon(server.run)
            async with await connect(port) as connection:
                await connection.send(REQUEST)
                begun = await connection.receive()
                assert b"connection: close" not in begun.lower()
                server.close()
                # Sent before the response's end, so that it doesn't cross a close.
                await connection.send(REQUEST)
                replies = begun
                while b'"shutting_down"}' not in replies:
                    replies += await connection.receive()
                first, _, second = replies.partition(b"0\r\n\r\n")
                assert event(2) in first
                assert second.startswith(b"HTTP/1.1 503")
                assert b"connection: close" in second.lower()
                assert await _ends(connection)
            assert len(world.backends[0].requests) == 1
            group.cancel_scope.cancel()

    run_limited(main)


def test_short_requests_are_served_up_to_the_end_of_a_stop():
    """Guards against refusals of requests that would have been answered in time."""

    async def answers(backend, request, stream):
        await stream.send(answer_bytes("q1"))

    async def main():
        async with anyio.create_task_group() as group:
            _, state, port = await start_entry(group, answers, grace_s=1.8)
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            group.start_soon(server.run)
            async with await connect(port) as early:
                for _ in range(KNOWN_COUNT):
                    assert (await exchange(early))[0].startswith(b"HTTP/1.1 200")
                await early.send(REQUEST[:40])
                late = await connect(port)
                await late.send(REQUEST[:40])
                await anyio.sleep(0.05)
                server.close()
                await anyio.sleep(0.7)
                await early.send(REQUEST[40:])
                assert (await early.receive()).startswith(b"HTTP/1.1 200")
                await late.send(REQUEST[40:])
                assert (await late.receive()).startswith(b"HTTP/1.1 200")
            group.cancel_scope.cancel()

    run_limited(main)


def test_idle_connections_to_servers_that_leave_during_a_stop_are_closed():
    """Guards against connections to removed servers that stay open while it drains."""

    async def answers(backend, request, stream):
        await stream.send(answer_bytes("q1"))

    async def main():
        async with anyio.create_task_group() as group:
            world, state, port = await start_entry(group, answers, grace_s=5)
            server = ForwardServer(HEADER_CODEC, state, CrashContainment(state))
            group.start_soon(server.run)
            async with await connect(port) as connection:
                assert (await exchange(connection))[0].startswith(b"HTTP/1.1 200")
            backend = world.backends[0]
            assert not backend.closed.is_set()
            state.step_shutdown("stop")
            world.backends.clear()
            world.state = state
            world._apply_view()
            with anyio.fail_after(1):
                await backend.closed.wait()
            group.cancel_scope.cancel()

    run_limited(main)
