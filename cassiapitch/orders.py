"""Orders to engines, and the accounting of each engine's memory.

An engine's ledger charges everything that the engine may hold at any moment: items
that it reports, open loads, and settled loads of which a late attempt may still arrive.
An open unload frees nothing until the engine's report or response settles it.
"""

import dataclasses

from cassiapitch import statechart
from cassiapitch.types import BackendName, LifeId, OrderKind, OrderOutcome

LOAD_KINDS = frozenset({OrderKind.LOAD, OrderKind.LOAD_ADAPTER})
UNLOAD_KINDS = frozenset({OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER})

_CHART = statechart.load_chart("order")

# Number of reports that may lack a load which was settled by the engine's response: the
# report after the next one shows it at the latest.
UNCONFIRMED_REPORTS_COUNT = 2


def model_key(model: str) -> str:
    """Returns the ledger key of a model."""
    return f"model/{model}"


def adapter_key(adapter: str) -> str:
    """Returns the ledger key of an adapter."""
    return f"adapter/{adapter}"


def is_adapter_key(key: str) -> bool:
    """Tells whether a ledger key stands for an adapter."""
    return key.startswith("adapter/")


def name_of(key: str) -> str:
    """Returns the name of the model or adapter that a ledger key stands for."""
    return key.split("/", 1)[1]


@dataclasses.dataclass(slots=True)
class Order:
    """An order that is recorded and not yet settled.

    Attributes:
        order_id: Id of the order, the same on every attempt.
        fence_term: Controller term in which the order was recorded.
        fence_number: Number of the order in the whole fleet. It only increases, so it
            also increases for each backend server.
        kind: What the engine has to do.
        backend: Name of the backend server.
        life_id: Incarnation of the backend server that the order is for.
        key: Ledger key of the model or adapter.
        model: Name of the model, or of the model that the adapter belongs to.
        version: Version of the bundle that last changed the model.
        adapter: Name of the adapter; empty for models.
        memory_mib: Memory that a load needs by the bundle at the time of recording.
        state: State in the state chart `order`.
        attempt_count: Number of attempts that may have been sent; each is recorded
            before it is sent.
        attempt_term: Controller term that may send the last attempt.
        unanswered: Numbers of attempts whose HTTP response was not received.
        accepted: Whether the engine accepted an attempt.
        from_store: Whether the order is a load that counts against the weight store's
            limits.
    """

    order_id: str
    fence_term: int
    fence_number: int
    kind: OrderKind
    backend: BackendName
    life_id: LifeId
    key: str
    model: str
    version: int
    adapter: str
    memory_mib: int
    state: str = _CHART.initial
    attempt_count: int = 1
    attempt_term: int = 0
    unanswered: list[int] = dataclasses.field(default_factory=lambda: [1])
    accepted: bool = False
    from_store: bool = True

    def is_load(self) -> bool:
        """Tells whether the order is a load, which occupies memory."""
        return self.kind in LOAD_KINDS

    def advance(self, event: str) -> None:
        """Moves to the next state of the state chart."""
        self.state = _CHART.next_state(self.state, event)


@dataclasses.dataclass(slots=True)
class LateLoad:
    """Attempts of a settled load that may still arrive at the engine.

    Attributes:
        order_id: Id of the settled order.
        fence_term: First part of the order's fencing token.
        fence_number: Second part of the order's fencing token.
        memory_mib: Memory that a late attempt would occupy.
        unanswered: Numbers of attempts whose HTTP response was not received.
    """

    order_id: str
    fence_term: int
    fence_number: int
    memory_mib: int
    unanswered: list[int]


@dataclasses.dataclass(slots=True)
class Ledger:
    """Models and adapters that one run of a backend server may hold, with memory.

    Attributes:
        reported: Memory by ledger key of each model and adapter that the engine
            reports; 0 if it reports no size.
        sizes: Memory by ledger key that load orders of reported items were recorded
            with.
        orders: Open orders by order id.
        late: Late loads by ledger key.
        unconfirmed: Number of coming reports that may lack a load which was settled by
            the engine's response, by ledger key. Such a report may have been made
            before the load.
    """

    reported: dict[str, int] = dataclasses.field(default_factory=dict)
    sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    orders: dict[str, Order] = dataclasses.field(default_factory=dict)
    late: dict[str, list[LateLoad]] = dataclasses.field(default_factory=dict)
    unconfirmed: dict[str, int] = dataclasses.field(default_factory=dict)

    def open_order(self, key: str) -> Order | None:
        """Returns the open order for a model or adapter, or None."""
        for order in self.orders.values():
            if order.key == key:
                return order
        return None

    def is_usable(self, key: str) -> bool:
        """Returns whether a model or adapter is loaded and not being unloaded."""
        if key not in self.reported:
            return False
        order = self.open_order(key)
        return order is None or order.is_load()

    def late_mib(self, key: str) -> int:
        """Returns the memory that late attempts of a key's settled loads may occupy."""
        return max((load.memory_mib for load in self.late.get(key, ())), default=0)

    def charge_mib(self, key: str, default_mib: int) -> int:
        """Returns the memory charged for one model or adapter.

        Args:
            key: The ledger key.
            default_mib: Memory to charge for an item that is reported without a size
                and was not ordered, for instance one that was loaded before this run
                of the engine was known.
        """
        charge_mib = self.late_mib(key)
        if key in self.reported:
            known_mib = max(self.reported[key], self.sizes.get(key, 0))
            charge_mib = max(charge_mib, known_mib or default_mib)
        for order in self.orders.values():
            if order.key == key and order.is_load():
                charge_mib = max(charge_mib, order.memory_mib)
        return charge_mib

    def charged_keys(self) -> set[str]:
        """Returns the ledger keys of all items that are charged."""
        loading = {order.key for order in self.orders.values() if order.is_load()}
        return self.reported.keys() | self.late.keys() | loading

    def adapters_count(self) -> int:
        """Returns the number of adapters that are charged."""
        return sum(map(is_adapter_key, self.charged_keys()))

    def apply_report(
        self,
        reported: dict[str, int],
        settled: dict[str, OrderOutcome],
        fence: tuple[int, int],
        *,
        fencing: bool,
    ) -> list[Order]:
        """Applies the engine's report; returns the orders that it settles.

        Args:
            reported: Memory of each reported item by ledger key.
            settled: Outcomes of the orders that the engine has finished, by order id.
            fence: The engine's highest fencing token as term and number; it rejects
                lower ones.
            fencing: Whether the engine checks fences.
        """
        self.reported = self._with_unconfirmed(reported)
        settled_orders = [order for id_, order in self.orders.items() if id_ in settled]
        for order in settled_orders:
            self._settle(order, settled[order.order_id])
        if fencing:
            self._drop_fenced_late_loads(fence)
        loading = {order.key for order in self.orders.values() if order.is_load()}
        kept_keys = reported.keys() | loading
        self.sizes = {key: size for key, size in self.sizes.items() if key in kept_keys}
        return settled_orders

    def record_response(self, order_id: str, attempt: int, *, accepted: bool) -> None:
        """Records that the response to an attempt was received."""
        order = self.orders.get(order_id)
        if order is not None:
            order.advance("sent")
            order.accepted = order.accepted or accepted
            _discard(order.unanswered, attempt)
        for key, loads in list(self.late.items()):
            for load in loads:
                if load.order_id == order_id:
                    _discard(load.unanswered, attempt)
            self._set_late(key, [load for load in loads if load.unanswered])

    def record_rejection(self, order_id: str) -> None:
        """Ends an order that a fencing engine rejected because of its fence.

        The engine accepts an order that it knows before it checks the fence. So a
        rejected order never ran, and its other attempts will be rejected as well.
        """
        order = self.orders.pop(order_id)
        order.advance("reported_failed")
        if order.is_load() and order.key not in self.reported:
            self.sizes.pop(order.key, None)

    def _with_unconfirmed(self, reported: dict[str, int]) -> dict[str, int]:
        """Adds loads settled by a response, which may be newer than the report."""
        with_unconfirmed = dict(reported)
        for key, reports_count in list(self.unconfirmed.items()):
            if key in reported or reports_count <= 0:
                del self.unconfirmed[key]
                continue
            self.unconfirmed[key] = reports_count - 1
            with_unconfirmed[key] = self.reported.get(key, 0)
        return with_unconfirmed

    def settle_observed(self) -> list[Order]:
        """Settles accepted orders whose effect the report shows; returns them."""
        settled_orders = [
            order
            for order in self.orders.values()
            if order.accepted and (order.key in self.reported) == order.is_load()
        ]
        for order in settled_orders:
            self._settle(order, OrderOutcome.DONE)
        return settled_orders

    def settle_answered(self, order_id: str, outcome: OrderOutcome) -> None:
        """Settles an order whose outcome the engine gave in its response."""
        order = self.orders.get(order_id)
        if order is None:
            return
        if outcome is OrderOutcome.DONE and order.is_load():
            self.reported.setdefault(order.key, order.memory_mib)
            self.unconfirmed[order.key] = UNCONFIRMED_REPORTS_COUNT
        elif outcome is OrderOutcome.DONE:
            self.reported.pop(order.key, None)
            self.unconfirmed.pop(order.key, None)
        self._settle(order, outcome)

    def _settle(self, order: Order, outcome: OrderOutcome) -> None:
        is_done = outcome == OrderOutcome.DONE
        order.advance("reported_done" if is_done else "reported_failed")
        del self.orders[order.order_id]
        if order.is_load() and order.unanswered:
            load = LateLoad(
                order.order_id,
                order.fence_term,
                order.fence_number,
                order.memory_mib,
                order.unanswered,
            )
            self.late.setdefault(order.key, []).append(load)

    def _drop_fenced_late_loads(self, fence: tuple[int, int]) -> None:
        for key, loads in list(self.late.items()):
            valid_loads = [
                load for load in loads if (load.fence_term, load.fence_number) >= fence
            ]
            self._set_late(key, valid_loads)

    def _set_late(self, key: str, loads: list[LateLoad]) -> None:
        if loads:
            self.late[key] = loads
        else:
            self.late.pop(key, None)


def _discard(numbers: list[int], number: int) -> None:
    if number in numbers:
        numbers.remove(number)
