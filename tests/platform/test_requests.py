"""Tests of reading and writing the platform's headers."""

import pytest

from cassiapitch.header_codec import BackendRequestFields, PromptPart, StatedLimit
from cassiapitch.platform import heartbeats, requests


def test_caller_head_is_read_into_typed_fields():
    head = requests.read_caller(
        [
            (b"request-id", b"9c41"),
            (b"deadline-ms", b"4001"),
            (b"model", b"m/a3"),
            (b"token-count", b"1460,80"),
            (b"prompt-prefix", b"5c:800,91:410"),
            (b"last-event-id", b"12"),
            (b"authorization", b"Bearer k"),
        ]
    )
    assert (head.request_id, head.left_ms, head.model) == ("9c41", 4_001, "m/a3")
    assert (head.prompt_tokens, head.answer_tokens, head.key) == (1_460, 80, "k")
    assert head.prompt_parts == (PromptPart("5c", 800), PromptPart("91", 410))
    assert head.last_event_id == 12


@pytest.mark.parametrize("value", [b"-1", b"x", b"1e3", b"9" * 40, b""])
def test_malformed_deadline_is_refused(value):
    with pytest.raises(ValueError):
        requests.read_caller([(b"deadline-ms", value)])


def test_only_the_system_sets_what_backend_servers_trust():
    sent = requests.write_backend(
        [
            (b"tenant", b"other"),
            (b"target-instance", b"x"),
            (b"hold", b"1"),
            (b"pin-ms", b"1"),
            (b"kv-backup", b"1"),
            (b"kv-from", b"1"),
            (b"authorization", b"Bearer k"),
            (b"connection", b"x-hop"),
            (b"x-hop", b"1"),
            (b"x-kept", b"1"),
            (b"transfer-encoding", b"chunked"),
        ],
        BackendRequestFields(10, "i-1", "jersey"),
    )
    assert dict(sent) == {
        b"x-kept": b"1",
        b"Deadline-Ms": b"10",
        b"Target-Instance": b"i-1",
        b"Tenant": b"jersey",
    }


def test_response_says_whether_the_request_ran():
    assert requests.read_backend(503, [(b"not-executed", b"1")]).is_not_executed
    assert requests.read_backend(421, []).is_not_executed
    assert not requests.read_backend(503, []).is_not_executed
    head = requests.read_backend(200, [(b"keep-alive", b"timeout=5, max=9")])
    assert head.idle_timeout_ms == 5_000


def test_leaving_and_pause_are_read_from_responses():
    head = requests.read_backend(200, [(b"Server-Leaving", b"1")])
    assert head.is_leaving
    assert requests.read_backend(503, [(b"Retry-After", b"0.25")]).pause_ms == 250
    assert requests.read_backend(500, [(b"Retry-After", b"0.25")]).pause_ms == 0
    for value in (b"soon", b"-1", b"nan", b"1e9"):
        assert requests.read_backend(503, [(b"Retry-After", value)]).pause_ms == 0


def test_limit_on_requests_is_read_from_any_response():
    for status in (200, 429, 500, 503):
        head = requests.read_backend(status, [(b"Server-Limit", b"1.2")])
        assert head.limit == StatedLimit(1.2)
    assert (
        requests.read_backend(200, [(b"server-limit", b" 0 ")]).limit.requests_per_s
        == 0
    )
    assert requests.read_backend(200, []).limit == StatedLimit(None)


@pytest.mark.parametrize(
    "value", [b"", b"-1", b"nan", b"inf", b"1e3", b"few", b"1,5", b"9" * 40, b"."]
)
def test_malformed_limit_neither_sets_nor_withdraws_one(value):
    head = requests.read_backend(200, [(b"server-limit", value)])
    assert head.limit == StatedLimit(is_malformed=True)


def test_report_names_the_incarnation_that_heartbeats_name():
    assert requests.read_identity("i-1", b'{"born": 17, "busy": false}') == "i-1@17"
    assert heartbeats.life_id("i-1", 17) == "i-1@17"
    assert requests.read_identity("i-1", b'{"busy": false}') is None
    assert requests.read_identity("i-1", b"\xff") is None


def test_request_names_the_stream_that_it_takes_up():
    head = requests.read_caller([(b"Resumes", b"r1"), (b"Last-Event-Id", b"3")])
    assert (head.resumed_request_id, head.last_event_id) == ("r1", 3)
