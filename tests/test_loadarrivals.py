"""Tests of experiment files, of the calls generated from them, and of rate checks."""

import collections
import dataclasses
import itertools

import pytest

from cassiapitch import config, experiment, loadarrivals
from cassiapitch.exceptions import SettingsError
from cassiapitch.referencebucket import (
    RateRecord,
    ReferenceBucket,
    find_avoidable_refusals,
)

TEXT = """
{
  // Two classes and one account.
  "name": "small", "seed": 3, "duration_ms": 60000, "accelerators_count": 2,
  "entries": [{"ip": "127.0.0.1", "port": 8080}],
  "models": {"names": ["a", "b", "c"], "zipf_exponent": 1.0},
  "classes": [
    {"name": "chat", "kind": "chat", "deadline_ms": 9000, "stream": true,
     "prompt": {"median_tokens": 100, "sigma": 0.5},
     "answer": {"median_tokens": 100},
     "prefix_sharing": {"group_count": 2, "prefix_tokens": 40}},
    {"name": "stock", "kind": "route", "deadline_ms": 300, "path": "/stock",
     "method": "GET", "cost_tokens": 10}
  ],
  "accounts": [
    {"name": "shop", "rate_tokens_per_s": 2000, "burst_tokens": 4000,
     "rate_share": 0.5, "class_weights": {"chat": 1, "stock": 1},
     "key_environment": "SHOP_KEY"}
  ]
}
"""


def _experiment(**changes):
    plan = config.parse(TEXT, experiment.Experiment)
    return dataclasses.replace(plan, **changes)


def _with_account(**changes):
    plan = _experiment()
    account = dataclasses.replace(plan.accounts[0], **changes)
    return dataclasses.replace(plan, accounts=(account,))


def test_same_file_and_seed_give_the_same_calls():
    """Guards against results of two runs that differ because of their load."""
    first = list(loadarrivals.generate_calls(_experiment()))
    assert first == list(loadarrivals.generate_calls(_experiment()))
    assert first != list(loadarrivals.generate_calls(_experiment(seed=4)))
    assert [call.number for call in first] == list(range(len(first)))
    assert all(a.at_ms <= b.at_ms for a, b in itertools.pairwise(first))


@pytest.mark.parametrize("burstiness", [1.0, 5.0])
def test_offered_tokens_are_the_share_of_the_rate(burstiness):
    """Guards against an account that sends more or less than the file specifies."""
    plan = _with_account(burstiness=burstiness)
    plan = dataclasses.replace(plan, duration_ms=600_000)
    tokens = sum(call.cost_tokens for call in loadarrivals.generate_calls(plan))
    assert tokens / 600 == pytest.approx(1_000, rel=0.2)


def test_burstiness_raises_the_variance_of_arrivals():
    """Guards against a burstiness that only changes the mean."""

    def variance_to_mean(burstiness):
        plan = _with_account(burstiness=burstiness)
        counts = collections.Counter(
            call.at_ms // 1000 for call in loadarrivals.generate_calls(plan)
        )
        values = [counts[second] for second in range(60)]
        mean = sum(values) / 60
        return sum((value - mean) ** 2 for value in values) / 60 / mean

    assert variance_to_mean(5.0) > 2 * variance_to_mean(1.0)


def test_shift_makes_a_model_popular_from_its_time_on():
    """Guards against a shift that is applied early, late or not at all."""
    shift = experiment.Shift(30_000, "b", 1_000_000.0)
    calls = list(loadarrivals.generate_calls(_experiment(shifts=(shift,))))
    late = {call.model for call in calls if call.at_ms >= 30_000}
    early = {call.model for call in calls if call.at_ms < 30_000}
    assert late - {""} == {"b"}
    assert len(early - {""}) > 1


def test_prompts_have_their_length_share_prefixes_and_differ():
    """Guards against prompts whose length differs from the tokens that are charged."""
    calls = [call for call in loadarrivals.generate_calls(_experiment()) if call.model]
    assert len({call.prompt for call in calls}) == len(calls)
    for call in calls:
        assert call.cost_tokens == len(call.prompt) // 4 + call.answer_tokens
    assert len({call.prompt[:40] for call in calls}) <= 2 * 3


def test_every_fault_of_an_experiment_is_listed():
    """Guards against a run that fails halfway because of faults in its file."""
    plan = _with_account(class_weights={"none": 1.0}, key_path="a.key")
    plan = dataclasses.replace(plan, entries=(), shifts=(experiment.Shift(0, "x"),))
    faults = experiment.find_faults(plan)
    assert {fault.split(":")[0] for fault in faults} == {
        "$.entries",
        "$.accounts[0].class_weights.none",
        "$.accounts[0]",
        "$.shifts[0].model",
    }


def test_missing_key_is_named(monkeypatch, tmp_path):
    """Guards against a run whose calls are refused because a key is empty."""
    monkeypatch.delenv("SHOP_KEY", raising=False)
    with pytest.raises(SettingsError) as error:
        experiment.read_keys(_experiment(), tmp_path)
    assert error.value.faults[0].startswith("$.accounts[0]")


def test_reference_bucket_admits_burst_and_rate():
    """Guards against an unavoidable refusal that is reported as avoidable."""
    bucket = ReferenceBucket(rate_tokens_per_s=100, burst_tokens=50)
    assert bucket.charge(0, 50) is not None
    assert bucket.charge(0, 1) is None
    assert bucket.charge(100, 10) is not None
    assert bucket.charge(100, 1) is None


def test_refund_after_an_overflow_adds_no_budget():
    """Guards against a reference bucket that grants more than the account's rate."""
    bucket = ReferenceBucket(rate_tokens_per_s=100, burst_tokens=50)
    charge = bucket.charge(0, 50)
    second_charge = bucket.charge(1_000, 50)
    bucket.refund(1_000, charge, 50)
    assert bucket.charge(1_000, 1) is None
    bucket.refund(1_000, second_charge, 20)
    assert bucket.charge(1_000, 20) is not None
    assert bucket.charge(1_000, 1) is None


def test_only_refusals_below_the_served_rate_are_avoidable():
    """Guards against an overloaded account's refusals being reported as avoidable."""
    bucket = ReferenceBucket(rate_tokens_per_s=100, burst_tokens=50)
    records = [
        RateRecord(0, 0, 50, False, 900, 20),
        # The served call has used the whole burst.
        RateRecord(1, 0, 50, True, 0, 0),
        # By then the rate has added 40 tokens.
        RateRecord(2, 400, 41, True, 400, 0),
        RateRecord(3, 400, 40, True, 400, 0),
        # The refused call before would have used them.
        RateRecord(4, 400, 1, True, 400, 0),
    ]
    assert find_avoidable_refusals(bucket, records) == {3}


def test_call_that_ends_in_the_millisecond_of_its_start_is_refunded():
    """Guards against a report that fails on a call shorter than a clock tick."""
    bucket = ReferenceBucket(10, 100)
    records = [RateRecord(1, 5, 40, False, 5, 10), RateRecord(2, 6, 90, True, 6, 0)]
    assert find_avoidable_refusals(bucket, records) == set()
