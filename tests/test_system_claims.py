"""Non-idempotent calls while an entry or the control leader is killed."""

import anyio
import pytest

from testbed.deployment import Size
from tests.system_world import order, running, wait_until

ORDER_COUNT = 30
SPACING_S = 0.04
STEP_MS = 400
# A route's timeout and the 10 s that a claim outlives it bound how long it is open.
TIMEOUT_MS = 1_500
FINAL = {(200, ""), (409, "claim_unknown")}
# An entry may lack a confirmation for 1.8 s while the leader changes.
OPEN = {
    (409, "claim_running"),
    (503, "claim_unavailable"),
    (503, "authorization_unconfirmed"),
}


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    size = Size(control_count=3, entry_count=3, engine_count=0, service_count=1)
    folder = tmp_path_factory.mktemp("system")
    with running(folder, size, standin={"step_ms": STEP_MS}) as world:
        world.run(shorten_claims)
        yield world


async def shorten_claims(world):
    routes = world.deployment.catalogue.document(2)["routes"]
    await world.deployment.roll(
        2, routes=[{**route, "timeout_ms": TIMEOUT_MS} for route in routes]
    )


def tell(reply):
    return (reply.status, reply.code)


async def place(world, entry, number, replies):
    """Places an order and checks a refusal that says that it did not run."""
    reply = await world.call(entry, order(number, world.keys["jersey-shop"]))
    replies.setdefault(number, []).append(reply)
    if reply.outcome == "not_run":
        assert number not in await world.orders(), reply
    return reply


async def place_all(world, entry, numbers, replies, disturb):
    """Places orders in a quick sequence; `disturb` is called in the middle."""
    async with anyio.create_task_group() as group:
        for count, number in enumerate(numbers):
            group.start_soon(place, world, entry, number, replies)
            await anyio.sleep(SPACING_S)
            if count == len(numbers) * 2 // 3:
                disturb()


async def repeat_until_final(world, entry, number, replies):
    async def final():
        reply = await place(world, entry, number, replies)
        assert tell(reply) in FINAL | OPEN, reply
        if tell(reply) not in FINAL:
            await anyio.sleep(0.5)
        return tell(reply) in FINAL

    await wait_until(final)


async def check(world, entry, numbers, replies):
    """Repeats every order through another entry and compares all answers."""
    async with anyio.create_task_group() as group:
        for number in numbers:
            group.start_soon(repeat_until_final, world, entry, number, replies)
    runs = await world.orders()
    for number in numbers:
        assert runs.get(number, 0) <= 1
        answered = [one for one in replies[number] if tell(one) == (200, "")]
        # Every caller of one order receives the answer of its only run; an entry that
        # is killed between an answer's head and body leaves one that says itself that
        # it is not whole.
        bodies = {one.content for one in answered if one.is_complete}
        assert len(bodies) <= 1
        assert b"" not in bodies
        assert all(one.content == b"" for one in answered if not one.is_complete)
        if bodies:
            assert runs[number] == 1
    return {tell(replies[number][-1]) for number in numbers}


def test_orders_of_a_killed_entry_run_at_most_once(world):
    """Guards against a repeat that runs an order whose first entry was killed."""

    async def scenario(world):
        numbers, replies = range(ORDER_COUNT), {}
        process = world.process("entry-1")
        await place_all(world, "entry-1", numbers, replies, process.kill)
        assert {tell(one[0])[0] for one in replies.values()} >= {0, 200}
        # Some orders finished, others were under way.
        assert await check(world, "entry-2", numbers, replies) == FINAL

    world.run(scenario)


def test_orders_run_at_most_once_while_the_leader_is_killed(world):
    """Guards against a claim that a new leader gives out for the second time."""

    async def scenario(world):
        numbers, replies = range(1_000, 1_000 + ORDER_COUNT), {}
        leader = await world.deployment.wait_for_leader(20_000)
        process = world.process(leader)
        await place_all(world, "entry-2", numbers, replies, process.kill)
        await check(world, "entry-3", numbers, replies)
        world.deployment.start([leader])
        runs = await world.orders()
        assert sum(runs.get(number, 0) for number in numbers) > ORDER_COUNT // 2

    world.run(scenario)
