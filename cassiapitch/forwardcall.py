"""Serves forwarded requests: routing, admission, attempts and retries."""

import dataclasses
import hashlib
import random
from collections.abc import Callable

import anyio

from cassiapitch import events, metrics, rate_budget, timers
from cassiapitch.backend_connection import (
    BackendBrokenError,
    BackendConnection,
    BackendConnectionPool,
    BackendUnreachableError,
    ResponseHead,
)
from cassiapitch.backend_statements import BackendStatements
from cassiapitch.caller_connection import (
    CallerConnection,
    CallerDisconnectedError,
    CallerRequest,
)
from cassiapitch.connection_limit import connections_limit, descriptors_limit
from cassiapitch.crash_containment import CrashContainment
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.forwardanswers import ResponseRelay
from cassiapitch.forwardcandidates import (
    ForwardCandidates,
    admission_limit_ms,
    engine_rank,
    request_rank,
)
from cassiapitch.forwardcrashes import ForwardCrashes
from cassiapitch.forwardlog import log_call, log_failed_attempt, log_refused
from cassiapitch.forwardretries import ForwardRetries
from cassiapitch.forwardtypes import (
    ForwardCall,
    RefusedError,
    StreamCutError,
    service_run,
)
from cassiapitch.header_codec import (
    BackendHead,
    BackendRequestFields,
    CallerHead,
    HeaderCodec,
)
from cassiapitch.home_regions import allowed_regions
from cassiapitch.limit_reports import LimitReports
from cassiapitch.part_reports import shared_parts
from cassiapitch.retries import RequestProgress
from cassiapitch.slots import NoSlot, Slot
from cassiapitch.stop_admission import StopAdmission, stop_deadline_ms
from cassiapitch.stream_versions import StreamVersions
from cassiapitch.tunnel_server import reserved_descriptors
from cassiapitch.viewitems import AccountItem, BackendItem

# For callers that state no deadline; the route's timeout still applies.
DEFAULT_TIMEOUT_MS = 60_000
# Backend servers that end a request at the deadline respond just after it.
DEADLINE_GRACE_MS = 60
# Callers refused by an entry that stops may return to another one at once.
STOP_RETRY_MS = 20
# Lower statuses say that the request was served.
FIRST_ERROR_STATUS = 300


class Forwarder:
    """Serves forwarded requests of one entry."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        state: EntryState,
        crash_containment: CrashContainment,
        rng: random.Random,
        stop_requested_ms: Callable[[], int | None],
    ) -> None:
        self._header_codec = header_codec
        self._state = state
        self._crash_containment = crash_containment
        self._crashes = ForwardCrashes(state, crash_containment)
        self._stream_versions = StreamVersions(header_codec, state)
        self._candidates = ForwardCandidates(state, rng)
        self._retries = ForwardRetries(state, rng)
        self.response_relay = ResponseRelay(
            header_codec, state, self._handle_answer_begun
        )
        self._limit_reports = LimitReports(state)
        limit_count = state.settings.connections_limit_count
        self._connections = BackendConnectionPool(
            state.backend_paths,
            connections_limit(
                limit_count,
                descriptors_limit(),
                limit_count,
                reserved_descriptors(state.settings.tunnel_address),
            ),
        )
        state.backend_removal_callbacks.append(self._connections.retain_only)
        state.drain_callbacks.append(self._connections.set_drained)
        if state.settings.prefer_idle_connections:
            state.router.idle_preference.has_idle = self._connections.has_idle
        self._statements = BackendStatements(state, self._candidates, self._connections)
        self._stop_admission = StopAdmission(state.service_times)
        self._stop_requested_ms = stop_requested_ms
        self._running_calls: dict[anyio.CancelScope, ForwardCall] = {}
        self._is_stopped = False

    async def run(self) -> None:
        """Ends the delays of further attempts when they are due, until cancelled."""
        await self._retries.run()

    def begin_stop(self, deadline_ms: int) -> None:
        """Refuses requests from now on that won't be served before a deadline.

        Every further response tells its caller to close the connection.
        """
        self.response_relay.is_stopping = True
        self._stop_admission.begin_stop(deadline_ms)
        self._retries.begin_stop()

    def end_calls(self) -> None:
        """Ends all requests at a stop; those without a response get a refusal."""
        self._is_stopped = True
        counts = self._stop_admission.counts
        counts.cut_count = len(self._running_calls)
        events.log(events.Event.ENTRY_DRAINED, **dataclasses.asdict(counts))
        for scope in list(self._running_calls):
            scope.cancel()

    async def serve(self, request: CallerRequest, caller: CallerConnection) -> None:
        """Serves one request and sends its response.

        The caller of this method decides whether the connection is reused.
        """
        head = CallerHead()
        try:
            head = self._header_codec.read_caller(request.headers)
            if self._state.settings.serve_unconfirmed:
                await self._state.wait_reconfirmed()
            call = self._accept(request, head)
        except ValueError:
            await self.response_relay.refuse(
                caller, head, RefusedError(ErrorKind.BAD_REQUEST)
            )
            return
        except RefusedError as error:
            await self.response_relay.refuse(caller, head, error)
            log_refused(request, head, error, self._state.catalog.index)
            return
        try:
            await self._serve_until_deadline(call, caller)
        finally:
            if call.admitted is not None and not call.progress.may_have_been_sent:
                # A request that has certainly not run costs its account nothing.
                self._state.budget.settle(call.admitted, 0)
            self._record_service_time(call)
            log_call(call, self._state.catalog.index)

    def _accept(self, request: CallerRequest, head: CallerHead) -> ForwardCall:
        """Finds the route and the account of a request.

        Raises:
            RefusedError: The view is not usable, or there is no route or account.
        """
        now_ms = timers.now_ms()
        catalog = self._state.catalog
        if catalog.bundle is None or not self._is_view_usable(now_ms):
            raise RefusedError(ErrorKind.NOT_READY)
        route = catalog.forward(request.host, request.path)
        if route is None:
            raise self._refusal_of_unknown(ErrorKind.ROUTE_UNKNOWN)
        account = None if route.open else self._find_account(head)
        left_ms = DEFAULT_TIMEOUT_MS if head.left_ms is None else head.left_ms
        call = ForwardCall(
            request,
            head,
            route,
            account,
            RequestProgress(route.may_run_again),
            now_ms,
            now_ms + min(left_ms, route.timeout_ms),
            last_event_id=head.last_event_id,
            request_key=self._state.next_request_id(),
            shared_parts=shared_parts(head.prompt_parts),
        )
        self._refuse_if_stopping(call)
        return call

    def _is_stopping(self) -> bool:
        """Returns whether a planned stop has begun or a signal has asked for it.

        Until the event loop has passed the signal on, which took 94 ms on a busy
        machine, requests would be admitted unchecked and cut off at the stop's end.
        """
        if not self._stop_admission.is_stopping:
            requested_ms = self._stop_requested_ms()
            if requested_ms is not None:
                grace_s = self._state.settings.grace_s
                self.begin_stop(stop_deadline_ms(requested_ms, grace_s))
        return self._stop_admission.is_stopping

    def _refuse_if_stopping(self, call: ForwardCall) -> None:
        """Refuses a request that the rest of a planned stop is too short for.

        Raises:
            RefusedError: Its response would probably be cut off.
        """
        if call.progress.may_have_been_sent or not self._is_stopping():
            return
        now_ms = timers.now_ms()
        running = [
            service_run(other, now_ms)
            for other in self._running_calls.values()
            if other is not call and other.progress.may_have_been_sent
        ]
        decision = self._stop_admission.decide(
            service_run(call, now_ms),
            running,
            call.left_ms() + DEADLINE_GRACE_MS,
            now_ms,
            is_behind=call.placed_ms is None and self._is_behind_waiting(call),
        )
        call.stop_decision = decision
        if not decision.is_admitted:
            raise RefusedError(ErrorKind.SHUTTING_DOWN, STOP_RETRY_MS, decision)

    def _refuse_unsent_if_stopping(self, call: ForwardCall) -> None:
        """Refuses a request whose connection was opened while a stop went on.

        Raises:
            RefusedError: Its response would probably be cut off.
        """
        try:
            self._refuse_if_stopping(call)
        except RefusedError:
            call.progress.mark_not_sent()
            raise

    def _is_behind_waiting(self, call: ForwardCall) -> bool:
        """Returns whether a more urgent request of this entry waits for a slot."""
        first_rank = self._state.scheduler.first_rank()
        rank = request_rank(call.account, call.route)
        return first_rank is not None and first_rank < rank

    def _record_service_time(self, call: ForwardCall) -> None:
        """Records how long a request took that backend servers have worked on."""
        if not call.progress.may_have_been_sent:
            return
        is_complete = call.outcome == "answered" and call.status < FIRST_ERROR_STATUS
        run = service_run(call, timers.now_ms())
        self._stop_admission.service_times.record(run, is_complete=is_complete)

    def _is_view_usable(self, now_ms: int) -> bool:
        freshness = self._state.freshness
        if self._state.settings.serve_unconfirmed:
            return freshness.as_of_ms is not None and self._state.is_reconfirmed()
        return freshness.is_fresh(now_ms)

    def _find_account(self, head: CallerHead) -> AccountItem:
        if head.key is None:
            raise RefusedError(ErrorKind.KEY_MISSING)
        catalog = self._state.catalog
        digest = hashlib.sha256(head.key.encode("latin-1")).hexdigest()
        item = catalog.keys.get(digest)
        account = None if item is None else catalog.accounts.get(item.account)
        if account is None:
            raise self._refusal_of_unknown(ErrorKind.KEY_UNKNOWN)
        return account

    def _refusal_of_unknown(self, kind: ErrorKind) -> RefusedError:
        """Returns the refusal of a request whose route or key the view lacks.

        A view that nobody has confirmed lately may lack what was added since. Callers
        don't return after a final refusal, so such a request is sent elsewhere.
        """
        if self._state.freshness.is_fresh(timers.now_ms()):
            return RefusedError(kind)
        return RefusedError(ErrorKind.NOT_READY)

    async def _serve_until_deadline(
        self, call: ForwardCall, caller: CallerConnection
    ) -> None:
        left_s = max(0, call.left_ms() + DEADLINE_GRACE_MS) / 1000
        is_disconnected = False
        if self._is_stopped:
            left_s = 0
        with anyio.move_on_after(left_s) as limit:
            self._running_calls[limit] = call
            try:
                is_disconnected = await self._serve_while_connected(call, caller)
            finally:
                del self._running_calls[limit]
        if is_disconnected:
            call.outcome = call.outcome or "caller_gone"
            call.is_broken = True
        elif limit.cancelled_caught:
            is_late = call.left_ms() + DEADLINE_GRACE_MS <= 0
            call.outcome = "deadline" if is_late else "stopped"
            kind = ErrorKind.DEADLINE_EXCEEDED if is_late else ErrorKind.NOT_READY
            await self._refuse_unanswered(call, caller, RefusedError(kind))

    async def _serve_while_connected(
        self, call: ForwardCall, caller: CallerConnection
    ) -> bool:
        """Serves a request; cancels it and returns true if its caller disconnects."""
        is_disconnected = False
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                nonlocal is_disconnected
                await caller.wait_until_disconnected()
                is_disconnected = True
                group.cancel_scope.cancel()

            group.start_soon(watch)
            await self._serve_reporting_errors(call, caller)
            group.cancel_scope.cancel()
        return is_disconnected

    async def _refuse_unanswered(
        self, call: ForwardCall, caller: CallerConnection, error: RefusedError
    ) -> None:
        if caller.has_answered:
            call.is_broken = True
            return
        await self.response_relay.refuse(caller, call.head, error, call)

    async def _serve_reporting_errors(
        self, call: ForwardCall, caller: CallerConnection
    ) -> None:
        try:
            await self._serve(call, caller)
        except RefusedError as error:
            call.outcome = error.kind.value
            if caller.has_answered:
                call.is_broken = True
            else:
                await self.response_relay.refuse(caller, call.head, error, call)
        except StreamCutError as error:
            call.outcome = f"cut: {error}"
            call.is_broken = True
        except CallerDisconnectedError:
            call.outcome = "caller_gone"
            call.is_broken = True

    async def _serve(self, call: ForwardCall, caller: CallerConnection) -> None:
        self._crashes.refuse_harmful(call)
        self._candidates.find_targets(call)
        call.progress.step("admit")
        await self._admit(call)
        await self._stream_versions.find_source(call)
        slot_request = self._candidates.make_slot_request(call)
        self._state.retry_budget.count_request(timers.now_ms(), slot_request.role)
        if self._crash_containment.is_quarantined(slot_request.digest):
            raise RefusedError(ErrorKind.REQUEST_QUARANTINED)
        while True:
            self._stream_versions.refuse_unservable(call)
            slot = await self._retries.acquire(call, slot_request)
            if isinstance(slot, NoSlot):
                # Its version may have left while the stream waited.
                self._stream_versions.refuse_unservable(call)
                if call.source is not None and slot.retry_after_ms is None:
                    # Its version is only suspected.
                    raise RefusedError(ErrorKind.NOT_READY)
                raise RefusedError(slot.kind, slot.retry_after_ms)
            call.placed_ms = timers.now_ms()
            call.placed_at = slot.backend
            if not call.progress.may_have_been_sent:
                call.service_begun_ms = call.placed_ms
            self._candidates.begin_prefill(call, slot)
            completed = False
            try:
                # The part may have been refused while the request waited.
                self._crashes.refuse_harmful(call)
                self._refuse_if_stopping(call)
                completed = await self._attempt(call, slot, caller)
            finally:
                prefill = self._state.router.prefill
                prefill.forget_request(slot.backend.life_id, call.request_key)
                local_levels = self._state.gate.local
                if completed:
                    local_levels.answered(call.request_key, timers.now_ms())
                local_levels.forget(call.request_key)
                self._state.scheduler.release(slot, completed=completed)
            if completed:
                return
            await self._retries.prepare(call, slot_request, slot)

    async def _admit(self, call: ForwardCall) -> None:
        """Charges the request's cost to its account.

        Raises:
            RefusedError: The account doesn't have the tokens in time.
        """
        account = call.account
        if account is None or not account.is_limited:
            return
        cost = account.plain_cost_tokens
        if account.counts_tokens and call.head.has_tokens:
            cost = call.head.prompt_tokens + call.head.answer_tokens
        call.cost_tokens = cost
        decision = await self._state.admit_cost(
            call.request_key, account, cost, admission_limit_ms(call.route)
        )
        call.admitted_ms = timers.now_ms()
        if isinstance(decision, rate_budget.Admitted):
            call.admitted = decision
        if isinstance(decision, rate_budget.RateExceeded):
            raise RefusedError(ErrorKind.RATE_EXCEEDED, decision.retry_after_ms)
        if isinstance(decision, rate_budget.OverBurst):
            raise RefusedError(ErrorKind.RATE_EXCEEDED)
        if isinstance(decision, rate_budget.Unanswered):
            raise RefusedError(ErrorKind.NOT_READY)

    async def _attempt(
        self, call: ForwardCall, slot: Slot, caller: CallerConnection
    ) -> bool:
        """Sends the request to one backend server.

        Returns:
            Whether the caller was answered; false if another attempt may follow.
        """
        call.progress.step("route")
        backend = slot.backend
        if not await self._state.wait_reconfirmed():
            call.progress.mark_not_sent()
            raise RefusedError(ErrorKind.NOT_READY)
        try:
            # On a reused connection, only the request id tells the response from a
            # late one to an earlier request.
            regions = allowed_regions(call.route, call.account)
            connection = await self._connections.open(
                backend, call.head.request_id, regions
            )
        except BackendUnreachableError as error:
            log_failed_attempt(call, backend, f"unreachable: {error}")
            self._state.report_unreachable(backend)
            slot.slot_request.excluded_lives.add(backend.life_id)
            call.failed_lives.add(backend.life_id)
            call.progress.mark_not_sent()
            return False
        connection.hold_for(caller.holder)
        idle_ms: int | None = None
        is_reusable = False
        if not self._state.may_still_send(slot):
            self._connections.release_connection(connection, idle_ms)
            call.progress.mark_not_sent()
            return False
        try:
            # The question which incarnation it is counts as a request.
            if not self._may_write(call, backend):
                return False
            if not await self._stream_versions.may_continue(call, backend, connection):
                slot.slot_request.excluded_lives.add(backend.life_id)
                call.progress.mark_not_sent()
                return False
            # Nothing may be awaited between these checks and the write.
            if not self._may_write(call, backend):
                return False
            if not self._state.may_still_send(slot):
                is_reusable = True
                call.progress.mark_not_sent()
                return False
            self._refuse_unsent_if_stopping(call)
            self._crashes.attempt_started(call, slot)
            self._stream_versions.attempt_started(call, backend)
            head, backend_head = await self._send(call, backend, connection)
            idle_ms = backend_head.idle_timeout_ms
            if backend_head.is_not_executed:
                is_reusable = await connection.discard_body()
                connection.record_refusal(call.head.request_id)
                self._statements.record_declined(call, slot, head, backend_head)
                return False
            if not await self.response_relay.relay(
                call, slot, caller, connection, head
            ):
                is_reusable = True
                return False
            self._candidates.record_outcome(call, slot)
            if call.status < FIRST_ERROR_STATUS:
                self._crashes.attempt_answered(call)
            is_reusable = True
            return True
        except BackendBrokenError as error:
            log_failed_attempt(call, backend, f"broken: {error}")
            self._crashes.attempt_broke(call)
            if connection.was_ended:
                self._state.hold_if_maybe_cold(backend)
            await self._handle_broken(call, slot)
            return False
        finally:
            self._crashes.attempt_ended(call)
            if is_reusable:
                self._connections.release_connection(connection, idle_ms)
            else:
                connection.close()

    def _may_write(self, call: ForwardCall, backend: BackendItem) -> bool:
        """Returns whether a request may be written to a backend server now."""
        if self._state.may_write(backend):
            return True
        is_drained = backend.life_id in self._state.drained_lives
        reason = "its zone is drained" if is_drained else "the entry stood still"
        log_failed_attempt(call, backend, reason)
        call.progress.mark_not_sent()
        return False

    async def _handle_answer_begun(self, call: ForwardCall, slot: Slot) -> None:
        """Handles the first event of a stream's attempt, before it is relayed.

        Raises:
            BackendBrokenError: It can't be relayed.
        """
        self._crashes.answer_begun(call, slot)
        if not await self._stream_versions.answer_begun(call, slot.backend):
            raise BackendBrokenError("another version may count as what began it")

    async def _send(
        self, call: ForwardCall, backend: BackendItem, connection: BackendConnection
    ) -> tuple[ResponseHead, BackendHead]:
        """Writes the request and reads the head of its response.

        Raises:
            BackendBrokenError: The head of this request's response didn't arrive.
        """
        request_fields = BackendRequestFields(
            left_ms=call.left_ms(),
            backend=backend.name,
            account=None if call.account is None else call.account.name,
            last_event_id=call.last_event_id,
            priority=engine_rank(call.account, call.route),
        )
        request = call.request
        headers = self._header_codec.write_backend(request.headers, request_fields)
        if call.progress.state == "sending":
            call.progress.mark_written()
        call.sent_count += 1
        metrics.SENDS.inc()
        self._state.count_limited_send(backend)
        call.backends.append(backend.name)
        call.is_tunneled = connection.is_tunneled
        known_limit_index = self._state.send_limits.known_index(backend.life_id)
        sent_ms = timers.now_ms()
        try:
            await connection.send(request.method, request.target, headers, request.body)
            head = await connection.read_head()
        except anyio.get_cancelled_exc_class():
            router = self._state.router
            router.request_given_up(backend.life_id, sent_ms, timers.now_ms())
            raise
        backend_head = self._header_codec.read_backend(head.status, head.headers)
        self._statements.record_state(backend, connection, backend_head)
        expected_id = call.head.request_id
        connection.close_after_use = connection.close_after_use or expected_id is None
        response_id = backend_head.request_id
        may_lack_id = response_id is None and not connection.is_reused
        if expected_id is not None and response_id != expected_id and not may_lack_id:
            raise BackendBrokenError("the response belongs to another request")
        self._limit_reports.record(backend, backend_head, known_limit_index)
        return head, backend_head

    async def _handle_broken(self, call: ForwardCall, slot: Slot) -> None:
        """Handles an exchange that failed after the request was sent.

        The request may have run.

        Raises:
            RefusedError: It must not be sent again.
        """
        slot.slot_request.excluded_lives.add(slot.backend.life_id)
        call.failed_lives.add(slot.backend.life_id)
        self._state.router.record_failure(slot.backend.life_id, timers.now_ms())
        if not call.progress.idempotent:
            # The crash is reported all the same: the caller may send the same content
            # again as another request.
            self._state.start_background(self._crashes.report_if_crashed, call, slot)
            raise RefusedError(ErrorKind.BACKEND_SERVER_FAILED)
        if await self._crashes.report_if_crashed(call, slot):
            raise RefusedError(ErrorKind.REQUEST_QUARANTINED)
        if call.sent_count >= call.route.attempts_limit_count:
            raise RefusedError(ErrorKind.BACKEND_SERVER_FAILED)
        call.progress.step("retry" if call.progress.state == "running" else "resume")
        if call.progress.state == "resuming":
            call.progress.step("retry")
