"""Tests of the upper bound on service times."""

import dataclasses

import pytest

from cassiapitch.service_times import (
    FEW_ALLOWANCE,
    FEW_COUNT,
    KINDS_LIMIT_COUNT,
    KNOWN_COUNT,
    PACE_STREAMS_COUNT,
    PACES_LIMIT_COUNT,
    RUNNING_ALLOWANCE,
    USUAL_COUNT,
    WINDOW_COUNT,
    ServiceRun,
    ServiceTimes,
)

PLAIN = ServiceRun("order", "shop", "b1@1", 0)
STREAM = ServiceRun("talk", "model", "m1@1", 500)


def took(run, begin_ms, rest_ms=0, events_count=0):
    """Returns a request whose response has begun and taken so long."""
    return dataclasses.replace(
        run,
        begin_ms=begin_ms,
        rest_ms=rest_ms,
        events_count=events_count,
        is_begun=True,
    )


def times_of(*runs):
    """Returns service times that have seen complete requests."""
    times = ServiceTimes()
    for run in runs:
        times.record(run, is_complete=True)
    return times


def test_longest_request_counts_until_many_others_have_followed():
    """Guards against a slow request that is left out, or that counts for ever."""
    times = times_of(took(PLAIN, 9_000), *[took(PLAIN, 150)] * WINDOW_COUNT)
    assert times.longest_ms(PLAIN, []) == 9_000
    for _ in range(WINDOW_COUNT):
        times.record(took(PLAIN, 150), is_complete=True)
    assert times.longest_ms(PLAIN, []) == 150


@pytest.mark.parametrize(
    ("count", "expected_ms"),
    [
        (1, None),
        (FEW_COUNT - 1, None),
        (FEW_COUNT, 30 * FEW_ALLOWANCE),
        (KNOWN_COUNT - 1, 30 * FEW_ALLOWANCE),
        (KNOWN_COUNT, 30),
    ],
)
def test_few_requests_are_no_knowledge(count, expected_ms):
    """Guards against an estimate that rests on one request."""
    assert times_of(*[took(PLAIN, 30)] * count).longest_ms(PLAIN, []) == expected_ms


def test_silence_that_one_of_few_met_is_not_multiplied():
    """Guards against short requests that are refused after one that stood still."""
    times = times_of(*[took(PLAIN, 20)] * (USUAL_COUNT - 2), took(PLAIN, 500))
    assert times.longest_ms(PLAIN, []) == 500 * FEW_ALLOWANCE
    times.record(took(PLAIN, 20), is_complete=True)
    assert times.longest_ms(PLAIN, []) == 500


def test_request_that_runs_longer_than_all_others_counts():
    times = times_of(*[took(PLAIN, 30)] * KNOWN_COUNT)
    running = [dataclasses.replace(PLAIN, begin_ms=700)]
    assert times.longest_ms(PLAIN, running) == 700 * RUNNING_ALLOWANCE
    other_kind = [dataclasses.replace(running[0], kind="other")]
    assert times.longest_ms(PLAIN, other_kind) == 30


def test_request_that_was_broken_off_counts_as_long_as_it_ran():
    """Guards against long requests that are unknown since callers give them up."""
    times = times_of(*[took(PLAIN, 30)] * KNOWN_COUNT)
    times.record(took(PLAIN, 2_000), is_complete=False)
    assert times.longest_ms(PLAIN, []) == 2_000
    few = ServiceTimes()
    for _ in range(KNOWN_COUNT):
        few.record(took(PLAIN, 30), is_complete=False)
    assert few.longest_ms(PLAIN, []) is None


def test_stream_counts_as_long_as_it_states_while_few_have_shown_less():
    """Guards against a pace by stated tokens of which few were made."""
    run = took(STREAM, 60, 900, 10)
    few = times_of(*[run] * FEW_COUNT)
    assert (
        few.longest_ms(STREAM, [])
        == 60 * FEW_ALLOWANCE + 500 * 0.02 * FEW_ALLOWANCE * 100
    )
    none_short = times_of(*[took(STREAM, 60, 9_900, 100)] * FEW_COUNT)
    assert none_short.longest_ms(STREAM, []) == 60 * FEW_ALLOWANCE + 500 * 100
    many = times_of(*[run] * KNOWN_COUNT, took(STREAM, 60, 24_900, 250))
    assert many.longest_ms(STREAM, []) == 60 + 250 * 100


def test_bound_grows_with_the_size_of_the_answer():
    """Guards against long answers that are taken since short ones fit."""
    times = times_of(*[took(STREAM, 60, 12_475, 500)] * KNOWN_COUNT)
    short = dataclasses.replace(STREAM, stated_tokens=20)
    assert times.longest_ms(short, []) == 60 + 20 * 25
    assert times.longest_ms(STREAM, []) == 60 + 500 * 25


def test_engine_that_turns_slow_counts_before_its_streams_have_ended():
    times = times_of(*[took(STREAM, 60, 2_475, 100)] * KNOWN_COUNT)
    assert times.longest_ms(STREAM, []) == 60 + 100 * 25
    slow = [took(STREAM, 60, 1_800, 10)]
    assert times.longest_ms(STREAM, slow) == 60 + 100 * 200
    elsewhere = dataclasses.replace(STREAM, life_id="m2@1")
    times.record(took(elsewhere, 60, 2_475, 100), is_complete=True)
    assert times.longest_ms(elsewhere, slow) == 60 + 100 * 25


def test_old_paces_of_an_engine_are_forgotten():
    """Guards against an engine that counts as slow for ever."""
    times = times_of(took(STREAM, 60, 24_750, 100))
    for _ in range(max(PACE_STREAMS_COUNT, KNOWN_COUNT)):
        times.record(took(STREAM, 60, 2_475, 100), is_complete=True)
    assert times.longest_ms(STREAM, []) == 60 + 100 * 25


def test_unknown_and_forgotten_kinds_and_engines_count_as_unknown():
    """Guards against memory that grows with routes and incarnations."""
    times = times_of(*[took(STREAM, 60, 2_475, 100)] * KNOWN_COUNT)
    for number in range(PACES_LIMIT_COUNT):
        other = dataclasses.replace(STREAM, role="other", life_id=f"x{number}")
        times.record(took(other, 60, 2_475, 100), is_complete=True)
    assert times.longest_ms(STREAM, []) is None
    times = times_of(*[took(PLAIN, 30)] * KNOWN_COUNT)
    for number in range(KINDS_LIMIT_COUNT):
        other = dataclasses.replace(PLAIN, kind=f"kind-{number}")
        times.record(took(other, 30), is_complete=True)
    assert times.longest_ms(PLAIN, []) is None
