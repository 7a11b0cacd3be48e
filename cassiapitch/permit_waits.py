"""Decides which waiting requests need permits, and which get none in time.

Joins the requests that wait for slots (`waiting_requests`) with the queues for permits
of limited backend servers (`permit_queues`).
"""

from cassiapitch import permit_queues
from cassiapitch.limit_messages import account_tag
from cassiapitch.permit_queues import QueuedRequest
from cassiapitch.routing import Router
from cassiapitch.send_limits import SendLimits
from cassiapitch.slot_candidates import SlotCandidates
from cassiapitch.slots import SlotRequest
from cassiapitch.types import LifeId
from cassiapitch.waiting_requests import WaitingRequests

# When callers retry whose requests need a permit while the leader doesn't answer.
SILENT_LEADER_RETRY_MS = 500
# Share of the time until its deadline that a request may wait for a permit. The rest is
# left for the work: with longer queues a limited backend server would serve as many
# requests, but all of them late.
PERMIT_WAIT_SHARE = 0.5
# The same as a share of the objective, where prompts are paced. In a longer queue all
# requests would be late, and no more of them would be served.
PACED_WAIT_SHARE = 0.75


def queued_request(slot_request: SlotRequest, now_ms: int) -> QueuedRequest:
    """Returns a request as the queues for permits see it, with its longest waits."""
    latest_ms = now_ms + int(PERMIT_WAIT_SHARE * (slot_request.deadline_ms - now_ms))
    paced_wait_ms = latest_ms - now_ms
    if slot_request.objective_ms:
        objective_wait_ms = int(PACED_WAIT_SHARE * slot_request.objective_ms)
        paced_wait_ms = min(paced_wait_ms, objective_wait_ms)
    return QueuedRequest(
        latest_ms,
        slot_request.deadline_ms,
        rank=slot_request.rank,
        tokens=slot_request.prompt_tokens,
        paced_wait_ms=paced_wait_ms,
        weight=slot_request.weight,
        account=account_tag(slot_request.account),
    )


class PermitWaits:
    """Waits of this entry's requests for permits."""

    def __init__(
        self,
        waiting: WaitingRequests,
        slot_candidates: SlotCandidates,
        router: Router,
        send_limits: SendLimits,
    ) -> None:
        self._waiting = waiting
        self._slot_candidates = slot_candidates
        self._router = router
        self._send_limits = send_limits

    def queues(
        self, now_ms: int
    ) -> tuple[permit_queues.PermitQueues, permit_queues.UsableLives]:
        """Returns the queues for permits, and which of them each request may use."""
        waiters = self._waiting.all()
        # Many requests wait for the same backend servers.
        has_capacity: dict[tuple[LifeId, int], bool] = {}
        lives_by_request = {
            id(waiter.queued_request): self._limited_lives(
                waiter.slot_request, has_capacity, now_ms
            )
            for waiter in waiters
        }

        def usable_lives(request: QueuedRequest) -> list[LifeId]:
            return lives_by_request[id(request)]

        requests = [waiter.queued_request for waiter in waiters]
        queues = permit_queues.assign(requests, usable_lives, self._send_limits, now_ms)
        return queues, usable_lives

    def late_waits_ms(
        self,
        queues: permit_queues.PermitQueues,
        usable_lives: permit_queues.UsableLives,
        now_ms: int,
    ) -> dict[int, int]:
        """Returns when callers retry whose requests get no permit in time.

        Args:
            queues: What `queues` has returned at this time.
            usable_lives: The same.
            now_ms: The current time.

        Returns:
            Times in milliseconds by the `id` of a queued request.
        """
        late = permit_queues.late_requests(
            queues, usable_lives, self._send_limits, now_ms
        )
        late = permit_queues.without_waiting_late(
            late, queues, usable_lives, self._send_limits, now_ms
        )
        waits_ms = {id(request): wait_ms for request, wait_ms in late}
        if self._send_limits.is_leader_silent(now_ms):
            for requests in queues.values():
                waits_ms.update(
                    (id(request), SILENT_LEADER_RETRY_MS) for request in requests
                )
        return waits_ms

    def needs_permit(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Returns whether all backend servers that can serve a request are limited."""
        return all(
            self._send_limits.is_limited(backend.life_id)
            for backend in self._slot_candidates.allowed(slot_request, now_ms)
            if not self._router.is_leaving(backend.life_id)
        )

    def request_probes(self, slot_request: SlotRequest, now_ms: int) -> bool:
        """Requests probes of limited backend servers that could serve a request.

        Returns:
            Whether a permit is to be asked for.
        """
        life_ids = [
            backend.life_id
            for backend in self._slot_candidates.allowed(slot_request, now_ms)
        ]
        return self._send_limits.request_probes(life_ids, now_ms)

    def _limited_lives(
        self,
        slot_request: SlotRequest,
        has_capacity: dict[tuple[LifeId, int], bool],
        now_ms: int,
    ) -> list[LifeId]:
        """Returns the limited incarnations that could run a request now.

        Args:
            slot_request: The request.
            has_capacity: What is known of backend servers, by incarnation and rank.
            now_ms: The current time.
        """
        rank = slot_request.rank
        reserved_rank = self._waiting.reserved_rank(rank)
        lives = []
        for backend in self._slot_candidates.allowed(slot_request, now_ms):
            life_id = backend.life_id
            if not self._send_limits.is_limited(life_id):
                continue
            is_usable = has_capacity.get((life_id, rank))
            if is_usable is None:
                is_usable = has_capacity[life_id, rank] = self._router.has_capacity(
                    backend, rank, now_ms, reserved_rank
                )
            if is_usable:
                lives.append(life_id)
        return lives
