"""Sends orders to engines."""

from collections.abc import Callable

import anyio
import httpcore
import msgspec

from cassiapitch import boundedhttp, bytestream
from cassiapitch.order_attempts import OutgoingAttempt
from cassiapitch.order_sequences import OrderSequences
from cassiapitch.platform import names
from cassiapitch.types import OrderKind

CONNECT_TIMEOUT_S = 0.5
# An engine responds as soon as it has accepted an order. After this time the order is
# sent again, since the response, or the order itself, may arrive seconds later.
RESPONSE_TIMEOUT_S = 0.4
# An engine that sends a byte now and then doesn't hold up its orders for longer.
EXCHANGE_TIMEOUT_S = 1.5
TIME_LIMITS = boundedhttp.TimeLimits(
    CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S, EXCHANGE_TIMEOUT_S
)

_OPERATIONS = {
    OrderKind.LOAD: "load",
    OrderKind.LOAD_ADAPTER: "load",
    OrderKind.UNLOAD: "unload",
    OrderKind.UNLOAD_ADAPTER: "unload",
}
_CONNECTION_ERRORS = (
    httpcore.ConnectionNotAvailable,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_ADAPTER_KINDS = (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER)


class _Report(msgspec.Struct):
    """The fields of an engine's report that sending an order needs."""

    sequence: int
    busy: bool = False


def order_body(attempt: OutgoingAttempt, holder: str, expected: int) -> bytes:
    """Returns the JSON body of an order.

    Args:
        attempt: The attempt to send.
        holder: Name of this member.
        expected: Number of orders that the engine has accepted so far. The engine
            rejects this order if the number differs, also if it arrives late.
    """
    order = attempt.order
    document = {
        "operation": _OPERATIONS[order.kind],
        "model": order.model,
        "holder": holder,
        "fencingToken": attempt.fence,
        "expected": expected,
    }
    if order.kind in _ADAPTER_KINDS:
        document["adapter"] = order.adapter.rpartition("/")[2]
    return msgspec.json.encode(document)


async def send_order(
    attempt: OutgoingAttempt,
    holder: str,
    may_send: Callable[[], bool],
    sequences: OrderSequences,
) -> str | None:
    """Makes one attempt to send an order; see `order_sender.send_order`."""
    origin = httpcore.Origin(b"http", attempt.ip.encode(), attempt.port)
    connection = httpcore.AsyncHTTPConnection(
        origin, socket_options=bytestream.OUTGOING_OPTIONS
    )
    try:
        return await _send(connection, attempt, holder, may_send, sequences)
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()


async def _send(
    connection: httpcore.AsyncHTTPConnection,
    attempt: OutgoingAttempt,
    holder: str,
    may_send: Callable[[], bool],
    sequences: OrderSequences,
) -> str | None:
    try:
        report = await _call(connection, attempt, "GET", names.REPORT_PATH, b"")
    except _CONNECTION_ERRORS:
        return "not_sent"
    if report.status != 200:
        return _order_outcome(report.status, attempt.order.kind)
    try:
        engine_report = msgspec.json.decode(report.content, type=_Report)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return "not_sent"
    if engine_report.busy and attempt.order.kind not in _ADAPTER_KINDS:
        return "busy"
    if not may_send():
        # The report may have taken longer than this member's lease.
        return "not_sent"
    life_id = attempt.order.life_id
    expected = sequences.next_expected(life_id, engine_report.sequence)
    body = order_body(attempt, holder, expected)
    try:
        response = await _call(connection, attempt, "POST", names.ORDER_PATH, body)
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return "not_sent"
    except _CONNECTION_ERRORS:
        # The order may have been accepted, or may still arrive and be carried out.
        sequences.forget(life_id)
        return None
    if _advances_sequence(response.status, attempt.order.kind):
        sequences.order_accepted(life_id, expected)
    else:
        sequences.forget(life_id)
    return _order_outcome(response.status, attempt.order.kind)


async def _call(
    connection: httpcore.AsyncHTTPConnection,
    attempt: OutgoingAttempt,
    method: str,
    path: str,
    content: bytes,
) -> boundedhttp.Response:
    return await boundedhttp.request(
        connection,
        method,
        f"http://{attempt.ip}:{attempt.port}{path}",
        {
            "Content-Type": "application/json",
            "Target-Instance": attempt.order.backend,
        },
        content,
        TIME_LIMITS,
    )


def _advances_sequence(status: int, kind: OrderKind) -> bool:
    """Returns whether an engine counts an order that it gave this response to.

    Adapters are unloaded at once; for other orders, 200 says that nothing was to do.
    """
    return status == 202 or (status == 200 and kind is OrderKind.UNLOAD_ADAPTER)


def _order_outcome(status: int, kind: OrderKind) -> str:
    if status == 200:
        return "done"
    if status == 202:
        # An adapter is loaded within milliseconds, and the engine declines requests
        # that arrive earlier. A loaded model shows in the engine's heartbeat.
        return "done" if kind is OrderKind.LOAD_ADAPTER else "accepted"
    if status == names.STALE_FENCE_STATUS:
        return "stale_fence"
    if status == names.MISDIRECTED_STATUS:
        return "other_life"
    return "busy" if status == names.BUSY_STATUS else "failed"
