"""Reports the limits that backend servers state in responses to the control group."""

from typing import Any

from cassiapitch import events
from cassiapitch.entrystate import EntryState
from cassiapitch.header_codec import BackendHead
from cassiapitch.limit_messages import LimitReport
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# Time limit of one try, over which the request is repeated.
REPORT_TIMEOUT_MS = 5_000


class LimitReports:
    """Statements of one entry's backend servers that are being reported."""

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._pending: set[tuple[LifeId, float | None]] = set()

    def record(
        self, backend: BackendItem, backend_head: BackendHead, known_index: int
    ) -> None:
        """Records what a response states of its backend server's limit.

        Args:
            backend: The backend server that the request was sent to.
            backend_head: The head of its response.
            known_index: Index of the limit that was known when the request was sent.
        """
        limit = backend_head.limit
        if backend_head.is_other_backend:
            # The response may be of another backend server that has the address now.
            return
        if limit.is_malformed:
            events.log(
                events.Event.BACKEND_STATED_LIMIT,
                name=backend.name,
                life_id=backend.life_id,
                is_malformed=True,
            )
            return
        if limit.requests_per_s is None and not backend_head.is_signed:
            # It may come from another program, so it doesn't tell that a limit ended.
            return
        if not self._state.send_limits.record_statement(
            backend, limit.requests_per_s, known_index
        ):
            return
        statement = (backend.life_id, limit.requests_per_s)
        if statement in self._pending:
            return
        events.log(
            events.Event.BACKEND_STATED_LIMIT,
            name=backend.name,
            life_id=backend.life_id,
            requests_per_s=limit.requests_per_s,
        )
        self._pending.add(statement)
        self._state.start_background(
            self._report, backend, limit.requests_per_s, known_index
        )

    async def _report(
        self, backend: BackendItem, requests_per_s: float | None, known_index: int
    ) -> None:
        """Reports a statement until it is recorded; gives up on the end of a limit.

        The next response tells the end of a limit again. A limit has to be reported
        even if no further request is sent.
        """
        life_id = backend.life_id
        try:
            while True:
                answer = await self._state.control_requests.request_until_decided(
                    lambda sequence: LimitReport(
                        sequence, backend.name, life_id, requests_per_s, known_index
                    ),
                    _is_recorded,
                    REPORT_TIMEOUT_MS,
                )
                if answer is not None:
                    self._state.send_limits.report_recorded(
                        life_id, answer.index, self._state.catalog.index
                    )
                    self._state.scheduler.dispatch_waiting()
                    return
                is_heeded = self._state.send_limits.is_limited(life_id)
                if requests_per_s is None or not is_heeded:
                    return
        finally:
            self._pending.discard((life_id, requests_per_s))


def _is_recorded(answer: Any) -> bool:
    return answer.index is not None
