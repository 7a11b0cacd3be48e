"""Requests under which backend servers crashed, as replicated state."""

import dataclasses

from cassiapitch.commands import (
    ClaimSuspectRun,
    ClearSuspect,
    ReleaseSuspectRun,
    ReportCrash,
    SuspectResult,
    SuspectRunResult,
)
from cassiapitch.types import LifeId, RequestDigest, SuspectRunOutcome
from cassiapitch.view import Changes
from cassiapitch.viewitems import (
    SuspectItem,
)

QUARANTINE_CRASH_COUNT = 2
QUARANTINE_MS = 600_000
SUSPECTS_LIMIT_COUNT = 20_000
# A run whose entry ended without a word blocks its backend server no longer than
# this for other suspects.
RUN_CLAIM_MS = 120_000
NONE = RequestDigest("")


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """One request digest.

    Attributes:
        digest: The request's digest.
        lives: Distinct lives of backend servers that crashed under it.
        until_ms: Log time at which the record, and with it a quarantine, ends.
    """

    digest: RequestDigest
    lives: tuple[LifeId, ...]
    until_ms: int

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused for now."""
        return len(self.lives) >= QUARANTINE_CRASH_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class RunClaim:
    """The one suspect that may run on a life of a backend server.

    Attributes:
        life_id: The life.
        digest: The suspect; empty where the life has crashed.
        holder: The call that runs it.
        until_ms: Log time at which the claim ends by itself.
    """

    life_id: LifeId
    digest: RequestDigest
    holder: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class Suspects:
    """All suspects, the ones that end first at the beginning, and their runs."""

    table: dict[RequestDigest, Suspect] = dataclasses.field(default_factory=dict)
    runs: dict[LifeId, RunClaim] = dataclasses.field(default_factory=dict)

    def view_items(self) -> dict[str, SuspectItem]:
        """Returns the view's items of all suspects."""
        return {f"suspect/{item.digest}": _item(item) for item in self.table.values()}


def load(items: tuple[Suspect, ...], runs: tuple[RunClaim, ...]) -> Suspects:
    """Returns the state that a snapshot holds."""
    return Suspects(
        {item.digest: item for item in items}, {run.life_id: run for run in runs}
    )


def record_crash(
    state: Suspects, command: ReportCrash, time_ms: int
) -> tuple[SuspectResult, Changes]:
    """Counts a crash; the same life counts once for each digest."""
    changes: Changes = {}
    # Nobody is sent to a crashed life any more: a suspect that starts there before
    # its entry knows of the crash would be counted as running in it.
    state.runs[command.life_id] = RunClaim(
        command.life_id, NONE, "", time_ms + RUN_CLAIM_MS
    )
    for digest in command.digests:
        existing = state.table.get(digest)
        lives = () if existing is None else existing.lives
        if command.life_id in lives:
            continue
        # A new crash moves the record to the end of the table and of its time.
        state.table.pop(digest, None)
        state.table[digest] = Suspect(
            digest, (*lives, command.life_id), time_ms + QUARANTINE_MS
        )
        changes[f"suspect/{digest}"] = _item(state.table[digest])
    changes.update(_evict(state))
    return _result(state, command.digests), changes


def clear(state: Suspects, command: ClearSuspect) -> tuple[SuspectResult, Changes]:
    """Forgets a suspect that ran cleanly; a quarantine ends only by time.

    A crash that was not known when the run began stays, also where the command is
    a late repeat.
    """
    existing = state.table.get(command.digest)
    if existing is None or existing.is_quarantined:
        return _result(state, (command.digest,)), {}
    if not set(existing.lives) <= set(command.lives):
        return _result(state, (command.digest,)), {}
    del state.table[command.digest]
    return _result(state, (command.digest,)), {f"suspect/{command.digest}": None}


def claim_run(
    state: Suspects, command: ClaimSuspectRun, time_ms: int
) -> tuple[SuspectRunResult, Changes]:
    """Lets one suspect at a time run on a life of a backend server.

    With two of them on it, a crash would count against both, and the harmless one
    would be quarantined too.
    """
    suspect = state.table.get(command.digest)
    if suspect is not None and suspect.is_quarantined:
        return SuspectRunResult(SuspectRunOutcome.QUARANTINED), {}
    held = state.runs.get(command.life_id)
    if held is not None and held.holder != command.holder:
        return SuspectRunResult(SuspectRunOutcome.BUSY), {}
    state.runs[command.life_id] = RunClaim(
        command.life_id, command.digest, command.holder, time_ms + RUN_CLAIM_MS
    )
    return SuspectRunResult(SuspectRunOutcome.GRANTED), {}


def release_run(
    state: Suspects, command: ReleaseSuspectRun
) -> tuple[SuspectRunResult, Changes]:
    """Ends a run's claim; another holder's claim stays."""
    held = state.runs.get(command.life_id)
    if held is not None and held.holder == command.holder:
        del state.runs[command.life_id]
    return SuspectRunResult(SuspectRunOutcome.GRANTED), {}


def expire(state: Suspects, time_ms: int) -> Changes:
    """Ends the records that are past their time."""
    changes: Changes = {}
    for run in [run for run in state.runs.values() if run.until_ms <= time_ms]:
        del state.runs[run.life_id]
    while state.table:
        first = next(iter(state.table.values()))
        if first.until_ms > time_ms:
            break
        del state.table[first.digest]
        changes[f"suspect/{first.digest}"] = None
    return changes


def _evict(state: Suspects) -> Changes:
    """Keeps the table bounded; requests not in quarantine go first."""
    changes: Changes = {}
    excess = len(state.table) - SUSPECTS_LIMIT_COUNT
    if excess <= 0:
        return changes
    candidates = sorted(state.table.values(), key=lambda item: item.is_quarantined)
    for item in candidates[:excess]:
        del state.table[item.digest]
        changes[f"suspect/{item.digest}"] = None
    return changes


def _item(suspect: Suspect) -> SuspectItem:
    return SuspectItem(len(suspect.lives), suspect.is_quarantined, suspect.lives)


def _result(state: Suspects, digests: tuple[RequestDigest, ...]) -> SuspectResult:
    return SuspectResult(
        tuple(
            len(state.table[digest].lives) if digest in state.table else 0
            for digest in digests
        )
    )
