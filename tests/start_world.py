"""Engines of `scarcity_world` whose models are in demand from the first moment.

Nine busy models have most of the demand, the others have a request now and then. A
third of the models has no copy.
"""

import random

from cassiapitch.bundle import Store
from tests import scarcity_world
from tests.scarcity_world import Deployment, Request, ScarcityWorld

SLOW = Deployment(
    30, 220_000, 101, (65_000, 73_000), (7_800, 8_600), Store(8.5, 70), 240
)
FAST = Deployment(
    30, 230_000, 131, (65_000, 73_000), (1_200, 1_200), Store(8.5, 10), 240
)
BUSY_SHARES = (0.184, 0.147, 0.12, 0.11, 0.092, 0.074, 0.064, 0.046, 0.037)
MODELS_PER_ENGINE = 3
# More requests arrive in these seconds of each twelve.
BURST_RATIO, BURST_S, PERIOD_S = 1.4, (4, 7), 12
DEADLINE_MS = 5_000


class StartWorld(ScarcityWorld):
    """Demand is unknown to the leader when the world begins."""

    def __init__(self, deployment, seed, *, has_copies_by_demand):
        """Starts the engines.

        Args:
            deployment: Sizes.
            seed: Of all draws.
            has_copies_by_demand: Whether busy models have as many copies as their
                demand calls for; otherwise one each.
        """
        self.has_copies_by_demand = has_copies_by_demand
        self.copies_to_place = None
        super().__init__(deployment, seed, changes=False)
        placement = self.coordinator.placement
        placement.relieves_backlogs = placement.loads_by_demand = True

    @property
    def busy(self):
        return self.order[: len(BUSY_SHARES)]

    def shares(self):
        others = self.order[len(BUSY_SHARES) :]
        parts = [1 / (place + 20) for place in range(len(others))]
        left = (1 - sum(BUSY_SHARES)) / sum(parts)
        shares = dict(zip(self.busy, BUSY_SHARES, strict=True))
        return shares | {
            name: left * part for name, part in zip(others, parts, strict=True)
        }

    def _fill(self, name):
        """Places all copies at once, the busiest models first."""
        if self.copies_to_place is not None:
            return
        others = self.order[len(BUSY_SHARES) :]
        self.copies_to_place = self.busy + random.Random(5).sample(others, len(others))
        shares = self.shares()
        loads = dict.fromkeys(self.engines, 0.0)
        for model in self.copies_to_place:
            count = 1
            if self.has_copies_by_demand:
                count = max(1, round(len(self.engines) * shares[model]))
            for _ in range(count):
                free = [
                    engine
                    for engine in self.engines.values()
                    if len(engine.held) < MODELS_PER_ENGINE and model not in engine.held
                ]
                if free:
                    engine = min(free, key=lambda item: loads[item.name])
                    engine.held.add(model)
                    loads[engine.name] += shares[model] / count

    def _arrivals(self):
        rng = self.random
        arrived = [item for at_ms, item in self.retries if at_ms <= self.now_ms]
        self.retries = [item for item in self.retries if item[0] > self.now_ms]
        begin_s, end_s = BURST_S
        is_burst = begin_s <= self.now_ms / 1_000 % PERIOD_S < end_s
        rate = self.deployment.requests_per_s * (BURST_RATIO if is_burst else 1)
        shares = self.shares()
        left_ms = rng.expovariate(rate) * 1_000
        while left_ms < scarcity_world.TICK_MS:
            left_ms += rng.expovariate(rate) * 1_000
            name = rng.choices(list(shares), shares.values())[0]
            tokens = min(6_870, int(rng.lognormvariate(7.3, 0.7)))
            until_ms = self.now_ms + DEADLINE_MS
            rank = rng.choice((0, 0, 4))
            arrived.append(Request(name, rank, tokens, self.now_ms, until_ms))
            self.requested_ms[name].append(self.now_ms)
            self.counts["requests"] += 1
        return arrived

    def copies(self, model):
        return sum(model in engine.held for engine in self.engines.values())

    def on_time_share(self):
        return self.counts["on_time"] / self.counts["requests"]
