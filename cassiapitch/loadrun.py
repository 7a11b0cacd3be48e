"""Runs an experiment: one task dispatches calls at their times to worker tasks."""

import json
import sys
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import anyio.abc
import httpcore
import msgspec
from anyio.streams.memory import MemoryObjectSendStream

from cassiapitch import bytestream, loadarrivals, timers
from cassiapitch.experiment import CallClass, CallKind, Experiment
from cassiapitch.loadarrivals import PlannedCall
from cassiapitch.loadcaller import (
    Caller,
    CallResult,
    Ending,
    TextOracle,
    chat_messages,
)
from cassiapitch.loadresult import Collector, count_standins
from cassiapitch.settings import Address

START_DELAY_MS = 200
PROGRESS_PERIOD_MS = 1_000
GET_TIMEOUT_S = 10
# Time that a call may take beyond its deadline, so that late answers are still
# received and counted as late.
LATE_ANSWER_MS = 30_000

ProgressFunction = Callable[[int, int, Collector], None]


class _Worker:
    """A task with one connection to one entry; it handles one call at a time."""

    def __init__(
        self, caller: Caller, calls: MemoryObjectSendStream[PlannedCall]
    ) -> None:
        self.caller = caller
        self.calls = calls


class _Run:
    """State of one run, shared by its tasks."""

    def __init__(self, experiment: Experiment, keys: dict[str, str]) -> None:
        self.experiment = experiment
        self.classes = {item.name: item for item in experiment.classes}
        self.keys = keys
        self.collector = Collector(experiment)
        self.start_ms = timers.now_ms()
        self.oracle = text_oracle(experiment) if experiment.check_text else None
        self.idle_workers: list[list[_Worker]] = [[] for _ in experiment.entries]
        self.is_healthy = [True for _ in experiment.entries]

    async def dispatch(
        self, calls: Iterator[PlannedCall], group: anyio.abc.TaskGroup
    ) -> None:
        """Hands each call to a worker at its intended time."""
        self.start_ms = timers.now_ms() + START_DELAY_MS
        for call in calls:
            delay_ms = self.start_ms + call.at_ms - timers.now_ms()
            # Yields even when late, so that the workers can run.
            await anyio.sleep(max(0, delay_ms) / 1000)
            self.collector.record_sent(call)
            if self.collector.open_count > self.experiment.open_calls_limit_count:
                result = CallResult(ending=Ending.UNSENT, end_ms=call.at_ms)
                self.collector.record_ended(call, self.classes[call.class_name], result)
                continue
            entry_index = self._pick_entry(call.number)
            worker = (
                self.idle_workers[entry_index].pop()
                if self.idle_workers[entry_index]
                else None
            )
            if worker is None:
                worker = self._start_worker(entry_index, group)
            worker.calls.send_nowait(call)

    def _pick_entry(self, call_number: int) -> int:
        healthy_entries = [
            entry_index
            for entry_index, is_healthy in enumerate(self.is_healthy)
            if is_healthy
        ]
        candidates = healthy_entries or range(len(self.is_healthy))
        return candidates[call_number % len(candidates)]

    async def check_health(self, entry_index: int) -> None:
        """Updates whether an entry is healthy, from its `/healthz`."""
        response = await _get(self.experiment.entries[entry_index], "/healthz")
        self.is_healthy[entry_index] = response is not None and response.status == 200

    async def watch_health(self, entry_index: int) -> None:
        """Checks an entry's health periodically until cancelled."""
        while True:
            await anyio.sleep(self.experiment.health_period_ms / 1000)
            await self.check_health(entry_index)

    def _start_worker(self, entry_index: int, group: anyio.abc.TaskGroup) -> _Worker:
        send, receive = anyio.create_memory_object_stream[PlannedCall](1)
        address = self.experiment.entries[entry_index]
        worker = _Worker(Caller(address, self.start_ms, self.oracle), send)

        async def work() -> None:
            try:
                async for call in receive:
                    await self._send_call(worker.caller, call)
                    self.idle_workers[entry_index].append(worker)
            finally:
                with anyio.CancelScope(shield=True):
                    await worker.caller.close()

        group.start_soon(work)
        return worker

    async def _send_call(self, caller: Caller, call: PlannedCall) -> None:
        call_class = self.classes[call.class_name]
        result = CallResult(ending=Ending.TIMED_OUT)
        limit_ms = call_class.deadline_ms + LATE_ANSWER_MS
        try:
            with anyio.move_on_after(limit_ms / 1000):
                key = self.keys[call.account]
                result = await caller.send(call, call_class, key, limit_ms)
        finally:
            if result.ending is Ending.TIMED_OUT:
                result.end_ms = timers.now_ms() - self.start_ms
            self.collector.record_ended(call, call_class, result)

    async def drain(self) -> None:
        """Waits until no call is open, for `drain_ms` at most."""
        with anyio.move_on_after(self.experiment.drain_ms / 1000):
            # Calls end in many tasks; the result doesn't depend on this period.
            while self.collector.open_count > 0:  # noqa: ASYNC110
                await anyio.sleep(0.05)


async def run(
    experiment: Experiment, keys: dict[str, str], progress: ProgressFunction
) -> dict[str, Any]:
    """Runs an experiment and returns its result document."""
    before = await _fetch_dumps(experiment.standins)
    state = _Run(experiment, keys)
    async with anyio.create_task_group() as group:
        group.start_soon(_report_progress, state, progress)
        if experiment.health_period_ms:
            for entry_index in range(len(experiment.entries)):
                await state.check_health(entry_index)
                group.start_soon(state.watch_health, entry_index)
        await state.dispatch(loadarrivals.generate_calls(experiment), group)
        await state.drain()
        group.cancel_scope.cancel()
    after = await _fetch_dumps(experiment.standins)
    standin_counts = count_standins(before, after) if experiment.standins else {}
    if experiment.standins:
        standin_counts["unreachable_standins_count"] = len(experiment.standins) - len(
            after
        )
    return state.collector.build_document(standin_counts)


async def _report_progress(state: _Run, progress: ProgressFunction) -> None:
    while True:
        await anyio.sleep(PROGRESS_PERIOD_MS / 1000)
        elapsed_ms = timers.now_ms() - state.start_ms
        progress(elapsed_ms, state.experiment.duration_ms, state.collector)


def print_progress(elapsed_ms: int, duration_ms: int, collector: Collector) -> None:
    """Prints a line every second on a terminal, otherwise every ten seconds."""
    is_terminal = sys.stderr.isatty()
    if not is_terminal and elapsed_ms // PROGRESS_PERIOD_MS % 10:
        return
    counts = collector.counts()
    text = ", ".join(f"{name} {count}" for name, count in counts.items())
    line = f"{elapsed_ms // 1000} of {duration_ms // 1000} s: {text}"
    end = "\r" if is_terminal else "\n"
    print(f"{line:<78}", end=end, file=sys.stderr, flush=True)


def text_oracle(experiment: Experiment) -> TextOracle:
    """Returns a function that computes the stand-in engine's texts."""
    # Imported here because runs against other engines don't need the stand-in.
    from cassiapitch import standin_streams

    adapters = experiment.models.adapters

    def expected_text(
        call: PlannedCall, call_class: CallClass, token_count: int
    ) -> str:
        prompt = call.prompt
        if call_class.kind is CallKind.CHAT:
            # The stand-in engine's prompt for a chat is its messages as sorted JSON.
            encoded = msgspec.json.encode(chat_messages(call), order="sorted")
            prompt = encoded.decode()
        adapter = call.model if call.model in adapters else ""
        model = adapters.get(call.model, call.model)
        return "".join(
            standin_streams.token_text(model, adapter, prompt, position)
            for position in range(token_count)
        )

    return expected_text


async def _fetch_dumps(addresses: tuple[Address, ...]) -> list[dict[str, Any]]:
    dumps = []
    for address in addresses:
        dump = await _fetch_dump(address)
        if dump is not None:
            dumps.append(dump)
    return dumps


async def _fetch_dump(address: Address) -> dict[str, Any] | None:
    response = await _get(address, "/standin/dump")
    # A stand-in that crashed during the experiment can't return its dump.
    if response is None or response.status != 200:
        return None
    document: dict[str, Any] = json.loads(response.content)
    return document


async def _get(address: Address, path: str) -> httpcore.Response | None:
    host = f"[{address.ip}]" if ":" in address.ip else address.ip
    url = f"http://{host}:{address.port}{path}"
    names = ("connect", "read", "write", "pool")
    phase_timeouts = dict.fromkeys(names, GET_TIMEOUT_S)
    origin = httpcore.Origin(b"http", host.encode(), address.port)
    try:
        async with httpcore.AsyncHTTPConnection(
            origin=origin, socket_options=bytestream.OUTGOING_OPTIONS
        ) as connection:
            return await connection.request(
                "GET", url, extensions={"timeout": phase_timeouts}
            )
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
