import pytest

from cassiapitch.forwardcandidates import engine_rank
from cassiapitch.forwardroutes import ForwardRoute, Repeat
from cassiapitch.viewitems import AccountItem


def route(priority, repeat=Repeat.STREAM):
    return ForwardRoute("r", "h", "/", repeat, (), 1, priority=priority)


def account(priority):
    return AccountItem("a", 1, 1, 1, priority=priority)


def test_priority_of_the_account_goes_before_the_route():
    """Guards against a less urgent account that displaces a more urgent one."""
    ranks = [
        engine_rank(account(of_account), route(of_route))
        for of_account in (0, 1, 2)
        for of_route in (0, 1, 2)
    ]
    assert ranks == sorted(ranks)
    assert len(set(ranks)) == 9
    assert engine_rank(None, route(1)) == engine_rank(account(None), route(1))


@pytest.mark.parametrize("priority", [5, 99])
def test_rank_stays_within_what_engines_know(priority):
    assert engine_rank(account(priority), route(priority)) == 9


def test_plain_services_get_no_rank():
    assert engine_rank(account(1), route(1, Repeat.ONCE)) is None
