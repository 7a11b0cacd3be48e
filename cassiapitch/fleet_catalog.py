"""What the bundle in force says of backend servers and models."""

import dataclasses

from cassiapitch.bundle import Adapter, Bundle, Model, Role, Store
from cassiapitch.orders import adapter_key, model_key


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyInfo:
    """What a ledger key means; a placement round asks for it many thousand times."""

    model: str
    memory_mib: int
    role: str | None


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
    _known: dict[str, _KeyInfo] = dataclasses.field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        """Prepares the table of ledger keys."""
        for name, model in self.models.items():
            self._known[model_key(name)] = _KeyInfo(name, model.memory_mib, model.role)
        for name, adapter in self.adapters.items():
            base = self.models.get(adapter.model)
            role = None if base is None else base.role
            key_info = _KeyInfo(adapter.model, adapter.memory_mib, role)
            self._known[adapter_key(name)] = key_info

    def model_of(self, key: str) -> str | None:
        """Returns the model of a ledger key, or None if the bundle lacks it."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.model

    def memory_mib(self, key: str) -> int | None:
        """Returns the memory of a ledger key, or None if the bundle lacks it."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.memory_mib

    def role_of(self, key: str) -> str | None:
        """Returns the role that serves a ledger key."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.role


def from_bundle(bundle: Bundle, previous: Catalog) -> Catalog:
    """Returns the catalog of a bundle that follows an older one."""
    models = {model.name: model for model in bundle.models}
    versions = {
        name: previous.model_versions[name]
        if previous.models.get(name) == model
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
