"""Sends recorded orders to engines over HTTP. Only the leader uses it."""

from collections.abc import Callable

import anyio
import httpcore
import msgspec

from cassiapitch import boundedhttp, bytestream
from cassiapitch.order_attempts import OutgoingAttempt
from cassiapitch.orders import Order
from cassiapitch.standin_memory import OrderRequest

# The timeout is longer for an engine without fencing: without a response, the memory of
# the order stays reserved until the engine's process ends.
RESPONSE_TIMEOUT_MS = 2_000
RESPONSE_UNFENCED_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 1_000

FENCING_ERROR_CODES = frozenset({"stale_fence", "other_life"})


def order_body(order: Order) -> bytes:
    """Returns the JSON request body for an order."""
    return msgspec.json.encode(
        OrderRequest(
            order_id=order.order_id,
            fence_term=order.fence_term,
            fence_number=order.fence_number,
            life_id=order.life_id,
            kind=order.kind,
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            memory_mib=order.memory_mib,
        )
    )


async def send_order(
    attempt: OutgoingAttempt, *, fencing: bool, may_send: Callable[[], bool]
) -> str | None:
    """Makes one attempt to send an order.

    Args:
        attempt: The attempt.
        fencing: Whether the engine rejects stale fences.
        may_send: Returns whether this member may still send orders. It is called
            just before sending, because the process may have been suspended in the
            meantime.

    Returns:
        `accepted`, `stale_fence`, `other_life`, `refused` for any other response,
        `not_sent` if nothing was sent, or None if there was no response, so that the
        order may still arrive.
    """
    timeout_ms = RESPONSE_TIMEOUT_MS if fencing else RESPONSE_UNFENCED_TIMEOUT_MS
    origin = httpcore.Origin(b"http", attempt.ip.encode(), attempt.port)
    connection = httpcore.AsyncHTTPConnection(
        origin, socket_options=bytestream.OUTGOING_OPTIONS
    )
    host = f"[{attempt.ip}]" if ":" in attempt.ip else attempt.ip
    if not may_send():
        return "not_sent"
    try:
        response = await boundedhttp.request(
            connection,
            "POST",
            f"http://{host}:{attempt.port}/orders",
            {"Content-Type": "application/json"},
            order_body(attempt.order),
            boundedhttp.TimeLimits(
                CONNECT_TIMEOUT_MS / 1_000,
                timeout_ms / 1_000,
                (CONNECT_TIMEOUT_MS + 2 * timeout_ms) / 1_000,
            ),
        )
    except (httpcore.ConnectError, httpcore.ConnectTimeout):
        return "not_sent"
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return None
    finally:
        with anyio.CancelScope(shield=True):
            await connection.aclose()
    return _parse_response(response.status, response.content)


def _parse_response(status: int, content: bytes) -> str:
    if status == 202:
        return "accepted"
    try:
        code = msgspec.json.decode(content)["error"]["code"]
    except (msgspec.MsgspecError, ValueError, RecursionError, LookupError, TypeError):
        return "refused"
    return code if status == 409 and code in FENCING_ERROR_CODES else "refused"
