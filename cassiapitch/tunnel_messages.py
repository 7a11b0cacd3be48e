"""Messages of tunnels: connections to backend servers through another entry.

Entries tell the control group where they accept tunnels. Each member knows all entries
from the leader, and names a few peers to the entries that are linked to it.
"""

import enum

import msgspec

from cassiapitch import codec
from cassiapitch.settings import Address
from cassiapitch.types import BackendName, LifeId


class TunnelPeer(msgspec.Struct, frozen=True, array_like=True):
    """An entry that opens connections to backend servers for others.

    Attributes:
        entry: Its name.
        zone: Its availability zone.
        address: Where it accepts tunnels.
    """

    entry: str
    zone: str
    address: Address


class TunnelPeers(msgspec.Struct, frozen=True, array_like=True):
    """The peers that an entry may ask; replaces the last ones."""

    peers: tuple[TunnelPeer, ...]


class LinkedEntries(msgspec.Struct, frozen=True, array_like=True):
    """The entries that are linked to a control member, for the leader."""

    member: str
    entries: tuple[TunnelPeer, ...]


class AllEntries(msgspec.Struct, frozen=True, array_like=True):
    """The entries that are linked to any control member, from the leader."""

    entries: tuple[TunnelPeer, ...]


class TunnelOutcome(enum.StrEnum):
    """What became of a request for a tunnel."""

    OPENED = "opened"
    # The backend server refused the connection, or didn't answer.
    REFUSED = "refused"
    SILENT = "silent"
    # The peer can't tell: its own links fail, or its view lacks the backend server.
    CUT = "cut"
    UNKNOWN = "unknown"
    # The peer serves as many tunnels as it may, or is stopping.
    BUSY = "busy"


class TunnelAsk(msgspec.Struct, frozen=True, array_like=True):
    """First message of a tunnel: asks for a connection to a backend server.

    Attributes:
        cluster: Name of the deployment.
        entry: The entry that asks.
        backend: The backend server.
        life_id: Its incarnation.
    """

    cluster: str
    entry: str
    backend: BackendName
    life_id: LifeId


class TunnelAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `TunnelAsk`; once opened, byte strings follow in both directions.

    An empty byte string from the peer is the end of the backend server's bytes. A
    tunnel that ends without it broke off. `LEAVING` asks the entry to use the tunnel
    for no further request.
    """

    outcome: TunnelOutcome


LEAVING = False

REGISTERED_TYPES = (
    TunnelPeers,
    LinkedEntries,
    AllEntries,
    TunnelAsk,
    TunnelAnswer,
)
codec.register(REGISTERED_TYPES)
