"""Commands of the log that change the fleet's state."""

import dataclasses

from cassiapitch import codec
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.types import BackendName, LifeId, OrderKind


@dataclasses.dataclass(frozen=True, slots=True)
class BeginTerm:
    """A controller begins to decide; `token` is random and its own."""

    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportBackends:
    """Announcements that changed something; their load reports are left out."""

    term: int
    announcements: tuple[Announcement, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class BackendMark:
    """One event of the chart `backend_server` that is no announcement."""

    name: BackendName
    life_id: LifeId
    event: str


@dataclasses.dataclass(frozen=True, slots=True)
class MarkBackends:
    """Backend servers that were silent or refused connections."""

    term: int
    marks: tuple[BackendMark, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class NewOrder:
    """An order to record; the fleet fills in fence, version and memory."""

    kind: OrderKind
    backend: BackendName
    life_id: LifeId
    item: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordOrders:
    """Orders that a controller decided in its term."""

    term: int
    orders: tuple[NewOrder, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAttempt:
    """One attempt to send an order."""

    order_id: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAttempts:
    """Attempts after the first one, recorded before they are sent."""

    term: int
    attempts: tuple[OrderAttempt, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OrderAnswer:
    """An attempt that can't arrive any more.

    Attributes:
        backend: The backend server that the attempt was for.
        order_id: The order.
        attempt: The attempt's number.
        answer: `done` or `failed` for an order that ended with its answer, `accepted`,
            `stale_fence`, `other_life`, `refused`, or `not_sent`
            for an attempt of which no byte was sent.
    """

    backend: BackendName
    order_id: str
    attempt: int
    answer: str


@dataclasses.dataclass(frozen=True, slots=True)
class RecordAnswers:
    """Responses that were received to attempts."""

    answers: tuple[OrderAnswer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class FleetResult:
    """Result of a fleet command.

    Attributes:
        term: Controller term in force afterwards.
        refused: Why each refused part of the command was refused.
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
)
codec.register((*FLEET_COMMANDS, FleetResult))
