"""Faults and records that stand-in engines and services share."""

import dataclasses

import msgspec

from cassiapitch import asgi

HEADERS_KEPT_COUNT = 20_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that are still to come; set by `POST /standin/faults`.

    Attributes:
        lose_orders: Orders to drop; the connection is closed without an answer.
        delay_orders: Orders to run after `order_delay_ms`, without an answer.
        double_orders: Orders to run at once and once more after the delay,
            without an answer.
        order_delay_ms: Delay of late and doubled orders.
        unavailable: Requests to answer with 503 `overloaded`.
        break_streams: Streams to cut.
        break_after_tokens: Tokens of a cut stream that still get through.
        pause_announcements: Whether announcements stop.
        leaving: Whether announcements say `leaving`.
        drop_responses: Service calls to run without an answer.
    """

    lose_orders: int = 0
    delay_orders: int = 0
    double_orders: int = 0
    order_delay_ms: int = 1_000
    unavailable: int = 0
    break_streams: int = 0
    break_after_tokens: int = 0
    pause_announcements: bool = False
    leaving: bool = False
    drop_responses: int = 0

    def consume(self, name: str) -> bool:
        """Uses up one fault of a counted kind; returns whether there was one."""
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0


def update_faults(faults: Faults, body: bytes) -> None:
    """Sets the fields that a body of `POST /standin/faults` names.

    Raises:
        msgspec.ValidationError: A value has the wrong type.
    """
    merged = dataclasses.asdict(faults) | msgspec.json.decode(body)
    changed = msgspec.convert(merged, Faults)
    for field in dataclasses.fields(Faults):
        setattr(faults, field.name, getattr(changed, field.name))


async def drop_connection(receive: asgi.Receive, send: asgi.Send) -> None:
    """Closes a connection without an answer.

    ASGI has no message for this, and `uvicorn` answers 500 for an application that
    returns without a response, so the transport behind `send` is aborted.
    """
    send.__self__.transport.abort()  # type: ignore[attr-defined]
    while (await receive())["type"] != "http.disconnect":
        pass


class HeaderLog:
    """Headers that callers' requests carried, to detect a leaked key."""

    def __init__(self) -> None:
        self.seen: dict[str, None] = {}

    def record(self, scope: asgi.Scope) -> None:
        """Remembers a request's target and headers."""
        if len(self.seen) > HEADERS_KEPT_COUNT:
            return
        query = str(scope.get("query_string", b""), "latin-1")
        self.seen[f":target: {scope['path']}?{query}"] = None
        for name, value in scope["headers"]:
            if name not in (b"x-request-id", b"content-length"):
                self.seen[f"{str(name, 'latin-1')}: {str(value, 'latin-1')}"] = None
