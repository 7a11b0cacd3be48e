"""Headers of callers' requests and of engines' responses."""

from cassiapitch.header_codec import (
    BackendHead,
    BackendRequestFields,
    CallerHead,
    HeaderCodec,
    Headers,
    PromptPart,
)
from cassiapitch.platform import names

BEARER = b"bearer "
# A longer pause than this is taken for a fault of its sender.
LONGEST_PAUSE_S = 300.0

# What callers send under these names is not passed on: the entry sets them itself.
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


def read_caller(headers: Headers) -> CallerHead:
    """Reads a caller's headers.

    Raises:
        ValueError: A header of the platform is malformed.
    """
    by_name = {name.lower(): value for name, value in headers}
    prompt_tokens, answer_tokens = _token_counts(by_name.get(names.TOKEN_COUNT))
    return CallerHead(
        request_id=_text(by_name.get(names.REQUEST_ID)),
        left_ms=_number(by_name.get(names.DEADLINE_MS)),
        key=_bearer(by_name.get(names.AUTHORIZATION)),
        model=_text(by_name.get(names.MODEL)),
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        has_tokens=names.TOKEN_COUNT in by_name,
        prompt_parts=_prompt_parts(by_name.get(names.PROMPT_PREFIX)),
        last_event_id=_number(by_name.get(names.LAST_EVENT_ID)),
    )


def write_backend(
    headers: Headers, fields: BackendRequestFields
) -> list[tuple[bytes, bytes]]:
    """Returns the headers for an engine, from the caller's headers."""
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
        request_id=_text(by_name.get(names.REQUEST_ID)),
        is_not_executed=is_misdirected or names.NOT_EXECUTED in by_name,
        is_other_backend=is_misdirected,
        is_signed=names.SERVER_SEAL in by_name,
        idle_timeout_ms=_keep_alive_ms(by_name.get(b"keep-alive")),
        is_leaving=by_name.get(names.SERVER_LEAVING, b"").strip() == b"1",
        pause_ms=_pause_ms(status, by_name.get(names.RETRY_AFTER)),
    )


def write_caller(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer, from an engine's."""
    dropped = names.HOP_BY_HOP | _connection_options(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def refusal_headers(request_id: str | None) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer that the entry gives itself."""
    if request_id is None:
        return []
    return [(b"Request-Id", request_id.encode("latin-1"))]


def _connection_options(headers: Headers) -> set[bytes]:
    """Returns the headers that `Connection` names as concerning one connection."""
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return options


def _text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _number(value: bytes | None) -> int | None:
    if value is None:
        return None
    if not value.isdigit() or len(value) > 15:
        raise ValueError(f"not a whole number: {value[:32]!r}")
    return int(value)


def _bearer(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(BEARER):
        return None
    return value[len(BEARER) :].strip().decode("latin-1")


def _token_counts(value: bytes | None) -> tuple[int, int]:
    if value is None:
        return 0, 0
    prompt_count, _, answer_count = value.partition(b",")
    return _number(prompt_count.strip()) or 0, _number(
        answer_count.strip() or b"0"
    ) or 0


def _prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.decode("latin-1").split(","):
        part_id, _, tokens = item.strip().partition(":")
        parts.append(PromptPart(part_id, int(tokens) if tokens.isdigit() else 0))
    return tuple(parts)


def _pause_ms(status: int, value: bytes | None) -> int:
    """Returns how long an engine that is full wants nothing; seconds with fractions."""
    if status != names.UNAVAILABLE_STATUS or value is None:
        return 0
    try:
        seconds = float(value)
    except ValueError:
        return 0
    return round(seconds * 1_000) if 0 < seconds <= LONGEST_PAUSE_S else 0


def _keep_alive_ms(value: bytes | None) -> int | None:
    for part in (value or b"").split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) * 1_000
    return None


HEADER_CODEC = HeaderCodec(
    read_caller=read_caller,
    write_backend=write_backend,
    read_backend=read_backend,
    write_caller=write_caller,
    refusal_headers=refusal_headers,
    readiness_path=names.READINESS_PATH,
)
