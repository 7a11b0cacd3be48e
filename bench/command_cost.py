"""Measures the CPU time and memory of operator commands against a real control group.

Usage, from the repository's folder: `python -m bench.command_cost`. It runs each
command three times with bundles of 15 and 1,300 models and prints the CPU time and
peak memory of the command's process.
"""

import json
import os
import pathlib
import subprocess
import sys
import tempfile

import anyio
import anyio.to_thread

from bench.hub_cost import READY_TIMEOUT_MS, Point, make_sections
from testbed.deployment import Deployment, Options, Size
from testbed.processes import ROOT, ProcessGroup
from testbed.testbed_bundle import make_testbed_bundle

RUN_COUNT = 3


def run_command(deployment: Deployment, *arguments: str) -> tuple[int, float, float]:
    """Runs one command; returns its exit code, CPU seconds and peak memory in MiB."""
    options = ["--operator-file", str(deployment.operator_path)]
    process = subprocess.Popen(
        [sys.executable, "-m", "cassiapitch.cmdline", *arguments, *options],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
    )
    _, status, usage = os.wait4(process.pid, 0)
    process.returncode = os.waitstatus_to_exitcode(status)
    # On Linux, ru_maxrss is in KiB.
    cpu_s = usage.ru_utime + usage.ru_stime
    return process.returncode, cpu_s, usage.ru_maxrss / 1024


async def measure(folder: pathlib.Path) -> None:
    with ProcessGroup() as group:
        deployment = Deployment(
            folder,
            group,
            make_testbed_bundle(15, 0),
            Size(entry_count=0, engine_count=0, service_count=0),
            Options(),
        )
        deployment.start(deployment.control)
        await deployment.wait_for_leader(READY_TIMEOUT_MS)
        version = 0
        for models in (15, 1_300):
            sections = make_sections(Point(models=models, accounts=50))
            for _ in range(RUN_COUNT):
                version += 1
                path = folder / f"measured-{version}.json"
                document = deployment.testbed_bundle.document(version, **sections)
                path.write_text(json.dumps(document, indent=2), encoding="utf-8")
                for command in (("roll", str(path)), ("status",), ("show",)):
                    code, cpu_s, mib = await anyio.to_thread.run_sync(
                        run_command, deployment, *command
                    )
                    size_kib = path.stat().st_size / 1024
                    print(
                        f"{models} models ({size_kib:.0f} KiB), {command[0]}: exit "
                        f"code {code}, {cpu_s:.2f} s, {mib:.0f} MiB",
                        flush=True,
                    )


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        anyio.run(measure, pathlib.Path(temporary))
