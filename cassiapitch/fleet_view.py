"""Builds the view item of a backend server, which entries use for routing."""

from cassiapitch.backends import Incarnation
from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.types import ModelName
from cassiapitch.viewitems import (
    BackendItem,
)


def usable_keys(incarnation: Incarnation, catalog: BundleCatalog) -> list[str]:
    """Returns the ledger keys that requests may use on a backend server.

    They are reported as loaded, have no open unload and belong to its role in the
    bundle.
    """
    unloading = {
        order.key for order in incarnation.ledger.orders.values() if not order.is_load()
    }
    return [
        key
        for key in incarnation.ledger.reported
        if key not in unloading and catalog.role_of(key) == incarnation.role
    ]


def backend_item(incarnation: Incarnation, catalog: BundleCatalog) -> BackendItem:
    """Returns the view item; an adapter is listed only together with its model."""
    keys = usable_keys(incarnation, catalog)
    models = {ModelName(name_of(key)) for key in keys if not is_adapter_key(key)}
    adapters = {
        name_of(key)
        for key in keys
        if is_adapter_key(key) and catalog.model_of(key) in models
    }
    role = catalog.roles.get(incarnation.role)
    limit_count = None if role is None else role.running_limit_count
    announced_count = incarnation.max_running_count
    return BackendItem(
        name=incarnation.name,
        life_id=incarnation.life_id,
        role=incarnation.role,
        zone=incarnation.zone,
        ip=incarnation.ip,
        port=incarnation.port,
        state=incarnation.state,
        models=tuple(sorted(models)),
        adapters=tuple(sorted(adapters)),
        max_running_count=announced_count
        if limit_count is None
        else min(announced_count, limit_count),
        limit=incarnation.limit,
        software_version=incarnation.software_version,
    )
