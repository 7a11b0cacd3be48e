"""Load and health of one incarnation of a backend server, as an entry sees them."""

import dataclasses
from collections.abc import Iterable, Sequence

from cassiapitch import ranks
from cassiapitch.brittle_backends import Load
from cassiapitch.speed_records import ServerSpeed
from cassiapitch.viewitems import BackendItem

# Load reports arrive once a second and lag behind. Their weight halves in this time, so
# that an old report doesn't keep requests from an idle backend server.
REPORT_HALF_LIFE_MS = 2_000
UNREACHABLE_MS = 1_000
# How long a backend server that may have restarted cold gets nothing unless the view
# tells more of it: two heartbeats of 1.2 s. Only they reveal that it is cold.
RESTART_HOLD_MS = 2_500
# The least urgent rank may use this share of a backend server's slots, the most urgent
# one all of them, those between in proportion.
LEAST_URGENT_SLOTS_SHARE = 0.75
# A backend server with fewer of its slots taken, and with a backlog of less than this
# part of a request's objective, is far from a shortage of capacity.
CALM_SLOTS_SHARE = 0.5
ROOM_OBJECTIVE_SHARE = 0.15
# Cost of a backend server that fails every request, and cost of one that takes twice as
# long as the others, in requests in flight.
FAILURE_COST = 24.0
SLOWNESS_COST = 4.0
MAX_SLOWNESS_RATIO = 4.0
# Weight of the newest outcome in the moving averages.
OUTCOME_SAMPLE_WEIGHT = 0.2
# With fewer answers the average is too uncertain to be used.
MIN_ANSWERS_COUNT = 4
# Failures and slowness lose half their weight in this time, so that a backend server
# that was avoided is tried again.
OUTCOME_HALF_LIFE_MS = 4_000


@dataclasses.dataclass(slots=True)
class BackendState:
    """Load and health of one incarnation of a backend server.

    An incarnation is one run of its process, from start to exit.

    Attributes:
        own_in_flight_count: This entry's requests in flight.
        own_in_flight_at_report_count: `own_in_flight_count` at the last load report,
            with those given up that a brittle backend server probably worked on.
        other_entries_in_flight_count: Running and waiting requests of other entries at
            the last load report.
        reported_ms: Time of the last load report.
        prefixes: Digests of the prompt prefixes in its cache.
        unreachable_until_ms: Until when it is avoided after a failed connect.
        held_until_ms: Until when it gets nothing, since it may have restarted cold.
        held_view: Its state in the view, and whether it was cold, when that began.
        paused_until_ms: End of the pause that it asked for.
        is_leaving: Whether it has announced its departure.
        failure_rate: Moving average of failed requests, 0 to 1.
        mean_answer_ms: Moving average of the time until the answer begins.
        answers_count: Answers in that average.
        last_outcome_ms: Time of the last answer or failure.
    """

    own_in_flight_count: int = 0
    own_in_flight_at_report_count: int = 0
    other_entries_in_flight_count: int = 0
    reported_ms: int = 0
    prefixes: frozenset[str] = frozenset()
    unreachable_until_ms: int = 0
    held_until_ms: int = 0
    held_view: tuple[str, bool] = ("", False)
    paused_until_ms: int = 0
    is_leaving: bool = False
    failure_rate: float = 0.0
    mean_answer_ms: float = 0.0
    answers_count: int = 0
    last_outcome_ms: int = 0


def record_request_count(
    state: BackendState, own_count: int, reported_count: int, now_ms: int
) -> None:
    """Records the number of running and waiting requests by a load report.

    Args:
        state: State of the incarnation.
        own_count: This entry's requests in flight, with those given up.
        reported_count: The reported number, of all entries.
        now_ms: The current time.
    """
    included = min(own_count, state.own_in_flight_at_report_count)
    state.other_entries_in_flight_count = max(0, reported_count - included)
    state.own_in_flight_at_report_count = own_count
    state.reported_ms = now_ms


def in_flight_count(state: BackendState, now_ms: int) -> float:
    """Returns the requests in flight; those of other entries count less with time."""
    age_ms = max(0, now_ms - state.reported_ms)
    weight = 0.5 ** (age_ms / REPORT_HALF_LIFE_MS)
    return float(
        state.own_in_flight_count + state.other_entries_in_flight_count * weight
    )


def hold(state: BackendState, backend: BackendItem, now_ms: int) -> None:
    """Begins a hold, which a change of the item in the view ends."""
    state.held_until_ms = now_ms + RESTART_HOLD_MS
    state.held_view = _shown_state(backend)


def update_hold(state: BackendState, backend: BackendItem) -> None:
    """Ends a hold if the view shows something new."""
    if state.held_view != _shown_state(backend):
        state.held_until_ms = 0


def _shown_state(backend: BackendItem) -> tuple[str, bool]:
    return backend.state, backend.limit is not None and backend.limit.is_cold


def is_avoided(state: BackendState, now_ms: int) -> bool:
    """Returns whether the incarnation gets nothing now, whatever its load."""
    return state.is_leaving or now_ms < max(
        state.unreachable_until_ms, state.paused_until_ms, state.held_until_ms
    )


def record_success(state: BackendState, answer_ms: int, now_ms: int) -> None:
    """Records a success and the time until the answer began."""
    state.failure_rate *= 1 - OUTCOME_SAMPLE_WEIGHT
    change = answer_ms - state.mean_answer_ms
    state.mean_answer_ms += change * (
        OUTCOME_SAMPLE_WEIGHT if state.answers_count else 1.0
    )
    state.answers_count += 1
    state.last_outcome_ms = now_ms


def record_failure(state: BackendState, now_ms: int) -> None:
    """Records a request that the incarnation failed or didn't answer."""
    state.failure_rate += OUTCOME_SAMPLE_WEIGHT * (1 - state.failure_rate)
    state.last_outcome_ms = now_ms


def failure_share(state: BackendState, now_ms: int) -> float:
    """Returns the share of failed requests, less the older the last outcome is."""
    return state.failure_rate * _outcome_weight(state, now_ms)


def failure_cost(state: BackendState, now_ms: int) -> float:
    """Returns the cost of the failures that this entry has seen."""
    return FAILURE_COST * state.failure_rate * _outcome_weight(state, now_ms)


def slowness_cost(state: BackendState, typical_ms: float, now_ms: int) -> float:
    """Returns the cost of answers slower than usual; 0 while too few were seen.

    Args:
        state: State of the incarnation.
        typical_ms: Usual time until an answer begins in its role; 0 if unknown.
        now_ms: The current time.
    """
    if not typical_ms or state.answers_count < MIN_ANSWERS_COUNT:
        return 0.0
    excess = min(MAX_SLOWNESS_RATIO, state.mean_answer_ms / typical_ms) - 1
    return SLOWNESS_COST * max(0.0, excess) * _outcome_weight(state, now_ms)


def typical_answer_ms(states: Iterable[BackendState]) -> float:
    """Returns the lower median of the times until answers begin, or 0."""
    times = sorted(
        state.mean_answer_ms
        for state in states
        if state.answers_count >= MIN_ANSWERS_COUNT
    )
    return times[(len(times) - 1) // 2] if len(times) > 1 else 0.0


def _outcome_weight(state: BackendState, now_ms: int) -> float:
    age_ms = max(0, now_ms - state.last_outcome_ms)
    return float(0.5 ** (age_ms / OUTCOME_HALF_LIFE_MS))


def slots_limit(backend: BackendItem, rank: int, speed: ServerSpeed | None) -> float:
    """Returns the requests in flight below which a rank may send one more.

    Args:
        backend: The backend server.
        rank: The rank.
        speed: The speed that the leader shares of it, if any.
    """
    share = 1 - (1 - LEAST_URGENT_SLOTS_SHARE) * ranks.relative(rank)
    if speed is not None:
        share *= speed.slots_share
    return max(1.0, backend.max_running_count * share)


def has_room(
    state: BackendState,
    backend: BackendItem,
    backlog_ms: float,
    objective_ms: int,
    now_ms: int,
) -> bool:
    """Returns whether the incarnation is far from a shortage of capacity."""
    return (
        in_flight_count(state, now_ms) < CALM_SLOTS_SHARE * backend.max_running_count
        and backlog_ms <= ROOM_OBJECTIVE_SHARE * objective_ms
    )


def load(state: BackendState, backend: BackendItem) -> Load:
    """Returns the load by which a brittle backend server is judged."""
    return Load(
        state.own_in_flight_count,
        state.other_entries_in_flight_count,
        backend.max_running_count,
    )


def cached_share(prefixes: Sequence[str], cached: frozenset[str]) -> float:
    """Returns the cached share of a prompt's blocks, counted from its start.

    Cache events can be lost, so the longest known prefix counts even if shorter ones
    are unknown.
    """
    for count in range(len(prefixes), 0, -1):
        if prefixes[count - 1] in cached:
            return count / len(prefixes)
    return 0.0
