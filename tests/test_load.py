"""Tests of the load tool against a fake entry with scripted answers."""

import dataclasses
import json

import anyio
import msgspec
import pytest

from cassiapitch import (
    asgi,
    config,
    httpserver,
    load,
    loadreport,
    loadrun,
    standin_streams,
)
from cassiapitch.experiment import Experiment
from cassiapitch.loadarrivals import PlannedCall
from cassiapitch.loadcaller import CallResult, Ending
from cassiapitch.loadresult import Collector, count_standins, is_attained
from cassiapitch.settings import Address

EXPERIMENT_TEXT = """
{
  "name": "scripted", "seed": 1, "duration_ms": 400, "accelerators_count": 2,
  "entries": [{"ip": "127.0.0.1", "port": 1}],
  "check_text": true,
  "models": {"names": ["a", "b"], "adapters": {"b": "a"}},
  "classes": [
    {"name": "chat", "kind": "chat", "deadline_ms": 60000, "stream": true,
     "prompt": {"median_tokens": 20}, "answer": {"median_tokens": 5}},
    {"name": "whole", "kind": "completion", "deadline_ms": 60000,
     "prompt": {"median_tokens": 20}, "answer": {"median_tokens": 5}}
  ],
  "accounts": [
    {"name": "shop", "rate_tokens_per_s": 1000, "burst_tokens": 100000,
     "rate_share": 1.0, "class_weights": {"chat": 1}, "key_path": "shop.key"}
  ]
}
"""


def _experiment(port=1, **changes):
    experiment = config.parse(EXPERIMENT_TEXT, Experiment)
    entry = Address("127.0.0.1", port)
    return dataclasses.replace(experiment, entries=(entry,), **changes)


def _events(generation, positions):
    """Returns the server-sent events of tokens, as the entry sends them."""
    for position in positions:
        text = standin_streams.token_text(
            generation.model, generation.adapter, generation.prompt, position
        )
        choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
        document = {"id": "r-1", "choices": [choice]}
        yield b"id: %d\ndata: %s\n\n" % (position, json.dumps(document).encode())


def _make_entry_app(answer):
    """Returns an application that passes each parsed request to `answer`."""

    async def app(scope, receive, send):
        body = await asgi.read_body(receive, 1 << 20, 5_000)
        document = msgspec.json.decode(body.data)
        if document["model"] == "b":
            document |= {"model": "a", "adapter": "b"}
        data = msgspec.json.encode(document)
        await answer(standin_streams.parse_generation("r-1", scope["path"], data), send)

    return app


def _answer_with_stream(positions, *tail):
    async def answer(generation, send):
        start = {"type": "http.response.start", "status": 200, "headers": []}
        await send(start)
        for event in (*_events(generation, positions), *tail):
            await send({"type": "http.response.body", "body": event, "more_body": True})
        await send({"type": "http.response.body", "body": b""})

    return answer


async def _answer_with_refusal(_generation, send):
    error = {"code": "rate_exceeded", "outcome": "not_run", "message": "later"}
    await asgi.send_json(send, 429, {"error": error})


def _run_load(answer, **changes):
    async def run_load():
        server = httpserver.HttpServer(_make_entry_app(answer), Address("127.0.0.1", 0))
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            experiment = _experiment(server.port, **changes)
            document = await loadrun.run(experiment, {"shop": "key"}, lambda *_: None)
            group.cancel_scope.cancel()
        return document

    return anyio.run(run_load, backend="asyncio")


DONE = b"data: [DONE]\n\n"


def test_complete_streams_attain():
    """Guards against faults that are counted in correct answers."""
    document = _run_load(_answer_with_stream(range(5), DONE))
    assert document["measures"]["attainment"] == 1.0
    assert document["accounts"]["shop"]["offered_count"] > 5
    assert document["integrity"]["wrong_texts_count"] == 0
    assert document["accounts"]["shop"]["first_token_ms"]["p50"] >= 1


@pytest.mark.parametrize(
    ("answer", "field"),
    [
        (_answer_with_stream(range(5)), "cut_answers_count"),
        (_answer_with_stream((0, 2, 3), DONE), "position_faults_count"),
        (_answer_with_stream((0, 1, 1), DONE), "wrong_texts_count"),
        (
            _answer_with_stream(
                (0, 1), b'data: {"error": {"code": "stream_lost"}}\n\n'
            ),
            "broken_off_answers_count",
        ),
    ],
    ids=["no-end-mark", "gap", "repeat", "broken-off"],
)
def test_faulty_streams_are_counted(answer, field):
    """Guards against a cut or wrong answer that counts as served."""
    document = _run_load(answer)
    offered = document["accounts"]["shop"]["offered_count"]
    assert document["integrity"][field] >= offered > 5
    assert document["measures"]["attainment"] == 0.0


def test_refusals_within_and_beyond_the_rate_are_distinguished():
    """Guards against justified refusals that are counted as wrongful ones."""
    document = _run_load(_answer_with_refusal)
    account = document["accounts"]["shop"]
    assert account["refused_within_rate"] == {"rate_exceeded": account["offered_count"]}
    low_burst_account = dataclasses.replace(_experiment().accounts[0], burst_tokens=1)
    document = _run_load(_answer_with_refusal, accounts=(low_burst_account,))
    account = document["accounts"]["shop"]
    assert account["refused_within_rate"] == {}
    assert account["refused_beyond_rate"] == {"rate_exceeded": account["offered_count"]}


def test_calls_are_sent_without_waiting_for_answers():
    """Guards against closed-loop load, which hides the queue of a slow entry."""

    async def never_answer(_generation, _send):
        await anyio.sleep_forever()

    document = _run_load(never_answer, drain_ms=0)
    account = document["accounts"]["shop"]
    assert account["offered_count"] > 5
    assert account["endings"] == {"timed_out": account["offered_count"]}


def test_unhealthy_entry_gets_no_calls():
    """Guards against calls that fail because their entry is stopped as planned."""

    async def unhealthy_app(scope, receive, send):
        await asgi.send_json(send, 503, {"path": scope["path"]})

    async def healthy_app(scope, receive, send):
        if scope["path"] == "/healthz":
            await asgi.send_json(send, 200, {})
        else:
            await _make_entry_app(_answer_with_stream(range(5), DONE))(
                scope, receive, send
            )

    async def run_load():
        address = Address("127.0.0.1", 0)
        servers = [
            httpserver.HttpServer(item, address)
            for item in (healthy_app, unhealthy_app)
        ]
        async with anyio.create_task_group() as group:
            for server in servers:
                group.start_soon(server.run)
            entries = tuple(Address("127.0.0.1", server.port) for server in servers)
            experiment = dataclasses.replace(
                _experiment(), entries=entries, health_period_ms=50
            )
            document = await loadrun.run(experiment, {"shop": "key"}, lambda *_: None)
            group.cancel_scope.cancel()
        return document

    document = anyio.run(run_load, backend="asyncio")
    assert set(document["accounts"]["shop"]["endings"]) == {"answered"}


def test_unreachable_entry_is_reported_as_connection_failure():
    """Guards against connection failures that count as refusals."""

    async def run_load():
        return await loadrun.run(_experiment(1), {"shop": "key"}, lambda *_: None)

    document = anyio.run(run_load, backend="asyncio")
    assert set(document["accounts"]["shop"]["endings"]) == {"connection_failed"}


def test_latency_counts_from_the_intended_time():
    """Guards against latencies that omit the delay before a call was sent."""
    experiment = _experiment()
    call_class = dataclasses.replace(experiment.classes[0], deadline_ms=100)
    call = PlannedCall(0, 1_000, "shop", "chat", "a", "p", 5, 6)
    late_result = CallResult(
        ending=Ending.ANSWERED, sent_ms=1_090, first_ms=1_110, end_ms=1_120
    )
    assert not is_attained(call, call_class, late_result)
    collector = Collector(experiment)
    collector.record_sent(call)
    collector.record_ended(call, call_class, late_result)
    account = collector.build_document({})["accounts"]["shop"]
    assert account["first_token_ms"]["p50"] == 110
    assert account["attained_count"] == 0


def test_attainment_of_an_overloaded_account_counts_any_served_call():
    """Guards against a low attainment for an account that is served at its rate.

    The system may serve other calls than those that the reference bucket admits.
    """
    low_burst_account = dataclasses.replace(_experiment().accounts[0], burst_tokens=10)
    experiment = dataclasses.replace(_experiment(), accounts=(low_burst_account,))
    collector = Collector(experiment)
    # The reference bucket admits the first of two equal calls, the entry the second.
    for number, ending in enumerate((Ending.REFUSED, Ending.ANSWERED)):
        call = PlannedCall(number, 0, "shop", "chat", "a", "p", 5, 10)
        collector.record_sent(call)
        collector.record_ended(
            call, experiment.classes[0], CallResult(ending=ending, end_ms=5)
        )
    document = collector.build_document({})
    assert document["accounts"]["shop"]["within_rate_count"] == 1
    assert document["measures"]["worst_served_attainment"] == 1.0


def test_standin_dumps_show_doubled_runs_and_loads():
    """Guards against repeated runs that no caller notices."""

    def order(number, verdict="accepted"):
        return {"order_id": f"o{number}", "kind": "load", "verdict": verdict}

    before = [{"life_id": "x", "orders": [order(1)]}]
    after = [
        {"life_id": "x", "orders": [order(1), order(2), order(2), order(3, "stale")]},
        {"life_id": "y", "orders": [order(4)]},
        {"life_id": "z", "doubled": ["r-1"], "overcommit": [{}]},
    ]
    assert count_standins(before, after) == {
        "model_loads_count": 2,
        "doubled_runs_count": 1,
        "overcommits_count": 1,
    }


def test_report_and_comparison_from_the_command_line(tmp_path, capsys):
    """Guards against a run whose results are lost because the report fails."""
    document = _run_load(_answer_with_stream(range(5), DONE))
    for name in ("first", "second"):
        folder = tmp_path / name
        folder.mkdir()
        (folder / loadreport.RESULT_NAME).write_text(json.dumps(document))
        loadreport.write(document, folder)
        for file in ("report.md", "series.png", "latency.png"):
            assert (folder / file).stat().st_size > 0
        document["measures"]["attainment"] = 0.5
    arguments = ["compare", str(tmp_path / "first"), str(tmp_path / "second"), "--json"]
    assert load.main(arguments) == 0
    rows = {row["name"]: row for row in json.loads(capsys.readouterr().out)}
    assert rows["attainment"]["verdict"] == "worse -50.0%"
    assert load.main(["compare", str(tmp_path), str(tmp_path)]) == 2
