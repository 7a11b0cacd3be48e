"""Interface to the HTTP headers that callers and backend servers send and expect.

The names of headers depend on the platform of a deployment. A platform module supplies
a `HeaderCodec`; forwarding uses only the types below.
"""

import dataclasses
from collections.abc import Callable, Sequence

from cassiapitch.types import LifeId

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests that name the same part share it."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHead:
    """Fields read from the headers of a caller's request.

    Attributes:
        request_id: The caller's id of this attempt; None if absent.
        left_ms: How long the caller will wait for the response; None if absent.
        key: The caller's API key.
        model: Requested model or adapter.
        prompt_tokens: Number of tokens in the prompt.
        answer_tokens: Maximum number of tokens in the answer.
        has_tokens: Whether the headers state the two numbers above.
        prompt_parts: The prompt's parts in order.
        last_event_id: Last event of the stream that the caller received.
        resumed_request_id: The caller's id of the attempt that brought the first event
            of the stream to be continued; None if absent.
    """

    request_id: str | None = None
    left_ms: int | None = None
    key: str | None = None
    model: str | None = None
    prompt_tokens: int = 0
    answer_tokens: int = 0
    has_tokens: bool = False
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None
    resumed_request_id: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequestFields:
    """Fields that the entry adds to the caller's headers for a backend server.

    Attributes:
        left_ms: How long the caller will still wait.
        backend: Name of the backend server that the request is for.
        account: The client account; None on an open route.
        last_event_id: Event after which a stream continues; None for its beginning.
        priority: Rank at the backend server, 0 is first; None for its default.
    """

    left_ms: int
    backend: str
    account: str | None
    last_event_id: int | None = None
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StatedLimit:
    """What a response says about its backend server's limit on requests.

    Attributes:
        requests_per_s: Rate of requests that the backend server accepts from all
            entries together; None if the response states none.
        is_malformed: Whether the response states a limit that can't be read.
    """

    requests_per_s: float | None = None
    is_malformed: bool = False


NO_LIMIT = StatedLimit()


@dataclasses.dataclass(frozen=True, slots=True)
class BackendHead:
    """Fields read from the status and headers of a backend server's response.

    Attributes:
        request_id: The request that it answers; None if absent.
        is_not_executed: Whether it says that the request was not executed.
        is_other_backend: Whether another backend server has the address now.
        is_signed: Whether it carries the backend server's signature.
        idle_timeout_ms: How long the connection may stay idle; None if absent.
        is_leaving: Whether it says that the backend server is leaving.
        pause_ms: How long the entry is to send it no more requests; 0 if absent.
        limit: What it says about its limit on requests.
        rejections_per_s: Rejections in a second that the backend server bears from all
            entries before it falls over; None if it states none.
    """

    request_id: str | None
    is_not_executed: bool
    is_other_backend: bool
    is_signed: bool
    idle_timeout_ms: int | None
    is_leaving: bool = False
    pause_ms: int = 0
    limit: StatedLimit = NO_LIMIT
    rejections_per_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Functions of a platform that read and write its headers.

    Attributes:
        read_caller: Reads a caller's headers; raises `ValueError` if malformed.
        write_backend: Returns the headers to send to a backend server, from the
            caller's headers.
        read_backend: Reads the status and headers of a backend server's response.
        write_caller: Returns the headers of the response to the caller, from those
            of the backend server's response.
        refusal_headers: Returns headers of the entry's own responses, from the
            request id.
        readiness_path: Path of the load balancer's readiness check.
        identity_path: Path at which a backend server says which incarnation it is.
        identity_headers: Returns the headers of that request, from the backend
            server's name.
        read_identity: Returns the incarnation from the backend server's name and the
            response's body; None if it doesn't say.
    """

    read_caller: Callable[[Headers], CallerHead]
    write_backend: Callable[[Headers, BackendRequestFields], list[tuple[bytes, bytes]]]
    read_backend: Callable[[int, Headers], BackendHead]
    write_caller: Callable[[Headers], list[tuple[bytes, bytes]]]
    refusal_headers: Callable[[str | None], list[tuple[bytes, bytes]]]
    readiness_path: str
    identity_path: str
    identity_headers: Callable[[str], list[tuple[bytes, bytes]]]
    read_identity: Callable[[str, bytes], LifeId | None]
