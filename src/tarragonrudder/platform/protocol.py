"""Headers and paths of the platform's protocol."""

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
TENANT = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
# Signature of an upstream's own answer, whatever its status.
SIGNATURE = b"response-seal"
NOT_EXECUTED = b"not-executed"
# Not a count: the stages of a path, with the layers that each runs.
PATH = b"hop-count"
# Address of the stage that made the first one reject a request.
CULPRIT = b"at-server"
LAST_EVENT_ID = b"last-event-id"
# Prompt tokens and the most output tokens of a request to come.
TOKEN_USAGE = b"token-usage"
LENGTH_HINT = b"length-hint"
PROMPT_PREFIX = b"prompt-prefix"
PRIORITY = b"request-priority"

READY_PATH = "/tarragonrudder/readyz"
REPORT_PATH = "/tarragonrudder/report"
ORDER_PATH = "/tarragonrudder/order"
RANGE_PATH = "/tarragonrudder/kv-range"
WATCH_PATH = "/tarragonrudder/kv-watch"
TRANSACTION_PATH = "/tarragonrudder/kv-txn"
LEASE_GRANT_PATH = "/tarragonrudder/kv-lease"
LEASE_RENEW_PATH = "/tarragonrudder/kv-keep/"
LEASE_END_PATH = "/tarragonrudder/kv-lease-end/"

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"
# Written by the nodes themselves.
ROUTER_PREFIX = "tarragonrudder/"
NODE_PREFIX = "tarragonrudder/nodes/"
PLANNER_KEY = "tarragonrudder/planner"

SETTINGS_VARIABLE = "TARRAGONRUDDER_NODE_FILE"
