"""Carries out an experiment's faults on the processes of a testbed."""

import signal
from collections.abc import Callable

import anyio

from cassiapitch import timers
from cassiapitch.experiment import Fault, FaultAction
from testbed.deployment import Deployment

LEADER = "leader"
LEADER_TIMEOUT_MS = 20_000
END_TIMEOUT_MS = 60_000

Say = Callable[[str], None]


class FaultRunner:
    """Carries out faults at their times, each in a task of its own."""

    def __init__(self, deployment: Deployment, keys: dict[str, str], say: Say) -> None:
        self._deployment = deployment
        self._keys = keys
        self._say = say
        self._version = 1

    async def run(self, faults: tuple[Fault, ...], start_ms: int) -> None:
        """Carries out all faults; ends with the last one."""
        async with anyio.create_task_group() as group:
            for fault in faults:
                group.start_soon(self._run_at, fault, start_ms)

    async def _run_at(self, fault: Fault, start_ms: int) -> None:
        delay_ms = start_ms + fault.at_ms - timers.now_ms()
        await anyio.sleep(max(0, delay_ms) / 1000)
        target = fault.target
        if target == LEADER:
            target = await self._deployment.wait_for_leader(LEADER_TIMEOUT_MS)
        self._say(f"{fault.at_ms / 1000:g} s: {fault.action} {target}")
        await self._act(fault, target)

    async def _act(self, fault: Fault, target: str) -> None:
        if fault.action is FaultAction.WITHDRAW_KEY:
            await self._deployment.command("withdraw", text=self._keys[target])
            return
        if fault.action is FaultAction.ROLL_BUNDLE:
            self._version += 1
            await self._deployment.roll(self._version)
            return
        process = self._deployment.processes[target]
        if fault.action is FaultAction.KILL:
            process.kill()
        elif fault.action is FaultAction.STOP:
            process.signal(signal.SIGTERM)
        elif fault.action is FaultAction.START:
            # A stopped process may still finish its requests.
            await self._deployment.wait_for_end(target, END_TIMEOUT_MS)
            process.start()
        elif fault.action is FaultAction.FREEZE:
            process.signal(signal.SIGSTOP)
            try:
                await anyio.sleep(fault.duration_ms / 1000)
            finally:
                # A frozen process must be able to end after a cancelled run.
                process.signal(signal.SIGCONT)
