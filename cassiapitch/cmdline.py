"""Command line of `cassiapitch`, the program for operators."""

import argparse
import os
import pathlib
import sys
from collections.abc import Callable

from cassiapitch import __version__, bundlefiles, operator_commands
from cassiapitch.console import Context
from cassiapitch.exceptions import CassiapitchError, SettingsError
from cassiapitch.process import EXIT_FAILED, EXIT_USAGE

DEFAULT_OPERATOR_FILE = "operator.jsonc"

_EXIT_CODES = """\
exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  usage or settings
  3  outcome unknown: the change may have been made; repeating it is safe
"""

CommandFunction = Callable[[Context, argparse.Namespace], int]


def main(arguments: list[str] | None = None) -> int:
    """Runs one subcommand and returns the exit code."""
    options = build_parser().parse_args(arguments)
    context = Context(
        operator_path=pathlib.Path(options.operator_file),
        as_json=options.json,
    )
    try:
        code: int = options.run(context, options)
    except SettingsError as error:
        for fault in error.faults:
            print(f"cassiapitch: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except BrokenPipeError:
        # The reader of the output, for instance `head`, has closed the pipe. Standard
        # output is redirected so that the flush at exit does not fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FAILED
    except (CassiapitchError, OSError) as error:
        print(f"cassiapitch: {error}", file=sys.stderr)
        return EXIT_FAILED
    return code


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="cassiapitch",
        description="Operates a cassiapitch deployment.",
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_bundle_commands(commands)
    _add_key_commands(commands)
    _add_member_commands(commands)
    _add_process_commands(commands)
    _add_secret_commands(commands)
    return parser


def _add_command(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    run: CommandFunction,
    summary: str,
    example: str,
) -> argparse.ArgumentParser:
    parser = commands.add_parser(
        name,
        help=summary,
        description=summary[0].upper() + summary[1:] + ".",
        epilog=f"example:\n  {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "-f",
        "--operator-file",
        default=DEFAULT_OPERATOR_FILE,
        metavar="FILE",
        help="connection settings, JSON with comments (default: %(default)s)",
    )
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    parser.set_defaults(run=run)
    return parser


def _add_bundle_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    check = _add_command(
        commands,
        "check",
        bundlefiles.check,
        "check a bundle file before it is sent: faults, entries that can never match, "
        "contradicting limits, differences; changes nothing",
        "cassiapitch check bundle.jsonc --in-force",
    )
    check.add_argument("bundle", type=pathlib.Path, help="bundle file")
    base = check.add_mutually_exclusive_group()
    base.add_argument(
        "--against", type=pathlib.Path, metavar="FILE", help="compare with this bundle"
    )
    base.add_argument(
        "--in-force",
        action="store_true",
        help="compare with the bundle in force; otherwise nothing is contacted",
    )
    check.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )
    sign = _add_command(
        commands,
        "sign",
        bundlefiles.sign,
        "check and sign a bundle file",
        "cassiapitch sign bundle.jsonc --out bundle.sig",
    )
    sign.add_argument("bundle", type=pathlib.Path, help="bundle file")
    sign.add_argument(
        "--out",
        type=pathlib.Path,
        help="signature file (default: the bundle's path with .sig added)",
    )
    roll = _add_command(
        commands,
        "roll",
        bundlefiles.roll,
        "roll out a bundle; it is in force once the command returns 0",
        "cassiapitch roll bundle.jsonc",
    )
    roll.add_argument("bundle", type=pathlib.Path, help="bundle file")
    roll.add_argument(
        "--signature",
        type=pathlib.Path,
        help="signature file written by `sign`; without it the operator's key signs",
    )
    show = _add_command(
        commands,
        "show",
        bundlefiles.show,
        "show the bundle in force",
        "cassiapitch show --out current.jsonc",
    )
    show.add_argument("--out", type=pathlib.Path, help="write the bundle's text here")


def _add_key_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    grant = _add_command(
        commands,
        "grant",
        operator_commands.grant,
        "grant a key to a client account; prints a new key once and sends its digest",
        "cassiapitch grant jersey-shop > jersey-shop.key",
    )
    grant.add_argument("client_account", help="name of the client account")
    grant.add_argument(
        "--sha256", metavar="HEX", help="digest of a key that exists already"
    )
    withdraw = _add_command(
        commands,
        "withdraw",
        operator_commands.withdraw,
        "withdraw a key for good; the key is read from standard input",
        "cassiapitch withdraw < jersey-shop.key",
    )
    withdraw.add_argument("--sha256", metavar="HEX", help="digest instead of the key")


def _add_member_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    member = commands.add_parser(
        "member",
        help="change the control group",
        description="Change the control group, one member at a time.",
    )
    changes = member.add_subparsers(required=True, metavar="CHANGE")
    add = _add_command(
        changes,
        "add",
        operator_commands.member_add,
        "add a control member as a learner; promote it once it has caught up",
        "cassiapitch member add control-4 --zone bc-west-1 --address 10.0.1.4:7000",
    )
    add.add_argument("name", help="the member's name in its settings")
    add.add_argument("--zone", required=True, help="its availability zone")
    add.add_argument(
        "--address", required=True, metavar="IP:PORT", help="its rpc_address"
    )
    change_summaries: tuple[tuple[str, str], ...] = (
        ("promote", "make a learner a voting member"),
        ("remove", "remove a member, also one that is lost"),
        ("transfer", "transfer leadership to a member"),
    )
    for change, summary in change_summaries:
        example = f"cassiapitch member {change} control-2"
        parser = _add_command(
            changes, change, operator_commands.member_change(change), summary, example
        )
        parser.add_argument("name", help="the member's name")


def _add_process_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    drain = _add_command(
        commands,
        "drain",
        operator_commands.drain,
        "stop one process gracefully; it finishes its requests first",
        "cassiapitch drain entry-3",
    )
    drain.add_argument("process", help="its name in the operator file, or IP:PORT")
    zone_summaries: tuple[tuple[str, str], ...] = (
        ("drain", "send no further requests to the backend servers of a zone"),
        ("undrain", "send requests to the backend servers of a drained zone again"),
    )
    for change, summary in zone_summaries:
        parser = _add_command(
            commands,
            f"{change}-zone",
            operator_commands.zone_change(change),
            summary,
            f"cassiapitch {change}-zone bc-west-1",
        )
        parser.add_argument("zone", help="name of the availability zone")
    dump = _add_command(
        commands,
        "dump",
        operator_commands.dump,
        "print the whole state of one process as JSON; it holds no key",
        "cassiapitch dump control-1 --out control-1.json",
    )
    dump.add_argument("process", help="its name in the operator file, or IP:PORT")
    dump.add_argument("--out", type=pathlib.Path, help="write the dump to this file")
    _add_command(
        commands,
        "status",
        operator_commands.status,
        "show every process of the operator file; exit code 1 if one doesn't answer",
        "cassiapitch status --json | jq 'keys'",
    )


def _add_secret_commands(
    commands: "argparse._SubParsersAction[argparse.ArgumentParser]",
) -> None:
    keygen = _add_command(
        commands,
        "keygen",
        operator_commands.keygen_operator,
        "make an operator's signing key and token; prints the lines for the settings",
        "cassiapitch keygen mara --out secrets",
    )
    keygen.add_argument("name", help="the operator's name")
    keygen.add_argument("--out", type=pathlib.Path, default=pathlib.Path("."))
    certify = _add_command(
        commands,
        "certify",
        operator_commands.certify_processes,
        "make certificates for mutual TLS, and a CA where there is none yet",
        "cassiapitch certify control-1 control-2 entry-1 --out certificates",
    )
    certify.add_argument("name", nargs="+", help="name of each process")
    certify.add_argument("--out", type=pathlib.Path, default=pathlib.Path("."))
    certify.add_argument(
        "--days",
        type=_positive_int,
        default=825,
        help="days until a certificate expires (default: %(default)s)",
    )


def _positive_int(text: str) -> int:
    value = int(text)
    if value < 1:
        raise ValueError(text)
    return value


if __name__ == "__main__":
    sys.exit(main())
