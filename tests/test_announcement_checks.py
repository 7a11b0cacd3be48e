"""Tests that no odd announcement, configuration or message stops a process."""

import json

import msgspec
import pytest

from cassiapitch import (
    announce_route,
    api,
    bundle,
    codec,
    engine_calls,
    order_sender,
    streams,
)
from cassiapitch.exceptions import CodecError, SettingsError
from cassiapitch.fleet_commands import ReportBackends
from cassiapitch.platform import configuration, heartbeats, requests
from cassiapitch.settings import Address, ControlSettings
from tests.platform.test_heartbeats import HEARTBEAT

OWN = {
    "name": "b",
    "life_id": "l",
    "role": "r",
    "zone": "z",
    "address": {"ip": "127.0.0.1", "port": 80},
    "memory_mib": 1,
    "max_running_count": 1,
}
HUGE = [2**63, 2**64 - 1, 2**64, 10**40]
DEEP = b"[" * 100_000 + b"]" * 100_000
OWN_COUNTS = ["memory_mib", "max_running_count", "running_count", "waiting_count"]
OWN_NUMBERS = ["sequence", "started_ms"]
ADDRESSES = [
    {"ip": "127.0.0.1", "port": 0},
    {"ip": "127.0.0.1", "port": 65_536},
    {"ip": "cafe", "port": 80},
    {"ip": "1.2.3.4.5", "port": 80},
    {"ip": "0.0.0.0", "port": 80},
]


def with_unknown(document, value):
    """Returns a document with one more field that holds raw JSON."""
    return json.dumps(document).encode()[:-1] + b',"unknown":' + value + b"}"


def is_usable(announcement):
    """Returns whether an announcement can be stored and its counts be added up."""
    codec.decode(codec.encode(ReportBackends(1, (announcement,))))
    codec.encode(announcement)
    total = announcement.running_count + announcement.waiting_count
    msgspec.msgpack.encode(total * 10_000)
    return True


def own(**changes):
    return announce_route.decode(json.dumps(OWN | changes).encode())


def heartbeat(**changes):
    return heartbeats.decode("i-1", json.dumps(HEARTBEAT | changes).encode())


@pytest.mark.parametrize("number", HUGE)
@pytest.mark.parametrize("field", OWN_COUNTS + OWN_NUMBERS)
def test_announcement_with_a_number_too_large_is_refused(field, number):
    with pytest.raises(announce_route.REFUSED_ERRORS):
        own(**{field: number})


@pytest.mark.parametrize("number", HUGE)
def test_announcement_with_odd_items_is_refused(number):
    for changes in (
        {"loaded": [{"model": "m", "version": number}]},
        {"loaded": [{"model": "m", "version": 1, "memory_mib": number}]},
        {"fence": {"term": number, "number": 1}},
        {"fence": {"term": 1, "number": number}},
        {"loaded": [{"model": "m" * 1_000, "version": 1}]},
        {"settled": [{"order_id": "o" * 1_000, "outcome": "done"}]},
    ):
        with pytest.raises(announce_route.REFUSED_ERRORS):
            own(**changes)


@pytest.mark.parametrize("address", ADDRESSES)
def test_announcement_with_an_address_of_no_host_is_refused(address):
    with pytest.raises(announce_route.REFUSED_ERRORS):
        own(address=address)
    with pytest.raises(ValueError):
        heartbeat(address=f"{address['ip']}:{address['port']}")


@pytest.mark.parametrize("number", HUGE)
def test_heartbeat_with_a_number_too_large_is_refused(number):
    for changes in (
        {"slots": number},
        {"sequence": number},
        {"born": number},
        {"models": [{"name": "m", "version": number}]},
    ):
        with pytest.raises(ValueError):
            heartbeat(**changes)


def test_heartbeat_with_texts_too_long_is_refused():
    long = "x" * 1_000
    for changes in ({"service": long}, {"zone": long}, {"models": [{"name": long}]}):
        with pytest.raises(ValueError):
            heartbeat(**changes)


def test_deeply_nested_unknown_fields_are_refused_with_an_answer():
    with pytest.raises(announce_route.REFUSED_ERRORS):
        announce_route.decode(with_unknown(OWN, DEEP))
    with pytest.raises(ValueError):
        heartbeats.decode("i-1", with_unknown(HEARTBEAT, DEEP))


def test_deeply_nested_answers_of_engines_are_malformed():
    event = b"id: 1\ndata: " + with_unknown({"id": "q"}, DEEP) + b"\n\n"
    assert isinstance(streams.parse_event(event), streams.Malformed)
    assert engine_calls.error_code(with_unknown({}, DEEP).replace(b"{,", b"{")) is None
    assert order_sender._parse_response(409, DEEP) == "refused"
    with pytest.raises(CodecError):
        codec.decode(msgspec.msgpack.encode(("Announcement", [])) + b"\xc1")


def test_announcements_at_the_limits_are_usable():
    limit = 10**9
    announcement = own(
        memory_mib=limit, running_count=limit, waiting_count=limit, sequence=2**53
    )
    assert is_usable(announcement)
    assert is_usable(heartbeat(slots=limit, born=2**53))


CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "pathPrefix": "/p/",
            "kind": "safe",
            "timeoutMs": 1_000,
            "service": "s",
        }
    ],
    "services": [
        {
            "name": "s",
            "engine": {"weightsMb": 10, "models": [{"name": "m", "weightsMb": 1}]},
        }
    ],
    "limits": {},
    "tenants": [{"name": "t", "apiKeys": ["k"], "ratePerS": 1, "burst": 1}],
}
PLACES = [
    ("version",),
    ("routes", 0, "timeoutMs"),
    ("routes", 0, "targetLatencyMs"),
    ("routes", 0, "gapAimMs"),
    ("routes", 0, "priority"),
    ("routes", 0, "maxAttempts"),
    ("services", 0, "maxConnections"),
    ("services", 0, "engine", "weightsMb"),
    ("services", 0, "engine", "adapterSlots"),
    ("services", 0, "engine", "loadsPerS"),
    ("services", 0, "engine", "kvCapacityTokens"),
    ("services", 0, "engine", "models", 0, "weightsMb"),
    ("services", 0, "engine", "models", 0, "loadS"),
    ("services", 0, "engine", "models", 0, "adapters"),
    ("services", 0, "engine", "models", 0, "adapterMb"),
    ("services", 0, "engine", "models", 0, "warmS"),
    ("limits", "maxHeaderBytes"),
    ("limits", "idleTimeoutMs"),
    ("tenants", 0, "ratePerS"),
    ("tenants", 0, "burst"),
    ("tenants", 0, "plainTokens"),
    ("tenants", 0, "priority"),
]
CONTROL = ControlSettings(
    name="c",
    zone="z",
    cluster="t",
    data_path="/",
    rpc_address=Address("127.0.0.1", 0),
    admin_address=Address("127.0.0.1", 0),
)


def decode_configuration(document):
    return configuration.make_decoder(CONTROL)(json.dumps(document).encode())


def test_configuration_itself_is_accepted():
    assert bundle.find_faults(decode_configuration(CONFIGURATION)) == []


@pytest.mark.parametrize("number", [2**64, 10**40])
@pytest.mark.parametrize("place", PLACES, ids=lambda place: str(place[-1]))
def test_configuration_with_a_number_too_large_is_refused(place, number):
    document = json.loads(json.dumps(CONFIGURATION))
    *path, name = place
    item = document
    for step in path:
        item = item[step]
    item[name] = number
    with pytest.raises(SettingsError):
        decode_configuration(document)


def test_numbers_of_callers_and_engines_are_bounded():
    headers = [(b"prompt-prefix", b"a:" + b"9" * 30 + b",b:1")]
    (part, _) = requests.read_caller(headers).prompt_parts
    assert part.tokens < 2**53
    head = requests.read_backend(200, [(b"keep-alive", b"timeout=" + b"9" * 5_000)])
    assert head.idle_timeout_ms is None or head.idle_timeout_ms < 2**53
    assert requests.read_identity("i", b'{"born":%d}' % 10**400) is None


def test_body_of_a_caller_that_is_nested_deeply_is_refused():
    data = with_unknown({"model": "m", "messages": []}, DEEP)
    assert isinstance(api.parse_generation("/v1/completions", data, None), api.Refusal)
