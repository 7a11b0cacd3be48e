"""The ASGI application for callers: the OpenAI-compatible API and plain services."""

import hashlib
from collections.abc import Awaitable, Callable

import anyio

from cassiapitch import api, asgi, events, metrics, ranks, timers
from cassiapitch.asgi import Headers, Receive, Scope, Send
from cassiapitch.callerstream import (
    PIECE_BYTES,
    SLOW_CALLER_LIMIT_MS,
    CallerStream,
    CallerTransport,
    SlowCallerError,
)
from cassiapitch.callerwatch import (
    CallerDisconnectedError,
    end_quietly,
    run_watched,
)
from cassiapitch.calls import (
    Call,
    CallEndedError,
    CallRefusedError,
    refusal_for,
    refused,
)
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.engine_calls import EngineRefusedError, GenerationPlan
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind, Refusal
from cassiapitch.generation import Generation
from cassiapitch.mapped_bytes import Sliceable
from cassiapitch.operator_auth import bearer_token
from cassiapitch.rate_refusals import check_admitted
from cassiapitch.retries import RequestProgress
from cassiapitch.scrubbing import body_holds_key, forwarded_headers, forwarded_query
from cassiapitch.servicecalls import ServiceCall, ServiceRequest
from cassiapitch.viewitems import (
    RouteItem,
)

BODY_LIMIT_MS = 30_000
HEADERS_LIMIT_BYTES = 16 * 1024
HEADERS_LIMIT_COUNT = 100
GENERATION_PATHS = (api.CHAT_PATH, api.COMPLETIONS_PATH)
MODELS_PATH = "/v1/models"
IDEMPOTENCY_HEADER = b"idempotency-key"
HEALTH_PATH = "/healthz"
# Initial state of the chart `shutdown`.
RUNNING = "running"

Work = Callable[[Call, Scope, Receive, Send], Awaitable[None]]


class CallerApplication:
    """Serves callers' requests; one instance serves every connection of an entry."""

    def __init__(self, state: EntryState, crash_containment: CrashContainment) -> None:
        self._state = state
        self._crash_containment = crash_containment

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        if asgi.has_two_lengths(scope):
            await self._refuse_framing(send)
            return
        if scope["path"] == HEALTH_PATH:
            await self._answer_health(send)
            return
        progress = RequestProgress(idempotent=True)
        progress.earlier_may_have_run = (
            asgi.header(scope, IDEMPOTENCY_HEADER) is not None
        )
        call = Call(self._state.next_request_id(), progress, timers.now_ms())
        self._state.retry_budget.count_request(call.arrived_ms)
        self._state.authorization.register(call)
        try:
            # The error is gone by then, and with it what its frames hold.
            refusal = await self._serve(call, scope, receive, send)
            if refusal is not None:
                self._step_if_allowed(call, "refuse")
                await self._refuse(call, send, refusal)
        finally:
            if call.body_reservation is not None:
                call.body_reservation.release()
            self._state.authorization.unregister(call)

    async def _serve(
        self, call: Call, scope: Scope, receive: Receive, send: Send
    ) -> Refusal | None:
        """Serves one call; returns what to refuse it with, if it isn't answered."""
        try:
            await self._dispatch(call, scope, receive, send)
        except CallerDisconnectedError:
            self._step_if_allowed(call, "caller_gone")
        except (CallEndedError, CallRefusedError) as error:
            return refusal_for(error)
        except Exception as error:
            # The traceback isn't logged, since it may hold a request's content.
            events.log(
                events.Event.CALL_FAILED,
                request_id=call.request_id,
                reason=type(error).__name__,
            )
            return refusal_for(refused(ErrorKind.INTERNAL))
        return None

    async def refuse_connection(
        self, scope: Scope, _receive: Receive, send: Send
    ) -> None:
        """Refuses the request of a connection over the limit and closes it.

        Health checks of the load balancer get the usual response: an entry with many
        connections must not be removed, since the other entries would have to take
        over its connections.
        """
        if scope["type"] != "http":
            return
        if scope["path"] == HEALTH_PATH:
            await self._answer_health(send, _CONNECTION_CLOSE)
            return
        refusal = Refusal(ErrorKind.OVERLOADED, "too many connections are open")
        request_id = self._state.next_request_id()
        # The idempotency key may be that of an earlier call that ran.
        has_key = asgi.header(scope, IDEMPOTENCY_HEADER) is not None
        answer = api.refusal_answer(refusal, request_id, may_have_run=has_key)
        headers = [*answer.headers, *_CONNECTION_CLOSE]
        await asgi.send_response(send, answer.status, answer.body, headers=headers)

    async def _refuse_framing(self, send: Send) -> None:
        """Refuses a request whose end a proxy may see elsewhere (RFC 9112, 6.1)."""
        message = "both Content-Length and Transfer-Encoding"
        answer = api.refusal_answer(
            Refusal(ErrorKind.BAD_REQUEST, message),
            self._state.next_request_id(),
            may_have_run=False,
        )
        headers = [*answer.headers, *_CONNECTION_CLOSE]
        await asgi.send_response(send, answer.status, answer.body, headers=headers)

    async def _dispatch(
        self, call: Call, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Checks the headers, authorises the call and handles it by method and path.

        Raises:
            CallRefusedError: The call is refused.
            CallEndedError: The call was ended early, or isn't authorised any more.
            CallerDisconnectedError: The caller closed its connection.
        """
        size_bytes = sum(len(name) + len(value) for name, value in scope["headers"])
        too_many = len(scope["headers"]) > HEADERS_LIMIT_COUNT
        if too_many or size_bytes > HEADERS_LIMIT_BYTES:
            message = f"headers may have {HEADERS_LIMIT_BYTES} bytes"
            raise CallRefusedError(Refusal(ErrorKind.HEADERS_TOO_LARGE, message))
        call.key = bearer_token(asgi.header(scope, b"authorization"))
        method, path = scope["method"], scope["path"]
        if path == MODELS_PATH and method == "GET":
            await self._authorise(call)
            await self._answer_models(call, send)
        elif path in GENERATION_PATHS and method == "POST":
            await self._authorise(call)
            await self._generate(call, scope, receive, send)
        else:
            route = self._find_route(method, path)
            if not route.open:
                await self._authorise(call)
            await self._call_service(call, route, scope, receive, send)

    def _find_route(self, method: str, path: str) -> RouteItem:
        """Returns the bundle's route for a plain service.

        Raises:
            CallRefusedError: There is no such path, or not with this method.
        """
        routes = self._state.catalog.routes
        route = routes.get(f"{method} {path}")
        if route is not None:
            return route
        if path in (*GENERATION_PATHS, MODELS_PATH) or any(
            item.path == path for item in routes.values()
        ):
            message = f"{path} has no method {method}"
            raise CallRefusedError(Refusal(ErrorKind.METHOD_NOT_ALLOWED, message))
        raise CallRefusedError(Refusal(ErrorKind.ROUTE_UNKNOWN, "no such path"))

    async def _authorise(self, call: Call) -> None:
        """Sets the account of the call from its key, using a confirmed view.

        Raises:
            CallRefusedError: The key is missing or unknown, or the view can't be
                confirmed in time.
        """
        if call.key is None:
            raise refused(ErrorKind.KEY_MISSING)
        if not await self._state.wait_fresh():
            raise refused(ErrorKind.AUTHORIZATION_UNCONFIRMED)
        digest = hashlib.sha256(call.key.encode()).hexdigest()
        item = self._state.catalog.keys.get(digest)
        if item is None:
            # The key may have been granted a moment ago.
            await self._state.wait_confirmed_since(call.arrived_ms)
            item = self._state.catalog.keys.get(digest)
        account = None
        if item is not None:
            account = self._state.catalog.accounts.get(item.account)
        if account is None:
            raise refused(ErrorKind.KEY_UNKNOWN)
        call.key_digest, call.account = digest, account

    async def _read_body(self, call: Call, scope: Scope, receive: Receive) -> bytes:
        """Reads the body; its bytes stay reserved until the call ends."""
        limit_bytes = self._state.settings.body_limit_bytes
        client = scope.get("client")
        # It outlives the connection: some calls go on without their caller.
        call.holder = self._state.held_bytes.open(
            client[0] if client else "", CallerTransport(receive).abort
        )
        call.body_reservation = reservation = asgi.BodyBufferReservation(
            self._state.body_buffer_limit, call.holder
        )
        call.is_body_pending = True
        size_bytes = asgi.declared_bytes(scope)
        outcome: asgi.BodyOutcome = asgi.BodyBufferFull()
        if size_bytes > limit_bytes or reservation.fits(size_bytes):
            outcome = await asgi.read_body(
                receive, limit_bytes, BODY_LIMIT_MS, reservation
            )
        if isinstance(outcome, asgi.Body):
            call.is_body_pending = False
            return outcome.data
        if isinstance(outcome, asgi.CallerDisconnected):
            raise CallerDisconnectedError
        if isinstance(outcome, asgi.BodyBufferFull):
            metrics.CALLERS_REFUSED.inc("body")
            events.log_rate_limited(events.Event.CALLER_REFUSED, reason="body")
            message = "too many request bodies are buffered"
            raise CallRefusedError(Refusal(ErrorKind.OVERLOADED, message))
        if isinstance(outcome, asgi.BodyTooLarge):
            message = f"the body may have {limit_bytes} bytes"
            raise CallRefusedError(Refusal(ErrorKind.BODY_TOO_LARGE, message))
        message = f"the body must arrive within {BODY_LIMIT_MS // 1000} s"
        raise CallRefusedError(Refusal(ErrorKind.BODY_TIMEOUT, message))

    async def _generate(
        self, call: Call, scope: Scope, receive: Receive, send: Send
    ) -> None:
        data = await self._read_body(call, scope, receive)
        priority = asgi.header(scope, b"x-priority")
        request = api.parse_generation(scope["path"], data, priority)
        if isinstance(request, Refusal):
            raise CallRefusedError(request)
        if body_holds_key(data, call.key, json=True):
            raise refused(ErrorKind.KEY_IN_BODY)
        # The parsed request is kept, its bytes aren't.
        del data
        call.priority = request.priority
        call.deadline_ms = self._deadline_ms(call, scope)
        plan = self._make_plan(call, request)
        self._state.authorization.check(call, timers.now_ms())
        call.scope = anyio.CancelScope()
        if not request.stream:
            await self._generate_whole(call, plan, receive, send)
            return
        headers = self._answer_headers(call)
        stream = CallerStream(call, self._state.authorization, send, headers)
        await self._generate_stream(call, plan, stream, receive, send)

    def _deadline_ms(self, call: Call, scope: Scope) -> int:
        header = asgi.header(scope, b"x-deadline-ms")
        deadline_ms = api.deadline_ms(header, call.priority, call.arrived_ms)
        if deadline_ms is None:
            message = "X-Deadline-Ms: expected a whole number above 0"
            raise CallRefusedError(Refusal(ErrorKind.BAD_REQUEST, message))
        return deadline_ms

    def _make_plan(self, call: Call, request: api.GenerationRequest) -> GenerationPlan:
        target = self._state.catalog.resolve_model(request.model)
        if target is None:
            message = f"no model or adapter {request.model!r}"
            raise CallRefusedError(Refusal(ErrorKind.MODEL_UNKNOWN, message))
        self._state.demand.count_arrival(target.name, ranks.of_priority(call.priority))
        if self._crash_containment.is_quarantined(request.digest):
            raise refused(ErrorKind.REQUEST_QUARANTINED)
        requested_tokens = request.max_tokens or api.DEFAULT_MAX_TOKENS
        max_tokens = min(requested_tokens, target.model.context_tokens)
        return GenerationPlan(request, target, max_tokens)

    async def _run_generation(
        self, call: Call, plan: GenerationPlan, generation: Generation
    ) -> None:
        """Charges a generation to the account's rate budget and runs it."""
        admitted = check_admitted(await self._state.admit(call, plan.cost_tokens))
        try:
            await generation.run()
        finally:
            used_tokens = generation.used_tokens()
            self._state.budget.settle(admitted, used_tokens)
            self._state.demand.count_tokens(
                plan.target.name, ranks.of_priority(call.priority), used_tokens
            )

    async def _generate_whole(
        self, call: Call, plan: GenerationPlan, receive: Receive, send: Send
    ) -> None:
        generation = Generation(self._state, self._crash_containment, call, plan, None)

        async def work() -> None:
            await self._run_generation(call, plan, generation)

        try:
            await run_watched(call, receive, work)
        except EngineRefusedError as error:
            await self._relay_engine_error(call, send, error)
            return
        prompt_tokens = plan.request.prompt_tokens
        body = api.complete_answer_body(
            plan.request.path, generation.answer, prompt_tokens, plan.request.model
        )
        await self._answer(call, send, 200, body, "application/json")

    async def _generate_stream(
        self,
        call: Call,
        plan: GenerationPlan,
        stream: CallerStream,
        receive: Receive,
        send: Send,
    ) -> None:
        generation = Generation(
            self._state, self._crash_containment, call, plan, stream.add_chunk
        )

        async def work() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(end_quietly, stream.write_chunks)
                await self._run_generation(call, plan, generation)
                stream.mark_complete()

        try:
            await run_watched(call, receive, work)
        except EngineRefusedError as error:
            await self._relay_engine_error(call, send, error)
        except SlowCallerError:
            events.log(events.Event.SLOW_CALLER, request_id=call.request_id)
            self._step_if_allowed(call, "caller_gone")
            stream.transport.abort()
        except (CallEndedError, CallRefusedError) as error:
            if not stream.is_started:
                raise
            self._step_if_allowed(call, "fail")
            refusal = refusal_for(error)
            events.log(
                events.Event.STREAM_CUT,
                request_id=call.request_id,
                reason=refusal.kind.value,
            )
            await stream.end_with_error(refusal)

    async def _call_service(
        self, call: Call, route: RouteItem, scope: Scope, receive: Receive, send: Send
    ) -> None:
        call.progress.idempotent = route.idempotent
        call.deadline_ms = call.arrived_ms + route.timeout_ms
        body = await self._read_body(call, scope, receive)
        content_type = asgi.header(scope, b"content-type") or ""
        if body_holds_key(body, call.key, json="json" in content_type):
            raise refused(ErrorKind.KEY_IN_BODY)
        headers = forwarded_headers(scope["headers"], call.key, call.request_id)
        request = ServiceRequest(
            route=route,
            query=forwarded_query(scope["query_string"], call.key),
            headers=headers,
            body=body,
            idempotency_key=asgi.header(scope, IDEMPOTENCY_HEADER),
        )
        service_call = ServiceCall(self._state, self._crash_containment, call, request)
        if self._crash_containment.is_quarantined(service_call.digest):
            raise refused(ErrorKind.REQUEST_QUARANTINED)
        answers = []

        async def work() -> None:
            answers.append(await service_call.run())

        await run_watched(call, receive, work)
        answer = answers[0]
        extra = [(b"idempotency-replayed", b"true")] if answer.replayed else []
        await self._answer(
            call, send, answer.status, answer.body, answer.content_type, extra
        )

    async def _relay_engine_error(
        self, call: Call, send: Send, error: EngineRefusedError
    ) -> None:
        self._step_if_allowed(call, "complete")
        await self._answer(call, send, error.status, error.body, error.content_type)

    async def _answer(
        self,
        call: Call,
        send: Send,
        status: int,
        body: Sliceable,
        content_type: str,
        extra: Headers | None = None,
    ) -> None:
        """Sends a complete response if the call is still authorised."""
        if call.key_digest is not None and call.ended is None:
            await self._state.wait_fresh()
        transport = CallerTransport(send)
        if not await transport.wait_writable(SLOW_CALLER_LIMIT_MS):
            transport.abort()
            raise CallerDisconnectedError
        self._state.authorization.check(call, timers.now_ms())
        call.is_answering = True
        headers = [*self._answer_headers(call), *(extra or [])]
        # A piece is copied when it is written, and waits for the one before.
        await asgi.send_response(
            send, status, body, content_type, headers, piece_bytes=PIECE_BYTES
        )

    async def _answer_health(self, send: Send, headers: Headers | None = None) -> None:
        if self._state.shutdown != RUNNING:
            await asgi.send_json(send, 503, {"status": "leaving"}, _CONNECTION_CLOSE)
        elif not self._state.listeners.are_open:
            await asgi.send_json(send, 503, {"status": "an address is taken"}, headers)
        elif self._state.catalog.index == 0:
            await asgi.send_json(send, 503, {"status": "no view yet"}, headers)
        else:
            await asgi.send_json(send, 200, {"status": "ok"}, headers)

    async def _answer_models(self, call: Call, send: Send) -> None:
        catalog = self._state.catalog
        names = sorted([*catalog.models, *catalog.adapters])
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "cassiapitch"}
            for name in names
        ]
        self._state.authorization.check(call, timers.now_ms())
        document = {"object": "list", "data": data}
        await asgi.send_json(send, 200, document, self._answer_headers(call))

    async def _refuse(self, call: Call, send: Send, refusal: Refusal) -> None:
        """Sends a refusal, or aborts the connection if the response has begun."""
        if call.is_answering:
            CallerTransport(send).abort()
            return
        may_have_run = call.progress.may_have_run
        answer = api.refusal_answer(refusal, call.request_id, may_have_run)
        headers = [*answer.headers, *self._closing_headers()]
        if call.is_body_pending or refusal.kind is ErrorKind.HEADERS_TOO_LARGE:
            # The rest of the body isn't read, so no request can follow it on this
            # connection.
            headers = [*answer.headers, *_CONNECTION_CLOSE]
        await asgi.send_response(send, answer.status, answer.body, headers=headers)

    def _answer_headers(self, call: Call) -> Headers:
        return [(b"x-request-id", call.request_id.encode()), *self._closing_headers()]

    def _closing_headers(self) -> Headers:
        """Returns the header that closes the connection while the entry shuts down.

        Callers then open their next connection at another entry.
        """
        return [] if self._state.shutdown == RUNNING else list(_CONNECTION_CLOSE)

    def _step_if_allowed(self, call: Call, event: str) -> None:
        if call.progress.allows(event):
            call.progress.step(event)


_CONNECTION_CLOSE: Headers = [(b"connection", b"close")]
