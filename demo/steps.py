"""The demo's steps that send single calls and check the responses."""

import json
from collections.abc import Callable
from typing import Any

import anyio

from cassiapitch import timers
from cassiapitch.settings import Address
from demo import probes
from demo.checks import Check
from demo.probes import Reply, Request
from testbed.deployment import Deployment, TestbedError

WITHDRAWAL_LIMIT_MS = 2_000
CATCH_UP_TIMEOUT_MS = 20_000
# Length of the stream whose key is withdrawn; at 20 ms a token it lasts 16 s.
LONG_ANSWER_TOKENS = 800
# Number of team orders that `probe_all_entries` places.
PROBE_ORDERS_COUNT = 1


async def probe_all_entries(
    deployment: Deployment, keys: dict[str, str]
) -> list[Check]:
    """Sends calls of every kind through every entry."""
    results: list[Check] = []
    for entry in deployment.entries:
        address = deployment.caller_address(entry)
        results += await _probe_answers(entry, address, keys["jersey-shop"])
        results += await _probe_refusals(entry, address, keys["store-kiosk"])
    return [
        *_merge_by_text(results),
        await _probe_idempotency_key(deployment, keys["team-portal"]),
    ]


def _merge_by_text(results: list[Check]) -> list[Check]:
    """Merges checks whose texts differ only in the leading name of the entry."""
    merged: dict[str, list[Check]] = {}
    for item in results:
        entry, _, text = item.text.partition(": ")
        failure = "" if item.passed else f"{entry}: {item.details}"
        merged.setdefault(text, []).append(Check(text, item.passed, failure))
    return [
        Check(
            f"each entry: {text}",
            all(item.passed for item in items),
            "; ".join(item.details for item in items if item.details),
        )
        for text, items in merged.items()
    ]


async def _probe_answers(entry: str, address: Address, key: str) -> list[Check]:
    results = []
    for stream in (True, False):
        request = probes.chat("model-00", f"through {entry}", key, stream=stream)
        reply = await probes.call(address, request)
        tokens = reply.tokens if stream else _completion_tokens(reply)
        passed = reply.status == 200 and reply.is_complete and tokens == 20
        kind = "streamed" if stream else "whole"
        results.append(Check(f"{entry}: {kind} answer", passed, _describe(reply)))
    for request in (
        Request("GET", "/size-chart"),
        Request("GET", "/catalogue", key=key),
        Request("GET", "/v1/models", key=key),
    ):
        reply = await probes.call(address, request)
        text = f"{entry}: {request.method} {request.path}"
        results.append(Check(text, reply.status == 200, _describe(reply)))
    return results


async def _probe_refusals(entry: str, address: Address, key: str) -> list[Check]:
    def chat_request(
        model: str, text: str, key: str | None, tokens: int = 20
    ) -> Request:
        return probes.chat(model, text, key, stream=False, tokens=tokens)

    expected = {
        "key_missing": chat_request("model-00", "hello", None),
        "key_unknown": chat_request("model-00", "hello", "no-such-key"),
        "key_in_body": chat_request("model-00", f"my key is {key}", key),
        "model_unknown": chat_request("no-such-model", "hello", key),
        "request_over_burst": chat_request("model-00", "hello", key, tokens=2_000),
        "route_unknown": Request("GET", "/no-such-route", key=key),
        "method_not_allowed": Request("DELETE", "/catalogue", key=key),
        "bad_request": Request("POST", "/v1/chat/completions", {"model": 1}, key),
    }
    results = []
    for code, request in expected.items():
        reply = await probes.call(address, request)
        passed = reply.code == code and reply.outcome == "not_run"
        results.append(Check(f"{entry}: refuses with {code}", passed, _describe(reply)))
    return results


async def _probe_idempotency_key(deployment: Deployment, key: str) -> Check:
    """Sends one order through all entries at once with the same Idempotency-Key."""
    replies: list[Reply] = []
    request = Request("POST", "/orders/team", {"order": 1}, key, "demo-order-1")

    async def send(entry: str) -> None:
        replies.append(await probes.call(deployment.caller_address(entry), request))

    async with anyio.create_task_group() as group:
        for entry in deployment.entries:
            group.start_soon(send, entry)
    # A repeat after the order has finished is answered with the stored result.
    await send(deployment.entries[0])
    bodies = {reply.content for reply in replies if reply.status == 200}
    codes = {reply.code for reply in replies if reply.status != 200}
    passed = (
        len(bodies) == 1 and replies[-1].status == 200 and codes <= {"claim_running"}
    )
    details = ", ".join(_describe(reply) for reply in replies)
    return Check("one order with one Idempotency-Key at all entries", passed, details)


async def withdraw_while_streaming(
    deployment: Deployment, key: str, print_progress: Callable[[str], None]
) -> list[Check]:
    """Withdraws a key while a caller that uses it receives a stream."""
    entry = deployment.caller_address(deployment.entries[1])
    replies: list[Reply] = []

    async def stream() -> None:
        request = probes.chat(
            "model-00", "long", key, stream=True, tokens=LONG_ANSWER_TOKENS
        )
        replies.append(await probes.call(entry, request))

    async with anyio.create_task_group() as group:
        group.start_soon(stream)
        await anyio.sleep(2)
        await deployment.command("withdraw", text=key)
        withdrawn_ms = timers.now_ms()
    reply = replies[0]
    end_delay_ms = reply.ended_ms - withdrawn_ms
    print_progress(
        f"withdrew a key; its caller's stream ended {end_delay_ms} ms after the command"
    )
    was_streaming = 0 < reply.tokens < LONG_ANSWER_TOKENS
    is_ended = not reply.is_complete and end_delay_ms <= WITHDRAWAL_LIMIT_MS
    details = f"{_describe(reply)}, {end_delay_ms} ms"
    text = "a withdrawn key's stream ends within 2 s"
    results = [Check(text, was_streaming and is_ended, details)]
    remaining_ms = max(0, withdrawn_ms + WITHDRAWAL_LIMIT_MS - timers.now_ms())
    await anyio.sleep(remaining_ms / 1000)
    refusals = []
    for name in deployment.entries:
        request = probes.chat("model-00", "later", key, stream=False)
        later_reply = await probes.call(deployment.caller_address(name), request)
        text = f"{name}: refuses the withdrawn key"
        refusals.append(Check(text, later_reply.status == 401, _describe(later_reply)))
    return [*results, *_merge_by_text(refusals)]


async def fetch_dump(address: Address) -> dict[str, Any]:
    """Returns a stand-in's dump.

    Raises:
        TestbedError: The stand-in gave no complete dump.
    """
    reply = await probes.call(address, Request("GET", "/standin/dump"))
    if reply.status != 200 or not reply.is_complete:
        raise TestbedError(f"no dump from {address}")
    document: dict[str, Any] = json.loads(reply.content)
    return document


async def check_caught_up(deployment: Deployment, member: str) -> Check:
    """Waits until a restarted control member has applied what the leader had applied.

    Returns the check that it did so in time.
    """
    leader = await deployment.wait_for_leader(CATCH_UP_TIMEOUT_MS)
    status = await deployment.status(leader)
    target_index = 0 if status is None else status["applied_index"]
    deadline_ms = timers.now_ms() + CATCH_UP_TIMEOUT_MS
    reached_index = -1
    while timers.now_ms() < deadline_ms and reached_index < target_index:
        status = await deployment.status(member)
        reached_index = -1 if status is None else status["applied_index"]
        await anyio.sleep(0.1)
    text = f"{member} caught up after its restart"
    return Check(
        text, 0 < target_index <= reached_index, f"{reached_index} of {target_index}"
    )


def _completion_tokens(reply: Reply) -> int:
    try:
        return int(json.loads(reply.content)["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return 0


def _describe(reply: Reply) -> str:
    end = "complete" if reply.is_complete else "incomplete"
    return f"{reply.status} {reply.code} {reply.outcome} {reply.tokens} tokens {end}"
