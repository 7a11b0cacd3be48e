"""Tests with backend servers that send bytes without end instead of a response."""

import resource

import anyio
import pytest

from cassiapitch.backend_connection import (
    DISCARD_LIMIT_BYTES,
    HEAD_LIMIT_BYTES,
    INTERIM_LIMIT_COUNT,
)
from cassiapitch.eventstream import EVENT_LIMIT_BYTES
from cassiapitch.forwardanswers import (
    RESPONSE_LIMIT_BYTES,
    UNNUMBERED_EVENTS_LIMIT_BYTES,
)
from tests.forward_world import ONCE, STREAM, answer_bytes, chunk, play, stream_head

PIECE_BYTES = 16_384
# Bytes that the kernel and the reader may buffer between the two sides.
BUFFERED_BYTES = 8 * 1024 * 1024
MEMORY_LIMIT_MIB = 64


class Endless:
    """Sends a beginning and then repeats one piece until the connection is closed."""

    def __init__(self, make_beginning, piece, pause_s=0.0):
        self._make_beginning, self._piece, self._pause_s = (
            make_beginning,
            piece,
            pause_s,
        )
        self.sent_bytes = 0
        self.disconnected = anyio.Event()

    async def __call__(self, backend, request, stream):
        await stream.send(self._make_beginning(request[2]["request-id"]))
        try:
            while True:
                await stream.send(self._piece)
                self.sent_bytes += len(self._piece)
                await anyio.sleep(self._pause_s)
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            self.disconnected.set()
        return "close"


def unframed_head(request_id):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: seal\r\n"
    return f"{head}Connection: close\r\n\r\n".encode()


def declined_head(request_id):
    whole = answer_bytes(request_id, b"", status=503, headers=["Not-Executed: 1"])
    return whole.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")


PIECE = b"x" * PIECE_BYTES
CASES = {
    "head without end": (
        ONCE,
        lambda request_id: b"HTTP/1.1 200 OK\r\nA: ",
        PIECE,
        HEAD_LIMIT_BYTES,
    ),
    "heads without end": (
        ONCE,
        lambda request_id: b"",
        b"HTTP/1.1 102 Processing\r\nA: %s\r\n\r\n" % PIECE,
        INTERIM_LIMIT_COUNT * 2 * PIECE_BYTES,
    ),
    "no response at all": (ONCE, lambda request_id: b"", PIECE, HEAD_LIMIT_BYTES),
    "body of an answer": (ONCE, unframed_head, PIECE, RESPONSE_LIMIT_BYTES),
    "body of a refusal": (ONCE, declined_head, chunk(PIECE), DISCARD_LIMIT_BYTES),
    "event without end": (STREAM, stream_head, chunk(PIECE), EVENT_LIMIT_BYTES),
    "comments without end": (
        STREAM,
        stream_head,
        chunk(b": nothing\n\n" * 1_000),
        UNNUMBERED_EVENTS_LIMIT_BYTES,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_bytes_without_end_are_cut_off_and_reach_no_caller_as_an_answer(name):
    repeat, make_beginning, piece, limit_bytes = CASES[name]
    endless = Endless(make_beginning, piece)
    before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss

    async def scenario(world):
        reply = await world.call()
        with anyio.fail_after(5):
            await endless.disconnected.wait()
        return reply

    reply = play(scenario, repeat, endless)
    grown_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib
    assert endless.sent_bytes <= limit_bytes + BUFFERED_BYTES
    assert grown_kib <= MEMORY_LIMIT_MIB * 1024
    if repeat is ONCE:
        assert reply.startswith((b"HTTP/1.1 502", b"HTTP/1.1 503"))
        assert PIECE[:100] not in reply
    else:
        assert PIECE[:100] not in reply
        # A response that has begun must not look complete.
        assert not reply.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("repeat", [ONCE, STREAM])
def test_byte_now_and_then_ends_at_the_deadline(repeat):
    """Guards against a stalled response that stays open since a byte still comes."""
    make_beginning = unframed_head if repeat is ONCE else stream_head
    piece = b"x" if repeat is ONCE else chunk(b":\n")
    endless = Endless(make_beginning, piece, pause_s=0.05)

    async def scenario(world):
        started_s = anyio.current_time()
        reply = await world.call()
        took_s = anyio.current_time() - started_s
        with anyio.fail_after(5):
            await endless.disconnected.wait()
        return reply, took_s

    reply, took_s = play(scenario, repeat, endless, timeout_ms=700)
    assert 0.5 < took_s < 1.5
    assert not reply.endswith(b"0\r\n\r\n")
    if repeat is ONCE:
        assert reply.startswith(b"HTTP/1.1 504")


def test_slow_but_sound_stream_is_not_cut():
    """Guards against ending a stream since its events are far apart in time."""

    async def slow(backend, request, stream):
        await stream.send(stream_head(request[2]["request-id"]))
        for number in range(1, 5):
            await anyio.sleep(0.6)
            await stream.send(chunk(b"id: %d\ndata: t\n\n" % number))
        await stream.send(b"0\r\n\r\n")

    async def scenario(world):
        return await world.call()

    reply = play(scenario, STREAM, slow, timeout_ms=4_000)
    assert reply.startswith(b"HTTP/1.1 200")
    assert reply.endswith(b"0\r\n\r\n")
    assert reply.count(b"data: t") == 4
