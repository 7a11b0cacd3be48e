"""Working view of the fleet for one placement round: engines, free memory, copies.

A survey reads each engine's ledger once, so the cost of a round grows with the number
of engines and copies, not with the number of pairs of engine and model.
"""

import collections
import dataclasses
from collections.abc import Collection

from cassiapitch import backends
from cassiapitch.backend_speeds import BackendSpeeds
from cassiapitch.backends import Incarnation
from cassiapitch.fleet import Fleet
from cassiapitch.orders import Order, is_adapter_key, model_key

# Part of a copy that a copy at an engine with a limit on requests counts for.
LIMITED_COPY_WEIGHT = 0.25
# A copy at a slow engine counts for at least this part, so that a short slowdown of all
# copies of a model does not load it everywhere.
SMALLEST_COPY_WEIGHT = 0.25


@dataclasses.dataclass(slots=True)
class EngineState:
    """A serving engine, as updated by the decisions of one round.

    Attributes:
        incarnation: The current run of the engine.
        capacity_mib: Memory that may be used on it.
        free_mib: Memory that neither the ledger nor a planned load uses; negative
            while a planned load waits for unloads.
        busy_ratio: Running and waiting requests divided by the number of running
            requests up to which the engine's latency holds.
        relative_capacity: What the engine takes relative to the mean of its role; 1
            where the role's memory holds no more copies than it has models.
        is_blocked: Whether the engine may not get an order now, for instance because
            it rejects orders while it runs another one.
    """

    incarnation: Incarnation
    capacity_mib: int
    free_mib: int
    busy_ratio: float
    relative_capacity: float = 1.0
    is_blocked: bool = False


class Survey:
    """Engines, copies and open loads at the start of a round.

    Attributes:
        fleet: The replicated state.
        engines: Serving engines by life id.
        engines_by_role: The same engines by role.
        copies: Engines that serve a model or adapter, by ledger key.
        open_loads: Load orders that are not overdue, by ledger key.
        late_load_engines: Engines at which a late attempt of a settled load may
            still arrive, by ledger key.
        removed_items: Engines with ledger keys that the bundle no longer assigns to
            their role.
        drained_keys: Ledger keys of models with copies at engines of drained zones.
            These engines get no loads, and their copies count as none.
    """

    def __init__(
        self,
        fleet: Fleet,
        request_counts: dict[str, tuple[int, int]],
        is_overdue: dict[str, bool],
        blocked_lives: Collection[str] = (),
        speeds: BackendSpeeds | None = None,
    ) -> None:
        """Reads the fleet.

        Args:
            fleet: The replicated state.
            request_counts: Number of running and of waiting requests by life id.
            is_overdue: Whether an order has been open for so long that its load is no
                longer counted as a copy, by order id.
            blocked_lives: Life ids of engines that may not get orders yet.
            speeds: Measured speeds; without them all engines count as equal.
        """
        self._speeds = BackendSpeeds() if speeds is None else speeds
        self._blocked_lives = blocked_lives
        self._request_counts = request_counts
        self.fleet = fleet
        self.engines: dict[str, EngineState] = {}
        self.engines_by_role: dict[str, list[EngineState]] = collections.defaultdict(
            list
        )
        self.copies: dict[str, list[Incarnation]] = collections.defaultdict(list)
        self.open_loads: dict[str, list[Order]] = collections.defaultdict(list)
        self.late_load_engines: dict[str, list[EngineState]] = collections.defaultdict(
            list
        )
        self.removed_items: list[tuple[Incarnation, str]] = []
        self.drained_keys: set[str] = set()
        for incarnation in fleet.lives.values():
            if incarnation.state != backends.SERVING or not fleet.is_engine(
                incarnation
            ):
                continue
            if fleet.is_drained(incarnation):
                self._add_drained(incarnation)
            else:
                self._add(incarnation, request_counts.get(incarnation.life_id, (0, 0)))
        self._weigh_by_speed()
        for order in fleet.open_orders.values():
            is_counted = (
                order.life_id in self.engines and not is_overdue[order.order_id]
            )
            if order.is_load() and is_counted:
                self.open_loads[order.key].append(order)

    def _add(self, incarnation: Incarnation, counts: tuple[int, int]) -> None:
        capacity_mib = self.fleet.capacity_mib(incarnation)
        busy_ratio = sum(counts) / max(
            1.0,
            incarnation.max_running_count
            * self._speeds.slots_share(incarnation.life_id),
        )
        engine = EngineState(
            incarnation,
            capacity_mib,
            capacity_mib - incarnation.charged_mib,
            busy_ratio,
        )
        has_model_order = any(
            not order.adapter for order in incarnation.ledger.orders.values()
        )
        engine.is_blocked = incarnation.life_id in self._blocked_lives or (
            has_model_order and self._runs_orders_one_by_one(incarnation.role)
        )
        self.engines[incarnation.life_id] = engine
        self.engines_by_role[incarnation.role].append(engine)
        usable = self.fleet.usable_keys(incarnation)
        for key in usable:
            if not is_adapter_key(key) or self._has_base_model(key, usable):
                self.copies[key].append(incarnation)
        for key in incarnation.ledger.late:
            self.late_load_engines[key].append(engine)
        if len(usable) < len(incarnation.ledger.reported):
            self._find_removed_items(incarnation)

    def _weigh_by_speed(self) -> None:
        """Sets what engines take, where there is memory for copies to choose from.

        Elsewhere each change of a measured speed would move copies while models that
        have none wait for the memory.
        """
        models_counts = collections.Counter(
            model.role for model in self.fleet.catalog.models.values()
        )
        for role, engines in self.engines_by_role.items():
            if self.model_slots_count(role) > models_counts[role]:
                for engine in engines:
                    life_id = engine.incarnation.life_id
                    engine.relative_capacity = self._speeds.relative_capacity(life_id)

    def model_slots_count(self, role: str) -> int:
        """Returns how many copies of the median model size a role's engines hold."""
        sizes_mib = sorted(
            model.memory_mib
            for model in self.fleet.catalog.models.values()
            if model.role == role
        )
        if not sizes_mib:
            return 0
        median_mib = sizes_mib[len(sizes_mib) // 2]
        engines = self.engines_by_role.get(role, ())
        return sum(engine.capacity_mib // median_mib for engine in engines)

    def _add_drained(self, incarnation: Incarnation) -> None:
        usable = self.fleet.usable_keys(incarnation)
        self.drained_keys.update(key for key in usable if not is_adapter_key(key))
        if len(usable) < len(incarnation.ledger.reported):
            self._find_removed_items(incarnation)

    def _runs_orders_one_by_one(self, role: str) -> bool:
        item = self.fleet.catalog.roles.get(role)
        return item is not None and item.orders_one_by_one

    def mark_ordered(self, engine: EngineState) -> None:
        """Blocks further orders to an engine that takes one at a time.

        Called when a load or unload of a model is decided for the engine.
        """
        engine.is_blocked = self._runs_orders_one_by_one(engine.incarnation.role)

    def _has_base_model(self, key: str, usable: list[str]) -> bool:
        return model_key(self.fleet.catalog.model_of(key) or "") in usable

    def _find_removed_items(self, incarnation: Incarnation) -> None:
        for key in incarnation.ledger.reported:
            is_of_role = self.fleet.catalog.role_of(key) == incarnation.role
            if not is_of_role and incarnation.ledger.open_order(key) is None:
                self.removed_items.append((incarnation, key))

    def copy_count(self, key: str) -> int:
        """Returns the number of copies that serve or are being loaded."""
        return len(self.copies.get(key, ())) + len(self.open_loads.get(key, ()))

    def effective_copies(self, key: str) -> float:
        """Returns the copies that serve or are being loaded, by what they can serve."""
        engines = [
            *self.copies.get(key, ()),
            *(
                self.engines[order.life_id].incarnation
                for order in self.open_loads.get(key, ())
            ),
        ]
        return sum(map(self.copy_weight, engines))

    def serving_weight(self, key: str) -> float:
        """Returns the copies that serve, by what they can serve."""
        return sum(map(self.copy_weight, self.copies.get(key, ())))

    def copy_weight(self, incarnation: Incarnation) -> float:
        """Returns which part of a copy one at this engine counts for.

        An engine that takes twice as much as the mean of its role serves twice as much.
        """
        weight = self.engines[incarnation.life_id].relative_capacity
        weight = max(SMALLEST_COPY_WEIGHT, weight)
        return weight if incarnation.limit is None else weight * LIMITED_COPY_WEIGHT

    def zones(self, key: str) -> set[str]:
        """Returns the zones of the copies that serve or are being loaded."""
        serving = {incarnation.zone for incarnation in self.copies.get(key, ())}
        open_loads = self.open_loads.get(key, ())
        return serving | {
            self.engines[order.life_id].incarnation.zone for order in open_loads
        }

    def is_served(self, key: str) -> bool:
        """Tells whether a copy serves."""
        return bool(self.copies.get(key))

    def added_mib(self, engine: EngineState, key: str) -> int:
        """Returns the memory that a load would add to an engine's ledger."""
        needed_mib = self.fleet.catalog.memory_mib(key) or 0
        return max(0, needed_mib - engine.incarnation.ledger.late_mib(key))

    def may_load(self, engine: EngineState, key: str) -> bool:
        """Tells whether an engine lacks a model or adapter and may get an order."""
        return not engine.is_blocked and self.lacks(engine, key)

    def lacks(self, engine: EngineState, key: str) -> bool:
        """Tells whether an engine lacks a model or adapter and has no order for it.

        For adapters, the engine must also have a free adapter slot.
        """
        ledger = engine.incarnation.ledger
        if is_adapter_key(key) and not self.fleet.has_free_adapter_slot(
            engine.incarnation
        ):
            return False
        return key not in ledger.reported and ledger.open_order(key) is None

    def slot_usage(self, role: str, waiting_count: int) -> float:
        """Returns running and waiting requests as a share of the role's slots.

        Args:
            role: The role.
            waiting_count: Number of requests that wait at the entries.
        """
        engines = self.engines_by_role.get(role, [])
        slot_count = sum(
            engine.incarnation.max_running_count
            * self._speeds.slots_share(engine.incarnation.life_id)
            for engine in engines
        )
        request_count = sum(
            sum(self._request_counts.get(engine.incarnation.life_id, (0, 0)))
            for engine in engines
        )
        return (request_count + waiting_count) / max(1, slot_count)
