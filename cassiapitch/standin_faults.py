"""Fault injection and header records of stand-in engines and services."""

import dataclasses

import msgspec

from cassiapitch import asgi

HEADERS_LIMIT_COUNT = 20_000


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults still to be injected; set by `POST /standin/faults`.

    Attributes:
        lose_orders: Number of orders to drop; the connection is closed unanswered.
        delay_orders: Number of orders to run after `order_delay_ms`, unanswered.
        double_orders: Number of orders to run immediately and once more after the
            delay, unanswered.
        order_delay_ms: Delay of delayed and doubled orders.
        unavailable: Number of requests to answer with 503 `overloaded`.
        break_streams: Number of streams to cut.
        break_after_tokens: Tokens of a cut stream that are sent before the cut.
        pause_announcements: Whether announcements stop.
        leaving: Whether announcements say `leaving`.
        drop_responses: Number of service calls to run without an answer.
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
        """Decrements the count of a fault; returns whether one was left."""
        count = getattr(self, name)
        if count > 0:
            setattr(self, name, count - 1)
        return count > 0


def update_faults(faults: Faults, body: bytes) -> None:
    """Sets the fields that are given in a body of `POST /standin/faults`.

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
    """Distinct targets and headers of callers' requests, to detect a leaked key."""

    def __init__(self) -> None:
        self.recorded: dict[str, None] = {}

    def record(self, scope: asgi.Scope) -> None:
        """Records a request's target and headers."""
        if len(self.recorded) > HEADERS_LIMIT_COUNT:
            return
        query = str(scope.get("query_string", b""), "latin-1")
        self.recorded[f":target: {scope['path']}?{query}"] = None
        for name, value in scope["headers"]:
            if name not in (b"x-request-id", b"content-length"):
                self.recorded[f"{str(name, 'latin-1')}: {str(value, 'latin-1')}"] = None
