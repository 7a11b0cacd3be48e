"""Small types that many modules share."""

import enum
from typing import NewType

ModelName = NewType("ModelName", str)
AccountName = NewType("AccountName", str)
BackendName = NewType("BackendName", str)
LifeId = NewType("LifeId", str)
KeyDigest = NewType("KeyDigest", str)
RequestDigest = NewType("RequestDigest", str)
# Digest of the client account and first request id of a stream.
StreamDigest = NewType("StreamDigest", str)
# Digest of the id of one part of a prompt.
PartDigest = NewType("PartDigest", str)


class RoleKind(enum.StrEnum):
    """Whether the backend servers of a role are model engines or plain services."""

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
    """How an order ended, as its engine reports it."""

    DONE = "done"
    FAILED = "failed"


class SuspectRunOutcome(enum.StrEnum):
    """Answer to the claim of a suspect request to run on a backend server."""

    GRANTED = "granted"
    BUSY = "busy"
    QUARANTINED = "quarantined"


class ClaimState(enum.StrEnum):
    """State of a claim on an idempotency key after a command."""

    GRANTED = "granted"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    FULL = "full"
