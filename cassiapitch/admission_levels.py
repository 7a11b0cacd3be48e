"""Admission levels of backend servers that are short of capacity; for the leader.

The leader sums what entries report: offered work by queue, rank and client account,
and each backend server's requests in flight, pending work by rank and served work. A
backend server is short while a rank that is offered there would wait for longer than
its deadline allows behind the backlog of its own and of more urgent ranks. Its level
then admits ranks in full from the most urgent one on, the marginal rank by a share that
its client accounts divide by weight, and the others by a floor.

Work is in prompt tokens, for plain services in requests.
"""

import collections
import dataclasses
from collections.abc import Iterable, Mapping, Sequence

from cassiapitch.level_shares import OPEN, Level, Offered, decide
from cassiapitch.load_messages import RankLoad
from cassiapitch.offered_load import OfferedLoad
from cassiapitch.ranks import LEAST_URGENT_RANK
from cassiapitch.types import LifeId

# Entries report twice a second, at different times, so that a tick sees about half of
# them.
TICK_MS = 250
# A tick takes about 7 us for each backend server under light load, and 30 us while all
# are short. The time between ticks grows with their number, by this for each.
TICK_MS_PER_SERVER = 0.25
# A tick follows this long after a shortage was found, when the first entries have sent
# their loads.
FIRST_LOADS_MS = 60
# Part of a rank's deadline that its expected wait may take. The rest is for the
# request's own prefill, the way there and the age of the reports.
WAIT_DEADLINE_SHARE = 0.7
# Where earlier builds report no deadline, the objective counts as one.
DEFAULT_OBJECTIVE_MS = 1_000
# Part of the capacity that a rank is assumed to get whatever is offered by more urgent
# ones, which may exceed the capacity for a moment.
MIN_RATE_SHARE = 0.1
# Share of the slots from which on requests that wait at entries wait for a slot, and
# the share below which a backend server without a backlog is never short.
FULL_SLOTS_SHARE = 0.95
CALM_SLOTS_SHARE = 0.5
# Pressure, the expected wait as part of what is allowed, that a level aims at and below
# which a shortage ends. It begins at 1.
AIMED_PRESSURE = 1.3
END_PRESSURE = 0.5
END_TICKS_COUNT = 2
# Most that one tick adds to a share, with and without a backlog. Refused requests whose
# callers go on returning aren't counted. When a share rose at once, they filled the
# backend server before the other callers had returned.
SHARE_RISE = 0.25
SHARE_RISE_CALM = 0.5
# Capacity is measured over at least this time, in which each entry reports once. What
# was measured over one tick was down to a quarter of the capacity under light load.
CAPACITY_WINDOW_MS = 450
# Weight of the newest measurement of a backend server's capacity, if it is higher and
# if it is lower. Reports that arrive late make single measurements too low.
CAPACITY_UP_WEIGHT = 0.3
CAPACITY_DOWN_WEIGHT = 0.15
# Weight of the newest round trip of levels and the reports that answer them.
ROUND_TRIP_SAMPLE_WEIGHT = 0.1
# Weight of the newest speed that an entry reports.
SPEED_SAMPLE_WEIGHT = 0.1
# How much the admitted work departs from the capacity for each unit of pressure above
# or below its aim, and its bounds as parts of the capacity.
PRESSURE_GAIN = 0.6
ADMITTED_BOUNDS = (0.8, 1.6)
# Bounds of what one tick changes in the admitted work.
ADMITTED_STEP = (0.4, 1.6)
# Admitted work as part of the capacity while less than half of the slots are taken and
# nothing waits: then less arrives than was counted.
CALM_ADMITTED = 1.5


@dataclasses.dataclass(frozen=True, slots=True)
class Server:
    """A serving backend server at one tick.

    Attributes:
        life_id: Its incarnation.
        role: Its role.
        queues: Models that it serves, or the role of a plain service.
        slots_count: Requests that it runs at once.
        in_flight_count: Requests of all entries there.
        pending_work: Work of those that have not begun to be answered; None if it
            isn't reported.
        rank_work: `pending_work` by rank, as far as entries report it.
    """

    life_id: LifeId
    role: str
    queues: tuple[str, ...]
    slots_count: int
    in_flight_count: int
    pending_work: float | None
    rank_work: Mapping[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _ServerState:
    """What the leader knows of one backend server.

    Attributes:
        capacity: Work per millisecond that it does while it is busy; None if not known.
        speed: The same as entries saw it for their own prompts, used until the capacity
            was measured; 0 if not known.
        pending_work: At the last tick, with what waited at entries for a slot.
        served_work: Since the last tick, as entries report it.
        window: Duration, pending work at the beginning and served work of the last
            ticks.
        admitted: Work per millisecond that its level admits; None if it isn't short.
        level: The level in force; None if it isn't short.
        calm_ticks_count: Ticks in a row in which its shortage could have ended.
        ended_ms: When its last shortage ended.
    """

    capacity: float | None = None
    speed: float = 0.0
    pending_work: float = 0.0
    served_work: float = 0.0
    window: collections.deque[tuple[int, float, float]] = dataclasses.field(
        default_factory=collections.deque
    )
    admitted: float | None = None
    level: Level | None = None
    calm_ticks_count: int = 0
    ended_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Backend servers whose shortage began or ended at a tick, by role."""

    begun: dict[LifeId, str]
    ended: dict[LifeId, str]


class AdmissionLevels:
    """Offered load and admission levels of one controller term."""

    def __init__(self) -> None:
        """Starts without levels."""
        self._offered_load = OfferedLoad()
        self._servers: dict[LifeId, _ServerState] = {}
        self._roles: dict[LifeId, str] = {}
        self._last_tick_ms: int | None = None
        # Whether a shortage was found while no entry reported its load.
        self._needs_loads = False
        # Moving average of the time for levels to arrive and the answer to come back;
        # None if not known.
        self.round_trip_ms: float | None = None
        # Whether it has been measured since the last tick, or at the last tick, for the
        # first time.
        self._is_round_trip_new = self._is_round_trip_due = False

    def record_loads(
        self, entry: str, rank_loads: Sequence[RankLoad], now_ms: int
    ) -> None:
        """Adds an entry's report of what requests it got since the last one."""
        self._offered_load.record(entry, rank_loads, now_ms)
        for item in rank_loads:
            if item.leader_ms:
                self._record_round_trip(max(0, now_ms - item.leader_ms))

    def _record_round_trip(self, sample_ms: int) -> None:
        known_ms = self.round_trip_ms
        if known_ms is None:
            self._is_round_trip_new = True
            known_ms = sample_ms
        change_ms = sample_ms - known_ms
        self.round_trip_ms = known_ms + ROUND_TRIP_SAMPLE_WEIGHT * change_ms

    def record_served(
        self, life_id: LifeId, work: float, tokens_per_s: int = 0
    ) -> None:
        """Adds what an entry reports of a backend server's work.

        Args:
            life_id: The incarnation.
            work: Work that it did for the entry since the last report.
            tokens_per_s: Speed at which it processed the entry's prompts; 0 if not
                known.
        """
        state = self._servers.get(life_id)
        if state is None:
            return
        state.served_work += work
        if tokens_per_s:
            speed = tokens_per_s / 1_000
            state.speed += SPEED_SAMPLE_WEIGHT * (speed - (state.speed or speed))
            state.speed = state.speed or speed

    def is_due(self, now_ms: int) -> bool:
        """Returns whether the time of a tick has passed."""
        if self._last_tick_ms is None:
            return True
        tick_ms = FIRST_LOADS_MS if self._has_first_loads() else self.tick_ms
        return now_ms - self._last_tick_ms >= tick_ms

    @property
    def tick_ms(self) -> int:
        """Time between ticks."""
        return max(TICK_MS, int(TICK_MS_PER_SERVER * len(self._servers)))

    def _has_first_loads(self) -> bool:
        return self._needs_loads and bool(self._offered_load)

    @property
    def needs_loads(self) -> bool:
        """Whether entries are to be told at once.

        They are to report their loads, or use levels that they ignored since it wasn't
        known how long messages take.
        """
        return self._is_round_trip_due or (self._needs_loads and not self._offered_load)

    def tick(self, servers: Iterable[Server], now_ms: int) -> Changes:
        """Updates the levels; call it if `is_due`, with all backend servers."""
        servers = list(servers)
        elapsed_ms = TICK_MS
        if self._last_tick_ms is not None:
            elapsed_ms = max(1, now_ms - self._last_tick_ms)
        self._last_tick_ms = now_ms
        self._is_round_trip_due = self._is_round_trip_new
        self._is_round_trip_new = False
        self._forget(servers, now_ms)
        by_queue: dict[str, list[LifeId]] = collections.defaultdict(list)
        for server in servers:
            for queue in server.queues:
                by_queue[queue].append(server.life_id)
        self._needs_loads = False
        self._offered_load.end_tick(self.tick_ms)
        offered_by_queue = self._offered_load.by_queue()
        waiting = self._offered_load.waiting_by_queue(now_ms)
        begun, ended = {}, {}
        for server in servers:
            state = self._servers.setdefault(server.life_id, _ServerState())
            self._roles[server.life_id] = server.role
            was_short = state.level is not None
            offered = _offered_at(server, offered_by_queue, by_queue)
            backlog = _backlog_by_rank(server, offered)
            for (queue, rank), work in waiting.items():
                if queue in server.queues:
                    part = work / len(by_queue[queue])
                    backlog[rank] = backlog.get(rank, 0.0) + part
            self._measure(state, server, by_queue, elapsed_ms)
            slots_share = server.in_flight_count / max(1, server.slots_count)
            if slots_share >= FULL_SLOTS_SHARE:
                state.pending_work = sum(backlog.values())
            pressures = self._pressures(state, server, offered, backlog)
            is_calm = slots_share < CALM_SLOTS_SHARE and not any(backlog.values())
            self._update_level(state, offered, pressures, now_ms, is_calm=is_calm)
            if (state.level is not None) != was_short:
                (ended if was_short else begun)[server.life_id] = server.role
        self._offered_load.attempted_work.clear()
        self._offered_load.refused_work.clear()
        return Changes(begun, ended)

    def current(self, now_ms: int, valid_ms: int) -> dict[LifeId, Level]:
        """Returns the levels in force, and `OPEN` where a shortage has just ended."""
        levels = {}
        for life_id, state in self._servers.items():
            if state.level is not None:
                levels[life_id] = state.level
            elif state.ended_ms is not None and now_ms - state.ended_ms <= valid_ms:
                levels[life_id] = OPEN
        return levels

    def role_of(self, life_id: LifeId) -> str:
        """Returns the role of a backend server of the last tick."""
        return self._roles.get(life_id, "")

    def servers_count(self, role: str) -> int:
        """Returns the number of backend servers of a role at the last tick."""
        return sum(other == role for other in self._roles.values())

    def describe(self) -> dict[str, dict[str, object]]:
        """Returns the backend servers that are short of capacity, for the dump."""
        return {
            life_id: {
                "role": self.role_of(life_id),
                "marginal_rank": state.level.marginal_rank,
                "share": round(state.level.share, 3),
                "floor": round(state.level.floor, 3),
                "shares_by_account": {
                    account: round(share, 3)
                    for account, share in state.level.shares.items()
                },
                "capacity_per_s": state.capacity and round(state.capacity * 1_000),
                "pending_work": round(state.pending_work),
            }
            for life_id, state in self._servers.items()
            if state.level is not None
        }

    def _measure(
        self,
        state: _ServerState,
        server: Server,
        by_queue: Mapping[str, Sequence[LifeId]],
        elapsed_ms: int,
    ) -> None:
        """Measures the capacity in the time of the last ticks.

        A backend server that has served less than what was pending at its beginning
        was busy all the time.
        """
        window = state.window
        window.append((elapsed_ms, state.pending_work, state.served_work))
        window_ms = sum(item[0] for item in window)
        while window_ms - window[0][0] >= CAPACITY_WINDOW_MS:
            window_ms -= window.popleft()[0]
        served_work = sum(item[2] for item in window)
        sample: float | None = None
        if server.pending_work is None:
            # It reports its load itself, so only what entries admitted is known.
            load = self._offered_load
            admitted = sum(
                (load.attempted_work[queue] - load.refused_work[queue])
                / len(by_queue[queue])
                for queue in server.queues
            )
            if server.in_flight_count >= CALM_SLOTS_SHARE * server.slots_count:
                sample = admitted / elapsed_ms
        elif (
            window_ms >= CAPACITY_WINDOW_MS
            and 0 < served_work < window[0][1]
            and all(pending_work for _, pending_work, _ in window)
        ):
            sample = served_work / window_ms
        if sample:
            known = state.capacity
            weight = CAPACITY_UP_WEIGHT
            if known is None:
                weight = 1.0
            elif sample < known:
                # Without a shortage the load may be less than the capacity.
                weight = CAPACITY_DOWN_WEIGHT if state.level else 0.0
            state.capacity = (known or 0.0) * (1 - weight) + sample * weight
        state.pending_work = server.pending_work or 0.0
        state.served_work = 0.0

    def _pressures(
        self,
        state: _ServerState,
        server: Server,
        offered: Offered,
        backlog: Mapping[int, float],
    ) -> dict[int, float]:
        """Returns each rank's expected wait as part of what its deadline allows."""
        capacity = state.capacity or state.speed
        if not capacity:
            return {}
        waits_ms = expected_waits_ms(backlog, offered, state.level, capacity)
        return {
            rank: wait_ms / (WAIT_DEADLINE_SHARE * self._deadline_ms(server, rank))
            for rank, wait_ms in waits_ms.items()
        }

    def _deadline_ms(self, server: Server, rank: int) -> float:
        known_ms = (
            self._offered_load.deadline_ms(queue, rank) for queue in server.queues
        )
        return min((x for x in known_ms if x is not None), default=DEFAULT_OBJECTIVE_MS)

    def _update_level(
        self,
        state: _ServerState,
        offered: Offered,
        pressures: Mapping[int, float],
        now_ms: int,
        *,
        is_calm: bool,
    ) -> None:
        pressure = max(pressures.values(), default=0.0)
        total = sum(sum(accounts.values()) for accounts in offered.values())
        if state.level is None:
            if pressure < 1:
                return
            if not total:
                # Entries send their load once they hear of a shortage.
                state.ended_ms = now_ms
                self._needs_loads = True
                return
            capacity = state.capacity or state.speed
            most = capacity / ADMITTED_STEP[0]
            state.admitted = max(min(total, most), capacity)
            state.calm_ticks_count, state.ended_ms = 0, None
        capacity = state.capacity or state.speed or total
        factor = 1 - PRESSURE_GAIN * (pressure - AIMED_PRESSURE)
        before = state.admitted or total
        low, high = ADMITTED_STEP
        aim = capacity * (
            CALM_ADMITTED if is_calm else _bounded(factor, ADMITTED_BOUNDS)
        )
        state.admitted = _bounded(aim, (low * before, high * before))
        if total <= state.admitted and (is_calm or pressure < END_PRESSURE):
            state.calm_ticks_count += 1
        else:
            state.calm_ticks_count = 0
        level = decide(offered, self._offered_load.weights, state.admitted)
        first_rank = min(offered, default=LEAST_URGENT_RANK)
        first_pressure = pressures.get(first_rank, 0.0)
        if level.marginal_rank == first_rank and first_pressure < 1:
            # It is refused only if it would wait for too long itself.
            level = Level(first_rank + 1, level.floor, level.floor)
        if state.level is not None:
            rise = SHARE_RISE_CALM if is_calm else SHARE_RISE
            level = level.risen_from(state.level, sorted(offered), rise)
        state.level = level
        is_over = state.calm_ticks_count >= (1 if is_calm else END_TICKS_COUNT)
        if is_over and level is OPEN:
            state.level, state.admitted, state.ended_ms = None, None, now_ms

    def _forget(self, servers: list[Server], now_ms: int) -> None:
        """Forgets what is gone, so that nothing is left under light load."""
        self._offered_load.forget(now_ms)
        life_ids = {server.life_id for server in servers}
        for life_id in self._servers.keys() - life_ids:
            del self._servers[life_id]
            self._roles.pop(life_id, None)


def _offered_at(
    server: Server,
    offered_by_queue: Mapping[str, Offered],
    by_queue: Mapping[str, Sequence[LifeId]],
) -> Offered:
    """Returns a backend server's part of the offered work of its queues."""
    offered: Offered = {}
    for queue in server.queues:
        for rank, accounts in offered_by_queue.get(queue, {}).items():
            totals = offered.setdefault(rank, {})
            for account, rate in accounts.items():
                part = rate / len(by_queue[queue])
                totals[account] = totals.get(account, 0.0) + part
    return offered


def expected_waits_ms(
    backlog: Mapping[int, float],
    offered: Offered,
    level: Level | None,
    capacity: float,
) -> dict[int, float]:
    """Returns how long a new request of each rank would wait at a backend server.

    Prompts are processed by rank. A rank waits for the backlog of its own and of more
    urgent ranks, which is processed with what the arrivals of more urgent ranks leave
    of the capacity.
    """
    waits_ms = {}
    ahead = urgent_rate = 0.0
    for rank in sorted(offered.keys() | backlog.keys()):
        ahead += backlog.get(rank, 0.0)
        rate = max(MIN_RATE_SHARE * capacity, capacity - urgent_rate)
        waits_ms[rank] = ahead / rate
        for account, work in offered.get(rank, {}).items():
            urgent_rate += work * (level.share_of(rank, account) if level else 1.0)
    return waits_ms


def _backlog_by_rank(server: Server, offered: Offered) -> dict[int, float]:
    """Returns the pending work by rank.

    What earlier builds report without ranks counts as least urgent.
    """
    backlog = dict(server.rank_work)
    unknown = (server.pending_work or 0.0) - sum(backlog.values())
    if unknown > 0:
        last_rank = max(offered.keys() | backlog.keys(), default=LEAST_URGENT_RANK)
        backlog[last_rank] = backlog.get(last_rank, 0.0) + unknown
    return backlog


def _bounded(value: float, bounds: tuple[float, float]) -> float:
    return min(bounds[1], max(bounds[0], value))
