"""Shows the status of control members and entries as tables."""

import dataclasses
from typing import Any

from rich.console import Console
from rich.table import Table
from rich.text import Text

from cassiapitch.client import Done, Outcome, Refused

_SHOWN_FIRST = (
    "zone",
    "term",
    "leader",
    "bundle_version",
    "bundle.version",
    "applied_index",
    "commit_index",
    "fresh",
)
# Long or constant values, which `--json` shows.
_HIDDEN = ("name", "role", "state", "program", "life_id", "program_version")
_LONGEST_VALUE = 24


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """One process and what it answered to `status`."""

    name: str
    kind: str
    address: str
    outcome: Outcome


def to_document(statuses: list[ProcessStatus]) -> dict[str, Any]:
    """Returns the statuses for `--json`; processes without one carry `error`."""
    document: dict[str, Any] = {}
    for status in statuses:
        entry: dict[str, Any] = {"kind": status.kind, "address": status.address}
        if isinstance(status.outcome, Done):
            entry["status"] = status.outcome.document
        else:
            entry["error"] = _reason(status.outcome)
        document[status.name] = entry
    return document


def print_status(console: Console, statuses: list[ProcessStatus]) -> None:
    """Prints one table of processes, the ones that don't answer in red."""
    table = Table(title=_title(statuses), title_justify="left")
    table.add_column("process", no_wrap=True)
    table.add_column("kind")
    table.add_column("state")
    table.add_column("details", overflow="fold")
    for status in statuses:
        state, details = _cells(status)
        table.add_row(status.name, status.kind, state, details)
    console.print(table)


def _title(statuses: list[ProcessStatus]) -> str:
    answered = [item for item in statuses if isinstance(item.outcome, Done)]
    leaders = [item.name for item in answered if _is_leader(item.outcome)]
    leader = leaders[0] if len(leaders) == 1 else "none" if not leaders else "several"
    return f"{len(answered)} of {len(statuses)} processes answer; leader: {leader}"


def _is_leader(outcome: Outcome) -> bool:
    if not isinstance(outcome, Done):
        return False
    return bool(flatten(outcome.document).get("role") == "leader")


def _cells(status: ProcessStatus) -> tuple[Text, str]:
    if not isinstance(status.outcome, Done):
        return Text("no answer", style="bold red"), _reason(status.outcome)
    values = flatten(status.outcome.document)
    state = str(values.get("state", values.get("role", "up")))
    style = "green" if state not in ("draining", "stopping") else "yellow"
    first = [name for name in _SHOWN_FIRST if name in values]
    others = [
        name
        for name in sorted(values.keys() - {*first, *_HIDDEN})
        if len(str(values[name])) <= _LONGEST_VALUE
    ]
    details = "  ".join(f"{name}={values[name]}" for name in (*first, *others))
    return Text(state, style=style), details


def _reason(outcome: Outcome) -> str:
    if isinstance(outcome, Refused):
        return f"{outcome.code}: {outcome.message}"
    return outcome.message if not isinstance(outcome, Done) else ""


def flatten(document: Any) -> dict[str, Any]:
    """Returns a status's simple values; lists and deeper objects as counts.

    The object `member`, a control member's place in its group, is lifted to the
    top, since its role and term are what an operator looks for first.
    """
    values: dict[str, Any] = {}
    if not isinstance(document, dict):
        return values
    for name, value in document.items():
        if name == "member" and isinstance(value, dict):
            values.update(flatten(value))
        elif isinstance(value, dict):
            simple = {
                key: item
                for key, item in value.items()
                if isinstance(item, str | int | float | None)
            }
            if len(simple) == len(value) <= 4:
                values.update({f"{name}.{key}": item for key, item in value.items()})
            else:
                values[f"{name} (count)"] = len(value)
        elif isinstance(value, list):
            values[f"{name} (count)"] = len(value)
        else:
            values[name] = value
    return values
