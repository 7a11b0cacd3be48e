"""Tests of a whole entry with real sockets against fakes."""

import json

import pytest

from tests.entryfakes import (
    FakeEngine,
    FakeService,
    error,
    expected_text,
    world,
)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.anyio
async def test_whole_and_streamed_answers_are_the_engines_text():
    """Guards against lost, doubled or reordered text on the plain way."""
    async with world(FakeEngine("n1", "l1")) as w:
        status, _, body = await w.chat(7)
        answer = json.loads(body)
        assert status == 200
        assert answer["choices"][0]["message"]["content"] == expected_text(7)
        assert answer["usage"]["completion_tokens"] == 7
        assert await w.stream_chat(7) == (expected_text(7), True, None)


@pytest.mark.anyio
async def test_models_health_and_services():
    """Guards against routes that aren't there."""
    async with world(FakeService("s1", "l1")) as w:
        status, _, body = await w.call("GET", "/v1/models")
        names = [item["id"] for item in json.loads(body)["data"]]
        assert (status, names) == (200, ["ad", "cold", "m"])
        assert (await w.call("GET", "/healthz", key=None))[0] == 200
        assert (await w.call("GET", "/stock"))[2] == b"run 1"
        assert (await w.call("GET", "/open", key=None))[0] == 200
        assert error((await w.call("GET", "/stock", key=None))[2])[0] == "key_missing"
        assert (await w.call("POST", "/stock"))[0] == 405
        assert (await w.call("GET", "/nothing"))[0] == 404
