"""`identity.json`: which member's disk a data folder is."""

import dataclasses

import msgspec

from cassiapitch.exceptions import StorageError
from cassiapitch.files import Files, write_atomically

FILE_NAME = "identity.json"


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Deployment, member name and the random id of this disk."""

    cluster: str
    name: str
    disk_id: str


def load_or_create(files: Files, cluster: str, name: str, new_disk_id: str) -> Identity:
    """Returns the folder's identity; a folder without files gets a new one.

    Raises:
        StorageError: The folder belongs to another member or deployment, or holds a
            log without an identity.
    """
    names = [one for one in files.list_names() if not one.endswith(".tmp")]
    if FILE_NAME not in names:
        if names:
            raise StorageError(f"{FILE_NAME} is missing beside {names[0]}")
        identity = Identity(cluster, name, new_disk_id)
        write_atomically(files, FILE_NAME, msgspec.json.encode(identity))
        return identity
    try:
        identity = msgspec.json.decode(files.read(FILE_NAME), type=Identity)
    except msgspec.MsgspecError as error:
        raise StorageError(f"{FILE_NAME} is damaged: {error}") from None
    if (identity.cluster, identity.name) != (cluster, name):
        raise StorageError(
            f"{FILE_NAME} is of member {identity.name} of {identity.cluster}, "
            f"not of {name} of {cluster}"
        )
    return identity
