"""What the demo checks at its end, and the tables that it prints."""

import dataclasses
from typing import Any

from rich.console import Console
from rich.table import Table

TEAM_ORDERS = "POST /orders/team"
# The users' limit for the time around a leader's death, of calls within the rate.
REFUSED_SHARE_LIMIT = 0.01
_HIDDEN = ("authorization:", "cookie:", "idempotency-key:", "proxy-authorization:")


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """One property and whether it held."""

    text: str
    held: bool
    details: str = ""


def check_load(document: dict[str, Any], limited_account: str) -> list[Check]:
    """Checks the answers that the load tool received."""
    integrity = document["integrity"]
    accounts = document["accounts"]
    # These accounts stay within their rate all the time; which calls of the limited
    # one are refused depends on which ones were served, so the table shows them.
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
    beyond = accounts[limited_account]["refused_beyond_rate"]
    lost = sum(
        item["endings"].get(ending, 0)
        for item in accounts.values()
        for ending in ("connection_failed", "timed_out", "unsent")
    )
    cut = integrity["cut_answers_count"] + integrity["broken_off_answers_count"]
    garbled = integrity["position_faults_count"] + integrity["wrong_texts_count"]
    return [
        Check("no answer was cut", cut == 0, f"{cut} cut"),
        Check(
            "no answer had a gap, a repeat or wrong text", garbled == 0, str(garbled)
        ),
        Check("no call was lost", lost == 0, f"{lost} lost"),
        Check(
            "at most 1 in 100 calls within the rate was refused, whatever the reason",
            refused_count <= REFUSED_SHARE_LIMIT * sent_count,
            f"{refused_count} of {sent_count}: {refused}",
        ),
        Check(
            f"{limited_account} was refused beyond its rate",
            beyond.get("rate_exceeded", 0) > 0,
            str(beyond),
        ),
    ]


def check_standins(
    dumps: dict[str, dict[str, Any]], keys: list[str], orders_answered_count: int
) -> list[Check]:
    """Checks what the stand-in backend servers recorded.

    Args:
        dumps: Dump of each stand-in; one that was killed gave it beforehand.
        keys: Every key that a caller showed.
        orders_answered_count: Team orders that callers saw succeed.
    """
    doubled = [item for dump in dumps.values() for item in dump.get("doubled", [])]
    leaks = {
        name
        for name, dump in dumps.items()
        for header in dump["headers"]
        if header.lower().startswith(_HIDDEN) or any(key in header for key in keys)
    }
    over = {
        name: dump["overcommit"]
        for name, dump in dumps.items()
        if dump.get("overcommit")
    }
    runs = sum(dump.get("paths", {}).get(TEAM_ORDERS, 0) for dump in dumps.values())
    return [
        Check(
            "no non-idempotent call ran twice", not doubled, f"{len(doubled)} doubled"
        ),
        Check(
            "each answered team order ran, and no other one did",
            runs == orders_answered_count,
            f"{runs} runs, {orders_answered_count} answered",
        ),
        Check("no backend server saw a key", not leaks, ", ".join(sorted(leaks))),
        Check("no engine was overcommitted", not over, str(over)),
    ]


def print_load(console: Console, document: dict[str, Any]) -> None:
    """Prints what was sent, answered and refused, by account and class."""
    table = Table(title="Load through all entries", title_justify="left")
    table.add_column("account / class")
    for head in ("sent", "answered", "refused", "first p95 ms"):
        table.add_column(head, justify="right")
    table.add_column("why refused, or how ended")
    for name, item in document["accounts_and_classes"].items():
        endings = dict(item["endings"])
        answered, refused = (endings.pop(key, 0) for key in ("answered", "refused"))
        reasons = {
            **{f"{k} within rate": n for k, n in item["refused_within_rate"].items()},
            **{f"{k} beyond rate": n for k, n in item["refused_beyond_rate"].items()},
            **endings,
        }
        times = item["first_token_ms"]
        table.add_row(
            name,
            str(item["offered_count"]),
            str(answered),
            str(refused),
            "-" if times is None else str(times["p95"]),
            ", ".join(f"{reason}: {count}" for reason, count in reasons.items()),
        )
    console.print(table)


def print_checks(console: Console, checks: list[Check]) -> None:
    """Prints each check and whether it held."""
    table = Table(title="Checks", title_justify="left")
    for head in ("check", "result", "details"):
        table.add_column(head, overflow="fold")
    for item in checks:
        result = "[green]held[/green]" if item.held else "[bold red]FAILED[/bold red]"
        table.add_row(item.text, result, "" if item.held else item.details)
    console.print(table)
