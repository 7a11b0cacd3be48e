"""Measures a control group's CPU time, memory and traffic under synthetic load.

Three control processes on loopback serve synthetic entry links and announcements.
Usage, from the repository's folder:

    python -m bench.hub_cost [--short] [--without-tls]

Each point is run twice. A point differs from the base point in one factor, so that a
slope over that factor can be fitted by least squares over all its runs. CPU time is
read from /proc, so other programs on the machine hardly affect it. Models have no
minimum of copies and there is no demand, so placement sends no orders here;
`bench/placement_cost.py` measures placement.
"""

import argparse
import dataclasses
import pathlib
import statistics
import tempfile
from typing import Any

import anyio

from bench.synthetic import Backend, EntryLink
from cassiapitch import timers
from cassiapitch.client import Client, Done
from testbed.deployment import CLUSTER, Deployment, Options, Size
from testbed.processes import ProcessGroup
from testbed.testbed_bundle import ROLES, TestbedBundle, make_testbed_bundle

READY_TIMEOUT_MS = 30_000
SETTLE_S = 1.6
MODELS_PER_BACKEND = 4
RUN_COUNT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """The load on the control group during one run."""

    entries: int = 50
    backends: int = 100
    models: int = 300
    accounts: int = 5
    changes_per_s: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Factor:
    """A field of `Point` and the values that it takes, other fields at their base."""

    field: str
    values: tuple[float, ...]


FULL = (
    Factor("entries", (10, 50, 150)),
    Factor("backends", (10, 100, 300)),
    Factor("models", (15, 300, 1_300)),
    Factor("accounts", (5, 50)),
    Factor("changes_per_s", (0.2, 5)),
)
SHORT = (Factor("entries", (10, 50)), Factor("backends", (10, 100)))


def make_sections(point: Point) -> dict[str, Any]:
    """Returns the bundle's sections for a point."""
    models = [
        {
            "name": f"model-{number:04d}",
            "role": ROLES[number % 2],
            "memory_mib": 100,
            "minimum_copies": 0,
        }
        for number in range(point.models)
    ]
    accounts = [
        {
            "name": f"account-{number}",
            "rate_tokens_per_s": 1_000_000,
            "burst_tokens": 3_000_000,
            "weight": 1,
        }
        for number in range(point.accounts)
    ]
    return {"models": models, "adapters": [], "client_accounts": accounts}


def make_backends(
    point: Point, testbed_bundle: TestbedBundle, ports: list[int]
) -> list[Backend]:
    """Returns synthetic backend servers, distributed over the control members."""
    synthetic_backends = []
    for number in range(point.backends):
        role = number % 2
        names = [
            f"model-{(2 * (number * MODELS_PER_BACKEND + i) + role) % point.models:04d}"
            for i in range(MODELS_PER_BACKEND)
            if (2 * (number * MODELS_PER_BACKEND + i) + role) % point.models % 2 == role
        ]
        credential = testbed_bundle.credentials[ROLES[role]]
        port = ports[number % len(ports)]
        synthetic_backends.append(Backend(number, ROLES[role], credential, names, port))
    return synthetic_backends


class GroupBench:
    """Runs points against one control group and measures its processes."""

    def __init__(self, deployment: Deployment, window_s: float) -> None:
        self._deployment = deployment
        self._window_s = window_s
        self._bundle_version = 0
        self._granted_count = 0
        token_path = deployment.folder / "secrets"
        token = next(token_path.glob("*token*")).read_text("ascii").strip()
        self._client = Client(token, 3_000)

    async def roll(self, point: Point) -> None:
        """Rolls out a point's bundle with the next version."""
        self._bundle_version += 1
        await self._deployment.roll(self._bundle_version, **make_sections(point))

    async def run(self, point: Point) -> dict[str, dict[str, float]]:
        """Runs one point; maps leader, follower and link to their mean figures."""
        deployment = self._deployment
        links = self._make_links(point)
        ports = [deployment.admin_peer(name).address.port for name in self.members()]
        backends = make_backends(point, deployment.testbed_bundle, ports)
        async with anyio.create_task_group() as tasks:
            for task in (*links, *backends):
                tasks.start_soon(task.run)
            tasks.start_soon(self.grant_keys, point)
            await anyio.sleep(SETTLE_S)
            leader = await deployment.leader()
            cpu_before_s, traffic_before = (
                self._cpu_s(),
                [link.traffic() for link in links],
            )
            confirmed_before = sum(link.confirmed_count for link in links)
            start_ms = timers.now_ms()
            await anyio.sleep(self._window_s)
            elapsed_s = (timers.now_ms() - start_ms) / 1000
            cpu_after_s, traffic_after = (
                self._cpu_s(),
                [link.traffic() for link in links],
            )
            newly_confirmed = (
                sum(link.confirmed_count for link in links) - confirmed_before
            )
            tasks.cancel_scope.cancel()
        process_rows: dict[str, dict[str, list[float]]] = {}
        for name in self.members():
            role = "leader" if name == leader else "follower"
            row = process_rows.setdefault(role, {"cpu_%": [], "mib": []})
            row["cpu_%"].append(
                (cpu_after_s[name] - cpu_before_s[name]) * 100 / elapsed_s
            )
            row["mib"].append(deployment.processes[name].memory_mib() or 0)
        link_rows: dict[str, list[float]] = {}
        for link, old, new in zip(links, traffic_before, traffic_after, strict=True):
            kind = "primary" if link.primary else "second"
            for i, direction in enumerate(("up", "down")):
                rate = (new[i] - old[i]) / elapsed_s
                link_rows.setdefault(f"{kind}_{direction}_B/s", []).append(rate)
        link_rows["confirmed/s"] = [newly_confirmed / elapsed_s / len(links)]
        rows = {**process_rows, "link": link_rows}
        return {
            role: {name: statistics.mean(values) for name, values in row.items()}
            for role, row in rows.items()
        }

    def members(self) -> list[str]:
        """Returns the control members' names."""
        return self._deployment.control

    def _cpu_s(self) -> dict[str, float]:
        processes = self._deployment.processes
        return {name: processes[name].cpu_s() or 0.0 for name in self.members()}

    def _make_links(self, point: Point) -> list[EntryLink]:
        deployment = self._deployment
        tls = deployment.tls(self.members()[0])
        accounts = [f"account-{number}" for number in range(point.accounts)]
        members = self.members()
        return [
            EntryLink(
                f"synthetic-{number}",
                # The rate granter ignores sequence numbers that it has already seen
                # from the same `life_id`, so each run needs new ids.
                f"life-{timers.now_ms()}-{number}",
                CLUSTER,
                accounts,
                deployment.rpc_address(members[(number + slot) % len(members)]),
                tls,
                primary=slot == 0,
            )
            for number in range(point.entries)
            for slot in range(2)
        ]

    async def grant_keys(self, point: Point) -> None:
        """Grants keys at the point's rate until cancelled."""
        peers = [self._deployment.admin_peer(name) for name in self.members()]
        while True:
            await anyio.sleep(1 / point.changes_per_s)
            self._granted_count += 1
            body = {
                "sha256": f"{self._granted_count:064x}",
                "client_account": "account-0",
            }
            outcome = await anyio.to_thread.run_sync(
                self._client.request, peers, "POST", "/admin/v1/keys/grant", body
            )
            if not isinstance(outcome, Done):
                raise RuntimeError(f"grant failed: {outcome}")


def fit_line(pairs: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns the slope and intercept of a least-squares line."""
    line = statistics.linear_regression(*zip(*pairs, strict=True))
    return line.slope, line.intercept


def print_slopes(factor: Factor, results: dict[Point, list[dict[str, Any]]]) -> None:
    """Prints the slope of each figure over one factor."""
    base = Point()
    points = [
        dataclasses.replace(base, **{factor.field: value}) for value in factor.values
    ]
    for role in ("leader", "follower", "link"):
        for name in results[points[0]][0][role]:
            pairs = [
                (float(getattr(point, factor.field)), run[role][name])
                for point in points
                for run in results[point]
            ]
            slope, intercept = fit_line(pairs)
            print(
                f"  {role} {name}: {slope:.5f} per {factor.field}, at 0 {intercept:.2f}"
            )


async def measure(options: argparse.Namespace, folder: pathlib.Path) -> None:
    factors = SHORT if options.short else FULL
    if options.without_tls:
        factors = factors[:1]
    base = Point()
    points = list(
        dict.fromkeys(
            dataclasses.replace(base, **{factor.field: value})
            for factor in factors
            for value in factor.values
        )
    )
    # Backend servers of earlier points stay in the view as down, so points with few
    # backend servers run first.
    points.sort(key=lambda point: (point.backends, point.models, point.accounts))
    with ProcessGroup() as group:
        deployment = Deployment(
            folder,
            group,
            make_testbed_bundle(15, 0),
            Size(entry_count=0, engine_count=0, service_count=0),
            Options(with_tls=not options.without_tls),
        )
        deployment.start(deployment.control)
        await deployment.wait_for_leader(READY_TIMEOUT_MS)
        bench = GroupBench(deployment, options.window_s)
        results: dict[Point, list[dict[str, Any]]] = {}
        print(f"mutual TLS: {not options.without_tls}", flush=True)
        for point in points:
            await bench.roll(point)
            for _ in range(RUN_COUNT):
                figures = await bench.run(point)
                results.setdefault(point, []).append(figures)
                text = ", ".join(
                    f"{role} {name} {value:.1f}"
                    for role, row in figures.items()
                    for name, value in row.items()
                )
                print(f"{dataclasses.astuple(point)}: {text}", flush=True)
        for factor in factors:
            print(f"slopes over {factor.field}:")
            print_slopes(factor, results)


def parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="three points only")
    parser.add_argument("--without-tls", action="store_true", help="entries only")
    parser.add_argument("--window-s", type=float, default=4.0)
    return parser.parse_args()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        anyio.run(measure, parse(), pathlib.Path(temporary))
