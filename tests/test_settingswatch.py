import json

from cassiapitch.settings import Address
from cassiapitch.settingswatch import SettingsWatch


def write(path, ip):
    path.write_text(json.dumps({"ip": ip, "port": 1}))


def test_changed_file_is_taken_over_and_a_faulty_one_is_not(tmp_path):
    path = tmp_path / "settings.json"
    write(path, "10.0.0.1")
    watch = SettingsWatch(path, Address, Address("10.0.0.1", 1))
    told = []
    watch.subscribe(told.append)
    assert not watch.check()
    write(path, "10.0.0.2")
    assert watch.check()
    path.write_text('{"ip": 7')
    assert not watch.check()
    path.unlink()
    assert not watch.check()
    write(path, "10.0.0.3")
    assert watch.check()
    assert told == [Address("10.0.0.2", 1), Address("10.0.0.3", 1)]
