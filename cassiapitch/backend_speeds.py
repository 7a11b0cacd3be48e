"""Speed of each backend server, from the observations of all entries.

Runs on the leader. Each speed is a ratio of sums over all observations, which decay
with two half-lives. The slow sums give the speed of a server; the fast sums only lower
it, once the server is clearly slower than usual. A slowdown of some hundred
milliseconds is over before entries can react to it, and hardly moves the slow sums; one
that lasts is followed within 2 s. Ratios of sums weigh each answer by its work, so that
a few short answers with a high overhead don't distort them. The work of an answer is
corrected for its model, see `model_costs`.
"""

import dataclasses
import math
from collections.abc import Callable

from cassiapitch import slots_shares, speed_observations
from cassiapitch.load_messages import AnswerSample
from cassiapitch.speed_observations import RoleObservations, ServerObservations
from cassiapitch.speed_records import ServerSpeed
from cassiapitch.speed_rotation import SpeedRotation
from cassiapitch.types import LifeId

# Ratios closer to 1 than this are noise; entries then treat servers as equal.
EQUAL_BAND = 0.2
LARGEST_UTILIZATION = 1.5
# The fast sums count only below this part of the usual speed.
SUDDEN_RATIO = 0.7
# A server is reported as slow below this part of its usual speed, and as recovered
# above the other.
SLOW_RATIO = 0.6
RECOVERED_RATIO = 0.85
UPDATE_PERIOD_MS = 500
# An update of 3,600 servers takes 87 ms of processor time; with this it is made every
# 900 ms.
UPDATE_MS_PER_SERVER = 0.25
# Shortest time between two reports ahead of time. Among 3,600 servers one is found slow
# at almost any moment, and each report takes up to 4 kB on every link.
EARLY_SPACING_MS = 10_000
# Fewer servers of a role with observations have no meaningful mean.
MIN_COMPARED_COUNT = 2
# How far a model's cost must be known for its answers to show how time follows load.
KNOWN_COST_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What an incarnation handles well.

    Attributes:
        tokens_per_ms: Prompt tokens that it processes per millisecond; None if unknown.
        concurrency: Requests in flight up to which its latency holds.
    """

    tokens_per_ms: float | None
    concurrency: float


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedChange:
    """An incarnation that was found slow, or that has recovered.

    Attributes:
        life_id: The incarnation.
        is_slow: Whether it was found slow.
        ratio: Its speed relative to its usual one.
        slots_share: Part of its slots up to which its latency holds.
    """

    life_id: LifeId
    is_slow: bool
    ratio: float
    slots_share: float


@dataclasses.dataclass(frozen=True, slots=True)
class MeasuredSpeed:
    """The speed of an incarnation as operators see it.

    Attributes:
        life_id: The incarnation.
        role: Its role.
        tokens_per_ms: Prompt tokens that it processes per millisecond; 0 if unknown.
        prefill_ratio: The same relative to its role.
        pace_ratio: Its pace relative to its role, at equal load.
        taken_ratio: What it takes relative to the mean of its role.
        concurrency: Requests in flight up to which its latency holds.
        is_slow: Whether it is slower than it usually is.
    """

    life_id: LifeId
    role: str
    tokens_per_ms: float
    prefill_ratio: float
    pace_ratio: float
    taken_ratio: float
    concurrency: float
    is_slow: bool


class BackendSpeeds:
    """Speeds of all backend servers on the leader."""

    def __init__(self) -> None:
        self._servers: dict[LifeId, ServerObservations] = {}
        self._roles: dict[str, RoleObservations] = {}
        self._updated_ms = 0
        self._early_ms = -EARLY_SPACING_MS
        self._changes: list[SpeedChange] = []
        self._rotation = SpeedRotation()

    def add(
        self,
        sample: AnswerSample,
        role: str,
        slots_count: int,
        now_ms: int,
    ) -> None:
        """Adds what an entry saw of an incarnation.

        Args:
            sample: What it saw.
            role: Role of the incarnation.
            slots_count: The incarnation's limit of running requests.
            now_ms: The current time.
        """
        server = self._servers.get(sample.life_id)
        if server is None:
            server = self._servers[sample.life_id] = ServerObservations(
                role, slots_count
            )
        server.slots_count = max(1, slots_count)
        role_state = self._roles.setdefault(role, RoleObservations())
        cost = role_state.costs.cost(sample.model_tag, sample.life_id, now_ms)
        if sample.answers_count > 0 and cost.weight > 0:
            # A model's prompts and events are processed by the same processor. A cost
            # from first tokens would count the queues of the model's servers as well.
            tokens = max(0, sample.own_tokens)
            work = tokens * cost.ratio
            count = sample.answers_count * cost.weight
            role_state.prompt_tokens.add(work, tokens, count, now_ms)
            server.prefill.add(
                work,
                max(1, sample.prefill_ms),
                count,
                now_ms,
                are_new=not sample.kept_count,
            )
        role_state.has_streams = role_state.has_streams or sample.gaps_count > 0
        if role_state.has_streams:
            count, time_ms = sample.gaps_count, sample.gaps_ms
        else:
            count, time_ms = sample.plain_count, sample.plain_ms
        if count > 0:
            in_flight = max(1.0, sample.in_flight_sum / count)
            server.in_flight_count = in_flight
            load_factor = in_flight ** speed_observations.elasticity(role_state)
            own_ms = max(0, time_ms) * server.relative_pace / load_factor
            role_state.costs.add(
                sample.model_tag, sample.life_id, own_ms, count, now_ms
            )
            time_ms_of_mean = max(0, time_ms) / cost.ratio
            weight = count * cost.weight
            if cost.known_share >= KNOWN_COST_SHARE:
                speed_observations.add_covariance(
                    role_state, server, in_flight, time_ms_of_mean / count, now_ms
                )
            server.pace.add(
                in_flight * weight, time_ms_of_mean * cost.weight, weight, now_ms
            )
        used_share = server.in_flight_count / server.slots_count
        if (
            sample.rejections_count > 0
            and used_share < slots_shares.EARLY_REJECTION_SHARE
        ):
            server.early_rejections_count += sample.rejections_count

    def update(self, now_ms: int) -> bool:
        """Derives speeds from the observations; does nothing soon after the last time.

        Returns:
            Whether entries should get speeds at once, since a server was found slow.
        """
        elapsed_ms = now_ms - self._updated_ms
        if elapsed_ms < max(
            UPDATE_PERIOD_MS, len(self._servers) * UPDATE_MS_PER_SERVER
        ):
            return False
        self._updated_ms = now_ms
        by_role: dict[str, list[tuple[LifeId, ServerObservations]]] = {}
        for life_id, server in self._servers.items():
            server.pace.decay(now_ms)
            by_role.setdefault(server.role, []).append((life_id, server))
        changes_count = len(self._changes)
        for role, servers in by_role.items():
            self._update_role(self._roles[role], servers, elapsed_ms, now_ms)
        has_new_slow = any(change.is_slow for change in self._changes[changes_count:])
        if not has_new_slow or now_ms - self._early_ms < EARLY_SPACING_MS:
            return False
        self._early_ms = now_ms
        return True

    def _update_role(
        self,
        role: RoleObservations,
        servers: list[tuple[LifeId, ServerObservations]],
        elapsed_ms: int,
        now_ms: int,
    ) -> None:
        prefill = {
            life_id: tokens_per_ms
            for life_id, server in servers
            if server.prefill.count(now_ms) >= speed_observations.MIN_ANSWERS_COUNT
            and (tokens_per_ms := server.prefill.tokens_per_ms(now_ms)) > 0
        }
        elasticity = speed_observations.elasticity(role)
        paces = {
            life_id: speed_observations.pace(server.pace.slow, elasticity)
            for life_id, server in servers
            if server.pace.slow.count >= speed_observations.MIN_GAPS_COUNT
            and server.pace.slow.time_ms > 0
        }
        # Only new prompts show how the speeds of servers differ.
        new_counts = {
            life_id: count
            for life_id, server in servers
            if life_id in prefill
            and (count := server.prefill.new_count(now_ms))
            >= speed_observations.MIN_ANSWERS_COUNT
        }
        mean_prefill = 0.0
        if prefill:
            compared = [prefill[life_id] for life_id in new_counts or prefill]
            mean_prefill = sum(compared) / len(compared)
            role.tokens_per_ms = mean_prefill / role.mean_cost
            role.measured_ms = now_ms
            throughput = sum(server.prefill.throughput(now_ms) for _, server in servers)
            role.utilization = min(
                LARGEST_UTILIZATION, throughput / (mean_prefill * len(prefill))
            )
        mean_pace = sum(paces.values()) / len(paces) if paces else 0.0
        for life_id, server in servers:
            pace_ratio = 1.0
            if life_id in paces and len(paces) >= MIN_COMPARED_COUNT:
                pace_ratio = speed_observations.shrunk(
                    paces[life_id] / mean_pace,
                    server.pace.slow.count,
                    speed_observations.PRIOR_GAPS_COUNT,
                )
            prefill_ratio = pace_ratio
            if life_id in new_counts and len(new_counts) >= MIN_COMPARED_COUNT:
                # Pace is the prior of prefill: a server has one processor for both, and
                # gaps are far more numerous than first tokens.
                prefill_ratio = speed_observations.shrunk(
                    prefill[life_id] / mean_prefill,
                    new_counts[life_id],
                    speed_observations.PRIOR_ANSWERS_COUNT,
                    pace_ratio,
                )
            # A burst of prompts delays first tokens, but hardly the events of streams,
            # so that their pace shows a slowdown of the server itself.
            server.sudden_ratio = speed_observations.sudden_ratio(
                server.pace, elasticity
            )
            prefill_ratio *= _if_sudden(server.sudden_ratio)
            pace_ratio *= _if_sudden(server.sudden_ratio)
            server.relative_pace = pace_ratio
            slots_shares.update(
                server, min(prefill_ratio, pace_ratio), elasticity, elapsed_ms, now_ms
            )
            server.speed = ServerSpeed(
                _banded(prefill_ratio), _banded(pace_ratio), server.slots_share
            )
            self._note_change(life_id, server)

    def _note_change(self, life_id: LifeId, server: ServerObservations) -> None:
        bound = RECOVERED_RATIO if server.is_slow else SLOW_RATIO
        is_slow = server.sudden_ratio < bound
        if is_slow != server.is_slow:
            server.is_slow = is_slow
            self._changes.append(
                SpeedChange(life_id, is_slow, server.sudden_ratio, server.slots_share)
            )

    def take_changes(self) -> list[SpeedChange]:
        """Removes and returns the incarnations that were found slow or recovered."""
        changes, self._changes = self._changes, []
        return changes

    def capacity(self, life_id: LifeId) -> Capacity | None:
        """Returns what an incarnation handles well; None if nothing was seen of it."""
        server = self._servers.get(life_id)
        if server is None:
            return None
        mean = self._roles[server.role].tokens_per_ms
        return Capacity(
            mean * server.speed.prefill_ratio if mean else None,
            max(1.0, server.slots_share * server.slots_count),
        )

    def role_speeds(self) -> dict[str, tuple[float, int]]:
        """Returns the mean prefill speed of each role in tokens per millisecond.

        With the time of the measurement; roles without one are left out.
        """
        return {
            role: (state.tokens_per_ms, state.measured_ms)
            for role, state in self._roles.items()
            if state.tokens_per_ms
        }

    def relative_capacity(self, life_id: str) -> float:
        """Returns what an incarnation takes relative to the mean of its role."""
        server = self._servers.get(LifeId(life_id))
        return 1.0 if server is None else server.speed.taken_ratio

    def slots_share(self, life_id: str) -> float:
        """Returns the part of an incarnation's slots up to which its latency holds."""
        server = self._servers.get(LifeId(life_id))
        return 1.0 if server is None else server.slots_share

    def records(self, now_ms: int) -> bytes:
        """Returns the packed speeds for the next message to the entries."""
        return self._rotation.records(self._servers, self._roles, now_ms)

    def retain_only(self, is_ended: Callable[[str], bool]) -> None:
        """Removes incarnations that have ended."""
        for life_id in [key for key in self._servers if is_ended(key)]:
            del self._servers[life_id]
        for role_state in self._roles.values():
            role_state.costs.retain_only(is_ended)
        roles = {server.role for server in self._servers.values()}
        for role in [key for key in self._roles if key not in roles]:
            del self._roles[role]

    def view(self) -> list[MeasuredSpeed]:
        """Returns the speeds for the dump and the metrics, by life id."""
        return [
            MeasuredSpeed(
                life_id,
                server.role,
                round(
                    self._roles[server.role].tokens_per_ms * server.speed.prefill_ratio,
                    3,
                ),
                round(server.speed.prefill_ratio, 3),
                round(server.speed.pace_ratio, 3),
                round(server.speed.taken_ratio, 3),
                round(server.slots_share * server.slots_count, 1),
                server.is_slow,
            )
            for life_id, server in sorted(self._servers.items())
        ]


def _if_sudden(ratio: float) -> float:
    return ratio if ratio < SUDDEN_RATIO else 1.0


def _banded(ratio: float) -> float:
    return 1.0 if abs(math.log(ratio)) < math.log(1 + EQUAL_BAND) else ratio
