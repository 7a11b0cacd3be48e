"""Estimates the time to first token of a prompt at each engine.

An engine processes prompts (prefill) one after the other, so that during bursts of long
prompts its number of free slots says little. A prompt behind a long backlog costs
engine time although its caller disconnects before the first token. The estimate is the
engine's backlog of prompt tokens divided by the prefill speed of its recent answers.
"""

import collections
import dataclasses
from collections.abc import Callable

from cassiapitch.types import LifeId

# Weight of the newest answer in the moving average of the speed.
SPEED_SAMPLE_WEIGHT = 0.25
# The same for the error of expected times.
ERROR_SAMPLE_WEIGHT = 0.1
# Time to first token that is independent of the backlog: network and first step.
FIXED_OVERHEAD_MS = 20
# A prompt is sent only if its first token is expected within this share of the limit,
# because estimates are not exact.
FIRST_TOKEN_LIMIT_SHARE = 0.85
MIN_TOKENS_PER_MS = 0.5
MAX_TOKENS_PER_MS = 200.0


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """A first token that was received.

    Attributes:
        life_id: The engine's incarnation.
        model: The requested model; empty if there is none.
        ahead_tokens: Prompt tokens that were pending ahead of the prompt, as far as
            this entry knew of them.
        own_tokens: Tokens of the prompt that the engine had to process.
        elapsed_ms: Time to the first token, without the fixed overhead.
        may_be_kept: Whether an engine may have had a part of the prompt in its cache.
    """

    life_id: LifeId
    model: str
    ahead_tokens: float
    own_tokens: int
    elapsed_ms: int
    may_be_kept: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Sent:
    """A prompt as it was sent, with the backlog in front of it."""

    backlog: float
    sent_ms: int
    model: str
    may_be_kept: bool


@dataclasses.dataclass(slots=True)
class _EngineState:
    """Prefill backlog and speed of one engine.

    Attributes:
        own_tokens: Prompt tokens of this entry's requests without a first byte yet, by
            request.
        own_ranks: Their priority ranks.
        other_entries_tokens: Pending prompt tokens of other entries at `reported_ms`.
        own_tokens_at_report: Pending prompt tokens of this entry at `reported_ms`.
        reported_ms: Time of the last report.
        tokens_per_ms: Moving average of the prefill speed; None before the first
            answer.
        sent: The pending requests of this entry as they were sent.
    """

    own_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    own_ranks: dict[str, int] = dataclasses.field(default_factory=dict)
    other_entries_tokens: float = 0.0
    own_tokens_at_report: int = 0
    reported_ms: int = 0
    tokens_per_ms: float | None = None
    sent: dict[str, _Sent] = dataclasses.field(default_factory=dict)


def is_first_token_in_time(expected_ms: float, limit_ms: float) -> bool:
    """Returns whether a first token is expected within its limit, with a margin."""
    return expected_ms <= FIRST_TOKEN_LIMIT_SHARE * limit_ms


class PrefillEstimates:
    """Prefill backlogs and speeds of all engines, as seen by one entry.

    Attributes:
        mean_error_ms: Moving average of how far first tokens were from the expectation
            when they were sent.
    """

    def __init__(
        self,
        shared_tokens_per_ms: Callable[[LifeId, int], float | None] = (
            lambda life_id, now_ms: None
        ),
        on_first_token: Callable[[FirstToken, int], None] = (
            lambda first_token, now_ms: None
        ),
    ) -> None:
        """Starts without any speed.

        Args:
            shared_tokens_per_ms: Returns the speed that all entries together measured,
                which takes precedence over this entry's own; None if there is none.
            on_first_token: Called with each first token and the current time.
        """
        self._shared_tokens_per_ms = shared_tokens_per_ms
        self._on_first_token = on_first_token
        self._engines: dict[LifeId, _EngineState] = {}
        self._average_tokens_per_ms: float | None = None
        self.mean_error_ms = 0.0
        self._served_tokens: dict[LifeId, int] = {}

    def prompt_sent(
        self,
        life_id: LifeId,
        request: str,
        tokens: int,
        now_ms: int,
        model: str = "",
        rank: int = 0,
        *,
        may_be_kept: bool = False,
    ) -> None:
        """Adds a request whose prompt the engine has to process.

        Args:
            life_id: The engine's incarnation.
            request: The request.
            tokens: Prompt tokens that the engine has to process.
            now_ms: The current time.
            model: The requested model; empty if there is none.
            rank: Its priority rank, 0 first.
            may_be_kept: Whether engines may have a part of the prompt in their caches.
        """
        engine = self._engines.setdefault(life_id, _EngineState())
        engine.sent[request] = _Sent(
            self._backlog(life_id, engine, now_ms), now_ms, model, may_be_kept
        )
        engine.own_tokens[request] = tokens
        engine.own_ranks[request] = rank

    def take_served_tokens(self) -> dict[LifeId, int]:
        """Returns the prompt tokens whose first token has come since the last call."""
        served, self._served_tokens = self._served_tokens, {}
        return served

    def first_byte_received(self, life_id: LifeId, request: str, now_ms: int) -> None:
        """Updates the engine's speed on the first byte of an answer."""
        engine = self._engines.get(life_id)
        if engine is None or request not in engine.own_tokens:
            return
        tokens = engine.own_tokens.pop(request)
        del engine.own_ranks[request]
        self._served_tokens[life_id] = self._served_tokens.get(life_id, 0) + tokens
        sent = engine.sent.pop(request)
        backlog = sent.backlog
        elapsed_ms = max(1, now_ms - sent.sent_ms - FIXED_OVERHEAD_MS)
        if tokens_per_ms := self._tokens_per_ms(life_id, engine, now_ms):
            error_ms = abs(elapsed_ms - (backlog + tokens) / tokens_per_ms)
            self.mean_error_ms += ERROR_SAMPLE_WEIGHT * (error_ms - self.mean_error_ms)
        self._on_first_token(
            FirstToken(
                life_id, sent.model, backlog, tokens, elapsed_ms, sent.may_be_kept
            ),
            now_ms,
        )
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
            engine.sent.pop(request, None)
            engine.own_ranks.pop(request, None)

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

    def pending_by_rank(self, life_id: LifeId) -> tuple[tuple[int, int], ...]:
        """Returns `pending_tokens` by rank, as pairs."""
        engine = self._engines.get(life_id)
        if engine is None:
            return ()
        totals: collections.Counter[int] = collections.Counter()
        for request, tokens in engine.own_tokens.items():
            totals[engine.own_ranks[request]] += tokens
        return tuple(sorted(totals.items()))

    def own_tokens_per_s(self, life_id: LifeId) -> int:
        """Returns the speed by this entry's own answers, 0 if not known."""
        engine = self._engines.get(life_id)
        return 0 if engine is None else int(1_000 * (engine.tokens_per_ms or 0.0))

    def expected_ms(self, life_id: LifeId, tokens: int, now_ms: int) -> float:
        """Returns the expected time to first token; 0 before any speed is known."""
        engine = self._engines.get(life_id)
        tokens_per_ms = self._tokens_per_ms(life_id, engine, now_ms)
        if tokens_per_ms is None:
            return 0.0
        backlog = 0.0 if engine is None else self._backlog(life_id, engine, now_ms)
        return FIXED_OVERHEAD_MS + (backlog + tokens) / tokens_per_ms

    def backlog_ms(self, life_id: LifeId, now_ms: int) -> float:
        """Returns the time that an engine needs for its backlog, 0 if not known."""
        engine = self._engines.get(life_id)
        if engine is None:
            return 0.0
        tokens_per_ms = self._tokens_per_ms(life_id, engine, now_ms)
        if not tokens_per_ms:
            return 0.0
        return self._backlog(life_id, engine, now_ms) / tokens_per_ms

    def has_backlog(self, life_id: LifeId) -> bool:
        """Returns whether any prompt was pending at the last report or is since."""
        engine = self._engines.get(life_id)
        return engine is not None and bool(
            engine.own_tokens or engine.other_entries_tokens
        )

    def forget_engine(self, life_id: LifeId) -> None:
        """Removes the state of an engine that is gone."""
        self._engines.pop(life_id, None)

    def _tokens_per_ms(
        self, life_id: LifeId, engine: _EngineState | None, now_ms: int
    ) -> float | None:
        own = None if engine is None else engine.tokens_per_ms
        shared = self._shared_tokens_per_ms(life_id, now_ms)
        return shared or own or self._average_tokens_per_ms

    def _backlog(self, life_id: LifeId, engine: _EngineState, now_ms: int) -> float:
        tokens_per_ms = self._tokens_per_ms(life_id, engine, now_ms) or 0.0
        drained_tokens = tokens_per_ms * max(0, now_ms - engine.reported_ms)
        other_entries_backlog = max(0.0, engine.other_entries_tokens - drained_tokens)
        return sum(engine.own_tokens.values()) + other_entries_backlog


def _moving_average(old: float | None, sample: float) -> float:
    return sample if old is None else old + SPEED_SAMPLE_WEIGHT * (sample - old)
