"""What entries see of a backend server."""

from cassiapitch.backends import Incarnation
from cassiapitch.fleet_catalog import BundleCatalog
from cassiapitch.orders import is_adapter_key, name_of
from cassiapitch.types import ModelName
from cassiapitch.viewitems import (
    BackendItem,
)


def usable_keys(incarnation: Incarnation, catalog: BundleCatalog) -> list[str]:
    """Returns what is loaded, stays loaded and belongs to the bundle."""
    unloading = {
        order.key for order in incarnation.ledger.orders.values() if not order.is_load()
    }
    return [
        key
        for key in incarnation.ledger.reported
        if key not in unloading and catalog.role_of(key) == incarnation.role
    ]


def backend_item(incarnation: Incarnation, catalog: BundleCatalog) -> BackendItem:
    """Returns the view's item; an adapter shows only next to its model."""
    usable = usable_keys(incarnation, catalog)
    models = {ModelName(name_of(key)) for key in usable if not is_adapter_key(key)}
    adapters = {
        name_of(key)
        for key in usable
        if is_adapter_key(key) and catalog.model_of(key) in models
    }
    role = catalog.roles.get(incarnation.role)
    limit = None if role is None else role.running_limit_count
    count = incarnation.max_running_count
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
        max_running_count=count if limit is None else min(count, limit),
    )
