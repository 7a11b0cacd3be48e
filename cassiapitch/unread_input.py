"""Finds input of a connection that the event loop has not read yet."""

import select
import socket


def is_readable(sock: socket.socket) -> bool:
    """Returns whether bytes, the end of input or an error wait in the kernel.

    Args:
        sock: Its socket.
    """
    poll = select.poll()
    try:
        poll.register(sock.fileno(), select.POLLIN)
    except ValueError:
        # The socket is closed.
        return True
    return bool(poll.poll(0))
