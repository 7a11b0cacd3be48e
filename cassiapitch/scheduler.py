"""Gives waiting requests a backend server, in the order of the fair queue."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import anyio

from cassiapitch import timers
from cassiapitch.affinity import NOTHING_SHARED, SharedPrompt
from cassiapitch.crash_tracker import CrashTracker
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.fairness import FairQueue, Ticket
from cassiapitch.prefill import begins_in_time
from cassiapitch.routing import Router
from cassiapitch.types import AccountName, LifeId, Priority, RequestDigest
from cassiapitch.viewitems import (
    BackendItem,
)

# How long a request waits to learn when its model is loaded. The demand report and
# the answer to it each take up to a period of 500 ms and 1,000 ms.
EXPECTATION_LIMIT_MS = 2_000


@dataclasses.dataclass(slots=True, eq=False)
class SlotRequest:
    """What a request needs of a backend server.

    Attributes:
        name: What it asks for: a model, an adapter, or a plain service's role.
        queue: Name of its queue: the model, or the role of a plain service.
        candidates: Returns the backend servers that may get it now.
        expected_ms: Returns the time until there is a candidate if there is none
            now, or None if none is expected.
        account: Its client account, empty on an open route.
        weight: The account's weight.
        priority: Urgent or batch.
        cost: Its tokens.
        deadline_ms: When it is refused if it still waits.
        digest: Digest of its content.
        prefixes: Digests of its prompt's prefixes.
        excluded_lives: Lives that it must not go to.
        crashed_lives: Lives of backend servers that crashed while it ran.
        is_restricted: Whether not every backend server of its queue is a candidate.
        waits_until_deadline: Whether it waits for a candidate although none is
            expected yet.
        requested_ms: When it was first asked for.
        denied_count: How often a suspect found its backend server taken by another.
        prompt_tokens: Tokens of its prompt; 0 for a request without one.
        first_token_limit_ms: Longest time to the first token; None for no limit.
        shared: What its prompt shares with others.
        role: Role of its backend servers; empty where retries aren't limited by role.
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
    shared: SharedPrompt = NOTHING_SHARED
    role: str = ""

    @property
    def suspect(self) -> bool:
        """Whether a backend server crashed while it ran."""
        return bool(self.crashed_lives)

    @property
    def is_special(self) -> bool:
        """Whether others may be served while this one finds no backend server."""
        return self.is_restricted or self.suspect or bool(self.excluded_lives)


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """A place at a backend server; give it back with `Scheduler.release`."""

    backend: BackendItem
    slot_request: SlotRequest


@dataclasses.dataclass(frozen=True, slots=True)
class NoSlot:
    """No backend server for the request."""

    kind: ErrorKind
    retry_after_ms: int | None = None


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    slot_request: SlotRequest
    ticket: Ticket
    done: anyio.Event
    result: Slot | NoSlot | None = None


class Scheduler:
    """Queues by model, and the requests in flight."""

    def __init__(
        self,
        policy: str,
        router: Router,
        suspicion: CrashTracker,
        on_waiting: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes an empty scheduler.

        Args:
            policy: Queue policy.
            router: Chooses backend servers.
            suspicion: What is known of requests that crash them.
            on_waiting: Called when a request begins to wait; `tick` is due then.
        """
        self._on_waiting = on_waiting
        self._policy = policy
        self._router = router
        self._suspicion = suspicion
        self._queues: dict[str, FairQueue] = {}
        self._waiters: dict[Ticket, _Waiter] = {}

    async def acquire(self, slot_request: SlotRequest) -> Slot | NoSlot:
        """Returns a slot as soon as it is the request's turn, or the reason."""
        now_ms = timers.now_ms()
        if slot_request.requested_ms is None:
            slot_request.requested_ms = now_ms
        queue = self._queues.get(slot_request.queue)
        if queue is None:
            queue = self._queues[slot_request.queue] = FairQueue(self._policy)
        refusal = self._hopeless(slot_request, now_ms)
        if refusal is None and not len(queue):
            slot = self._place(slot_request, now_ms)
            if slot is not None:
                return slot
        if refusal is None and queue.is_full():
            refusal = NoSlot(ErrorKind.OVERLOADED, self._return_ms(queue))
        if refusal is not None:
            return refusal
        return await self._wait(queue, slot_request, now_ms)

    def release(self, slot: Slot, *, completed: bool) -> None:
        """Gives a slot back and serves who waits."""
        life_id = slot.backend.life_id
        self._router.ended(life_id)
        self._suspicion.ended(life_id, slot.slot_request.digest)
        if completed:
            self._queues[slot.slot_request.queue].completed(timers.now_ms())
        self.dispatch_waiting()

    def dispatch_waiting(self) -> None:
        """Serves waiting requests; call it whenever room may have appeared."""
        if not self._waiters:
            return
        now_ms = timers.now_ms()
        queues = [queue for queue in self._queues.values() if len(queue)]
        for priority in (Priority.URGENT, Priority.BATCH):
            for queue in queues:
                self._pump_queue(queue, priority, now_ms)

    def tick(self, now_ms: int) -> None:
        """Refuses requests whose deadline passed, then serves who can be."""
        for queue in self._queues.values():
            for ticket in queue.expired(now_ms):
                retry_ms = self._return_ms(queue)
                refusal = NoSlot(ErrorKind.DEADLINE_EXCEEDED, retry_ms)
                self._finish(queue, ticket, refusal)
        self.dispatch_waiting()

    def has_waiting(self) -> bool:
        """Tells whether requests wait for a backend server."""
        return bool(self._waiters)

    def waiting(self) -> dict[tuple[str, Priority], tuple[int, int]]:
        """Returns the waiting requests' number and longest wait by what they need."""
        now_ms = timers.now_ms()
        found: dict[tuple[str, Priority], tuple[int, int]] = {}
        for ticket, waiter in self._waiters.items():
            key = (waiter.slot_request.name, ticket.priority)
            count, longest_ms = found.get(key, (0, 0))
            wait_ms = max(longest_ms, now_ms - ticket.since_ms)
            found[key] = (count + 1, wait_ms)
        return found

    async def _wait(
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
        waiter = _Waiter(slot_request, ticket, anyio.Event())
        self._waiters[ticket] = waiter
        self._on_waiting()
        self._pump_queue(queue, slot_request.priority, now_ms)
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

    def _pump_queue(self, queue: FairQueue, priority: Priority, now_ms: int) -> None:
        with contextlib.closing(queue.in_order(priority)) as tickets:
            self._serve_in_order(queue, tickets, now_ms)

    def _serve_in_order(
        self, queue: FairQueue, tickets: Iterator[Ticket], now_ms: int
    ) -> None:
        for ticket in tickets:
            waiter = self._waiters.get(ticket)
            if waiter is None:
                continue
            slot = self._place(waiter.slot_request, now_ms)
            if slot is not None:
                self._finish(queue, ticket, slot)
            elif (refusal := self._hopeless(waiter.slot_request, now_ms)) is not None:
                self._finish(queue, ticket, refusal)
            elif not waiter.slot_request.is_special:
                return

    def _finish(self, queue: FairQueue, ticket: Ticket, result: Slot | NoSlot) -> None:
        if isinstance(result, Slot):
            queue.serve(ticket)
        else:
            queue.abandon(ticket)
        waiter = self._waiters.pop(ticket)
        waiter.result = result
        waiter.done.set()

    def _place(self, slot_request: SlotRequest, now_ms: int) -> Slot | None:
        candidates = list(self._allowed(slot_request, now_ms))
        if slot_request.suspect:
            candidates = self._preferred(candidates, slot_request, now_ms)
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
        self._router.started(backend.life_id)
        self._suspicion.started(
            backend.life_id, slot_request.digest, slot_request.suspect
        )
        return Slot(backend, slot_request)

    def _allowed(self, slot_request: SlotRequest, now_ms: int) -> Iterator[BackendItem]:
        for backend in slot_request.candidates():
            if backend.life_id in slot_request.excluded_lives:
                continue
            if self._suspicion.has_crashed(backend.life_id, now_ms):
                continue
            if slot_request.suspect and not self._suspicion.may_run_suspect(
                backend.life_id, slot_request.digest
            ):
                continue
            yield backend

    def _preferred(
        self, candidates: list[BackendItem], slot_request: SlotRequest, now_ms: int
    ) -> list[BackendItem]:
        """Returns the free candidate that all entries prefer for a suspect."""
        free = [
            backend
            for backend in candidates
            if self._router.has_room(backend, slot_request.priority, now_ms)
        ]
        free.sort(
            key=lambda item: self._suspicion.preference(
                item.life_id, slot_request.digest, slot_request.denied_count
            )
        )
        return free[-1:]

    def _hopeless(self, slot_request: SlotRequest, now_ms: int) -> NoSlot | None:
        """Returns a refusal where no candidate comes before the deadline."""
        usable = [
            backend
            for backend in slot_request.candidates()
            if backend.life_id not in slot_request.excluded_lives
            and not self._suspicion.has_crashed(backend.life_id, now_ms)
            and not self._router.is_leaving(backend.life_id)
        ]
        if usable:
            paused = self._all_paused(usable, now_ms)
            return paused or self._too_late(slot_request, usable, now_ms)
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
            is_late = now_ms > requested_ms + EXPECTATION_LIMIT_MS
        return NoSlot(ErrorKind.MODEL_LOADING, expected_ms) if is_late else None

    def _all_paused(self, usable: list[BackendItem], now_ms: int) -> NoSlot | None:
        """Returns a refusal where every backend server wants nothing for a while.

        Answers a role that is full: its callers learn at once when to come back.
        """
        rest_ms = min(
            self._router.pause_rest_ms(backend.life_id, now_ms) for backend in usable
        )
        return NoSlot(ErrorKind.OVERLOADED, rest_ms) if rest_ms else None

    def _too_late(
        self, slot_request: SlotRequest, usable: list[BackendItem], now_ms: int
    ) -> NoSlot | None:
        """Returns a refusal where the first token would come after its limit.

        The caller would leave before it, and the engine's time would be lost to the
        requests behind.
        """
        limit_ms = slot_request.first_token_limit_ms
        if limit_ms is None or not slot_request.prompt_tokens:
            return None
        least_ms = min(
            self._router.expected_ms(backend, slot_request.prompt_tokens, now_ms)
            for backend in usable
        )
        waited_ms = now_ms - (
            now_ms if slot_request.requested_ms is None else slot_request.requested_ms
        )
        if begins_in_time(waited_ms + least_ms, limit_ms):
            return None
        return NoSlot(ErrorKind.OVERLOADED, max(1, int(least_ms - limit_ms / 2)))

    def _return_ms(self, queue: FairQueue) -> int | None:
        """Returns when a refused caller should come back."""
        now_ms = timers.now_ms()
        _, since_ms = queue.waiting(Priority.URGENT)
        return None if since_ms is None else max(1_000, now_ms - since_ms)
