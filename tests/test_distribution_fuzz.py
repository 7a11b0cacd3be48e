"""Stateful fuzzing of the view's distribution and of freshness.

Links are cut, members are isolated, restarted or get a snapshot, entries freeze.
The oracle: an entry's view never goes back and always equals the state at its
index; an entry that takes itself for fresh knows every withdrawal that was
acknowledged before it asked.
"""

import collections

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiapitch import bundle, codec, commands, linkstate, view, view_confirmations
from cassiapitch.messages import (
    ConfirmAsk,
    Confirmed,
    LinkHello,
    ViewDelta,
)
from cassiapitch.messages import ViewSnapshot as Snapshot
from cassiapitch.replicated import ReplicatedState
from tests import fuzzing
from tests.standins import StandinFleet

FRESH_MS = 1_800
MEMBERS = st.integers(0, 2)
ENTRIES = st.integers(0, 1)
SLOTS = st.integers(0, 1)


class Member:
    """A control member: state, links, and at most one read in progress."""

    def __init__(self):
        self.state = ReplicatedState(StandinFleet(), ())
        self.applied, self.is_connected = 0, True
        self.asks = view_confirmations.ViewConfirmations()
        self.read = None
        self.links = set()


class Link:
    """A link with what is on its way in either direction."""

    def __init__(self, entry, member, applied):
        hello = LinkHello("e", "life", "test", "z", applied, True)
        self.entry, self.member = entry, member
        self.state = linkstate.open_link(hello)
        self.to_member, self.to_entry = collections.deque(), collections.deque()


class Entry:
    """An honest entry: applies increments in order, snapshots as a whole."""

    def __init__(self):
        self.index, self.items = 0, {}
        self.partial = {}
        self.links = [None, None]
        self.sequence = 0
        self.asked, self.confirmed = {}, {}

    def receive(self, link, message):
        match message:
            case ViewDelta():
                assert message.previous_index <= max(self.index, message.index)
                if message.previous_index <= self.index < message.index:
                    self.items.update(message.upserts)
                    for name in message.deletes:
                        self.items.pop(name, None)
                    self.index = message.index
            case Snapshot():
                if message.first:
                    self.partial[link] = {}
                self.partial[link].update(message.items)
                if message.last:
                    items = self.partial.pop(link)
                    if message.index > self.index:
                        self.items, self.index = items, message.index
            case Confirmed():
                asked_ms = self.asked[message.sequence]
                self.confirmed[asked_ms] = message.index

    def fresh_since(self, now_ms):
        """Returns the latest moment of asking that keeps this entry fresh."""
        return max(
            (
                asked_ms
                for asked_ms, index in self.confirmed.items()
                if index <= self.index and now_ms - asked_ms <= FRESH_MS
            ),
            default=None,
        )


class Freshness(RuleBasedStateMachine):
    """One committed log, three members that apply it late, two entries."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.log = []
        self.members = [Member() for _ in range(3)]
        self.entries = [Entry() for _ in range(2)]
        self.reference = ReplicatedState(StandinFleet(), ())
        self.views = {0: {}}
        self.acknowledged = []
        self.highest = [0, 0]
        self.kept_count = view.RETAINED_CHANGES_COUNT
        self.part_bytes = view.SNAPSHOT_PART_BYTES
        # Small limits, so that increments run out and snapshots have parts.
        view.RETAINED_CHANGES_COUNT, view.SNAPSHOT_PART_BYTES = 6, 400

    def teardown(self):
        view.RETAINED_CHANGES_COUNT = self.kept_count
        view.SNAPSHOT_PART_BYTES = self.part_bytes

    @initialize()
    def start(self):
        account = bundle.ClientAccount("acme", 10, 100)
        keys = tuple(bundle.Key(f"{n:064x}", "acme") for n in range(6))
        first = bundle.Bundle(1, client_accounts=(account,), keys=keys)
        self.commit(commands.PutBundle(first, "one", "", "ann", "ann"))
        for number in range(3):
            self.apply_some(number, 9)
        for entry in range(2):
            for slot in range(2):
                self.connect(entry, slot, entry + slot)

    def commit(self, command):
        self.log.append(None if command is None else codec.encode(command))
        index = len(self.log)
        if command is not None:
            self.reference.apply(index, index, self.log[-1])
        self.views[index] = dict(self.reference.view.items)

    @rule(number=st.integers(0, 30))
    def withdraw(self, number):
        """Committed, then acknowledged to the operator."""
        sha256 = f"{number:064x}"
        self.commit(commands.WithdrawKey(sha256, "ann"))
        self.acknowledged.append((self.now_ms, sha256))

    @rule(number=st.integers(0, 30))
    def grant(self, number):
        self.commit(commands.GrantKey(f"{number:064x}", "acme", "ann"))

    @rule()
    def commit_entry_without_a_command(self):
        """A new leader's first entry moves the index and no item."""
        self.commit(None)

    @rule(number=MEMBERS, count=st.sampled_from((1, 3, 20)))
    def apply_some(self, number, count):
        member = self.members[number]
        for _ in range(count):
            if member.applied == len(self.log) or not member.is_connected:
                break
            member.applied += 1
            data = self.log[member.applied - 1]
            if data is not None:
                member.state.apply(member.applied, member.applied, data)
            view.advance(member.state.view, member.applied)
            self.finish_read(member)

    @rule(number=MEMBERS, is_connected=st.booleans())
    def isolate(self, number, is_connected):
        self.members[number].is_connected = is_connected

    @rule(number=MEMBERS, lag=st.integers(0, 5), in_place=st.booleans())
    def restore(self, number, lag, in_place):
        """A process starts from a snapshot on disk, or gets one from the leader."""
        member = self.members[number]
        index = max(member.applied if in_place else 0, len(self.log) - lag)
        source = ReplicatedState(StandinFleet(), ())
        for position, data in enumerate(self.log[:index], 1):
            if data is not None:
                source.apply(position, position, data)
        if not in_place:
            for link in list(member.links):
                self.cut_link(link)
            self.members[number] = member = Member()
        member.state.restore(source.snapshot())
        member.applied = index
        view.advance(member.state.view, index)

    @rule(entry=ENTRIES, slot=SLOTS, number=MEMBERS)
    def connect(self, entry, slot, number):
        self.cut(entry, slot)
        item, member = self.entries[entry], self.members[number]
        link = Link(item, member, item.index)
        item.links[slot] = link
        member.links.add(link)

    @rule(entry=ENTRIES, slot=SLOTS)
    def cut(self, entry, slot):
        link = self.entries[entry].links[slot]
        if link is not None:
            self.cut_link(link)

    def cut_link(self, link):
        link.member.links.discard(link)
        link.entry.links = [None if one is link else one for one in link.entry.links]

    @rule(ms=st.sampled_from((1, 250, 1_000, 1_799, 1_801)))
    def wait(self, ms):
        """Also a freeze of all entries: time passes, nothing is received."""
        self.now_ms += ms

    @rule(entry=ENTRIES, slot=SLOTS)
    def ask(self, entry, slot):
        item = self.entries[entry]
        link = item.links[slot]
        if link is not None:
            item.sequence += 1
            item.asked[item.sequence] = self.now_ms
            link.to_member.append(ConfirmAsk(item.sequence))

    @rule(entry=ENTRIES, slot=SLOTS)
    def receive_ask(self, entry, slot):
        link = self.entries[entry].links[slot]
        if link is not None and link.to_member:
            sequence = link.to_member.popleft().sequence
            view_confirmations.ask(link.member.asks, link, sequence)

    @rule(number=MEMBERS)
    def begin_read(self, number):
        """What a quorum confirms once the read has begun is its index."""
        member = self.members[number]
        if view_confirmations.begin_read(member.asks):
            member.read = len(self.log) if member.is_connected else None
            if member.read is None:
                view_confirmations.end_read(member.asks, None)
            self.finish_read(member)

    def finish_read(self, member):
        """A read ends once the member has applied up to its index."""
        if member.read is None or member.applied < member.read:
            return
        index, member.read = member.read, None
        for link, sequence in view_confirmations.end_read(member.asks, index):
            if link in member.links:
                linkstate.queue_confirmation(link.state, sequence, index)

    @rule(entry=ENTRIES, slot=SLOTS)
    def write(self, entry, slot):
        link = self.entries[entry].links[slot]
        if link is not None:
            link.to_entry.extend(
                linkstate.pop_messages(link.state, link.member.state.view)
            )

    @rule(entry=ENTRIES, slot=SLOTS, count=st.sampled_from((1, 2, 50)))
    def receive(self, entry, slot, count):
        link = self.entries[entry].links[slot]
        for _ in range(count):
            if link is not None and link.to_entry:
                self.entries[entry].receive(link, link.to_entry.popleft())

    @rule(entry=ENTRIES, slot=SLOTS, count=st.sampled_from((1, 20)))
    def publish(self, entry, slot, count):
        """The member applies and writes; the messages stay on their way."""
        link = self.entries[entry].links[slot]
        if link is not None:
            self.apply_some(self.members.index(link.member), count)
            self.write(entry, slot)

    @rule(entry=ENTRIES, slot=SLOTS, number=st.integers(0, 30))
    def race_two_links(self, entry, slot, number):
        """An increment that was written first arrives after a later one."""
        self.grant(number)
        self.publish(entry, slot, 20)
        self.withdraw(number)
        self.confirm_at_once(entry, 1 - slot)
        self.receive(entry, slot, 50)

    @rule(entry=ENTRIES, slot=SLOTS, number=st.integers(0, 30))
    def withdraw_during_a_read(self, entry, slot, number):
        """The second ask comes after the acknowledgement, the read began before."""
        link = self.entries[entry].links[slot]
        if link is None:
            return
        member = self.members.index(link.member)
        self.commit(None)
        self.ask(entry, slot)
        self.receive_ask(entry, slot)
        self.begin_read(member)
        self.withdraw(number)
        self.wait(1)
        self.ask(entry, slot)
        self.receive_ask(entry, slot)
        self.apply_some(member, max(0, len(self.log) - 1 - link.member.applied))
        self.write(entry, slot)
        self.receive(entry, slot, 50)

    @rule(entry=ENTRIES, slot=SLOTS)
    def confirm_at_once(self, entry, slot):
        """The usual course: ask, read, apply, write and receive without delay."""
        self.ask(entry, slot)
        self.receive_ask(entry, slot)
        link = self.entries[entry].links[slot]
        if link is not None:
            number = self.members.index(link.member)
            self.begin_read(number)
            self.apply_some(number, 50)
            self.write(entry, slot)
            self.receive(entry, slot, 50)

    @invariant()
    def views_are_consistent_and_never_go_back(self):
        for number, entry in enumerate(self.entries):
            assert entry.index >= self.highest[number]
            self.highest[number] = entry.index
            assert entry.items == self.views[entry.index]

    @invariant()
    def fresh_entries_know_what_was_acknowledged(self):
        for entry in self.entries:
            since_ms = entry.fresh_since(self.now_ms)
            if since_ms is None:
                continue
            for acknowledged_ms, sha256 in self.acknowledged:
                if acknowledged_ms < since_ms:
                    assert f"key/{sha256}" not in entry.items


TestFreshnessFuzz = Freshness.TestCase
TestFreshnessFuzz.settings = fuzzing.settings(300, 60)
