"""Messages about the limits on requests that backend servers state.

Entries report what they hear to the control group, which records it in the log. They
ask the control leader for permits to send requests to a limited backend server. As in
`messages`, an incarnation is one run of a backend server.
"""

import msgspec

from cassiapitch import codec
from cassiapitch.types import BackendName, LifeId

# Permits are given at most this long before they may be used. Entries ask again in
# time for it, so that an exchange with the leader leaves no time unused.
HORIZON_MS = 200
# How long a permit may be used. An entry that sent the request later, for instance
# after a suspend, would exceed the limit together with the requests of later permits.
PERMIT_LIFE_MS = 500
# An entry with requests in a queue asks at least this often.
ASK_PERIOD_MS = 200


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports what a response stated; fields as in `RecordBackendLimit`."""

    sequence: int
    name: BackendName
    life_id: LifeId
    requests_per_s: float | None
    known_index: int


class LimitReportAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers the `LimitReport` with the same sequence.

    Attributes:
        sequence: Sequence of the report.
        index: Index of the view that shows its effect; None if the control group
            couldn't record it in time.
    """

    sequence: int
    index: int | None


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Permits that an entry needs for one incarnation.

    Attributes:
        name: The backend server.
        life_id: Its incarnation.
        waiting_count: Requests that wait for a permit. Replaces the number of the
            entry's last ask.
        is_probe: Whether the entry also wants a permit that no other entry needs,
            to hear whether the limit still holds.
    """

    name: BackendName
    life_id: LifeId
    waiting_count: int
    is_probe: bool


class PermitAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks the leader for permits.

    Attributes:
        entry: Name of the entry.
        life_id: Run of the entry.
        sequence: Number of this ask; the answer carries the same one.
        requests: One for each incarnation.
    """

    entry: str
    life_id: str
    sequence: int
    requests: tuple[PermitRequest, ...]


class Permits(msgspec.Struct, frozen=True, array_like=True):
    """Permits for one incarnation; all times count from the entry's ask.

    Attributes:
        life_id: The incarnation.
        delays_ms: For each permit, the time until it may be used.
        waits_ms: For each request that still waits, in order, the expected time
            until it may be sent.
        next_wait_ms: The same for one request more.
        spacing_ms: Time between two requests that the limit allows.
    """

    life_id: LifeId
    delays_ms: tuple[int, ...]
    waits_ms: tuple[int, ...]
    next_wait_ms: int
    spacing_ms: int


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers the `PermitAsk` with the same sequence."""

    sequence: int
    permits: tuple[Permits, ...]


class RelayedPermits(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a relayed `PermitAsk`, to be sent on the entry's link."""

    entry: str
    life_id: str
    answer: PermitAnswer


REGISTERED_TYPES = (
    LimitReport,
    LimitReportAnswer,
    PermitAsk,
    PermitAnswer,
    RelayedPermits,
)
codec.register(REGISTERED_TYPES)
