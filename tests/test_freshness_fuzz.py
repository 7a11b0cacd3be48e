"""Fuzz test: a fresh view contains everything committed before it was confirmed.

The model is a log whose entries grant and withdraw keys, and two members that are
behind by different amounts. A member confirms the index that a quorum had committed
when it read it, which is after the request for the confirmation. Messages arrive late,
twice and in any order.
"""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiapitch import codec
from cassiapitch.catalog import ViewCatalog
from cassiapitch.freshness import FRESHNESS_LIMIT_MS, Freshness
from cassiapitch.messages import (
    Confirmed,
    ViewDelta,
)
from cassiapitch.viewitems import (
    KeyItem,
)

NAMES = ("k1", "k2", "k3")
KEY = codec.encode(KeyItem("acme"))


class FreshnessMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.catalog = ViewCatalog()
        self.freshness = Freshness()
        self.now_ms = 10_000
        # State of the keys after each index, and when it was committed.
        self.log = [(0, frozenset())]
        self.request_times_ms = {}
        self.confirmations = []

    def record_applied_index(self, outcome):
        self.freshness.set_applied_index(self.catalog.index)

    @rule(step_ms=st.integers(1, 900))
    def pass_time(self, step_ms):
        self.now_ms += step_ms

    @rule(step_ms=st.integers(1_000, 100_000))
    def freeze(self, step_ms):
        self.now_ms += step_ms

    @rule(name=st.sampled_from(NAMES))
    def commit(self, name):
        _, keys = self.log[-1]
        self.log.append((self.now_ms, keys ^ {name}))

    def ask(self):
        sequence = self.freshness.make_ask(self.now_ms).sequence
        self.request_times_ms[sequence] = self.now_ms
        return sequence

    @rule(
        early=st.lists(st.sampled_from(NAMES), max_size=2),
        late=st.lists(st.sampled_from(NAMES), max_size=2),
    )
    def ask_and_read(self, early, late):
        """A member reads the committed index after the request for a confirmation."""
        for name in early:
            self.commit(name)
        self.now_ms += 1
        sequence = self.ask()
        for name in late:
            self.commit(name)
        self.confirmations.append(Confirmed(sequence, len(self.log) - 1))

    @rule(data=st.data())
    def confirm(self, data):
        if self.confirmations:
            self.freshness.handle_confirmed(
                data.draw(st.sampled_from(self.confirmations))
            )

    @rule(data=st.data())
    def deliver(self, data):
        """Any delta may arrive at any time: late, twice, or from a member ahead."""
        index = data.draw(st.integers(0, len(self.log) - 1))
        previous = data.draw(st.integers(0, index))
        after = self.log[index][1]
        touched = set()
        for number in range(previous, index):
            touched |= self.log[number][1] ^ self.log[number + 1][1]
        upserts = {f"key/{name}": KEY for name in touched & after}
        deletes = tuple(f"key/{name}" for name in sorted(touched - after))
        delta = ViewDelta(previous, index, upserts, deletes)
        self.record_applied_index(self.catalog.apply_delta(delta))

    @rule(data=st.data())
    def snapshot(self, data):
        index = data.draw(st.integers(0, len(self.log) - 1))
        items = {f"key/{name}": KEY for name in self.log[index][1]}
        self.record_applied_index(self.catalog.apply_snapshot(index, items))

    @rule()
    def good_round(self):
        """Request, read, snapshot and confirmation without delays."""
        sequence = self.ask()
        index = len(self.log) - 1
        items = {f"key/{name}": KEY for name in self.log[index][1]}
        self.record_applied_index(self.catalog.apply_snapshot(index, items))
        self.freshness.handle_confirmed(Confirmed(sequence, index))
        assert self.freshness.is_fresh(self.now_ms)

    @invariant()
    def view_is_one_state_of_the_log(self):
        assert set(self.catalog.keys) == self.log[self.catalog.index][1]

    @invariant()
    def view_holds_what_was_committed_before_the_ask(self):
        as_of_ms = self.freshness.as_of_ms
        if as_of_ms is None:
            assert not self.freshness.is_fresh(self.now_ms)
            return
        assert as_of_ms in self.request_times_ms.values(), "not the time of any request"
        old = [
            index for index, (time_ms, _) in enumerate(self.log) if time_ms < as_of_ms
        ]
        assert self.catalog.index >= max(old, default=0)
        is_old = self.now_ms - as_of_ms > FRESHNESS_LIMIT_MS
        assert self.freshness.is_fresh(self.now_ms) is not is_old


FreshnessMachine.TestCase.settings = (
    settings(max_examples=3_000, stateful_step_count=60, deadline=None)
    if os.environ.get("CASSIAPITCH_FUZZ")
    else settings(
        max_examples=150,
        stateful_step_count=50,
        derandomize=True,
        deadline=None,
        database=None,
    )
)
TestFreshnessFuzz = FreshnessMachine.TestCase
