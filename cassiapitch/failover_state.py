"""State that a member collects as a follower, for when it becomes the leader.

Without it a new leader would know no demand, so that rarely requested models would
displace those in demand, and it would have to delay all orders until those of the
earlier leader have expired.
"""

from cassiapitch.demand_tracker import DemandTracker, add_known_demand
from cassiapitch.fleet import Fleet
from cassiapitch.messages import DemandReport, LoadReports
from cassiapitch.placement_state import demand_decay_ms

# While the member that sent an order still leads, the order's answer is recorded at
# most this long after the order.
RECORD_DELAY_LIMIT_MS = 500


class FailoverState:
    """Demand of the entries linked to this member, and times of the last orders.

    Attributes:
        demand: The demand.
        role_speeds: Speed of the engines of each role in prompt tokens per millisecond,
            and when a leader measured it, by this member's clock.
    """

    def __init__(self, fleet: Fleet, lease_ms: int) -> None:
        """Starts without demand and order times.

        Args:
            fleet: The replicated state of this member; it is only read.
            lease_ms: How long an engine treats an order as current.
        """
        self._fleet = fleet
        self._lease_ms = lease_ms
        # By life id: order steps seen so far, and when an order was last new or had no
        # recorded answer.
        self._order_steps_counts: dict[str, int] = {}
        self._last_order_ms: dict[str, int] = {}
        self._bundle_version = 0
        self.demand = DemandTracker()
        self.role_speeds: dict[str, tuple[float, int]] = {}

    def on_demand(self, report: DemandReport, now_ms: int) -> None:
        """Adds a demand report of an entry that is linked to this member.

        Entries are linked to members at random, so this is a fair sample of all demand.
        """
        add_known_demand(self.demand, report, self._fleet.catalog, now_ms)

    def on_load_reports(self, reports: LoadReports, now_ms: int) -> None:
        """Records the speeds in a leader's message; those of earlier builds have none.

        The time that a message takes is not counted in the age.
        """
        self.role_speeds.update(
            (speed.role, (speed.tokens_per_ms, now_ms - speed.age_ms))
            for speed in reports.role_speeds
            if speed.role in self._fleet.catalog.roles
        )

    def update_from_fleet(self, now_ms: int) -> None:
        """Records which engines got orders since the last call, and a new bundle."""
        catalog = self._fleet.catalog
        if catalog.version != self._bundle_version:
            self._bundle_version = catalog.version
            self.demand.decay_ms = demand_decay_ms(self._fleet)
            self.demand.discard_unknown(lambda key: catalog.role_of(key) is not None)
            for role in self.role_speeds.keys() - catalog.roles.keys():
                del self.role_speeds[role]
        incarnations = {
            incarnation.life_id: incarnation
            for incarnation in self._fleet.lives.values()
        }
        for table in (self._order_steps_counts, self._last_order_ms):
            for life_id in table.keys() - incarnations.keys():
                del table[life_id]
        for life_id, incarnation in incarnations.items():
            is_unanswered = any(
                not order.accepted for order in incarnation.ledger.orders.values()
            )
            # A recorded order may be sent at any time until its answer is recorded.
            if (
                is_unanswered
                or incarnation.order_steps_count
                != self._order_steps_counts.get(life_id, 0)
            ):
                self._order_steps_counts[life_id] = incarnation.order_steps_count
                self._last_order_ms[life_id] = now_ms

    def orders_blocked_until_ms(self) -> dict[str, int]:
        """Returns until when an earlier leader's order may be current, by life id."""
        if not self._lease_ms:
            return {}
        block_ms = self._lease_ms + RECORD_DELAY_LIMIT_MS
        return {
            life_id: ordered_ms + block_ms
            for life_id, ordered_ms in self._last_order_ms.items()
        }
