"""Fuzz tests of placement and orders against engines with simulated memory."""

import os
import random

import hypothesis
import hypothesis.stateful
import hypothesis.strategies as st

from tests.fleet_world import World

IS_LONG_RUN = bool(os.environ.get("CASSIAPITCH_FUZZ"))
# An example takes up to a second to simulate, so shrinking would take minutes.
SETTINGS = hypothesis.settings(
    derandomize=not IS_LONG_RUN,
    deadline=None,
    database=None,
    max_examples=600 if IS_LONG_RUN else 150,
    stateful_step_count=25,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
FAULTS = st.lists(
    st.sampled_from(["lost", "late", "doubled", "unanswered", "none"]), max_size=6
)
NAMES = ["a", "b", "c", "d", "e", "f", "a-x", "d-x"]
ENGINES = st.integers(0, 2)


class FleetMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Guards against memory overcommit, models that are never served and orders to
    leaving servers."""

    fencing = True

    @hypothesis.stateful.initialize(seed=st.integers(0, 1_000))
    def begin(self, seed):
        self.world = World(fencing=self.fencing, seed=seed)
        self.world.run(1_500)

    @hypothesis.stateful.rule(seconds=st.integers(1, 12))
    def wait(self, seconds):
        self.world.run(seconds * 1_000)

    @hypothesis.stateful.rule(
        name=st.sampled_from(NAMES), count=st.sampled_from([0, 1, 10, 100])
    )
    def demand(self, name, count):
        self.world.demand_by_name[name] = count
        self.world.report_demand(name, 1)
        self.world.run(1_000)

    @hypothesis.stateful.rule(faults=FAULTS)
    def order_faults(self, faults):
        self.world.order_faults = faults

    @hypothesis.stateful.rule(count=st.integers(1, 6))
    def announcement_faults(self, count):
        self.world.announcement_faults = count

    @hypothesis.stateful.rule()
    def lose_proposals(self):
        self.world.lost_proposals = 2

    @hypothesis.stateful.rule(number=ENGINES, seconds=st.integers(0, 14))
    def restart_engine(self, number, seconds):
        self.world.engines[number].is_alive = False
        self.world.run(seconds * 1_000)
        self.world.engines[number].start()

    @hypothesis.stateful.rule(number=ENGINES)
    def toggle_leaving(self, number):
        memory = self.world.engines[number].memory
        memory.leaving = not memory.leaving

    @hypothesis.stateful.rule(number=ENGINES)
    def toggle_silent(self, number):
        engine = self.world.engines[number]
        engine.is_silent = not engine.is_silent

    @hypothesis.stateful.rule()
    def change_leader(self):
        self.world.change_leader()

    @hypothesis.stateful.rule()
    def restore_replica(self):
        self.world.restore_replica()

    @hypothesis.stateful.rule(
        models=st.dictionaries(
            st.sampled_from("abcdef"), st.sampled_from([20, 45, 70]), min_size=2
        ),
        adapters=st.dictionaries(
            st.sampled_from(["a-x", "d-x"]), st.sampled_from([5, 20])
        ),
        minimum=st.sampled_from([None, "a", "c"]),
    )
    def roll_out_bundle(self, models, adapters, minimum):
        self.world.roll_out_bundle(models, adapters, minimum)

    @hypothesis.stateful.rule(seed=st.integers(0, 1_000_000))
    def walk(self, seed):
        """Runs ten random actions in a row, since single rules rarely overlap in time."""
        rng = random.Random(seed)
        for _ in range(10):
            self.wait(rng.randrange(1, 8))
            number = rng.randrange(3)
            action = rng.randrange(6)
            if action == 0:
                self.demand(rng.choice(NAMES), rng.choice([0, 1, 100]))
            elif action == 1:
                self.order_faults(rng.choices(["late", "doubled", "lost"], k=4))
            elif action == 2:
                self.restart_engine(number, rng.randrange(14))
            elif action == 3:
                self.roll_out_bundle(
                    {
                        name: rng.choice([20, 45, 70])
                        for name in rng.sample("abcdef", 4)
                    },
                    {},
                    None,
                )
            elif action == 4:
                self.change_leader()
            else:
                self.toggle_silent(number)

    def teardown(self):
        if hasattr(self, "world"):
            self.world.recover_and_check()


class UnfencedFleetMachine(FleetMachine):
    """The same without fencing, where late duplicates of orders are executed."""

    fencing = False


TestFencedFleetFuzz = FleetMachine.TestCase
TestFencedFleetFuzz.settings = SETTINGS
TestUnfencedFleetFuzz = UnfencedFleetMachine.TestCase
TestUnfencedFleetFuzz.settings = SETTINGS
