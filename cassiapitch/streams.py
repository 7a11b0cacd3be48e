"""Assembles an answer from engines' event streams, by token position.

Chunks that are duplicated or belong to another request are ignored; a missing chunk is
detected.
"""

import dataclasses

import msgspec

DONE = b"[DONE]"


class _Delta(msgspec.Struct):
    content: str | None = None
    role: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class Usage(msgspec.Struct):
    """Token counts that an engine states."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Data(msgspec.Struct):
    id: str = ""
    model: str = ""
    created: int = 0
    choices: list[_Choice] = []
    usage: Usage | None = None


_decoder = msgspec.json.Decoder(_Data)


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """One event of an engine's stream.

    Attributes:
        position: Token position, from 0.
        request_id: Id of the request that it belongs to.
        text: Generated text.
        finish_reason: Set on the last event only.
        usage: Set on the last event only.
        model: Model name that the engine states.
        created: Time that the engine states.
        raw: The event's bytes, including the empty line at its end.
    """

    position: int
    request_id: str
    text: str
    finish_reason: str | None
    usage: Usage | None
    model: str
    created: int
    raw: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class StreamDone:
    """The engine's `[DONE]` event."""


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """An event that isn't a chunk."""


def parse_event(raw: bytes) -> Chunk | StreamDone | Malformed:
    """Decodes one server-sent event."""
    position = -1
    data = b""
    for line in raw.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].strip()
        elif line.startswith(b"id:"):
            digits = line[3:].strip()
            position = int(digits) if digits.isdigit() else -1
    if data == DONE:
        return StreamDone()
    if position < 0:
        return Malformed()
    try:
        body = _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return Malformed()
    text = ""
    finish_reason = None
    if body.choices:
        choice = body.choices[0]
        finish_reason = choice.finish_reason
        if choice.delta is not None:
            text = choice.delta.content or ""
        else:
            text = choice.text or ""
    return Chunk(
        position,
        body.id,
        text,
        finish_reason,
        body.usage,
        body.model,
        body.created,
        raw,
    )


class EventSplitter:
    """Splits the bytes of an engine's stream into server-sent events.

    Forwarded streams are split by `eventstream.EventSplitter`.
    """

    def __init__(self, limit_bytes: int = 1024 * 1024) -> None:
        self._pending = b""
        self._limit_bytes = limit_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the events that are now complete.

        Raises:
            ValueError: An event is larger than the limit.
        """
        data = self._pending + data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        parts = data.split(b"\n\n")
        self._pending = parts.pop()
        if len(self._pending) > self._limit_bytes:
            raise ValueError("an event is larger than the limit")
        return [part + b"\n\n" for part in parts if part.strip()]


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkAdded:
    """The chunk was the next one of the answer and was added."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChunkIgnored:
    """The chunk belongs to another request, or was added already."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChunksMissing:
    """Chunks before this one were lost; the stream must be resumed."""


class GeneratedAnswer:
    """One answer under construction, from any number of engine streams.

    Every event has its own position, even one that only ends the answer. If that event
    shared the position of the last token, the loss of the last token would go
    unnoticed.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.next_position = 0
        self.finish_reason: str | None = None
        self.usage: Usage | None = None
        self.model = ""
        self.created = 0
        # One buffer in UTF-8: an object for each token takes ten times its bytes. With
        # 85 unread answers of up to 1,000 tokens, the process took 2 to 4 MiB more.
        self._text = bytearray()

    @property
    def is_complete(self) -> bool:
        """Whether the last event was added."""
        return self.finish_reason is not None

    @property
    def text(self) -> str:
        """The text so far."""
        return self._text.decode("utf-8", "surrogatepass")

    @property
    def text_bytes(self) -> int:
        """Size of the text so far."""
        return len(self._text)

    def add_chunk(self, chunk: Chunk) -> ChunkAdded | ChunkIgnored | ChunksMissing:
        """Adds a chunk if it is the next one of this answer."""
        if chunk.request_id != self.request_id or self.is_complete:
            return ChunkIgnored()
        if chunk.position > self.next_position:
            return ChunksMissing()
        if chunk.position < self.next_position:
            return ChunkIgnored()
        self.next_position += 1
        self._text += chunk.text.encode("utf-8", "surrogatepass")
        self.model = self.model or chunk.model
        self.created = self.created or chunk.created
        if chunk.finish_reason is not None:
            self.finish_reason = chunk.finish_reason
            self.usage = chunk.usage
        return ChunkAdded()
