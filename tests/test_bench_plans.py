"""Tests of the bench's deployments and cases."""

import json

import pytest

from bench import plans
from testbed.deployment import ZONES, Deployment
from testbed.processes import ProcessGroup


@pytest.mark.parametrize(
    "deployment_plan", plans.DEPLOYMENTS, ids=lambda item: item.name
)
def test_each_role_has_engines_outside_the_lost_zone(deployment_plan, tmp_path):
    """Guards against a zone loss that takes all engines of a role.

    No policy can serve a role without engines.
    """
    options = plans.VARIANTS[0].options
    with ProcessGroup() as group:
        deployment = Deployment(
            tmp_path,
            group,
            deployment_plan.testbed_bundle(),
            deployment_plan.size(),
            options,
        )
        zones = {}
        for name in deployment.engines:
            role = json.loads((tmp_path / f"{name}.json").read_text())["role"]
            zones.setdefault(role, []).append(deployment.zone(name))
    assert {role: len(role_zones) for role, role_zones in zones.items()} == dict(
        zip(deployment_plan.roles, deployment_plan.engine_counts, strict=True)
    )
    assert all(set(role_zones) == set(ZONES) for role_zones in zones.values())


@pytest.mark.parametrize("case", plans.CASES, ids=lambda item: item.name)
def test_faults_lie_within_the_shortest_load(case, tmp_path):
    """Guards against a case that ends before all its faults are injected."""
    deployment_plan = plans.DEPLOYMENTS[0]
    options = plans.VARIANTS[0].options
    with ProcessGroup() as group:
        deployment = Deployment(
            tmp_path,
            group,
            deployment_plan.testbed_bundle(),
            deployment_plan.size(),
            options,
        )
        duration_ms = max(case.minimum_s, 5) * 1000
        experiment = plans.make_experiment(
            deployment, case, duration_ms=duration_ms, seed=1
        )
    assert all(fault.at_ms < duration_ms for fault in experiment.faults)
    assert {item.name for item in experiment.accounts} >= set(case.factors)


def test_short_runs_name_existing_cases_and_variants():
    """Guards against a renamed case that `make bench` would skip silently."""
    for variant, names in plans.SHORT_RUNS.items():
        cases = plans.cases_of(variant, None, is_short=True)
        assert [case.name for case in cases] == list(names)
