"""Tests of how long a call waits for tokens."""

from cassiapitch.messages import (
    Grant,
    RateGrants,
)
from cassiapitch.rate_budget import (
    Admitted,
    RateBudget,
    RateExceeded,
    Unanswered,
    Waiting,
)
from cassiapitch.types import AccountName
from cassiapitch.viewitems import (
    AccountItem,
)

ACCOUNT = AccountItem(AccountName("acme"), 100, 1_000, 1)


def grant(sequence, tokens, wait_ms=None):
    issued = Grant(ACCOUNT.name, tokens, 1_000, 3, 50, wait_ms)
    return RateGrants(sequence, (issued,))


def waiting_budget():
    budget = RateBudget("e1", "life")
    assert isinstance(budget.request("call", ACCOUNT, 80, 0), Waiting)
    return budget


def test_call_outlasts_a_change_of_granters():
    """Guards against refusals within the rate while a new leader is elected."""
    budget = waiting_budget()
    budget.ask(0, periodic=False)
    budget.tick(1_400)
    assert budget.decisions() == []
    ask = budget.ask(1_400, periodic=False)
    budget.receive_grants(grant(ask.sequence, 0, wait_ms=20), 1_410)
    budget.tick(1_420)
    assert budget.decisions() == []
    ask = budget.ask(1_820, periodic=False)
    budget.receive_grants(grant(ask.sequence, 80), 1_830)
    ((call, decision),) = budget.decisions()
    assert call == "call"
    assert isinstance(decision, Admitted)


def test_call_without_any_granter_is_given_up():
    """Guards against a call that waits for ever."""
    budget = waiting_budget()
    budget.tick(1_999)
    assert budget.decisions() == []
    budget.tick(2_000)
    assert budget.decisions() == [("call", Unanswered())]


def test_call_that_cannot_be_admitted_in_time_is_refused_at_once():
    """Guards against a refusal that is held back until the wait is over."""
    budget = waiting_budget()
    ask = budget.ask(0, periodic=False)
    budget.receive_grants(grant(ask.sequence, 0, wait_ms=5_000), 10)
    ((_, decision),) = budget.decisions()
    assert isinstance(decision, RateExceeded)
    assert decision.retry_after_ms == 5_000


def test_answered_call_is_given_up_after_its_wait():
    """Guards against a call that waits longer because of an early answer."""
    budget = waiting_budget()
    ask = budget.ask(0, periodic=False)
    budget.receive_grants(grant(ask.sequence, 0, wait_ms=100), 10)
    budget.tick(799)
    assert budget.decisions() == []
    budget.tick(800)
    assert isinstance(budget.decisions()[0][1], RateExceeded)


def test_call_with_a_short_wait_is_refused_before_the_usual_limit():
    """Guards against tokens that are spent on calls that are late anyway."""
    from cassiapitch import rate_budget as budgets
    from cassiapitch.messages import Grant, RateGrants
    from cassiapitch.viewitems import AccountItem

    account = AccountItem("acme", 1_000, 10_000, 1)
    held = budgets.RateBudget("e1", "life")
    for call, limit_ms in (("usual", budgets.WAIT_LIMIT_MS), ("short", 200)):
        held.request(call, account, 500, 0, limit_ms)
    ask = held.ask(10, periodic=False)
    empty = Grant("acme", 0, 1_000, 1, 10, 100)
    held.receive_grants(RateGrants(ask.sequence, (empty,)), 20)
    held.tick(230)
    assert [call for call, _ in held.decisions()] == ["short"]
