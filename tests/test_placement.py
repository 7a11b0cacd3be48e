"""Tests of the placement policy on the simulated fleet."""

import pytest

from cassiapitch.fleet_commands import NewOrder, RecordOrders
from tests.fleet_world import STORE, World

# Hold 20 s, residence 30 s, plan and load 10 s: the design's steps for one model.
REACHED_S = 60


def make_world(sizes, models, adapters=None, minimum=None, fencing=True):
    world = World(fencing=fencing, seed=1, sizes=sizes)
    world.roll_out_bundle(models, adapters or {}, minimum)
    world.run(2_000)
    return world


def seconds_until_served(world, name, limit_s=600):
    world.served = set()
    world.report_demand(name, 1)
    for second in range(limit_s):
        if name in world.served:
            return second
        world.run(1_000)
    return limit_s


@pytest.mark.parametrize("fencing", [True, False])
def test_cold_model_is_reached_while_others_are_hot(fencing):
    """Guards against hot models that keep all memory for themselves."""
    world = make_world((100, 100), {"a": 60, "b": 60, "c": 60}, fencing=fencing)
    world.demand_by_name = {"a": 100, "b": 1_000}
    world.run(60_000)
    assert seconds_until_served(world, "c") <= REACHED_S


def test_expected_time_counts_the_hysteresis():
    """Guards against requests that wait until their deadline for a model that no
    engine may load before."""
    world = make_world((100,), {"a": 60, "b": 60}, adapters={"b1": 10})
    world.demand_by_name = {"a": 100}
    world.report_demand("a", 1)
    world.run(10_000)
    world.report_demand("b1", 1)
    world.run(2_000)
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert expected["b"] >= 15_000
    assert expected["b1"] >= 15_000


def test_large_model_is_reached_among_small_ones():
    """Guards against small models that take every freed piece of an engine."""
    small = dict.fromkeys("abcde", 30)
    world = make_world((100,), {**small, "f": 100})
    world.demand_by_name = dict.fromkeys("abcde", 100)
    world.run(90_000)
    assert seconds_until_served(world, "f") <= 2 * REACHED_S


def test_waiting_list_goes_by_age():
    """Guards against a cold model that waits behind every hotter one."""
    world = make_world((100,), {"a": 60, "b": 60})
    world.coordinator.placement.store_tokens = -3.0
    world.report_demand("a", 1)
    world.run(1_000)
    world.report_demand("b", 1_000)
    world.run(4_000)
    assert world.fleet.view_items()["backend/e0"].models == ("a",)


def test_second_copy_goes_to_another_zone():
    """Guards against both copies lost with one zone."""
    world = make_world((100, 90, 100), {"a": 40})
    world.demand_by_name = {"a": 100}
    for engine in world.engines:
        engine.running_count = 8
    copies = []
    while len(copies) < 2 and world.now_ms < 60_000:
        world.tick()
        copies = [engine for engine in world.engines if engine.memory.residents]
    assert {engine.zone for engine in copies} == {"z0", "z1"}


def test_steady_demand_moves_nothing():
    """Guards against copies that move to and fro without a gain."""
    world = make_world((100, 100), {"a": 50, "b": 50, "c": 50, "d": 50})
    world.demand_by_name = {"a": 10, "b": 20, "c": 30, "d": 40}
    world.run(120_000)
    loaded = [dict(engine.memory.residents) for engine in world.engines]
    count = len(world.engines[0].memory.settled) + len(world.engines[1].memory.settled)
    world.run(300_000)
    assert [dict(engine.memory.residents) for engine in world.engines] == loaded
    settled = [len(engine.memory.settled) for engine in world.engines]
    assert sum(settled) == count


def test_small_gain_adds_no_copy():
    """Guards against moves that are worth less than the ratio of section 8."""
    world = make_world((100, 100), {"a": 50, "b": 50})
    for engine in world.engines:
        engine.running_count = 8
    world.demand_by_name = {"a": 50, "b": 30}
    world.run(60_000)
    assert [len(engine.memory.residents) for engine in world.engines] == [1, 1]
    # Tenfold demand for one of them is worth a copy.
    world.demand_by_name = {"a": 500, "b": 30}
    world.run(60_000)
    assert all(engine.memory.holds("a") for engine in world.engines)


def test_rolled_bundle_replaces_models_within_the_memory():
    """Guards against overcommit and early unloads while two bundles meet."""
    world = make_world((100,), {"a": 60}, minimum="a")
    world.run(5_000)
    world.roll_out_bundle({"b": 70}, {}, "b")
    assert world.fleet.view_items()["backend/e0"].models == ()
    world.run(1_500)
    assert not world.fleet.open_orders
    world.run(20_000)
    assert world.fleet.view_items()["backend/e0"].models == ("b",)
    # A changed size leaves the loaded copy and its charge as they were ordered.
    world.roll_out_bundle({"b": 20}, {}, "b")
    world.run(5_000)
    assert world.fleet.lives["e0"].charged_mib == 70


def test_adapter_finds_an_engine_with_room_for_both():
    """Guards against an adapter whose model sits where nothing more fits."""
    world = make_world((70, 100), {"d": 70, "a": 60}, {"d-x": 20})
    for name in ("a", "d"):
        assert seconds_until_served(world, name) <= REACHED_S
    assert seconds_until_served(world, "d-x") <= 2 * REACHED_S


def test_adapters_load_within_their_limit():
    """Guards against adapter loads that slow each other down; the oracle counts."""
    adapters = {f"a-{number}": 5 for number in range(12)}
    world = make_world((100,), {"a": 30}, adapters, fencing=False)
    assert seconds_until_served(world, "a") <= REACHED_S
    most = 0
    for _ in range(200):
        world.tick()
        most = max(most, world.engines[0].memory.loading_count(is_adapter=True))
    assert most == STORE.adapters_in_flight_count
    assert set(adapters) <= world.served


def test_fixed_baseline_ignores_demand():
    """Guards against a baseline that adapts, which would make it no baseline."""
    world = make_world((100, 100), {"a": 60, "b": 60})
    world.coordinator.placement.policy = "fixed"
    world.run(20_000)
    before = [set(engine.memory.residents) for engine in world.engines]
    world.demand_by_name = {"a": 1_000}
    world.run(90_000)
    assert [set(engine.memory.residents) for engine in world.engines] == before
    assert {"a", "b"} <= world.served


def test_store_rate_starts_empty_after_a_leader_change():
    """Guards against twice the store's rate when leaders change often."""
    world = make_world((100,), {name: 10 for name in "abcdef"})
    for _ in range(8):
        world.change_leader()
        for name in "abcdef":
            world.report_demand(name, 1)
        # Less than one load's share of the rate passes in each term.
        world.run(300)
        assert not world.fleet.open_orders
    world.run(2_000)
    assert world.fleet.open_orders or world.served


def test_round_of_a_deposed_leader_is_refused():
    """Guards against orders decided on a state that is no longer true."""
    world = make_world((100,), {"a": 60})
    old = world.coordinator.term
    world.change_leader()
    new = NewOrder("load", "e0", "e0-1", "model/a")
    assert world.fleet.apply(RecordOrders(old, (new,)), 0, 0).refused
    assert not world.fleet.apply(RecordOrders(old + 1, (new,)), 0, 0).refused
