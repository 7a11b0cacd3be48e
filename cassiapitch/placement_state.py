"""What placement remembers between rounds; the leader's memory only."""

import dataclasses

from cassiapitch import backends, model_load_times
from cassiapitch.backends import Incarnation
from cassiapitch.demand_tracker import DECAY_MS, DemandTracker
from cassiapitch.fleet import Fleet
from cassiapitch.orders import Order, is_adapter_key, model_key
from cassiapitch.rooms import Survey

# Hysteresis of section 8: a copy stays at least this long.
RESIDENT_MS = 30_000

# Where the time of a load is known, a copy stays for as many loads.
RESIDENT_LOADS_COUNT = 5

# Weight of the newest report in an engine's backlog; reports come every 0.3 to 1 s.
BACKLOG_WEIGHT = 0.3

# An open load that is older than this is no longer counted as a coming copy, so
# that an engine that ignores its orders can't make a model unreachable.
LOAD_PATIENCE_MS = 30_000

# A plan whose engine hasn't made room by then is made anew.
PLAN_LIFE_MS = 60_000

# The same where engines take one order at a time: an unload waits for the longest
# answer that runs there, while another engine could load at once.
ONE_BY_ONE_PLAN_LIFE_MS = 2_000

# Entries may route by a view that is up to 1,800 ms old; an unload is sent later.
VIEW_DELAY_MS = 2_000

DEFAULT_LOAD_MS = 5_000

# Where loads are known to be short, demand is averaged over as many of them.
DECAY_LOADS_COUNT = 6

# From the end of a load to the engine's report of it and the view at the entries.
REPORT_DELAY_MS = 300

# An adapter is there milliseconds after its order, which may wait for an unload.
ADAPTER_READY_MS = 300

# What is said of a load that should have ended.
LEAST_REST_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """An engine that makes room for a model or adapter."""

    life_id: str
    since_ms: int


class PlacementState:
    """State of the placement policy on the leader."""

    def __init__(self, fleet: Fleet, policy: str, now_ms: int) -> None:
        """Starts a controller term: the store's bucket is empty.

        Args:
            fleet: The replicated state, read only.
            policy: `demand` or `fixed`.
            now_ms: Start of the term.
        """
        self.fleet = fleet
        self.policy = policy
        self.demand = DemandTracker(demand_decay_ms(fleet))
        self.request_counts: dict[str, tuple[int, int]] = {}
        self.backlogs: dict[str, float] = {}
        self.store_tokens = 0.0
        self.loads_count = 0
        self.plans: dict[str, Plan] = {}
        self.holds: dict[str, tuple[str, Plan]] = {}
        self.load_ms = float(DEFAULT_LOAD_MS)
        self.order_seen_ms: dict[str, int] = {}
        self.bundle_seen_ms = now_ms
        self.blocked_until_ms: dict[str, int] = {}
        # Lives that another leader may still be ordering.
        self.orders_blocked_until_ms: dict[str, int] = {}
        self.served_keys: set[str] = set()
        self._bundle_version = fleet.catalog.version
        self._resident_ms: dict[tuple[str, str], int] | None = None
        self._refilled_ms = now_ms
        self._loads: set[str] = set()

    def survey(self, now_ms: int) -> Survey:
        """Begins a round: reads the fleet and ages what is remembered."""
        self._refill(now_ms)
        self._age_orders(now_ms)
        if self.fleet.catalog.version != self._bundle_version:
            self._bundle_version = self.fleet.catalog.version
            self.bundle_seen_ms = now_ms
            self.demand.decay_ms = demand_decay_ms(self.fleet)
            self.demand.discard_unknown(
                lambda key: self.fleet.catalog.role_of(key) is not None
            )
        is_late = {
            order_id: now_ms - seen_ms > LOAD_PATIENCE_MS + 2 * self.load_ms
            for order_id, seen_ms in self.order_seen_ms.items()
        }
        held = {
            life_id
            for life_id, until_ms in self.orders_blocked_until_ms.items()
            if until_ms > now_ms
        }
        survey = Survey(self.fleet, self.request_counts, is_late, held)
        self.served_keys = {key for key, copies in survey.copies.items() if copies}
        self._age_residents(survey, now_ms)
        self._age_waiting(survey)
        self._age_plans(survey, now_ms)
        return survey

    def role_lives(self, role: str) -> list[Incarnation]:
        """Returns the engines of a role that serve."""
        return [
            incarnation
            for incarnation in self.fleet.lives.values()
            if incarnation.role == role and incarnation.state == backends.SERVING
        ]

    def update_backlog(self, life_id: str, tokens: int) -> None:
        """Averages the prompt tokens that wait to be read at an engine."""
        old = self.backlogs.get(life_id, 0.0)
        self.backlogs[life_id] = old + BACKLOG_WEIGHT * (tokens - old)

    def resident_long(self, life_id: str, key: str, now_ms: int) -> bool:
        """Tells whether a copy has been resident for the time of the hysteresis."""
        since_ms = (self._resident_ms or {}).get((life_id, key), now_ms)
        return now_ms - since_ms >= self._resident_limit_ms(key)

    def resident_rest_ms(self, life_id: str, key: str, now_ms: int) -> int:
        """Returns how long the hysteresis still keeps a copy."""
        since_ms = (self._resident_ms or {}).get((life_id, key), now_ms)
        return max(0, since_ms + self._resident_limit_ms(key) - now_ms)

    def _resident_limit_ms(self, key: str) -> int:
        """Returns the hysteresis of a copy; shorter where loads are short."""
        model = self.fleet.catalog.models.get(self.fleet.catalog.model_of(key) or "")
        if model is None or not model.load_ms:
            return RESIDENT_MS
        return min(
            RESIDENT_MS, RESIDENT_LOADS_COUNT * model_load_times.reload_ms(model)
        )

    def _refill(self, now_ms: int) -> None:
        rate = self.fleet.catalog.store.loads_per_s
        grown = self.store_tokens + rate * (now_ms - self._refilled_ms) / 1_000
        self.store_tokens = min(max(1.0, rate), grown)
        self._refilled_ms = now_ms

    def _age_orders(self, now_ms: int) -> None:
        open_orders = self.fleet.open_orders
        for order_id, seen_ms in list(self.order_seen_ms.items()):
            if order_id not in open_orders:
                del self.order_seen_ms[order_id]
                if order_id in self._loads:
                    self._loads.remove(order_id)
                    self.load_ms += (now_ms - seen_ms - self.load_ms) / 8
        for order in open_orders.values():
            self.order_seen_ms.setdefault(order.order_id, now_ms)
            if order.is_load() and not order.adapter:
                self._loads.add(order.order_id)

    def _age_residents(self, survey: Survey, now_ms: int) -> None:
        old = self._resident_ms
        # What a new leader finds has been there for an unknown time.
        first_ms = now_ms - RESIDENT_MS if old is None else now_ms
        known = old or {}
        self._resident_ms = {
            (room.incarnation.life_id, key): known.get(
                (room.incarnation.life_id, key), first_ms
            )
            for room in survey.rooms.values()
            for key in room.incarnation.ledger.reported
        }

    def _age_waiting(self, survey: Survey) -> None:
        for _, key in self.demand.waiting():
            if survey.is_served(key):
                self.demand.served(key)
                self.plans.pop(key, None)
                self.blocked_until_ms.pop(key, None)

    def _plan_life_ms(self, key: str) -> int:
        catalog = self.fleet.catalog
        role = catalog.roles.get(catalog.role_of(key) or "")
        if role is not None and role.orders_one_by_one:
            return ONE_BY_ONE_PLAN_LIFE_MS
        return PLAN_LIFE_MS

    def _age_plans(self, survey: Survey, now_ms: int) -> None:
        for key, plan in list(self.plans.items()):
            is_gone = self.fleet.catalog.role_of(key) is None
            is_alive = _is_alive(plan, survey, now_ms, self._plan_life_ms(key))
            if is_gone or not is_alive or survey.coming.get(key):
                del self.plans[key]
        for role, (key, plan) in list(self.holds.items()):
            is_done = survey.is_served(key) or survey.coming.get(key)
            if is_done or not _is_alive(plan, survey, now_ms, PLAN_LIFE_MS):
                del self.holds[role]
        for key, plan in self.plans.items():
            room = survey.rooms[plan.life_id]
            room.free_mib -= survey.grown_mib(room, key)


def demand_decay_ms(fleet: Fleet) -> int:
    """Returns the time over which demand is averaged, some loads long."""
    loads_ms = [model.load_ms for model in fleet.catalog.models.values()]
    longest_ms = max(loads_ms, default=0)
    return min(DECAY_MS, DECAY_LOADS_COUNT * longest_ms) if longest_ms else DECAY_MS


def _is_alive(plan: Plan, survey: Survey, now_ms: int, life_ms: int) -> bool:
    return plan.life_id in survey.rooms and now_ms - plan.since_ms < life_ms


def _blocked_ms(state: PlacementState, key: str, now_ms: int) -> int:
    return max(0, state.blocked_until_ms.get(key, now_ms) - now_ms)


def expected_ms(state: PlacementState, now_ms: int) -> dict[str, int]:
    """Returns the time until a copy is expected, by model or adapter name.

    Covers what is being loaded or waited for: the rest of a load under way, or the
    place in the waiting list by the store's rate, and the unload that comes first
    once the hysteresis allows it.
    """
    expected: dict[str, int] = {}
    catalog = state.fleet.catalog
    for order in state.fleet.open_orders.values():
        if order.is_load():
            seen_ms = state.order_seen_ms.get(order.order_id, now_ms)
            rest_ms = _order_ms(state, order) - (now_ms - seen_ms)
            expected[order.adapter or order.model] = max(LEAST_REST_MS, rest_ms)
    gap_ms = 1_000 / catalog.store.loads_per_s
    rank = 0
    served = state.served_keys
    for _, key in state.demand.waiting():
        name = key.split("/", 1)[1]
        if name in expected:
            continue
        if is_adapter_key(key) and model_key(catalog.model_of(key) or "") in served:
            expected[name] = _blocked_ms(state, key, now_ms) + ADAPTER_READY_MS
            continue
        base = catalog.model_of(key) or ""
        lives = state.role_lives(catalog.role_of(key) or "")
        has_local_weights = any(
            model_load_times.has_local_weights(incarnation, base)
            for incarnation in lives
        )
        rank += key == model_key(name) and not has_local_weights
        model = model_key(base or name)
        role = catalog.roles.get(catalog.role_of(key) or "")
        delay_ms = VIEW_DELAY_MS if role is None else role.unload_delay_ms
        unload_ms = delay_ms if key in state.plans else 0
        blocked_ms = max(_blocked_ms(state, one, now_ms) for one in (key, model))
        store_ms = 0 if has_local_weights else rank * gap_ms
        load_ms = _load_ms(state, base, lives)
        expected[name] = int(blocked_ms + store_ms + unload_ms + load_ms)
    return expected


def _order_ms(state: PlacementState, order: Order) -> int:
    """Returns the time until a load that was ordered shows in the view."""
    if order.adapter:
        return ADAPTER_READY_MS
    item = state.fleet.catalog.models.get(order.model)
    if item is None or not item.load_ms:
        return int(state.load_ms)
    return model_load_times.order_ms(item, order) + REPORT_DELAY_MS


def _load_ms(state: PlacementState, model: str, lives: list[Incarnation]) -> int:
    """Returns the time until a load that is ordered now shows in the view."""
    item = state.fleet.catalog.models.get(model)
    if item is None or not item.load_ms:
        return int(state.load_ms)
    return model_load_times.shortest_load_ms(item, lives) + REPORT_DELAY_MS
