"""Answers of a stand-in engine in the format of OpenAI's API."""

from typing import Any

import msgspec

from cassiapitch.standin_streams import Generation, prompt_tokens, token_text


def chunk_event(generation: Generation, position: int) -> bytes:
    """Returns the server-sent event of one token."""
    text = token_text(generation.model, generation.adapter, generation.prompt, position)
    part = {"delta": {"content": text}} if generation.is_chat else {"text": text}
    choice = {"index": 0, **part, "finish_reason": None}
    return _event(position, _document(generation, "chunk", choice))


def final_event(generation: Generation) -> bytes:
    """Returns the server-sent events that end a complete answer."""
    part: dict[str, Any] = {"delta": {}} if generation.is_chat else {"text": ""}
    choice = {"index": 0, **part, "finish_reason": _finish_reason(generation)}
    document = _document(generation, "chunk", choice) | {"usage": _usage(generation)}
    return _event(generation.token_count, document) + b"data: [DONE]\n\n"


def whole_answer(generation: Generation) -> dict[str, Any]:
    """Returns the body of an answer that isn't streamed."""
    text = "".join(
        token_text(generation.model, generation.adapter, generation.prompt, position)
        for position in range(generation.start, generation.token_count)
    )
    message = {"message": {"role": "assistant", "content": text}}
    part = message if generation.is_chat else {"text": text}
    choice = {"index": 0, **part, "finish_reason": _finish_reason(generation)}
    return _document(generation, "", choice) | {"usage": _usage(generation)}


def _document(
    generation: Generation, suffix: str, choice: dict[str, Any]
) -> dict[str, Any]:
    kind = "chat.completion" if generation.is_chat else "text_completion"
    if suffix and generation.is_chat:
        kind = f"{kind}.{suffix}"
    return {
        "id": generation.request_id,
        "object": kind,
        "created": 0,
        "model": generation.adapter or generation.model,
        "choices": [choice],
    }


def _finish_reason(generation: Generation) -> str:
    return "stop" if generation.token_count else "length"


def _usage(generation: Generation) -> dict[str, int]:
    prompt_count = prompt_tokens(generation.prompt)
    return {
        "prompt_tokens": prompt_count,
        "completion_tokens": generation.token_count,
        "total_tokens": prompt_count + generation.token_count,
    }


def _event(position: int, document: dict[str, Any]) -> bytes:
    return b"id: %d\ndata: %s\n\n" % (position, msgspec.json.encode(document))
