"""Tests of what the weight store allows in a placement round."""

from types import SimpleNamespace

import pytest

from cassiapitch.bundle import Store
from cassiapitch.placement_state import EngineAssignment
from cassiapitch.store_limits import StoreLimits


@pytest.mark.parametrize("planned_role", ["filled", "spacious"])
def test_plans_of_roles_with_free_memory_hold_no_others_back(planned_role):
    """Guards against unloads that wait a minute for plans of another role."""
    catalog = SimpleNamespace(
        store=Store(1.0, 50), fills_memory=lambda key: key == "model/filled"
    )
    plans = [EngineAssignment(life_id, 0) for life_id in ("l1", "l2")]
    state = SimpleNamespace(
        fleet=SimpleNamespace(
            catalog=catalog, loads_in_flight_count=lambda *, adapters: 0
        ),
        store_tokens=1.0,
        planned_loads={},
        plans_beside={f"model/{planned_role}": plans},
    )
    is_booked = StoreLimits(state).is_booked("model/filled")
    assert is_booked == (planned_role == "filled")
