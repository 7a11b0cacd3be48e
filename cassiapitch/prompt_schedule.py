"""Orders the prompts of all entries to engines that are paced, and gives permits.

An entry sends what has changed among its waiting prompts. The leader keeps them, gives
permits when they become due, and forgets an entry that is silent. Entries of earlier
builds send all waiting prompts with each ask, and get their permits with the answer.
The schedule is kept in the leader's memory for one term. See `prompt_queue` for the
order.
"""

import collections
import dataclasses
from collections.abc import Callable, Sequence

from cassiapitch import ranks
from cassiapitch.limit_messages import (
    FORM_CHANGES,
    FORM_LIST_NEEDED,
    WAITING_LIMIT_COUNT,
    PermitAnswer,
    PermitAsk,
    Permits,
)
from cassiapitch.prompt_pacing import Pace
from cassiapitch.prompt_queue import EntryRun, Item, PromptQueue, items_of
from cassiapitch.types import LifeId

# An entry that hasn't asked for this long loses its positions.
QUEUED_TIMEOUT_MS = 700
UNUSED_QUEUE_TIMEOUT_MS = 10_000
# How often entries and queues that are silent are looked for.
SWEEP_PERIOD_MS = 100
# No prompt is longer; a larger number in a message would close the engine for good.
PROMPT_LIMIT_TOKENS = 1_000_000
# Permits of an entry that are repeated if it lists their prompts once more, since the
# message with them was lost or is on its way.
GIVEN_KEPT_COUNT = 64
# Wait for which prompts are refused at an engine whose limit the entry is about to see.
# It asks again until it sees it, and then for permits of the limit.
LIMITED_WAIT_MS = 100
# A late prompt waits if it is expected to be sent within this share of the time until
# its deadline: others may come before it, and it needs time to be processed.
LATE_WAIT_SHARE = 0.8

# Rank and prompt tokens.
Prompt = tuple[int, int]
FindPace = Callable[[LifeId], Pace | None]
# Gets incarnation, tokens of permits, a wait in milliseconds and the time.
RecordPermits = Callable[[LifeId, int, int, int], None]


@dataclasses.dataclass(slots=True)
class _Entry:
    """What the leader knows of one run of an entry.

    Attributes:
        asked_ms: When it last asked.
        sequence: Sequence of that ask if it sends changes, 0 if it sends whole lists.
        items: Its waiting prompts by number.
        given: Its last permits by number, to repeat them.
        listed: Its waiting prompts by incarnation if it sends whole lists.
        pending: Permits that it hasn't been sent.
        dropped: Numbers and waits of removed prompts that it hasn't been told of.
        pushed: Permits pushed since its last ask, which the next answer repeats.
        pushed_dropped: The same of `dropped`.
        is_list_needed: Whether it is to list its prompts, since some were removed.
    """

    asked_ms: int
    sequence: int = 0
    items: dict[int, Item] = dataclasses.field(default_factory=dict)
    given: collections.deque[Item] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=GIVEN_KEPT_COUNT)
    )
    listed: dict[LifeId, list[Item]] = dataclasses.field(default_factory=dict)
    pending: list[Item] = dataclasses.field(default_factory=list)
    dropped: list[int] = dataclasses.field(default_factory=list)
    pushed: list[Item] = dataclasses.field(default_factory=list)
    pushed_dropped: list[int] = dataclasses.field(default_factory=list)
    is_list_needed: bool = False


@dataclasses.dataclass(slots=True)
class _Waits:
    """The waits in the answer to an ask; fields as in `PermitAnswer`."""

    waits_ms: list[int] = dataclasses.field(default_factory=list)
    late_waits_ms: list[int] = dataclasses.field(default_factory=list)
    spacings_ms: list[int] = dataclasses.field(default_factory=list)


class PromptSchedule:
    """Queues of all paced engines."""

    def __init__(
        self,
        record_permits: RecordPermits = lambda *_: None,
        *,
        accepts_late: bool = False,
    ) -> None:
        """Creates an empty schedule.

        Args:
            record_permits: Is told of permits and waits.
            accepts_late: Whether late prompts wait behind the timely ones.
        """
        self._record_permits = record_permits
        self._accepts_late = accepts_late
        self._queues: dict[LifeId, PromptQueue] = {}
        self._entries: dict[EntryRun, _Entry] = {}
        self._pending: set[EntryRun] = set()
        self._swept_ms = 0

    def describe(self, now_ms: int) -> dict[LifeId, dict[str, int]]:
        """Returns the queues for the dump."""
        return {
            life_id: {
                "next_free_in_ms": queue.next_free_ms() - now_ms,
                "waiting_count": queue.count,
                "late_tokens": queue.late_tokens(),
            }
            for life_id, queue in self._queues.items()
        }

    def answer(
        self,
        life_id: LifeId,
        entry_run: EntryRun,
        prompts: Sequence[Prompt],
        pace: Pace,
        now_ms: int,
    ) -> Permits:
        """Replaces an entry's waiting requests and gives the permits that are due.

        Args:
            life_id: The engine's incarnation.
            entry_run: The entry.
            prompts: Its waiting requests, the most urgent first.
            pace: The engine's pace.
            now_ms: The current time.
        """
        self.sweep(now_ms)
        queue = self._queue(life_id, now_ms)
        entry = self._entries.get(entry_run)
        if entry is not None and entry.sequence:
            # Its asks reach the leader by a member of an earlier build now.
            self._forget(entry_run)
            entry = None
        if entry is None:
            entry = self._entries[entry_run] = _Entry(now_ms)
        entry.asked_ms = now_ms
        known = entry.listed.get(life_id, [])
        items = []
        for rank, tokens in map(bounded, prompts[:WAITING_LIMIT_COUNT]):
            item = next((item for item in known if item.rank == rank), None)
            if item is None:
                item = Item(entry_run, None, life_id, rank, now_ms, tokens)
                self._enqueue(queue, item, pace, now_ms)
            else:
                known.remove(item)
                if item.is_queued:
                    queue.resize(item, tokens)
            items.append(item)
        for item in known:
            queue.remove(item)
        self._grant(queue, pace, now_ms)
        self._pending.discard(entry_run)
        entry.pending = []
        delays_ms = [
            max(0, int(item.at_ms - now_ms)) for item in items if not item.is_queued
        ]
        waits_ms = [
            max(0, int(item.expected_ms - now_ms)) for item in items if item.is_queued
        ]
        entry.listed[life_id] = [item for item in items if item.is_queued]
        if not entry.listed[life_id]:
            del entry.listed[life_id]
        return Permits(
            life_id,
            tuple(delays_ms),
            tuple(waits_ms),
            int(queue.expected_ms(ranks.LEAST_URGENT_RANK, pace, now_ms) - now_ms),
            queue.spacing_ms(pace),
        )

    def change(
        self,
        ask: PermitAsk,
        lives: Sequence[LifeId],
        find_pace: FindPace,
        is_limited: Callable[[LifeId], bool],
        now_ms: int,
    ) -> PermitAnswer | None:
        """Applies the changes of an entry; returns the answer.

        Args:
            ask: The ask, in the form `FORM_CHANGES`.
            lives: The incarnation of each change; empty for one that isn't paced.
            find_pace: Returns the pace of an engine; None if it has none.
            is_limited: Returns whether requests to an engine are limited otherwise.
            now_ms: The current time.

        Returns:
            The answer; None if the entry has sent a later ask.
        """
        self.sweep(now_ms)
        entry_run = (ask.entry, ask.life_id)
        entry = self._entries.get(entry_run)
        if entry is None or not entry.sequence:
            if not ask.is_complete:
                return PermitAnswer(ask.sequence, (), FORM_LIST_NEEDED)
            if entry is not None:
                self._forget(entry_run)
            entry = self._entries[entry_run] = _Entry(now_ms)
        if ask.sequence <= entry.sequence:
            return None
        entry.sequence, entry.asked_ms = ask.sequence, now_ms
        if entry.is_list_needed and not ask.is_complete:
            return PermitAnswer(ask.sequence, (), FORM_LIST_NEEDED)
        entry.is_list_needed = False
        for number in ask.removed:
            self._remove(entry, number)
        if ask.is_complete:
            listed = {
                number for change in ask.changes for number in change.prompts[::2]
            }
            for number in [n for n in entry.items if n not in listed]:
                self._remove(entry, number)
        if not ask.is_complete:
            # A pushed message may have been lost; the entry ignores what it knows. If
            # this answer is lost as well, the entry sends its whole list.
            repeated = [item for item in entry.pushed if item.number not in ask.removed]
            entry.pending = repeated + entry.pending
            entry.dropped = entry.pushed_dropped + entry.dropped
        entry.pushed, entry.pushed_dropped = [], []
        waits = _Waits()
        for change, life_id in zip(ask.changes, lives, strict=True):
            pace = find_pace(life_id) if life_id else None
            numbers = change.prompts[::2]
            if pace is None or is_limited(life_id):
                for number in numbers:
                    # It may still wait since the engine was paced.
                    self._remove(entry, number)
            if life_id and is_limited(life_id):
                waits.waits_ms += [-1 - LIMITED_WAIT_MS] * len(numbers)
                waits.late_waits_ms += [-1] * len(numbers)
                waits.spacings_ms.append(0)
                continue
            if pace is None:
                for number in numbers:
                    self._give(Item(entry_run, number, life_id, 0, now_ms, 1, 0.0))
                waits.waits_ms += [0] * len(numbers)
                waits.spacings_ms.append(0)
                continue
            queue = self._queue(life_id, now_ms)
            for item in items_of(change, entry_run, life_id, now_ms):
                self._add(item, queue, pace, waits, is_known=ask.is_complete)
            self._grant(queue, pace, now_ms)
            waits.spacings_ms.append(queue.spacing_ms(pace))
        return PermitAnswer(
            ask.sequence,
            (),
            FORM_CHANGES,
            self._take_pending(entry_run, entry),
            tuple(waits.waits_ms),
            tuple(waits.spacings_ms),
            accepts_late=self._accepts_late,
            late_waits_ms=tuple(waits.late_waits_ms) if self._accepts_late else (),
            dropped=_take_dropped(entry),
        )

    def push(
        self,
        find_pace: FindPace,
        is_limited: Callable[[LifeId], bool],
        now_ms: int,
    ) -> list[tuple[EntryRun, PermitAnswer]]:
        """Gives the permits that are due; returns what the entries are to be sent."""
        is_swept = self.sweep(now_ms)
        for life_id, queue in self._queues.items():
            # Limits and paces change, also so that permits become due earlier.
            if not queue.count or not (is_swept or now_ms >= queue.due_ms):
                continue
            if is_limited(life_id):
                # The entries see the limit, too, and ask for permits of it.
                for item in queue.grant_all():
                    entry = self._entries[item.holder]
                    entry.is_list_needed = True
                    if item.number is not None:
                        del entry.items[item.number]
            elif (pace := find_pace(life_id)) is None:
                for item in queue.grant_all():
                    item.at_ms = now_ms
                    self._give(item)
            else:
                self._grant(queue, pace, now_ms)
                if is_swept:
                    self._drop_unservable(queue, pace, now_ms)
        pushed = []
        for entry_run in sorted(self._pending):
            entry = self._entries[entry_run]
            if not entry.sequence:
                # An earlier build gets them with its next ask.
                continue
            entry.pushed += entry.pending
            entry.pushed_dropped += entry.dropped
            answer = PermitAnswer(
                entry.sequence,
                (),
                FORM_CHANGES,
                self._take_pending(entry_run, entry),
                is_pushed=True,
                accepts_late=self._accepts_late,
                dropped=_take_dropped(entry),
            )
            pushed.append((entry_run, answer))
        return pushed

    def has_waiting(self) -> bool:
        """Returns whether a prompt waits for a permit."""
        return any(queue.count for queue in self._queues.values())

    def is_known(self, entry_run: EntryRun) -> bool:
        """Returns whether an entry has asked lately."""
        return entry_run in self._entries

    def sweep(self, now_ms: int) -> bool:
        """Forgets entries that have stopped asking, and queues that are unused.

        Returns:
            Whether it was due.
        """
        if now_ms - self._swept_ms < SWEEP_PERIOD_MS:
            return False
        self._swept_ms = now_ms
        for entry_run, entry in list(self._entries.items()):
            if now_ms - entry.asked_ms > QUEUED_TIMEOUT_MS:
                self._forget(entry_run)
        self._queues = {
            life_id: queue
            for life_id, queue in self._queues.items()
            if queue.count or now_ms - queue.used_ms <= UNUSED_QUEUE_TIMEOUT_MS
        }
        return True

    def _queue(self, life_id: LifeId, now_ms: int) -> PromptQueue:
        queue = self._queues.get(life_id)
        if queue is None:
            queue = self._queues[life_id] = PromptQueue(now_ms)
        queue.note_use(now_ms)
        return queue

    def _add(
        self,
        item: Item,
        queue: PromptQueue,
        pace: Pace,
        waits: _Waits,
        *,
        is_known: bool,
    ) -> None:
        """Adds a prompt of an ask unless it has to wait for too long.

        Args:
            item: The prompt, which may be known already.
            queue: The engine's queue.
            pace: The engine's pace.
            waits: Gets its waits.
            is_known: Whether an earlier leader may have let it wait.
        """
        entry, now_ms = self._entries[item.holder], item.since_ms
        known = entry.items.get(item.number or 0)
        if known is not None:
            waits.waits_ms.append(max(0, int(known.expected_ms) - now_ms))
            return
        given = next((i for i in entry.given if i.number == item.number), None)
        if given is not None:
            self._give(given)
            waits.waits_ms.append(max(0, int(given.at_ms) - now_ms))
            return
        if not self._accepts_late:
            item.late_from_ms = None
        item.expected_ms = queue.expected_ms(item.rank, pace, now_ms)
        wait_ms = max(0, int(item.expected_ms) - now_ms)
        is_full = len(entry.items) >= WAITING_LIMIT_COUNT and (
            sum(other.life_id == item.life_id for other in entry.items.values())
            >= WAITING_LIMIT_COUNT
        )
        if wait_ms > item.longest_wait_ms or is_full:
            late_wait_ms = self._late_wait_ms(item, queue, pace, is_known=is_known)
            if is_full or late_wait_ms is None or not item.may_be_late:
                self._record_permits(item.life_id, 0, wait_ms, now_ms)
                waits.waits_ms.append(-1 - wait_ms)
                waits.late_waits_ms.append(-1 if late_wait_ms is None else late_wait_ms)
                return
            item.is_late, wait_ms = True, late_wait_ms
            item.expected_ms = now_ms + late_wait_ms
        if item.number is not None:
            entry.items[item.number] = item
        queue.add(item)
        self._record_permits(item.life_id, 0, wait_ms, now_ms)
        waits.waits_ms.append(wait_ms)

    def _late_wait_ms(
        self, item: Item, queue: PromptQueue, pace: Pace, *, is_known: bool
    ) -> int | None:
        """Returns the wait of a prompt as a late one, None if it is too long."""
        if not self._accepts_late or item.deadline_ms is None:
            return None
        now_ms = item.since_ms
        left_ms = item.deadline_ms - now_ms
        if is_known and item.may_be_late and not queue.is_measured(now_ms):
            # An earlier leader has let it wait.
            return int(LATE_WAIT_SHARE * left_ms)
        wait_ms = queue.expected_late_ms(item.rank, pace, now_ms) - now_ms
        return None if wait_ms > LATE_WAIT_SHARE * left_ms else int(wait_ms)

    def _drop_unservable(self, queue: PromptQueue, pace: Pace, now_ms: int) -> None:
        """Removes late prompts that won't be sent before their deadline."""
        for item in queue.unservable(pace, now_ms):
            queue.remove(item)
            entry = self._entries[item.holder]
            if item.number is not None:
                del entry.items[item.number]
                wait_ms = int(queue.expected_ms(item.rank, pace, now_ms)) - now_ms
                entry.dropped += (item.number, max(0, wait_ms))
                self._pending.add(item.holder)

    def _enqueue(self, queue: PromptQueue, item: Item, pace: Pace, now_ms: int) -> None:
        item.expected_ms = queue.expected_ms(item.rank, pace, now_ms)
        queue.add(item)
        self._record_permits(item.life_id, 0, int(item.expected_ms) - now_ms, now_ms)

    def _grant(self, queue: PromptQueue, pace: Pace, now_ms: int) -> None:
        granted = []
        for item in queue.grant(pace, now_ms):
            entry = self._entries[item.holder]
            if now_ms - entry.asked_ms > QUEUED_TIMEOUT_MS:
                self._forget(item.holder)
                continue
            granted.append(item)
        for item in granted:
            self._give(item)
            waited_ms = int(item.at_ms) - item.since_ms
            self._record_permits(item.life_id, item.tokens, waited_ms, now_ms)

    def _give(self, item: Item) -> None:
        """Notes a permit to be sent."""
        entry = self._entries[item.holder]
        entry.pending.append(item)
        self._pending.add(item.holder)
        if item.number is not None:
            entry.items.pop(item.number, None)
            if item not in entry.given:
                entry.given.append(item)

    def _take_pending(self, entry_run: EntryRun, entry: _Entry) -> tuple[int, ...]:
        pending, entry.pending = entry.pending, []
        self._pending.discard(entry_run)
        return tuple(
            value
            for item in pending
            if item.number is not None
            for value in (item.number, max(0, int(item.at_ms) - entry.asked_ms))
        )

    def _remove(self, entry: _Entry, number: int) -> None:
        item = entry.items.pop(number, None)
        if item is not None:
            self._queues[item.life_id].remove(item)

    def _forget(self, entry_run: EntryRun) -> None:
        """Removes all prompts of an entry."""
        entry = self._entries.pop(entry_run)
        self._pending.discard(entry_run)
        listed = [item for items in entry.listed.values() for item in items]
        for item in [*entry.items.values(), *listed]:
            if item.is_queued:
                self._queues[item.life_id].remove(item)


def _take_dropped(entry: _Entry) -> tuple[int, ...]:
    dropped, entry.dropped = entry.dropped, []
    return tuple(dropped)


def free_permits(life_id: LifeId, prompts: Sequence[Prompt]) -> Permits:
    """Returns permits for all prompts, for an engine that isn't paced any more."""
    return Permits(life_id, (0,) * len(prompts), (), 0, 0)


def bounded(prompt: Prompt) -> Prompt:
    """Returns a prompt with rank and tokens within their bounds."""
    rank, tokens = prompt
    return (
        min(ranks.LEAST_URGENT_RANK, max(0, rank)),
        min(PROMPT_LIMIT_TOKENS, max(1, tokens)),
    )
