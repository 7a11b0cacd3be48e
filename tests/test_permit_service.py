"""Tests of the leader's answers to asks for permits."""

import types

from cassiapitch.limit_messages import PermitAsk, PermitRequest
from cassiapitch.permit_service import PermitService
from cassiapitch.viewitems import BackendLimit

ASK = PermitAsk("e1", "run", 1, (PermitRequest("b1", "b1@1", 1, False),))


class Member:
    """A control member whose term and lease a test sets."""

    term, leads, is_leased = 1, True, True

    def status(self):
        leader = "c0" if self.leads else "c1"
        role = "leader" if self.leads else "follower"
        return types.SimpleNamespace(
            name="c0", leader=leader, role=role, term=self.term
        )

    def has_lease(self, now_ms):
        return self.is_leased


def make_service(member, clock):
    limit = BackendLimit(2.0, 1)
    return PermitService(member, lambda name, life_id: limit, lambda: clock[0])


def test_member_without_the_lease_gives_no_permit():
    member, replies = Member(), []
    service = make_service(member, [5_000])
    member.is_leased = False
    service.ask(ASK, replies.append)
    member.is_leased, member.leads = True, False
    service.ask(ASK, replies.append)
    assert replies == []


def test_each_term_begins_when_earlier_permits_have_expired():
    member, clock, replies = Member(), [5_000], []
    service = make_service(member, clock)
    service.ask(ASK, replies.append)
    clock[0] += 10_000
    service.ask(ASK, replies.append)
    member.term = 2
    service.ask(ASK, replies.append)
    permits = [reply.answer.permits[0] for reply in replies]
    assert [item.delays_ms for item in permits] == [(), (0,), ()]
    assert permits[2].waits_ms == permits[0].waits_ms
    assert service.describe() == {
        "b1@1": {"next_free_in_ms": permits[2].waits_ms[0], "waiting_count": 1}
    }
