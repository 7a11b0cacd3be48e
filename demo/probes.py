"""Single calls of the demo and what their callers receive."""

import dataclasses
import json
from typing import Any

import httpcore

from cassiapitch import streams, timers
from cassiapitch.loadcaller import read_refusal
from cassiapitch.settings import Address

TIMEOUT_S = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a caller received.

    Attributes:
        status: HTTP status, 0 if the connection failed.
        code: Code of a refusal or of a stream's error.
        outcome: What a refusal says about the call.
        content: The whole body.
        tokens: Tokens of a streamed answer.
        is_complete: Whether the answer came to its end.
        ended_ms: When it ended.
    """

    status: int
    code: str = ""
    outcome: str = ""
    content: bytes = b""
    tokens: int = 0
    is_complete: bool = True
    ended_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One call of the demo."""

    method: str
    path: str
    document: Any = None
    key: str | None = None
    idempotency_key: str | None = None


def chat(
    model: str, text: str, key: str | None, *, stream: bool, tokens: int = 20
) -> Request:
    """Returns a chat call."""
    document = {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
        # The stand-in engine then generates exactly `max_tokens`.
        "ignore_eos": True,
    }
    return Request("POST", "/v1/chat/completions", document, key)


async def call(address: Address, request: Request) -> Reply:
    """Sends one call on a connection of its own."""
    url = f"http://{address}{request.path}"
    body = b"" if request.document is None else json.dumps(request.document).encode()
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
    status = 0
    reader = _Reader()
    try:
        async with (
            httpcore.AsyncHTTPConnection(origin=origin) as connection,
            connection.stream(
                request.method,
                url,
                headers=_headers(address, request, len(body)),
                content=body,
                extensions={"timeout": timeout},
            ) as response,
        ):
            status = response.status
            async for part in response.aiter_stream():
                reader.take(part)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return reader.reply(status, is_complete=False)
    return reader.reply(status, is_complete=True)


def _headers(
    address: Address, request: Request, body_bytes: int
) -> list[tuple[str, str]]:
    headers = [("host", str(address)), ("content-length", str(body_bytes))]
    if body_bytes:
        headers.append(("content-type", "application/json"))
    if request.key is not None:
        headers.append(("authorization", f"Bearer {request.key}"))
    if request.idempotency_key is not None:
        headers.append(("idempotency-key", request.idempotency_key))
    return headers


class _Reader:
    """Collects an answer, streamed or whole."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._splitter = streams.EventSplitter()
        self._tokens = 0
        self._is_stream = False
        self._is_done = False

    def take(self, part: bytes) -> None:
        """Takes the next part of the body."""
        self._parts.append(part)
        self._is_stream = self._is_stream or self._parts[0].startswith(b"id:")
        if not self._is_stream:
            return
        for raw in self._splitter.feed(part):
            event = streams.parse_event(raw)
            if isinstance(event, streams.StreamDone):
                self._is_done = True
            elif isinstance(event, streams.Chunk) and event.text:
                self._tokens += 1

    def reply(self, status: int, *, is_complete: bool) -> Reply:
        """Returns what was received."""
        content = b"".join(self._parts)
        code, outcome = "", ""
        if self._is_stream:
            is_complete = self._is_done
            code, outcome = _stream_error(content)
        elif status >= 400:
            code, outcome = read_refusal(content, status)
        ended_ms = timers.now_ms()
        return Reply(
            status, code, outcome, content, self._tokens, is_complete, ended_ms
        )


def _stream_error(content: bytes) -> tuple[str, str]:
    for line in content.split(b"\n"):
        if line.startswith(b"data:") and b'"error"' in line:
            return read_refusal(line[5:], 0)
    return "", ""
