"""Reports of the load tool: Markdown, plots and the comparison of two runs."""

import json
import pathlib
from typing import Any, NamedTuple

from rich.console import Console
from rich.table import Table

from cassiapitch.exceptions import SettingsError
from cassiapitch.loadresult import FORMAT_VERSION, PERCENTILES

RESULT_NAME = "result.json"
REPORT_NAME = "report.md"
SERIES_PLOT_NAME = "series.png"
LATENCY_PLOT_NAME = "latency.png"

_MEASURE_DESCRIPTIONS = {
    "attainment": "answered whole and in time, as a share of the calls within the rate",
    "attained_per_s_and_accelerator": "such calls per second and accelerator",
    "model_moves_count": "models loaded during the run",
    "worst_served_account": "client account with the lowest attainment",
    "worst_served_attainment": "its attainment",
    "refused_within_rate_count": "refused calls that were within the account's rate",
    "refused_within_rate_share": "their share of all calls within the rate",
}
# Measures for which a higher value is better; for all others a lower one is.
_MORE_IS_BETTER = (
    "attainment",
    "attained_per_s_and_accelerator",
    "worst_served_attainment",
)
_LATENCIES = (
    ("first_token_ms", "Time to first token or whole answer"),
    ("token_gap_ms", "Time between tokens"),
    ("whole_answer_ms", "Time to the whole answer"),
)


class ComparisonRow(NamedTuple):
    """One compared value of two runs."""

    name: str
    first: Any
    second: Any
    verdict: str


def read(path: pathlib.Path) -> dict[str, Any]:
    """Reads a result file, given the file or its folder.

    Raises:
        SettingsError: The file is missing or isn't a result of this format version.
    """
    file = path / RESULT_NAME if path.is_dir() else path
    try:
        document = json.loads(file.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise SettingsError([f"{file}: {error}"]) from None
    if not isinstance(document, dict) or document.get("format") != FORMAT_VERSION:
        raise SettingsError([f"{file}: not a result of format {FORMAT_VERSION}"])
    return document


def write(document: dict[str, Any], folder: pathlib.Path) -> None:
    """Writes the report and its plots into a folder."""
    _plot_series(document, folder / SERIES_PLOT_NAME)
    _plot_latency(document, folder / LATENCY_PLOT_NAME)
    text = "\n".join(_report_lines(document)) + "\n"
    (folder / REPORT_NAME).write_text(text, encoding="utf-8")


def format_value(value: Any) -> str:
    """Returns a value as text; None, for a missing value, becomes `-`."""
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def _report_lines(document: dict[str, Any]) -> list[str]:
    lines = [
        f"# Load run: {document['experiment']}",
        "",
        f"Seed {document['seed']}, {document['duration_ms'] / 1000:g} s, "
        f"{document['accelerators_count']} accelerators. Times are in milliseconds, "
        "from the intended send time.",
        "",
        "## Measures",
        "",
        "| measure | value | meaning |",
        "| --- | --- | --- |",
    ]
    for name, value in document["measures"].items():
        lines.append(
            f"| {name} | {format_value(value)} | {_MEASURE_DESCRIPTIONS[name]} |"
        )
    lines += ["", "## Integrity", "", "| check | count |", "| --- | --- |"]
    for name, value in document["integrity"].items():
        lines.append(f"| {name} | {value} |")
    for title, section in (
        ("Client accounts", "accounts"),
        ("Classes", "classes"),
        ("Client accounts and classes", "accounts_and_classes"),
    ):
        lines += ["", f"## {title}", "", *_group_table(document[section])]
    lines += ["", "## Refusals", "", *_refusal_table(document["accounts"])]
    lines += ["", "## Wrongful refusals, cut and lost calls", ""]
    lines += _listed_calls_table(document["listed_calls"])
    for name, title in _LATENCIES:
        lines += ["", f"## {title}", "", *_latency_table(document, name)]
    lines += ["", f"![Calls by second]({SERIES_PLOT_NAME})", ""]
    lines += [f"![Latency percentiles]({LATENCY_PLOT_NAME})"]
    return lines


def _group_table(groups: dict[str, Any]) -> list[str]:
    names = sorted({ending for stats in groups.values() for ending in stats["endings"]})
    headings = ["name", "offered", "within rate", "attainment", "served tokens", *names]
    lines = ["| " + " | ".join(headings) + " |", "| --- " * len(headings) + "|"]
    for name, stats in groups.items():
        cells = [
            name,
            stats["offered_count"],
            stats["within_rate_count"],
            stats["attainment"],
            stats["served_tokens"],
            *(stats["endings"].get(ending, 0) for ending in names),
        ]
        lines.append("| " + " | ".join(format_value(cell) for cell in cells) + " |")
    return lines


def _refusal_table(accounts: dict[str, Any]) -> list[str]:
    lines = ["| account | kind | within rate | beyond rate |", "| --- " * 4 + "|"]
    for name, stats in accounts.items():
        within, beyond = stats["refused_within_rate"], stats["refused_beyond_rate"]
        for code in sorted({*within, *beyond}):
            lines.append(
                f"| {name} | {code} | {within.get(code, 0)} | {beyond.get(code, 0)} |"
            )
    return lines


def _listed_calls_table(calls: list[dict[str, Any]]) -> list[str]:
    headings = ["at_ms", "account", "class", "model", "ending", "code", "request_id"]
    lines = ["| " + " | ".join(headings) + " |", "| --- " * len(headings) + "|"]
    for call in calls:
        lines.append(
            "| " + " | ".join(str(call[heading]) for heading in headings) + " |"
        )
    return lines


def _latency_table(document: dict[str, Any], name: str) -> list[str]:
    headings = [*(f"p{percentile:g}" for percentile in PERCENTILES), "max"]
    lines = ["| calls | " + " | ".join(headings) + " |", "| --- " * 7 + "|"]
    for section in ("classes", "accounts", "accounts_and_classes"):
        for group, stats in document[section].items():
            if stats[name] is not None:
                values = " | ".join(str(stats[name][heading]) for heading in headings)
                lines.append(f"| {group} | {values} |")
    return lines


def _plot_series(document: dict[str, Any], path: pathlib.Path) -> None:
    # Without pyplot, a figure needs no display and no global state.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(9, 4), layout="constrained")
    axes = figure.add_subplot()
    for name, values in document["series"].items():
        axes.plot(range(len(values)), values, label=name)
    for fault in document["faults"]:
        axes.axvline(fault["at_ms"] / 1000, color="tab:red", linestyle=":")
        # Offset from the line and the frame, so that neither crosses the text.
        axes.annotate(
            f"{fault['action']} {fault['target']}",
            (fault["at_ms"] / 1000, 1),
            xycoords=("data", "axes fraction"),
            xytext=(3, -4),
            textcoords="offset points",
            rotation=90,
            va="top",
            fontsize=8,
        )
    for shift in document["shifts"]:
        axes.axvline(shift["at_ms"] / 1000, color="tab:gray", linestyle="--")
    axes.set_xlabel("seconds from the start")
    axes.set_ylabel("calls per second")
    variant = document.get("variant")
    axes.set_title(document["experiment"] + (f", {variant}" if variant else ""))
    figure.legend(*axes.get_legend_handles_labels(), loc="outside right upper")
    figure.savefig(path, dpi=120)


def _plot_latency(document: dict[str, Any], path: pathlib.Path) -> None:
    from matplotlib.figure import Figure
    from matplotlib.ticker import LogLocator, NullFormatter, ScalarFormatter

    figure = Figure(figsize=(9, 4), layout="constrained")
    panels = figure.subplots(1, 2)
    plotted_latencies = (("first_token_ms", panels[0]), ("token_gap_ms", panels[1]))
    headings = [f"p{percentile:g}" for percentile in PERCENTILES]
    for name, axes in plotted_latencies:
        for number, (group, stats) in enumerate(document["classes"].items()):
            if stats[name] is not None:
                values = [stats[name][heading] for heading in headings]
                color = f"C{number}"
                axes.plot(headings, values, marker="o", label=group, color=color)
        axes.set_yscale("log")
        # Without a formatter, a narrow range would get ticks such as 6 x 10^1.
        axes.yaxis.set_major_locator(LogLocator(subs=(1, 2, 5)))
        axes.yaxis.set_major_formatter(ScalarFormatter())
        axes.yaxis.set_minor_formatter(NullFormatter())
        axes.set_title(dict(_LATENCIES)[name])
        axes.set_ylabel("milliseconds")
    # A class has the same colour in both panels, so one legend serves both.
    figure.legend(*panels[0].get_legend_handles_labels(), loc="outside right upper")
    figure.savefig(path, dpi=120)


def compare(first: dict[str, Any], second: dict[str, Any]) -> list[ComparisonRow]:
    """Returns the measures, integrity counts and 95th percentiles of two runs."""
    rows = []
    for name, first_value in first["measures"].items():
        second_value = second["measures"].get(name)
        rows.append(
            ComparisonRow(
                name,
                first_value,
                second_value,
                _verdict(name, first_value, second_value),
            )
        )
    for name in sorted({*first["integrity"], *second["integrity"]}):
        first_value = first["integrity"].get(name)
        second_value = second["integrity"].get(name)
        rows.append(
            ComparisonRow(
                name,
                first_value,
                second_value,
                _verdict(name, first_value, second_value),
            )
        )
    for section in ("accounts", "classes"):
        for group in sorted({*first[section], *second[section]}):
            for latency, _ in _LATENCIES:
                name = f"{group} {latency} p95"
                first_value = _p95(first, section, group, latency)
                second_value = _p95(second, section, group, latency)
                if first_value is not None or second_value is not None:
                    rows.append(
                        ComparisonRow(
                            name,
                            first_value,
                            second_value,
                            _verdict(name, first_value, second_value),
                        )
                    )
    return rows


def _p95(document: dict[str, Any], section: str, group: str, latency: str) -> Any:
    values = document[section].get(group, {}).get(latency)
    return None if values is None else values["p95"]


def _verdict(name: str, first: Any, second: Any) -> str:
    if not isinstance(first, int | float) or not isinstance(second, int | float):
        return "" if first == second else "differs"
    if first == second:
        return ""
    is_better = (second > first) == (name in _MORE_IS_BETTER)
    change = f" {(second - first) / first:+.1%}" if first else ""
    return ("better" if is_better else "worse") + change


def print_comparison(
    first: dict[str, Any], second: dict[str, Any], rows: list[ComparisonRow]
) -> None:
    """Prints the comparison as a table."""
    console = Console()
    if first.get("experiment_sha256") != second.get("experiment_sha256"):
        console.print("[yellow]the runs used different experiment files[/yellow]")
    table = Table()
    for heading in ("figure", "first", "second", "second is"):
        table.add_column(heading)
    for row in rows:
        values = (format_value(row.first), format_value(row.second))
        table.add_row(row.name, *values, row.verdict)
    console.print(table)
