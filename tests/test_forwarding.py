"""Tests of a planned stop of the server for forwarded requests."""

import anyio
import pytest

from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.forwarding import ForwardServer
from cassiapitch.platform.requests import HEADER_CODEC
from cassiapitch.settings import Address, EntrySettings
from tests.forward_world import (
    KEY,
    ONCE,
    World,
    answer_bytes,
    run_limited,
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


async def start_entry(group, behave, *, grace_s):
    """Starts one backend server; returns its world, and an entry's state and port."""
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
    world = World(group, ONCE)
    await world.start(behave)
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
            _, state, port = await start_entry(group, answers, grace_s=5)
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
