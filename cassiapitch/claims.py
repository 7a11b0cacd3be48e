"""Claims on idempotency keys as replicated state.

A claim is made before a non-idempotent call is sent and keeps its outcome, so that
a caller's retry gets the first outcome instead of a second run.
"""

import collections
import dataclasses

from cassiapitch.commands import ClaimKey, ClaimResult, FinishClaim, ReleaseClaim
from cassiapitch.types import AccountName, ClaimState

CLAIMS_LIMIT_COUNT = 10_000
CLAIM_AGE_MS = 24 * 3_600_000
CLAIM_LIFETIME_LIMIT_MS = 3_600_000
BODY_LIMIT_BYTES = 64 * 1024
# Bounds the memory of an account's stored bodies; further outcomes are kept
# without their body.
BODIES_LIMIT_BYTES = 32 * 1024 * 1024
# How long a release is remembered, so that the claim that it gave back is not
# made by a late duplicate of its command.
RELEASE_AGE_MS = 60_000
RELEASES_LIMIT_COUNT = 20_000

ClaimId = tuple[AccountName, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One claim; `status` is None until its outcome is stored."""

    account: AccountName
    key_digest: str
    request_digest: str
    holder: str
    created_ms: int
    deadline_ms: int
    status: int | None = None
    content_type: str = ""
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """A claim that was given back."""

    account: AccountName
    key_digest: str
    holder: str
    released_ms: int


@dataclasses.dataclass(slots=True)
class Claims:
    """All claims, oldest first, and recent releases, oldest first."""

    table: dict[ClaimId, Claim] = dataclasses.field(default_factory=dict)
    releases: dict[tuple[AccountName, str, str], Release] = dataclasses.field(
        default_factory=dict
    )
    counts: collections.Counter[AccountName] = dataclasses.field(
        default_factory=collections.Counter
    )
    body_bytes: collections.Counter[AccountName] = dataclasses.field(
        default_factory=collections.Counter
    )


def load(claims: tuple[Claim, ...], releases: tuple[Release, ...]) -> Claims:
    """Returns the state that a snapshot holds."""
    state = Claims()
    for claim in claims:
        _insert(state, claim)
    for release in releases:
        state.releases[(release.account, release.key_digest, release.holder)] = release
    return state


def claim(state: Claims, command: ClaimKey, time_ms: int) -> ClaimResult:
    """Claims a key, or tells what became of the claim that exists."""
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is not None:
        return _answer_existing(existing, command, time_ms)
    if (command.account, command.key_digest, command.holder) in state.releases:
        return ClaimResult(ClaimState.RUNNING)
    if state.counts[command.account] >= CLAIMS_LIMIT_COUNT:
        return ClaimResult(ClaimState.FULL)
    lifetime_ms = min(max(command.lifetime_ms, 1), CLAIM_LIFETIME_LIMIT_MS)
    _insert(
        state,
        Claim(
            command.account,
            command.key_digest,
            command.request_digest,
            command.holder,
            created_ms=time_ms,
            deadline_ms=time_ms + lifetime_ms,
        ),
    )
    return ClaimResult(ClaimState.GRANTED)


def finish(state: Claims, command: FinishClaim, time_ms: int) -> ClaimResult:
    """Stores an outcome; the first one stays.

    An outcome that comes after the deadline is stored as well: it tells the caller
    more than `unknown` does.
    """
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is None:
        return ClaimResult(ClaimState.UNKNOWN)
    if existing.holder != command.holder or existing.status is not None:
        return _describe(existing, time_ms)
    body: bytes | None = command.body
    used_bytes = state.body_bytes[command.account]
    if (
        len(command.body) > BODY_LIMIT_BYTES
        or used_bytes + len(command.body) > BODIES_LIMIT_BYTES
    ):
        body = None
    finished = dataclasses.replace(
        existing, status=command.status, content_type=command.content_type, body=body
    )
    state.table[(command.account, command.key_digest)] = finished
    state.body_bytes[command.account] += len(body or b"")
    return _describe(finished, time_ms)


def release(state: Claims, command: ReleaseClaim, time_ms: int) -> ClaimResult:
    """Gives a claim back; also one whose own command may still arrive."""
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is not None and existing.holder == command.holder:
        if existing.status is not None:
            return _describe(existing, time_ms)
        _delete(state, existing)
    name = (command.account, command.key_digest, command.holder)
    if name not in state.releases:
        state.releases[name] = Release(*name, released_ms=time_ms)
    return ClaimResult(ClaimState.GRANTED)


def expire(state: Claims, time_ms: int) -> None:
    """Removes claims and releases that are past their age."""
    while state.table:
        oldest = next(iter(state.table.values()))
        if oldest.created_ms + CLAIM_AGE_MS > time_ms:
            break
        _delete(state, oldest)
    while state.releases:
        name, first = next(iter(state.releases.items()))
        is_recent = first.released_ms + RELEASE_AGE_MS > time_ms
        if is_recent and len(state.releases) <= RELEASES_LIMIT_COUNT:
            break
        del state.releases[name]


def _answer_existing(existing: Claim, command: ClaimKey, time_ms: int) -> ClaimResult:
    if existing.request_digest != command.request_digest:
        return ClaimResult(ClaimState.MISMATCH)
    is_repeat = existing.holder == command.holder and existing.status is None
    if is_repeat and time_ms < existing.deadline_ms:
        return ClaimResult(ClaimState.GRANTED)
    return _describe(existing, time_ms)


def _describe(existing: Claim, time_ms: int) -> ClaimResult:
    if existing.status is not None:
        return ClaimResult(
            ClaimState.FINISHED, existing.status, existing.content_type, existing.body
        )
    if time_ms >= existing.deadline_ms:
        return ClaimResult(ClaimState.UNKNOWN)
    return ClaimResult(ClaimState.RUNNING)


def _insert(state: Claims, item: Claim) -> None:
    state.table[(item.account, item.key_digest)] = item
    state.counts[item.account] += 1
    state.body_bytes[item.account] += len(item.body or b"")


def _delete(state: Claims, item: Claim) -> None:
    del state.table[(item.account, item.key_digest)]
    state.counts[item.account] -= 1
    state.body_bytes[item.account] -= len(item.body or b"")
