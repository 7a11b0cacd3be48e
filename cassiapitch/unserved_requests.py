"""Requests for models and adapters that arrived while no copy served.

Demand alone never gives a copy to a model whose demand is below that of every resident
one. This record gives it a turn once its requests have gone unserved repeatedly.
"""

import dataclasses
from collections.abc import Callable

# A model or adapter that was never served in this term gets a turn after this many
# requests, so that its next request finds a copy.
FIRST_TURN_REQUESTS_COUNT = 2

# One that was served before gets a further turn after this many requests and this many
# times the duration of a repeated load, within these bounds. Turns that follow each
# other faster would spend the engines' time on loads.
NEXT_TURN_REQUESTS_COUNT = 2
NEXT_TURN_LOADS_COUNT = 3
NEXT_TURN_MIN_MS = 4_000
NEXT_TURN_MAX_MS = 24_000

# Without a request for this long, no turn is due, and the earlier requests no longer
# count if the key was served before. Those of a key that was never served do count: it
# may be requested rarely, but each time in vain.
FORGET_AFTER_MS = 30_000


@dataclasses.dataclass(slots=True)
class _Episode:
    """Requests for one key since a copy last served it."""

    first_ms: int
    last_ms: int
    requests_count: int


class UnservedRequests:
    """Requests by ledger key since each was last served; bounded by the keys."""

    def __init__(self) -> None:
        self.next_turn_ms = NEXT_TURN_MAX_MS
        self._episodes: dict[str, _Episode] = {}
        self._served_keys: set[str] = set()

    def set_reload_ms(self, reload_ms: int) -> None:
        """Sets the duration of a repeated load; 0 if unknown."""
        next_turn_ms = NEXT_TURN_LOADS_COUNT * reload_ms or NEXT_TURN_MAX_MS
        self.next_turn_ms = min(NEXT_TURN_MAX_MS, max(NEXT_TURN_MIN_MS, next_turn_ms))

    def add(self, key: str, requests_count: int, now_ms: int) -> None:
        """Adds requests; `mark_served` removes them if a copy serves them."""
        episode = self._episodes.get(key)
        if episode is None or (
            key in self._served_keys and now_ms - episode.last_ms > FORGET_AFTER_MS
        ):
            self._episodes[key] = _Episode(now_ms, now_ms, requests_count)
            return
        episode.last_ms = now_ms
        episode.requests_count += requests_count

    def last_ms(self, key: str) -> int | None:
        """Returns the time of the last request since a copy served, if any."""
        episode = self._episodes.get(key)
        return None if episode is None else episode.last_ms

    def was_served(self, key: str) -> bool:
        """Tells whether a copy served requests for a key in this term."""
        return key in self._served_keys

    def mark_served(self, key: str) -> None:
        """Forgets the requests for a key; a copy has served the last of them."""
        self._episodes.pop(key, None)
        self._served_keys.add(key)

    def due_ms(self, key: str, now_ms: int) -> int | None:
        """Returns how long a key has been unserved if it is due a turn, or None."""
        episode = self._episodes.get(key)
        if episode is None or now_ms - episode.last_ms > FORGET_AFTER_MS:
            return None
        unserved_ms = now_ms - episode.first_ms
        if key not in self._served_keys:
            is_due = episode.requests_count >= FIRST_TURN_REQUESTS_COUNT
        else:
            is_due = (
                episode.requests_count >= NEXT_TURN_REQUESTS_COUNT
                and unserved_ms >= self.next_turn_ms
            )
        return unserved_ms if is_due else None

    def due(self, now_ms: int) -> dict[str, int]:
        """Returns the keys that are due a turn with how long they were unserved."""
        return {
            key: unserved_ms
            for key in self._episodes
            if (unserved_ms := self.due_ms(key, now_ms)) is not None
        }

    def discard_unknown(self, is_known: Callable[[str], bool]) -> None:
        """Drops the keys that a new bundle does not have."""
        self._episodes = {
            key: episode for key, episode in self._episodes.items() if is_known(key)
        }
        self._served_keys = set(filter(is_known, self._served_keys))
