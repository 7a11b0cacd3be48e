"""Control members of which only a seed address is known."""

from collections.abc import Iterable

from cassiapitch.exceptions import SettingsError
from cassiapitch.settings import Address, ControlPeer


class SeedList:
    """The current seeds; they may change while the process runs."""

    def __init__(self, seeds: tuple[str, ...], rpc_port: int) -> None:
        self._rpc_port = rpc_port
        self.peers = peers_from_seeds(seeds, rpc_port)

    def change(self, seeds: tuple[str, ...]) -> None:
        """Replaces the seeds; an empty list changes nothing."""
        self.peers = peers_from_seeds(seeds, self._rpc_port) or self.peers


def parse_address(text: str) -> Address:
    """Parses `ip:port`."""
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def peers_from_seeds(seeds: Iterable[str], rpc_port: int) -> tuple[ControlPeer, ...]:
    """Returns the control members at seed addresses.

    A control member that is started without a list of the others has its IP address
    as its name.

    Args:
        seeds: Addresses as `ip:port`; only the IP address is used.
        rpc_port: The port for other members and entries, the same on all members.

    Raises:
        SettingsError: A seed isn't an address.
    """
    peers = []
    for number, seed in enumerate(seeds):
        ip, separator, port = seed.rpartition(":")
        if not separator or not port.isdigit() or not ip:
            raise SettingsError([f"$.seeds[{number}]: expected ip:port, not {seed!r}"])
        peers.append(ControlPeer(ip, "unknown", Address(ip, rpc_port)))
    return tuple(peers)
