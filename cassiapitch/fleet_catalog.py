"""What the bundle in force says of backend servers and models."""

import dataclasses

from cassiapitch.bundle import Adapter, Bundle, Model, Role, Store
from cassiapitch.orders import is_adapter_key, name_of


@dataclasses.dataclass(slots=True)
class Catalog:
    """What the bundle in force says of backend servers and models.

    Attributes:
        version: The bundle's version.
        roles: By name.
        models: By name.
        adapters: By name.
        model_versions: Version of the bundle that last changed each model.
        store: Limits of the weight store.
    """

    version: int = 0
    roles: dict[str, Role] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    adapters: dict[str, Adapter] = dataclasses.field(default_factory=dict)
    model_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    store: Store = dataclasses.field(default_factory=Store)

    def model_of(self, key: str) -> str | None:
        """Returns the model of a ledger key, or None if the bundle lacks it."""
        name = name_of(key)
        if not is_adapter_key(key):
            return name if name in self.models else None
        adapter = self.adapters.get(name)
        return None if adapter is None else adapter.model

    def memory_mib(self, key: str) -> int | None:
        """Returns the memory of a ledger key, or None if the bundle lacks it."""
        table = self.adapters if is_adapter_key(key) else self.models
        item = table.get(name_of(key))
        return None if item is None else item.memory_mib

    def role_of(self, key: str) -> str | None:
        """Returns the role that serves a ledger key."""
        model = self.models.get(self.model_of(key) or "")
        return None if model is None else model.role


def from_bundle(bundle: Bundle, old: Catalog) -> Catalog:
    """Returns the catalog of a bundle that follows an older one."""
    models = {model.name: model for model in bundle.models}
    versions = {
        name: old.model_versions[name]
        if old.models.get(name) == model
        else bundle.version
        for name, model in models.items()
    }
    return Catalog(
        bundle.version,
        {role.name: role for role in bundle.roles},
        models,
        {adapter.name: adapter for adapter in bundle.adapters},
        versions,
        bundle.store,
    )
