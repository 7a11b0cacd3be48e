"""Tests of forwarding routes: lookup, validation and traffic split."""

import random

import pytest

from cassiapitch import bundle
from cassiapitch.forwardroutes import (
    ForwardRoute,
    ForwardTable,
    Repeat,
    WeightedRole,
    choose_role,
)
from tests.forward_world import bundle_with


def route(prefix="/a/", host="h.example", targets=(("shop", 1),), timeout_ms=100):
    weighted = tuple(WeightedRole(*target) for target in targets)
    return ForwardRoute("r", host, prefix, Repeat.ONCE, weighted, timeout_ms)


def test_longest_prefix_decides_and_a_prefix_ends_at_a_slash():
    table = ForwardTable([route("/a/"), route("/a/b/"), route("/")])
    assert table.find("h.example", "/a/b/c").path_prefix == "/a/b/"
    assert table.find("h.example", "/a/bc").path_prefix == "/a/"
    assert table.find("h.example", "/ab").path_prefix == "/"
    assert table.find("other.example", "/a/") is None


@pytest.mark.parametrize(
    "faulty",
    [
        (route(), route()),
        (route(targets=(("none", 1),)),),
        (route(targets=(("shop", 0),)),),
        (route(timeout_ms=0),),
    ],
)
def test_invalid_routes_are_reported(faulty):
    assert bundle.find_faults(bundle_with(*faulty))
    assert not bundle.find_faults(bundle_with(route()))


def test_split_follows_the_weights_and_a_weight_of_0_gets_nothing():
    targets = (WeightedRole("x", 90), WeightedRole("y", 10), WeightedRole("z", 0))
    rng = random.Random(1)
    roles = [choose_role(targets, rng) for _ in range(2_000)]
    assert "z" not in roles
    assert 120 < roles.count("y") < 280
