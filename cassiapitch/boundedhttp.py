"""HTTP requests to backend servers whose responses are bounded in size and time."""

import dataclasses

import anyio
import httpcore

from cassiapitch import response_statuses

# Responses to orders, and reports, are a few hundred bytes.
RESPONSE_LIMIT_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits of one exchange.

    Attributes:
        connect_s: Until the connection is open.
        wait_s: Of each wait for the other side.
        total_s: From the beginning to the end of the response.
    """

    connect_s: float
    wait_s: float
    total_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    content: bytes


async def request(
    connection: httpcore.AsyncHTTPConnection,
    method: str,
    url: str,
    headers: dict[str, str],
    content: bytes,
    limits: TimeLimits,
) -> Response:
    """Sends a request and reads its response.

    Raises:
        httpcore.ProtocolError: The response is malformed, too large or has an invalid
            status.
        httpcore.TimeoutException: A time limit was exceeded.
        httpcore.NetworkError: The connection failed.
    """
    timeouts = {
        "connect": limits.connect_s,
        "read": limits.wait_s,
        "write": limits.wait_s,
    }
    parts: list[bytes] = []
    size_bytes = 0
    with anyio.move_on_after(limits.total_s):
        async with connection.stream(
            method,
            url,
            headers=headers,
            content=content,
            extensions={"timeout": timeouts},
        ) as response:
            if not response_statuses.is_final(response.status):
                raise httpcore.RemoteProtocolError(f"invalid status {response.status}")
            async for part in response.aiter_stream():
                parts.append(part)
                size_bytes += len(part)
                if size_bytes > RESPONSE_LIMIT_BYTES:
                    raise httpcore.RemoteProtocolError("the response is too large")
        return Response(response.status, b"".join(parts))
    raise httpcore.ReadTimeout("the response did not end in time")
