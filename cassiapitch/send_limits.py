"""Limits of backend servers on requests, and this entry's permits to send.

A backend server may state how many requests a second it accepts from all entries
together. The entry that hears it heeds the limit at once and reports it; the others
get it with the view. From then on each request to that backend server needs a permit
of the control leader (see `permit_schedule`).
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from types import MappingProxyType

from cassiapitch import ranks
from cassiapitch.known_limits import KnownLimits
from cassiapitch.limit_messages import (
    FORM_LISTS_KNOWN,
    PERMIT_LIFE_MS,
    PermitAnswer,
    PermitAsk,
)
from cassiapitch.paced_requests import PacedRequests
from cassiapitch.permit_asks import PermitAsks
from cassiapitch.permit_queues import PermitQueues, QueuedRequest
from cassiapitch.send_permits import Permit
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem

# An entry that the leader hasn't answered for this long refuses requests that need a
# permit. A new leader is elected sooner, and callers may reach another entry.
SILENCE_LIMIT_MS = 1_500
# Shortest time between probes, which only serve to hear whether a limit holds.
PROBE_PERIOD_MS = 500
# An entry whose process did nothing for this long was suspended. Until its view is
# confirmed again, it may lack that backend servers have turned cold.
STALL_MS = 700
# The leader names the paced incarnations at least once a second, and answers asks for
# their permits within a few milliseconds.
PACE_VALID_MS = 2_500
PACE_SILENCE_MS = 600
# How often `watch` is to be called, so that an idle entry doesn't count as suspended.
WATCH_PERIOD_MS = 250
# With an old view, a backend server that may be cold gets one request in this time. An
# entry that woke from a suspend sent ten at once in a simulation.
UNCONFIRMED_SPACING_MS = 1_000


class SendLimits:
    """Limits and permits of one entry, by incarnation of the backend servers.

    Attributes:
        paced_requests: What the leader was told of requests at paced incarnations.
        cold_roles: Roles whose backend servers have a limit while they are cold.
        confirmed_ms: Time of the last confirmation of the view; None before the first.
    """

    def __init__(self, entry: str, entry_life_id: str) -> None:
        self.paced_requests = PacedRequests(entry, entry_life_id)
        self.cold_roles: frozenset[str] = frozenset()
        self.confirmed_ms: int | None = None
        self._known = KnownLimits()
        self._asks = PermitAsks(entry, entry_life_id)
        self._last_sent_ms: dict[LifeId, int] = {}
        self._watched_ms: int | None = None
        self._woke_ms: int | None = None
        # Whether what waits for permits has changed since the last exchange.
        self._has_changed = False
        # Time of the last message that named the paced incarnations.
        self._paced_ms = 0

    def has_limits(self) -> bool:
        """Returns whether any backend server has a limit that this entry knows."""
        return bool(self._known.by_life)

    def is_limited(self, life_id: LifeId) -> bool:
        """Returns whether requests to an incarnation need a permit."""
        return life_id in self._known.by_life

    def is_cold(self, life_id: LifeId) -> bool:
        """Returns whether an incarnation is limited because it is cold."""
        return self._known.is_cold(life_id)

    def is_paced(self, life_id: LifeId) -> bool:
        """Returns whether an incarnation is limited because prompts are paced."""
        return self._known.is_paced(life_id)

    def set_paced(self, paced: Mapping[LifeId, str], now_ms: int) -> bool:
        """Takes over which incarnations the leader paces; returns if that changed.

        Args:
            paced: Names of the backend servers by incarnation.
            now_ms: The current time.
        """
        self._paced_ms = now_ms
        self.paced_requests.waits.forget_unpaced(paced)
        is_change = self._known.set_paced(paced)
        self._end_asks_if_unlimited()
        self._has_changed |= is_change
        return is_change

    def drop_stale_paces(self, now_ms: int) -> bool:
        """Ends all pacing if the leader is silent; returns whether there was any.

        Prompts then go out as they come: waiting for a leader that is gone would
        serve nobody.
        """
        if not any(limited.is_paced for limited in self._known.by_life.values()):
            return False
        asked_ms = self._asks.unanswered_since_ms
        is_silent = asked_ms is not None and now_ms - asked_ms > PACE_SILENCE_MS
        paced_silent_ms = self.paced_requests.silent_ms()
        if paced_silent_ms is not None:
            is_silent |= now_ms - paced_silent_ms > PACE_SILENCE_MS
        if not is_silent and now_ms - self._paced_ms <= PACE_VALID_MS:
            return False
        # The next message that names paced incarnations is heeded for as long again.
        self._asks.unanswered_since_ms = None
        self.paced_requests.clear()
        return self.set_paced({}, self._paced_ms)

    def cold_count(self) -> int:
        """Returns how many incarnations are limited because they are cold."""
        return sum(self.is_cold(life_id) for life_id in self._known.by_life)

    def known_index(self, life_id: LifeId) -> int:
        """Returns the index of the limit in the view, or 0 if there is none."""
        return self._known.known_index(life_id)

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
        return self._known.record_statement(backend, requests_per_s, known_index)

    def report_recorded(self, life_id: LifeId, index: int, view_index: int) -> None:
        """Records that a view of `index` shows the effect of what was reported."""
        if self._known.report_recorded(life_id, index, view_index):
            self._end_asks_if_unlimited()

    def update(self, backends: Collection[BackendItem], view_index: int) -> None:
        """Takes over the limits of the view."""
        self._known.update(backends, view_index)
        self._end_asks_if_unlimited()
        life_ids = {backend.life_id for backend in backends}
        self._last_sent_ms = {
            life_id: sent_ms
            for life_id, sent_ms in self._last_sent_ms.items()
            if life_id in life_ids
        }

    def _end_asks_if_unlimited(self) -> None:
        """Forgets what was asked once no limit is left, as no ask follows then."""
        if not self._known.by_life:
            self._asks.close()
            self.paced_requests.clear()

    def may_send(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether a request may be sent to an incarnation now."""
        limited = self._known.by_life.get(life_id)
        return limited is None or bool(limited.usable_permits(now_ms))

    def has_probe(self, life_id: LifeId, now_ms: int) -> bool:
        """Returns whether a permit to probe an incarnation is to be used now."""
        limited = self._known.by_life.get(life_id)
        return limited is not None and any(
            permit.is_probe for permit in limited.usable_permits(now_ms)
        )

    def watch(self, now_ms: int) -> None:
        """Notices that the process was suspended."""
        if self._watched_ms is not None and now_ms - self._watched_ms > STALL_MS:
            self._woke_ms = now_ms
        self._watched_ms = now_ms

    def is_in_pace(self, backend: BackendItem, now_ms: int) -> bool:
        """Returns whether the view is current enough for one more request.

        After a suspend it isn't until it is confirmed, except for one in a while.
        """
        if backend.role not in self.cold_roles or self.is_limited(backend.life_id):
            return True
        self.watch(now_ms)
        if self._woke_ms is None or (self.confirmed_ms or 0) >= self._woke_ms:
            return True
        sent_ms = self._last_sent_ms.get(backend.life_id)
        return sent_ms is None or now_ms - sent_ms >= UNCONFIRMED_SPACING_MS

    def spend_permit(self, life_id: LifeId, now_ms: int) -> Permit | None:
        """Uses a permit; returns None if none is needed.

        Call it only if `may_send` is true at this time.
        """
        if self.cold_roles:
            self._last_sent_ms[life_id] = now_ms
        limited = self._known.by_life.get(life_id)
        if limited is None:
            return None
        usable = limited.usable_permits(now_ms)
        permit = min(usable, key=lambda permit: permit.until_ms)
        limited.permits.remove(permit)
        return permit

    def request_probes(self, life_ids: Iterable[LifeId], now_ms: int) -> bool:
        """Requests probes of limited incarnations that could serve a request.

        While other backend servers have room no request waits for a permit, and
        without requests the end of a limit would not be heard. That of a cold limit is
        announced, so it needs none.

        Returns:
            Whether a probe is to be requested now.
        """
        is_needed = False
        for life_id in life_ids:
            limited = self._known.by_life.get(life_id)
            if limited is None or self.is_cold(life_id) or not limited.has_limit:
                continue
            if now_ms >= limited.probe_due_ms:
                limited.probe_due_ms = now_ms + PROBE_PERIOD_MS
                limited.needs_probe = is_needed = True
        return is_needed

    def expected_wait_ms(
        self,
        life_id: LifeId,
        position: int,
        now_ms: int,
        rank: int = ranks.LEAST_URGENT_RANK,
    ) -> int | None:
        """Returns the expected wait of a request of this entry for its permit.

        Args:
            life_id: The limited incarnation.
            position: Number of this entry's waiting requests before it.
            now_ms: The current time.
            rank: Its rank.

        Returns:
            The time in milliseconds; None if the leader hasn't told lately.
        """
        return self._known.by_life[life_id].expected_wait_ms(position, now_ms, rank)

    def paced_wait_ms(
        self, life_id: LifeId, request: QueuedRequest, position: int, now_ms: int
    ) -> int | None:
        """Returns the expected wait of a request for its permit of a paced incarnation.

        Args:
            life_id: The incarnation.
            request: The request, which may wait for another one.
            position: Number of this entry's waiting requests before it.
            now_ms: The current time.
        """
        if not self.paced_requests.is_accepted:
            return self.expected_wait_ms(life_id, position, now_ms, request.rank)
        return self.paced_requests.wait_ms(life_id, request, request.rank, now_ms)

    def paced_ask(self, queues: PermitQueues, now_ms: int) -> PermitAsk | None:
        """Returns the next ask for paced incarnations, or None if none is due.

        It has only what has changed; see `ask` for leaders that need the whole list.
        """
        self._drop_expired(now_ms)
        paced = self._paced_queues(queues)
        if not self.paced_requests.is_accepted:
            self.paced_requests.note_waits(paced, now_ms)
            return None
        counts = {
            life_id: len(self._known.by_life[life_id].permits) for life_id in paced
        }
        sequence = self._asks.sequence + 1
        message = self.paced_requests.ask(paced, counts, sequence, now_ms)
        if message is not None:
            self._asks.sequence = sequence
        return message

    def take_own_permits(self, queues: PermitQueues, now_ms: int) -> bool:
        """Permits requests that have waited too long while the leader is silent.

        Returns:
            Whether there are any.
        """
        paced = self._paced_queues(queues)
        counts = {
            life_id: len(self._known.by_life[life_id].usable_permits(now_ms))
            for life_id in paced
        }
        overdue = self.paced_requests.overdue(paced, counts, now_ms)
        for life_id, request in overdue:
            self.paced_requests.withdraw(request)
            request.granted_life = life_id
            permit = Permit(now_ms, now_ms + PERMIT_LIFE_MS)
            self._known.by_life[life_id].permits.append(permit)
        return bool(overdue)

    def _paced_queues(self, queues: PermitQueues) -> PermitQueues:
        return {
            life_id: requests
            for life_id, requests in queues.items()
            if self.is_paced(life_id)
        }

    def spacing_ms(self, life_id: LifeId) -> int:
        """Returns the time between two requests that a limit allows, 0 if unknown."""
        if self.is_paced(life_id) and self.paced_requests.is_accepted:
            return self.paced_requests.waits.spacing_ms(life_id)
        estimate = self._known.by_life[life_id].estimate
        return 0 if estimate is None else estimate.spacing_ms

    def note_change(self) -> None:
        """Records that what waits for permits has changed."""
        self._has_changed = True

    def is_exchange_due(self, now_ms: int) -> bool:
        """Returns whether `asks` may return any, or requests are to be refused.

        While prompts are paced only, that is when something has changed or is due.
        """
        if self._has_changed or any(
            item.has_limit for item in self._known.by_life.values()
        ):
            return True
        times_ms = (self._asks.ask_again_ms, self.paced_requests.wake_ms())
        return any(time_ms is not None and time_ms <= now_ms for time_ms in times_ms)

    def asks(self, queues: PermitQueues, now_ms: int) -> list[PermitAsk]:
        """Returns the asks that are due.

        Args:
            queues: The requests that wait for permits, by incarnation and in order.
            now_ms: The current time.
        """
        prompts = {
            life_id: [(request.rank, request.tokens) for request in requests]
            for life_id, requests in queues.items()
        }
        counts = {life_id: len(requests) for life_id, requests in queues.items()}
        waiting = {
            life_id: [(item.rank, item.weight, item.account) for item in requests]
            for life_id, requests in queues.items()
        }
        ask = self.ask(counts, now_ms, prompts, waiting)
        messages = (ask, self.paced_ask(queues, now_ms))
        self._has_changed = False
        return [message for message in messages if message is not None]

    def ask(
        self,
        waiting_counts: Mapping[LifeId, int],
        now_ms: int,
        prompts: Mapping[LifeId, Sequence[tuple[int, int]]] = MappingProxyType({}),
        waiting: Mapping[LifeId, Sequence[tuple[int, int, int]]] = MappingProxyType({}),
    ) -> PermitAsk | None:
        """Returns the next ask, or None if none is due.

        Args:
            waiting_counts: Requests that wait for a permit, by incarnation; 0 for one
                whose queue is only of interest.
            now_ms: The current time.
            prompts: Rank and prompt tokens of those that wait for paced incarnations,
                in order.
            waiting: Rank, weight and tag of the client account of those that wait for
                others, in order.
        """
        self._drop_expired(now_ms)
        return self._asks.ask(
            self._known.by_life,
            waiting_counts,
            now_ms,
            prompts,
            waiting,
            with_paced=not self.paced_requests.is_accepted,
        )

    def receive(self, answer: PermitAnswer, now_ms: int) -> None:
        """Adds the permits of an answer."""
        self._has_changed |= self.paced_requests.needs_ask(answer)
        for granted in self.paced_requests.receive(answer, now_ms):
            limited = self._known.by_life.get(granted.life_id)
            if limited is not None:
                limited.permits.append(
                    Permit(granted.from_ms, granted.from_ms + PERMIT_LIFE_MS)
                )
        asked_ms = self._asks.receive(answer, self._known.by_life, now_ms)
        if asked_ms is None:
            return
        self.paced_requests.note_answer(asked_ms)
        if answer.form == FORM_LISTS_KNOWN:
            self.paced_requests.is_accepted = True

    def is_leader_silent(self, now_ms: int) -> bool:
        """Returns whether asks have been unanswered for too long."""
        since_ms = self._asks.unanswered_since_ms
        return since_ms is not None and now_ms - since_ms > SILENCE_LIMIT_MS

    def wake_ms(self, now_ms: int) -> int | None:
        """Returns when a permit becomes usable or the next ask is due, if ever."""
        times_ms = [
            permit.from_ms
            for limited in self._known.by_life.values()
            for permit in limited.permits
            if permit.from_ms > now_ms
        ]
        if self._asks.ask_again_ms is not None:
            times_ms.append(self._asks.ask_again_ms)
        paced_ms = self.paced_requests.wake_ms()
        if paced_ms is not None:
            times_ms.append(paced_ms)
        silent_ms = self.paced_requests.silent_ms()
        if silent_ms is not None:
            times_ms.append(silent_ms + PACE_SILENCE_MS + 1)
        return min(times_ms, default=None)

    def _drop_expired(self, now_ms: int) -> None:
        self._asks.forget_old(now_ms)
        self._known.drop_expired_permits(now_ms)
