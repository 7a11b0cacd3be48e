"""Prints the bench's results as the tables of docs/MEASUREMENTS.md.

python -m bench.tables FOLDER
"""

import json
import pathlib
import sys
from typing import Any

from bench import plans
from cassiapitch.loadcaller import Ending
from cassiapitch.loadreport import RESULT_NAME, format_value

# The stated targets. They are never adjusted to measured figures.
REFUSALS_LIMITS = {"leader-killed": 0.01}
REFUSALS_LIMIT = 0.001
WORST_SERVED_LIMIT = 0.95

_HEADINGS = (
    "variant",
    "attained per s and accelerator",
    "model moves",
    "attainment",
    "worst-served account within its rate",
    "its attainment",
    "calls within rate",
    "refused within rate",
    "share",
    "kinds",
    "first token p95 ms",
    "doubled",
    "cut",
    "broken off",
    "connection failed",
    "not ended",
)


def main() -> int:
    folder = pathlib.Path(sys.argv[1])
    for deployment in plans.DEPLOYMENTS:
        for case in plans.CASES:
            _print_case(folder / deployment.name / case.name, deployment, case)
    return 0


def _print_case(
    folder: pathlib.Path, deployment: plans.DeploymentPlan, case: plans.Case
) -> None:
    documents = {
        variant.name: json.loads((folder / variant.name / RESULT_NAME).read_text())
        for variant in plans.VARIANTS
        if (folder / variant.name / RESULT_NAME).exists()
    }
    if not documents:
        return
    example = next(iter(documents.values()))
    print(f"### {deployment.name}: {case.name}\n")
    print(f"Seed {example['seed']}, {example['duration_ms'] / 1000:g} s of load.\n")
    print("| " + " | ".join(_HEADINGS) + " |")
    print("| --- " * len(_HEADINGS) + "|")
    for variant, document in documents.items():
        cells = (format_value(cell) for cell in _cells(document, case))
        print(f"| {variant} | " + " | ".join(cells) + " |")
    print()
    if "product" in documents:
        print("\n".join(_verdicts(documents["product"], case)) + "\n")


def _within_rate_count(document: dict[str, Any]) -> int:
    return sum(item["within_rate_count"] for item in document["accounts"].values())


def _worst_served_account(
    document: dict[str, Any], case: plans.Case
) -> tuple[str, float]:
    """Returns the worst-served account within its rate, and its attainment."""
    shares = {
        name: item["attainment"]
        for name, item in document["accounts"].items()
        if name not in case.factors and item["attainment"] is not None
    }
    name = min(shares, key=lambda item: shares[item])
    return name, shares[name]


def _refusal_counts(document: dict[str, Any]) -> dict[str, int]:
    refusal_counts: dict[str, int] = {}
    for item in document["accounts"].values():
        for kind, count in item["refused_within_rate"].items():
            refusal_counts[kind] = refusal_counts.get(kind, 0) + count
    return refusal_counts


def _cells(document: dict[str, Any], case: plans.Case) -> list[Any]:
    measures, integrity = document["measures"], document["integrity"]
    first_token = document["classes"]["fit-advice"]["first_token_ms"]
    refusal_counts = _refusal_counts(document)
    return [
        measures["attained_per_s_and_accelerator"],
        measures["model_moves_count"],
        measures["attainment"],
        *_worst_served_account(document, case),
        _within_rate_count(document),
        measures["refused_within_rate_count"],
        measures["refused_within_rate_share"],
        ", ".join(f"{kind} {count}" for kind, count in sorted(refusal_counts.items()))
        or "-",
        first_token and first_token["p95"],
        integrity.get("doubled_runs_count"),
        integrity.get("cut_answers_count"),
        integrity.get("broken_off_answers_count"),
        _count_endings(document, Ending.CONNECTION_FAILED),
        _count_endings(document, Ending.TIMED_OUT),
    ]


def _count_endings(document: dict[str, Any], ending: Ending) -> int:
    """Returns the number of calls that ended with `ending`."""
    accounts = document["accounts"].values()
    return sum(item["endings"].get(ending, 0) for item in accounts)


def _count_refused(document: dict[str, Any], names: set[str]) -> tuple[int, int, float]:
    """Returns calls within the rate: the refused ones, all, and the refused share."""
    accounts = [document["accounts"][name] for name in sorted(names)]
    refused_count = sum(sum(item["refused_within_rate"].values()) for item in accounts)
    call_count = sum(item["within_rate_count"] for item in accounts)
    return refused_count, call_count, refused_count / call_count


def _verdicts(document: dict[str, Any], case: plans.Case) -> list[str]:
    integrity = document["integrity"]
    limit = REFUSALS_LIMITS.get(case.name, REFUSALS_LIMIT)
    names = set(document["accounts"])
    groups = {"all accounts": names}
    if case.factors:
        groups["accounts at 90% of their rate"] = names - set(case.factors)
    lines = []
    for group, members in groups.items():
        refused_count, call_count, share = _count_refused(document, members)
        text = f"refusals within the rate at most {limit:.1%}, {group}"
        lines.append(_verdict(text, f"{refused_count} of {call_count}", share <= limit))
    doubled_count = integrity.get("doubled_runs_count")
    lines.append(_verdict("nothing run twice", doubled_count, doubled_count == 0))
    # A killed stand-in gives no dump, so the calls that it ran aren't counted.
    unreachable_count = integrity.get("unreachable_standins_count", 0)
    if unreachable_count:
        lines.append(
            f"* {unreachable_count} stand-ins gave no dump: what they ran is unknown."
        )
    if case.name == "five-times-rate":
        name, share = _worst_served_account(document, case)
        text = f"worst-served account ({name}) at least {WORST_SERVED_LIMIT:.0%}"
        lines.append(_verdict(text, share, share >= WORST_SERVED_LIMIT))
    if case.name in ("rolling-restart", "bundle-rolled"):
        cut_count = integrity.get("cut_answers_count", 0)
        cut_count += integrity.get("broken_off_answers_count", 0)
        cut_count += _count_endings(document, Ending.CONNECTION_FAILED)
        lines.append(
            _verdict("no call cut by a graceful stop", cut_count, cut_count == 0)
        )
    return lines


def _verdict(text: str, value: Any, is_met: bool) -> str:
    verdict = "met" if is_met else "**missed**"
    return f"* Product, {text}: {format_value(value)}, {verdict}."


if __name__ == "__main__":
    sys.exit(main())
