"""ASGI application for the platform's calls to a control member."""

import urllib.parse

from cassiapitch import asgi, bundle, events
from cassiapitch.configurations import Configurations, PutResult
from cassiapitch.platform import heartbeats, names
from cassiapitch.registrations import Registrations
from cassiapitch.types import BackendName
from cassiapitch.zone_drains import DrainResult, ZoneDrains

BODY_TIMEOUT_MS = 10_000
# The platform's calls carry no name of the operator.
DRAIN_AUTHOR = "platform"

_STATUSES = {
    PutResult.ACCEPTED: 200,
    # A version that isn't newer is acknowledged and changes nothing.
    PutResult.OVERTAKEN: 200,
    PutResult.CONFLICT: 409,
    PutResult.INVALID: 400,
    PutResult.UNCERTAIN: 503,
}
_DRAIN_STATUSES = {
    DrainResult.DONE: 200,
    DrainResult.UNKNOWN_ZONE: 404,
    DrainResult.UNCERTAIN: 503,
}


def make_app(
    configurations: Configurations,
    registrations: Registrations,
    zone_drains: ZoneDrains,
) -> asgi.App:
    """Returns the application."""

    async def serve(scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send) -> None:
        method, path = scope["method"], scope["path"]
        if path == names.CONFIG_PATH and method == "PUT":
            await _put_config(configurations, receive, send)
        elif path == names.CONFIG_PATH and method == "GET":
            await _get_config(configurations, send)
        elif path.startswith(names.EVACUATIONS_PATH):
            zone = urllib.parse.unquote(path[len(names.EVACUATIONS_PATH) :])
            await _set_drain(zone_drains, method, zone, receive, send)
        elif path.startswith(names.INSTANCES_PATH) and method in ("PUT", "DELETE"):
            name = urllib.parse.unquote(path[len(names.INSTANCES_PATH) :])
            if method == "PUT":
                await _put_instance(registrations, name, receive, send)
            else:
                is_recorded = await registrations.depart(BackendName(name))
                await asgi.send_json(send, 200 if is_recorded else 503, {})
        else:
            await asgi.send_json(send, 404, {"error": "no such call"})

    return serve


async def _put_config(
    configurations: Configurations, receive: asgi.Receive, send: asgi.Send
) -> None:
    body = await asgi.read_body(receive, bundle.MAX_CONTENT_BYTES, BODY_TIMEOUT_MS)
    if isinstance(body, asgi.BodyTooLarge):
        await asgi.send_json(send, 413, {"error": "the configuration is too large"})
    elif isinstance(body, asgi.Body):
        outcome = await configurations.put(body.data)
        status = _STATUSES[outcome.result]
        await asgi.send_json(send, status, {"reason": outcome.reason})


async def _get_config(configurations: Configurations, send: asgi.Send) -> None:
    content = await configurations.read()
    events.log(events.Event.CONFIGURATION_READ, is_certain=content is not None)
    if content is None:
        await asgi.send_json(send, 503, {"error": "the newest version is uncertain"})
    else:
        await asgi.send_response(send, 200, content)


async def _set_drain(
    zone_drains: ZoneDrains,
    method: str,
    zone: str,
    receive: asgi.Receive,
    send: asgi.Send,
) -> None:
    if method not in ("POST", "DELETE"):
        allowed = [(b"allow", b"POST, DELETE")]
        await asgi.send_json(send, 405, {"error": f"not {method}"}, allowed)
        return
    body = await asgi.read_body(receive, 0, BODY_TIMEOUT_MS)
    if isinstance(body, asgi.BodyTooLarge):
        await asgi.send_json(send, 400, {"error": "no body is expected"})
    elif isinstance(body, asgi.Body):
        result = await zone_drains.set_drained(zone, method == "POST", DRAIN_AUTHOR)
        status = _DRAIN_STATUSES[result]
        await asgi.send_json(send, status, {"result": result.value})


async def _put_instance(
    registrations: Registrations, name: str, receive: asgi.Receive, send: asgi.Send
) -> None:
    body = await asgi.read_body(receive, bundle.MAX_CONTENT_BYTES, BODY_TIMEOUT_MS)
    if not isinstance(body, asgi.Body):
        return
    try:
        announcement = heartbeats.decode(name, body.data)
    except ValueError as error:
        events.log(events.Event.HEARTBEAT_REFUSED, name=name[:64], reason=str(error))
        await asgi.send_json(send, 400, {"error": str(error)})
        return
    is_recorded = await registrations.heartbeat(announcement)
    await asgi.send_json(send, 200 if is_recorded else 503, {})
