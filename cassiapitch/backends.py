"""Life cycle of a backend server's incarnations, by the chart `backend_server`."""

import dataclasses

from cassiapitch import statechart
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.orders import Ledger, adapter_key, model_key
from cassiapitch.types import BackendName, LifeId, ModelName
from cassiapitch.viewitems import BackendLimit

_CHART = statechart.load_chart("backend_server")

SERVING = "serving"
SUSPECTED = "suspected"
LEAVING = "leaving"
DOWN = "down"
ANNOUNCED = "announced"
GONE = "gone"
# State in the view, not in the chart: a serving backend server of a drained zone.
DRAINED = "drained"

# Four announcements missed in a row.
SUSPECT_AFTER_MS = 2_000
# After this time an engine's models are replaced elsewhere (design, section 8).
DOWN_AFTER_MS = 10_000

# A backend server that stays silent for a day is removed from the list. Its life id is
# remembered, so that it can't return with an empty ledger.
FORGET_AFTER_MS = 24 * 3_600 * 1_000

# Announcements without a cold time that end an assumed one. The first may have been
# sent before the cause of the assumption: members forward announcements for up to a
# second, and unchanged ones aren't recorded.
WARM_REPORTS_COUNT = 2


@dataclasses.dataclass(slots=True)
class Incarnation:
    """One run of a backend server.

    Attributes:
        name: Its name, which a later incarnation may reuse.
        life_id: Id of this incarnation.
        role: Its role.
        zone: Its availability zone.
        ip: IP address of its HTTP port.
        port: Its HTTP port.
        memory_mib: Accelerator memory that it announced.
        max_running_count: Largest number of requests that it runs at once.
        state: Its state in the chart.
        fencing: Whether it rejects orders with a stale fence.
        sequence: Number of the last announcement that was recorded.
        fence_term: First part of the highest fence it reported.
        fence_number: Second part of the highest fence it reported.
        ledger: Models and adapters that it may hold in memory.
        charged_mib: Sum of the ledger's charges.
        started_ms: Its start time by its own clock, 0 if not stated.
        warm_models: Models whose weights are in its host's memory.
        disk_models: Models whose weights are on its disk.
        order_steps_count: Recorded attempts of orders and answers to them.
        limit: The limit on requests that it stated in responses to entries.
        software_version: Version of its software, empty if it states none.
        is_cold: Whether it is cold by its last announcement, or assumed to be.
        cold_index: Index of the log entry since which it is cold; 0 if it isn't.
        warm_reports_needed_count: Announcements without a cold time after which it no
            longer counts as cold; 0 if one is enough.
    """

    name: BackendName
    life_id: LifeId
    role: str = ""
    zone: str = ""
    ip: str = ""
    port: int = 0
    memory_mib: int = 0
    max_running_count: int = 0
    state: str = _CHART.initial
    fencing: bool = False
    sequence: int = 0
    fence_term: int = 0
    fence_number: int = 0
    ledger: Ledger = dataclasses.field(default_factory=Ledger)
    charged_mib: int = 0
    started_ms: int = 0
    warm_models: tuple[ModelName, ...] = ()
    disk_models: tuple[ModelName, ...] = ()
    order_steps_count: int = 0
    limit: BackendLimit | None = None
    software_version: str = ""
    is_cold: bool = False
    cold_index: int = 0
    warm_reports_needed_count: int = 0

    def allows(self, event: str) -> bool:
        """Returns whether the chart has a transition for an event."""
        return _CHART.allows(self.state, event)

    def advance(self, event: str) -> None:
        """Applies an event of the chart."""
        self.state = _CHART.next_state(self.state, event)

    def record_cold(self, *, is_cold: bool, index: int) -> None:
        """Records what an announcement of a log entry says of its cold time."""
        if not is_cold and self.warm_reports_needed_count > 1:
            self.warm_reports_needed_count -= 1
            return
        self.warm_reports_needed_count = 0
        if is_cold != self.is_cold:
            self.is_cold = is_cold
            self.cold_index = index if is_cold else 0

    def assume_cold(self, index: int) -> None:
        """Counts it as cold from a log entry on, until it announces otherwise."""
        self.is_cold, self.cold_index = True, index
        self.warm_reports_needed_count = WARM_REPORTS_COUNT

    def reserved_mib(self, key: str) -> int:
        """Returns the memory that stays charged for a key after it is unloaded.

        With fencing that is none: an unload raises the fence above every earlier load.
        """
        return 0 if self.fencing else self.ledger.late_mib(key)

    def fence(self) -> tuple[int, int]:
        """Returns the highest fence that it reported."""
        return (self.fence_term, self.fence_number)


def reported_items(announcement: Announcement) -> dict[str, int]:
    """Returns the memory reported for what is loaded, by ledger key."""
    items = {model_key(item.model): item.memory_mib for item in announcement.loaded}
    items.update({adapter_key(name): 0 for name in announcement.adapters})
    return items


def apply_announcement(
    incarnation: Incarnation, announcement: Announcement, *, is_role_known: bool
) -> bool:
    """Applies an announcement of an incarnation; returns whether it was a new one.

    The caller updates the ledger. An announcement without a sequence number counts as
    new, since not all backend servers number theirs.
    """
    if announcement.sequence and announcement.sequence <= incarnation.sequence:
        return False
    incarnation.sequence = max(incarnation.sequence, announcement.sequence)
    incarnation.role = announcement.role
    incarnation.zone = announcement.zone
    incarnation.ip = announcement.ip
    incarnation.port = announcement.port
    incarnation.memory_mib = announcement.memory_mib
    incarnation.max_running_count = announcement.max_running_count
    incarnation.started_ms = announcement.started_ms
    incarnation.warm_models = announcement.warm_models
    incarnation.disk_models = announcement.disk_models
    incarnation.software_version = announcement.software_version
    fence = (announcement.fence_term, announcement.fence_number)
    incarnation.fence_term, incarnation.fence_number = max(incarnation.fence(), fence)
    event = announcement_event(
        incarnation.state, leaving=announcement.leaving, is_role_known=is_role_known
    )
    if event is not None:
        incarnation.advance(event)
    return True


def announcement_event(state: str, *, leaving: bool, is_role_known: bool) -> str | None:
    """Returns the event of the chart for an announcement in a state, if any."""
    if leaving:
        return "leave" if _CHART.allows(state, "leave") else None
    if state == LEAVING:
        return "stay"
    if state == ANNOUNCED:
        return "accept" if is_role_known else None
    return "heard" if _CHART.allows(state, "heard") else None


def silence_event(
    state: str, silent_ms: int, suspect_after_ms: int = SUSPECT_AFTER_MS
) -> str | None:
    """Returns the event of the chart for a silence of this length, if any."""
    if silent_ms >= DOWN_AFTER_MS and _CHART.allows(state, "expired"):
        return "expired"
    if silent_ms >= suspect_after_ms and _CHART.allows(state, "silent"):
        return "silent"
    if silent_ms >= FORGET_AFTER_MS and _CHART.allows(state, "forgotten"):
        return "forgotten"
    return None
