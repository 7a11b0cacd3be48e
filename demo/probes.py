"""Sends single calls and collects their responses."""

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
    """The response that a caller received.

    Attributes:
        status: HTTP status, or 0 if the connection failed.
        code: Code of a refusal or of a stream's error.
        outcome: Outcome of the call as stated by a refusal, for example `not_run`.
        content: The whole body.
        tokens: Number of tokens in a streamed answer.
        is_complete: Whether the answer was received completely.
        ended_ms: Time at which the answer ended.
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
    """One HTTP call to an entry or a stand-in."""

    method: str
    path: str
    document: Any = None
    key: str | None = None
    idempotency_key: str | None = None


def chat(
    model: str, text: str, key: str | None, *, stream: bool, tokens: int = 20
) -> Request:
    """Returns a chat completion call."""
    document = {
        "model": model,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": text}],
        # Makes the stand-in engine generate exactly `max_tokens`.
        "ignore_eos": True,
    }
    return Request("POST", "/v1/chat/completions", document, key)


async def call(address: Address, request: Request) -> Reply:
    """Sends one call on a new connection and returns the response."""
    url = f"http://{address}{request.path}"
    body = b"" if request.document is None else json.dumps(request.document).encode()
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    origin = httpcore.Origin(b"http", address.ip.encode(), address.port)
    status = 0
    collector = _ReplyCollector()
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
                collector.add(part)
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ):
        return collector.reply(status, is_complete=False)
    return collector.reply(status, is_complete=True)


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


class _ReplyCollector:
    """Collects the body of a response, streamed or not."""

    def __init__(self) -> None:
        self._parts: list[bytes] = []
        self._splitter = streams.EventSplitter()
        self._tokens = 0
        self._is_stream = False
        self._has_done_event = False

    def add(self, part: bytes) -> None:
        """Adds the next part of the body."""
        self._parts.append(part)
        self._is_stream = self._is_stream or self._parts[0].startswith(b"id:")
        if not self._is_stream:
            return
        for raw_event in self._splitter.feed(part):
            event = streams.parse_event(raw_event)
            if isinstance(event, streams.StreamDone):
                self._has_done_event = True
            elif isinstance(event, streams.Chunk) and event.text:
                self._tokens += 1

    def reply(self, status: int, *, is_complete: bool) -> Reply:
        """Returns the response as received so far."""
        content = b"".join(self._parts)
        code, outcome = "", ""
        if self._is_stream:
            is_complete = self._has_done_event
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
