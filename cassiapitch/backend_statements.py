"""What backend servers say about themselves in responses, as one entry records it."""

from cassiapitch import events, timers
from cassiapitch.backend_connection import (
    BackendConnection,
    BackendConnectionPool,
    ResponseHead,
)
from cassiapitch.entrystate import EntryState
from cassiapitch.forwardcandidates import ForwardCandidates
from cassiapitch.forwardlog import log_failed_attempt
from cassiapitch.forwardtypes import ForwardCall
from cassiapitch.header_codec import BackendHead
from cassiapitch.slots import Slot
from cassiapitch.viewitems import BackendItem


class BackendStatements:
    """Tells the router and the control group what responses state."""

    def __init__(
        self,
        state: EntryState,
        candidates: ForwardCandidates,
        connections: BackendConnectionPool,
    ) -> None:
        self._state = state
        self._candidates = candidates
        self._connections = connections

    def record_state(
        self,
        backend: BackendItem,
        connection: BackendConnection,
        backend_head: BackendHead,
    ) -> None:
        """Records that a backend server leaves, asks for a pause, or is brittle.

        The view shows a departure after the next heartbeat only, and a pause never.
        Other entries learn of both through the leader.
        """
        now_ms = timers.now_ms()
        if backend_head.is_signed or backend_head.rejections_per_s is not None:
            self._state.router.brittle.record_statement(
                backend.life_id, backend_head.rejections_per_s, now_ms
            )
        if backend_head.is_leaving:
            connection.close_after_use = True
            if not self._state.router.is_leaving(backend.life_id):
                events.log(events.Event.BACKEND_SAID_LEAVING, name=backend.name)
                self._state.router.mark_leaving(backend.life_id)
                self._connections.close_idle(backend.life_id)
                self._state.demand.add_leaving_backend(backend.life_id)
                self._state.demand_needed.notify_all()
        if backend_head.pause_ms:
            pause_ms = backend_head.pause_ms
            self._state.router.pause(backend.life_id, pause_ms, now_ms)
            self._state.demand.add_paused_backend(backend.life_id, now_ms + pause_ms)
            self._state.demand_needed.notify_all()

    def record_declined(
        self,
        call: ForwardCall,
        slot: Slot,
        head: ResponseHead,
        backend_head: BackendHead,
    ) -> None:
        """Records that the backend server said it did not run the request."""
        log_failed_attempt(call, slot.backend, f"declined: {head.status}")
        call.progress.mark_declined()
        if not backend_head.is_other_backend and self._state.router.record_rejection(
            slot.backend, timers.now_ms()
        ):
            self._state.demand_needed.notify_all()
        if backend_head.is_other_backend:
            self._candidates.mark_model_missing(
                slot.backend.life_id, slot.slot_request.name
            )
            self._state.demand_needed.notify_all()
