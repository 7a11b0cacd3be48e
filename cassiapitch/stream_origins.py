"""Replicated record of the software version that began each stream.

What two software versions of a backend server write doesn't fit together, so a stream
goes on only at the version that began it. While one version of a role has served, it
has begun all streams of the role. As soon as there are two, entries record each stream.
"""

import collections
import dataclasses
import hashlib
from collections.abc import Iterable, Mapping

from cassiapitch import backends
from cassiapitch.commands import FindOrigin, OriginResult, RecordOrigins
from cassiapitch.types import BackendName, StreamDigest
from cassiapitch.view import Changes
from cassiapitch.viewitems import BackendItem, VersionsItem

# How long a stream may be taken up after it began or was last taken up.
ORIGIN_MS = 60_000
# How long a version counts as in service after its last backend server has ended: its
# streams may be taken up, and entries that are cut off may still send it requests.
VERSION_MS = 60_000
ORIGINS_LIMIT_COUNT = 100_000
DIGEST_LENGTH = 16


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """What began a stream.

    Attributes:
        role: Role of the backend servers.
        version: Their software version.
        attempt_count: Which attempt of its request began it.
        until_ms: Log time at which the record expires.
    """

    role: str
    version: str
    attempt_count: int
    until_ms: int


@dataclasses.dataclass(slots=True)
class StreamOrigins:
    """Origins of streams, and the versions in service.

    Attributes:
        table: Origins by stream, in the order in which they expire.
        serving: Role and version of each backend server that isn't down.
        retired: Versions without such a server, with the log time until which they
            count as in service; by role and version.
        counts: Number of serving backend servers by role and version.
    """

    table: dict[StreamDigest, Origin] = dataclasses.field(default_factory=dict)
    serving: dict[BackendName, tuple[str, str]] = dataclasses.field(
        default_factory=dict
    )
    retired: dict[tuple[str, str], int] = dataclasses.field(default_factory=dict)
    counts: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )


def stream_digest(account: str, request_id: str) -> StreamDigest:
    """Returns the digest by which a stream is known, of its first request."""
    content = f"{account}\0{request_id}".encode("utf-8", "surrogatepass")
    return StreamDigest(hashlib.sha256(content).hexdigest()[:DIGEST_LENGTH])


def load(
    table: Mapping[StreamDigest, Origin],
    retired: Iterable[tuple[str, str, int]],
    items: Mapping[str, BackendItem],
) -> StreamOrigins:
    """Returns the state from a snapshot and the view items of backend servers."""
    state = StreamOrigins(dict(table))
    for name, item in items.items():
        _set_serving(state, name, item, 0)
    state.retired = {(role, version): until for role, version, until in retired}
    return state


def view_items(state: StreamOrigins) -> dict[str, VersionsItem]:
    """Returns the view items of all roles with a version in service."""
    roles = {role for role, _ in (*state.counts, *state.retired)}
    return {f"versions/{role}": _item(state, role) for role in roles}


def update_versions(
    state: StreamOrigins, fleet_changes: Changes, time_ms: int
) -> Changes:
    """Follows changes of backend servers; returns view items of changed roles."""
    roles: set[str] = set()
    for name, item in fleet_changes.items():
        if name.startswith("backend/"):
            roles.update(_set_serving(state, name, item, time_ms))
    return _changes(state, roles)


def record(
    state: StreamOrigins, command: RecordOrigins, time_ms: int
) -> tuple[OriginResult, Changes]:
    """Records streams; of two attempts of one request, the later one began it."""
    for item in command.origins:
        known = state.table.get(item.stream)
        if known is not None and known.attempt_count > item.attempt_count:
            continue
        state.table.pop(item.stream, None)
        state.table[item.stream] = Origin(
            item.role, item.version, item.attempt_count, time_ms + ORIGIN_MS
        )
    while len(state.table) > ORIGINS_LIMIT_COUNT:
        del state.table[next(iter(state.table))]
    return OriginResult(None, None), {}


def find(
    state: StreamOrigins, command: FindOrigin, time_ms: int
) -> tuple[OriginResult, Changes]:
    """Returns what began a stream, or nothing if that can't be proved."""
    known = state.table.pop(command.stream, None)
    if known is not None:
        # The stream may break off and be taken up again.
        known = dataclasses.replace(known, until_ms=time_ms + ORIGIN_MS)
        state.table[command.stream] = known
        return OriginResult(known.role, known.version), {}
    in_service = {
        (role, version) for role in command.roles for version in _versions(state, role)
    }
    if len(in_service) != 1:
        return OriginResult(None, None), {}
    ((role, version),) = in_service
    return OriginResult(role, version), {}


def expire(state: StreamOrigins, time_ms: int) -> Changes:
    """Removes expired streams and versions."""
    while state.table:
        stream, oldest = next(iter(state.table.items()))
        if oldest.until_ms > time_ms:
            break
        del state.table[stream]
    ended = [key for key, until_ms in state.retired.items() if until_ms <= time_ms]
    for key in ended:
        del state.retired[key]
    return _changes(state, {role for role, _ in ended})


def _set_serving(
    state: StreamOrigins, name: str, item: BackendItem | None, time_ms: int
) -> set[str]:
    """Records what a backend server is now; returns the roles that may change."""
    key = None
    if item is not None and item.state != backends.DOWN:
        key = (item.role, item.software_version)
    backend_name = BackendName(name)
    previous_key = state.serving.pop(backend_name, None)
    if key is not None:
        state.serving[backend_name] = key
    if key == previous_key:
        return set()
    if key is not None:
        state.counts[key] += 1
        state.retired.pop(key, None)
    if previous_key is not None:
        state.counts[previous_key] -= 1
        if not state.counts[previous_key]:
            del state.counts[previous_key]
            state.retired[previous_key] = time_ms + VERSION_MS
    return {item[0] for item in (key, previous_key) if item is not None}


def _versions(state: StreamOrigins, role: str) -> tuple[str, ...]:
    keys = (*state.counts, *state.retired)
    return tuple(sorted({version for key, version in keys if key == role}))


def _item(state: StreamOrigins, role: str) -> VersionsItem:
    return VersionsItem(_versions(state, role))


def _changes(state: StreamOrigins, roles: set[str]) -> Changes:
    return {
        f"versions/{role}": _item(state, role) if _versions(state, role) else None
        for role in sorted(roles)
    }
