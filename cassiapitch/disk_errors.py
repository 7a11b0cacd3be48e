"""Decides which failures of calls on files may pass, and which don't.

A failure on the data folder that may pass is waited for: starting again doesn't make a
disk accept writes, and a control member that runs still relays what others decide.
Errors that aren't listed here count as such, for instance a full, read-only or slow
disk, a permission that an operator restores, or descriptors and memory that are used
up.
"""

import errno

from cassiapitch.exceptions import StorageError, StorageRefusedError

# The path names no folder, the file system lacks an operation, or the program uses it
# wrongly: repeating the call gives the same answer.
_FINAL_ERRNOS = frozenset(
    {
        errno.EBADF,
        errno.EEXIST,
        errno.EFAULT,
        errno.EFBIG,
        errno.EINVAL,
        errno.EISDIR,
        errno.ELOOP,
        errno.ENAMETOOLONG,
        errno.ENOENT,
        errno.ENOSYS,
        errno.ENOTDIR,
        errno.ENOTEMPTY,
        errno.EOPNOTSUPP,
        errno.EXDEV,
    }
)
# The open files don't belong to the folder any more. Another disk may be there by now,
# so only a start, which reads the folder's identity, may open them again.
_REOPEN_ERRNOS = frozenset({errno.ENODEV, errno.ENXIO, errno.ESTALE})


def may_pass(error: OSError, *, is_opening: bool) -> bool:
    """Returns whether a failed call on a file may succeed later.

    Args:
        error: The error of the call.
        is_opening: Whether the file or folder is being opened, so that trying again
            finds it anew.
    """
    if error.errno in _FINAL_ERRNOS:
        return False
    return is_opening or error.errno not in _REOPEN_ERRNOS


def storage_error(
    operation: str, error: OSError, *, is_opening: bool = False
) -> StorageError:
    """Returns the exception for a failed call on the data folder.

    Args:
        operation: What failed, for messages.
        error: The error of the call.
        is_opening: Whether the folder is being opened, so that trying again reads its
            identity again.

    Returns:
        A `StorageRefusedError` if the error may pass.
    """
    passes = may_pass(error, is_opening=is_opening)
    error_class = StorageRefusedError if passes else StorageError
    return error_class(f"{operation} failed: {error}")
