"""Estimates how long an engine takes until it has read a prompt.

Answers bursts of long prompts. An engine reads one prompt after the other, so that its
slots say little, and a prompt behind a long backlog costs its engine time although its
caller leaves before the first token. The estimate is the backlog of prompt tokens at
the engine by the speed that its recent answers show.
"""

import dataclasses

from cassiapitch.types import LifeId

# Weight of the newest answer in the learned speed.
SPEED_WEIGHT = 0.25
# Part of an answer's time that does not grow with the backlog: network and first step.
FIXED_MS = 20
# Share of a caller's patience up to which a prompt is sent; estimates are not exact.
FIRST_TOKEN_LIMIT_SHARE = 0.85
SPEED_LEAST = 0.5
SPEED_MOST = 200.0


@dataclasses.dataclass(slots=True)
class _Life:
    """What is known of one engine.

    Attributes:
        own: Prompt tokens of this entry's requests without an answer yet, by request.
        others_tokens: Those of other entries at `reported_ms`.
        own_at_report: This entry's at that time.
        reported_ms: When the others' were reported.
        speed: Learned prompt tokens per millisecond; None before the first answer.
        backlogs: Backlog before each own request, and when it was sent.
    """

    own: dict[str, int] = dataclasses.field(default_factory=dict)
    others_tokens: float = 0.0
    own_at_report: int = 0
    reported_ms: int = 0
    speed: float | None = None
    backlogs: dict[str, tuple[float, int]] = dataclasses.field(default_factory=dict)


def begins_in_time(expected_ms: float, limit_ms: float) -> bool:
    """Tells whether a first token is expected well before its caller leaves."""
    return expected_ms <= FIRST_TOKEN_LIMIT_SHARE * limit_ms


class PrefillEstimates:
    """Backlogs and speeds of engines as one entry sees them."""

    def __init__(self) -> None:
        self._lives: dict[LifeId, _Life] = {}
        self._usual_speed: float | None = None

    def prompt_sent(
        self, life_id: LifeId, request: str, tokens: int, now_ms: int
    ) -> None:
        """Notes a request whose prompt the engine has to read."""
        life = self._lives.setdefault(life_id, _Life())
        life.backlogs[request] = (self._backlog(life, now_ms), now_ms)
        life.own[request] = tokens

    def first_byte_received(self, life_id: LifeId, request: str, now_ms: int) -> None:
        """Learns from the first byte of an answer."""
        life = self._lives.get(life_id)
        if life is None or request not in life.own:
            return
        tokens = life.own.pop(request)
        backlog, sent_ms = life.backlogs.pop(request)
        took_ms = max(1, now_ms - sent_ms - FIXED_MS)
        sample = min(SPEED_MOST, max(SPEED_LEAST, (backlog + tokens) / took_ms))
        life.speed = _average(life.speed or self._usual_speed, sample)
        self._usual_speed = _average(self._usual_speed, sample)

    def forget_request(self, life_id: LifeId, request: str) -> None:
        """Forgets a request that got no answer."""
        life = self._lives.get(life_id)
        if life is not None:
            life.own.pop(request, None)
            life.backlogs.pop(request, None)

    def report(self, life_id: LifeId, total_tokens: int, now_ms: int) -> None:
        """Takes the sum over all entries, this one included."""
        life = self._lives.setdefault(life_id, _Life())
        own = sum(life.own.values())
        included = min(own, life.own_at_report)
        life.others_tokens = max(0.0, total_tokens - included)
        life.own_at_report = own
        life.reported_ms = now_ms

    def pending_tokens(self, life_id: LifeId) -> int:
        """Returns the prompt tokens of own requests without an answer yet."""
        life = self._lives.get(life_id)
        return 0 if life is None else sum(life.own.values())

    def expected_ms(self, life_id: LifeId, tokens: int, now_ms: int) -> float:
        """Returns the expected time to the first token; 0 before anything is known."""
        life = self._lives.get(life_id)
        speed = self._usual_speed if life is None else life.speed or self._usual_speed
        if speed is None:
            return 0.0
        backlog = 0.0 if life is None else self._backlog(life, now_ms)
        return FIXED_MS + (backlog + tokens) / speed

    def forget(self, life_id: LifeId) -> None:
        """Forgets an engine that is gone."""
        self._lives.pop(life_id, None)

    def _backlog(self, life: _Life, now_ms: int) -> float:
        speed = life.speed or self._usual_speed or 0.0
        drained = speed * max(0, now_ms - life.reported_ms)
        others = max(0.0, life.others_tokens - drained)
        return sum(life.own.values()) + others


def _average(old: float | None, sample: float) -> float:
    return sample if old is None else old + SPEED_WEIGHT * (sample - old)
