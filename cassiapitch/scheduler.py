"""Schedules requests onto backend servers.

Requests wait in one fair queue for each model or service role until the router finds a
backend server with a free slot. A request is refused at once when it can't be served
before its deadline.
"""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import anyio

from cassiapitch import permit_queues, timers
from cassiapitch.affinity import NO_SHARED_PREFIX, SharedPrefix
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.fairness import FairQueue, Ticket
from cassiapitch.permit_queues import QueuedRequest
from cassiapitch.prefill import is_first_token_in_time
from cassiapitch.routing import Router
from cassiapitch.send_limits import Permit, SendLimits
from cassiapitch.types import AccountName, LifeId, Priority, RequestDigest
from cassiapitch.viewitems import (
    BackendItem,
)

# How long a request for a model that isn't loaded waits to learn when it will be. The
# entry's demand report may take up to its period of 500 ms, and the leader's reply up
# to its period of 1,000 ms.
LOAD_TIME_WAIT_LIMIT_MS = 2_000
# When callers retry whose requests need a permit while the leader doesn't answer.
SILENT_LEADER_RETRY_MS = 500
# Share of the time until its deadline that a request may wait for a permit. The rest is
# left for the work: with longer queues a limited backend server would serve as many
# requests, but all of them late.
PERMIT_WAIT_SHARE = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """A request for a slot at a backend server.

    An incarnation is one run of a backend server's process, from start to exit.

    Attributes:
        name: The requested model or adapter, or the role of a plain service.
        queue: Name of the queue: the model, or the role of a plain service.
        candidates: Returns the backend servers that can serve the request now.
        expected_ms: Returns the time until there is a candidate if there is none
            now, or None if none is expected.
        account: The client account, empty on an open route.
        weight: The account's weight in the fair queue.
        priority: Urgent or batch.
        cost: The request's tokens, the unit in which the queue shares service.
        deadline_ms: Time at which the request is refused if it still waits.
        digest: Digest of the request's content.
        prefixes: Digests of the prompt's prefixes.
        excluded_lives: Ids of incarnations that must not receive the request.
        crashed_lives: Ids of incarnations that crashed while running it.
        is_restricted: Whether only some backend servers of the queue are candidates.
        waits_until_deadline: Whether it waits until its deadline if there is no
            candidate, even if none is expected.
        requested_ms: Time at which a slot was first requested.
        denied_count: Number of times that the backend server chosen for a suspect was
            already claimed by another suspect.
        prompt_tokens: Tokens of the prompt; 0 for a request without one.
        first_token_limit_ms: Longest time to the first token; None for no limit.
        shared: The part of the prompt that other requests share.
        role: Role of the backend servers; empty where retries aren't limited by role.
    """

    name: str
    queue: str
    candidates: Callable[[], list[BackendItem]]
    expected_ms: Callable[[], int | None]
    account: AccountName
    weight: int
    priority: Priority
    cost: int
    deadline_ms: int
    digest: RequestDigest
    prefixes: tuple[str, ...] = ()
    excluded_lives: set[LifeId] = dataclasses.field(default_factory=set)
    crashed_lives: set[LifeId] = dataclasses.field(default_factory=set)
    is_restricted: bool = False
    waits_until_deadline: bool = False
    requested_ms: int | None = None
    denied_count: int = 0
    prompt_tokens: int = 0
    first_token_limit_ms: int | None = None
    shared: SharedPrefix = NO_SHARED_PREFIX
    role: str = ""

    @property
    def suspect(self) -> bool:
        """Whether a backend server crashed while it ran."""
        return bool(self.crashed_lives)

    @property
    def may_be_skipped(self) -> bool:
        """Whether requests behind it may be served while it finds no backend server."""
        return self.is_restricted or self.suspect or bool(self.excluded_lives)


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A slot at a backend server; return it with `Scheduler.release`.

    Attributes:
        backend: The backend server.
        slot_request: The request.
        permit: The permit that the request uses if the backend server is limited.
    """

    backend: BackendItem
    slot_request: SlotRequest
    permit: Permit | None = None

    def has_expired(self, now_ms: int) -> bool:
        """Returns whether the permit to send the request has expired."""
        return self.permit is not None and now_ms > self.permit.until_ms


@dataclasses.dataclass(frozen=True, slots=True)
class NoSlot:
    """A refusal: no slot is available in time."""

    kind: ErrorKind
    retry_after_ms: int | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    slot_request: SlotRequest
    ticket: Ticket
    done: anyio.Event
    queued_request: QueuedRequest
    result: Slot | NoSlot | None = None


class Scheduler:
    """Fair queues by model or service role, and assignment of slots."""

    def __init__(
        self,
        policy: str,
        router: Router,
        crash_tracker: CrashTracker,
        on_request_queued: Callable[[], None] = lambda: None,
        send_limits: SendLimits | None = None,
        on_permits_needed: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes an empty scheduler.

        Args:
            policy: Queue policy.
            router: Chooses backend servers.
            crash_tracker: Tracks requests that crash backend servers.
            on_request_queued: Called when a request is queued; the caller then has to
                call `tick` periodically.
            send_limits: Limits of backend servers, and permits to send to them.
            on_permits_needed: Called when permits are to be asked for.
        """
        self._send_limits = SendLimits("", "") if send_limits is None else send_limits
        self._on_permits_needed = on_permits_needed
        self._on_request_queued = on_request_queued
        self._policy = policy
        self._router = router
        self._crash_tracker = crash_tracker
        self._queues: dict[str, FairQueue] = {}
        self._waiters: dict[Ticket, _Waiter] = {}

    async def acquire(self, slot_request: SlotRequest) -> Slot | NoSlot:
        """Waits for the request's turn; returns its slot, or the reason for refusal."""
        now_ms = timers.now_ms()
        if slot_request.requested_ms is None:
            slot_request.requested_ms = now_ms
        queue = self._queues.get(slot_request.queue)
        if queue is None:
            queue = self._queues[slot_request.queue] = FairQueue(self._policy)
        refusal = self._early_refusal(slot_request, now_ms)
        if self._send_limits.has_limits():
            self._request_probes(slot_request, now_ms)
        if refusal is None and not len(queue):
            slot = self._try_assign(slot_request, now_ms)
            if slot is not None:
                return slot
        if refusal is None and queue.is_full():
            refusal = NoSlot(ErrorKind.OVERLOADED, self._retry_after_ms(queue))
        if refusal is not None:
            return refusal
        return await self._wait_for_slot(queue, slot_request, now_ms)

    def release(self, slot: Slot, *, completed: bool) -> None:
        """Returns a slot and assigns free slots to waiting requests.

        Args:
            slot: The slot.
            completed: Whether the request ran to its end.
        """
        life_id = slot.backend.life_id
        self._router.request_ended(life_id)
        self._crash_tracker.request_ended(life_id, slot.slot_request.digest)
        if completed:
            self._queues[slot.slot_request.queue].record_completion(timers.now_ms())
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Assigns free slots to waiting requests; call it when slots may be free."""
        if not self._waiters:
            return
        now_ms = timers.now_ms()
        queues = [queue for queue in self._queues.values() if len(queue)]
        for priority in (Priority.URGENT, Priority.BATCH):
            for queue in queues:
                self._dispatch_queue(queue, priority, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuses requests past their deadline, then assigns free slots."""
        for queue in self._queues.values():
            for ticket in queue.expired(now_ms):
                retry_after_ms = self._retry_after_ms(queue)
                refusal = NoSlot(ErrorKind.DEADLINE_EXCEEDED, retry_after_ms)
                self._finish(queue, ticket, refusal)
        self.dispatch_waiting()

    def has_waiting(self) -> bool:
        """Returns whether any request waits for a backend server."""
        return bool(self._waiters)

    def waiting(self) -> dict[tuple[str, Priority], tuple[int, int]]:
        """Returns number and longest wait of waiting requests by name and priority."""
        now_ms = timers.now_ms()
        totals: dict[tuple[str, Priority], tuple[int, int]] = {}
        for ticket, waiter in self._waiters.items():
            key = (waiter.slot_request.name, ticket.priority)
            count, longest_ms = totals.get(key, (0, 0))
            wait_ms = max(longest_ms, now_ms - ticket.since_ms)
            totals[key] = (count + 1, wait_ms)
        return totals

    def waiting_for_permits(self, now_ms: int) -> dict[LifeId, int]:
        """Returns how many waiting requests need a permit, by limited incarnation."""
        queues, _ = self._permit_queues(now_ms)
        return {life_id: len(requests) for life_id, requests in queues.items()}

    def refuse_without_permit(self, now_ms: int) -> None:
        """Refuses waiting requests that can't get a permit before their deadline."""
        queues, usable_lives = self._permit_queues(now_ms)
        late = permit_queues.late_requests(
            queues, usable_lives, self._send_limits, now_ms
        )
        waits_ms = {id(request): wait_ms for request, wait_ms in late}
        if self._send_limits.is_leader_silent(now_ms):
            for requests in queues.values():
                waits_ms.update(
                    (id(request), SILENT_LEADER_RETRY_MS) for request in requests
                )
        for ticket, waiter in list(self._waiters.items()):
            slot_request = waiter.slot_request
            wait_ms = waits_ms.get(id(waiter.queued_request))
            if wait_ms is not None and self._needs_permit(slot_request, now_ms):
                queue = self._queues[slot_request.queue]
                self._finish(queue, ticket, NoSlot(ErrorKind.OVERLOADED, wait_ms))

    def _permit_queues(
        self, now_ms: int
    ) -> tuple[permit_queues.PermitQueues, permit_queues.UsableLives]:
        """Returns the queues for permits, and which of them each request may use."""
        lives_by_request = {
            id(waiter.queued_request): self._limited_lives(waiter.slot_request, now_ms)
            for waiter in self._waiters.values()
        }

        def usable_lives(request: QueuedRequest) -> list[LifeId]:
            return lives_by_request[id(request)]

        requests = [waiter.queued_request for waiter in self._waiters.values()]
        queues = permit_queues.assign(requests, usable_lives, self._send_limits, now_ms)
        return queues, usable_lives

    def _limited_lives(self, slot_request: SlotRequest, now_ms: int) -> list[LifeId]:
        """Returns the limited incarnations that could run a request now."""
        return [
            backend.life_id
            for backend in self._allowed_candidates(slot_request, now_ms)
            if self._send_limits.is_limited(backend.life_id)
            and self._router.has_capacity(backend, slot_request.priority, now_ms)
        ]

    def _needs_permit(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Returns whether all backend servers that can serve a request are limited."""
        return all(
            self._send_limits.is_limited(backend.life_id)
            for backend in self._allowed_candidates(slot_request, now_ms)
            if not self._router.is_leaving(backend.life_id)
        )

    def _request_probes(self, slot_request: SlotRequest, now_ms: int) -> None:
        life_ids = [
            backend.life_id
            for backend in self._allowed_candidates(slot_request, now_ms)
        ]
        if self._send_limits.request_probes(life_ids, now_ms):
            self._on_permits_needed()

    async def _wait_for_slot(
        self, queue: FairQueue, slot_request: SlotRequest, now_ms: int
    ) -> Slot | NoSlot:
        ticket = Ticket(
            slot_request.account,
            slot_request.weight,
            slot_request.priority,
            slot_request.cost,
            slot_request.deadline_ms,
            now_ms,
        )
        queue.push(ticket)
        wait_ms = queue.expected_wait_ms(ticket, now_ms)
        if wait_ms is not None and now_ms + wait_ms > slot_request.deadline_ms:
            queue.abandon(ticket)
            return NoSlot(ErrorKind.DEADLINE_EXCEEDED, wait_ms)
        waiter = _Waiter(
            slot_request,
            ticket,
            anyio.Event(),
            _queued_request(slot_request, now_ms),
        )
        self._waiters[ticket] = waiter
        self._on_request_queued()
        self._dispatch_queue(queue, slot_request.priority, now_ms)
        try:
            await waiter.done.wait()
        except BaseException:
            if isinstance(waiter.result, Slot):
                self.release(waiter.result, completed=False)
            raise
        finally:
            queue.abandon(ticket)
            self._waiters.pop(ticket, None)
        return waiter.result or NoSlot(ErrorKind.INTERNAL)

    def _dispatch_queue(
        self, queue: FairQueue, priority: Priority, now_ms: int
    ) -> None:
        with contextlib.closing(queue.in_order(priority)) as tickets:
            self._dispatch_in_order(queue, tickets, now_ms)

    def _dispatch_in_order(
        self, queue: FairQueue, tickets: Iterator[Ticket], now_ms: int
    ) -> None:
        for ticket in tickets:
            waiter = self._waiters.get(ticket)
            if waiter is None:
                continue
            slot = self._try_assign(waiter.slot_request, now_ms)
            if slot is not None:
                self._finish(queue, ticket, slot)
            elif (
                refusal := self._early_refusal(waiter.slot_request, now_ms)
            ) is not None:
                self._finish(queue, ticket, refusal)
            elif not waiter.slot_request.may_be_skipped:
                return

    def _finish(self, queue: FairQueue, ticket: Ticket, result: Slot | NoSlot) -> None:
        if isinstance(result, Slot):
            queue.serve(ticket)
        else:
            queue.abandon(ticket)
        waiter = self._waiters.pop(ticket)
        waiter.result = result
        waiter.done.set()

    def _try_assign(self, slot_request: SlotRequest, now_ms: int) -> Slot | None:
        candidates = list(self._allowed_candidates(slot_request, now_ms))
        if slot_request.suspect:
            candidates = self._preferred_for_suspect(candidates, slot_request, now_ms)
        backend = self._router.choose(
            candidates,
            slot_request.priority,
            slot_request.prefixes,
            now_ms,
            slot_request.prompt_tokens,
            slot_request.shared,
        )
        if backend is None:
            return None
        permit = self._send_limits.spend_permit(backend.life_id, now_ms)
        self._router.request_started(backend.life_id)
        self._crash_tracker.request_started(
            backend.life_id, slot_request.digest, slot_request.suspect
        )
        return Slot(backend, slot_request, permit)

    def _allowed_candidates(
        self, slot_request: SlotRequest, now_ms: int
    ) -> Iterator[BackendItem]:
        for backend in slot_request.candidates():
            if backend.life_id in slot_request.excluded_lives:
                continue
            if self._crash_tracker.has_crashed(backend.life_id, now_ms):
                continue
            if slot_request.suspect and not self._crash_tracker.may_run_suspect(
                backend.life_id, slot_request.digest
            ):
                continue
            yield backend

    def _preferred_for_suspect(
        self, candidates: list[BackendItem], slot_request: SlotRequest, now_ms: int
    ) -> list[BackendItem]:
        """Returns the free candidate that ranks highest for a suspect, if any."""
        free = [
            backend
            for backend in candidates
            if self._router.has_free_slot(backend, slot_request.priority, now_ms)
        ]
        free.sort(
            key=lambda item: self._crash_tracker.suspect_rank(
                item.life_id, slot_request.digest, slot_request.denied_count
            )
        )
        return free[-1:]

    def _early_refusal(self, slot_request: SlotRequest, now_ms: int) -> NoSlot | None:
        """Returns a refusal if the request can't be served in time, otherwise None."""
        usable = [
            backend
            for backend in slot_request.candidates()
            if backend.life_id not in slot_request.excluded_lives
            and not self._crash_tracker.has_crashed(backend.life_id, now_ms)
            and not self._router.is_leaving(backend.life_id)
        ]
        if usable:
            pause_refusal = self._refusal_if_paused(usable, now_ms)
            return pause_refusal or self._refusal_if_too_late(
                slot_request, usable, now_ms
            )
        if slot_request.waits_until_deadline:
            return None
        expected_ms = slot_request.expected_ms()
        if expected_ms is not None:
            is_late = now_ms + expected_ms > slot_request.deadline_ms
        else:
            requested_ms = (
                now_ms
                if slot_request.requested_ms is None
                else slot_request.requested_ms
            )
            is_late = now_ms > requested_ms + LOAD_TIME_WAIT_LIMIT_MS
        return NoSlot(ErrorKind.MODEL_LOADING, expected_ms) if is_late else None

    def _refusal_if_paused(
        self, usable: list[BackendItem], now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal if all backend servers have asked for a pause.

        Callers of an overloaded role thus learn at once when to retry.
        """
        remaining_ms = min(
            self._router.remaining_pause_ms(backend.life_id, now_ms)
            for backend in usable
        )
        return NoSlot(ErrorKind.OVERLOADED, remaining_ms) if remaining_ms else None

    def _refusal_if_too_late(
        self, slot_request: SlotRequest, usable: list[BackendItem], now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal if the first token is expected after its limit.

        The caller would disconnect before it, and the engine time spent on the
        prompt would be wasted and delay the requests behind.
        """
        limit_ms = slot_request.first_token_limit_ms
        if limit_ms is None or not slot_request.prompt_tokens:
            return None
        shortest_ms = min(
            self._router.expected_ms(backend, slot_request.prompt_tokens, now_ms)
            for backend in usable
        )
        waited_ms = now_ms - (
            now_ms if slot_request.requested_ms is None else slot_request.requested_ms
        )
        if is_first_token_in_time(waited_ms + shortest_ms, limit_ms):
            return None
        return NoSlot(ErrorKind.OVERLOADED, max(1, int(shortest_ms - limit_ms / 2)))

    def _retry_after_ms(self, queue: FairQueue) -> int | None:
        """Returns the time after which a refused caller should retry."""
        now_ms = timers.now_ms()
        _, since_ms = queue.waiting_summary(Priority.URGENT)
        return None if since_ms is None else max(1_000, now_ms - since_ms)


def _queued_request(slot_request: SlotRequest, now_ms: int) -> QueuedRequest:
    latest_ms = now_ms + int(PERMIT_WAIT_SHARE * (slot_request.deadline_ms - now_ms))
    return QueuedRequest(latest_ms, slot_request.deadline_ms)
