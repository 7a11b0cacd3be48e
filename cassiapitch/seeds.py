"""Control members that are known by a seed address only."""

from collections.abc import Iterable

from cassiapitch.exceptions import SettingsError
from cassiapitch.settings import Address, ControlPeer


class SeedList:
    """Seeds in force; they may change while the process runs."""

    def __init__(self, seeds: tuple[str, ...], rpc_port: int) -> None:
        self._rpc_port = rpc_port
        self.peers = peers_from_seeds(seeds, rpc_port)

    def change(self, seeds: tuple[str, ...]) -> None:
        """Takes over other seeds; an empty list changes nothing."""
        self.peers = peers_from_seeds(seeds, self._rpc_port) or self.peers


def parse_address(text: str) -> Address:
    """Returns the address that `ip:port` means."""
    ip, _, port = text.rpartition(":")
    return Address(ip, int(port))


def peers_from_seeds(seeds: Iterable[str], rpc_port: int) -> tuple[ControlPeer, ...]:
    """Returns the control members behind seed addresses.

    A member without a list of the others is named by its IP number.

    Args:
        seeds: Addresses as `ip:port`.
        rpc_port: The port of peers and entries, the same on all members.

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
