"""Tests of forwarded streams: broken, resumed, and never joined or cut unseen."""

import pytest

from cassiapitch import forwardanswers
from cassiapitch.backend_connection import BackendBrokenError
from tests.forward_world import (
    RESUMABLE,
    STREAM,
    answer_bytes,
    chunk,
    event,
    play,
    stream_head,
)
from tests.test_forwardcall import call, request_counts, request_id


def test_broken_stream_never_looks_complete():
    async def breaks_midway(backend, request, stream):
        await stream.send(stream_head(request_id(request)) + chunk(event(1)))
        await stream.send(chunk(b"id: 2\ndata: hal"))
        return "close"

    reply, world = play(call, STREAM, breaks_midway, breaks_midway)
    assert event(1) in reply
    assert not reply.endswith(b"0\r\n\r\n")
    assert b"hal" not in reply
    assert sum(request_counts(world)) == 1


def test_resumable_stream_continues_elsewhere_without_gap_or_repeat():
    started = []

    async def serves(backend, request, stream):
        await stream.send(stream_head(request_id(request)))
        if not started:
            started.append(backend.name)
            await stream.send(chunk(event(1) + event(2) + b"id: 3\ndata: to"))
            return "close"
        last = int(request[2].get("last-event-id", 0))
        for number in range(last + 1, 6):
            await stream.send(chunk(event(number)))
        await stream.send(b"0\r\n\r\n")

    reply, world = play(call, RESUMABLE, serves, serves)
    assert reply.endswith(b"0\r\n\r\n")
    numbers = [int(line.split(b":")[1]) for line in _id_lines(reply)]
    assert numbers == [1, 2, 3, 4, 5]
    assert request_counts(world) == [1, 1]


async def streams_five(backend, request, stream):
    """Streams what is left of five events."""
    await stream.send(stream_head(request_id(request)))
    for number in range(int(request[2].get("last-event-id", 0)) + 1, 6):
        await stream.send(chunk(event(number)))
    await stream.send(b"0\r\n\r\n")


def numbers_of(reply):
    return [int(line.split(b":")[1]) for line in _id_lines(reply)]


def test_events_that_an_attempt_may_not_send_come_from_the_next_one():
    """Guards against a stream without the events of an attempt that was given up."""

    async def scenario(world):
        relay = world.server._forwarder.response_relay
        handle_answer_begun = relay._on_answer_begun

        async def give_up_once(forward_call, slot):
            relay._on_answer_begun = handle_answer_begun
            raise BackendBrokenError("the log doesn't say what began the stream")

        relay._on_answer_begun = give_up_once
        return await world.call()

    reply = play(scenario, RESUMABLE, streams_five, streams_five)
    assert reply.endswith(b"0\r\n\r\n")
    assert numbers_of(reply) == [1, 2, 3, 4, 5]


def test_events_before_too_many_bytes_without_an_id_come_from_the_next_attempt(
    monkeypatch,
):
    """Guards against a stream without the events that came in the same read."""
    started = []

    async def serves(backend, request, stream):
        if started:
            return await streams_five(backend, request, stream)
        started.append(backend.name)
        await stream.send(stream_head(request_id(request)) + chunk(event(1)))
        await stream.send(chunk(event(2) + b": x\n\n" * 201))
        return None

    monkeypatch.setattr(forwardanswers, "UNNUMBERED_EVENTS_LIMIT_BYTES", 1_000)
    reply = play(call, RESUMABLE, serves, serves)[0]
    assert reply.endswith(b"0\r\n\r\n")
    assert numbers_of(reply) == [1, 2, 3, 4, 5]


@pytest.mark.parametrize("status", [500, 404, 503])
@pytest.mark.parametrize("repeat", [STREAM, RESUMABLE])
def test_error_of_the_next_backend_server_never_reaches_a_begun_stream(status, repeat):
    """Guards against an error's text in the middle of a stream, or a false end."""
    started = []

    async def breaks_then_fails(backend, request, stream):
        if started:
            answer = answer_bytes(request_id(request), b"out of order", status=status)
            await stream.send(answer)
            return None
        started.append(backend.name)
        await stream.send(stream_head(request_id(request)))
        await stream.send(b"".join(chunk(event(number)) for number in range(1, 7)))
        return "close"

    reply = play(call, repeat, *[breaks_then_fails] * 3)[0]
    assert numbers_of(reply) == [1, 2, 3, 4, 5, 6]
    assert not reply.endswith(b"0\r\n\r\n")
    assert b"out of order" not in reply
    assert reply.count(b"HTTP/1.1") == 1


def test_resumed_stream_ends_incomplete_after_the_last_attempt():
    async def breaks_midway(backend, request, stream):
        await stream.send(stream_head(request_id(request)) + chunk(event(1)))
        return "close"

    reply, world = play(call, RESUMABLE, *[breaks_midway] * 3, attempts=2)
    assert not reply.endswith(b"0\r\n\r\n")
    assert sum(request_counts(world)) == 2


def _id_lines(reply):
    return [line for line in reply.split(b"\n") if line.startswith(b"id:")]


def test_stream_whose_connection_ends_before_its_first_event_is_retried():
    async def ends_at_once(backend, request, stream):
        head = stream_head(request_id(request))
        await stream.send(head.replace(b"Transfer-Encoding: chunked\r\n", b""))
        return "close"

    async def streams(backend, request, stream):
        await stream.send(stream_head(request_id(request)) + chunk(event(1)))
        await stream.send(b"0\r\n\r\n")

    reply, _ = play(call, RESUMABLE, ends_at_once, streams)
    assert event(1) in reply
    assert reply.endswith(b"0\r\n\r\n")


def test_stream_that_breaks_off_before_its_first_event_is_retried():
    """Guards against a caller that gets the head of a stream without any event."""

    async def sends_head_only(backend, request, stream):
        await stream.send(stream_head(request_id(request)))
        return "close"

    async def streams(backend, request, stream):
        await stream.send(stream_head(request_id(request)) + chunk(event(1)))
        await stream.send(b"0\r\n\r\n")

    reply, _ = play(call, RESUMABLE, sends_head_only, streams)
    assert reply.startswith(b"HTTP/1.1 200")
    assert reply.count(b"HTTP/1.1") == 1
    assert reply.endswith(b"0\r\n\r\n")
    assert reply.count(b"data: token-1") == 1
    reply, world = play(call, STREAM, sends_head_only, sends_head_only)
    assert reply.startswith(b"HTTP/1.1 502")
    assert sum(request_counts(world)) == 1
