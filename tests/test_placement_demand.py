"""Simulates skewed demand for more models than the engines can hold."""

import random

import pytest

from cassiapitch import placement_waits
from cassiapitch.announcements import Announcement, LoadedModel
from cassiapitch.bundle import Adapter, Bundle, Model, Role, Store
from cassiapitch.coordinator import Coordinator
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import (
    BeginTerm,
    OrderAnswer,
    RecordAnswers,
    RecordBackendLimit,
)
from cassiapitch.messages import DemandReport, InFlight, ModelDemand
from cassiapitch.placement_waits import WaitLog
from cassiapitch.types import OrderKind, Priority, RoleKind

ENGINES_COUNT = 5
LOAD_MS = 1_200
CAPACITY_MIB = 200_000
MODEL_MIB = 66_000
TICK_MS = 50
PREFILL_TOKENS_PER_S = 25_800


DISK_MODELS_COUNT = 5


class World:
    """Simulated engines that hold three models each, with fourteen models in all."""

    def __init__(self, load_ms=LOAD_MS, disk_load_ms=0, adapters=()):
        """Starts the engines.

        Args:
            load_ms: Time that a load from the weight store takes.
            disk_load_ms: Time that a load from an engine's disk takes; the disk keeps
                the models that were loaded last. 0 for engines without such a disk.
            adapters: Adapters of the bundle.
        """
        self.load_ms, self.disk_load_ms = load_ms, disk_load_ms
        self.fleet = Fleet()
        self.models = [f"m{number}" for number in range(14)]
        role = Role(
            "r",
            RoleKind.ENGINE,
            fencing=True,
            memory_limit_mib=CAPACITY_MIB,
            settles_orders=False,
            fills_memory=True,
            reports_load=False,
            unload_delay_ms=200,
            orders_one_by_one=True,
            adapter_places_count=5,
        )
        models = tuple(
            Model(name, "r", MODEL_MIB, load_ms=load_ms, disk_load_ms=disk_load_ms)
            for name in self.models
        )
        self.fleet.set_bundle(
            Bundle(1, (role,), models, tuple(adapters), store=Store(1.1, 2, 16)),
        )
        self._apply(BeginTerm("t"))
        self.coordinator = Coordinator(self.fleet, "demand", self.fleet.term, 0)
        self.held = {
            f"e{number}": {self.models[number], self.models[(number + 5) % 14]}
            for number in range(ENGINES_COUNT)
        }
        self.disks = {
            f"e{number}": [self.models[(number * 3 + i) % 14] for i in range(5)]
            for number in range(ENGINES_COUNT)
        }
        self.sequence = 0
        self.adapters = {name: set() for name in self.held}
        self.declined = []
        # Engines that accept the unload of an adapter and never finish it.
        self.stuck_names = set()
        # Engines that have crashed: they announce nothing and no order reaches them.
        self.crashed_names = set()
        self.loads = []
        self.store_loads = []
        self.busy = {}
        self.now_ms = 0
        self.random = random.Random(4)
        self.on_report = lambda report, now_ms: None
        self.sent = []
        self.next_unload_ms = 300

    def _apply(self, command):
        return self.fleet.apply(command, 1, 0)

    def change_leader(self, **known):
        self._apply(BeginTerm(f"t{self.now_ms}"))
        self.coordinator = Coordinator(
            self.fleet, "demand", self.fleet.term, self.now_ms, **known
        )

    def _announce(self, name):
        if name in self.crashed_names:
            return
        self.sequence += 1
        announcement = Announcement(
            name=name,
            life_id=f"{name}@1",
            role="r",
            zone="z",
            ip="10.0.0.1",
            port=1_000 + int(name[1:]),
            memory_mib=10**9,
            max_running_count=64,
            loaded=tuple(LoadedModel(model, 1) for model in sorted(self.held[name])),
            sequence=self.sequence,
            adapters=tuple(sorted(self.adapters[name])),
            disk_models=tuple(self.disks[name]) if self.disk_load_ms else (),
        )
        self.coordinator.on_announcement(announcement, self.now_ms)

    def step(self, shares):
        self.now_ms += TICK_MS
        for name, (until_ms, kind, model) in list(self.busy.items()):
            if self.now_ms >= until_ms:
                del self.busy[name]
                change = set.add if kind is OrderKind.LOAD else set.discard
                change(self.held[name], model)
                if kind is OrderKind.LOAD:
                    self._keep_on_disk(name, model)
                else:
                    self.adapters[name] = {
                        adapter
                        for adapter in self.adapters[name]
                        if not adapter.startswith(f"{model}/")
                    }
                self._announce(name)
        if self.now_ms % 1_000 == 0:
            for name in self.held:
                self._announce(name)
        demands = tuple(
            ModelDemand(model, Priority.URGENT, 1, 0, 0, 2_400)
            for model, share in shares.items()
            if self.random.random() < share * 25 * TICK_MS / 1_000
        )
        report = DemandReport("n1", demands, (), self._in_flight(shares))
        self.on_report(report, self.now_ms)
        self.coordinator.on_demand(report, self.now_ms)
        if self.now_ms % 500 == 0:
            self.coordinator.load_reports(self.now_ms)
        for command in self.coordinator.commands(self.now_ms):
            self._apply(command)
        orders = self.coordinator.run_placement_round(self.now_ms)
        if orders is not None:
            self._apply(orders)
        for outgoing in self.coordinator.due_attempts(self.now_ms):
            self._handle_order(outgoing)

    def _handle_order(self, outgoing):
        name, order = outgoing.order.backend, outgoing.order
        self.sent.append((self.now_ms, outgoing, self.coordinator.term))
        answer = "accepted"
        if name in self.crashed_names:
            answer = "not_sent"
        elif name in self.busy:
            answer = "busy"
            self.declined.append(order)
        elif order.adapter and not order.is_load() and name in self.stuck_names:
            answer = "accepted"
        elif order.adapter:
            answer = "done"
            change = set.add if order.is_load() else set.discard
            change(self.adapters[name], order.adapter)
        else:
            is_on_disk = self.disk_load_ms and order.model in self.disks[name]
            load_ms = self.disk_load_ms if is_on_disk else self.load_ms
            unload_ms = self.next_unload_ms
            if not order.is_load():
                self.next_unload_ms = 300
            took_ms = load_ms if order.kind is OrderKind.LOAD else unload_ms
            self.busy[name] = (self.now_ms + took_ms, order.kind, order.model)
            if order.kind is OrderKind.LOAD:
                self.loads.append((self.now_ms, order.model))
                if not is_on_disk:
                    self.store_loads.append((self.now_ms, order.model))
                assert len(self.held[name]) < 3
        self.coordinator.on_response(order, outgoing.attempt, answer)
        record = RecordAnswers(
            (OrderAnswer(name, order.order_id, outgoing.attempt, answer),)
        )
        self._apply(record)

    def _keep_on_disk(self, name, model):
        others = [kept for kept in self.disks[name] if kept != model]
        self.disks[name] = [*others, model][-DISK_MODELS_COUNT:]

    def _in_flight(self, shares):
        """Returns requests in flight; prompts wait at engines above 40% of their speed.

        The speed is the number of prompt tokens that an engine reads per second.
        """
        found = []
        for name, held in self.held.items():
            tokens_per_s = sum(
                shares.get(model, 0) * 25 * 2_400 / self.copies(model) for model in held
            )
            usage = tokens_per_s / PREFILL_TOKENS_PER_S
            pending = int(8_000 * usage) if usage > 0.4 else 0
            found.append(InFlight(f"{name}@1", 1 + pending // 2_400, pending))
        return tuple(found)

    def copies(self, model):
        return sum(model in held for held in self.held.values())


def simulate(shares, seconds, world=None):
    world = world or World()
    end_ms = world.now_ms + seconds * 1_000
    while world.now_ms < end_ms:
        world.step(shares)
    return world


def skewed(hot):
    """Returns shares of demand: most for three hot models, the rest spread evenly."""
    cold = [f"m{number}" for number in range(14) if f"m{number}" not in hot]
    shares = dict(zip(hot, (0.5, 0.25, 0.15), strict=True))
    shares.update(dict.fromkeys(cold, 0.1 / len(cold)))
    return shares


def test_hot_model_gets_copies_while_every_model_is_requested():
    """Guards against one engine that serves most of the demand while others idle."""
    world = simulate(skewed(("m0", "m1", "m2")), 20)
    assert world.copies("m0") >= 3
    assert world.copies("m1") >= 2
    late_loads = [model for at_ms, model in world.loads if at_ms > 10_000]
    assert "m0" not in late_loads


def test_rarely_requested_models_stay_reachable_in_turn():
    world = simulate(skewed(("m0", "m1", "m2")), 40)
    served = {model for _, model in world.loads} | set().union(*world.held.values())
    assert served == set(world.models)


def test_copies_follow_a_shift_of_demand():
    world = simulate(skewed(("m0", "m1", "m2")), 20)
    simulate(skewed(("m7", "m8", "m9")), 20, world)
    assert world.copies("m7") >= 3
    assert world.copies("m8") >= 2


def test_model_in_demand_is_loaded_before_rarely_requested_ones():
    """Guards against a queue of cold models ahead of a lost model in demand."""
    world = simulate(skewed(("m0", "m1", "m2")), 15)
    for held in world.held.values():
        held.clear()
    for name in world.held:
        world._announce(name)
    start = len(world.loads)
    simulate(skewed(("m0", "m1", "m2")), 4, world)
    first = [model for _, model in world.loads[start : start + 3]]
    assert "m0" in first


def test_rarely_requested_models_keep_memory_beside_those_in_demand():
    """Guards against a few models that use all memory although they need less."""
    world = simulate(skewed(("m0", "m1", "m2")), 40)
    cold = [f"m{number}" for number in range(3, 14)]
    assert sum(world.copies(model) > 0 for model in cold) >= 4
    assert world.copies("m0") + world.copies("m1") + world.copies("m2") >= 6


def test_low_load_causes_few_loads():
    """Guards against models that displace each other without benefit at low load."""
    calm = {model: share / 10 for model, share in skewed(("m0", "m1", "m2")).items()}
    calm = {
        model: share for model, share in calm.items() if model in MODELS_LOADED_AT_START
    }
    world = simulate(calm, 30)
    assert len(world.loads) <= 5


def place_copies(world, held):
    for number, models in enumerate(held):
        world.held[f"e{number}"] = {f"m{model}" for model in models}
    # Longer than the minimum resident time of a copy.
    simulate({}, 10, world)


ONE_MODEL_EVERYWHERE = [(0, 1, 2), (0, 3, 4), (0, 5, 6), (0, 7, 8), (0, 9, 10)]


@pytest.mark.parametrize("seed", range(5))
def test_only_copy_stays_while_spare_ones_exist_and_demand_is_unknown(seed):
    """Guards against the loss of a model that is about to be in demand: in the first
    seconds of traffic, a rarely requested model could displace its only copy."""
    world = World()
    world.random.seed(seed)
    place_copies(world, ONE_MODEL_EVERYWHERE)
    first = {"m0": 0.2, "m11": 0.1}
    simulate(first, 3, world)
    assert "m11" in [model for _, model in world.loads]
    assert all(world.copies(f"m{number}") for number in range(1, 11))
    for _ in range(3_000 // TICK_MS):
        world.step(skewed(("m5", "m7", "m9")))
        assert all(world.copies(model) for model in ("m5", "m7", "m9"))


def test_spare_copy_is_unloaded_although_requests_wait_for_its_adapter():
    """Guards against waiting adapters that keep all copies of their model, although
    the adapters cannot be loaded."""
    names = [f"m0/a{number}" for number in range(1, 40)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    others = [f"m{number}" for number in range(1, 11)]
    simulate({**dict.fromkeys(names, 0.002), **dict.fromkeys(others, 0.05)}, 8, world)
    before = len(world.loads)
    simulate(
        {**dict.fromkeys(names, 0.002), **dict.fromkeys([*others, "m11"], 0.05)},
        4,
        world,
    )
    assert "m11" in [model for _, model in world.loads[before:]]
    assert world.copies("m0") < 5
    assert all(world.copies(model) for model in others)


def test_model_in_demand_does_not_wait_for_the_longest_response_of_another():
    """Guards against requests that are refused for seconds while a planned engine
    finishes its running requests and others could load at once."""
    world = World()
    place_copies(world, ONE_MODEL_EVERYWHERE)
    shares = {"m0": 0.4, **{f"m{number}": 0.02 for number in range(1, 11)}}
    simulate(shares, 10, world)
    world.next_unload_ms = 20_000
    begun_ms = world.now_ms
    while not world.copies("m11"):
        assert world.now_ms - begun_ms <= 8_000
        simulate({**shares, "m11": 0.3}, 0.05, world)


def test_model_in_demand_does_not_wait_for_an_engine_that_no_order_reaches():
    """Guards against a load that stays planned at an engine that has crashed, while
    others could free the memory for it."""
    demand = {"m0": 0.2, "m11": 0.3}

    def play(crashed_names):
        world = World()
        place_copies(world, ONE_MODEL_EVERYWHERE)
        world.crashed_names = crashed_names
        simulate(demand, 3, world)
        return world

    world = play(set())
    planned_name = next(sent.order.backend for _, sent, _ in world.sent)
    first_load_ms, _ = world.loads[0]
    world = play({planned_name})
    assert world.sent[0][1].order.backend == planned_name
    late_load_ms, model = world.loads[0]
    assert model == "m11"
    # The order was sent in vain once, 200 ms after it was recorded.
    assert late_load_ms <= first_load_ms + 500


def test_no_load_is_ordered_where_another_order_is_under_way():
    """Guards against a model in demand that waits behind a rare model's slow load."""
    world = World(6_400, 1_300)
    simulate(skewed(("m0", "m1", "m2")), 15, world)
    simulate(skewed(("m7", "m8", "m9")), 25, world)
    assert [order for order in world.declined if order.is_load()] == []
    assert world.loads


def test_adapters_are_loaded_where_no_other_order_is_under_way():
    """Guards against requests for an adapter that wait until another model's load is
    done at the same engine."""
    names = [f"m0/a{number}" for number in range(1, 21)]
    world = World(6_400, 1_300, tuple(Adapter(name, "m0", 1) for name in names))
    hot = skewed(("m0", "m1", "m2"))
    simulate(hot, 15, world)
    simulate({**hot, **dict.fromkeys(names, 0.02)}, 25, world)
    declined = [order for order in world.declined if order.adapter]
    assert declined == []
    assert sum(map(len, world.adapters.values())) >= 5


def test_engine_that_never_frees_its_slot_holds_up_no_adapter_elsewhere():
    """Guards against adapters that are never served since one engine is stuck."""
    names = [f"m0/a{number}" for number in range(1, 41)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    world.stuck_names = {"e0", "e1"}
    served = set()
    for group in range(8):
        wanted = names[group * 5 : group * 5 + 5]
        for _ in range(12):
            simulate(dict.fromkeys(wanted, 0.1), 0.25, world)
            served.update(*world.adapters.values())
    assert set(names) - served == set()


@pytest.mark.parametrize("seed", range(10))
def test_models_in_demand_move_away_from_engines_that_stated_a_limit(seed):
    """Guards against refusals for a model whose only copy is at a limited engine,
    while other engines hold models that hardly anyone requests."""
    world = World()
    world.random.seed(seed)
    weights = (25, 18, 13, 10, 8, 6, 5, 4, 3, 3, 2, 1, 1, 1)
    shares = {f"m{number}": weight / 100 for number, weight in enumerate(weights)}
    simulate(shares, 15, world)
    limited = ("e0", "e1")
    for name in limited:
        world._apply(RecordBackendLimit(name, f"{name}@1", 1.0, 0))
    simulate(shares, 15, world)
    unlimited = set().union(*(world.held[name] for name in ("e2", "e3", "e4")))
    assert {f"m{number}" for number in range(6)} <= unlimited


MODELS_LOADED_AT_START = {f"m{number}" for number in range(10)}


def test_wait_for_an_adapter_slot_is_told_with_its_reason():
    """Guards against models that wait while no log line says why."""
    names = [f"m0/a{number}" for number in range(1, 41)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    world.stuck_names = set(world.held)
    simulate(dict.fromkeys(names, 0.05), 6, world)
    waits = world.coordinator.placement.waits
    assert {wait.reason for wait in waits} == {"no_slot"}
    log = WaitLog()
    due = log.due(waits, world.now_ms)
    assert due
    assert due == sorted(due, key=lambda wait: -wait.age_ms)
    assert log.due(waits, world.now_ms + 1) == []
    most = max(wait.tokens_per_s for wait in waits)
    assert most == placement_waits.busiest(waits)[0].tokens_per_s > 0


def test_adapter_is_loaded_soon_after_its_slot_is_free():
    """Guards against slots that stay empty until the next regular round."""
    names = [f"m0/a{number}" for number in range(1, 41)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    simulate(dict.fromkeys(names, 0.02), 20, world)
    freed_ms, delays_ms = {}, []
    for sent_ms, outgoing, _ in world.sent:
        order = outgoing.order
        if order.kind is OrderKind.UNLOAD_ADAPTER:
            freed_ms[order.backend] = sent_ms
        elif order.kind is OrderKind.LOAD_ADAPTER and order.backend in freed_ms:
            delays_ms.append(sent_ms - freed_ms.pop(order.backend))
    assert len(delays_ms) >= 10
    assert max(delays_ms) <= 400


def test_adapter_that_was_just_loaded_stays_until_its_requests_are_served():
    """Guards against adapters that take each other's slots before they serve."""
    names = [f"m0/a{number}" for number in range(1, 41)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    simulate(dict.fromkeys(names, 0.05), 15, world)
    loaded_ms, stays_ms = {}, []
    for sent_ms, outgoing, _ in world.sent:
        order = outgoing.order
        if order.kind is OrderKind.LOAD_ADAPTER:
            loaded_ms[order.backend, order.adapter] = sent_ms
        elif order.kind is OrderKind.UNLOAD_ADAPTER:
            stays_ms.append(sent_ms - loaded_ms[order.backend, order.adapter])
    assert len(stays_ms) >= 20
    assert min(stays_ms) >= 800


def test_slot_of_an_idle_adapter_goes_first():
    """Guards against unloads that wait for running requests, while the engine carries
    out nothing else."""
    names = [f"m0/a{number}" for number in range(1, 41)]
    world = World(adapters=tuple(Adapter(name, "m0", 1) for name in names))
    place_copies(world, ONE_MODEL_EVERYWHERE)
    # Asked for often, but no more.
    simulate(dict.fromkeys(names[:20], 0.3), 4, world)
    in_use = dict.fromkeys(names[20:25], 0.1)
    simulate(in_use, 6, world)
    before = len(world.sent)
    simulate({**in_use, **dict.fromkeys(names[30:36], 0.1)}, 3, world)
    unloaded = {
        outgoing.order.adapter
        for _, outgoing, _ in world.sent[before:]
        if outgoing.order.kind is OrderKind.UNLOAD_ADAPTER
    }
    assert unloaded
    assert not unloaded & set(in_use)
