"""Stateful fuzzing of rates: granters that change, freeze and lose leases.

The oracle (`World.check`) knows only the rule: over every window T all entries
together admit, net of refunds, at most burst + rate x T of a client account.
"""

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiapitch import commands, rate_floors
from tests import fuzzing
from tests.rates_world import ACCOUNTS, ENTRIES, World

NAMES = st.sampled_from(ENTRIES)
PAIR = st.sampled_from(ENTRIES[:2])
# Lower and higher in rate, in burst and in both; None leaves the account out.
LIMITS = st.sampled_from(
    (*ACCOUNTS.values(), (100, 100), (1_000, 1_000), (10, 200), (10, 20), None)
)
WAITS_MS = st.sampled_from((0, 1, 10, 50, 200, 399, 500, 900, 1_000, 3_000))


class Rates(RuleBasedStateMachine):
    """Messages late, lost and repeated, in any order."""

    def __init__(self):
        super().__init__()
        self.world = None
        self.asks, self.answers = [], []

    @initialize(account=st.sampled_from(sorted(ACCOUNTS)))
    def start(self, account):
        self.world = World(account)
        self.world.wait(3_000)
        self.world.record("now")

    @rule(ms=WAITS_MS)
    def wait(self, ms):
        self.world.wait(ms)

    @rule(ms=st.sampled_from((0, 100, 399)))
    def isolate_leader(self, ms):
        """The leader goes on with what is left of its lease."""
        self.world.is_connected = False
        self.world.wait(ms)

    @rule()
    def change_leader(self):
        self.world.change_leader()

    @rule(limits=LIMITS)
    def roll_bundle(self, limits):
        self.world.roll(limits)

    @rule(name=NAMES, needed=st.sampled_from((0, 10, 100)), expected=st.integers(0, 60))
    def ask(self, name, needed, expected):
        burst = ACCOUNTS[self.world.account][1]
        tokens = burst * needed // 100
        ask = self.world.make_ask(name, tokens, burst * expected // 100, tokens // 2)
        self.asks.append(ask)

    @rule(
        picks=st.lists(st.integers(0, 20), min_size=1, max_size=3), keep=st.booleans()
    )
    def deliver_asks(self, picks, keep):
        chosen = [self.asks[n % len(self.asks)] for n in picks if self.asks]
        self.answers += self.world.answer(chosen)
        if not keep:
            self.asks = [ask for ask in self.asks if ask not in chosen]

    @rule(pick=st.integers(0, 20), keep=st.booleans())
    def deliver_answer(self, pick, keep):
        if self.answers:
            position = pick % len(self.answers)
            ask, answer = self.answers[position]
            self.world.entries[ask.entry].receive(ask.life_id, answer)
            if not keep:
                del self.answers[position]

    @rule(name=NAMES, share=st.sampled_from((30, 100)))
    def take(self, name, share):
        self.world.take(name, share)

    @rule(how=st.sampled_from(("now", "late", "lost")), acknowledged=st.booleans())
    def record(self, how, acknowledged):
        self.world.record(how, acknowledged)

    @rule(pick=st.integers(0, 20))
    def commit_late_record(self, pick):
        late = self.world.late_records
        if late:
            rate_floors.record(self.world.log, late.pop(pick % len(late)))

    @rule(names=st.sets(NAMES, min_size=1), share=st.sampled_from((50, 100)))
    def admit(self, names, share):
        self.world.admit(names, share)

    @rule(pick=st.integers(0, 50), share=st.sampled_from((50, 100)))
    def return_unused_part(self, pick, share):
        uses = self.world.admitted
        if uses:
            self.world.return_part(uses[pick % len(uses)], share)

    @rule(name=NAMES)
    def return_unspent(self, name):
        self.world.entries[name].return_unspent()

    @rule(name=NAMES)
    def restart_entry(self, name):
        self.world.entries[name].restart()

    @invariant()
    def no_window_exceeds_the_rate(self):
        if self.world is not None:
            self.world.check()


class RateAttacks(RuleBasedStateMachine):
    """Few, larger steps that come near the limit.

    Full buckets are drained, grants are held until they expire, given back late
    and granted again under the next leader.
    """

    def __init__(self):
        super().__init__()
        self.world = None

    @initialize(account=st.sampled_from(sorted(ACCOUNTS)))
    def start(self, account):
        self.world = World(account)
        self.world.fill()

    @rule(name=PAIR, share=st.sampled_from((100, 30)), fill=st.booleans())
    def take(self, name, share, fill):
        if fill:
            self.world.fill()
        self.world.take(name, share)

    @rule(name=PAIR)
    def take_without_a_committed_record(self, name):
        self.world.take(name, 100, how="lost")
        self.world.change_leader()

    @rule()
    def change_leader(self):
        self.world.change_leader()

    @rule(
        limits=LIMITS,
        wait_ms=st.sampled_from((0, 20, 900, 1_100)),
        how=st.sampled_from(("now", "late", "lost")),
    )
    def roll_bundle(self, limits, wait_ms, how):
        self.world.roll(limits)
        self.world.wait(wait_ms)
        self.world.record(how)

    @rule(name=PAIR, copies=st.sampled_from((1, 2)))
    def give_back_and_take(self, name, copies):
        self.world.entries[name].return_unspent()
        self.world.exchange(self.world.make_ask(name, 1), copies)
        self.world.take(name, 100)

    @rule()
    def squeeze(self):
        """Everything is held, then taken once more, then admitted at once."""
        self.world.hold_until_expiry()
        for name in ENTRIES:
            ask = self.world.make_ask(name, ACCOUNTS[self.world.account][1])
            self.world.exchange(ask)
        self.world.admit(ENTRIES, 100)
        self.world.check()


HOW = st.sampled_from(("now", "late", "lost"))
# What happens around one bundle: the steps before it, its limits, the steps after.
PHASES = st.tuples(
    st.sampled_from(("", "fill", "take", "fill take", "fill take admit")),
    LIMITS,
    st.tuples(st.sampled_from((0, 1, 20, 600, 1_100, 2_500)), HOW, st.booleans()),
    st.sampled_from(("", "take", "take take", "leader take", "leader leader take")),
)


def run_steps(world, names, entry, how):
    for name in names.split():
        if name == "fill":
            world.fill()
        elif name == "take":
            world.take(entry, 100, how)
        elif name == "admit":
            world.admit(ENTRIES, 100)
        else:
            world.change_leader()


@fuzzing.settings(4_000, 1)
@hypothesis.given(
    account=st.sampled_from(sorted(ACCOUNTS)),
    phases=st.lists(PHASES, min_size=1, max_size=3),
    hold=st.booleans(),
)
def test_bundles_and_leaders_that_change_together(account, phases, hold):
    """Guards against grants under old limits that a change or a successor forgets."""
    world = World(account)
    world.fill()
    for before, limits, (wait_ms, how, acknowledged), after in phases:
        run_steps(world, before, "e0", "now")
        world.roll(limits)
        world.wait(wait_ms)
        world.record(how, acknowledged)
        while world.late_records and how == "late":
            rate_floors.record(world.log, world.late_records.pop())
        run_steps(world, after, "e1", how)
        if hold:
            world.hold_until_expiry()
        else:
            world.admit(ENTRIES, 100)
    for wait_ms in (0, 400, 1_100, 3_000):
        world.wait(wait_ms)
        world.admit(ENTRIES, 100)
        world.take("e2", 100)
        world.admit(ENTRIES, 100)
    world.check()


TestRatesFuzz = Rates.TestCase
TestRatesFuzz.settings = fuzzing.settings(200, 50)
TestRateAttacksFuzz = RateAttacks.TestCase
TestRateAttacksFuzz.settings = fuzzing.settings(2_000, 12)


def test_record_of_an_older_term_is_without_effect():
    """Guards against floors that a deposed granter raises behind its successor."""
    log = rate_floors.Floors(2, 1, {"acme": 5})
    old = commands.RecordFloors(1, 9, {"acme": 90})
    assert not rate_floors.record(log, old).accepted
    assert log.floors == {"acme": 5}
