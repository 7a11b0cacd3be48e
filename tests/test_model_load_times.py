"""Plays rarely asked models whose weights are on engines' disks, behind a slow store."""

from cassiapitch import model_load_times
from cassiapitch.backends import Incarnation
from cassiapitch.bundle import Adapter, Model
from cassiapitch.messages import DemandReport, ModelDemand
from cassiapitch.types import Priority
from tests.test_placement_demand import World, play, skewed

STORE_MS = 6_400
DISK_MS = 1_300
CEILING_PER_S = 1.1
HOT = ("m0", "m1", "m2")


def ask(world, name):
    demand = ModelDemand(name, Priority.URGENT, 1, 1, 0, 2_400)
    report = DemandReport("n2", (demand,), ())
    world.coordinator.on_demand(report, world.now_ms)


def play_rare(world, seed):
    world.random.seed(seed)
    return play(skewed(HOT), 40, world)


def rare(loads):
    return [model for _, model in loads if model not in HOT]


def test_rarely_asked_models_come_from_disks_and_not_from_the_store():
    """Guards against callers that leave while the store sends what a disk holds."""
    kept, fetched, from_store = 0, 0, 0
    for seed in range(6):
        with_disks = play_rare(World(STORE_MS, DISK_MS), seed)
        kept += len(rare(with_disks.loads))
        from_store += len(rare(with_disks.store_loads))
        fetched += len(rare(play_rare(World(STORE_MS), seed).loads))
    assert 2 * from_store < kept
    assert kept > 2 * fetched


def test_loads_from_the_store_stay_within_its_rate():
    world = play(skewed(HOT), 40, World(STORE_MS, DISK_MS))
    times_ms = [at_ms for at_ms, _ in world.store_loads]
    for first_ms in times_ms:
        count = sum(first_ms <= at_ms < first_ms + 5_000 for at_ms in times_ms)
        assert count <= CEILING_PER_S * 5 + 1


def test_model_is_loaded_where_its_weights_are():
    """Guards against the engine with the most room and none of the weights."""
    world = World(STORE_MS, DISK_MS)
    play({}, 2, world)
    world.held["e3"].clear()
    world.disks = {name: ["m13"] for name in world.held} | {"e1": ["m12"]}
    play({}, 2, world)
    ask(world, "m12")
    play({}, 3, world)
    assert "m12" in world.held["e1"]


def test_expected_time_is_that_of_the_disk():
    """Guards against a refusal of what a disk loads before the caller leaves."""
    world = World(STORE_MS, DISK_MS)
    play({}, 2, world)
    world.disks = {name: ["m13"] for name in world.held}
    play({}, 2, world)
    ask(world, "m13")
    ask(world, "m12")
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert expected["m13"] <= DISK_MS + 500
    assert expected["m12"] >= STORE_MS


def test_expected_time_of_an_adapter_is_not_that_of_its_loaded_model():
    """Guards against a refusal of adapters that are there within milliseconds."""
    world = World(STORE_MS, adapters=(Adapter("m0/a1", "m0", 1),))
    play({}, 2, world)
    ask(world, "m0/a1")
    expected = world.coordinator.load_reports(world.now_ms).expected_ms
    assert expected["m0/a1"] <= 500


def test_weights_that_a_running_load_may_evict_are_not_at_hand():
    incarnation = Incarnation("e", "e@1", warm_models=("a",), disk_models=("a", "b"))
    model = Model("b", "r", 1, load_ms=900, warm_load_ms=100, disk_load_ms=300)
    assert model_load_times.load_ms(model, incarnation) == 300
    assert model_load_times.load_ms(Model("c", "r", 1, load_ms=900), incarnation) == 900
    world = World(STORE_MS, DISK_MS)
    play({}, 2, world)
    world.held["e0"].clear()
    world.disks = {name: ["m13"] for name in world.held}
    play({}, 2, world)
    ask(world, "m12")
    while not world.busy:
        world.step({})
    (name,) = world.busy
    assert not model_load_times.has_local_weights(world.fleet.lives[name], "m13")
