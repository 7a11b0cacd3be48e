"""A planned stop cuts streams that were asked for on kept channels."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stand import http, runner  # noqa: E402
from review.stand.client import Attempt, Channel  # noqa: E402
from review.stand.deployment import (  # noqa: E402
    BOUNDS,
    ZONES,
    CannotRunError,
    Deployment,
    Machine,
    Record,
)
from review.stand.engine import Engine, Run, Traits  # noqa: E402
from review.stand.manifests import LLM, MODEL, model_manifest  # noqa: E402
from review.stand.operator import Operator  # noqa: E402

# Traffic starts this long after the machines do.
LEAD_S = 12.0
EVENTS_COUNT = 250
CLIENTS_COUNT = 6
STREAMS_SPACING_S = 0.5
PATH = "/lohu930/2f"
DEADLINE_MS = 15_000
# A request that was sent later than this after the SIGTERM isn't excused.
EXCUSED_S = 3.0
# The stop counts as planned work until this long after `graceS`.
PLANNED_S = BOUNDS["graceS"] + 1.0
NO_PLAN = -1e9


async def use(channel: Channel, delay_s: float, end: asyncio.Event) -> list[Attempt]:
    """Sends one request after the other on a channel, as long as it stays open."""
    await asyncio.sleep(delay_s)
    attempts = []
    while not end.is_set():
        attempt = await channel.stream(PATH, DEADLINE_MS)
        attempts.append(attempt)
        if not attempt.is_complete or attempt.asks_to_close:
            break
    channel.close()
    return attempts


async def ask_readiness(deployment: Deployment, fronts: list[Machine]) -> None:
    """Asks each machine once a second whether it is ready, as the platform does."""
    while True:
        for front in fronts:
            address = deployment.readiness_address(front)
            await http.call(address, "GET", "/-/readiness", b"", 0.5)
        await asyncio.sleep(1.0)


def judge(attempts: list[Attempt], runs: list[Run], stop_s: float) -> list[str]:
    """Returns the requests that the planned stop cut, without those excused."""
    breaks = []
    by_id = {run.request_id: run for run in runs}
    for attempt in attempts:
        run = by_id.get(attempt.request_id)
        since_stop_s = attempt.ended_s - stop_s
        if attempt.is_complete or run is None or not 0 <= since_stop_s <= PLANNED_S:
            continue
        engine_broke_off = run.end not in ("the channel was closed", "complete", "")
        is_late = attempt.ended_s - attempt.sent_s >= DEADLINE_MS / 1_000 - 0.5
        sent_s = attempt.sent_s - stop_s
        in_last_sixth = since_stop_s >= BOUNDS["graceS"] * 5 / 6
        is_excused = in_last_sixth and sent_s <= EXCUSED_S
        if engine_broke_off or is_late or is_excused:
            continue
        breaks.append(
            f"LOST: {attempt.request_id}, sent {sent_s:.2f} s after the SIGTERM, was "
            f"passed on to {run.engine} and cut {since_stop_s:.2f} s after the "
            f"SIGTERM, after {len(attempt.events)} of {EVENTS_COUNT} events"
        )
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
    if not await operator.put(model_manifest(1), LEAD_S + 8):
        raise CannotRunError("the first manifest was not acknowledged")
    traits = Traits(60, 22, EVENTS_COUNT)
    engines = [
        Engine(
            deployment,
            record,
            f"i-{number + 1}",
            LLM,
            ZONES[number],
            models=(MODEL,),
            traits=traits,
        )
        for number in range(2)
    ]
    for engine in engines:
        await engine.start()
    platform = asyncio.create_task(ask_readiness(deployment, fronts))
    await asyncio.sleep(max(5.0, LEAD_S - record.now()))
    end = asyncio.Event()
    users = []
    for number in range(CLIENTS_COUNT):
        channel = Channel(record, f"client {number + 1}")
        await channel.open(deployment.front_address(fronts[0]))
        delay_s = STREAMS_SPACING_S * number
        users.append(asyncio.create_task(use(channel, delay_s, end)))
    # The last streams have just begun; each lasts between five and six seconds.
    await asyncio.sleep(STREAMS_SPACING_S * CLIENTS_COUNT + 0.2)
    stop_s = record.now() if trouble else NO_PLAN
    if trouble:
        deployment.signal(fronts[0], signal.SIGTERM)
        await deployment.wait_for_end(fronts[0], BOUNDS["graceS"])
        fronts[0].process = None
    else:
        await asyncio.sleep(PLANNED_S)
    end.set()
    attempts = [attempt for user in users for attempt in await user]
    platform.cancel()
    runs = [run for engine in engines for run in engine.runs]
    for engine in engines:
        engine.stop()
    deployment.check_running()
    if not trouble and not all(attempt.is_complete for attempt in attempts):
        return ["a request was cut without a stop"]
    return judge(attempts, runs, stop_s)


if __name__ == "__main__":
    runner.main(FOLDER, case)
