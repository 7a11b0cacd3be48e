"""Claims on idempotency keys as replicated state.

A claim is made before a non-idempotent call is sent, and stores the call's outcome. A
caller's retry with the same key then gets this outcome, and the call runs only once.
"""

import bisect
import collections
import dataclasses

from cassiapitch.commands import ClaimKey, ClaimResult, FinishClaim, ReleaseClaim
from cassiapitch.types import AccountName, ClaimState

CLAIMS_LIMIT_COUNT = 10_000
CLAIM_RETENTION_MS = 24 * 3_600_000
CLAIM_LIFETIME_LIMIT_MS = 3_600_000
BODY_LIMIT_BYTES = 64 * 1024
# An outcome with a longer one is stored without it and without its body, so that a
# claim without a body stays small.
CONTENT_TYPE_LIMIT_COUNT = 128
# Limits the memory of the stored bodies of all accounts; beyond it, older ones are
# removed. With the copies of a snapshot that is written, they take four times as much.
BODIES_LIMIT_BYTES = 4 * 1024 * 1024
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
        bodies: Time and key digest of each account's claims with a body that isn't
            empty, oldest first.
        body_bytes: Size of the stored bodies of each account that has some.
        total_body_bytes: Size of all stored bodies.
    """

    table: dict[ClaimId, Claim] = dataclasses.field(default_factory=dict)
    releases: dict[tuple[AccountName, str, str], Release] = dataclasses.field(
        default_factory=dict
    )
    counts: collections.Counter[AccountName] = dataclasses.field(
        default_factory=collections.Counter
    )
    bodies: dict[AccountName, list[tuple[int, str]]] = dataclasses.field(
        default_factory=dict
    )
    body_bytes: dict[AccountName, int] = dataclasses.field(default_factory=dict)
    total_body_bytes: int = 0


def load(claims: tuple[Claim, ...], releases: tuple[Release, ...]) -> Claims:
    """Returns the state stored in a snapshot, which may hold more bodies than fit."""
    state = Claims()
    for claim in claims:
        _insert(state, claim)
    _remove_excess_bodies(state)
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
    caller than `unknown`. If all bodies exceed their limit, the account with the most
    loses its oldest, so that no account loses any to one that stores more.
    """
    expire(state, time_ms)
    existing = state.table.get((command.account, command.key_digest))
    if existing is None:
        return ClaimResult(ClaimState.UNKNOWN)
    if existing.holder != command.holder or existing.status is not None:
        return _current_result(existing, time_ms)
    content_type = command.content_type
    body: bytes | None = command.body
    if len(content_type) > CONTENT_TYPE_LIMIT_COUNT:
        content_type, body = "", None
    elif len(command.body) > BODY_LIMIT_BYTES:
        body = None
    finished = dataclasses.replace(
        existing, status=command.status, content_type=content_type, body=body
    )
    state.table[(command.account, command.key_digest)] = finished
    _count_body(state, finished)
    _remove_excess_bodies(state)
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
    _count_body(state, item)


def _delete(state: Claims, item: Claim) -> None:
    del state.table[(item.account, item.key_digest)]
    state.counts[item.account] -= 1
    if not state.counts[item.account]:
        del state.counts[item.account]
    if item.body:
        _discount_body(state, item, len(item.body))


def _count_body(state: Claims, item: Claim) -> None:
    if not item.body:
        return
    size_bytes = len(item.body)
    state.total_body_bytes += size_bytes
    state.body_bytes[item.account] = state.body_bytes.get(item.account, 0) + size_bytes
    bisect.insort(
        state.bodies.setdefault(item.account, []), (item.created_ms, item.key_digest)
    )


def _discount_body(state: Claims, item: Claim, size_bytes: int) -> None:
    state.total_body_bytes -= size_bytes
    state.body_bytes[item.account] -= size_bytes
    bodies = state.bodies[item.account]
    del bodies[bisect.bisect_left(bodies, (item.created_ms, item.key_digest))]
    if not bodies:
        del state.bodies[item.account], state.body_bytes[item.account]


def _remove_excess_bodies(state: Claims) -> None:
    """Removes bodies beyond their limit; which ones follows from the claims alone."""
    while state.total_body_bytes > BODIES_LIMIT_BYTES:
        account = max(state.body_bytes, key=lambda name: (state.body_bytes[name], name))
        _, key_digest = state.bodies[account][0]
        item = state.table[(account, key_digest)]
        assert item.body, "only claims with a body are listed"
        _discount_body(state, item, len(item.body))
        state.table[(account, key_digest)] = dataclasses.replace(item, body=None)
