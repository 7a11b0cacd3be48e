"""A client of the system on a kept channel."""

import asyncio
import contextlib
import dataclasses
import itertools

from review.stand import http
from review.stand.deployment import Record
from review.stand.manifests import HOST, KEY, MODEL

_numbers = itertools.count(1)


@dataclasses.dataclass
class Attempt:
    """One request and what came back.

    Attributes:
        request_id: Its id.
        sent_s: When its last byte was sent.
        status: Status of the response; None without one.
        seal: The signature in the response.
        events: Numbers of the events that came.
        is_complete: Whether the response came to its end.
        asks_to_close: Whether the response says that the channel will close.
        ended_s: When the response or the channel ended.
    """

    request_id: str
    sent_s: float = 0.0
    status: int | None = None
    seal: str | None = None
    events: list[int] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    asks_to_close: bool = False
    ended_s: float = 0.0


class Channel:
    """One channel to a machine; carries one request after the other."""

    def __init__(self, record: Record, name: str) -> None:
        self._record = record
        self._name = name
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, address: tuple[str, int]) -> None:
        """Opens the channel."""
        self._reader, self._writer = await asyncio.open_connection(*address)

    async def stream(
        self, path: str, deadline_ms: int, tokens: str = "400,524"
    ) -> Attempt:
        """Sends a request for a stream of the model and reads its response."""
        headers = {
            "Model": MODEL,
            "Token-Count": tokens,
            "Prompt-Prefix": "5c1e07a2:200,91bd3f06:100,e4402b7d:100",
        }
        return await self.request("POST", path, deadline_ms, headers, b"x" * 600)

    async def request(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        extra: dict[str, str],
        body: bytes = b"",
    ) -> Attempt:
        """Sends a request and reads its response."""
        assert self._reader is not None
        assert self._writer is not None
        attempt = Attempt(f"{next(_numbers):016x}")
        headers = {
            "Host": HOST,
            "Request-Id": attempt.request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
            **extra,
        }
        try:
            self._writer.write(http.encode_request(method, path, headers, body))
            await self._writer.drain()
            attempt.sent_s = self._record.now()
            self._record.write(f"{self._name}: {attempt.request_id} sent")
            await self._read(attempt)
        except (http.BrokenError, OSError):
            pass
        attempt.ended_s = self._record.now()
        first, last = (attempt.events or [0])[0], (attempt.events or [0])[-1]
        self._record.write(
            f"{self._name}: {attempt.request_id} status {attempt.status}, events "
            f"{first} to {last} ({len(attempt.events)}), "
            + ("complete" if attempt.is_complete else "not complete")
        )
        return attempt

    async def _read(self, attempt: Attempt) -> None:
        assert self._reader is not None
        head = await http.read_head(self._reader)
        if head is None:
            return
        attempt.status = head.status
        attempt.seal = head.header("server-seal")
        attempt.asks_to_close = (head.header("connection") or "").lower() == "close"
        if (head.header("transfer-encoding") or "").lower() != "chunked":
            await http.read_body(self._reader, head)
            attempt.is_complete = True
            return
        pending = b""
        while (part := await http.read_chunk(self._reader)) is not None:
            pending += part
            *whole, pending = pending.split(b"\n\n")
            for event in whole:
                for line in event.split(b"\n"):
                    if line.startswith(b"id:"):
                        attempt.events.append(int(line[3:]))
        attempt.is_complete = not pending

    def close(self) -> None:
        """Closes the channel."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
