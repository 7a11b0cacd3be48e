"""Keeps each resumable stream to the software version that began it, for one entry.

While a role has several versions, the entry records in the control group's log what
began each stream, before its caller gets the first event. A stream that a caller takes
up again goes on only where the log proves that it began.
"""

import collections
import dataclasses
from typing import Any

import anyio

from cassiapitch import events, stream_origins, timers
from cassiapitch.backend_connection import BackendBrokenError, BackendConnection
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardlog import log_failed_attempt
from cassiapitch.forwardtypes import ForwardCall, RefusedError, StreamSource
from cassiapitch.header_codec import HeaderCodec
from cassiapitch.origin_messages import OriginAsk, OriginsReport, StreamOrigin
from cassiapitch.types import StreamDigest
from cassiapitch.viewitems import BackendItem

# Time limit of one try to record streams, over which the request is repeated.
REPORT_TIMEOUT_MS = 5_000
# Streams that begin together share a report.
REPORT_SPACING_MS = 10
REPORT_LIMIT_COUNT = 512
# How long a first event waits until its stream is recorded. It is relayed afterwards
# all the same: the entry goes on recording it, and remembers it.
RECORD_WAIT_MS = 150
# The same for a stream whose earlier attempts were sent to other versions; its first
# event isn't relayed before it is recorded.
AMBIGUOUS_WAIT_MS = 1_500
# How long a stream that is taken up waits for the control group's answer.
FIND_WAIT_MS = 1_500
# How long it then waits for this entry's view to show its version.
VIEW_WAIT_MS = 1_000
# States of backend servers that may continue a stream, now or soon.
RETURNING_STATES = ("serving", "suspected")
# When callers return if it doesn't answer.
FIND_RETRY_MS = 500
# Streams that the entry remembers, and that wait to be recorded.
RECENT_LIMIT_COUNT = 4_096
PENDING_LIMIT_COUNT = 4_096


@dataclasses.dataclass(slots=True, eq=False)
class _Report:
    """A stream that is to be recorded."""

    origin: StreamOrigin
    recorded: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class StreamVersions:
    """What began the streams of one entry, and reports about it."""

    def __init__(self, header_codec: HeaderCodec, state: EntryState) -> None:
        self._header_codec = header_codec
        self._state = state
        # What began recent streams, the oldest first, and until when that matters.
        self._recent: collections.OrderedDict[
            StreamDigest, tuple[StreamOrigin, int]
        ] = collections.OrderedDict()
        self._pending: dict[StreamDigest, _Report] = {}
        self._is_sending = False
        self._mixed_roles: set[str] = set()
        state.view_callbacks.append(self._on_view_change)

    async def find_source(self, call: ForwardCall) -> None:
        """Finds what began the stream that a request takes up, if it takes up one.

        Raises:
            RefusedError: That can't be proved, or not now.
        """
        if not call.route.may_be_resumed or call.head.last_event_id is None:
            return
        stream = self._digest(call, call.head.resumed_request_id)
        recent = self._recent.get(stream)
        if recent is not None:
            call.source = StreamSource(recent[0].role, recent[0].version)
            return
        roles = tuple(target.role for target in call.route.targets)
        asked_ms = timers.now_ms()
        answer = await self._state.control_requests.request_until_decided(
            lambda sequence: OriginAsk(sequence, stream, roles),
            _is_decided,
            min(FIND_WAIT_MS, max(1, call.left_ms())),
        )
        if answer is None:
            raise RefusedError(ErrorKind.NOT_READY, FIND_RETRY_MS)
        if answer.role is None:
            raise RefusedError(ErrorKind.STREAM_VERSION_UNKNOWN)
        call.source = StreamSource(answer.role, answer.version)
        await self._wait_for_view(call, asked_ms)

    async def _wait_for_view(self, call: ForwardCall, asked_ms: int) -> None:
        """Waits for a view that shows a stream's version, or that is current.

        The log may know a version that an entry which was cut off, or stood still,
        doesn't know yet.

        Raises:
            RefusedError: The view doesn't become current in time.
        """
        wait_ms = min(VIEW_WAIT_MS, max(1, call.left_ms()))
        wait_deadline_ms = timers.now_ms() + wait_ms
        while not self._is_shown(call):
            if (self._state.freshness.as_of_ms or 0) >= asked_ms:
                return
            left_ms = wait_deadline_ms - timers.now_ms()
            if left_ms <= 0:
                raise RefusedError(ErrorKind.NOT_READY, FIND_RETRY_MS)
            await self._state.confirmed.wait(left_ms)

    def _is_shown(self, call: ForwardCall) -> bool:
        """Returns whether a backend server may continue a stream, now or later.

        One that is only suspected may be back soon.
        """
        source = call.source
        return source is None or any(
            source.matches(backend) and backend.state in RETURNING_STATES
            for backend in self._state.catalog.backends.values()
        )

    def refuse_unservable(self, call: ForwardCall) -> None:
        """Refuses to continue a stream whose version no backend server has any more.

        Raises:
            RefusedError: There is none.
        """
        if not self._is_shown(call):
            raise RefusedError(ErrorKind.STREAM_VERSION_UNKNOWN)

    async def may_continue(
        self, call: ForwardCall, backend: BackendItem, connection: BackendConnection
    ) -> bool:
        """Returns whether a stream may go on over a connection.

        A backend server that has come back at its old address may have other software;
        until its next heartbeat, the view shows the old one.
        """
        if call.source is None or connection.is_verified:
            return True
        try:
            life_id = await connection.read_identity(self._header_codec, backend.name)
        except BackendBrokenError as error:
            log_failed_attempt(call, backend, f"unidentified: {error}")
            return False
        if life_id is not None and life_id != backend.life_id:
            log_failed_attempt(call, backend, f"another incarnation: {life_id}")
            return False
        connection.is_verified = True
        return True

    def attempt_started(self, call: ForwardCall, backend: BackendItem) -> None:
        """Begins to record what a request is sent to, in time for the first event."""
        if call.source is not None or not call.route.may_be_resumed:
            return
        if self._state.catalog.has_several_versions(backend.role):
            call.reported_versions.add(backend.software_version)
            self._enqueue(self._origin(call, backend, call.sent_count + 1))

    async def answer_begun(self, call: ForwardCall, backend: BackendItem) -> bool:
        """Records what began a stream; returns whether its events may be relayed.

        They may not if the log could hold another version, of an earlier attempt.
        """
        if call.source is not None or not call.route.may_be_resumed:
            return True
        call.source = StreamSource(backend.role, backend.software_version)
        origin = self._origin(call, backend, call.sent_count)
        if self._state.catalog.has_several_versions(backend.role):
            call.reported_versions.add(backend.software_version)
            report = self._enqueue(origin)
            is_ambiguous = len(call.reported_versions) > 1
            wait_ms = AMBIGUOUS_WAIT_MS if is_ambiguous else RECORD_WAIT_MS
            with anyio.move_on_after(wait_ms / 1000):
                await report.recorded.wait()
            if is_ambiguous and not report.recorded.is_set():
                call.source = None
                return False
        self._remember(origin)
        return True

    def _digest(self, call: ForwardCall, request_id: str | None) -> StreamDigest:
        if request_id is None:
            return StreamDigest("")
        account = "" if call.account is None else call.account.name
        return stream_origins.stream_digest(account, request_id)

    def _origin(
        self, call: ForwardCall, backend: BackendItem, attempt_count: int
    ) -> StreamOrigin:
        stream = self._digest(call, call.head.request_id)
        return StreamOrigin(
            stream, backend.role, backend.software_version, attempt_count
        )

    def _remember(self, origin: StreamOrigin) -> None:
        if not origin.stream:
            return
        now_ms = timers.now_ms()
        self._recent.pop(origin.stream, None)
        self._recent[origin.stream] = (origin, now_ms + stream_origins.ORIGIN_MS)
        while self._recent:
            _, until_ms = next(iter(self._recent.values()))
            if until_ms > now_ms and len(self._recent) <= RECENT_LIMIT_COUNT:
                break
            self._recent.popitem(last=False)

    def _enqueue(self, origin: StreamOrigin) -> _Report:
        report = self._pending.get(origin.stream)
        if report is not None and report.origin == origin:
            return report
        report = _Report(origin)
        if not origin.stream:
            # A request without an id can't be named by a later one.
            report.recorded.set()
            return report
        if len(self._pending) >= PENDING_LIMIT_COUNT:
            oldest = next(iter(self._pending))
            events.log(events.Event.STREAM_NOT_RECORDED, stream=oldest)
            del self._pending[oldest]
        self._pending[origin.stream] = report
        if not self._is_sending:
            self._is_sending = True
            self._state.start_background(self._send_reports)
        return report

    async def _send_reports(self) -> None:
        """Sends reports until all are recorded: an entry may be cut off for long."""
        try:
            while self._pending:
                await anyio.sleep(REPORT_SPACING_MS / 1000)
                reports = list(self._pending.values())[:REPORT_LIMIT_COUNT]
                origins = tuple(report.origin for report in reports)
                answer = await self._state.control_requests.request_until_decided(
                    lambda sequence, origins=origins: OriginsReport(sequence, origins),
                    _is_decided,
                    REPORT_TIMEOUT_MS,
                )
                for report in reports if answer is not None else ():
                    report.recorded.set()
                    if self._pending.get(report.origin.stream) is report:
                        del self._pending[report.origin.stream]
        finally:
            self._is_sending = False

    def _on_view_change(self) -> None:
        """Records the recent streams of a role that has got a second version."""
        mixed_roles = self._state.catalog.roles_with_several_versions()
        new_roles = mixed_roles - self._mixed_roles
        self._mixed_roles = mixed_roles
        if not new_roles:
            return
        now_ms = timers.now_ms()
        for origin, until_ms in self._recent.values():
            if origin.role in new_roles and until_ms > now_ms:
                self._enqueue(origin)


def _is_decided(answer: Any) -> bool:
    return answer.is_decided
