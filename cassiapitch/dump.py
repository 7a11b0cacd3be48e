"""Status and state dump of a control member as JSON documents.

The documents contain no key digests, so that a dump holds nothing that identifies a
caller's key.
"""

import collections
from typing import Any

import msgspec

from cassiapitch import __version__, codec, stream_origins
from cassiapitch.group import ControlGroup
from cassiapitch.hub import Hub
from cassiapitch.leader_tasks import RateGrantService
from cassiapitch.permit_service import PermitService
from cassiapitch.replicated import ReplicatedState


def status_document(
    zone: str, member: ControlGroup, state: ReplicatedState, hub: Hub, now_ms: int
) -> dict[str, Any]:
    """Returns a summary of this member's state for the command `status`."""
    status = member.status()
    return {
        "program": "cassiapitch-control",
        "program_version": __version__,
        "name": status.name,
        "zone": zone,
        "role": str(status.role),
        "term": status.term,
        "leader": status.leader,
        "has_lease": member.has_lease(now_ms),
        "commit_index": status.commit_index,
        "applied_index": status.applied_index,
        "members": [_member_document(item) for item in status.members],
        "bundle": _bundle_document(state),
        "drained_zones": sorted(state.drained_zones),
        "counts": _counts(state),
        "links": hub.describe(),
    }


def dump_document(
    zone: str,
    member: ControlGroup,
    state: ReplicatedState,
    hub: Hub,
    rate_grant_service: RateGrantService,
    permit_service: PermitService,
    admission: dict[str, Any],
    now_ms: int,
) -> dict[str, Any]:
    """Returns the whole state of this member; of keys, only their counts."""
    return {
        **status_document(zone, member, state, hub, now_ms),
        "log_time_ms": state.time_ms,
        "view_index": state.view.index,
        "view_horizon": state.view.oldest_delta_index,
        "view_items": dict(
            collections.Counter(name.split("/", 1)[0] for name in state.view.items)
        ),
        "backend_servers": [
            msgspec.to_builtins(codec.decode(value))
            for name, value in state.view.items.items()
            if name.startswith("backend/")
        ],
        "links_by_zone": dict(hub.count_links()),
        "accepted_versions": [
            {
                "version": record.version,
                "digest": record.digest,
                "author": record.author,
                "index": record.index,
            }
            for record in list(state.records.values())[-100:]
        ],
        "keys_by_account": _keys_by_account(state),
        "claims_by_account": {
            account: count for account, count in state.claims.counts.items() if count
        },
        "suspects": [
            {
                "digest": item.digest,
                "crash_count": len(item.lives),
                "quarantined": item.is_quarantined,
                "until_ms": item.until_ms,
            }
            for item in state.suspects.table.values()
        ],
        "prompt_parts": [
            {
                "digest": digest,
                "crash_count": item.crash_count,
                "refused": item.is_refused,
                "trusted": item.is_trusted,
            }
            for digest, item in state.crash_evidence.items.items()
        ],
        "stream_origins_count": len(state.origins.table),
        "software_versions": {
            name.removeprefix("versions/"): list(item.versions)
            for name, item in stream_origins.view_items(state.origins).items()
        },
        "floors": {
            "term": state.floors.term,
            "sequence": state.floors.sequence,
            "microtokens": dict(state.floors.floors),
            "limits": {
                account: list(limits) for account, limits in state.floors.limits.items()
            },
        },
        "rates": rate_grant_service.describe(),
        "permits": permit_service.describe(),
        "admission": admission,
    }


def _member_document(item: Any) -> dict[str, Any]:
    return {
        "name": item.name,
        "zone": item.zone,
        "ip": item.ip,
        "port": item.port,
        "voter": item.voter,
        "state": "voter" if item.voter else "learner",
    }


def _bundle_document(state: ReplicatedState) -> dict[str, Any] | None:
    if state.bundle is None:
        return None
    record = state.records[state.bundle.version]
    return {
        "version": record.version,
        "digest": record.digest,
        "author": record.author,
        "index": record.index,
    }


def _counts(state: ReplicatedState) -> dict[str, int]:
    items = collections.Counter(name.split("/", 1)[0] for name in state.view.items)
    return {
        "keys_working": items["key"],
        "keys_granted": len(state.keys.granted),
        "keys_withdrawn": len(state.keys.withdrawn),
        "claims": len(state.claims.table),
        "suspects": len(state.suspects.table),
        "backend_servers": items["backend"],
    }


def _keys_by_account(state: ReplicatedState) -> dict[str, int]:
    return dict(
        collections.Counter(item.account for item in state.keys.view_items().values())
    )
