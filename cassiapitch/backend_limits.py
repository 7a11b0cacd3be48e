"""Rule for the limit on requests that a backend server states to several entries.

Each entry hears only the responses to its own requests, and may read them late. The
replicated state keeps one limit for each incarnation of a backend server. The index of
the log entry that set it tells which statements can only be later ones.
"""

from cassiapitch.fleet_commands import RecordBackendLimit
from cassiapitch.viewitems import BackendLimit


def limit_after(
    current: BackendLimit | None, statement: RecordBackendLimit, index: int
) -> BackendLimit | None:
    """Returns the limit in force after a statement.

    A statement in the response to a request that was sent by an entry that knew the
    current limit is later than that limit. Of others the order isn't known, so only
    those that lower the limit have an effect.

    Args:
        current: The limit in force.
        statement: What a response stated.
        index: Index of the log entry with the statement.
    """
    stated_per_s = statement.requests_per_s
    if current is None:
        return None if stated_per_s is None else BackendLimit(stated_per_s, index)
    is_later = statement.known_index >= current.index
    if stated_per_s is None:
        return None if is_later else current
    if stated_per_s == current.requests_per_s:
        return current
    if is_later or stated_per_s < current.requests_per_s:
        return BackendLimit(stated_per_s, index)
    return current
