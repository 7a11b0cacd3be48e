"""The closed list of error kinds and the answer that each one gives a caller."""

import dataclasses
import enum


class RunOutcome(enum.StrEnum):
    """What a refusal says about the request that it refuses."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ErrorKind(enum.StrEnum):
    """Every kind of refusal or failure that a caller can receive."""

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
    CLAIM_RUNNING = "claim_running"
    CLAIM_UNKNOWN = "claim_unknown"
    CLAIM_MISMATCH = "claim_mismatch"
    CLAIMS_FULL = "claims_full"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    SHUTTING_DOWN = "shutting_down"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How one error kind is answered.

    Attributes:
        status: HTTP status code.
        type: The error type of the OpenAI error object.
        outcome: Whether the request is known not to have run.
        retry_after_s: Seconds after which to come back, or None where coming
            back doesn't help. A refusal may carry its own, better value.
    """

    status: int
    type: str
    outcome: RunOutcome
    retry_after_s: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request's final answer when it isn't served.

    Attributes:
        kind: The error kind; `ERROR_RESPONSES` gives status and type.
        message: What went wrong and what the caller can do.
        outcome: Overrides the table where more, or less, is known.
        retry_after_ms: Overrides the table's time to come back.
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

ERROR_RESPONSES: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_JSON: Answer(400, _INVALID, _NOT_RUN),
    ErrorKind.BAD_REQUEST: Answer(400, _INVALID, _NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, _INVALID, _NOT_RUN),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, _INVALID, _NOT_RUN),
    ErrorKind.BODY_TIMEOUT: Answer(408, _INVALID, _NOT_RUN),
    ErrorKind.KEY_MISSING: Answer(401, _AUTHENTICATION, _NOT_RUN),
    ErrorKind.KEY_UNKNOWN: Answer(401, _AUTHENTICATION, _NOT_RUN),
    ErrorKind.KEY_WITHDRAWN: Answer(401, _AUTHENTICATION, _UNKNOWN),
    ErrorKind.KEY_IN_BODY: Answer(400, _INVALID, _NOT_RUN),
    ErrorKind.AUTHORIZATION_UNCONFIRMED: Answer(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.ROUTE_UNKNOWN: Answer(404, _INVALID, _NOT_RUN),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(405, _INVALID, _NOT_RUN),
    ErrorKind.MODEL_UNKNOWN: Answer(404, _INVALID, _NOT_RUN),
    ErrorKind.MODEL_LOADING: Answer(503, _UNAVAILABLE, _NOT_RUN, 5),
    ErrorKind.RATE_EXCEEDED: Answer(429, _RATE, _NOT_RUN, 1),
    ErrorKind.REQUEST_OVER_BURST: Answer(400, _RATE, _NOT_RUN),
    ErrorKind.REQUEST_QUARANTINED: Answer(422, _INVALID, _NOT_RUN, 600),
    ErrorKind.NO_BACKEND_SERVER: Answer(503, _UNAVAILABLE, _NOT_RUN, 2),
    ErrorKind.OVERLOADED: Answer(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.DEADLINE_EXCEEDED: Answer(504, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.BACKEND_SERVER_FAILED: Answer(502, _SERVER, _UNKNOWN),
    ErrorKind.STREAM_LOST: Answer(502, _SERVER, _UNKNOWN),
    ErrorKind.CLAIM_RUNNING: Answer(409, _INVALID, _UNKNOWN, 1),
    ErrorKind.CLAIM_UNKNOWN: Answer(409, _INVALID, _UNKNOWN),
    ErrorKind.CLAIM_MISMATCH: Answer(422, _INVALID, _NOT_RUN),
    ErrorKind.CLAIMS_FULL: Answer(429, _RATE, _NOT_RUN, 60),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, _UNAVAILABLE, _UNKNOWN, 1),
    ErrorKind.SHUTTING_DOWN: Answer(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.NOT_READY: Answer(503, _UNAVAILABLE, _NOT_RUN, 1),
    ErrorKind.INTERNAL: Answer(500, _SERVER, _UNKNOWN),
}
