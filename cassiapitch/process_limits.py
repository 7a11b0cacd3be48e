"""Decides how much memory and how many descriptors one process may use.

The settings state what the instance has. What the host shows may be far more, for
instance in a container, and a process that relied on it would be killed.
"""

import dataclasses
import enum
import pathlib
import resource
from typing import Any

from cassiapitch import connection_limit
from cassiapitch import held_bytes as held
from cassiapitch.exceptions import SettingsError

MEMINFO_PATH = pathlib.Path("/proc/meminfo")
BYTES_PER_MB = 1_000_000
# What a process takes without callers: an entry 36 MiB, a control member 43 to 57.
IDLE_BYTES = 60 * 1024 * 1024
# A body is held as it was read, in one piece, and as it is written.
BODY_COPIES = 3


class Source(enum.StrEnum):
    """Where a limit comes from."""

    SETTINGS = "settings"
    DESCRIPTOR_LIMIT = "descriptor_limit"
    HOST = "host"


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessLimits:
    """What one process may use.

    Attributes:
        memory_bytes: Memory of the process; None if nothing states it.
        memory_source: Where that comes from.
        descriptors_count: Open descriptors; `RLIM_INFINITY` for no limit.
        descriptors_source: Where that comes from.
    """

    memory_bytes: int | None
    memory_source: Source
    descriptors_count: int
    descriptors_source: Source


def decide(
    settings: Any,
    meminfo: str | None = None,
    descriptor_limit_count: int | None = None,
) -> ProcessLimits:
    """Returns the lowest of what the settings state and what the host allows.

    Args:
        settings: Settings of a program; those without `memory_limit_mb` and
            `descriptors_limit_count` state nothing, and neither does 0.
        meminfo: Content of `/proc/meminfo`; None to read it.
        descriptor_limit_count: Soft limit on descriptors; None to read it.
    """
    stated_mb = getattr(settings, "memory_limit_mb", None)
    memory_bytes = int(stated_mb * BYTES_PER_MB) if stated_mb else None
    memory_source = Source.SETTINGS
    host_bytes = host_memory_bytes(meminfo)
    if memory_bytes is None or (host_bytes is not None and host_bytes < memory_bytes):
        memory_bytes, memory_source = host_bytes, Source.HOST
    if descriptor_limit_count is None:
        descriptor_limit_count = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    descriptors_count = descriptor_limit_count
    descriptors_source = Source.DESCRIPTOR_LIMIT
    stated_count = int(getattr(settings, "descriptors_limit_count", None) or 0)
    is_infinite = descriptors_count == resource.RLIM_INFINITY
    if stated_count and (is_infinite or stated_count < descriptors_count):
        descriptors_count, descriptors_source = stated_count, Source.SETTINGS
    return ProcessLimits(
        memory_bytes, memory_source, descriptors_count, descriptors_source
    )


def enforce(limits: ProcessLimits) -> None:
    """Bounds the descriptors of this process from now on."""
    is_stated = limits.descriptors_source is Source.SETTINGS
    connection_limit.set_descriptors_limit(
        limits.descriptors_count if is_stated else None
    )


def host_memory_bytes(meminfo: str | None = None) -> int | None:
    """Returns the memory that the host shows, or None if it shows none.

    Args:
        meminfo: Content of `/proc/meminfo`; None to read it.
    """
    if meminfo is None:
        try:
            meminfo = MEMINFO_PATH.read_text("ascii")
        except OSError:
            return None
    for line in meminfo.splitlines():
        name, _, value = line.partition(":")
        if name == "MemTotal" and value.split()[:1]:
            return int(value.split()[0]) * 1024
    return None


def check(settings: Any) -> None:
    """Checks that a process can serve its largest request within the stated memory.

    Raises:
        SettingsError: It can't, or more may be held than the memory has room for.
    """
    stated_mb = getattr(settings, "memory_limit_mb", None)
    if not stated_mb:
        return
    body_bytes = getattr(settings, "body_limit_bytes", 0)
    stated_held_bytes = getattr(settings, "held_bytes_limit_bytes", None)
    held_bytes = stated_held_bytes or held.default_limit_bytes(
        int(stated_mb * BYTES_PER_MB)
    )
    reserve_bytes = held.HeldBytes(held_bytes).reserve_limit_bytes
    kept_bytes = max(body_bytes, stated_held_bytes or 0)
    needed_mb = (IDLE_BYTES + BODY_COPIES * kept_bytes) / BYTES_PER_MB
    if stated_mb < needed_mb:
        fault = f"{needed_mb:.0f} MB are needed for the process and what it may hold"
    elif body_bytes > reserve_bytes:
        fault = f"the largest body, {body_bytes} bytes, exceeds {reserve_bytes} bytes"
    else:
        return
    raise SettingsError([f"$.memory_limit_mb: {stated_mb:g} MB: {fault}"])
