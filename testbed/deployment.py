"""Runs one deployment on loopback.

Writes settings and certificates, starts the processes and issues operator commands.
"""

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
REQUEST_TIMEOUT_MS = 3_000
POLL_PERIOD_S = 0.1
COMMAND_TIMEOUT_S = 40


class TestbedError(Exception):
    """The deployment couldn't be set up, or wasn't ready in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class Size:
    """How many processes of each kind a deployment has.

    Attributes:
        control_count: Control members.
        entry_count: Entries.
        engine_count: Stand-in engines.
        first_role_count: Engines with the first role; the others have the second one.
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
        control: Fields that override the control members' settings.
        entry: Fields that override the entries' settings.
        standin: Fields that override the stand-ins' settings.
        with_tls: Whether control members and entries use mutual TLS.
        with_relays: Whether control members are reached through relays, which the
            caller starts at `relay_ports`.
    """

    control: dict[str, Any] = dataclasses.field(default_factory=dict)
    entry: dict[str, Any] = dataclasses.field(default_factory=dict)
    standin: dict[str, Any] = dataclasses.field(default_factory=dict)
    with_tls: bool = True
    with_relays: bool = False


def _loopback_address(port: int) -> dict[str, Any]:
    return {"ip": LOOPBACK, "port": port}


class Deployment:
    """The processes of one deployment and their files, in one folder."""

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
        self._secrets_folder = folder / "secrets"
        self._ports = self._allocate_ports()
        self.relay_ports: dict[str, int] = {}
        if options.with_relays:
            ports = self.processes.reserve_ports(size.control_count)
            self.relay_ports = dict(zip(self.control, ports, strict=True))
        self._operator = keygen.make_operator_key(self._secrets_folder, OPERATOR)
        if options.with_tls:
            names = [*self.control, *self.entries]
            certificates.certify(folder / "certificates", names, days=1)
        self._write_settings()
        self.operator_path = self._write_operator_file()
        token = self._operator.token_path.read_text("ascii").strip()
        self._client = Client(token, REQUEST_TIMEOUT_MS)

    def _allocate_ports(self) -> dict[str, tuple[int, int]]:
        names = [*self.control, *self.entries, *self.engines, *self.services]
        ports = iter(self.processes.reserve_ports(2 * len(names)))
        return {name: (next(ports), next(ports)) for name in names}

    def zone(self, name: str) -> str:
        """Returns a process's zone; consecutive numbers are in different zones."""
        return ZONES[(int(name.rpartition("-")[2]) - 1) % len(ZONES)]

    def caller_address(self, entry: str) -> Address:
        """Returns the address at which an entry accepts callers."""
        return Address(LOOPBACK, self._ports[entry][0])

    def peer_address(self, member: str) -> Address:
        """Returns the address that entries and other members use for a control member.

        It is the relay's address if relays are in use.
        """
        port = self.relay_ports.get(member, self._ports[member][0])
        return Address(LOOPBACK, port)

    def rpc_port(self, member: str) -> int:
        """Returns the port on which a control member itself listens for RPCs."""
        return self._ports[member][0]

    def standin_address(self, name: str) -> Address:
        """Returns the address at which a stand-in backend server serves."""
        return Address(LOOPBACK, self._ports[name][0])

    def rpc_address(self, member: str) -> Address:
        """Returns a control member's own RPC address, without a relay."""
        return Address(LOOPBACK, self._ports[member][0])

    def tls(self, name: str) -> TlsSettings | None:
        """Returns a process's files for mutual TLS, or None without TLS."""
        files = self._tls_paths(name)
        return None if files is None else TlsSettings(**files)

    def admin_peer(self, name: str) -> AdminPeer:
        """Returns the administration API of a control member or entry."""
        return AdminPeer(name, Address(LOOPBACK, self._ports[name][1]))

    def _tls_paths(self, name: str) -> dict[str, str] | None:
        if not self._options.with_tls:
            return None
        folder = self.folder / "certificates"
        return {
            "ca_path": str(folder / "ca.pem"),
            "certificate_path": str(folder / f"{name}.pem"),
            "key_path": str(folder / f"{name}.key.pem"),
        }

    def _control_peers(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "zone": self.zone(name),
                "address": _loopback_address(self.peer_address(name).port),
            }
            for name in self.control
        ]

    def _common_settings(self, name: str) -> dict[str, Any]:
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
            "admin_address": _loopback_address(self._ports[name][1]),
            "tls": self._tls_paths(name),
            "log_path": str(self.folder / f"{name}.log"),
        }

    def _write_settings(self) -> None:
        for name in self.control:
            settings = {
                **self._common_settings(name),
                "data_path": str(self.folder / "data" / name),
                "rpc_address": _loopback_address(self._ports[name][0]),
                "initial_members": self._control_peers(),
                **self._options.control,
            }
            self._add_process(name, "cassiapitch.control", settings)
        for name in self.entries:
            settings = {
                **self._common_settings(name),
                "caller_address": _loopback_address(self._ports[name][0]),
                "tunnel_address": _loopback_address(0),
                "control": self._control_peers(),
                "balancer_delay_ms": 500,
                **self._options.entry,
            }
            self._add_process(name, "cassiapitch.entry", settings)
        for number, name in enumerate(self.engines):
            # Consecutive engines are in different zones, so each role has engines in
            # all zones and no role is lost with one zone.
            is_first = number < self.size.first_role_count
            role = self.testbed_bundle.roles[0 if is_first else 1]
            self._add_standin_process(name, "engine", role, fencing=is_first)
        for name in self.services:
            self._add_standin_process(name, "service", SERVICE_ROLE, fencing=False)

    def _add_standin_process(
        self, name: str, kind: str, role: str, *, fencing: bool
    ) -> None:
        settings = {
            "name": name,
            "kind": kind,
            "role": role,
            "zone": self.zone(name),
            "address": _loopback_address(self._ports[name][0]),
            "credential": self.testbed_bundle.credentials[role],
            "announce_addresses": [
                _loopback_address(self._ports[member][1]) for member in self.control
            ],
            "memory_mib": ENGINE_MEMORY_MIB,
            "fencing": fencing,
            "report_lag_ms": 300,
            "cache_gap_ratio": 0.1,
            "log_path": str(self.folder / f"{name}.log"),
            **self._options.standin,
        }
        self._add_process(name, "cassiapitch.standin", settings)

    def _add_process(self, name: str, module: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2), encoding="utf-8")
        self.processes.add(ManagedProcess(name, module, path, self.folder))

    def _write_operator_file(self) -> pathlib.Path:
        path = self.folder / "operator.json"
        peers = {
            section: [
                {"name": name, "address": _loopback_address(self._ports[name][1])}
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
        """Sends one request to a process's administration API, without retries."""
        peer = self.admin_peer(name)
        return await anyio.to_thread.run_sync(
            lambda: self._client.request(
                [peer], method, f"/admin/v1{path}", rounds_count=1
            )
        )

    async def status(self, name: str) -> dict[str, Any] | None:
        """Returns a process's status, or None if it doesn't answer."""
        outcome = await self.request_admin(name, "GET", "/status")
        return outcome.document if isinstance(outcome, Done) else None

    async def leader(self) -> str | None:
        """Returns the control member that holds the leader's lease, or None."""
        for name in self.control:
            status = await self.status(name)
            if status is not None and status.get("has_lease"):
                return name
        return None

    async def command(self, *arguments: str, text: str = "") -> str:
        """Runs the `cassiapitch` command as an operator and returns its output.

        Raises:
            TestbedError: The command's exit code isn't 0.
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
        """Grants a new key to a client account and returns it."""
        return (await self.command("grant", account)).strip()

    async def wait_for_leader(self, timeout_ms: int) -> str:
        """Waits until a control member leads and returns its name.

        Raises:
            TestbedError: No member led in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        while timers.now_ms() < deadline_ms:
            self.check_running(self.control)
            leader = await self.leader()
            if leader is not None:
                return leader
            await anyio.sleep(POLL_PERIOD_S)
        raise TestbedError(f"no leader within {timeout_ms} ms")

    async def wait_for_entries(self, timeout_ms: int) -> None:
        """Waits until each entry has a fresh view with a bundle.

        Raises:
            TestbedError: An entry had none in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        pending_names = list(self.entries)
        while pending_names:
            self.check_running(pending_names)
            status = await self.status(pending_names[0])
            if status and status.get("fresh") and status.get("bundle_version"):
                pending_names.pop(0)
                continue
            if timers.now_ms() > deadline_ms:
                raise TestbedError(f"{pending_names[0]} has no fresh view: {status}")
            await anyio.sleep(POLL_PERIOD_S)

    async def wait_for_backends(
        self, timeout_ms: int, *, with_models: bool = True
    ) -> None:
        """Waits until all stand-ins serve and the required models are loaded.

        Args:
            timeout_ms: Longest wait.
            with_models: Whether to wait for the models with a minimum of copies as
                well; a baseline placement policy may never load some of them.

        Raises:
            TestbedError: A stand-in didn't serve or a model wasn't loaded in time.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        expected_names = {*self.engines, *self.services}
        document = self.testbed_bundle.document(1)
        required_models = {
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
            if expected_names <= serving and required_models <= loaded:
                return
            if timers.now_ms() > deadline_ms:
                raise TestbedError(
                    f"not serving: {sorted(expected_names - serving)}, not loaded: "
                    f"{sorted(required_models - loaded)}"
                )
            await anyio.sleep(POLL_PERIOD_S)

    def check_running(self, names: list[str]) -> None:
        """Checks that processes are running.

        Raises:
            TestbedError: A process has ended; the message has its last output.
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
            TestbedError: The process still runs after `timeout_ms`.
        """
        deadline_ms = timers.now_ms() + timeout_ms
        while self.processes[name].is_running():
            if timers.now_ms() > deadline_ms:
                raise TestbedError(f"{name} still runs after {timeout_ms} ms")
            await anyio.sleep(POLL_PERIOD_S)
        code = self.processes[name].exit_code()
        assert code is not None
        return code
