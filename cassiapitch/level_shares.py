"""Levels of admission, and the shares of ranks and client accounts in them.

Pure functions of the offered work and of the work to admit; used by the leader, by
entries without a leader, and by the packing of levels.
"""

import dataclasses
from collections.abc import Mapping, Sequence
from typing import Any

from cassiapitch.ranks import LEAST_URGENT_RANK
from cassiapitch.types import AccountName

# Part of the share of all requests that each rank and each account gets at least, so
# that 0.3 remain: a caller that goes on returning counts once a second, and the counted
# share is lower than that of requests.
FLOOR_SHARE = 0.33
# The most urgent rank is admitted in full unless it exceeds what is left by this
# factor: counts of a few requests a second at one backend server vary by that much.
# With the smallest admitted work, such a rank stays below the capacity.
FIRST_RANK_TOLERANCE = 1.4
# Bound of a level: further accounts share what is left for all others.
SHARES_LIMIT_COUNT = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Level:
    """Which requests a backend server that is short of capacity gets.

    Attributes:
        marginal_rank: More urgent ranks are admitted in full.
        share: Share of the marginal rank's requests, for accounts without their own.
        floor: Share of the less urgent ranks' requests.
        shares: Shares of the marginal rank's requests by account; at an entry by the
            number that stands for the account.
        mean_share: Share of the marginal rank's requests of all accounts.
    """

    marginal_rank: int
    share: float
    floor: float
    shares: Mapping[Any, float] = dataclasses.field(default_factory=dict)
    mean_share: float = 1.0

    @property
    def openness(self) -> float:
        """How much it admits, in ranks."""
        return self.marginal_rank + self.mean_share

    def without_shares(self) -> "Level":
        """Returns the level with the same share for all accounts."""
        if not self.shares:
            return self
        return Level(
            self.marginal_rank, self.mean_share, self.floor, {}, self.mean_share
        )

    def mean_share_of(self, rank: int) -> float:
        """Returns the share of a rank's requests of all accounts."""
        if rank == self.marginal_rank:
            return self.mean_share
        return 1.0 if rank < self.marginal_rank else self.floor

    def risen_from(self, old: "Level", ranks: Sequence[int], rise: float) -> "Level":
        """Returns this level with shares that exceed those of another by a limit.

        Args:
            old: The level before.
            ranks: Ranks that are offered, in order.
            rise: By how much a share may exceed the one before.
        """
        for rank in ranks:
            share = old.mean_share_of(rank) + rise
            if self.mean_share_of(rank) <= share:
                continue
            if rank > self.marginal_rank:
                return dataclasses.replace(self, floor=share)
            shares = {
                account: min(self.share_of(rank, account), item + rise)
                for account, item in old.shares.items()
                if rank == old.marginal_rank
            }
            return Level(rank, share, min(self.floor, old.floor + rise), shares, share)
        return self

    def share_of(self, rank: int, account: Any) -> float:
        """Returns the share of an account's requests of a rank that is admitted."""
        if rank < self.marginal_rank:
            return 1.0
        if rank > self.marginal_rank:
            return self.floor
        return self.shares.get(account, self.share)


# Sent for a while after a shortage has ended, since an empty message says nothing.
OPEN = Level(LEAST_URGENT_RANK + 1, 1.0, 1.0)

# Offered work per millisecond by rank and account.
Offered = dict[int, dict[AccountName, float]]


def decide(
    offered: Offered, weights: Mapping[AccountName, int], admitted: float
) -> Level:
    """Returns the level that admits a given work per millisecond.

    Each account of each rank gets the floor; what remains goes to the ranks in order,
    and in the marginal rank to the accounts by max-min fairness with weights.
    """
    totals = {rank: sum(accounts.values()) for rank, accounts in offered.items()}
    total = sum(totals.values())
    if total <= admitted or not total:
        return OPEN
    floor = FLOOR_SHARE * admitted / total
    remaining = admitted - floor * total
    first_rank = min(totals)
    for rank in sorted(totals):
        missing = (1 - floor) * totals[rank]
        tolerance = FIRST_RANK_TOLERANCE if rank == first_rank else 1.0
        if missing > remaining * tolerance:
            budget = floor * totals[rank] + remaining
            shares = fair_shares(offered[rank], weights, floor, budget)
            return _level(rank, floor, shares, offered[rank])
        remaining = max(0.0, remaining - missing)
    return OPEN


def fair_shares(
    offered: Mapping[AccountName, float],
    weights: Mapping[AccountName, int],
    floor: float,
    budget: float,
) -> dict[AccountName, float]:
    """Returns each account's share so that the admitted work is the budget.

    An account gets what it offers up to its weighted part, and never less than the
    floor: max-min fairness.
    """

    def admitted_of(account: AccountName, part: float) -> float:
        work = offered[account]
        return min(work, max(floor * work, part * weights.get(account, 1)))

    low, high = 0.0, max(offered.values(), default=0.0)
    for _ in range(40):
        part = (low + high) / 2
        if sum(admitted_of(account, part) for account in offered) > budget:
            high = part
        else:
            low = part
    return {
        account: admitted_of(account, low) / work
        for account, work in offered.items()
        if work > 0
    }


def _level(
    rank: int,
    floor: float,
    shares: Mapping[AccountName, float],
    offered: Mapping[AccountName, float],
) -> Level:
    """Returns a level with a bounded number of shares, the smallest ones."""
    order = sorted(shares, key=lambda account: shares[account])
    listed = [account for account in order[:SHARES_LIMIT_COUNT] if shares[account] < 1]
    others = [account for account in shares if account not in listed]
    others_work = sum(offered[account] for account in others)
    share = 1.0
    if others_work:
        admitted = sum(shares[account] * offered[account] for account in others)
        share = admitted / others_work
    elif listed:
        # An account that hasn't been heard of yet is treated like the best known.
        share = shares[listed[-1]]
    total_admitted = sum(shares[account] * offered[account] for account in shares)
    return Level(
        rank,
        share,
        floor,
        {name: shares[name] for name in listed},
        total_admitted / sum(offered[account] for account in shares),
    )
