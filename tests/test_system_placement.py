"""Placement through a bundle's change while orders are lost, late and doubled."""

import contextlib

import anyio
import pytest

from demo.probes import chat
from testbed.catalogue import ROLES
from testbed.deployment import Size
from tests.system_world import running, wait_until

MEMORY_MIB = 40_960
REACH_S = 25
# Two of the first role's models fit one of its two engines, and all three of the
# second role's its only one, so that old models must go before new ones come.
NEW_MIB = {ROLES[0]: 20_000, ROLES[1]: 13_000}
OLD = tuple(f"model-{number:02d}" for number in range(6))
NEW = (OLD[2], "new-a", "new-b", "new-c", "new-d", "new-e")
FENCED = ("engine-1", "engine-2")
# An unfenced engine keeps the memory of each load without a response charged until
# its life ends. Such loads of the old models would leave the role's only engine no
# room for the new ones, so its faults begin with the unloads.
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
        first_role_count=len(FENCED),
        service_count=1,
    )
    with running(tmp_path, size, models=len(OLD)) as world:
        yield world


async def reach(world, entry, model, reached):
    """Calls a model until it answers."""
    key = world.keys["jersey-shop"]

    async def answers():
        request = chat(model, "hello", key, stream=False, tokens=3)
        reply = await world.call(entry, request)
        if reply.status != 200:
            await anyio.sleep(0.3)
        return reply.status == 200

    # The caller compares what was reached, so that a failure names the models.
    with contextlib.suppress(TimeoutError):
        await wait_until(answers, limit_s=REACH_S)
        reached.add(model)


async def reach_all(world, models):
    reached = set()
    async with anyio.create_task_group() as group:
        for number, model in enumerate(models):
            entry = world.deployment.entries[number % 2]
            group.start_soon(reach, world, entry, model, reached)
    return reached


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
        for number, name in enumerate(NEW)
    ]


def test_no_engine_is_overcommitted_while_a_bundle_changes_its_models(world):
    """Guards against memory that is counted free before the engine freed it."""

    async def scenario(world):
        engines = world.deployment.engines
        for engine in FENCED:
            await world.fault(engine, **ORDER_FAULTS)
        assert await reach_all(world, OLD) == set(OLD)
        async with anyio.create_task_group() as group:
            group.start_soon(keep_calling, world, (*OLD, *NEW))
            for engine in engines:
                await world.fault(engine, **ORDER_FAULTS)
            await world.deployment.roll(2, models=new_models())
            assert await reach_all(world, NEW) == set(NEW)
            group.cancel_scope.cancel()
        dumps = {engine: await world.dump(engine) for engine in engines}
        for dump in dumps.values():
            assert dump["overcommit"] == []
            assert dump["most_used_mib"] <= MEMORY_MIB
        assert any(one["late"] for dump in dumps.values() for one in dump["orders"])

    world.run(scenario)
