"""Fuzzes the budget against a granter that loses, delays and doubles answers."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiapitch.messages import (
    Grant,
    RateGrants,
)
from cassiapitch.rate_budget import (
    FORGET_MS,
    Admitted,
    OverBurst,
    RateBudget,
    Waiting,
    largest_cost,
)
from cassiapitch.viewitems import (
    AccountItem,
)

ACCOUNT = AccountItem("acme", 10_000, 20_000, 1)


class BudgetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.budget = RateBudget("e1", "life")
        self.now_ms = 1_000
        self.stamp = 0
        self.open = {}
        self.answers = []
        self.grants = {}
        self.spent = {}
        self.refunded = {}
        self.running = []
        self.waiting = {}
        self.calls = 0
        self.debt = self.paid = self.returned = 0

    def collect(self, message):
        if message is None:
            return
        for refund in message.refunds:
            total = self.refunded.get(refund.granted_ms, 0) + refund.tokens
            self.refunded[refund.granted_ms] = total
        if message.asks:
            self.open[message.sequence] = (self.now_ms, message)

    def admitted(self, call, tokens, decision):
        assert sum(draw.tokens for draw in decision.draws) == tokens
        self.paid, self.debt = self.paid + self.debt, 0
        for draw in decision.draws:
            _, expires_ms = self.grants[draw.granted_ms]
            assert self.now_ms < expires_ms, "admitted from an expired grant"
            total = self.spent.get(draw.granted_ms, 0) + draw.tokens
            self.spent[draw.granted_ms] = total
        self.running.append((tokens, decision))

    def take_decisions(self):
        for call, decision in self.budget.decisions():
            tokens, _ = self.waiting.pop(call)
            if isinstance(decision, Admitted):
                self.admitted(call, tokens, decision)

    @rule(step_ms=st.integers(0, 400))
    def pass_time(self, step_ms):
        self.now_ms += step_ms
        self.budget.tick(self.now_ms)
        self.take_decisions()

    @rule(step_ms=st.integers(1_000, 60_000))
    def freeze(self, step_ms):
        """The process stands still: the next event comes before any tick."""
        self.now_ms += step_ms

    @rule(tokens=st.integers(1, 20_000))
    def request(self, tokens):
        self.calls += 1
        call = f"c{self.calls}"
        decision = self.budget.request(call, ACCOUNT, tokens, self.now_ms)
        if isinstance(decision, Admitted):
            self.admitted(call, tokens, decision)
        elif isinstance(decision, Waiting):
            self.waiting[call] = (tokens, self.now_ms)
        else:
            assert isinstance(decision, OverBurst)
            assert tokens > largest_cost(ACCOUNT)

    @rule(periodic=st.booleans())
    def ask(self, periodic):
        self.collect(self.budget.ask(self.now_ms, periodic=periodic))

    @rule(
        data=st.data(),
        share=st.integers(0, 150),
        life_ms=st.integers(0, 1_000),
        wait_ms=st.none() | st.integers(0, 5_000),
    )
    def answer(self, data, share, life_ms, wait_ms):
        """The granter answers any open ask, late or again."""
        if not self.open:
            return
        sequence = data.draw(st.sampled_from(sorted(self.open)))
        asked_ms, message = self.open[sequence]
        if self.now_ms - asked_ms >= FORGET_MS:
            # The entry has forgotten the ask, or not, by when it last looked.
            del self.open[sequence]
            return
        grants = []
        for ask in message.asks:
            self.stamp += 1
            tokens = (ask.needed_tokens + ask.expected_tokens) * share // 100
            grants.append(Grant("acme", tokens, life_ms, 1, self.stamp, wait_ms))
            self.grants[self.stamp] = (tokens, asked_ms + life_ms)
        reply = RateGrants(sequence, tuple(grants))
        is_first = sequence not in self.answers
        self.answers.append(sequence)
        if not is_first:
            # Nothing of a doubled answer may be used.
            for grant in grants:
                del self.grants[grant.granted_ms]
        self.budget.receive_grants(reply, self.now_ms)
        self.take_decisions()

    @rule(data=st.data(), used=st.integers(0, 25_000))
    def settle(self, data, used):
        if not self.running:
            return
        place = data.draw(st.integers(0, len(self.running) - 1))
        tokens, decision = self.running.pop(place)
        self.budget.settle(decision, used)
        self.returned += max(0, tokens - used)
        self.debt += max(0, used - tokens)

    @rule(data=st.data())
    def caller_gone(self, data):
        if self.waiting:
            call = data.draw(st.sampled_from(sorted(self.waiting)))
            del self.waiting[call]
            self.budget.cancel_request(call, "acme")

    @invariant()
    def tokens_are_conserved(self):
        """Granted = admitted + refunded + unspent, refunds of settled calls aside."""
        granted = sum(tokens for tokens, _ in self.grants.values())
        held = self.budget.held_tokens().get("acme", 0)
        back = self.budget.queued_refund_tokens() + sum(self.refunded.values())
        spent = sum(self.spent.values()) + self.paid - self.returned
        assert granted == spent + held + back

    @invariant()
    def no_grant_returns_more_than_it_had(self):
        for stamp, tokens in self.refunded.items():
            assert tokens <= self.grants[stamp][0]


BudgetMachine.TestCase.settings = (
    settings(max_examples=2_000, stateful_step_count=80, deadline=None)
    if os.environ.get("CASSIAPITCH_FUZZ")
    else settings(
        max_examples=150,
        stateful_step_count=50,
        derandomize=True,
        deadline=None,
        database=None,
    )
)
TestBudgetFuzz = BudgetMachine.TestCase
