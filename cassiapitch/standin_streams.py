"""Continuous batching of a stand-in engine, without I/O or a clock.

The text of token i is a function of the model, the adapter, the prompt and i. A
continued answer is therefore the same on every engine, and callers can detect missing
and repeated tokens.
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
    """A request to generate text, parsed from its body by `parse_generation`.

    Attributes:
        request_id: Id of the request.
        is_chat: Whether it was sent to the chat route.
        model: The model.
        adapter: The adapter, or empty.
        prompt: The prompt; for a chat, the messages as JSON.
        priority: Urgent requests are admitted before batch requests.
        stream: Whether the answer is streamed.
        token_count: Number of tokens of the whole answer.
        start: Position of the first token to generate.
        crash: Whether running the request crashes the engine.
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
    """Parses a body of `/v1/chat/completions` or `/v1/completions`.

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
    """Returns the number of tokens that the model generates without a limit."""
    number = int.from_bytes(hashlib.sha256(prompt.encode()).digest()[:4])
    return SHORTEST_ANSWER_TOKENS + number % ANSWER_SPREAD_TOKENS


def token_text(model: str, adapter: str, prompt: str, position: int) -> str:
    """Returns the text of one token."""
    content = "\0".join((model, adapter, prompt, str(position)))
    return " w" + hashlib.sha256(content.encode()).hexdigest()[:6]


def prompt_tokens(prompt: str) -> int:
    """Returns the length of a prompt in tokens, at four characters per token."""
    return max(1, len(prompt) // 4)


@dataclasses.dataclass(slots=True)
class Stream:
    """A generation that waits or runs.

    Attributes:
        generation: What to generate.
        next_position: Position of the next token.
        prefill_steps: Remaining prefill steps before the first token.
        reader_count: Number of connections that read the stream.
        detached_since_ms: Since when no connection reads the stream.
        done: Whether the generation has ended.
        cancelled: Whether the generation ended early.
        version: Incremented on each change.
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
    """Waiting and running requests of one engine, and its prefix cache."""

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
        """Starts empty; `StandinSettings` describes the parameters."""
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
        """Queues a request; replaces the ended stream of an earlier one with its id."""
        stream = Stream(generation, generation.start, detached_since_ms=now_ms)
        self.streams[generation.request_id] = stream
        self._waiting[generation.priority].append(stream)
        return stream

    def waiting_count(self) -> int:
        """Returns the number of waiting requests."""
        return sum(
            not stream.done for queue in self._waiting.values() for stream in queue
        )

    def uses(self, name: str, is_adapter: bool) -> bool:
        """Returns whether a waiting or running request uses a model or adapter."""
        return any(
            (stream.generation.adapter if is_adapter else stream.generation.model)
            == name
            for stream in self.streams.values()
            if not stream.done
        )

    def cancel(self, request_id: str) -> bool:
        """Ends a request early; returns False if it is unknown or has ended."""
        stream = self.streams.get(request_id)
        if stream is None or stream.done:
            return False
        stream.cancelled = True
        _end_stream(stream)
        return True

    def step(self, now_ms: int) -> list[Stream]:
        """Runs one step for each running request; returns the running requests."""
        self._drop_abandoned(now_ms)
        self.running = [stream for stream in self.running if not stream.done]
        self._admit(now_ms)
        for stream in self.running:
            _advance(stream)
        return self.running

    def cached_prefixes(self, now_ms: int, lag_ms: int) -> tuple[str, ...]:
        """Returns the prefixes that are cached according to the published events.

        Some events are never published, as `cache_gap_ratio` sets.
        """
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
            # The event of an eviction may also be unpublished.
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
