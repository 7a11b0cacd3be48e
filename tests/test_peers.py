"""Tests of the streams between control members, with streams in memory."""

import anyio

from cassiapitch.peers import Peers
from cassiapitch.raftmessages import PeerHello, TimeoutNow
from cassiapitch.settings import Address

LIMIT_S = 10


def hello_of(name, disk_id):
    return PeerHello("c", name, disk_id, "127.0.0.1", 9, True)


class MemoryStream:
    """The receiving end of a stream; it stays open until `ended` is set."""

    def __init__(self, hello):
        self.hello = hello
        self.ended = anyio.Event()
        self.sent = []

    async def recv_message(self):
        return self.hello

    async def send_message(self, message):
        self.sent.append(message)

    def __aiter__(self):
        return self

    async def __anext__(self):
        await self.ended.wait()
        raise StopAsyncIteration


def run_with_peers(scenario):
    async def main():
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as tasks:
                peers = Peers(
                    lambda: hello_of("own", "own-disk"), lambda *_: None, None
                )
                tasks.start_soon(peers.run)
                await anyio.wait_all_tasks_blocked()
                await scenario(peers, tasks)
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_stream_that_ends_leaves_the_way_back_over_another_one_open():
    """Guards against a learner whose answers are dropped since the leader also tried
    to reach the lost disk of the same machine."""

    async def scenario(peers, tasks):
        lasting, short = (MemoryStream(hello_of("a", "disk")) for _ in range(2))
        tasks.start_soon(peers.serve, lasting)
        tasks.start_soon(peers.serve, short)
        await anyio.wait_all_tasks_blocked()
        assert peers.send("disk", TimeoutNow(1))
        short.ended.set()
        await anyio.wait_all_tasks_blocked()
        assert peers.send("disk", TimeoutNow(1))
        lasting.ended.set()
        await anyio.wait_all_tasks_blocked()
        assert not peers.send("disk", TimeoutNow(1))

    run_with_peers(scenario)


def test_message_after_the_end_of_the_links_is_dropped():
    """Guards against a member that opens a link while it stops, since a write ends
    late."""

    async def main():
        peers = Peers(lambda: hello_of("own", "own-disk"), lambda *_: None, None)
        peers.set_members({"disk": Address("127.0.0.1", 9)})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(peers.run)
            await anyio.wait_all_tasks_blocked()
            tasks.cancel_scope.cancel()
        assert not peers.send("disk", TimeoutNow(1))

    anyio.run(main)
