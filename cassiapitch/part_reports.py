"""Reports which parts of prompts may have crashed a backend server, for one entry.

Also refuses requests with parts that are known to crash backend servers, and clears
suspected parts that were answered. The evidence of all entries is in the control
group's log, see `crash_evidence`.
"""

import collections
import dataclasses
import functools
from typing import Any

import anyio

from cassiapitch import crash_evidence, events, timers
from cassiapitch.commands import ClearParts, ReportPartCrash
from cassiapitch.crash_evidence import CrashEvidence, RequestParts
from cassiapitch.entrystate import EntryState
from cassiapitch.header_codec import PromptPart
from cassiapitch.part_messages import PartCrashReport, PartsCleared
from cassiapitch.types import LifeId, PartDigest
from cassiapitch.viewitems import BackendItem

# Time limit of one try, over which a report is repeated.
REPORT_TIMEOUT_MS = 5_000
# How long a request whose backend server crashed waits for the verdict.
VERDICT_WAIT_MS = 1_000
# Reports that wait for the control group; further ones are dropped.
PENDING_LIMIT_COUNT = 64
# Requests that broke off are remembered for a report up to this number, and for this
# long. The control group removes a crashed backend server that isn't back by then.
BROKEN_LIMIT_COUNT = 64
BROKEN_MEMORY_MS = 10_000
# Parts that this entry remembers as answered, and for how long.
ANSWERED_LIMIT_COUNT = 4_096
ANSWERED_MEMORY_MS = 60_000
DIGEST_CACHE_COUNT = 4_096

_digest = functools.lru_cache(DIGEST_CACHE_COUNT)(crash_evidence.part_digest)


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class PartRun:
    """One attempt to run a request with shared parts.

    Attributes:
        backend: Name of the backend server that it was sent to.
        life_id: The incarnation that it was sent to.
        parts: The shared parts in order.
        known_index: Index of the view when it was sent.
    """

    backend: str
    life_id: LifeId
    parts: RequestParts
    known_index: int


def shared_parts(prompt_parts: tuple[PromptPart, ...]) -> RequestParts:
    """Returns the digests of the parts that a prompt may share with others.

    The last part is the request's own.
    """
    return tuple(_digest(part.part_id) for part in prompt_parts[:-1])


class PartReports:
    """Attempts in flight by incarnation, and reports about their parts."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        # Attempts that have not begun to be answered.
        self._in_flight: dict[LifeId, set[PartRun]] = {}
        # Such attempts that broke off before the crash was confirmed, and when.
        self._broken: dict[LifeId, list[tuple[PartRun, int]]] = {}
        self._last_reports: dict[LifeId, tuple[anyio.Event, set[PartDigest]]] = {}
        self._pending_count = 0
        # When each part was last answered, the oldest first.
        self._answered_ms: collections.OrderedDict[PartDigest, int] = (
            collections.OrderedDict()
        )
        self._shown: dict[PartDigest, bool] = {}
        # What this entry saw itself; decides while it is cut off.
        self._own_evidence = CrashEvidence()
        state.view_callbacks.append(self._on_view_change)
        state.backend_removal_callbacks.append(self._retain_only)

    def is_refused(self, parts: RequestParts) -> bool:
        """Returns whether one of the parts is known to crash backend servers."""
        shown = self._state.catalog.parts
        if any((item := shown.get(part)) and item.is_refused for part in parts):
            return True
        own_refused = self._own_evidence.refused
        if not own_refused or self._state.freshness.is_fresh(timers.now_ms()):
            return False
        return any(part in own_refused for part in parts)

    def attempt_started(
        self, backend: BackendItem, parts: RequestParts
    ) -> PartRun | None:
        """Adds an attempt; returns None for a request without shared parts."""
        if not parts:
            return None
        life_id = backend.life_id
        run = PartRun(backend.name, life_id, parts, self._state.catalog.index)
        self._in_flight.setdefault(life_id, set()).add(run)
        return run

    def attempt_ended(self, run: PartRun | None) -> None:
        """Removes an attempt that has ended or has begun to be answered."""
        if run is None:
            return
        runs = self._in_flight.get(run.life_id, set())
        runs.discard(run)
        if not runs:
            self._in_flight.pop(run.life_id, None)

    def attempt_broke(self, run: PartRun | None) -> None:
        """Keeps the parts of an attempt that broke off before it was answered."""
        if run is None or run not in self._in_flight.get(run.life_id, ()):
            return
        self.attempt_ended(run)
        broken = self._broken.setdefault(run.life_id, [])
        if len(broken) < BROKEN_LIMIT_COUNT:
            broken.append((run, timers.now_ms()))
        self._report_if_replaced(run.life_id)

    def attempt_answered(self, run: PartRun | None) -> None:
        """Records that a request was answered to its end, which clears its parts."""
        if run is None:
            return
        now_ms = timers.now_ms()
        for part in run.parts:
            self._answered_ms.pop(part, None)
            self._answered_ms[part] = now_ms
        while len(self._answered_ms) > ANSWERED_LIMIT_COUNT:
            self._answered_ms.popitem(last=False)
        if self._own_evidence.crashes:
            command = ClearParts(run.parts, run.known_index)
            crash_evidence.clear(self._own_evidence, command, now_ms)
        shown = self._state.catalog.parts
        suspected = tuple(part for part in run.parts if part in shown)
        if suspected:
            self._start_clear(suspected, run.known_index)

    def backend_still_runs(self, life_id: LifeId) -> None:
        """Drops broken attempts: their incarnation didn't crash."""
        self._broken.pop(life_id, None)

    async def report_crash(self, life_id: LifeId) -> set[PartDigest]:
        """Reports a crash; waits for the verdict.

        Returns:
            Parts that are refused, as far as the control group has answered in time.
        """
        self._report_runs(
            life_id, [*self._take_broken(life_id), *self._in_flight.pop(life_id, ())]
        )
        if life_id not in self._last_reports:
            return set()
        done, refused = self._last_reports[life_id]
        with anyio.move_on_after(VERDICT_WAIT_MS / 1000):
            await done.wait()
        return refused

    def _take_broken(self, life_id: LifeId) -> list[PartRun]:
        recent_ms = timers.now_ms() - BROKEN_MEMORY_MS
        broken = self._broken.pop(life_id, ())
        return [run for run, broke_ms in broken if broke_ms > recent_ms]

    def _report_if_replaced(self, life_id: LifeId) -> None:
        """Reports attempts that broke off if the view shows a later incarnation.

        A backend server that is back within a second is often replaced in the view
        before peers have confirmed its crash. They know nothing of the earlier
        incarnation then, and a probe reaches the later one.
        """
        run, _ = self._broken[life_id][0]
        if self._state.catalog.is_replaced(run.backend, life_id):
            self._report_runs(life_id, self._take_broken(life_id))

    def _report_runs(self, life_id: LifeId, runs: list[PartRun]) -> None:
        requests = tuple(dict.fromkeys(run.parts for run in runs))
        if requests:
            self._start_report(life_id, requests)

    def _start_report(
        self, life_id: LifeId, requests: tuple[RequestParts, ...]
    ) -> None:
        now_ms = timers.now_ms()
        recent_ms = now_ms - ANSWERED_MEMORY_MS
        parts = dict.fromkeys(part for request in requests for part in request)
        trusted = tuple(
            part for part in parts if self._answered_ms.get(part, 0) > recent_ms
        )
        command = ReportPartCrash(life_id, requests, trusted)
        crash_evidence.expire(self._own_evidence, now_ms)
        crash_evidence.record_crash(self._own_evidence, command, 0, now_ms)
        if self._pending_count >= PENDING_LIMIT_COUNT:
            events.log(events.Event.PART_REPORT_DROPPED, life_id=life_id)
            return
        self._pending_count += 1
        report = (anyio.Event(), set[PartDigest]())
        self._last_reports[life_id] = report
        self._state.start_background(self._send_report, command, *report)

    async def _send_report(
        self, command: ReportPartCrash, done: anyio.Event, refused: set[PartDigest]
    ) -> None:
        """Sends a report until it is recorded: an entry may be cut off for long."""
        answer = None
        try:
            while answer is None:
                answer = await self._state.control_requests.request_until_decided(
                    lambda sequence: PartCrashReport(
                        sequence, command.life_id, command.requests, command.trusted
                    ),
                    _is_recorded,
                    REPORT_TIMEOUT_MS,
                )
            refused.update(answer.refused)
        finally:
            self._pending_count -= 1
            done.set()

    def _start_clear(self, parts: RequestParts, known_index: int) -> None:
        self._state.start_background(self._send_clear, parts, known_index)

    async def _send_clear(self, parts: RequestParts, known_index: int) -> None:
        """Clears parts once; the next answer clears them again."""
        await self._state.control_requests.request_until_decided(
            lambda sequence: PartsCleared(sequence, parts, known_index),
            _is_recorded,
            REPORT_TIMEOUT_MS,
        )

    def _on_view_change(self) -> None:
        """Logs changes of verdicts; clears new suspects that were answered lately."""
        shown = self._state.catalog.parts
        if not shown and not self._shown:
            return
        recent_ms = timers.now_ms() - ANSWERED_MEMORY_MS
        answered = []
        for part, item in shown.items():
            if item.is_refused and not self._shown.get(part):
                events.log(events.Event.PART_REFUSED, part=part)
            was_answered = self._answered_ms.get(part, 0) > recent_ms
            if part not in self._shown and not item.is_trusted and was_answered:
                answered.append(part)
        for part, was_refused in self._shown.items():
            if was_refused and not (part in shown and shown[part].is_refused):
                events.log(events.Event.PART_ALLOWED, part=part)
        self._shown = {part: item.is_refused for part, item in shown.items()}
        if answered:
            self._start_clear(tuple(answered), 0)

    def _retain_only(self, life_ids: set[LifeId]) -> None:
        """Forgets incarnations that left the view, once their crashes are reported."""
        for life_id in self._last_reports.keys() - life_ids:
            del self._last_reports[life_id]
        for life_id in self._broken.keys() - life_ids:
            self._report_if_replaced(life_id)
            self._broken.pop(life_id, None)


def _is_recorded(answer: Any) -> bool:
    return answer.refused is not None
