"""Relays responses of backend servers to callers, and sends the entry's refusals."""

from collections.abc import Awaitable, Callable

import h11

from cassiapitch import metrics, timers
from cassiapitch.asgi import BodyBufferLimit, BodyBufferReservation
from cassiapitch.backend_connection import (
    BackendBrokenError,
    BackendConnection,
    ResponseHead,
)
from cassiapitch.caller_connection import CallerConnection, CallerDisconnectedError
from cassiapitch.entrystate import EntryState
from cassiapitch.error_kinds import ERROR_RESPONSES
from cassiapitch.eventstream import EventSplitter, EventTooLargeError
from cassiapitch.forwardcandidates import has_alternative
from cassiapitch.forwardlog import log_failed_attempt
from cassiapitch.forwardtypes import (
    NOT_EXECUTED_STATUSES,
    SERVER_ERROR_STATUS,
    ForwardCall,
    RefusedError,
    StreamCutError,
    refusal_status,
)
from cassiapitch.header_codec import CallerHead, HeaderCodec
from cassiapitch.held_bytes import Holder, Kind
from cassiapitch.slots import Slot

# Responses that aren't streams are read whole before they are relayed.
RESPONSE_LIMIT_BYTES = 8 * 1024 * 1024
# Limit of all of them together, so that backend servers whose responses never end
# use bounded memory.
BUFFERED_RESPONSES_LIMIT_BYTES = 24 * 1024 * 1024
# Bytes of events without an id, such as comments, between two events with an id.
UNNUMBERED_EVENTS_LIMIT_BYTES = 64 * 1024
# A gap during which the caller took longer to be sent an event shows the caller's pace,
# not the engine's.
SENDING_LIMIT_MS = 5


class ResponseRelay:
    """Sends the responses to callers of one entry.

    Attributes:
        is_stopping: Whether responses tell callers to close their connection.
    """

    def __init__(
        self,
        header_codec: HeaderCodec,
        state: EntryState,
        on_answer_begun: Callable[[ForwardCall, Slot], Awaitable[None]],
    ) -> None:
        """Creates a relay.

        Args:
            header_codec: Reads and writes headers.
            state: State of the entry.
            on_answer_begun: Called when a stream's first event of an attempt arrives,
                before it is relayed; may raise `BackendBrokenError`.
        """
        self._header_codec = header_codec
        self._on_answer_begun = on_answer_begun
        self._state = state
        self.is_stopping = False
        self._response_buffer_limit = BodyBufferLimit(BUFFERED_RESPONSES_LIMIT_BYTES)

    async def relay(
        self,
        call: ForwardCall,
        slot: Slot,
        caller: CallerConnection,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> bool:
        """Relays a response to the caller.

        Returns:
            Whether the caller was answered; false if the request is to be retried.

        Raises:
            BackendBrokenError: The response can't be relayed.
            StreamCutError: A response that has begun can't be completed.
        """
        backend_head = self._header_codec.read_backend(head.status, head.headers)
        is_success = 200 <= head.status < 300
        if is_success and (not backend_head.is_signed or _is_encoded(head)):
            raise BackendBrokenError("the response is unsigned or content-encoded")
        if head.status in NOT_EXECUTED_STATUSES:
            # Relayed, it would promise that the request has not run, but the backend
            # server didn't say so.
            raise BackendBrokenError(
                f"status {head.status} without saying that the request has not run"
            )
        if call.route.is_stream and is_success:
            await self._relay_stream(call, slot, caller, connection, head)
            return True
        reservation = BodyBufferReservation(self._response_buffer_limit)
        try:
            body = await self._read_body(connection, reservation, caller.holder)
            return await self._relay_buffered(call, slot, caller, head, body)
        finally:
            caller.holder.set(Kind.RESPONSE, 0)
            reservation.release()

    async def _relay_buffered(
        self,
        call: ForwardCall,
        slot: Slot,
        caller: CallerConnection,
        head: ResponseHead,
        body: bytes,
    ) -> bool:
        """Relays a whole response; returns false if the request is to be retried."""
        may_retry = (
            head.status >= SERVER_ERROR_STATUS
            and call.progress.idempotent
            and call.sent_count < call.route.attempts_limit_count
            and has_alternative(slot)
        )
        if may_retry:
            log_failed_attempt(call, slot.backend, f"failed: {head.status}")
            self._state.router.record_failure(slot.backend.life_id, timers.now_ms())
            slot.slot_request.excluded_lives.add(slot.backend.life_id)
            call.progress.step(
                "retry" if call.progress.state == "running" else "resume"
            )
            return False
        if caller.has_answered:
            raise StreamCutError(f"resuming got status {head.status}")
        call.status = head.status
        call.first_byte_ms = timers.now_ms()
        await caller.answer(
            head.status,
            self._header_codec.write_caller(head.headers),
            body,
            reason=head.reason,
            close=self.is_stopping,
        )
        call.outcome = "answered"
        return True

    async def _read_body(
        self,
        connection: BackendConnection,
        reservation: BodyBufferReservation,
        holder: Holder,
    ) -> bytes:
        parts: list[bytes] = []
        size_bytes = 0
        while (data := await connection.read_data()) is not None:
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > RESPONSE_LIMIT_BYTES or not reservation.reserve(len(data)):
                raise BackendBrokenError("the response is too large")
            if not holder.reserve(Kind.RESPONSE, len(data)):
                metrics.CALLERS_REFUSED.inc("response")
                raise BackendBrokenError("no room for the response")
        return b"".join(parts)

    async def _relay_stream(
        self,
        call: ForwardCall,
        slot: Slot,
        caller: CallerConnection,
        connection: BackendConnection,
        head: ResponseHead,
    ) -> None:
        """Relays events as they arrive, never a part of one.

        The head is sent with the first event only: a stream that breaks off before
        its first event can still get another response. The event that a later attempt
        goes on from is the last one that the caller was sent.
        """
        splitter = EventSplitter()
        last_collected_id = call.last_event_id
        unnumbered_bytes = 0
        last_relayed_ms: int | None = None
        sent_ms = 0
        while (data := await connection.read_data()) is not None:
            try:
                events = splitter.feed(data)
            except EventTooLargeError:
                raise BackendBrokenError("an event is too large") from None
            new_events = []
            for event in events:
                if event.event_id is not None:
                    if (
                        last_collected_id is not None
                        and event.event_id <= last_collected_id
                    ):
                        continue
                    last_collected_id = event.event_id
                    unnumbered_bytes = 0
                else:
                    unnumbered_bytes += len(event.data)
                    if unnumbered_bytes > UNNUMBERED_EVENTS_LIMIT_BYTES:
                        raise BackendBrokenError("too many bytes without an event id")
                new_events.append(event.data)
            if not new_events:
                continue
            now_ms = timers.now_ms()
            if last_relayed_ms is None:
                await self._on_answer_begun(call, slot)
                self._state.router.prefill.first_byte_received(
                    slot.backend.life_id, call.request_key, now_ms
                )
                self._state.gate.local.answered(call.request_key, now_ms)
                call.first_byte_ms = call.first_byte_ms or now_ms
            else:
                gap_ms = now_ms - last_relayed_ms
                call.longest_gap_ms = max(call.longest_gap_ms, gap_ms)
                router = self._state.router
                is_sampled = router.answer_samples.is_enabled
                if is_sampled and sent_ms - last_relayed_ms <= SENDING_LIMIT_MS:
                    router.answer_samples.record_events(
                        slot.backend.life_id,
                        len(new_events),
                        gap_ms,
                        router.total_in_flight(slot.backend.life_id),
                        now_ms,
                        slot.slot_request.queue,
                    )
            last_relayed_ms = now_ms
            call.events_count += len(new_events)
            if caller.has_answered:
                await caller.send_data(b"".join(new_events))
            else:
                await self._begin_stream(call, caller, head, b"".join(new_events))
            sent_ms = timers.now_ms()
            call.last_event_id = last_collected_id
        if splitter.incomplete_event():
            raise BackendBrokenError("the stream ended in the middle of an event")
        if head.ends_with_connection and last_relayed_ms is None:
            # A backend server that crashes as it begins may close the connection.
            raise BackendBrokenError("the connection ended before the first event")
        if not caller.has_answered:
            await self._begin_stream(call, caller, head, b"")
        await caller.end_answer()
        call.outcome = "answered"

    async def _begin_stream(
        self,
        call: ForwardCall,
        caller: CallerConnection,
        head: ResponseHead,
        data: bytes,
    ) -> None:
        call.status = head.status
        await caller.begin_answer(
            head.status,
            self._header_codec.write_caller(head.headers),
            length=None,
            reason=head.reason,
            close=self.is_stopping,
            data=data,
        )

    async def refuse(
        self,
        caller: CallerConnection,
        head: CallerHead,
        error: RefusedError,
        call: ForwardCall | None = None,
    ) -> None:
        """Sends the final response to a request that is not served."""
        may_have_run = call is not None and call.progress.may_have_been_sent
        status = refusal_status(error.kind, may_have_run=may_have_run)
        headers = self._header_codec.refusal_headers(head.request_id)
        retry_ms = error.retry_after_ms
        if retry_ms is None and status in (429, 503):
            default_retry_after_s = ERROR_RESPONSES[error.kind].retry_after_s
            retry_ms = (
                None if default_retry_after_s is None else default_retry_after_s * 1_000
            )
        if retry_ms is not None and status in (429, 503):
            headers.append((b"Retry-After", f"{retry_ms / 1000:.3f}".encode()))
        if call is not None:
            call.status = status
            call.outcome = error.kind.value
        body = b'{"error":"%s"}' % error.kind.value.encode()
        headers.append((b"Content-Type", b"application/json"))
        try:
            await caller.answer(status, headers, body, close=self.is_stopping)
        except (CallerDisconnectedError, h11.LocalProtocolError):
            if call is not None:
                call.is_broken = True


def _is_encoded(head: ResponseHead) -> bool:
    return any(name.lower() == b"content-encoding" for name, _ in head.headers)
