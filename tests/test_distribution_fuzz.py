"""Stateful fuzzing of the distribution of the view to entries, and of its freshness.

Links are cut, members are isolated, restarted or get a snapshot, and entries freeze.
The test checks that an entry's view never goes back and always equals the state at its
index, and that an entry that considers its view fresh knows every key withdrawal that
was acknowledged before it requested the confirmation.
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

FRESHNESS_MS = 1_800
MEMBERS = st.integers(0, 2)
ENTRIES = st.integers(0, 1)
SLOTS = st.integers(0, 1)


class Member:
    """A control member: its state, links, and at most one read in progress."""

    def __init__(self):
        self.state = ReplicatedState(StandinFleet(), ())
        self.applied_index, self.is_connected = 0, True
        self.pending_confirmations = view_confirmations.ViewConfirmations()
        self.read_index = None
        self.links = set()


class Link:
    """A link with the messages in transit in both directions."""

    def __init__(self, entry, member, applied_index):
        hello = LinkHello("e", "life", "test", "z", applied_index, True)
        self.entry, self.member = entry, member
        self.state = linkstate.open_link(hello)
        self.to_member, self.to_entry = collections.deque(), collections.deque()


class Entry:
    """An entry that applies deltas in order and snapshots as a whole."""

    def __init__(self):
        self.index, self.items = 0, {}
        self.partial_snapshots = {}
        self.links = [None, None]
        self.sequence = 0
        self.asked_at_ms, self.index_by_asked_ms = {}, {}

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
                    self.partial_snapshots[link] = {}
                self.partial_snapshots[link].update(message.items)
                if message.last:
                    items = self.partial_snapshots.pop(link)
                    if message.index > self.index:
                        self.items, self.index = items, message.index
            case Confirmed():
                asked_ms = self.asked_at_ms[message.sequence]
                self.index_by_asked_ms[asked_ms] = message.index

    def fresh_since(self, now_ms):
        """Returns the time of the latest request whose confirmation is still valid."""
        return max(
            (
                asked_ms
                for asked_ms, index in self.index_by_asked_ms.items()
                if index <= self.index and now_ms - asked_ms <= FRESHNESS_MS
            ),
            default=None,
        )


class Freshness(RuleBasedStateMachine):
    """One committed log, three members that may apply it late, and two entries."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.log = []
        self.members = [Member() for _ in range(3)]
        self.entries = [Entry() for _ in range(2)]
        self.reference_state = ReplicatedState(StandinFleet(), ())
        self.items_by_index = {0: {}}
        self.acknowledged_withdrawals = []
        self.highest_index = [0, 0]
        self.saved_changes_count = view.RETAINED_CHANGES_COUNT
        self.saved_part_bytes = view.SNAPSHOT_PART_BYTES
        # Small limits, so that deltas become unavailable and snapshots have parts.
        view.RETAINED_CHANGES_COUNT, view.SNAPSHOT_PART_BYTES = 6, 400

    def teardown(self):
        view.RETAINED_CHANGES_COUNT = self.saved_changes_count
        view.SNAPSHOT_PART_BYTES = self.saved_part_bytes

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
            self.reference_state.apply(index, index, self.log[-1])
        self.items_by_index[index] = dict(self.reference_state.view.items)

    @rule(number=st.integers(0, 30))
    def withdraw(self, number):
        """Commits the withdrawal of a key and acknowledges it to the operator."""
        sha256 = f"{number:064x}"
        self.commit(commands.WithdrawKey(sha256, "ann"))
        self.acknowledged_withdrawals.append((self.now_ms, sha256))

    @rule(number=st.integers(0, 30))
    def grant(self, number):
        self.commit(commands.GrantKey(f"{number:064x}", "acme", "ann"))

    @rule()
    def commit_entry_without_a_command(self):
        """Commits an entry like the first one of a leader, which changes no item."""
        self.commit(None)

    @rule(number=MEMBERS, count=st.sampled_from((1, 3, 20)))
    def apply_some(self, number, count):
        member = self.members[number]
        for _ in range(count):
            if member.applied_index == len(self.log) or not member.is_connected:
                break
            member.applied_index += 1
            data = self.log[member.applied_index - 1]
            if data is not None:
                member.state.apply(member.applied_index, member.applied_index, data)
            view.advance(member.state.view, member.applied_index)
            self.finish_read(member)

    @rule(number=MEMBERS, is_connected=st.booleans())
    def isolate(self, number, is_connected):
        self.members[number].is_connected = is_connected

    @rule(number=MEMBERS, lag=st.integers(0, 5), in_place=st.booleans())
    def restore(self, number, lag, in_place):
        """Starts a member from a snapshot on disk, or sends it one from the leader."""
        member = self.members[number]
        index = max(member.applied_index if in_place else 0, len(self.log) - lag)
        source_state = ReplicatedState(StandinFleet(), ())
        for position, data in enumerate(self.log[:index], 1):
            if data is not None:
                source_state.apply(position, position, data)
        if not in_place:
            for link in list(member.links):
                self.cut_link(link)
            self.members[number] = member = Member()
        member.state.restore(source_state.snapshot())
        member.applied_index = index
        view.advance(member.state.view, index)

    @rule(entry=ENTRIES, slot=SLOTS, number=MEMBERS)
    def connect(self, entry, slot, number):
        self.cut(entry, slot)
        entry_model, member = self.entries[entry], self.members[number]
        link = Link(entry_model, member, entry_model.index)
        entry_model.links[slot] = link
        member.links.add(link)

    @rule(entry=ENTRIES, slot=SLOTS)
    def cut(self, entry, slot):
        link = self.entries[entry].links[slot]
        if link is not None:
            self.cut_link(link)

    def cut_link(self, link):
        link.member.links.discard(link)
        link.entry.links = [
            None if slot_link is link else slot_link for slot_link in link.entry.links
        ]

    @rule(ms=st.sampled_from((1, 250, 1_000, 1_799, 1_801)))
    def wait(self, ms):
        """Lets time pass without messages, as when all entries freeze."""
        self.now_ms += ms

    @rule(entry=ENTRIES, slot=SLOTS)
    def ask(self, entry, slot):
        entry_model = self.entries[entry]
        link = entry_model.links[slot]
        if link is not None:
            entry_model.sequence += 1
            entry_model.asked_at_ms[entry_model.sequence] = self.now_ms
            link.to_member.append(ConfirmAsk(entry_model.sequence))

    @rule(entry=ENTRIES, slot=SLOTS)
    def receive_ask(self, entry, slot):
        link = self.entries[entry].links[slot]
        if link is not None and link.to_member:
            sequence = link.to_member.popleft().sequence
            view_confirmations.add_request(
                link.member.pending_confirmations, link, sequence
            )

    @rule(number=MEMBERS)
    def begin_read(self, number):
        """Begins a read; its index is that of the log at this time."""
        member = self.members[number]
        if view_confirmations.begin_read(member.pending_confirmations):
            member.read_index = len(self.log) if member.is_connected else None
            if member.read_index is None:
                view_confirmations.end_read(member.pending_confirmations, None)
            self.finish_read(member)

    def finish_read(self, member):
        """Ends the read if the member has applied the log up to its index."""
        if member.read_index is None or member.applied_index < member.read_index:
            return
        index, member.read_index = member.read_index, None
        for link, sequence in view_confirmations.end_read(
            member.pending_confirmations, index
        ):
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
        """Lets the member apply and write; the messages stay in transit."""
        link = self.entries[entry].links[slot]
        if link is not None:
            self.apply_some(self.members.index(link.member), count)
            self.write(entry, slot)

    @rule(entry=ENTRIES, slot=SLOTS, number=st.integers(0, 30))
    def race_two_links(self, entry, slot, number):
        """Lets a delta that was written first arrive after a later one."""
        self.grant(number)
        self.publish(entry, slot, 20)
        self.withdraw(number)
        self.confirm_at_once(entry, 1 - slot)
        self.receive(entry, slot, 50)

    @rule(entry=ENTRIES, slot=SLOTS, number=st.integers(0, 30))
    def withdraw_during_a_read(self, entry, slot, number):
        """Requests a second confirmation after a withdrawal was acknowledged, while a
        read runs that began before."""
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
        self.apply_some(member, max(0, len(self.log) - 1 - link.member.applied_index))
        self.write(entry, slot)
        self.receive(entry, slot, 50)

    @rule(entry=ENTRIES, slot=SLOTS)
    def confirm_at_once(self, entry, slot):
        """Runs request, read, apply, write and receive without delay, as usual."""
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
            assert entry.index >= self.highest_index[number]
            self.highest_index[number] = entry.index
            assert entry.items == self.items_by_index[entry.index]

    @invariant()
    def fresh_entries_know_what_was_acknowledged(self):
        for entry in self.entries:
            since_ms = entry.fresh_since(self.now_ms)
            if since_ms is None:
                continue
            for acknowledged_ms, sha256 in self.acknowledged_withdrawals:
                if acknowledged_ms < since_ms:
                    assert f"key/{sha256}" not in entry.items


TestFreshnessFuzz = Freshness.TestCase
TestFreshnessFuzz.settings = fuzzing.settings(300, 60)
