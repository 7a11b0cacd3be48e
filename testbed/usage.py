"""Reads the memory and CPU time of local processes from /proc."""

import os
import pathlib


def memory_mib(pid: int) -> float:
    """Returns the resident memory of a process.

    Raises:
        OSError: The process doesn't exist.
    """
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


def cpu_s(pid: int) -> float:
    """Returns the CPU time that a process and its threads have used so far.

    Raises:
        OSError: The process doesn't exist.
    """
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The program's name, in parentheses, may contain spaces.
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
