"""Tests of the reuse of connections to backend servers for forwarded requests."""

from cassiapitch.backend_connection import BackendConnectionPool
from cassiapitch.entrystate import EntryState
from tests.forward_world import (
    Backend,
    answer_bytes,
    entry_settings,
    listening,
    run_limited,
)


async def respond(backend, request, stream):
    await stream.send(answer_bytes(request[2]["request-id"]))


async def exchange(connection, request_id):
    headers = [(b"Host", b"h"), (b"Request-Id", request_id)]
    await connection.send(b"GET", b"/", headers, b"")
    head = await connection.read_head()
    while await connection.read_data() is not None:
        pass
    return head.status


def test_connection_is_used_again_at_once():
    """Guards against a reuse where two tasks read from one connection."""

    async def main():
        backend = Backend("b1", respond)
        async with listening(backend.serve) as item:
            pool = BackendConnectionPool(EntryState(entry_settings()).backend_paths)
            for number in range(3):
                connection = await pool.open(item)
                status = await exchange(connection, b"q%d" % number)
                assert status == 200
                pool.release_connection(connection, None)
        assert backend.connections_count == 1

    run_limited(main)
