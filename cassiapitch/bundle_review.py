"""Findings about a valid bundle, and its differences from another version.

The checks of `bundle` refuse what can't be applied. What is found here can be applied,
but probably isn't meant: entries that can never match, limits that contradict each
other. Everything is computed from the bundle alone.
"""

import dataclasses
import enum
from collections.abc import Iterable, Iterator
from typing import Any

from cassiapitch import rate_budget
from cassiapitch.bundle import Bundle, ClientAccount, Role
from cassiapitch.forwardroutes import ForwardRoute
from cassiapitch.types import RoleKind

# Findings of one kind beyond this many are counted only.
FINDINGS_PER_KIND_COUNT = 20


class FindingKind(enum.StrEnum):
    """What is wrong with an entry."""

    NEVER_MATCHES = "never_matches"
    UNUSED = "unused"
    CONTRADICTION = "contradiction"
    NOT_NEWER = "not_newer"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One entry that probably isn't meant as it stands.

    Attributes:
        kind: What is wrong with it.
        path: Its JSON path, as in the faults of `bundle.parse`.
        message: What happens because of it.
    """

    kind: FindingKind
    path: str
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One entry that was added, removed or changed.

    Attributes:
        section: Section of the bundle.
        name: What identifies the entry in its section; empty for a single value.
        change: "added", "removed" or "changed".
        fields: Old and new value of each field that changed.
    """

    section: str
    name: str
    change: str
    fields: dict[str, tuple[Any, Any]] = dataclasses.field(default_factory=dict)


def find_findings(bundle: Bundle) -> list[Finding]:
    """Returns what probably isn't meant in a bundle without faults."""
    findings = [
        *_forward_findings(bundle),
        *_role_findings(bundle),
        *_account_findings(bundle),
        *_region_findings(bundle),
        *_load_findings(bundle),
    ]
    return list(_limited(findings))


def _limited(findings: Iterable[Finding]) -> Iterator[Finding]:
    """Yields findings, with a count in place of the last ones of a frequent kind."""
    counts: dict[FindingKind, int] = {}
    for finding in findings:
        counts[finding.kind] = counts.get(finding.kind, 0) + 1
        if counts[finding.kind] <= FINDINGS_PER_KIND_COUNT:
            yield finding
    for kind, count in counts.items():
        if count > FINDINGS_PER_KIND_COUNT:
            more_count = count - FINDINGS_PER_KIND_COUNT
            yield Finding(kind, "$", f"{more_count} more of this kind")


def _forward_findings(bundle: Bundle) -> Iterator[Finding]:
    never, contradiction = FindingKind.NEVER_MATCHES, FindingKind.CONTRADICTION
    for number, route in enumerate(bundle.forwards):
        path = f"$.forwards[{number}]"
        prefix = route.path_prefix
        if not prefix.startswith("/") or not prefix.endswith("/"):
            yield Finding(
                never,
                f"{path}.path_prefix",
                f"{prefix!r} doesn't begin and end with a slash, so no path matches",
            )
        if not route.host or route.host != route.host.lower() or ":" in route.host:
            yield Finding(
                never,
                f"{path}.host",
                f"{route.host!r} is compared with the host of a request without its "
                "port, in lower case",
            )
        for target in route.targets:
            if target.weight == 0:
                yield Finding(
                    never, f"{path}.targets", f"role {target.role!r} has weight 0"
                )
        if route.objective_ms > route.timeout_ms:
            yield Finding(
                contradiction,
                f"{path}.objective_ms",
                f"the timeout of {route.timeout_ms} ms ends a request before its "
                f"objective of {route.objective_ms} ms",
            )
        if route.gap_objective_ms > route.timeout_ms:
            yield Finding(
                contradiction,
                f"{path}.gap_objective_ms",
                f"above the timeout of {route.timeout_ms} ms",
            )
        limit_ms = route.first_token_limit_ms
        if limit_ms is not None and limit_ms < route.objective_ms:
            yield Finding(
                contradiction,
                f"{path}.first_token_limit_ms",
                f"callers leave before the objective of {route.objective_ms} ms",
            )
    limits = bundle.caller_limits
    if limits is None:
        return
    for field in dataclasses.fields(limits):
        if getattr(limits, field.name) == 0:
            yield Finding(
                contradiction, f"$.caller_limits.{field.name}", "0 refuses every caller"
            )


def _role_findings(bundle: Bundle) -> Iterator[Finding]:
    """Yields roles that get no requests, and models that don't fit their engines."""
    targeted = {
        target.role
        for route in bundle.forwards
        for target in route.targets
        if target.weight > 0
    }
    targeted.update(route.role for route in bundle.routes)
    with_models = {model.role for model in bundle.models}
    for number, role in enumerate(bundle.roles):
        path = f"$.roles[{number}]"
        is_engine = role.kind is RoleKind.ENGINE
        if role.name not in targeted and not (is_engine and role.name in with_models):
            kind = FindingKind.UNUSED
            yield Finding(kind, path, f"nothing sends requests to role {role.name!r}")
        if is_engine and role.name in targeted and role.name not in with_models:
            yield Finding(
                FindingKind.NEVER_MATCHES,
                path,
                f"role {role.name!r} has routes but no model",
            )
    roles = {role.name: role for role in bundle.roles}
    for number, model in enumerate(bundle.models):
        if 0 < roles[model.role].cache_tokens < model.context_tokens:
            yield Finding(
                FindingKind.CONTRADICTION,
                f"$.models[{number}].context_tokens",
                f"above the {roles[model.role].cache_tokens} tokens that fit into an "
                f"engine of role {model.role!r}",
            )
    yield from _copies_findings(bundle, roles)


def _copies_findings(bundle: Bundle, roles: dict[str, Role]) -> Iterator[Finding]:
    """Yields models with a load that none of their requests outlasts."""
    longest_ms: dict[str, int] = {}
    for route in bundle.forwards:
        for target in route.targets:
            longest = max(longest_ms.get(target.role, 0), route.timeout_ms)
            longest_ms[target.role] = longest
    for number, model in enumerate(bundle.models):
        times_ms = (model.load_ms, model.warm_load_ms, model.disk_load_ms)
        fastest_ms = min((time_ms for time_ms in times_ms if time_ms), default=0)
        timeout_ms = longest_ms.get(model.role)
        if timeout_ms is not None and timeout_ms < fastest_ms:
            yield Finding(
                FindingKind.CONTRADICTION,
                f"$.models[{number}]",
                f"loads in {fastest_ms} ms, but the longest timeout of the routes to "
                f"role {model.role!r} is {timeout_ms} ms, so requests that wait for "
                "a load are never served",
            )


def _account_findings(bundle: Bundle) -> Iterator[Finding]:
    with_keys = {key.client_account for key in bundle.keys}
    own_cost = max((route.cost_tokens for route in bundle.routes), default=0)
    for number, account in enumerate(bundle.client_accounts):
        path = f"$.client_accounts[{number}]"
        # Keys are also granted one by one, so accounts without a key are usual where
        # the bundle holds none.
        if bundle.keys and account.name not in with_keys:
            yield Finding(
                FindingKind.UNUSED, path, f"no key of account {account.name!r}"
            )
        if not account.is_limited:
            continue
        admissible_tokens = rate_budget.max_admissible_tokens(account)
        plain_cost = account.plain_cost_tokens if account.counts_tokens else 1
        for cost, what in (
            (plain_cost if bundle.forwards else 0, "a request that states no tokens"),
            (own_cost, "a call of a route"),
        ):
            if cost > admissible_tokens:
                yield Finding(
                    FindingKind.CONTRADICTION,
                    f"{path}.burst_tokens",
                    f"{what} costs {cost} tokens, at most {admissible_tokens} can "
                    "ever be admitted",
                )


def _region_findings(bundle: Bundle) -> Iterator[Finding]:
    """Yields accounts and routes without a common home region."""
    restricted = [route for route in bundle.forwards if route.home_regions]
    for number, account in enumerate(bundle.client_accounts):
        if not account.home_regions:
            continue
        outside = [route for route in restricted if _are_apart(account, route)]
        if outside:
            names = ", ".join(route.name for route in outside[:3])
            more = ", ..." if len(outside) > 3 else ""
            yield Finding(
                FindingKind.CONTRADICTION,
                f"$.client_accounts[{number}].home_regions",
                f"no region in common with {len(outside)} routes: {names}{more}",
            )


def _are_apart(account: ClientAccount, route: ForwardRoute) -> bool:
    return not set(account.home_regions) & set(route.home_regions)


def _load_findings(bundle: Bundle) -> Iterator[Finding]:
    store = bundle.store
    longest_ms = max((model.load_ms for model in bundle.models), default=0)
    if not longest_ms:
        return
    reachable_per_s = store.loads_in_flight_count * 1_000 / longest_ms
    # One load in flight more or less is a matter of rounding.
    if reachable_per_s + 1_000 / longest_ms < store.loads_per_s:
        yield Finding(
            FindingKind.CONTRADICTION,
            "$.store.loads_in_flight_count",
            f"{store.loads_in_flight_count} loads of {longest_ms} ms allow "
            f"{reachable_per_s:.1f} loads a second, loads_per_s is "
            f"{store.loads_per_s:g}",
        )


_SECTION_KEYS = {
    "roles": ("name",),
    "models": ("name",),
    "adapters": ("name",),
    "client_accounts": ("name",),
    "keys": ("sha256",),
    "routes": ("method", "path"),
    "forwards": ("host", "path_prefix"),
}


def find_differences(old: Bundle, new: Bundle) -> list[Difference]:
    """Returns what differs in a new version, without the version numbers."""
    differences = []
    for section, key_fields in _SECTION_KEYS.items():
        old_items = _by_key(getattr(old, section), key_fields)
        new_items = _by_key(getattr(new, section), key_fields)
        for key in old_items.keys() - new_items.keys():
            differences.append(Difference(section, key, "removed"))
        for key in new_items.keys() - old_items.keys():
            differences.append(Difference(section, key, "added"))
        for key in old_items.keys() & new_items.keys():
            if fields := _changed_fields(old_items[key], new_items[key]):
                differences.append(Difference(section, key, "changed", fields))
    for section in ("store", "caller_limits"):
        old_value, new_value = getattr(old, section), getattr(new, section)
        if old_value is None or new_value is None:
            if old_value is not new_value:
                change = "added" if old_value is None else "removed"
                differences.append(Difference(section, "", change))
        elif fields := _changed_fields(old_value, new_value):
            differences.append(Difference(section, "", "changed", fields))
    return sorted(differences, key=lambda item: (item.section, item.name))


def find_version_finding(old: Bundle, new: Bundle) -> Finding | None:
    """Returns a finding if the new bundle can't replace the one in force."""
    if new.version > old.version or new == old:
        return None
    return Finding(
        FindingKind.NOT_NEWER,
        "$.version",
        f"version {old.version} is in force with other content; only a higher version "
        "replaces it",
    )


def _by_key(items: Iterable[Any], key_fields: tuple[str, ...]) -> dict[str, Any]:
    return {
        " ".join(getattr(item, name) for name in key_fields): item for item in items
    }


def _changed_fields(old: Any, new: Any) -> dict[str, tuple[Any, Any]]:
    return {
        field.name: (getattr(old, field.name), getattr(new, field.name))
        for field in dataclasses.fields(old)
        if getattr(old, field.name) != getattr(new, field.name)
    }
