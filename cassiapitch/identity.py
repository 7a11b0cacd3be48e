"""Reads and creates `identity.json`, which names the owner of a data folder."""

import dataclasses

import msgspec

from cassiapitch.exceptions import StorageError
from cassiapitch.files import Files, write_atomically
from cassiapitch.journal import is_log_name

FILE_NAME = "identity.json"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Deployment, member name and the random id of this disk."""

    cluster: str
    name: str
    disk_id: str


def load_or_create(files: Files, cluster: str, name: str, new_disk_id: str) -> Identity:
    """Returns the folder's identity; creates it if the folder holds no log.

    Files of others, such as a file system's `lost+found`, say nothing of a member.

    Raises:
        StorageError: The folder belongs to another member or deployment, or holds a
            log without an identity.
    """
    names = files.list_names()
    if FILE_NAME not in names:
        log_names = [file_name for file_name in names if is_log_name(file_name)]
        if log_names:
            raise StorageError(
                f"{FILE_NAME} is missing; the folder holds {log_names[0]}"
            )
        identity = Identity(cluster, name, new_disk_id)
        write_atomically(files, FILE_NAME, msgspec.json.encode(identity))
        return identity
    try:
        identity = msgspec.json.decode(files.read(FILE_NAME), type=Identity)
    except msgspec.MsgspecError as error:
        raise StorageError(f"{FILE_NAME} is damaged: {error}") from None
    if (identity.cluster, identity.name) != (cluster, name):
        raise StorageError(
            f"{FILE_NAME} belongs to member {identity.name} of {identity.cluster}, "
            f"not to {name} of {cluster}"
        )
    # The process that created it may have ended before its name was durable. A log
    # that is durable sooner would be left without an identity by a loss of power.
    files.sync_folder()
    return identity
