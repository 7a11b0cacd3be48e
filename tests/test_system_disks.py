"""System tests: lost disks of control members, and concurrent operators."""

import hashlib
import json
import pathlib
import shutil
import signal

import anyio
import pytest
from cryptography.hazmat.primitives import serialization

from cassiapitch import keygen, signing
from cassiapitch.client import Client, Done, Refused
from testbed.deployment import OPERATOR, Size
from tests.system_world import order, running, wait_until

SECOND_OPERATOR = "iosefo"
KEY_CHANGES_COUNT = 300
ANSWER_MS = 10_000
NO_QUORUM_S = 2


@pytest.fixture
def world(tmp_path):
    size = Size(control_count=3, entry_count=2, engine_count=0, service_count=1)
    with running(tmp_path, size, prepare=add_operator) as world:
        yield world


def add_operator(deployment):
    """Adds a second operator to the control members' settings."""
    operator_key = keygen.make_operator_key(
        deployment.folder / "secrets", SECOND_OPERATOR
    )
    operator = {
        "name": SECOND_OPERATOR,
        "token_sha256": operator_key.token_sha256,
        "public_key_hex": operator_key.public_key_hex,
    }
    for member in deployment.control:
        path = deployment.folder / f"{member}.json"
        settings = json.loads(path.read_text())
        settings["operators"].append(operator)
        path.write_text(json.dumps(settings))


async def send_request(world, member, method, path, document=None, operator=OPERATOR):
    """Sends an operator's request to one control member."""
    token = world.deployment.folder / "secrets" / f"{operator}.token"
    client = Client(token.read_text("ascii").strip(), ANSWER_MS)
    peer = world.deployment.admin_peer(member)
    return await anyio.to_thread.run_sync(
        lambda: client.request([peer], method, f"/admin/v1{path}", document)
    )


def bundle_body(world, operator, version, rate):
    accounts = [
        {**item, "rate_tokens_per_s": rate}
        for item in world.deployment.testbed_bundle.document(1)["client_accounts"]
    ]
    document = world.deployment.testbed_bundle.document(
        version, client_accounts=accounts
    )
    content = json.dumps(document)
    path = world.deployment.folder / "secrets" / f"{operator}.key.pem"
    key = serialization.load_pem_private_key(path.read_bytes(), None)
    signature = signing.sign(key.private_bytes_raw(), content.encode())
    return {"content": content, "signature_hex": signature, "operator": operator}


async def read_state(world, member):
    status = await world.deployment.status(member)
    counts = status["counts"] if status else {}
    names = ("keys_working", "keys_granted", "keys_withdrawn", "claims")
    bundle = (status or {}).get("bundle") or {}
    return bundle.get("version"), *(counts.get(name) for name in names)


def lose_disk(world, member):
    world.process(member).kill()
    shutil.rmtree(pathlib.Path(world.deployment.folder) / "data" / member)


async def refuses_key(world, entry, key):
    reply = await world.call(entry, order(9, key))
    return reply.status == 401


def test_two_disks_lost_one_after_the_other_lose_nothing(world):
    """Guards against a member that votes with an empty disk under its old name."""

    async def scenario(world):
        deployment, key = world.deployment, world.keys["jersey-shop"]
        withdrawn = await deployment.grant("jersey-shop")
        await world.withdraw(withdrawn)
        first = await world.call("entry-1", order(1, key))
        assert first.status == 200
        await deployment.roll(2)
        leader = await deployment.wait_for_leader(20_000)
        acknowledged = await read_state(world, leader)
        lost, other_member = [name for name in deployment.control if name != leader]

        lose_disk(world, lost)
        deployment.start([lost])

        async def read_status():
            return await deployment.status(lost)

        status = await wait_until(read_status)
        assert status["role"] != "leader"
        # `lost` waits to be admitted and has no vote, so without `other_member` there is no
        # quorum.
        world.process(other_member).signal(signal.SIGSTOP)
        try:
            await wait_until(lambda: lacks_leader(world))
            await anyio.sleep(NO_QUORUM_S)
            assert await deployment.leader() is None
            assert (await read_state(world, lost))[0] is None
        finally:
            world.process(other_member).signal(signal.SIGCONT)
        leader = await wait_until(deployment.leader)
        other_member = next(
            control_name
            for control_name in deployment.control
            if control_name not in (lost, leader)
        )
        address = str(deployment.peer_address(lost))
        await deployment.command("member", "remove", lost)
        await deployment.command(
            "member", "add", lost, "--zone", deployment.zone(lost), "--address", address
        )
        await deployment.command("member", "promote", lost)
        # The second disk is lost at once; the readmitted member must be enough.
        lose_disk(world, other_member)
        second_key = await deployment.grant("team-portal")
        assert await wait_until(lambda: have_same_state(world, leader, lost))
        assert (await read_state(world, lost))[0] == acknowledged[0]
        repeat = await world.call("entry-2", order(1, key))
        assert (repeat.status, repeat.content) == (200, first.content)
        assert await world.orders() == {1: 1}
        assert await refuses_key(world, "entry-2", withdrawn)
        assert (await world.call("entry-2", order(2, second_key))).status == 200
        # The leader fails too and returns: the new disk must hold the whole state.
        world.process(leader).kill()
        deployment.start([leader])
        await wait_until(deployment.leader)
        await wait_until(lambda: have_same_state(world, leader, lost))
        counts = await read_state(world, lost)
        assert counts[0] == acknowledged[0]
        assert counts[3] == acknowledged[3]
        assert counts[4] == acknowledged[4] + 1

    world.run(scenario)


async def lacks_leader(world):
    return await world.deployment.leader() is None


async def have_same_state(world, member, other_member):
    first, second = (
        await read_state(world, member),
        await read_state(world, other_member),
    )
    return first == second and first[0] is not None


async def put_bundle(world, member, body, outcomes):
    operator = body["operator"]
    outcomes[member] = await send_request(
        world, member, "POST", "/bundles", body, operator
    )


def test_one_of_two_bundles_of_one_version_wins_for_good(world):
    """Guards against operators who both believe that their bundle is in force."""

    async def scenario(world):
        deployment = world.deployment
        bodies = {
            "control-1": bundle_body(world, OPERATOR, 2, 3_000),
            "control-2": bundle_body(world, SECOND_OPERATOR, 2, 4_000),
        }
        outcomes = {}
        async with anyio.create_task_group() as group:
            for member, body in bodies.items():
                group.start_soon(put_bundle, world, member, body, outcomes)
        winners = [m for m, outcome in outcomes.items() if isinstance(outcome, Done)]
        losers = [m for m, outcome in outcomes.items() if isinstance(outcome, Refused)]
        assert (len(winners), len(losers)) == (1, 1), outcomes
        won, lost = outcomes[winners[0]].document, outcomes[losers[0]]
        content = bodies[winners[0]]["content"].encode()
        assert won["digest"] == hashlib.sha256(content).hexdigest()
        assert lost.code == "version_conflict"
        assert lost.document["digest"] == won["digest"]
        assert won["author"] == bodies[winners[0]]["operator"]
        assert lost.document["author"] == won["author"]

        async def change_keys(member, first):
            for number in range(first, first + KEY_CHANGES_COUNT // 10):
                digest = hashlib.sha256(str(number).encode()).hexdigest()
                document = {"sha256": digest, "client_account": "jersey-shop"}
                for path in ("/keys/grant", "/keys/withdraw"):
                    outcome = await send_request(world, member, "POST", path, document)
                    assert isinstance(outcome, Done)
                    document = {"sha256": digest}

        async with anyio.create_task_group() as group:
            for part in range(10):
                member = deployment.control[part % 3]
                group.start_soon(change_keys, member, part * 1_000)
        for member in deployment.control:
            world.process(member).kill()
        deployment.start(deployment.control)
        await deployment.wait_for_leader(20_000)
        await wait_until(lambda: have_same_state(world, "control-1", "control-3"))
        for member in deployment.control:
            again = await send_request(
                world, member, "POST", "/bundles", bodies[winners[0]]
            )
            assert isinstance(again, Done)
            assert again.document == won
            other = await send_request(
                world, member, "POST", "/bundles", bodies[losers[0]]
            )
            assert isinstance(other, Refused)
            assert other.document["digest"] == won["digest"]
        assert (await read_state(world, "control-1"))[3] == KEY_CHANGES_COUNT

    world.run(scenario)
