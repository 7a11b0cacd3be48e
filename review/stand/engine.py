"""An engine or a plain service: registers itself and serves requests, as the pages say.

It runs in the process of the case. It echoes the request's id, signs its responses,
rejects requests that are meant for another engine, and stops a run when the channel of
its request closes.
"""

import asyncio
import contextlib
import dataclasses
import json
import time
from collections.abc import Callable
from typing import Any

from review.stand import http
from review.stand.deployment import HEARTBEAT_MS, Deployment, Record

PING_LIMIT_S = 1.0


@dataclasses.dataclass
class Run:
    """One run of a request; the events are the numbers of those that were made."""

    request_id: str
    engine: str
    started_s: float
    first_event: int = 0
    last_event: int = 0
    is_complete: bool = False
    ended_s: float = 0.0
    end: str = ""


@dataclasses.dataclass
class Traits:
    """How an engine behaves.

    Attributes:
        first_ms: Time until the first event or the answer.
        gap_ms: Time between two events.
        events_count: Events of a whole stream; 0 for a plain service.
        fails: Returns whether it answers a request with 500.
    """

    first_ms: float = 60.0
    gap_ms: float = 22.0
    events_count: int = 0
    fails: Callable[[], bool] = lambda: False


class Engine:
    """One engine of a service."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        name: str,
        service: str,
        zone: str,
        *,
        version: str = "v1",
        models: tuple[str, ...] = (),
        traits: Traits | None = None,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self.name = name
        self._service = service
        self._zone = zone
        self._version = version
        self._models = list(models)
        self.traits = traits or Traits()
        self.ip = deployment.network.new_ip()
        self.port = deployment.network.engine_port
        self._born = int(time.time() * 1_000)
        self._pings = 0
        self._orders = 0
        self.state = "ready"
        self.runs: list[Run] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listens, and begins to send pings."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        task = asyncio.create_task(self._ping_forever())
        self._tasks.add(task)
        self._record.write(f"engine {self.name} ({self.ip}, {self._version}) starts")

    def stop(self) -> None:
        """Ends the engine's tasks."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    # Registration.

    async def _ping_forever(self) -> None:
        first = 0
        while True:
            cores = [
                item for item in self._deployment.cores() if item.process is not None
            ]
            for offset in range(len(cores)):
                core = cores[(first + offset) % len(cores)]
                if await self._ping(self._deployment.control_address(core)):
                    first = (first + offset) % len(cores)
                    break
            await asyncio.sleep(HEARTBEAT_MS / 1_000)

    async def _ping(self, address: tuple[str, int]) -> bool:
        self._pings += 1
        document = {
            "service": self._service,
            "address": f"{self.ip}:{self.port}",
            "zone": self._zone,
            "version": self._version,
            "slots": 64,
            "state": self.state,
            "coldRemainingMs": 0,
            "stage": "both",
            "models": self._model_items(),
            "sequence": self._pings,
            "born": self._born,
        }
        path = f"/-/instances/{self.name}"
        body = json.dumps(document).encode()
        answer = await http.call(address, "PUT", path, body, PING_LIMIT_S)
        return answer is not None and 200 <= answer[0] < 300

    def _model_items(self) -> list[dict[str, Any]]:
        return [{"name": name, "version": 1, "adapters": []} for name in self._models]

    # Requests.

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await http.read_head(reader)) is not None:
                body = await http.read_body(reader, head)
                if not await self._answer(head, body, reader, writer):
                    break
        except (http.BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await writer.wait_closed()

    async def _answer(
        self,
        head: http.Message,
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers one request; returns whether the channel may carry another one."""
        method, path, _ = head.first_line.split(" ")
        target = head.header("target-instance")
        if target is not None and target != self.name:
            await self._send(writer, 421, head, [("Not-Executed", "1")])
        elif path == "/-/report":
            await self._send(writer, 200, head, [], self._report())
        elif path == "/-/order" and method == "POST":
            await self._send(writer, self._order(json.loads(body)), head, [])
        elif path == "/health":
            await self._send(writer, 200, head, [("Instance-Id", self.name)])
        elif head.header("request-id") is None:
            await self._send(writer, 400, head, [("Not-Executed", "1")])
        elif (model := head.header("model")) is not None and model not in self._models:
            await self._send(writer, 421, head, [("Not-Executed", "1")])
        else:
            return await self._run(head, reader, writer)
        return True

    def _report(self) -> bytes:
        report = {
            "stage": "both",
            "models": self._model_items(),
            "busy": False,
            "sequence": self._orders,
            "queueDepth": 0,
            "runningCount": sum(not run.end for run in self.runs),
            "kvUsed": 0,
            "kvTotal": 162799,
            "handles": 0,
            "born": self._born,
        }
        return json.dumps(report).encode()

    def _order(self, order: dict[str, Any]) -> int:
        if order.get("expected", self._orders) != self._orders:
            return 409
        is_held = order["model"] in self._models
        is_load = order["operation"] == "load"
        if is_held == is_load:
            return 200
        self._orders += 1
        if is_load:
            self._models.append(order["model"])
        else:
            self._models.remove(order["model"])
        return 202

    async def _send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        head: http.Message,
        headers: list[tuple[str, str]],
        body: bytes = b"{}",
    ) -> None:
        lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}"]
        request_id = head.header("request-id")
        if request_id is not None:
            lines.append(f"Request-Id: {request_id}")
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()

    async def _run(
        self,
        head: http.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        request_id = head.header("request-id") or ""
        if self.traits.fails():
            self._record.write(f"{self.name}: {request_id} gets 500")
            seal = f"{self.name}.{request_id}"
            await self._send(writer, 500, head, [("Server-Seal", seal)])
            return True
        run = Run(request_id, self.name, self._record.now())
        self.runs.append(run)
        last = head.header("last-event-id")
        self._record.write(f"{self.name}: {request_id} runs, Last-Event-Id: {last}")
        seal = f"{self.name}.{request_id}"
        if not self.traits.events_count:
            await asyncio.sleep(self.traits.first_ms / 1_000)
            body = f"answer to {request_id}".encode()
            await self._send(writer, 200, head, [("Server-Seal", seal)], body)
            self._end(run, "complete")
            return True
        return await self._stream(run, int(last or 0), seal, reader, writer)

    async def _stream(
        self,
        run: Run,
        last: int,
        seal: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run.first_event = last + 1
        await asyncio.sleep(self.traits.first_ms / 1_000)
        lines = [
            "HTTP/1.1 200 OK",
            f"Request-Id: {run.request_id}",
            f"Server-Seal: {seal}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        try:
            for number in range(last + 1, self.traits.events_count + 1):
                if reader.at_eof() or writer.transport.is_closing():
                    self._end(run, "the channel was closed")
                    return False
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                writer.write(head + b"%x\r\n%s\r\n" % (len(event), event))
                head = b""
                await writer.drain()
                run.last_event = number
                await asyncio.sleep(self.traits.gap_ms / 1_000)
            writer.write(head + b"0\r\n\r\n")
            await writer.drain()
        except OSError:
            self._end(run, "the channel was reset")
            return False
        run.is_complete = True
        self._end(run, "complete")
        return True

    def _end(self, run: Run, end: str) -> None:
        run.end = end
        run.ended_s = self._record.now()
        self._record.write(
            f"{self.name}: {run.request_id} ends after events {run.first_event} to "
            f"{run.last_event}: {end}"
        )
