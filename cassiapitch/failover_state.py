"""What a member learns while another one leads, for a term of its own.

Answers the loss of a leader: its successor would know no demand, so that rarely asked
models displace those in demand, and would have to hold back all orders until those of
the earlier leader are out of date.
"""

from cassiapitch.demand_tracker import DemandTracker, add_known_demand
from cassiapitch.fleet import Fleet
from cassiapitch.messages import DemandReport
from cassiapitch.placement_state import demand_decay_ms

# An answer is recorded this long after its order at most, as long as the member that
# sent it still leads.
RECORD_MS = 500


class FailoverState:
    """Demand of this member's own entries, and when engines were last ordered."""

    def __init__(self, fleet: Fleet, lease_ms: int) -> None:
        """Starts with no knowledge.

        Args:
            fleet: The replicated state of this member, read only.
            lease_ms: How long an order counts as current at an engine.
        """
        self._fleet = fleet
        self._lease_ms = lease_ms
        self._steps: dict[str, int] = {}
        self._ordered_ms: dict[str, int] = {}
        self._bundle_version = 0
        self.demand = DemandTracker()

    def on_demand(self, report: DemandReport, now_ms: int) -> None:
        """Takes a report of an entry that is linked to this member.

        Entries are linked to members at random, so that theirs is a fair sample.
        """
        add_known_demand(self.demand, report, self._fleet.catalog, now_ms)

    def update_from_fleet(self, now_ms: int) -> None:
        """Notes which engines were ordered since the last call, and a new bundle."""
        catalog = self._fleet.catalog
        if catalog.version != self._bundle_version:
            self._bundle_version = catalog.version
            self.demand.decay_ms = demand_decay_ms(self._fleet)
            self.demand.discard_unknown(lambda key: catalog.role_of(key) is not None)
        lives = {life.life_id: life for life in self._fleet.lives.values()}
        for table in (self._steps, self._ordered_ms):
            for life_id in table.keys() - lives.keys():
                del table[life_id]
        for life_id, life in lives.items():
            is_unanswered = any(
                not order.accepted for order in life.ledger.orders.values()
            )
            # What is recorded may be sent later, until an answer to it is recorded.
            if is_unanswered or life.order_steps_count != self._steps.get(life_id, 0):
                self._steps[life_id] = life.order_steps_count
                self._ordered_ms[life_id] = now_ms

    def orders_blocked_until_ms(self) -> dict[str, int]:
        """Returns until when each engine may count an earlier leader's order."""
        if not self._lease_ms:
            return {}
        hold_ms = self._lease_ms + RECORD_MS
        return {
            life_id: ordered_ms + hold_ms
            for life_id, ordered_ms in self._ordered_ms.items()
        }
