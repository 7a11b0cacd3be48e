"""Helpers for ASGI applications: reading bodies within limits, sending responses."""

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec

Scope = MutableMapping[str, Any]
AsgiMessage = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[AsgiMessage]]
Send = Callable[[AsgiMessage], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, slots=True)
class Body:
    """A request body that was received completely and in time."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The body is larger than the limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyBufferFull:
    """The body doesn't fit into the limit on all buffered bodies together."""


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTimeout:
    """The body wasn't received completely in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed the connection before the end of the body."""


BodyOutcome = Body | BodyTooLarge | BodyBufferFull | BodyTimeout | CallerDisconnected


def header(scope: Scope, name: bytes) -> str | None:
    """Returns a request header's value; `name` is in lower case."""
    for key, value in scope["headers"]:
        if key == name:
            return str(value, "latin-1")
    return None


class BodyBufferLimit:
    """Limit on the bytes of request bodies that are buffered at once."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Reserves bytes; returns False if they would exceed the limit."""
        if self.used_bytes + size_bytes > self.limit_bytes:
            return False
        self.used_bytes += size_bytes
        return True


class BodyBufferReservation:
    """Bytes that one request has reserved of the limit, until `release`."""

    def __init__(self, limit: BodyBufferLimit) -> None:
        self._limit = limit
        self._reserved_bytes = 0

    def fits(self, size_bytes: int) -> bool:
        """Returns whether a body of this size would fit now."""
        return self._limit.used_bytes + size_bytes <= self._limit.limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserves bytes received; returns False if they would exceed the limit."""
        if not self._limit.reserve(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return True

    def release(self) -> None:
        """Returns all reserved bytes."""
        self._limit.used_bytes -= self._reserved_bytes
        self._reserved_bytes = 0


def declared_bytes(scope: Scope) -> int:
    """Returns the size of the body by Content-Length, or 0 if it isn't stated."""
    value = header(scope, b"content-length")
    return int(value) if value is not None and value.isdecimal() else 0


async def read_body(
    receive: Receive,
    limit_bytes: int,
    timeout_ms: int,
    reservation: BodyBufferReservation | None = None,
) -> BodyOutcome:
    """Reads a request body within a size limit, a time limit and a reservation."""
    parts: list[bytes] = []
    size_bytes = 0
    with anyio.move_on_after(timeout_ms / 1000):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return CallerDisconnected()
            part = message.get("body", b"")
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                return BodyTooLarge()
            if reservation is not None and not reservation.reserve(len(part)):
                return BodyBufferFull()
            parts.append(part)
            if not message.get("more_body", False):
                return Body(b"".join(parts))
    return BodyTimeout()


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    content_type: str = "application/json",
    headers: Headers | None = None,
) -> None:
    """Sends a complete response."""
    fields = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode()),
        *(headers or []),
    ]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send, status: int, document: Any, headers: Headers | None = None
) -> None:
    """Sends a complete JSON response."""
    await send_response(send, status, msgspec.json.encode(document), headers=headers)
