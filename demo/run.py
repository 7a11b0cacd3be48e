"""Runs the whole system on loopback under load and faults, and checks the results.

make demo
python -m demo.run --keep FOLDER    # keeps settings and logs there
"""

import argparse
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Iterator
from typing import Any

import anyio
from rich.console import Console

from cassiapitch import loadrun, timers
from demo import checks, plan, steps
from demo.checks import Check
from testbed.deployment import Deployment, Options, Size, TestbedError
from testbed.processes import ProcessGroup
from testbed.testbed_bundle import make_testbed_bundle

TIME_LIMIT_S = 115
LEADER_TIMEOUT_MS = 20_000
READY_TIMEOUT_MS = 30_000
STOP_TIMEOUT_MS = 15_000

console = Console(width=110)
start_ms = timers.now_ms()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for settings, logs and load.json"
    )
    options = parser.parse_args()
    failures: list[str] = []
    with _folder(options.keep) as folder, ProcessGroup() as group:
        try:
            failures += anyio.run(_run, folder, group, backend="asyncio")
        except* TestbedError as errors:
            failures += [str(error) for error in errors.exceptions]
        except* TimeoutError:
            failures.append(f"not done within {TIME_LIMIT_S} s")
    for failure in failures:
        console.print(f"failed: {failure}", style="bold red", markup=False)
    elapsed_s = (timers.now_ms() - start_ms) / 1000
    verdict = "all checks held" if not failures else "the demo failed"
    console.print(f"{verdict} after {elapsed_s:.0f} s")
    return 1 if failures else 0


@contextlib.contextmanager
def _folder(keep: pathlib.Path | None) -> Iterator[pathlib.Path]:
    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
        yield keep
        return
    with tempfile.TemporaryDirectory(prefix="cassiapitch-demo-") as name:
        yield pathlib.Path(name)


async def _run(folder: pathlib.Path, group: ProcessGroup) -> list[str]:
    with anyio.fail_after(TIME_LIMIT_S):
        testbed_bundle = make_testbed_bundle(model_count=15, adapter_count=10)
        deployment = Deployment(folder, group, testbed_bundle, Size(), Options())
        keys = await _set_up(deployment)
        results = await _run_load(deployment, keys)
        results += await _stop(deployment)
    checks.print_checks(console, results)
    return [item.text for item in results if not item.passed]


async def _set_up(deployment: Deployment) -> dict[str, str]:
    size = deployment.size
    _print_progress(
        f"{size.control_count} control members, {size.entry_count} entries, "
        f"{size.engine_count} engines, {size.service_count} service"
    )
    deployment.start(deployment.control)
    leader = await deployment.wait_for_leader(LEADER_TIMEOUT_MS)
    _print_progress(f"the control group is formed; {leader} leads")
    await deployment.roll(1)
    _print_progress("bundle 1 is signed and in force")
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    keys = {}
    for account in deployment.testbed_bundle.accounts:
        keys[account] = await deployment.grant(account)
    _print_progress(f"keys granted to {len(keys)} client accounts")
    await deployment.wait_for_entries(READY_TIMEOUT_MS)
    await deployment.wait_for_backends(READY_TIMEOUT_MS)
    _print_progress("all entries and backend servers serve")
    return keys


async def _run_load(deployment: Deployment, keys: dict[str, str]) -> list[Check]:
    results = await steps.probe_all_entries(deployment, keys)
    passed_count = sum(item.passed for item in results)
    _print_progress(
        f"single calls: {passed_count} of {len(results)} kinds answered as expected"
    )
    load_results: list[dict[str, Any]] = []
    dumps: dict[str, dict[str, Any]] = {}

    async def load() -> None:
        entries = [deployment.caller_address(name) for name in deployment.entries]
        experiment = plan.make_experiment(deployment.testbed_bundle, tuple(entries))
        load_results.append(await loadrun.run(experiment, keys, lambda *_: None))

    async with anyio.create_task_group() as group:
        group.start_soon(load)
        results += await _inject_faults(deployment, dumps, keys)
    document = load_results[0]
    path = deployment.folder / "load.json"
    path.write_text(json.dumps(document, indent=2), encoding="utf-8")
    limited = document["accounts"][plan.LIMITED_ACCOUNT]
    _print_progress(
        f"{plan.LIMITED_ACCOUNT} sent beyond its rate; served "
        f"{limited['served_tokens']} of {limited['admissible_tokens']} tokens"
    )
    checks.print_load(console, document)
    for name in (*deployment.engines, *deployment.services):
        if deployment.processes[name].is_running():
            dumps[name] = await steps.fetch_dump(deployment.standin_address(name))
    order_count = document["classes"]["team-order"]["endings"].get("answered", 0)
    order_count += steps.PROBE_ORDERS_COUNT
    results += checks.check_load(document, plan.LIMITED_ACCOUNT)
    results += checks.check_standins(dumps, list(keys.values()), order_count)
    return results


async def _inject_faults(
    deployment: Deployment, dumps: dict[str, dict[str, Any]], keys: dict[str, str]
) -> list[Check]:
    """Withdraws a key, kills the leader and an engine, and stops an entry."""
    await anyio.sleep(2)
    withdrawn_key = await deployment.grant("jersey-shop")
    keys["withdrawn"] = withdrawn_key
    results = await steps.withdraw_while_streaming(
        deployment, withdrawn_key, _print_progress
    )
    leader = await deployment.wait_for_leader(LEADER_TIMEOUT_MS)
    deployment.processes[leader].kill()
    _print_progress(f"killed the leader, {leader}")
    await anyio.sleep(4)
    engine = deployment.engines[0]
    # The engine's records are lost when it is killed, so they are read first.
    dumps[engine] = await steps.fetch_dump(deployment.standin_address(engine))
    deployment.processes[engine].kill()
    _print_progress(f"killed {engine}")
    await anyio.sleep(4)
    deployment.start([leader])
    entry = deployment.entries[-1]
    deployment.processes[entry].signal(signal.SIGTERM)
    exit_code = await deployment.wait_for_end(entry, READY_TIMEOUT_MS)
    _print_progress(f"{entry} stopped gracefully under load with code {exit_code}")
    results.append(
        Check(f"{entry} stopped under load with code 0", exit_code == 0, str(exit_code))
    )
    results.append(await steps.check_caught_up(deployment, leader))
    _print_progress(f"{leader} runs again")
    return results


async def _stop(deployment: Deployment) -> list[Check]:
    results = []
    for names in (deployment.entries[:-1], deployment.control):
        for name in names:
            deployment.processes[name].signal(signal.SIGTERM)
        exit_codes = {}
        for name in names:
            exit_codes[name] = await deployment.wait_for_end(name, STOP_TIMEOUT_MS)
        passed = set(exit_codes.values()) == {0}
        results.append(
            Check(f"{', '.join(names)} stopped with code 0", passed, str(exit_codes))
        )
    _print_progress("entries and control members stopped")
    return results


def _print_progress(text: str) -> None:
    console.print(f"{(timers.now_ms() - start_ms) / 1000:6.1f} s  {text}", markup=False)


if __name__ == "__main__":
    sys.exit(main())
