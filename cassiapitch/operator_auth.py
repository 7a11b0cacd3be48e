"""Authenticates operators by their bearer tokens."""

import hashlib
import hmac
from collections.abc import Iterable

from cassiapitch.settings import Operator

_SCHEME_PREFIX = "bearer "


def bearer_token(authorization: str | None) -> str | None:
    """Returns the token of an `Authorization` header, or None if it has none."""
    if authorization is None or not authorization.lower().startswith(_SCHEME_PREFIX):
        return None
    return authorization[len(_SCHEME_PREFIX) :].strip() or None


def authenticate(
    operators: Iterable[Operator], authorization: str | None
) -> Operator | None:
    """Returns the operator whose token an `Authorization` header has, or None."""
    token = bearer_token(authorization)
    if token is None:
        return None
    digest = hashlib.sha256(token.encode()).hexdigest()
    authenticated = None
    for operator in operators:
        # Compares with every digest, so that the duration does not depend on the match.
        if hmac.compare_digest(operator.token_sha256, digest):
            authenticated = operator
    return authenticated
