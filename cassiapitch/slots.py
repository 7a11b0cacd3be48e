"""Requests for slots at backend servers, and what the scheduler answers to them."""

import dataclasses
from collections.abc import Callable

from cassiapitch.admission_gate import Asked, Verdict
from cassiapitch.affinity import NO_SHARED_PREFIX, SharedPrefix
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.send_permits import Permit
from cassiapitch.types import AccountName, LifeId, RequestDigest
from cassiapitch.viewitems import BackendItem


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
        rank: Priority rank, 0 first.
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
        objective_ms: Latency objective; 0 if there is none.
        draw_key: What its draw by admission levels depends on, the same for repeats of
            the request; empty for its digest.
        verdict: What the levels say of it; None before it first asks for a slot.
        unservable_since_ms: Since when no candidate can serve it; None if one can.
    """

    name: str
    queue: str
    candidates: Callable[[], list[BackendItem]]
    expected_ms: Callable[[], int | None]
    account: AccountName
    weight: int
    rank: int
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
    objective_ms: int = 0
    draw_key: str = ""
    verdict: Verdict | None = None
    unservable_since_ms: int | None = None

    @property
    def asked(self) -> Asked:
        """The request as the admission gate sees it."""
        return Asked(
            self.draw_key or self.digest,
            self.queue,
            self.rank,
            self.account,
            self.weight,
            max(1, self.prompt_tokens),
            self.objective_ms,
            0
            if self.requested_ms is None
            else max(0, self.deadline_ms - self.requested_ms),
        )

    def waited_ms(self, now_ms: int) -> int:
        """Returns the time since a slot was first requested, 0 before."""
        return 0 if self.requested_ms is None else now_ms - self.requested_ms

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
