"""Indexes of the bundle in force: roles, models and adapters by name and ledger key."""

import dataclasses

from cassiapitch.bundle import Adapter, Bundle, Model, Role, Store
from cassiapitch.orders import adapter_key, model_key


@dataclasses.dataclass(frozen=True, slots=True)
class _KeyInfo:
    """Properties of a ledger key.

    Precomputed, since a placement round looks them up many thousand times.
    """

    model: str
    memory_mib: int
    role: str | None


@dataclasses.dataclass(slots=True)
class BundleCatalog:
    """The bundle in force, indexed by name and by ledger key.

    Attributes:
        version: Version of the bundle.
        roles: Roles by name.
        models: Models by name.
        adapters: Adapters by name.
        model_versions: Version of the bundle that last changed each model, by name.
        store: Limits of the weight store.
        gap_objectives_ms: Shortest objective for pauses of streams, by role.
    """

    version: int = 0
    roles: dict[str, Role] = dataclasses.field(default_factory=dict)
    models: dict[str, Model] = dataclasses.field(default_factory=dict)
    adapters: dict[str, Adapter] = dataclasses.field(default_factory=dict)
    model_versions: dict[str, int] = dataclasses.field(default_factory=dict)
    store: Store = dataclasses.field(default_factory=Store)
    gap_objectives_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    _known: dict[str, _KeyInfo] = dataclasses.field(default_factory=dict, repr=False)

    def __post_init__(self) -> None:
        """Fills the table of ledger keys."""
        for name, model in self.models.items():
            self._known[model_key(name)] = _KeyInfo(name, model.memory_mib, model.role)
        for name, adapter in self.adapters.items():
            base = self.models.get(adapter.model)
            role = None if base is None else base.role
            key_info = _KeyInfo(adapter.model, adapter.memory_mib, role)
            self._known[adapter_key(name)] = key_info

    def model_of(self, key: str) -> str | None:
        """Returns the model that a ledger key belongs to, or None if unknown."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.model

    def memory_mib(self, key: str) -> int | None:
        """Returns the memory that a ledger key needs, or None if unknown."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.memory_mib

    def role_of(self, key: str) -> str | None:
        """Returns the role that serves a ledger key, or None if unknown."""
        key_info = self._known.get(key)
        return None if key_info is None else key_info.role

    def fills_memory(self, key: str) -> bool:
        """Tells whether copies of a key's role fill its memory by demand."""
        role = self.roles.get(self.role_of(key) or "")
        return role is not None and role.fills_memory


def from_bundle(bundle: Bundle, previous: BundleCatalog) -> BundleCatalog:
    """Returns the catalog of a new bundle.

    A model that is the same as in the previous catalog keeps its version.
    """
    models = {model.name: model for model in bundle.models}
    versions = {
        name: previous.model_versions[name]
        if previous.models.get(name) == model
        else bundle.version
        for name, model in models.items()
    }
    return BundleCatalog(
        bundle.version,
        {role.name: role for role in bundle.roles},
        models,
        {adapter.name: adapter for adapter in bundle.adapters},
        versions,
        bundle.store,
        _gap_objectives_ms(bundle),
    )


def _gap_objectives_ms(bundle: Bundle) -> dict[str, int]:
    objectives_ms: dict[str, int] = {}
    for route in bundle.forwards:
        if not route.is_stream or not route.gap_objective_ms:
            continue
        for target in route.targets:
            known_ms = objectives_ms.get(target.role, route.gap_objective_ms)
            objectives_ms[target.role] = min(known_ms, route.gap_objective_ms)
    return objectives_ms
