"""Says why models and adapters that requests wait for aren't loaded."""

import dataclasses

# Items of one log line, those that have waited for longest and those in most demand.
ITEMS_LIMIT_COUNT = 8
BUSIEST_LIMIT_COUNT = 3
# Time between two log lines, and the wait from which an item is named.
PERIOD_MS = 2_000
LONG_WAIT_MS = 1_500


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """A model or adapter without a copy, and why the last round ordered none.

    Attributes:
        name: Its name.
        age_ms: How long requests have waited for it.
        reason: `planned` (an engine frees memory), `no_engine`, `model_not_loaded` (of
            an adapter), `engines_busy` (with other orders), `store_limit`, `no_slot`
            (for an adapter) or `no_memory`.
        tokens_per_s: Recent demand for it.
    """

    name: str
    age_ms: int
    reason: str
    tokens_per_s: int = 0


def busiest(waits: list[Wait]) -> list[Wait]:
    """Returns the waits in most demand, however long they last."""
    return sorted(waits, key=lambda wait: -wait.tokens_per_s)[:BUSIEST_LIMIT_COUNT]


class WaitLog:
    """Chooses the waits to log, at most once in `PERIOD_MS`."""

    def __init__(self) -> None:
        self._next_ms = 0

    def due(self, waits: list[Wait], now_ms: int) -> list[Wait]:
        """Returns the long waits to log now, the longest first."""
        if now_ms < self._next_ms:
            return []
        long_waits = [wait for wait in waits if wait.age_ms >= LONG_WAIT_MS]
        if long_waits:
            self._next_ms = now_ms + PERIOD_MS
        long_waits.sort(key=lambda wait: -wait.age_ms)
        return long_waits[:ITEMS_LIMIT_COUNT]
