"""An entry's decoded copy of the view, with lookups for routing.

The view is the part of the control group's replicated state that entries receive.
"""

import dataclasses
from typing import Any

from cassiapitch import codec
from cassiapitch.forwardroutes import CallerLimits, ForwardRoute, ForwardTable
from cassiapitch.messages import (
    ViewDelta,
    ViewSnapshot,
)
from cassiapitch.types import LifeId
from cassiapitch.viewitems import (
    AccountItem,
    AdapterItem,
    BackendItem,
    BundleItem,
    KeyItem,
    ModelItem,
    PartItem,
    RoleItem,
    RouteItem,
    SuspectItem,
    VersionsItem,
)

SERVING = "serving"
DRAINED = "drained"


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The message was applied to the view.

    Attributes:
        index: Log index that the view reflects now.
        removed_keys: Digests of API keys that are no longer valid.
        backends_changed: Whether a backend server was added, changed or removed.
    """

    index: int
    removed_keys: frozenset[str]
    backends_changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Ignored:
    """The message was ignored, since the view is at least as new."""


@dataclasses.dataclass(frozen=True, slots=True)
class Gap:
    """The delta can't be applied, since it starts after the index of the view."""


ApplyOutcome = Applied | Ignored | Gap


@dataclasses.dataclass(frozen=True, slots=True)
class ResolvedModel:
    """The model, and adapter if any, that the model name of a request refers to."""

    model: ModelItem
    adapter: str | None

    @property
    def name(self) -> str:
        """Name of the adapter, or of the model if there is no adapter."""
        return self.adapter or self.model.name


class ViewCatalog:
    """Decoded items of the view, by kind and name."""

    def __init__(self) -> None:
        self.index = 0
        self._tables: dict[str, dict[str, Any]] = _empty_tables()
        self._by_role: dict[str, dict[str, BackendItem]] = {}
        self._by_model: dict[str, dict[str, BackendItem]] = {}
        self._forward_table: ForwardTable | None = None

    def apply_snapshot(self, index: int, items: dict[str, bytes]) -> ApplyOutcome:
        """Replaces the whole view unless it is at least as new.

        Raises:
            CodecError: An item can't be decoded; the view is unchanged.
        """
        if index <= self.index:
            return Ignored()
        tables = _empty_tables()
        for name, data in items.items():
            kind, key = _split_name(name)
            tables.setdefault(kind, {})[key] = codec.decode(data)
        removed_keys = self.keys.keys() - tables["key"].keys()
        self._tables = tables
        self._forward_table = None
        self._by_role, self._by_model = {}, {}
        for backend in tables["backend"].values():
            self._index_backend(backend)
        self.index = index
        return Applied(index, frozenset(removed_keys), True)

    def apply_delta(self, delta: ViewDelta) -> ApplyOutcome:
        """Applies all changes of a delta.

        A delta contains whole items, so one that begins before the index of the view
        and ends after it can be applied safely.

        Raises:
            CodecError: An item can't be decoded; the view is unchanged.
        """
        if delta.index <= self.index:
            return Ignored()
        if delta.previous_index > self.index:
            return Gap()
        decoded = {name: codec.decode(data) for name, data in delta.upserts.items()}
        removed_keys: set[str] = set()
        backends_changed = False
        for name in delta.deletes:
            kind, key = _split_name(name)
            item = self._tables.setdefault(kind, {}).pop(key, None)
            if kind == "forward":
                self._forward_table = None
            if kind == "key" and item is not None:
                removed_keys.add(key)
            elif kind == "backend" and item is not None:
                self._unindex_backend(item)
                backends_changed = True
        for name, item in decoded.items():
            kind, key = _split_name(name)
            previous_item = self._tables.setdefault(kind, {}).get(key)
            self._tables[kind][key] = item
            if kind == "forward":
                self._forward_table = None
            if kind == "backend":
                if previous_item is not None:
                    self._unindex_backend(previous_item)
                self._index_backend(item)
                backends_changed = True
        self.index = delta.index
        return Applied(delta.index, frozenset(removed_keys), backends_changed)

    @property
    def bundle(self) -> BundleItem | None:
        """The bundle in force."""
        return self._tables["bundle"].get("")

    @property
    def models(self) -> dict[str, ModelItem]:
        """Models by name."""
        return self._tables["model"]

    @property
    def adapters(self) -> dict[str, AdapterItem]:
        """Adapters by name."""
        return self._tables["adapter"]

    @property
    def accounts(self) -> dict[str, AccountItem]:
        """Client accounts by name."""
        return self._tables["account"]

    @property
    def roles(self) -> dict[str, RoleItem]:
        """Roles by name."""
        return self._tables["role"]

    @property
    def routes(self) -> dict[str, RouteItem]:
        """Routes of plain services by `<method> <path>`."""
        return self._tables["route"]

    @property
    def keys(self) -> dict[str, KeyItem]:
        """Valid API keys by digest."""
        return self._tables["key"]

    @property
    def backends(self) -> dict[str, BackendItem]:
        """Backend servers by name."""
        return self._tables["backend"]

    def is_replaced(self, name: str, life_id: LifeId) -> bool:
        """Returns whether the view shows another incarnation of a backend server."""
        backend = self.backends.get(name)
        return backend is not None and backend.life_id != life_id

    def drained_lives(self) -> frozenset[LifeId]:
        """Returns the incarnations in drained zones, which get no requests."""
        return frozenset(
            item.life_id for item in self.backends.values() if item.state == DRAINED
        )

    @property
    def suspects(self) -> dict[str, SuspectItem]:
        """Requests that were running when backend servers crashed, by digest."""
        return self._tables["suspect"]

    @property
    def parts(self) -> dict[str, PartItem]:
        """Parts of prompts that may crash backend servers, by digest."""
        return self._tables["part"]

    def roles_with_several_versions(self) -> set[str]:
        """Returns the roles for which `has_several_versions` holds."""
        return {
            role for role in self._tables["versions"] if self.has_several_versions(role)
        }

    def has_several_versions(self, role: str) -> bool:
        """Returns whether several versions may have begun streams of a role."""
        item: VersionsItem | None = self._tables["versions"].get(role)
        return item is not None and len(item.versions) > 1

    def zones(self, role: str) -> set[str]:
        """Returns the zones of all backend servers of a role, whatever their state."""
        return {backend.zone for backend in self._by_role.get(role, {}).values()}

    def cold_roles(self) -> frozenset[str]:
        """Returns the roles for which `may_be_cold` holds."""
        return frozenset(role for role in self.roles if self.may_be_cold(role))

    def may_be_cold(self, role: str) -> bool:
        """Returns whether cold backend servers of a role need a limit."""
        item = self.roles.get(role)
        return item is not None and item.cold_requests_per_s > 0

    def reports_load(self, role: str) -> bool:
        """Returns whether backend servers of a role report their load."""
        item = self.roles.get(role)
        return item is None or item.reports_load

    @property
    def caller_limits(self) -> CallerLimits | None:
        """Limits of forwarded requests, or None if the bundle has none."""
        return self._tables["limits"].get("")

    def forward(self, host: str, path: str) -> ForwardRoute | None:
        """Returns the forwarding route with the longest matching path prefix."""
        if self._forward_table is None:
            self._forward_table = ForwardTable(self._tables["forward"].values())
        return self._forward_table.find(host, path)

    def resolve_model(self, name: str) -> ResolvedModel | None:
        """Resolves the model name of a request; returns None if it is unknown."""
        if (model := self.models.get(name)) is not None:
            return ResolvedModel(model, None)
        adapter = self.adapters.get(name)
        if adapter is None or (model := self.models.get(adapter.model)) is None:
            return None
        return ResolvedModel(model, adapter.name)

    def engines(self, target: ResolvedModel) -> list[BackendItem]:
        """Returns the engines that may get new requests for `target`."""
        return [
            backend
            for backend in self._by_model.get(target.model.name, {}).values()
            if backend.state == SERVING
            and backend.role == target.model.role
            and (target.adapter is None or target.adapter in backend.adapters)
        ]

    def services(self, role: str) -> list[BackendItem]:
        """Returns the backend servers of a role that may get new requests."""
        members = self._by_role.get(role, {}).values()
        return [backend for backend in members if backend.state == SERVING]

    def _index_backend(self, backend: BackendItem) -> None:
        self._by_role.setdefault(backend.role, {})[backend.name] = backend
        for model in backend.models:
            self._by_model.setdefault(model, {})[backend.name] = backend

    def _unindex_backend(self, backend: BackendItem) -> None:
        self._by_role.get(backend.role, {}).pop(backend.name, None)
        for model in backend.models:
            self._by_model.get(model, {}).pop(backend.name, None)


class SnapshotParts:
    """Assembles the parts of a snapshot that arrive on one link."""

    def __init__(self) -> None:
        self._index: int | None = None
        self._items: dict[str, bytes] = {}

    def add(self, part: ViewSnapshot) -> dict[str, bytes] | None:
        """Adds a part; returns all items of the snapshot after its last part."""
        if part.first:
            self._index, self._items = part.index, {}
        if self._index != part.index:
            return None
        self._items.update(part.items)
        if not part.last:
            return None
        items, self._index, self._items = self._items, None, {}
        return items


def _empty_tables() -> dict[str, dict[str, Any]]:
    kinds = (
        "bundle",
        "model",
        "adapter",
        "account",
        "role",
        "route",
        "key",
        "backend",
        "suspect",
        "part",
        "versions",
        "forward",
        "limits",
    )
    return {kind: {} for kind in kinds}


def _split_name(name: str) -> tuple[str, str]:
    kind, _, key = name.partition("/")
    return kind, key
