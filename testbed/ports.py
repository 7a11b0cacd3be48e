"""Free ports on loopback."""

import socket

LOOPBACK = "127.0.0.1"


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now.

    All of them are bound at once, so that none is returned twice. A port could be
    taken by another program before its process binds it; the process then fails to
    start, which the testbed reports.
    """
    sockets = []
    try:
        for _ in range(count):
            bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            bound.bind((LOOPBACK, 0))
            sockets.append(bound)
        return [bound.getsockname()[1] for bound in sockets]
    finally:
        for bound in sockets:
            bound.close()
