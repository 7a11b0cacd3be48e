"""Header names, paths and status codes of the platform."""

# Header names, in lower case for comparisons.
REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
MODEL = b"model"
TOKEN_COUNT = b"token-count"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"resumes"
TENANT = b"tenant"
TARGET_INSTANCE = b"target-instance"
REQUEST_PRIORITY = b"request-priority"
EXPECTED_VERSION = b"expected-version"
NOT_EXECUTED = b"not-executed"
SERVER_SEAL = b"server-seal"
SERVER_LEAVING = b"server-leaving"
SERVER_LIMIT = b"server-limit"
SERVER_BRITTLE = b"server-brittle"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"

# Headers to engines that only this system may set, never a caller.
HOLD = b"hold"
PIN_MS = b"pin-ms"
KV_FETCH = b"kv-fetch"
KV_FROM = b"kv-from"
KV_BACKUP = b"kv-backup"

# Headers that are meant for a single connection and aren't forwarded.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

READINESS_PATH = "/-/readiness"
CONFIG_PATH = "/-/config"
INSTANCES_PATH = "/-/instances/"
EVACUATIONS_PATH = "/-/evacuations/"
ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
STALE_FENCE_STATUS = 412
BUSY_STATUS = 409
