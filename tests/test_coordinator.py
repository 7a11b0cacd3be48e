"""Tests of the coordinator's decisions during one controller term."""

import pytest

from cassiapitch.messages import (
    DemandReport,
)
from tests import fleet_world
from tests.fleet_world import World

MODELS_OF_EQUAL_SIZE = {"a": 30, "b": 30, "c": 30}


def make_world(sizes=(100,), models=MODELS_OF_EQUAL_SIZE, fencing=True):
    world = World(fencing=fencing, seed=1, sizes=sizes)
    world.roll_out_bundle(models, {})
    world.run(2_000)
    return world


def server_state(world):
    return world.fleet.view_items()["backend/e0"].state


def report_refused(world, entry):
    report = DemandReport(entry, (), ("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)


def test_silent_server_is_suspected_after_two_seconds_and_down_after_ten():
    """Guards against requests to a dead server, and against a hasty suspicion."""
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
    """Guards against suspecting a server because one entry's network is broken."""
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


@pytest.mark.parametrize("entries_count", [13, 650])
def test_reports_of_a_few_entries_of_many_take_no_running_server_from_all(
    entries_count,
):
    world = make_world()
    for number in range(entries_count):
        report = DemandReport(f"n{number}", (), ())
        world.coordinator.on_demand(report, world.now_ms)
    for number in range(entries_count // 4):
        report_refused(world, f"n{number}")
    world.run(200)
    assert server_state(world) == "serving"
    for number in range(entries_count // 2):
        report_refused(world, f"n{number}")
    world.run(100)
    assert server_state(world) == "suspected"


def test_server_that_says_in_an_answer_that_it_leaves_leaves_for_all_entries():
    """Guards against requests of other entries to a server that told only one of them
    that it leaves, while its heartbeats still say that it stays."""
    world = make_world()
    assert server_state(world) == "serving"
    report = DemandReport("n1", (), (), leaving_backends=("e0-1",))
    world.coordinator.on_demand(report, world.now_ms)
    world.run(1_500)
    assert server_state(world) == "leaving"
    world.run(3_000)
    assert server_state(world) == "leaving"


def test_next_incarnation_follows_after_silence_and_late_announcements_do_nothing():
    """Guards against a late announcement that replaces the current incarnation."""
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
    """Guards against an order that is rejected as stale, since it arrives after a
    later order with a higher fence."""
    world = make_world()
    world.order_faults = ["lost"]
    for name in ("a", "b"):
        world.report_demand(name, 1)
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
    world.report_demand("a", 1)
    world.run(35_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a",)
    world.run(30_000)
    world.report_demand("b", 1)
    while world.fleet.view_items()["backend/e0"].models:
        world.run(100)
    removed_ms = world.now_ms
    while world.engines[0].memory.residents:
        world.run(100)
    assert world.now_ms - removed_ms >= 2_000


def test_order_without_an_answer_is_sent_again_soon(monkeypatch):
    """Guards against models that load seconds late because engines don't answer the
    first attempts of their orders and run them late."""
    monkeypatch.setattr(fleet_world, "RESPONSE_TIMEOUT_MS", 400)
    world = make_world()
    world.order_faults = ["late"] * 2
    world.report_demand("a", 1)
    start_ms = world.now_ms
    while "a" not in world.served:
        world.run(100)
        assert world.now_ms - start_ms < 10_000
    # Two response timeouts and the retry delays after them.
    retries_ms = 2 * 400 + 400 + 800
    assert world.now_ms - start_ms < retries_ms + 2_500


def test_expected_time_counts_down_and_covers_the_waiting_list():
    """Guards against entries that can't tell whether a request should wait."""
    world = make_world()
    world.coordinator.placement.store_tokens = -10.0
    world.report_demand("a", 1)
    world.run(100)
    world.report_demand("b", 1)
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert 0 < expected["a"] < expected["b"]
    assert "c" not in expected
    world.run(10_000)
    assert world.coordinator.load_reports(world.now_ms).expected_ms == {}


def test_new_leader_tells_no_count_of_entries_before_all_have_reported():
    """Guards against a restarted entry that takes too much of a limit, because a new
    leader counts only the entries that have reported to it so far."""
    world = make_world()
    world.change_leader()
    report_refused(world, "entry-1")
    assert world.coordinator.load_reports(world.now_ms).entries_count == 0
    for number in range(40):
        report_refused(world, f"entry-{number}")
    world.run(2_000)
    assert world.coordinator.load_reports(world.now_ms).entries_count >= 40


def test_load_reports_are_given_once():
    """Guards against entries that treat an old report as a new one."""
    world = make_world()
    reports = world.coordinator.load_reports(world.now_ms).reports
    assert [report.name for report in reports] == ["e0"]
    assert world.coordinator.load_reports(world.now_ms).reports == ()


def test_lost_proposals_are_decided_anew():
    """Guards against a change that the coordinator wrongly takes for recorded."""
    world = make_world()
    world.engines[0].memory.leaving = True
    world.lost_proposals = 1
    world.run(1_500)
    assert server_state(world) == "leaving"


def test_round_comes_early_for_what_is_new_and_not_served():
    """Guards against adapters whose delay is mostly the wait for the next placement
    round, and against rounds without need."""
    world = make_world()
    world.run(100 + -world.now_ms % 1_000)
    world.report_demand("a", 1)
    world.run(300)
    assert [order.model for order in world.fleet.open_orders.values()] == ["a"]
    world.run(5_000)
    demand = world.coordinator.placement.demand
    world.report_demand("a", 1)
    while demand.waiting():
        world.tick()
    # The last round was a regular one, so the next one is a second away.
    world.report_demand("a", 1)
    world.run(500)
    assert demand.waiting()
