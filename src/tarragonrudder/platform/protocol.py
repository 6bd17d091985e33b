"""Header names, paths and store keys of the platform's protocol."""

REQUEST_ID = b"attempt-id"
DEADLINE = b"deadline-ms"
AUTHORIZATION = b"authorization"
TENANT = b"tenant"
EXPECTED_INSTANCE = b"expect-instance"
# Signature that an upstream adds to each response of its own, whatever the status.
SIGNATURE = b"response-seal"
NOT_EXECUTED = b"not-executed"
# Pipeline stages of a path, and the layers that each runs. Despite the header's name,
# it is not a count.
PATH = b"hop-count"
# Address of the stage that caused the first stage to reject a request.
CULPRIT = b"at-server"
# Requests a second that an upstream takes from all nodes together.
LIMIT = b"server-limit"
# "1" in the answers of an upstream that is about to end.
LEAVING = b"server-leaving"
LAST_EVENT_ID = b"last-event-id"
# Number of prompt tokens and maximum number of output tokens of a request.
TOKEN_USAGE = b"token-usage"
LENGTH_HINT = b"length-hint"
PROMPT_PREFIX = b"prompt-prefix"
PRIORITY = b"request-priority"

# What nodes tell each other of a request that one passes on to the other: on the
# request, and on its answer.
HANDOVER = b"router-handover"
RETRY_AFTER = b"retry-after"

# Counts how often the store was restored from an older copy.
STORE_EPOCH = b"store-era"

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
# Keys that the router's nodes write.
ROUTER_PREFIX = "tarragonrudder/"
NODE_PREFIX = "tarragonrudder/nodes/"
PLANNER_KEY = "tarragonrudder/planner"

SETTINGS_VARIABLE = "TARRAGONRUDDER_NODE_FILE"
