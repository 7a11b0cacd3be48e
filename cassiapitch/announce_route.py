"""HTTP route by which backend servers announce themselves."""

import dataclasses
import hashlib
import hmac
from collections.abc import Awaitable, Callable, Mapping
from typing import Annotated, Any

import anyio
import msgspec
from msgspec import Meta

from cassiapitch import announcement_checks, asgi
from cassiapitch.announcements import (
    Announcement,
    LoadedModel,
    SettledOrder,
)
from cassiapitch.operator_auth import bearer_token
from cassiapitch.settings import Address, Name, NaturalInt
from cassiapitch.types import BackendName, LifeId, ModelName

ANNOUNCE_PATH = "/backend/v1/announce"

# Bodies with the longest lists allowed below fit. Reading a larger one would only cost
# the member time.
BODY_LIMIT_BYTES = 256 * 1024
BODY_TIMEOUT_MS = 5_000

# An announcement delivered later could be mistaken for one of a new incarnation; see
# `Coordinator`.
DELIVER_TIMEOUT_MS = 1_000

Text = Annotated[str, Meta(max_length=128)]


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Highest fencing token that an engine has seen."""

    term: NaturalInt = 0
    number: NaturalInt = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AnnouncementBody:
    """Body of an announcement; see `announcements.Announcement` for the fields."""

    name: Name
    life_id: Annotated[str, Meta(min_length=1, max_length=64)]
    role: Text
    zone: Name
    address: Address
    memory_mib: NaturalInt
    max_running_count: NaturalInt
    loaded: Annotated[tuple[LoadedModel, ...], Meta(max_length=512)] = ()
    adapters: Annotated[tuple[Text, ...], Meta(max_length=2_048)] = ()
    settled: Annotated[tuple[SettledOrder, ...], Meta(max_length=512)] = ()
    fence: Fence = Fence()
    running_count: NaturalInt = 0
    waiting_count: NaturalInt = 0
    leaving: bool = False
    cache_events: Annotated[tuple[Text, ...], Meta(max_length=512)] = ()
    sequence: NaturalInt = 0
    started_ms: NaturalInt = 0
    warm_models: Annotated[tuple[ModelName, ...], Meta(max_length=512)] = ()
    disk_models: Annotated[tuple[ModelName, ...], Meta(max_length=512)] = ()
    software_version: Text = ""
    cold_remaining_ms: NaturalInt = 0


def encode(announcement: Announcement) -> bytes:
    """Returns the body for an announcement; used by stand-ins for backend servers."""
    fields: dict[str, Any] = {
        field.name: getattr(announcement, field.name)
        for field in dataclasses.fields(Announcement)
    }
    fields["address"] = Address(fields.pop("ip"), fields.pop("port"))
    fields["fence"] = Fence(fields.pop("fence_term"), fields.pop("fence_number"))
    fields["cache_events"] = fields.pop("cached_prefixes")
    return msgspec.json.encode(AnnouncementBody(**fields))


# What `decode` raises for a body that isn't a usable announcement.
REFUSED_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


def decode(data: bytes) -> Announcement:
    """Decodes and checks the body of an announcement.

    Raises:
        REFUSED_ERRORS: The body isn't an announcement, or not a usable one.
    """
    body = msgspec.json.decode(data, type=AnnouncementBody)
    announcement = Announcement(
        name=BackendName(body.name),
        life_id=LifeId(body.life_id),
        role=body.role,
        zone=body.zone,
        ip=body.address.ip,
        port=body.address.port,
        memory_mib=body.memory_mib,
        max_running_count=body.max_running_count,
        loaded=body.loaded,
        adapters=body.adapters,
        settled=body.settled,
        fence_term=body.fence.term,
        fence_number=body.fence.number,
        running_count=body.running_count,
        waiting_count=body.waiting_count,
        leaving=body.leaving,
        cached_prefixes=body.cache_events,
        sequence=body.sequence,
        started_ms=body.started_ms,
        warm_models=body.warm_models,
        disk_models=body.disk_models,
        software_version=body.software_version,
        cold_remaining_ms=body.cold_remaining_ms,
    )
    return announcement_checks.check(announcement)


def is_authentic(
    role: str, authorization: str | None, credentials: Mapping[str, str]
) -> bool:
    """Tells whether a bearer credential matches a role's credential.

    Args:
        role: The role that the backend server claims.
        authorization: Its `Authorization` header.
        credentials: Maps each role to the SHA-256 digest of its credential.
    """
    token = bearer_token(authorization) or ""
    digest = hashlib.sha256(token.encode("latin-1", "replace")).hexdigest()
    expected = credentials.get(role, "")
    return hmac.compare_digest(expected.encode(), digest.encode())


class AnnounceRoute:
    """ASGI application for `POST /backend/v1/announce`."""

    def __init__(
        self,
        credentials: Callable[[], Mapping[str, str]],
        deliver: Callable[[Announcement], Awaitable[bool]],
    ) -> None:
        """Creates the route.

        Args:
            credentials: Returns the digests of the roles' credentials, for
                instance `Fleet.credentials`.
            deliver: Passes an announcement to the leader; returns whether there
                is a leader.
        """
        self._credentials = credentials
        self._deliver = deliver

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handles one announcement; the status is 202, 400, 401, 413 or 503."""
        body = await asgi.read_body(receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_MS)
        if isinstance(body, asgi.BodyTooLarge):
            await _refuse(send, 413, "body_too_large")
            return
        if not isinstance(body, asgi.Body):
            return
        authorization = asgi.header(scope, b"authorization")
        if bearer_token(authorization) is None:
            await _refuse(send, 401, "credential_mismatch")
            return
        try:
            announcement = decode(body.data)
        except REFUSED_ERRORS:
            await _refuse(send, 400, "bad_announcement")
            return
        if not is_authentic(announcement.role, authorization, self._credentials()):
            await _refuse(send, 401, "credential_mismatch")
        elif await self._deliver_in_time(announcement):
            await asgi.send_json(send, 202, {})
        else:
            await _refuse(send, 503, "no_leader")

    async def _deliver_in_time(self, announcement: Announcement) -> bool:
        with anyio.move_on_after(DELIVER_TIMEOUT_MS / 1_000):
            return await self._deliver(announcement)
        return False


async def _refuse(send: asgi.Send, status: int, code: str) -> None:
    await asgi.send_json(send, status, {"error": {"code": code}})
