"""Formats of the OpenAI-compatible interface: requests, answers and refusals."""

import dataclasses
import hashlib
import math
from typing import Any

import msgspec

from cassiapitch.error_kinds import (
    ERROR_RESPONSES,
    ErrorKind,
    Refusal,
    RunOutcome,
)
from cassiapitch.prefixes import DIGESTED_CHARACTERS
from cassiapitch.streams import GeneratedAnswer
from cassiapitch.types import Priority, RequestDigest

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
DEFAULT_MAX_TOKENS = 256
BYTES_PER_TOKEN = 4
URGENT_DEADLINE_MS = 30_000
BATCH_DEADLINE_MS = 600_000
LARGEST_DEADLINE_MS = 24 * 3_600_000

# Fields that the entry sets itself in requests to engines, or that don't affect the
# content of an answer; a request's digest omits them.
_UNDIGESTED_FIELDS = ("stream", "stream_options", "priority", "user")


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A parsed request for generated text.

    Attributes:
        path: Path of the request, the same at the entry and at the engine.
        model: Name of a model or an adapter.
        stream: Whether the caller wants a streamed answer.
        max_tokens: Limit on the tokens of the answer, or None for the default.
        priority: Urgent or batch.
        prompt_start: As much of the prompt's text as its prefixes are digested from. A
            copy of the whole prompt would take as much again as the decoded body.
        prompt_tokens: Estimated tokens of the prompt.
        body: The decoded body.
        digest: Digest of the path and the fields that affect the answer.
    """

    path: str
    model: str
    stream: bool
    max_tokens: int | None
    priority: Priority
    prompt_start: str
    prompt_tokens: int
    body: dict[str, Any]
    digest: RequestDigest


def parse_generation(
    path: str, data: bytes, priority_header: str | None
) -> GenerationRequest | Refusal:
    """Parses the body of a request for generated text."""
    try:
        body = msgspec.json.decode(data)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError):
        return Refusal(ErrorKind.BAD_JSON, "the body is not valid JSON")
    if not isinstance(body, dict):
        return Refusal(ErrorKind.BAD_JSON, "the body is not a JSON object")
    invalid_reason = _invalid_reason(path, body, priority_header)
    if invalid_reason is not None:
        return Refusal(ErrorKind.BAD_REQUEST, invalid_reason)
    prompt = _prompt_text(path, body)
    batch = (priority_header or body.get("priority")) == "batch"
    digested = {
        key: value for key, value in body.items() if key not in _UNDIGESTED_FIELDS
    }
    try:
        content = msgspec.json.encode(digested, order="deterministic")
    except (OverflowError, RecursionError):
        return Refusal(ErrorKind.BAD_REQUEST, "a number or a nesting is too large")
    return GenerationRequest(
        path=path,
        model=body["model"],
        stream=body.get("stream") or False,
        max_tokens=body.get("max_completion_tokens") or body.get("max_tokens"),
        priority=Priority.BATCH if batch else Priority.URGENT,
        prompt_start=prompt[:DIGESTED_CHARACTERS],
        prompt_tokens=math.ceil(len(prompt.encode()) / BYTES_PER_TOKEN),
        body=body,
        digest=RequestDigest(combined_digest(path, content)),
    )


def combined_digest(*parts: str | bytes) -> str:
    """Returns the SHA-256 digest of parts, each prefixed with its length.

    The lengths keep different parts with the same concatenation apart.
    """
    hasher = hashlib.sha256()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(b"%d:" % len(data))
        hasher.update(data)
    return hasher.hexdigest()


def _invalid_reason(
    path: str, body: dict[str, Any], priority_header: str | None
) -> str | None:
    if not isinstance(body.get("model"), str) or not body["model"]:
        return "model: expected a string"
    if not isinstance(body.get("stream") or False, bool):
        return "stream: expected a boolean"
    for name in ("max_tokens", "max_completion_tokens"):
        value = body.get(name)
        if value is not None and (type(value) is not int or value < 1):
            return f"{name}: expected a whole number from 1"
    # An answer is resumed by token position, which is defined for one choice only.
    for name in ("n", "best_of"):
        if body.get(name) not in (None, 1):
            return f"{name}: only 1 is supported"
    for value in (body.get("priority"), priority_header):
        if value not in (None, "urgent", "batch"):
            return "priority: expected urgent or batch"
    if path == CHAT_PATH:
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            return "messages: expected a list with at least one message"
        if not all(isinstance(message, dict) for message in messages):
            return "messages: expected objects"
    elif not isinstance(body.get("prompt"), str):
        return "prompt: expected a string"
    return None


def _prompt_text(path: str, body: dict[str, Any]) -> str:
    """Returns the text used to estimate tokens and to digest prefixes."""
    if path == COMPLETIONS_PATH:
        return body["prompt"]
    return msgspec.json.encode(body["messages"], order="sorted").decode()


def engine_body(
    request: GenerationRequest,
    model: str,
    adapter: str | None,
    max_tokens: int,
    answer: GeneratedAnswer,
) -> bytes:
    """Returns the body of a request to an engine.

    If a part of the answer exists already, the body asks for its continuation.
    """
    body = dict(request.body)
    for name in (*_UNDIGESTED_FIELDS, "max_completion_tokens", "adapter"):
        body.pop(name, None)
    body.pop("continue_text", None)
    body.pop("continue_position", None)
    body["model"] = model
    body["stream"] = True
    body["max_tokens"] = max_tokens
    body["priority"] = request.priority.value
    if adapter is not None:
        body["adapter"] = adapter
    if answer.next_position:
        body["continue_text"] = answer.text
        body["continue_position"] = answer.next_position
    return msgspec.json.encode(body)


def complete_answer_body(
    path: str, answer: GeneratedAnswer, prompt_tokens: int, name: str
) -> bytes:
    """Returns the body of an answer that isn't streamed."""
    prompt = prompt_tokens if answer.usage is None else answer.usage.prompt_tokens
    completion = generated_tokens(answer)
    if path == CHAT_PATH:
        kind = "chat.completion"
        content = {"message": {"role": "assistant", "content": answer.text}}
    else:
        kind = "text_completion"
        content = {"text": answer.text}
    choice = {"index": 0, **content, "finish_reason": answer.finish_reason}
    document = {
        "id": answer.request_id,
        "object": kind,
        "created": answer.created,
        "model": name,
        "choices": [choice],
        "usage": {
            "prompt_tokens": prompt,
            "completion_tokens": completion,
            "total_tokens": prompt + completion,
        },
    }
    return msgspec.json.encode(document)


def generated_tokens(answer: GeneratedAnswer) -> int:
    """Returns the number of generated tokens.

    An engine that continued an answer may count only its own part, so the number of
    positions is used where it is larger.
    """
    if answer.usage is None:
        return answer.next_position
    return max(answer.usage.completion_tokens, answer.next_position - 1)


def deadline_ms(header: str | None, priority: Priority, now_ms: int) -> int | None:
    """Returns the time by which the response to a request must have begun.

    Returns None if `X-Deadline-Ms` isn't a whole number above 0.
    """
    urgent = priority is Priority.URGENT
    default_ms = URGENT_DEADLINE_MS if urgent else BATCH_DEADLINE_MS
    if header is None:
        return now_ms + default_ms
    if not header.isascii() or not header.isdigit() or int(header) == 0:
        return None
    largest_ms = default_ms if urgent else LARGEST_DEADLINE_MS
    return now_ms + min(int(header), largest_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalAnswer:
    """A refusal as an HTTP response."""

    status: int
    body: bytes
    headers: list[tuple[bytes, bytes]]


# With these the outcome "unknown" is that of another call with the same key, not of
# the refused call.
_ABOUT_ANOTHER_CALL = (ErrorKind.CLAIM_RUNNING, ErrorKind.CLAIM_UNKNOWN)


def run_outcome(refusal: Refusal, may_have_run: bool) -> RunOutcome:
    """Returns the outcome stated for a refused request; `not_run` only if certain."""
    if may_have_run:
        return RunOutcome.UNKNOWN
    if refusal.kind in _ABOUT_ANOTHER_CALL:
        return RunOutcome.UNKNOWN
    return RunOutcome.NOT_RUN


def refusal_document(
    refusal: Refusal, request_id: str, may_have_run: bool
) -> dict[str, Any]:
    """Returns the JSON object of a refusal."""
    answer = ERROR_RESPONSES[refusal.kind]
    return {
        "error": {
            "type": answer.type,
            "code": refusal.kind.value,
            "message": refusal.message,
            "outcome": run_outcome(refusal, may_have_run).value,
            "request_id": request_id,
        }
    }


def refusal_answer(
    refusal: Refusal, request_id: str, may_have_run: bool
) -> RefusalAnswer:
    """Returns the HTTP response of a refusal, with its status and `Retry-After`."""
    answer = ERROR_RESPONSES[refusal.kind]
    headers = [(b"x-request-id", request_id.encode())]
    retry_s = answer.retry_after_s
    if refusal.retry_after_ms is not None:
        retry_s = max(1, math.ceil(refusal.retry_after_ms / 1000))
    if retry_s is not None:
        headers.append((b"retry-after", str(retry_s).encode()))
    if answer.status == 401:
        headers.append((b"www-authenticate", b"Bearer"))
    document = refusal_document(refusal, request_id, may_have_run)
    return RefusalAnswer(answer.status, msgspec.json.encode(document), headers)
