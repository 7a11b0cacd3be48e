"""Tests of the bundle's schema and checks, and of signatures."""

import json

import pytest

from cassiapitch import bundle, signing
from cassiapitch.exceptions import SettingsError

DIGEST = "ab" * 32


def document():
    return {
        "version": 3,
        "roles": [
            {"name": "desk", "kind": "engine", "credential_sha256": DIGEST},
            {"name": "cart", "kind": "service", "credential_sha256": DIGEST},
        ],
        "models": [{"name": "m1", "role": "desk", "memory_mib": 100}],
        "adapters": [{"name": "a1", "model": "m1", "memory_mib": 1}],
        "client_accounts": [
            {"name": "acme", "rate_tokens_per_s": 100, "burst_tokens": 200}
        ],
        "keys": [{"sha256": DIGEST, "client_account": "acme"}],
        "routes": [{"path": "/orders", "method": "POST", "role": "cart"}],
    }


def parse_faults(text):
    with pytest.raises(SettingsError) as caught:
        bundle.parse(text)
    return caught.value.faults


def test_bundle_with_comments_is_read():
    """Guards against a parser that rejects comments."""
    parsed = bundle.parse("// rolled out by ann\n" + json.dumps(document()))
    assert parsed.version == 3
    assert parsed.store.loads_in_flight_count == 2


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("$.version", 0),
        ("$.version", "3"),
        ("$.colour", "red"),
        ("$.models[0].role", "none"),
        ("$.models[0].role", "cart"),
        ("$.models[0].memory_mib", 0),
        ("$.adapters[0].model", "m9"),
        ("$.adapters[0].name", "m1"),
        ("$.client_accounts[0].rate_tokens_per_s", 0),
        ("$.client_accounts[0].burst_tokens", 3),
        ("$.keys[0].client_account", "bolt"),
        ("$.keys[0].sha256", "AB"),
        ("$.routes[0].path", "/v1/models"),
        ("$.routes[0].path", "/admin"),
        ("$.routes[0].role", "desk"),
        ("$.routes[0].cost_tokens", 2**64),
        ("$.models[0].memory_mib", 10**30),
        ("$.store.loads_per_s", 0),
        ("$.store.loads_per_s", float("inf")),
    ],
)
def test_fault_is_reported_with_its_path(path, value):
    """Guards against a faulty bundle in force, and against unclear error messages."""
    modified = {**document(), "store": {}}
    target = modified
    *parents, last = path[2:].replace("[0]", ".0").split(".")
    for name in parents:
        target = target[int(name) if name == "0" else name]
    target[last] = value
    faults = parse_faults(json.dumps(modified))
    assert any(fault.startswith(path + ":") for fault in faults), faults


@pytest.mark.parametrize(
    "section", ["roles", "models", "adapters", "client_accounts", "keys", "routes"]
)
def test_duplicates_are_refused(section):
    """Guards against an item whose second definition silently wins."""
    modified = document()
    modified[section].append(modified[section][0])
    last = len(modified[section]) - 1
    faults = parse_faults(json.dumps(modified))
    assert any(fault.startswith(f"$.{section}[{last}]: dup") for fault in faults)


def test_all_faults_are_reported_at_once():
    """Guards against a check that stops at the first fault."""
    modified = {**document(), "roles": []}
    paths = {fault.split(":")[0] for fault in parse_faults(json.dumps(modified))}
    assert paths == {"$.models[0].role", "$.routes[0].role"}


def test_field_that_occurs_twice_is_refused():
    """Guards against a second section that silently replaces the first."""
    text = '{"version": 1, "keys": [], "store": {}, "keys": []}'
    assert parse_faults(text) == ["$: field 'keys' occurs 2 times in one object"]


@pytest.mark.parametrize(
    "text",
    ["", "[]", "{", "[" * 100_000, '{"version": 1e999}', '{"version": "\ud800"}'],
)
def test_malformed_text_is_refused(text):
    """Guards against an exception that ends the administration API."""
    assert parse_faults(text)


def test_signature_covers_the_bytes_and_the_domain():
    """Guards against signatures that are valid for another content or purpose."""
    key = bytes(range(32))
    public_key = signing.public_key_hex(key)
    signature = signing.sign(key, b"content")
    assert signing.is_signed(public_key, b"content", signature)
    assert not signing.is_signed(public_key, b"content ", signature)
    assert not signing.is_signed(public_key, b"content", signature[:-2])
    assert not signing.is_signed(public_key, b"content", "zz")
    assert not signing.is_signed(public_key, signing.DOMAIN_TAG + b"content", signature)
    other_public_key = signing.public_key_hex(bytes(32))
    assert not signing.is_signed(other_public_key, b"content", signature)
