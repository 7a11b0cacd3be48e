"""Replicated state of suspects: requests that ran when a backend server crashed.

A suspect is quarantined once it has crashed two incarnations. An incarnation is one run
of a backend server's process. To tell a harmful suspect from a harmless one, only one
suspect may run on an incarnation at a time; its run is claimed here.
"""

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

QUARANTINE_CRASHES_COUNT = 2
QUARANTINE_MS = 600_000
SUSPECTS_LIMIT_COUNT = 20_000
# Lifetime of a claim. If its entry stops without releasing it, other suspects can't use
# the backend server until then.
RUN_CLAIM_MS = 120_000
NO_DIGEST = RequestDigest("")


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """A request, by digest, that ran when backend servers crashed.

    Attributes:
        digest: The request's digest.
        lives: Ids of the distinct incarnations that crashed while running it.
        until_ms: Log time at which the record, and with it a quarantine, ends.
    """

    digest: RequestDigest
    lives: tuple[LifeId, ...]
    until_ms: int

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused until `until_ms`."""
        return len(self.lives) >= QUARANTINE_CRASHES_COUNT


@dataclasses.dataclass(frozen=True, slots=True)
class RunClaim:
    """Claim of the one suspect that may run on an incarnation of a backend server.

    Attributes:
        life_id: The incarnation.
        digest: The suspect; empty if the incarnation has crashed.
        holder: The call that runs it.
        until_ms: Log time at which the claim expires.
    """

    life_id: LifeId
    digest: RequestDigest
    holder: str
    until_ms: int


@dataclasses.dataclass(slots=True)
class Suspects:
    """All suspects and claims.

    Attributes:
        table: Suspects in the order in which their records expire.
        runs: Claims by life id.
    """

    table: dict[RequestDigest, Suspect] = dataclasses.field(default_factory=dict)
    runs: dict[LifeId, RunClaim] = dataclasses.field(default_factory=dict)

    def view_items(self) -> dict[str, SuspectItem]:
        """Returns the view items of all suspects."""
        return {f"suspect/{item.digest}": _item(item) for item in self.table.values()}


def load(items: tuple[Suspect, ...], runs: tuple[RunClaim, ...]) -> Suspects:
    """Returns the state from a snapshot."""
    return Suspects(
        {item.digest: item for item in items}, {run.life_id: run for run in runs}
    )


def record_crash(
    state: Suspects, command: ReportCrash, time_ms: int
) -> tuple[SuspectResult, Changes]:
    """Records a crash; each incarnation counts once for each digest."""
    changes: Changes = {}
    # Blocks the crashed incarnation for suspects. A suspect that starts there before
    # its entry knows of the crash would count as having caused it.
    state.runs[command.life_id] = RunClaim(
        command.life_id, NO_DIGEST, "", time_ms + RUN_CLAIM_MS
    )
    for digest in command.digests:
        existing = state.table.get(digest)
        lives = () if existing is None else existing.lives
        if command.life_id in lives:
            continue
        # A new crash renews the record, which moves it to the end of the table.
        state.table.pop(digest, None)
        state.table[digest] = Suspect(
            digest, (*lives, command.life_id), time_ms + QUARANTINE_MS
        )
        changes[f"suspect/{digest}"] = _item(state.table[digest])
    changes.update(_evict(state))
    return _result(state, command.digests), changes


def clear(state: Suspects, command: ClearSuspect) -> tuple[SuspectResult, Changes]:
    """Removes a suspect that ran without a crash; a quarantine ends only by time.

    The record stays if it holds a crash that was not known when the run began, also if
    the command is a late repeat.
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
    """Claims an incarnation of a backend server for one run of a suspect.

    With two suspects on it, a crash would count against both, and a harmless one would
    be quarantined too.
    """
    suspect = state.table.get(command.digest)
    if suspect is not None and suspect.is_quarantined:
        return SuspectRunResult(SuspectRunOutcome.QUARANTINED), {}
    claim = state.runs.get(command.life_id)
    if claim is not None and claim.holder != command.holder:
        return SuspectRunResult(SuspectRunOutcome.BUSY), {}
    state.runs[command.life_id] = RunClaim(
        command.life_id, command.digest, command.holder, time_ms + RUN_CLAIM_MS
    )
    return SuspectRunResult(SuspectRunOutcome.GRANTED), {}


def release_run(
    state: Suspects, command: ReleaseSuspectRun
) -> tuple[SuspectRunResult, Changes]:
    """Releases a claim, unless another holder has it."""
    claim = state.runs.get(command.life_id)
    if claim is not None and claim.holder == command.holder:
        del state.runs[command.life_id]
    return SuspectRunResult(SuspectRunOutcome.GRANTED), {}


def expire(state: Suspects, time_ms: int) -> Changes:
    """Removes expired records and claims."""
    changes: Changes = {}
    for run in [run for run in state.runs.values() if run.until_ms <= time_ms]:
        del state.runs[run.life_id]
    while state.table:
        oldest = next(iter(state.table.values()))
        if oldest.until_ms > time_ms:
            break
        del state.table[oldest.digest]
        changes[f"suspect/{oldest.digest}"] = None
    return changes


def _evict(state: Suspects) -> Changes:
    """Limits the size of the table; removes suspects not in quarantine first."""
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
