"""A core machine is replaced as planned, then two others lose their disks."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stand import runner  # noqa: E402
from review.stand.deployment import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRunError,
    Deployment,
    Machine,
    Record,
)
from review.stand.manifests import plain_manifest  # noqa: E402
from review.stand.operator import Operator  # noqa: E402

# Traffic starts this long after the machines do.
LEAD_S = 12.0
# The new machine comes first. When it has had `catchUpS`, the old one is stopped; it
# stops counting as lost with its end.
OVERLAP_S = BOUNDS["catchUpS"] + 1.0
# The losses come this much after the end of the old machine.
MARGIN_S = 1.0
DOWN_S = 1.0
CHANGES_PERIOD_S = 0.5


async def change_until(
    operator: Operator, version: int, end_s: float, record: Record
) -> int:
    """Sends one change after another; returns the last version."""
    while record.now() < end_s:
        version += 1
        if not await operator.put(plain_manifest(version), 10):
            raise CannotRunError("a change was not acknowledged before the losses")
        await asyncio.sleep(CHANGES_PERIOD_S)
    return version


async def replace(deployment: Deployment, old: Machine, listed: list[Machine]) -> float:
    """Adds a core machine, then stops an old one for good; returns when it ended."""
    new = deployment.add_core(old.zone, bootstrap=False)
    deployment.start(new)
    listed.append(new)
    await asyncio.sleep(OVERLAP_S)
    deployment.signal(old, signal.SIGTERM)
    await deployment.wait_for_end(old, BOUNDS["graceS"])
    listed.remove(old)
    return deployment.record.now()


async def case(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Returns how the rule was broken."""
    zones = (ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2])
    cores = [deployment.add_core(zone, bootstrap=True) for zone in zones]
    fronts = [deployment.add_front(zone) for zone in ZONES]
    deployment.set_seeds(cores[:3])
    listed = list(cores)
    operator = Operator(
        lambda: [deployment.control_address(item) for item in listed], record
    )
    for machine in (*cores, *fronts):
        deployment.start(machine)
    if not await operator.put(plain_manifest(1), LEAD_S + 8):
        raise CannotRunError("the first manifest was not acknowledged")
    await asyncio.sleep(max(0.0, LEAD_S - record.now()))
    for machine in cores:
        machine.bootstrap = False
    version = await change_until(operator, 1, record.now() + 2, record)
    if trouble:
        replaced = asyncio.create_task(replace(deployment, cores[4], listed))
        end_s = record.now() + OVERLAP_S + MARGIN_S
        version = await change_until(operator, version, end_s - 0.5, record)
        loss_s = await replaced + MARGIN_S
        await asyncio.sleep(max(0.0, loss_s - record.now()))
    # Right after one more change was acknowledged, two machines lose their disks.
    version += 1
    if not await operator.put(plain_manifest(version), 10):
        raise CannotRunError("the last change was not acknowledged")
    if trouble:
        lost = cores[:2]
        for machine in lost:
            deployment.signal(machine, signal.SIGKILL)
        for machine in lost:
            await deployment.wait_for_end(machine, 5)
            deployment.lose_disk(machine)
        await asyncio.sleep(DOWN_S)
        for machine in lost:
            deployment.start(machine)
    back_s = record.now()
    await asyncio.sleep(BOUNDS["recoveryS"])
    assert operator.acknowledged is not None
    newest, content = operator.acknowledged
    read = await operator.read_back(BOUNDS["contactMs"] / 1_000 + 20)
    waited_s = record.now() - back_s
    breaks = []
    if read is None:
        breaks.append(
            f"CONFIG: version {newest} was acknowledged and can't be read back "
            f"{waited_s:.0f} s after all machines are back"
        )
        if not await operator.put(plain_manifest(version + 1), 8):
            record.write("a further change isn't acknowledged either")
    elif read != content:
        breaks.append(f"CONFIG: version {newest} was acknowledged, another is read")
    return breaks


if __name__ == "__main__":
    runner.main(FOLDER, case)
