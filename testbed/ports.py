"""Reserved ports on loopback."""

import socket

LOOPBACK = "127.0.0.1"


class ReservedPorts:
    """Ports that no other program gets while their processes start or restart.

    The sockets stay bound without listening. A process can still bind the same port,
    since both sides set SO_REUSEADDR, but the system gives it to no outgoing
    connection; released ports were taken so before their processes had bound them.
    """

    def __init__(self, count: int) -> None:
        """Binds free ports."""
        self._sockets: list[socket.socket] = []
        for _ in range(count):
            bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._sockets.append(bound)
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((LOOPBACK, 0))
        self.ports = [bound.getsockname()[1] for bound in self._sockets]

    def close(self) -> None:
        """Releases the ports."""
        for bound in self._sockets:
            bound.close()
