"""Console commands on bundle files: check, sign, roll out and show."""

import argparse
import json
import pathlib
import sys
from typing import Any

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from cassiapitch import bundle, signing
from cassiapitch.client import ClientSettings, Done
from cassiapitch.console import (
    Context,
    print_json,
    print_outcome,
    print_result,
    send_to_control_group,
)
from cassiapitch.exceptions import SettingsError
from cassiapitch.process import EXIT_FAILED, EXIT_OK


def check(context: Context, options: argparse.Namespace) -> int:
    """Checks a bundle file."""
    content = _read_bundle(options.bundle)
    faults = _bundle_faults(content)
    if context.as_json:
        print_json({"file": str(options.bundle), "faults": faults})
    elif not faults:
        print(f"{options.bundle}: no faults")
    else:
        _print_faults(options.bundle, faults)
    return EXIT_FAILED if faults else EXIT_OK


def sign(context: Context, options: argparse.Namespace) -> int:
    """Checks a bundle file and writes its signature."""
    content = _read_bundle(options.bundle)
    if faults := _bundle_faults(content):
        _print_faults(options.bundle, faults)
        return EXIT_FAILED
    settings = context.settings()
    out = options.out or options.bundle.with_name(options.bundle.name + ".sig")
    document = {"operator": settings.name, "signature_hex": _sign(settings, content)}
    out.write_text(json.dumps(document) + "\n", encoding="utf-8")
    print_result(context, {"signature_file": str(out)}, f"signed: {out}")
    return EXIT_OK


def roll(context: Context, options: argparse.Namespace) -> int:
    """Checks a bundle file and brings it into force."""
    content = _read_bundle(options.bundle)
    if faults := _bundle_faults(content):
        _print_faults(options.bundle, faults)
        return EXIT_FAILED
    settings = context.settings()
    if options.signature is None:
        signature_fields = {
            "operator": settings.name,
            "signature_hex": _sign(settings, content),
        }
    else:
        signature_fields = _read_signature(options.signature)
    outcome = send_to_control_group(
        settings, "POST", "/bundles", {"content": content, **signature_fields}
    )
    return print_outcome(context, outcome, _describe_rollout)


def show(context: Context, options: argparse.Namespace) -> int:
    """Shows the bundle in force."""
    outcome = send_to_control_group(context.settings(), "GET", "/bundle")
    if not isinstance(outcome, Done):
        return print_outcome(context, outcome, str)
    document = outcome.document
    if options.out is not None:
        options.out.write_text(document["content"], encoding="utf-8")
    if context.as_json:
        print_json(document)
    elif options.out is None:
        print(document["content"], end="")
    if not context.as_json:
        print(_describe_bundle(document), file=sys.stderr)
    return EXIT_OK


def _describe_rollout(document: Any) -> str:
    return f"in force: {_describe_bundle(document)}"


def _describe_bundle(document: Any) -> str:
    version, digest = document.get("version"), document.get("digest")
    return f"version {version}, digest {digest}, by {document.get('author')}"


def _read_bundle(path: pathlib.Path) -> str:
    try:
        return path.read_bytes().decode("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from None


def _read_signature(path: pathlib.Path) -> dict[str, str]:
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        return {name: document[name] for name in ("operator", "signature_hex")}
    except (OSError, ValueError, KeyError, TypeError) as error:
        raise SettingsError([f"{path}: not a signature file: {error}"]) from None


def _print_faults(path: pathlib.Path, faults: list[str]) -> None:
    for fault in faults:
        print(f"cassiapitch: {path}: {fault}", file=sys.stderr)


def _bundle_faults(content: str) -> list[str]:
    try:
        bundle.parse(content)
    except SettingsError as error:
        return error.faults
    return []


def _sign(settings: ClientSettings, content: str) -> str:
    try:
        pem = pathlib.Path(settings.key_path).read_bytes()
        key = serialization.load_pem_private_key(pem, password=None)
    except (OSError, ValueError) as error:
        raise SettingsError([f"$.key_path: {error}"]) from None
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise SettingsError([f"$.key_path: {settings.key_path}: not an Ed25519 key"])
    return signing.sign(key.private_bytes_raw(), content.encode())
