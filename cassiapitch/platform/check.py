"""Checks a configuration before it is sent: `python3 -m cassiapitch.platform.check`."""

import argparse
import pathlib
import sys

from cassiapitch import bundle, bundlefiles, config
from cassiapitch.exceptions import SettingsError
from cassiapitch.platform import configuration
from cassiapitch.process import EXIT_USAGE
from cassiapitch.settings import ControlSettings


def main(arguments: list[str] | None = None) -> int:
    """Checks one configuration and returns the exit code of `cassiapitch check`."""
    parser = argparse.ArgumentParser(prog="check", description=__doc__)
    parser.add_argument("configuration", type=pathlib.Path, help="JSON document")
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        required=True,
        help="settings of a control member, for what it adds to each configuration",
    )
    parser.add_argument(
        "--against",
        type=pathlib.Path,
        metavar="FILE",
        help="compare with this configuration, for instance the one read back",
    )
    parser.add_argument("--strict", action="store_true", help="warnings give code 1")
    parser.add_argument("--json", action="store_true", help="print JSON")
    options = parser.parse_args(arguments)
    try:
        member_settings = config.load(options.settings, ControlSettings)
        decode = configuration.make_decoder(member_settings)
        base = None if options.against is None else decode(options.against.read_bytes())
        content = options.configuration.read_bytes()
    except (SettingsError, OSError) as error:
        print(f"check: {error}", file=sys.stderr)
        return EXIT_USAGE
    try:
        parsed = decode(content)
        faults = bundle.find_faults(parsed)
        review = bundlefiles.Review(None if faults else parsed, faults, base)
    except SettingsError as error:
        review = bundlefiles.Review(None, error.faults, base)
    return bundlefiles.report(
        options.configuration,
        review,
        as_json=options.json,
        is_strict=options.strict,
    )


if __name__ == "__main__":
    sys.exit(main())
