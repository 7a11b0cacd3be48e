"""Fixed placement policy, a baseline: each model has its own fixed engines."""

import hashlib

from cassiapitch.fleet import Fleet
from cassiapitch.orders import adapter_key, model_key
from cassiapitch.survey import Survey


def missing_items(fleet: Fleet, survey: Survey) -> list[tuple[str, str]]:
    """Returns (life id, ledger key) of assigned items that are not loaded and fit now.

    Models are assigned in the order of their names. Each takes engines of its role that
    have enough unassigned memory, in the order of a hash of the model's and the
    engine's names. Demand has no influence.
    """
    unassigned_mib = {
        engine_life_id: engine.capacity_mib
        for engine_life_id, engine in survey.engines.items()
    }
    assigned = []
    for name in sorted(fleet.catalog.models):
        model = fleet.catalog.models[name]
        engines = sorted(
            survey.engines_by_role.get(model.role, []),
            key=lambda engine, name=name: _hash_rank(name, engine.incarnation.name),
        )
        adapters = [
            adapter
            for adapter in fleet.catalog.adapters.values()
            if adapter.model == name
        ]
        remaining_count = max(1, model.minimum_copies)
        for engine in engines:
            life_id = engine.incarnation.life_id
            if remaining_count == 0:
                break
            if unassigned_mib[life_id] < model.memory_mib:
                continue
            remaining_count -= 1
            unassigned_mib[life_id] -= model.memory_mib
            items = [(model_key(name), 0)]
            for adapter in adapters:
                if unassigned_mib[life_id] >= adapter.memory_mib:
                    unassigned_mib[life_id] -= adapter.memory_mib
                    items.append((adapter_key(adapter.name), adapter.memory_mib))
            assigned.extend((life_id, key) for key, _ in items)
    return [item for item in assigned if _is_missing(survey, *item)]


def _is_missing(survey: Survey, life_id: str, key: str) -> bool:
    engine = survey.engines[life_id]
    fits = engine.free_mib >= survey.added_mib(engine, key)
    return fits and survey.may_load(engine, key)


def _hash_rank(model: str, backend: str) -> str:
    return hashlib.sha256(f"{model}\0{backend}".encode()).hexdigest()
