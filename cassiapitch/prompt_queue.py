"""The prompts that wait for one paced engine, and the times at which they may be sent.

The most urgent rank goes first, in the order of arrival within a rank; a rank counts
as `RANK_WAIT_MS` of waiting, so that none waits for good. Engines put aside the prompts
of less urgent ranks, so a long prompt delays more urgent ranks by a short time only.
Late prompts wait behind all others, the most urgent rank first, and use what these
leave over of the pace.
Adding, removing and giving a permit take the same time however many prompts wait.
"""

import collections
import dataclasses
import itertools
import math
from collections.abc import Iterator, Sequence

from cassiapitch import ranks
from cassiapitch.limit_messages import (
    HORIZON_MS,
    LATE_AFTER_SHARE,
    PromptChange,
    unpacked_deadline,
    unpacked_prompt,
)
from cassiapitch.prompt_pacing import Pace
from cassiapitch.types import LifeId

# A request counts as more urgent by one rank after each such wait.
RANK_WAIT_MS = 2_000
# A prompt delays those of more urgent ranks by this much at most, which is what one of
# 2,000 tokens takes. Without any delay, prompts of all ranks come in bursts, and
# streams pause: 0.38 of the most urgent ones were on time at 1.6 times the room.
URGENT_DELAY_MS = 100.0
# Over which time it is measured what timely prompts leave over of the pace.
LEFTOVER_WINDOW_MS = 2_000
# After such a time without a prompt the engine may not have been paced, so that the
# measurement begins anew.
UNMEASURED_MS = 1_000
# Late prompts are dropped when they would miss their deadline even if this share of the
# pace more was left over. The measured part changes from second to second: without a
# margin, 0.4 of those that wait at 0.9 of the speed were dropped, 0.14 with it.
DROP_MARGIN_SHARE = 0.5

# Wait of a request more if nothing is known of its size.
TYPICAL_TOKENS = 2_000

EntryRun = tuple[str, str]


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """A waiting prompt.

    Attributes:
        holder: Its entry.
        number: The entry's number of it; None if the entry sends whole lists.
        life_id: The engine's incarnation.
        rank: Its priority rank, 0 first.
        since_ms: Time of its first ask.
        tokens: Its prompt tokens.
        expected_ms: When it was expected to be sent, as of `since_ms`.
        late_from_ms: When it becomes late; None if it never does.
        longest_wait_ms: Wait up to which it is timely.
        may_be_late: Whether it waits as a late one if it isn't.
        deadline_ms: Its deadline; None if the entry hasn't stated it.
        is_late: Whether it waits behind the timely ones.
        is_queued: Whether it still waits for a permit.
        at_ms: Time from which its permit may be used, once it has one.
    """

    holder: EntryRun
    number: int | None
    life_id: LifeId
    rank: int
    since_ms: int
    tokens: int
    expected_ms: float = 0.0
    longest_wait_ms: int = 0
    may_be_late: bool = False
    late_from_ms: int | None = None
    deadline_ms: int | None = None
    is_late: bool = False
    is_queued: bool = True
    at_ms: float = 0.0


class _FreeTimes:
    """When the next prompt of each rank may be sent to one engine.

    The times never decrease from a rank to a less urgent one. The last one is that of
    late prompts.
    """

    def __init__(self, times_ms: Sequence[float]) -> None:
        self.times_ms = list(times_ms)

    def take(self, rank: int, takes_ms: float, at_ms: float) -> None:
        """Takes the time that a prompt needs which is sent at `at_ms`."""
        for other, time_ms in enumerate(self.times_ms):
            delay_ms = takes_ms if other >= rank else min(takes_ms, URGENT_DELAY_MS)
            self.times_ms[other] = max(time_ms, at_ms) + delay_ms

    def take_late(self, takes_ms: float, first_ms: float) -> float:
        """Takes the time that a late prompt needs; returns when it may be sent.

        However many late prompts have permits, a timely one that arrives now waits for
        `URGENT_DELAY_MS` at most because of them.
        """
        at_ms = max(self.times_ms[-1], first_ms)
        self.times_ms[-1] = at_ms + takes_ms
        delayed_ms = min(at_ms + takes_ms, first_ms + URGENT_DELAY_MS)
        for rank, time_ms in enumerate(self.times_ms[:-1]):
            self.times_ms[rank] = max(time_ms, delayed_ms)
        return at_ms


class _Leftover:
    """What timely prompts leave over of the pace of one engine."""

    def __init__(self, now_ms: int) -> None:
        self.begin(now_ms)

    def begin(self, now_ms: int) -> None:
        """Begins to measure; until `LEFTOVER_WINDOW_MS` later too little is found."""
        self.begun_ms = now_ms
        # Time, tokens and rank of permits; no rank for those of timely prompts.
        self._given: collections.deque[tuple[int, int, int | None]] = (
            collections.deque()
        )

    def record(self, item: Item, now_ms: int) -> None:
        """Records a permit."""
        self._drop_old(now_ms)
        self._given.append((now_ms, item.tokens, item.rank if item.is_late else None))

    def tokens_per_ms(self, rank: int, pace: Pace, now_ms: int) -> float:
        """Returns what is left over for late prompts of a rank."""
        self._drop_old(now_ms)
        taken_tokens = sum(
            tokens for _, tokens, other in self._given if other is None or other < rank
        )
        measured_ms = min(LEFTOVER_WINDOW_MS, now_ms - self.begun_ms)
        left_tokens = pace.tokens_per_ms * measured_ms - taken_tokens
        return max(0.0, left_tokens) / LEFTOVER_WINDOW_MS

    def _drop_old(self, now_ms: int) -> None:
        while self._given and self._given[0][0] < now_ms - LEFTOVER_WINDOW_MS:
            self._given.popleft()


class PromptQueue:
    """Waiting prompts of all entries for one engine.

    Attributes:
        used_ms: When an entry last named it.
        due_ms: When the next permit is to be given, as of the last `grant`.
        count: Number of waiting prompts.
    """

    def __init__(self, now_ms: int) -> None:
        ranks_count = ranks.LEAST_URGENT_RANK + 1
        self.used_ms = self.due_ms = now_ms
        self.count = 0
        self._free_times = _FreeTimes([now_ms] * (ranks_count + 1))
        self._by_rank: list[collections.deque[Item]] = [
            collections.deque() for _ in range(ranks_count)
        ]
        self._tokens = [0] * ranks_count
        self._late_by_rank: list[collections.deque[Item]] = [
            collections.deque() for _ in range(ranks_count)
        ]
        self._late_tokens = [0] * ranks_count
        self._leftover = _Leftover(now_ms)

    def next_free_ms(self) -> int:
        """Returns when a prompt of the least urgent rank may be sent if none waits."""
        return int(self._free_times.times_ms[ranks.LEAST_URGENT_RANK])

    def late_tokens(self) -> int:
        """Returns the tokens of the late prompts that wait."""
        return sum(self._late_tokens)

    def note_use(self, now_ms: int) -> None:
        """Notes that an entry has named the engine."""
        if not self.count and now_ms - self.used_ms > UNMEASURED_MS:
            self._leftover.begin(now_ms)
        self.used_ms = now_ms

    def is_measured(self, now_ms: int) -> bool:
        """Returns whether it is known what is left over for late prompts."""
        return now_ms - self._leftover.begun_ms >= LEFTOVER_WINDOW_MS

    def expected_ms(self, rank: int, pace: Pace, now_ms: int) -> float:
        """Returns when one more prompt of a rank is expected to be sent."""
        first_ms = max(self._free_times.times_ms[rank], pace.first_ms, now_ms)
        return first_ms + sum(self._tokens[: rank + 1]) / pace.tokens_per_ms

    def expected_late_ms(self, rank: int, pace: Pace, now_ms: int) -> float:
        """Returns when one more late prompt of a rank is expected to be sent."""
        tokens_per_ms = self._leftover.tokens_per_ms(rank, pace, now_ms)
        tokens = sum(self._tokens) + sum(self._late_tokens[: rank + 1])
        first_ms = max(self._free_times.times_ms[-1], pace.first_ms, now_ms)
        return first_ms + tokens / tokens_per_ms if tokens_per_ms else math.inf

    def spacing_ms(self, pace: Pace) -> int:
        """Returns the time that a waiting prompt takes on average."""
        tokens = sum(self._tokens) + sum(self._late_tokens)
        mean_tokens = tokens / self.count if self.count else TYPICAL_TOKENS
        return int(mean_tokens / pace.tokens_per_ms)

    def add(self, item: Item) -> None:
        """Adds a prompt behind those of its rank."""
        by_rank = self._late_by_rank if item.is_late else self._by_rank
        by_rank[item.rank].append(item)
        self._tokens_of(item)[item.rank] += item.tokens
        self.count += 1

    def resize(self, item: Item, tokens: int) -> None:
        """Changes the tokens of a waiting prompt."""
        self._tokens[item.rank] += tokens - item.tokens
        item.tokens = tokens

    def remove(self, item: Item) -> None:
        """Removes a prompt; does nothing if it has a permit."""
        if item.is_queued:
            item.is_queued = False
            self._tokens_of(item)[item.rank] -= item.tokens
            self.count -= 1

    def _tokens_of(self, item: Item) -> list[int]:
        return self._late_tokens if item.is_late else self._tokens

    def grant(self, pace: Pace, now_ms: int) -> Iterator[Item]:
        """Gives permits to the prompts that are due within `HORIZON_MS`.

        A prompt that the caller removes on receipt takes no time of the engine.
        """
        self._move_late(now_ms)
        first_ms = max(pace.first_ms, now_ms)
        while (item := self._next_due(first_ms, now_ms)) is not None:
            # Lets the caller remove the prompt of an entry that is gone.
            yield item
            if not item.is_queued:
                continue
            takes_ms = item.tokens / pace.tokens_per_ms
            if item.is_late:
                item.at_ms = self._free_times.take_late(takes_ms, first_ms)
            else:
                rank = _effective_rank(item, now_ms)
                item.at_ms = max(self._free_times.times_ms[rank], first_ms)
                self._free_times.take(item.rank, takes_ms, item.at_ms)
            self._leftover.record(item, now_ms)
            self.remove(item)

    def grant_all(self) -> Iterator[Item]:
        """Gives permits to all prompts, for an engine that isn't paced any more."""
        for items in (*self._by_rank, *self._late_by_rank):
            for item in items:
                if item.is_queued:
                    yield item
                    self.remove(item)
            items.clear()

    def unservable(self, pace: Pace, now_ms: int) -> list[Item]:
        """Returns the late prompts that won't be sent before their deadline.

        Also frees the places of those that were removed. The time that it takes grows
        with the number of late prompts.
        """
        first_ms = max(self._free_times.times_ms[-1], pace.first_ms, now_ms)
        ahead_tokens = sum(self._tokens)
        unservable = []
        for rank, items in enumerate(self._late_by_rank):
            waiting = [item for item in items if item.is_queued]
            items.clear()
            items.extend(waiting)
            tokens_per_ms = self._leftover.tokens_per_ms(rank, pace, now_ms)
            tokens_per_ms += DROP_MARGIN_SHARE * pace.tokens_per_ms
            for item in waiting:
                left_ms = (item.deadline_ms or 0) - first_ms
                if ahead_tokens > left_ms * tokens_per_ms:
                    unservable.append(item)
                else:
                    ahead_tokens += item.tokens
        return unservable

    def _move_late(self, now_ms: int) -> None:
        """Moves what others have overtaken for too long behind the timely prompts."""
        for items in self._by_rank:
            while items and (not items[0].is_queued or _is_overtaken(items[0], now_ms)):
                item = items.popleft()
                if item.is_queued:
                    self.remove(item)
                    item.is_late = item.is_queued = True
                    self.add(item)

    def _next_due(self, first_ms: float, now_ms: int) -> Item | None:
        """Returns the prompt that goes next, or sets `due_ms` if none does yet."""
        best: Item | None = None
        due_ms: list[int] = []
        for items in self._by_rank:
            while items and not items[0].is_queued:
                items.popleft()
            if not items:
                continue
            rank = _effective_rank(items[0], now_ms)
            at_ms = max(self._free_times.times_ms[rank], first_ms)
            if int(at_ms - now_ms) > HORIZON_MS:
                due_ms.append(int(at_ms) - HORIZON_MS)
            elif best is None or _order(items[0]) < _order(best):
                best = items[0]
        if best is None and due_ms:
            self.due_ms = min(due_ms)
            return None
        return best or self._next_late(first_ms, now_ms)

    def _next_late(self, first_ms: float, now_ms: int) -> Item | None:
        """Returns the late prompt that goes next, or sets `due_ms`."""
        at_ms = max(self._free_times.times_ms[-1], first_ms)
        for items in self._late_by_rank:
            while items and not items[0].is_queued:
                items.popleft()
            if not items:
                continue
            if int(at_ms - now_ms) <= HORIZON_MS:
                return items[0]
            self.due_ms = int(at_ms) - HORIZON_MS
            break
        return None


def _is_overtaken(item: Item, now_ms: int) -> bool:
    return item.late_from_ms is not None and now_ms >= item.late_from_ms


def _effective_rank(item: Item, now_ms: int) -> int:
    """Returns the rank as which a prompt counts after its wait."""
    return max(0, item.rank - (now_ms - item.since_ms) // RANK_WAIT_MS)


def _order(item: Item) -> int:
    return item.since_ms + RANK_WAIT_MS * item.rank


def items_of(
    change: PromptChange, entry_run: EntryRun, life_id: LifeId, now_ms: int
) -> Iterator[Item]:
    """Yields the prompts of a change."""
    for number, packed, packed_left in itertools.zip_longest(
        change.prompts[::2], change.prompts[1::2], change.deadlines
    ):
        if number is None or packed is None:
            return
        rank, tokens, longest_wait_ms = unpacked_prompt(packed)
        item = Item(
            entry_run,
            number,
            life_id,
            rank,
            now_ms,
            tokens,
            longest_wait_ms=longest_wait_ms,
        )
        if packed_left is not None:
            left_ms, item.may_be_late = unpacked_deadline(packed_left)
            item.deadline_ms = now_ms + left_ms
            item.late_from_ms = now_ms + int(LATE_AFTER_SHARE * longest_wait_ms)
        yield item
