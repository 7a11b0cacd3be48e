"""Tests of the choice of the member that an entry's link goes to."""

import pytest

from cassiapitch.link import CONNECT_LIMIT_MS, SILENCE_LIMIT_MS, LinkPlan
from cassiapitch.settings import Address, ControlPeer

MEMBERS = tuple(
    ControlPeer(f"m{number}", f"z{number % 3}", Address("10.0.0.1", 7_000 + number))
    for number in range(5)
)


@pytest.mark.parametrize("own_zone", ["z0", "z1", "z2"])
@pytest.mark.parametrize("lost", [{"m0", "m1"}, {"m0", "m3"}, {"m2", "m4"}])
def test_entry_with_one_link_soon_finds_a_member_while_two_are_cut_off(own_zone, lost):
    """Guards against an entry that alternates between the partitioned members and acts
    on an old view meanwhile, although other members respond."""
    plan = LinkPlan(MEMBERS, own_zone, "entry-1")
    now_ms, attempts = 0, 0
    while (peer := plan.choose(0, now_ms)) is None or peer.name in lost:
        if peer is not None:
            attempts += 1
            now_ms += CONNECT_LIMIT_MS if attempts > 1 else SILENCE_LIMIT_MS
            plan.record_failure(0, now_ms)
        now_ms += 50
    assert attempts <= len(lost)
    assert now_ms <= 2_500


def test_member_that_failed_is_tried_again():
    plan = LinkPlan(MEMBERS[:1], "z0", "entry-1")
    assert plan.choose(0, 0) == MEMBERS[0]
    plan.record_failure(0, 0)
    assert plan.choose(0, 0) is None
    assert plan.choose(0, 200) == MEMBERS[0]
