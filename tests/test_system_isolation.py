"""System tests with real processes: the leader is isolated or frozen."""

import json
import signal

import anyio
import pytest

from cassiapitch import rpc, timers
from cassiapitch.messages import (
    ConfirmAsk,
    Confirmed,
    GrantAsk,
    LinkHello,
    RateAsk,
    RateGrants,
)
from cassiapitch.settings import Address, TlsSettings
from demo.probes import chat
from testbed.deployment import CLUSTER, Size
from tests.system_world import MODEL, running, wait_until

IN_FORCE_MS = 2_000
ISOLATION_S = 6
CALLER_COUNT = 12
CALLS_MS = 9_000
FROZEN_S = 2
ACCOUNT = "club-orders"
PROMPT_CHARACTERS = 1_000


@pytest.fixture(scope="module")
def world(tmp_path_factory):
    size = Size(control_count=3, entry_count=3, engine_count=1, service_count=1)
    with running(tmp_path_factory.mktemp("system"), size) as world:
        yield world


class HubProbe:
    """A link to one member that bypasses the relays; records the member's answers."""

    def __init__(self, world, member):
        self.world, self.member = world, member
        self.confirmed, self.granted = [], []

    async def run(self):
        folder = self.world.deployment.folder / "certificates"
        tls = TlsSettings(
            str(folder / "ca.pem"),
            str(folder / "entry-1.pem"),
            str(folder / "entry-1.key.pem"),
        )
        port = self.world.deployment.rpc_port(self.member)
        channel = rpc.open_channel(Address("127.0.0.1", port), tls)
        async with rpc.open_stream(channel, "Hub", "Link") as stream:
            hello = LinkHello("probe", "probe-life", CLUSTER, "zone-1", 0, True)
            await stream.send_message(hello)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_requests, stream)
                while (message := await stream.recv_message()) is not None:
                    self._record_message(message)

    def _record_message(self, message):
        # The sequence number of a request is the time when it was sent.
        times = (getattr(message, "sequence", 0), timers.now_ms())
        if isinstance(message, Confirmed):
            self.confirmed.append(times)
        elif isinstance(message, RateGrants) and any(
            grant.tokens for grant in message.grants
        ):
            self.granted.append(times)

    def answered_between(self, start_ms, end_ms):
        """Returns requests that were sent after `start_ms`, answered before `end_ms`.

        A request that is pending when the links are restored may be answered then.
        """
        return [
            (sent_ms, answered_ms)
            for sent_ms, answered_ms in self.confirmed + self.granted
            if sent_ms > start_ms and answered_ms < end_ms
        ]

    async def _send_requests(self, stream):
        while True:
            now_ms = timers.now_ms()
            grant_requests = (GrantAsk(ACCOUNT, 1, 0, 1),)
            await stream.send_message(ConfirmAsk(now_ms))
            await stream.send_message(
                RateAsk("probe", "probe-life", now_ms, grant_requests, ())
            )
            await anyio.sleep(0.1)


async def find_other_leader(world, former_leader):
    for name in world.deployment.control:
        status = await world.deployment.status(name)
        if name != former_leader and status and status["has_lease"]:
            return name
    return None


async def watch_versions(world, entry, seen):
    while True:
        status = await world.deployment.status(entry)
        if status is not None:
            seen.append((timers.now_ms(), status["bundle_version"]))
        await anyio.sleep(0.05)


def test_isolated_leader_confirms_nothing_and_no_bundle_reverts(world):
    """Guards against an isolated leader that still confirms views or grants tokens.

    The bundle version of an entry must never decrease.
    """

    async def scenario(world):
        deployment = world.deployment
        leader = await deployment.wait_for_leader(20_000)
        peers = [name for name in deployment.control if name != leader]
        probe = HubProbe(world, leader)
        seen = {entry: [] for entry in deployment.entries}

        async def answered():
            return probe.confirmed and probe.granted

        async with anyio.create_task_group() as group:
            group.start_soon(probe.run)
            for entry, versions in seen.items():
                group.start_soon(watch_versions, world, entry, versions)
            await wait_until(answered)
            cut_ms = timers.now_ms()
            world.relays.cut(leader, peers)
            try:
                await wait_until(lambda: find_other_leader(world, leader))
                elected_ms = timers.now_ms()
                status = await deployment.status(leader)
                assert status is not None
                assert not status["has_lease"]
                await deployment.roll(2)
                rolled_ms = timers.now_ms()
                await anyio.sleep(ISOLATION_S)
                isolated = await deployment.status(leader)
                assert isolated["bundle"]["version"] == 1
                for entry in deployment.entries:
                    reply = await world.call(
                        entry, chat(MODEL, "a", world.keys["jersey-shop"], stream=False)
                    )
                    assert reply.status == 200, (entry, reply)
                healed_ms = timers.now_ms()
            finally:
                world.relays.heal()

            async def caught_up():
                status = await deployment.status(leader)
                return status and status["bundle"]["version"] == 2

            await wait_until(caught_up)
            await anyio.sleep(1)
            group.cancel_scope.cancel()
        assert probe.answered_between(elected_ms, healed_ms) == []
        assert cut_ms < elected_ms < rolled_ms
        for versions in seen.values():
            assert min(ms for ms, version in versions if version == 2) <= (
                rolled_ms + IN_FORCE_MS
            )
            numbers = [version for _, version in versions]
            assert numbers == sorted(numbers)

    world.run(scenario)


async def call_repeatedly(world, entry, number, answered_calls, stop_ms):
    """Sends calls one after the other and records the tokens that each one used.

    The calls are short, because a window counts only calls that lie within it.
    """
    key, count = world.keys[ACCOUNT], 0
    while timers.now_ms() < stop_ms:
        count += 1
        text = f"{number} {count} ".ljust(PROMPT_CHARACTERS, ".")
        sent_ms = timers.now_ms()
        reply = await world.call(entry, chat(MODEL, text, key, stream=False, tokens=3))
        if reply.status == 200 and reply.is_complete:
            usage = json.loads(reply.content)["usage"]
            tokens = usage["prompt_tokens"] + usage["completion_tokens"]
            answered_calls.append((sent_ms, reply.ended_ms, tokens))
        else:
            await anyio.sleep(0.03)


def largest_excess(answered_calls, rate, burst):
    """Returns the largest excess of tokens over the account's limit in any window.

    A call that was sent and answered within a window was admitted in it.
    """
    max_excess = -burst
    for start_ms in {sent for sent, _, _ in answered_calls}:
        calls_in_window = sorted(
            (end, n) for sent, end, n in answered_calls if sent >= start_ms
        )
        total_tokens = 0
        for end_ms, tokens in calls_in_window:
            total_tokens += tokens
            max_excess = max(
                max_excess, total_tokens - burst - rate * (end_ms - start_ms) / 1000
            )
    return max_excess


def test_account_keeps_its_rate_while_a_leader_is_frozen_and_resumes(world):
    """Guards against two leaders that both grant one account's rate to entries."""

    async def scenario(world):
        deployment = world.deployment
        rate, burst, _ = deployment.testbed_bundle.accounts[ACCOUNT]
        answered_calls = []
        stop_ms = timers.now_ms() + CALLS_MS
        async with anyio.create_task_group() as group:
            for number in range(CALLER_COUNT):
                entry = deployment.entries[number % len(deployment.entries)]
                group.start_soon(
                    call_repeatedly, world, entry, number, answered_calls, stop_ms
                )
            await anyio.sleep(1)
            leader = await deployment.wait_for_leader(20_000)
            world.process(leader).signal(signal.SIGSTOP)
            try:
                await wait_until(lambda: find_other_leader(world, leader))
                await anyio.sleep(FROZEN_S)
            finally:
                world.process(leader).signal(signal.SIGCONT)
            resumed_ms = timers.now_ms()
        assert largest_excess(answered_calls, rate, burst) <= 0
        # The account was served before and after the leader resumed, and beyond its
        # burst, so the calls tested the limit.
        assert min(sent for sent, _, _ in answered_calls) < resumed_ms
        assert max(sent for sent, _, _ in answered_calls) > resumed_ms
        total_tokens = sum(tokens for _, _, tokens in answered_calls)
        assert total_tokens > burst

    world.run(scenario)
