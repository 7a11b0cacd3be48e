"""Tests of a whole control member over loopback, on an in-memory log."""

import hashlib
import json
import socket

import anyio
import httpcore
import pytest

from cassiapitch import codec, messages, rpc, signing
from cassiapitch.settings import Operator
from cassiapitch.types import ClaimState
from tests import standins

TOKEN = "operator token"
PRIVATE = bytes(range(32))
OPERATORS = (
    Operator(
        "ann",
        hashlib.sha256(TOKEN.encode()).hexdigest(),
        signing.public_key_hex(PRIVATE),
    ),
)
KEY = "ab" * 32


def make_bundle(version, keys=(KEY,)):
    return json.dumps(
        {
            "version": version,
            "client_accounts": [
                {"name": "acme", "rate_tokens_per_s": 1000, "burst_tokens": 4000}
            ],
            "keys": [{"sha256": key, "client_account": "acme"} for key in keys],
        }
    )


@pytest.fixture
def anyio_backend():
    return "asyncio"


def free_port():
    with socket.socket() as found:
        found.bind(("127.0.0.1", 0))
        return found.getsockname()[1]


class Control:
    """One running member with a client for its administration API."""

    def __init__(self, node, placement, log, rpc_port, stop):
        self.node, self.placement, self.log = node, placement, log
        self.rpc_port, self.stop = rpc_port, stop
        self.admin_port = None

    async def call(self, method, path, body=None, token=TOKEN, raw=None):
        content = raw if raw is not None else json.dumps(body or {}).encode()
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method,
                f"http://127.0.0.1:{self.admin_port}{path}",
                headers={"Authorization": f"Bearer {token}"},
                content=content,
            )
        return response.status, json.loads(response.content)

    async def put_bundle(self, content, key=PRIVATE, operator="ann"):
        body = {
            "content": content,
            "signature_hex": signing.sign(key, content.encode()),
            "operator": operator,
        }
        return await self.call("POST", "/admin/v1/bundles", body)


async def start_control(tasks, log=None, name="c1", rate_policy="demand"):
    log = log or standins.Log()
    stop, port = anyio.Event(), free_port()
    node, placement = standins.make_node(name, log, port, OPERATORS, stop, rate_policy)
    control = Control(node, placement, log, port, stop)
    control.admin_port = await tasks.start(node.run)
    return control


async def receive(stream, cls):
    """Returns the next message of a class."""
    with anyio.fail_after(20):
        while not isinstance(message := await stream.recv_message(), cls):
            assert message is not None, "the link ended"
    return message


def hello(index=0, primary=True, cluster="test"):
    return messages.LinkHello("e1", "life", cluster, "z1", index, primary)


@pytest.mark.anyio
async def test_entry_links_is_confirmed_claims_and_gets_grants():
    """Guards against a control process whose parts are not connected."""
    async with anyio.create_task_group() as tasks:
        control = await start_control(tasks)
        assert (await control.put_bundle(make_bundle(1)))[0] == 200
        channel = standins.open_link(control.rpc_port)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            await stream.send_message(hello())
            snapshot = await receive(stream, messages.ViewSnapshot)
            assert snapshot.first
            assert snapshot.last
            assert codec.decode(snapshot.items[f"key/{KEY}"]).account == "acme"
            await stream.send_message(messages.ConfirmAsk(7))
            confirmed = await receive(stream, messages.Confirmed)
            assert confirmed.sequence == 7
            assert confirmed.index >= snapshot.index
            ask = messages.ClaimAsk(1, "acme", "k", "r", "h1", 5_000)
            await stream.send_message(ask)
            answer = await receive(stream, messages.ClaimAnswer)
            assert (answer.sequence, answer.state) == (1, ClaimState.GRANTED)
            grants = ()
            for sequence in range(1, 500):
                need = messages.GrantAsk("acme", 5, 0, 5)
                await stream.send_message(
                    messages.RateAsk("e1", "life", sequence, (need,), ())
                )
                with anyio.move_on_after(0.2):
                    grants = (await receive(stream, messages.RateGrants)).grants
                if grants and grants[0].tokens:
                    break
            assert grants[0].tokens == 5
            status, _ = await control.call(
                "POST", "/admin/v1/keys/withdraw", {"sha256": KEY}
            )
            assert status == 200
            delta = await receive(stream, messages.ViewDelta)
            assert f"key/{KEY}" in delta.deletes
            await stream.cancel()
        channel.close()
        control.stop.set()


@pytest.mark.anyio
async def test_relay_carries_a_followers_asks_and_their_answers():
    """Guards against entries at a follower that never get a grant."""
    async with anyio.create_task_group() as tasks:
        leader = await start_control(tasks)
        follower = await start_control(tasks, leader.log, "c2")
        await leader.put_bundle(make_bundle(1))
        channel = standins.open_link(follower.rpc_port)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            await stream.send_message(hello())
            need = messages.GrantAsk("acme", 5, 0, 5)
            grants = ()
            for sequence in range(1, 500):
                await stream.send_message(
                    messages.RateAsk("e1", "life", sequence, (need,), ())
                )
                await stream.send_message(messages.DemandReport("e1", (), ()))
                with anyio.move_on_after(0.2):
                    grants = (await receive(stream, messages.RateGrants)).grants
                if grants and grants[0].tokens and leader.placement.demands:
                    break
            assert grants[0].tokens == 5
            await receive(stream, messages.LoadReports)
            await stream.cancel()
        channel.close()
        assert not follower.placement.demands
        leader.stop.set()
        follower.stop.set()


@pytest.mark.anyio
async def test_reconnected_entry_gets_an_increment_and_stale_ones_a_snapshot():
    """Guards against a whole view for each reconnect, and against a lost change."""
    async with anyio.create_task_group() as tasks:
        control = await start_control(tasks)
        await control.put_bundle(make_bundle(1))
        index = control.log.index
        await control.put_bundle(make_bundle(2, keys=(KEY, "cd" * 32)))
        channel = standins.open_link(control.rpc_port)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            await stream.send_message(hello(index=index))
            first = await receive(stream, (messages.ViewDelta, messages.ViewSnapshot))
            assert isinstance(first, messages.ViewDelta)
            assert first.previous_index == index
            assert sorted(first.upserts) == ["bundle", "key/" + "cd" * 32]
            await stream.cancel()
        channel.close()
        control.stop.set()


@pytest.mark.anyio
async def test_no_confirmation_without_a_quorum():
    """Guards against an isolated member that confirms a stale view."""
    async with anyio.create_task_group() as tasks:
        control = await start_control(tasks)
        await control.put_bundle(make_bundle(1))
        control.log.available = False
        channel = standins.open_link(control.rpc_port)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            await stream.send_message(hello())
            await stream.send_message(messages.ConfirmAsk(1))
            await stream.send_message(messages.ClaimAsk(1, "acme", "k", "r", "h", 50))
            seen = await receive(stream, (messages.Confirmed, messages.ClaimAnswer))
            assert seen == messages.ClaimAnswer(1, None)
            await stream.cancel()
        channel.close()
        control.stop.set()


@pytest.mark.anyio
async def test_link_of_another_deployment_is_refused():
    """Guards against an entry that applies another deployment's view."""
    async with anyio.create_task_group() as tasks:
        control = await start_control(tasks)
        channel = standins.open_link(control.rpc_port)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            await stream.send_message(hello(cluster="other"))
            assert "other" in (await receive(stream, messages.LinkRefused)).reason
            await stream.cancel()
        channel.close()
        control.stop.set()
