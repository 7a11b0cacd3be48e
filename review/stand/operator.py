"""The operator: sends manifests and reads them back, as the platform's pages say."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from review.stand import http
from review.stand.deployment import Record

CONFIG_PATH = "/-/config"
ANSWER_LIMIT_S = 1.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0

Addresses = Callable[[], list[tuple[str, int]]]


class Operator:
    """Sends calls to any machine of its list until it gets a clear response."""

    def __init__(self, addresses: Addresses, record: Record) -> None:
        self._addresses = addresses
        self._record = record
        self._rng = random.Random(7)
        # The newest acknowledged version and its content.
        self.acknowledged: tuple[int, bytes] | None = None

    async def put(self, manifest: dict[str, Any], limit_s: float) -> bool:
        """Sends a manifest until it is acknowledged; returns whether it was."""
        content = json.dumps(manifest).encode()
        version = manifest["version"]
        try:
            async with asyncio.timeout(limit_s):
                await self._put_until_acknowledged(version, content)
        except TimeoutError:
            self._record.write(f"operator: version {version} was not acknowledged")
            return False
        return True

    async def _put_until_acknowledged(self, version: int, content: bytes) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            address = self._rng.choice(self._addresses())
            answer = await http.call(
                address, "PUT", CONFIG_PATH, content, ANSWER_LIMIT_S
            )
            status = None if answer is None else answer[0]
            self._record.write(f"operator: PUT {version} to {address[0]}: {status}")
            if status == 200:
                if self.acknowledged is None or version > self.acknowledged[0]:
                    self.acknowledged = (version, content)
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def read_back(self, limit_s: float) -> bytes | None:
        """Reads the manifest until it comes; returns None if it doesn't in time."""
        answers: dict[str, int] = {}
        content = None
        try:
            async with asyncio.timeout(limit_s):
                while content is None:
                    address = self._rng.choice(self._addresses())
                    answer = await http.call(
                        address, "GET", CONFIG_PATH, b"", ANSWER_LIMIT_S
                    )
                    status = "none" if answer is None else str(answer[0])
                    answers[status] = answers.get(status, 0) + 1
                    if answer is not None and answer[0] == 200:
                        content = answer[1]
                    else:
                        await asyncio.sleep(FIRST_PAUSE_S)
        except TimeoutError:
            pass
        self._record.write(f"operator: GET answers by status: {answers}")
        return content
