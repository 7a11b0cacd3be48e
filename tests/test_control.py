"""Tests of whole control members over loopback: consensus, state, hub, placement."""

import hashlib
import json

import anyio
import httpcore
import pytest

from cassiapitch import codec, control, messages, rpc, signing
from cassiapitch.controlnode import ControlNode
from cassiapitch.settings import Address, ControlPeer, ControlSettings, Operator
from tests.reserved import reserve_ports

TOKEN = "operator token"
PRIVATE_KEY = bytes(range(32))
OPERATOR = Operator(
    "ann",
    hashlib.sha256(TOKEN.encode()).hexdigest(),
    signing.public_key_hex(PRIVATE_KEY),
)
KEY = "ab" * 32
WAIT_S = 30


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_settings(folder):
    ports = reserve_ports(6)
    peers = tuple(
        ControlPeer(f"c{n}", f"z{n}", Address("127.0.0.1", ports[n])) for n in range(3)
    )
    return [
        ControlSettings(
            name=peer.name,
            zone=peer.zone,
            cluster="test",
            data_path=str(folder / peer.name),
            rpc_address=peer.address,
            admin_address=Address("127.0.0.1", ports[3 + n]),
            initial_members=peers,
            operators=(OPERATOR,),
        )
        for n, peer in enumerate(peers)
    ]


async def call(settings, method, path, body=None):
    url = f"http://{settings.admin_address}/admin/v1{path}"
    headers = {"Authorization": f"Bearer {TOKEN}"}
    async with httpcore.AsyncConnectionPool() as pool:
        content = json.dumps(body or {}).encode()
        response = await pool.request(method, url, headers=headers, content=content)
    return response.status, json.loads(response.content)


async def wait_until(probe):
    """Polls until `probe` returns something true."""
    with anyio.fail_after(WAIT_S):
        while True:
            if found := await probe():
                return found
            await anyio.sleep(0.05)


def bundle_body(version, rate=1000):
    content = json.dumps(
        {
            "version": version,
            "client_accounts": [
                {"name": "acme", "rate_tokens_per_s": rate, "burst_tokens": 4000}
            ],
            "keys": [{"sha256": KEY, "client_account": "acme"}],
        }
    )
    signature = signing.sign(PRIVATE_KEY, content.encode())
    return {"content": content, "signature_hex": signature, "operator": "ann"}


async def receive_message(stream, cls):
    with anyio.fail_after(WAIT_S):
        while not isinstance(message := await stream.recv_message(), cls):
            assert message is not None, "the link ended"
    return message


async def read_until_confirmed(stream, items, index=0):
    """Applies what a link sends until a confirmation reaches `index`."""
    sequence = max(1, index * 1_000)
    with anyio.fail_after(WAIT_S):
        while True:
            sequence += 1
            await stream.send_message(messages.ConfirmAsk(sequence))
            with anyio.move_on_after(0.5):
                while True:
                    message = await stream.recv_message()
                    if isinstance(message, messages.ViewSnapshot):
                        items.update(message.items)
                    elif isinstance(message, messages.ViewDelta):
                        items.update(message.upserts)
                        for name in message.deletes:
                            items.pop(name, None)
                    is_confirmed = isinstance(message, messages.Confirmed)
                    if is_confirmed and message.index >= index:
                        return


async def ask_until_granted(stream, sequence):
    """Returns the grant of 50 tokens, which may come from the next leader."""
    grant_ask = messages.GrantAsk("acme", 50, 0, 50)
    with anyio.fail_after(WAIT_S):
        while True:
            ask = messages.RateAsk("e1", "life", sequence, (grant_ask,), ())
            await stream.send_message(ask)
            sequence += 1
            with anyio.move_on_after(0.2):
                grants = (await receive_message(stream, messages.RateGrants)).grants
                if grants and grants[0].tokens == 50:
                    return grants[0]


@pytest.mark.anyio
async def test_three_members_serve_an_operator_and_an_entry_through_a_leader_change(
    tmp_path,
):
    """Guards against parts that work with their test doubles but not together."""
    settings = make_settings(tmp_path)
    stops = {member_settings.name: anyio.Event() for member_settings in settings}
    async with anyio.create_task_group() as tasks:
        demands = {member_settings.name: [] for member_settings in settings}
        for member_settings in settings:
            (tmp_path / member_settings.name).mkdir()
            node = ControlNode(
                member_settings,
                control.make_parts(member_settings),
                stops[member_settings.name],
            )
            node._placement.on_demand = demands[member_settings.name].append
            tasks.start_soon(node.run)

        async def find_leader():
            for member_settings in settings:
                if stops[member_settings.name].is_set():
                    continue
                try:
                    _, status = await call(member_settings, "GET", "/status")
                except httpcore.NetworkError:
                    continue
                if status["role"] == "leader" and status["has_lease"]:
                    return member_settings
            return None

        leader = await wait_until(find_leader)
        followers = [
            member_settings
            for member_settings in settings
            if member_settings is not leader
        ]
        put_response = await call(followers[0], "POST", "/bundles", bundle_body(1))
        assert put_response[0] == 200
        assert (await call(leader, "POST", "/bundles", bundle_body(1))) == put_response
        status, answer = await call(
            followers[1], "POST", "/bundles", bundle_body(1, rate=500)
        )
        assert (status, answer["error"]["code"]) == (409, "version_conflict")
        assert answer["error"]["digest"] == put_response[1]["digest"]

        channel = rpc.open_channel(followers[0].rpc_address, None)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            items = {}
            hello = messages.LinkHello("e1", "life", "test", "z1", 0, True)
            await stream.send_message(hello)
            await read_until_confirmed(stream, items)
            assert codec.decode(items[f"key/{KEY}"]).account == "acme"
            report = messages.DemandReport("e1", (), ())
            await stream.send_message(report)
            first_grant = await ask_until_granted(stream, 1)
            with anyio.fail_after(WAIT_S):
                while not demands[leader.name]:
                    await stream.send_message(report)
                    await receive_message(stream, messages.LoadReports)
            assert demands[leader.name][0] == report
            assert not any(
                demands[member_settings.name] for member_settings in followers
            )
            withdrawn = await call(leader, "POST", "/keys/withdraw", {"sha256": KEY})
            assert withdrawn[0] == 200
            stops[leader.name].set()
            await read_until_confirmed(stream, items, withdrawn[1]["index"])
            assert f"key/{KEY}" not in items
            second_grant = await ask_until_granted(stream, 1_000)
            assert second_grant.term > first_grant.term
            await stream.cancel()

        await wait_until(find_leader)
        repeated = await call(followers[1], "POST", "/keys/withdraw", {"sha256": KEY})
        assert repeated == withdrawn
        for stop in stops.values():
            stop.set()
