"""Fuzzing of the equal split of rates, with the oracle of `rates_world`."""

import hypothesis
from hypothesis import strategies as st

from cassiapitch import equalsplit
from tests import fuzzing
from tests.rates_world import ACCOUNTS, ENTRIES, LEASE_MS, World

LIMITS = st.sampled_from((*ACCOUNTS.values(), (100, 100), (1_000, 1_000), (10, 20)))
STEPS = st.one_of(
    st.tuples(st.just("take"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("give_back"), st.sampled_from(ENTRIES)),
    st.tuples(st.just("roll"), LIMITS),
    st.tuples(st.just("wait"), st.sampled_from((50, 900, 1_100, 4_000, 11_000))),
    st.tuples(st.just("admit"), st.sampled_from((50, 100))),
)


class SplitWorld(World):
    """The same entries and lease; buckets are kept in memory only."""

    def elect(self):
        if self.now_ms < self.lease_ms:
            return
        term = len(self.granters) + 1
        self.granters.append(equalsplit.EqualSplit(term, self.limits()))
        self.is_connected, self.lease_ms = True, self.now_ms + LEASE_MS

    def roll(self, limits):
        self.bundles.append((self.now_ms, limits))
        split = self.granters[-1]
        equalsplit.set_limits(split, self.limits(), self.granter_ms)

    def answer(self, asks):
        if self.now_ms >= self.lease_ms:
            return []
        return equalsplit.answer(self.granters[-1], asks, self.granter_ms)

    def record(self, how, acknowledged=True):
        """The equal split has no records."""


def run_step(world, name, value):
    if name == "take":
        world.take_tokens(value, 100)
    elif name == "give_back":
        world.entries[value].refund_unspent()
        world.exchange(world.make_ask(value, 0))
    elif name == "roll":
        world.roll(value)
    elif name == "wait":
        world.wait(value)
    else:
        world.admit(ENTRIES, value)


@fuzzing.settings(2_000, 1)
@hypothesis.given(
    account=st.sampled_from(sorted(ACCOUNTS)),
    steps=st.lists(STEPS, min_size=2, max_size=14),
)
def test_shares_together_never_exceed_the_rate(account, steps):
    """Guards against more than the rate when entries come and go or bundles change."""
    world = SplitWorld(account)
    for name, value in steps:
        run_step(world, name, value)
    world.admit(ENTRIES, 100)
    world.check()


@fuzzing.settings(500, 1)
@hypothesis.given(
    account=st.sampled_from(sorted(ACCOUNTS)),
    names=st.lists(st.sampled_from(ENTRIES), min_size=2, max_size=6),
    wait_ms=st.sampled_from((0, 500, 4_000)),
)
def test_new_leader_starts_with_empty_buckets(account, names, wait_ms):
    """Guards against a second burst after a change of leaders."""
    world = SplitWorld(account)
    for name in names:
        world.take_tokens(name, 100)
        world.wait(wait_ms)
        world.take_tokens(name, 100)
        world.change_leader()
    world.admit(ENTRIES, 100)
    world.check()
