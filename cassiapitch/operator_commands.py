"""Subcommands of `cassiapitch` for keys, control members, processes and secrets."""

import argparse
import getpass
import ipaddress
import json
import re
import sys
from collections.abc import Callable

from rich.console import Console

from cassiapitch import certificates, client, keygen, statusview
from cassiapitch.client import AdminPeer, Client, ClientSettings, Done
from cassiapitch.console import (
    API_PREFIX,
    EXIT_UNKNOWN,
    Context,
    open_client,
    print_json,
    print_outcome,
    print_result,
    send_to_control_group,
)
from cassiapitch.exceptions import SettingsError
from cassiapitch.process import EXIT_FAILED, EXIT_OK
from cassiapitch.settings import Address

_SHA256 = re.compile(r"[0-9a-f]{64}")


def grant(context: Context, options: argparse.Namespace) -> int:
    """Grants a key; a new key is printed once and only its digest is sent."""
    settings = context.settings()
    key = None if options.sha256 else keygen.new_key()
    sha256 = _validate_digest(options.sha256) if key is None else keygen.digest(key)
    body = {"sha256": sha256, "client_account": options.client_account}
    outcome = send_to_control_group(settings, "POST", "/keys/grant", body)
    if isinstance(outcome, Done):
        document = {"sha256": sha256, **outcome.document}
        if key is not None:
            document["key"] = key
        if context.as_json:
            print_json(document)
            return EXIT_OK
        print(f"granted to {options.client_account}: sha256 {sha256}", file=sys.stderr)
        if key is not None:
            print(key)
        return EXIT_OK
    code = print_outcome(context, outcome, str)
    if code == EXIT_UNKNOWN and key is not None:
        print(
            f"cassiapitch: the new key was not printed; withdraw it with "
            f"--sha256 {sha256} and grant another",
            file=sys.stderr,
        )
    return code


def withdraw(context: Context, options: argparse.Namespace) -> int:
    """Withdraws a key."""
    settings = context.settings()
    if options.sha256:
        sha256 = _validate_digest(options.sha256)
    else:
        sha256 = keygen.digest(_read_key())
    outcome = send_to_control_group(
        settings, "POST", "/keys/withdraw", {"sha256": sha256}
    )
    return print_outcome(
        context,
        outcome,
        lambda document: (
            f"withdrawn: sha256 {sha256}; no entry serves it after 2 s "
            f"(log index {document.get('index')})"
        ),
    )


def member_add(context: Context, options: argparse.Namespace) -> int:
    """Adds a control member as a learner."""
    address = _parse_address(options.address)
    body = {
        "name": options.name,
        "zone": options.zone,
        "ip": address.ip,
        "port": address.port,
    }
    outcome = send_to_control_group(context.settings(), "POST", "/members/add", body)
    return print_outcome(
        context,
        outcome,
        lambda _: (
            f"added as learner: {options.name}; promote it once `status` shows "
            "that it has caught up"
        ),
    )


def member_change(change: str) -> Callable[[Context, argparse.Namespace], int]:
    """Returns the function of the subcommand `member <change>`."""

    def run(context: Context, options: argparse.Namespace) -> int:
        body = {"name": options.name}
        outcome = send_to_control_group(
            context.settings(), "POST", f"/members/{change}", body
        )
        return print_outcome(
            context, outcome, lambda _: f"{change}: {options.name}: done"
        )

    return run


def drain(context: Context, options: argparse.Namespace) -> int:
    """Requests a graceful shutdown of one process."""
    settings = context.settings()
    peer = _find_peer(settings, options.process)
    outcome = open_client(settings).request([peer], "POST", f"{API_PREFIX}/drain", {})
    return print_outcome(
        context, outcome, lambda _: f"{peer.name}: shutting down gracefully"
    )


def zone_change(change: str) -> Callable[[Context, argparse.Namespace], int]:
    """Returns the function of the subcommand `drain-zone` or `undrain-zone`."""

    def run(context: Context, options: argparse.Namespace) -> int:
        body = {"zone": options.zone}
        outcome = send_to_control_group(
            context.settings(), "POST", f"/zones/{change}", body
        )
        return print_outcome(
            context,
            outcome,
            lambda document: (
                f"{change}: {options.zone}: done; drained zones: "
                f"{', '.join(document.get('drained_zones', [])) or 'none'}"
            ),
        )

    return run


def dump(context: Context, options: argparse.Namespace) -> int:
    """Prints the state dump of one process or writes it to a file."""
    settings = context.settings()
    peer = _find_peer(settings, options.process)
    outcome = open_client(settings).request([peer], "GET", f"{API_PREFIX}/dump")
    if not isinstance(outcome, Done):
        return print_outcome(context, outcome, str)
    if options.out is None:
        print_json(outcome.document)
        return EXIT_OK
    text = json.dumps(outcome.document, indent=2, sort_keys=True)
    options.out.write_text(text + "\n", encoding="utf-8")
    print_result(context, {"file": str(options.out)}, f"written: {options.out}")
    return EXIT_OK


def status(context: Context, options: argparse.Namespace) -> int:
    """Shows the status of every process in the operator file."""
    settings = context.settings()
    # One attempt per process: a process that doesn't answer is reported as such.
    admin_client = Client(
        client.read_token(settings.token_path), client.ATTEMPT_TIMEOUT_MS
    )
    statuses = [
        statusview.ProcessStatus(
            peer.name,
            kind,
            str(peer.address),
            admin_client.request([peer], "GET", f"{API_PREFIX}/status", rounds_count=1),
        )
        for kind, peers in (("control", settings.control), ("entry", settings.entries))
        for peer in peers
    ]
    if context.as_json:
        print_json(statusview.to_document(statuses))
    else:
        statusview.print_status(Console(), statuses)
    all_answered = all(isinstance(item.outcome, Done) for item in statuses)
    return EXIT_OK if all_answered else EXIT_FAILED


def keygen_operator(context: Context, options: argparse.Namespace) -> int:
    """Generates an operator's signing key and token."""
    operator_key = keygen.make_operator_key(options.out, options.name)
    operator_settings = {
        "name": options.name,
        "token_sha256": operator_key.token_sha256,
        "public_key_hex": operator_key.public_key_hex,
    }
    files = {
        "key_path": str(operator_key.key_path),
        "token_path": str(operator_key.token_path),
    }
    if context.as_json:
        print_json({"operator": operator_settings, **files})
        return EXIT_OK
    print(f"private key: {operator_key.key_path}", file=sys.stderr)
    print(f"token: {operator_key.token_path}", file=sys.stderr)
    print("for `operators` in the settings of control members and entries:")
    print(json.dumps(operator_settings, indent=2))
    return EXIT_OK


def certify_processes(context: Context, options: argparse.Namespace) -> int:
    """Issues certificates for mutual TLS."""
    issued = certificates.certify(options.out, options.name, options.days)
    document = {
        item.name: {
            "ca_path": str(item.ca_path),
            "certificate_path": str(item.certificate_path),
            "key_path": str(item.key_path),
        }
        for item in issued
    }
    lines = [f"{item.name}: {item.certificate_path}" for item in issued]
    print_result(context, document, "\n".join(lines))
    return EXIT_OK


def _find_peer(settings: ClientSettings, text: str) -> AdminPeer:
    peers_by_name = {peer.name: peer for peer in (*settings.control, *settings.entries)}
    if text in peers_by_name:
        return peers_by_name[text]
    if ":" in text:
        return AdminPeer(text, _parse_address(text))
    names = ", ".join(peers_by_name)
    raise SettingsError([f"{text}: neither IP:PORT nor one of {names}"])


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    ip = ip.strip("[]")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError:
        raise SettingsError([f"{text}: expected IP:PORT"]) from None
    if not 0 < number <= 65_535:
        raise SettingsError([f"{text}: port out of range"])
    return Address(ip, number)


def _validate_digest(text: str) -> str:
    if _SHA256.fullmatch(text) is None:
        raise SettingsError(["--sha256: expected 64 lower-case hexadecimal digits"])
    return text


def _read_key() -> str:
    if sys.stdin.isatty():
        key = getpass.getpass("key: ").strip()
    else:
        key = sys.stdin.readline().strip()
    if not key:
        raise SettingsError(["standard input: no key"])
    return key
