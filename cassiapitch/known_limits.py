"""Limits on requests that one entry knows, from responses and from the view.

The entry that hears a limit heeds it at once; the others get it with the view. What
was heard is kept until the view shows its effect.
"""

from collections.abc import Iterable, Mapping

from cassiapitch.send_permits import Limited
from cassiapitch.types import LifeId
from cassiapitch.viewitems import BackendItem


class KnownLimits:
    """What is known of each incarnation that is limited or paced.

    Attributes:
        by_life: Limits and unused permits by incarnation.
    """

    def __init__(self) -> None:
        self.by_life: dict[LifeId, Limited] = {}

    def is_cold(self, life_id: LifeId) -> bool:
        """Returns whether an incarnation is limited because it is cold."""
        limited = self.by_life.get(life_id)
        in_force = None if limited is None else limited.in_force
        return in_force is not None and in_force.is_cold

    def is_paced(self, life_id: LifeId) -> bool:
        """Returns whether an incarnation is limited because prompts are paced."""
        limited = self.by_life.get(life_id)
        return limited is not None and limited.is_only_paced

    def known_index(self, life_id: LifeId) -> int:
        """Returns the index of the limit in the view, or 0 if there is none."""
        limited = self.by_life.get(life_id)
        if limited is None or limited.in_force is None:
            return 0
        return limited.in_force.index

    def set_paced(self, paced: Mapping[LifeId, str]) -> bool:
        """Takes over which incarnations the leader paces; returns if that changed.

        Args:
            paced: Names of the backend servers by incarnation.
        """
        before = {
            life_id for life_id, limited in self.by_life.items() if limited.is_paced
        }
        for life_id in before - paced.keys():
            self.by_life[life_id].is_paced = False
        for life_id, name in paced.items():
            self.by_life.setdefault(life_id, Limited(name)).is_paced = True
        self._drop_unlimited()
        return before != paced.keys()

    def record_statement(
        self,
        backend: BackendItem,
        requests_per_s: float | None,
        known_index: int,
    ) -> bool:
        """Records what a response stated; returns whether it has to be reported.

        Args:
            backend: The backend server that responded.
            requests_per_s: The stated limit; None if the response states none.
            known_index: `known_index` when the request was sent.
        """
        limited = self.by_life.get(backend.life_id)
        in_force = None if limited is None else limited.in_force
        if limited is not None and in_force is not None and in_force.is_cold:
            # The view shows the lower limit only, so that each response might seem to
            # state a new one. Only announcements end the cold limit.
            is_new = requests_per_s not in (None, limited.reported_per_s)
            if is_new:
                limited.reported_per_s = requests_per_s
            return is_new
        if requests_per_s is None:
            return in_force is not None and known_index >= in_force.index
        if in_force is not None and in_force.requests_per_s == requests_per_s:
            return False
        if limited is None:
            limited = self.by_life[backend.life_id] = Limited(backend.name)
        limited.heard_per_s = requests_per_s
        limited.heard_until_index = None
        return True

    def report_recorded(self, life_id: LifeId, index: int, view_index: int) -> bool:
        """Records that a view of `index` shows the effect of what was reported.

        Returns:
            Whether anything heard was reported, so that limits may have ended.
        """
        limited = self.by_life.get(life_id)
        if limited is None or limited.heard_per_s is None:
            return False
        limited.heard_until_index = index
        self._forget_shown(view_index)
        return True

    def update(self, backends: Iterable[BackendItem], view_index: int) -> None:
        """Takes over the limits of the view."""
        life_ids = set[LifeId]()
        for backend in backends:
            life_ids.add(backend.life_id)
            if backend.limit is not None:
                limited = self.by_life.setdefault(
                    backend.life_id, Limited(backend.name)
                )
                limited.in_force = backend.limit
                if not backend.limit.is_cold:
                    limited.reported_per_s = None
            elif (known := self.by_life.get(backend.life_id)) is not None:
                known.in_force = None
        self.by_life = {
            life_id: limited
            for life_id, limited in self.by_life.items()
            if life_id in life_ids
        }
        self._forget_shown(view_index)

    def drop_expired_permits(self, now_ms: int) -> None:
        """Drops permits that may not be used any more."""
        for limited in self.by_life.values():
            limited.permits = [
                permit for permit in limited.permits if now_ms <= permit.until_ms
            ]

    def _forget_shown(self, view_index: int) -> None:
        """Forgets heard limits that the view shows, and what isn't limited any more."""
        for limited in self.by_life.values():
            shown_index = limited.heard_until_index
            if shown_index is not None and view_index >= shown_index:
                limited.heard_per_s = limited.heard_until_index = None
        self._drop_unlimited()

    def _drop_unlimited(self) -> None:
        self.by_life = {
            life_id: limited
            for life_id, limited in self.by_life.items()
            if limited.has_limit or limited.is_paced
        }
