"""The replicated state machine of the control group.

Applies the commands of the log by delegating each to the module of its data, and
maintains the view, which is the part of the state that entries receive.
"""

import dataclasses
from typing import Any, Protocol

import msgspec

from cassiapitch import bundle as bundles
from cassiapitch import (
    claims,
    codec,
    commands,
    crash_evidence,
    keys,
    rate_floors,
    stream_origins,
    suspects,
    view,
)
from cassiapitch.exceptions import CodecError, StorageError
from cassiapitch.types import AccountName, ModelName, PartDigest, StreamDigest
from cassiapitch.viewitems import (
    AccountItem,
    AdapterItem,
    BackendItem,
    BackendLimit,
    BundleItem,
    ModelItem,
    RoleItem,
    RouteItem,
)

SNAPSHOT_FORMAT = 1
# Accepted bundle versions that are kept, so that a repeated command gets its first
# result. A repeated command of an older version gets `VersionSuperseded`.
BUNDLE_RECORDS_LIMIT_COUNT = 20_000


class FleetState(Protocol):
    """Interface to the replicated state of backend servers, see `fleet.Fleet`."""

    def apply(self, command: Any, index: int, time_ms: int) -> Any:
        """Applies one of the fleet's commands; the result is a data class."""

    def snapshot(self) -> bytes:
        """Returns the whole state."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state."""

    def view_items(self) -> dict[str, BackendItem]:
        """Returns the view items of backend servers, by item name."""

    def pop_view_changes(self) -> dict[str, BackendItem | None]:
        """Returns and clears the view items that changed; None for removed ones."""

    def set_bundle(self, bundle: bundles.Bundle) -> None:
        """Replaces the bundle in force."""

    def backend_limit(self, name: str, life_id: str) -> BackendLimit | None:
        """Returns the limit on requests to an incarnation, or None if it has none."""

    @property
    def drained_zones(self) -> dict[str, int]:
        """Zones that get no requests, with the log index of the order."""

    def zones(self) -> set[str]:
        """Returns the zones of the backend servers."""


@dataclasses.dataclass(frozen=True, slots=True)
class StateSnapshot:
    """The whole replicated state, as it is written to disk and sent to members."""

    format: int
    index: int
    time_ms: int
    bundle: bundles.Bundle | None
    content: str
    signature_hex: str
    records: tuple[commands.BundleAccepted, ...]
    accounts: tuple[AccountName, ...]
    granted: dict[str, keys.GrantedKey]
    withdrawn: dict[str, keys.WithdrawnKey]
    claims: tuple[claims.Claim, ...]
    releases: tuple[claims.Release, ...]
    suspects: tuple[suspects.Suspect, ...]
    suspect_runs: tuple[suspects.RunClaim, ...]
    floors: rate_floors.Floors
    fleet: bytes
    crashes: tuple[crash_evidence.Crash, ...] = ()
    trusted_parts: dict[PartDigest, int] = dataclasses.field(default_factory=dict)
    refused_parts: dict[PartDigest, int] = dataclasses.field(default_factory=dict)
    origins: dict[StreamDigest, stream_origins.Origin] = dataclasses.field(
        default_factory=dict
    )
    retired_versions: tuple[tuple[str, str, int], ...] = ()


class ReplicatedState:
    """All replicated state; implements `membertypes.StateMachine`."""

    def __init__(self, fleet: FleetState, fleet_commands: tuple[type, ...]) -> None:
        self._fleet = fleet
        self._fleet_commands = fleet_commands
        self.index = 0
        self.time_ms = 0
        self.bundle: bundles.Bundle | None = None
        self.content = ""
        self.signature_hex = ""
        self.records: dict[int, commands.BundleAccepted] = {}
        self.keys = keys.Keys()
        self.claims = claims.Claims()
        self.suspects = suspects.Suspects()
        self.crash_evidence = crash_evidence.CrashEvidence()
        self.origins = stream_origins.StreamOrigins()
        self.floors = rate_floors.Floors(0, 0, {})
        self.view = view.View()

    @property
    def drained_zones(self) -> dict[str, int]:
        """Zones that get no requests, with the log index of the order."""
        return self._fleet.drained_zones

    def zones(self) -> set[str]:
        """Returns the zones of the backend servers."""
        return self._fleet.zones()

    def apply(self, index: int, time_ms: int, command: bytes) -> bytes:
        """Applies one log entry and returns the encoded result."""
        self.index = index
        self.time_ms = time_ms
        changes = suspects.expire(self.suspects, time_ms)
        changes.update(crash_evidence.expire(self.crash_evidence, time_ms))
        changes.update(stream_origins.expire(self.origins, time_ms))
        result, more_changes = self._apply_encoded(command, index, time_ms)
        changes.update(more_changes)
        view.apply_changes(self.view, index, changes)
        return result

    def _apply_encoded(
        self, data: bytes, index: int, time_ms: int
    ) -> tuple[bytes, view.Changes]:
        try:
            command = codec.decode(data)
        except CodecError as error:
            return codec.encode(commands.CommandMalformed(str(error))), {}
        if isinstance(command, commands.CommandBatch):
            return self._apply_batch(command, index, time_ms)
        result, changes = self._apply_command(command, index, time_ms)
        return codec.encode(result), changes

    def _apply_batch(
        self, batch: commands.CommandBatch, index: int, time_ms: int
    ) -> tuple[bytes, view.Changes]:
        results = []
        changes: view.Changes = {}
        for data in batch.commands:
            result, more_changes = self._apply_encoded(data, index, time_ms)
            results.append(result)
            changes.update(more_changes)
        return codec.encode(commands.BatchResult(tuple(results))), changes

    def _apply_command(
        self, command: Any, index: int, time_ms: int
    ) -> tuple[Any, view.Changes]:
        match command:
            case commands.PutBundle():
                return self._put_bundle(command, index)
            case commands.GrantKey():
                return keys.grant(self.keys, command, index)
            case commands.WithdrawKey():
                return keys.withdraw(self.keys, command, index)
            case commands.ClaimKey():
                return claims.claim(self.claims, command, time_ms), {}
            case commands.FinishClaim():
                return claims.finish(self.claims, command, time_ms), {}
            case commands.ReleaseClaim():
                return claims.release(self.claims, command, time_ms), {}
            case commands.ReportCrash():
                return suspects.record_crash(self.suspects, command, time_ms)
            case commands.ClearSuspect():
                return suspects.clear(self.suspects, command)
            case commands.ClaimSuspectRun():
                return suspects.claim_run(self.suspects, command, time_ms)
            case commands.ReleaseSuspectRun():
                return suspects.release_run(self.suspects, command)
            case commands.ReportPartCrash():
                return crash_evidence.record_crash(
                    self.crash_evidence, command, index, time_ms
                )
            case commands.ClearParts():
                return crash_evidence.clear(self.crash_evidence, command, time_ms)
            case commands.RecordOrigins():
                return stream_origins.record(self.origins, command, time_ms)
            case commands.FindOrigin():
                return stream_origins.find(self.origins, command, time_ms)
            case commands.RecordFloors():
                return rate_floors.record(self.floors, command), {}
            case commands.ExpireRecords():
                claims.expire(self.claims, time_ms)
                return commands.Expired(), {}
        if isinstance(command, self._fleet_commands):
            result = self._fleet.apply(command, index, time_ms)
            return result, self._pop_fleet_changes(time_ms)
        reason = f"{type(command).__name__} is not a command"
        return commands.CommandMalformed(reason), {}

    def _pop_fleet_changes(self, time_ms: int) -> view.Changes:
        changes: view.Changes = dict(self._fleet.pop_view_changes())
        changes.update(stream_origins.update_versions(self.origins, changes, time_ms))
        return changes

    def _put_bundle(
        self, command: commands.PutBundle, index: int
    ) -> tuple[Any, view.Changes]:
        new_bundle = command.bundle
        digest = bundles.digest(command.content.encode())
        record = self.records.get(new_bundle.version)
        if record is not None and record.digest == digest:
            return record, {}
        if record is not None:
            conflict = commands.VersionConflict(
                record.version, record.digest, record.author
            )
            return conflict, {}
        if self.bundle is not None and new_bundle.version <= self.bundle.version:
            current_record = self.records[self.bundle.version]
            superseded = commands.VersionSuperseded(
                current_record.version, current_record.digest, current_record.author
            )
            return superseded, {}
        faults = bundles.find_faults(new_bundle) + keys.find_conflicts(
            self.keys, new_bundle
        )
        if faults:
            return commands.BundleRefused(tuple(faults)), {}
        warnings = keys.withdrawn_key_warnings(self.keys, new_bundle)
        accepted = commands.BundleAccepted(
            new_bundle.version, digest, command.author, index, warnings
        )
        return accepted, self._activate_bundle(command, accepted)

    def _activate_bundle(
        self, command: commands.PutBundle, record: commands.BundleAccepted
    ) -> view.Changes:
        items_before = self._items_without_fleet()
        self.bundle = command.bundle
        self.content = command.content
        self.signature_hex = command.signature_hex
        self.records[record.version] = record
        if len(self.records) > BUNDLE_RECORDS_LIMIT_COUNT:
            del self.records[next(iter(self.records))]
        keys.set_bundle(self.keys, command.bundle)
        self._fleet.set_bundle(command.bundle)
        items_after = self._items_without_fleet()
        changes: view.Changes = dict.fromkeys(items_before.keys() - items_after.keys())
        changes.update(items_after)
        changes.update(self._pop_fleet_changes(self.time_ms))
        return changes

    def _items_without_fleet(self) -> dict[str, Any]:
        """Returns the view items except those of the fleet."""
        items: dict[str, Any] = {
            **self.keys.view_items(),
            **self.suspects.view_items(),
            **crash_evidence.view_items(self.crash_evidence),
        }
        if self.bundle is not None:
            items["bundle"] = _bundle_item(self.records[self.bundle.version])
            items.update(_bundle_items(self.bundle))
        return items

    def snapshot(self) -> bytes:
        """Returns the whole state as bytes; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            StateSnapshot(
                SNAPSHOT_FORMAT,
                self.index,
                self.time_ms,
                self.bundle,
                self.content,
                self.signature_hex,
                tuple(self.records.values()),
                tuple(sorted(self.keys.accounts)),
                self.keys.granted,
                self.keys.withdrawn,
                tuple(self.claims.table.values()),
                tuple(self.claims.releases.values()),
                tuple(self.suspects.table.values()),
                tuple(self.suspects.runs.values()),
                self.floors,
                self._fleet.snapshot(),
                tuple(self.crash_evidence.crashes.values()),
                self.crash_evidence.trusted,
                self.crash_evidence.refused,
                self.origins.table,
                tuple((*key, until) for key, until in self.origins.retired.items()),
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the whole state with that of a snapshot.

        Raises:
            StorageError: The snapshot is malformed or has an unknown format.
        """
        try:
            saved = msgspec.msgpack.decode(data, type=StateSnapshot)
        except msgspec.MsgspecError as error:
            raise StorageError(f"snapshot can't be read: {error}") from None
        if saved.format != SNAPSHOT_FORMAT:
            raise StorageError(f"snapshot of unknown format {saved.format}")
        self.index = saved.index
        self.time_ms = saved.time_ms
        self.bundle = saved.bundle
        self.content = saved.content
        self.signature_hex = saved.signature_hex
        self.records = {record.version: record for record in saved.records}
        self.keys = keys.load(
            saved.accounts, saved.bundle, saved.granted, saved.withdrawn
        )
        self.claims = claims.load(saved.claims, saved.releases)
        self.suspects = suspects.load(saved.suspects, saved.suspect_runs)
        self.crash_evidence = crash_evidence.load(
            saved.crashes, saved.trusted_parts, saved.refused_parts
        )
        self.floors = saved.floors
        if saved.bundle is not None:
            self._fleet.set_bundle(saved.bundle)
        self._fleet.restore(saved.fleet)
        self._fleet.pop_view_changes()
        fleet_items = self._fleet.view_items()
        self.origins = stream_origins.load(
            saved.origins, saved.retired_versions, fleet_items
        )
        items = {**self._items_without_fleet(), **fleet_items}
        items.update(stream_origins.view_items(self.origins))
        view.reset(self.view, saved.index, items)

    def has_pending_expiry(self) -> bool:
        """Returns whether there are records that `ExpireRecords` may remove."""
        return bool(
            self.suspects.table
            or self.suspects.runs
            # A member with a full table may propose no command that expires claims.
            or self.claims.table
            or self.claims.releases
            or self.crash_evidence.crashes
            or self.crash_evidence.refused
            or self.origins.table
            or self.origins.retired
        )


def _bundle_item(record: commands.BundleAccepted) -> BundleItem:
    return BundleItem(record.version, record.digest, record.author)


def _bundle_items(bundle: bundles.Bundle) -> dict[str, Any]:
    items: dict[str, Any] = {}
    for model in bundle.models:
        items[f"model/{model.name}"] = ModelItem(
            ModelName(model.name),
            model.role,
            model.memory_mib,
            model.minimum_copies,
            model.context_tokens,
        )
    for adapter in bundle.adapters:
        items[f"adapter/{adapter.name}"] = AdapterItem(
            adapter.name, ModelName(adapter.model), adapter.memory_mib
        )
    for account in bundle.client_accounts:
        items[f"account/{account.name}"] = AccountItem(
            AccountName(account.name),
            account.rate_tokens_per_s,
            account.burst_tokens,
            account.weight,
            account.is_limited,
            account.counts_tokens,
            account.plain_cost_tokens,
            account.priority,
            account.home_regions,
        )
    for role in bundle.roles:
        items[f"role/{role.name}"] = RoleItem(
            role.name,
            role.kind,
            role.fencing,
            role.connections_limit_count,
            role.cache_tokens,
            role.reports_load,
            role.cold_requests_per_s,
        )
    for forward in bundle.forwards:
        items[f"forward/{forward.host}{forward.path_prefix}"] = forward
    if bundle.caller_limits is not None:
        items["limits"] = bundle.caller_limits
    for route in bundle.routes:
        items[f"route/{route.method} {route.path}"] = RouteItem(
            route.path,
            route.method,
            route.role,
            route.idempotent,
            route.open,
            route.timeout_ms,
            route.cost_tokens,
        )
    return items
