"""Fake control member, engine and plain service for tests of an entry in one process."""

import contextlib
import hashlib
import json

import anyio
import anyio.lowlevel
import httpcore

from cassiapitch import asgi, codec, httpserver, messages, rpc, settings, viewitems
from cassiapitch.entry import EntryProcess
from cassiapitch.types import ClaimState, Priority, RoleKind, SuspectRunOutcome

KEY = "sk-test-key-0123456789"
BATCH = Priority.BATCH
LOOPBACK = settings.Address("127.0.0.1", 0)


def key_digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


class FakeHub:
    """Answers a link as a control member does; each kind of answer can be disabled."""

    def __init__(self):
        self.index = 1
        self.items = {}
        self.links = []
        self.asks = []
        self.received = []
        self.claims = {}
        self.crashed_lives = {}
        self.suspect_run_outcomes = []
        self.on_crash = lambda report: None
        self.answers_confirmations = True
        self.answers_rate_asks = True
        self.decides_claims = True
        self.grantable_tokens = 10**9
        self.grant_wait_ms = None
        self.refuses_links = False
        self.server = None
        self.address = None

    async def start(self):
        handler = rpc.Handler("Hub", {"Link": self.link})
        self.server = await rpc.serve([handler], LOOPBACK, None)
        self.address = settings.Address("127.0.0.1", self.server.port)

    def put(self, item, name):
        self.items[name] = codec.encode(item)

    async def change_view(self, upserts=(), deletes=()):
        """Changes the view and sends the delta over every link."""
        previous, self.index = self.index, self.index + 1
        encoded = {name: codec.encode(item) for name, item in dict(upserts).items()}
        self.items.update(encoded)
        for name in deletes:
            self.items.pop(name, None)
        delta = messages.ViewDelta(previous, self.index, encoded, tuple(deletes))
        for stream in list(self.links):
            await stream.send_message(delta)

    async def send(self, message):
        for stream in list(self.links):
            await stream.send_message(message)

    async def link(self, stream):
        hello = await stream.recv_message()
        self.received.append(hello)
        if self.refuses_links:
            await stream.send_message(messages.LinkRefused("not now"))
            return
        if hello.applied_index < self.index:
            snapshot = messages.ViewSnapshot(self.index, dict(self.items), True, True)
            await stream.send_message(snapshot)
        self.links.append(stream)
        try:
            while (message := await stream.recv_message()) is not None:
                answer = self.answer(message)
                if answer is not None:
                    await stream.send_message(answer)
        finally:
            self.links.remove(stream)

    def answer(self, message):
        if isinstance(message, messages.ConfirmAsk):
            if self.answers_confirmations:
                return messages.Confirmed(message.sequence, self.index)
            return None
        self.received.append(message)
        if isinstance(message, messages.RateAsk):
            return (
                self.grant_tokens(message)
                if self.answers_rate_asks and message.asks
                else None
            )
        if isinstance(message, messages.ClaimAsk):
            return self.decide_claim(message)
        if isinstance(message, messages.ClaimFinish):
            self.claims[message.key_digest] = message
            return messages.ClaimAnswer(message.sequence, ClaimState.FINISHED)
        if isinstance(message, messages.ClaimRelease):
            self.claims.pop(message.key_digest, None)
            return messages.ClaimAnswer(message.sequence, ClaimState.GRANTED)
        if isinstance(message, messages.CrashReport):
            return self.record_crash(message)
        if isinstance(message, messages.SuspectRunAsk):
            outcome = (
                self.suspect_run_outcomes.pop(0)
                if self.suspect_run_outcomes
                else SuspectRunOutcome.GRANTED
            )
            return messages.SuspectRunAnswer(message.sequence, outcome)
        return None

    def grant_tokens(self, message):
        grants = []
        for ask in message.asks:
            asked_tokens = ask.needed_tokens + ask.expected_tokens
            granted_tokens = min(asked_tokens, self.grantable_tokens)
            self.grantable_tokens -= granted_tokens
            wait_ms = (
                None if granted_tokens >= ask.needed_tokens else self.grant_wait_ms
            )
            grants.append(
                messages.Grant(ask.account, granted_tokens, 1_000, 1, 1, wait_ms)
            )
        return messages.RateGrants(message.sequence, tuple(grants))

    def decide_claim(self, message):
        if not self.decides_claims:
            return messages.ClaimAnswer(message.sequence, None)
        earlier_message = self.claims.get(message.key_digest)
        if earlier_message is None or earlier_message == message:
            self.claims[message.key_digest] = message
            return messages.ClaimAnswer(message.sequence, ClaimState.GRANTED)
        if isinstance(earlier_message, messages.ClaimFinish):
            return messages.ClaimAnswer(
                message.sequence,
                ClaimState.FINISHED,
                earlier_message.status,
                earlier_message.content_type,
                earlier_message.body,
            )
        return messages.ClaimAnswer(message.sequence, ClaimState.RUNNING)

    def record_crash(self, message):
        self.on_crash(message)
        for digest in message.digests:
            self.crashed_lives.setdefault(digest, set()).add(message.life_id)
        counts = tuple(len(self.crashed_lives[digest]) for digest in message.digests)
        return messages.CrashAnswer(message.sequence, True, counts)

    def received_of(self, kind):
        return [message for message in self.received if isinstance(message, kind)]


class FakeServer:
    """Base of engine and service: an address, a record of requests, a crash."""

    version = ""

    def __init__(self, name, life_id, zone="a"):
        self.name, self.life_id, self.zone = name, life_id, zone
        self.http = httpserver.HttpServer(self.app, LOOPBACK)
        self.requests = []
        self.transports = set()

    def item(self, role, models=(), *, adapters=(), limit=16):
        return viewitems.BackendItem(
            self.name,
            self.life_id,
            role,
            self.zone,
            "127.0.0.1",
            self.http.port,
            "serving",
            tuple(models),
            tuple(adapters),
            limit,
            software_version=self.version,
        )

    async def record_request(self, scope, receive):
        body = await asgi.read_body(receive, 10**8, 10_000)
        data = body.data if isinstance(body, asgi.Body) else b""
        self.requests.append((scope, data))
        return data

    def crash(self):
        """Stops listening and cuts every connection, as a crash does."""
        for server in self.http._server.servers:
            server.close()
        for transport in self.transports:
            transport.abort()

    def received_data(self):
        parts = []
        for scope, data in self.requests:
            parts += [scope["raw_path"], scope["query_string"], data]
            parts += [part for header in scope["headers"] for part in header]
        return b"\n".join(parts)


class FakeEngine(FakeServer):
    """Streams `t0 t1 ...`; can disconnect, duplicate chunks, crash or pause."""

    def __init__(self, name, life_id, zone="a"):
        super().__init__(name, life_id, zone)
        self.disconnect_at = None
        self.crash_at = None
        self.pause_at = None
        self.sends_noise = False
        self.sends_comments = False
        self.declines_with = None
        self.token_padding = ""
        self.unpause = anyio.Event()
        self.cancelled_ids = []
        self.streams = {}
        self.resumed_after = []

    async def app(self, scope, receive, send):
        self.transports.add(send.__self__.transport)
        data = await self.record_request(scope, receive)
        request_id = asgi.header(scope, b"x-request-id")
        if scope["method"] == "DELETE":
            self.cancelled_ids.append(scope["path"].rpartition("/")[2])
            await asgi.send_json(send, 200, {})
        elif scope["method"] == "GET":
            await self.resume(scope, send, request_id)
        elif self.declines_with is not None:
            status, code = self.declines_with
            await asgi.send_json(send, status, {"error": {"code": code}})
        else:
            body = json.loads(data)
            self.streams[request_id] = body
            first = body.get("continue_position", 0)
            await self.stream(send, request_id, first, body["max_tokens"])

    async def resume(self, scope, send, request_id):
        body = self.streams.get(request_id)
        if body is None:
            await asgi.send_json(send, 404, {"error": {"code": "unknown_stream"}})
            return
        after = int(scope["query_string"].decode().partition("=")[2])
        self.resumed_after.append(after)
        await self.stream(send, request_id, after + 1, body["max_tokens"])

    async def stream(self, send, request_id, first, count):
        headers = [(b"x-life-id", self.life_id.encode())]
        headers.append((b"content-type", b"text/event-stream"))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for position in range(first, count):
            if position == self.pause_at:
                await self.pause(send)
            if position == self.crash_at:
                self.crash()
                return
            if position == self.disconnect_at:
                self.disconnect_at = None
                send.__self__.transport.abort()
                return
            data = self.event(request_id, position, count)
            if self.sends_noise:
                data += self.event("another-request", position + 1, count) + data
            body = {"type": "http.response.body", "body": data, "more_body": True}
            await send(body)
            await anyio.lowlevel.checkpoint()
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})

    async def pause(self, send):
        """Waits for `unpause`; with `sends_comments`, sends SSE comments meanwhile."""
        body = {"type": "http.response.body", "body": b":\n", "more_body": True}
        while self.sends_comments and not self.unpause.is_set():
            await send(body)
            await anyio.sleep(0.05)
        await self.unpause.wait()

    def event(self, request_id, position, count):
        is_last = position == count - 1
        choice = {"index": 0, "delta": {"content": f"t{position} {self.token_padding}"}}
        choice["finish_reason"] = "length" if is_last else None
        data = {"id": request_id, "model": "m", "created": 1, "choices": [choice]}
        if is_last:
            data["usage"] = {"prompt_tokens": 3, "completion_tokens": count}
        return f"id: {position}\ndata: {json.dumps(data)}\n\n".encode()


class FakeService(FakeServer):
    """Answers 200, or loses the connection after it has run a call."""

    def __init__(self, name, life_id, zone="a"):
        super().__init__(name, life_id, zone)
        self.loses_answers = False
        self.unpause = None

    async def app(self, scope, receive, send):
        self.transports.add(send.__self__.transport)
        await self.record_request(scope, receive)
        if self.unpause is not None:
            await self.unpause.wait()
        if self.loses_answers:
            send.__self__.transport.abort()
            return
        headers = [(b"x-life-id", self.life_id.encode())]
        count = str(len(self.requests)).encode()
        await asgi.send_response(send, 200, b"run " + count, "text/plain", headers)


class World:
    """One hub, one entry and the backend servers of a test."""

    def __init__(self, group, **setting_overrides):
        self.group = group
        self.setting_overrides = setting_overrides
        self.hub = FakeHub()
        self.stop = anyio.Event()
        self.entry = None
        self.entry_stopped = anyio.Event()
        self.received_bytes = 0

    async def start(self, *servers):
        await self.prepare(*servers)
        peer = settings.ControlPeer("c1", "a", self.hub.address)
        self.entry = EntryProcess(self.settings((peer,)), self.stop)
        self.group.start_soon(self.run_entry)
        await self.wait_until(lambda: self.entry.state.freshness.as_of_ms is not None)

    async def prepare(self, *servers):
        """Starts the control group and the backend servers without an entry."""
        hub = self.hub
        hub.put(viewitems.RoleItem("engines", RoleKind.ENGINE, True), "role/engines")
        hub.put(viewitems.RoleItem("shop", RoleKind.SERVICE, False), "role/shop")
        hub.put(viewitems.ModelItem("m", "engines", 100, 1, 4_096), "model/m")
        hub.put(viewitems.ModelItem("cold", "engines", 100, 0, 4_096), "model/cold")
        hub.put(viewitems.AdapterItem("ad", "m", 1), "adapter/ad")
        hub.put(viewitems.AccountItem("acme", 10_000, 20_000, 1), "account/acme")
        hub.put(viewitems.KeyItem("acme"), f"key/{key_digest(KEY)}")
        self.add_route("GET", "/stock", idempotent=True)
        self.add_route("GET", "/open", idempotent=True, is_open=True)
        self.add_route("POST", "/charge", idempotent=False)
        for server in servers:
            self.group.start_soon(server.http.run)
            self.add_server(server)
        await hub.start()

    def settings(self, control):
        values = {
            "name": "e1",
            "zone": "a",
            "cluster": "test",
            "caller_address": LOOPBACK,
            "admin_address": LOOPBACK,
            "control": control,
            "operators": (
                settings.Operator("op", key_digest("operator-token"), "0" * 64),
            ),
            "balancer_delay_ms": 100,
        }
        return settings.EntrySettings(**{**values, **self.setting_overrides})

    async def run_entry(self):
        await self.entry.run()
        self.entry_stopped.set()

    def add_route(self, method, path, *, idempotent, is_open=False):
        item = viewitems.RouteItem(path, method, "shop", idempotent, is_open, 5_000, 10)
        self.hub.put(item, f"route/{method} {path}")

    def add_server(self, server):
        is_engine = isinstance(server, FakeEngine)
        item = server.item("engines", ["m"]) if is_engine else server.item("shop")
        self.hub.put(item, f"backend/{server.name}")

    async def wait_until(self, condition, limit_s=10):
        with anyio.fail_after(limit_s):
            while not condition():  # noqa: ASYNC110
                await anyio.sleep(0.01)

    @property
    def url(self):
        return f"http://127.0.0.1:{self.entry.caller_server.port}"

    async def call(self, method, path, *, key=KEY, headers=(), body=None):
        """Sends a request and returns status, headers and body of the response."""
        fields = [("Authorization", f"Bearer {key}".encode("latin-1"))] if key else []
        fields += list(headers)
        content = json.dumps(body).encode() if isinstance(body, dict) else body
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request(
                method, self.url + path, headers=fields, content=content
            )
            names = {
                name.decode().lower(): value.decode()
                for name, value in response.headers
            }
            return response.status, names, response.content

    async def chat(self, tokens=5, **fields):
        body = {
            "model": "m",
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "hello"}],
            **fields,
        }
        return await self.call("POST", "/v1/chat/completions", body=body)

    @contextlib.asynccontextmanager
    async def open_chat(self, tokens=5, **fields):
        """Yields the response of a streamed answer."""
        body = {
            "model": "m",
            "max_tokens": tokens,
            "stream": True,
            "messages": [{"role": "user", "content": "hello"}],
            **fields,
        }
        async with (
            httpcore.AsyncConnectionPool() as pool,
            pool.stream(
                "POST",
                self.url + "/v1/chat/completions",
                headers=[("Authorization", f"Bearer {KEY}")],
                content=json.dumps(body).encode(),
            ) as response,
        ):
            yield response

    async def stream_chat(self, tokens=5, **fields):
        """Returns the text, whether it ended with [DONE], and the error code."""
        raw = b""
        with contextlib.suppress(httpcore.RemoteProtocolError, httpcore.ReadError):
            async with self.open_chat(tokens, **fields) as response:
                async for part in response.aiter_stream():
                    raw += part
                    self.received_bytes += len(part)
        return read_events(raw)


def read_events(raw):
    text, is_done, code = "", False, None
    for event in raw.decode().split("\n\n"):
        for line in event.split("\n"):
            if line == "data: [DONE]":
                is_done = True
            elif line.startswith("data: "):
                data = json.loads(line[6:])
                if "error" in data:
                    code = data["error"]["code"]
                else:
                    text += data["choices"][0]["delta"]["content"]
    return text, is_done, code


def expected_text(tokens):
    return "".join(f"t{position} " for position in range(tokens))


def error(body):
    document = json.loads(body)["error"]
    return document["code"], document["outcome"]


@contextlib.asynccontextmanager
async def world(*servers, **setting_overrides):
    """Runs an entry with a fake control member and the given backend servers."""
    async with anyio.create_task_group() as group:
        harness = World(group, **setting_overrides)
        await harness.start(*servers)
        yield harness
        group.cancel_scope.cancel()
