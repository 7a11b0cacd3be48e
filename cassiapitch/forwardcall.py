"""The course of one forwarded request, from its head to its last byte."""

import dataclasses
import hashlib
import random

import anyio
import h11

from cassiapitch import budget, events, metrics, timers
from cassiapitch.backendlink import (
    BackendBrokenError,
    BackendConnection,
    BackendLinks,
    BackendUnreachableError,
    ResponseHead,
)
from cassiapitch.callerlink import CallerConnection, CallerGoneError, CallerRequest
from cassiapitch.crashes import Crashes, Verdict
from cassiapitch.entrystate import EntryState
from cassiapitch.eventstream import EventSplitter, EventTooLargeError
from cassiapitch.forwardroutes import ForwardRoute, choose_role
from cassiapitch.outcomes import ANSWERS, ErrorKind, RunOutcome
from cassiapitch.prefill import PATIENCE_SHARE
from cassiapitch.retries import Course
from cassiapitch.scheduler import NoSlot, Slot, Wanted
from cassiapitch.types import (
    AccountName,
    LifeId,
    ModelName,
    Priority,
    RequestDigest,
)
from cassiapitch.viewitems import AccountItem, BackendItem
from cassiapitch.wire import BackendHead, CallerHead, Sending, Wire

# A caller that states no time is served as long as its route allows.
UNSTATED_LEFT_MS = 60_000
# Responses to requests that aren't streams are passed on whole.
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
DECLINED_PAUSE_MS = 40
DEADLINE_GRACE_MS = 60
# A backend server that runs takes a connection within a few network delays.
CRASH_PROBE_MS = 400
# The view learns of a missing model with the engine's next heartbeat.
MISSING_MS = 1_200
# Statuses from which a request that may run again is tried elsewhere.
SERVER_ERROR_STATUS = 500


class RefusedError(Exception):
    """The request gets a refusal."""

    def __init__(self, kind: ErrorKind, retry_after_ms: int | None = None) -> None:
        super().__init__(kind.value)
        self.kind = kind
        self.retry_after_ms = retry_after_ms


class StreamCutError(Exception):
    """An answer that has begun can't be completed."""


@dataclasses.dataclass(slots=True, eq=False)
class ForwardCall:
    """One request and what has become of it.

    Attributes:
        request: The request as it came.
        head: What its headers say.
        route: Its route.
        account: Its client account; None on an open route.
        course: What was sent of it.
        arrived_ms: When it had arrived whole.
        deadline_ms: When it gets its final answer at the latest.
        backends: Names of the backend servers that it was sent to.
        sent_count: How often it was written to a backend server.
        status: Status of its answer.
        outcome: How it ended, for the log.
        last_event_id: The last event that the caller has.
        first_byte_ms: When the answer began.
        is_broken: Whether it was cut after a part of its answer.
        request_key: Identity that is unique in this entry.
        cost_tokens: What it took of its account.
        admitted_ms: When its account had the tokens, or hadn't.
        placed_ms: When it got its last place at a backend server.
    """

    request: CallerRequest
    head: CallerHead
    route: ForwardRoute
    account: AccountItem | None
    course: Course
    arrived_ms: int
    deadline_ms: int
    backends: list[str] = dataclasses.field(default_factory=list)
    sent_count: int = 0
    status: int = 0
    outcome: str = ""
    last_event_id: int | None = None
    first_byte_ms: int | None = None
    is_broken: bool = False
    request_key: str = ""
    cost_tokens: int = 0
    admitted_ms: int | None = None
    placed_ms: int | None = None

    def left_ms(self) -> int:
        """Returns the time until the deadline."""
        return self.deadline_ms - timers.now_ms()


class Forwarder:
    """Serves forwarded requests of one entry."""

    def __init__(
        self, wire: Wire, state: EntryState, crashes: Crashes, source: random.Random
    ) -> None:
        self._wire = wire
        self._state = state
        self._crashes = crashes
        self._source = source
        self._links = BackendLinks(state.start_background)
        self._missing: dict[tuple[LifeId, str], int] = {}
        self.is_stopping = False

    async def serve(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Answers one request; afterwards the connection may be reused or not."""
        head = CallerHead()
        try:
            head = self._wire.read_caller(request.headers)
            call = self._accept(request, head)
        except ValueError:
            await self._refuse(caller, head, RefusedError(ErrorKind.BAD_REQUEST))
            return
        except RefusedError as error:
            await self._refuse(caller, head, error)
            self._log_refused(request, head, error)
            return
        try:
            await self._serve_until_deadline(call, caller)
        finally:
            _log_call(call, self._state.catalog.index)

    def _accept(self, request: CallerRequest, head: CallerHead) -> ForwardCall:
        """Finds route and account.

        Raises:
            RefusedError: There is no route or no account.
        """
        now_ms = timers.now_ms()
        catalog = self._state.catalog
        if catalog.bundle is None or not self._is_view_usable(now_ms):
            raise RefusedError(ErrorKind.NOT_READY)
        route = catalog.forward(request.host, request.path)
        if route is None:
            raise RefusedError(ErrorKind.ROUTE_UNKNOWN)
        account = None if route.open else self._account(head)
        left_ms = UNSTATED_LEFT_MS if head.left_ms is None else head.left_ms
        return ForwardCall(
            request,
            head,
            route,
            account,
            Course(route.may_run_again),
            now_ms,
            now_ms + min(left_ms, route.timeout_ms),
            last_event_id=head.last_event_id,
            request_key=self._state.next_request_id(),
        )

    def _is_view_usable(self, now_ms: int) -> bool:
        freshness = self._state.freshness
        if self._state.settings.serve_unconfirmed:
            return freshness.as_of_ms is not None
        return freshness.is_fresh(now_ms)

    def _account(self, head: CallerHead) -> AccountItem:
        if head.key is None:
            raise RefusedError(ErrorKind.KEY_MISSING)
        catalog = self._state.catalog
        digest = hashlib.sha256(head.key.encode("latin-1")).hexdigest()
        item = catalog.keys.get(digest)
        account = None if item is None else catalog.accounts.get(item.account)
        if account is None:
            raise RefusedError(ErrorKind.KEY_UNKNOWN)
        return account

    async def _serve_until_deadline(
        self, call: ForwardCall, caller: CallerConnection
    ) -> None:
        # A backend server that ends its run at the deadline answers just after it.
        left_s = max(0, call.left_ms() + DEADLINE_GRACE_MS) / 1000
        is_gone = False
        with anyio.move_on_after(left_s) as limit:
            async with anyio.create_task_group() as group:

                async def watch() -> None:
                    nonlocal is_gone
                    await caller.watch()
                    is_gone = True
                    group.cancel_scope.cancel()

                group.start_soon(watch)
                await self._serve_caught(call, caller)
                group.cancel_scope.cancel()
        if is_gone:
            call.outcome = call.outcome or "caller_gone"
            call.is_broken = True
        elif limit.cancelled_caught:
            call.outcome = "deadline"
            await self._end_at_deadline(call, caller)

    async def _end_at_deadline(
        self, call: ForwardCall, caller: CallerConnection
    ) -> None:
        if caller.has_answered:
            call.is_broken = True
            return
        error = RefusedError(ErrorKind.DEADLINE_EXCEEDED)
        await self._refuse(caller, call.head, error, call)

    async def _serve_caught(self, call: ForwardCall, caller: CallerConnection) -> None:
        try:
            await self._serve(call, caller)
        except RefusedError as error:
            call.outcome = error.kind.value
            if caller.has_answered:
                call.is_broken = True
            else:
                await self._refuse(caller, call.head, error, call)
        except StreamCutError as error:
            call.outcome = f"cut: {error}"
            call.is_broken = True
        except CallerGoneError:
            call.outcome = "caller_gone"
            call.is_broken = True

    async def _serve(self, call: ForwardCall, caller: CallerConnection) -> None:
        call.course.step("admit")
        self._state.retries.request(timers.now_ms())
        await self._admit(call)
        wanted = self._wanted(call)
        if self._crashes.is_quarantined(wanted.digest):
            raise RefusedError(ErrorKind.REQUEST_QUARANTINED)
        while True:
            slot = await self._state.scheduler.acquire(wanted)
            if isinstance(slot, NoSlot):
                raise RefusedError(slot.kind, slot.retry_after_ms)
            call.placed_ms = timers.now_ms()
            self._begin_prefill(call, slot)
            completed = False
            try:
                completed = await self._attempt(call, slot, caller)
            finally:
                prefill = self._state.router.prefill
                prefill.ended(slot.backend.life_id, call.request_key)
                self._state.scheduler.release(slot, completed=completed)
            if completed:
                return
            await self._prepare_retry(call, wanted, slot)

    def _begin_prefill(self, call: ForwardCall, slot: Slot) -> None:
        tokens = call.head.prompt_tokens
        if tokens:
            life_id = slot.backend.life_id
            prefill = self._state.router.prefill
            prefill.sent(life_id, call.request_key, tokens, timers.now_ms())

    async def _admit(self, call: ForwardCall) -> None:
        """Takes the request's cost from its account.

        Raises:
            RefusedError: The account has no tokens left.
        """
        account = call.account
        if account is None or not account.is_limited:
            return
        cost = account.plain_cost_tokens
        if account.counts_tokens and call.head.has_tokens:
            cost = call.head.prompt_tokens + call.head.answer_tokens
        call.cost_tokens = cost
        decision = await self._state.admit_cost(call.request_key, account, cost)
        call.admitted_ms = timers.now_ms()
        if isinstance(decision, budget.RateExceeded):
            raise RefusedError(ErrorKind.RATE_EXCEEDED, decision.retry_after_ms)
        if isinstance(decision, budget.OverBurst):
            raise RefusedError(ErrorKind.RATE_EXCEEDED)
        if isinstance(decision, budget.Unanswered):
            raise RefusedError(ErrorKind.NOT_READY)

    def _wanted(self, call: ForwardCall) -> Wanted:
        role = choose_role(call.route.targets, self._source)
        catalog = self._state.catalog
        model = call.head.model
        target = None if model is None else catalog.target(model)
        if target is None:

            def candidates() -> list[BackendItem]:
                return catalog.services(role)

            def expected_ms() -> int | None:
                return None

            queue = role
        else:

            def candidates() -> list[BackendItem]:
                return self._holding(catalog.engines(target), target.name)

            def expected_ms() -> int | None:
                return self._state.expected_ms(ModelName(target.name))

            queue = str(target.name)
            self._state.demand.arrived(ModelName(target.name), Priority.URGENT)
            tokens = call.head.prompt_tokens + call.head.answer_tokens
            self._state.demand.used(ModelName(target.name), Priority.URGENT, tokens)
            if not candidates():
                self._state.demand_needed.fire()
        account = call.account
        deadline_ms = call.deadline_ms
        limit_ms = call.route.first_token_limit_ms
        if limit_ms is not None:
            patience_ms = int(PATIENCE_SHARE * limit_ms)
            deadline_ms = min(deadline_ms, call.arrived_ms + patience_ms)
        return Wanted(
            name=queue,
            queue=queue,
            candidates=candidates,
            expected_ms=expected_ms,
            account=AccountName("" if account is None else account.name),
            weight=1 if account is None else account.weight,
            priority=Priority.URGENT,
            cost=max(1, call.head.prompt_tokens + call.head.answer_tokens),
            deadline_ms=deadline_ms,
            digest=_digest(call),
            prefixes=tuple(part.part_id for part in call.head.prompt_parts),
            prompt_tokens=call.head.prompt_tokens,
            first_token_limit_ms=call.route.first_token_limit_ms,
        )

    def _holding(self, engines: list[BackendItem], name: str) -> list[BackendItem]:
        """Leaves out engines that have just said that they don't hold a model."""
        if not self._missing:
            return engines
        now_ms = timers.now_ms()
        return [
            engine
            for engine in engines
            if self._missing.get((engine.life_id, name), 0) <= now_ms
        ]

    def _note_missing(self, life_id: LifeId, name: str) -> None:
        now_ms = timers.now_ms()
        self._missing = {
            key: until_ms
            for key, until_ms in self._missing.items()
            if until_ms > now_ms
        }
        self._missing[(life_id, name)] = now_ms + MISSING_MS

    async def _attempt(
        self, call: ForwardCall, slot: Slot, caller: CallerConnection
    ) -> bool:
        """Sends the request to one backend server; true if it is answered."""
        call.course.step("route")
        backend = slot.backend
        try:
            connection = await self._links.open(backend)
        except BackendUnreachableError as error:
            self._note(call, backend, f"unreachable: {error}")
            self._state.router.unreachable(backend.life_id, timers.now_ms())
            self._state.demand.backend_refused(backend.life_id)
            slot.wanted.excluded.add(backend.life_id)
            call.course.not_sent()
            return False
        idle_ms: int | None = None
        is_clean = False
        try:
            head, backend_head = await self._send(call, backend, connection)
            idle_ms = backend_head.idle_timeout_ms
            if backend_head.is_not_run:
                await self._skip_body(connection)
                is_clean = True
                self._declined(call, slot, head, backend_head)
                return False
            if not await self._pass_on(call, slot, caller, connection, head):
                is_clean = True
                return False
            self._learn(call, slot)
            is_clean = True
            return True
        except BackendBrokenError as error:
            self._note(call, backend, f"broken: {error}")
            await self._broken(call, slot)
            return False
        finally:
            if is_clean:
                await self._links.give_back(connection, idle_ms)
            else:
                await connection.close()

    async def _send(
        self, call: ForwardCall, backend: BackendItem, connection: BackendConnection
    ) -> tuple[ResponseHead, BackendHead]:
        """Writes the request and reads the head of its response.

        Raises:
            BackendBrokenError: No head of this request's response came.
        """
        sending = Sending(
            left_ms=call.left_ms(),
            backend=backend.name,
            account=None if call.account is None else call.account.name,
            last_event_id=call.last_event_id,
        )
        request = call.request
        headers = self._wire.write_backend(request.headers, sending)
        if call.course.state == "sending":
            call.course.written()
        call.sent_count += 1
        metrics.SENDS.inc()
        call.backends.append(backend.name)
        await connection.send(request.method, request.target, headers, request.body)
        head = await connection.read_head()
        backend_head = self._wire.read_backend(head.status, head.headers)
        expected = call.head.request_id
        if expected is not None and backend_head.request_id not in (expected, None):
            raise BackendBrokenError("the response belongs to another request")
        return head, backend_head

    def _learn(self, call: ForwardCall, slot: Slot) -> None:
        """Tells routing how long the answer took, or that it was a failure."""
        now_ms = timers.now_ms()
        life_id = slot.backend.life_id
        if call.status >= SERVER_ERROR_STATUS:
            self._state.router.failed(life_id, now_ms)
        elif call.first_byte_ms is not None and call.placed_ms is not None:
            answer_ms = call.first_byte_ms - call.placed_ms
            self._state.router.succeeded(life_id, answer_ms, now_ms)

    def _declined(
        self,
        call: ForwardCall,
        slot: Slot,
        head: ResponseHead,
        backend_head: BackendHead,
    ) -> None:
        """The backend server said that it did not run the request."""
        self._note(call, slot.backend, f"declined: {head.status}")
        call.course.declined()
        if backend_head.is_other_backend:
            self._note_missing(slot.backend.life_id, slot.wanted.name)
            self._state.demand_needed.fire()

    async def _broken(self, call: ForwardCall, slot: Slot) -> None:
        """The exchange failed; the request may have run.

        Raises:
            RefusedError: It must not be sent again.
        """
        slot.wanted.excluded.add(slot.backend.life_id)
        self._state.router.failed(slot.backend.life_id, timers.now_ms())
        if not call.course.idempotent:
            # The caller may send the same content again, as another request.
            self._state.start_background(self._report_crash, slot)
            raise RefusedError(ErrorKind.BACKEND_SERVER_FAILED)
        if await self._report_crash(slot) is Verdict.QUARANTINED:
            raise RefusedError(ErrorKind.REQUEST_QUARANTINED)
        if call.sent_count >= call.route.attempts_limit_count:
            raise RefusedError(ErrorKind.BACKEND_SERVER_FAILED)
        call.course.step("retry" if call.course.state == "running" else "resume")
        if call.course.state == "resuming":
            call.course.step("retry")

    async def _report_crash(self, slot: Slot) -> Verdict | None:
        """Reports a backend server that is gone; None if it is still there."""
        backend = slot.backend
        try:
            with anyio.fail_after(CRASH_PROBE_MS / 1000):
                stream = await anyio.connect_tcp(backend.ip, backend.port)
        except (OSError, TimeoutError):
            self._state.router.unreachable(backend.life_id, timers.now_ms())
            self._state.demand.backend_refused(backend.life_id)
            verdict = await self._crashes.report(backend, slot.wanted.digest)
            events.log(
                events.Event.BACKEND_CRASHED,
                name=backend.name,
                life_id=backend.life_id,
                verdict=verdict.value,
            )
            return verdict
        await stream.aclose()
        return None

    async def _prepare_retry(
        self, call: ForwardCall, wanted: Wanted, slot: Slot
    ) -> None:
        """Waits until the request may be sent again.

        Raises:
            RefusedError: It may not.
        """
        if not call.sent_count:
            return
        if call.first_byte_ms is not None:
            # The caller waits for the next event as long as it did for the first.
            limit_ms = call.route.first_token_limit_ms or 0
            until_ms = timers.now_ms() + int(PATIENCE_SHARE * limit_ms)
            wanted.deadline_ms = min(call.deadline_ms, until_ms)
            wanted.asked_ms = None
        if not self._state.retries.take(timers.now_ms()):
            raise RefusedError(
                ErrorKind.BACKEND_SERVER_FAILED
                if call.course.may_have_left
                else ErrorKind.OVERLOADED
            )
        others = [
            backend
            for backend in wanted.candidates()
            if backend.life_id not in wanted.excluded
        ]
        if not others or others == [slot.backend]:
            wanted.excluded.clear()
            await anyio.sleep(DECLINED_PAUSE_MS / 1000)

    async def _skip_body(self, connection: BackendConnection) -> None:
        while await connection.read_data() is not None:
            pass

    async def _pass_on(
        self,
        call: ForwardCall,
        slot: Slot,
        caller: CallerConnection,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> bool:
        """Passes a response on; false if the request is to be sent again."""
        backend_head = self._wire.read_backend(head.status, head.headers)
        is_success = 200 <= head.status < 300
        if is_success and (not backend_head.is_signed or _is_encoded(head)):
            raise BackendBrokenError("the response is not signed")
        if call.route.is_stream and is_success:
            await self._pass_stream(call, slot, caller, connection, head)
            return True
        body = await self._read_whole(connection)
        may_try_again = (
            head.status >= SERVER_ERROR_STATUS
            and call.course.idempotent
            and call.sent_count < call.route.attempts_limit_count
            and self._has_other(slot)
        )
        if may_try_again:
            self._note(call, slot.backend, f"failed: {head.status}")
            self._state.router.failed(slot.backend.life_id, timers.now_ms())
            slot.wanted.excluded.add(slot.backend.life_id)
            call.course.step("retry" if call.course.state == "running" else "resume")
            return False
        if caller.has_answered:
            raise StreamCutError(f"resumed with status {head.status}")
        call.status = head.status
        call.first_byte_ms = timers.now_ms()
        await caller.answer(
            head.status,
            self._wire.write_caller(head.headers),
            body,
            reason=head.reason,
            close=self.is_stopping,
        )
        call.outcome = "answered"
        return True

    def _has_other(self, slot: Slot) -> bool:
        excluded = slot.wanted.excluded | {slot.backend.life_id}
        return any(
            backend.life_id not in excluded for backend in slot.wanted.candidates()
        )

    async def _read_whole(self, connection: BackendConnection) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while (data := await connection.read_data()) is not None:
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > ANSWER_LIMIT_BYTES:
                raise BackendBrokenError("the response is too large")
        return b"".join(parts)

    async def _pass_stream(
        self,
        call: ForwardCall,
        slot: Slot,
        caller: CallerConnection,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        """Passes events on as they come, whole ones only."""
        splitter = EventSplitter()
        if not caller.has_answered:
            call.status = head.status
            await caller.begin_answer(
                head.status,
                self._wire.write_caller(head.headers),
                length=None,
                reason=head.reason,
                close=self.is_stopping,
            )
        while (data := await connection.read_data()) is not None:
            try:
                found = splitter.feed(data)
            except EventTooLargeError:
                raise BackendBrokenError("an event is too large") from None
            whole = []
            for event in found:
                if event.event_id is not None:
                    last = call.last_event_id
                    if last is not None and event.event_id <= last:
                        continue
                    call.last_event_id = event.event_id
                whole.append(event.data)
            if whole:
                self._state.router.prefill.begun(
                    slot.backend.life_id, call.request_key, timers.now_ms()
                )
                call.first_byte_ms = call.first_byte_ms or timers.now_ms()
                await caller.send_data(b"".join(whole))
        if splitter.rest():
            raise BackendBrokenError("the stream ends in the middle of an event")
        await caller.end_answer()
        call.outcome = "answered"

    async def _refuse(
        self,
        caller: CallerConnection,
        head: CallerHead,
        error: RefusedError,
        call: ForwardCall | None = None,
    ) -> None:
        may_have_run = call is not None and call.course.may_have_left
        status = refusal_status(error.kind, may_have_run=may_have_run)
        headers = self._wire.refusal_headers(head.request_id)
        retry_ms = error.retry_after_ms
        if retry_ms is None and status in (429, 503):
            table_s = ANSWERS[error.kind].retry_after_s
            retry_ms = None if table_s is None else table_s * 1_000
        if retry_ms is not None and status in (429, 503):
            headers.append((b"Retry-After", f"{retry_ms / 1000:.3f}".encode()))
        if call is not None:
            call.status = status
            call.outcome = error.kind.value
        body = b'{"error":"%s"}' % error.kind.value.encode()
        headers.append((b"Content-Type", b"application/json"))
        try:
            await caller.answer(status, headers, body, close=self.is_stopping)
        except (CallerGoneError, h11.LocalProtocolError):
            if call is not None:
                call.is_broken = True

    def _note(self, call: ForwardCall, backend: BackendItem, reason: str) -> None:
        metrics.ATTEMPTS_FAILED.inc()
        events.log(
            events.Event.FORWARD_ATTEMPT_FAILED,
            request_id=call.head.request_id,
            backend=backend.name,
            reason=reason,
            sent_count=call.sent_count,
            left_ms=call.left_ms(),
        )

    def _log_refused(
        self, request: CallerRequest, head: CallerHead, error: RefusedError
    ) -> None:
        events.log(
            events.Event.FORWARD_REFUSED,
            request_id=head.request_id,
            host=request.host,
            path=request.path,
            reason=error.kind.value,
            view_index=self._state.catalog.index,
        )


def refusal_status(kind: ErrorKind, *, may_have_run: bool) -> int:
    """Returns the status of a refusal.

    429 and 503 promise that the request has not run and never will; 502 and 504
    promise nothing.
    """
    answer = ANSWERS[kind]
    if kind is ErrorKind.DEADLINE_EXCEEDED:
        return 504 if may_have_run else 503
    if may_have_run:
        return 502
    is_promise = answer.outcome is RunOutcome.NOT_RUN
    if answer.status in (400, 401, 404, 408, 413, 429, 431):
        return answer.status
    return 503 if is_promise or kind is ErrorKind.BACKEND_SERVER_FAILED else 502


def _is_encoded(head: ResponseHead) -> bool:
    return any(name.lower() == b"content-encoding" for name, _ in head.headers)


def _digest(call: ForwardCall) -> RequestDigest:
    content = hashlib.sha256()
    account = "" if call.account is None else call.account.name
    for part in (account.encode(), call.request.method, call.request.target):
        content.update(part + b"\0")
    content.update(call.request.body)
    return RequestDigest(content.hexdigest())


def _since(time_ms: int | None, call: ForwardCall) -> int | None:
    return None if time_ms is None else time_ms - call.arrived_ms


def _measure(call: ForwardCall) -> None:
    route = call.route.name
    outcome = "cut" if call.outcome.startswith("cut") else call.outcome
    metrics.REQUESTS.labels(route, str(call.status), outcome).inc()
    if call.first_byte_ms is not None:
        waited_ms = call.first_byte_ms - call.arrived_ms
        metrics.FIRST_BYTE_S.labels(route).observe(waited_ms / 1000)
    if call.admitted_ms is not None:
        metrics.ADMISSION_S.observe((call.admitted_ms - call.arrived_ms) / 1000)
    if call.placed_ms is not None:
        begun_ms = call.arrived_ms if call.admitted_ms is None else call.admitted_ms
        metrics.QUEUE_S.observe((call.placed_ms - begun_ms) / 1000)


def _log_call(call: ForwardCall, view_index: int) -> None:
    now_ms = timers.now_ms()
    account = call.account
    _measure(call)
    events.log(
        events.Event.FORWARDED,
        request_id=call.head.request_id,
        route=call.route.name,
        account=None if call.account is None else call.account.name,
        model=call.head.model,
        backends=call.backends,
        status=call.status,
        outcome=call.outcome,
        sent_count=call.sent_count,
        cost_tokens=call.cost_tokens,
        rate_tokens_per_s=None if account is None else account.rate_tokens_per_s,
        admitted_ms=_since(call.admitted_ms, call),
        placed_ms=_since(call.placed_ms, call),
        first_byte_ms=_since(call.first_byte_ms, call),
        took_ms=now_ms - call.arrived_ms,
        left_ms=call.deadline_ms - now_ms,
        view_index=view_index,
    )
