"""Decides whether an entry's view is recent enough to serve calls with a key."""

from cassiapitch.messages import (
    ConfirmAsk,
    Confirmed,
)

# A withdrawn key must stop working within 2,000 ms of the response to the operator. A
# confirmation counts from when it was requested, so 200 ms remain to end calls.
FRESHNESS_LIMIT_MS = 1_800
# How long a new call waits for the view to become fresh.
NEW_CALL_WAIT_MS = 400
# An entry whose event loop ran nothing for this long stood still, and may have missed
# what came into force meanwhile. Orders have 2,000 ms to take effect.
STALL_MS = 1_500
# After a stall, an entry that serves with an unconfirmed view waits this long for
# a confirmation before it goes on without one: no control member may be reachable. It
# covers a lost link, which takes 1,000 ms to notice, and attempts at two members.
RECONFIRM_LIMIT_MS = 5_000


class Freshness:
    """Matches confirmations of the view with the times at which they were requested."""

    def __init__(self) -> None:
        self._as_of_ms: int | None = None
        self._applied_index = 0
        self._sequence = 0
        self._requested_ms_by_sequence: dict[int, int] = {}
        # Index and request time of confirmations whose index isn't applied yet.
        self._unapplied: list[tuple[int, int]] = []
        self._alive_ms: int | None = None
        # When the last stall ended; None once a confirmation covers it.
        self._resumed_ms: int | None = None

    @property
    def as_of_ms(self) -> int | None:
        """When the newest confirmation of the applied view was requested."""
        return self._as_of_ms

    def make_ask(self, now_ms: int) -> ConfirmAsk:
        """Returns the next request for a confirmation.

        `now_ms` must be read before the request is sent.
        """
        self._discard_expired(now_ms)
        self._sequence += 1
        self._requested_ms_by_sequence[self._sequence] = now_ms
        return ConfirmAsk(self._sequence)

    def handle_confirmed(self, message: Confirmed) -> None:
        """Handles a confirmation; ignores it if the request is unknown."""
        requested_ms = self._requested_ms_by_sequence.pop(message.sequence, None)
        if requested_ms is None:
            return
        if message.index <= self._applied_index:
            self._advance(requested_ms)
        else:
            self._unapplied.append((message.index, requested_ms))

    def set_applied_index(self, index: int) -> None:
        """Records that the view now reflects the log up to `index`."""
        self._applied_index = max(self._applied_index, index)
        waiting = self._unapplied
        self._unapplied = [item for item in waiting if item[0] > self._applied_index]
        for needed_index, requested_ms in waiting:
            if needed_index <= self._applied_index:
                self._advance(requested_ms)

    def is_fresh(self, now_ms: int) -> bool:
        """Tells whether calls with a key may be served at `now_ms`."""
        return (
            self._as_of_ms is not None and now_ms - self._as_of_ms <= FRESHNESS_LIMIT_MS
        )

    def watch_stalls(self, now_ms: int) -> None:
        """Begins to look for stalls; `record_alive` then has to be called."""
        self._alive_ms = now_ms

    def record_alive(self, now_ms: int) -> int:
        """Records that the event loop runs; call it about once a second.

        Returns:
            How long the entry stood still until now; 0 if it didn't.
        """
        if self._alive_ms is None:
            return 0
        stalled_ms, self._alive_ms = now_ms - self._alive_ms, now_ms
        if stalled_ms < STALL_MS:
            return 0
        self._resumed_ms = now_ms
        return stalled_ms

    def is_reconfirmed(self, now_ms: int) -> bool:
        """Tells whether the view was confirmed since the last stall.

        Also true if no member has confirmed it for `RECONFIRM_LIMIT_MS`.
        """
        if self._resumed_ms is None:
            return True
        is_confirmed = (self._as_of_ms or 0) >= self._resumed_ms
        if not is_confirmed and now_ms - self._resumed_ms < RECONFIRM_LIMIT_MS:
            return False
        self._resumed_ms = None
        return True

    def _advance(self, requested_ms: int) -> None:
        if self._as_of_ms is None or requested_ms > self._as_of_ms:
            self._as_of_ms = requested_ms

    def _discard_expired(self, now_ms: int) -> None:
        """Discards requests and confirmations too old to make the view fresh."""
        oldest_ms = now_ms - FRESHNESS_LIMIT_MS
        self._requested_ms_by_sequence = {
            sequence: requested_ms
            for sequence, requested_ms in self._requested_ms_by_sequence.items()
            if requested_ms >= oldest_ms
        }
        self._unapplied = [item for item in self._unapplied if item[1] >= oldest_ms]
