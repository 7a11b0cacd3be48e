"""Measures placement at target size: 3,600 engines and 1,300 models.

Run it with `python bench/placement_cost.py`. The engines start nearly full, demand
follows a power law over the models, and the models' ranks are shuffled periodically,
so that rounds must search for copies to unload. All times are CPU time of this process.
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
ROUNDS_PER_ORDER = 3
ROUNDS_PER_SHIFT = 20


class PlacementBench:
    """A fleet of simulated engines that complete each order after some rounds."""

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
        self.latest_announcements = [
            self._make_announcement(number) for number in range(engine_count)
        ]
        self.rounds_left: dict[str, int] = {}

    def _make_announcement(self, number: int) -> Announcement:
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
        """Handles one announcement of each engine; returns the CPU seconds used."""
        start_s = time.process_time()
        for announcement in self.latest_announcements:
            changed = dataclasses.replace(announcement, sequence=sequence)
            self.coordinator.on_announcement(changed, self.now_ms)
        return time.process_time() - start_s

    def run_orders(self) -> None:
        """Completes the orders whose rounds have passed."""
        for order in list(self.fleet.open_orders.values()):
            remaining = self.rounds_left.get(order.order_id, ROUNDS_PER_ORDER) - 1
            self.rounds_left[order.order_id] = remaining
            if remaining > 0:
                continue
            number = int(order.backend[1:])
            previous = self.latest_announcements[number]
            loaded = [item for item in previous.loaded if item.model != order.model]
            if order.is_load():
                loaded.append(LoadedModel(order.model, 1, order.memory_mib))
            self.latest_announcements[number] = dataclasses.replace(
                previous,
                loaded=tuple(loaded),
                settled=(
                    *previous.settled,
                    SettledOrder(order.order_id, OrderOutcome.DONE),
                ),
            )

    def report_demand(self, round_number: int) -> None:
        """Reports the demand of one second, as entries do."""
        if round_number % ROUNDS_PER_SHIFT == 0:
            self.rng.shuffle(self.ranks)
        demands = tuple(
            ModelDemand(model.name, "urgent", count, 0, 0, count * 300)
            for model, rank in zip(self.models, self.ranks, strict=True)
            if (count := 20_000 // (rank + 1))
        )
        self.coordinator.on_demand(DemandReport("e", demands, ()), self.now_ms)

    def apply_commands(self) -> float:
        """Makes and applies the commands that are due; returns the CPU seconds used."""
        start_s = time.process_time()
        for command in self.coordinator.commands(self.now_ms):
            self.fleet.apply(command, 1, self.now_ms)
        return time.process_time() - start_s

    def run_placement_round(self) -> tuple[float, int]:
        """Runs one round; returns its CPU seconds and the number of new orders."""
        start_s = time.process_time()
        orders = self.coordinator.run_placement_round(self.now_ms)
        cpu_s = time.process_time() - start_s
        if orders is not None:
            self.fleet.apply(orders, 1, self.now_ms)
        self.coordinator.due_attempts(self.now_ms)
        return cpu_s, 0 if orders is None else len(orders.orders)


def describe(name: str, seconds: list[float]) -> str:
    sorted_s = sorted(seconds)
    median, worst = sorted_s[len(sorted_s) // 2], sorted_s[-1]
    return f"{name}: median {median * 1_000:.1f} ms, worst {worst * 1_000:.1f} ms"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--engines", type=int, default=3_600)
    parser.add_argument("--models", type=int, default=1_300)
    parser.add_argument("--rounds", type=int, default=100)
    options = parser.parse_args()
    bench = PlacementBench(options.engines, options.models)
    round_times_s, announce_times_s, command_times_s, order_count = [], [], [], 0
    for number in range(options.rounds):
        bench.now_ms += 1_000
        bench.run_orders()
        announce_times_s.append(bench.announce(number + 1))
        command_times_s.append(bench.apply_commands())
        bench.report_demand(number)
        cpu_s, count = bench.run_placement_round()
        round_times_s.append(cpu_s)
        order_count += count
    copy_count = sum(len(item.loaded) for item in bench.latest_announcements)
    print(f"{options.engines} engines, {options.models} models, {copy_count} copies")
    print(f"{order_count} orders in {options.rounds} rounds")
    print(describe("placement round", round_times_s))
    print(describe("announcements of all engines once", announce_times_s))
    print(describe("commands of one second, made and applied", command_times_s))
    print(f"snapshot: {len(bench.fleet.snapshot())} bytes")
    return 0


if __name__ == "__main__":
    sys.exit(main())
