"""Tests that a model that becomes busy gets copies while its prompts wait."""

import types

import pytest

from cassiapitch import backlog_relief
from cassiapitch.bundle import Store
from cassiapitch.prompt_pacing import EngineLoad, PromptPacing
from tests import scarcity_world
from tests.scarcity_world import Deployment, Request, ScarcityWorld

DEPLOYMENT = Deployment(
    30, 230_000, 131, (65_000, 72_700), (1_200, 1_200), Store(8.5, 10), 200
)
# Demand for the first models; the busiest alone needs more than seven of 30 engines.
SHARES = (0.256, 0.095, 0.071, 0.059, 0.051, 0.046, 0.042, 0.039, 0.036, 0.034) + (
    (0.027,) * 10
)
BATCH_SHARE = 0.16
BATCH_MODELS_COUNT = 81
URGENT_DEADLINE_MS, BATCH_DEADLINE_MS = 5_000, 6_000
SHIFT_MS = 9_000
END_S = 20
SEEDS = (2, 5, 6)
# A load takes 1.2 s and an unload waits for responses, so part of the queue is built up
# before any copy can help.
LATE_RATIO = 2 / 3
NEVER_SERVED_SHARE = 0.1


class ShiftingWorld(ScarcityWorld):
    """Two busy models change places with models in little demand."""

    def __init__(self, seed, relieves_backlogs):
        super().__init__(DEPLOYMENT, seed, changes=False)
        self.coordinator.placement.relieves_backlogs = relieves_backlogs

    def _step(self):
        if self.now_ms == SHIFT_MS:
            for place in (0, 1):
                other = self.random.randrange(5, len(SHARES))
                self.order[place], self.order[other] = (
                    self.order[other],
                    self.order[place],
                )
        super()._step()

    def _arrivals(self):
        rng = self.random
        arrived = [item for at_ms, item in self.retries if at_ms <= self.now_ms]
        self.retries = [item for item in self.retries if item[0] > self.now_ms]
        left_ms = rng.expovariate(self.deployment.requests_per_s) * 1_000
        while left_ms < scarcity_world.TICK_MS:
            left_ms += rng.expovariate(self.deployment.requests_per_s) * 1_000
            is_batch = rng.random() < BATCH_SHARE
            first = len(SHARES)
            name = (
                rng.choice(self.order[first : first + BATCH_MODELS_COUNT])
                if is_batch
                else rng.choices(self.order[:first], SHARES)[0]
            )
            tokens = min(6_870, int(rng.lognormvariate(7, 0.8)))
            wait_ms = BATCH_DEADLINE_MS if is_batch else URGENT_DEADLINE_MS
            arrived.append(
                Request(
                    name,
                    4 if is_batch else 0,
                    tokens,
                    self.now_ms,
                    self.now_ms + wait_ms,
                )
            )
            self.requested_ms[name].append(self.now_ms)
        return arrived


def test_fewer_requests_wait_in_queues_of_a_few_engines_while_others_idle():
    """Guards against copies that follow a shift of demand so late, or in so small a
    number, that prompts wait beyond the objective while engines are free."""
    late_counts = {True: 0, False: 0}
    for seed in SEEDS:
        for relieves_backlogs in late_counts:
            world = ShiftingWorld(seed, relieves_backlogs).run(END_S)
            late_counts[relieves_backlogs] += world.counts["late_queue"]
            # What is requested seldom stays reachable.
            never_served_limit = 1 + NEVER_SERVED_SHARE * len(world.counted())
            assert len(world.starved()) <= never_served_limit
    assert late_counts[True] <= LATE_RATIO * late_counts[False]


def test_prompts_that_wait_for_permits_are_part_of_the_backlog():
    """Guards against a model that keeps one engine, since its prompts are held back
    before it and refused for their wait while others are idle."""
    world = ScarcityWorld(DEPLOYMENT, 0, changes=False).run(1)
    pacing = world.coordinator.prompt_pacing = PromptPacing()
    backlogs = world.coordinator.placement.backlogs
    now_ms, load = world.now_ms, EngineLoad("e0@1", "r", 20_000, 400)
    pacing.tick([load], now_ms, {"r": 20.0})
    assert pacing.pace(load.life_id) is not None

    def report(waits_ms):
        nonlocal now_ms
        for _ in range(10):
            now_ms += 1_000
            for wait_ms in waits_ms:
                pacing.record_permits(load.life_id, 0, wait_ms, now_ms)
            world.coordinator.load_reports(now_ms)

    report([])
    before = backlogs[load.life_id]
    report([300, 600] * 5)
    assert backlogs[load.life_id] >= before + backlog_relief.SATURATED_BACKLOG_TOKENS
    report([])
    assert backlogs[load.life_id] == pytest.approx(before, abs=500)


def make_survey(backlogs, engines_count=10):
    """Returns placement state and survey of a model "m" with a copy on each engine."""
    catalog = types.SimpleNamespace(role_of=lambda key: "r")
    state = types.SimpleNamespace(
        backlogs=backlogs,
        relieves_backlogs=True,
        fleet=types.SimpleNamespace(catalog=catalog),
    )
    incarnations = [types.SimpleNamespace(life_id=life_id) for life_id in backlogs]
    survey = types.SimpleNamespace(
        copies={"m": incarnations},
        engines_by_role={"r": [None] * engines_count},
        effective_copies=lambda key: len(incarnations),
    )
    return state, survey


@pytest.mark.parametrize(
    ("backlogs", "needed_count"),
    [((4_000, 900), 0), ((4_000, 1_000), 5), ((10_000,), 8), ((90_000,), 8), ((), 0)],
)
def test_needed_copies_follow_share_of_demand_and_mean_backlog(backlogs, needed_count):
    """Guards against copies for prompts that don't wait, and against too few while a
    backlog grows."""
    state, survey = make_survey(dict(enumerate(backlogs)))
    needed = backlog_relief.needed_copies(state, survey, "m", 0.4)
    assert (needed.most if needed else 0) == pytest.approx(needed_count)
    assert needed is None or needed.by_demand == pytest.approx(4)


def test_model_lacks_copies_only_with_a_backlog_and_by_a_whole_one():
    """Guards against first copies that are put off for a part of a further one."""
    state, survey = make_survey({"a": 4_000, "b": 1_000})
    assert backlog_relief.lacks_copies(state, survey, "m", 3.0)
    assert not backlog_relief.lacks_copies(state, survey, "m", 2.9)
    state.relieves_backlogs = False
    assert not backlog_relief.lacks_copies(state, survey, "m", 3.0)
    state, survey = make_survey({"a": 4_000, "b": 900})
    assert not backlog_relief.lacks_copies(state, survey, "m", 3.0)


def test_engines_with_a_backlog_get_copies_only_if_each_has_one():
    """Guards against loads that make a long queue longer."""
    engines = [
        types.SimpleNamespace(incarnation=types.SimpleNamespace(life_id=life_id))
        for life_id in ("busy", "free", "unknown")
    ]
    state, _ = make_survey({"busy": 2_500.0, "free": 2_499.0})
    assert backlog_relief.free_engines(state, engines) == engines[1:]
    assert backlog_relief.free_engines(state, engines[:1]) == engines[:1]
