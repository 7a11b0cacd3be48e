"""Reads and writes the platform's headers of requests and responses."""

import re

import msgspec

from cassiapitch import announcement_checks
from cassiapitch.header_codec import (
    NO_LIMIT,
    BackendHead,
    BackendRequestFields,
    CallerHead,
    HeaderCodec,
    Headers,
    PromptPart,
    StatedLimit,
)
from cassiapitch.platform import heartbeats, names
from cassiapitch.types import LifeId

BEARER = b"bearer "
# A longer pause is considered an error of its sender and ignored.
MAX_PAUSE_S = 300.0
# Longer numbers can't be stored, or can't be meant.
NUMBER_LIMIT_LENGTH = 15
KEEP_ALIVE_LIMIT_LENGTH = 6
# A longer number can't be a rate of requests.
MAX_LIMIT_LENGTH = 16
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")

# Headers of callers that aren't forwarded; the entry alone may set them.
_NOT_FORWARDED = names.HOP_BY_HOP | {
    names.AUTHORIZATION,
    names.DEADLINE_MS,
    names.TENANT,
    names.TARGET_INSTANCE,
    names.LAST_EVENT_ID,
    names.REQUEST_PRIORITY,
    names.EXPECTED_VERSION,
    names.HOLD,
    names.PIN_MS,
    names.KV_FETCH,
    names.KV_FROM,
    names.KV_BACKUP,
}


class _Report(msgspec.Struct):
    """The part of an engine's report on itself that names its incarnation."""

    born: int = 0


def read_caller(headers: Headers) -> CallerHead:
    """Reads a caller's headers.

    Raises:
        ValueError: A header of the platform is malformed.
    """
    by_name = {name.lower(): value for name, value in headers}
    prompt_tokens, answer_tokens = _parse_token_counts(by_name.get(names.TOKEN_COUNT))
    return CallerHead(
        request_id=_decode_text(by_name.get(names.REQUEST_ID)),
        left_ms=_parse_number(by_name.get(names.DEADLINE_MS)),
        key=_parse_bearer(by_name.get(names.AUTHORIZATION)),
        model=_decode_text(by_name.get(names.MODEL)),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        has_tokens=names.TOKEN_COUNT in by_name,
        prompt_parts=_parse_prompt_parts(by_name.get(names.PROMPT_PREFIX)),
        last_event_id=_parse_number(by_name.get(names.LAST_EVENT_ID)),
        resumed_request_id=_decode_text(by_name.get(names.RESUMES)),
    )


def write_backend(
    headers: Headers, fields: BackendRequestFields
) -> list[tuple[bytes, bytes]]:
    """Returns the headers to send to an engine: the caller's and the entry's own."""
    dropped = _NOT_FORWARDED | _connection_options(headers)
    forwarded = [
        (name, value) for name, value in headers if name.lower() not in dropped
    ]
    forwarded.append((b"Deadline-Ms", str(max(0, fields.left_ms)).encode()))
    forwarded.append((b"Target-Instance", fields.backend.encode()))
    if fields.account is not None:
        forwarded.append((b"Tenant", fields.account.encode()))
    if fields.last_event_id is not None:
        forwarded.append((b"Last-Event-Id", str(fields.last_event_id).encode()))
    if fields.priority is not None:
        forwarded.append((b"Request-Priority", str(fields.priority).encode()))
    return forwarded


def read_backend(status: int, headers: Headers) -> BackendHead:
    """Reads the head of an engine's response."""
    by_name = {name.lower(): value for name, value in headers}
    is_misdirected = status == names.MISDIRECTED_STATUS
    return BackendHead(
        request_id=_decode_text(by_name.get(names.REQUEST_ID)),
        is_not_executed=is_misdirected or names.NOT_EXECUTED in by_name,
        is_other_backend=is_misdirected,
        is_signed=names.SERVER_SEAL in by_name,
        idle_timeout_ms=_parse_keep_alive_ms(by_name.get(b"keep-alive")),
        is_leaving=by_name.get(names.SERVER_LEAVING, b"").strip() == b"1",
        pause_ms=_parse_pause_ms(status, by_name.get(names.RETRY_AFTER)),
        limit=_parse_limit(by_name.get(names.SERVER_LIMIT)),
        rejections_per_s=_parse_limit(by_name.get(names.SERVER_BRITTLE)).requests_per_s,
    )


def write_caller(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers to send to a caller, from an engine's response."""
    dropped = names.HOP_BY_HOP | _connection_options(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def refusal_headers(request_id: str | None) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response that the entry itself makes."""
    if request_id is None:
        return []
    return [(b"Request-Id", request_id.encode("latin-1"))]


def identity_headers(backend: str) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a request for an engine's report on itself."""
    return [(b"Host", backend.encode()), (b"Target-Instance", backend.encode())]


def read_identity(backend: str, content: bytes) -> LifeId | None:
    """Returns the incarnation that an engine's report is of."""
    try:
        report = msgspec.json.decode(content, type=_Report)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    is_known = 0 < report.born <= announcement_checks.NUMBER_LIMIT
    return heartbeats.life_id(backend, report.born) if is_known else None


def _connection_options(headers: Headers) -> set[bytes]:
    """Returns the names of the hop-by-hop headers that `Connection` lists."""
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_number(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > NUMBER_LIMIT_LENGTH:
        raise ValueError(f"not a whole number: {value[:32]!r}")
    return int(value)


def _parse_bearer(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def _parse_token_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt_count, _, answer_count = value.partition(b",")
    return _parse_number(prompt_count.strip()) or 0, _parse_number(
        answer_count.strip() or b"0"
    ) or 0


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        part_id, _, tokens = item.strip().partition(":")
        is_number = tokens.isdigit() and len(tokens) <= NUMBER_LIMIT_LENGTH
        parts.append(PromptPart(part_id, int(tokens) if is_number else 0))
    return tuple(parts)


def _parse_pause_ms(status: int, value: bytes | None) -> int:
    """Returns how long a full engine wants no requests, 0 if it states no valid pause.

    The header states seconds, possibly with a fraction.
    """
    if status != names.UNAVAILABLE_STATUS or value is None:
        return 0
    try:
        seconds = float(value)
    except ValueError:
        return 0
    return round(seconds * 1_000) if 0 < seconds <= MAX_PAUSE_S else 0


def _parse_limit(value: bytes | None) -> StatedLimit:
    """Reads the rate of requests that an engine accepts from all entries together."""
    if value is None:
        return NO_LIMIT
    text = value.strip()
    if len(text) > MAX_LIMIT_LENGTH or not _DECIMAL.fullmatch(text):
        return StatedLimit(is_malformed=True)
    return StatedLimit(float(text))


def _parse_keep_alive_ms(value: bytes | None) -> int | None:
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        seconds = seconds.strip()
        if name.lower() != b"timeout" or not seconds.isdigit():
            continue
        if len(seconds) <= KEEP_ALIVE_LIMIT_LENGTH:
            return int(seconds) * 1_000
    return None


HEADER_CODEC = HeaderCodec(
    read_caller=read_caller,
    write_backend=write_backend,
    read_backend=read_backend,
    write_caller=write_caller,
    refusal_headers=refusal_headers,
    readiness_path=names.READINESS_PATH,
    identity_path=names.REPORT_PATH,
    identity_headers=identity_headers,
    read_identity=read_identity,
)
