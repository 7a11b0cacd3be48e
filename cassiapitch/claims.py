"""Claims on idempotency keys as replicated state.

A claim is made before a non-idempotent call is sent, and stores the call's outcome. A
caller's retry with the same key then gets this outcome, and the call runs only once.
"""

import collections
import dataclasses

from cassiapitch.commands import ClaimKey, ClaimResult, FinishClaim, ReleaseClaim
from cassiapitch.types import AccountName, ClaimState

CLAIMS_LIMIT_COUNT = 10_000
CLAIM_RETENTION_MS = 24 * 3_600_000
CLAIM_LIFETIME_LIMIT_MS = 3_600_000
BODY_LIMIT_BYTES = 64 * 1024
# Limits the memory of an account's stored bodies; beyond it, outcomes are stored
# without their body.
BODIES_LIMIT_BYTES = 32 * 1024 * 1024
# How long a release is remembered, so that a late duplicate of the released claim's
# command doesn't make the claim again.
RELEASE_RETENTION_MS = 60_000
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
    """A claim that was released without an outcome."""

    account: AccountName
    key_digest: str
    holder: str
    released_ms: int


@dataclasses.dataclass(slots=True)
class Claims:
    """All claims and recent releases, both oldest first.

    Attributes:
        table: The claims.
        releases: Recent releases by account, key digest and holder.
        counts: Number of claims of each account.
        body_bytes: Size of the stored bodies of each account.
    """

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
    """Returns the state stored in a snapshot."""
    state = Claims()
    for claim in claims:
        _insert(state, claim)
    for release in releases:
        state.releases[(release.account, release.key_digest, release.holder)] = release
    return state


def claim(state: Claims, command: ClaimKey, time_ms: int) -> ClaimResult:
    """Claims a key, or returns the state of the existing claim."""
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
    """Stores the outcome of a claim unless one is stored already.

    An outcome after the claim's deadline is stored too, as it is more useful to the
    caller than `unknown`.
    """
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is None:
        return ClaimResult(ClaimState.UNKNOWN)
    if existing.holder != command.holder or existing.status is not None:
        return _current_result(existing, time_ms)
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
    return _current_result(finished, time_ms)


def release(state: Claims, command: ReleaseClaim, time_ms: int) -> ClaimResult:
    """Releases a claim, also one whose own command may arrive later."""
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is not None and existing.holder == command.holder:
        if existing.status is not None:
            return _current_result(existing, time_ms)
        _delete(state, existing)
    release_id = (command.account, command.key_digest, command.holder)
    if release_id not in state.releases:
        state.releases[release_id] = Release(*release_id, released_ms=time_ms)
    return ClaimResult(ClaimState.GRANTED)


def expire(state: Claims, time_ms: int) -> None:
    """Removes claims and releases whose retention time is over."""
    while state.table:
        oldest = next(iter(state.table.values()))
        if oldest.created_ms + CLAIM_RETENTION_MS > time_ms:
            break
        _delete(state, oldest)
    while state.releases:
        release_id, oldest_release = next(iter(state.releases.items()))
        is_recent = oldest_release.released_ms + RELEASE_RETENTION_MS > time_ms
        if is_recent and len(state.releases) <= RELEASES_LIMIT_COUNT:
            break
        del state.releases[release_id]


def _answer_existing(existing: Claim, command: ClaimKey, time_ms: int) -> ClaimResult:
    if existing.request_digest != command.request_digest:
        return ClaimResult(ClaimState.MISMATCH)
    is_repeat = existing.holder == command.holder and existing.status is None
    if is_repeat and time_ms < existing.deadline_ms:
        return ClaimResult(ClaimState.GRANTED)
    return _current_result(existing, time_ms)


def _current_result(existing: Claim, time_ms: int) -> ClaimResult:
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
