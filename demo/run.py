"""Starts the whole system on loopback, uses and disturbs it, and checks it.

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
from demo import checks, plan, scenes
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
        found = await _use(deployment, keys)
        found += await _tear_down(deployment)
    checks.print_checks(console, found)
    return [item.text for item in found if not item.held]


async def _set_up(deployment: Deployment) -> dict[str, str]:
    size = deployment.size
    _say(
        f"{size.control_count} control members, {size.entry_count} entries, "
        f"{size.engine_count} engines, {size.service_count} service"
    )
    deployment.start(deployment.control)
    leader = await deployment.wait_for_leader(LEADER_TIMEOUT_MS)
    _say(f"the control group is formed; {leader} leads")
    await deployment.roll(1)
    _say("bundle 1 is signed and in force")
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    keys = {}
    for account in deployment.testbed_bundle.accounts:
        keys[account] = await deployment.grant(account)
    _say(f"keys granted to {len(keys)} client accounts")
    await deployment.wait_for_entries(READY_TIMEOUT_MS)
    await deployment.wait_for_backends(READY_TIMEOUT_MS)
    _say("all entries and backend servers serve")
    return keys


async def _use(deployment: Deployment, keys: dict[str, str]) -> list[Check]:
    found = await scenes.probe_all_entries(deployment, keys)
    held_count = sum(item.held for item in found)
    _say(f"single calls: {held_count} of {len(found)} kinds answered as expected")
    result: list[dict[str, Any]] = []
    dumps: dict[str, dict[str, Any]] = {}

    async def load() -> None:
        entries = [deployment.caller_address(name) for name in deployment.entries]
        experiment = plan.experiment(deployment.testbed_bundle, tuple(entries))
        result.append(await loadrun.run(experiment, keys, lambda *_: None))

    async with anyio.create_task_group() as group:
        group.start_soon(load)
        found += await _disturb(deployment, dumps, keys)
    document = result[0]
    path = deployment.folder / "load.json"
    path.write_text(json.dumps(document, indent=2), encoding="utf-8")
    limited = document["accounts"][plan.LIMITED_ACCOUNT]
    _say(
        f"{plan.LIMITED_ACCOUNT} sent beyond its rate; served "
        f"{limited['served_tokens']} of {limited['admissible_tokens']} tokens"
    )
    checks.print_load(console, document)
    for name in (*deployment.engines, *deployment.services):
        if deployment.processes[name].is_running():
            dumps[name] = await scenes.dump(deployment.standin_address(name))
    orders = document["classes"]["team-order"]["endings"].get("answered", 0)
    orders += scenes.CLAIMED_ORDERS_COUNT
    found += checks.check_load(document, plan.LIMITED_ACCOUNT)
    found += checks.check_standins(dumps, list(keys.values()), orders)
    return found


async def _disturb(
    deployment: Deployment, dumps: dict[str, dict[str, Any]], keys: dict[str, str]
) -> list[Check]:
    """Withdraws a key, kills a leader and an engine, stops an entry, in turn."""
    await anyio.sleep(2)
    withdrawn_key = await deployment.grant("jersey-shop")
    keys["withdrawn"] = withdrawn_key
    found = await scenes.withdraw_while_streaming(deployment, withdrawn_key, _say)
    leader = await deployment.wait_for_leader(LEADER_TIMEOUT_MS)
    deployment.processes[leader].kill()
    _say(f"killed {leader}, which led")
    await anyio.sleep(4)
    engine = deployment.engines[0]
    # Its records end with it, so they are read before.
    dumps[engine] = await scenes.dump(deployment.standin_address(engine))
    deployment.processes[engine].kill()
    _say(f"killed {engine}")
    await anyio.sleep(4)
    deployment.start([leader])
    entry = deployment.entries[-1]
    deployment.processes[entry].signal(signal.SIGTERM)
    code = await deployment.wait_for_end(entry, READY_TIMEOUT_MS)
    _say(f"{entry} stopped gracefully under load with code {code}")
    found.append(Check(f"{entry} stopped under load with code 0", code == 0, str(code)))
    found.append(await scenes.caught_up(deployment, leader))
    _say(f"{leader} runs again")
    return found


async def _tear_down(deployment: Deployment) -> list[Check]:
    found = []
    for names in (deployment.entries[:-1], deployment.control):
        for name in names:
            deployment.processes[name].signal(signal.SIGTERM)
        codes = {}
        for name in names:
            codes[name] = await deployment.wait_for_end(name, STOP_TIMEOUT_MS)
        held = set(codes.values()) == {0}
        found.append(Check(f"{', '.join(names)} stopped with code 0", held, str(codes)))
    _say("entries and control members stopped")
    return found


def _say(text: str) -> None:
    console.print(f"{(timers.now_ms() - start_ms) / 1000:6.1f} s  {text}", markup=False)


if __name__ == "__main__":
    sys.exit(main())
