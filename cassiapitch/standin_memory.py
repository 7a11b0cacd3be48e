"""Accelerator memory and orders of a stand-in engine, without I/O or a clock."""

import dataclasses
import enum
from collections.abc import Callable

from cassiapitch.announcements import (
    LoadedModel,
    SettledOrder,
)
from cassiapitch.types import LifeId, ModelName, OrderKind, OrderOutcome

UNLOAD_KINDS = (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER)
ADAPTER_KINDS = (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER)

# Limits the size of announcements; an order that is resent is reported again.
SETTLED_REPORTED_COUNT = 200


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRequest:
    """Body of `POST /orders`.

    Attributes:
        order_id: Id of the order; the same on each attempt to send it.
        fence_term: First part of its fencing token.
        fence_number: Second part of its fencing token.
        life_id: Incarnation of the engine that the order is for.
        kind: What to do.
        model: The model, or the model that the adapter belongs to.
        version: Version of the model.
        adapter: The adapter; empty for orders about a model.
        memory_mib: Memory that a load occupies from its start.
    """

    order_id: str
    fence_term: int
    fence_number: int
    life_id: LifeId
    kind: OrderKind
    model: str = ""
    version: int = 0
    adapter: str = ""
    memory_mib: int = 0


class OrderVerdict(enum.StrEnum):
    """Whether an engine accepts an order, or why not."""

    ACCEPTED = "accepted"
    STALE_FENCE = "stale_fence"
    OTHER_LIFE = "other_life"


class Phase(enum.StrEnum):
    """State of a model or adapter in an engine's memory."""

    LOADING = "loading"
    LOADED = "loaded"
    UNLOADING = "unloading"


@dataclasses.dataclass(slots=True)
class Resident:
    """A model or adapter that occupies memory.

    Attributes:
        name: Name of the model or adapter.
        is_adapter: Whether it is an adapter.
        model: The model, or the model that the adapter belongs to.
        version: Version of the model.
        memory_mib: Memory that it occupies from the start of its load.
        phase: Whether it is loading, loaded or unloading.
        due_ms: When its load completes.
        loads: Loads that wait for the end of the current phase.
        unloads: Unloads that wait for the load and for running requests.
    """

    name: str
    is_adapter: bool
    model: str
    version: int
    memory_mib: int
    phase: Phase
    due_ms: int
    loads: list[OrderRequest] = dataclasses.field(default_factory=list)
    unloads: list[OrderRequest] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Overcommit:
    """A load that didn't fit into the memory."""

    time_ms: int
    order_id: str
    used_mib: int


class EngineMemory:
    """Models and adapters in an engine's memory, and the orders that load them."""

    def __init__(
        self,
        life_id: LifeId,
        memory_mib: int,
        *,
        fencing: bool,
        load_time_ms: Callable[[OrderRequest], int],
        is_in_use: Callable[[str, bool], bool] = lambda name, is_adapter: False,
    ) -> None:
        """Starts with nothing loaded.

        Args:
            life_id: Id of the engine's incarnation.
            memory_mib: Accelerator memory of the engine.
            fencing: Whether stale orders are rejected.
            load_time_ms: Returns how long a load takes.
            is_in_use: Returns whether requests still use a model or adapter, which
                delays its unload.
        """
        self.life_id = life_id
        self.memory_mib = memory_mib
        self.leaving = False
        self.fence = (0, 0)
        self.residents: dict[tuple[str, bool], Resident] = {}
        self.settled: dict[str, OrderOutcome] = {}
        self.overcommits: list[Overcommit] = []
        self.load_starts_by_order: dict[str, int] = {}
        self.most_used_mib = 0
        self._received_order_ids: set[str] = set()
        self._fencing = fencing
        self._load_time_ms = load_time_ms
        self._is_in_use = is_in_use

    def used_mib(self) -> int:
        """Returns the memory in use; a load counts from its start."""
        return sum(resident.memory_mib for resident in self.residents.values())

    def holds(self, name: str, *, is_adapter: bool = False) -> bool:
        """Returns whether a model or adapter is loaded, so that requests may use it."""
        resident = self.residents.get((name, is_adapter))
        return resident is not None and resident.phase == Phase.LOADED

    def loaded(self) -> tuple[LoadedModel, ...]:
        """Returns the models that hold memory, except those still loading."""
        return tuple(
            LoadedModel(ModelName(item.model), item.version, item.memory_mib)
            for item in self.residents.values()
            if not item.is_adapter and item.phase != Phase.LOADING
        )

    def adapters(self) -> tuple[str, ...]:
        """Returns the adapters that hold memory, except those still loading."""
        return tuple(
            item.name
            for item in self.residents.values()
            if item.is_adapter and item.phase != Phase.LOADING
        )

    def settled_report(self) -> tuple[SettledOrder, ...]:
        """Returns the most recently settled orders, for the announcement."""
        recent = list(self.settled.items())[-SETTLED_REPORTED_COUNT:]
        return tuple(SettledOrder(order_id, outcome) for order_id, outcome in recent)

    def loading_count(self, *, is_adapter: bool) -> int:
        """Returns the number of loads in progress."""
        return sum(
            item.phase == Phase.LOADING and item.is_adapter == is_adapter
            for item in self.residents.values()
        )

    def receive(self, order: OrderRequest, now_ms: int) -> OrderVerdict:
        """Handles a received order.

        With fencing, an order whose id is known is accepted without running again,
        and a fence that isn't above the highest one seen is stale. Without fencing,
        every received order runs, including late duplicates.
        """
        if order.life_id != self.life_id:
            return OrderVerdict.OTHER_LIFE
        fence = (order.fence_term, order.fence_number)
        if self._fencing and order.order_id in self._received_order_ids:
            self._report_outcome_again(order.order_id)
            return OrderVerdict.ACCEPTED
        if self._fencing and fence <= self.fence:
            return OrderVerdict.STALE_FENCE
        self.fence = max(self.fence, fence)
        self._received_order_ids.add(order.order_id)
        self._execute(order, now_ms)
        return OrderVerdict.ACCEPTED

    def tick(self, now_ms: int) -> None:
        """Completes the loads and unloads that are due."""
        for resident in list(self.residents.values()):
            if resident.phase == Phase.LOADING and resident.due_ms <= now_ms:
                self._finish_load(resident)
            if resident.phase == Phase.UNLOADING:
                self._finish_unload(resident, now_ms)

    def _execute(self, order: OrderRequest, now_ms: int) -> None:
        is_adapter = order.kind in ADAPTER_KINDS
        name = order.adapter if is_adapter else order.model
        resident = self.residents.get((name, is_adapter))
        if order.kind in UNLOAD_KINDS:
            self._start_unload(order, resident, now_ms)
        elif resident is None and self.leaving:
            self._settle(order, OrderOutcome.FAILED)
        elif resident is None:
            self._start_load(order, name, is_adapter, now_ms)
        elif resident.phase == Phase.LOADED:
            self._settle(order, OrderOutcome.DONE)
        else:
            resident.loads.append(order)

    def _start_load(
        self, order: OrderRequest, name: str, is_adapter: bool, now_ms: int
    ) -> None:
        self.residents[name, is_adapter] = Resident(
            name,
            is_adapter,
            order.model,
            order.version,
            order.memory_mib,
            Phase.LOADING,
            now_ms + self._load_time_ms(order),
            loads=[order],
        )
        self.load_starts_by_order[order.order_id] = (
            self.load_starts_by_order.get(order.order_id, 0) + 1
        )
        used_mib = self.used_mib()
        self.most_used_mib = max(self.most_used_mib, used_mib)
        if used_mib > self.memory_mib:
            self.overcommits.append(Overcommit(now_ms, order.order_id, used_mib))

    def _finish_load(self, resident: Resident) -> None:
        resident.phase = Phase.LOADED
        for order in resident.loads:
            self._settle(order, OrderOutcome.DONE)
        resident.loads.clear()
        if resident.unloads:
            resident.phase = Phase.UNLOADING

    def _start_unload(
        self, order: OrderRequest, resident: Resident | None, now_ms: int
    ) -> None:
        if resident is None:
            self._settle(order, OrderOutcome.DONE)
            return
        resident.unloads.append(order)
        if resident.phase == Phase.LOADED:
            resident.phase = Phase.UNLOADING
        self.tick(now_ms)

    def _finish_unload(self, resident: Resident, now_ms: int) -> None:
        if self._is_in_use(resident.name, resident.is_adapter):
            return
        del self.residents[resident.name, resident.is_adapter]
        for order in resident.unloads:
            self._settle(order, OrderOutcome.DONE)
        # A load that arrived during the unload starts now.
        for order in resident.loads:
            self._execute(order, now_ms)

    def _settle(self, order: OrderRequest, outcome: OrderOutcome) -> None:
        self.settled.pop(order.order_id, None)
        self.settled[order.order_id] = outcome

    def _report_outcome_again(self, order_id: str) -> None:
        outcome = self.settled.pop(order_id, None)
        if outcome is not None:
            self.settled[order_id] = outcome
