"""Fuzz test of an answer assembled from streams that break, mix, repeat or lag."""

import json
import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cassiapitch.streams import (
    Chunk,
    ChunkAdded,
    ChunksMissing,
    EventSplitter,
    GeneratedAnswer,
    parse_event,
)

TEXTS = [f"t{position} " for position in range(12)]


def raw_chunk(request_id, position, *, closing):
    """Returns one event; with `closing` an event without text ends the answer."""
    last = len(TEXTS) if closing else len(TEXTS) - 1
    text = ""
    if position < len(TEXTS):
        text = TEXTS[position] if request_id == "r1" else "foreign "
    choice = {"delta": {"content": text}, "finish_reason": None}
    data = {"id": request_id, "choices": [choice]}
    if position == last:
        choice["finish_reason"] = "stop"
        data["usage"] = {"prompt_tokens": 3, "completion_tokens": len(TEXTS)}
    return b"id: %d\ndata: %s\n\n" % (position, json.dumps(data).encode())


class StreamMachine(RuleBasedStateMachine):
    """Delivers any number of engine streams of one request, mixed with another's."""

    def __init__(self):
        super().__init__()
        self.answer = GeneratedAnswer("r1")
        self.caller_text = b""
        self.connections = {}
        self.streams_count = 0

    def feed(self, data, splitter):
        for raw in splitter.feed(data):
            event = parse_event(raw)
            if isinstance(event, Chunk):
                previous_position = self.answer.next_position
                outcome = self.answer.add_chunk(event)
                if isinstance(outcome, ChunkAdded):
                    self.caller_text += event.text.encode()
                elif isinstance(outcome, ChunksMissing):
                    assert event.position > previous_position

    @rule(closing=st.booleans(), back=st.integers(0, 3))
    def open_stream(self, closing, back):
        """Opens a resumed or continued stream that repeats up to `back` events.

        With `closing` the stream ends with an event without text.
        """
        start = max(0, self.answer.next_position - back)
        self.streams_count += 1
        self.connections[self.streams_count] = (start, EventSplitter(), closing)

    @rule(data=st.data(), size=st.integers(1, 4), crossed=st.booleans())
    def deliver(self, data, size, crossed):
        """Delivers events in two parts; with `crossed`, mixed with another request's."""
        if not self.connections:
            return
        number = data.draw(st.sampled_from(sorted(self.connections)))
        position, splitter, closing = self.connections[number]
        parts = []
        for _ in range(size):
            if position < len(TEXTS) + closing:
                if crossed:
                    parts.append(raw_chunk("other", position, closing=closing))
                parts.append(raw_chunk("r1", position, closing=closing))
                position += 1
        stream = b"".join(parts)
        split_at = data.draw(st.integers(0, len(stream)))
        self.feed(stream[:split_at], splitter)
        self.feed(stream[split_at:], splitter)
        self.connections[number] = (position, splitter, closing)

    @rule(data=st.data(), skipped=st.integers(1, 3))
    def lose(self, data, skipped):
        """Loses chunks although the connection stays open."""
        if self.connections:
            number = data.draw(st.sampled_from(sorted(self.connections)))
            position, splitter, closing = self.connections[number]
            self.connections[number] = (position + skipped, splitter, closing)

    @rule(data=st.data())
    def break_connection(self, data):
        if self.connections:
            number = data.draw(st.sampled_from(sorted(self.connections)))
            position, splitter, _ = self.connections.pop(number)
            if position < len(TEXTS):
                truncated_event = raw_chunk("r1", position, closing=True)[:-7]
                self.feed(truncated_event, splitter)

    @invariant()
    def callers_text_is_the_engines_text(self):
        whole = "".join(TEXTS)
        assert whole.startswith(self.caller_text.decode())
        assert self.answer.text == self.caller_text.decode()
        if self.answer.is_complete:
            assert self.answer.text == whole


StreamMachine.TestCase.settings = (
    settings(max_examples=3_000, stateful_step_count=60, deadline=None)
    if os.environ.get("CASSIAPITCH_FUZZ")
    else settings(
        max_examples=200,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        database=None,
    )
)
TestStreamsFuzz = StreamMachine.TestCase


def test_lost_last_token_is_not_taken_for_the_end():
    """Guards against treating an answer without its last token as complete."""
    answer = GeneratedAnswer("r1")
    for position in (*range(len(TEXTS) - 1), len(TEXTS)):
        event = parse_event(raw_chunk("r1", position, closing=True))
        outcome = answer.add_chunk(event)
    assert isinstance(outcome, ChunksMissing)
    assert not answer.is_complete
