"""Shares of ranks that an entry admits by the waits of its own requests only.

Used while the leader's levels are missing. A rank whose requests wait for longer than
their deadline allows is admitted by less, and no rank by more than a more urgent one;
the shares rise again slowly (additive increase, multiplicative decrease).
"""

import collections
import dataclasses

from cassiapitch.admission_levels import DEFAULT_OBJECTIVE_MS, WAIT_DEADLINE_SHARE
from cassiapitch.level_shares import FLOOR_SHARE, fair_shares
from cassiapitch.offered_load import distinct_count
from cassiapitch.types import AccountName, LifeId

STEP_MS = 250
DECREASE = 0.6
INCREASE = 0.05
# Without the leader, an entry doesn't know the share of all requests; each rank keeps
# this part of its own.
FLOOR = 0.08
# Weight of the newest share by the leader's levels.
FOLLOW_WEIGHT = 0.2
# Waits are used for this long.
WAIT_VALID_MS = 1_000
# Requests are counted by account in this period and the one before it; a rank's further
# accounts get the mean share.
ARRIVALS_PERIOD_MS = 1_000
ACCOUNTS_LIMIT_COUNT = 64
# So many requests may wait for an answer without a sign of a shortage.
UNSURE_COUNT = 2


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    life_id: LifeId
    rank: int
    sent_ms: int
    allowed_ms: float


class LocalLevels:
    """Waits of one entry's requests, and the shares that follow from them."""

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Starts with full shares; without `is_enabled` nothing is recorded."""
        self._is_enabled = is_enabled
        self._pending: dict[str, _Pending] = {}
        self._pending_counts: collections.Counter[LifeId] = collections.Counter()
        # Longest wait as part of what is allowed, with its time, by rank.
        self._pressures: dict[int, tuple[float, int]] = {}
        # When a request was last seen to wait too long, by incarnation.
        self._late_ms: dict[LifeId, int] = {}
        self._shares: dict[int, float] = {}
        self._stepped_ms = 0
        # Sketches of the requests that arrived in this period and in the one before, by
        # rank and account.
        self._arrived: dict[int, dict[AccountName, int]] = {}
        self._arrived_before: dict[int, dict[AccountName, int]] = {}
        self._arrived_since_ms = 0
        self._weights: dict[AccountName, int] = {}
        # Shares by account since the last step, by rank.
        self._account_shares: dict[int, dict[AccountName, float]] = {}
        # Times of the answers that began lately.
        self._answers_ms: collections.deque[int] = collections.deque()

    def sent(
        self, key: str, life_id: LifeId, rank: int, left_ms: int, now_ms: int
    ) -> None:
        """Records a request that was sent to a backend server.

        Args:
            key: Its key.
            life_id: The incarnation.
            rank: Its priority rank.
            left_ms: Time until its deadline; 0 if there is none.
            now_ms: The current time.
        """
        if not self._is_enabled:
            return
        self.forget(key)
        self._pending_counts[life_id] += 1
        allowed_ms = WAIT_DEADLINE_SHARE * (left_ms or DEFAULT_OBJECTIVE_MS)
        self._pending[key] = _Pending(life_id, rank, now_ms, allowed_ms)

    def follow(self, rank: int, share: float, now_ms: int) -> None:
        """Records the share by the leader's levels, at which the own ones begin.

        Without it, entries admitted everything for half a second after the levels had
        expired, which filled the slots of the backend servers.
        """
        known = self._shares.get(rank, 1.0)
        self._shares[rank] = known + FOLLOW_WEIGHT * (share - known)
        self._stepped_ms = now_ms

    def answered(self, key: str, now_ms: int) -> None:
        """Records that a request began to be answered."""
        pending = self._pop(key)
        if pending is not None:
            self._record(pending, now_ms)
            self._answers_ms.append(now_ms)
            self._forget_answers(now_ms)

    def forget(self, key: str) -> None:
        """Removes a request that wasn't answered."""
        self._pop(key)

    def pending_count(self, life_id: LifeId) -> int:
        """Returns how many requests of this entry wait there for their answers."""
        return self._pending_counts.get(life_id, 0)

    def late_lives(self, now_ms: int) -> set[LifeId]:
        """Returns the incarnations at which requests have waited too long lately."""
        return {
            life_id
            for life_id, late_ms in self._late_ms.items()
            if now_ms - late_ms <= WAIT_VALID_MS
        }

    def arrived(
        self, rank: int, account: AccountName, weight: int, bit: int, now_ms: int
    ) -> None:
        """Counts a request, so that accounts share what their rank gets.

        Args:
            rank: Its priority rank.
            account: Its client account.
            weight: The account's weight.
            bit: Its bit in sketches, the same for repeats.
            now_ms: The current time.
        """
        if now_ms - self._arrived_since_ms >= ARRIVALS_PERIOD_MS:
            self._arrived_before, self._arrived = self._arrived, {}
            self._arrived_since_ms = now_ms
        accounts = self._arrived.setdefault(rank, {})
        if account in accounts or len(accounts) < ACCOUNTS_LIMIT_COUNT:
            accounts[account] = accounts.get(account, 0) | 1 << bit
        self._weights[account] = weight

    def account_share(self, rank: int, account: AccountName, now_ms: int) -> float:
        """Returns the share of an account's requests of a rank that is admitted.

        What the rank gets is divided by max-min fairness with weights.
        """
        share = self.share(rank, now_ms)
        if share >= 1:
            return share
        shares = self._account_shares.get(rank)
        if shares is None:
            shares = self._account_shares[rank] = self._shares_by_account(rank, share)
        return shares.get(account, share)

    def _shares_by_account(self, rank: int, share: float) -> dict[AccountName, float]:
        offered: dict[AccountName, float] = {}
        now, before = (x.get(rank, {}) for x in (self._arrived, self._arrived_before))
        for account in now.keys() | before.keys():
            bits = now.get(account, 0) | before.get(account, 0)
            offered[account] = distinct_count(bits.bit_count())
        budget = share * sum(offered.values())
        return fair_shares(offered, self._weights, FLOOR_SHARE * share, budget)

    def share(self, rank: int, now_ms: int) -> float:
        """Returns the share of a rank's requests that is admitted.

        It is 1 while no request of this entry waits or has waited lately.
        """
        if now_ms - self._stepped_ms >= STEP_MS:
            self._step(now_ms)
        if not self._pressures and not self._pending:
            return 1.0
        shares = [share for other, share in self._shares.items() if other <= rank]
        return min(shares, default=1.0)

    def _pop(self, key: str) -> _Pending | None:
        pending = self._pending.pop(key, None)
        if pending is not None:
            self._pending_counts[pending.life_id] -= 1
            if not self._pending_counts[pending.life_id]:
                del self._pending_counts[pending.life_id]
        return pending

    def _record(self, pending: _Pending, now_ms: int) -> None:
        pressure = (now_ms - pending.sent_ms) / pending.allowed_ms
        if pressure > 1:
            self._late_ms[pending.life_id] = now_ms
        known, at_ms = self._pressures.get(pending.rank, (0.0, now_ms))
        if pressure >= known or now_ms - at_ms > WAIT_VALID_MS:
            self._pressures[pending.rank] = (pressure, now_ms)

    def _forget_answers(self, now_ms: int) -> None:
        while self._answers_ms and now_ms - self._answers_ms[0] > WAIT_VALID_MS:
            self._answers_ms.popleft()

    def _predict(self, now_ms: int) -> None:
        """Records the waits that follow from the number of requests that wait.

        The wait of a request that is sent now shows only after it is too long. While
        requests wait, those answered within a time tell how fast the others will be.
        """
        self._forget_answers(now_ms)
        if not self._answers_ms:
            return
        rate = len(self._answers_ms) / WAIT_VALID_MS
        counts = collections.Counter(item.rank for item in self._pending.values())
        allowed_ms: dict[int, float] = {}
        for item in self._pending.values():
            known_ms = allowed_ms.get(item.rank, item.allowed_ms)
            allowed_ms[item.rank] = max(known_ms, item.allowed_ms)
        ahead_count = 0
        for rank in sorted(counts):
            ahead_count += counts[rank]
            pressure = max(0, ahead_count - UNSURE_COUNT) / rate / allowed_ms[rank]
            if pressure > self._pressures.get(rank, (0.0, 0))[0]:
                self._pressures[rank] = (pressure, now_ms)

    def _step(self, now_ms: int) -> None:
        self._stepped_ms = now_ms
        self._account_shares = {}
        for pending in self._pending.values():
            self._record(pending, now_ms)
        self._predict(now_ms)
        self._pressures = {
            rank: item
            for rank, item in self._pressures.items()
            if now_ms - item[1] <= WAIT_VALID_MS
        }
        self._late_ms = {
            life_id: late_ms
            for life_id, late_ms in self._late_ms.items()
            if now_ms - late_ms <= WAIT_VALID_MS
        }
        ranks = sorted(self._pressures.keys() | self._shares.keys())
        late_ranks = [
            rank for rank in ranks if self._pressures.get(rank, (0.0, 0))[0] > 1
        ]
        lowered_ranks = {self._lowered_rank(rank, ranks) for rank in late_ranks}
        is_last_late = bool(late_ranks) and self._is_at_floor(late_ranks[-1])
        for rank in ranks:
            share = self._shares.get(rank, 1.0)
            if rank in lowered_ranks:
                share *= DECREASE
            elif not is_last_late or rank == ranks[0]:
                share += INCREASE
            self._shares[rank] = min(1.0, max(FLOOR, share))
        self._shares = {
            rank: share for rank, share in self._shares.items() if share < 1
        }

    def _is_at_floor(self, rank: int) -> bool:
        return self._shares.get(rank, 1.0) <= FLOOR

    def _lowered_rank(self, rank: int, ranks: list[int]) -> int:
        """Returns the rank to admit less of when the requests of a rank are late.

        It is the rank itself, or the next more urgent one that isn't at its floor, so
        that less urgent ranks are not starved. The most urgent one is lowered only if
        it is late itself.
        """
        for other in reversed(ranks[1:]):
            if other <= rank and not self._is_at_floor(other):
                return other
        return rank
