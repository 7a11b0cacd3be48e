"""Tests of the leader's permits for limited backend servers."""

import random

import pytest

from cassiapitch import permit_schedule
from cassiapitch.limit_messages import (
    ASK_PERIOD_MS,
    HORIZON_MS,
    PERMIT_LIFE_MS,
    PermitAsk,
    PermitRequest,
)
from cassiapitch.viewitems import BackendLimit

START_MS = 1_000
# Begin of the first permits of a schedule that was started at `START_MS`.
OPEN_MS = START_MS + HORIZON_MS + PERMIT_LIFE_MS


def ask(schedule, now_ms, waiting=0, *, entry="e1", probe=False, per_s=2.0):
    request = PermitRequest("b1", "b1@1", waiting, probe)
    message = PermitAsk(entry, "run", 1, (request,))
    limits = {"b1@1": None if per_s is None else BackendLimit(per_s, 1)}
    permits = permit_schedule.answer(schedule, message, limits, now_ms).permits
    return permits[0] if permits else None


def test_new_leader_gives_no_permit_beside_those_of_the_leader_before():
    schedule = permit_schedule.start(1, START_MS)
    permits = ask(schedule, START_MS, 1)
    assert permits.delays_ms == ()
    assert permits.waits_ms == (HORIZON_MS + PERMIT_LIFE_MS,)


def test_permits_are_one_interval_apart_over_all_entries():
    schedule = permit_schedule.start(1, START_MS)
    first = ask(schedule, OPEN_MS, 2, entry="e1")
    assert (first.delays_ms, first.waits_ms) == ((0,), (500,))
    second = ask(schedule, OPEN_MS, 1, entry="e2")
    assert (second.delays_ms, second.waits_ms) == ((), (1_000,))
    assert (second.next_wait_ms, second.spacing_ms) == (1_500, 500)


def test_entry_that_asks_often_doesnt_overtake_one_that_waits_longer():
    schedule = permit_schedule.start(1, START_MS)
    ask(schedule, OPEN_MS, 1, entry="e1")
    ask(schedule, OPEN_MS, 1, entry="e2")
    for delay_ms in range(0, 500, 50):
        assert ask(schedule, OPEN_MS + delay_ms, 1, entry="e3").delays_ms == ()
    assert ask(schedule, OPEN_MS + 490, 1, entry="e2").delays_ms == (10,)


def test_places_of_an_entry_that_ended_are_given_to_the_others():
    schedule = permit_schedule.start(1, START_MS)
    ask(schedule, OPEN_MS, 3, entry="ended")
    for delay_ms in range(0, 800, ASK_PERIOD_MS):
        ask(schedule, OPEN_MS + delay_ms, 1, entry="e2")
    assert ask(schedule, OPEN_MS + 800, 1, entry="e2").delays_ms == (0,)


def test_probe_request_takes_no_time_that_others_need():
    schedule = permit_schedule.start(1, START_MS)
    assert ask(schedule, OPEN_MS, probe=True).delays_ms == ()
    assert ask(schedule, OPEN_MS + 499, probe=True).delays_ms == ()
    assert ask(schedule, OPEN_MS + 500, probe=True).delays_ms == (0,)
    assert ask(schedule, OPEN_MS + 500, probe=True).delays_ms == ()
    assert ask(schedule, OPEN_MS + 500, 1).delays_ms == (0,)


@pytest.mark.parametrize("per_s", [0.0, 0.01])
def test_backend_server_that_takes_nothing_still_gets_a_request_now_and_then(per_s):
    schedule = permit_schedule.start(1, START_MS)
    assert ask(schedule, OPEN_MS, 1, per_s=per_s).delays_ms == (0,)
    permits = ask(schedule, OPEN_MS, 1, per_s=per_s)
    assert permits.waits_ms == (permit_schedule.LONGEST_INTERVAL_MS,)


def test_lowered_limit_applies_to_the_next_permit():
    schedule = permit_schedule.start(1, START_MS)
    ask(schedule, OPEN_MS, 1, per_s=10.0)
    assert ask(schedule, OPEN_MS + 100, 2, per_s=1.0).waits_ms == (1_000,)


def test_incarnation_without_a_limit_needs_no_permit():
    schedule = permit_schedule.start(1, START_MS)
    assert ask(schedule, OPEN_MS, 1, per_s=None) is None


@pytest.mark.parametrize("seed", range(10))
def test_fuzz_permits_of_all_entries_and_leaders_keep_to_the_limit(seed):
    rng = random.Random(seed)
    per_s = rng.choice([0.3, 1.0, 1.2, 5.0, 20.0])
    now_ms, term = START_MS, 1
    schedule = permit_schedule.start(term, now_ms)
    usable = []
    for _ in range(2_000):
        now_ms += rng.choice([0, 1, 5, 30, 200])
        if rng.random() < 0.005:
            term += 1
            schedule = permit_schedule.start(term, now_ms)
        entry = f"e{rng.randrange(5)}"
        permits = ask(
            schedule,
            now_ms,
            rng.randrange(4),
            entry=entry,
            probe=rng.random() < 0.3,
            per_s=per_s,
        )
        usable += [
            (now_ms + delay_ms, now_ms + delay_ms + PERMIT_LIFE_MS)
            for delay_ms in permits.delays_ms
        ]
    # A window sees at most the permits that may be used in it. They are given for
    # times in the window, or before it by their life and what the horizon allows.
    for from_ms, _ in usable:
        end_ms = from_ms + 4_000
        count = sum(a <= end_ms and b >= from_ms for a, b in usable)
        reach_ms = 4_000 + PERMIT_LIFE_MS + HORIZON_MS
        assert count <= per_s * reach_ms / 1000 + 2
