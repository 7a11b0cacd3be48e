"""Reserves loopback ports for server processes until they have stopped."""

import contextlib
import socket
from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
# The kernel picks a port that is free on the first address; it is rarely in use on
# another one, so a few retries are enough.
ATTEMPTS_COUNT = 100


class ReservedPorts:
    """Ports that no other program can get while their processes start or restart.

    The sockets stay bound without listening. A process can still bind the same port,
    since both sides set SO_REUSEADDR, but the kernel doesn't assign the port to an
    outgoing connection. When ports were only picked and released, outgoing connections
    sometimes got them before their processes had bound them.
    """

    def __init__(self, count: int, ips: Sequence[str] = (LOOPBACK,)) -> None:
        """Binds free ports.

        Args:
            count: Number of ports.
            ips: Loopback addresses; each port is bound on all of them.
        """
        self._sockets: list[socket.socket] = []
        self.ports = [self._reserve(ips) for _ in range(count)]

    def _reserve(self, ips: Sequence[str]) -> int:
        for _ in range(ATTEMPTS_COUNT):
            with contextlib.ExitStack() as stack:
                port = 0
                reserved_sockets = []
                for ip in ips:
                    new_socket = stack.enter_context(socket.socket())
                    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        new_socket.bind((ip, port))
                    except OSError:
                        break
                    reserved_sockets.append(new_socket)
                    port = new_socket.getsockname()[1]
                else:
                    stack.pop_all()
                    self._sockets += reserved_sockets
                    return port
        raise OSError(f"no port is free on all of {', '.join(ips)}")

    def close(self) -> None:
        """Releases the ports."""
        for reserved_socket in self._sockets:
            reserved_socket.close()
