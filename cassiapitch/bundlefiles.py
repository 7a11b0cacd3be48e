"""Console commands on bundle files: check, sign, roll out and show."""

import argparse
import dataclasses
import json
import pathlib
import sys
from typing import Any

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from cassiapitch import bundle, bundle_review, signing
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
    """Checks a bundle file, and compares it with a file or the version in force."""
    content = _read_bundle(options.bundle)
    parsed, faults = _parse(content)
    base = None
    if options.in_force:
        outcome = send_to_control_group(context.settings(), "GET", "/bundle")
        if not isinstance(outcome, Done):
            return print_outcome(context, outcome, str)
        base = bundle.parse(outcome.document["content"])
    elif options.against is not None:
        base = bundle.parse(_read_bundle(options.against))
    return report(
        options.bundle,
        Review(parsed, faults, base),
        as_json=context.as_json,
        is_strict=options.strict,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Review:
    """What a report is made of.

    Attributes:
        parsed: The checked bundle; None if it has faults.
        faults: Its faults, each with its path.
        base: The bundle that it is compared with, if any.
    """

    parsed: bundle.Bundle | None
    faults: list[str]
    base: bundle.Bundle | None = None


def report(
    path: pathlib.Path, review: Review, *, as_json: bool, is_strict: bool
) -> int:
    """Prints faults, warnings and differences of a bundle; returns the exit code."""
    faults = list(review.faults)
    findings: list[bundle_review.Finding] = []
    differences = None
    if review.parsed is not None:
        findings = bundle_review.find_findings(review.parsed)
        if review.base is not None:
            differences = bundle_review.find_differences(review.base, review.parsed)
            finding = bundle_review.find_version_finding(review.base, review.parsed)
            if finding is not None:
                faults.append(f"{finding.path}: {finding.message}")
    if as_json:
        document: dict[str, Any] = {
            "file": str(path),
            "faults": faults,
            "warnings": [dataclasses.asdict(finding) for finding in findings],
        }
        if differences is not None:
            document["differences"] = [
                dataclasses.asdict(difference) for difference in differences
            ]
        print_json(document)
    else:
        _print_review(path, faults, findings, differences)
    return EXIT_FAILED if faults or (is_strict and findings) else EXIT_OK


def _print_review(
    path: pathlib.Path,
    faults: list[str],
    findings: list[bundle_review.Finding],
    differences: list[bundle_review.Difference] | None,
) -> None:
    _print_faults(path, faults)
    if not faults:
        print(f"{path}: no faults")
    for finding in findings:
        print(f"warning: {finding.path}: {finding.kind}: {finding.message}")
    for difference in differences or ():
        changes = "".join(
            f"\n  {name}: {old!r} -> {new!r}"
            for name, (old, new) in difference.fields.items()
        )
        name = f" {difference.name}" if difference.name else ""
        print(f"{difference.change}: {difference.section}{name}{changes}")
    if differences is not None and not differences:
        print("no differences besides the version")


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
    return _parse(content)[1]


def _parse(content: str) -> tuple[bundle.Bundle | None, list[str]]:
    """Returns the bundle, or None and its faults."""
    try:
        return bundle.parse(content), []
    except SettingsError as error:
        return None, error.faults


def _sign(settings: ClientSettings, content: str) -> str:
    try:
        pem = pathlib.Path(settings.key_path).read_bytes()
        key = serialization.load_pem_private_key(pem, password=None)
    except (OSError, ValueError) as error:
        raise SettingsError([f"$.key_path: {error}"]) from None
    if not isinstance(key, ed25519.Ed25519PrivateKey):
        raise SettingsError([f"$.key_path: {settings.key_path}: not an Ed25519 key"])
    return signing.sign(key.private_bytes_raw(), content.encode())
