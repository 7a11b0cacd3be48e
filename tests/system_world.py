"""Harness of the `test_system_*` files: real processes on loopback."""

import contextlib
import dataclasses
import json

import anyio
import httpcore

from cassiapitch import streams, timers
from cassiapitch.client import Done
from demo import probes
from demo.probes import Request, chat
from testbed.deployment import Deployment, Options
from testbed.processes import ProcessGroup
from testbed.relays import Relays
from testbed.testbed_bundle import make_testbed_bundle

SCENARIO_TIMEOUT_S = 60
START_TIMEOUT_MS = 40_000
MODEL = "model-00"


class World:
    """A running deployment, with the requests that its callers and operators send."""

    def __init__(self, deployment, relays):
        self.deployment, self.relays, self.keys = deployment, relays, {}

    def run(self, scenario, *arguments):
        async def limited():
            with anyio.fail_after(SCENARIO_TIMEOUT_S):
                return await scenario(self, *arguments)

        return anyio.run(limited)

    def process(self, name):
        return self.deployment.processes[name]

    async def call(self, entry, request):
        return await probes.call(self.deployment.caller_address(entry), request)

    async def call_standin(self, name, method, path, document=None):
        address = self.deployment.standin_address(name)
        reply = await probes.call(address, Request(method, path, document))
        assert reply.status == 200, reply
        return json.loads(reply.content)

    async def dump(self, name):
        return await self.call_standin(name, "GET", "/standin/dump")

    async def fault(self, name, **fields):
        await self.call_standin(name, "POST", "/standin/faults", fields)

    async def admin_dump(self, name):
        outcome = await self.deployment.request_admin(name, "GET", "/dump")
        return outcome.document if isinstance(outcome, Done) else None

    async def withdraw(self, key):
        """Withdraws a key and returns the time when the operator got the response."""
        await self.deployment.command("withdraw", text=key)
        return timers.now_ms()

    async def orders(self):
        """Returns how often the service ran each team order, by the order's number."""
        targets = (await self.dump("service-1"))["targets"]
        prefix = "POST /orders/team?order="
        return {
            int(target.removeprefix(prefix)): count
            for target, count in targets.items()
            if target.startswith(prefix)
        }


async def wait_until(probe, limit_s=25):
    """Polls until the probe's result is true, and returns it."""
    with anyio.fail_after(limit_s):
        while not (result := await probe()):  # noqa: ASYNC110
            await anyio.sleep(0.05)
    return result


@contextlib.contextmanager
def running(folder, size, *, standin=None, models=1, prepare=None):
    """Starts a deployment, grants each client account a key and yields a `World`.

    `prepare` may change the deployment's files before its processes start.
    """
    options = Options(standin=standin or {}, with_relays=True)
    with ProcessGroup() as group, Relays(group) as relays:
        testbed_bundle = make_testbed_bundle(models, 0)
        deployment = Deployment(folder, group, testbed_bundle, size, options)
        for name, port in deployment.relay_ports.items():
            relays.add(name, port, deployment.rpc_port(name))
        if prepare is not None:
            prepare(deployment)
        world = World(deployment, relays)
        world.run(_start)
        yield world


async def _start(world):
    deployment = world.deployment
    deployment.start(deployment.control)
    await deployment.wait_for_leader(START_TIMEOUT_MS)
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    await deployment.roll(1)
    for account in deployment.testbed_bundle.accounts:
        world.keys[account] = await deployment.grant(account)
    await deployment.wait_for_entries(START_TIMEOUT_MS)
    has_engines = bool(deployment.engines)
    await deployment.wait_for_backends(START_TIMEOUT_MS, with_models=has_engines)


def order(number, key):
    """Returns the request for a team order; equal numbers give equal requests."""
    path = f"/orders/team?order={number}"
    return Request("POST", path, {"order": number}, key, f"order-{number}")


@dataclasses.dataclass
class Stream:
    """A streamed response as it is received.

    Attributes:
        parts: Pairs of arrival time and data.
        status: HTTP status.
        has_ended: Whether no more data will arrive.
        closed_cleanly: Whether the response ended without a network error.
    """

    parts: list = dataclasses.field(default_factory=list)
    status: int = 0
    has_ended: bool = False
    closed_cleanly: bool = False

    def chunks(self, start_ms=0):
        """Returns (arrival time, chunk) of generated text that arrived after a time."""
        splitter, generated_chunks = streams.EventSplitter(), []
        for time_ms, data in self.parts:
            events = [streams.parse_event(raw) for raw in splitter.feed(data)]
            if time_ms > start_ms:
                chunks = [event for event in events if isinstance(event, streams.Chunk)]
                generated_chunks += [(time_ms, chunk) for chunk in chunks if chunk.text]
        return generated_chunks

    @property
    def text(self):
        return b"".join(data for _, data in self.parts)

    @property
    def looks_complete(self):
        return self.closed_cleanly or b"[DONE]" in self.text

    async def wait_for_chunks(self, count):
        async def has_enough():
            return len(self.chunks()) >= count

        await wait_until(has_enough)

    async def wait_for_end(self):
        async def ended():
            return self.has_ended

        await wait_until(ended)


async def receive_stream(world, entry, key, stream, *, tokens=900, text="long"):
    """Sends a streaming request and receives the response to its end."""
    address = world.deployment.caller_address(entry)
    request = chat(MODEL, text, key, stream=True, tokens=tokens)
    body = json.dumps(request.document).encode()
    headers = probes._headers(address, request, len(body))
    origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), SCENARIO_TIMEOUT_S)
    connection = httpcore.AsyncHTTPConnection(origin=origin)
    try:
        async with (
            connection,
            connection.stream(
                "POST",
                f"http://{address}{request.path}",
                headers=headers,
                content=body,
                extensions={"timeout": timeout},
            ) as response,
        ):
            stream.status = response.status
            async for data in response.aiter_stream():
                stream.parts.append((timers.now_ms(), data))
        stream.closed_cleanly = True
    except (httpcore.NetworkError, httpcore.ProtocolError):
        pass
    finally:
        stream.has_ended = True
