"""TCP relays in front of processes whose links can be cut silently."""

import asyncio
import contextlib
import os
import pathlib
import threading
from collections.abc import Iterable

from testbed.ports import LOOPBACK
from testbed.processes import ProcessGroup

READ_BYTES = 65_536
START_TIMEOUT_S = 10
_LOCAL, _REMOTE, _INODE = 1, 2, 9


class Relays:
    """Relays that know which process opened each connection.

    A link is the pair of the opening and the accepting process. While it is cut, its
    connections stay open, new ones are accepted, and nothing is forwarded in either
    direction, not even the end of a connection. What waits is forwarded after healing,
    as TCP itself would deliver it.
    """

    def __init__(self, processes: ProcessGroup) -> None:
        """Starts the relays' thread."""
        self._processes = processes
        self._cut: set[tuple[str, str]] = set()
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._connections: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def __enter__(self) -> "Relays":
        return self

    def __exit__(self, *_: object) -> None:
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(
            START_TIMEOUT_S
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(START_TIMEOUT_S)
        self._loop.close()

    def add(self, target: str, listen_port: int, target_port: int) -> None:
        """Starts the relay in front of a process."""

        async def start() -> None:
            def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                task = self._loop.create_task(
                    self._serve(target, target_port, reader, writer)
                )
                self._connections.add(task)
                task.add_done_callback(self._connections.discard)

            server = await asyncio.start_server(accept, LOOPBACK, listen_port)
            self._servers.append(server)

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(START_TIMEOUT_S)

    def cut(self, name: str, others: Iterable[str]) -> None:
        """Cuts the links between a process and others, in both directions."""
        pairs = {pair for other in others for pair in ((name, other), (other, name))}
        self._update(self._cut | pairs)

    def heal(self) -> None:
        """Restores every link."""
        self._update(set())

    def _update(self, cut: set[tuple[str, str]]) -> None:
        async def update() -> None:
            self._cut = cut
            changed, self._changed = self._changed, asyncio.Event()
            changed.set()

        asyncio.run_coroutine_threadsafe(update(), self._loop).result(START_TIMEOUT_S)

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_open(self, link: tuple[str, str]) -> None:
        while link in self._cut:
            await self._changed.wait()

    async def _serve(
        self,
        target: str,
        target_port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writers = [writer]
        try:
            source = self._source(writer.get_extra_info("peername")[1], writer)
            if source is None:
                return
            link = (source, target)
            await self._wait_open(link)
            far_reader, far_writer = await asyncio.open_connection(
                LOOPBACK, target_port
            )
            writers.append(far_writer)
            pumps = [
                asyncio.ensure_future(self._pump(link, reader, far_writer)),
                asyncio.ensure_future(self._pump(link, far_reader, writer)),
            ]
            try:
                await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for pump in pumps:
                    pump.cancel()
                await asyncio.gather(*pumps, return_exceptions=True)
        except OSError:
            return
        finally:
            for one in writers:
                one.close()

    async def _pump(
        self,
        link: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(READ_BYTES)
                await self._wait_open(link)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

    def _source(self, port: int, writer: asyncio.StreamWriter) -> str | None:
        """Returns the process that opened a connection, None if it has ended.

        The links use TLS, so that the process is found by its socket instead of by
        what it sends. Other processes than the testbed's are named `outside`.
        """
        own_port = writer.get_extra_info("sockname")[1]
        inode = _inode(port, own_port)
        if inode is None:
            return None
        for process in self._processes.running():
            if process.owns_socket(inode):
                return process.name
        return "outside" if f"socket:[{inode}]" in _own_sockets() else None


def _inode(local_port: int, remote_port: int) -> str | None:
    """Returns the inode of the client's end of a connection."""
    ends = (f":{local_port:04X}", f":{remote_port:04X}")
    lines = pathlib.Path("/proc/self/net/tcp").read_text().splitlines()
    for fields in (line.split() for line in lines[1:]):
        if fields[_LOCAL].endswith(ends[0]) and fields[_REMOTE].endswith(ends[1]):
            return fields[_INODE]
    return None


def _own_sockets() -> set[str]:
    found = set()
    for path in pathlib.Path("/proc/self/fd").iterdir():
        with contextlib.suppress(OSError):
            found.add(os.readlink(path))
    return found
