"""Prompts that one entry has asked permits for, and the messages that list them."""

import dataclasses
from collections.abc import Sequence

from cassiapitch.limit_messages import PromptChange, packed_deadline, packed_prompt
from cassiapitch.load_report_queue import life_tag
from cassiapitch.permit_queues import QueuedRequest
from cassiapitch.types import LifeId


@dataclasses.dataclass(slots=True, eq=False)
class AskedPrompt:
    """A prompt of the last asks, which the leader has in its list.

    Attributes:
        number: Its number.
        life_id: The engine's incarnation.
        rank: Its rank.
        tokens: Its prompt tokens.
        request: The request; None once it doesn't wait there any more.
        permit_ms: When it is expected to be sent; None before the leader's answer.
        is_late: Whether it was asked for as one that may be late.
    """

    number: int
    life_id: LifeId
    rank: int
    tokens: int
    request: QueuedRequest | None
    permit_ms: int | None = None
    is_late: bool = False


def changes(
    listed: Sequence[AskedPrompt], now_ms: int, *, accepts_late: bool
) -> tuple[tuple[PromptChange, ...], list[AskedPrompt]]:
    """Returns the changes that list prompts, and these in the same order."""
    by_life: dict[LifeId, list[AskedPrompt]] = {}
    for prompt in listed:
        by_life.setdefault(prompt.life_id, []).append(prompt)
    listed_changes = []
    for life_id, items in by_life.items():
        items.sort(key=lambda prompt: prompt.rank)
        prompts, deadlines = [], []
        for prompt in items:
            request = prompt.request
            longest_wait_ms = _longest_wait_ms(
                request, now_ms, accepts_late=accepts_late
            )
            packed = packed_prompt(prompt.rank, prompt.tokens, longest_wait_ms)
            prompts += [prompt.number, packed]
            if accepts_late:
                left_ms = 0 if request is None else request.deadline_ms - now_ms
                is_late = request is not None and request.is_late
                deadlines.append(packed_deadline(left_ms, may_be_late=is_late))
        listed_changes.append(
            PromptChange(life_tag(life_id), tuple(prompts), tuple(deadlines))
        )
    return tuple(listed_changes), [
        prompt for items in by_life.values() for prompt in items
    ]


def _longest_wait_ms(
    request: QueuedRequest | None, now_ms: int, *, accepts_late: bool
) -> int:
    if request is None:
        return 0
    if request.paced_latest_ms is None:
        return request.deadline_ms - now_ms
    if request.is_accepted and not accepts_late:
        return request.deadline_ms - now_ms
    return request.paced_latest_ms - now_ms
