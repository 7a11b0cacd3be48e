import json

import pytest

from cassiapitch.platform import heartbeats

BEAT = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldRemainingMs": 0,
    "models": [{"name": "m", "version": 1, "adapters": ["a3"]}],
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def test_heartbeat_becomes_an_announcement():
    found = heartbeats.decode("i-1", json.dumps(BEAT).encode())
    assert (found.name, found.life_id) == ("i-1", "i-1@1700000000000")
    assert (found.ip, found.port, found.sequence) == ("10.128.0.9", 8_080, 4)
    assert found.adapters == ("m/a3",)
    assert not found.leaving


def test_models_at_hand_are_taken_from_a_heartbeat():
    """Guards against loads from the store of what an engine has on its disk."""
    beat = {**BEAT, "atHand": {"inMemory": ["m"], "onDisk": ["m", "n"]}}
    found = heartbeats.decode("i-1", json.dumps(beat).encode())
    assert (found.warm_models, found.disk_models) == (("m",), ("m", "n"))


def test_second_start_under_one_id_is_another_life():
    later = {**BEAT, "born": BEAT["born"] + 1}
    first = heartbeats.decode("i-1", json.dumps(BEAT).encode())
    second = heartbeats.decode("i-1", json.dumps(later).encode())
    assert first.life_id != second.life_id


@pytest.mark.parametrize(
    "change",
    [{"state": "odd"}, {"slots": "64"}, {"address": "x"}, {"sequence": None}],
)
def test_heartbeats_of_another_writer_name_no_backend_server(change):
    with pytest.raises(ValueError):
        heartbeats.decode("i-1", json.dumps({**BEAT, **change}).encode())
    with pytest.raises(ValueError):
        heartbeats.decode("i-1", b"\x80\x81")
