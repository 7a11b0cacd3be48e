"""Simulates rarely requested models with weights on engines' disks and a slow store."""

from cassiapitch import model_load_times
from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Adapter, Model
from cassiapitch.messages import DemandReport, ModelDemand
from cassiapitch.types import Priority
from tests.test_placement_demand import World, simulate, skewed

STORE_MS = 6_400
DISK_MS = 1_300
STORE_LOADS_PER_S = 1.1
HOT = ("m0", "m1", "m2")


def request_model(world, name):
    demand = ModelDemand(name, Priority.URGENT, 1, 1, 0, 2_400)
    report = DemandReport("n2", (demand,), ())
    world.coordinator.on_demand(report, world.now_ms)


def simulate_rare(world, seed):
    world.random.seed(seed)
    return simulate(skewed(HOT), 40, world)


def rare_models(loads):
    return [model for _, model in loads if model not in HOT]


def test_rarely_requested_models_come_from_disks_and_not_from_the_store():
    """Guards against callers that give up while the slow store sends weights that an
    engine has on its disk."""
    loads_with_disks, loads_without_disks, from_store = 0, 0, 0
    for seed in range(6):
        with_disks = simulate_rare(World(STORE_MS, DISK_MS), seed)
        loads_with_disks += len(rare_models(with_disks.loads))
        from_store += len(rare_models(with_disks.store_loads))
        loads_without_disks += len(
            rare_models(simulate_rare(World(STORE_MS), seed).loads)
        )
    assert 2 * from_store < loads_with_disks
    assert loads_with_disks > 2 * loads_without_disks


def test_loads_from_the_store_stay_within_its_rate():
    world = simulate(skewed(HOT), 40, World(STORE_MS, DISK_MS))
    times_ms = [at_ms for at_ms, _ in world.store_loads]
    for first_ms in times_ms:
        count = sum(first_ms <= at_ms < first_ms + 5_000 for at_ms in times_ms)
        assert count <= STORE_LOADS_PER_S * 5 + 1


def test_model_is_loaded_where_its_weights_are():
    """Guards against the choice of the engine with the most free memory instead of one
    that has the weights."""
    world = World(STORE_MS, DISK_MS)
    simulate({}, 2, world)
    world.held["e3"].clear()
    world.disks = {name: ["m13"] for name in world.held} | {"e1": ["m12"]}
    simulate({}, 2, world)
    request_model(world, "m12")
    simulate({}, 3, world)
    assert "m12" in world.held["e1"]


def test_expected_time_is_that_of_the_disk():
    """Guards against refused requests for a model that a disk loads before the caller
    gives up."""
    world = World(STORE_MS, DISK_MS)
    simulate({}, 2, world)
    world.disks = {name: ["m13"] for name in world.held}
    simulate({}, 2, world)
    request_model(world, "m13")
    request_model(world, "m12")
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert expected["m13"] <= DISK_MS + 500
    assert expected["m12"] >= STORE_MS


def test_expected_time_of_an_adapter_is_not_that_of_its_loaded_model():
    """Guards against refused requests for adapters that load within milliseconds."""
    world = World(STORE_MS, adapters=(Adapter("m0/a1", "m0", 1),))
    simulate({}, 2, world)
    request_model(world, "m0/a1")
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert expected["m0/a1"] <= 500


def test_weights_that_a_running_load_may_evict_do_not_count():
    incarnation = Incarnation("e", "e@1", warm_models=("a",), disk_models=("a", "b"))
    model = Model("b", "r", 1, load_ms=900, warm_load_ms=100, disk_load_ms=300)
    assert model_load_times.load_ms(model, incarnation) == 300
    assert model_load_times.load_ms(Model("c", "r", 1, load_ms=900), incarnation) == 900
    world = World(STORE_MS, DISK_MS)
    simulate({}, 2, world)
    world.held["e0"].clear()
    world.disks = {name: ["m13"] for name in world.held}
    simulate({}, 2, world)
    request_model(world, "m12")
    while not world.busy:
        world.step({})
    (name,) = world.busy
    assert not model_load_times.has_local_weights(world.fleet.lives[name], "m13")
