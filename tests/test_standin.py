"""Tests of the stand-in engine and service over HTTP."""

import itertools
import json

import anyio
import anyio.lowlevel
import httpcore
import pytest

from cassiapitch import httpserver, standin, timers
from cassiapitch.announce_route import AnnounceRoute
from cassiapitch.settings import Address
from cassiapitch.standin_engine import Engine
from cassiapitch.standin_service import Service
from cassiapitch.standin_settings import StandinSettings
from cassiapitch.standin_streams import token_text

LIMIT_S = 20


@pytest.fixture
def anyio_backend():
    return "asyncio"


class StandinClient:
    """Client of a running stand-in."""

    def __init__(self, backend, port):
        self.backend = backend
        self.base_url = f"http://127.0.0.1:{port}"

    async def call(self, method, path, document=None, headers=None):
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method,
                self.base_url + path,
                headers=headers or {},
                content=None if document is None else json.dumps(document).encode(),
            )
            return response.status, response.content

    async def order(self, order_id, kind, model, fence_number, memory_mib=0, **fields):
        document = {
            "order_id": order_id,
            "fence_term": 1,
            "fence_number": fence_number,
            "life_id": "life",
            "kind": kind,
            "model": model,
            "memory_mib": memory_mib,
        }
        status, body = await self.call("POST", "/orders", document | fields)
        return status, json.loads(body)

    async def dump(self):
        return json.loads((await self.call("GET", "/standin/dump"))[1])

    async def wait_until(self, condition):
        with anyio.fail_after(LIMIT_S):
            while not condition(dump := await self.dump()):  # noqa: ASYNC110
                await anyio.sleep(0.01)
        return dump

    async def load(self, model="m", fence_number=1):
        await self.order(f"load-{model}", "load", model, fence_number, 10)
        await self.wait_until(lambda dump: f"load-{model}" in dump["settled"])

    async def events(self, method, path, document, request_id):
        """Returns the (position, data) of each event and whether the stream completed."""
        content = None if document is None else json.dumps(document).encode()
        data = b""
        headers = {"X-Request-Id": request_id}
        async with httpcore.AsyncConnectionPool() as pool:
            try:
                async with pool.stream(
                    method, self.base_url + path, headers=headers, content=content
                ) as response:
                    assert response.status == 200
                    async for part in response.aiter_stream():
                        data += part
            except (httpcore.RemoteProtocolError, httpcore.NetworkError):
                pass
        events = data.decode().split("\n\n")
        event_lines = [
            event.split("\n") for event in events if event.startswith("id: ")
        ]
        positions_and_data = [
            (int(id_line[4:]), json.loads(data_line[6:]))
            for id_line, data_line in event_lines
        ]
        return positions_and_data, "data: [DONE]" in events


class RunningStandin:
    """Context manager that runs a stand-in in the event loop of the test."""

    def __init__(self, backend_class=Engine, **fields):
        fields = {"step_ms": 2, "load_ms_per_gib": 1, "kind": "engine"} | fields
        self.settings = StandinSettings(
            name="b", role="r", zone="z", address=Address("127.0.0.1", 0), **fields
        )
        self.crashes = []
        self.backend_class = backend_class

    async def __aenter__(self):
        arguments = {}
        if self.backend_class is Engine:
            arguments["crash"] = lambda: self.crashes.append(True)
        backend = self.backend_class(self.settings, "life", **arguments)
        self.server = httpserver.HttpServer(backend, Address("127.0.0.1", 0))
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        self.group.start_soon(self.server.run)
        self.group.start_soon(backend.run)
        return StandinClient(backend, self.server.port)

    async def __aexit__(self, *error):
        self.server.close()
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)


def generation_request(**fields):
    return {
        "model": "m",
        "prompt": "hello",
        "max_tokens": 30,
        "ignore_eos": True,
        "stream": True,
    } | fields


@pytest.mark.anyio
async def test_engine_continues_after_late_steps(monkeypatch):
    """Guards against a negative sleep, which ends the engine on a busy machine."""
    clock = itertools.count(0, 1_000)
    monkeypatch.setattr(timers, "now_ms", lambda: next(clock))
    async with RunningStandin() as client:
        with anyio.fail_after(LIMIT_S):
            while next(clock) < 100_000:
                await anyio.lowlevel.checkpoint()
        assert client.backend.is_idle()


@pytest.mark.anyio
async def test_load_over_the_memory_is_recorded_as_overcommit():
    """Guards against placement errors that stay unnoticed in test runs."""
    async with RunningStandin(memory_mib=100, load_ms={"a": 60_000}) as client:
        await client.order("1", "load", "a", 1, 60)
        assert (await client.dump())["overcommit"] == []
        await client.order("2", "load", "b", 2, 60)
        dump = await client.dump()
    assert [item["order_id"] for item in dump["overcommit"]] == ["2"]
    assert dump["most_used_mib"] == 120


@pytest.mark.anyio
async def test_resumed_and_continued_streams_have_each_token_once():
    """Guards against gaps after a cut, and against events of another stream."""
    async with RunningStandin(max_running_count=4) as client:
        await client.load()
        await client.call(
            "POST", "/standin/faults", {"break_streams": 1, "break_after_tokens": 7}
        )
        events_before_cut, is_complete = await client.events(
            "POST", "/v1/completions", generation_request(), "q1"
        )
        assert [position for position, _ in events_before_cut] == list(range(7))
        assert not is_complete
        # Events of a concurrent stream have that stream's request id.
        concurrent_events, _ = await client.events(
            "POST", "/v1/completions", generation_request(prompt="x"), "q2"
        )
        resumed_events, is_complete = await client.events(
            "GET", "/v1/streams/q1?after=6", None, "q1"
        )
        assert is_complete
        continued_events, _ = await client.events(
            "POST",
            "/v1/completions",
            generation_request(continue_position=7, continue_text="w"),
            "q3",
        )
    texts = [
        data["choices"][0]["text"] for _, data in events_before_cut + resumed_events
    ]
    assert texts[:-1] == [token_text("m", "", "hello", index) for index in range(30)]
    assert [item["choices"] for _, item in continued_events] == [
        item["choices"] for _, item in resumed_events
    ]
    assert {data["id"] for _, data in events_before_cut + resumed_events} == {"q1"}
    assert {data["id"] for _, data in concurrent_events} == {"q2"}
    assert resumed_events[-1][1]["usage"]["completion_tokens"] == 30


@pytest.mark.anyio
async def test_cancelled_stream_ends_without_done():
    """Guards against generation that continues after its caller disconnected."""
    async with RunningStandin() as client:
        await client.load()
        results = []

        async def read():
            request = generation_request(max_tokens=1_000_000)
            results.append(await client.events("POST", "/v1/completions", request, "q"))

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await client.wait_until(lambda dump: dump["running"] == ["q"])
            status, _ = await client.call("DELETE", "/v1/streams/q")
        assert status == 200
        await client.wait_until(lambda dump: dump["running"] == [])
        assert (await client.call("GET", "/v1/streams/q?after=1"))[0] == 404
    assert not results[0][1]


@pytest.mark.anyio
async def test_marked_request_crashes_the_engine():
    """Guards against crash tests without a crash, and crashes by unmarked requests."""
    running_standin = RunningStandin()
    async with running_standin as client:
        await client.load()
        await client.call("POST", "/v1/completions", generation_request(stream=False))
        assert running_standin.crashes == []
        await client.call(
            "POST",
            "/v1/completions",
            generation_request(prompt="CRASH-ENGINE", stream=False),
        )
    assert running_standin.crashes


@pytest.mark.anyio
async def test_stale_and_late_orders():
    """Guards against an engine with fencing that runs late orders."""
    async with RunningStandin(fencing=True) as client:
        await client.load("a", 5)
        status, answer = await client.order("old", "load", "b", 4, 10)
        assert (status, answer["error"]["code"]) == (409, "stale_fence")
        status, answer = await client.order("x", "load", "b", 6, 10, life_id="other")
        assert (status, answer["error"]["code"]) == (409, "other_life")
        assert (await client.order("load-a", "load", "a", 5, 10))[0] == 202
    async with RunningStandin(fencing=False) as client:
        await client.call(
            "POST", "/standin/faults", {"double_orders": 1, "order_delay_ms": 100}
        )
        with pytest.raises(httpcore.RemoteProtocolError):
            await client.order("1", "load", "a", 1, 10)
        await client.order("2", "unload", "a", 2)
        await client.wait_until(
            lambda dump: (
                [item["late"] for item in dump["orders"]] == [False, False, True]
            )
        )
        await client.wait_until(
            lambda dump: [item["name"] for item in dump["residents"]] == ["a"]
        )


@pytest.mark.anyio
async def test_order_of_unknown_kind_is_refused():
    """Guards against accepting an order whose outcome the engine can't record."""
    async with RunningStandin() as client:
        status, _ = await client.order("o1", "set_role", "m", 1)
        assert status == 400


@pytest.mark.anyio
async def test_unload_waits_for_requests_and_refuses_new_ones():
    """Guards against an unload that interrupts an answer."""
    async with RunningStandin() as client:
        await client.load()

        async def read():
            request = generation_request(max_tokens=1_000_000)
            await client.events("POST", "/v1/completions", request, "q")

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            await client.wait_until(lambda dump: dump["running"] == ["q"])
            await client.order("u", "unload", "m", 2)
            status, answer = await client.call(
                "POST", "/v1/completions", generation_request()
            )
            assert (status, json.loads(answer)["error"]["code"]) == (409, "not_loaded")
            dump = await client.dump()
            assert dump["running"] == ["q"]
            assert (dump["used_mib"], dump["settled"]) == (10, {"load-m": "done"})
            await client.call("DELETE", "/v1/streams/q")
        await client.wait_until(lambda dump: dump["used_mib"] == 0)


@pytest.mark.anyio
async def test_doubled_run_of_a_call_is_in_the_dump():
    """Guards against a repeated non-idempotent call that goes unnoticed."""
    async with RunningStandin(Service, kind="service") as client:
        await client.call("POST", "/standin/faults", {"drop_responses": 1})
        headers = {"X-Request-Id": "q", "Authorization": "Bearer secret"}
        with pytest.raises(httpcore.RemoteProtocolError):
            await client.call("POST", "/reorder", {}, headers)
        assert (await client.dump())["doubled"] == []
        await client.call("POST", "/reorder", {}, headers)
        dump = await client.dump()
    assert dump["doubled"] == ["q"]
    assert "authorization: Bearer secret" in dump["headers"]


@pytest.mark.anyio
@pytest.mark.parametrize("kind", ["engine", "service"])
async def test_program_announces_itself_and_leaves_gracefully(kind):
    """Guards against a stop that is announced too late or that cuts requests."""
    delivered, stop = [], anyio.Event()

    async def deliver(announcement):
        delivered.append(announcement)
        return True

    digest = "2e7d2c03a9507ae265ecf5b5356885a53393a2029d241394997265a1a25aefc6"
    route = AnnounceRoute(lambda: {"r": digest}, deliver)
    member = httpserver.HttpServer(route, Address("127.0.0.1", 0))
    settings = StandinSettings(
        name="b",
        kind=kind,
        role="r",
        zone="z",
        address=Address("127.0.0.1", 0),
        credential="c",
        # The first member is unreachable, so the second one is tried.
        announce_addresses=(Address("127.0.0.1", 9), Address("127.0.0.1", member.port)),
        announce_ms=100,
        leave_ms=300,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(member.run)
        group.start_soon(standin.serve, settings, stop)
        with anyio.fail_after(LIMIT_S):
            while not delivered:  # noqa: ASYNC110
                await anyio.sleep(0.01)
            assert not delivered[-1].leaving
            stop.set()
            while not delivered[-1].leaving:  # noqa: ASYNC110
                await anyio.sleep(0.01)
        member.close()
    sequences = [item.sequence for item in delivered]
    assert sequences == sorted(set(sequences))
    assert {item.life_id for item in delivered} == {delivered[0].life_id}
