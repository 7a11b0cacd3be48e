"""Collects what came of an experiment's calls and computes the measures."""

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
LONGEST_MS = 3_600_000
# Calls that are listed one by one, to be found in the logs of the processes.
LISTED_COUNT = 500
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_MS, 3)


@dataclasses.dataclass(slots=True)
class _Group:
    """Counts and times of one account's or one class's calls.

    Attributes:
        offered: Calls that were sent.
        within_rate: Calls that the reference bucket admits.
        attained: Calls that were answered whole within their deadlines.
        admissible_tokens: Tokens of the calls that the reference bucket admits.
        served_tokens: Tokens of the answered calls.
        endings: Calls by how they ended.
        refused_within: Wrongful refusals by code.
        refused_beyond: All other refusals by code.
        first_token: Times to the first token or the whole answer.
        token_gap: Times between tokens.
        whole: Times to the whole answer.
    """

    offered: int = 0
    within_rate: int = 0
    attained: int = 0
    admissible_tokens: int = 0
    served_tokens: int = 0
    endings: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_within: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    refused_beyond: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    first_token: HdrHistogram = dataclasses.field(default_factory=_histogram)
    token_gap: HdrHistogram = dataclasses.field(default_factory=_histogram)
    whole: HdrHistogram = dataclasses.field(default_factory=_histogram)

    def add(self, result: CallResult, at_ms: int, within: bool, attained: bool) -> None:
        """Adds one call."""
        self.offered += 1
        self.within_rate += within
        self.attained += attained
        self.endings[result.ending] += 1
        if result.first_ms is not None:
            _record(self.first_token, result.first_ms - at_ms)
        for gap_ms in result.gaps_ms:
            _record(self.token_gap, gap_ms)
        if result.ending is Ending.ANSWERED:
            _record(self.whole, result.end_ms - at_ms)

    def attained_within(self) -> int:
        """Returns the attained calls, at most as many as the rate admits.

        Of an account that sends more than its rate the system may serve other calls
        than the reference bucket admits, so that only their number compares.
        """
        return min(self.attained, self.within_rate)

    def attainment(self) -> float | None:
        """Returns the share of admissible calls that were attained."""
        return self.attained_within() / self.within_rate if self.within_rate else None

    def document(self) -> dict[str, Any]:
        """Returns the group for the result file."""
        return {
            "offered_count": self.offered,
            "within_rate_count": self.within_rate,
            "attained_count": self.attained,
            "admissible_tokens": self.admissible_tokens,
            "served_tokens": self.served_tokens,
            "attainment": self.attainment(),
            "endings": dict(self.endings),
            "refused_within_rate": dict(self.refused_within),
            "refused_beyond_rate": dict(self.refused_beyond),
            "first_token_ms": _percentiles(self.first_token),
            "token_gap_ms": _percentiles(self.token_gap),
            "whole_answer_ms": _percentiles(self.whole),
        }


def _record(histogram: HdrHistogram, value_ms: int) -> None:
    histogram.record_value(min(max(value_ms, 1), LONGEST_MS))


def _percentiles(histogram: HdrHistogram) -> dict[str, int] | None:
    if histogram.get_total_count() == 0:
        return None
    values = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
    return {**values, "max": histogram.get_max_value()}


class Collector:
    """Takes calls as they are sent and as they end."""

    def __init__(self, experiment: Experiment) -> None:
        self._experiment = experiment
        self._accounts = {item.name: _Group() for item in experiment.accounts}
        self._classes = {item.name: _Group() for item in experiment.classes}
        self._pairs: collections.defaultdict[tuple[str, str], _Group] = (
            collections.defaultdict(_Group)
        )
        self._buckets = {
            item.name: ReferenceBucket(item.rate_tokens_per_s, item.burst_tokens)
            for item in experiment.accounts
        }
        self._charges: dict[int, int | None] = {}
        self._records: dict[str, list[RateRecord]] = {
            item.name: [] for item in experiment.accounts
        }
        # Each refused call and whether the reference bucket admits it.
        self._refusals: list[tuple[PlannedCall, CallResult, bool]] = []
        self._listed: list[dict[str, Any]] = []
        self._series: dict[str, collections.Counter[int]] = {
            name: collections.Counter()
            for name in ("offered", "answered", "refused", "lost")
        }
        self.integrity: collections.Counter[str] = collections.Counter()
        self.open_count = 0

    def sent(self, call: PlannedCall) -> None:
        """Charges the reference bucket at a call's intended send time."""
        self._charges[call.number] = (
            0
            if call.cost_tokens == 0
            else self._buckets[call.account].charge(call.at_ms, call.cost_tokens)
        )
        self._series["offered"][call.at_ms // 1000] += 1
        self.open_count += 1

    def ended(self, call: PlannedCall, item: CallClass, result: CallResult) -> None:
        """Adds a call that `sent` was called for."""
        self.open_count -= 1
        charge = self._charges.pop(call.number)
        within = charge is not None
        unused_tokens = _unused_tokens(call, result)
        if charge is not None and unused_tokens:
            bucket = self._buckets[call.account]
            bucket.refund(result.end_ms, charge, unused_tokens)
        self._record(call, result, unused_tokens, within)
        attained = is_attained(call, item, result)
        for group in self._groups(call):
            group.add(result, call.at_ms, within, attained)
            used_tokens = call.cost_tokens - unused_tokens
            group.admissible_tokens += used_tokens if within else 0
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

    def _groups(self, call: PlannedCall) -> tuple[_Group, _Group, _Group]:
        return (
            self._accounts[call.account],
            self._classes[call.class_name],
            self._pairs[call.account, call.class_name],
        )

    def _record(
        self, call: PlannedCall, result: CallResult, unused_tokens: int, within: bool
    ) -> None:
        is_refused = result.ending is Ending.REFUSED
        if is_refused:
            self._refusals.append((call, result, within))
        elif result.ending is not Ending.ANSWERED or result.is_text_wrong:
            self._list(call, result)
        if call.cost_tokens:
            record = RateRecord(
                call.number,
                call.at_ms,
                call.cost_tokens,
                is_refused,
                result.end_ms,
                unused_tokens,
            )
            self._records[call.account].append(record)

    def _judge_refusals(self) -> None:
        """Sorts the refusals into those within and those beyond the rate."""
        with_room: set[int] = set()
        for account in self._experiment.accounts:
            bucket = ReferenceBucket(account.rate_tokens_per_s, account.burst_tokens)
            with_room |= find_avoidable_refusals(bucket, self._records[account.name])
        for call, result, within in self._refusals:
            is_wrongful = within and (call.number in with_room or not call.cost_tokens)
            for group in self._groups(call):
                kinds = group.refused_within if is_wrongful else group.refused_beyond
                kinds[result.code] += 1
            if is_wrongful:
                self._list(call, result)
        self._refusals.clear()

    def _list(self, call: PlannedCall, result: CallResult) -> None:
        if len(self._listed) < LISTED_COUNT:
            entry = {
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
            self._listed.append(entry)

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
        """Returns how many calls were sent, are open, and how they ended."""
        totals = {name: counts.total() for name, counts in self._series.items()}
        offered = totals.pop("offered")
        return {"sent": offered, "open": self.open_count, **totals}

    def document(self, standins: dict[str, int]) -> dict[str, Any]:
        """Returns the result file's content.

        Args:
            standins: What the stand-ins' dumps show; empty without stand-ins.
        """
        experiment = self._experiment
        self._judge_refusals()
        return {
            "format": FORMAT_VERSION,
            "experiment": experiment.name,
            "seed": experiment.seed,
            "duration_ms": experiment.duration_ms,
            "accelerators_count": experiment.accelerators_count,
            "measures": self._measures(standins),
            "integrity": {**self.integrity, **standins},
            "accounts": _documents(self._accounts),
            "classes": _documents(self._classes),
            "accounts_and_classes": _documents(
                {
                    f"{account}/{name}": item
                    for (account, name), item in self._pairs.items()
                }
            ),
            "series": {
                name: [counts[second] for second in range(self._seconds())]
                for name, counts in self._series.items()
            },
            "listed_calls": sorted(self._listed, key=lambda item: item["at_ms"]),
            "faults": [dataclasses.asdict(fault) for fault in experiment.faults],
            "shifts": [dataclasses.asdict(shift) for shift in experiment.shifts],
        }

    def _seconds(self) -> int:
        last = max((max(item, default=0) for item in self._series.values()), default=0)
        return last + 1

    def _measures(self, standins: dict[str, int]) -> dict[str, Any]:
        groups = self._accounts
        within = sum(item.within_rate for item in groups.values())
        attained = sum(item.attained_within() for item in groups.values())
        refused = sum(item.refused_within.total() for item in groups.values())
        shares = {
            name: share
            for name, item in groups.items()
            if (share := item.attainment()) is not None
        }
        worst = min(shares, key=lambda name: shares[name], default=None)
        per_second = attained * 1000 / self._experiment.duration_ms
        return {
            "attainment": attained / within if within else None,
            "attained_per_s_and_accelerator": (
                per_second / self._experiment.accelerators_count
            ),
            "model_moves_count": standins.get("model_loads_count"),
            "worst_served_account": worst,
            "worst_served_attainment": None if worst is None else shares[worst],
            "refused_within_rate_count": refused,
            "refused_within_rate_share": refused / within if within else None,
        }


def _documents(groups: dict[str, _Group]) -> dict[str, Any]:
    return {name: group.document() for name, group in sorted(groups.items())}


def _unused_tokens(call: PlannedCall, result: CallResult) -> int:
    # A refused call would have been served by a limiter that sees everything, so
    # only a served call gives back what it did not use.
    if result.ending is not Ending.ANSWERED or not call.answer_tokens:
        return 0
    return max(0, call.answer_tokens - result.tokens)


def is_attained(call: PlannedCall, item: CallClass, result: CallResult) -> bool:
    """Tells whether a call was answered whole within its class's deadlines."""
    if result.ending is not Ending.ANSWERED or result.is_text_wrong:
        return False
    if result.position_faults_count:
        return False
    if result.end_ms - call.at_ms > item.deadline_ms:
        return False
    limit_ms = item.first_token_deadline_ms
    if limit_ms is not None and result.first_ms is not None:
        is_first_late = result.first_ms - call.at_ms > limit_ms
    else:
        is_first_late = False
    if is_first_late:
        return False
    if item.token_gap_deadline_ms is not None and result.gaps_ms:
        mean_ms = sum(result.gaps_ms) / len(result.gaps_ms)
        return mean_ms <= item.token_gap_deadline_ms
    return True


def count_standins(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> dict[str, int]:
    """Counts model moves and broken guarantees in stand-ins' dumps.

    Args:
        before: Dumps from the start of the load; a life that isn't among them
            started later.
        after: Dumps from its end.
    """
    counts: collections.Counter[str] = collections.Counter(
        model_loads_count=0, doubled_runs_count=0, overcommits_count=0
    )
    first = {item["life_id"]: item for item in before}
    for dump in after:
        earlier = first.get(dump["life_id"], {})
        counts["model_loads_count"] += _loads(dump) - _loads(earlier)
        counts["doubled_runs_count"] += len(dump.get("doubled", []))
        counts["overcommits_count"] += len(dump.get("overcommit", []))
    return dict(counts)


def _loads(dump: dict[str, Any]) -> int:
    accepted = [
        order["order_id"]
        for order in dump.get("orders", [])
        if order["kind"] == "load" and order["verdict"] == "accepted"
    ]
    return len(set(accepted))
