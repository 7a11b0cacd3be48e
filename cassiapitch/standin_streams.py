"""Continuous batching of a stand-in engine; no socket, no clock.

Text of token i is a function of prompt and i, so that a continued answer is the
same whichever engine generates it, and callers can check for gaps and repeats.
"""

import collections
import dataclasses
import hashlib
import random

import msgspec

from cassiapitch import prefixes
from cassiapitch.types import Priority

DEFAULT_MAX_TOKENS = 256
SHORTEST_ANSWER_TOKENS = 8
ANSWER_SPREAD_TOKENS = 120
CRASH_MARK = "CRASH-ENGINE"


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A request to generate text, as `parse_generation` reads it from a body.

    Attributes:
        request_id: Identity of the request.
        is_chat: Whether it came by the chat route.
        model: The model.
        adapter: The adapter, or empty.
        prompt: Its prompt; for a chat the messages as JSON.
        priority: Urgent requests are admitted before batch requests.
        stream: Whether the answer is streamed.
        token_count: Length of the whole answer.
        start: Position of the first token to generate.
        crash: Whether running it crashes the engine.
    """

    request_id: str
    is_chat: bool
    model: str
    adapter: str
    prompt: str
    priority: Priority
    stream: bool
    token_count: int
    start: int
    crash: bool


def parse_generation(request_id: str, path: str, body: bytes) -> Generation:
    """Reads a body of `/v1/chat/completions` or `/v1/completions`.

    Raises:
        ValueError: The body isn't a valid request.
    """
    document = msgspec.json.decode(body)
    if not isinstance(document, dict) or not isinstance(document.get("model"), str):
        raise ValueError("the body has no model")
    is_chat = path.endswith("/chat/completions")
    prompt = document.get("messages" if is_chat else "prompt")
    if prompt is None:
        raise ValueError("the body has no prompt")
    if not isinstance(prompt, str):
        prompt = msgspec.json.encode(prompt, order="sorted").decode()
    max_tokens = document.get("max_tokens")
    max_tokens = DEFAULT_MAX_TOKENS if max_tokens is None else int(max_tokens)
    count = (
        max_tokens
        if document.get("ignore_eos")
        else min(max_tokens, answer_length(prompt))
    )
    return Generation(
        request_id=request_id,
        is_chat=is_chat,
        model=document["model"],
        adapter=document.get("adapter") or "",
        prompt=prompt,
        priority=Priority(document.get("priority") or Priority.URGENT),
        stream=bool(document.get("stream")),
        token_count=max(0, count),
        start=int(document.get("continue_position") or 0),
        crash=CRASH_MARK.encode() in body,
    )


def answer_length(prompt: str) -> int:
    """Returns how many tokens the model would generate without a limit."""
    number = int.from_bytes(hashlib.sha256(prompt.encode()).digest()[:4])
    return SHORTEST_ANSWER_TOKENS + number % ANSWER_SPREAD_TOKENS


def token_text(model: str, adapter: str, prompt: str, position: int) -> str:
    """Returns the text of one token."""
    content = "\0".join((model, adapter, prompt, str(position)))
    return " w" + hashlib.sha256(content.encode()).hexdigest()[:6]


def prompt_tokens(prompt: str) -> int:
    """Returns the prompt's length in tokens of four characters."""
    return max(1, len(prompt) // 4)


@dataclasses.dataclass(slots=True)
class Stream:
    """A generation that waits or runs.

    Attributes:
        generation: What to generate.
        next_position: Position of the next token.
        prefill_steps: Steps until the first token.
        reader_count: Connections that read it.
        detached_ms: Since when none reads it.
        done: Whether it has ended.
        cancelled: Whether it ended early.
        version: Grows with each change, for readers that wait.
    """

    generation: Generation
    next_position: int
    prefill_steps: int = 0
    reader_count: int = 0
    detached_since_ms: int = 0
    done: bool = False
    cancelled: bool = False
    version: int = 0


class Batch:
    """Requests that wait and run on one engine."""

    def __init__(
        self,
        *,
        max_running_count: int,
        resume_ms: int,
        prefill_tokens_per_step: int,
        cache_prefixes_count: int,
        cache_gap_ratio: float,
        rng: random.Random,
    ) -> None:
        """Starts empty; see `StandinSettings` for the limits."""
        self.streams: dict[str, Stream] = {}
        self.running: list[Stream] = []
        self._waiting = {priority: collections.deque() for priority in Priority}
        self._max_running_count = max_running_count
        self._resume_ms = resume_ms
        self._prefill_tokens_per_step = prefill_tokens_per_step
        self._cache: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._cache_limit = cache_prefixes_count
        self._gap_ratio = cache_gap_ratio
        self._rng = rng
        self._published: collections.OrderedDict[str, int] = collections.OrderedDict()

    def add(self, generation: Generation, now_ms: int) -> Stream:
        """Queues a request; it replaces an ended one of the same id."""
        stream = Stream(generation, generation.start, detached_since_ms=now_ms)
        self.streams[generation.request_id] = stream
        self._waiting[generation.priority].append(stream)
        return stream

    def waiting_count(self) -> int:
        """Returns how many requests wait."""
        return sum(
            not stream.done for queue in self._waiting.values() for stream in queue
        )

    def uses(self, name: str, is_adapter: bool) -> bool:
        """Tells whether a request that waits or runs needs a model or adapter."""
        return any(
            (stream.generation.adapter if is_adapter else stream.generation.model)
            == name
            for stream in self.streams.values()
            if not stream.done
        )

    def cancel(self, request_id: str) -> bool:
        """Ends a request early; returns whether it was there."""
        stream = self.streams.get(request_id)
        if stream is None or stream.done:
            return False
        stream.cancelled = True
        _end_stream(stream)
        return True

    def step(self, now_ms: int) -> list[Stream]:
        """Generates one token for each running request; returns these requests."""
        self._drop_abandoned(now_ms)
        self.running = [stream for stream in self.running if not stream.done]
        self._admit(now_ms)
        for stream in self.running:
            _advance(stream)
        return self.running

    def cached_prefixes(self, now_ms: int, lag_ms: int) -> tuple[str, ...]:
        """Returns the cache events that are published by now, with their gaps."""
        return tuple(
            digest
            for digest, time_ms in self._published.items()
            if time_ms + lag_ms <= now_ms
        )

    def _admit(self, now_ms: int) -> None:
        for priority in (Priority.URGENT, Priority.BATCH):
            queue = self._waiting[priority]
            while queue and len(self.running) < self._max_running_count:
                stream = queue.popleft()
                if stream.done:
                    continue
                stream.prefill_steps = self._count_prefill_steps(
                    stream.generation, now_ms
                )
                self.running.append(stream)

    def _count_prefill_steps(self, generation: Generation, now_ms: int) -> int:
        digests = prefixes.prefix_digests(generation.model, generation.prompt)
        cached_count = sum(digest in self._cache for digest in digests)
        cached_tokens = cached_count * prefixes.BLOCK_CHARACTERS // 4
        for digest in digests:
            self._cache_prefix(digest, now_ms)
        uncached_tokens = prompt_tokens(generation.prompt) - cached_tokens
        return max(0, uncached_tokens) // self._prefill_tokens_per_step

    def _cache_prefix(self, digest: str, now_ms: int) -> None:
        if digest not in self._cache and self._rng.random() >= self._gap_ratio:
            self._published[digest] = now_ms
        self._cache[digest] = now_ms
        self._cache.move_to_end(digest)
        while len(self._cache) > self._cache_limit:
            evicted, _ = self._cache.popitem(last=False)
            # The removal is published like any event, so it may be missing too.
            if self._rng.random() >= self._gap_ratio:
                self._published.pop(evicted, None)
        while len(self._published) > 2 * self._cache_limit:
            self._published.popitem(last=False)

    def _drop_abandoned(self, now_ms: int) -> None:
        for request_id, stream in list(self.streams.items()):
            has_no_reader = stream.reader_count == 0
            if has_no_reader and stream.detached_since_ms + self._resume_ms <= now_ms:
                self.cancel(request_id)
                del self.streams[request_id]


def _advance(stream: Stream) -> None:
    if stream.prefill_steps > 0:
        stream.prefill_steps -= 1
        return
    if stream.next_position < stream.generation.token_count:
        stream.next_position += 1
    if stream.next_position >= stream.generation.token_count:
        _end_stream(stream)
    stream.version += 1


def _end_stream(stream: Stream) -> None:
    stream.done = True
    stream.version += 1
