"""Runs one call of a plain service.

A call that isn't idempotent is sent at most once. If it has an idempotency key, a claim
on the key is recorded at the control group before the call is sent, and its outcome
afterwards.
"""

import dataclasses

import anyio

from cassiapitch import api, events, home_regions, ranks, timers
from cassiapitch.backend_client import (
    LIFE_HEADER,
    ConnectionLost,
    Headers,
    NotConnected,
    Response,
    exchange,
    read_answer,
)
from cassiapitch.backend_paths import Verdict
from cassiapitch.calls import Call, refused
from cassiapitch.crash_containment import CrashContainment, CrashVerdict
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ErrorKind
from cassiapitch.exceptions import NotWrittenError
from cassiapitch.mapped_bytes import Sliceable
from cassiapitch.messages import (
    ClaimAnswer,
    ClaimAsk,
    ClaimFinish,
    ClaimRelease,
)
from cassiapitch.rate_budget import Admitted
from cassiapitch.rate_refusals import check_admitted
from cassiapitch.slots import NoSlot, Slot, SlotRequest
from cassiapitch.types import ClaimState
from cassiapitch.viewitems import (
    BackendItem,
    RouteItem,
)

ANSWER_LIMIT_BYTES = 16 * 1024 * 1024
# The control group stores bodies of up to 64 KiB. One byte more tells it that a body is
# too large, without sending all of it.
RECORDED_BODY_BYTES = 64 * 1024 + 1
CLAIM_LIMIT_MS = 2_000
# The lifetime of a claim exceeds the timeout of its route by this much.
CLAIM_MARGIN_MS = 10_000
RELEASE_LIMIT_MS = 10_000
# Longest delay of an answer until its outcome is recorded; recording goes on for
# `FINISH_LIMIT_MS` in the background.
FINISH_WAIT_MS = 1_000
FINISH_LIMIT_MS = 60_000

_CLAIM_REFUSALS = {
    ClaimState.RUNNING: ErrorKind.CLAIM_RUNNING,
    ClaimState.UNKNOWN: ErrorKind.CLAIM_UNKNOWN,
    ClaimState.MISMATCH: ErrorKind.CLAIM_MISMATCH,
    ClaimState.FULL: ErrorKind.CLAIMS_FULL,
}
# States of a claim that tell of an earlier call with the same key.
_EARLIER_CALL_STATES = (ClaimState.RUNNING, ClaimState.UNKNOWN, ClaimState.FINISHED)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call as it is forwarded, with the caller's key removed.

    Attributes:
        route: The route of the bundle that the call matches.
        query: Query string without the key.
        headers: Headers to forward.
        body: The body.
        idempotency_key: The caller's `Idempotency-Key`, if any.
    """

    route: RouteItem
    query: str
    headers: Headers
    body: bytes
    idempotency_key: str | None

    @property
    def target(self) -> str:
        """Path and query."""
        return f"{self.route.path}?{self.query}" if self.query else self.route.path


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """A service's answer, or the stored answer of an earlier call."""

    status: int
    content_type: str
    body: Sliceable
    replayed: bool = False


class ServiceCall:
    """One call and the attempts to run it."""

    def __init__(
        self,
        state: EntryState,
        crash_containment: CrashContainment,
        call: Call,
        request: ServiceRequest,
    ) -> None:
        self._state = state
        self._crash_containment = crash_containment
        self._call = call
        self._request = request
        route = request.route
        self.digest = api.combined_digest(
            route.method, route.path, request.query, request.body
        )
        self._regions = home_regions.allowed_regions(None, call.account)
        self._account = "" if call.account is None else call.account.name
        self._key_digest = api.combined_digest(
            self._account, route.method, route.path, request.idempotency_key or ""
        )

    async def run(self) -> ServiceAnswer:
        """Returns the answer.

        Raises:
            CallRefusedError: There is no answer; the refusal says why.
            CallEndedError: The call was ended early, or isn't authorised any more.
        """
        request = self._request
        needs_claim = not request.route.idempotent and request.idempotency_key
        if not needs_claim:
            self._call.progress.earlier_may_have_run = False
            return await self._run_admitted()
        try:
            earlier_answer = await self._claim()
            if earlier_answer is not None:
                return earlier_answer
            answer = await self._run_admitted()
        except BaseException:
            if not self._call.progress.may_have_been_sent:
                self._release_claim()
            raise
        await self._finish_claim(answer)
        return answer

    async def _run_admitted(self) -> ServiceAnswer:
        cost = self._request.route.cost_tokens
        admitted = check_admitted(await self._state.admit(self._call, cost))
        try:
            return await self._run_attempts()
        finally:
            self._settle(admitted)

    def _settle(self, admitted: Admitted) -> None:
        is_used = self._call.progress.may_have_been_sent
        cost = self._request.route.cost_tokens if self._call.account else 0
        self._state.budget.settle(admitted, cost if is_used else 0)

    async def _run_attempts(self) -> ServiceAnswer:
        self._call.progress.step("admit")
        if self._state.is_outside_regions(self._request.route.role, self._regions):
            raise refused(ErrorKind.OUTSIDE_HOME_REGIONS)
        slot_request = self._make_slot_request()
        while True:
            slot = await self._crash_containment.acquire(
                slot_request, self._call.request_id
            )
            if isinstance(slot, NoSlot):
                raise self._no_slot_refusal(slot)
            self._call.progress.step("route")
            answer: ServiceAnswer | NotConnected | ConnectionLost | None = None
            try:
                answer = await self._attempt(slot)
            finally:
                completed = isinstance(answer, ServiceAnswer)
                self._state.scheduler.release(slot, completed=completed)
                if not isinstance(answer, ConnectionLost):
                    self._crash_containment.end_run(slot, self._call.request_id)
            if isinstance(answer, ServiceAnswer):
                self._call.progress.step("complete")
                if slot_request.suspect:
                    self._crash_containment.report_clean_run(slot_request)
                return answer
            await self._prepare_retry(answer, slot, slot_request)

    def _make_slot_request(self) -> SlotRequest:
        account = self._call.account
        role = self._request.route.role
        return SlotRequest(
            name=f"role/{role}",
            queue=f"role/{role}",
            candidates=lambda: self._state.in_regions(
                self._state.catalog.services(role), self._regions
            ),
            expected_ms=lambda: None,
            account=self._account,
            weight=1 if account is None else account.weight,
            rank=ranks.of_priority(self._call.priority),
            cost=max(1, self._request.route.cost_tokens),
            deadline_ms=self._call.deadline_ms,
            digest=self.digest,
            crashed_lives=self._crash_containment.crashed_lives(self.digest),
            is_restricted=self._regions is not None,
            # The controller doesn't load plain services, so waiting is pointless.
            requested_ms=0,
        )

    def _no_slot_refusal(self, slot: NoSlot) -> Exception:
        """Returns the refusal for a call that got no slot on a backend server."""
        if self._call.progress.may_have_been_sent:
            return refused(ErrorKind.BACKEND_SERVER_FAILED)
        if slot.kind is ErrorKind.MODEL_LOADING:
            return refused(ErrorKind.NO_BACKEND_SERVER)
        return refused(slot.kind, slot.retry_after_ms)

    async def _prepare_retry(
        self,
        failure: NotConnected | ConnectionLost,
        slot: Slot,
        slot_request: SlotRequest,
    ) -> None:
        """Prepares the next attempt after a failed one.

        Raises:
            CallRefusedError: No further attempt is allowed.
        """
        slot_request.excluded_lives.add(slot.backend.life_id)
        progress = self._call.progress
        if isinstance(failure, ConnectionLost):
            await self._probe_for_crash(slot, slot_request)
            if progress.idempotent:
                progress.step("retry")
        if not progress.may_retry(self._state.retry_budget, timers.now_ms()):
            was_unsent = isinstance(failure, NotConnected)
            failed = ErrorKind.BACKEND_SERVER_FAILED
            raise refused(ErrorKind.NO_BACKEND_SERVER if was_unsent else failed)

    async def _probe_for_crash(self, slot: Slot, slot_request: SlotRequest) -> None:
        """Reports a crash if the backend server no longer accepts connections."""
        backend = slot.backend
        probe = await self._state.connections.open(backend, fresh=True)
        if not isinstance(probe, NotConnected):
            await self._state.connections.release_connection(probe)
            self._crash_containment.end_run(slot, self._call.request_id)
            return
        if await self._state.backend_paths.inquire(backend) is not Verdict.GONE:
            self._crash_containment.end_run(slot, self._call.request_id)
            return
        verdict = await self._crash_containment.report(backend, self.digest)
        if verdict is CrashVerdict.QUARANTINED:
            raise refused(ErrorKind.REQUEST_QUARANTINED)
        if verdict is CrashVerdict.UNRECORDED:
            raise refused(ErrorKind.BACKEND_SERVER_FAILED)
        slot_request.crashed_lives.add(backend.life_id)

    async def _attempt(
        self, slot: Slot
    ) -> ServiceAnswer | NotConnected | ConnectionLost:
        progress = self._call.progress
        backend = slot.backend
        connection = await self._state.connections.open(
            backend,
            fresh=not progress.idempotent,
            regions=self._regions,
            holder=self._call.holder,
        )
        if isinstance(connection, NotConnected):
            if connection.refused:
                self._state.report_unreachable(backend)
            else:
                self._state.router.mark_unreachable(backend.life_id, timers.now_ms())
            progress.mark_not_sent()
            return connection
        if not self._state.may_still_send(slot):
            await self._state.connections.release_connection(connection)
            progress.mark_not_sent()
            return NotConnected(refused=False)
        self._state.count_limited_send(backend)
        # A call that can't be repeated runs to its end even if the caller disconnects,
        # so that its outcome can be recorded.
        with anyio.CancelScope(shield=not progress.idempotent):
            limit_ms = self._request.route.timeout_ms
            try:
                response = await exchange(
                    connection,
                    self._request.route.method,
                    self._request.target,
                    self._request.headers,
                    self._request.body,
                    guard=self._make_send_guard(backend),
                    head_limit_ms=limit_ms,
                    part_limit_ms=limit_ms,
                )
            except NotWrittenError:
                await self._state.connections.release_connection(connection)
                progress.mark_not_sent()
                return NotConnected(refused=False)
            if isinstance(response, ConnectionLost):
                if response.was_ended:
                    self._state.hold_if_maybe_cold(backend)
                return response
            try:
                return await self._read(backend, response)
            finally:
                await response.close()
                await self._state.connections.release_connection(
                    connection, response.status
                )

    def _make_send_guard(self, backend: BackendItem):  # noqa: ANN202
        """Returns a check of the authorisation, made before the first write only.

        It also marks the request as written, unless the zone of the backend server was
        drained meanwhile.
        """
        is_first = True

        def guard() -> None:
            nonlocal is_first
            if is_first:
                self._state.authorization.check(self._call, timers.now_ms())
                if not self._state.may_write(backend):
                    raise NotWrittenError
                is_first = False
                self._call.progress.mark_written()

        return guard

    async def _read(
        self, backend: BackendItem, response: Response
    ) -> ServiceAnswer | ConnectionLost:
        life_id = response.header(LIFE_HEADER)
        if life_id is not None and life_id != backend.life_id:
            # A newer incarnation has answered, so the chosen one has crashed.
            self._state.start_background(self._report_crash, backend)
        body = await read_answer(response, ANSWER_LIMIT_BYTES, self._call.hold_response)
        if body is None:
            # A retry holds its own parts.
            self._call.drop_response()
            return ConnectionLost()
        content_type = response.header(b"content-type") or "application/octet-stream"
        return ServiceAnswer(response.status, content_type, body)

    async def _report_crash(self, backend: BackendItem) -> None:
        await self._crash_containment.report(backend, self.digest)

    async def _claim(self) -> ServiceAnswer | None:
        """Claims the idempotency key.

        Returns the stored answer if the call ran before, or None if it may run now.

        Raises:
            CallRefusedError: The claim was refused or couldn't be recorded.
        """
        answer = await self._state.control_requests.request_until_decided(
            lambda sequence: ClaimAsk(
                sequence=sequence,
                account=self._account,
                key_digest=self._key_digest,
                request_digest=self.digest,
                holder=self._call.request_id,
                lifetime_ms=self._request.route.timeout_ms + CLAIM_MARGIN_MS,
            ),
            _is_decided,
            CLAIM_LIMIT_MS,
        )
        if answer is None:
            raise refused(ErrorKind.CLAIM_UNAVAILABLE)
        if answer.state not in _EARLIER_CALL_STATES:
            self._call.progress.earlier_may_have_run = False
        if answer.state is ClaimState.GRANTED:
            return None
        if answer.state is not ClaimState.FINISHED:
            raise refused(_CLAIM_REFUSALS[answer.state])
        if answer.body is None:
            message = "the call ran with this status; its answer is not kept"
            body = b'{"status":%d,"message":"%s"}' % (answer.status, message.encode())
            return ServiceAnswer(answer.status, "application/json", body, True)
        return ServiceAnswer(answer.status, answer.content_type, answer.body, True)

    def _release_claim(self) -> None:
        """Releases the claim of a call that did not run."""
        self._state.start_background(self._send_release)

    async def _send_release(self) -> None:
        await self._state.control_requests.request_until_decided(
            lambda sequence: ClaimRelease(
                sequence, self._account, self._key_digest, self._call.request_id
            ),
            _is_decided,
            RELEASE_LIMIT_MS,
        )

    async def _finish_claim(self, answer: ServiceAnswer) -> None:
        """Records the outcome in the background, waiting at most `FINISH_WAIT_MS`."""
        done = anyio.Event()
        self._state.start_background(self._send_finish, answer, done)
        with anyio.move_on_after(FINISH_WAIT_MS / 1000, shield=True):
            await done.wait()

    async def _send_finish(self, answer: ServiceAnswer, done: anyio.Event) -> None:
        recorded = await self._state.control_requests.request_until_decided(
            lambda sequence: ClaimFinish(
                sequence=sequence,
                account=self._account,
                key_digest=self._key_digest,
                holder=self._call.request_id,
                status=answer.status,
                content_type=answer.content_type,
                body=answer.body[:RECORDED_BODY_BYTES],
            ),
            _is_decided,
            FINISH_LIMIT_MS,
        )
        done.set()
        if recorded is None:
            events.log(
                events.Event.CLAIM_NOT_FINISHED, request_id=self._call.request_id
            )


def _is_decided(answer: object) -> bool:
    return isinstance(answer, ClaimAnswer) and answer.state is not None
