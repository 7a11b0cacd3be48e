"""Commands of the replicated log that change the fleet: backend servers and orders."""

import dataclasses

from cassiapitch import codec
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.types import BackendName, LifeId, OrderKind


@dataclasses.dataclass(frozen=True, slots=True)
class BeginTerm:
    """Starts a new controller term.

    Attributes:
        token: Random value by which a controller recognizes its own term.
    """

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBackends:
    """Records announcements that change the state, without their load counts."""

    term: int
    announcements: tuple[Announcement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendMark:
    """One event of the state chart `backend_server` that isn't an announcement."""

    name: BackendName
    life_id: LifeId
    event: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkBackends:
    """Records events of backend servers, such as silence or refused connections."""

    term: int
    marks: tuple[BackendMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewOrder:
    """An order to record; `Fleet` adds its id, fence, version and memory.

    Attributes:
        kind: What the engine is to do.
        backend: The engine.
        life_id: The incarnation (run) of the engine that the order is for.
        item: Ledger key of the model or adapter.
    """

    kind: OrderKind
    backend: BackendName
    life_id: LifeId
    item: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrders:
    """Records the orders of a placement round."""

    term: int
    orders: tuple[NewOrder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAttempt:
    """One attempt to send an order; `attempt` counts from 1."""

    order_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAttempts:
    """Records further attempts of orders before they are sent."""

    term: int
    attempts: tuple[OrderAttempt, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The outcome of an attempt that can no longer reach the engine.

    Attributes:
        backend: The backend server that the attempt was for.
        order_id: The order.
        attempt: Number of the attempt.
        answer: `done` or `failed` if the engine ended the order in its response;
            `accepted`, `stale_fence`, `other_life`, `refused`; or `not_sent` if no
            byte was sent.
    """

    backend: BackendName
    order_id: str
    attempt: int
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAnswers:
    """Records outcomes of attempts; applied in any controller term."""

    answers: tuple[OrderAnswer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordBackendLimit:
    """Records what a response stated of a limit; applied in any controller term.

    Attributes:
        name: The backend server.
        life_id: Its incarnation.
        requests_per_s: Rate of requests that it accepts from all entries together;
            None if the response stated no limit.
        known_index: Index of the limit that the entry knew when it sent the request;
            0 if it knew none.
    """

    name: BackendName
    life_id: LifeId
    requests_per_s: float | None
    known_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class LimitRecorded:
    """Result of `RecordBackendLimit`: a view of this index shows its effect."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class SetZoneDrain:
    """Sets whether a zone is drained; applied in any controller term.

    Attributes:
        zone: The availability zone.
        is_drained: True for an order to drain it, False for its withdrawal.
        author: Who ordered it.
    """

    zone: str
    is_drained: bool
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneDrainSet:
    """Result of `SetZoneDrain`: a view of this index shows its effect."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class FleetResult:
    """Result of a fleet command.

    Attributes:
        term: Controller term after the command.
        refused: Reasons of the parts of the command that were refused.
    """

    term: int
    refused: tuple[str, ...] = ()


FLEET_COMMANDS = (
    BeginTerm,
    ReportBackends,
    MarkBackends,
    RecordOrders,
    RecordAttempts,
    RecordAnswers,
    RecordBackendLimit,
    SetZoneDrain,
)
codec.register((*FLEET_COMMANDS, FleetResult, LimitRecorded, ZoneDrainSet))
