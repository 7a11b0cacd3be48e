"""File operations of a data folder as an interface, so that tests can fake the disk."""

import contextlib
import dataclasses
import os
import pathlib
from collections.abc import Callable

from cassiapitch.disk_calls import recorded


@dataclasses.dataclass(frozen=True, slots=True)
class Files:
    """Operations on the files of one folder; names are relative to it.

    Attributes:
        list_names: Returns the names of all files.
        read: Returns a file's bytes.
        append: Writes at a file's end, and creates the file if it doesn't exist; the
            bytes are not durable before `sync`.
        sync: Makes a file's bytes durable.
        replace: Renames a file over another one.
        truncate: Truncates a file to a length.
        remove: Deletes a file.
        sync_folder: Makes created, renamed and deleted file names durable.
        close: Closes what is open; later operations open it again.
    """

    list_names: Callable[[], list[str]]
    read: Callable[[str], bytes]
    append: Callable[[str, bytes], None]
    sync: Callable[[str], None]
    replace: Callable[[str, str], None]
    truncate: Callable[[str, int], None]
    remove: Callable[[str], None]
    sync_folder: Callable[[], None]
    close: Callable[[], None] = lambda: None


def open_folder(path: str) -> Files:
    """Returns the operations on a folder on disk; creates it if it doesn't exist."""
    folder = pathlib.Path(path)
    recorded("create", lambda: folder.mkdir(parents=True, exist_ok=True))()
    # Files stay open between writes: the kernel reports an error during write-back
    # to the descriptor that wrote.
    descriptors: dict[str, int] = {}

    def descriptor(name: str) -> int:
        if name not in descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            descriptors[name] = os.open(folder / name, flags, 0o600)
        return descriptors[name]

    def close(name: str) -> None:
        if name in descriptors:
            os.close(descriptors.pop(name))

    def append(name: str, data: bytes) -> None:
        remaining = memoryview(data)
        while len(remaining) > 0:
            remaining = remaining[os.write(descriptor(name), remaining) :]

    def replace(source: str, target: str) -> None:
        close(source)
        close(target)
        os.replace(folder / source, folder / target)

    def remove(name: str) -> None:
        close(name)
        os.unlink(folder / name)

    def sync_folder() -> None:
        folder_descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder_descriptor)
        finally:
            os.close(folder_descriptor)

    def close_all() -> None:
        for name in list(descriptors):
            # The descriptor is closed even if the disk reports an error.
            with contextlib.suppress(OSError):
                close(name)

    return Files(
        list_names=recorded("list_names", lambda: sorted(os.listdir(folder))),
        read=recorded("read", lambda name: (folder / name).read_bytes()),
        append=recorded("append", append),
        sync=recorded("sync", lambda name: os.fsync(descriptor(name))),
        replace=recorded("replace", replace),
        truncate=recorded(
            "truncate", lambda name, length: os.truncate(descriptor(name), length)
        ),
        remove=recorded("remove", remove),
        sync_folder=recorded("sync_folder", sync_folder),
        close=recorded("close", close_all),
    )


def write_atomically(files: Files, name: str, data: bytes) -> None:
    """Replaces a file; after a crash it has the old or the new content, never a mix.

    Raises:
        OSError: The disk refused it. Nothing of the new content takes room, unless the
            disk refuses that as well.
    """
    temporary = f"{name}.tmp"
    if temporary in files.list_names():
        files.remove(temporary)
    try:
        files.append(temporary, data)
        files.sync(temporary)
        files.replace(temporary, name)
    except OSError:
        # The first error counts, and the next attempt removes the file as well.
        with contextlib.suppress(OSError):
            if temporary in files.list_names():
                files.remove(temporary)
        raise
    files.sync_folder()
