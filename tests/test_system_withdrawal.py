"""System tests with real processes: withdrawn keys on frozen or isolated entries."""

import signal

import anyio
import pytest

from cassiapitch import timers
from demo.probes import Request, chat
from testbed.deployment import Size
from tests.system_world import MODEL, Stream, receive_stream, running, wait_until

WITHDRAWAL_MS = 2_000
FRESHNESS_MS = 1_800
ENTRY = "entry-2"
REFUSED = ((401, "not_run"), (503, "not_run"))


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    size = Size(control_count=3, entry_count=3, engine_count=1, service_count=1)
    with running(tmp_path_factory.mktemp("system"), size) as world:
        yield world


def short_chat(key):
    return chat(MODEL, "short", key, stream=False, tokens=3)


async def start_stream(world, group, key):
    stream = Stream()
    group.start_soon(receive_stream, world, ENTRY, key, stream)
    await stream.wait_for_chunks(20)
    return stream


async def is_served(world, key):
    return (await world.call(ENTRY, short_chat(key))).status == 200


@pytest.mark.parametrize("is_isolated", [False, True])
def test_frozen_entry_sends_nothing_after_it_resumes(world, is_isolated):
    """Guards against a resumed entry that still serves a key withdrawn meanwhile.

    An entry that is isolated as well can't learn of the withdrawal when it resumes.
    """

    async def scenario(world):
        key = await world.deployment.grant("jersey-shop")
        frozen_replies = []

        async def call_frozen():
            frozen_replies.append(await world.call(ENTRY, short_chat(key)))

        async with anyio.create_task_group() as group:
            stream = await start_stream(world, group, key)
            world.process(ENTRY).signal(signal.SIGSTOP)
            try:
                if is_isolated:
                    world.relays.cut(ENTRY, world.deployment.control)
                group.start_soon(call_frozen)
                withdrawn_ms = await world.withdraw(key)
                expired_ms = withdrawn_ms + WITHDRAWAL_MS + FRESHNESS_MS
                await anyio.sleep((expired_ms - timers.now_ms()) / 1000)
                assert not stream.has_ended
                resumed_ms = timers.now_ms()
            finally:
                world.process(ENTRY).signal(signal.SIGCONT)
            await stream.wait_for_end()
        reply = await world.call(ENTRY, short_chat(key))
        world.relays.heal()
        assert (reply.status, reply.outcome) in REFUSED
        assert stream.chunks(resumed_ms) == []
        assert stream.chunks(withdrawn_ms + WITHDRAWAL_MS) == []
        assert not stream.looks_complete
        assert (frozen_replies[0].status, frozen_replies[0].outcome) in REFUSED
        for entry in world.deployment.entries:
            reply = await world.call(entry, short_chat(key))
            assert (reply.status, reply.outcome) in REFUSED
        await wait_until(lambda: is_served(world, world.keys["jersey-shop"]))
        assert (await world.call(ENTRY, short_chat(key))).status == 401

    world.run(scenario)


def test_isolated_entry_ends_keyed_streams_and_keeps_open_routes(world):
    """Guards against an entry that serves keyed calls from an unconfirmed view."""

    async def scenario(world):
        key = await world.deployment.grant("jersey-shop")
        valid_key = world.keys["team-portal"]
        async with anyio.create_task_group() as group:
            await wait_until(lambda: is_served(world, valid_key))
            stream = await start_stream(world, group, key)
            world.relays.cut(ENTRY, world.deployment.control)
            cut_ms = timers.now_ms()
            try:
                withdrawn_ms = await world.withdraw(key)
                await stream.wait_for_end()
                last_ms = max(withdrawn_ms, cut_ms) + WITHDRAWAL_MS
                assert stream.chunks(last_ms) == []
                assert not stream.looks_complete
                assert b"authorization_unconfirmed" in stream.text
                expired_ms = cut_ms + FRESHNESS_MS
                await anyio.sleep(max(0, expired_ms - timers.now_ms()) / 1000)
                for tried_key in (key, valid_key):
                    reply = await world.call(ENTRY, short_chat(tried_key))
                    assert reply.code == "authorization_unconfirmed"
                    assert (reply.status, reply.outcome) == (503, "not_run")
                reply = await world.call(ENTRY, Request("GET", "/size-chart"))
                assert reply.status == 200
                # The other entries don't depend on the isolated one.
                reply = await world.call("entry-1", short_chat(valid_key))
                assert reply.status == 200
            finally:
                world.relays.heal()
        await wait_until(lambda: is_served(world, valid_key))
        reply = await world.call(ENTRY, short_chat(key))
        assert (reply.status, reply.outcome) == (401, "not_run")

    world.run(scenario)
