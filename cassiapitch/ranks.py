"""Priority ranks: whole numbers, 0 first.

Every stage of a request uses the rank: queues, slots, permits, refusals, demand for
placement and planned stops. The product's own interface knows two priorities only.
"""

from cassiapitch.types import Priority

MOST_URGENT_RANK = 0
LEAST_URGENT_RANK = 9

_RANKS = {Priority.URGENT: MOST_URGENT_RANK, Priority.BATCH: LEAST_URGENT_RANK}

# Demand of the least urgent rank counts for placement as this part of the same demand
# of the most urgent one. It is high enough that such models keep their copies.
LEAST_URGENT_WEIGHT = 0.5


def of_priority(priority: Priority) -> int:
    """Returns the rank of a priority of the product's own interface."""
    return _RANKS[priority]


def to_priority(rank: int) -> Priority:
    """Returns the priority that earlier builds know for a rank."""
    is_batch = rank >= LEAST_URGENT_RANK
    return Priority.BATCH if is_batch else Priority.URGENT


def relative(rank: int) -> float:
    """Returns 0 for the most urgent rank, 1 for the least urgent one."""
    bounded = min(LEAST_URGENT_RANK, max(MOST_URGENT_RANK, rank))
    return bounded / LEAST_URGENT_RANK


def placement_weight(rank: int) -> float:
    """Returns the weight of a rank's demand for models and adapters."""
    return 1 - (1 - LEAST_URGENT_WEIGHT) * relative(rank)
