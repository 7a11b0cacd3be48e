"""Estimates the time to first token of a prompt at each engine.

An engine processes prompts (prefill) one after the other, so that during bursts of long
prompts its number of free slots says little. A prompt behind a long backlog costs
engine time although its caller disconnects before the first token. The estimate is the
engine's backlog of prompt tokens divided by the prefill speed of its recent answers.
"""

import dataclasses

from cassiapitch.types import LifeId

# Weight of the newest answer in the moving average of the speed.
SPEED_SAMPLE_WEIGHT = 0.25
# Time to first token that is independent of the backlog: network and first step.
FIXED_OVERHEAD_MS = 20
# A prompt is sent only if its first token is expected within this share of the limit,
# because estimates are not exact.
FIRST_TOKEN_LIMIT_SHARE = 0.85
MIN_TOKENS_PER_MS = 0.5
MAX_TOKENS_PER_MS = 200.0


@dataclasses.dataclass(slots=True)
class _EngineState:
    """Prefill backlog and speed of one engine.

    Attributes:
        own_tokens: Prompt tokens of this entry's requests without a first byte yet, by
            request.
        other_entries_tokens: Pending prompt tokens of other entries at `reported_ms`.
        own_tokens_at_report: Pending prompt tokens of this entry at `reported_ms`.
        reported_ms: Time of the last report.
        tokens_per_ms: Moving average of the prefill speed; None before the first
            answer.
        sent_backlogs: For each pending request of this entry, the backlog in front of
            it and the time at which it was sent.
    """

    own_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    other_entries_tokens: float = 0.0
    own_tokens_at_report: int = 0
    reported_ms: int = 0
    tokens_per_ms: float | None = None
    sent_backlogs: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )


def is_first_token_in_time(expected_ms: float, limit_ms: float) -> bool:
    """Returns whether a first token is expected within its limit, with a margin."""
    return expected_ms <= FIRST_TOKEN_LIMIT_SHARE * limit_ms


class PrefillEstimates:
    """Prefill backlogs and speeds of all engines, as seen by one entry."""

    def __init__(self) -> None:
        self._engines: dict[LifeId, _EngineState] = {}
        self._average_tokens_per_ms: float | None = None

    def prompt_sent(
        self, life_id: LifeId, request: str, tokens: int, now_ms: int
    ) -> None:
        """Adds a request whose prompt the engine has to process."""
        engine = self._engines.setdefault(life_id, _EngineState())
        engine.sent_backlogs[request] = (self._backlog(engine, now_ms), now_ms)
        engine.own_tokens[request] = tokens

    def first_byte_received(self, life_id: LifeId, request: str, now_ms: int) -> None:
        """Updates the engine's speed on the first byte of an answer."""
        engine = self._engines.get(life_id)
        if engine is None or request not in engine.own_tokens:
            return
        tokens = engine.own_tokens.pop(request)
        backlog, sent_ms = engine.sent_backlogs.pop(request)
        elapsed_ms = max(1, now_ms - sent_ms - FIXED_OVERHEAD_MS)
        sample = min(
            MAX_TOKENS_PER_MS, max(MIN_TOKENS_PER_MS, (backlog + tokens) / elapsed_ms)
        )
        engine.tokens_per_ms = _moving_average(
            engine.tokens_per_ms or self._average_tokens_per_ms, sample
        )
        self._average_tokens_per_ms = _moving_average(
            self._average_tokens_per_ms, sample
        )

    def forget_request(self, life_id: LifeId, request: str) -> None:
        """Removes a request that got no answer."""
        engine = self._engines.get(life_id)
        if engine is not None:
            engine.own_tokens.pop(request, None)
            engine.sent_backlogs.pop(request, None)

    def record_report(self, life_id: LifeId, total_tokens: int, now_ms: int) -> None:
        """Records the pending prompt tokens of all entries, this one included."""
        engine = self._engines.setdefault(life_id, _EngineState())
        own_total = sum(engine.own_tokens.values())
        included = min(own_total, engine.own_tokens_at_report)
        engine.other_entries_tokens = max(0.0, total_tokens - included)
        engine.own_tokens_at_report = own_total
        engine.reported_ms = now_ms

    def pending_tokens(self, life_id: LifeId) -> int:
        """Returns this entry's prompt tokens that wait for a first byte."""
        engine = self._engines.get(life_id)
        return 0 if engine is None else sum(engine.own_tokens.values())

    def expected_ms(self, life_id: LifeId, tokens: int, now_ms: int) -> float:
        """Returns the expected time to first token; 0 before any speed is known."""
        engine = self._engines.get(life_id)
        tokens_per_ms = (
            self._average_tokens_per_ms
            if engine is None
            else engine.tokens_per_ms or self._average_tokens_per_ms
        )
        if tokens_per_ms is None:
            return 0.0
        backlog = 0.0 if engine is None else self._backlog(engine, now_ms)
        return FIXED_OVERHEAD_MS + (backlog + tokens) / tokens_per_ms

    def forget_engine(self, life_id: LifeId) -> None:
        """Removes the state of an engine that is gone."""
        self._engines.pop(life_id, None)

    def _backlog(self, engine: _EngineState, now_ms: int) -> float:
        tokens_per_ms = engine.tokens_per_ms or self._average_tokens_per_ms or 0.0
        drained_tokens = tokens_per_ms * max(0, now_ms - engine.reported_ms)
        other_entries_backlog = max(0.0, engine.other_entries_tokens - drained_tokens)
        return sum(engine.own_tokens.values()) + other_entries_backlog


def _moving_average(old: float | None, sample: float) -> float:
    return sample if old is None else old + SPEED_SAMPLE_WEIGHT * (sample - old)
