"""Tests of which entries are told to which."""

from cassiapitch.entry_directory import (
    NEW_LEADER_MS,
    PEERS_COUNT,
    PEERS_IN_ZONE_COUNT,
    REPEAT_MS,
    EntryDirectory,
)
from cassiapitch.settings import Address
from cassiapitch.tunnel_messages import AllEntries, LinkedEntries, TunnelPeer


def entries(count, zones=3):
    return tuple(
        TunnelPeer(f"e{n:03}", f"z{n % zones}", Address("10.0.0.1", 1 + n))
        for n in range(count)
    )


def directory_of(peers):
    directory = EntryDirectory("c0")
    directory.on_all_entries(AllEntries(peers))
    return directory


def test_entry_of_a_large_fleet_knows_few_peers_in_several_zones():
    directory = directory_of(entries(650, zones=5))
    asked = {}
    for peer in entries(650, zones=5):
        peers = directory.peers_of(peer.entry, peer.zone).peers
        assert len(peers) == PEERS_COUNT
        assert peer.entry not in {item.entry for item in peers}
        in_zone = [item for item in peers if item.zone == peer.zone]
        assert len(in_zone) == PEERS_IN_ZONE_COUNT
        assert len({item.zone for item in peers}) == 5
        for item in peers:
            asked[item.entry] = asked.get(item.entry, 0) + 1
    assert max(asked.values()) <= 4 * PEERS_COUNT


def test_lost_entry_changes_the_peers_of_few():
    before, after = entries(650), entries(650)[1:]
    old, new = directory_of(before), directory_of(after)
    changed_count = sum(
        old.peers_of(peer.entry, peer.zone) != new.peers_of(peer.entry, peer.zone)
        for peer in after
    )
    assert changed_count <= 5 * PEERS_COUNT


def test_new_leader_tells_nothing_before_it_has_heard_from_all_members():
    directory = EntryDirectory("c0")
    first, second = entries(2)
    assert directory.all_entries("c0", 0) is None
    directory.on_linked(LinkedEntries("c0", (first,)), 0)
    assert directory.all_entries("c0", NEW_LEADER_MS - 1) is None
    directory.on_linked(LinkedEntries("c1", (second,)), NEW_LEADER_MS - 1)
    message = directory.all_entries("c0", NEW_LEADER_MS)
    assert message == AllEntries((first, second))
    assert directory.all_entries("c0", NEW_LEADER_MS + 1) is None
    assert directory.all_entries("c0", NEW_LEADER_MS + REPEAT_MS) == message


def test_lists_are_sent_when_they_change_and_to_a_new_leader():
    directory = EntryDirectory("c0")
    (peer,) = entries(1)
    assert directory.linked((peer,), "c1", 0) is not None
    assert directory.linked((peer,), "c1", 1) is None
    assert directory.linked((peer,), "c2", 2) is not None
    assert directory.linked((), "c2", 3) == LinkedEntries("c0", ())
    assert directory.linked((), "c2", 3 + REPEAT_MS) is not None


def test_member_that_knows_no_entries_yet_names_no_peers():
    assert EntryDirectory("c0").peers_of("e0", "z0") is None
