"""The retry budget that all entries share."""

import random

import pytest

from cassiapitch.retries import WINDOW_MS, RetryBudget, RetryLimit

SHARE, SLACK_COUNT = 0.2, 430


@pytest.mark.parametrize("entries_count", [13, 107, 195])
def test_failing_role_gets_no_more_retries_than_all_entries_may_make(entries_count):
    """Guards against a few retries at each of many entries, which add up to more than
    a role may get: every request for it fails, at one role of two."""
    source = random.Random(entries_count)
    limit = RetryLimit(SHARE, SLACK_COUNT)
    budgets = [RetryBudget(limit) for _ in range(entries_count)]
    for budget in budgets:
        budget.share_with(entries_count)
    requests, retries = [], []
    for now_ms in range(0, 40_000, 10):
        for _ in range(source.randrange(3)):
            budget = source.choice(budgets)
            budget.request(now_ms, "other")
            budget.request(now_ms, "failing")
            requests.append(now_ms)
            for _ in range(3):
                if not budget.take(now_ms, "failing"):
                    break
                retries.append(now_ms)
    for start_ms in range(0, 30_000, 500):
        end_ms = start_ms + WINDOW_MS
        asked = sum(start_ms <= one < end_ms for one in requests)
        repeated = sum(start_ms <= one < end_ms for one in retries)
        assert repeated <= SHARE * asked + SLACK_COUNT


def test_entry_that_knows_no_count_takes_few():
    budget = RetryBudget(RetryLimit(SHARE, SLACK_COUNT))
    taken = sum(budget.take(0, "role") for _ in range(100))
    assert 1 <= taken <= 4


def test_roles_have_budgets_of_their_own():
    """Guards against one failing role that takes the retries of the others."""
    budget = RetryBudget(RetryLimit(SHARE, 130))
    budget.share_with(13)
    while budget.take(0, "failing"):
        pass
    assert budget.take(0, "sound")
