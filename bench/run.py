"""Compares the product with its baselines under the same loads and faults.

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
# Duration of each load with --short: six loads of each deployment, including startup,
# must end within five minutes.
SHORT_S = 9
FULL_S = 60
# Wait before the load, so that each variant's initial model loads have finished.
SETTLE_S = 8
# Extra time for each case, in which stopped processes restart and entries reconnect.
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
                is_complete &= _run_cases(
                    deployment, variant, cases, options, out, results
                )
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


def _run_cases(
    deployment_plan: plans.DeploymentPlan,
    variant: plans.Variant,
    cases: list[plans.Case],
    options: argparse.Namespace,
    out: pathlib.Path,
    results: Results,
) -> bool:
    """Starts one deployment and runs the cases in turn.

    Returns whether the last case has a result.
    """
    console.print(f"{deployment_plan.name}, {variant.name}")

    def store_result(case: plans.Case, document: dict[str, Any]) -> None:
        results[deployment_plan.name, case.name, variant.name] = document
        folder = out / deployment_plan.name / case.name / variant.name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / loadreport.RESULT_NAME
        path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")
        loadreport.write(document, folder)

    async def measure() -> None:
        deployment = Deployment(
            pathlib.Path(folder_name),
            group,
            deployment_plan.testbed_bundle(),
            deployment_plan.size(),
            variant.options,
        )
        keys = await _start(deployment, variant)
        runner = FaultRunner(deployment, keys, lambda text: console.print(f"  {text}"))
        for case in cases:
            duration_s = max(case.minimum_s, options.seconds)
            console.print(f"  {case.name}: {duration_s} s of load")
            with anyio.fail_after(duration_s + CASE_EXTRA_S):
                document = await _run_case(
                    deployment, case, runner, keys, duration_s, options.seed
                )
                document["deployment"] = deployment_plan.name
                document["variant"] = variant.name
                store_result(case, document)
                if case is not cases[-1]:
                    await _restore(deployment)

    with (
        tempfile.TemporaryDirectory(prefix="cassiapitch-bench-") as folder_name,
        ProcessGroup() as group,
    ):
        try:
            anyio.run(measure, backend="asyncio")
        except* (TestbedError, TimeoutError) as errors:
            for error in errors.exceptions:
                console.print(f"  failed: {error!r}", style="red", markup=False)
    return (deployment_plan.name, cases[-1].name, variant.name) in results


async def _run_case(
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
    load_results: list[dict[str, Any]] = []

    async def load() -> None:
        load_results.append(await loadrun.run(experiment, keys, lambda *_: None))

    start_ms = timers.now_ms()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load)
        tasks.start_soon(runner.run, experiment.faults, start_ms)
    return {**load_results[0], "processes": _process_usage(deployment)}


async def _restore(deployment: Deployment) -> None:
    """Restarts the processes that ended during a case."""
    names = [*deployment.control, *deployment.entries, *deployment.engines]
    deployment.start(
        [name for name in names if not deployment.processes[name].is_running()]
    )
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    await deployment.wait_for_entries(READY_TIMEOUT_MS)


async def _start(deployment: Deployment, variant: plans.Variant) -> dict[str, str]:
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


def _process_usage(deployment: Deployment) -> dict[str, Any]:
    """Returns each running process's CPU time since its start and its memory."""
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
    for deployment_plan in plans.DEPLOYMENTS:
        table = Table(
            title=deployment_plan.name,
            title_justify="left",
            box=box.SIMPLE,
            collapse_padding=True,
            pad_edge=False,
        )
        for heading in ("case", "variant"):
            table.add_column(heading, no_wrap=True)
        for heading in _COLUMNS:
            table.add_column(heading, justify="right", no_wrap=True)
        for (name, case, variant), document in sorted(results.items()):
            if name != deployment_plan.name:
                continue
            values = {**document["measures"], **document["integrity"]}
            cells = (loadreport.format_value(values.get(k)) for k in _COLUMNS.values())
            table.add_row(case, variant, *cells)
        if table.row_count:
            console.print(table)


def _print_not_run(results: Results) -> None:
    """Prints the cases without a result, so that a missing one isn't overlooked."""
    for deployment_plan in plans.DEPLOYMENTS:
        for case in plans.CASES:
            expected_variants = (
                "product",
                *(name for name in case.variants if name != "product"),
            )
            missing_variants = [
                name
                for name in expected_variants
                if (deployment_plan.name, case.name, name) not in results
            ]
            if missing_variants:
                names = ", ".join(missing_variants)
                console.print(f"not run: {deployment_plan.name}, {case.name}: {names}")


if __name__ == "__main__":
    sys.exit(main())
