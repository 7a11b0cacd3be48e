"""All error kinds that a caller can receive, and the HTTP response of each."""

import dataclasses
import enum


class RunOutcome(enum.StrEnum):
    """Whether a refused request is known not to have run."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Kinds of refusals and failures that a caller can receive."""

    BAD_JSON = "bad_json"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TIMEOUT = "body_timeout"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    KEY_WITHDRAWN = "key_withdrawn"
    KEY_IN_BODY = "key_in_body"
    AUTHORIZATION_UNCONFIRMED = "authorization_unconfirmed"
    ROUTE_UNKNOWN = "route_unknown"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    MODEL_UNKNOWN = "model_unknown"
    MODEL_LOADING = "model_loading"
    RATE_EXCEEDED = "rate_exceeded"
    REQUEST_OVER_BURST = "request_over_burst"
    REQUEST_QUARANTINED = "request_quarantined"
    NO_BACKEND_SERVER = "no_backend_server"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    BACKEND_SERVER_FAILED = "backend_server_failed"
    STREAM_LOST = "stream_lost"
    STREAM_VERSION_UNKNOWN = "stream_version_unknown"
    OUTSIDE_HOME_REGIONS = "outside_home_regions"
    CLAIM_RUNNING = "claim_running"
    CLAIM_UNKNOWN = "claim_unknown"
    CLAIM_MISMATCH = "claim_mismatch"
    CLAIMS_FULL = "claims_full"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to one error kind.

    Attributes:
        status: HTTP status code.
        type: The `type` of the OpenAI error object.
        outcome: Whether the request is known not to have run.
        retry_after_s: Seconds after which the caller should retry, or None where a
            retry doesn't help. A refusal may override it with a better value.
    """

    status: int
    type: str
    outcome: RunOutcome
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The final response to a request that isn't served.

    Attributes:
        kind: The error kind; `ERROR_RESPONSES` gives status and type.
        message: What went wrong and what the caller can do.
        outcome: Overrides the outcome in `ERROR_RESPONSES` where more or less is known.
        retry_after_ms: Overrides the retry time in `ERROR_RESPONSES`.
    """

    kind: ErrorKind
    message: str
    outcome: RunOutcome | None = None
    retry_after_ms: int | None = None


_NOT_RUN = RunOutcome.NOT_RUN
_UNKNOWN = RunOutcome.UNKNOWN
_INVALID = "invalid_request_error"
_AUTHENTICATION = "authentication_error"
_RATE = "rate_limit_error"
_UNAVAILABLE = "unavailable_error"
_SERVER = "server_error"

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_JSON: ErrorResponse(400, _INVALID, _NOT_RUN),
    ErrorKind.BAD_REQUEST: ErrorResponse(400, _INVALID, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _INVALID, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, _INVALID, _NOT_RUN),
    ErrorKind.BODY_TIMEOUT: ErrorResponse(408, _INVALID, _NOT_RUN),
    ErrorKind.KEY_MISSING: ErrorResponse(401, _AUTHENTICATION, _NOT_RUN),
    ErrorKind.KEY_UNKNOWN: ErrorResponse(401, _AUTHENTICATION, _NOT_RUN),
    ErrorKind.KEY_WITHDRAWN: ErrorResponse(401, _AUTHENTICATION, _UNKNOWN),
    ErrorKind.KEY_IN_BODY: ErrorResponse(400, _INVALID, _NOT_RUN),
    ErrorKind.AUTHORIZATION_UNCONFIRMED: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.ROUTE_UNKNOWN: ErrorResponse(404, _INVALID, _NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, _INVALID, _NOT_RUN),
    ErrorKind.MODEL_UNKNOWN: ErrorResponse(404, _INVALID, _NOT_RUN),
    ErrorKind.MODEL_LOADING: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 5),
    ErrorKind.RATE_EXCEEDED: ErrorResponse(429, _RATE, _NOT_RUN, 1),
    ErrorKind.REQUEST_OVER_BURST: ErrorResponse(400, _RATE, _NOT_RUN),
    ErrorKind.REQUEST_QUARANTINED: ErrorResponse(422, _INVALID, _NOT_RUN, 600),
    ErrorKind.NO_BACKEND_SERVER: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 2),
    ErrorKind.OVERLOADED: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.BACKEND_SERVER_FAILED: ErrorResponse(502, _SERVER, _UNKNOWN),
    ErrorKind.STREAM_LOST: ErrorResponse(502, _SERVER, _UNKNOWN),
    ErrorKind.STREAM_VERSION_UNKNOWN: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN),
    ErrorKind.OUTSIDE_HOME_REGIONS: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN),
    ErrorKind.CLAIM_RUNNING: ErrorResponse(409, _INVALID, _UNKNOWN, 1),
    ErrorKind.CLAIM_UNKNOWN: ErrorResponse(409, _INVALID, _UNKNOWN),
    ErrorKind.CLAIM_MISMATCH: ErrorResponse(422, _INVALID, _NOT_RUN),
    ErrorKind.CLAIMS_FULL: ErrorResponse(429, _RATE, _NOT_RUN, 60),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, _UNAVAILABLE, _UNKNOWN, 1),
    ErrorKind.SHUTTING_DOWN: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.NOT_READY: ErrorResponse(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.INTERNAL: ErrorResponse(500, _SERVER, _UNKNOWN),
}
