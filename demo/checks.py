"""Evaluates the demo's results and prints them as tables."""

import dataclasses
from typing import Any

from rich.console import Console
from rich.table import Table

TEAM_ORDERS = "POST /orders/team"
# Largest share of calls within the rate that users accept as refused around the time
# of a leader's failure.
REFUSED_SHARE_LIMIT = 0.01
_SECRET_HEADER_PREFIXES = (
    "authorization:",
    "cookie:",
    "idempotency-key:",
    "proxy-authorization:",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One checked property and whether it held."""

    text: str
    passed: bool
    details: str = ""


def check_load(document: dict[str, Any], limited_account: str) -> list[Check]:
    """Checks the answers that the load generator received.

    `limited_account` sends more than its rate and must be refused beyond it.
    """
    integrity = document["integrity"]
    accounts = document["accounts"]
    # All other accounts stay within their rate. Which calls of the limited account are
    # refused depends on which ones were served, so these are only shown in the table.
    refused = {
        name: item["refused_within_rate"]
        for name, item in accounts.items()
        if item["refused_within_rate"] and name != limited_account
    }
    refused_count = sum(sum(kinds.values()) for kinds in refused.values())
    sent_count = sum(
        item["offered_count"]
        for name, item in accounts.items()
        if name != limited_account
    )
    refused_beyond_rate = accounts[limited_account]["refused_beyond_rate"]
    lost_count = sum(
        item["endings"].get(ending, 0)
        for item in accounts.values()
        for ending in ("connection_failed", "timed_out", "unsent")
    )
    cut_count = integrity["cut_answers_count"] + integrity["broken_off_answers_count"]
    garbled_count = integrity["position_faults_count"] + integrity["wrong_texts_count"]
    return [
        Check("no answer was cut", cut_count == 0, f"{cut_count} cut"),
        Check(
            "no answer had a gap, a repeat or wrong text",
            garbled_count == 0,
            str(garbled_count),
        ),
        Check("no call was lost", lost_count == 0, f"{lost_count} lost"),
        Check(
            "at most 1 in 100 calls within the rate was refused, whatever the reason",
            refused_count <= REFUSED_SHARE_LIMIT * sent_count,
            f"{refused_count} of {sent_count}: {refused}",
        ),
        Check(
            f"{limited_account} was refused beyond its rate",
            refused_beyond_rate.get("rate_exceeded", 0) > 0,
            str(refused_beyond_rate),
        ),
    ]


def check_standins(
    dumps: dict[str, dict[str, Any]], keys: list[str], orders_answered_count: int
) -> list[Check]:
    """Checks what the stand-in backend servers recorded.

    Args:
        dumps: Maps each stand-in to its dump; a killed one's dump was read before.
        keys: All keys that callers sent.
        orders_answered_count: Number of team orders that callers got an answer to.
    """
    doubled_calls = [
        item for dump in dumps.values() for item in dump.get("doubled", [])
    ]
    key_receivers = {
        name
        for name, dump in dumps.items()
        for header in dump["headers"]
        if header.lower().startswith(_SECRET_HEADER_PREFIXES)
        or any(key in header for key in keys)
    }
    overcommits = {
        name: dump["overcommit"]
        for name, dump in dumps.items()
        if dump.get("overcommit")
    }
    run_count = sum(
        dump.get("paths", {}).get(TEAM_ORDERS, 0) for dump in dumps.values()
    )
    return [
        Check(
            "no non-idempotent call ran twice",
            not doubled_calls,
            f"{len(doubled_calls)} doubled",
        ),
        Check(
            "each answered team order ran, and no other one did",
            run_count == orders_answered_count,
            f"{run_count} runs, {orders_answered_count} answered",
        ),
        Check(
            "no backend server saw a key",
            not key_receivers,
            ", ".join(sorted(key_receivers)),
        ),
        Check("no engine was overcommitted", not overcommits, str(overcommits)),
    ]


def print_load(console: Console, document: dict[str, Any]) -> None:
    """Prints calls sent, answered and refused, for each account and class."""
    table = Table(title="Load through all entries", title_justify="left")
    table.add_column("account / class")
    for heading in ("sent", "answered", "refused", "first p95 ms"):
        table.add_column(heading, justify="right")
    table.add_column("why refused, or how ended")
    for name, item in document["accounts_and_classes"].items():
        endings = dict(item["endings"])
        answered, refused = (endings.pop(key, 0) for key in ("answered", "refused"))
        reasons = {
            **{f"{k} within rate": n for k, n in item["refused_within_rate"].items()},
            **{f"{k} beyond rate": n for k, n in item["refused_beyond_rate"].items()},
            **endings,
        }
        first_token_ms = item["first_token_ms"]
        table.add_row(
            name,
            str(item["offered_count"]),
            str(answered),
            str(refused),
            "-" if first_token_ms is None else str(first_token_ms["p95"]),
            ", ".join(f"{reason}: {count}" for reason, count in reasons.items()),
        )
    console.print(table)


def print_checks(console: Console, checks: list[Check]) -> None:
    """Prints each check and whether it held."""
    table = Table(title="Checks", title_justify="left")
    for heading in ("check", "result", "details"):
        table.add_column(heading, overflow="fold")
    for item in checks:
        result = "[green]held[/green]" if item.passed else "[bold red]FAILED[/bold red]"
        table.add_row(item.text, result, "" if item.passed else item.details)
    console.print(table)
