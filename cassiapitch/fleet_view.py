"""Builds the view item of a backend server, which entries use for routing."""

from cassiapitch.backends import Life
from cassiapitch.fleet_catalog import Catalog
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.types import ModelName
from cassiapitch.viewitems import (
    BackendItem,
)


def usable_keys(life: Life, catalog: Catalog) -> list[str]:
    """Returns the ledger keys that requests may use on a backend server.

    They are reported as loaded, have no open unload and belong to its role in the
    bundle.
    """
    unloading = {
        order.key for order in life.ledger.orders.values() if not order.is_load()
    }
    return [
        key
        for key in life.ledger.reported
        if key not in unloading and catalog.role_of(key) == life.role
    ]


def backend_item(life: Life, catalog: Catalog) -> BackendItem:
    """Returns the view item; an adapter is listed only together with its model."""
    keys = usable_keys(life, catalog)
    models = {ModelName(name_of(key)) for key in keys if not is_adapter_key(key)}
    adapters = {
        name_of(key)
        for key in keys
        if is_adapter_key(key) and catalog.model_of(key) in models
    }
    role = catalog.roles.get(life.role)
    limit_count = None if role is None else role.running_limit_count
    announced_count = life.max_running_count
    return BackendItem(
        name=life.name,
        life_id=life.life_id,
        role=life.role,
        zone=life.zone,
        ip=life.ip,
        port=life.port,
        state=life.state,
        models=tuple(sorted(models)),
        adapters=tuple(sorted(adapters)),
        max_running_count=announced_count
        if limit_count is None
        else min(announced_count, limit_count),
    )
