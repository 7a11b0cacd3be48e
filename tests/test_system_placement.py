"""Placement through a change of the bundle while orders are lost, late and doubled."""

import contextlib

import anyio
import pytest

from demo.probes import chat
from testbed.deployment import Size
from testbed.testbed_bundle import ROLES
from tests.system_world import running, wait_until

MEMORY_MIB = 40_960
REACHABLE_WITHIN_S = 25
# Two models of the first role fit on each of its two engines, and all three models of
# the second role on its only engine. So old models must be unloaded before new ones
# can be loaded.
NEW_MIB = {ROLES[0]: 20_000, ROLES[1]: 13_000}
OLD_MODELS = tuple(f"model-{number:02d}" for number in range(6))
NEW_MODELS = (OLD_MODELS[2], "new-a", "new-b", "new-c", "new-d", "new-e")
FENCED_ENGINES = ("engine-1", "engine-2")
# At an engine without fencing, a load without a response stays charged until the
# engine restarts. Such loads of the old models would leave the role's only engine no
# memory for the new ones, so its faults start with the unloads.
ORDER_FAULTS = {
    "lose_orders": 1,
    "delay_orders": 1,
    "double_orders": 1,
    "order_delay_ms": 1_500,
}


@pytest.fixture
def world(tmp_path):
    size = Size(
        control_count=3,
        entry_count=2,
        engine_count=3,
        first_role_count=len(FENCED_ENGINES),
        service_count=1,
    )
    with running(tmp_path, size, models=len(OLD_MODELS)) as world:
        yield world


async def call_until_served(world, entry, model, served_models):
    """Calls a model until a request succeeds, and adds it to `served_models`."""
    key = world.keys["jersey-shop"]

    async def answers():
        request = chat(model, "hello", key, stream=False, tokens=3)
        reply = await world.call(entry, request)
        if reply.status != 200:
            await anyio.sleep(0.3)
        return reply.status == 200

    # The caller compares the served models, so that a failure names the missing ones.
    with contextlib.suppress(TimeoutError):
        await wait_until(answers, limit_s=REACHABLE_WITHIN_S)
        served_models.add(model)


async def call_all_until_served(world, models):
    served_models = set()
    async with anyio.create_task_group() as group:
        for number, model in enumerate(models):
            entry = world.deployment.entries[number % 2]
            group.start_soon(call_until_served, world, entry, model, served_models)
    return served_models


async def keep_calling(world, models):
    count, key = 0, world.keys["team-portal"]
    while True:
        count += 1
        entry = world.deployment.entries[count % 2]
        model = models[count % len(models)]
        await world.call(entry, chat(model, f"{count}", key, stream=False, tokens=10))


def new_models():
    return [
        {
            "name": name,
            "role": ROLES[number % 2],
            "memory_mib": NEW_MIB[ROLES[number % 2]],
            "minimum_copies": 0,
        }
        for number, name in enumerate(NEW_MODELS)
    ]


def test_no_engine_is_overcommitted_while_a_bundle_changes_its_models(world):
    """Guards against memory that counts as free before the engine has freed it."""

    async def scenario(world):
        engines = world.deployment.engines
        for engine in FENCED_ENGINES:
            await world.fault(engine, **ORDER_FAULTS)
        assert await call_all_until_served(world, OLD_MODELS) == set(OLD_MODELS)
        async with anyio.create_task_group() as group:
            group.start_soon(keep_calling, world, (*OLD_MODELS, *NEW_MODELS))
            for engine in engines:
                await world.fault(engine, **ORDER_FAULTS)
            await world.deployment.roll(2, models=new_models())
            assert await call_all_until_served(world, NEW_MODELS) == set(NEW_MODELS)
            group.cancel_scope.cancel()
        dumps = {engine: await world.dump(engine) for engine in engines}
        for dump in dumps.values():
            assert dump["overcommit"] == []
            assert dump["most_used_mib"] <= MEMORY_MIB
        assert any(item["late"] for dump in dumps.values() for item in dump["orders"])

    world.run(scenario)
