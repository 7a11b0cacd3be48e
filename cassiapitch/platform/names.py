"""Headers and paths of the platform."""

# Headers, in lower case as they are compared.
REQUEST_ID = b"request-id"
DEADLINE_MS = b"deadline-ms"
MODEL = b"model"
TOKEN_COUNT = b"token-count"
PROMPT_PREFIX = b"prompt-prefix"
LAST_EVENT_ID = b"last-event-id"
TENANT = b"tenant"
TARGET_INSTANCE = b"target-instance"
REQUEST_PRIORITY = b"request-priority"
EXPECTED_VERSION = b"expected-version"
NOT_EXECUTED = b"not-executed"
SERVER_SEAL = b"server-seal"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
AUTHORIZATION = b"authorization"

# Headers by which an engine is told what only the system may decide.
HOLD = b"hold"
PIN_MS = b"pin-ms"
KV_FETCH = b"kv-fetch"
KV_FROM = b"kv-from"
KV_BACKUP = b"kv-backup"

# Headers that concern one connection only.
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
ORDER_PATH = "/-/order"
REPORT_PATH = "/-/report"

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
STALE_FENCE_STATUS = 412
BUSY_STATUS = 409
