"""Collects what an entry sees of backend servers' answers between two reports.

The leader combines the samples of all entries, see `backend_speeds`: one entry alone
sees too few answers of an incarnation to measure its speed.
"""

import dataclasses
from collections.abc import Collection

from cassiapitch.load_messages import AnswerSample
from cassiapitch.load_report_queue import life_tag
from cassiapitch.prefill import FirstToken
from cassiapitch.types import LifeId

# Samples in one report, and in a second. A sample takes about 48 bytes, so that samples
# add at most 0.5 kB/s to an entry's reports.
REPORT_LIMIT_COUNT = 12
SAMPLES_PER_S = 10
# Samples that waited for a report for longer than this describe the past and are
# dropped.
SAMPLE_LIFETIME_MS = 3_000
# Without anything else to report, samples are sent only if they hold at least this many
# answers, gaps or rejections: light load causes no additional messages.
REPORT_ALONE_COUNT = 32
# A longer pause says more about the request or the path than about the server's speed.
LONGEST_SAMPLE_MS = 60_000


@dataclasses.dataclass(slots=True)
class _Sums:
    """Sums over answers to requests for one model at one incarnation.

    The fields are those of `AnswerSample`.
    """

    since_ms: int
    answers_count: int = 0
    prefill_tokens: int = 0
    prefill_ms: int = 0
    gaps_count: int = 0
    gaps_ms: int = 0
    rejections_count: int = 0
    plain_count: int = 0
    plain_ms: int = 0
    in_flight_sum: int = 0
    own_tokens: int = 0
    kept_count: int = 0

    @property
    def count(self) -> int:
        """Number of observations."""
        return (
            self.answers_count
            + self.gaps_count
            + self.rejections_count
            + self.plain_count
        )


class AnswerSamples:
    """What one entry saw of each incarnation and model since its last report.

    Attributes:
        is_enabled: Whether anything is recorded.
    """

    def __init__(self, *, is_enabled: bool = True) -> None:
        """Starts without samples.

        Args:
            is_enabled: Whether samples are reported; otherwise nothing is recorded,
                which would cost processor time with each event of a stream.
        """
        self.is_enabled = is_enabled
        self._sums: dict[tuple[LifeId, str], _Sums] = {}
        self._taken_ms = 0
        self._allowed_count = float(REPORT_LIMIT_COUNT)

    def record_first_token(self, first_token: FirstToken, now_ms: int) -> None:
        """Records a first token."""
        if not self.is_enabled:
            return
        sums = self._sums_of(first_token.life_id, now_ms, first_token.model)
        sums.answers_count += 1
        sums.prefill_tokens += int(first_token.ahead_tokens) + first_token.own_tokens
        sums.own_tokens += first_token.own_tokens
        sums.prefill_ms += min(LONGEST_SAMPLE_MS, first_token.elapsed_ms)
        sums.kept_count += first_token.may_be_kept

    def record_events(
        self,
        life_id: LifeId,
        events_count: int,
        gap_ms: int,
        in_flight_count: int,
        now_ms: int,
        model: str = "",
    ) -> None:
        """Records events of a stream that arrived together after a pause.

        Args:
            life_id: The incarnation.
            events_count: Number of events.
            gap_ms: Time since the previous event.
            in_flight_count: Requests in flight at the incarnation, of all entries.
            now_ms: The current time.
            model: The requested model; empty if there is none.
        """
        if not self.is_enabled:
            return
        sums = self._sums_of(life_id, now_ms, model)
        sums.gaps_count += events_count
        sums.gaps_ms += min(LONGEST_SAMPLE_MS, gap_ms)
        sums.in_flight_sum += events_count * in_flight_count

    def record_plain_answer(
        self, life_id: LifeId, answer_ms: int, in_flight_count: int, now_ms: int
    ) -> None:
        """Records the answer to a request without a prompt and without a stream."""
        if not self.is_enabled:
            return
        sums = self._sums_of(life_id, now_ms)
        sums.plain_count += 1
        sums.plain_ms += min(LONGEST_SAMPLE_MS, answer_ms)
        sums.in_flight_sum += in_flight_count

    def record_rejection(self, life_id: LifeId, now_ms: int) -> None:
        """Records that an incarnation had no room for a request."""
        if not self.is_enabled:
            return
        self._sums_of(life_id, now_ms).rejections_count += 1

    def take(self, now_ms: int, *, is_alone: bool) -> tuple[AnswerSample, ...]:
        """Removes and returns the samples for the next report.

        Those with the most observations come first; the others wait for the next one.

        Args:
            now_ms: The current time.
            is_alone: Whether the report would not be sent without samples.
        """
        self._sums = {
            key: sums
            for key, sums in self._sums.items()
            if now_ms - sums.since_ms < SAMPLE_LIFETIME_MS
        }
        if is_alone and (
            sum(sums.count for sums in self._sums.values()) < REPORT_ALONE_COUNT
        ):
            return ()
        elapsed_ms = now_ms - self._taken_ms
        self._taken_ms = now_ms
        allowed = self._allowed_count + SAMPLES_PER_S * elapsed_ms / 1_000
        self._allowed_count = min(float(REPORT_LIMIT_COUNT), allowed)
        by_count = sorted(self._sums, key=lambda key: -self._sums[key].count)
        taken = by_count[: int(self._allowed_count)]
        self._allowed_count -= len(taken)
        return tuple(_sample(*key, self._sums.pop(key)) for key in taken)

    def retain_only(self, life_ids: Collection[LifeId]) -> None:
        """Removes the samples of incarnations that are no longer in the view."""
        for key in [key for key in self._sums if key[0] not in life_ids]:
            del self._sums[key]

    def _sums_of(self, life_id: LifeId, now_ms: int, model: str = "") -> _Sums:
        key = life_id, model
        sums = self._sums.get(key)
        if sums is None:
            sums = self._sums[key] = _Sums(now_ms)
        return sums


def _sample(life_id: LifeId, model: str, sums: _Sums) -> AnswerSample:
    return AnswerSample(
        life_id,
        sums.answers_count,
        sums.prefill_tokens,
        sums.prefill_ms,
        sums.gaps_count,
        sums.gaps_ms,
        sums.rejections_count,
        sums.plain_count,
        sums.plain_ms,
        sums.in_flight_sum,
        sums.own_tokens,
        life_tag(model) if model else 0,
        sums.kept_count,
    )
