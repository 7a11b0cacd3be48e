"""Removes callers' keys from what is forwarded to backend servers."""

import urllib.parse

import msgspec

from cassiapitch.asgi import Headers

# Headers with credentials, hop-by-hop headers, and headers that the entry sets itself.
_DROPPED_HEADERS = frozenset(
    {
        b"authorization",
        b"cookie",
        b"idempotency-key",
        b"proxy-authorization",
        b"host",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"x-request-id",
    }
)


def forwarded_headers(headers: Headers, key: str | None, request_id: str) -> Headers:
    """Returns the headers for a backend server, without those that contain the key."""
    forwarded = [
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED_HEADERS
        and not _contains_key(key, name)
        and not _contains_key(key, value)
    ]
    forwarded.append((b"X-Request-Id", request_id.encode()))
    return forwarded


def forwarded_query(query: bytes, key: str | None) -> str:
    """Returns the query string without the parameters that contain the key."""
    text = query.decode("latin-1")
    forwarded = [
        parameter
        for parameter in text.split("&")
        if not _contains_key(key, parameter.encode("latin-1"))
        and not _contains_key(
            key, urllib.parse.unquote_to_bytes(parameter.replace("+", " "))
        )
    ]
    return "&".join(forwarded)


def body_holds_key(body: bytes, key: str | None, *, json: bool) -> bool:
    """Returns whether a body contains the key's text.

    The same text can be written with escapes in JSON and percent-encoded in form data,
    therefore the decoded text is searched as well.
    """
    if key is None:
        return False
    if _contains_key(key, body):
        return True
    if b"%" in body and _contains_key(key, urllib.parse.unquote_to_bytes(body)):
        return True
    if not json or b"\\" not in body:
        return False
    try:
        unescaped = msgspec.json.encode(msgspec.json.decode(body))
    except (msgspec.MsgspecError, RecursionError, OverflowError):
        return False
    return _contains_key(key, unescaped)


def _contains_key(key: str | None, data: bytes) -> bool:
    if key is None:
        return False
    # Header values are decoded as latin-1, other text as UTF-8.
    return key.encode() in data or key.encode("latin-1", "replace") in data
