"""Unused permits of one entry for a limited backend server, and expected waits."""

import dataclasses

from cassiapitch.limit_messages import Permits
from cassiapitch.viewitems import BackendLimit

# How long the waits in an answer are used.
ESTIMATE_VALID_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """The right to send one request between two times.

    Attributes:
        from_ms: First time at which it may be used.
        until_ms: Last time at which it may be used.
        is_probe: Whether no request of this entry waited for it.
    """

    from_ms: int
    until_ms: int
    is_probe: bool = False


@dataclasses.dataclass(slots=True)
class Limited:
    """What this entry knows of one limited incarnation.

    Attributes:
        name: Name of the backend server.
        in_force: The limit in the view; None if the view shows none yet.
        heard_per_s: Limit that it stated to this entry, until the view shows it.
        heard_until_index: Index of the view that shows it; None if not known yet.
        permits: Unused permits, by the time from which they may be used.
        has_queued: Whether the leader may have requests of this entry in its queue.
        estimate: The waits in the leader's last answer; None before the first one.
        estimate_as_of_ms: Time of the ask that it answered.
        probe_due_ms: When a permit may be requested without a waiting request.
        needs_probe: Whether such a permit is to be requested.
        reported_per_s: Limit that this entry heard and reported while it was cold.
        is_paced: Whether the leader paces prompts to it, see `prompt_pacing`.
    """

    name: str
    in_force: BackendLimit | None = None
    heard_per_s: float | None = None
    heard_until_index: int | None = None
    permits: list[Permit] = dataclasses.field(default_factory=list)
    has_queued: bool = False
    estimate: Permits | None = None
    estimate_as_of_ms: int = 0
    probe_due_ms: int = 0
    needs_probe: bool = False
    reported_per_s: float | None = None
    is_paced: bool = False

    @property
    def has_limit(self) -> bool:
        """Whether a limit on its requests is known, not only its prompts paced."""
        return self.in_force is not None or self.heard_per_s is not None

    @property
    def is_only_paced(self) -> bool:
        """Whether prompts to it are paced and no limit on its requests is known."""
        return self.is_paced and not self.has_limit

    def usable_permits(self, now_ms: int) -> list[Permit]:
        """Returns the permits that may be used now."""
        return [
            permit
            for permit in self.permits
            if permit.from_ms <= now_ms <= permit.until_ms
        ]

    def expected_wait_ms(self, position: int, now_ms: int, rank: int) -> int | None:
        """Returns the expected wait of a request, see `SendLimits`."""
        estimate, as_of_ms = self.estimate, self.estimate_as_of_ms
        if estimate is None or now_ms - as_of_ms > ESTIMATE_VALID_MS:
            return None
        permits = sorted(permit.from_ms for permit in self.permits)
        if position < len(permits):
            return max(0, permits[position] - now_ms)
        position -= len(permits)
        pairs = zip(
            estimate.next_waits_ms[::2], estimate.next_waits_ms[1::2], strict=False
        )
        next_wait_ms = next(
            (wait_ms for last_rank, wait_ms in pairs if rank <= last_rank),
            estimate.next_wait_ms,
        )
        if position < len(estimate.waits_ms):
            # The leader may not know of a more urgent request yet.
            urgent_wait_ms = next_wait_ms + position * estimate.spacing_ms
            wait_ms = min(estimate.waits_ms[position], urgent_wait_ms)
        else:
            # Requests of other entries may come in between, so it is at least this.
            further_count = position - len(estimate.waits_ms)
            wait_ms = next_wait_ms + further_count * estimate.spacing_ms
        return max(0, as_of_ms + wait_ms - now_ms)
