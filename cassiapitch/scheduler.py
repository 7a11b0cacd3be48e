"""Schedules requests onto backend servers.

Requests wait in one fair queue for each model or service role until the router finds a
backend server with a free slot. A request is refused at once when it can't be served
before its deadline.
"""

import contextlib
from collections.abc import Callable, Iterator

import anyio

from cassiapitch import permit_queues, permit_waits, timers
from cassiapitch.admission_gate import AdmissionGate, Asked
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.early_refusals import EarlyRefusals
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.fairness import FairQueue, Ticket
from cassiapitch.permit_queues import QueuedRequest
from cassiapitch.routing import Router
from cassiapitch.send_limits import SendLimits
from cassiapitch.slot_candidates import SlotCandidates
from cassiapitch.slots import NoSlot, Slot, SlotRequest
from cassiapitch.waiting_requests import Waiter, WaitingRequests

# Shortest time after which a caller is told to retry whose request found a queue in
# which others wait.
QUEUE_RETRY_MIN_MS = 1_000
# Refusals for these reasons count as load that found no capacity.
_SHORTAGE_KINDS = (ErrorKind.OVERLOADED, ErrorKind.DEADLINE_EXCEEDED)


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
        gate: AdmissionGate | None = None,
        on_shortage: Callable[[], None] = lambda: None,
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
            gate: Admission levels of backend servers that are short of capacity.
            on_shortage: Called when the leader is to hear of this entry's load at once.
        """
        self._policy = policy
        self._router = router
        self._crash_tracker = crash_tracker
        self._on_request_queued = on_request_queued
        self._send_limits = SendLimits("", "") if send_limits is None else send_limits
        self._on_permits_needed = on_permits_needed
        self._gate = AdmissionGate() if gate is None else gate
        self._queues: dict[str, FairQueue] = {}
        self._waiting = WaitingRequests()
        self._slot_candidates = SlotCandidates(router, crash_tracker)
        self._early_refusals = EarlyRefusals(
            router, self._slot_candidates, self._gate, on_shortage
        )
        self._permit_waits = permit_waits.PermitWaits(
            self._waiting, self._slot_candidates, router, self._send_limits
        )

    async def acquire(self, slot_request: SlotRequest) -> Slot | NoSlot:
        """Waits for the request's turn; returns its slot, or the reason for refusal."""
        now_ms = timers.now_ms()
        if slot_request.requested_ms is None:
            slot_request.requested_ms = now_ms
        queue = self._queues.get(slot_request.queue)
        if queue is None:
            queue = self._queues[slot_request.queue] = FairQueue(self._policy)
        refusal = self._early_refusals.by_level(slot_request, now_ms)
        if refusal is None:
            refusal = self._early_refusals.by_candidates(slot_request, now_ms)
        if self._send_limits.has_limits() and self._permit_waits.request_probes(
            slot_request, now_ms
        ):
            self._on_permits_needed()
        if refusal is None and not queue.count_up_to(slot_request.rank):
            if self._is_more_urgent_waiting(slot_request.rank):
                # Slots may have become free since requests in other queues were last
                # looked at.
                self.dispatch_waiting()
            slot = self._try_assign(slot_request, now_ms)
            if slot is not None:
                return slot
        if refusal is None and queue.is_full():
            refusal = self._make_room(queue, slot_request.rank)
        if refusal is not None:
            if refusal.kind in _SHORTAGE_KINDS:
                self._gate.count_refusal(slot_request.asked, now_ms)
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
        if not self._waiting:
            return
        now_ms = timers.now_ms()
        queues = [queue for queue in self._queues.values() if len(queue)]
        for rank in sorted({rank for queue in queues for rank in queue.ranks()}):
            for queue in queues:
                self._dispatch_queue(queue, rank, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuses requests past their deadline, then assigns free slots."""
        for queue in self._queues.values():
            for ticket in queue.expired(now_ms):
                retry_after_ms = self._retry_after_ms(queue, ticket.rank)
                refusal = NoSlot(ErrorKind.DEADLINE_EXCEEDED, retry_after_ms)
                self._finish(queue, ticket, refusal)
        self.dispatch_waiting()

    def has_waiting(self) -> bool:
        """Returns whether any request waits for a backend server."""
        return len(self._waiting) > 0

    def first_rank(self) -> int | None:
        """Returns the most urgent rank of waiting requests, None if none waits."""
        return self._waiting.first_rank()

    def waiting_requests(self) -> list[Asked]:
        """Returns the waiting requests as the admission gate sees them."""
        return [waiter.slot_request.asked for waiter in self._waiting.all()]

    def waiting(self) -> dict[tuple[str, int], tuple[int, int]]:
        """Returns number and longest wait of waiting requests by name and rank."""
        return self._waiting.totals(timers.now_ms())

    def queues_for_permits(
        self, now_ms: int
    ) -> tuple[permit_queues.PermitQueues, permit_queues.UsableLives]:
        """Returns the queues for permits, and which of them each request may use."""
        return self._permit_waits.queues(now_ms)

    def refuse_without_permit(
        self,
        now_ms: int,
        queues: permit_queues.PermitQueues,
        usable_lives: permit_queues.UsableLives,
    ) -> None:
        """Refuses waiting requests that can't get a permit before their deadline.

        Args:
            now_ms: The current time.
            queues: What `queues_for_permits` has returned at this time.
            usable_lives: The same.
        """
        waits_ms = self._permit_waits.late_waits_ms(queues, usable_lives, now_ms)
        for waiter in self._waiting.all():
            if waiter.queued_request.is_late:
                self._waiting.count_late(waiter)
            slot_request = waiter.slot_request
            wait_ms = waits_ms.get(id(waiter.queued_request))
            if wait_ms is not None and self._permit_waits.needs_permit(
                slot_request, now_ms
            ):
                queue = self._queues[slot_request.queue]
                refusal = NoSlot(ErrorKind.OVERLOADED, wait_ms)
                self._finish(queue, waiter.ticket, refusal)

    def _is_more_urgent_waiting(self, rank: int) -> bool:
        """Returns whether a more urgent request than this rank waits."""
        first_rank = self.first_rank()
        return first_rank is not None and first_rank < rank

    def _make_room(self, queue: FairQueue, rank: int) -> NoSlot | None:
        """Refuses a less urgent request of a full queue in favour of one of `rank`.

        Returns:
            The refusal of the new request if no less urgent one waits.
        """
        last = queue.last_after(rank)
        if last is None:
            return NoSlot(ErrorKind.OVERLOADED, self._retry_after_ms(queue, rank))
        retry_after_ms = self._retry_after_ms(queue, last.rank)
        self._finish(queue, last, NoSlot(ErrorKind.OVERLOADED, retry_after_ms))
        return None

    async def _wait_for_slot(
        self, queue: FairQueue, slot_request: SlotRequest, now_ms: int
    ) -> Slot | NoSlot:
        ticket = Ticket(
            slot_request.account,
            slot_request.weight,
            slot_request.rank,
            slot_request.cost,
            slot_request.deadline_ms,
            now_ms,
        )
        queue.push(ticket)
        wait_ms = queue.expected_wait_ms(ticket, now_ms)
        if self._waiting.has_late(slot_request.queue):
            # The estimate takes late requests for ones that are served first.
            wait_ms = None
        if wait_ms is not None and now_ms + wait_ms > slot_request.deadline_ms:
            queue.abandon(ticket)
            return NoSlot(ErrorKind.DEADLINE_EXCEEDED, wait_ms)
        waiter = Waiter(
            slot_request,
            ticket,
            anyio.Event(),
            permit_waits.queued_request(slot_request, now_ms),
        )
        self._waiting.add(waiter)
        self._on_request_queued()
        self._dispatch_queue(queue, slot_request.rank, now_ms)
        try:
            await waiter.done.wait()
        except BaseException:
            if isinstance(waiter.result, Slot):
                self.release(waiter.result, completed=False)
            raise
        finally:
            queue.abandon(ticket)
            self._remove_waiter(ticket)
        return waiter.result or NoSlot(ErrorKind.INTERNAL)

    def _dispatch_queue(self, queue: FairQueue, rank: int, now_ms: int) -> None:
        with contextlib.closing(queue.in_order(rank)) as tickets:
            self._dispatch_in_order(queue, tickets, now_ms)

    def _dispatch_in_order(
        self, queue: FairQueue, tickets: Iterator[Ticket], now_ms: int
    ) -> None:
        """Assigns slots in order until a request that others may not overtake waits."""
        is_blocked = False
        for ticket in tickets:
            waiter = self._waiting.get(ticket)
            if waiter is None or (is_blocked and not waiter.queued_request.is_late):
                continue
            slot_request = waiter.slot_request
            slot = self._try_assign(slot_request, now_ms, waiter.queued_request)
            if slot is not None:
                self._finish(queue, ticket, slot)
                continue
            refusal = self._early_refusals.by_candidates(slot_request, now_ms)
            if refusal is not None:
                self._finish(queue, ticket, refusal)
            elif not (slot_request.may_be_skipped or waiter.queued_request.is_late):
                # Late requests have permits of their own.
                is_blocked = True
                if not self._waiting.has_late(slot_request.queue):
                    return

    def _try_assign(
        self,
        slot_request: SlotRequest,
        now_ms: int,
        queued_request: QueuedRequest | None = None,
    ) -> Slot | None:
        """Assigns a free slot if there is one.

        Args:
            slot_request: The request.
            now_ms: The current time.
            queued_request: The same for the queues for permits, if it waits.
        """
        candidates = list(self._slot_candidates.allowed(slot_request, now_ms))
        if queued_request is not None and queued_request.is_late:
            candidates = [
                backend
                for backend in candidates
                if permit_queues.may_use_permit(
                    queued_request, backend.life_id, self._send_limits
                )
            ]
        reserved_rank = self._waiting.reserved_rank(slot_request.rank)
        if slot_request.suspect:
            candidates = self._slot_candidates.for_suspect(
                candidates, slot_request, reserved_rank, now_ms
            )
        backend = self._router.choose(
            candidates,
            slot_request.rank,
            slot_request.prefixes,
            now_ms,
            slot_request.prompt_tokens,
            slot_request.shared,
            reserved_rank,
        )
        if backend is None:
            return None
        self._early_refusals.record_servable(slot_request)
        permit = self._send_limits.spend_permit(backend.life_id, now_ms)
        self._router.request_started(backend.life_id)
        self._crash_tracker.request_started(
            backend.life_id, slot_request.digest, slot_request.suspect
        )
        return Slot(backend, slot_request, permit)

    def _finish(self, queue: FairQueue, ticket: Ticket, result: Slot | NoSlot) -> None:
        """Ends the wait of a request with its result."""
        if isinstance(result, Slot):
            queue.serve(ticket)
        else:
            queue.abandon(ticket)
        waiter = self._waiting[ticket]
        is_expected = (
            isinstance(result, Slot)
            and result.backend.life_id == waiter.queued_request.granted_life
        )
        self._remove_waiter(ticket, is_expected=is_expected)
        waiter.result = result
        waiter.done.set()

    def _remove_waiter(self, ticket: Ticket, *, is_expected: bool = False) -> None:
        """Removes a request, which no permit needs to be asked for any more.

        Args:
            ticket: Its ticket.
            is_expected: Whether it has used the permit that was given for it, so that
                the leader needn't be told.
        """
        if not self._waiting.remove(ticket):
            return
        if not is_expected and self._send_limits.has_limits():
            self._send_limits.note_change()
            self._on_permits_needed()

    def _retry_after_ms(self, queue: FairQueue, rank: int) -> int | None:
        """Returns the time after which a refused caller of a rank should retry."""
        now_ms = timers.now_ms()
        since_ms = queue.oldest_since_ms(rank)
        return None if since_ms is None else max(QUEUE_RETRY_MIN_MS, now_ms - since_ms)
