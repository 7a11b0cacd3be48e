"""Measures placement at target size: 3,600 engines and 1,300 models.

Run it with `python bench/placement_cost.py`. The engines start nearly full, demand
follows a power law over the models, and its ranks change now and then, so that
rounds search for copies to unload. All times are CPU time of this process.
"""

import argparse
import dataclasses
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from cassiapitch.announcements import (
    Announcement,
    LoadedModel,
    SettledOrder,
)
from cassiapitch.bundle import Bundle, Model, Role, Store
from cassiapitch.coordinator import Coordinator
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import BeginTerm
from cassiapitch.messages import (
    DemandReport,
    ModelDemand,
)
from cassiapitch.types import OrderOutcome

ROLE_COUNT = 4
ENGINE_MIB = 640_000
SETTLE_ROUNDS = 3
SHIFT_ROUNDS = 20


class Bench:
    """A fleet of simulated engines that run every order after some rounds."""

    def __init__(self, engine_count: int, model_count: int) -> None:
        self.rng = random.Random(1)
        self.now_ms = 0
        self.fleet = Fleet()
        roles = tuple(
            Role(f"r{number}", "engine", "0" * 64, fencing=number % 2 == 0)
            for number in range(ROLE_COUNT)
        )
        self.models = tuple(
            Model(
                f"m{number}",
                f"r{number % ROLE_COUNT}",
                self.rng.randrange(9_000, 160_000),
            )
            for number in range(model_count)
        )
        store = Store(loads_per_s=100.0, loads_in_flight_count=400)
        self.fleet.set_bundle(Bundle(1, roles, self.models, store=store))
        self.fleet.apply(BeginTerm("t"), 1, 0)
        self.coordinator = Coordinator(self.fleet, "demand", 1, 0)
        self.ranks = list(range(model_count))
        self.announced = [self._first(number) for number in range(engine_count)]
        self.due: dict[str, int] = {}

    def _first(self, number: int) -> Announcement:
        role = f"r{number % ROLE_COUNT}"
        loaded, used_mib = [], 0
        for model in self.rng.sample(self.models, 60):
            if model.role == role and used_mib + model.memory_mib <= ENGINE_MIB:
                used_mib += model.memory_mib
                loaded.append(LoadedModel(model.name, 1, model.memory_mib))
        return Announcement(
            name=f"e{number}",
            life_id=f"life-{number}",
            role=role,
            zone=f"z{number % 5}",
            ip="127.0.0.1",
            port=1,
            memory_mib=ENGINE_MIB,
            max_running_count=256,
            loaded=tuple(loaded),
            running_count=140,
        )

    def announce(self, sequence: int) -> float:
        """All engines announce once; returns the CPU seconds it took."""
        started = time.process_time()
        for announcement in self.announced:
            changed = dataclasses.replace(announcement, sequence=sequence)
            self.coordinator.on_announcement(changed, self.now_ms)
        return time.process_time() - started

    def run_orders(self) -> None:
        """Settles the orders that are due."""
        for order in list(self.fleet.open_orders.values()):
            left = self.due.get(order.order_id, SETTLE_ROUNDS) - 1
            self.due[order.order_id] = left
            if left > 0:
                continue
            number = int(order.backend[1:])
            old = self.announced[number]
            loaded = [item for item in old.loaded if item.model != order.model]
            if order.is_load():
                loaded.append(LoadedModel(order.model, 1, order.memory_mib))
            self.announced[number] = dataclasses.replace(
                old,
                loaded=tuple(loaded),
                settled=(*old.settled, SettledOrder(order.order_id, OrderOutcome.DONE)),
            )

    def ask(self, round_number: int) -> None:
        """Entries report the demand of one second."""
        if round_number % SHIFT_ROUNDS == 0:
            self.rng.shuffle(self.ranks)
        demands = tuple(
            ModelDemand(model.name, "urgent", count, 0, 0, count * 300)
            for model, rank in zip(self.models, self.ranks, strict=True)
            if (count := 20_000 // (rank + 1))
        )
        self.coordinator.on_demand(DemandReport("e", demands, ()), self.now_ms)

    def commit(self) -> float:
        """Proposes and applies what is due; returns the CPU seconds it took."""
        started = time.process_time()
        for command in self.coordinator.commands(self.now_ms):
            self.fleet.apply(command, 1, self.now_ms)
        return time.process_time() - started

    def decide(self) -> tuple[float, int]:
        """Runs one round; returns its CPU seconds and the orders recorded."""
        started = time.process_time()
        orders = self.coordinator.run_placement_round(self.now_ms)
        spent = time.process_time() - started
        if orders is not None:
            self.fleet.apply(orders, 1, self.now_ms)
        self.coordinator.due_attempts(self.now_ms)
        return spent, 0 if orders is None else len(orders.orders)


def describe(name: str, seconds: list[float]) -> str:
    ordered = sorted(seconds)
    median, worst = ordered[len(ordered) // 2], ordered[-1]
    return f"{name}: median {median * 1_000:.1f} ms, worst {worst * 1_000:.1f} ms"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=3_600)
    parser.add_argument("--models", type=int, default=1_300)
    parser.add_argument("--rounds", type=int, default=100)
    options = parser.parse_args()
    bench = Bench(options.engines, options.models)
    rounds, announcements, commits, order_count = [], [], [], 0
    for number in range(options.rounds):
        bench.now_ms += 1_000
        bench.run_orders()
        announcements.append(bench.announce(number + 1))
        commits.append(bench.commit())
        bench.ask(number)
        spent, count = bench.decide()
        rounds.append(spent)
        order_count += count
    copy_count = sum(len(item.loaded) for item in bench.announced)
    print(f"{options.engines} engines, {options.models} models, {copy_count} copies")
    print(f"{order_count} orders in {options.rounds} rounds")
    print(describe("placement round", rounds))
    print(describe("announcements of all engines once", announcements))
    print(describe("commands of one second, made and applied", commits))
    print(f"snapshot: {len(bench.fleet.snapshot())} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
