"""Limits of backend servers on requests, and this entry's permits to send.

A backend server may state how many requests a second it accepts from all entries
together. The entry that hears it heeds the limit at once and reports it; the others
get it with the view. From then on each request to that backend server needs a permit
of the control leader (see `permit_schedule`).
"""

import dataclasses
from collections.abc import Iterable, Mapping

from cassiapitch.limit_messages import (
    ASK_PERIOD_MS,
    HORIZON_MS,
    PERMIT_LIFE_MS,
    PermitAnswer,
    PermitAsk,
    PermitRequest,
    Permits,
)
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem, BackendLimit

# Shortest time between asks, so that requests that arrive together share one.
MIN_ASK_SPACING_MS = 5
# An ask without an answer for this long is presumed lost.
ANSWER_TIMEOUT_MS = 400
# An entry that the leader hasn't answered for this long refuses requests that need a
# permit. A new leader is elected sooner, and callers may reach another entry.
SILENCE_LIMIT_MS = 1_500
# How long what an answer told of the waits is used.
ESTIMATE_VALID_MS = 1_000
# Shortest time between probes, which only serve to hear whether a limit holds.
PROBE_PERIOD_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request between two times."""

    from_ms: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class _Limited:
    """What this entry knows of one limited incarnation.

    Attributes:
        name: Name of the backend server.
        in_force: The limit in the view; None if the view shows none yet.
        heard_per_s: Limit that it stated to this entry, until the view shows it.
        heard_until_index: Index of the view that shows it; None if not known yet.
        permits: Unused permits, by the time from which they may be used.
        has_queued: Whether the leader may have requests of this entry in its queue.
        estimate: What the leader last told of the waits; None before its first answer.
        estimate_as_of_ms: Time of the ask that it answered.
        probe_due_ms: When a permit may be requested without a waiting request.
        needs_probe: Whether such a permit is to be requested.
    """

    name: str
    in_force: BackendLimit | None = None
    heard_per_s: float | None = None
    heard_until_index: int | None = None
    permits: list[Permit] = dataclasses.field(default_factory=list)
    has_queued: bool = False
    estimate: Permits | None = None
    estimate_as_of_ms: int = 0
    probe_due_ms: int = 0
    needs_probe: bool = False


class SendLimits:
    """Limits and permits of one entry, by incarnation of the backend servers."""

    def __init__(self, entry: str, entry_life_id: str) -> None:
        self._entry = entry
        self._entry_life_id = entry_life_id
        self._limited: dict[LifeId, _Limited] = {}
        self._sequence = 0
        self._asked_ms: dict[int, int] = {}
        self._is_ask_open = False
        self._last_asked_ms = -MIN_ASK_SPACING_MS
        self._ask_again_ms: int | None = None
        # Time of the first ask since the last answer.
        self._unanswered_since_ms: int | None = None

    def has_limits(self) -> bool:
        """Returns whether any backend server has a limit that this entry knows."""
        return bool(self._limited)

    def is_limited(self, life_id: LifeId) -> bool:
        """Returns whether requests to an incarnation need a permit."""
        return life_id in self._limited

    def known_index(self, life_id: LifeId) -> int:
        """Returns the index of the limit in the view, or 0 if there is none."""
        limited = self._limited.get(life_id)
        if limited is None or limited.in_force is None:
            return 0
        return limited.in_force.index

    def record_statement(
        self,
        backend: BackendItem,
        requests_per_s: float | None,
        known_index: int,
    ) -> bool:
        """Records what a response stated; returns whether it has to be reported.

        Args:
            backend: The backend server that responded.
            requests_per_s: The stated limit; None if the response states none.
            known_index: `known_index` when the request was sent.
        """
        limited = self._limited.get(backend.life_id)
        in_force = None if limited is None else limited.in_force
        if requests_per_s is None:
            return in_force is not None and known_index >= in_force.index
        if in_force is not None and in_force.requests_per_s == requests_per_s:
            return False
        if limited is None:
            limited = self._limited[backend.life_id] = _Limited(backend.name)
        limited.heard_per_s = requests_per_s
        limited.heard_until_index = None
        return True

    def report_recorded(self, life_id: LifeId, index: int, view_index: int) -> None:
        """Records that a view of `index` shows the effect of what was reported."""
        limited = self._limited.get(life_id)
        if limited is not None and limited.heard_per_s is not None:
            limited.heard_until_index = index
            self._forget_shown(view_index)

    def update(self, backends: Iterable[BackendItem], view_index: int) -> None:
        """Takes over the limits of the view."""
        life_ids = set()
        for backend in backends:
            life_ids.add(backend.life_id)
            if backend.limit is not None:
                limited = self._limited.setdefault(
                    backend.life_id, _Limited(backend.name)
                )
                limited.in_force = backend.limit
            elif (known := self._limited.get(backend.life_id)) is not None:
                known.in_force = None
        self._limited = {
            life_id: limited
            for life_id, limited in self._limited.items()
            if life_id in life_ids
        }
        self._forget_shown(view_index)

    def _forget_shown(self, view_index: int) -> None:
        """Forgets heard limits that the view shows, and what isn't limited any more."""
        for limited in self._limited.values():
            shown_index = limited.heard_until_index
            if shown_index is not None and view_index >= shown_index:
                limited.heard_per_s = limited.heard_until_index = None
        self._limited = {
            life_id: limited
            for life_id, limited in self._limited.items()
            if limited.in_force is not None or limited.heard_per_s is not None
        }

    def may_send(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether a request may be sent to an incarnation now."""
        limited = self._limited.get(life_id)
        return limited is None or any(
            permit.from_ms <= now_ms <= permit.until_ms for permit in limited.permits
        )

    def spend_permit(self, life_id: LifeId, now_ms: int) -> Permit | None:
        """Uses a permit; returns None if none is needed."""
        limited = self._limited.get(life_id)
        if limited is None:
            return None
        usable = [
            permit
            for permit in limited.permits
            if permit.from_ms <= now_ms <= permit.until_ms
        ]
        permit = min(usable, key=lambda permit: permit.until_ms)
        limited.permits.remove(permit)
        return permit

    def request_probes(self, life_ids: Iterable[LifeId], now_ms: int) -> bool:
        """Requests probes of limited incarnations that could serve a request.

        While other backend servers have room no request waits for a permit, and
        without requests the end of a limit would not be heard.

        Returns:
            Whether a probe is to be requested now.
        """
        is_needed = False
        for life_id in life_ids:
            limited = self._limited.get(life_id)
            if limited is not None and now_ms >= limited.probe_due_ms:
                limited.probe_due_ms = now_ms + PROBE_PERIOD_MS
                limited.needs_probe = is_needed = True
        return is_needed

    def expected_wait_ms(
        self, life_id: LifeId, position: int, now_ms: int
    ) -> int | None:
        """Returns the expected wait of a request of this entry for its permit.

        Args:
            life_id: The limited incarnation.
            position: Number of this entry's waiting requests before it.
            now_ms: The current time.

        Returns:
            The time in milliseconds; None if the leader hasn't told lately.
        """
        limited = self._limited[life_id]
        estimate, as_of_ms = limited.estimate, limited.estimate_as_of_ms
        if estimate is None or now_ms - as_of_ms > ESTIMATE_VALID_MS:
            return None
        permits = sorted(permit.from_ms for permit in limited.permits)
        if position < len(permits):
            return max(0, permits[position] - now_ms)
        position -= len(permits)
        if position < len(estimate.waits_ms):
            wait_ms = estimate.waits_ms[position]
        else:
            # Requests of other entries may come in between, so it is at least this.
            further_count = position - len(estimate.waits_ms)
            wait_ms = estimate.next_wait_ms + further_count * estimate.spacing_ms
        return max(0, as_of_ms + wait_ms - now_ms)

    def spacing_ms(self, life_id: LifeId) -> int:
        """Returns the time between two requests that a limit allows, 0 if unknown."""
        estimate = self._limited[life_id].estimate
        return 0 if estimate is None else estimate.spacing_ms

    def ask(
        self, waiting_counts: Mapping[LifeId, int], now_ms: int
    ) -> PermitAsk | None:
        """Returns the next ask, or None if none is due.

        Args:
            waiting_counts: Requests that wait for a permit, by incarnation; 0 for one
                whose queue is only of interest.
            now_ms: The current time.
        """
        self._drop_expired(now_ms)
        if self._is_ask_open and now_ms - self._last_asked_ms < ANSWER_TIMEOUT_MS:
            return None
        requests = []
        for life_id, limited in self._limited.items():
            waiting_count = waiting_counts.get(life_id, 0) - len(limited.permits)
            request = PermitRequest(
                limited.name, life_id, max(0, waiting_count), limited.needs_probe
            )
            if life_id in waiting_counts or request.is_probe or limited.has_queued:
                requests.append(request)
        if not requests:
            self._ask_again_ms = self._unanswered_since_ms = None
            return None
        for request in requests:
            limited = self._limited[request.life_id]
            limited.has_queued = request.waiting_count > 0
            limited.needs_probe = False
        self._sequence += 1
        self._asked_ms[self._sequence] = now_ms
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        self._is_ask_open = True
        self._last_asked_ms = now_ms
        self._ask_again_ms = now_ms + ANSWER_TIMEOUT_MS
        return PermitAsk(
            self._entry, self._entry_life_id, self._sequence, tuple(requests)
        )

    def receive(self, answer: PermitAnswer, now_ms: int) -> None:
        """Adds the permits of an answer."""
        asked_ms = self._asked_ms.pop(answer.sequence, None)
        if asked_ms is None:
            return
        self._unanswered_since_ms = None
        if answer.sequence == self._sequence:
            self._is_ask_open = False
        first_wait_ms = ASK_PERIOD_MS + HORIZON_MS
        for item in answer.permits:
            limited = self._limited.get(item.life_id)
            if limited is None:
                continue
            limited.permits += [
                Permit(asked_ms + delay_ms, asked_ms + delay_ms + PERMIT_LIFE_MS)
                for delay_ms in item.delays_ms
            ]
            limited.estimate, limited.estimate_as_of_ms = item, asked_ms
            first_wait_ms = min((first_wait_ms, *item.waits_ms))
        again_ms = asked_ms + first_wait_ms - HORIZON_MS
        self._ask_again_ms = max(now_ms + MIN_ASK_SPACING_MS, again_ms)

    def is_leader_silent(self, now_ms: int) -> bool:
        """Returns whether asks have been unanswered for too long."""
        since_ms = self._unanswered_since_ms
        return since_ms is not None and now_ms - since_ms > SILENCE_LIMIT_MS

    def wake_ms(self, now_ms: int) -> int | None:
        """Returns when a permit becomes usable or the next ask is due, if ever."""
        times_ms = [
            permit.from_ms
            for limited in self._limited.values()
            for permit in limited.permits
            if permit.from_ms > now_ms
        ]
        if self._ask_again_ms is not None:
            times_ms.append(self._ask_again_ms)
        return min(times_ms, default=None)

    def _drop_expired(self, now_ms: int) -> None:
        self._asked_ms = {
            sequence: asked_ms
            for sequence, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms <= HORIZON_MS + PERMIT_LIFE_MS
        }
        for limited in self._limited.values():
            limited.permits = [
                permit for permit in limited.permits if now_ms <= permit.until_ms
            ]
