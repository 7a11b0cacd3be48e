"""Selects the attempts of open orders to record and to send during one term."""

import dataclasses

from cassiapitch import backends
from cassiapitch.backends import Incarnation
from cassiapitch.fleet import Fleet
from cassiapitch.fleet_commands import OrderAnswer, OrderAttempt
from cassiapitch.orders import Order
from cassiapitch.placement_state import VIEW_DELAY_MS, PlacementState

# Upper bound of the orders in one term, so that the term can be the high part of a
# fencing token; the fleet can't record that many while one member leads.
ORDERS_PER_TERM = 10**9

# An attempt without a response is retried after this time, with exponential backoff up
# to the longest time. For engines without fencing each unanswered attempt reserves
# memory until the end of the incarnation, so they get more time. An engine with fencing
# rejects an attempt that arrives late, by its fence and by the orders that it has
# accepted since.
RESEND_MS = 400
RESEND_LONGEST_MS = 2_000
RESEND_UNFENCED_MS = 4_000
RESEND_UNFENCED_LONGEST_MS = 8_000

# An engine that answered `busy` is running another order and gets the order again
# sooner; most orders end within a second.
BUSY_RESEND_MS = 200
BUSY_DOUBLINGS_COUNT = 3

# An accepted order that isn't settled is sent again, since engines may lose it.
RESEND_ACCEPTED_MS = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingAttempt:
    """An attempt of an order that is to be sent now.

    Attributes:
        order: The order.
        attempt: Number of the attempt.
        ip: Address of the engine.
        port: Port of the engine.
        fence: Fencing token. Increases with each term and with each order of a term.
    """

    order: Order
    attempt: int
    ip: str
    port: int
    fence: int = 0


@dataclasses.dataclass(slots=True)
class _OrderProgress:
    """What the leader of this term knows of an open order."""

    first_seen_ms: int
    sent_attempt: int = 0
    sent_ms: int = 0
    responded: bool = True
    is_busy: bool = False


class OrderAttempts:
    """What the leader of one term knows of the attempts of open orders."""

    def __init__(self, fleet: Fleet, placement: PlacementState, term: int) -> None:
        self._fleet = fleet
        self._placement = placement
        self._term = term
        # By order id.
        self._progress: dict[str, _OrderProgress] = {}
        self._pending_answers: list[OrderAnswer] = []

    def on_response(self, order: Order, attempt: int, answer: str | None) -> None:
        """Records the outcome of an attempt; `answer` is None without a response."""
        progress = self._progress.get(order.order_id)
        if progress is not None and progress.sent_attempt == attempt:
            progress.responded = True
            progress.is_busy = answer == "busy"
        if answer == "not_sent":
            self._placement.unreachable_lives.add(order.life_id)
        if answer is not None:
            self._pending_answers.append(
                OrderAnswer(order.backend, order.order_id, attempt, answer)
            )

    def take_answers(self) -> list[OrderAnswer]:
        """Removes and returns the answers that the log hasn't recorded."""
        answers, self._pending_answers = self._pending_answers, []
        return answers

    def due(self, now_ms: int) -> list[OutgoingAttempt]:
        """Returns the attempts that are recorded and not yet sent.

        An engine with fencing gets its next order only after the previous one was
        accepted or has ended, since it rejects an order that arrives after a higher
        fence.
        """
        for order_id in self._progress.keys() - self._fleet.open_orders.keys():
            del self._progress[order_id]
        due: list[OutgoingAttempt] = []
        blocked_life_ids = {
            life_id
            for life_id, until_ms in self._placement.orders_blocked_until_ms.items()
            if until_ms > now_ms
        }
        for order in self._fleet.open_orders.values():
            incarnation = self._fleet.lives[order.backend]
            progress = self._progress.setdefault(order.order_id, _OrderProgress(now_ms))
            is_blocked = order.life_id in blocked_life_ids
            if incarnation.fencing and not order.accepted:
                blocked_life_ids.add(order.life_id)
            if is_blocked or not self._is_due(order, incarnation, progress, now_ms):
                continue
            progress.sent_attempt = order.attempt_count
            progress.sent_ms = now_ms
            progress.responded = False
            fence = self._term * ORDERS_PER_TERM + order.fence_number
            due.append(
                OutgoingAttempt(
                    order, order.attempt_count, incarnation.ip, incarnation.port, fence
                )
            )
        return due

    def _is_due(
        self,
        order: Order,
        incarnation: Incarnation,
        progress: _OrderProgress,
        now_ms: int,
    ) -> bool:
        if order.attempt_term != self._term:
            return False
        if progress.sent_attempt >= order.attempt_count:
            return False
        if incarnation.state in (backends.DOWN, backends.SUSPECTED):
            return False
        # A recorded unload removes the model from the view at once, but the views of
        # entries may lag behind, so requests may still arrive until the delay is over.
        role = self._fleet.catalog.roles.get(incarnation.role)
        delay_ms = VIEW_DELAY_MS if role is None else role.unload_delay_ms
        return order.is_load() or now_ms - progress.first_seen_ms >= delay_ms

    def next_to_record(self, now_ms: int) -> list[OrderAttempt]:
        """Returns the attempts that the log has to record before they are sent."""
        attempts = []
        for order in self._fleet.open_orders.values():
            progress = self._progress.get(order.order_id)
            incarnation = self._fleet.lives[order.backend]
            if progress is None or incarnation.state in (
                backends.DOWN,
                backends.SUSPECTED,
            ):
                continue
            if self._needs_attempt(order, incarnation, progress, now_ms):
                attempt = order.attempt_count + 1
                attempts.append(OrderAttempt(order.order_id, attempt))
        return attempts

    def _needs_attempt(
        self,
        order: Order,
        incarnation: Incarnation,
        progress: _OrderProgress,
        now_ms: int,
    ) -> bool:
        if progress.sent_attempt == 0:
            # Only the controller of the attempt's term may send it, so an attempt of
            # an earlier term is replaced by a new one.
            return order.attempt_term != self._term
        if progress.sent_attempt < order.attempt_count or not progress.responded:
            return False
        if progress.is_busy:
            doublings = min(order.attempt_count - 1, BUSY_DOUBLINGS_COUNT)
            return now_ms - progress.sent_ms >= BUSY_RESEND_MS * 2**doublings
        if incarnation.fencing:
            first_ms, longest_ms = RESEND_MS, RESEND_LONGEST_MS
        else:
            first_ms, longest_ms = RESEND_UNFENCED_MS, RESEND_UNFENCED_LONGEST_MS
        wait_ms = min(longest_ms, first_ms * 2 ** (order.attempt_count - 1))
        if order.accepted:
            load_ms = int(self._placement.load_ms)
            wait_ms = max(RESEND_ACCEPTED_MS, 3 * load_ms)
        return now_ms - progress.sent_ms >= wait_ms
