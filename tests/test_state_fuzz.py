"""Stateful fuzzing of bundles, keys, claims and suspects as replicated state.

Operators race and repeat commands, entries and leaders crash between a command and its
result, and a second replica is saved and restored at any point. The checks model the
rules of the design page and look only at commands and their results.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cassiapitch import bundle, claims, codec, commands, view
from cassiapitch.replicated import ReplicatedState
from cassiapitch.types import ClaimState
from tests import fuzzing
from tests.standins import StandinFleet

KEYS = tuple(f"{n:064x}" for n in range(4))
ACCOUNTS = ("acme", "bolt")
COMMAND_NUMBERS = st.integers(0, 30)
CLAIMS_LIMIT_COUNT = 3


def make_put_bundle(version, accounts, keys, author):
    listed = [bundle.Key(k, accounts[n % len(accounts)]) for n, k in enumerate(keys)]
    new = bundle.Bundle(
        version,
        client_accounts=tuple(bundle.ClientAccount(name, 10, 100) for name in accounts),
        keys=tuple(listed),
    )
    return commands.PutBundle(new, repr(new), "", author, author)


def make_finish_claim(name, holder, status, size):
    body = b"x" * size
    holder = f"{name}{holder}"
    return commands.FinishClaim("acme", name, holder, status, "text/plain", body)


NAMES, HOLDERS = st.sampled_from("pqrs"), st.integers(0, 2)
AUTHORS, DIGESTS = st.sampled_from(("ann", "bob")), st.sampled_from("xy")
COMMANDS = st.one_of(
    st.builds(
        make_put_bundle,
        st.integers(1, 8),
        st.sampled_from((ACCOUNTS, ACCOUNTS[:1], ACCOUNTS[::-1])),
        st.sets(st.sampled_from(KEYS)).map(sorted),
        AUTHORS,
    ),
    st.builds(
        commands.GrantKey,
        st.sampled_from(KEYS),
        st.sampled_from((*ACCOUNTS, "none")),
        AUTHORS,
    ),
    st.builds(commands.WithdrawKey, st.sampled_from(KEYS), AUTHORS),
    st.builds(
        lambda name, request, holder, lifetime_ms: commands.ClaimKey(
            "acme", name, request, f"{name}{holder}", lifetime_ms
        ),
        NAMES,
        st.sampled_from(("r", "r", "r", "other")),
        HOLDERS,
        st.sampled_from((10, 10_000)),
    ),
    st.builds(
        make_finish_claim,
        NAMES,
        HOLDERS,
        st.sampled_from((200, 500)),
        st.sampled_from((0, claims.BODY_LIMIT_BYTES + 1)),
    ),
    st.builds(
        lambda name, holder: commands.ReleaseClaim("acme", name, f"{name}{holder}"),
        NAMES,
        HOLDERS,
    ),
    st.builds(
        commands.ReportCrash,
        st.sampled_from("ABC"),
        st.sets(DIGESTS).map(lambda digests: tuple(sorted(digests))),
    ),
    st.builds(
        commands.ClearSuspect,
        DIGESTS,
        st.sets(st.sampled_from("ABC")).map(lambda lives: tuple(sorted(lives))),
    ),
)


class Replicated(RuleBasedStateMachine):
    """One log and two replicas; commands may be applied late or twice."""

    def __init__(self):
        super().__init__()
        self.limit_count = claims.CLAIMS_LIMIT_COUNT
        claims.CLAIMS_LIMIT_COUNT = CLAIMS_LIMIT_COUNT
        self.replicas = [ReplicatedState(StandinFleet(), ()) for _ in range(2)]
        self.index, self.time_ms = 0, 0
        self.sent_commands = []
        self.accepted_by_version, self.version_in_force = {}, 0
        self.withdrawn = set()
        self.holders, self.created_at_ms, self.deadlines_ms, self.finished_results = (
            {},
            {},
            {},
            {},
        )
        self.requests, self.released_at_ms = {}, {}
        self.crashed_lives, self.quarantine_ends_ms = {}, {}
        self.views_by_index = {}

    def teardown(self):
        claims.CLAIMS_LIMIT_COUNT = self.limit_count

    @initialize()
    def first_bundle(self):
        self.apply(make_put_bundle(1, ACCOUNTS, KEYS[:1], "ann"))

    def commit(self, command):
        """Applies a log entry on both replicas and returns the result."""
        self.index += 1
        self.time_ms += 1
        data = codec.encode(command)
        results = [
            replica.apply(self.index, self.time_ms, data) for replica in self.replicas
        ]
        assert results[0] == results[1]
        return codec.decode(results[0])

    def apply(self, command):
        self.check(command, self.commit(command))

    @rule(sent=st.lists(st.tuples(COMMANDS, st.booleans()), min_size=1, max_size=3))
    def send(self, sent):
        """Sends commands; each is applied now, or stays in flight and may be applied
        later."""
        for command, is_applied in sent:
            self.sent_commands.append(command)
            if is_applied:
                self.apply(command)

    @rule(
        number=COMMAND_NUMBERS,
        status=st.sampled_from((200, 500)),
        size=st.sampled_from((0, 3)),
    )
    def finish_by_holder(self, number, status, size):
        if self.holders:
            name = sorted(self.holders)[number % len(self.holders)]
            self.apply(make_finish_claim(name, self.holders[name][1:], status, size))

    @rule(number=COMMAND_NUMBERS)
    def apply_again_or_late(self, number):
        """Applies a sent command: a late one, or a duplicate after a lost result."""
        if self.sent_commands:
            self.apply(self.sent_commands[number % len(self.sent_commands)])

    @rule(numbers=st.lists(COMMAND_NUMBERS, min_size=1, max_size=4))
    def apply_batch(self, numbers):
        if not self.sent_commands:
            return
        batch_commands = [
            self.sent_commands[number % len(self.sent_commands)] for number in numbers
        ]
        batch = commands.CommandBatch(
            tuple(codec.encode(item) for item in batch_commands)
        )
        results = self.commit(batch).results
        for command, result in zip(batch_commands, results, strict=True):
            self.check(command, codec.decode(result))

    @rule(ms=st.sampled_from((5, 5, 5, 9_000, 599_000, 24 * 3_600_000)))
    def wait(self, ms):
        self.time_ms += ms
        self.apply(commands.ExpireRecords())

    @rule(swap=st.booleans())
    def restart_replica(self, swap):
        """Restores a snapshot, in place or into an empty state."""
        data = self.replicas[1].snapshot()
        fresh = ReplicatedState(StandinFleet(), ()) if swap else self.replicas[1]
        fresh.restore(data)
        assert fresh.snapshot() == data
        self.replicas[1] = fresh

    # Checks of results against a model of the rules.

    def check(self, command, result):
        match command:
            case commands.PutBundle():
                self.check_bundle(command, result)
            case commands.WithdrawKey():
                self.withdrawn.add(command.sha256)
            case commands.GrantKey():
                if command.sha256 in self.withdrawn:
                    assert result.code == "key_withdrawn"
            case commands.ClaimKey() | commands.FinishClaim() | commands.ReleaseClaim():
                self.check_claim(command, result)
            case commands.ReportCrash() | commands.ClearSuspect():
                self.check_suspects(command, result)

    def check_bundle(self, command, result):
        version = command.bundle.version
        digest = bundle.digest(command.content.encode())
        accepted = self.accepted_by_version.get(version)
        if accepted is not None and accepted.digest == digest:
            assert result == accepted
        elif accepted is not None:
            assert result == commands.VersionConflict(
                version, accepted.digest, accepted.author
            )
        elif version <= self.version_in_force:
            assert isinstance(result, commands.VersionSuperseded)
        elif isinstance(result, commands.BundleAccepted):
            assert (result.version, result.digest) == (version, digest)
            assert (result.author, result.index) == (command.author, self.index)
            self.accepted_by_version[version] = result
            self.version_in_force = version
        else:
            assert isinstance(result, commands.BundleRefused)

    def check_claim(self, command, result):
        name = command.key_digest
        self.forget_old_claims()
        if name in self.finished_results and not isinstance(
            command, commands.ReleaseClaim
        ):
            is_other = getattr(command, "request_digest", "r") != self.requests[name]
            is_claim = isinstance(command, commands.ClaimKey)
            if is_claim and is_other:
                assert result.state is ClaimState.MISMATCH
            else:
                assert result == self.finished_results[name]
            return
        match command:
            case commands.ClaimKey():
                self.check_new_claim(command, result)
            case commands.FinishClaim():
                if self.holders.get(name) == command.holder:
                    body = command.body
                    stored_body = body if len(body) <= claims.BODY_LIMIT_BYTES else None
                    assert result == commands.ClaimResult(
                        ClaimState.FINISHED, command.status, "text/plain", stored_body
                    )
                    self.finished_results[name] = result
                else:
                    assert result.state is not ClaimState.FINISHED
            case commands.ReleaseClaim():
                self.released_at_ms.setdefault(command.holder, self.time_ms)
                if self.holders.get(name) == command.holder:
                    if name in self.finished_results:
                        assert result == self.finished_results[name]
                    else:
                        self.drop_claim(name)

    def check_new_claim(self, command, result):
        name, holder = command.key_digest, self.holders.get(command.key_digest)
        if holder is None:
            if result.state is ClaimState.GRANTED:
                assert len(self.holders) < CLAIMS_LIMIT_COUNT, "a young claim was lost"
                released_ms = self.released_at_ms.pop(command.holder, -60_000)
                assert self.time_ms >= released_ms + 60_000
                self.holders[name] = command.holder
                self.requests[name] = command.request_digest
                self.created_at_ms[name] = self.time_ms
                self.deadlines_ms[name] = self.time_ms + command.lifetime_ms
            elif result.state is ClaimState.FULL:
                assert len(self.holders) >= CLAIMS_LIMIT_COUNT
            else:
                # A late command of a holder that has released its claim already.
                assert result.state is ClaimState.RUNNING
                assert command.holder in self.released_at_ms
        elif command.request_digest != self.requests[name]:
            assert result.state is ClaimState.MISMATCH
        elif self.time_ms >= self.deadlines_ms[name]:
            assert result.state is ClaimState.UNKNOWN
        elif holder == command.holder:
            assert result.state is ClaimState.GRANTED
        else:
            assert result.state is ClaimState.RUNNING

    def forget_old_claims(self):
        for name, created_ms in list(self.created_at_ms.items()):
            if self.time_ms >= created_ms + 24 * 3_600_000:
                self.drop_claim(name)

    def drop_claim(self, name):
        for table in (
            self.holders,
            self.requests,
            self.created_at_ms,
            self.deadlines_ms,
        ):
            del table[name]
        self.finished_results.pop(name, None)

    def check_suspects(self, command, result):
        self.end_quarantines()
        if isinstance(command, commands.ReportCrash):
            for digest, count in zip(command.digests, result.crash_counts, strict=True):
                lives = self.crashed_lives.setdefault(digest, set())
                if command.life_id not in lives:
                    lives.add(command.life_id)
                    self.quarantine_ends_ms[digest] = self.time_ms + 600_000
                assert count == len(lives)
        elif self.crashed_lives.get(command.digest, set()) in (
            {known_life_id} for known_life_id in command.lives
        ):
            self.crashed_lives.pop(command.digest)

    def end_quarantines(self):
        for digest in list(self.crashed_lives):
            if self.time_ms >= self.quarantine_ends_ms[digest]:
                del self.crashed_lives[digest]

    @invariant()
    def replicas_are_equal(self):
        first, second = self.replicas
        assert first.snapshot() == second.snapshot()
        assert first.view.items == second.view.items

    @invariant()
    def view_follows_the_rules(self):
        items = self.replicas[0].view.items
        for sha256 in self.withdrawn:
            assert f"key/{sha256}" not in items
        if self.version_in_force:
            assert codec.decode(items["bundle"]).version == self.version_in_force
        self.end_quarantines()
        quarantined = {
            name
            for name in items
            if name.startswith("suspect/") and codec.decode(items[name]).quarantined
        }
        expected = {
            f"suspect/{d}" for d, lives in self.crashed_lives.items() if len(lives) > 1
        }
        assert quarantined == expected

    @invariant()
    def increments_give_the_present_view(self):
        state = self.replicas[0].view
        for index, items in self.views_by_index.items():
            if view.can_make_delta(state, index):
                delta = view.delta_since(state, index)
                after = {**items, **delta.upserts}
                for name in delta.deletes:
                    after.pop(name, None)
                assert after == state.items
        if self.index % 5 == 0:
            self.views_by_index[self.index] = dict(state.items)


TestReplicatedFuzz = Replicated.TestCase
TestReplicatedFuzz.settings = fuzzing.settings(250, 50)
