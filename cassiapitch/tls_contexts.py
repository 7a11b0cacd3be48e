"""TLS between the system's own processes, and its files at a start.

A certificate and its key are replaced one after the other. Meanwhile a file is missing
or cut, may not be read, or the two don't belong together.
"""

import asyncio
import contextlib
import errno
import functools
import os
import ssl
import time
from collections.abc import Callable

import anyio

from cassiapitch import daemon_threads, disk_errors
from cassiapitch.exceptions import SettingsError
from cassiapitch.settings import TlsSettings
from cassiapitch.start_files import RETRY_PAUSE_S

# How long the disk may take before that is logged.
SLOW_READ_S = 2.0

# Time of change, size and number of each file; None for one that can't be seen.
_Versions = tuple[tuple[int, int, int] | None, ...]


async def load_server_context(
    tls: TlsSettings, timeout_s: float, on_wait: Callable[[OSError], None]
) -> ssl.SSLContext:
    """Returns `server_context`; waits while its files can't be used.

    Args:
        tls: The files; they are read in a thread.
        timeout_s: How long they may be of no use without a change of one of them.
        on_wait: Called once, with the error, if they can't be used at first.

    Raises:
        SettingsError: The files can't be used.
    """
    changed_s = time.monotonic()
    versions: _Versions | None = None
    is_waiting = False
    while True:
        read = asyncio.ensure_future(_read(tls))
        try:
            end_s = changed_s + timeout_s
            slow_s = SLOW_READ_S if not is_waiting else timeout_s
            await asyncio.wait([read], timeout=min(slow_s, timeout_s))
            if not read.done():
                if not is_waiting:
                    is_waiting = True
                    on_wait(TimeoutError("the disk doesn't answer"))
                await asyncio.wait([read], timeout=max(0, end_s - time.monotonic()))
            if not read.done():
                raise _unusable(tls, TimeoutError("the disk doesn't answer"))
            read_versions, result = read.result()
        finally:
            read.cancel()
        if not isinstance(result, OSError):
            return result
        if read_versions != versions:
            versions, changed_s = read_versions, time.monotonic()
        is_late = time.monotonic() - changed_s >= timeout_s
        if is_late or not _may_pass(result):
            raise _unusable(tls, result)
        if not is_waiting:
            is_waiting = True
            on_wait(result)
        await anyio.sleep(RETRY_PAUSE_S)


# The reads that are running. While the disk hangs, further connections wait for them.
_client_reads: dict[TlsSettings, asyncio.Task[ssl.SSLContext]] = {}


async def load_client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns `client_context`; its files are read in a thread, once at a time.

    Raises:
        OSError: The files can't be used now.
    """
    read = _client_reads.get(tls)
    if read is None or read.get_loop() is not asyncio.get_running_loop():
        read = asyncio.create_task(
            daemon_threads.call(
                "TLS files", lambda _: client_context(tls), tls.certificate_path
            )
        )
        _client_reads[tls] = read
        read.add_done_callback(functools.partial(_forget_read, tls))
    return await asyncio.shield(read)


def _forget_read(tls: TlsSettings, read: asyncio.Task[ssl.SSLContext]) -> None:
    if _client_reads.get(tls) is read:
        del _client_reads[tls]
    if not read.cancelled():
        # Those that waited for it may have been cancelled.
        read.exception()


async def _read(tls: TlsSettings) -> tuple[_Versions | None, ssl.SSLContext | OSError]:
    """Returns the files' versions, and their context or why there is none."""

    def read(_: str) -> tuple[_Versions, ssl.SSLContext | OSError]:
        # Before they are read, so that a later change is noticed.
        versions = tuple(map(_version, _paths(tls)))
        try:
            return versions, server_context(tls)
        except OSError as error:
            return versions, error
        except MemoryError:
            return versions, OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))

    try:
        return await daemon_threads.call("TLS files", read, tls.certificate_path)
    except OSError as error:
        return None, error


def _version(path: str) -> tuple[int, int, int] | None:
    with contextlib.suppress(OSError):
        status = os.stat(path)
        return status.st_mtime_ns, status.st_size, status.st_ino
    return None


def _paths(tls: TlsSettings) -> tuple[str, str, str]:
    return tls.certificate_path, tls.key_path, tls.ca_path


def _unusable(tls: TlsSettings, error: OSError) -> SettingsError:
    text = f"the TLS files {', '.join(_paths(tls))} can't be used: {error}"
    return SettingsError([text])


def _may_pass(error: OSError) -> bool:
    """Returns whether the files may be of use later, without other settings."""
    if isinstance(error, ssl.SSLError | FileNotFoundError):
        return True
    return disk_errors.may_pass(error, is_opening=True)


def server_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that accepts only peers with a certificate of our CA."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def client_context(tls: TlsSettings) -> ssl.SSLContext:
    """Returns a context that presents our certificate and checks the peer's.

    Peers are addressed by IP address while their certificates name processes, so only
    the CA decides whether a peer belongs to the system.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.check_hostname = False
    context.load_cert_chain(tls.certificate_path, tls.key_path)
    context.load_verify_locations(tls.ca_path)
    return context
