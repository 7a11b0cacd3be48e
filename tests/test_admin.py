"""Tests of the administration API on an in-memory log."""

import hashlib
import json

import anyio
import pytest

from cassiapitch import admin, signing
from cassiapitch.proposals import Committed, NotAccepted, Uncertain
from cassiapitch.quorum import ChangeRefused
from cassiapitch.replicated import ReplicatedState
from cassiapitch.settings import Address, Operator
from tests.standins import Log, StandinFleet, StandinMember

PRIVATE = bytes(range(32))
KEY = "ab" * 32


def make_operator(name, private):
    digest = hashlib.sha256(f"token of {name}".encode()).hexdigest()
    return Operator(name, digest, signing.public_key_hex(private))


OPERATORS = (make_operator("ann", PRIVATE), make_operator("bob", bytes(32)))


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Group(StandinMember):
    """A member whose membership changes end as the test says."""

    change = Committed(9, b"")

    async def add_learner(self, name, address, zone=""):
        self.added = (name, address, zone)
        return self.change

    async def promote(self, name):
        return self.change

    async def remove(self, name):
        return self.change


class Api:
    """The application over a log, called without a socket."""

    def __init__(self):
        self.log = Log()
        self.state = ReplicatedState(StandinFleet(), ())
        self.member = Group("c1", self.log, self.state, lambda index: None)
        self.drained = []
        self.app = admin.AdminApi(
            OPERATORS,
            self.member,
            self.state,
            lambda: {"role": "leader"},
            lambda: {"dump": True},
            lambda: self.drained.append(True),
        )

    async def call(self, method, path, body=None, who="ann", raw=None, receive=None):
        data = json.dumps(body).encode() if raw is None else raw
        answers = []

        async def receive_body():
            return {"type": "http.request", "body": data, "more_body": False}

        async def send(message):
            answers.append(message)

        headers = [(b"authorization", f"Bearer token of {who}".encode())]
        scope = {"type": "http", "method": method, "path": "/admin/v1" + path}
        await self.app({**scope, "headers": headers}, receive or receive_body, send)
        return answers[0]["status"], json.loads(answers[1]["body"])

    async def put(self, version, who="ann", signer="ann", private=PRIVATE, **fields):
        accounts = [{"name": "acme", "rate_tokens_per_s": 10, "burst_tokens": 20}]
        content = json.dumps(
            {"version": version, "client_accounts": accounts, **fields}
        )
        body = {
            "content": content,
            "signature_hex": signing.sign(private, content.encode()),
            "operator": signer,
        }
        return await self.call("POST", "/bundles", body, who)


def code(answer):
    return answer[0], answer[1]["error"]["code"]


@pytest.mark.anyio
async def test_accepted_bundle_is_shown_with_its_author():
    """Guards against an author who is the signer and not who rolled it out."""
    api = Api()
    status, answer = await api.put(1, who="bob", signer="ann")
    assert (status, answer["version"], answer["author"]) == (200, 1, "bob")
    shown = (await api.call("GET", "/bundle"))[1]
    assert shown["digest"] == answer["digest"]
    digest = hashlib.sha256(shown["content"].encode()).hexdigest()
    assert digest == answer["digest"]


@pytest.mark.anyio
async def test_faulty_bundles_are_refused_with_every_fault():
    """Guards against a refusal that an operator can't act upon."""
    api = Api()
    keys = [{"sha256": KEY, "client_account": "x"}, {"sha256": "1"}]
    status, answer = await api.put(1, keys=keys, colour=1)
    assert status == 400
    assert answer["error"]["code"] == "bundle_refused"
    assert {fault.split(":")[0] for fault in answer["error"]["faults"]} == {
        "$.colour",
        "$.keys[1].sha256",
        "$.keys[1].client_account",
    }
    for wrong in ({"private": bytes(32)}, {"signer": "eve"}, {"signer": "bob"}):
        answer = await api.put(1, **wrong)
        assert code(answer) == (400, "bundle_refused")
    assert api.state.bundle is None


@pytest.mark.anyio
async def test_conflicts_name_the_winner():
    """Guards against an operator who can't tell whose bundle won."""
    api = Api()
    winner = (await api.put(2))[1]
    lost = await api.put(2, who="bob", routes=[])
    assert code(lost) == (409, "version_conflict")
    assert lost[1]["error"]["digest"] == winner["digest"]
    assert lost[1]["error"]["author"] == "ann"
    assert code(await api.put(1)) == (409, "version_superseded")


@pytest.mark.anyio
async def test_keys_are_granted_and_withdrawn():
    """Guards against an unclear answer to a change of a key."""
    api = Api()
    await api.put(1)
    grant = {"sha256": KEY, "client_account": "acme"}
    granted = await api.call("POST", "/keys/grant", grant)
    assert granted == await api.call("POST", "/keys/grant", grant)
    assert granted[0] == 200
    unknown = {"sha256": KEY, "client_account": "none"}
    answer = await api.call("POST", "/keys/grant", unknown)
    assert code(answer) == (400, "account_unknown")
    withdraw = {"sha256": KEY}
    assert (await api.call("POST", "/keys/withdraw", withdraw))[0] == 200
    answer = await api.call("POST", "/keys/grant", grant)
    assert code(answer) == (409, "key_withdrawn")


@pytest.mark.anyio
async def test_unclear_outcome_is_resolved_by_proposing_again():
    """Guards against a lost answer that reaches the operator as an unknown outcome."""
    api = Api()
    api.member.fail_next = Uncertain()
    status, answer = await api.put(1)
    assert (status, answer["index"]) == (200, 2)


@pytest.mark.anyio
async def test_answers_without_a_leader_or_with_an_unknown_outcome(monkeypatch):
    """Guards against `no_leader` for a change that may be applied."""
    monkeypatch.setattr(admin, "RETRY_PAUSE_S", 0)
    api = Api()
    api.log.available = False
    answer = await api.call("POST", "/keys/withdraw", {"sha256": KEY})
    assert code(answer) == (503, "no_leader")
    api.log.available = True

    async def propose(command, timeout_ms):
        return Uncertain()

    api.member.propose = propose
    answer = await api.call("POST", "/keys/withdraw", {"sha256": KEY})
    assert code(answer) == (503, "uncertain")


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (NotAccepted("c2"), (503, "no_leader")),
        (Uncertain(), (503, "uncertain")),
        (ChangeRefused("not caught up", True), (409, "change_refused")),
    ],
)
async def test_membership_changes(outcome, expected):
    """Guards against a refused change that looks done."""
    api = Api()
    body = {"name": "c4", "zone": "z1", "ip": "127.0.0.1", "port": 7}
    assert await api.call("POST", "/members/add", body) == (200, {"index": 9})
    assert api.member.added == ("c4", Address("127.0.0.1", 7), "z1")
    api.member.change = outcome
    for path in ("promote", "remove"):
        answer = await api.call("POST", f"/members/{path}", {"name": "c4"})
        assert code(answer) == expected


@pytest.mark.anyio
async def test_requests_that_are_not_understood_get_a_clear_answer():
    """Guards against an unhandled error on malformed input."""
    api = Api()
    assert code(await api.call("GET", "/status", who="eve")) == (401, "unauthorized")
    assert code(await api.call("GET", "/nothing")) == (404, "not_found")
    assert code(await api.call("GET", "/bundles")) == (405, "method_not_allowed")
    assert code(await api.call("GET", "/bundle")) == (404, "no_bundle")
    for raw in (b"", b"{", b"[]", b"\xff", b'{"sha256": "x"}', b"[" * 100_000):
        answer = await api.call("POST", "/keys/withdraw", raw=raw)
        assert code(answer) == (400, "bad_request")
    raw = json.dumps(
        {"content": "\ud800", "signature_hex": "00", "operator": "ann"}
    ).encode()
    assert (await api.call("POST", "/bundles", raw=raw))[0] == 400
    assert (await api.call("POST", "/drain"))[0] == 202
    assert api.drained == [True]


@pytest.mark.anyio
async def test_oversized_and_slow_bodies_are_refused(monkeypatch):
    """Guards against one connection that occupies memory or a task for ever."""
    monkeypatch.setattr(admin, "BODY_LIMIT_BYTES", 10)
    monkeypatch.setattr(admin, "BODY_TIMEOUT_MS", 20)
    api = Api()
    answer = await api.call("POST", "/bundles", raw=b"x" * 11)
    assert code(answer) == (413, "body_too_large")

    async def never():
        await anyio.sleep_forever()

    answer = await api.call("POST", "/bundles", receive=never)
    assert code(answer) == (408, "body_timeout")
