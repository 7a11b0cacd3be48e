"""Command line of `cassiapitch-load`, the open-loop load generator."""

import argparse
import json
import pathlib
import sys

import anyio

from cassiapitch import (
    __version__,
    experiment,
    loadreport,
    loadrun,
    socket_retries,
)
from cassiapitch.exceptions import CassiapitchError, SettingsError
from cassiapitch.process import EXIT_FAILED, EXIT_OK, EXIT_USAGE

_RUN_EXAMPLE = "example:\n  cassiapitch-load run settings/load.jsonc --out run/first"
_COMPARE_EXAMPLE = "example:\n  cassiapitch-load compare run/first run/second"


def main(arguments: list[str] | None = None) -> int:
    """Runs the command line and returns the exit code."""
    options = _parser().parse_args(arguments)
    try:
        code: int = options.run(options)
    except SettingsError as error:
        for fault in error.faults:
            print(f"cassiapitch-load: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except (CassiapitchError, OSError) as error:
        print(f"cassiapitch-load: {error}", file=sys.stderr)
        return EXIT_FAILED
    return code


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="cassiapitch-load",
        description="Sends calls at the times that an experiment sets, whether or "
        "not earlier calls have been answered, and reports their results.",
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    run = commands.add_parser(
        "run",
        help="run an experiment; writes result.json, report.md and plots",
        epilog=_RUN_EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    run.add_argument("experiment", type=pathlib.Path)
    action = run.add_mutually_exclusive_group(required=True)
    action.add_argument("--out", type=pathlib.Path, metavar="DIR", help="result folder")
    action.add_argument("--check", action="store_true", help="only validate the file")
    run.set_defaults(run=_run)
    compare = commands.add_parser(
        "compare",
        help="compare the results of two runs",
        epilog=_COMPARE_EXAMPLE,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    compare.add_argument("first", type=pathlib.Path, help="directory of the first run")
    compare.add_argument("second", type=pathlib.Path)
    compare.add_argument("--json", action="store_true", help="print as JSON")
    compare.set_defaults(run=_compare)
    return parser


def _run(options: argparse.Namespace) -> int:
    plan = experiment.load(options.experiment)
    if options.check:
        print(f"{options.experiment}: no faults")
        return EXIT_OK
    keys = experiment.read_keys(plan, options.experiment.parent)
    options.out.mkdir(parents=True, exist_ok=True)
    document = anyio.run(
        loadrun.run,
        plan,
        keys,
        loadrun.print_progress,
        backend="asyncio",
        backend_options={"loop_factory": socket_retries.new_event_loop},
    )
    document["experiment_sha256"] = experiment.file_digest(options.experiment)
    path = options.out / loadreport.RESULT_NAME
    path.write_text(json.dumps(document, indent=2) + "\n", encoding="utf-8")
    loadreport.write(document, options.out)
    print(f"result: {path}")
    print(f"report: {options.out / loadreport.REPORT_NAME}")
    for name, value in document["measures"].items():
        print(f"{name}: {loadreport.format_value(value)}")
    unsent_count = document["integrity"].get("unsent_calls_count", 0)
    if unsent_count:
        print(
            f"cassiapitch-load: {unsent_count} calls were not sent because "
            "open_calls_limit_count calls were open; the results don't show the "
            "intended load",
            file=sys.stderr,
        )
        return EXIT_FAILED
    return EXIT_OK


def _compare(options: argparse.Namespace) -> int:
    first = loadreport.read(options.first)
    second = loadreport.read(options.second)
    rows = loadreport.compare(first, second)
    if options.json:
        print(json.dumps([row._asdict() for row in rows], indent=2))
    else:
        loadreport.print_comparison(first, second, rows)
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
