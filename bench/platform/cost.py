"""Measures the CPU time of the platform programs of one or more source trees.

Each tree's control member and entry run in their own processes; the callers and one
engine run in this process. Usage, to compare this tree with an earlier commit's:

    python bench/platform/cost.py [--requests 600] [--idle-s 6] [TREE ...]
"""

import argparse
import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent.parent))

from testbed import usage

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CONTROL_IP = "127.0.0.2"
ENTRY_IP = "127.0.0.3"
ENGINE_IP = "127.0.0.4"
ENGINE_PORT = 18_080
ADMIN_PORT = 18_100
CALLER_PORT = 18_101
READINESS_PORT = 18_102
RPC_PORT = 18_110
METRICS_PORT = 18_111
EVENTS_COUNT = 11
CALLERS_COUNT = 4
HEARTBEAT_PERIOD_S = 1.0
START_TIMEOUT_S = 20
LINE_LIMIT_BYTES = 2**20

MODEL = "model-1"
KEY = "caller-key"
CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": "shop.example",
            "pathPrefix": "/chat/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 600,
            "priority": 1,
            "service": "assistant",
            "maxAttempts": 2,
            "gapAimMs": 300,
        }
    ],
    "services": [
        {
            "name": "assistant",
            "healthPath": "/health",
            "maxConnections": 800,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 160000,
                "weightsMb": 200000,
                "adapterSlots": 8,
                "loadsPerS": 1.0,
                "models": [{"name": MODEL, "weightsMb": 60000, "loadS": 1.2}],
            },
        }
    ],
    "tenants": [
        {
            "name": "shop",
            "apiKeys": [KEY],
            "priority": 1,
            "unit": "tokens",
            "plainTokens": 200,
            "ratePerS": 50000000,
            "burst": 50000000,
        }
    ],
}


class Program:
    """One program of a source tree, in its own process."""

    def __init__(
        self, tree: pathlib.Path, name: str, settings: dict[str, object]
    ) -> None:
        self._folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self._folder.name) / "settings.json"
        if name == "control":
            settings["data_path"] = str(pathlib.Path(self._folder.name) / "data")
        path.write_text(json.dumps(settings), encoding="utf-8")
        module = ["-m", "cassiapitch.platform.programs", name]
        self.process = subprocess.Popen(
            [sys.executable, *module, "--settings", str(path)],
            cwd=tree,
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join([str(tree), *sys.path[1:]]),
            },
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )

    def cpu_ms(self) -> float:
        """Returns the CPU time used so far, with nanosecond resolution.

        Counts only the main thread, which does everything except syncing the disk.
        """
        path = pathlib.Path(f"/proc/{self.process.pid}/schedstat")
        return int(path.read_text().split()[0]) / 1e6

    def memory_mib(self) -> float:
        """Returns the resident memory."""
        return usage.memory_mib(self.process.pid)

    def stop(self) -> None:
        """Kills the process and deletes its files."""
        self.process.kill()
        self.process.wait(10)
        self._folder.cleanup()


def control_settings() -> dict[str, object]:
    return {
        "name": CONTROL_IP,
        "zone": "a",
        "cluster": "platform",
        "rpc_address": {"ip": CONTROL_IP, "port": RPC_PORT},
        "admin_address": {"ip": CONTROL_IP, "port": 0},
        "metrics_address": {"ip": CONTROL_IP, "port": METRICS_PORT},
        "load_period_ms": 300,
        "bootstrap": True,
        "seeds": [f"{CONTROL_IP}:{ADMIN_PORT}"],
        "seed_rpc_port": RPC_PORT,
        "tolerated_faults_count": 0,
        "heartbeat_ms": 1200,
        "engines_check_fences": True,
        "admin_listen": f"{CONTROL_IP}:{ADMIN_PORT}",
    }


def entry_settings() -> dict[str, object]:
    return {
        "name": "entry-1",
        "zone": "a",
        "cluster": "platform",
        "caller_address": {"ip": ENTRY_IP, "port": 0},
        "admin_address": {"ip": ENTRY_IP, "port": METRICS_PORT},
        "seeds": [f"{CONTROL_IP}:{ADMIN_PORT}"],
        "seed_rpc_port": RPC_PORT,
        "caller_listen": f"{ENTRY_IP}:{CALLER_PORT}",
        "readiness_listen": f"{ENTRY_IP}:{READINESS_PORT}",
        "demand_period_ms": 250,
        "serve_unconfirmed": True,
    }


async def read_head(reader: asyncio.StreamReader) -> dict[str, str]:
    """Returns the headers by lower-case name; the first line has the empty name.

    Raises:
        IncompleteReadError: The connection ended.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {"": lines[0]}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


async def serve_engine(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answers each request on a connection with a stream of events."""
    try:
        while True:
            head = await read_head(reader)
            await reader.readexactly(int(head.get("content-length", "0")))
            writer.write(
                "HTTP/1.1 200 OK\r\n"
                f"Request-Id: {head.get('request-id')}\r\nServer-Seal: s\r\n"
                "Content-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n"
                "Transfer-Encoding: chunked\r\n\r\n".encode()
            )
            for number in range(1, EVENTS_COUNT + 1):
                event = b"id: %d\ndata: token-%d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.002)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
    except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
        writer.close()


async def send_request(
    ip: str, port: int, request_head: str, body: bytes = b""
) -> bytes:
    """Sends one request on a new connection and returns the raw response."""
    reader, writer = await asyncio.open_connection(ip, port)
    head = f"{request_head}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    writer.write(head.encode() + body)
    data = await reader.read()
    writer.close()
    return data


async def request_until_ok(
    ip: str, port: int, request_head: str, body: bytes = b""
) -> None:
    """Repeats a request until its response has status 200.

    Raises:
        TimeoutError: There was none within `START_TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        try:
            if b" 200 " in (await send_request(ip, port, request_head, body))[:20]:
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise TimeoutError(request_head)


async def send_heartbeats() -> None:
    """Sends the engine's heartbeats to the control group until cancelled."""
    sequence = 0
    while True:
        sequence += 1
        heartbeat = {
            "service": "assistant",
            "address": f"{ENGINE_IP}:{ENGINE_PORT}",
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "coldRemainingMs": 0,
            "stage": "both",
            "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "sequence": sequence,
            "born": 1,
        }
        head = f"PUT /-/instances/i-1 HTTP/1.1\r\nHost: {CONTROL_IP}"
        await send_request(CONTROL_IP, ADMIN_PORT, head, json.dumps(heartbeat).encode())
        await asyncio.sleep(HEARTBEAT_PERIOD_S)


async def call(number: int) -> None:
    """Sends one request on a new connection, as the platform's callers often do."""
    head = (
        "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n"
        f"Request-Id: {number:016x}\r\nDeadline-Ms: 6000\r\n"
        f"Authorization: Bearer {KEY}\r\nModel: {MODEL}\r\nToken-Count: 100,22\r\n"
        "Prompt-Prefix: 0a:50,0b:50"
    )
    data = await send_request(ENTRY_IP, CALLER_PORT, head, b"x" * 200)
    if b"token-%d\n" % EVENTS_COUNT not in data:
        raise RuntimeError(f"incomplete answer: {data[:200]!r}")


async def measure(tree: pathlib.Path, requests: int, idle_s: float) -> str:
    """Measures one tree's programs and returns their row of the table."""
    programs = [Program(tree, "control", control_settings())]
    engine = await asyncio.start_server(serve_engine, ENGINE_IP, ENGINE_PORT)
    tasks: list[asyncio.Task[None]] = []
    try:
        config = json.dumps(CONFIGURATION).encode()
        request_head = f"PUT /-/config HTTP/1.1\r\nHost: {CONTROL_IP}"
        await request_until_ok(CONTROL_IP, ADMIN_PORT, request_head, config)
        tasks.append(asyncio.create_task(send_heartbeats()))
        programs.append(Program(tree, "entry", entry_settings()))
        control, entry = programs
        ready = f"GET /-/readiness HTTP/1.1\r\nHost: {ENTRY_IP}"
        await request_until_ok(ENTRY_IP, READINESS_PORT, ready)
        startup_cpu_ms = entry.cpu_ms()
        await asyncio.sleep(1.0)
        idle_before_ms = entry.cpu_ms(), control.cpu_ms()
        await asyncio.sleep(idle_s)
        idle = [
            (process.cpu_ms() - cpu_before_ms) / idle_s / 1000
            for process, cpu_before_ms in zip(
                (entry, control), idle_before_ms, strict=True
            )
        ]
        busy_before_ms, start_s = entry.cpu_ms(), time.monotonic()
        numbers = iter(range(requests))

        async def caller() -> None:
            for number in numbers:
                await call(number)

        await asyncio.gather(*(caller() for _ in range(CALLERS_COUNT)))
        elapsed_s = time.monotonic() - start_s
        busy_cpu_ms = entry.cpu_ms() - busy_before_ms - idle[0] * elapsed_s * 1000
        return (
            f"| {tree.name} | {startup_cpu_ms:.0f} | {idle[0]:.4f} | {idle[1]:.4f} "
            f"| {busy_cpu_ms / requests:.2f} | {entry.memory_mib():.1f} "
            f"| {control.memory_mib():.1f} |"
        )
    finally:
        for task in tasks:
            task.cancel()
        for program in programs:
            program.stop()
        engine.close()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trees", nargs="*", type=pathlib.Path, default=[ROOT])
    parser.add_argument("--requests", type=int, default=600)
    parser.add_argument("--idle-s", type=float, default=6.0)
    options = parser.parse_args()
    print("| tree | start ms | idle entry cores | control cores | ms a request", end="")
    print(" | entry MiB | control MiB |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for tree in options.trees:
        row = measure(tree.resolve(), options.requests, options.idle_s)
        print(asyncio.run(row), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
