"""Measures an idle entry in a real control group: CPU time, memory and traffic.

Usage, from the repository's folder:

    python -m bench.entry_idle_cost [--short] [--backends COUNT]

The entry connects to each control member through a TCP relay that counts the bytes,
including TLS overhead. Each point is run twice. The last two points grant five keys a
second and roll out one bundle after another.
"""

import argparse
import dataclasses
import pathlib
import tempfile

import anyio

from bench.hub_cost import GroupBench, Point, make_backends
from bench.synthetic import CountingRelay
from cassiapitch import timers
from testbed.deployment import ZONES, Deployment, Options, Size
from testbed.processes import ProcessGroup
from testbed.testbed_bundle import make_testbed_bundle

READY_TIMEOUT_MS = 30_000
SETTLE_S = 2.0
RUN_COUNT = 2
MEMBER_COUNT = 3

POINTS = tuple(
    Point(entries=1, backends=backends, models=models)
    for backends in (10, 300)
    for models in (15, 1_300)
)


async def measure_point(
    deployment: Deployment,
    relays: list[CountingRelay],
    bench: GroupBench,
    point: Point,
    window_s: float,
    *,
    rolls_bundles: bool,
) -> None:
    """Measures one point and prints its figures."""
    (entry,) = deployment.entries
    process = deployment.processes[entry]
    ports = [deployment.admin_peer(name).address.port for name in deployment.control]
    async with anyio.create_task_group() as tasks:
        for backend in make_backends(point, deployment.testbed_bundle, ports):
            tasks.start_soon(backend.run)
        tasks.start_soon(bench.grant_keys, point)
        await anyio.sleep(SETTLE_S)
        cpu_s = process.cpu_s() or 0.0
        up_bytes_before, down_bytes_before = (
            sum(relay.up_bytes for relay in relays),
            sum(relay.down_bytes for relay in relays),
        )
        start_ms = timers.now_ms()
        bundle_count = 0
        while timers.now_ms() - start_ms < window_s * 1000:
            if rolls_bundles:
                await bench.roll(point)
                bundle_count += 1
            else:
                await anyio.sleep(window_s)
        elapsed_s = (timers.now_ms() - start_ms) / 1000
        used_cpu_s = (process.cpu_s() or 0.0) - cpu_s
        up_rate = (
            sum(relay.up_bytes for relay in relays) - up_bytes_before
        ) / elapsed_s
        down_rate = (
            sum(relay.down_bytes for relay in relays) - down_bytes_before
        ) / elapsed_s
        tasks.cancel_scope.cancel()
    print(
        f"{point.models} models, {point.backends} backend servers, "
        f"{point.changes_per_s} key changes/s, {bundle_count / elapsed_s:.2f} "
        f"bundles/s: {used_cpu_s * 100 / elapsed_s:.2f}% of a core, "
        f"{process.memory_mib():.1f} MiB, {up_rate:.0f} B/s to control, "
        f"{down_rate:.0f} B/s from control",
        flush=True,
    )


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    relays = [CountingRelay() for _ in range(MEMBER_COUNT)]
    async with anyio.create_task_group() as tasks:
        ports = [await tasks.start(relay.run) for relay in relays]
        peers = [
            {
                "name": f"control-{number + 1}",
                "zone": ZONES[number],
                "address": {"ip": "127.0.0.1", "port": port},
            }
            for number, port in enumerate(ports)
        ]
        with ProcessGroup() as group:
            deployment = Deployment(
                folder,
                group,
                make_testbed_bundle(15, 0),
                Size(entry_count=1, engine_count=0, service_count=0),
                Options(entry={"control": peers}),
            )
            for relay, name in zip(relays, deployment.control, strict=True):
                relay.target = deployment.rpc_address(name)
            await run_points(options, deployment, relays)
        tasks.cancel_scope.cancel()


async def run_points(
    options: argparse.Namespace, deployment: Deployment, relays: list[CountingRelay]
) -> None:
    """Starts the processes and measures all points in turn."""
    deployment.start(deployment.control)
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    bench = GroupBench(deployment, options.window_s)
    points = POINTS[:2] if options.short else POINTS
    if options.backends is not None:
        points = (Point(entries=1, backends=options.backends, models=1_300),)
    changing_point = dataclasses.replace(points[-1], changes_per_s=5)
    await bench.roll(points[0])
    deployment.start(deployment.entries)
    await deployment.wait_for_entries(READY_TIMEOUT_MS)
    runs = [(point, False) for point in (*points, changing_point)]
    for point, rolls_bundles in (*runs, (points[-1], True)):
        await bench.roll(point)
        for _ in range(RUN_COUNT):
            await measure_point(
                deployment,
                relays,
                bench,
                point,
                options.window_s,
                rolls_bundles=rolls_bundles,
            )


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="few backend servers")
    parser.add_argument("--backends", type=int, help="only this many, 1,300 models")
    parser.add_argument("--window-s", type=float, default=4.0)
    return parser.parse_args()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        anyio.run(measure, parse(), pathlib.Path(temporary))
