"""Reserved ports on loopback."""

import contextlib
import socket
from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
# A port that is free on the first address is rarely taken on another one.
ATTEMPTS_COUNT = 100


class ReservedPorts:
    """Ports that no other program gets while their processes start or restart.

    The sockets stay bound without listening. A process can still bind the same port,
    since both sides set SO_REUSEADDR, but the system gives it to no outgoing
    connection; released ports were taken so before their processes had bound them.
    """

    def __init__(self, count: int, ips: Sequence[str] = (LOOPBACK,)) -> None:
        """Binds free ports.

        Args:
            count: Number of ports.
            ips: Loopback addresses on each of which every port is bound.
        """
        self._sockets: list[socket.socket] = []
        self.ports = [self._reserve(ips) for _ in range(count)]

    def _reserve(self, ips: Sequence[str]) -> int:
        for _ in range(ATTEMPTS_COUNT):
            with contextlib.ExitStack() as stack:
                port = 0
                bound = []
                for ip in ips:
                    opened = stack.enter_context(socket.socket())
                    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    try:
                        opened.bind((ip, port))
                    except OSError:
                        break
                    bound.append(opened)
                    port = opened.getsockname()[1]
                else:
                    stack.pop_all()
                    self._sockets += bound
                    return port
        raise OSError(f"no port is free on all of {', '.join(ips)}")

    def close(self) -> None:
        """Releases the ports."""
        for bound in self._sockets:
            bound.close()
