"""State that the placement policy keeps between rounds, in the leader's memory only."""

import dataclasses
import math

from cassiapitch import backends, model_load_times
from cassiapitch.backend_speeds import BackendSpeeds
from cassiapitch.backends import Incarnation
from cassiapitch.demand_tracker import DECAY_MS, DemandTracker
from cassiapitch.fleet import Fleet
from cassiapitch.orders import Order, is_adapter_key, model_key
from cassiapitch.placement_waits import Wait
from cassiapitch.role_speeds import RoleSpeeds
from cassiapitch.survey import Survey

# A copy stays resident for at least this long (hysteresis; design, section 8).
MIN_RESIDENCE_MS = 30_000

# Where the load time is known, a copy stays for this many load times, at most for this
# long. With 30 s and loads of 8 s, most copies of a full fleet could not give way.
MIN_RESIDENCE_LOADS_COUNT = 5
KNOWN_LOAD_RESIDENCE_MS = 15_000

# Weight of the newest report in the average backlog of an engine; reports arrive every
# 0.3 to 1 s.
BACKLOG_WEIGHT = 0.3

# After this time, plus twice the average load time, an open load no longer counts as a
# copy, so that an engine that ignores its orders can't make a model unreachable.
OVERDUE_LOAD_MS = 30_000

# A planned load whose engine hasn't freed the memory by then is dropped and may be
# planned on another engine.
PLAN_TIMEOUT_MS = 60_000

# The same for engines that take one order at a time. It is short because an unload
# waits for the longest response that runs there, while another engine could load at
# once.
ONE_BY_ONE_PLAN_TIMEOUT_MS = 2_000

# Unloads are sent after this delay, as entries may route by a view that is up to
# 1,800 ms old.
VIEW_DELAY_MS = 2_000

DEFAULT_LOAD_MS = 5_000

# Most requests can wait for a load that takes less.
SHORT_LOAD_MS = 2_000

# Where load times are known to be short, demand is averaged over this many of them.
DECAY_LOADS_COUNT = 6

# Time from the end of a load until the engine has reported it and the entries' view
# shows it.
REPORT_DELAY_MS = 300

# Loading an adapter takes milliseconds, but its order may have to wait for an unload.
ADAPTER_READY_MS = 300

# A request that was reported as waiting this long before a copy served still waited
# then: entries report waiting requests in this period.
WAITING_REPORT_MS = 500

# Remaining time that is reported for a load that should have ended already.
MIN_REMAINING_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class EngineAssignment:
    """The engine chosen for the load of a model or adapter.

    Attributes:
        life_id: Life id of the engine.
        since_ms: Time of the choice.
    """

    life_id: str
    since_ms: int


class PlacementState:
    """State of the placement policy on the leader.

    Attributes:
        fleet: The replicated state, read only.
        policy: `demand` or `fixed`.
        relieves_backlogs: Whether models whose engines have a backlog of prompts get
            further copies at once, see `backlog_relief`.
        loads_by_demand: Whether models without a copy get as many loads at the same
            time as their demand calls for, see `first_loads`.
        further_loads_by_demand: Whether models with a backlog get as many further
            copies at the same time as their part of the demand calls for, see
            `starts_further_loads`.
        spares_engines: Whether engines are kept free of loads for adapters, see
            `spared_engines`.
        demand: Demand by ledger key, and the waiting list.
        request_counts: Number of running and of waiting requests by life id.
        backlogs: Average of the prompt tokens that wait at an engine, by life id.
        speeds: Measured speeds of backend servers.
        role_speeds: Speeds of engines by role.
        store_tokens: Loads that the weight store's rate limit allows now.
        loads_count: Model loads that were decided in this term.
        planned_loads: Engines that free memory for a load, by ledger key.
        plans_beside: The same for loads beside others of the same model.
        holds: Ledger key and engine by role; the engine gets no other loads until
            the item fits there.
        load_ms: Moving average of the time from a model load's first sight to its end.
        order_first_seen_ms: Time at which an open order was first seen, by order id.
        bundle_seen_ms: Time at which the current bundle was first seen.
        eviction_blocked_until_ms: Earliest time at which copies may be unloaded for a
            waiting item, by ledger key.
        orders_blocked_until_ms: Time until which an engine gets no orders, by life id.
        unreachable_lives: Life ids of engines that an order could not be sent to and
            that weren't heard since. They get no loads, and plans for them lapse.
        served_keys: Ledger keys of which a copy served at the start of the round.
        waits: Items that the last round ordered no load for, though requests wait.
    """

    def __init__(
        self,
        fleet: Fleet,
        policy: str,
        now_ms: int,
        *,
        relieves_backlogs: bool = False,
        loads_by_demand: bool = False,
        further_loads_by_demand: bool = False,
        spares_engines: bool = False,
    ) -> None:
        """Starts a controller term, with no tokens for loads from the weight store.

        Args:
            fleet: The replicated state, read only.
            policy: `demand` or `fixed`.
            now_ms: Start of the term.
            relieves_backlogs: See the attribute.
            loads_by_demand: See the attribute.
            further_loads_by_demand: See the attribute.
            spares_engines: See the attribute.
        """
        self.fleet = fleet
        self.policy = policy
        self.relieves_backlogs = relieves_backlogs
        self.loads_by_demand = loads_by_demand
        self.further_loads_by_demand = further_loads_by_demand
        self.spares_engines = spares_engines
        self.demand = DemandTracker(demand_decay_ms(fleet))
        self.demand.unserved.set_reload_ms(longest_reload_ms(fleet))
        self.request_counts: dict[str, tuple[int, int]] = {}
        self.backlogs: dict[str, float] = {}
        self.speeds = BackendSpeeds()
        self.role_speeds = RoleSpeeds()
        self.store_tokens = 0.0
        self.loads_count = 0
        self.planned_loads: dict[str, EngineAssignment] = {}
        self.plans_beside: dict[str, list[EngineAssignment]] = {}
        self.holds: dict[str, tuple[str, EngineAssignment]] = {}
        self.load_ms = float(DEFAULT_LOAD_MS)
        self.order_first_seen_ms: dict[str, int] = {}
        self.bundle_seen_ms = now_ms
        self.eviction_blocked_until_ms: dict[str, int] = {}
        # Engines to which an earlier leader may still send orders.
        self.orders_blocked_until_ms: dict[str, int] = {}
        self.unreachable_lives: set[str] = set()
        self.served_keys: set[str] = set()
        self.waits: list[Wait] = []
        self._bundle_version = fleet.catalog.version
        self._resident_since_ms: dict[tuple[str, str], int] | None = None
        self._store_refilled_ms = now_ms
        self._model_load_ids: set[str] = set()

    @property
    def has_short_loads(self) -> bool:
        """Whether each model loads sooner than most requests must be served."""
        return longest_reload_ms(self.fleet) < SHORT_LOAD_MS

    @property
    def starts_further_loads(self) -> bool:
        """Whether further copies that a model lacks are loaded at the same time.

        Not where loads take long: a load then keeps an engine from loading adapters,
        and copies of other models from serving, for longer than a burst lasts.
        """
        return self.further_loads_by_demand and self.has_short_loads

    def begin_round(self, now_ms: int) -> Survey:
        """Starts a round: reads the fleet and drops state that is out of date."""
        self._refill_store_tokens(now_ms)
        self._update_orders(now_ms)
        if self.fleet.catalog.version != self._bundle_version:
            self._bundle_version = self.fleet.catalog.version
            self.bundle_seen_ms = now_ms
            self.demand.decay_ms = demand_decay_ms(self.fleet)
            self.demand.unserved.set_reload_ms(longest_reload_ms(self.fleet))
            self.demand.discard_unknown(
                lambda key: self.fleet.catalog.role_of(key) is not None
            )
        is_overdue = {
            order_id: now_ms - seen_ms > OVERDUE_LOAD_MS + 2 * self.load_ms
            for order_id, seen_ms in self.order_first_seen_ms.items()
        }
        blocked_lives = {
            life_id
            for life_id, until_ms in self.orders_blocked_until_ms.items()
            if until_ms > now_ms
        }
        survey = Survey(
            self.fleet,
            self.request_counts,
            is_overdue,
            blocked_lives | self.unreachable_lives,
            self.speeds,
        )
        self.served_keys = {key for key, copies in survey.copies.items() if copies}
        self._update_residence(survey, now_ms)
        self._mark_served(survey, now_ms)
        self._drop_served_waiting(survey)
        self._expire_plans(survey, now_ms)
        return survey

    def serving_engines(self, role: str) -> list[Incarnation]:
        """Returns the serving engines of a role that may get loads."""
        return [
            incarnation
            for incarnation in self.fleet.lives.values()
            if incarnation.role == role
            and incarnation.state == backends.SERVING
            and not self.fleet.is_drained(incarnation)
        ]

    def update_backlog(self, life_id: str, tokens: int) -> None:
        """Updates the average number of prompt tokens that wait at an engine."""
        previous = self.backlogs.get(life_id, 0.0)
        self.backlogs[life_id] = previous + BACKLOG_WEIGHT * (tokens - previous)

    def is_past_min_residence(self, life_id: str, key: str, now_ms: int) -> bool:
        """Tells whether a copy has been resident for its minimum time."""
        return self.resident_ms(life_id, key, now_ms) >= self._min_residence_ms(key)

    def resident_ms(self, life_id: str, key: str, now_ms: int) -> int:
        """Returns how long a copy has been resident."""
        since_ms = (self._resident_since_ms or {}).get((life_id, key), now_ms)
        return now_ms - since_ms

    def remaining_residence_ms(self, life_id: str, key: str, now_ms: int) -> int:
        """Returns the rest of a copy's minimum resident time."""
        since_ms = (self._resident_since_ms or {}).get((life_id, key), now_ms)
        return max(0, since_ms + self._min_residence_ms(key) - now_ms)

    def _min_residence_ms(self, key: str) -> int:
        """Returns the minimum resident time of a copy, by its load time if known."""
        model = self.fleet.catalog.models.get(self.fleet.catalog.model_of(key) or "")
        if model is None or not model.load_ms:
            return MIN_RESIDENCE_MS
        return min(
            KNOWN_LOAD_RESIDENCE_MS,
            MIN_RESIDENCE_LOADS_COUNT * model_load_times.reload_ms(model),
        )

    def _refill_store_tokens(self, now_ms: int) -> None:
        rate = self.fleet.catalog.store.loads_per_s
        refilled = self.store_tokens + rate * (now_ms - self._store_refilled_ms) / 1_000
        self.store_tokens = min(max(1.0, rate), refilled)
        self._store_refilled_ms = now_ms

    def _update_orders(self, now_ms: int) -> None:
        open_orders = self.fleet.open_orders
        for order_id, seen_ms in list(self.order_first_seen_ms.items()):
            if order_id not in open_orders:
                del self.order_first_seen_ms[order_id]
                if order_id in self._model_load_ids:
                    self._model_load_ids.remove(order_id)
                    self.load_ms += (now_ms - seen_ms - self.load_ms) / 8
        for order in open_orders.values():
            self.order_first_seen_ms.setdefault(order.order_id, now_ms)
            if order.is_load() and not order.adapter:
                self._model_load_ids.add(order.order_id)

    def _update_residence(self, survey: Survey, now_ms: int) -> None:
        previous = self._resident_since_ms
        # A new leader doesn't know since when the copies have been resident. It treats
        # them as resident long enough to be unloaded.
        default_ms = now_ms - MIN_RESIDENCE_MS if previous is None else now_ms
        since_ms = previous or {}
        self._resident_since_ms = {
            (engine.incarnation.life_id, key): since_ms.get(
                (engine.incarnation.life_id, key), default_ms
            )
            for engine in survey.engines.values()
            for key in engine.incarnation.ledger.reported
        }

    def _mark_served(self, survey: Survey, now_ms: int) -> None:
        """Ends the unserved time of keys that were requested since a copy serves."""
        for key in self.served_keys:
            if self.demand.unserved.last_ms(key) is None:
                continue
            resident_ms = max(
                self.resident_ms(incarnation.life_id, key, now_ms)
                for incarnation in survey.copies[key]
            )
            if self.demand.idle_ms(key, now_ms) <= resident_ms + WAITING_REPORT_MS:
                self.demand.unserved.mark_served(key)

    def _drop_served_waiting(self, survey: Survey) -> None:
        for _, key in self.demand.waiting():
            if survey.is_served(key):
                self.demand.remove_waiting(key)
                self.planned_loads.pop(key, None)
                self.eviction_blocked_until_ms.pop(key, None)

    def _plan_timeout_ms(
        self, key: str, assignment: EngineAssignment, survey: Survey
    ) -> int:
        catalog = self.fleet.catalog
        role = catalog.roles.get(catalog.role_of(key) or "")
        if role is not None and role.orders_one_by_one:
            engine = survey.engines.get(assignment.life_id)
            timeout_ms = ONE_BY_ONE_PLAN_TIMEOUT_MS
            if engine is not None and not engine.incarnation.ledger.orders:
                # The memory is free. Without the time until the weight store allows one
                # more load, another model would take it just before.
                timeout_ms += math.ceil(1_000 / catalog.store.loads_per_s)
            return timeout_ms
        return PLAN_TIMEOUT_MS

    def _expire_plans(self, survey: Survey, now_ms: int) -> None:
        for key, assignment in list(self.planned_loads.items()):
            is_removed = self.fleet.catalog.role_of(key) is None
            is_current = self._is_current(
                assignment,
                survey,
                now_ms,
                self._plan_timeout_ms(key, assignment, survey),
            )
            if is_removed or not is_current or survey.open_loads.get(key):
                del self.planned_loads[key]
        self._expire_plans_beside(survey, now_ms)
        for role, (key, assignment) in list(self.holds.items()):
            is_placed = survey.is_served(key) or survey.open_loads.get(key)
            if is_placed or not self._is_current(
                assignment, survey, now_ms, PLAN_TIMEOUT_MS
            ):
                del self.holds[role]
        plans_beside = (
            (key, plan) for key, plans in self.plans_beside.items() for plan in plans
        )
        for key, assignment in (*self.planned_loads.items(), *plans_beside):
            engine = survey.engines[assignment.life_id]
            engine.free_mib -= survey.added_mib(engine, key)

    def _expire_plans_beside(self, survey: Survey, now_ms: int) -> None:
        for key, plans in list(self.plans_beside.items()):
            is_known = self.fleet.catalog.role_of(key) is not None
            current = [
                plan
                for plan in plans
                if is_known
                and self._is_current(
                    plan, survey, now_ms, self._plan_timeout_ms(key, plan, survey)
                )
            ]
            if current:
                self.plans_beside[key] = current
            else:
                del self.plans_beside[key]

    def _is_current(
        self,
        assignment: EngineAssignment,
        survey: Survey,
        now_ms: int,
        timeout_ms: int,
    ) -> bool:
        return (
            assignment.life_id in survey.engines
            and assignment.life_id not in self.unreachable_lives
            and now_ms - assignment.since_ms < timeout_ms
        )


def longest_reload_ms(fleet: Fleet) -> int:
    """Returns the longest time of a repeated load; 0 if unknown."""
    models = fleet.catalog.models.values()
    return max(map(model_load_times.reload_ms, models), default=0)


def demand_decay_ms(fleet: Fleet) -> int:
    """Returns the time constant of the demand average: a few load times at most."""
    load_times_ms = [model.load_ms for model in fleet.catalog.models.values()]
    longest_ms = max(load_times_ms, default=0)
    return min(DECAY_MS, DECAY_LOADS_COUNT * longest_ms) if longest_ms else DECAY_MS


def _eviction_blocked_ms(state: PlacementState, key: str, now_ms: int) -> int:
    return max(0, state.eviction_blocked_until_ms.get(key, now_ms) - now_ms)


def expected_ms(state: PlacementState, now_ms: int) -> dict[str, int]:
    """Returns the time until a copy is expected, by model or adapter name.

    Covers items that are being loaded or that requests wait for. For a load under way,
    it is the rest of the load time. For a waiting item, it adds up the time until
    copies may be unloaded for it, its place in the queue at the weight store's rate,
    the delay of a planned unload, and the load time.
    """
    expected: dict[str, int] = {}
    catalog = state.fleet.catalog
    for order in state.fleet.open_orders.values():
        if order.is_load():
            seen_ms = state.order_first_seen_ms.get(order.order_id, now_ms)
            remaining_ms = _ordered_load_ms(state, order) - (now_ms - seen_ms)
            name = order.adapter or order.model
            known_ms = expected.get(name, MIN_REMAINING_MS)
            # Of several loads the one that ends first counts, without those that are
            # late: their engines may be stuck.
            if known_ms <= MIN_REMAINING_MS:
                expected[name] = max(MIN_REMAINING_MS, remaining_ms)
            elif remaining_ms > MIN_REMAINING_MS:
                expected[name] = min(known_ms, remaining_ms)
    # An adapter is loaded as soon as the load under way of its model has ended.
    loading = set(expected)
    store_interval_ms = 1_000 / catalog.store.loads_per_s
    store_queue_position = 0
    served = state.served_keys
    for _, key in state.demand.waiting():
        name = key.split("/", 1)[1]
        if name in expected:
            continue
        if is_adapter_key(key) and model_key(catalog.model_of(key) or "") in served:
            expected[name] = _eviction_blocked_ms(state, key, now_ms) + ADAPTER_READY_MS
            continue
        base_model = catalog.model_of(key) or ""
        if is_adapter_key(key) and base_model in loading:
            expected[name] = expected[base_model] + ADAPTER_READY_MS
            continue
        incarnations = state.serving_engines(catalog.role_of(key) or "")
        has_local_weights = any(
            model_load_times.has_local_weights(incarnation, base_model)
            for incarnation in incarnations
        )
        store_queue_position += key == model_key(name) and not has_local_weights
        model = model_key(base_model or name)
        role = catalog.roles.get(catalog.role_of(key) or "")
        delay_ms = VIEW_DELAY_MS if role is None else role.unload_delay_ms
        unload_ms = delay_ms if key in state.planned_loads else 0
        blocked_ms = max(
            _eviction_blocked_ms(state, waiting_key, now_ms)
            for waiting_key in (key, model)
        )
        store_ms = 0 if has_local_weights else store_queue_position * store_interval_ms
        load_ms = _new_load_ms(state, base_model, incarnations)
        expected[name] = int(blocked_ms + store_ms + unload_ms + load_ms)
    return expected


def _ordered_load_ms(state: PlacementState, order: Order) -> int:
    """Returns the time from a recorded load order until the entries' view shows it."""
    if order.adapter:
        return ADAPTER_READY_MS
    model_item = state.fleet.catalog.models.get(order.model)
    if model_item is None or not model_item.load_ms:
        return int(state.load_ms)
    return model_load_times.ordered_load_ms(model_item, order) + REPORT_DELAY_MS


def _new_load_ms(
    state: PlacementState, model: str, incarnations: list[Incarnation]
) -> int:
    """Returns the time until a load ordered now shows in the entries' view."""
    model_item = state.fleet.catalog.models.get(model)
    if model_item is None or not model_item.load_ms:
        return int(state.load_ms)
    return model_load_times.shortest_load_ms(model_item, incarnations) + REPORT_DELAY_MS
