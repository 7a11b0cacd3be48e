"""Batches the commands that entries cause into few log entries."""

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
IN_FLIGHT_COUNT = 4
TIMEOUT_MS = 1_500
# A command is proposed again until it is this old; the entry has long given up
# waiting by then.
RETRY_LIMIT_MS = 3_000
RETRY_PAUSE_MS = 50

Answered = Callable[[Any | None], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A command that waits; `answered` gets its result, or None."""

    data: bytes
    answered: Answered
    queued_ms: int


class CommandBatcher:
    """Queue of commands; its task proposes them in batches."""

    def __init__(self, member: ControlGroup, now_ms: Callable[[], int]) -> None:
        self._member = member
        self._now_ms = now_ms
        self._waiting: collections.deque[Proposal] = collections.deque()
        self._changed = anyio.Event()
        self._in_flight = anyio.Semaphore(IN_FLIGHT_COUNT)

    def propose(self, command: Any, answered: Answered) -> None:
        """Queues a command; a full queue answers None at once."""
        if len(self._waiting) >= WAITING_LIMIT_COUNT:
            answered(None)
            return
        self._waiting.append(Proposal(codec.encode(command), answered, self._now_ms()))
        self._changed.set()

    async def run(self) -> None:
        """Proposes what is queued until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._in_flight.acquire()
                while not self._waiting:
                    self._changed = anyio.Event()
                    await self._changed.wait()
                tasks.start_soon(self._propose_batch, self._take())

    def _take(self) -> list[Proposal]:
        batch: list[Proposal] = []
        size_bytes = 0
        while self._waiting and len(batch) < BATCH_LIMIT_COUNT:
            size_bytes += len(self._waiting[0].data)
            if batch and size_bytes > BATCH_LIMIT_BYTES:
                break
            batch.append(self._waiting.popleft())
        return batch

    async def _propose_batch(self, batch: list[Proposal]) -> None:
        try:
            command = CommandBatch(tuple(proposal.data for proposal in batch))
            outcome = await group.propose(self._member, command, TIMEOUT_MS)
            if isinstance(outcome, Applied) and isinstance(outcome.result, BatchResult):
                pairs = zip(batch, outcome.result.results, strict=True)
                for proposal, result in pairs:
                    proposal.answered(codec.decode(result))
                return
            await anyio.sleep(RETRY_PAUSE_MS / 1000)
        finally:
            self._in_flight.release()
        self._queue_again(batch)

    def _queue_again(self, batch: list[Proposal]) -> None:
        """Commands are idempotent by content, so an unclear outcome is retried."""
        now_ms = self._now_ms()
        for proposal in reversed(batch):
            if now_ms - proposal.queued_ms > RETRY_LIMIT_MS:
                proposal.answered(None)
            else:
                self._waiting.appendleft(proposal)
        self._changed.set()
