"""Tests of the administration API's client."""

from cassiapitch.client import AdminPeer, Client, Done, Refused, Unknown
from cassiapitch.settings import Address
from tests.admin_stub import NO_ANSWER, serve

OK = (200, {"index": 7})
NO_LEADER = (503, {"error": {"code": "no_leader", "message": "election"}})
UNCERTAIN = (503, {"error": {"code": "uncertain", "message": "no quorum"}})
CONFLICT = (409, {"error": {"code": "key_withdrawn", "message": "withdrawn"}})


def _send_request(*ports, rounds=2):
    peers = [AdminPeer(f"control-{port}", Address("127.0.0.1", port)) for port in ports]
    client = Client("token", 60_000, pause=lambda _: None)
    body = {"name": "x"}
    return client.request(peers, "POST", "/admin/v1/drain", body, rounds_count=rounds)


def test_request_without_an_answer_is_sent_again():
    """Guards against a lost response that is reported as a failure."""
    with serve((NO_ANSWER, None), OK) as (port, received):
        assert _send_request(port) == Done({"index": 7})
    assert len(received) == 2
    assert received[0][3] == received[1][3] == b'{"name": "x"}'
    assert received[0][2]["authorization"] == "Bearer token"


def test_request_goes_to_the_next_member_if_one_has_no_leader():
    """Guards against a request that fails although another member would accept it."""
    with serve(NO_LEADER) as (first, _), serve(OK) as (second, _):
        assert _send_request(first, second) == Done({"index": 7})


def test_outcome_is_unknown_after_an_uncertain_answer():
    """Guards against "refused" for a change that may have been applied."""
    with serve(UNCERTAIN, NO_LEADER) as (port, _):
        assert isinstance(_send_request(port), Unknown)


def test_refusal_after_an_unanswered_attempt_is_unknown():
    """Guards against a refusal that was caused by the first attempt's success."""
    with serve((NO_ANSWER, None), CONFLICT) as (port, _):
        outcome = _send_request(port)
    assert isinstance(outcome, Unknown)
    assert "key_withdrawn" in outcome.message


def test_certain_failures_are_refusals():
    """Guards against exit code 3, outcome unknown, if nothing can have changed."""
    with serve(NO_LEADER) as (port, _):
        assert _send_request(port).code == "unavailable"
    with serve(CONFLICT) as (port, received):
        refused = _send_request(port)
    assert isinstance(refused, Refused)
    assert refused.code == "key_withdrawn"
    assert len(received) == 1
