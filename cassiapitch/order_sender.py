"""Sends recorded orders to engines over HTTP; used on the leader only."""

from collections.abc import Callable

import anyio
import httpcore
import msgspec

from cassiapitch.coordinator import OutgoingAttempt
from cassiapitch.orders import Order
from cassiapitch.standin_memory import OrderRequest

# An engine without fencing gets longer: an attempt whose response isn't awaited
# reserves memory until the end of the engine's life.
RESPONSE_TIMEOUT_MS = 2_000
RESPONSE_UNFENCED_TIMEOUT_MS = 10_000
CONNECT_TIMEOUT_MS = 1_000

KNOWN_CODES = frozenset({"stale_fence", "other_life"})


def order_body(order: Order) -> bytes:
    """Returns the JSON body of an order."""
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
    send: OutgoingAttempt, *, fencing: bool, may_send: Callable[[], bool]
) -> str | None:
    """Makes one attempt to send an order.

    Args:
        send: The attempt.
        fencing: Whether the engine rejects stale fences.
        may_send: Tells whether this member may still order; asked just before the
            order leaves, since the process may have been stopped in between.

    Returns:
        `accepted`, `stale_fence`, `other_life`, `refused` for any other response,
        `not_sent` if no connection came about, or None if no response came, so
        that the attempt may still arrive.
    """
    timeout_ms = RESPONSE_TIMEOUT_MS if fencing else RESPONSE_UNFENCED_TIMEOUT_MS
    origin = httpcore.Origin(b"http", send.ip.encode(), send.port)
    connection = httpcore.AsyncHTTPConnection(origin)
    host = f"[{send.ip}]" if ":" in send.ip else send.ip
    if not may_send():
        return "not_sent"
    try:
        response = await connection.request(
            "POST",
            f"http://{host}:{send.port}/orders",
            headers={"Content-Type": "application/json"},
            content=order_body(send.order),
            extensions={
                "timeout": {
                    "connect": CONNECT_TIMEOUT_MS / 1_000,
                    "read": timeout_ms / 1_000,
                    "write": timeout_ms / 1_000,
                }
            },
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
    return _answer(response.status, response.content)


def _answer(status: int, content: bytes) -> str:
    if status == 202:
        return "accepted"
    try:
        code = msgspec.json.decode(content)["error"]["code"]
    except (msgspec.MsgspecError, LookupError, TypeError):
        return "refused"
    return code if status == 409 and code in KNOWN_CODES else "refused"
