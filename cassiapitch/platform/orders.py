"""Sends orders to engines."""

from collections.abc import Callable

import anyio
import httpcore
import msgspec

from cassiapitch.coordinator import OutgoingAttempt
from cassiapitch.platform import names
from cassiapitch.types import OrderKind

CONNECT_TIMEOUT_S = 0.5
# An engine answers as soon as it has taken an order; one that hasn't by then is asked
# again, since the answer, or the order itself, may come seconds later.
RESPONSE_TIMEOUT_S = 0.4

_OPERATIONS = {
    OrderKind.LOAD: "load",
    OrderKind.LOAD_ADAPTER: "load",
    OrderKind.UNLOAD: "unload",
    OrderKind.UNLOAD_ADAPTER: "unload",
}
_FAILURES = (
    httpcore.ConnectionNotAvailable,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_ADAPTER_KINDS = (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER)


class _Report(msgspec.Struct):
    """What an order needs of an engine's report."""

    sequence: int
    busy: bool = False


def order_body(send: OutgoingAttempt, holder: str, expected: int) -> bytes:
    """Returns the JSON body of an order.

    Args:
        send: The attempt.
        holder: Name of this member.
        expected: Orders that the engine has accepted so far; with another number
            it rejects this one, also if it arrives late.
    """
    order = send.order
    document = {
        "operation": _OPERATIONS[order.kind],
        "model": order.model,
        "holder": holder,
        "fencingToken": send.fence,
        "expected": expected,
    }
    if order.kind in _ADAPTER_KINDS:
        document["adapter"] = order.adapter.rpartition("/")[2]
    return msgspec.json.encode(document)


async def send_order(
    send: OutgoingAttempt, holder: str, may_send: Callable[[], bool]
) -> str | None:
    """Makes one attempt to send an order; see `order_sender.send_order`."""
    origin = httpcore.Origin(b"http", send.ip.encode(), send.port)
    connection = httpcore.AsyncHTTPConnection(origin)
    try:
        return await _send(connection, send, holder, may_send)
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _send(
    connection: httpcore.AsyncHTTPConnection,
    send: OutgoingAttempt,
    holder: str,
    may_send: Callable[[], bool],
) -> str | None:
    try:
        report = await _call(connection, send, "GET", names.REPORT_PATH, b"")
    except _FAILURES:
        return "not_sent"
    if report.status != 200:
        return _answer(report.status, send.order.kind)
    try:
        state = msgspec.json.decode(report.content, type=_Report)
    except msgspec.MsgspecError:
        return "not_sent"
    if state.busy and send.order.kind not in _ADAPTER_KINDS:
        return "busy"
    if not may_send():
        # The report may have taken longer than this member's lease.
        return "not_sent"
    body = order_body(send, holder, state.sequence)
    try:
        response = await _call(connection, send, "POST", names.ORDER_PATH, body)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return "not_sent"
    except _FAILURES:
        # It may have been accepted, or may still be carried out.
        return None
    return _answer(response.status, send.order.kind)


async def _call(
    connection: httpcore.AsyncHTTPConnection,
    send: OutgoingAttempt,
    method: str,
    path: str,
    content: bytes,
) -> httpcore.Response:
    return await connection.request(
        method,
        f"http://{send.ip}:{send.port}{path}",
        headers={
            "Content-Type": "application/json",
            "Target-Instance": send.order.backend,
        },
        content=content,
        extensions={
            "timeout": {
                "connect": CONNECT_TIMEOUT_S,
                "read": RESPONSE_TIMEOUT_S,
                "write": RESPONSE_TIMEOUT_S,
            }
        },
    )


def _answer(status: int, kind: OrderKind) -> str:
    if status == 200:
        return "done"
    if status == 202:
        # An adapter is there within milliseconds, and requests that come before it
        # are told so; the engine reports a loaded model.
        return "done" if kind is OrderKind.LOAD_ADAPTER else "accepted"
    if status == names.STALE_FENCE_STATUS:
        return "stale_fence"
    if status == names.MISDIRECTED_STATUS:
        return "other_life"
    return "busy" if status == names.BUSY_STATUS else "failed"
