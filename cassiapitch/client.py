"""HTTP client of the administration API, and the operator file with its settings."""

import dataclasses
import itertools
import json
import pathlib
import time
from collections.abc import Callable, Iterable
from typing import Any

import httpcore

from cassiapitch import config, timers
from cassiapitch.exceptions import SettingsError
from cassiapitch.settings import Address, Name, PositiveInt

ATTEMPT_TIMEOUT_MS = 3_000
RETRY_PAUSE_MS = 200
ANSWER_LIMIT_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class AdminPeer:
    """A process and the address of its administration API."""

    name: Name
    address: Address


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Settings of `cassiapitch`; paths are relative to the folder of the settings file.

    Attributes:
        name: The operator's name, as in the settings of the control members.
        token_path: File with the bearer token.
        key_path: File with the Ed25519 private key; only `sign` and `roll` read it.
        control: Administration addresses of all control members.
        entries: Administration addresses of entries, for drain, dump and status.
        timeout_ms: Time limit of a command, all its attempts included.
    """

    name: Name
    token_path: str
    key_path: str
    control: tuple[AdminPeer, ...]
    entries: tuple[AdminPeer, ...] = ()
    timeout_ms: PositiveInt = 15_000


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """The request was carried out; `document` is the body of the response."""

    document: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The request was certainly not carried out."""

    code: str
    message: str
    document: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have been carried out; `message` says why that is unknown."""

    message: str


Outcome = Done | Refused | Unknown


@dataclasses.dataclass(frozen=True, slots=True)
class _RetryableFailure:
    """A failed attempt; another attempt may succeed."""

    message: str
    may_be_applied: bool


class Client:
    """Sends one request at a time, to the given processes in turn."""

    def __init__(
        self,
        token: str,
        timeout_ms: int,
        *,
        now_ms: Callable[[], int] = timers.now_ms,
        pause: Callable[[float], None] = time.sleep,
    ) -> None:
        """Creates a client.

        Args:
            token: The operator's bearer token.
            timeout_ms: Time limit of a request, all its attempts included.
            now_ms: The clock.
            pause: Sleeps for a number of seconds.
        """
        self._token = token
        self._timeout_ms = timeout_ms
        self._now_ms = now_ms
        self._pause = pause

    def request(
        self,
        peers: Iterable[AdminPeer],
        method: str,
        path: str,
        document: Any = None,
        *,
        rounds_count: int | None = None,
    ) -> Outcome:
        """Sends a request until one process answers it or the time limit is reached.

        Every request of the administration API is safe to repeat, therefore one
        that got no response is sent again.

        Args:
            peers: The processes to send it to, in this order.
            method: HTTP method.
            path: Path of the administration API.
            document: JSON document to send, if any.
            rounds_count: Rounds over all peers; None for as many as the time allows.
        """
        peers = tuple(peers)
        rounds = itertools.count() if rounds_count is None else range(rounds_count)
        deadline_ms = self._now_ms() + self._timeout_ms
        uncertain_reason: str | None = None
        reasons_by_peer: dict[str, str] = {}
        for round_number in rounds:
            if round_number > 0:
                self._pause(RETRY_PAUSE_MS / 1000)
            for peer in peers:
                remaining_ms = deadline_ms - self._now_ms()
                if remaining_ms <= 0:
                    return _unanswered_outcome(uncertain_reason, reasons_by_peer)
                attempt_timeout_ms = min(remaining_ms, ATTEMPT_TIMEOUT_MS)
                result = self._attempt(peer, method, path, document, attempt_timeout_ms)
                if isinstance(result, Done):
                    return result
                if isinstance(result, Refused):
                    return _resolve_refusal(result, uncertain_reason)
                reasons_by_peer[f"{peer.name} ({peer.address})"] = result.message
                if result.may_be_applied:
                    uncertain_reason = f"{peer.name}: {result.message}"
        return _unanswered_outcome(uncertain_reason, reasons_by_peer)

    def _attempt(
        self,
        peer: AdminPeer,
        method: str,
        path: str,
        document: Any,
        attempt_timeout_ms: int,
    ) -> Done | Refused | _RetryableFailure:
        timeout_s = attempt_timeout_ms / 1000
        phase_timeouts = {
            name: timeout_s for name in ("connect", "read", "write", "pool")
        }
        headers = [("authorization", f"Bearer {self._token}")]
        body = b""
        if document is not None:
            body = json.dumps(document).encode()
            headers.append(("content-type", "application/json"))
        headers.append(("content-length", str(len(body))))
        host = peer.address.ip
        host = f"[{host}]" if ":" in host else host
        url = f"http://{host}:{peer.address.port}{path}"
        try:
            with httpcore.ConnectionPool(max_connections=1) as pool:
                response = pool.request(
                    method,
                    url,
                    headers=headers,
                    content=body,
                    extensions={"timeout": phase_timeouts},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as error:
            return _RetryableFailure(f"no connection: {error}", may_be_applied=False)
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            reason = str(error) or type(error).__name__
            return _RetryableFailure(f"no answer: {reason}", may_be_applied=True)
        except httpcore.ProtocolError as error:
            return _RetryableFailure(f"broken answer: {error}", may_be_applied=True)
        return _parse_response(response.status, response.content)


def _parse_response(status: int, content: bytes) -> Done | Refused | _RetryableFailure:
    try:
        document = json.loads(content) if content else {}
    except ValueError:
        document = None
    if 200 <= status < 300:
        if document is None:
            return _RetryableFailure("answer is not JSON", may_be_applied=True)
        return Done(document)
    error = document.get("error") if isinstance(document, dict) else None
    error = error if isinstance(error, dict) else {}
    code = str(error.get("code", f"http_{status}"))
    message = str(error.get("message", f"HTTP status {status}"))
    if code == "no_leader":
        return _RetryableFailure(f"no_leader: {message}", may_be_applied=False)
    if status >= 500:
        return _RetryableFailure(f"{code}: {message}", may_be_applied=True)
    return Refused(code, message, error)


def _resolve_refusal(refusal: Refused, uncertain_reason: str | None) -> Outcome:
    if uncertain_reason is None:
        return refusal
    # An earlier attempt may have been applied and may itself be the reason for
    # this refusal, for instance if it promoted the member already.
    return Unknown(
        f"{refusal.code}: {refusal.message}; an earlier attempt may have been "
        f"applied ({uncertain_reason})"
    )


def _unanswered_outcome(
    uncertain_reason: str | None, reasons_by_peer: dict[str, str]
) -> Outcome:
    if uncertain_reason is not None:
        return Unknown(uncertain_reason)
    reason_list = "; ".join(
        f"{peer}: {reason}" for peer, reason in reasons_by_peer.items()
    )
    return Refused("unavailable", f"no process carried it out: {reason_list}")


def load_settings(path: pathlib.Path) -> ClientSettings:
    """Reads the operator file and resolves the paths in it.

    Raises:
        SettingsError: The file can't be read or has faults.
    """
    settings: ClientSettings = config.load(path, ClientSettings)
    if not settings.control:
        raise SettingsError(["$.control: expected at least one control member"])
    return dataclasses.replace(
        settings,
        token_path=str(path.parent / settings.token_path),
        key_path=str(path.parent / settings.key_path),
    )


def read_token(path: str) -> str:
    """Reads the bearer token.

    Raises:
        SettingsError: The file can't be read or is empty.
    """
    try:
        token = pathlib.Path(path).read_text(encoding="ascii").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"$.token_path: {error}"]) from None
    if not token:
        raise SettingsError([f"$.token_path: {path} is empty"])
    return token
