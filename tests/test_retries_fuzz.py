"""Fuzzes the course of a request: sent at most once, and a true not_run."""

import os

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiapitch.api import outcome_of
from cassiapitch.outcomes import ErrorKind, Refusal, RunOutcome
from cassiapitch.retries import RETRIES_LIMIT_COUNT, Course, RetryBudget


class CourseMachine(RuleBasedStateMachine):
    """A request against a network that may deliver what it reports as lost."""

    @initialize(idempotent=st.booleans(), used=st.integers(0, 10))
    def begin(self, idempotent, used):
        self.course = Course(idempotent)
        self.budget = RetryBudget()
        self.now_ms = 0
        self.runs = 0
        self.arrived = False
        self.failures = 0
        for _ in range(used):
            self.budget.take(self.now_ms)
        self.course.step("admit")

    @rule(step_ms=st.integers(0, 20_000))
    def pass_time(self, step_ms):
        self.now_ms += step_ms

    @rule()
    def route(self):
        if self.course.state == "queued":
            self.course.step("route")

    @rule()
    def no_connection(self):
        if self.course.state == "sending":
            self.course.not_sent()
            self.after_failure()

    @rule(arrives=st.booleans(), declines=st.booleans(), cut=st.booleans())
    def send(self, arrives, declines, cut):
        if self.course.state != "sending":
            return
        if not self.course.may_write():
            with pytest.raises(RuntimeError):
                self.course.written()
            self.course.step("fail")
            return
        self.course.written()
        if declines:
            # The backend server says that it doesn't run it.
            self.course.declined()
            self.after_failure()
            return
        self.arrived = self.arrived or arrives
        self.runs += arrives
        if not cut:
            self.course.step("complete")
        elif self.course.idempotent:
            self.course.step("retry")
            self.after_failure()
        else:
            assert not self.course.may_retry(self.budget, self.now_ms)
            self.course.step("refuse")

    def after_failure(self):
        self.failures += 1
        if self.course.may_retry(self.budget, self.now_ms):
            assert self.failures <= RETRIES_LIMIT_COUNT
            assert self.course.idempotent or not self.course.may_have_left
        else:
            self.course.step("refuse")

    @invariant()
    def runs_at_most_once(self):
        assert self.course.idempotent or self.runs <= 1

    @invariant()
    def not_run_is_true(self):
        """Every refusal's outcome, whatever the table says of its kind."""
        for kind in ErrorKind:
            refusal = Refusal(kind, "x")
            said = outcome_of(refusal, self.course.may_have_left)
            assert not (said is RunOutcome.NOT_RUN and self.arrived)
        assert not (self.course.outcome() is RunOutcome.NOT_RUN and self.arrived)


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
        budget.request(0)
    assert sum(budget.take(1) for _ in range(100)) == 50
    assert not budget.take(9_999)
    assert sum(budget.take(10_001) for _ in range(100)) == 10
