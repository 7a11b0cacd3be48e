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


def answer_with_grant(sequence, tokens, wait_ms=None):
    grant = Grant(ACCOUNT.name, tokens, 1_000, 3, 50, wait_ms)
    return RateGrants(sequence, (grant,))


def budget_with_waiting_call():
    rate_budget = RateBudget("e1", "life")
    assert isinstance(rate_budget.request("call", ACCOUNT, 80, 0), Waiting)
    return rate_budget


def test_call_outlasts_a_change_of_granters():
    """Guards against refusals within the rate while a new leader is elected."""
    rate_budget = budget_with_waiting_call()
    rate_budget.ask(0, periodic=False)
    rate_budget.tick(1_400)
    assert rate_budget.decisions() == []
    ask = rate_budget.ask(1_400, periodic=False)
    rate_budget.receive_grants(answer_with_grant(ask.sequence, 0, wait_ms=20), 1_410)
    rate_budget.tick(1_420)
    assert rate_budget.decisions() == []
    ask = rate_budget.ask(1_820, periodic=False)
    rate_budget.receive_grants(answer_with_grant(ask.sequence, 80), 1_830)
    ((call, decision),) = rate_budget.decisions()
    assert call == "call"
    assert isinstance(decision, Admitted)


def test_call_without_any_granter_is_given_up():
    """Guards against a call that waits for ever."""
    rate_budget = budget_with_waiting_call()
    rate_budget.tick(1_999)
    assert rate_budget.decisions() == []
    rate_budget.tick(2_000)
    assert rate_budget.decisions() == [("call", Unanswered())]


def test_call_that_cannot_be_admitted_in_time_is_refused_at_once():
    """Guards against a refusal that is delayed until the wait limit."""
    rate_budget = budget_with_waiting_call()
    ask = rate_budget.ask(0, periodic=False)
    rate_budget.receive_grants(answer_with_grant(ask.sequence, 0, wait_ms=5_000), 10)
    ((_, decision),) = rate_budget.decisions()
    assert isinstance(decision, RateExceeded)
    assert decision.retry_after_ms == 5_000


def test_answered_call_is_given_up_after_its_wait():
    """Guards against a call that waits longer because of an early answer."""
    rate_budget = budget_with_waiting_call()
    ask = rate_budget.ask(0, periodic=False)
    rate_budget.receive_grants(answer_with_grant(ask.sequence, 0, wait_ms=100), 10)
    rate_budget.tick(799)
    assert rate_budget.decisions() == []
    rate_budget.tick(800)
    assert isinstance(rate_budget.decisions()[0][1], RateExceeded)


def test_call_with_a_short_wait_is_refused_before_the_usual_limit():
    """Guards against tokens that are spent on calls that miss their limit anyway."""
    from cassiapitch import rate_budget as budgets
    from cassiapitch.messages import Grant, RateGrants
    from cassiapitch.viewitems import AccountItem

    account = AccountItem("acme", 1_000, 10_000, 1)
    rate_budget = budgets.RateBudget("e1", "life")
    for call, limit_ms in (("usual", budgets.WAIT_LIMIT_MS), ("short", 200)):
        rate_budget.request(call, account, 500, 0, limit_ms)
    ask = rate_budget.ask(10, periodic=False)
    empty = Grant("acme", 0, 1_000, 1, 10, 100)
    rate_budget.receive_grants(RateGrants(ask.sequence, (empty,)), 20)
    rate_budget.tick(230)
    assert [call for call, _ in rate_budget.decisions()] == ["short"]
