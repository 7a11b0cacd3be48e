"""Runs a case; the exit code is 1 if the rule was broken, 0 if it held, else 2."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable

from review.stand.deployment import CannotRunError, Deployment, Record

LIMIT_S = 112

Case = Callable[[Deployment, Record, bool], Awaitable[list[str]]]


def main(folder: pathlib.Path, case: Case) -> None:
    """Runs a case and exits; the case returns how the rule was broken, if it was."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"with the disruption: {trouble}")
    code = 2
    try:
        code = asyncio.run(_run(case, record, trouble))
    except (CannotRunError, TimeoutError, OSError) as error:
        record.write(f"could not run: {error!r}")
    except BaseException:
        record.write("could not run: " + traceback.format_exc())
    sys.exit(code)


async def _run(case: Case, record: Record, trouble: bool) -> int:
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(LIMIT_S):
            breaks = await case(deployment, record, trouble)
    finally:
        deployment.close()
    for line in breaks:
        record.write(f"BROKEN: {line}")
    record.write("the rule was broken" if breaks else "the rule held")
    return 1 if breaks else 0
