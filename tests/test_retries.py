"""The retry budget that all entries share."""

import random

import pytest

from cassiapitch.retries import RetryBudget, RetryLimit

SHARE, SLACK_COUNT, WINDOW_MS = 0.2, 430, 10_000


@pytest.mark.parametrize("window_ms", [4_000, 10_000, 15_000])
@pytest.mark.parametrize("entries_count", [13, 107, 195])
def test_failing_role_gets_no_more_retries_than_all_entries_may_make(
    entries_count, window_ms
):
    """Guards against a few retries at each of many entries, which add up to more than
    a role may get: every request for it fails, at one role of two."""
    source = random.Random(entries_count)
    limit = RetryLimit(SHARE, SLACK_COUNT, window_ms)
    budgets = [RetryBudget(limit) for _ in range(entries_count)]
    for budget in budgets:
        budget.set_entries_count(entries_count)
    requests, retries = [], []
    for now_ms in range(0, 40_000, 10):
        for _ in range(source.randrange(3)):
            budget = source.choice(budgets)
            budget.count_request(now_ms, "other")
            budget.count_request(now_ms, "failing")
            requests.append(now_ms)
            for _ in range(3):
                if not budget.try_spend(now_ms, "failing"):
                    break
                retries.append(now_ms)
    for start_ms in range(0, 40_000 - window_ms, 500):
        end_ms = start_ms + window_ms
        asked = sum(start_ms <= one < end_ms for one in requests)
        repeated = sum(start_ms <= one < end_ms for one in retries)
        assert repeated <= SHARE * asked + SLACK_COUNT


@pytest.mark.parametrize("requests_count", [0, 100])
def test_entry_that_knows_no_count_takes_its_share_of_the_requests(requests_count):
    """Guards against a slack taken by more entries than any figure foresees: a few
    each, at 650 entries, are more than all may take."""
    budget = RetryBudget(RetryLimit(SHARE, SLACK_COUNT, WINDOW_MS))
    for _ in range(requests_count):
        budget.count_request(0, "role")
    taken = sum(budget.try_spend(0, "role") for _ in range(100))
    assert taken <= SHARE * requests_count
    assert bool(taken) == bool(requests_count)


def test_roles_have_budgets_of_their_own():
    """Guards against one failing role that takes the retries of the others."""
    budget = RetryBudget(RetryLimit(SHARE, 130, WINDOW_MS))
    budget.set_entries_count(13)
    while budget.try_spend(0, "failing"):
        pass
    assert budget.try_spend(0, "sound")


def test_one_that_waits_for_an_unknown_budget_asks_now_and_then():
    """Guards against a wait of no length, which takes a whole core."""
    budget = RetryBudget(RetryLimit(SHARE, SLACK_COUNT, WINDOW_MS))
    assert not budget.try_spend(0)
    assert budget.retry_wait_ms(0) >= 50
