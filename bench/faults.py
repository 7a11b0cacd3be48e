"""Injects an experiment's faults into the processes of a testbed."""

import signal
from collections.abc import Callable

import anyio

from cassiapitch import timers
from cassiapitch.experiment import Fault, FaultAction
from testbed.deployment import Deployment

LEADER = "leader"
LEADER_TIMEOUT_MS = 20_000
EXIT_TIMEOUT_MS = 60_000

PrintProgress = Callable[[str], None]


class FaultRunner:
    """Injects faults at their scheduled times, each in a task of its own."""

    def __init__(
        self,
        deployment: Deployment,
        keys: dict[str, str],
        print_progress: PrintProgress,
    ) -> None:
        self._deployment = deployment
        self._keys = keys
        self._print_progress = print_progress
        self._bundle_version = 1

    async def run(self, faults: tuple[Fault, ...], start_ms: int) -> None:
        """Injects all faults; returns after the last one."""
        async with anyio.create_task_group() as group:
            for fault in faults:
                group.start_soon(self._run_at, fault, start_ms)

    async def _run_at(self, fault: Fault, start_ms: int) -> None:
        delay_ms = start_ms + fault.at_ms - timers.now_ms()
        await anyio.sleep(max(0, delay_ms) / 1000)
        target = fault.target
        if target == LEADER:
            target = await self._deployment.wait_for_leader(LEADER_TIMEOUT_MS)
        self._print_progress(f"{fault.at_ms / 1000:g} s: {fault.action} {target}")
        await self._apply(fault, target)

    async def _apply(self, fault: Fault, target: str) -> None:
        if fault.action is FaultAction.WITHDRAW_KEY:
            await self._deployment.command("withdraw", text=self._keys[target])
            return
        if fault.action is FaultAction.ROLL_BUNDLE:
            self._bundle_version += 1
            await self._deployment.roll(self._bundle_version)
            return
        process = self._deployment.processes[target]
        if fault.action is FaultAction.KILL:
            process.kill()
        elif fault.action is FaultAction.STOP:
            process.signal(signal.SIGTERM)
        elif fault.action is FaultAction.START:
            # A process that is being stopped may still be finishing its requests.
            await self._deployment.wait_for_end(target, EXIT_TIMEOUT_MS)
            process.start()
        elif fault.action is FaultAction.FREEZE:
            process.signal(signal.SIGSTOP)
            try:
                await anyio.sleep(fault.duration_ms / 1000)
            finally:
                # Resumes the process even if the run is cancelled, so that it can end.
                process.signal(signal.SIGCONT)
