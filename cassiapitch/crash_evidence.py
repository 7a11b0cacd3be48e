"""Replicated evidence about which parts of prompts crash backend servers.

A part may crash every backend server that begins to answer a request with it. All
requests on an incarnation that hadn't begun when it crashed may have caused the crash;
an incarnation is one run of a backend server's process. A part is refused once it may
have caused several crashes and no request with it was answered in between.
"""

import dataclasses
import hashlib
from collections.abc import Iterable, Sequence

from cassiapitch.commands import ClearParts, PartCrashResult, ReportPartCrash
from cassiapitch.types import LifeId, PartDigest
from cassiapitch.view import Changes
from cassiapitch.viewitems import PartItem

# Crashes that convict a part that was the deepest suspect of its requests.
CONVICTING_CRASHES_COUNT = 3
# Crashes that convict another part: those below it may have caused them.
CONVICTING_OUTER_CRASHES_COUNT = 5
# Crashes of a part that was answered before only count if they are this far apart:
# backend servers that fail together end many requests with the same sound part.
EPISODE_MS = 1_000
REFUSED_MS = 600_000
# How long a crash and an answer count as evidence.
EVIDENCE_MS = 600_000
# Parts with fewer crashes aren't shown to entries.
SHOWN_CRASHES_COUNT = 2

CRASHES_LIMIT_COUNT = 128
REQUESTS_LIMIT_COUNT = 64
PARTS_LIMIT_COUNT = 32
TRUSTED_LIMIT_COUNT = 4_096
REFUSED_LIMIT_COUNT = 1_024
DIGEST_LENGTH = 16

RequestParts = tuple[PartDigest, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash, and the parts of the requests that may have caused it.

    Attributes:
        life_id: The incarnation that crashed.
        time_ms: Log time of the first report.
        index: Log index of the last report.
        requests: For each request, its parts in order. Parts that were answered
            since are left out.
        is_explained: Whether one of the requests holds a refused part.
    """

    life_id: LifeId
    time_ms: int
    index: int
    requests: tuple[RequestParts, ...]
    is_explained: bool = False


@dataclasses.dataclass(slots=True)
class CrashEvidence:
    """All evidence; tables are in the order in which their records expire.

    Attributes:
        crashes: Crashes by incarnation.
        trusted: Parts that were answered, with the log time at which that expires.
        refused: Refused parts, with the log time until which they are refused.
        items: What entries see of each part.
    """

    crashes: dict[LifeId, Crash] = dataclasses.field(default_factory=dict)
    trusted: dict[PartDigest, int] = dataclasses.field(default_factory=dict)
    refused: dict[PartDigest, int] = dataclasses.field(default_factory=dict)
    items: dict[PartDigest, PartItem] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class _Case:
    """What the unexplained crashes say about one part."""

    times_ms: list[int] = dataclasses.field(default_factory=list)
    depth: int = 0
    last_index: int = 0
    is_deepest: bool = True


def part_digest(part_id: str) -> PartDigest:
    """Returns the digest by which a part is known; ids have any length."""
    digest = hashlib.sha256(part_id.encode()).hexdigest()
    return PartDigest(digest[:DIGEST_LENGTH])


def load(
    crashes: Iterable[Crash],
    trusted: dict[PartDigest, int],
    refused: dict[PartDigest, int],
) -> CrashEvidence:
    """Returns the state from a snapshot."""
    state = CrashEvidence(
        {item.life_id: item for item in crashes}, dict(trusted), dict(refused)
    )
    _update_items(state)
    return state


def view_items(state: CrashEvidence) -> dict[str, PartItem]:
    """Returns the view items of all parts that entries need to know."""
    return {f"part/{digest}": item for digest, item in state.items.items()}


def record_crash(
    state: CrashEvidence, command: ReportPartCrash, index: int, time_ms: int
) -> tuple[PartCrashResult, Changes]:
    """Adds an entry's requests to a crash, and refuses the parts that it convicts."""
    for part in command.trusted:
        _trust(state, part, time_ms)
    known = state.crashes.get(command.life_id)
    if known is None:
        known = Crash(command.life_id, time_ms, index, ())
    if not known.is_explained:
        requests = dict.fromkeys((*known.requests, *_bounded(command.requests)))
        known = dataclasses.replace(
            known, index=index, requests=tuple(requests)[:REQUESTS_LIMIT_COUNT]
        )
        state.crashes[command.life_id] = known
        while len(state.crashes) > CRASHES_LIMIT_COUNT:
            del state.crashes[next(iter(state.crashes))]
    _convict(state, time_ms)
    parts = {part for request in command.requests for part in request}
    refused = tuple(sorted(part for part in parts if part in state.refused))
    return PartCrashResult(refused), _update_items(state)


def clear(
    state: CrashEvidence, command: ClearParts, time_ms: int
) -> tuple[PartCrashResult, Changes]:
    """Drops the evidence against parts that were answered.

    The first answer clears a part at any time. A later one counts only if its request
    was sent after the part's last crash was known: a part may have become harmful in
    the meantime.
    """
    cases = _cases(state)
    for part in command.parts:
        was_trusted = part in state.trusted
        _trust(state, part, time_ms)
        case = cases.get(part)
        last_index = 0 if case is None else case.last_index
        if was_trusted and command.known_index < last_index:
            continue
        if was_trusted and part in state.refused:
            continue
        state.refused.pop(part, None)
        for life_id, crash in state.crashes.items():
            state.crashes[life_id] = _without_part(crash, part)
    return PartCrashResult(()), _update_items(state)


def expire(state: CrashEvidence, time_ms: int) -> Changes:
    """Removes expired evidence and ends refusals that are over."""
    has_expired = False
    for table in (state.trusted, state.refused):
        while table and next(iter(table.values())) <= time_ms:
            del table[next(iter(table))]
            has_expired = True
    while state.crashes:
        oldest = next(iter(state.crashes.values()))
        if oldest.time_ms + EVIDENCE_MS > time_ms:
            break
        del state.crashes[oldest.life_id]
        has_expired = True
    return _update_items(state) if has_expired else {}


def _bounded(requests: Sequence[RequestParts]) -> Iterable[RequestParts]:
    for request in requests[:REQUESTS_LIMIT_COUNT]:
        # The last parts are shared by the fewest requests.
        yield request[-PARTS_LIMIT_COUNT:]


def _trust(state: CrashEvidence, part: PartDigest, time_ms: int) -> None:
    state.trusted.pop(part, None)
    state.trusted[part] = time_ms + EVIDENCE_MS
    if len(state.trusted) > TRUSTED_LIMIT_COUNT:
        del state.trusted[next(iter(state.trusted))]


def _without_part(crash: Crash, part: PartDigest) -> Crash:
    requests = dict.fromkeys(
        tuple(item for item in request if item != part) for request in crash.requests
    )
    requests.pop((), None)
    return dataclasses.replace(crash, requests=tuple(requests))


def _convict(state: CrashEvidence, time_ms: int) -> None:
    """Refuses parts until no part has too many unexplained crashes.

    Parts that were never answered come first, then the deepest: it is the most
    specific explanation. Refusing it explains its crashes, so that a sound part of the
    same requests isn't refused too; a harmful one soon has crashes of its own.
    """
    while True:
        for life_id, crash in state.crashes.items():
            if not crash.is_explained and any(
                part in state.refused for request in crash.requests for part in request
            ):
                state.crashes[life_id] = dataclasses.replace(
                    crash, requests=(), is_explained=True
                )
        convicted = [
            (part not in state.trusted, case.depth, len(case.times_ms), part)
            for part, case in _cases(state).items()
            if _is_convicted(case, part in state.trusted)
        ]
        if not convicted:
            return
        part = max(convicted)[-1]
        state.refused[part] = time_ms + REFUSED_MS
        if len(state.refused) > REFUSED_LIMIT_COUNT:
            del state.refused[next(iter(state.refused))]


def _is_convicted(case: _Case, is_trusted: bool) -> bool:
    needed_count = (
        CONVICTING_CRASHES_COUNT if case.is_deepest else CONVICTING_OUTER_CRASHES_COUNT
    )
    if not is_trusted:
        return len(case.times_ms) >= needed_count
    count, episode_ms = 0, 0
    for time_ms in sorted(case.times_ms):
        if not count or time_ms - episode_ms >= EPISODE_MS:
            count, episode_ms = count + 1, time_ms
    return count >= needed_count


def _cases(state: CrashEvidence) -> dict[PartDigest, _Case]:
    cases: dict[PartDigest, _Case] = {}
    for crash in state.crashes.values():
        seen: set[PartDigest] = set()
        for request in crash.requests:
            for depth, part in enumerate(request, 1):
                case = cases.setdefault(part, _Case())
                case.depth = max(case.depth, depth)
                case.is_deepest = case.is_deepest and depth == len(request)
                if part not in seen:
                    seen.add(part)
                    case.times_ms.append(crash.time_ms)
                    case.last_index = max(case.last_index, crash.index)
    return cases


def _update_items(state: CrashEvidence) -> Changes:
    """Derives the items of all parts; returns those that changed."""
    items = {
        part: PartItem(len(case.times_ms), part in state.refused, part in state.trusted)
        for part, case in _cases(state).items()
        if len(case.times_ms) >= SHOWN_CRASHES_COUNT
    }
    for part in state.refused:
        items[part] = PartItem(0, True, part in state.trusted)
    changes: Changes = {
        f"part/{part}": None for part in state.items if part not in items
    }
    changes.update(
        (f"part/{part}", item)
        for part, item in items.items()
        if state.items.get(part) != item
    )
    state.items = items
    return changes
