"""Tests of the estimate of service times."""

from cassiapitch.service_times import KINDS_LIMIT_COUNT, UNKNOWN_MS, ServiceTimes


def test_one_slow_request_of_many_does_not_count():
    """Guards against kinds of requests that are refused for one that stood still."""
    times = ServiceTimes()
    for number in range(30):
        times.record("stream", 50, 100 if number != 20 else 9_000, 0)
    assert times.likely_ms("stream", 0) == 150


def test_few_requests_count_with_the_slowest():
    times = ServiceTimes()
    times.record("stream", 50, 100, 0)
    times.record("stream", 60, 900, 0)
    assert times.likely_ms("stream", 0) == 960


def test_estimate_grows_with_the_size_of_the_answer():
    """Guards against long answers that are taken since short ones fit."""
    times = ServiceTimes()
    for tokens in (20, 50, 80):
        times.record("stream", 60, 22 * tokens, tokens)
    assert times.likely_ms("stream", 250) == 60 + 22 * 250


def test_unknown_and_forgotten_kinds_count_as_unknown():
    """Guards against memory that grows with the routes of all configurations."""
    times = ServiceTimes()
    assert times.likely_ms("route-0", 0) == UNKNOWN_MS
    for number in range(KINDS_LIMIT_COUNT + 1):
        times.record(f"route-{number}", 1, 1, 0)
    assert times.likely_ms("route-0", 0) == UNKNOWN_MS
    assert times.likely_ms("route-1", 0) == 2
