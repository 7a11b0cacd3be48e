"""Runs the same loads against the product and its baselines, with and without faults.

make bench
python -m bench.run --out FOLDER
python -m bench.run --deployment waqa-and-sons --variant product --case zone-lost
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
from testbed.deployment import Deployment, TestbedError
from testbed.processes import ProcessGroup

READY_TIMEOUT_MS = 40_000
# Six loads of each deployment and their starts must end within five minutes.
SHORT_S = 9
FULL_S = 60
# The first loads of every variant are over when its load begins.
SETTLE_S = 8
# After a case: processes that it ended start again and entries connect.
CASE_EXTRA_S = 60

console = Console(width=120)
Results = dict[tuple[str, str, str], dict[str, Any]]


def main() -> int:
    options = _parse()
    out = options.out or pathlib.Path(tempfile.mkdtemp(prefix="cassiapitch-bench-"))
    results: Results = {}
    start_ms = timers.now_ms()
    is_complete = True
    for deployment in plans.DEPLOYMENTS:
        if options.deployment and deployment.name not in options.deployment:
            continue
        for variant in plans.VARIANTS:
            if options.variant and variant.name not in options.variant:
                continue
            cases = plans.cases_of(variant.name, options.case, is_short=options.short)
            if cases:
                is_complete &= _run(deployment, variant, cases, options, out, results)
    _print_summary(results)
    _print_not_run(results)
    console.print(f"ended after {(timers.now_ms() - start_ms) / 1000:.0f} s")
    console.print(f"results and reports: {out}")
    return 0 if is_complete else 1


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--short", action="store_true", help="fewer cases with short loads"
    )
    parser.add_argument("--out", type=pathlib.Path, help="folder for results")
    parser.add_argument("--seconds", type=int, help="length of each load")
    parser.add_argument("--seed", type=int, default=1, help="seed of all calls")
    for name, items in (
        ("deployment", plans.DEPLOYMENTS),
        ("variant", plans.VARIANTS),
        ("case", plans.CASES),
    ):
        parser.add_argument(
            f"--{name}",
            action="append",
            choices=[item.name for item in items],
            help=f"run only this {name}; may be repeated",
        )
    options = parser.parse_args()
    options.seconds = options.seconds or (SHORT_S if options.short else FULL_S)
    return options


def _run(
    planned: plans.DeploymentPlan,
    variant: plans.Variant,
    cases: list[plans.Case],
    options: argparse.Namespace,
    out: pathlib.Path,
    results: Results,
) -> bool:
    """Starts one deployment and runs the cases one after the other."""
    console.print(f"{planned.name}, {variant.name}")

    def keep(case: plans.Case, document: dict[str, Any]) -> None:
        results[planned.name, case.name, variant.name] = document
        folder = out / planned.name / case.name / variant.name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / loadreport.RESULT_NAME
        path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")
        loadreport.write(document, folder)

    async def measure() -> None:
        deployment = Deployment(
            pathlib.Path(files),
            group,
            planned.testbed_bundle(),
            planned.size(),
            variant.options,
        )
        keys = await _set_up(deployment, variant)
        runner = FaultRunner(deployment, keys, lambda text: console.print(f"  {text}"))
        for case in cases:
            duration_s = max(case.least_s, options.seconds)
            console.print(f"  {case.name}: {duration_s} s of load")
            with anyio.fail_after(duration_s + CASE_EXTRA_S):
                document = await _measure(
                    deployment, case, runner, keys, duration_s, options.seed
                )
                document["deployment"] = planned.name
                document["variant"] = variant.name
                keep(case, document)
                if case is not cases[-1]:
                    await _restore(deployment)

    with (
        tempfile.TemporaryDirectory(prefix="cassiapitch-bench-") as files,
        ProcessGroup() as group,
    ):
        try:
            anyio.run(measure, backend="asyncio")
        except* (TestbedError, TimeoutError) as errors:
            for error in errors.exceptions:
                console.print(f"  failed: {error!r}", style="red", markup=False)
    return (planned.name, cases[-1].name, variant.name) in results


async def _measure(
    deployment: Deployment,
    case: plans.Case,
    runner: FaultRunner,
    keys: dict[str, str],
    duration_s: int,
    seed: int,
) -> dict[str, Any]:
    experiment = plans.make_experiment(
        deployment, case, duration_ms=duration_s * 1000, seed=seed
    )
    result: list[dict[str, Any]] = []

    async def load() -> None:
        result.append(await loadrun.run(experiment, keys, lambda *_: None))

    start_ms = timers.now_ms()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        tasks.start_soon(runner.run, experiment.faults, start_ms)
    return {**result[0], "processes": _costs(deployment)}


async def _restore(deployment: Deployment) -> None:
    """Starts again what a case has ended."""
    names = [*deployment.control, *deployment.entries, *deployment.engines]
    deployment.start(
        [name for name in names if not deployment.processes[name].is_running()]
    )
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    await deployment.wait_for_entries(READY_TIMEOUT_MS)


async def _set_up(deployment: Deployment, variant: plans.Variant) -> dict[str, str]:
    deployment.start(deployment.control)
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    await deployment.roll(1)
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    keys = {}
    for account in deployment.testbed_bundle.accounts:
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
    "attain": "attainment",
    "per s": "attained_per_s_and_accelerator",
    "moves": "model_moves_count",
    "refused": "refused_within_rate_count",
    "worst": "worst_served_account",
    "share": "worst_served_attainment",
    "cut": "cut_answers_count",
    "ended": "broken_off_answers_count",
    "doubled": "doubled_runs_count",
    "over": "overcommits_count",
}


def _print_summary(results: Results) -> None:
    for planned in plans.DEPLOYMENTS:
        table = Table(
            title=planned.name,
            title_justify="left",
            box=box.SIMPLE,
            collapse_padding=True,
            pad_edge=False,
        )
        for head in ("case", "variant"):
            table.add_column(head, no_wrap=True)
        for head in _COLUMNS:
            table.add_column(head, justify="right", no_wrap=True)
        for (name, case, variant), document in sorted(results.items()):
            if name != planned.name:
                continue
            values = {**document["measures"], **document["integrity"]}
            cells = (loadreport.format_value(values.get(k)) for k in _COLUMNS.values())
            table.add_row(case, variant, *cells)
        if table.row_count:
            console.print(table)


def _print_not_run(results: Results) -> None:
    """Names the cases without a result, so that no gap looks like a success."""
    for planned in plans.DEPLOYMENTS:
        for case in plans.CASES:
            wanted = ("product", *(name for name in case.variants if name != "product"))
            missing = [
                name
                for name in wanted
                if (planned.name, case.name, name) not in results
            ]
            if missing:
                names = ", ".join(missing)
                console.print(f"not run: {planned.name}, {case.name}: {names}")


if __name__ == "__main__":
    sys.exit(main())
