"""Measures the latency that an entry adds to the time to first token.

Calls the stand-in engine directly and through the entry alternately, one call at a
time.

python -m bench.first_token [--calls 500]
"""

import argparse
import pathlib
import statistics
import sys
import tempfile
import time
import uuid

import anyio
import httpcore
import msgspec

from cassiapitch.settings import Address
from testbed.deployment import Deployment, Options, Size
from testbed.processes import ProcessGroup
from testbed.testbed_bundle import make_testbed_bundle

READY_TIMEOUT_MS = 40_000
ACCOUNT = "jersey-shop"
MODEL = "model-00"
WARM_UP_CALL_COUNT = 50
# Target for the added latency at the 99th percentile.
LIMIT_MS = 10.0
# Time between tokens. At the usual 20 ms the engine's own variation hides the latency
# that the entry adds.
ENGINE_STEP_MS = 1


class _Target:
    """A server that is called over one persistent connection."""

    def __init__(self, address: Address, key: str | None) -> None:
        host = address.ip
        self._url = f"http://{host}:{address.port}/v1/completions"
        self._connection = httpcore.AsyncHTTPConnection(
            origin=httpcore.Origin(b"http", host.encode(), address.port)
        )
        self._key = key

    async def first_token_ms(self, number: int) -> float:
        """Sends one streamed call and returns the time to its first event."""
        body = msgspec.json.encode(
            {
                "model": MODEL,
                "prompt": f"Which saddle fits rider {number}?",
                "max_tokens": 4,
                "stream": True,
            }
        )
        headers = {
            "Host": "localhost",
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "X-Request-Id": uuid.uuid4().hex,
        }
        if self._key is not None:
            headers["Authorization"] = f"Bearer {self._key}"
        first_ns = None
        start_ns = time.monotonic_ns()
        async with self._connection.stream(
            "POST", self._url, headers=headers, content=body
        ) as response:
            if response.status != 200:
                raise RuntimeError(
                    f"status {response.status}: {await response.aread()!r}"
                )
            async for chunk in response.aiter_stream():
                if first_ns is None and b"data:" in chunk:
                    first_ns = time.monotonic_ns()
        if first_ns is None:
            raise RuntimeError("the stream had no event")
        return (first_ns - start_ns) / 1e6


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=500, help="calls on each path")
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory(prefix="cassiapitch-bench-") as folder,
        ProcessGroup() as group,
    ):
        direct, through_entry = anyio.run(
            _measure, pathlib.Path(folder), group, options.calls, backend="asyncio"
        )
    for name, values in (("direct", direct), ("through the entry", through_entry)):
        print(f"{name}: p50 {_percentile(values, 50):.2f} ms", end=", ")
        print(f"p99 {_percentile(values, 99):.2f} ms, {len(values)} calls")
    added_ms = _percentile(through_entry, 99) - _percentile(direct, 99)
    verdict = "met" if added_ms <= LIMIT_MS else "missed"
    print(f"added in the 99th percentile: {added_ms:.2f} ms; {LIMIT_MS:g} ms {verdict}")
    return 0


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]


async def _measure(
    folder: pathlib.Path, group: ProcessGroup, call_count: int
) -> tuple[list[float], list[float]]:
    deployment = Deployment(
        folder,
        group,
        make_testbed_bundle(model_count=1, adapter_count=0),
        Size(entry_count=1, engine_count=1, first_role_count=1),
        Options(standin={"step_ms": ENGINE_STEP_MS}),
    )
    deployment.start(deployment.control)
    await deployment.wait_for_leader(READY_TIMEOUT_MS)
    await deployment.roll(1)
    deployment.start([*deployment.engines, *deployment.services, *deployment.entries])
    key = await deployment.grant(ACCOUNT)
    await deployment.wait_for_entries(READY_TIMEOUT_MS)
    await deployment.wait_for_backends(READY_TIMEOUT_MS)
    direct = _Target(deployment.standin_address(deployment.engines[0]), None)
    through_entry = _Target(deployment.caller_address(deployment.entries[0]), key)
    direct_ms, through_entry_ms = [], []
    for number in range(WARM_UP_CALL_COUNT + call_count):
        direct_ms.append(await direct.first_token_ms(number))
        through_entry_ms.append(await through_entry.first_token_ms(number))
    return direct_ms[WARM_UP_CALL_COUNT:], through_entry_ms[WARM_UP_CALL_COUNT:]


if __name__ == "__main__":
    sys.exit(main())
