"""Costs of backend servers for a request, as an entry sees them.

The unit of a cost is one request in flight.
"""

from collections.abc import Sequence

from cassiapitch import backend_choice, backend_state
from cassiapitch.backend_state import BackendState
from cassiapitch.shared_speeds import SharedSpeeds
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

CROSS_ZONE_COST = 1.0
CACHED_PREFIX_CREDIT = 3.0


class BackendCosts:
    """Costs by load, zone, cached prefixes and recent failures."""

    def __init__(
        self,
        zone: str,
        states: dict[LifeId, BackendState],
        shared_speeds: SharedSpeeds,
    ) -> None:
        """Starts without known roles.

        Args:
            zone: The entry's availability zone.
            states: The router's states by incarnation.
            shared_speeds: Speeds that all entries together measured.
        """
        self._zone = zone
        self._states = states
        self._shared_speeds = shared_speeds
        self._roles: dict[LifeId, str] = {}

    def forget(self, life_id: LifeId) -> None:
        """Removes what is known of an incarnation that is gone."""
        self._roles.pop(life_id, None)

    def score(
        self, backend: BackendItem, prefixes: Sequence[str], now_ms: int
    ) -> float:
        """Returns the cost of a backend server without the time to first token."""
        zone_cost = self._zone_cost(backend)
        load_cost = self.in_flight_cost(backend, now_ms)
        state = self._states.get(backend.life_id)
        if state is None:
            return zone_cost + load_cost
        self._roles[backend.life_id] = backend.role
        cost = zone_cost + self._outcome_cost(backend, state, now_ms)
        return load_cost - self._cached_credit(backend, prefixes) + cost

    def fixed_cost(
        self, backend: BackendItem, prefixes: Sequence[str], now_ms: int
    ) -> float:
        """Returns the cost of zone and failures, less the credit for the cache."""
        cost = self._zone_cost(backend) - self._cached_credit(backend, prefixes)
        state = self._states.get(backend.life_id)
        return (
            cost if state is None else cost + backend_state.failure_cost(state, now_ms)
        )

    def in_flight_cost(self, backend: BackendItem, now_ms: int) -> float:
        """Returns the requests in flight relative to what a backend server takes."""
        state = self._states.get(backend.life_id)
        in_flight = 0.0
        if state is not None:
            in_flight = backend_state.in_flight_count(state, now_ms)
        speed = self._shared_speeds.speed(backend.life_id, now_ms)
        return (
            in_flight if speed is None else backend_choice.load_cost(in_flight, speed)
        )

    def _zone_cost(self, backend: BackendItem) -> float:
        return 0.0 if backend.zone == self._zone else CROSS_ZONE_COST

    def _cached_credit(self, backend: BackendItem, prefixes: Sequence[str]) -> float:
        state = self._states.get(backend.life_id)
        if not prefixes or state is None:
            return 0.0
        return CACHED_PREFIX_CREDIT * backend_state.cached_share(
            prefixes, state.prefixes
        )

    def _outcome_cost(
        self, backend: BackendItem, state: BackendState, now_ms: int
    ) -> float:
        """Returns the cost of failures and slowness seen by this entry.

        It keeps requests from backend servers that fail or delay some of their
        requests while they report themselves as healthy. Slowness counts only where
        the leader shares no speed: the entry sees too few answers of one server.
        """
        cost = backend_state.failure_cost(state, now_ms)
        if self._shared_speeds.speed(backend.life_id, now_ms) is not None:
            return cost
        typical_ms = backend_state.typical_answer_ms(
            other
            for life_id, other in self._states.items()
            if self._roles.get(life_id) == backend.role
        )
        return cost + backend_state.slowness_cost(state, typical_ms, now_ms)
