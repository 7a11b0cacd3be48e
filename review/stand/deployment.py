"""Starts the project's programs on loopback addresses, as the deploy file does.

The settings come from the templates of the deploy file, filled in with the fields that
the platform's pages list and with the bounds of a small deployment. Each process has a
loopback address of its own; the ports are the same for all of them.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
HEARTBEAT_MS = 1_200
# The bounds of the small deployments, as their sheets state them.
BOUNDS = {
    "seedLagS": 3,
    "reuseDelayS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxSkewMs": 5000,
    "revokeStrict": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 113,
    "quotaWindowS": 8,
    "quotaOvershoot": 0.1,
    "quotaSlack": 17000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "fencingEnforced": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "ceilingWindowS": 5,
    "ceilingOvershoot": 1.1,
}
ZONES = ("zone-a", "zone-b", "zone-c")
FAULTS_COUNT = 2


class CannotRunError(Exception):
    """The case could not be carried out; this says nothing about the rule."""


def _look_up(name: str, fields: dict[str, Any]) -> Any:
    value: Any = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part)
    return value


def fill_in(text: str, fields: dict[str, Any]) -> str:
    """Fills in a settings template with the subset of rules that ours use."""

    def section(match: re.Match[str]) -> str:
        is_included = bool(_look_up(match[2], fields)) == (match[1] == "#")
        return match[3] if is_included else ""

    def placeholder(match: re.Match[str]) -> str:
        value = _look_up(match[1], fields)
        return json.dumps(value) if match[2] or not isinstance(value, str) else value

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


@dataclasses.dataclass
class Ports:
    """The ports of one run, the same on all machines."""

    front: int
    readiness: int
    control: int
    first_internal: int


class Network:
    """Loopback addresses and ports that are free at the start of a run."""

    def __init__(self) -> None:
        rng = random.Random(os.getpid() * 1_000_003 + time.time_ns())
        self._prefix = f"127.{rng.randint(20, 250)}.{rng.randint(1, 250)}"
        self._next = 1
        for _ in range(200):
            first = rng.randint(20_000, 30_000)
            if all(self._is_free(first + offset) for offset in range(24)):
                self.ports = Ports(first, first + 1, first + 2, first + 4)
                self.engine_port = first + 3
                return
        raise CannotRunError("no free ports")

    def _is_free(self, port: int) -> bool:
        with socket.socket() as sock:
            try:
                sock.bind((f"{self._prefix}.1", port))
            except OSError:
                return False
        return True

    def new_ip(self) -> str:
        """Returns a loopback address that no other machine of the run has."""
        ip = f"{self._prefix}.{self._next}"
        self._next += 1
        return ip


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._start = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():9.3f} s  {text}\n")


@dataclasses.dataclass
class Machine:
    """A machine with one process of the system."""

    name: str
    role: str
    ip: str
    zone: str
    folder: pathlib.Path
    bootstrap: bool
    process: subprocess.Popen[bytes] | None = None

    @property
    def data_path(self) -> pathlib.Path:
        """The data folder of a machine with a disk."""
        return self.folder / "data"


class Deployment:
    """The machines of one run; `close` ends all processes and removes their files."""

    def __init__(self, record: Record) -> None:
        if not (DEPENDENCIES / "h11").exists():
            raise CannotRunError("target/deps is missing: run the build first")
        self.record = record
        self.network = Network()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.machines: dict[str, Machine] = {}
        self.seeds: list[str] = []

    def add_core(self, zone: str, *, bootstrap: bool) -> Machine:
        """Adds a machine with a disk that serves `control`."""
        count = sum(item.role == "control" for item in self.machines.values())
        return self._add(f"core-{count + 1}", "control", zone, bootstrap=bootstrap)

    def add_front(self, zone: str) -> Machine:
        """Adds a machine that serves clients."""
        count = sum(item.role == "entry" for item in self.machines.values())
        return self._add(f"front-{count + 1}", "entry", zone, bootstrap=False)

    def _add(self, name: str, role: str, zone: str, *, bootstrap: bool) -> Machine:
        folder = self.folder / name
        folder.mkdir()
        machine = Machine(name, role, self.network.new_ip(), zone, folder, bootstrap)
        self.machines[name] = machine
        return machine

    def cores(self) -> list[Machine]:
        """Returns the machines that serve `control`."""
        return [item for item in self.machines.values() if item.role == "control"]

    def control_address(self, machine: Machine) -> tuple[str, int]:
        """Returns the address for engines and the operator."""
        return machine.ip, self.network.ports.control

    def front_address(self, machine: Machine) -> tuple[str, int]:
        """Returns the address for clients."""
        return machine.ip, self.network.ports.front

    def readiness_address(self, machine: Machine) -> tuple[str, int]:
        """Returns the address of the platform's question for readiness."""
        return machine.ip, self.network.ports.readiness

    def set_seeds(self, machines: list[Machine]) -> None:
        """Sets the three control addresses that settings files name from now on."""
        self.seeds = [f"{item.ip}:{self.network.ports.control}" for item in machines]

    def _fields(self, machine: Machine) -> dict[str, Any]:
        ports = self.network.ports
        listen = {
            "front": f"{machine.ip}:{ports.front}",
            "readiness": f"{machine.ip}:{ports.readiness}",
            "control": f"{machine.ip}:{ports.control}",
        }
        return {
            "node": machine.name,
            "ip": machine.ip,
            "zone": machine.zone,
            "internalPortRange": [ports.first_internal, ports.first_internal + 15],
            "seeds": self.seeds,
            "bootstrap": machine.bootstrap,
            "heartbeatMs": HEARTBEAT_MS,
            "dataDir": str(machine.data_path),
            "listen": listen,
            "faultTolerance": {"machines": FAULTS_COUNT, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self, machine: Machine) -> None:
        """Starts a machine's process with the settings in effect at this moment."""
        template = ROOT / "deploy" / f"{machine.role}.jsonc"
        settings = machine.folder / "settings.jsonc"
        text = fill_in(template.read_text("utf-8"), self._fields(machine))
        settings.write_text(text, encoding="utf-8")
        if machine.role == "control":
            machine.data_path.mkdir(exist_ok=True)
        log = (machine.folder / "log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(DEPENDENCIES)
        machine.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "cassiapitch.platform.programs",
                machine.role,
                "--settings",
                str(settings),
            ],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.write(f"{machine.name} ({machine.ip}) starts")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Sends a signal to a machine's process."""
        assert machine.process is not None
        machine.process.send_signal(number)
        self.record.write(f"{machine.name} gets {number.name}")

    def lose_disk(self, machine: Machine) -> None:
        """Empties the data folder of a machine whose process has ended."""
        assert machine.process is not None
        assert machine.process.poll() is not None
        shutil.rmtree(machine.data_path)
        machine.data_path.mkdir()
        self.record.write(f"{machine.name} has lost its disk")

    async def wait_for_end(self, machine: Machine, limit_s: float) -> int:
        """Waits until a machine's process has ended; returns its exit code."""
        assert machine.process is not None
        deadline = time.monotonic() + limit_s
        while machine.process.poll() is None:
            if time.monotonic() > deadline:
                raise CannotRunError(f"{machine.name} does not end")
            await asyncio.sleep(0.01)
        self.record.write(f"{machine.name} has ended with {machine.process.returncode}")
        return machine.process.returncode

    def check_running(self) -> None:
        """Checks that no process has ended by itself."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.poll() is not None:
                raise CannotRunError(f"{machine.name} ended with {process.returncode}")

    def log_text(self, machine: Machine) -> str:
        """Returns what a machine's processes have logged."""
        return (machine.folder / "log").read_text("utf-8", errors="replace")

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for machine in self.machines.values():
            process = machine.process
            if process is not None and process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("REVIEW_KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
