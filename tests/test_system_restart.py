"""System test with real processes: a rolling restart of all entries under load."""

import signal

import anyio
import pytest

from demo.probes import Request, chat
from testbed.deployment import Size
from tests.system_world import MODEL, order, running, wait_until

CALLER_COUNT = 9
TOKENS = 40
STOP_MS = 20_000


@pytest.fixture
def world(tmp_path):
    size = Size(control_count=3, entry_count=3, engine_count=2, service_count=1)
    with running(tmp_path, size) as world:
        yield world


async def is_healthy(world, entry):
    reply = await world.call(entry, Request("GET", "/healthz"))
    return reply.status == 200


async def track_health(world, entry, healthy):
    """Adds or removes an entry by its health check, as a load balancer does."""
    while True:
        if await is_healthy(world, entry):
            healthy.add(entry)
        else:
            healthy.discard(entry)
        await anyio.sleep(0.05)


async def call_repeatedly(world, number, healthy, stop, replies):
    key, count = world.keys["jersey-shop"], 0
    while not stop.is_set():
        count += 1
        entry = sorted(healthy)[(number + count) % len(healthy)]
        if number % 3 == 0:
            request = order(1_000 * number + count, key)
        else:
            is_stream = number % 3 == 1
            text = f"{number} {count}"
            request = chat(MODEL, text, key, stream=is_stream, tokens=TOKENS)
        reply = await world.call(entry, request)
        replies.append((entry, request, reply))
        await anyio.sleep(0.02)


def test_rolling_restart_cuts_and_refuses_nothing(world):
    """Guards against a shutdown that loses calls which the load balancer still sends."""

    async def scenario(world):
        healthy, stop, replies = set(), anyio.Event(), []
        entries = world.deployment.entries
        async with anyio.create_task_group() as group:
            for entry in entries:
                group.start_soon(track_health, world, entry, healthy)
            async with anyio.create_task_group() as callers_group:

                async def all_healthy():
                    return len(healthy) == len(entries)

                await wait_until(all_healthy)
                for number in range(CALLER_COUNT):
                    callers_group.start_soon(
                        call_repeatedly, world, number, healthy, stop, replies
                    )
                await anyio.sleep(1)
                for entry in entries:
                    world.process(entry).signal(signal.SIGTERM)
                    code = await world.deployment.wait_for_end(entry, STOP_MS)
                    assert code == 0
                    world.deployment.start([entry])
                    await wait_until(all_healthy)
                await anyio.sleep(1)
                stop.set()
            group.cancel_scope.cancel()
        faulty = [
            (entry, request.path, reply)
            for entry, request, reply in replies
            if reply.status != 200 or not reply.is_complete
        ]
        assert faulty == []
        streamed = [
            reply.tokens
            for _, request, reply in replies
            if request.document.get("stream")
        ]
        assert set(streamed) == {TOKENS}
        runs = await world.orders()
        order_replies = [item for item in replies if item[1].path.startswith("/orders")]
        assert (len(runs), set(runs.values())) == (len(order_replies), {1})
        assert {entry for entry, _, _ in replies} == set(entries)

    world.run(scenario)
