"""Tests of a change of the leader under skewed demand."""

from cassiapitch.bundle import Bundle
from cassiapitch.failover_state import FailoverState
from tests.test_placement_demand import World, simulate, skewed

LEASE_MS = 3_000
POPULAR = ("m0", "m1", "m2")


def make_world():
    world = World()
    failover_state = FailoverState(world.fleet, LEASE_MS)
    world.on_report = failover_state.on_demand
    return world, failover_state


def run(world, failover_state, seconds):
    for _ in range(10 * seconds):
        simulate(skewed(POPULAR), 0.1, world)
        failover_state.update_from_fleet(world.now_ms)


def test_models_in_demand_keep_their_copies_after_a_change_of_the_leader():
    """Guards against a new leader that knows no demand."""
    world, failover_state = make_world()
    run(world, failover_state, 25)
    before = {model: world.copies(model) for model in POPULAR}
    world.change_leader(
        demand=failover_state.demand,
        orders_blocked_until_ms=failover_state.orders_blocked_until_ms(),
    )
    # The first reports that reach it happen to be of rarely requested models.
    absent = [model for model in world.models if not world.copies(model)]
    simulate(dict.fromkeys(absent, 0.1), 1, world)
    simulate(skewed(POPULAR), 1, world)
    assert {model: world.copies(model) for model in POPULAR} == before


def test_engine_gets_no_orders_of_two_leaders_within_the_lease():
    """Guards against an engine that gets alternating orders from two leaders."""
    world, failover_state = make_world()
    for _ in range(4):
        run(world, failover_state, 7)
        world.change_leader(
            demand=failover_state.demand,
            orders_blocked_until_ms=failover_state.orders_blocked_until_ms(),
        )
    last_by_engine = {}
    for at_ms, attempt, term in world.sent:
        earlier = last_by_engine.get(attempt.order.backend)
        if earlier is not None and earlier[1] != term:
            assert at_ms - earlier[0] >= LEASE_MS
        last_by_engine[attempt.order.backend] = (at_ms, term)
    assert len({term for _, _, term in world.sent}) > 2


def test_new_leader_orders_engines_at_once_that_nobody_has_ordered():
    """Guards against seconds without orders after each change of the leader."""
    world, failover_state = make_world()
    run(world, failover_state, 20)
    busy = {attempt.order.backend for at_ms, attempt, _ in world.sent if at_ms > 14_000}
    idle = next(name for name in world.held if name not in busy)
    failover_state.update_from_fleet(world.now_ms)
    world.change_leader(
        demand=failover_state.demand,
        orders_blocked_until_ms=failover_state.orders_blocked_until_ms(),
    )
    world.held[idle].clear()
    world._announce(idle)
    begun_ms = world.now_ms
    simulate(skewed(POPULAR), 2, world)
    assert [attempt for at_ms, attempt, _ in world.sent if at_ms > begun_ms]


def test_engine_without_known_attempts_is_held_after_a_snapshot():
    """Guards against a member that learns of an order late and sends its own at once."""
    world, failover_state = make_world()
    run(world, failover_state, 10)
    late = FailoverState(world.fleet, LEASE_MS)
    late.update_from_fleet(world.now_ms)
    ordered = {attempt.order.life_id for _, attempt, _ in world.sent}
    assert late.orders_blocked_until_ms().keys() == ordered
    assert all(
        until_ms > world.now_ms for until_ms in late.orders_blocked_until_ms().values()
    )


def test_demand_is_averaged_as_placement_does_and_forgets_what_is_gone():
    """Guards against rates that change with the leader although demand is constant."""
    world, failover_state = make_world()
    run(world, failover_state, 20)
    placement = world.coordinator.placement
    assert failover_state.demand.decay_ms == placement.demand.decay_ms
    own, collected = placement.demand, failover_state.demand
    rates = [
        (
            own.rate(f"model/{m}", world.now_ms),
            collected.rate(f"model/{m}", world.now_ms),
        )
        for m in POPULAR
    ]
    assert all(abs(a - b) <= 0.1 * a for a, b in rates)
    old = world.fleet.catalog
    models = tuple(model for name, model in old.models.items() if name != "m0")
    roles = tuple(old.roles.values())
    world.fleet.set_bundle(Bundle(old.version + 1, roles, models, store=old.store))
    failover_state.update_from_fleet(world.now_ms)
    assert collected.rate("model/m0", world.now_ms) == 0
