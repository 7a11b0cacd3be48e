"""Messages about parts of prompts that may crash backend servers.

As in `messages`, an incarnation is one run of a backend server.
"""

import msgspec

from cassiapitch import codec
from cassiapitch.types import LifeId, PartDigest


class PartCrashReport(msgspec.Struct, frozen=True, array_like=True):
    """Reports the parts of prompts that may have crashed an incarnation.

    The other fields are those of `commands.ReportPartCrash`.
    """

    sequence: int
    life_id: LifeId
    requests: tuple[tuple[PartDigest, ...], ...]
    trusted: tuple[PartDigest, ...]


class PartsCleared(msgspec.Struct, frozen=True, array_like=True):
    """Reports that parts were answered; other fields as in `commands.ClearParts`."""

    sequence: int
    parts: tuple[PartDigest, ...]
    known_index: int


class PartCrashAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `PartCrashReport` and `PartsCleared`.

    Attributes:
        sequence: Sequence of the report.
        refused: Those of the reported parts that are refused now; None if the control
            group couldn't record the report in time.
    """

    sequence: int
    refused: tuple[PartDigest, ...] | None


REGISTERED_TYPES = (PartCrashReport, PartsCleared, PartCrashAnswer)
codec.register(REGISTERED_TYPES)
