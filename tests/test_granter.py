"""Tests of the granter: division, large calls, refunds, floors, repeated asks."""

import pytest

from cassiapitch import bucket, equalsplit, granter, rate_floors, token_allocation
from cassiapitch.bucket import MICROTOKENS_PER_TOKEN
from cassiapitch.commands import FloorsRecorded
from cassiapitch.messages import (
    GrantAsk,
    RateAsk,
    Refund,
)

# Life 1,000 ms, cap 1,000 tokens.
LIMITS = {"acme": (1_000, 2_000)}


def make_granter(level=1_000, limits=LIMITS):
    """Returns a granter whose floor is at 0 and whose bucket holds `level`."""
    current = granter.start(1, FloorsRecorded(True, {"acme": 0}, limits), limits, 0)
    current.buckets["acme"].level = level * MICROTOKENS_PER_TOKEN
    return current


def start_without_records():
    """Returns a granter of an account that never had a grant."""
    return granter.start(1, FloorsRecorded(True, {}), LIMITS, 0)


def ask(entry, sequence, needed=0, expected=0, largest=None, refunds=()):
    largest = min(needed, 1) if largest is None else largest
    item = GrantAsk("acme", needed, expected, largest)
    return RateAsk(entry, f"life of {entry}", sequence, (item,), refunds)


def granted_tokens(answers):
    return [answer.grants[0].tokens for _, answer in answers]


def test_needs_beyond_the_level_are_divided_evenly():
    """Guards against a first ask that gets all tokens."""
    asks = [ask("a", 1, needed=900), ask("b", 1, needed=900), ask("c", 1, needed=100)]
    assert granted_tokens(granter.answer(make_granter(), asks, 0)) == [450, 450, 100]


def test_expected_calls_leave_half_for_entries_that_ask_later():
    """Guards against an entry that holds all tokens for calls that may not arrive."""
    first = granter.answer(make_granter(), [ask("a", 1, expected=1_000)], 0)
    assert granted_tokens(first) == [500]


def test_large_call_gets_what_it_needs_among_small_ones():
    """Guards against starvation of a large call by small ones."""
    current = make_granter(level=0)
    now_ms, served = 0, 0
    for sequence in range(1, 60):
        now_ms += 50
        asks = [
            ask("small", sequence, needed=50),
            ask("large", sequence, needed=600, largest=600),
        ]
        served = max(served, granted_tokens(granter.answer(current, asks, now_ms))[1])
    assert served == 600


def test_partial_share_is_not_given_to_a_call_that_can_not_use_it():
    """Guards against tokens that expire at an entry while its call needs more."""
    asks = [
        ask("a", 1, needed=700, largest=700),
        ask("b", 1, needed=700, largest=700),
    ]
    assert sorted(granted_tokens(granter.answer(make_granter(), asks, 0))) == [0, 700]


def test_wait_is_the_time_until_the_missing_tokens_are_there():
    """Guards against a `Retry-After` that is too early or much too late."""
    current = make_granter(level=100)
    ((_, answer),) = granter.answer(current, [ask("a", 1, needed=600, largest=600)], 0)
    assert (answer.grants[0].tokens, answer.grants[0].wait_ms) == (0, 500)
    ((_, answer),) = granter.answer(
        current, [ask("b", 1, needed=1_500, largest=1_500)], 0
    )
    assert answer.grants[0].wait_ms == granter.MAX_WAIT_MS


def test_repeated_ask_gets_its_first_answer_and_a_late_one_none():
    """Guards against a duplicate ask that is charged or refunded twice."""
    current = make_granter()
    first = granter.answer(current, [ask("a", 5, needed=100)], 0)
    assert granter.answer(current, [ask("a", 5, needed=100)], 0) == first
    assert granter.answer(current, [ask("a", 4, needed=100)], 0) == []
    assert current.buckets["acme"].level == 900 * MICROTOKENS_PER_TOKEN


def test_refund_is_limited_by_the_least_headroom_since_the_grant():
    """Guards against a credit of tokens that a full bucket has already regained."""
    current = make_granter()
    ((_, answer),) = granter.answer(current, [ask("a", 1, needed=400)], 0)
    grant = answer.grants[0]
    refund = Refund("acme", 400, grant.term, grant.granted_ms)
    granter.answer(current, [ask("b", 1, needed=200)], 400)
    granter.answer(current, [ask("a", 2, refunds=(refund,))], 401)
    assert current.buckets["acme"].level == 801 * MICROTOKENS_PER_TOKEN


def test_refund_without_overflow_is_credited_whole():
    """Guards against refusals within the rate after calls used less than their cost."""
    current = make_granter(level=500)
    ((_, answer),) = granter.answer(current, [ask("a", 1, needed=400)], 0)
    grant = answer.grants[0]
    refund = Refund("acme", 300, grant.term, grant.granted_ms)
    granter.answer(current, [ask("a", 2, refunds=(refund,))], 100)
    assert current.buckets["acme"].level == 500 * MICROTOKENS_PER_TOKEN


def test_new_granter_spends_nothing_below_the_floor_without_a_record():
    """Guards against two successive granters that both grant below the same floor."""
    recorded = FloorsRecorded(True, {"acme": 400 * MICROTOKENS_PER_TOKEN}, LIMITS)
    current = granter.start(2, recorded, LIMITS, 0)
    assert granted_tokens(granter.answer(current, [ask("a", 1, needed=100)], 0)) == [0]
    record = granter.next_record(current, 20)
    assert record.floors["acme"] < 400 * MICROTOKENS_PER_TOKEN
    # A proposed record may never be committed, so the earlier floor still applies.
    assert granted_tokens(granter.answer(current, [ask("a", 2, needed=100)], 20)) == [
        20
    ]
    granter.record_committed(current, record)
    assert granted_tokens(granter.answer(current, [ask("a", 3, needed=100)], 20)) == [
        100
    ]


def test_lower_burst_counts_grants_that_are_in_use():
    """Guards against a smaller burst that is granted in addition to a larger one."""
    current = start_without_records()
    granter.answer(current, [ask("a", 1, needed=900)], 0)
    granter.record_committed(current, granter.next_record(current, 20))
    granter.answer(current, [ask("a", 2, needed=900)], 20)
    granter.set_limits(current, {"acme": (100, 200)}, 30)
    # The last grant may admit calls until 1,000 ms later; 100 tokens flow in until then.
    assert current.buckets["acme"].level == (200 - 900 - 100) * MICROTOKENS_PER_TOKEN


def test_account_without_a_record_starts_full_once_one_is_committed():
    """Guards against refusals within the burst after the first bundle.

    Nothing may be granted until the record is committed: the next granter would find
    no record and start with a full bucket again.
    """
    current = start_without_records()
    assert granted_tokens(granter.answer(current, [ask("a", 1, needed=1_000)], 0)) == [
        0
    ]
    record = granter.next_record(current, 20)
    assert granted_tokens(granter.answer(current, [ask("a", 2, needed=1_000)], 20)) == [
        0
    ]
    granter.record_committed(current, record)
    assert granted_tokens(granter.answer(current, [ask("a", 3, needed=1_000)], 20)) == [
        1_000
    ]


def test_account_that_returns_under_a_new_granter_gets_no_second_burst():
    """Guards against a full bucket for an account that was out of the bundle."""
    recorded = FloorsRecorded(True, {"acme": 0}, LIMITS)
    current = granter.start(2, recorded, {}, 0)
    granter.set_limits(current, LIMITS, 10)
    assert granted_tokens(granter.answer(current, [ask("a", 1, needed=100)], 10)) == [0]


def test_new_granter_counts_grants_under_a_larger_burst():
    """Guards against a next granter that starts at 0 although more is in use."""
    old = start_without_records()
    granter.answer(old, [ask("a", 1, needed=1_000)], 0)
    granter.record_committed(old, granter.next_record(old, 20))
    granter.answer(old, [ask("a", 2, needed=1_000)], 20)
    lower = {"acme": (100, 200)}
    log = rate_floors.Floors(1, 1, {"acme": 0}, dict(LIMITS))
    before = rate_floors.record(log, granter.takeover_record(2))
    assert (
        granter.start(2, before, lower, 30).buckets["acme"].level
        < -MICROTOKENS_PER_TOKEN * 800
    )
    granter.set_limits(old, lower, 30)
    record = granter.next_record(old, 50)
    after = rate_floors.record(rate_floors.Floors(1, 1, {}), record)
    assert (
        granter.start(2, after, lower, 60).buckets["acme"].level
        < -MICROTOKENS_PER_TOKEN * 800
    )


def test_floor_is_half_the_level_and_changes_are_recorded():
    """Guards against a next granter that starts from an empty bucket."""
    current = make_granter()
    record = granter.next_record(current, 1_000)
    assert record.floors == {"acme": 500 * MICROTOKENS_PER_TOKEN}
    # The same record is returned until it is known to be committed.
    assert granter.next_record(current, 1_100) == record
    assert granter.floor_in_force(current, "acme") == 500 * MICROTOKENS_PER_TOKEN
    log = rate_floors.Floors(0, 0, {})
    assert rate_floors.record(log, record).accepted
    granter.record_committed(current, record)
    assert granter.next_record(current, 2_000) is None


@pytest.mark.parametrize(
    ("available", "demands", "shares"),
    [
        (10, [4, 4], [4, 4]),
        (10, [2, 20, 20], [2, 4, 4]),
        (0, [5], [0]),
        (-5, [5], [0]),
        (7, [], []),
    ],
)
def test_fair_shares(available, demands, shares):
    """Guards against a share that is larger while another's need is unmet."""
    assert token_allocation.max_min_shares(available, demands) == shares


def test_equal_split_gives_each_entry_only_its_share():
    """Guards against a baseline that gives more than the account's rate."""
    split = equalsplit.EqualSplit(1, dict(LIMITS))
    asks = [ask("a", 1), ask("b", 1)]
    equalsplit.answer(split, asks, 0)
    asks = [ask("a", 2, needed=5_000), ask("b", 2)]
    answers = equalsplit.answer(split, asks, 5_000)
    assert granted_tokens(answers) == [500, 0]
    assert equalsplit.answer(split, asks, 5_000) == []


def test_short_grants_where_the_burst_is_small():
    """Guards against a cap that leaves nothing of a small burst."""
    assert bucket.grant_life_ms(1_000, 100) == 50
    assert bucket.cap_tokens(1_000, 100) == 50
    assert bucket.grant_life_ms(10, 1_000) == 1_000
    assert bucket.cap_tokens(10, 1_000) == 990


def test_pending_record_under_other_limits_stops_grants():
    """Guards against a record under the limits of another bundle that applies to the
    next granter only."""
    current = start_without_records()
    granter.record_committed(current, granter.next_record(current, 20))
    granter.set_limits(current, {"acme": (100, 5_000)}, 40)
    record = granter.next_record(current, 40)
    granter.set_limits(current, LIMITS, 50)
    assert granted_tokens(granter.answer(current, [ask("a", 1, needed=100)], 50)) == [0]
    granter.record_committed(current, record)
    assert granted_tokens(granter.answer(current, [ask("a", 2, needed=100)], 50)) == [0]
    granter.record_committed(current, granter.next_record(current, 70))
    assert granted_tokens(granter.answer(current, [ask("a", 3, needed=100)], 70)) == [
        100
    ]
