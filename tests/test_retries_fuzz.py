"""Fuzzes a request's attempts: sent at most once, and `not_run` only if true."""

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


class RequestProgressMachine(RuleBasedStateMachine):
    """A request over a network that may deliver what it reports as lost."""

    @initialize()
    def start(self):
        self.budget = RetryBudget()
        self.now_ms = 0
        self.begin(False)

    def begin(self, idempotent):
        self.progress = RequestProgress(idempotent)
        self.runs_count = 0
        self.has_arrived = False
        # Whether it was written, and not declined by the backend server.
        self.may_run = False
        self.failures_count = 0
        self.progress.step("admit")

    @precondition(lambda self: self.progress.state in ("answered", "refused", "cut"))
    @rule(idempotent=st.booleans())
    def next_request(self, idempotent):
        self.begin(idempotent)

    @rule(step_ms=st.integers(0, 20_000))
    def advance_time(self, step_ms):
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
        is_cut_off=st.booleans(),
        ignores_answer=st.booleans(),
    )
    def send(self, arrives, declines, is_cut_off, ignores_answer):
        may_write = self.progress.idempotent or not self.may_run
        assert self.progress.may_write() == may_write
        if not may_write:
            with pytest.raises(RuntimeError):
                self.progress.mark_written()
            self.progress.step("fail")
            return
        self.progress.mark_written()
        if declines:
            # The backend server declines to run the request.
            self.progress.mark_declined()
            self.after_failure()
            return
        self.may_run = True
        self.has_arrived = self.has_arrived or arrives
        self.runs_count += arrives
        if not is_cut_off:
            self.progress.step("complete")
        elif self.progress.idempotent:
            self.progress.step("retry")
            self.after_failure()
        else:
            assert not self.progress.may_retry(self.budget, self.now_ms)
            # Code that ignores the answer and retries still can't write again.
            self.progress.step("retry" if ignores_answer else "refuse")

    def after_failure(self):
        self.failures_count += 1
        if self.progress.may_retry(self.budget, self.now_ms):
            assert self.failures_count <= RETRIES_LIMIT_COUNT
            assert self.progress.idempotent or not self.progress.may_have_been_sent
        else:
            self.progress.step("refuse")

    @invariant()
    def non_idempotent_runs_at_most_once(self):
        assert self.progress.idempotent or self.runs_count <= 1

    @invariant()
    def tracks_what_may_have_been_sent(self):
        assert self.progress.may_have_been_sent == self.may_run

    @invariant()
    def not_run_is_true(self):
        """Checks the outcome of every refusal, whatever its kind."""
        for kind in ErrorKind:
            refusal = Refusal(kind, "x")
            refusal_outcome = run_outcome(refusal, self.progress.may_have_run)
            assert not (refusal_outcome is RunOutcome.NOT_RUN and self.has_arrived)
        assert not (self.progress.outcome() is RunOutcome.NOT_RUN and self.has_arrived)


RequestProgressMachine.TestCase.settings = (
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
TestRequestProgressFuzz = RequestProgressMachine.TestCase


def test_retry_budget_is_a_share_of_requests():
    """Guards against retries that multiply the load on failing backend servers."""
    budget = RetryBudget()
    for _ in range(500):
        budget.count_request(0)
    assert sum(budget.try_spend(1) for _ in range(100)) == 50
    assert not budget.try_spend(9_999)
    assert sum(budget.try_spend(10_001) for _ in range(100)) == 10
