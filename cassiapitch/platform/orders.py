"""Sends orders to engines."""

import anyio
import httpcore
import msgspec

from cassiapitch.coordinator import SendOrder
from cassiapitch.platform import names
from cassiapitch.types import OrderKind

CONNECT_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_S = 1.5

_OPERATIONS = {
    OrderKind.LOAD: "load",
    OrderKind.LOAD_ADAPTER: "load",
    OrderKind.UNLOAD: "unload",
    OrderKind.UNLOAD_ADAPTER: "unload",
}
_ADAPTER_KINDS = (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER)


def order_body(send: SendOrder, holder: str) -> bytes:
    """Returns the JSON body of an order."""
    order = send.order
    document = {
        "operation": _OPERATIONS[order.kind],
        "model": order.model,
        "holder": holder,
        "fencingToken": send.fence,
    }
    if order.kind in _ADAPTER_KINDS:
        document["adapter"] = order.adapter.rpartition("/")[2]
    return msgspec.json.encode(document)


async def send_order(send: SendOrder, holder: str) -> str | None:
    """Makes one attempt to send an order; returns as `dispatch.send_order`."""
    origin = httpcore.Origin(b"http", send.ip.encode(), send.port)
    connection = httpcore.AsyncHTTPConnection(origin)
    try:
        response = await connection.request(
            "POST",
            f"http://{send.ip}:{send.port}{names.ORDER_PATH}",
            headers={
                "Content-Type": "application/json",
                "Target-Instance": send.order.backend,
                "Connection": "close",
            },
            content=order_body(send, holder),
            extensions={
                "timeout": {
                    "connect": CONNECT_TIMEOUT_S,
                    "read": RESPONSE_TIMEOUT_S,
                    "write": RESPONSE_TIMEOUT_S,
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
    return _answer(response.status, send.order.kind)


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
