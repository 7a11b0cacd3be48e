"""The entries of the deployment, at each control member, and the peers of each entry.

Members tell the leader which entries are linked to them; the leader tells all members.
An entry gets a few peers only, so that no entry knows or connects to all others.
"""

import dataclasses
import hashlib
from collections.abc import Iterable

from cassiapitch.tunnel_messages import (
    AllEntries,
    LinkedEntries,
    TunnelPeer,
    TunnelPeers,
)

# Peers that an entry is told, and how many of them at most in its own zone.
PEERS_COUNT = 8
PEERS_IN_ZONE_COUNT = 3
# Lists are repeated this often, and sent at once when they change.
REPEAT_MS = 5_000
# By this time in its term a leader has heard from every member that it reaches.
NEW_LEADER_MS = 2_000
# The entries of a member that the leader has not heard of for this long are dropped.
MEMBER_SILENCE_MS = 15_000


@dataclasses.dataclass(slots=True)
class _LastSent:
    """A list that was sent, when, and under which leader."""

    entries: tuple[TunnelPeer, ...] | None = None
    leader: str | None = None
    sent_ms: int = 0

    def is_due(
        self, entries: tuple[TunnelPeer, ...], leader: str | None, now_ms: int
    ) -> bool:
        """Returns whether a list is to be sent; it then counts as sent."""
        is_same = entries == self.entries and leader == self.leader
        if is_same and now_ms - self.sent_ms < REPEAT_MS:
            return False
        self.entries, self.leader, self.sent_ms = entries, leader, now_ms
        return True


class EntryDirectory:
    """What one control member knows of the entries."""

    def __init__(self, member: str) -> None:
        self._member = member
        self._own_sent = _LastSent()
        self._all_sent = _LastSent()
        self._leading_since_ms: int | None = None
        # As the leader: what each member reported last, and when.
        self._reports: dict[str, tuple[LinkedEntries, int]] = {}
        self._entries: tuple[TunnelPeer, ...] | None = None

    def linked(
        self, entries: Iterable[TunnelPeer], leader: str | None, now_ms: int
    ) -> LinkedEntries | None:
        """Returns the message to the leader if it is due.

        Args:
            entries: The entries that are linked to this member.
            leader: The leader that it goes to.
            now_ms: The current time.
        """
        linked = tuple(sorted(entries, key=lambda peer: peer.entry))
        if not self._own_sent.is_due(linked, leader, now_ms):
            return None
        return LinkedEntries(self._member, linked)

    def on_linked(self, message: LinkedEntries, now_ms: int) -> None:
        """Records, as the leader, which entries are linked to a member."""
        self._reports[message.member] = (message, now_ms)

    def all_entries(self, leader: str | None, now_ms: int) -> AllEntries | None:
        """Returns the message to all members if this member leads and it is due.

        A new leader first hears from the other members.
        """
        if leader != self._member:
            self._leading_since_ms = None
            return None
        if self._leading_since_ms is None:
            self._leading_since_ms = now_ms
        if now_ms - self._leading_since_ms < NEW_LEADER_MS:
            return None
        self._reports = {
            member: (message, heard_ms)
            for member, (message, heard_ms) in self._reports.items()
            if now_ms - heard_ms < MEMBER_SILENCE_MS
        }
        by_name = {
            peer.entry: peer
            for message, _ in self._reports.values()
            for peer in message.entries
        }
        entries = tuple(by_name[name] for name in sorted(by_name))
        if not self._all_sent.is_due(entries, leader, now_ms):
            return None
        return AllEntries(entries)

    def on_all_entries(self, message: AllEntries) -> None:
        """Replaces the known entries."""
        self._entries = message.entries

    def peers_of(self, entry: str, zone: str) -> TunnelPeers | None:
        """Returns the peers of an entry: some of its zone, the others by zones in turn.

        Rendezvous hashing: a change of the entries changes few peers.

        Returns:
            The peers; None before this member knows the entries.
        """
        if self._entries is None:
            return None
        by_zone: dict[str, list[TunnelPeer]] = {}
        for peer in sorted(self._entries, key=lambda peer: _weight(entry, peer.entry)):
            if peer.entry != entry:
                by_zone.setdefault(peer.zone, []).append(peer)
        in_zone = by_zone.pop(zone, [])
        chosen = in_zone[:PEERS_IN_ZONE_COUNT]
        rest = in_zone[PEERS_IN_ZONE_COUNT:]
        columns = [by_zone[name] for name in sorted(by_zone)]
        for row in range(max(map(len, columns), default=0)):
            chosen += [column[row] for column in columns if row < len(column)]
        return TunnelPeers(tuple((chosen + rest)[:PEERS_COUNT]))


def _weight(entry: str, peer: str) -> bytes:
    return hashlib.sha256(f"{entry} {peer}".encode()).digest()
