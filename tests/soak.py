"""Seeds of soak tests, and faults in series that may overlap."""

import os

import anyio


def seeds(variable, default="1-2"):
    """Returns the seeds to play, `first-last`, from an environment variable."""
    first, _, last = os.environ.get(variable, default).partition("-")
    return range(int(first), int(last or first) + 1)


async def play_changes(rng, changes, for_s, pause_s=(0.3, 2)):
    """Starts changes drawn by weight, with a pause after each; they may overlap.

    Args:
        rng: Draws changes and pauses.
        changes: Pairs of an asynchronous function and its weight.
        for_s: How long changes are started; those that run then are waited for.
        pause_s: Shortest and longest pause.
    """
    weighted = [change for change, weight in changes for _ in range(weight)]
    async with anyio.create_task_group() as tasks:
        with anyio.move_on_after(for_s):
            while True:
                tasks.start_soon(rng.choice(weighted))
                await anyio.sleep(rng.uniform(*pause_s))
