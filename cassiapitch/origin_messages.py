"""Messages about which software version of a backend server began a stream."""

import msgspec

from cassiapitch import codec
from cassiapitch.types import StreamDigest


class StreamOrigin(msgspec.Struct, frozen=True, array_like=True):
    """What began a stream.

    Attributes:
        stream: Digest of the client account and the id of its first request.
        role: Role of the backend server.
        version: Its software version.
        attempt_count: Which attempt of the request this was, from 1.
    """

    stream: StreamDigest
    role: str
    version: str
    attempt_count: int


class OriginsReport(msgspec.Struct, frozen=True, array_like=True):
    """Records what began streams."""

    sequence: int
    origins: tuple[StreamOrigin, ...]


class OriginAsk(msgspec.Struct, frozen=True, array_like=True):
    """Asks what began a stream that its caller takes up again.

    Attributes:
        sequence: Sequence of the request.
        stream: The stream; empty if the caller doesn't name its first request.
        roles: Roles that may have begun it.
    """

    sequence: int
    stream: StreamDigest
    roles: tuple[str, ...]


class OriginAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers `OriginsReport` and `OriginAsk`.

    Attributes:
        sequence: Sequence of the request.
        is_decided: Whether the control group could answer in time.
        role: Role that began the stream; None if that can't be proved.
        version: Software version that began it.
    """

    sequence: int
    is_decided: bool
    role: str | None = None
    version: str | None = None


REGISTERED_TYPES = (OriginsReport, OriginAsk, OriginAnswer)
codec.register(REGISTERED_TYPES)
