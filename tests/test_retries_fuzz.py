"""Fuzzes the course of a request: sent at most once, and a true not_run."""

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cassiapitch.api import run_outcome
from cassiapitch.error_kinds import ErrorKind, Refusal, RunOutcome
from cassiapitch.retries import RETRIES_LIMIT_COUNT, RequestProgress, RetryBudget


class CourseMachine(RuleBasedStateMachine):
    """A request against a network that may deliver what it reports as lost."""

    @initialize()
    def start(self):
        self.budget = RetryBudget()
        self.now_ms = 0
        self.begin(False)

    def begin(self, idempotent):
        self.progress = RequestProgress(idempotent)
        self.runs = 0
        self.arrived = False
        # Written, and not declined by the backend server that got it.
        self.may_run = False
        self.failures = 0
        self.progress.step("admit")

    @precondition(lambda self: self.progress.state in ("answered", "refused", "cut"))
    @rule(idempotent=st.booleans())
    def next_request(self, idempotent):
        self.begin(idempotent)

    @rule(step_ms=st.integers(0, 20_000))
    def pass_time(self, step_ms):
        self.now_ms += step_ms

    @precondition(lambda self: self.progress.state == "queued")
    @rule()
    def route(self):
        self.progress.step("route")

    @precondition(lambda self: self.progress.state == "sending")
    @rule()
    def no_connection(self):
        self.progress.mark_not_sent()
        self.after_failure()

    @precondition(lambda self: self.progress.state == "sending")
    @rule(
        arrives=st.booleans(),
        declines=st.booleans(),
        cut=st.booleans(),
        stubborn=st.booleans(),
    )
    def send(self, arrives, declines, cut, stubborn):
        may_write = self.progress.idempotent or not self.may_run
        assert self.progress.may_write() == may_write
        if not may_write:
            with pytest.raises(RuntimeError):
                self.progress.mark_written()
            self.progress.step("fail")
            return
        self.progress.mark_written()
        if declines:
            # The backend server says that it doesn't run it.
            self.progress.mark_declined()
            self.after_failure()
            return
        self.may_run = True
        self.arrived = self.arrived or arrives
        self.runs += arrives
        if not cut:
            self.progress.step("complete")
        elif self.progress.idempotent:
            self.progress.step("retry")
            self.after_failure()
        else:
            assert not self.progress.may_retry(self.budget, self.now_ms)
            # Even a caller of this module that ignores the answer can't write again.
            self.progress.step("retry" if stubborn else "refuse")

    def after_failure(self):
        self.failures += 1
        if self.progress.may_retry(self.budget, self.now_ms):
            assert self.failures <= RETRIES_LIMIT_COUNT
            assert self.progress.idempotent or not self.progress.may_have_been_sent
        else:
            self.progress.step("refuse")

    @invariant()
    def runs_at_most_once(self):
        assert self.progress.idempotent or self.runs <= 1

    @invariant()
    def knows_what_may_have_left(self):
        assert self.progress.may_have_been_sent == self.may_run

    @invariant()
    def not_run_is_true(self):
        """Every refusal's outcome, whatever the table says of its kind."""
        for kind in ErrorKind:
            refusal = Refusal(kind, "x")
            said = run_outcome(refusal, self.progress.may_have_run)
            assert not (said is RunOutcome.NOT_RUN and self.arrived)
        assert not (self.progress.outcome() is RunOutcome.NOT_RUN and self.arrived)


CourseMachine.TestCase.settings = (
    settings(max_examples=5_000, stateful_step_count=40, deadline=None)
    if os.environ.get("CASSIAPITCH_FUZZ")
    else settings(
        max_examples=300,
        stateful_step_count=25,
        derandomize=True,
        deadline=None,
        database=None,
    )
)
TestCourseFuzz = CourseMachine.TestCase


def test_retry_budget_is_a_share_of_requests():
    """Guards against retries that multiply the load of failing backend servers."""
    budget = RetryBudget()
    for _ in range(500):
        budget.count_request(0)
    assert sum(budget.try_spend(1) for _ in range(100)) == 50
    assert not budget.try_spend(9_999)
    assert sum(budget.try_spend(10_001) for _ in range(100)) == 10
