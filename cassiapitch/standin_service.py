"""A stand-in plain service that counts how often each call runs."""

import collections
import dataclasses
from typing import Any

import anyio

from cassiapitch import asgi, timers
from cassiapitch.announcements import (
    Announcement,
)
from cassiapitch.standin_faults import Faults, HeaderLog, drop_connection, update_faults
from cassiapitch.standin_settings import StandinSettings
from cassiapitch.types import BackendName, LifeId

BODY_LIMIT_BYTES = 8 * 1024 * 1024
BODY_TIMEOUT_MS = 30_000


class Service:
    """A simulated plain service; answers any path after `step_ms`."""

    def __init__(self, settings: StandinSettings, life_id: LifeId) -> None:
        self.settings = settings
        self.life_id = life_id
        self.faults = Faults()
        self.leaving = False
        self.headers = HeaderLog()
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.path_counts: collections.Counter[str] = collections.Counter()
        # Counted by target, because a call that its caller repeats has a new request
        # id but the same query.
        self.target_counts: collections.Counter[str] = collections.Counter()
        self._running_count = 0

    def announcement(self, ip: str, port: int, sequence: int) -> Announcement:
        """Returns the current announcement."""
        return Announcement(
            name=BackendName(self.settings.name),
            life_id=self.life_id,
            role=self.settings.role,
            zone=self.settings.zone,
            ip=ip,
            port=port,
            memory_mib=0,
            max_running_count=self.settings.max_running_count,
            running_count=self._running_count,
            leaving=self.leaving or self.faults.leaving,
            sequence=sequence,
        )

    def is_idle(self) -> bool:
        """Returns whether no call runs."""
        return self._running_count == 0

    async def run(self) -> None:
        """Sleeps until cancelled; calls run in tasks of the server."""
        await anyio.sleep_forever()

    def dump(self) -> dict[str, Any]:
        """Returns the stand-in's state for tests."""
        return {
            "name": self.settings.name,
            "life_id": self.life_id,
            "runs": self.run_counts,
            "doubled": [key for key, count in self.run_counts.items() if count > 1],
            "paths": self.path_counts,
            "targets": self.target_counts,
            "headers": list(self.headers.recorded),
        }

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answers one request."""
        body = await asgi.read_body(receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_MS)
        if not isinstance(body, asgi.Body):
            return
        if scope["path"] == "/standin/dump":
            await self._send_json(send, 200, self.dump())
        elif scope["path"] == "/standin/faults":
            update_faults(self.faults, body.data)
            await self._send_json(send, 200, dataclasses.asdict(self.faults))
        elif self.faults.consume("unavailable"):
            await self._send_json(send, 503, {"error": {"code": "overloaded"}})
        else:
            await self._handle_call(scope, body.data, receive, send)

    async def _handle_call(
        self, scope: asgi.Scope, body: bytes, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        self.headers.record(scope)
        request_id = asgi.header(scope, b"x-request-id") or f"local-{timers.now_ms()}"
        self.run_counts[request_id] += 1
        self.path_counts[f"{scope['method']} {scope['path']}"] += 1
        query = str(scope.get("query_string", b""), "latin-1")
        self.target_counts[f"{scope['method']} {scope['path']}?{query}"] += 1
        self._running_count += 1
        try:
            await anyio.sleep(self.settings.step_ms / 1000)
        finally:
            self._running_count -= 1
        if self.faults.consume("drop_responses"):
            await drop_connection(receive, send)
            return
        answer = {
            "method": scope["method"],
            "path": scope["path"],
            "request_id": request_id,
            "run_count": self.run_counts[request_id],
            "body_bytes": len(body),
        }
        await self._send_json(send, 200, answer)

    async def _send_json(self, send: asgi.Send, status: int, document: Any) -> None:
        headers = [(b"x-life-id", self.life_id.encode())]
        await asgi.send_json(send, status, document, headers)
