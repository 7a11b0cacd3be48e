"""Runs the same load against the product and its baselines, with and without faults.

make bench
python -m bench.run --out FOLDER
python -m bench.run --variant product --variant round-robin --seconds 60
"""

import argparse
import json
import pathlib
import sys
import tempfile
from typing import Any

import anyio
from rich import box
from rich.console import Console
from rich.table import Table

from bench import plans
from bench.faults import FaultRunner
from cassiapitch import loadreport, loadrun, timers
from testbed.catalogue import make_catalogue
from testbed.deployment import Deployment, Size, TestbedError
from testbed.processes import ProcessGroup

READY_TIMEOUT_MS = 40_000
SHORT_S = 30
FULL_S = 120
# The first loads of every variant are over when its load begins.
SETTLE_S = 8
# Beyond the load: start, drain and end of one deployment.
EXTRA_S = 120

console = Console(width=120)


def main() -> int:
    options = _parse()
    names = options.variant or [item.name for item in plans.VARIANTS]
    if options.short and not options.variant:
        names = list(plans.SHORT_VARIANTS)
    duration_s = options.seconds or (SHORT_S if options.short else FULL_S)
    out = options.out or pathlib.Path(tempfile.mkdtemp(prefix="cassiapitch-bench-"))
    results: dict[str, dict[str, Any]] = {}
    is_complete = True
    for with_faults in (False, True):
        for variant in plans.VARIANTS:
            if variant.name not in names:
                continue
            name = f"{variant.name}{'-faults' if with_faults else ''}"
            console.print(f"{name}: {duration_s} s of load")
            try:
                results[name] = _run(variant, with_faults, duration_s, out / name)
            except* (TestbedError, TimeoutError) as errors:
                is_complete = False
                for error in errors.exceptions:
                    console.print(f"{name} failed: {error}", style="red", markup=False)
    _print_summary(results)
    console.print(f"results and reports: {out}")
    return 0 if is_complete else 1


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--short", action="store_true", help="two variants, 30 s each")
    parser.add_argument("--out", type=pathlib.Path, help="folder for results")
    parser.add_argument("--seconds", type=int, help="length of each load")
    parser.add_argument(
        "--variant",
        action="append",
        choices=[item.name for item in plans.VARIANTS],
        help="run only this variant; may be repeated",
    )
    return parser.parse_args()


def _run(
    variant: plans.Variant, with_faults: bool, duration_s: int, folder: pathlib.Path
) -> dict[str, Any]:
    folder.mkdir(parents=True, exist_ok=True)
    with (
        tempfile.TemporaryDirectory(prefix="cassiapitch-bench-") as files,
        ProcessGroup() as group,
    ):
        document = anyio.run(
            _measure,
            variant,
            with_faults,
            duration_s,
            pathlib.Path(files),
            group,
            backend="asyncio",
        )
    path = folder / loadreport.RESULT_NAME
    path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")
    loadreport.write(document, folder)
    return document


async def _measure(
    variant: plans.Variant,
    with_faults: bool,
    duration_s: int,
    files: pathlib.Path,
    group: ProcessGroup,
) -> dict[str, Any]:
    with anyio.fail_after(duration_s + EXTRA_S):
        catalogue = make_catalogue(model_count=15, adapter_count=10)
        deployment = Deployment(files, group, catalogue, Size(), variant.options)
        keys = await _set_up(deployment, variant)
        standins = (*deployment.engines, *deployment.services)
        experiment = plans.experiment(
            catalogue,
            tuple(deployment.caller_address(name) for name in deployment.entries),
            tuple(deployment.standin_address(name) for name in standins),
            duration_ms=duration_s * 1000,
            with_faults=with_faults,
        )
        runner = FaultRunner(deployment, keys, lambda text: console.print(f"  {text}"))
        result: list[dict[str, Any]] = []

        async def load() -> None:
            result.append(await loadrun.run(experiment, keys, lambda *_: None))

        start_ms = timers.now_ms()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(load)
            tasks.start_soon(runner.run, experiment.faults, start_ms)
        return {**result[0], "variant": variant.name, "processes": _costs(deployment)}


async def _set_up(deployment: Deployment, variant: plans.Variant) -> dict[str, str]:
    deployment.start(deployment.control)
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    await deployment.roll(1)
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    keys = {}
    for account in deployment.catalogue.accounts:
        keys[account] = await deployment.grant(account)
    await deployment.wait_for_entries(READY_TIMEOUT_MS)
    with_models = "placement_policy" not in variant.options.control
    await deployment.wait_for_backends(READY_TIMEOUT_MS, with_models=with_models)
    await anyio.sleep(SETTLE_S)
    return keys


def _costs(deployment: Deployment) -> dict[str, Any]:
    """Returns CPU time and memory of each process since its start."""
    return {
        process.name: {"cpu_s": process.cpu_s(), "memory_mib": process.memory_mib()}
        for process in deployment.processes.running()
    }


_COLUMNS = {
    "attained": "attainment",
    "per s": "attained_per_s_and_accelerator",
    "moves": "model_moves_count",
    "refused": "refused_within_rate_count",
    "worst": "worst_served_account",
    "its share": "worst_served_attainment",
    "cut": "cut_answers_count",
    "ended": "broken_off_answers_count",
    "doubled": "doubled_runs_count",
    "over": "overcommits_count",
}


def _print_summary(results: dict[str, dict[str, Any]]) -> None:
    table = Table(title="Measures", title_justify="left", box=box.SIMPLE)
    table.add_column("variant", no_wrap=True)
    for head in _COLUMNS:
        table.add_column(head, justify="right", no_wrap=True)
    for name, document in results.items():
        values = {**document["measures"], **document["integrity"]}
        cells = (loadreport.format_value(values.get(key)) for key in _COLUMNS.values())
        table.add_row(name, *cells)
    console.print(table)


if __name__ == "__main__":
    sys.exit(main())
