"""TCP relays that simulate network partitions between processes of a testbed."""

import asyncio
import contextlib
import os
import pathlib
import socket
import struct
import threading
from collections.abc import Iterable

from testbed.ports import LOOPBACK
from testbed.processes import ProcessGroup

READ_BYTES = 65_536
# Limit on each operation in the relays' thread: start, update and close.
LOOP_TIMEOUT_S = 10
# Of `linux/netlink.h`, `linux/sock_diag.h` and `linux/inet_diag.h`.
_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_REQUEST = 1
_HEAD_BYTES = 16
_INODE_OFFSET = 84


class Relays:
    """TCP relays that identify the process that opened each connection.

    A link is the pair of the connecting and the accepting process. While a link is cut,
    its connections stay open, new ones are accepted, and nothing is forwarded in either
    direction, not even the end of a connection. Pending data is forwarded after the
    link is restored, as TCP itself would deliver it.
    """

    def __init__(self, processes: ProcessGroup) -> None:
        """Starts the thread that runs the relays' event loop."""
        self._processes = processes
        self._cut_links: set[tuple[str, str]] = set()
        self._cut_changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def __enter__(self) -> "Relays":
        return self

    def __exit__(self, *_: object) -> None:
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(
            LOOP_TIMEOUT_S
        )
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(LOOP_TIMEOUT_S)
        self._loop.close()

    def add(self, target: str, listen_port: int, target_port: int) -> None:
        """Starts a relay that forwards connections to the process `target`."""

        async def start() -> None:
            def accept(
                reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                task = self._loop.create_task(
                    self._serve(target, target_port, reader, writer)
                )
                self._connection_tasks.add(task)
                task.add_done_callback(self._connection_tasks.discard)

            server = await asyncio.start_server(accept, LOOPBACK, listen_port)
            self._servers.append(server)

        asyncio.run_coroutine_threadsafe(start(), self._loop).result(LOOP_TIMEOUT_S)

    def cut(self, name: str, others: Iterable[str]) -> None:
        """Cuts the links between a process and others, whichever side connects."""
        pairs = {pair for other in others for pair in ((name, other), (other, name))}
        self._set_cut_links(self._cut_links | pairs)

    def heal(self) -> None:
        """Restores every link."""
        self._set_cut_links(set())

    def _set_cut_links(self, cut_links: set[tuple[str, str]]) -> None:
        async def update() -> None:
            self._cut_links = cut_links
            old_event, self._cut_changed = self._cut_changed, asyncio.Event()
            old_event.set()

        asyncio.run_coroutine_threadsafe(update(), self._loop).result(LOOP_TIMEOUT_S)

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        tasks = list(self._connection_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _wait_until_restored(self, link: tuple[str, str]) -> None:
        while link in self._cut_links:
            await self._cut_changed.wait()

    async def _serve(
        self,
        target: str,
        target_port: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        writers = [writer]
        try:
            source = self._find_source(writer.get_extra_info("peername")[1], writer)
            if source is None:
                return
            link = (source, target)
            await self._wait_until_restored(link)
            target_reader, target_writer = await asyncio.open_connection(
                LOOPBACK, target_port
            )
            writers.append(target_writer)
            forwarders = [
                asyncio.ensure_future(self._forward(link, reader, target_writer)),
                asyncio.ensure_future(self._forward(link, target_reader, writer)),
            ]
            try:
                await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for forwarder in forwarders:
                    forwarder.cancel()
                await asyncio.gather(*forwarders, return_exceptions=True)
        except OSError:
            return
        finally:
            for open_writer in writers:
                open_writer.close()

    async def _forward(
        self,
        link: tuple[str, str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(READ_BYTES)
                await self._wait_until_restored(link)
                if not data:
                    return
                writer.write(data)
                await writer.drain()

    def _find_source(self, port: int, writer: asyncio.StreamWriter) -> str | None:
        """Returns the process that opened a connection, or None if none has it open.

        Links use TLS, so the process is identified by its socket, not by the data that
        it sends. This process, which isn't one of the testbed's, is named `outside`.
        """
        relay_port = writer.get_extra_info("sockname")[1]
        inode = _socket_inode(port, relay_port)
        if inode is None:
            return None
        for process in self._processes.running():
            if process.owns_socket(inode):
                return process.name
        return "outside" if f"socket:[{inode}]" in _own_open_files() else None


def _socket_inode(local_port: int, remote_port: int) -> int | None:
    """Returns the inode of a connecting socket on loopback, or None without one.

    The kernel looks the one socket up (`sock_diag(7)`). With `/proc/net/tcp`, which
    lists all sockets of the machine, a connection took 20 ms of the relays' only thread
    at 10,000 sockets, and on a busy machine handshakes timed out and were repeated
    faster than they were served.
    """
    address = socket.inet_aton(LOOPBACK).ljust(16, b"\0")
    states, interface, cookie = 0xFFFFFFFF, 0, (0xFFFFFFFF, 0xFFFFFFFF)
    family, protocol = socket.AF_INET, socket.IPPROTO_TCP
    ask = struct.pack("=BBBBI", family, protocol, 0, 0, states)
    ask += struct.pack("!HH", local_port, remote_port) + 2 * address
    ask += struct.pack("=III", interface, *cookie)
    head = struct.pack(
        "=IHHII", _HEAD_BYTES + len(ask), _SOCK_DIAG_BY_FAMILY, _REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG) as kernel:
        kernel.send(head + ask)
        answer = kernel.recv(READ_BYTES)
    if struct.unpack_from("=IH", answer)[1] != _SOCK_DIAG_BY_FAMILY:
        return None
    inode: int = struct.unpack_from("=I", answer, _INODE_OFFSET)[0]
    # The kernel shows 0 for a socket that no process has open any more.
    return inode or None


def _own_open_files() -> set[str]:
    targets = set()
    for path in pathlib.Path("/proc/self/fd").iterdir():
        with contextlib.suppress(OSError):
            targets.add(os.readlink(path))
    return targets
