"""Prefers backend servers to which an entry has an idle connection.

Many entries in front of many backend servers rarely send twice to the same one before
its connection has been idle for too long. Most requests then open a connection.
"""

import random
import statistics
from collections.abc import Callable, Collection, Mapping, Sequence

from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# Backend servers that cost at most this much more count as equally good, in requests in
# flight. It is the cost of one prompt of 100 ms, and load reports always lack some.
EQUAL_COST = 4.0
# The same for the part of the cost that doesn't depend on load: less than the cost of
# another zone, or of a failure within the last 16 s.
EQUAL_FIXED_COST = 0.25
# Speeds that differ by at most this factor count as equal. Were a slow server replaced
# by a fast one, fast ones would get more than their share: they have more connections.
EQUAL_SPEED_RATIO = 1.1
# Servers that cost more than this share of the equally fast ones attract no requests by
# their connections: with more load they have more of these.
LOADED_SHARE = 0.75
# A backend server that had no room for a request isn't preferred for this long, by when
# a load report shows how busy it is. Its connection is idle right after the rejection,
# so that the next attempt would go there again.
REJECTED_MS = 1_000


class IdlePreference:
    """Replaces a chosen backend server by an equally good one with a connection.

    Attributes:
        has_idle: Returns whether there is an idle connection to an incarnation that may
            be reused; None if connections don't matter.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts without connections.

        Args:
            rng: Draws between equally good backend servers.
        """
        self.has_idle: Callable[[LifeId], bool] | None = None
        self._rng = rng
        self._rejected_until_ms: dict[LifeId, int] = {}

    def record_rejection(self, life_id: LifeId, now_ms: int) -> None:
        """Records that a backend server had no room for a request."""
        self._rejected_until_ms[life_id] = now_ms + REJECTED_MS

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Forgets incarnations that are no longer in the view."""
        for life_id in self._rejected_until_ms.keys() - set(life_ids):
            del self._rejected_until_ms[life_id]

    def replace(
        self,
        chosen: BackendItem,
        backends: Sequence[BackendItem],
        weights: Mapping[LifeId, float],
        costs: Mapping[LifeId, float],
        fixed_cost: Callable[[BackendItem], float],
        speed: Callable[[BackendItem], float],
        now_ms: int,
    ) -> BackendItem:
        """Returns an equally good backend server with an idle connection, or `chosen`.

        One of them is drawn: the cheapest would get the requests of all entries until
        the next load report.

        Args:
            chosen: The choice without regard to connections.
            backends: Backend servers that may be chosen instead.
            weights: Their weights in the draw; 0 for none.
            costs: Their costs, in requests in flight.
            fixed_cost: Returns the part of the cost that doesn't depend on load.
            speed: Returns the speed relative to the other backend servers.
            now_ms: The current time.
        """
        has_idle = self.has_idle
        if has_idle is None or has_idle(chosen.life_id):
            return chosen
        chosen_speed = speed(chosen)
        peers = [
            backend
            for backend in backends
            if chosen_speed / EQUAL_SPEED_RATIO
            <= speed(backend)
            <= chosen_speed * EQUAL_SPEED_RATIO
        ]
        peer_costs = sorted(costs[backend.life_id] for backend in peers)
        limit = min(
            costs[chosen.life_id] + EQUAL_COST,
            peer_costs[int(LOADED_SHARE * len(peer_costs))],
        )
        fixed_limit = fixed_cost(chosen) + EQUAL_FIXED_COST
        equal = [
            backend
            for backend in peers
            if weights[backend.life_id] > 0
            and costs[backend.life_id] <= limit
            and self._rejected_until_ms.get(backend.life_id, 0) <= now_ms
            and has_idle(backend.life_id)
            and fixed_cost(backend) <= fixed_limit
        ]
        if not equal:
            return chosen
        return self._rng.choices(equal, [weights[item.life_id] for item in equal])[0]


def weights_below_median(costs: Mapping[LifeId, float]) -> dict[LifeId, float]:
    """Returns equal weights of what costs at most the median, 0 for the others.

    Backend servers with more load than most then attract no more by their connections.
    """
    median = statistics.median(costs.values())
    return {life_id: float(cost <= median) for life_id, cost in costs.items()}
