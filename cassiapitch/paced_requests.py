"""What one entry has told the leader of the prompts that wait for paced engines.

The leader keeps the list, so that an ask has only what has changed since the last one;
without changes the entry repeats an empty ask, before the leader forgets the list.
Permits aren't tied to prompts: the most urgent waiting request uses the next one.
"""

import dataclasses
from collections.abc import Mapping, Sequence

from cassiapitch import asked_prompts
from cassiapitch.asked_prompts import AskedPrompt
from cassiapitch.limit_messages import (
    FORM_CHANGES,
    FORM_FULL,
    FORM_LIST_NEEDED,
    LATE_AFTER_SHARE,
    WAITING_LIMIT_COUNT,
    PermitAnswer,
    PermitAsk,
)
from cassiapitch.paced_waits import PacedWaits
from cassiapitch.permit_queues import PermitQueues, QueuedRequest
from cassiapitch.types import LifeId

# An entry whose prompts wait asks at least this often. The leader forgets them after
# 700 ms, which leaves time to repeat an ask that was lost.
KEEP_ALIVE_MS = 300
# An ask without an answer for this long is sent again, with the whole list.
ANSWER_TIMEOUT_MS = 150
# After this time without an ask the leader may have forgotten the list, so that all of
# it is sent.
LIST_VALID_MS = 500
# The entry asks this long before a request has waited as long as it may, so that it
# knows then whether the leader still answers.
ASK_AHEAD_MS = 120
# The leader answers if it has answered an ask that was sent within this time before. It
# is more than `ASK_AHEAD_MS`, `MIN_SPACING_MS` and `OVERDUE_AHEAD_MS` together.
ANSWERED_MS = 260
MIN_SPACING_MS = 100
# Requests are sent this long before the leader has been silent for too long for them,
# and looked for this often: others may use their permits first.
OVERDUE_AHEAD_MS = 20
OVERDUE_PERIOD_MS = 5
# Times of asks are kept as long as permits may refer to them.
ASKS_KEPT_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedPermit:
    """A permit for an incarnation, and the time from which it may be used."""

    life_id: LifeId
    from_ms: int


class PacedRequests:
    """The entry's side of `prompt_schedule`.

    Attributes:
        is_accepted: Whether the leader accepts changes; otherwise the entry lists all
            prompts with each ask, see `SendLimits`.
        accepts_late: Whether it lets late prompts wait.
        waits: The waits that it has stated.
    """

    def __init__(self, entry: str, entry_life_id: str) -> None:
        self._entry = entry
        self._entry_life_id = entry_life_id
        self.is_accepted = self.accepts_late = False
        self._prompts: dict[int, AskedPrompt] = {}
        self._by_request: dict[QueuedRequest, AskedPrompt] = {}
        self._last_number = 0
        self._is_list_needed = True
        self._asked_ms: dict[int, int] = {}
        self._last_asked_ms = 0
        self._open_sequence: int | None = None
        # Whether changes may wait for the answer to the open ask.
        self._is_ask_held = False
        # Prompts of the open ask, in the order of its answer; lives of its changes.
        self._open_prompts: list[AskedPrompt] = []
        self._open_lives: list[LifeId] = []
        self._unanswered_since_ms: int | None = None
        # Time of the last ask that was answered, or of the first one since none waited.
        self._awaited_since_ms = 0
        # Time of the last ask that was answered.
        self._answered_asked_ms = 0
        self.waits = PacedWaits()
        # When the next waiting request has waited as long as it may.
        self._latest_ms: int | None = None
        self._has_waiting = False

    def clear(self) -> None:
        """Forgets all prompts; the leader forgets them, too, or gets the whole list."""
        self._prompts.clear()
        self._by_request.clear()
        self._is_list_needed = True
        self._open_sequence = self._unanswered_since_ms = self._latest_ms = None
        self._has_waiting = False

    def silent_ms(self) -> int | None:
        """Returns since when the leader is awaited; None if it isn't.

        While requests wait, that is since the last ask that was answered.
        """
        since_ms = self._unanswered_since_ms
        if since_ms is None or not self._has_waiting:
            return since_ms
        return min(since_ms, self._awaited_since_ms)

    def wake_ms(self) -> int | None:
        """Returns when the next ask is due, if ever."""
        if self._open_sequence is not None:
            times_ms = [self._last_asked_ms + ANSWER_TIMEOUT_MS]
        elif self._prompts:
            times_ms = [self._keep_alive_ms()]
        else:
            times_ms = []
        if self._latest_ms is not None:
            times_ms.append(self._latest_ms)
        return min(times_ms, default=None)

    def _keep_alive_ms(self) -> int:
        due_ms = self._last_asked_ms + KEEP_ALIVE_MS
        if self._latest_ms is None:
            return due_ms
        ahead_ms = self._latest_ms - ASK_AHEAD_MS
        return min(due_ms, max(self._last_asked_ms + MIN_SPACING_MS, ahead_ms))

    def ask(
        self,
        queues: PermitQueues,
        permit_counts: Mapping[LifeId, int],
        sequence: int,
        now_ms: int,
    ) -> PermitAsk | None:
        """Returns the next ask, or None if none is due.

        Args:
            queues: The waiting requests by paced incarnation, in order.
            permit_counts: Unused permits by incarnation.
            sequence: Sequence of the ask.
            now_ms: The current time.
        """
        self.note_waits(queues, now_ms)
        if self._open_sequence is not None:
            if now_ms - self._last_asked_ms < ANSWER_TIMEOUT_MS:
                self._is_ask_held = True
                return None
            # It isn't known whether the leader has applied the changes.
            self._open_sequence, self._is_list_needed = None, True
        gone, added = self._compare(queues, permit_counts)
        is_old = now_ms - self._last_asked_ms > LIST_VALID_MS
        is_complete = self._is_list_needed or is_old
        if not (added or gone):
            if not self._prompts:
                self._unanswered_since_ms = None
                return None
            if not self._is_list_needed and now_ms < self._keep_alive_ms():
                return None
        if not self._prompts:
            self._awaited_since_ms = now_ms
        for prompt in gone:
            del self._prompts[prompt.number]
        for life_id, request in added:
            self._last_number += 1
            prompt = AskedPrompt(
                self._last_number,
                life_id,
                request.rank,
                request.tokens,
                request,
                is_late=request.is_late,
            )
            self._prompts[prompt.number] = self._by_request[request] = prompt
        if not self._prompts and is_complete:
            # The leader forgets what it may still have.
            self._unanswered_since_ms = None
            self._is_list_needed = True
            return None
        new_count = len(added)
        listed = list(self._prompts.values())
        listed = listed if is_complete else listed[len(listed) - new_count :]
        changes, self._open_prompts = asked_prompts.changes(
            listed, now_ms, accepts_late=self.accepts_late
        )
        self._open_lives = list(
            dict.fromkeys(prompt.life_id for prompt in self._open_prompts)
        )
        self._is_list_needed = False
        self._asked_ms = {
            number: asked_ms
            for number, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms <= ASKS_KEPT_MS
        }
        self._asked_ms[sequence] = self._last_asked_ms = now_ms
        self._open_sequence, self._is_ask_held = sequence, False
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = now_ms
        return PermitAsk(
            self._entry,
            self._entry_life_id,
            sequence,
            (),
            FORM_CHANGES,
            is_complete,
            changes,
            () if is_complete else tuple(prompt.number for prompt in gone),
        )

    def needs_ask(self, answer: PermitAnswer) -> bool:
        """Returns whether an answer that was received calls for a new exchange."""
        if answer.form != FORM_CHANGES:
            return True
        is_refused = any(wait_ms < 0 for wait_ms in answer.waits_ms)
        # Those that are repeated are known no more.
        is_refused |= any(number in self._prompts for number in answer.dropped[::2])
        return is_refused or (self._is_ask_held and not answer.is_pushed)

    def receive(self, answer: PermitAnswer, now_ms: int) -> list[GrantedPermit]:
        """Takes over waits; returns the permits that were given."""
        asked_ms = self._asked_ms.get(answer.sequence)
        if asked_ms is None:
            return []
        if answer.form == FORM_CHANGES:
            self.accepts_late = answer.accepts_late
        if answer.form == FORM_FULL:
            # A member of an earlier build has answered.
            self.is_accepted = self.accepts_late = False
            self.clear()
            return []
        if not answer.is_pushed and answer.sequence == self._open_sequence:
            self._open_sequence = self._unanswered_since_ms = None
            self._answered_asked_ms = self._awaited_since_ms = asked_ms
            if answer.form == FORM_LIST_NEEDED:
                self._is_list_needed = True
                return []
            self._receive_waits(answer, asked_ms)
        dropped = zip(answer.dropped[::2], answer.dropped[1::2], strict=False)
        for number, wait_ms in dropped:
            prompt = self._prompts.get(number)
            if prompt is not None:
                self.waits.note_late(prompt.life_id, prompt.rank, -1, now_ms)
                self._note_refused(prompt, now_ms + wait_ms, now_ms)
        granted = []
        pairs = zip(answer.granted[::2], answer.granted[1::2], strict=False)
        for number, delay_ms in pairs:
            prompt = self._prompts.pop(number, None)
            if prompt is None:
                continue
            if prompt.request is not None:
                self._by_request.pop(prompt.request, None)
                prompt.request.granted_life = prompt.life_id
            granted.append(GrantedPermit(prompt.life_id, asked_ms + delay_ms))
        return granted

    def _receive_waits(self, answer: PermitAnswer, asked_ms: int) -> None:
        late_waits_ms = iter(answer.late_waits_ms)
        for prompt, stated_ms in zip(self._open_prompts, answer.waits_ms, strict=False):
            life_id, rank, request = prompt.life_id, prompt.rank, prompt.request
            if stated_ms < 0:
                if answer.accepts_late:
                    late_wait_ms = next(late_waits_ms, -1)
                    self.waits.note_late(life_id, rank, late_wait_ms, asked_ms)
                self._note_refused(prompt, asked_ms - 1 - stated_ms, asked_ms)
                continue
            prompt.permit_ms = asked_ms + stated_ms
            if request is None or not request.is_late:
                self.waits.note(life_id, rank, prompt.permit_ms, asked_ms)
            elif prompt.permit_ms <= (request.paced_latest_ms or 0):
                request.is_late = prompt.is_late = False
        for life_id, spacing_ms in zip(
            self._open_lives, answer.spacings_ms, strict=False
        ):
            self.waits.note_spacing(life_id, spacing_ms)

    def _note_refused(self, prompt: AskedPrompt, permit_ms: int, as_of_ms: int) -> None:
        """Notes that the leader doesn't let a prompt wait, or not any longer."""
        prompt.permit_ms = permit_ms
        self.waits.note(prompt.life_id, prompt.rank, permit_ms, as_of_ms)
        self._prompts.pop(prompt.number, None)
        if self.accepts_late and prompt.request is not None:
            prompt.request.is_accepted = False
        self.withdraw(prompt.request)

    def wait_ms(
        self, life_id: LifeId, request: QueuedRequest | None, rank: int, now_ms: int
    ) -> int | None:
        """Returns the expected wait of a request; None if the leader hasn't told.

        Args:
            life_id: The paced incarnation.
            request: The request if it waits there.
            rank: Its rank.
            now_ms: The current time.
        """
        if request is not None:
            if request.granted_life == life_id:
                return 0
            prompt = self._by_request.get(request)
            if prompt is not None and prompt.life_id == life_id:
                permit_ms = prompt.permit_ms
                return None if permit_ms is None else max(0, permit_ms - now_ms)
        return self.waits.wait_ms(life_id, rank, now_ms)

    def overdue(
        self, queues: PermitQueues, permit_counts: Mapping[LifeId, int], now_ms: int
    ) -> list[tuple[LifeId, QueuedRequest]]:
        """Returns what is to be sent since the leader is silent.

        These are the requests that have waited as long as they may, and those before
        them, which would use their permits. If the leader, or a member between, is of
        an earlier build, it counts as silent then.
        """
        answered_ms = self._answered_asked_ms
        is_silent = now_ms - answered_ms > KEEP_ALIVE_MS + ASK_AHEAD_MS
        is_silent |= not self.is_accepted

        def is_overdue(request: QueuedRequest) -> bool:
            latest_ms = request.paced_latest_ms
            return (
                latest_ms is not None
                and latest_ms - OVERDUE_AHEAD_MS <= now_ms
                and (is_silent or latest_ms - answered_ms > ANSWERED_MS)
            )

        overdue = []
        for life_id, requests in queues.items():
            last = max(
                (n for n, request in enumerate(requests) if is_overdue(request)),
                default=-1,
            )
            permit_count = permit_counts.get(life_id, 0)
            for request in requests[permit_count : last + 1]:
                overdue.append((life_id, request))
        if overdue:
            # Requests of other queues may use the permits.
            self._latest_ms = now_ms + OVERDUE_PERIOD_MS
        return overdue

    def withdraw(self, request: QueuedRequest | None) -> None:
        """Lets the next ask tell the leader that a request doesn't wait any more."""
        prompt = None if request is None else self._by_request.pop(request, None)
        if prompt is not None:
            prompt.request = None

    def note_answer(self, asked_ms: int) -> None:
        """Records that an ask of the earlier form was answered."""
        self._answered_asked_ms = asked_ms

    def note_waits(self, queues: PermitQueues, now_ms: int) -> None:
        """Notes when waiting requests have waited as long as they may."""
        latest_ms = []
        for requests in queues.values():
            for request in requests:
                if request.paced_latest_ms is None:
                    request.paced_latest_ms = now_ms + request.paced_wait_ms
                late_after_ms = int((LATE_AFTER_SHARE - 1) * request.paced_wait_ms)
                if self.accepts_late and (
                    now_ms - request.paced_latest_ms >= late_after_ms
                ):
                    # Others have overtaken it.
                    request.is_late = True
                    if (prompt := self._by_request.get(request)) is not None:
                        prompt.is_late = True
                if request.paced_latest_ms - OVERDUE_AHEAD_MS > now_ms:
                    latest_ms.append(request.paced_latest_ms - OVERDUE_AHEAD_MS)
        self._latest_ms = min(latest_ms, default=None)
        self._has_waiting = any(queues.values())

    def _compare(
        self, queues: PermitQueues, permit_counts: Mapping[LifeId, int]
    ) -> tuple[list[AskedPrompt], list[tuple[LifeId, QueuedRequest]]]:
        """Returns told prompts that don't wait any more, and requests to be told."""
        waiting = {
            request: life_id
            for life_id, requests in queues.items()
            for request in requests
        }
        gone: dict[LifeId, list[AskedPrompt]] = {}
        for prompt in self._prompts.values():
            if prompt.request is not None:
                if waiting.get(prompt.request) == prompt.life_id:
                    continue
                self.withdraw(prompt.request)
            gone.setdefault(prompt.life_id, []).append(prompt)
        added = []
        for life_id, requests in queues.items():
            unasked = [
                request for request in requests if request not in self._by_request
            ]
            # Permits are for those that got them, as far as others haven't used them.
            unasked.sort(key=lambda request: request.granted_life != life_id)
            room_count = WAITING_LIMIT_COUNT - len(requests) + len(unasked)
            permit_count = permit_counts.get(life_id, 0)
            for request in unasked[:permit_count]:
                if request.is_late:
                    # It may use one that none of the others needs.
                    request.granted_life = life_id
            for request in unasked[permit_count:][:room_count]:
                if not self._take_over(request, life_id, gone.get(life_id, [])):
                    added.append((life_id, request))
        return [prompt for items in gone.values() for prompt in items], added

    def _take_over(
        self, request: QueuedRequest, life_id: LifeId, gone: Sequence[AskedPrompt]
    ) -> bool:
        """Gives a request the position of one that has used its permit or has left."""
        had_permit = request.granted_life == life_id
        for prompt in gone:
            if prompt.is_late != request.is_late and not had_permit:
                continue
            if prompt.rank == request.rank or (
                had_permit and prompt.rank < request.rank
            ):
                gone.remove(prompt)
                prompt.request, request.granted_life = request, None
                self._by_request[request] = prompt
                return True
        request.granted_life = None
        return False
