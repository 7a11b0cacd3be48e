"""Load that entries report by queue, rank and client account; for the leader."""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence

from cassiapitch.level_shares import Offered
from cassiapitch.load_messages import RankLoad
from cassiapitch.types import AccountName

# New requests are counted over this many ticks, short enough to forget a burst within
# 2 s. Those that arrived in as many ticks before are repeats. A sketch of 64 bits can
# count about 200 requests in both for each queue, rank and account.
OFFERED_TICKS_COUNT = 4
SKETCH_BITS = 64
SATURATED_BITS_COUNT = 60
# Weight of the newest count of offered requests.
OFFERED_SAMPLE_WEIGHT = 0.5
# Reports of waiting requests are used for this long.
WAITING_VALID_MS = 1_500
# Weight of the newest report in the average deadline of a queue and rank.
DEADLINE_SAMPLE_WEIGHT = 0.2
# Bound of the state: further accounts of a queue and rank count as one.
OFFERED_LIMIT_COUNT = 4_096


@dataclasses.dataclass(slots=True)
class Sketches:
    """Requests of one queue, rank and account in the last ticks.

    Attributes:
        ticks: Sketch, attempts and their work of each tick; the last one is going on.
        rate: Moving average of the offered work per millisecond.
        is_saturated: Whether too many requests arrived to be counted.
    """

    ticks: collections.deque[tuple[int, int, int]] = dataclasses.field(
        default_factory=lambda: collections.deque([(0, 0, 0)])
    )
    rate: float = 0.0
    is_saturated: bool = False

    def add(self, item: RankLoad) -> None:
        """Adds an entry's report to the current tick."""
        sketch, count, work = self.ticks[-1]
        self.ticks[-1] = (
            sketch | item.sketch,
            count + item.attempts_count,
            work + item.attempts_work,
        )

    def end_tick(self, tick_ms: int) -> None:
        """Updates the rate and begins the next tick."""
        ticks = list(self.ticks)
        newest = ticks[-OFFERED_TICKS_COUNT:]
        earlier_sketch = sketch = 0
        for bits, _, _ in ticks[:-OFFERED_TICKS_COUNT]:
            earlier_sketch |= bits
        for bits, _, _ in ticks:
            sketch |= bits
        attempts_count = sum(count for _, count, _ in newest)
        mean_work = sum(work for _, _, work in newest) / max(1, attempts_count)
        new_count = distinct_count(sketch.bit_count()) - distinct_count(
            earlier_sketch.bit_count()
        )
        count = min(attempts_count, new_count)
        self.is_saturated = sketch.bit_count() > SATURATED_BITS_COUNT
        rate = count * mean_work / (tick_ms * OFFERED_TICKS_COUNT)
        weight = OFFERED_SAMPLE_WEIGHT if self.rate and rate else 1.0
        self.rate += weight * (rate - self.rate)
        self.ticks.append((0, 0, 0))
        if len(self.ticks) > 2 * OFFERED_TICKS_COUNT:
            self.ticks.popleft()


def distinct_count(bits_count: int) -> float:
    """Returns how many requests set that many bits (linear counting)."""
    free = max(1, SKETCH_BITS - bits_count)
    return SKETCH_BITS * math.log(SKETCH_BITS / free)


class OfferedLoad:
    """What entries report of arrivals and of waiting requests.

    Attributes:
        attempted_work: Work that arrived since the last tick, repeats included, by
            queue.
        refused_work: Work of those that were refused for lack of capacity.
        weights: Weight of each account.
    """

    def __init__(self) -> None:
        """Starts without load."""
        # By queue, rank and account.
        self._offered: dict[tuple[str, int, AccountName], Sketches] = {}
        # Of all accounts, by queue and rank.
        self._offered_totals: dict[tuple[str, int], Sketches] = {}
        # Refused work of repeats included, and attempted work, by queue.
        self.attempted_work: collections.Counter[str] = collections.Counter()
        self.refused_work: collections.Counter[str] = collections.Counter()
        # By queue, then by rank.
        self._deadlines_ms: dict[str, dict[int, float]] = {}
        self.weights: dict[AccountName, int] = {}
        # Waiting work by queue and rank, and when it was reported, by entry.
        self._waiting: dict[str, tuple[dict[tuple[str, int], float], int]] = {}

    def __bool__(self) -> bool:
        """Returns whether any entry reported its load lately."""
        return bool(self._offered)

    def record(self, entry: str, rank_loads: Sequence[RankLoad], now_ms: int) -> None:
        """Adds an entry's report of what requests it got since the last one."""
        waiting: collections.Counter[tuple[str, int]] = collections.Counter()
        for item in rank_loads:
            key = (item.queue, item.rank, item.account)
            if key not in self._offered and len(self._offered) >= OFFERED_LIMIT_COUNT:
                key = (item.queue, item.rank, AccountName(""))
            self._offered.setdefault(key, Sketches()).add(item)
            self._offered_totals.setdefault(key[:2], Sketches()).add(item)
            self.attempted_work[item.queue] += item.attempts_work
            self.refused_work[item.queue] += item.refused_work
            if deadline_ms := item.deadline_ms or item.objective_ms:
                by_rank = self._deadlines_ms.setdefault(item.queue, {})
                known_ms = by_rank.setdefault(item.rank, deadline_ms)
                by_rank[item.rank] += DEADLINE_SAMPLE_WEIGHT * (deadline_ms - known_ms)
            self.weights[item.account] = max(1, item.weight)
            waiting[item.queue, item.rank] += item.waiting_work
        if waiting:
            self._waiting[entry] = (dict(waiting), now_ms)
        else:
            self._waiting.pop(entry, None)

    def end_tick(self, tick_ms: int) -> None:
        """Updates the rates of offered work."""
        for sketches in (*self._offered.values(), *self._offered_totals.values()):
            sketches.end_tick(tick_ms)

    def deadline_ms(self, queue: str, rank: int) -> float | None:
        """Returns the average deadline of a queue and rank; None if not known."""
        return self._deadlines_ms.get(queue, {}).get(rank)

    def by_queue(self) -> dict[str, Offered]:
        """Returns the offered work of each queue."""
        by_queue: dict[str, Offered] = {}
        for (queue, rank, account), sketches in self._offered.items():
            accounts = by_queue.setdefault(queue, {}).setdefault(rank, {})
            accounts[account] = sketches.rate
        for queue, by_rank in by_queue.items():
            for rank, accounts in by_rank.items():
                total = self._offered_totals[queue, rank]
                _share_unnamed(accounts, self.weights)
                if total.is_saturated:
                    continue
                factor = total.rate / (sum(accounts.values()) or 1.0)
                for account in accounts:
                    accounts[account] *= min(1.0, factor)
        return by_queue

    def waiting_by_queue(self, now_ms: int) -> collections.Counter[tuple[str, int]]:
        """Returns the work that waits at entries for a slot, by queue and rank."""
        totals: collections.Counter[tuple[str, int]] = collections.Counter()
        for work, at_ms in self._waiting.values():
            if now_ms - at_ms <= WAITING_VALID_MS:
                totals.update(work)
        return totals

    def forget(self, now_ms: int) -> None:
        """Forgets what is gone, so that nothing is left under light load."""
        self._offered = {
            key: sketches
            for key, sketches in self._offered.items()
            if any(count for _, count, _ in sketches.ticks)
        }
        keys = {key[:2] for key in self._offered}
        self._offered_totals = {
            key: sketches
            for key, sketches in self._offered_totals.items()
            if key in keys
        }
        queues = {queue for queue, _ in keys}
        self._deadlines_ms = {
            queue: by_rank
            for queue, by_rank in self._deadlines_ms.items()
            if queue in queues
        }
        accounts = {account for _, _, account in self._offered}
        self.weights = {
            account: weight
            for account, weight in self.weights.items()
            if account in accounts
        }
        self._waiting = {
            entry: item
            for entry, item in self._waiting.items()
            if now_ms - item[1] <= WAITING_VALID_MS
        }


def _share_unnamed(
    accounts: dict[AccountName, float], weights: Mapping[AccountName, int]
) -> None:
    """Shares the load that entries report without an account among the known ones.

    It belongs to accounts that are below the entries' limit of lines. As an account of
    its own it would get a large share, which holds for all accounts without their own.
    """
    if len(accounts) < 2 or AccountName("") not in accounts:
        return
    unnamed = accounts.pop(AccountName(""))
    total = sum(weights.get(account, 1) for account in accounts)
    for account in accounts:
        accounts[account] += unnamed * weights.get(account, 1) / total
