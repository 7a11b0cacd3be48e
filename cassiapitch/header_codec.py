"""What forwarding needs of the headers that callers and backend servers speak.

The names of headers belong to a deployment's platform. An adapter supplies them as a
`HeaderCodec`; forwarding knows only the types below.
"""

import dataclasses
from collections.abc import Callable, Sequence

Headers = Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt, shared with other requests that name it too."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerHead:
    """What the headers of a caller's request say.

    Attributes:
        request_id: The caller's identity of this attempt; None if absent.
        left_ms: How long the caller waits; None if it doesn't say.
        key: The caller's key.
        model: Model or adapter that is asked for.
        prompt_tokens: Tokens of the prompt.
        answer_tokens: Most tokens of the answer.
        has_tokens: Whether the two counts above were stated.
        prompt_parts: The prompt's parts in order.
        last_event_id: The last event of the stream that the caller has.
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


@dataclasses.dataclass(frozen=True, slots=True)
class BackendRequestFields:
    """What the entry says to a backend server besides the caller's own headers.

    Attributes:
        left_ms: How long the caller still waits.
        backend: Name of the backend server that is meant.
        account: The client account; None on an open route.
        last_event_id: Where a stream goes on; None from its beginning.
        priority: Rank at the backend server, 0 first; None for its default.
    """

    left_ms: int
    backend: str
    account: str | None
    last_event_id: int | None = None
    priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class BackendHead:
    """What the head of a backend server's response says.

    Attributes:
        request_id: The request that it answers; None if it doesn't say.
        is_not_executed: Whether it says that the request did not run.
        is_other_backend: Whether another backend server has the address now.
        is_signed: Whether it carries the backend server's signature.
        idle_timeout_ms: How long the connection may stay idle; None if unstated.
        is_leaving: Whether it says that the backend server leaves.
        pause_ms: How long it wants nothing more from this entry; 0 if unstated.
    """

    request_id: str | None
    is_not_executed: bool
    is_other_backend: bool
    is_signed: bool
    idle_timeout_ms: int | None
    is_leaving: bool = False
    pause_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderCodec:
    """Functions of an adapter.

    Attributes:
        read_caller: Reads a caller's headers; raises `ValueError` if malformed.
        write_backend: Returns the headers to send on, from the caller's headers.
        read_backend: Reads a response's status and headers.
        write_caller: Returns the headers of an answer, from a backend server's.
        refusal_headers: Returns headers of the entry's own answers, from the
            request's identity.
        readiness_path: Path of the balancer's question.
    """

    read_caller: Callable[[Headers], CallerHead]
    write_backend: Callable[[Headers, BackendRequestFields], list[tuple[bytes, bytes]]]
    read_backend: Callable[[int, Headers], BackendHead]
    write_caller: Callable[[Headers], list[tuple[bytes, bytes]]]
    refusal_headers: Callable[[str | None], list[tuple[bytes, bytes]]]
    readiness_path: str
