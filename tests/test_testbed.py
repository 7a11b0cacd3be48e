"""Tests of the processes that demo, bench and tests start."""

import contextlib
import json

from testbed.ports import free_ports
from testbed.processes import ManagedProcess, ProcessGroup


def _standin(folder, **changes):
    settings = {
        "name": "service-1",
        "kind": "service",
        "role": "order-desk",
        "zone": "zone-1",
        "address": {"ip": "127.0.0.1", "port": free_ports(1)[0]},
        **changes,
    }
    path = folder / "service-1.json"
    path.write_text(json.dumps(settings))
    return ManagedProcess("service-1", "cassiapitch.standin", path, folder)


def test_ports_differ():
    """Guards against two processes with one port."""
    assert len(set(free_ports(50))) == 50


def test_group_ends_its_processes_when_a_script_fails(tmp_path):
    """Guards against processes that outlive a failed demo or test."""
    process = _standin(tmp_path)
    with contextlib.suppress(RuntimeError), ProcessGroup() as group:
        group.add(process).start()
        assert process.is_running()
        raise RuntimeError("script failed")
    assert not process.is_running()
    assert process.exit_code() == -9


def test_output_of_a_process_that_ends_early_is_kept(tmp_path):
    """Guards against a failed start without a reason."""
    process = _standin(tmp_path, kind="none")
    process.start()
    assert process.wait(30) == 2
    assert "$.kind: expected one of engine, service" in process.last_output()
