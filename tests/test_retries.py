"""Tests of the retry budget that all entries share."""

import random

import pytest

from cassiapitch.retries import RetryBudget, RetryLimit

SHARE, SLACK_COUNT, WINDOW_MS = 0.2, 430, 10_000


@pytest.mark.parametrize("window_ms", [4_000, 10_000, 15_000])
@pytest.mark.parametrize("entries_count", [13, 107, 195])
def test_retries_of_all_entries_stay_within_the_limit(entries_count, window_ms):
    """Guards against retries at many entries that add up to more than a role may get.

    All requests for one of two roles fail.
    """
    rng = random.Random(entries_count)
    limit = RetryLimit(SHARE, SLACK_COUNT, window_ms)
    budgets = [RetryBudget(limit) for _ in range(entries_count)]
    for budget in budgets:
        budget.set_entries_count(entries_count)
    requests, retries = [], []
    for now_ms in range(0, 40_000, 10):
        for _ in range(rng.randrange(3)):
            budget = rng.choice(budgets)
            budget.count_request(now_ms, "other")
            budget.count_request(now_ms, "failing")
            requests.append(now_ms)
            for _ in range(3):
                if not budget.try_spend(now_ms, "failing"):
                    break
                retries.append(now_ms)
    for start_ms in range(0, 40_000 - window_ms, 500):
        end_ms = start_ms + window_ms
        requests_in_window = sum(start_ms <= time_ms < end_ms for time_ms in requests)
        retries_in_window = sum(start_ms <= time_ms < end_ms for time_ms in retries)
        assert retries_in_window <= SHARE * requests_in_window + SLACK_COUNT


@pytest.mark.parametrize("requests_count", [0, 100])
def test_entry_without_entries_count_uses_no_slack(requests_count):
    """Guards against entries that use the slack without knowing how many share it.

    A few retries at each of 650 entries would exceed the limit over all of them.
    """
    budget = RetryBudget(RetryLimit(SHARE, SLACK_COUNT, WINDOW_MS))
    for _ in range(requests_count):
        budget.count_request(0, "role")
    retries_count = sum(budget.try_spend(0, "role") for _ in range(100))
    assert retries_count <= SHARE * requests_count
    assert bool(retries_count) == bool(requests_count)


def test_each_role_has_its_own_budget():
    """Guards against a failing role that uses up the retries of other roles."""
    budget = RetryBudget(RetryLimit(SHARE, 130, WINDOW_MS))
    budget.set_entries_count(13)
    while budget.try_spend(0, "failing"):
        pass
    assert budget.try_spend(0, "sound")


def test_waiting_for_an_unknown_budget_polls_at_intervals():
    """Guards against a wait of 0 ms, which would use a whole CPU core."""
    budget = RetryBudget(RetryLimit(SHARE, SLACK_COUNT, WINDOW_MS))
    assert not budget.try_spend(0)
    assert budget.retry_wait_ms(0) >= 50
