"""Non-idempotent calls while an entry or the control leader is killed."""

import anyio
import pytest

from testbed.deployment import Size
from tests.system_world import order, running, wait_until

ORDERS_COUNT = 30
ORDER_INTERVAL_S = 0.04
STEP_MS = 400
# A claim without an outcome stays `running` for the route's timeout and 10 s more.
TIMEOUT_MS = 1_500
FINAL_RESULTS = {(200, ""), (409, "claim_unknown")}
# An entry may be without a confirmation for 1.8 s while the leader changes.
RETRYABLE_RESULTS = {
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
    routes = world.deployment.testbed_bundle.document(2)["routes"]
    await world.deployment.roll(
        2, routes=[{**route, "timeout_ms": TIMEOUT_MS} for route in routes]
    )


def status_and_code(reply):
    return (reply.status, reply.code)


async def send_order(world, entry, number, replies):
    """Sends an order; if the reply says that it didn't run, checks that it didn't."""
    reply = await world.call(entry, order(number, world.keys["jersey-shop"]))
    replies.setdefault(number, []).append(reply)
    if reply.outcome == "not_run":
        assert number not in await world.orders(), reply
    return reply


async def send_orders(world, entry, numbers, replies, kill):
    """Sends orders at short intervals and calls `kill` after two thirds of them."""
    async with anyio.create_task_group() as group:
        for count, number in enumerate(numbers):
            group.start_soon(send_order, world, entry, number, replies)
            await anyio.sleep(ORDER_INTERVAL_S)
            if count == len(numbers) * 2 // 3:
                kill()


async def repeat_until_final(world, entry, number, replies):
    async def final():
        reply = await send_order(world, entry, number, replies)
        assert status_and_code(reply) in FINAL_RESULTS | RETRYABLE_RESULTS, reply
        if status_and_code(reply) not in FINAL_RESULTS:
            await anyio.sleep(0.5)
        return status_and_code(reply) in FINAL_RESULTS

    await wait_until(final)


async def check_single_runs(world, entry, numbers, replies):
    """Repeats every order through another entry and compares all replies.

    Returns the results of the last replies.
    """
    async with anyio.create_task_group() as group:
        for number in numbers:
            group.start_soon(repeat_until_final, world, entry, number, replies)
    runs = await world.orders()
    for number in numbers:
        assert runs.get(number, 0) <= 1
        successful = [
            reply for reply in replies[number] if status_and_code(reply) == (200, "")
        ]
        # All complete replies to one order have the body of its only run. If the entry
        # is killed between head and body, the reply is marked as incomplete.
        bodies = {reply.content for reply in successful if reply.is_complete}
        assert len(bodies) <= 1
        assert b"" not in bodies
        assert all(
            reply.content == b"" for reply in successful if not reply.is_complete
        )
        if bodies:
            assert runs[number] == 1
    return {status_and_code(replies[number][-1]) for number in numbers}


def test_orders_of_a_killed_entry_run_at_most_once(world):
    """Guards against a second run when a call is repeated after its entry was killed."""

    async def scenario(world):
        numbers, replies = range(ORDERS_COUNT), {}
        process = world.process("entry-1")
        await send_orders(world, "entry-1", numbers, replies, process.kill)
        assert {status_and_code(attempts[0])[0] for attempts in replies.values()} >= {
            0,
            200,
        }
        # Some orders had finished, others were running when the entry was killed.
        assert (
            await check_single_runs(world, "entry-2", numbers, replies) == FINAL_RESULTS
        )

    world.run(scenario)


def test_orders_run_at_most_once_while_the_leader_is_killed(world):
    """Guards against a new leader that grants an existing claim a second time."""

    async def scenario(world):
        numbers, replies = range(1_000, 1_000 + ORDERS_COUNT), {}
        leader = await world.deployment.wait_for_leader(20_000)
        process = world.process(leader)
        await send_orders(world, "entry-2", numbers, replies, process.kill)
        await check_single_runs(world, "entry-3", numbers, replies)
        world.deployment.start([leader])
        runs = await world.orders()
        assert sum(runs.get(number, 0) for number in numbers) > ORDERS_COUNT // 2

    world.run(scenario)
