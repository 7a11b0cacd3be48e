"""Options, requests and output that all subcommands of `cassiapitch` share."""

import dataclasses
import json
import pathlib
import sys
from collections.abc import Callable
from typing import Any

from cassiapitch import client
from cassiapitch.client import Client, ClientSettings, Done, Refused
from cassiapitch.exceptions import SettingsError
from cassiapitch.process import EXIT_FAILED, EXIT_OK

EXIT_UNKNOWN = 3
API_PREFIX = "/admin/v1"


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Options that all subcommands share.

    Attributes:
        operator_path: The operator file, which holds the connection settings.
        as_json: Whether results are printed as JSON.
    """

    operator_path: pathlib.Path
    as_json: bool

    def settings(self) -> ClientSettings:
        """Reads the operator file."""
        try:
            return client.load_settings(self.operator_path)
        except SettingsError as error:
            raise SettingsError(
                [_add_path(self.operator_path, fault) for fault in error.faults]
            ) from None


def _add_path(path: pathlib.Path, fault: str) -> str:
    # Faults in the content start with `$`; errors of reading the file include its path.
    return f"{path}: {fault}" if fault.startswith("$") else fault


def open_client(settings: ClientSettings) -> Client:
    """Returns a client that authenticates with the operator's token."""
    return Client(client.read_token(settings.token_path), settings.timeout_ms)


def send_to_control_group(
    settings: ClientSettings, method: str, path: str, document: Any = None
) -> client.Outcome:
    """Sends a request to the control members in turn until one answers it."""
    return open_client(settings).request(
        settings.control, method, API_PREFIX + path, document
    )


def print_outcome(
    context: Context, outcome: client.Outcome, describe: Callable[[Any], str]
) -> int:
    """Prints the outcome of a request and returns the exit code."""
    if isinstance(outcome, Done):
        print_result(context, outcome.document, describe(outcome.document))
        return EXIT_OK
    if isinstance(outcome, Refused):
        _print_refusal(context, outcome)
        return EXIT_FAILED
    if context.as_json:
        print_json({"error": {"code": "unknown", "message": outcome.message}})
    print(f"cassiapitch: outcome unknown: {outcome.message}", file=sys.stderr)
    print("cassiapitch: repeating the command is safe", file=sys.stderr)
    return EXIT_UNKNOWN


def _print_refusal(context: Context, refusal: Refused) -> None:
    details = refusal.document or {}
    if context.as_json:
        error = {**details, "code": refusal.code, "message": refusal.message}
        print_json({"error": error})
    verb = "failed" if refusal.code == "unavailable" else "refused"
    print(f"cassiapitch: {verb}: {refusal.code}: {refusal.message}", file=sys.stderr)
    for fault in details.get("faults", []):
        print(f"  {fault}", file=sys.stderr)
    if refusal.code == "version_conflict" and "author" in details:
        print(
            f"  in force under this version: digest {details.get('digest')} "
            f"by {details['author']}",
            file=sys.stderr,
        )


def print_result(context: Context, document: Any, text: str) -> None:
    """Prints a result as text or, with `--json`, as a JSON document."""
    if context.as_json:
        print_json(document)
    else:
        print(text)


def print_json(document: Any) -> None:
    """Prints a JSON document."""
    print(json.dumps(document, indent=2, sort_keys=True))
