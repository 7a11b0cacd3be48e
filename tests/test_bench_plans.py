"""Tests of the bench's deployments and cases."""

import json

import pytest

from bench import plans
from testbed.deployment import ZONES, Deployment
from testbed.processes import ProcessGroup


@pytest.mark.parametrize("planned", plans.DEPLOYMENTS, ids=lambda item: item.name)
def test_each_role_has_engines_outside_the_lost_zone(planned, tmp_path):
    """Guards against a zone's loss that takes a whole role, which no policy survives."""
    options = plans.VARIANTS[0].options
    with ProcessGroup() as group:
        deployment = Deployment(
            tmp_path, group, planned.testbed_bundle(), planned.size(), options
        )
        zones = {}
        for name in deployment.engines:
            role = json.loads((tmp_path / f"{name}.json").read_text())["role"]
            zones.setdefault(role, []).append(deployment.zone(name))
    assert {role: len(found) for role, found in zones.items()} == dict(
        zip(planned.roles, planned.engine_counts, strict=True)
    )
    assert all(set(found) == set(ZONES) for found in zones.values())


@pytest.mark.parametrize("case", plans.CASES, ids=lambda item: item.name)
def test_faults_lie_within_the_shortest_load(case, tmp_path):
    """Guards against a case that ends before its faults have happened."""
    planned = plans.DEPLOYMENTS[0]
    options = plans.VARIANTS[0].options
    with ProcessGroup() as group:
        deployment = Deployment(
            tmp_path, group, planned.testbed_bundle(), planned.size(), options
        )
        duration_ms = max(case.least_s, 5) * 1000
        built = plans.make_experiment(deployment, case, duration_ms=duration_ms, seed=1)
    assert all(fault.at_ms < duration_ms for fault in built.faults)
    assert {item.name for item in built.accounts} >= set(case.factors)


def test_short_runs_name_existing_cases_and_variants():
    """Guards against a renamed case that `make bench` then leaves out silently."""
    for variant, names in plans.SHORT_RUNS.items():
        found = plans.cases_of(variant, None, is_short=True)
        assert [case.name for case in found] == list(names)
