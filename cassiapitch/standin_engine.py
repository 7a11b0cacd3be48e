"""HTTP interface of a stand-in engine, and its step loop."""

import contextlib
import dataclasses
import random
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import msgspec

from cassiapitch import asgi, timers
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.standin_faults import (
    Faults,
    HeaderLog,
    drop_connection,
    update_faults,
)
from cassiapitch.standin_memory import (
    ADAPTER_KINDS,
    EngineMemory,
    OrderRequest,
    OrderVerdict,
)
from cassiapitch.standin_settings import StandinSettings
from cassiapitch.standin_streams import Batch, Generation, Stream, parse_generation
from cassiapitch.standin_text import chunk_event, final_event, whole_answer
from cassiapitch.types import BackendName, LifeId

BODY_LIMIT_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_MS = 30_000


class Engine:
    """A simulated engine: continuous batching, memory, orders and injected faults."""

    def __init__(
        self, settings: StandinSettings, life_id: LifeId, crash: Callable[[], None]
    ) -> None:
        """Starts with nothing loaded.

        Args:
            settings: The stand-in's settings.
            life_id: Id of this incarnation.
            crash: Ends the process; called if a running request has the crash mark.
        """
        self.settings = settings
        self.life_id = life_id
        self.faults = Faults()
        self.leaving = False
        self.memory = EngineMemory(
            life_id,
            settings.memory_mib,
            fencing=settings.fencing,
            load_time_ms=self._load_time_ms,
            is_in_use=lambda name, is_adapter: self.batch.uses(name, is_adapter),
        )
        self.batch = Batch(
            max_running_count=settings.max_running_count,
            resume_ms=settings.resume_ms,
            prefill_tokens_per_step=settings.prefill_tokens_per_step,
            cache_prefixes_count=settings.cache_prefixes_count,
            cache_gap_ratio=settings.cache_gap_ratio,
            rng=random.Random(settings.seed),
        )
        self.headers = HeaderLog()
        self.orders: list[dict[str, Any]] = []
        self.request_counts: dict[str, int] = {}
        self._crash = crash
        self._stepped = anyio.Event()
        # Time, running and waiting requests of each step at which a count changed.
        self._load_history: list[tuple[int, int, int]] = [(0, 0, 0)]
        self._delayed_orders: list[tuple[int, OrderRequest]] = []

    def announcement(self, ip: str, port: int, sequence: int) -> Announcement:
        """Returns the current announcement; its load is `report_lag_ms` old."""
        now_ms = timers.now_ms()
        lag_ms = self.settings.report_lag_ms
        reportable = [item for item in self._load_history if item[0] + lag_ms <= now_ms]
        _, running_count, waiting_count = reportable[-1] if reportable else (0, 0, 0)
        return Announcement(
            name=BackendName(self.settings.name),
            life_id=self.life_id,
            role=self.settings.role,
            zone=self.settings.zone,
            ip=ip,
            port=port,
            memory_mib=self.settings.memory_mib,
            max_running_count=self.settings.max_running_count,
            loaded=self.memory.loaded(),
            adapters=self.memory.adapters(),
            settled=self.memory.settled_report(),
            fence_term=self.memory.fence[0],
            fence_number=self.memory.fence[1],
            running_count=running_count,
            waiting_count=waiting_count,
            leaving=self.leaving or self.faults.leaving,
            cached_prefixes=self.batch.cached_prefixes(now_ms, lag_ms),
            sequence=sequence,
        )

    def is_idle(self) -> bool:
        """Returns whether no request waits or runs."""
        return all(stream.done for stream in self.batch.streams.values())

    async def run(self) -> None:
        """Advances the batch and the memory every `step_ms` until cancelled."""
        next_step_ms = timers.now_ms()
        while True:
            now_ms = timers.now_ms()
            self._step(now_ms)
            stepped, self._stepped = self._stepped, anyio.Event()
            stepped.set()
            next_step_ms = max(next_step_ms + self.settings.step_ms, now_ms)
            await anyio.sleep(max(0, next_step_ms - timers.now_ms()) / 1000)

    def _step(self, now_ms: int) -> None:
        self.memory.leaving = self.leaving or self.faults.leaving
        while self._delayed_orders and self._delayed_orders[0][0] <= now_ms:
            _, order = self._delayed_orders.pop(0)
            self._receive_order(order, now_ms, is_late=True)
        running = self.batch.step(now_ms)
        self.memory.tick(now_ms)
        if any(stream.generation.crash for stream in running):
            self._crash()
        running_count = sum(not stream.done for stream in running)
        load_sample = (now_ms, running_count, self.batch.waiting_count())
        if load_sample[1:] != self._load_history[-1][1:]:
            self._load_history.append(load_sample)
            del self._load_history[:-2_000]

    def _load_time_ms(self, order: OrderRequest) -> int:
        if order.kind in ADAPTER_KINDS:
            return self.settings.adapter_load_ms
        load_ms_by_size = order.memory_mib * self.settings.load_ms_per_gib // 1_024
        return self.settings.load_ms.get(order.model, load_ms_by_size)

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one request."""
        method, path = scope["method"], scope["path"]
        body = await asgi.read_body(receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_MS)
        if not isinstance(body, asgi.Body):
            return
        if path == "/orders" and method == "POST":
            await self._handle_order(body.data, receive, send)
        elif path == "/standin/faults" and method == "POST":
            update_faults(self.faults, body.data)
            await self._send_json(send, 200, dataclasses.asdict(self.faults))
        elif path == "/standin/dump" and method == "GET":
            await self._send_json(send, 200, self.dump())
        elif method == "POST" and path in ("/v1/chat/completions", "/v1/completions"):
            self.headers.record(scope)
            await self._handle_generation(scope, body.data, receive, send)
        elif path.startswith("/v1/streams/"):
            self.headers.record(scope)
            await self._handle_stream(scope, receive, send)
        else:
            await self._send_json(send, 404, {"error": {"code": "not_found"}})

    def dump(self) -> dict[str, Any]:
        """Returns the stand-in's state for tests."""
        memory = self.memory
        return {
            "name": self.settings.name,
            "life_id": self.life_id,
            "memory_mib": memory.memory_mib,
            "used_mib": memory.used_mib(),
            "most_used_mib": memory.most_used_mib,
            "overcommit": [dataclasses.asdict(item) for item in memory.overcommits],
            "residents": [
                {"name": item.name, "phase": item.phase, "memory_mib": item.memory_mib}
                for item in memory.residents.values()
            ],
            "settled": memory.settled,
            "fence": memory.fence,
            "orders": self.orders,
            "headers": list(self.headers.recorded),
            "request_counts": self.request_counts,
            "running": [item.generation.request_id for item in self.batch.running],
        }

    async def _send_json(self, send: asgi.Send, status: int, document: Any) -> None:
        headers = [(b"x-life-id", self.life_id.encode())]
        await asgi.send_json(send, status, document, headers)

    async def _send_error(self, send: asgi.Send, status: int, code: str) -> None:
        await self._send_json(send, status, {"error": {"code": code, "message": code}})

    async def _handle_order(
        self, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        try:
            order = msgspec.json.decode(body, type=OrderRequest)
        except msgspec.MsgspecError as error:
            await self._send_json(
                send, 400, {"error": {"code": "bad_order", "message": str(error)}}
            )
            return
        now_ms = timers.now_ms()
        if self._apply_order_fault(order, now_ms):
            await drop_connection(receive, send)
            return
        verdict = self._receive_order(order, now_ms, is_late=False)
        if verdict == OrderVerdict.ACCEPTED:
            await self._send_json(send, 202, {"order_id": order.order_id})
        else:
            await self._send_error(send, 409, verdict)

    def _apply_order_fault(self, order: OrderRequest, now_ms: int) -> bool:
        """Applies the next order fault; returns whether there was one.

        An order with a fault isn't answered.
        """
        delayed_until_ms = now_ms + self.faults.order_delay_ms
        if self.faults.consume("lose_orders"):
            return True
        if self.faults.consume("delay_orders"):
            self._delayed_orders.append((delayed_until_ms, order))
            return True
        if self.faults.consume("double_orders"):
            self._receive_order(order, now_ms, is_late=False)
            self._delayed_orders.append((delayed_until_ms, order))
            return True
        return False

    def _receive_order(
        self, order: OrderRequest, now_ms: int, *, is_late: bool
    ) -> OrderVerdict:
        verdict = self.memory.receive(order, now_ms)
        record = {
            "order_id": order.order_id,
            "kind": order.kind,
            "name": order.adapter or order.model,
            "verdict": verdict,
            "late": is_late,
            "time_ms": now_ms,
        }
        self.orders.append(record)
        return verdict

    async def _handle_generation(
        self, scope: asgi.Scope, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        request_id = asgi.header(scope, b"x-request-id") or f"local-{id(scope)}"
        try:
            generation = parse_generation(request_id, scope["path"], body)
        except (ValueError, TypeError, msgspec.MsgspecError) as error:
            message = {"error": {"code": "bad_request", "message": str(error)}}
            await self._send_json(send, 400, message)
            return
        if self.faults.consume("unavailable"):
            await self._send_error(send, 503, "overloaded")
            return
        if not self._is_loaded(generation):
            await self._send_error(send, 409, "not_loaded")
            return
        self.request_counts[request_id] = self.request_counts.get(request_id, 0) + 1
        stream = self.batch.add(generation, timers.now_ms())
        if generation.stream:
            await self._send_stream(stream, generation.start, receive, send)
        else:
            await self._send_whole_answer(stream, receive, send)

    def _is_loaded(self, generation: Generation) -> bool:
        has_adapter = not generation.adapter or self.memory.holds(
            generation.adapter, is_adapter=True
        )
        return has_adapter and self.memory.holds(generation.model)

    async def _handle_stream(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        request_id = scope["path"].removeprefix("/v1/streams/")
        stream = self.batch.streams.get(request_id)
        if stream is None or stream.cancelled:
            await self._send_error(send, 404, "unknown_stream")
        elif scope["method"] == "DELETE":
            self.batch.cancel(request_id)
            await self._send_json(send, 200, {"cancelled": True})
        else:
            query = str(scope.get("query_string", b""), "latin-1")
            after = query.removeprefix("after=")
            start = int(after) + 1 if after.lstrip("-").isdigit() else 0
            await self._send_stream(stream, max(0, start), receive, send)

    @contextlib.contextmanager
    def _counted_as_reader(self, stream: Stream) -> Iterator[None]:
        stream.reader_count += 1
        try:
            yield
        finally:
            stream.reader_count -= 1
            stream.detached_since_ms = timers.now_ms()

    async def _send_stream(
        self, stream: Stream, position: int, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        breaks_stream = self.faults.consume("break_streams")
        break_position = (
            position + self.faults.break_after_tokens if breaks_stream else None
        )
        headers = [
            (b"content-type", b"text/event-stream"),
            (b"x-life-id", self.life_id.encode()),
        ]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            with self._counted_as_reader(stream):
                await self._send_events(stream, position, break_position, send)
            group.cancel_scope.cancel()

    async def _send_events(
        self, stream: Stream, position: int, break_position: int | None, send: asgi.Send
    ) -> None:
        generation = stream.generation
        while not stream.cancelled:
            end = stream.next_position
            if break_position is not None:
                end = min(end, break_position)
            parts = [chunk_event(generation, index) for index in range(position, end)]
            position = max(position, end)
            is_complete = stream.done and position >= generation.token_count
            if is_complete and break_position is None:
                parts.append(final_event(generation))
            if parts:
                # All events of a step are sent in one write.
                data = b"".join(parts)
                message = {"type": "http.response.body", "body": data}
                await send(message | {"more_body": not is_complete})
            if is_complete or position == break_position:
                return
            await self._stepped.wait()

    async def _send_whole_answer(
        self, stream: Stream, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            try:
                with self._counted_as_reader(stream):
                    while not stream.done:
                        await self._stepped.wait()
            finally:
                self.batch.cancel(stream.generation.request_id)
            if not stream.cancelled:
                await self._send_json(send, 200, whole_answer(stream.generation))
            group.cancel_scope.cancel()


async def _cancel_on_disconnect(
    receive: asgi.Receive, scope: anyio.CancelScope
) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
