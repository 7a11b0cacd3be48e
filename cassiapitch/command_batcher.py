"""Batches the commands of many calls, so that the Raft log gets few, larger entries."""

import collections
import dataclasses
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import codec, group
from cassiapitch.commands import BatchResult, CommandBatch
from cassiapitch.group import Applied, ControlGroup

BATCH_LIMIT_COUNT = 512
BATCH_LIMIT_BYTES = 1024 * 1024
WAITING_LIMIT_COUNT = 20_000
# Outcomes of claims have up to 64 KiB, so that the number alone allows 1.3 GB.
WAITING_LIMIT_BYTES = 2 * 1024 * 1024
BATCHES_IN_FLIGHT_COUNT = 4
PROPOSAL_TIMEOUT_MS = 1_500
# A command is proposed again until this age. The entry's own wait has timed out long
# before.
RETRY_LIMIT_MS = 3_000
RETRY_PAUSE_MS = 50

ResultCallback = Callable[[Any | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class PendingCommand:
    """A queued command; `on_result` is called with its result, or None if it failed."""

    data: bytes
    on_result: ResultCallback
    queued_ms: int


class CommandBatcher:
    """Queue of commands, which `run` proposes to the control group in batches."""

    def __init__(self, member: ControlGroup, now_ms: Callable[[], int]) -> None:
        self._member = member
        self._now_ms = now_ms
        self._queue: collections.deque[PendingCommand] = collections.deque()
        self._queue_bytes = 0
        self._command_queued = anyio.Event()
        self._in_flight = anyio.Semaphore(BATCHES_IN_FLIGHT_COUNT)

    def propose(self, command: Any, on_result: ResultCallback) -> None:
        """Queues a command; calls `on_result(None)` at once if the queue is full."""
        if (
            len(self._queue) >= WAITING_LIMIT_COUNT
            or self._queue_bytes >= WAITING_LIMIT_BYTES
        ):
            on_result(None)
            return
        pending = PendingCommand(codec.encode(command), on_result, self._now_ms())
        self._queue.append(pending)
        self._queue_bytes += len(pending.data)
        self._command_queued.set()

    async def run(self) -> None:
        """Proposes queued commands until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._in_flight.acquire()
                while not self._queue:
                    self._command_queued = anyio.Event()
                    await self._command_queued.wait()
                tasks.start_soon(self._propose_batch, self._next_batch())

    def _next_batch(self) -> list[PendingCommand]:
        batch: list[PendingCommand] = []
        size_bytes = 0
        while self._queue and len(batch) < BATCH_LIMIT_COUNT:
            size_bytes += len(self._queue[0].data)
            if batch and size_bytes > BATCH_LIMIT_BYTES:
                break
            batch.append(self._queue.popleft())
            self._queue_bytes -= len(batch[-1].data)
        return batch

    async def _propose_batch(self, batch: list[PendingCommand]) -> None:
        try:
            command = CommandBatch(tuple(pending.data for pending in batch))
            outcome = await group.propose(self._member, command, PROPOSAL_TIMEOUT_MS)
            if isinstance(outcome, Applied) and isinstance(outcome.result, BatchResult):
                pairs = zip(batch, outcome.result.results, strict=True)
                for pending, result in pairs:
                    pending.on_result(codec.decode(result))
                return
            await anyio.sleep(RETRY_PAUSE_MS / 1000)
        finally:
            self._in_flight.release()
        self._requeue(batch)

    def _requeue(self, batch: list[PendingCommand]) -> None:
        """Queues commands of unclear outcome again; they are idempotent by content."""
        now_ms = self._now_ms()
        for pending in reversed(batch):
            if now_ms - pending.queued_ms > RETRY_LIMIT_MS:
                pending.on_result(None)
            else:
                self._queue.appendleft(pending)
                self._queue_bytes += len(pending.data)
        self._command_queued.set()
