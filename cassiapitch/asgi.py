"""Helpers for ASGI applications: reading bodies within limits, sending responses."""

import dataclasses
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import anyio
import msgspec

from cassiapitch.held_bytes import Holder, Kind
from cassiapitch.mapped_bytes import Sliceable

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

    def __init__(self, limit: BodyBufferLimit, holder: Holder | None = None) -> None:
        """Creates an empty reservation.

        Args:
            limit: Limit on the bodies of all requests.
            holder: Counts them towards all bytes held as well; closed by `release`.
        """
        self._limit = limit
        self._holder = holder
        self._reserved_bytes = 0

    def fits(self, size_bytes: int) -> bool:
        """Returns whether a body of this size would fit now."""
        return self._limit.used_bytes + size_bytes <= self._limit.limit_bytes

    def reserve(self, size_bytes: int) -> bool:
        """Reserves bytes received; returns False if they would exceed the limit."""
        if not self._limit.reserve(size_bytes):
            return False
        self._reserved_bytes += size_bytes
        return self._holder is None or self._holder.reserve(Kind.BODY, size_bytes)

    def release(self) -> None:
        """Returns all reserved bytes."""
        if self._holder is not None:
            self._holder.close()
        self._limit.used_bytes -= self._reserved_bytes
        self._reserved_bytes = 0


def has_two_lengths(scope: Scope) -> bool:
    """Returns whether two parsers could see the request's end in different places."""
    names = {name for name, _ in scope["headers"]}
    return {b"content-length", b"transfer-encoding"} <= names


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
    body: Sliceable,
    content_type: str = "application/json",
    headers: Headers | None = None,
    piece_bytes: int | None = None,
) -> None:
    """Sends a complete response, in pieces if it is larger than `piece_bytes`."""
    fields = [
        (b"content-type", content_type.encode("latin-1")),
        (b"content-length", str(len(body)).encode()),
        *(headers or []),
    ]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    end = len(body)
    for start in range(0, end, piece_bytes) if piece_bytes else ():
        piece = body[start : start + piece_bytes]
        is_last = start + piece_bytes >= end
        message = {"type": "http.response.body", "body": piece}
        await send(message | {"more_body": not is_last})
        if is_last:
            return
    await send({"type": "http.response.body", "body": body[:]})


async def send_json(
    send: Send, status: int, document: Any, headers: Headers | None = None
) -> None:
    """Sends a complete JSON response."""
    await send_response(send, status, msgspec.json.encode(document), headers=headers)
