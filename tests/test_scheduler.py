"""Tests of where suspects run."""

import random

import anyio

from cassiapitch import timers
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.routing import Router
from cassiapitch.scheduler import Scheduler, SlotRequest
from cassiapitch.types import Priority
from cassiapitch.viewitems import (
    BackendItem,
)

BACKENDS = [
    BackendItem(
        f"n{number}", f"l{number}", "r", "a", "127.0.0.1", 1, "serving", ("m",), (), 8
    )
    for number in range(8)
]


def make_scheduler(seed):
    router = Router("least_cost", "a", random.Random(seed))
    return Scheduler("weighted_fair", router, CrashTracker())


def place(scheduler, digest, crashed_lives):
    """Returns the slot that a request gets at once."""
    slot_request = SlotRequest(
        name="m",
        queue="m",
        candidates=lambda: BACKENDS,
        expected_ms=lambda: None,
        account="acme",
        weight=1,
        priority=Priority.URGENT,
        cost=1,
        deadline_ms=timers.now_ms() + 60_000,
        digest=digest,
        excluded_lives=set(crashed_lives),
        crashed_lives=set(crashed_lives),
    )
    return anyio.run(scheduler.acquire, slot_request)


def test_entries_run_one_suspect_on_one_backend_server():
    """Guards against one request that crashes a backend server for each entry."""
    used = set()
    for number in range(100):
        digest = f"d{number}"
        slots = [place(make_scheduler(seed), digest, {"l0"}) for seed in range(5)]
        lives = {slot.backend.life_id for slot in slots}
        assert len(lives) == 1
        used |= lives
    assert used == {item.life_id for item in BACKENDS[1:]}


def test_second_suspect_of_an_entry_avoids_the_first_ones_backend_server():
    """Guards against a harmless suspect that is quarantined with a harmful one."""
    scheduler = make_scheduler(1)
    slots = [place(scheduler, f"d{number}", {"l0"}) for number in range(7)]
    assert len({slot.backend.life_id for slot in slots}) == 7
    again = place(scheduler, "d3", {"l0"})
    assert again.backend == slots[3].backend
