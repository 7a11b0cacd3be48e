import anyio

from cassiapitch.backendlink import BackendLinks
from cassiapitch.viewitems import BackendItem
from tests.forward_world import LIMIT_S, Backend, answer_bytes


async def answers(backend, request, stream):
    await stream.send(answer_bytes(request[2]["request-id"]))


async def exchange(connection, request_id):
    headers = [(b"Host", b"h"), (b"Request-Id", request_id)]
    await connection.send(b"GET", b"/", headers, b"")
    head = await connection.read_head()
    while await connection.read_data() is not None:
        pass
    return head.status


def test_connection_is_used_again_at_once():
    """Guards against two tasks that read from one connection."""

    async def main():
        backend = Backend("b1", answers)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        item = BackendItem(
            "b1", "b1@1", "r", "z", "127.0.0.1", port, "serving", (), (), 8
        )
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, backend.serve)
                links = BackendLinks()
                for number in range(3):
                    connection = await links.open(item)
                    status = await exchange(connection, b"q%d" % number)
                    assert status == 200
                    links.give_back(connection, None)
                group.cancel_scope.cancel()
        assert backend.connections_count == 1

    anyio.run(main)
