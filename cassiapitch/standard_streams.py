"""Opens the standard descriptors that a process was started without.

Otherwise the next files and sockets get the numbers 0 to 2, and what the process logs
and prints goes into one of them.
"""

import contextlib
import os
import sys

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_missing() -> None:
    """Opens the null device in place of each standard stream that is closed."""
    # Without a descriptor left there is none for the streams either.
    with contextlib.suppress(OSError):
        for descriptor in STANDARD_DESCRIPTORS:
            if not _is_open(descriptor):
                _open_null(descriptor)
        if sys.stdout is None:
            sys.stdout = open(1, "w", encoding="utf-8", closefd=False)  # noqa: SIM115
        if sys.stderr is None:
            sys.stderr = open(2, "w", encoding="utf-8", closefd=False)  # noqa: SIM115


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


def _open_null(descriptor: int) -> None:
    opened = os.open(os.devnull, os.O_RDWR)
    if opened != descriptor:
        os.dup2(opened, descriptor)
        os.close(opened)
