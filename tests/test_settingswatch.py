"""Tests of reloading a settings file."""

import json

from cassiapitch.settings import Address
from cassiapitch.settingswatch import SettingsWatch


def write(path, ip):
    path.write_text(json.dumps({"ip": ip, "port": 1}))


def test_changed_file_is_reloaded_and_a_faulty_one_is_ignored(tmp_path):
    path = tmp_path / "settings.json"
    write(path, "10.0.0.1")
    watch = SettingsWatch(path, Address, Address("10.0.0.1", 1))
    received_settings = []
    watch.subscribe(received_settings.append)
    assert not watch.reload_if_changed()
    write(path, "10.0.0.2")
    assert watch.reload_if_changed()
    path.write_text('{"ip": 7')
    assert not watch.reload_if_changed()
    path.unlink()
    assert not watch.reload_if_changed()
    write(path, "10.0.0.3")
    assert watch.reload_if_changed()
    assert received_settings == [Address("10.0.0.2", 1), Address("10.0.0.3", 1)]
