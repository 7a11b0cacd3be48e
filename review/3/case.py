"""A stream loses its first event while the core is back from a kill."""

import asyncio
import itertools
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stand import runner  # noqa: E402
from review.stand.client import Attempt, Channel  # noqa: E402
from review.stand.deployment import (  # noqa: E402
    ZONES,
    CannotRunError,
    Deployment,
    Record,
)
from review.stand.engine import Engine, Traits  # noqa: E402
from review.stand.manifests import LLM, MODEL, model_manifest  # noqa: E402
from review.stand.operator import Operator  # noqa: E402

# Traffic starts this long after the machines do.
LEAD_S = 12.0
# The killed processes are back within a second.
DOWN_S = 0.9
EVENTS_COUNT = 86
CLIENTS_COUNT = 30
ENGINES_COUNT = 5
OLD_ENGINES_COUNT = 2
# Before that, each machine serves some streams.
WARM_UP_COUNT = 4
PATH = "/lohu930/2f"
DEADLINE_MS = 15_000


async def stream(channel: Channel, delay_s: float) -> Attempt:
    """Sends one request after a delay."""
    await asyncio.sleep(delay_s)
    return await channel.stream(PATH, DEADLINE_MS)


async def warm_up(address: tuple[str, int], record: Record) -> None:
    """Sends some requests to one machine at once."""
    channels = [Channel(record, "early client") for _ in range(WARM_UP_COUNT)]
    for channel in channels:
        await channel.open(address)
    await asyncio.gather(*(channel.stream(PATH, DEADLINE_MS) for channel in channels))
    for channel in channels:
        channel.close()


async def kill_core(deployment: Deployment) -> None:
    """Kills all processes of the core at once; they are back within a second."""
    cores = deployment.cores()
    for machine in cores:
        deployment.signal(machine, signal.SIGKILL)
    for machine in cores:
        await deployment.wait_for_end(machine, 5)
    await asyncio.sleep(DOWN_S)
    for machine in cores:
        machine.bootstrap = False
        deployment.start(machine)


def judge(attempts: list[Attempt]) -> list[str]:
    """Returns how streams that look complete differ from what the engine made."""
    breaks = []
    whole = list(range(1, EVENTS_COUNT + 1))
    for attempt in attempts:
        events = attempt.events
        if events and events != whole[: len(events)]:
            missing = sorted(set(range(1, events[-1] + 1)) - set(events))
            breaks.append(
                f"ORDER: the stream {attempt.request_id} (status {attempt.status}) "
                f"begins with event {events[0]}; events {missing} are missing; "
                f"it looks complete: {attempt.is_complete}"
            )
        elif attempt.is_complete and attempt.status == 200 and events != whole:
            breaks.append(f"ORDER: {attempt.request_id} ends early as complete")
    return breaks


async def case(deployment: Deployment, record: Record, trouble: bool) -> list[str]:
    """Returns how the rule was broken."""
    zones = (ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2])
    cores = [deployment.add_core(zone, bootstrap=True) for zone in zones]
    fronts = [deployment.add_front(zone) for zone in ZONES]
    deployment.set_seeds(cores[:3])
    operator = Operator(
        lambda: [deployment.control_address(item) for item in cores], record
    )
    for machine in (*cores, *fronts):
        deployment.start(machine)
    is_failing = [False]
    manifest = model_manifest(1, max_attempts=3, rate_per_s=0)
    if not await operator.put(manifest, LEAD_S + 8):
        raise CannotRunError("the first manifest was not acknowledged")
    # The service is being replaced by new software, one engine after the other. The
    # old engines answer every third request with 500.
    engines = []
    for number in range(ENGINES_COUNT):
        is_old = number < OLD_ENGINES_COUNT
        answers = itertools.cycle((False, True, False))
        traits = Traits(150, 22, EVENTS_COUNT)
        if is_old:
            traits.fails = lambda answers=answers: is_failing[0] and next(answers)
        engine = Engine(
            deployment,
            record,
            f"i-{number + 1}",
            LLM,
            ZONES[number % 3],
            version="v1" if is_old else "v2",
            models=(MODEL,),
            traits=traits,
        )
        engines.append(engine)
        await engine.start()
    await asyncio.sleep(max(4.0, LEAD_S - record.now()))
    for front in fronts:
        deployment.check_running()
        await warm_up(deployment.front_address(front), record)
    channels = []
    for number in range(CLIENTS_COUNT):
        channel = Channel(record, f"client {number + 1}")
        await channel.open(deployment.front_address(fronts[number % 3]))
        channels.append(channel)
    is_failing[0] = True
    killed = asyncio.create_task(kill_core(deployment)) if trouble else None
    streams = [
        asyncio.create_task(stream(channel, 0.05 + 0.01 * number))
        for number, channel in enumerate(channels)
    ]
    attempts = [await item for item in streams]
    if killed is not None:
        await killed
    for channel in channels:
        channel.close()
    for engine in engines:
        engine.stop()
    deployment.check_running()
    return judge(attempts)


if __name__ == "__main__":
    runner.main(FOLDER, case)
