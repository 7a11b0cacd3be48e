"""Decides how long a start waits for a file that can't be read now.

Descriptors or memory may be used up for a moment, and the disk may not answer. A file
that doesn't exist, or that the process may not read, is a fault of the installation.
"""

import pathlib
import sys
import time

from cassiapitch import disk_errors, signals

READ_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.1


def read_text(path: pathlib.Path) -> str:
    """Returns the text of a file; waits while it can't be read now.

    Raises:
        OSError: It can't be read at all, or could not be for `READ_TIMEOUT_S`, or a
            signal asked the process to stop meanwhile.
        UnicodeDecodeError: It isn't UTF-8.
    """
    begun_s = time.monotonic()
    has_waited = False
    while True:
        try:
            return path.read_text(encoding="utf-8")
        except OSError as error:
            is_late = time.monotonic() - begun_s >= READ_TIMEOUT_S
            is_final = isinstance(error, PermissionError) or not disk_errors.may_pass(
                error, is_opening=True
            )
            if is_final or is_late or signals.is_stop_requested():
                raise
            if not has_waited:
                has_waited = True
                print(f"waiting for {path}: {error}", file=sys.stderr)
        time.sleep(RETRY_PAUSE_S)
