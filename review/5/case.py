"""A core machine is replaced while another stands still; later two disks are lost."""

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
# An empty machine comes this long after another one is gone for good.
SUCCESSOR_S = 1.0
FROZEN_S = 6.5
# All machines have been back for this long when the disks are lost.
CALM_S = 12.0
DOWN_S = 1.0
CHANGES_PERIOD_S = 0.5


async def change_until(
    operator: Operator, version: int, end_s: float, record: Record
) -> int:
    """Sends one change after another; returns the last version."""
    while record.now() < end_s:
        version += 1
        if not await operator.put(plain_manifest(version), 15):
            raise CannotRunError("a change was not acknowledged before the losses")
        await asyncio.sleep(CHANGES_PERIOD_S)
    return version


async def replace_and_freeze(
    deployment: Deployment, gone: Machine, frozen: Machine, listed: list[Machine]
) -> None:
    """Ends one core machine for good and lets another one stand still for a while."""
    deployment.signal(gone, signal.SIGKILL)
    await deployment.wait_for_end(gone, 5)
    listed.remove(gone)
    deployment.signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(SUCCESSOR_S)
    new = deployment.add_core(gone.zone, bootstrap=False)
    deployment.start(new)
    listed.append(new)
    await asyncio.sleep(FROZEN_S - SUCCESSOR_S)
    deployment.signal(frozen, signal.SIGCONT)


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
    version = await change_until(operator, 1, record.now() + 1, record)
    if trouble:
        await replace_and_freeze(deployment, cores[4], cores[1], listed)
        version = await change_until(operator, version, record.now() + CALM_S, record)
    # Right after one more change was acknowledged, two machines lose their disks.
    version += 1
    if not await operator.put(plain_manifest(version), 10):
        raise CannotRunError("the last change was not acknowledged")
    if trouble:
        lost = [cores[0], cores[2]]
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
