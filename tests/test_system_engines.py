"""System tests of requests that crash engines, and of backend servers that leave."""

import anyio
import pytest

from cassiapitch import timers
from demo.probes import chat
from testbed.deployment import Size
from testbed.testbed_bundle import ROLES
from tests.system_world import MODEL, Stream, receive_stream, running, wait_until

ENGINES = ("engine-1", "engine-2", "engine-3", "engine-4")
CRASHES_LIMIT_COUNT = 2
ATTEMPT_COUNT = 8
LEAVING_MS = 2_000
ANNOUNCE_MS = 500
TOKENS = 100
OTHER_STREAMS_COUNT = 6


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    size = Size(
        control_count=3,
        entry_count=3,
        engine_count=5,
        first_role_count=len(ENGINES),
        service_count=1,
    )
    with running(tmp_path_factory.mktemp("system"), size) as world:
        world.run(load_everywhere)
        yield world


async def load_everywhere(world):
    """Puts a bundle into force that requires a copy on each engine of the role."""
    model = {
        "name": MODEL,
        "role": ROLES[0],
        "memory_mib": 6_000,
        "minimum_copies": len(ENGINES),
    }
    await world.deployment.roll(2, models=[model])
    await wait_until(lambda: is_loaded(world))


async def is_loaded(world):
    dump = await world.admin_dump("entry-1")
    return set(ENGINES) <= {
        item["name"]
        for item in dump["backends"]
        if MODEL in item["models"] and item["state"] == "serving"
    }


async def crash(world, name, count):
    """Sends one crashing request `count` times, through all entries in turn."""
    key, replies = world.keys["team-portal"], []
    for number in range(count):
        entry = world.deployment.entries[number % len(world.deployment.entries)]
        request = chat(MODEL, f"CRASH-ENGINE {name}", key, stream=False, tokens=5)
        replies.append(await world.call(entry, request))
    return replies


async def restart_crashed(world, crashed_names):
    """Restarts crashed engines as the platform does, and records their names."""
    while True:
        for name in ENGINES:
            if not world.process(name).is_running():
                crashed_names.append(name)
                world.deployment.start([name])
        await anyio.sleep(0.1)


def test_crashing_request_crashes_two_incarnations_at_most(world):
    """Guards against a request that crashes every engine, one after another."""

    async def scenario(world):
        crashed_names = []
        async with anyio.create_task_group() as group:
            group.start_soon(restart_crashed, world, crashed_names)
            # Concurrent streams make every entry notice a crash, and views change.
            other_streams = [Stream() for _ in range(OTHER_STREAMS_COUNT)]
            for number, stream in enumerate(other_streams):
                entry = world.deployment.entries[number % 3]
                call = (world, entry, world.keys["jersey-shop"], stream)
                group.start_soon(_receive_text, *call, f"beside {number}")
            for stream in other_streams:
                await stream.wait_for_chunks(5)
            replies = await crash(world, "repeated", ATTEMPT_COUNT)
            await anyio.sleep(0.5)
            group.cancel_scope.cancel()
        assert 1 <= len(crashed_names) <= CRASHES_LIMIT_COUNT, [
            reply.code for reply in replies
        ]
        assert {reply.code for reply in replies[-3:]} == {"request_quarantined"}

    world.run(scenario)


def test_other_streams_on_crashed_engines_are_answered(world):
    """Guards against quarantining requests that merely ran on an engine when another
    request crashed it."""

    async def scenario(world):
        await wait_until(lambda: is_loaded(world))
        crashed_names = []
        streams = [Stream() for _ in range(OTHER_STREAMS_COUNT)]
        entries = world.deployment.entries
        async with anyio.create_task_group() as group:
            group.start_soon(restart_crashed, world, crashed_names)
            async with anyio.create_task_group() as streams_group:
                key = world.keys["jersey-shop"]
                for number, stream in enumerate(streams):
                    entry = entries[number % len(entries)]
                    call = (world, entry, key, stream)
                    streams_group.start_soon(_receive_text, *call, f"innocent {number}")
                for stream in streams:
                    await stream.wait_for_chunks(5)
                await crash(world, "beside others", 1)
            group.cancel_scope.cancel()
        assert 1 <= len(crashed_names) <= CRASHES_LIMIT_COUNT
        for stream in streams:
            assert stream.looks_complete, stream.text[-300:]
            positions = [chunk.position for _, chunk in stream.chunks()]
            assert positions == list(range(TOKENS))

    world.run(scenario)


async def _receive_text(world, entry, key, stream, text):
    await receive_stream(world, entry, key, stream, tokens=TOKENS, text=text)


async def call_repeatedly(world, number, stop, statuses):
    key, count = world.keys["jersey-shop"], 0
    entries = world.deployment.entries
    while not stop.is_set():
        count += 1
        request = chat(MODEL, f"{number} {count}", key, stream=False, tokens=3)
        reply = await world.call(entries[number % len(entries)], request)
        statuses.append(reply.status)


async def request_count(world, engine):
    return len((await world.dump(engine))["request_counts"])


def test_leaving_engine_gets_no_new_work_after_two_seconds(world):
    """Guards against entries that don't learn that a backend server is leaving."""

    async def scenario(world):
        leaving = "engine-2"
        await wait_until(lambda: is_loaded(world))
        stop, statuses = anyio.Event(), []
        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(call_repeatedly, world, number, stop, statuses)

            async def has_work():
                return await request_count(world, leaving) > 0

            await wait_until(has_work)
            await world.fault(leaving, leaving=True)
            # The limit counts from the engine's next announcement.
            limit_ms = timers.now_ms() + ANNOUNCE_MS + LEAVING_MS
            await anyio.sleep((limit_ms - timers.now_ms()) / 1000)
            count_at_limit = await request_count(world, leaving)
            answered_count = len(statuses)

            async def has_more_answers():
                return len(statuses) > answered_count + 60

            await wait_until(has_more_answers)
            assert await request_count(world, leaving) == count_at_limit
            stop.set()
        assert set(statuses) == {200}

    world.run(scenario)
