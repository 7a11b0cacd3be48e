"""Baseline of placement: each model has its fixed engines."""

import hashlib

from cassiapitch.fleet import Fleet
from cassiapitch.orders import adapter_key, model_key
from cassiapitch.rooms import Survey


def missing(fleet: Fleet, survey: Survey) -> list[tuple[str, str]]:
    """Returns (life id, ledger key) of what is assigned and not there.

    Models are assigned by name: each takes the engines of its role in the order of
    a hash of both names, as far as their memory goes. Demand has no influence.
    """
    left_mib = {
        engine_life_id: room.capacity_mib
        for engine_life_id, room in survey.rooms.items()
    }
    found = []
    for name in sorted(fleet.catalog.models):
        model = fleet.catalog.models[name]
        rooms = sorted(
            survey.by_role.get(model.role, []),
            key=lambda room, name=name: _rank(name, room.incarnation.name),
        )
        adapters = [
            adapter
            for adapter in fleet.catalog.adapters.values()
            if adapter.model == name
        ]
        wanted_count = max(1, model.minimum_copies)
        for room in rooms:
            life_id = room.incarnation.life_id
            if wanted_count == 0:
                break
            if left_mib[life_id] < model.memory_mib:
                continue
            wanted_count -= 1
            left_mib[life_id] -= model.memory_mib
            items = [(model_key(name), 0)]
            for adapter in adapters:
                if left_mib[life_id] >= adapter.memory_mib:
                    left_mib[life_id] -= adapter.memory_mib
                    items.append((adapter_key(adapter.name), adapter.memory_mib))
            found.extend((life_id, key) for key, _ in items)
    return [item for item in found if _is_missing(survey, *item)]


def _is_missing(survey: Survey, life_id: str, key: str) -> bool:
    room = survey.rooms[life_id]
    has_room = room.free_mib >= survey.grown_mib(room, key)
    return has_room and survey.may_load(room, key)


def _rank(model: str, backend: str) -> str:
    return hashlib.sha256(f"{model}\0{backend}".encode()).hexdigest()
