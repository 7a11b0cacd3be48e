"""Admits or refuses requests on arrival by the leader's levels; for one entry.

Whether a share covers a request follows from a hash of the request alone. All entries
decide alike for the whole life of a request, so that a caller gains nothing by
returning at once or elsewhere. A refused caller is told to return once, as late as
callers still return, when the shortage may have ended.
"""

import dataclasses
import hashlib
import itertools
import math
from collections.abc import Collection, Iterable, Sequence

from cassiapitch import admission_codec
from cassiapitch.level_shares import Level
from cassiapitch.load_messages import RankLoad
from cassiapitch.load_report_queue import life_tag
from cassiapitch.local_levels import LocalLevels
from cassiapitch.offered_load import SKETCH_BITS
from cassiapitch.ranks import LEAST_URGENT_RANK
from cassiapitch.types import AccountName, LifeId
from cassiapitch.viewitems import BackendItem

# Levels are used for this long after they were received; the leader sends them at least
# once a second.
LEVELS_VALID_MS = 1_500
# Levels and reports are ignored while they take longer than this to the leader and
# back; a level that is older than the time in which the load changes does harm.
ROUND_TRIP_LIMIT_MS = 750
# Callers return only within this part of the time that is left to them. They are told
# times from half of it on, so that they don't return together.
RETRY_LEFT_SHARE = 1 / 3
# Time that is assumed to be left to requests without a deadline.
DEFAULT_LEFT_MS = 3_000
# Bounds of the time to return that is stated.
RETRY_MIN_MS = 100
RETRY_LIMIT_MS = 10_000
# After the leader told of a shortage, an entry without levels trusts the waits of its
# own requests for this long, longer than the election of a leader takes.
SHORT_LATELY_MS = 10_000
# After the last sign of a shortage, an entry goes on reporting its load for this long.
REPORT_AFTER_MS = 3_000
# Loads with an account of their own in a report. Those with less work count for all
# accounts of their queue and rank together, of which there are at most as many again.
RANK_LOADS_LIMIT_COUNT = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A request as the gate sees it.

    Attributes:
        key: What its draw depends on; the same for repeats of the request.
        queue: Its queue.
        rank: Its priority rank.
        account: Its client account.
        weight: The account's weight.
        work: Its prompt tokens, or 1.
        objective_ms: Its latency objective; 0 if there is none.
        left_ms: Time until its deadline when it arrived; 0 if there is none.
    """

    key: str
    queue: str
    rank: int
    account: AccountName
    weight: int = 1
    work: int = 1
    objective_ms: int = 0
    left_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Which candidates are closed to a request.

    Attributes:
        closed_lives: The closed ones.
        retry_after_ms: When to return if all are closed; None if one is open.
        is_in_time: Whether it will be served in time at an open one that is short, by
            its level or by the waits of its rank. The whole backlog there doesn't
            matter then, since engines serve less urgent requests later.
    """

    closed_lives: frozenset[LifeId] = frozenset()
    retry_after_ms: int | None = None
    is_in_time: bool = False


@dataclasses.dataclass(slots=True)
class _Load:
    sketch: int = 0
    attempts_count: int = 0
    attempts_work: int = 0
    refused_work: int = 0
    waiting_work: int = 0
    objective_ms: int = 0
    weight: int = 1
    deadline_ms: int = 0

    def add(self, other: "_Load") -> None:
        self.sketch |= other.sketch
        self.attempts_count += other.attempts_count
        self.attempts_work += other.attempts_work
        self.refused_work += other.refused_work
        self.waiting_work += other.waiting_work
        self.objective_ms = self.objective_ms or other.objective_ms
        self.deadline_ms = max(self.deadline_ms, other.deadline_ms)


class AdmissionGate:
    """Levels that an entry has received, and the load that it reports.

    Attributes:
        is_enabled: Whether anything is decided by levels.
        local: Shares by this entry's own waits, used while no level is in force.
    """

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Starts without levels.

        Args:
            is_enabled: Whether levels decide and load is reported; otherwise every
                request is admitted.
        """
        self.is_enabled = is_enabled
        self._levels: dict[int, tuple[Level, int]] = {}
        # When levels other than open ones have expired without being replaced.
        self._expired_ms: dict[int, int] = {}
        self.local = LocalLevels(is_enabled=is_enabled)
        self._leader_offset_ms = 0
        self._loads: dict[tuple[str, int, AccountName], _Load] = {}
        self._earlier_loads: dict[tuple[str, int, AccountName], _Load] = {}
        self._shortage_ms: int | None = None
        self._received_ms: int | None = None
        # Whether the leader's levels and reports arrive too late to be used.
        self._are_reports_late = False

    def receive(self, data: bytes, now_ms: int) -> bool:
        """Records the levels of a load report.

        Returns:
            Whether the leader should hear this entry's load at once.

        Raises:
            ValueError: They are malformed.
        """
        if not data or not self.is_enabled:
            return False
        is_new = not self.is_reporting(now_ms)
        message = admission_codec.unpack(data)
        self._leader_offset_ms = message.leader_ms - now_ms
        self._shortage_ms = self._received_ms = now_ms
        self._are_reports_late = message.round_trip_ms > ROUND_TRIP_LIMIT_MS
        if self._are_reports_late:
            return is_new or math.isinf(message.round_trip_ms)
        for tag, level in message.levels.items():
            self._levels[tag] = (level, now_ms)
            self._expired_ms.pop(tag, None)
        return is_new

    def has_levels(self, now_ms: int) -> bool:
        """Returns whether any level is in force; forgets those that are too old."""
        for tag, (level, received_ms) in list(self._levels.items()):
            if now_ms - received_ms > LEVELS_VALID_MS:
                del self._levels[tag]
                if level.share_of(LEAST_URGENT_RANK, None) < 1:
                    self._expired_ms[tag] = now_ms
        if self._expired_ms:
            self._expired_ms = {
                tag: expired_ms
                for tag, expired_ms in self._expired_ms.items()
                if now_ms - expired_ms <= SHORT_LATELY_MS
            }
        return bool(self._levels)

    def decide(
        self,
        asked: Asked,
        candidates: Sequence[BackendItem],
        idle_lives: Iterable[LifeId],
        roomy_lives: Iterable[LifeId],
        now_ms: int,
    ) -> Verdict:
        """Decides about a request that arrives, and counts it.

        Args:
            asked: The request.
            candidates: The backend servers that could serve it.
            idle_lives: Those that reports don't show to be busy. Unless this entry has
                a request pending at one of the candidates, all of them are open to it
                if none is shown to be busy, whatever their levels.
            roomy_lives: Those that seem to have room. They are open unless the leader
                told of a shortage lately, or prompts of this entry are late there.
            now_ms: The current time.
        """
        if not self.is_enabled:
            return Verdict()
        self._count(asked, now_ms)
        has_levels = self.has_levels(now_ms)
        late_lives = self.local.late_lives(now_ms)
        has_all_levels = has_levels and all(map(self._level_of, candidates))
        local_share = 1.0
        if not has_all_levels:
            local_share = self.local.account_share(asked.rank, asked.account, now_ms)
        received_ms = self._received_ms
        is_short_lately = (
            received_ms is not None and now_ms - received_ms <= SHORT_LATELY_MS
        )
        if not candidates or not (has_levels or local_share < 1 or is_short_lately):
            return Verdict()
        calm: set[LifeId] = set()
        if not is_short_lately:
            calm = {
                life_id
                for life_id in set(roomy_lives) - late_lives
                if not self.local.pending_count(life_id)
            }
        shares = {}
        for item in candidates:
            share = self.share(item, asked)
            if item.life_id in calm:
                share = 1.0
            elif self._level_of(item) is None and (
                not has_levels or self._has_expired(item) or item.life_id in late_lives
            ):
                share = local_share
            shares[item.life_id] = share
        best_share = max(shares.values())
        if best_share < 1 and self._may_be_idle(shares, set(idle_lives)):
            return Verdict(is_in_time=True)
        if has_all_levels:
            self.local.follow(asked.rank, best_share, now_ms)
        draw = _hash_share(f"{asked.key}/draw")
        if draw < best_share:
            closed = [life_id for life_id, share in shares.items() if draw >= share]
            is_in_time = any(
                draw < share and self._level_of(item) is not None
                for item, share in zip(candidates, shares.values(), strict=True)
            )
            if not has_all_levels and is_short_lately and local_share >= 1:
                is_in_time = True
            # Late reports of the backlog say nothing about the time that is left.
            is_in_time = is_in_time or self._are_reports_late
            return Verdict(frozenset(closed), is_in_time=is_in_time)
        self.count_refusal(asked, now_ms)
        return Verdict(frozenset(shares), _retry_after_ms(asked))

    def _may_be_idle(
        self, life_ids: Collection[LifeId], idle_lives: Collection[LifeId]
    ) -> bool:
        """Returns whether nothing proves that one of some backend servers is busy.

        A request of this entry that waits for its answer proves it, and so do reports
        of a backlog that cannot have been processed yet.
        """
        if any(map(self.local.pending_count, life_ids)):
            return False
        return self._are_reports_late or all(x in idle_lives for x in life_ids)

    def share(self, backend: BackendItem, asked: Asked) -> float:
        """Returns the share of such requests that a backend server gets."""
        level = self._level_of(backend)
        if level is None:
            return 1.0
        account = admission_codec.account_tag(asked.account)
        return level.share_of(asked.rank, account)

    def _has_expired(self, backend: BackendItem) -> bool:
        """Returns whether a backend server was short when its level expired."""
        return (
            life_tag(backend.life_id) in self._expired_ms
            or admission_codec.role_tag(backend.role) in self._expired_ms
        )

    def _level_of(self, backend: BackendItem) -> Level | None:
        item = self._levels.get(life_tag(backend.life_id))
        if item is None:
            item = self._levels.get(admission_codec.role_tag(backend.role))
        return None if item is None else item[0]

    def count_refusal(self, asked: Asked, now_ms: int) -> None:
        """Counts a request that was refused for lack of capacity."""
        if not self.is_enabled:
            return
        self._shortage_ms = now_ms
        self._load_of(asked).refused_work += asked.work

    def note_busy(self, now_ms: int) -> bool:
        """Records that a request found no backend server with room.

        Returns:
            Whether the leader should hear at once.
        """
        if not self.is_enabled:
            return False
        is_new = not self.is_reporting(now_ms)
        self._shortage_ms = now_ms
        return is_new

    def is_reporting(self, now_ms: int) -> bool:
        """Returns whether there were signs of a shortage lately."""
        since_ms = self._shortage_ms
        return since_ms is not None and now_ms - since_ms <= REPORT_AFTER_MS

    def report(self, waiting: Iterable[Asked], now_ms: int) -> tuple[RankLoad, ...]:
        """Returns the load since the last report; empty without signs of a shortage.

        Args:
            waiting: The requests that wait for a slot.
            now_ms: The current time.
        """
        loads, self._loads = self._loads, {}
        earlier, self._earlier_loads = self._earlier_loads, {}
        if not self.is_reporting(now_ms):
            # The first report of a shortage tells what arrived before it was known.
            self._earlier_loads = loads
            return ()
        for key, load in earlier.items():
            loads.setdefault(key, _Load(weight=load.weight)).add(load)
        for asked in waiting:
            key = (asked.queue, asked.rank, asked.account)
            load = loads.setdefault(key, _Load(weight=asked.weight))
            load.waiting_work += asked.work
        order = sorted(loads, key=lambda key: -loads[key].attempts_work)
        for key in order[RANK_LOADS_LIMIT_COUNT:]:
            load = loads.pop(key)
            total = loads.setdefault((*key[:2], AccountName("")), _Load())
            total.add(load)
        return tuple(
            RankLoad(
                queue,
                rank,
                account,
                load.sketch,
                load.attempts_count,
                load.attempts_work,
                load.waiting_work,
                load.refused_work,
                load.objective_ms,
                load.weight,
                load.deadline_ms,
                0 if index else self._leader_ms(now_ms),
            )
            for index, ((queue, rank, account), load) in enumerate(
                itertools.islice(loads.items(), 2 * RANK_LOADS_LIMIT_COUNT)
            )
        )

    def _leader_ms(self, now_ms: int) -> int:
        """Returns the leader's time by its last levels, 0 without any lately."""
        received_ms = self._received_ms
        if received_ms is None or now_ms - received_ms > LEVELS_VALID_MS:
            return 0
        return self._leader_offset_ms + now_ms

    def describe(self, now_ms: int) -> dict[int, dict[str, float]]:
        """Returns the levels in force by the number of the server, for the dump."""
        return {
            tag: {
                "marginal_rank": level.marginal_rank,
                "share": round(level.share, 3),
                "floor": round(level.floor, 3),
                "age_ms": now_ms - received_ms,
            }
            for tag, (level, received_ms) in self._levels.items()
            if now_ms - received_ms <= LEVELS_VALID_MS
        }

    def strictest_rank(self, now_ms: int) -> int | None:
        """Returns the most urgent marginal rank in force, None without a shortage."""
        return min(
            (
                level.marginal_rank
                for level, received_ms in self._levels.values()
                if now_ms - received_ms <= LEVELS_VALID_MS
            ),
            default=None,
        )

    def _count(self, asked: Asked, now_ms: int) -> None:
        load = self._load_of(asked)
        bit = int(_hash_share(asked.key) * SKETCH_BITS)
        load.sketch |= 1 << bit
        self.local.arrived(asked.rank, asked.account, asked.weight, bit, now_ms)
        load.attempts_count += 1
        load.attempts_work += asked.work

    def _load_of(self, asked: Asked) -> _Load:
        key = (asked.queue, asked.rank, asked.account)
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = _Load()
        load.objective_ms, load.weight = asked.objective_ms, asked.weight
        load.deadline_ms = max(load.deadline_ms, asked.left_ms)
        return load


def _retry_after_ms(asked: Asked) -> int:
    """Returns when a refused caller is to return, a different time for each request."""
    longest_ms = RETRY_LEFT_SHARE * (asked.left_ms or DEFAULT_LEFT_MS)
    spread = 0.5 + _hash_share(f"{asked.key}/return") / 2
    return min(RETRY_LIMIT_MS, max(RETRY_MIN_MS, int(longest_ms * spread)))


def _hash_share(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
