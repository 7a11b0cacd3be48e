import asyncio

import anyio
import msgspec
import pytest

from cassiapitch import rpc
from cassiapitch.exceptions import CodecError
from cassiapitch.messages import ConfirmAsk, Confirmed
from cassiapitch.settings import Address

LIMIT_S = 10


def play(method, scenario):
    """Serves one method and runs a scenario against it."""

    async def main():
        handler = rpc.Handler("Test", {"Run": method})
        with anyio.fail_after(LIMIT_S):
            server = await rpc.serve([handler], Address("127.0.0.1", 0), None)
            channel = rpc.open_channel(Address("127.0.0.1", server.port), None)
            await scenario(channel, server)
            await server.close()

    anyio.run(main)


async def confirm(stream):
    async for message in stream:
        await stream.send_message(Confirmed(message.sequence, 7))


def test_messages_travel_both_ways_in_order():
    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            for sequence in range(100):
                await stream.send_message(ConfirmAsk(sequence))
            for sequence in range(100):
                assert await stream.recv_message() == Confirmed(sequence, 7)
            await stream.end()
            assert await stream.recv_message() is None

    play(confirm, scenario)


def test_end_of_the_server_ends_its_streams():
    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            await stream.send_message(ConfirmAsk(1))
            await stream.recv_message()
            await server.close()
            assert await stream.recv_message() is None

    play(confirm, scenario)


def test_unknown_method_gets_nothing():
    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Other") as stream:
            assert await stream.recv_message() is None

    play(confirm, scenario)


def test_connection_that_does_not_come_about_is_an_error():
    async def scenario(channel, server):
        await server.close()
        with pytest.raises(OSError):
            async with rpc.open_stream(channel, "Test", "Run"):
                pass

    play(confirm, scenario)


@pytest.mark.parametrize(
    "data",
    [b"\xc1", msgspec.msgpack.encode(["no", "bytes"]), msgspec.msgpack.encode(b"?")],
)
def test_bytes_that_are_no_message_end_the_stream_only(data):
    """Guards against a process that a malformed message ends."""

    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            stream._writer.write(data)
            assert await stream.recv_message() is None
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            await stream.send_message(ConfirmAsk(1))
            assert await stream.recv_message() == Confirmed(1, 7)

    play(confirm, scenario)


def test_message_over_the_limit_is_refused(monkeypatch):
    monkeypatch.setattr(rpc, "MESSAGE_LIMIT_BYTES", 1_000)
    begun, refused = anyio.Event(), anyio.Event()

    async def read(stream):
        begun.set()
        try:
            await stream.recv_message()
        except CodecError:
            refused.set()
            raise

    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            await begun.wait()
            stream._writer.write(msgspec.msgpack.encode(b"x" * 100_000))
            await refused.wait()

    play(read, scenario)


@pytest.mark.parametrize("length", [1, 2, 3, 4, 500, 1_002])
def test_end_in_the_middle_of_a_message_is_an_error(length):
    """Guards against half a message that passes for a stream's proper end."""
    found = []

    async def read(stream):
        try:
            found.append(await stream.recv_message())
            found.append(await stream.recv_message())
        except rpc.StreamError as error:
            found.append(error)

    async def scenario(channel, server):
        async with rpc.open_stream(channel, "Test", "Run") as stream:
            await stream.send_message(ConfirmAsk(1))
            stream._writer.write(msgspec.msgpack.encode(b"x" * 1_000)[:length])
            await stream.end()
            assert await stream.recv_message() is None

    play(read, scenario)
    assert found[0] == ConfirmAsk(1)
    assert isinstance(found[1], rpc.StreamError)


def test_connection_that_names_no_method_is_closed_in_time(monkeypatch):
    """Guards against an unhandled error, which the process's own log doesn't show."""
    monkeypatch.setattr(rpc, "METHOD_TIMEOUT_S", 0.05)
    unhandled = []

    async def scenario(channel, server):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        address = channel.address
        async with await anyio.connect_tcp(address.ip, address.port) as silent:
            with pytest.raises(anyio.EndOfStream):
                await silent.receive()
        await anyio.sleep(0.05)

    play(confirm, scenario)
    assert unhandled == []
