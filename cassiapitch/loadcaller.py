"""HTTP client of the load tool: sends a call and checks its answer."""

import dataclasses
import enum
import json
from collections.abc import Callable
from typing import Any

import anyio
import httpcore
import msgspec

from cassiapitch import bytestream, streams, timers
from cassiapitch.experiment import CallClass, CallKind
from cassiapitch.loadarrivals import PlannedCall
from cassiapitch.settings import Address
from cassiapitch.types import Priority

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024

# Returns the expected text of an answer, given the call, its class and the number of
# tokens.
TextOracle = Callable[[PlannedCall, CallClass, int], str]


class Ending(enum.StrEnum):
    """How a call ended, as seen by the caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    # The entry sent an error event: the answer is incomplete.
    BROKEN_OFF = "broken_off"
    # The connection closed before the answer was complete, without an error event.
    CUT = "cut"
    CONNECTION_FAILED = "connection_failed"
    TIMED_OUT = "timed_out"
    UNSENT = "unsent"


@dataclasses.dataclass(slots=True)
class CallResult:
    """Result of one call; times are relative to the start of the load.

    Attributes:
        ending: How the call ended.
        status: HTTP status; 0 if no response arrived.
        code: Error code of a refusal or of an error event in the stream.
        outcome: Whether the refused call ran: `not_run` or `unknown`.
        request_id: Value of the answer's `X-Request-Id` header.
        sent_ms: When the call was sent.
        first_ms: When the first token arrived, or the whole answer if not streamed.
        last_ms: When the last token arrived.
        end_ms: When the call ended.
        tokens: Tokens of the answer; for a streamed answer, the tokens received.
        position_faults_count: Missing or repeated positions in a streamed answer.
        is_text_wrong: Whether the text differs from the expected one.
        gaps_ms: Times between consecutive tokens.
    """

    ending: Ending = Ending.CUT
    status: int = 0
    code: str = ""
    outcome: str = ""
    request_id: str = ""
    sent_ms: int = 0
    first_ms: int | None = None
    last_ms: int = 0
    end_ms: int = 0
    tokens: int = 0
    position_faults_count: int = 0
    is_text_wrong: bool = False
    gaps_ms: list[int] = dataclasses.field(default_factory=list)


class Caller:
    """Sends calls to one entry, one at a time, over one reused connection."""

    def __init__(
        self,
        entry: Address,
        start_ms: int,
        oracle: TextOracle | None,
    ) -> None:
        """Initializes the caller; the first call opens the connection.

        Args:
            entry: The entry's caller address.
            start_ms: Start of the load, on this process's clock.
            oracle: Returns the expected text; None leaves texts unchecked.
        """
        self._host = f"[{entry.ip}]" if ":" in entry.ip else entry.ip
        self._origin = httpcore.Origin(b"http", self._host.encode(), entry.port)
        self._authority = f"{self._host}:{entry.port}"
        self._start_ms = start_ms
        self._oracle = oracle
        self._connection: httpcore.AsyncHTTPConnection | None = None

    async def close(self) -> None:
        """Closes the connection."""
        await self._close_connection()

    async def send(
        self, call: PlannedCall, call_class: CallClass, key: str, timeout_ms: int
    ) -> CallResult:
        """Sends a call and reads its whole answer; network errors set the ending."""
        result = CallResult(sent_ms=self._elapsed_ms())
        try:
            await self._exchange(call, call_class, key, timeout_ms, result)
        except httpcore.TimeoutException:
            result.ending = Ending.TIMED_OUT
        except (httpcore.ConnectError, httpcore.ConnectionNotAvailable):
            result.ending = Ending.CONNECTION_FAILED
        except (httpcore.NetworkError, httpcore.ProtocolError):
            # Before a status arrives there is no answer that could be cut.
            is_cut = result.status == 200 and result.ending is not Ending.BROKEN_OFF
            if is_cut:
                result.ending = Ending.CUT
            elif result.status == 0:
                result.ending = Ending.CONNECTION_FAILED
        finally:
            result.end_ms = self._elapsed_ms()
            if result.ending not in (Ending.ANSWERED, Ending.REFUSED):
                await self._close_connection()
        return result

    async def _close_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            # Shielded, so that a cancelled call closes its connection too.
            with anyio.CancelScope(shield=True):
                await connection.aclose()

    async def _exchange(
        self,
        call: PlannedCall,
        call_class: CallClass,
        key: str,
        timeout_ms: int,
        result: CallResult,
    ) -> None:
        timeout_s = timeout_ms / 1000
        phase_timeouts = {
            name: timeout_s for name in ("connect", "read", "write", "pool")
        }
        connection = self._connection
        if connection is None or connection.has_expired() or connection.is_closed():
            await self._close_connection()
            connection = httpcore.AsyncHTTPConnection(
                origin=self._origin, socket_options=bytestream.OUTGOING_OPTIONS
            )
            self._connection = connection
        body = _body(call, call_class)
        path = (
            call_class.path
            if call_class.kind is CallKind.ROUTE
            else _PATHS[call_class.kind]
        )
        method = call_class.method if call_class.kind is CallKind.ROUTE else "POST"
        url = f"http://{self._authority}{path}"
        async with connection.stream(
            method,
            url,
            headers=_headers(call, call_class, key, self._authority, len(body)),
            content=body,
            extensions={"timeout": phase_timeouts},
        ) as response:
            result.status = response.status
            for name, value in response.headers:
                if name.lower() == b"x-request-id":
                    result.request_id = value.decode("latin-1")
            if response.status == 200 and call_class.stream:
                await self._read_stream(response, call, call_class, result)
            else:
                await self._read_body(response, call, call_class, result)

    async def _read_body(
        self,
        response: httpcore.Response,
        call: PlannedCall,
        call_class: CallClass,
        result: CallResult,
    ) -> None:
        parts = []
        size = 0
        async for part in response.aiter_stream():
            parts.append(part)
            size += len(part)
            if size > ANSWER_LIMIT_BYTES:
                return
        content = b"".join(parts)
        if not 200 <= response.status < 300:
            result.ending = Ending.REFUSED
            result.code, result.outcome = read_refusal(content, response.status)
            return
        result.ending = Ending.ANSWERED
        result.first_ms = result.last_ms = self._elapsed_ms()
        if call_class.kind is not CallKind.ROUTE:
            self._check_body(content, call, call_class, result)

    def _check_body(
        self,
        content: bytes,
        call: PlannedCall,
        call_class: CallClass,
        result: CallResult,
    ) -> None:
        try:
            document = json.loads(content)
            choice = document["choices"][0]
            usage = document.get("usage") or {}
            is_chat = call_class.kind is CallKind.CHAT
            text = choice["message"]["content"] if is_chat else choice["text"]
        except (ValueError, KeyError, IndexError, TypeError):
            result.ending = Ending.CUT
            return
        result.tokens = usage.get("completion_tokens", 0)
        if self._oracle is not None:
            expected = self._oracle(call, call_class, result.tokens)
            result.is_text_wrong = text != expected

    async def _read_stream(
        self,
        response: httpcore.Response,
        call: PlannedCall,
        call_class: CallClass,
        result: CallResult,
    ) -> None:
        splitter = streams.EventSplitter()
        texts: list[str] = []
        async for part in response.aiter_stream():
            for raw_event in splitter.feed(part):
                self._handle_event(raw_event, texts, result)
        if self._oracle is not None:
            expected = self._oracle(call, call_class, result.tokens)
            result.is_text_wrong = "".join(texts) != expected

    def _handle_event(
        self, raw_event: bytes, texts: list[str], result: CallResult
    ) -> None:
        event = streams.parse_event(raw_event)
        if isinstance(event, streams.StreamDone):
            result.ending = Ending.ANSWERED
            return
        if isinstance(event, streams.Malformed):
            code = _read_error_code(raw_event)
            if code:
                result.code = code
                result.ending = Ending.BROKEN_OFF
            return
        if not event.text:
            return
        if event.position != result.tokens:
            result.position_faults_count += 1
        now_ms = self._elapsed_ms()
        if result.first_ms is None:
            result.first_ms = now_ms
        else:
            result.gaps_ms.append(now_ms - result.last_ms)
        result.last_ms = now_ms
        result.tokens += 1
        texts.append(event.text)

    def _elapsed_ms(self) -> int:
        return timers.now_ms() - self._start_ms


_PATHS = {
    CallKind.CHAT: "/v1/chat/completions",
    CallKind.COMPLETION: "/v1/completions",
}


def chat_messages(call: PlannedCall) -> list[dict[str, str]]:
    """Returns the messages of a chat call's body."""
    return [{"role": "user", "content": call.prompt}]


def _body(call: PlannedCall, call_class: CallClass) -> bytes:
    if call_class.kind is CallKind.ROUTE:
        if call_class.method in ("GET", "DELETE"):
            return b""
        return msgspec.json.encode({"call": call.number, "account": call.account})
    document: dict[str, Any] = {
        "model": call.model,
        "max_tokens": call.answer_tokens,
        "stream": call_class.stream,
    }
    if call_class.priority is Priority.BATCH:
        document["priority"] = "batch"
    if call_class.kind is CallKind.CHAT:
        document["messages"] = chat_messages(call)
    else:
        document["prompt"] = call.prompt
    return msgspec.json.encode(document)


def _headers(
    call: PlannedCall, call_class: CallClass, key: str, authority: str, body_bytes: int
) -> list[tuple[str, str]]:
    headers = [("host", authority), ("accept", "*/*")]
    if call_class.kind is not CallKind.ROUTE:
        # Lets the entry refuse early if it can't start the answer in time.
        limit_ms = call_class.first_token_deadline_ms or call_class.deadline_ms
        headers.append(("x-deadline-ms", str(limit_ms)))
    if not call_class.open:
        headers.append(("authorization", f"Bearer {key}"))
    if call_class.idempotency_key:
        headers.append(("idempotency-key", f"{call.account}-{call.number}"))
    if body_bytes or call_class.method not in ("GET", "DELETE"):
        headers.append(("content-type", "application/json"))
        headers.append(("content-length", str(body_bytes)))
    return headers


def read_refusal(content: bytes, status: int) -> tuple[str, str]:
    """Returns the error code and the outcome from a refusal's body.

    The code is `http_` and the status if the body isn't a valid error document.
    """
    try:
        error = json.loads(content)["error"]
        return str(error["code"]), str(error.get("outcome", ""))
    except (ValueError, KeyError, TypeError):
        return f"http_{status}", ""


def _read_error_code(raw_event: bytes) -> str:
    for line in raw_event.split(b"\n"):
        if line.startswith(b"data:"):
            code, _ = read_refusal(line[5:], 0)
            return "" if code == "http_0" else code
    return ""
