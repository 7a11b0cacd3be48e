"""Limits that backend servers state in their responses, as heard by one entry."""

from cassiapitch.types import LifeId


class SendLimits:
    """The last limit that each incarnation of a backend server stated to this entry."""

    def __init__(self) -> None:
        self._heard_per_s: dict[LifeId, float] = {}

    def is_limited(self, life_id: LifeId) -> bool:
        """Returns whether an incarnation has a limit that this entry knows."""
        return life_id in self._heard_per_s

    def record_statement(self, life_id: LifeId, requests_per_s: float | None) -> bool:
        """Records what a response stated; returns whether it differs from the last one.

        Args:
            life_id: The incarnation that responded.
            requests_per_s: Its limit; None if it states none.
        """
        if self._heard_per_s.get(life_id) == requests_per_s:
            return False
        if requests_per_s is None:
            del self._heard_per_s[life_id]
        else:
            self._heard_per_s[life_id] = requests_per_s
        return True

    def retain_only(self, life_ids: set[LifeId]) -> None:
        """Removes the state of incarnations that are no longer in the view."""
        self._heard_per_s = {
            life_id: requests_per_s
            for life_id, requests_per_s in self._heard_per_s.items()
            if life_id in life_ids
        }
