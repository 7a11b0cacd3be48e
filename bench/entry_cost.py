"""Measures the CPU time of an entry per call, request and token.

The entry runs in a process of its own, so that its CPU time can be read alone. The
callers, the engine and a fake control group run in this process. Usage:

    python bench/entry_cost.py [--requests 500] [--idle-s 5]
"""

import argparse
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import httpcore

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from testbed import usage
from tests.entryfakes import (
    KEY,
    FakeEngine,
    FakeHub,
    FakeService,
    World,
    key_digest,
)

TOKENS = 200


class Entry:
    """An entry that runs in its own process."""

    def __init__(self, port: int, hub: FakeHub) -> None:
        control = {
            "name": "c1",
            "zone": "a",
            "address": {"ip": "127.0.0.1", "port": hub.address.port},
        }
        operator = {
            "name": "op",
            "token_sha256": key_digest("operator-token"),
            "public_key_hex": "0" * 64,
        }
        document = {
            "name": "e1",
            "zone": "a",
            "cluster": "bench",
            "caller_address": {"ip": "127.0.0.1", "port": port},
            "admin_address": {"ip": "127.0.0.1", "port": 0},
            "control": [control],
            "operators": [operator],
            "balancer_delay_ms": 0,
            "log_path": os.devnull,
        }
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(document, file)
        self.path = file.name
        root = pathlib.Path(__file__).resolve().parent.parent
        command = [sys.executable, "-m", "cassiapitch.entry", "--settings", self.path]
        self.process = subprocess.Popen(command, cwd=root)

    def cpu_ms(self) -> float:
        """Returns the CPU time used so far."""
        return usage.cpu_s(self.process.pid) * 1000

    def memory_mib(self) -> float:
        """Returns the resident memory."""
        return usage.memory_mib(self.process.pid)

    def stop(self) -> None:
        """Stops the process gracefully and deletes its settings file."""
        self.process.terminate()
        self.process.wait(30)
        pathlib.Path(self.path).unlink()


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def call(
    connections: httpcore.AsyncConnectionPool,
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None,
) -> None:
    response = await connections.request(
        method,
        f"http://127.0.0.1:{port}{path}",
        headers=[("Authorization", f"Bearer {KEY}")],
        content=json.dumps(body).encode() if body else None,
    )
    if response.status != 200:
        raise RuntimeError(f"{path}: {response.status} {response.content!r}")


async def run_calls(
    count: int,
    caller_count: int,
    port: int,
    method: str,
    path: str,
    body: dict[str, Any] | None,
) -> None:
    """Sends `count` calls from several concurrent callers."""
    remaining = list(range(count))

    async def caller() -> None:
        async with httpcore.AsyncConnectionPool() as connections:
            while remaining:
                remaining.pop()
                await call(connections, port, method, path, body)

    async with anyio.create_task_group() as group:
        for _ in range(caller_count):
            group.start_soon(caller)


class PacedEngine(FakeEngine):
    """An engine that waits between tokens, so that each is written separately."""

    step_ms = 0

    async def stream(self, send: Any, request_id: str, first: int, count: int) -> None:
        """Sends the tokens from position `first` up to `count`."""
        headers = [(b"x-life-id", self.life_id.encode())]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for position in range(first, count):
            data = self.event(request_id, position, count)
            body = {"type": "http.response.body", "body": data, "more_body": True}
            await send(body)
            if self.step_ms:
                await anyio.sleep(self.step_ms / 1000)
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})


async def measure(options: argparse.Namespace) -> None:
    engine, service = PacedEngine("n1", "l1"), FakeService("s1", "s-life")
    async with anyio.create_task_group() as group:
        world = World(group)
        await world.prepare(engine, service)
        port = free_port()
        entry = Entry(port, world.hub)
        try:
            await measure_all(options, entry, world, engine, port)
        finally:
            await anyio.to_thread.run_sync(entry.stop)
        group.cancel_scope.cancel()


async def print_cpu_time(
    entry: Entry,
    name: str,
    count: int,
    unit: str,
    workload: Callable[[], Awaitable[None]],
) -> float:
    cpu_before_ms, start_s = entry.cpu_ms(), time.monotonic()
    await workload()
    cpu_ms, wall_s = entry.cpu_ms() - cpu_before_ms, time.monotonic() - start_s
    cpu_us_per_unit = cpu_ms * 1000 / count
    print(
        f"{name}: {cpu_us_per_unit:.0f} us/{unit} ({count} in {wall_s:.1f} s)",
        flush=True,
    )
    return cpu_us_per_unit


async def measure_all(
    options: argparse.Namespace,
    entry: Entry,
    world: World,
    engine: PacedEngine,
    port: int,
) -> None:
    chat_path = "/v1/chat/completions"
    messages = [{"role": "user", "content": "hello"}]
    body = {"model": "m", "max_tokens": 1, "messages": messages}
    streamed_body = {**body, "max_tokens": TOKENS, "stream": True}
    await world.wait_until(lambda: world.hub.links, limit_s=20)
    await run_calls(50, 4, port, "POST", chat_path, body)
    count = options.requests

    async def idle() -> None:
        await anyio.sleep(options.idle_s)

    await print_cpu_time(entry, "idle entry", options.idle_s, "s", idle)
    await print_cpu_time(
        entry,
        "service call",
        count,
        "call",
        lambda: run_calls(count, 4, port, "GET", "/stock", None),
    )
    request_us = await print_cpu_time(
        entry,
        "whole answer of one token",
        count,
        "request",
        lambda: run_calls(count, 4, port, "POST", chat_path, body),
    )
    for step_ms, streams in ((0, 40), (5, 40)):
        engine.step_ms = step_ms
        name = f"streamed answers, {step_ms} ms between tokens, 40 at once"
        tokens = streams * TOKENS
        cpu_us_per_unit = await print_cpu_time(
            entry,
            name,
            tokens,
            "token",
            lambda: run_calls(40, 40, port, "POST", chat_path, streamed_body),
        )
        token_us = cpu_us_per_unit - request_us / TOKENS
        print(f"  without the request itself: {token_us:.0f} us/token")
    print(f"memory: {entry.memory_mib():.0f} MiB")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=500)
    parser.add_argument("--idle-s", type=int, default=5)
    anyio.run(measure, parser.parse_args())


if __name__ == "__main__":
    main()
