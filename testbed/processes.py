"""Starts, signals and stops the processes of a testbed."""

import contextlib
import os
import pathlib
import signal
import subprocess
import sys

from testbed import usage
from testbed.ports import ReservedPorts

ROOT = pathlib.Path(__file__).resolve().parent.parent
KILL_TIMEOUT_S = 10


class ManagedProcess:
    """One program, run as a Python module, and the file that gets its output."""

    def __init__(
        self, name: str, module: str, settings_path: pathlib.Path, folder: pathlib.Path
    ) -> None:
        """Prepares the command without running it.

        `start` runs it, also again after it has ended.
        """
        self.name = name
        self.output_path = folder / f"{name}.out"
        self._command = [
            sys.executable,
            "-m",
            module,
            "--settings",
            str(settings_path),
        ]
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the program; its output is appended to `output_path`."""
        with open(self.output_path, "ab") as output:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def exit_code(self) -> int | None:
        """Returns the exit code, negative for a signal, or None if it hasn't ended."""
        return None if self._process is None else self._process.poll()

    def is_running(self) -> bool:
        """Returns whether the program runs."""
        return self._process is not None and self._process.poll() is None

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal if the program runs."""
        if self._process is not None and self.is_running():
            self._process.send_signal(signal_number)

    def kill(self) -> None:
        """Kills the program with SIGKILL and waits for its end."""
        if self._process is not None and self.is_running():
            self._process.kill()
            self._process.wait(KILL_TIMEOUT_S)

    def wait(self, timeout_s: float) -> int | None:
        """Waits for the end and returns the exit code, or None if it still runs."""
        if self._process is None:
            return None
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def cpu_s(self) -> float | None:
        """Returns the CPU time used so far, or None if the program doesn't run."""
        if self._process is None or not self.is_running():
            return None
        return usage.cpu_s(self._process.pid)

    def owns_socket(self, inode: int) -> bool:
        """Returns whether the program has the socket with this inode open."""
        if self._process is None:
            return False
        for path in pathlib.Path(f"/proc/{self._process.pid}/fd").iterdir():
            # A file may be closed between listing and reading its link.
            with contextlib.suppress(OSError):
                if os.readlink(path) == f"socket:[{inode}]":
                    return True
        return False

    def memory_mib(self) -> float | None:
        """Returns the resident memory, or None if the program doesn't run."""
        if self._process is None or not self.is_running():
            return None
        return usage.memory_mib(self._process.pid)

    def last_output(self, line_count: int = 15) -> str:
        """Returns the last lines of the program's output, for error messages."""
        if not self.output_path.exists():
            return ""
        text = self.output_path.read_text(encoding="utf-8", errors="replace")
        return "\n".join(text.splitlines()[-line_count:])


class ProcessGroup:
    """The processes and reserved ports of a testbed; kills and frees all on exit."""

    def __init__(self) -> None:
        self._processes: dict[str, ManagedProcess] = {}
        self._reserved: list[ReservedPorts] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_: object) -> None:
        for process in self._processes.values():
            process.kill()
        for reserved in self._reserved:
            reserved.close()

    def __getitem__(self, name: str) -> ManagedProcess:
        return self._processes[name]

    def add(self, process: ManagedProcess) -> ManagedProcess:
        """Adds a process, which is killed when the group exits."""
        self._processes[process.name] = process
        return process

    def reserve_ports(self, count: int) -> list[int]:
        """Returns ports that stay reserved until the group exits."""
        reserved = ReservedPorts(count)
        self._reserved.append(reserved)
        return reserved.ports

    def running(self) -> list[ManagedProcess]:
        """Returns the processes that are running."""
        return [process for process in self._processes.values() if process.is_running()]
