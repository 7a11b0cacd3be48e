"""Small types that many modules share."""

import enum
from typing import NewType

ModelName = NewType("ModelName", str)
AccountName = NewType("AccountName", str)
BackendName = NewType("BackendName", str)
LifeId = NewType("LifeId", str)
KeyDigest = NewType("KeyDigest", str)
RequestDigest = NewType("RequestDigest", str)


class RoleKind(enum.StrEnum):
    """What the backend servers of a role are."""

    ENGINE = "engine"
    SERVICE = "service"


class Priority(enum.StrEnum):
    """Urgency of a request; batch requests may wait."""

    URGENT = "urgent"
    BATCH = "batch"


class OrderKind(enum.StrEnum):
    """What an order tells an engine to do."""

    LOAD = "load"
    UNLOAD = "unload"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"


class OrderOutcome(enum.StrEnum):
    """What an engine reports of an order."""

    DONE = "done"
    FAILED = "failed"


class SuspectRunOutcome(enum.StrEnum):
    """What a suspect's claim on a backend server was answered with."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


class ClaimState(enum.StrEnum):
    """What a claim on an idempotency key was answered with."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
