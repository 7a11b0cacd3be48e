"""Synthetic entry links and backend servers that put load on a real control group."""

import asyncio
import itertools
import socket
import struct
from typing import Any

import anyio
import anyio.abc

from cassiapitch import announce_route, rpc, timers
from cassiapitch.announcements import (
    Announcement,
    LoadedModel,
)
from cassiapitch.messages import (
    ConfirmAsk,
    GrantAsk,
    LinkHello,
    RateAsk,
    ViewDelta,
    ViewSnapshot,
)
from cassiapitch.settings import Address, TlsSettings
from cassiapitch.types import AccountName, BackendName, LifeId, ModelName

CONFIRM_PERIOD_S = 0.25
RATE_PERIOD_S = 0.2
ANNOUNCE_PERIOD_S = 0.5
# Offsets of tcpi_bytes_acked and tcpi_bytes_received in Linux's struct tcp_info.
TCP_INFO_BYTES_OFFSET = 120
TCP_INFO_SIZE = 256


def read_tcp_byte_counts(connected_socket: Any) -> tuple[int, int]:
    """Returns the numbers of bytes sent and received on a connected socket."""
    info = connected_socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE
    )
    return struct.unpack_from("QQ", info, TCP_INFO_BYTES_OFFSET)


class EntryLink:
    """An entry's link to a control member.

    It requests confirmations and, if it is the primary link, rate grants, as a real
    entry does.
    """

    def __init__(
        self,
        entry: str,
        life_id: str,
        cluster: str,
        accounts: list[str],
        address: Address,
        tls: TlsSettings | None,
        *,
        primary: bool,
    ) -> None:
        self.primary = primary
        self.confirmed_count = 0
        self.index = 0
        self._hello = LinkHello(entry, life_id, cluster, "zone-1", 0, primary)
        self._accounts = [AccountName(name) for name in accounts]
        self._channel = rpc.open_channel(address, tls)
        self._stream: rpc.Stream | None = None

    def traffic(self) -> tuple[int, int]:
        """Returns the bytes sent and received on the connection, including TLS."""
        assert self._stream is not None
        transport = self._stream._writer.transport
        return read_tcp_byte_counts(transport.get_extra_info("socket"))

    async def run(self) -> None:
        """Keeps the link open until cancelled."""
        async with rpc.open_stream(self._channel, "Hub", "Link") as stream:
            self._stream = stream
            await stream.send_message(self._hello)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._confirm, stream)
                if self.primary:
                    tasks.start_soon(self._request_rates, stream)
                await self._receive(stream)

    async def _confirm(self, stream: Any) -> None:
        for sequence in itertools.count(1):
            await stream.send_message(ConfirmAsk(sequence))
            await anyio.sleep(CONFIRM_PERIOD_S)

    async def _request_rates(self, stream: Any) -> None:
        requests = tuple(GrantAsk(name, 20, 20, 20) for name in self._accounts)
        for sequence in itertools.count(1):
            hello = self._hello
            await stream.send_message(
                RateAsk(hello.entry, hello.life_id, sequence, requests, ())
            )
            await anyio.sleep(RATE_PERIOD_S)

    async def _receive(self, stream: Any) -> None:
        while (message := await stream.recv_message()) is not None:
            if isinstance(message, ViewDelta | ViewSnapshot):
                self.index = message.index
            self.confirmed_count += type(message).__name__ == "Confirmed"
        raise RuntimeError("a control member ended a link")


class Backend:
    """A backend server that only announces itself, over one persistent connection."""

    def __init__(
        self, number: int, role: str, credential: str, models: list[str], port: int
    ) -> None:
        self._number = number
        self._role = role
        self._credential = credential
        self._models = models
        self._port = port
        self.accepted_count = 0

    def _request(self, sequence: int) -> bytes:
        name = f"engine-{self._number}"
        announcement = Announcement(
            BackendName(name),
            LifeId(f"life-{name}"),
            self._role,
            f"zone-{self._number % 3 + 1}",
            "127.0.0.1",
            1,
            1_000_000,
            64,
            loaded=tuple(LoadedModel(ModelName(name), 1, 100) for name in self._models),
            running_count=sequence % 60,
            waiting_count=sequence % 7,
            sequence=sequence,
        )
        body = announce_route.encode(announcement)
        head = (
            f"POST {announce_route.ANNOUNCE_PATH} HTTP/1.1\r\nHost: control\r\n"
            f"Authorization: Bearer {self._credential}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def run(self) -> None:
        """Sends announcements until cancelled; counts the responses with status 202."""
        # Spreads the servers' first announcements over one period.
        await anyio.sleep(ANNOUNCE_PERIOD_S * (self._number % 50) / 50)
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            # Control ignores sequence numbers that it has already seen for this
            # `life_id`, so they must be higher than those of earlier runs.
            for sequence in itertools.count(timers.now_ms()):
                writer.write(self._request(sequence))
                head = await reader.readuntil(b"\r\n\r\n")
                self.accepted_count += b" 202 " in head.split(b"\r\n", 1)[0]
                await reader.readexactly(_content_length(head))
                await anyio.sleep(ANNOUNCE_PERIOD_S)
        finally:
            writer.close()


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1])
    return 0


class CountingRelay:
    """Forwards TCP connections to one address and counts the bytes each way."""

    def __init__(self) -> None:
        self.target: Address | None = None
        self.up_bytes = 0
        self.down_bytes = 0

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; passes the port to `task_status`."""
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
        await listener.serve(self._serve)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        target = self.target
        assert target is not None
        async with (
            client,
            await anyio.connect_tcp(target.ip, target.port) as server,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._forward, client, server, True, tasks.cancel_scope)
            tasks.start_soon(self._forward, server, client, False, tasks.cancel_scope)

    async def _forward(
        self,
        source_stream: Any,
        target_stream: Any,
        is_up: bool,
        scope: anyio.CancelScope,
    ) -> None:
        try:
            async for data in source_stream:
                self.up_bytes += len(data) if is_up else 0
                self.down_bytes += 0 if is_up else len(data)
                await target_stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        scope.cancel()
