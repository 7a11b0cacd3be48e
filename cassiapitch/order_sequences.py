"""How many orders each engine has accepted, as far as this member knows.

An engine's report may be some hundred milliseconds old. The next order would then be
rejected, since it states the number of orders that the engine had accepted before.
"""

import collections

from cassiapitch.types import LifeId

LIVES_LIMIT_COUNT = 8_192


class OrderSequences:
    """Numbers of accepted orders by incarnation; those that came last are kept."""

    def __init__(self) -> None:
        self._accepted: collections.OrderedDict[LifeId, int] = collections.OrderedDict()

    def next_expected(self, life_id: LifeId, reported: int) -> int:
        """Returns the number of accepted orders, given the engine's report."""
        return max(reported, self._accepted.get(life_id, 0))

    def order_accepted(self, life_id: LifeId, expected: int) -> None:
        """Records that an order that stated this number was accepted."""
        self._accepted[life_id] = expected + 1
        self._accepted.move_to_end(life_id)
        if len(self._accepted) > LIVES_LIMIT_COUNT:
            self._accepted.popitem(last=False)

    def forget(self, life_id: LifeId) -> None:
        """Falls back on reports: an order may or may not have been accepted."""
        self._accepted.pop(life_id, None)
