"""Administration API of a control member: an ASGI application with JSON bodies."""

import dataclasses
from collections.abc import Awaitable, Callable
from typing import Annotated, Any

import anyio.to_thread
import msgspec
from msgspec import Meta

from cassiapitch import asgi, bundle, commands, events, group, operator_auth, signing
from cassiapitch.events import Event
from cassiapitch.exceptions import SettingsError
from cassiapitch.group import Applied, ControlGroup, NoLeader
from cassiapitch.member import ChangeOutcome
from cassiapitch.proposals import Committed, NotAccepted, Uncertain
from cassiapitch.quorum import ChangeRefused
from cassiapitch.replicated import ReplicatedState
from cassiapitch.settings import Address, IpAddressText, Name, Operator, Sha256Hex
from cassiapitch.types import AccountName
from cassiapitch.zone_drains import DrainResult, ZoneDrains

# Twice the limit of a bundle, because escaping its text as a JSON string lengthens it.
BODY_LIMIT_BYTES = 2 * bundle.MAX_CONTENT_BYTES
BODY_TIMEOUT_MS = 15_000
PROPOSE_TIMEOUT_MS = 1_500
ATTEMPTS_COUNT = 3
RETRY_PAUSE_S = 0.2
PREFIX = "/admin/v1"


@dataclasses.dataclass(frozen=True, slots=True)
class BundleBody:
    """Body of a request to roll out a bundle."""

    content: str
    signature_hex: Annotated[str, Meta(max_length=256)]
    operator: Annotated[str, Meta(max_length=128)]


@dataclasses.dataclass(frozen=True, slots=True)
class GrantBody:
    """Body of a request to grant a key to a client account."""

    sha256: Sha256Hex
    client_account: Name


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawBody:
    """Body of a request to withdraw a key."""

    sha256: Sha256Hex


@dataclasses.dataclass(frozen=True, slots=True)
class MemberBody:
    """Body of a request to add a control member."""

    name: Name
    zone: Name
    ip: IpAddressText
    port: Annotated[int, Meta(ge=1, le=65535)]


@dataclasses.dataclass(frozen=True, slots=True)
class MemberNameBody:
    """Body of a request that names a control member."""

    name: Name


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneBody:
    """Body of a request that names an availability zone."""

    zone: Annotated[str, Meta(min_length=1, max_length=256)]


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP response; `code` is logged with `CHANGE_ANSWERED`."""

    status: int
    document: Any
    code: str = "ok"


Route = tuple[type | None, Callable[[Any, Operator], Awaitable[Reply]]]


def error_reply(status: int, code: str, message: str, **fields: Any) -> Reply:
    """Returns an error response; `fields` are added to its `error` object."""
    document = {"error": {"code": code, "message": message, **fields}}
    return Reply(status, document, code)


class AdminApi:
    """The ASGI application of the administration API."""

    def __init__(
        self,
        accepted_operators: tuple[Operator, ...],
        member: ControlGroup,
        state: ReplicatedState,
        zone_drains: ZoneDrains,
        status: Callable[[], Any],
        dump: Callable[[], Any],
        drain: Callable[[], None],
    ) -> None:
        """Creates the application.

        Args:
            accepted_operators: Operators who may use the API and sign bundles.
            member: This control member.
            state: The replicated state.
            zone_drains: Drains zones.
            status: Returns the status document.
            dump: Returns the state dump.
            drain: Starts the graceful shutdown of this process.
        """
        self._operators = accepted_operators
        self._member = member
        self._state = state
        self._zone_drains = zone_drains
        self._status = status
        self._dump = dump
        self._drain = drain
        self._routes: dict[tuple[str, str], Route] = {
            ("POST", "/bundles"): (BundleBody, self._put_bundle),
            ("GET", "/bundle"): (None, self._get_bundle),
            ("POST", "/keys/grant"): (GrantBody, self._grant_key),
            ("POST", "/keys/withdraw"): (WithdrawBody, self._withdraw_key),
            ("POST", "/members/add"): (MemberBody, self._add_member),
            ("POST", "/members/promote"): (MemberNameBody, self._promote_member),
            ("POST", "/members/remove"): (MemberNameBody, self._remove_member),
            ("POST", "/members/transfer"): (MemberNameBody, self._transfer),
            ("POST", "/zones/drain"): (ZoneBody, self._drain_zone),
            ("POST", "/zones/undrain"): (ZoneBody, self._undrain_zone),
            ("POST", "/drain"): (None, self._begin_drain),
            ("GET", "/status"): (None, self._get_status),
            ("GET", "/dump"): (None, self._get_dump),
        }

    async def __call__(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Handles one request."""
        if scope["type"] != "http":
            return
        method, path = scope["method"], scope["path"]
        reply = await self._handle_request(method, path, scope, receive)
        if reply is None:
            return
        if method == "POST":
            events.log(Event.CHANGE_ANSWERED, path=path, code=reply.code)
        headers = [(b"connection", b"close")] if reply.status in (408, 413) else None
        await asgi.send_json(send, reply.status, reply.document, headers)

    async def _handle_request(
        self, method: str, path: str, scope: asgi.Scope, receive: asgi.Receive
    ) -> Reply | None:
        operator = operator_auth.authenticate(
            self._operators, asgi.header(scope, b"authorization")
        )
        if operator is None:
            events.log(Event.ADMIN_REFUSED, path=path[:200])
            return error_reply(401, "unauthorized", "no valid operator token")
        route_path = path.removeprefix(PREFIX) if path.startswith(PREFIX + "/") else ""
        route = self._routes.get((method, route_path))
        if route is None:
            if any(known_path == route_path for _, known_path in self._routes):
                return error_reply(405, "method_not_allowed", f"not {method}")
            return error_reply(404, "not_found", "no such path")
        body_class, handler = route
        if body_class is None:
            return await handler(None, operator)
        body = await asgi.read_body(receive, BODY_LIMIT_BYTES, BODY_TIMEOUT_MS)
        match body:
            case asgi.CallerDisconnected():
                return None
            case asgi.BodyTooLarge():
                message = f"the limit is {BODY_LIMIT_BYTES} bytes"
                return error_reply(413, "body_too_large", message)
            case asgi.BodyTimeout():
                return error_reply(408, "body_timeout", "the body came too slowly")
        try:
            document = msgspec.json.decode(body.data, type=body_class)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
            return error_reply(400, "bad_request", str(error))
        return await handler(document, operator)

    async def _propose(self, command: Any) -> Any | Reply:
        """Returns the command's result, or an error response if there is none.

        Commands are idempotent by content, so a command whose outcome is unknown is
        proposed again. The operator need not decide what to do after a lost response.
        """
        is_certainly_unapplied = True
        for _ in range(ATTEMPTS_COUNT):
            outcome = await group.propose(self._member, command, PROPOSE_TIMEOUT_MS)
            if isinstance(outcome, Applied):
                return outcome.result
            is_certainly_unapplied = is_certainly_unapplied and isinstance(
                outcome, NoLeader
            )
            await anyio.sleep(RETRY_PAUSE_S)
        if is_certainly_unapplied:
            return error_reply(503, "no_leader", "not applied; send it again")
        return error_reply(503, "uncertain", "may be applied; send it again")

    async def _put_bundle(self, body: BundleBody, operator: Operator) -> Reply:
        signer = next((o for o in self._operators if o.name == body.operator), None)
        if signer is None:
            return _bundle_refused(["$.operator: no operator of this name"])
        try:
            content = body.content.encode()
        except UnicodeEncodeError:
            return _bundle_refused(["$.content: not valid Unicode"])
        if not signing.is_signed(signer.public_key_hex, content, body.signature_hex):
            fault = f"$.signature_hex: not a signature of {signer.name!r} for content"
            return _bundle_refused([fault])
        try:
            # Parsed in a thread, so that a large file does not delay heartbeats.
            parsed = await anyio.to_thread.run_sync(bundle.parse, body.content)
        except SettingsError as error:
            return _bundle_refused(error.faults)
        result = await self._propose(
            commands.PutBundle(
                parsed, body.content, body.signature_hex, signer.name, operator.name
            )
        )
        return _bundle_reply(result)

    async def _get_bundle(self, body: None, operator: Operator) -> Reply:
        if self._state.bundle is None:
            return error_reply(404, "no_bundle", "no bundle is in force")
        record = self._state.records[self._state.bundle.version]
        return Reply(
            200,
            {
                "version": record.version,
                "digest": record.digest,
                "author": record.author,
                "index": record.index,
                "content": self._state.content,
            },
        )

    async def _grant_key(self, body: GrantBody, operator: Operator) -> Reply:
        account = AccountName(body.client_account)
        command = commands.GrantKey(body.sha256, account, operator.name)
        return _key_reply(await self._propose(command))

    async def _withdraw_key(self, body: WithdrawBody, operator: Operator) -> Reply:
        command = commands.WithdrawKey(body.sha256, operator.name)
        return _key_reply(await self._propose(command))

    async def _add_member(self, body: MemberBody, operator: Operator) -> Reply:
        address = Address(body.ip, body.port)
        _log_membership_change(operator, "add", body.name)
        outcome = await self._member.add_learner(body.name, address, body.zone)
        return _member_reply(outcome)

    async def _promote_member(self, body: MemberNameBody, operator: Operator) -> Reply:
        _log_membership_change(operator, "promote", body.name)
        return _member_reply(await self._member.promote(body.name))

    async def _remove_member(self, body: MemberNameBody, operator: Operator) -> Reply:
        _log_membership_change(operator, "remove", body.name)
        return _member_reply(await self._member.remove(body.name))

    async def _transfer(self, body: MemberNameBody, operator: Operator) -> Reply:
        _log_membership_change(operator, "transfer", body.name)
        return _member_reply(await self._member.transfer_leadership(body.name))

    async def _drain_zone(self, body: ZoneBody, operator: Operator) -> Reply:
        return await self._set_zone_drain(body.zone, True, operator)

    async def _undrain_zone(self, body: ZoneBody, operator: Operator) -> Reply:
        return await self._set_zone_drain(body.zone, False, operator)

    async def _set_zone_drain(
        self, zone: str, is_drained: bool, operator: Operator
    ) -> Reply:
        for _ in range(ATTEMPTS_COUNT):
            result = await self._zone_drains.set_drained(
                zone, is_drained, operator.name
            )
            if result is DrainResult.DONE:
                zones = sorted(self._state.drained_zones)
                return Reply(200, {"zone": zone, "drained_zones": zones})
            if result is DrainResult.UNKNOWN_ZONE:
                return error_reply(404, "zone_unknown", "no such zone")
            await anyio.sleep(RETRY_PAUSE_S)
        return error_reply(503, "uncertain", "may be applied; send it again")

    async def _begin_drain(self, body: None, operator: Operator) -> Reply:
        self._drain()
        return Reply(202, {})

    async def _get_status(self, body: None, operator: Operator) -> Reply:
        return Reply(200, self._status())

    async def _get_dump(self, body: None, operator: Operator) -> Reply:
        events.log(Event.DUMP_SERVED, operator=operator.name)
        return Reply(200, self._dump())


def _bundle_refused(faults: list[str]) -> Reply:
    return error_reply(400, "bundle_refused", "the bundle has faults", faults=faults)


def _bundle_reply(result: Any) -> Reply:
    match result:
        case Reply():
            return result
        case commands.BundleAccepted():
            return Reply(
                200,
                {
                    "version": result.version,
                    "digest": result.digest,
                    "author": result.author,
                    "index": result.index,
                    "warnings": list(result.warnings),
                },
            )
        case commands.BundleRefused():
            return _bundle_refused(list(result.faults))
        case commands.VersionConflict():
            code, message = "version_conflict", "another bundle has this version"
        case commands.VersionSuperseded():
            code, message = "version_superseded", "a newer version is in force"
        case _:
            return _unexpected_result(result)
    return error_reply(
        409,
        code,
        message,
        version=result.version,
        digest=result.digest,
        author=result.author,
    )


def _key_reply(result: Any) -> Reply:
    match result:
        case Reply():
            return result
        case commands.KeyChanged():
            return Reply(200, {"index": result.index})
        case commands.KeyRefused():
            status = 400 if result.code == "account_unknown" else 409
            return error_reply(status, result.code, result.message)
        case _:
            return _unexpected_result(result)


def _member_reply(outcome: ChangeOutcome) -> Reply:
    match outcome:
        case Committed():
            return Reply(200, {"index": outcome.index})
        case NotAccepted():
            message = "not applied; send it to the leader"
            return error_reply(503, "no_leader", message, leader=outcome.leader)
        case Uncertain():
            return error_reply(503, "uncertain", "may be applied; send it again")
        case ChangeRefused():
            return error_reply(409, "change_refused", outcome.reason)


def _unexpected_result(result: Any) -> Reply:
    message = f"the control group answered {type(result).__name__}"
    return error_reply(500, "internal", message)


def _log_membership_change(operator: Operator, change: str, name: str) -> None:
    events.log(
        Event.MEMBERSHIP_CHANGED, operator=operator.name, change=change, member=name
    )
