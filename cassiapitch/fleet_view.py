"""Builds the view item of a backend server, which entries use for routing."""

from cassiapitch import backends
from cassiapitch.backends import Incarnation
from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.types import ModelName
from cassiapitch.viewitems import (
    BackendItem,
    BackendLimit,
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


def request_limit(
    incarnation: Incarnation, catalog: BundleCatalog
) -> BackendLimit | None:
    """Returns the limit on requests: the stated one, the cold one, or the lower."""
    stated = incarnation.limit
    role = catalog.roles.get(incarnation.role)
    cold_per_s = 0.0 if role is None else role.cold_requests_per_s
    if not incarnation.is_cold or not cold_per_s:
        return stated
    if stated is None:
        return BackendLimit(cold_per_s, incarnation.cold_index, is_cold=True)
    # An entry whose view has the higher index knows both limits.
    return BackendLimit(
        min(cold_per_s, stated.requests_per_s),
        max(incarnation.cold_index, stated.index),
        is_cold=True,
    )


def backend_item(
    incarnation: Incarnation, catalog: BundleCatalog, *, is_drained: bool = False
) -> BackendItem:
    """Returns the view item; an adapter is listed only together with its model.

    Args:
        incarnation: The current run of the backend server.
        catalog: The bundle in force.
        is_drained: Whether its zone is drained. Entries send requests only to backend
            servers in the state `serving`, so those of earlier builds keep to it too.
    """
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
    is_withheld = is_drained and incarnation.state == backends.SERVING
    return BackendItem(
        name=incarnation.name,
        life_id=incarnation.life_id,
        role=incarnation.role,
        zone=incarnation.zone,
        ip=incarnation.ip,
        port=incarnation.port,
        state=backends.DRAINED if is_withheld else incarnation.state,
        models=tuple(sorted(models)),
        adapters=tuple(sorted(adapters)),
        max_running_count=announced_count
        if limit_count is None
        else min(announced_count, limit_count),
        limit=request_limit(incarnation, catalog),
        software_version=incarnation.software_version,
    )
