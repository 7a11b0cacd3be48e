"""Prints the status of control members and entries as a table or a JSON document."""

import dataclasses
from typing import Any

from rich import box
from rich.console import Console
from rich.table import Table
from rich.text import Text

from cassiapitch.client import Done, Outcome, Refused

_TITLE_COUNTS = (
    "keys_working",
    "keys_withdrawn",
    "claims",
    "suspects",
    "backend_servers",
)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessStatus:
    """A process and the outcome of the request for its status."""

    name: str
    kind: str
    address: str
    outcome: Outcome


def to_document(statuses: list[ProcessStatus]) -> dict[str, Any]:
    """Returns the document for `--json`; processes without a status get `error`."""
    document: dict[str, Any] = {}
    for status in statuses:
        process_document: dict[str, Any] = {
            "kind": status.kind,
            "address": status.address,
        }
        if isinstance(status.outcome, Done):
            process_document["status"] = status.outcome.document
        else:
            process_document["error"] = _reason(status.outcome)
        document[status.name] = process_document
    return document


def print_status(console: Console, statuses: list[ProcessStatus]) -> None:
    """Prints a summary and a row for each process; missing answers are red."""
    documents = {
        status.name: status.outcome.document
        for status in statuses
        if isinstance(status.outcome, Done)
        and isinstance(status.outcome.document, dict)
    }
    newest_index = max((_applied_index(item) for item in documents.values()), default=0)
    title = _title(statuses, documents)
    table = Table(title=title, title_justify="left", box=box.SIMPLE)
    for heading in ("process", "kind", "zone", "state", "bundle", "index", "notes"):
        table.add_column(heading, overflow="fold")
    for status in statuses:
        document = documents.get(status.name)
        if document is None:
            state = Text("no answer", style="bold red")
            cells = (status.kind, "", state, "", "", _reason(status.outcome))
        else:
            cells = (status.kind, *_cells(document, newest_index))
        table.add_row(status.name, *cells)
    console.print(table)


def _title(statuses: list[ProcessStatus], documents: dict[str, Any]) -> str:
    leaders = [name for name, item in documents.items() if item.get("role") == "leader"]
    leader = leaders[0] if len(leaders) == 1 else "none" if not leaders else "several"
    title = f"{len(documents)} of {len(statuses)} processes answer; leader: {leader}"
    if len(leaders) == 1:
        counts = documents[leader].get("counts", {})
        count_texts = [
            f"{name} {counts[name]}" for name in _TITLE_COUNTS if name in counts
        ]
        title = "; ".join([title, *count_texts]).replace("_", " ")
        if drained_zones := documents[leader].get("drained_zones"):
            title += f"; drained zones: {', '.join(drained_zones)}"
    return title


def _applied_index(document: dict[str, Any]) -> int:
    return int(document.get("applied_index") or 0)


def _cells(document: dict[str, Any], newest_index: int) -> tuple[Any, ...]:
    state = str(document.get("state", document.get("role", "up")))
    is_healthy = state in ("leader", "follower", "running")
    lag = newest_index - _applied_index(document)
    index = f"{_applied_index(document)}" + (f" (-{lag})" if lag else "")
    bundle = document.get("bundle") or {}
    version = bundle.get("version", document.get("bundle_version"))
    return (
        str(document.get("zone", "")),
        Text(state, style="green" if is_healthy else "yellow"),
        "none" if version is None else str(version),
        index,
        ", ".join(_notes(document)),
    )


def _notes(document: dict[str, Any]) -> list[str]:
    notes = []
    if document.get("role") == "leader" and not document.get("has_lease", True):
        notes.append("no lease")
    if document.get("fresh") is False:
        notes.append("view not confirmed, refuses keyed calls")
    if "term" in document:
        notes.append(f"term {document['term']}")
    members = document.get("members")
    if isinstance(members, list):
        voters = sum(bool(item.get("voter")) for item in members)
        notes.append(f"{voters} voters, {len(members) - voters} learners")
    links = document.get("links")
    if isinstance(links, list):
        notes.append(f"{len(links)} links")
    elif isinstance(links, dict):
        notes.append("links " + " and ".join(str(item) for item in links.values()))
    if "calls_count" in document:
        notes.append(f"{document['calls_count']} calls")
    return notes


def _reason(outcome: Outcome) -> str:
    if isinstance(outcome, Refused):
        return f"{outcome.code}: {outcome.message}"
    return outcome.message if not isinstance(outcome, Done) else ""
