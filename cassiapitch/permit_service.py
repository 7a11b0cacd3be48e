"""Answers entries' asks for permits while this member leads and holds the lease."""

from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from cassiapitch import group, permit_schedule, prompt_schedule
from cassiapitch.group import ControlGroup
from cassiapitch.limit_messages import (
    FORM_CHANGES,
    FORM_FULL,
    FORM_LISTS_KNOWN,
    PermitAnswer,
    PermitAsk,
    PermitRequest,
    Permits,
    RelayedPermits,
)
from cassiapitch.load_report_queue import life_tag
from cassiapitch.permit_schedule import PermitSchedule
from cassiapitch.prompt_pacing import Pace, PromptPacing
from cassiapitch.prompt_queue import EntryRun
from cassiapitch.prompt_schedule import PromptSchedule
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendLimit

FindLimit = Callable[[str, str], BackendLimit | None]
Reply = Callable[[Any], None]

# How often permits that are due are sent while prompts wait. They are given 200 ms
# ahead, so that 50 ms and the way to the entry delay no prompt, and those of an entry
# share a message.
PUSH_PERIOD_MS = 50


class PermitService:
    """The permit schedule of the current term."""

    def __init__(
        self,
        member: ControlGroup,
        find_limit: FindLimit,
        now_ms: Callable[[], int],
        find_pacing: Callable[[], PromptPacing | None] = lambda: None,
        *,
        is_ranked: bool = False,
        accepts_late: bool = False,
    ) -> None:
        """Creates the service.

        Args:
            member: This control member.
            find_limit: Returns the limit of a backend server's incarnation, by name
                and life id.
            now_ms: Returns the current time.
            find_pacing: Returns the paces of busy engines, if prompts are paced.
            is_ranked: Whether permits of limits are given by rank, not by arrival only.
            accepts_late: Whether prompts that would be late wait behind the others.
        """
        self._is_ranked = is_ranked
        self._accepts_late = accepts_late
        self._member = member
        self._find_pacing = find_pacing
        self._prompts = self._new_schedule()
        self._replies: dict[EntryRun, Reply] = {}
        self._lives_by_tag: dict[int, LifeId] = {}
        self._has_waiting = anyio.Event()
        self._find_limit = find_limit
        self._now_ms = now_ms
        self._schedule: PermitSchedule | None = None

    def ask(self, ask: PermitAsk, reply: Reply) -> None:
        """Answers an ask; drops it unless this member leads and holds the lease."""
        now_ms = self._now_ms()
        if not group.is_leader(self._member) or not self._member.has_lease(now_ms):
            return
        term = self._member.status().term
        if self._schedule is None or self._schedule.term != term:
            self._schedule = permit_schedule.start(
                term, now_ms, is_ranked=self._is_ranked
            )
            self._prompts = self._new_schedule()
        if ask.form == FORM_CHANGES:
            answer = self._change(ask, reply, now_ms)
        else:
            answer = self._answer(ask, self._schedule, now_ms)
        if answer is not None:
            reply(RelayedPermits(ask.entry, ask.life_id, answer))
        if self._prompts.has_waiting():
            self._has_waiting.set()

    async def run(self) -> None:
        """Sends entries the permits for prompts that become due."""
        while True:
            await self._has_waiting.wait()
            await anyio.sleep(PUSH_PERIOD_MS / 1000)
            self.push()
            if not self._prompts.has_waiting():
                self._has_waiting = anyio.Event()

    def push(self) -> None:
        """Sends the permits that are due now."""
        now_ms = self._now_ms()
        term = None if self._schedule is None else self._schedule.term
        if (
            not group.is_leader(self._member)
            or not self._member.has_lease(now_ms)
            or self._member.status().term != term
        ):
            self._prompts = self._new_schedule()
            return
        pushed = self._prompts.push(self._pace, self._is_limited, now_ms)
        for entry_run, answer in pushed:
            self._replies[entry_run](RelayedPermits(*entry_run, answer))
        self._replies = {
            entry_run: reply
            for entry_run, reply in self._replies.items()
            if self._prompts.is_known(entry_run)
        }

    def _new_schedule(self) -> PromptSchedule:
        return PromptSchedule(self._record_permits, accepts_late=self._accepts_late)

    def _change(self, ask: PermitAsk, reply: Reply, now_ms: int) -> PermitAnswer | None:
        """Applies what has changed among the prompts that wait at an entry."""
        self._replies[ask.entry, ask.life_id] = reply
        lives = [self._life(change.tag) for change in ask.changes]
        return self._prompts.change(ask, lives, self._pace, self._is_limited, now_ms)

    def _answer(
        self, ask: PermitAsk, schedule: PermitSchedule, now_ms: int
    ) -> PermitAnswer:
        """Answers an ask that lists all requests."""
        limits = {
            request.life_id: self._find_limit(request.name, request.life_id)
            for request in ask.requests
        }
        paced = [
            request
            for request in ask.requests
            if request.is_paced and limits[request.life_id] is None
        ]
        others = tuple(request for request in ask.requests if request not in paced)
        limited_ask = msgspec.structs.replace(ask, requests=others)
        answer = permit_schedule.answer(schedule, limited_ask, limits, now_ms)
        permits = [self._give_prompts(ask, request, now_ms) for request in paced]
        form = FORM_LISTS_KNOWN if ask.form == FORM_LISTS_KNOWN else FORM_FULL
        return PermitAnswer(answer.sequence, (*answer.permits, *permits), form)

    def _give_prompts(
        self, ask: PermitAsk, request: PermitRequest, now_ms: int
    ) -> Permits:
        """Gives permits for prompts to an engine that is, or was, paced."""
        pace = self._pace(request.life_id)
        if pace is None:
            return prompt_schedule.free_permits(request.life_id, request.prompts)
        entry_run = (ask.entry, ask.life_id)
        return self._prompts.answer(
            request.life_id, entry_run, request.prompts, pace, now_ms
        )

    def _pace(self, life_id: LifeId) -> Pace | None:
        pacing = self._find_pacing()
        return None if pacing is None else pacing.pace(life_id)

    def _is_limited(self, life_id: LifeId) -> bool:
        pacing = self._find_pacing()
        name = "" if pacing is None else pacing.name(life_id)
        return bool(name) and self._find_limit(name, life_id) is not None

    def _record_permits(
        self, life_id: LifeId, tokens: int, wait_ms: int, now_ms: int
    ) -> None:
        pacing = self._find_pacing()
        if pacing is not None and life_id:
            pacing.record_permits(life_id, tokens, wait_ms, now_ms)

    def _life(self, tag: int) -> LifeId:
        """Returns the paced incarnation of a tag; empty if there is none."""
        life_id = self._lives_by_tag.get(tag)
        if life_id is None:
            pacing = self._find_pacing()
            lives = [] if pacing is None else pacing.paced_lives()
            self._lives_by_tag = {life_tag(life_id): life_id for life_id in lives}
            life_id = self._lives_by_tag.get(tag)
        return LifeId("") if life_id is None else life_id

    def describe(self) -> dict[str, Any]:
        """Returns the queues at limited backend servers for the dump."""
        if self._schedule is None:
            return {}
        return {
            life_id: {
                "next_free_in_ms": int(queue.next_free_ms) - self._now_ms(),
                "waiting_count": len(queue.queued),
            }
            for life_id, queue in self._schedule.queues.items()
        } | self._prompts.describe(self._now_ms())
