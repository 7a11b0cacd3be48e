"""Result of a load run: collects the calls' results and computes the measures."""

import collections
import dataclasses
from typing import Any

from hdrh.histogram import HdrHistogram

from cassiapitch.experiment import CallClass, Experiment
from cassiapitch.loadarrivals import PlannedCall
from cassiapitch.loadcaller import CallResult, Ending
from cassiapitch.referencebucket import (
    RateRecord,
    ReferenceBucket,
    find_avoidable_refusals,
)

FORMAT_VERSION = 1
LONGEST_RECORDED_MS = 3_600_000
# Calls listed individually, so that they can be looked up in the processes' logs.
LISTED_CALLS_LIMIT_COUNT = 500
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_RECORDED_MS, 3)


@dataclasses.dataclass(slots=True)
class _GroupStats:
    """Counts and latencies of the calls of an account, a class or a pair of both.

    Attributes:
        offered_count: Calls that were sent.
        within_rate_count: Calls that the reference bucket admits.
        attained_count: Calls that were answered completely within their deadlines.
        admissible_tokens: Tokens of the calls that the reference bucket admits.
        served_tokens: Tokens of the answered calls.
        endings: Calls by how they ended.
        refused_within_rate: Refusals of calls that the account's rate had room for
            (wrongful refusals), by error code.
        refused_beyond_rate: All other refusals, by error code.
        first_token_ms: Times to the first token or the whole answer.
        token_gap_ms: Times between tokens.
        whole_answer_ms: Times to the whole answer.
    """

    offered_count: int = 0
    within_rate_count: int = 0
    attained_count: int = 0
    admissible_tokens: int = 0
    served_tokens: int = 0
    endings: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_within_rate: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_beyond_rate: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_token_ms: HdrHistogram = dataclasses.field(default_factory=_make_histogram)
    token_gap_ms: HdrHistogram = dataclasses.field(default_factory=_make_histogram)
    whole_answer_ms: HdrHistogram = dataclasses.field(default_factory=_make_histogram)

    def add(
        self, result: CallResult, at_ms: int, is_within_rate: bool, attained: bool
    ) -> None:
        """Adds one call."""
        self.offered_count += 1
        self.within_rate_count += is_within_rate
        self.attained_count += attained
        self.endings[result.ending] += 1
        if result.first_ms is not None:
            _record_ms(self.first_token_ms, result.first_ms - at_ms)
        for gap_ms in result.gaps_ms:
            _record_ms(self.token_gap_ms, gap_ms)
        if result.ending is Ending.ANSWERED:
            _record_ms(self.whole_answer_ms, result.end_ms - at_ms)

    def attained_within_rate_count(self) -> int:
        """Returns the number of attained calls, at most as many as the rate admits.

        If an account sends more than its rate, the system may serve other calls than
        those that the reference bucket admits. Only the numbers are comparable.
        """
        return min(self.attained_count, self.within_rate_count)

    def attainment(self) -> float | None:
        """Returns the share of calls within the rate that were attained, if any."""
        return (
            self.attained_within_rate_count() / self.within_rate_count
            if self.within_rate_count
            else None
        )

    def build_document(self) -> dict[str, Any]:
        """Returns the group's section of the result file."""
        return {
            "offered_count": self.offered_count,
            "within_rate_count": self.within_rate_count,
            "attained_count": self.attained_count,
            "admissible_tokens": self.admissible_tokens,
            "served_tokens": self.served_tokens,
            "attainment": self.attainment(),
            "endings": dict(self.endings),
            "refused_within_rate": dict(self.refused_within_rate),
            "refused_beyond_rate": dict(self.refused_beyond_rate),
            "first_token_ms": _percentiles(self.first_token_ms),
            "token_gap_ms": _percentiles(self.token_gap_ms),
            "whole_answer_ms": _percentiles(self.whole_answer_ms),
        }


def _record_ms(histogram: HdrHistogram, value_ms: int) -> None:
    histogram.record_value(min(max(value_ms, 1), LONGEST_RECORDED_MS))


def _percentiles(histogram: HdrHistogram) -> dict[str, int] | None:
    if histogram.get_total_count() == 0:
        return None
    values = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
    return {**values, "max": histogram.get_max_value()}


class Collector:
    """Collects calls as they are sent and as they end."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._accounts = {item.name: _GroupStats() for item in experiment.accounts}
        self._classes = {item.name: _GroupStats() for item in experiment.classes}
        self._accounts_and_classes: collections.defaultdict[
            tuple[str, str], _GroupStats
        ] = collections.defaultdict(_GroupStats)
        self._buckets = {
            item.name: ReferenceBucket(item.rate_tokens_per_s, item.burst_tokens)
            for item in experiment.accounts
        }
        self._charges: dict[int, int | None] = {}
        self._rate_records: dict[str, list[RateRecord]] = {
            item.name: [] for item in experiment.accounts
        }
        # Each refused call and whether the reference bucket admitted it.
        self._refusals: list[tuple[PlannedCall, CallResult, bool]] = []
        self._listed_calls: list[dict[str, Any]] = []
        self._series: dict[str, collections.Counter[int]] = {
            name: collections.Counter()
            for name in ("offered", "answered", "refused", "lost")
        }
        self.integrity: collections.Counter[str] = collections.Counter()
        self.open_count = 0

    def record_sent(self, call: PlannedCall) -> None:
        """Counts a sent call and charges it to the reference bucket.

        The charge is made at the call's intended send time.
        """
        self._charges[call.number] = (
            0
            if call.cost_tokens == 0
            else self._buckets[call.account].charge(call.at_ms, call.cost_tokens)
        )
        self._series["offered"][call.at_ms // 1000] += 1
        self.open_count += 1

    def record_ended(
        self, call: PlannedCall, call_class: CallClass, result: CallResult
    ) -> None:
        """Adds the result of a call; `record_sent` must have been called for it."""
        self.open_count -= 1
        charge = self._charges.pop(call.number)
        is_within_rate = charge is not None
        unused_tokens = _unused_tokens(call, result)
        if charge is not None and unused_tokens:
            bucket = self._buckets[call.account]
            bucket.refund(result.end_ms, charge, unused_tokens)
        self._record_result(call, result, unused_tokens, is_within_rate)
        attained = is_attained(call, call_class, result)
        for group in self._groups(call):
            group.add(result, call.at_ms, is_within_rate, attained)
            used_tokens = call.cost_tokens - unused_tokens
            group.admissible_tokens += used_tokens if is_within_rate else 0
            group.served_tokens += (
                used_tokens if result.ending is Ending.ANSWERED else 0
            )
        second = result.end_ms // 1000
        if result.ending is Ending.ANSWERED:
            self._series["answered"][second] += 1
        elif result.ending is Ending.REFUSED:
            self._series["refused"][second] += 1
        else:
            self._series["lost"][second] += 1
        self._count_integrity(result)

    def _groups(
        self, call: PlannedCall
    ) -> tuple[_GroupStats, _GroupStats, _GroupStats]:
        return (
            self._accounts[call.account],
            self._classes[call.class_name],
            self._accounts_and_classes[call.account, call.class_name],
        )

    def _record_result(
        self,
        call: PlannedCall,
        result: CallResult,
        unused_tokens: int,
        is_within_rate: bool,
    ) -> None:
        is_refused = result.ending is Ending.REFUSED
        if is_refused:
            self._refusals.append((call, result, is_within_rate))
        elif result.ending is not Ending.ANSWERED or result.is_text_wrong:
            self._list_call(call, result)
        if call.cost_tokens:
            record = RateRecord(
                call.number,
                call.at_ms,
                call.cost_tokens,
                is_refused,
                result.end_ms,
                unused_tokens,
            )
            self._rate_records[call.account].append(record)

    def _classify_refusals(self) -> None:
        """Counts each refusal as within or beyond the rate of its account.

        A refusal within the rate is wrongful: the reference bucket admitted the call
        and, if the call costs tokens, `find_avoidable_refusals` returned its number.
        """
        avoidable_numbers: set[int] = set()
        for account in self._experiment.accounts:
            bucket = ReferenceBucket(account.rate_tokens_per_s, account.burst_tokens)
            avoidable_numbers |= find_avoidable_refusals(
                bucket, self._rate_records[account.name]
            )
        for call, result, is_within_rate in self._refusals:
            is_wrongful = is_within_rate and (
                call.number in avoidable_numbers or not call.cost_tokens
            )
            for group in self._groups(call):
                counts = (
                    group.refused_within_rate
                    if is_wrongful
                    else group.refused_beyond_rate
                )
                counts[result.code] += 1
            if is_wrongful:
                self._list_call(call, result)
        self._refusals.clear()

    def _list_call(self, call: PlannedCall, result: CallResult) -> None:
        if len(self._listed_calls) < LISTED_CALLS_LIMIT_COUNT:
            listed_call = {
                "at_ms": call.at_ms,
                "end_ms": result.end_ms,
                "account": call.account,
                "class": call.class_name,
                "model": call.model,
                "ending": result.ending,
                "code": result.code,
                "tokens": result.tokens,
                "request_id": result.request_id,
            }
            self._listed_calls.append(listed_call)

    def _count_integrity(self, result: CallResult) -> None:
        self.integrity["cut_answers_count"] += result.ending is Ending.CUT
        self.integrity["broken_off_answers_count"] += result.ending is Ending.BROKEN_OFF
        self.integrity["position_faults_count"] += result.position_faults_count
        self.integrity["wrong_texts_count"] += (
            result.is_text_wrong and result.ending is Ending.ANSWERED
        )
        self.integrity["unknown_outcomes_count"] += result.outcome == "unknown"
        self.integrity["unsent_calls_count"] += result.ending is Ending.UNSENT

    def counts(self) -> dict[str, int]:
        """Returns the number of sent and open calls, and of ended calls by result."""
        totals = {name: counts.total() for name, counts in self._series.items()}
        offered = totals.pop("offered")
        return {"sent": offered, "open": self.open_count, **totals}

    def build_document(self, standin_counts: dict[str, int]) -> dict[str, Any]:
        """Returns the content of the result file.

        Args:
            standin_counts: Counts from the stand-ins' dumps; empty without stand-ins.
        """
        experiment = self._experiment
        self._classify_refusals()
        return {
            "format": FORMAT_VERSION,
            "experiment": experiment.name,
            "seed": experiment.seed,
            "duration_ms": experiment.duration_ms,
            "accelerators_count": experiment.accelerators_count,
            "measures": self._measures(standin_counts),
            "integrity": {**self.integrity, **standin_counts},
            "accounts": _build_documents(self._accounts),
            "classes": _build_documents(self._classes),
            "accounts_and_classes": _build_documents(
                {
                    f"{account}/{name}": item
                    for (account, name), item in self._accounts_and_classes.items()
                }
            ),
            "series": {
                name: [counts[second] for second in range(self._series_length_s())]
                for name, counts in self._series.items()
            },
            "listed_calls": sorted(self._listed_calls, key=lambda item: item["at_ms"]),
            "faults": [dataclasses.asdict(fault) for fault in experiment.faults],
            "shifts": [dataclasses.asdict(shift) for shift in experiment.shifts],
        }

    def _series_length_s(self) -> int:
        last_second = max(
            (max(item, default=0) for item in self._series.values()), default=0
        )
        return last_second + 1

    def _measures(self, standin_counts: dict[str, int]) -> dict[str, Any]:
        groups = self._accounts
        total_within_rate_count = sum(
            item.within_rate_count for item in groups.values()
        )
        attained_count = sum(
            item.attained_within_rate_count() for item in groups.values()
        )
        refused_within_rate_count = sum(
            item.refused_within_rate.total() for item in groups.values()
        )
        attainments = {
            name: account_attainment
            for name, item in groups.items()
            if (account_attainment := item.attainment()) is not None
        }
        worst_account = min(
            attainments, key=lambda name: attainments[name], default=None
        )
        attained_per_s = attained_count * 1000 / self._experiment.duration_ms
        return {
            "attainment": attained_count / total_within_rate_count
            if total_within_rate_count
            else None,
            "attained_per_s_and_accelerator": (
                attained_per_s / self._experiment.accelerators_count
            ),
            "model_moves_count": standin_counts.get("model_loads_count"),
            "worst_served_account": worst_account,
            "worst_served_attainment": None
            if worst_account is None
            else attainments[worst_account],
            "refused_within_rate_count": refused_within_rate_count,
            "refused_within_rate_share": refused_within_rate_count
            / total_within_rate_count
            if total_within_rate_count
            else None,
        }


def _build_documents(groups: dict[str, _GroupStats]) -> dict[str, Any]:
    return {name: group.build_document() for name, group in sorted(groups.items())}


def _unused_tokens(call: PlannedCall, result: CallResult) -> int:
    # A limiter with full knowledge would have served a refused call, so only an
    # answered call refunds the tokens that it did not use.
    if result.ending is not Ending.ANSWERED or not call.answer_tokens:
        return 0
    return max(0, call.answer_tokens - result.tokens)


def is_attained(call: PlannedCall, call_class: CallClass, result: CallResult) -> bool:
    """Returns whether a call was answered completely within its class's deadlines."""
    if result.ending is not Ending.ANSWERED or result.is_text_wrong:
        return False
    if result.position_faults_count:
        return False
    if result.end_ms - call.at_ms > call_class.deadline_ms:
        return False
    limit_ms = call_class.first_token_deadline_ms
    if limit_ms is not None and result.first_ms is not None:
        is_first_late = result.first_ms - call.at_ms > limit_ms
    else:
        is_first_late = False
    if is_first_late:
        return False
    if call_class.token_gap_deadline_ms is not None and result.gaps_ms:
        mean_ms = sum(result.gaps_ms) / len(result.gaps_ms)
        return mean_ms <= call_class.token_gap_deadline_ms
    return True


def count_standins(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> dict[str, int]:
    """Counts model loads and broken guarantees in the stand-ins' dumps.

    Args:
        before: Dumps from the start of the load; an incarnation that isn't among
            them started later.
        after: Dumps from the end of the load.
    """
    counts: collections.Counter[str] = collections.Counter(
        model_loads_count=0, doubled_runs_count=0, overcommits_count=0
    )
    before_by_life = {item["life_id"]: item for item in before}
    for dump in after:
        earlier = before_by_life.get(dump["life_id"], {})
        counts["model_loads_count"] += _count_loads(dump) - _count_loads(earlier)
        counts["doubled_runs_count"] += len(dump.get("doubled", []))
        counts["overcommits_count"] += len(dump.get("overcommit", []))
    return dict(counts)


def _count_loads(dump: dict[str, Any]) -> int:
    accepted = [
        order["order_id"]
        for order in dump.get("orders", [])
        if order["kind"] == "load" and order["verdict"] == "accepted"
    ]
    return len(set(accepted))
