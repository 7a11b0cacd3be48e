"""Administration API of an entry: metrics, status, state dump and drain."""

import hashlib

import anyio

from cassiapitch import asgi, events, metrics, timers
from cassiapitch.asgi import Receive, Scope, Send
from cassiapitch.entrystate import EntryState
from cassiapitch.link import LinkPlan
from cassiapitch.operator_auth import authenticate


class OperatorApplication:
    """ASGI application that serves the entry's `admin_address`."""

    def __init__(self, state: EntryState, plan: LinkPlan, stop: anyio.Event) -> None:
        self._state = state
        self._plan = plan
        self._stop = stop

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one request; only metrics are served without authentication."""
        if scope["type"] != "http":
            return
        if (scope["method"], scope["path"]) == ("GET", metrics.PATH):
            metrics.VIEW_INDEX.set(self._state.catalog.index)
            await metrics.serve(send)
            return
        authorization = asgi.header(scope, b"authorization")
        operator = authenticate(self._state.settings.operators, authorization)
        if operator is None:
            await _send_error(send, 401, "unauthorized", "no operator's token")
            return
        request = (scope["method"], scope["path"])
        if request == ("GET", "/admin/v1/status"):
            await asgi.send_json(send, 200, self._status())
        elif request == ("GET", "/admin/v1/dump"):
            events.log(events.Event.DUMP_SERVED, operator=operator.name)
            await asgi.send_json(send, 200, {**self._status(), **self._dump()})
        elif request == ("POST", "/admin/v1/drain"):
            events.log(events.Event.ENTRY_DRAINING, operator=operator.name)
            self._stop.set()
            await asgi.send_json(send, 202, {"status": "draining"})
        else:
            await _send_error(send, 404, "not_found", "no such operation")

    def _status(self) -> dict[str, object]:
        state = self._state
        now_ms = timers.now_ms()
        as_of_ms = state.freshness.as_of_ms
        bundle = state.catalog.bundle
        return {
            "name": state.settings.name,
            "zone": state.settings.zone,
            "life_id": state.life_id,
            "state": state.shutdown,
            "applied_index": state.catalog.index,
            "bundle_version": None if bundle is None else bundle.version,
            "bundle_digest": None if bundle is None else bundle.digest,
            "fresh": state.freshness.is_fresh(now_ms),
            "confirmed_age_ms": None if as_of_ms is None else now_ms - as_of_ms,
            "links": {
                str(link_number): peer.name
                for link_number, peer in self._plan.current().items()
            },
            "calls_count": len(state.authorization),
            "requests_count": state.requests_count,
        }

    def _dump(self) -> dict[str, object]:
        state = self._state
        backends = [
            {
                "name": backend.name,
                "life_id": backend.life_id,
                "state": backend.state,
                "zone": backend.zone,
                "models": backend.models,
                "in_flight_count": state.router.in_flight(backend.life_id),
            }
            for backend in state.catalog.backends.values()
        ]
        queue_waits = state.scheduler.waiting()
        waiting = [
            {
                "name": name,
                "rank": rank,
                "waiting_count": count,
                "oldest_wait_ms": oldest_ms,
            }
            for (name, rank), (count, oldest_ms) in queue_waits.items()
        ]
        key_digests = "\n".join(sorted(state.catalog.keys))
        return {
            "models": sorted(state.catalog.models),
            "adapters": sorted(state.catalog.adapters),
            "client_accounts": sorted(state.catalog.accounts),
            "keys_count": len(state.catalog.keys),
            "keys_sha256": hashlib.sha256(key_digests.encode()).hexdigest(),
            "held_tokens": state.budget.held_tokens(),
            "backends": backends,
            "waiting": waiting,
            "admission": state.gate.describe(timers.now_ms()),
        }


async def _send_error(send: Send, status: int, code: str, message: str) -> None:
    await asgi.send_json(send, status, {"error": {"code": code, "message": message}})
