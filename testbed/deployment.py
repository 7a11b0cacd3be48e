"""One deployment on loopback: settings, certificates, processes, operators' calls."""

import dataclasses
import json
import pathlib
import subprocess
import sys
from typing import Any

import anyio
import anyio.to_thread

from cassiapitch import certificates, keygen, timers
from cassiapitch.client import AdminPeer, Client, Done, Outcome
from cassiapitch.settings import Address, TlsSettings
from testbed.ports import LOOPBACK
from testbed.processes import ROOT, ManagedProcess, ProcessGroup
from testbed.testbed_bundle import ENGINE_MEMORY_MIB, SERVICE_ROLE, TestbedBundle

CLUSTER = "testbed"
OPERATOR = "mara"
ZONES = ("zone-1", "zone-2", "zone-3")
ANSWER_TIMEOUT_MS = 3_000
POLL_S = 0.1
COMMAND_TIMEOUT_S = 40


class TestbedError(Exception):
    """The deployment can't be set up, or didn't get ready in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How many processes of each kind a deployment has.

    Attributes:
        control_count: Control members.
        entry_count: Entries.
        engine_count: Stand-in engines.
        first_role_count: How many of the engines have the first role.
        service_count: Stand-in plain services.
    """

    control_count: int = 3
    entry_count: int = 6
    engine_count: int = 8
    first_role_count: int = 5
    service_count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Settings that differ between experiments.

    Attributes:
        control: Fields that replace those of the control settings.
        entry: Fields that replace those of the entry settings.
        standin: Fields that replace those of the stand-ins' settings.
        with_tls: Whether own processes use mutual TLS.
        with_relays: Whether control members are reached through relays, which the
            caller starts at `relay_ports`.
    """

    control: dict[str, Any] = dataclasses.field(default_factory=dict)
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    standin: dict[str, Any] = dataclasses.field(default_factory=dict)
    with_tls: bool = True
    with_relays: bool = False


def _address(port: int) -> dict[str, Any]:
    return {"ip": LOOPBACK, "port": port}


class Deployment:
    """Processes and files of one deployment, in one folder."""

    def __init__(
        self,
        folder: pathlib.Path,
        group: ProcessGroup,
        testbed_bundle: TestbedBundle,
        size: Size,
        options: Options,
    ) -> None:
        """Writes all settings and certificates; starts nothing yet."""
        self.folder = folder
        self.testbed_bundle = testbed_bundle
        self.size = size
        self.control = [f"control-{i + 1}" for i in range(size.control_count)]
        self.entries = [f"entry-{i + 1}" for i in range(size.entry_count)]
        self.engines = [f"engine-{i + 1}" for i in range(size.engine_count)]
        self.services = [f"service-{i + 1}" for i in range(size.service_count)]
        self.processes = group
        self._options = options
        self._secrets = folder / "secrets"
        self._ports = self._allocate_ports()
        self.relay_ports: dict[str, int] = {}
        if options.with_relays:
            ports = self.processes.reserve_ports(size.control_count)
            self.relay_ports = dict(zip(self.control, ports, strict=True))
        self._operator = keygen.make_operator_key(self._secrets, OPERATOR)
        if options.with_tls:
            names = [*self.control, *self.entries]
            certificates.certify(folder / "certificates", names, days=1)
        self._write_settings()
        self.operator_path = self._write_operator_file()
        token = self._operator.token_path.read_text("ascii").strip()
        self._client = Client(token, ANSWER_TIMEOUT_MS)

    def _allocate_ports(self) -> dict[str, tuple[int, int]]:
        names = [*self.control, *self.entries, *self.engines, *self.services]
        ports = iter(self.processes.reserve_ports(2 * len(names)))
        return {name: (next(ports), next(ports)) for name in names}

    def zone(self, name: str) -> str:
        """Returns the zone of a process; neighbours are in different zones."""
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    def caller_address(self, entry: str) -> Address:
        """Returns where callers reach an entry."""
        return Address(LOOPBACK, self._ports[entry][0])

    def peer_address(self, member: str) -> Address:
        """Returns where entries and other members reach a control member."""
        port = self.relay_ports.get(member, self._ports[member][0])
        return Address(LOOPBACK, port)

    def rpc_port(self, member: str) -> int:
        """Returns the port on which a control member listens for them."""
        return self._ports[member][0]

    def standin_address(self, name: str) -> Address:
        """Returns where a stand-in backend server serves."""
        return Address(LOOPBACK, self._ports[name][0])

    def rpc_address(self, member: str) -> Address:
        """Returns where peers and entries reach a control member."""
        return Address(LOOPBACK, self._ports[member][0])

    def tls(self, name: str) -> TlsSettings | None:
        """Returns a process's files for mutual TLS, None without TLS."""
        files = self._tls(name)
        return None if files is None else TlsSettings(**files)

    def admin_peer(self, name: str) -> AdminPeer:
        """Returns the administration API of a control member or entry."""
        return AdminPeer(name, Address(LOOPBACK, self._ports[name][1]))

    def _tls(self, name: str) -> dict[str, str] | None:
        if not self._options.with_tls:
            return None
        folder = self.folder / "certificates"
        return {
            "ca_path": str(folder / "ca.pem"),
            "certificate_path": str(folder / f"{name}.pem"),
            "key_path": str(folder / f"{name}.key.pem"),
        }

    def _peers(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "zone": self.zone(name),
                "address": _address(self.peer_address(name).port),
            }
            for name in self.control
        ]

    def _common(self, name: str) -> dict[str, Any]:
        operator = {
            "name": OPERATOR,
            "token_sha256": self._operator.token_sha256,
            "public_key_hex": self._operator.public_key_hex,
        }
        return {
            "name": name,
            "zone": self.zone(name),
            "cluster": CLUSTER,
            "operators": [operator],
            "admin_address": _address(self._ports[name][1]),
            "tls": self._tls(name),
            "log_path": str(self.folder / f"{name}.log"),
        }

    def _write_settings(self) -> None:
        for name in self.control:
            settings = {
                **self._common(name),
                "data_path": str(self.folder / "data" / name),
                "rpc_address": _address(self._ports[name][0]),
                "initial_members": self._peers(),
                **self._options.control,
            }
            self._add(name, "cassiapitch.control", settings)
        for name in self.entries:
            settings = {
                **self._common(name),
                "caller_address": _address(self._ports[name][0]),
                "control": self._peers(),
                "balancer_delay_ms": 500,
                **self._options.entry,
            }
            self._add(name, "cassiapitch.entry", settings)
        for number, name in enumerate(self.engines):
            # Neighbours are in different zones, so consecutive engines of one role
            # spread over all zones and no role is lost with one zone.
            is_first = number < self.size.first_role_count
            role = self.testbed_bundle.roles[0 if is_first else 1]
            self._add_standin(name, "engine", role, fencing=is_first)
        for name in self.services:
            self._add_standin(name, "service", SERVICE_ROLE, fencing=False)

    def _add_standin(self, name: str, kind: str, role: str, *, fencing: bool) -> None:
        settings = {
            "name": name,
            "kind": kind,
            "role": role,
            "zone": self.zone(name),
            "address": _address(self._ports[name][0]),
            "credential": self.testbed_bundle.credentials[role],
            "announce_addresses": [
                _address(self._ports[member][1]) for member in self.control
            ],
            "memory_mib": ENGINE_MEMORY_MIB,
            "fencing": fencing,
            "report_lag_ms": 300,
            "cache_gap_ratio": 0.1,
            "log_path": str(self.folder / f"{name}.log"),
            **self._options.standin,
        }
        self._add(name, "cassiapitch.standin", settings)

    def _add(self, name: str, module: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.processes.add(ManagedProcess(name, module, path, self.folder))

    def _write_operator_file(self) -> pathlib.Path:
        path = self.folder / "operator.json"
        peers = {
            section: [
                {"name": name, "address": _address(self._ports[name][1])}
                for name in names
            ]
            for section, names in (("control", self.control), ("entries", self.entries))
        }
        document = {
            "name": OPERATOR,
            "token_path": str(self._operator.token_path),
            "key_path": str(self._operator.key_path),
            **peers,
        }
        path.write_text(json.dumps(document, indent=2), encoding="utf-8")
        return path

    def start(self, names: list[str]) -> None:
        """Starts processes."""
        for name in names:
            self.processes[name].start()

    async def request_admin(self, name: str, method: str, path: str) -> Outcome:
        """Asks one process's administration API once."""
        peer = self.admin_peer(name)
        return await anyio.to_thread.run_sync(
            lambda: self._client.request(
                [peer], method, f"/admin/v1{path}", attempt_count=1
            )
        )

    async def status(self, name: str) -> dict[str, Any] | None:
        """Returns a process's status, None if it doesn't answer."""
        outcome = await self.request_admin(name, "GET", "/status")
        return outcome.document if isinstance(outcome, Done) else None

    async def leader(self) -> str | None:
        """Returns the control member that leads with a lease."""
        for name in self.control:
            status = await self.status(name)
            if status is not None and status.get("has_lease"):
                return name
        return None

    async def command(self, *arguments: str, text: str = "") -> str:
        """Runs `cassiapitch` as an operator does and returns its output.

        Raises:
            TestbedError: It didn't end with code 0.
        """
        program = [sys.executable, "-m", "cassiapitch.cmdline", *arguments]
        result = await anyio.to_thread.run_sync(
            lambda: subprocess.run(
                [*program, "--operator-file", str(self.operator_path)],
                cwd=ROOT,
                input=text,
                capture_output=True,
                text=True,
                timeout=COMMAND_TIMEOUT_S,
            )
        )
        if result.returncode != 0:
            raise TestbedError(
                f"cassiapitch {' '.join(arguments)}: code {result.returncode}: "
                f"{result.stderr.strip()}"
            )
        return result.stdout

    async def roll(self, version: int, **sections: Any) -> None:
        """Writes a bundle file and rolls it out."""
        path = self.folder / f"bundle-{version}.json"
        document = self.testbed_bundle.document(version, **sections)
        path.write_text(json.dumps(document, indent=2), encoding="utf-8")
        await self.command("roll", str(path))

    async def grant(self, account: str) -> str:
        """Grants a new key and returns it."""
        return (await self.command("grant", account)).strip()

    async def wait_for_leader(self, timeout_ms: int) -> str:
        """Waits until a control member leads.

        Raises:
            TestbedError: None did in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        while timers.now_ms() < deadline_ms:
            self.check_running(self.control)
            leader = await self.leader()
            if leader is not None:
                return leader
            await anyio.sleep(POLL_S)
        raise TestbedError(f"no leader within {timeout_ms} ms")

    async def wait_for_entries(self, timeout_ms: int) -> None:
        """Waits until each entry has a fresh view with a bundle.

        Raises:
            TestbedError: One didn't in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        waiting = list(self.entries)
        while waiting:
            self.check_running(waiting)
            status = await self.status(waiting[0])
            if status and status.get("fresh") and status.get("bundle_version"):
                waiting.pop(0)
                continue
            if timers.now_ms() > deadline_ms:
                raise TestbedError(f"{waiting[0]} has no fresh view: {status}")
            await anyio.sleep(POLL_S)

    async def wait_for_backends(
        self, timeout_ms: int, *, with_models: bool = True
    ) -> None:
        """Waits until all stand-ins are known and the resident models are loaded.

        Args:
            timeout_ms: Longest time.
            with_models: Whether the models with a minimum of copies are waited for;
                a baseline of placement may never load some of them.

        Raises:
            TestbedError: They weren't in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        wanted = {*self.engines, *self.services}
        document = self.testbed_bundle.document(1)
        resident = {
            item["name"]
            for item in document["models"]
            if with_models and item["minimum_copies"]
        }
        while True:
            self.check_running([*self.engines, *self.services])
            outcome = await self.request_admin(self.entries[0], "GET", "/dump")
            backends = outcome.document["backends"] if isinstance(outcome, Done) else []
            serving = {item["name"] for item in backends if item["state"] == "serving"}
            loaded = {model for item in backends for model in item["models"]}
            if wanted <= serving and resident <= loaded:
                return
            if timers.now_ms() > deadline_ms:
                raise TestbedError(
                    f"not serving: {sorted(wanted - serving)}, not loaded: "
                    f"{sorted(resident - loaded)}"
                )
            await anyio.sleep(POLL_S)

    def check_running(self, names: list[str]) -> None:
        """Checks that processes run.

        Raises:
            TestbedError: One has ended; its output's end is part of the message.
        """
        for name in names:
            process = self.processes[name]
            if not process.is_running():
                raise TestbedError(
                    f"{name} ended with code {process.exit_code()}:\n"
                    f"{process.last_output()}"
                )

    async def wait_for_end(self, name: str, timeout_ms: int) -> int:
        """Waits until a process ends and returns its exit code.

        Raises:
            TestbedError: It still runs after the time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        while self.processes[name].is_running():
            if timers.now_ms() > deadline_ms:
                raise TestbedError(f"{name} still runs after {timeout_ms} ms")
            await anyio.sleep(POLL_S)
        code = self.processes[name].exit_code()
        assert code is not None
        return code
