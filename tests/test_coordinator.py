"""Tests of one controller term's decisions."""

import pytest

from cassiapitch.messages import (
    DemandReport,
)
from tests import fleet_world
from tests.fleet_world import World

MODELS_OF_EQUAL_SIZE = {"a": 30, "b": 30, "c": 30}


def make_world(sizes=(100,), models=MODELS_OF_EQUAL_SIZE, fencing=True):
    world = World(fencing=fencing, seed=1, sizes=sizes)
    world.roll(models, {})
    world.run(2_000)
    return world


def server_state(world):
    return world.fleet.view_items()["backend/e0"].state


def report_refused(world, entry):
    report = DemandReport(entry, (), ("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)


def test_silent_server_is_suspected_after_two_seconds_and_down_after_ten():
    """Guards against work for a dead server, and against haste."""
    world = make_world()
    world.engines[0].is_silent = True
    world.run(1_800)
    assert server_state(world) == "serving"
    world.run(400)
    assert server_state(world) == "suspected"
    world.run(8_000)
    assert server_state(world) == "down"
    world.engines[0].is_silent = False
    world.run(700)
    assert server_state(world) == "serving"


def test_refused_connections_count_from_two_entries():
    """Guards against one entry's broken network that takes a server away."""
    world = make_world()
    report_refused(world, "n1")
    report_refused(world, "n1")
    world.run(200)
    assert server_state(world) == "serving"
    report_refused(world, "n2")
    world.run(100)
    assert server_state(world) == "suspected"
    world.run(2_000)
    assert server_state(world) == "serving"


def test_server_that_says_in_an_answer_that_it_leaves_leaves_for_all_entries():
    """Guards against the other entries' requests to a server that leaves before it
    tells the control group, and against its heartbeats that say otherwise."""
    world = make_world()
    assert server_state(world) == "serving"
    report = DemandReport("n1", (), (), leaving_backends=("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)
    world.run(1_500)
    assert server_state(world) == "leaving"
    world.run(3_000)
    assert server_state(world) == "leaving"


def test_next_life_follows_after_silence_and_late_announcements_do_nothing():
    """Guards against a late announcement that displaces the current life."""
    world = make_world()
    engine = world.engines[0]
    late = engine.announcement()
    engine.start()
    world.run(1_500)
    assert world.fleet.lives["e0"].life_id == "e0-1"
    world.run(1_500)
    assert world.fleet.lives["e0"].life_id == "e0-2"
    world.coordinator.on_announcement(late, world.now_ms)
    world.run(1_000)
    assert world.fleet.lives["e0"].life_id == "e0-2"


def test_fencing_engine_gets_its_orders_one_after_the_other():
    """Guards against an order that arrives after a higher fence and is stale."""
    world = make_world()
    world.order_faults = ["lost"]
    for name in ("a", "b"):
        world.ask(name, 1)
    world.run(1_500)
    assert len(world.fleet.open_orders) == 2
    assert world.engines[0].memory.fence == (0, 0)
    world.run(8_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a", "b")
    assert list(world.engines[0].memory.settled) == ["o1", "o2"]


@pytest.mark.parametrize("fencing", [True, False])
def test_unload_is_sent_after_the_entries_view(fencing):
    """Guards against requests to a model that has just been unloaded."""
    world = make_world((40,), fencing=fencing)
    world.ask("a", 1)
    world.run(35_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a",)
    world.run(30_000)
    world.ask("b", 1)
    while world.fleet.view_items()["backend/e0"].models:
        world.run(100)
    gone_ms = world.now_ms
    while world.engines[0].memory.residents:
        world.run(100)
    assert world.now_ms - gone_ms >= 2_000


def test_order_without_an_answer_is_sent_again_soon(monkeypatch):
    """Guards against models that wait for seconds behind orders that engines leave
    unanswered and carry out late."""
    monkeypatch.setattr(fleet_world, "RESPONSE_TIMEOUT_MS", 400)
    world = make_world()
    world.order_faults = ["late"] * 2
    world.ask("a", 1)
    begun_ms = world.now_ms
    while "a" not in world.served:
        world.run(100)
        assert world.now_ms - begun_ms < 10_000
    # Two answers that don't come, and the pauses behind them.
    lost_ms = 2 * 400 + 400 + 800
    assert world.now_ms - begun_ms < lost_ms + 2_500


def test_expected_time_counts_down_and_covers_the_waiting_list():
    """Guards against entries that don't know whether waiting makes sense."""
    world = make_world()
    world.coordinator.placement.store_tokens = -10.0
    world.ask("a", 1)
    world.run(100)
    world.ask("b", 1)
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert 0 < expected["a"] < expected["b"]
    assert "c" not in expected
    world.run(10_000)
    assert world.coordinator.load_reports(world.now_ms).expected_ms == {}


def test_new_leader_tells_no_count_of_entries_before_all_have_reported():
    """Guards against a restarted entry that takes the limit of all for that of few."""
    world = make_world()
    world.change_leader()
    report_refused(world, "entry-1")
    assert world.coordinator.load_reports(world.now_ms).entries_count == 0
    for number in range(40):
        report_refused(world, f"entry-{number}")
    world.run(2_000)
    assert world.coordinator.load_reports(world.now_ms).entries_count >= 40


def test_load_reports_are_given_once():
    """Guards against entries that take an old report for a new one."""
    world = make_world()
    reports = world.coordinator.load_reports(world.now_ms).reports
    assert [report.name for report in reports] == ["e0"]
    assert world.coordinator.load_reports(world.now_ms).reports == ()


def test_lost_proposals_are_decided_anew():
    """Guards against a change that is thought recorded and isn't."""
    world = make_world()
    world.engines[0].memory.leaving = True
    world.lost_proposals = 1
    world.run(1_500)
    assert server_state(world) == "leaving"


def test_round_comes_early_for_what_is_new_and_not_served():
    """Guards against adapters that wait mostly for the round, and idle rounds."""
    world = make_world()
    world.run(100 + -world.now_ms % 1_000)
    world.ask("a", 1)
    world.run(300)
    assert [order.model for order in world.fleet.open_orders.values()] == ["a"]
    world.run(5_000)
    demand = world.coordinator.placement.demand
    world.ask("a", 1)
    while demand.waiting():
        world.tick()
    # The round that has just been was the regular one, so the next is a second away.
    world.ask("a", 1)
    world.run(500)
    assert demand.waiting()
