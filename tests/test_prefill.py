"""Plays bursts of prompts against emulated engines that read one after the other."""

import random

from cassiapitch.prefill import PrefillEstimates, begins_in_time
from cassiapitch.routing import Router
from cassiapitch.types import Priority
from cassiapitch.viewitems import BackendItem

SPEED = 25.8
LIMIT_MS = 2_400


class Engine:
    """Reads prompts in order at a fixed speed."""

    def __init__(self, name, speed=SPEED):
        self.item = BackendItem(
            name, f"{name}@1", "r", "z", "10.0.0.1", 1, "serving", ("m",), (), 64
        )
        self.speed, self.free_ms = speed, 0.0

    def read(self, tokens, now_ms):
        self.free_ms = max(self.free_ms, now_ms) + tokens / self.speed
        return self.free_ms


def play(engines, *, per_s, seconds, is_checked, tokens=2_400):
    """Sends prompts; returns (begun in time, begun late, refused)."""
    router = Router("least_cost", "z", random.Random(3))
    items = [engine.item for engine in engines]
    by_name = {engine.item.name: engine for engine in engines}
    pending, outcome = [], [0, 0, 0]
    for number in range(int(per_s * seconds)):
        now_ms = int(number * 1_000 / per_s)
        for entry in [one for one in pending if one[0] <= now_ms]:
            pending.remove(entry)
            router.prefill.first_byte_received(entry[1], entry[2], int(entry[0]))
            router.ended(entry[1])
        least_ms = min(router.expected_ms(one, tokens, now_ms) for one in items)
        if is_checked and not begins_in_time(least_ms, LIMIT_MS):
            outcome[2] += 1
            continue
        item = router.choose(items, Priority.URGENT, (), now_ms, tokens)
        if item is None:
            outcome[2] += 1
            continue
        begun_ms = by_name[item.name].read(tokens, now_ms)
        router.started(item.life_id)
        router.prefill.prompt_sent(item.life_id, f"q{number}", tokens, now_ms)
        pending.append((begun_ms, item.life_id, f"q{number}"))
        outcome[0 if begun_ms - now_ms <= LIMIT_MS else 1] += 1
    return outcome


def test_overload_is_refused_at_once_and_the_rest_begins_in_time():
    """Guards against an overload in which every caller leaves before its answer."""
    load = {"per_s": 30, "seconds": 30}
    in_time, late, refused = play([Engine("a"), Engine("b")], is_checked=True, **load)
    unchecked = play([Engine("a"), Engine("b")], is_checked=False, **load)
    capacity = 2 * SPEED * 1_000 / 2_400 * 30
    assert in_time > 0.85 * capacity
    assert late < 0.05 * 900
    assert refused > 0
    assert in_time > 2 * unchecked[0]


def test_load_that_fits_is_never_refused():
    _, late, refused = play(
        [Engine("a"), Engine("b")], per_s=18, seconds=30, is_checked=True
    )
    assert (late, refused) == (0, 0)


def test_slow_engine_gets_its_share_only():
    """Guards against prompts that wait at a slow engine beside idle ones."""
    engines = [Engine("a"), Engine("b"), Engine("c", SPEED / 5)]
    in_time, _, _ = play(engines, per_s=18, seconds=30, is_checked=True)
    assert in_time > 0.97 * 540


def test_other_entries_backlog_counts_until_it_is_read():
    estimates = PrefillEstimates()
    estimates.prompt_sent("a", "q", 1_000, 0)
    estimates.first_byte_received("a", "q", 60)
    alone_ms = estimates.expected_ms("a", 1_000, 100)
    estimates.report("a", 10_000, 100)
    assert estimates.expected_ms("a", 1_000, 100) > 5 * alone_ms
    assert estimates.expected_ms("a", 1_000, 2_000) == alone_ms
