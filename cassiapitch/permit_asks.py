"""Asks of one entry for permits, and the leader's answers to them.

One ask is open at a time; it lists all requests that wait for permits. Where the leader
accepts lists of prompts, `paced_requests` asks for those of paced backend servers.
"""

from collections.abc import Mapping, Sequence

from cassiapitch.limit_messages import (
    ASK_PERIOD_MS,
    FORM_LISTS_KNOWN,
    HORIZON_MS,
    PERMIT_LIFE_MS,
    WAITING_LIMIT_COUNT,
    PermitAnswer,
    PermitAsk,
    PermitRequest,
    packed_waiting,
)
from cassiapitch.send_permits import Limited, Permit
from cassiapitch.types import LifeId

# Shortest time between asks, so that requests that arrive together share one.
MIN_ASK_SPACING_MS = 5
# An ask without an answer for this long is presumed lost.
ANSWER_TIMEOUT_MS = 400


class PermitAsks:
    """The open ask, and when the next one is due.

    Attributes:
        sequence: Number of the last ask, also of one for prompts.
        unanswered_since_ms: Time of the first ask since the last answer; None if
            none is unanswered.
        ask_again_ms: When the next ask is due; None if nothing waits.
    """

    def __init__(self, entry: str, entry_life_id: str) -> None:
        self._entry = entry
        self._entry_life_id = entry_life_id
        self.sequence = 0
        self.unanswered_since_ms: int | None = None
        self.ask_again_ms: int | None = None
        self._asked_ms: dict[int, int] = {}
        self._is_ask_open = False
        self._open_sequence = 0
        self._last_asked_ms = -MIN_ASK_SPACING_MS

    def close(self) -> None:
        """Ends what is due; call it when no limit is left, so that no ask follows."""
        self.ask_again_ms = self.unanswered_since_ms = None
        self._is_ask_open = False

    def ask(
        self,
        limits: Mapping[LifeId, Limited],
        waiting_counts: Mapping[LifeId, int],
        now_ms: int,
        prompts: Mapping[LifeId, Sequence[tuple[int, int]]],
        waiting: Mapping[LifeId, Sequence[tuple[int, int, int]]],
        *,
        with_paced: bool,
    ) -> PermitAsk | None:
        """Returns the next ask, or None if none is due.

        Args:
            limits: What is known of the limited incarnations.
            waiting_counts: As for `SendLimits.ask`.
            now_ms: The current time.
            prompts: As for `SendLimits.ask`.
            waiting: As for `SendLimits.ask`.
            with_paced: Whether to ask for permits of paced incarnations too.
        """
        if self._is_ask_open and now_ms - self._last_asked_ms < ANSWER_TIMEOUT_MS:
            return None
        requests = []
        for life_id, limited in limits.items():
            waiting_count = waiting_counts.get(life_id, 0) - len(limited.permits)
            is_paced = limited.is_only_paced
            if is_paced and not with_paced:
                continue
            # The leader keeps no more than these.
            listed = slice(
                len(limited.permits), len(limited.permits) + WAITING_LIMIT_COUNT
            )
            waiting_prompts = prompts.get(life_id, ()) if is_paced else ()
            request = PermitRequest(
                limited.name,
                life_id,
                max(0, waiting_count),
                limited.needs_probe,
                is_paced,
                tuple(waiting_prompts[listed]),
                () if is_paced else packed_waiting(waiting.get(life_id, ())[listed]),
            )
            if is_paced and not (request.prompts or limited.has_queued):
                continue
            if life_id in waiting_counts or request.is_probe or limited.has_queued:
                requests.append(request)
        if not requests:
            self.ask_again_ms = self.unanswered_since_ms = None
            return None
        for request in requests:
            limited = limits[request.life_id]
            limited.has_queued = request.waiting_count > 0
            limited.needs_probe = False
        self.sequence += 1
        self._asked_ms[self.sequence] = now_ms
        if self.unanswered_since_ms is None:
            self.unanswered_since_ms = now_ms
        self._is_ask_open, self._open_sequence = True, self.sequence
        self._last_asked_ms = now_ms
        self.ask_again_ms = now_ms + ANSWER_TIMEOUT_MS
        return PermitAsk(
            self._entry,
            self._entry_life_id,
            self.sequence,
            tuple(requests),
            FORM_LISTS_KNOWN,
        )

    def receive(
        self, answer: PermitAnswer, limits: Mapping[LifeId, Limited], now_ms: int
    ) -> int | None:
        """Adds the permits and waits of an answer to what is known.

        Returns:
            The time of the ask; None if the answer is to none of the last asks.
        """
        asked_ms = self._asked_ms.pop(answer.sequence, None)
        if asked_ms is None:
            return None
        self.unanswered_since_ms = None
        if answer.sequence == self._open_sequence:
            self._is_ask_open = False
        first_wait_ms = ASK_PERIOD_MS + HORIZON_MS
        for item in answer.permits:
            limited = limits.get(item.life_id)
            if limited is None:
                continue
            limited.permits += [
                Permit(
                    asked_ms + delay_ms,
                    asked_ms + delay_ms + PERMIT_LIFE_MS,
                    is_probe=not limited.has_queued,
                )
                for delay_ms in item.delays_ms
            ]
            limited.estimate, limited.estimate_as_of_ms = item, asked_ms
            first_wait_ms = min((first_wait_ms, *item.waits_ms))
        again_ms = asked_ms + first_wait_ms - HORIZON_MS
        self.ask_again_ms = max(now_ms + MIN_ASK_SPACING_MS, again_ms)
        return asked_ms

    def forget_old(self, now_ms: int) -> None:
        """Forgets asks whose answers would give no usable permit any more."""
        self._asked_ms = {
            sequence: asked_ms
            for sequence, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms <= HORIZON_MS + PERMIT_LIFE_MS
        }
