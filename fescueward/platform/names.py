"""Names in the platform's protocol: headers, paths and calls."""

from __future__ import annotations

SETTINGS_VARIABLE = "FESCUEWARD_CONFIG"

REQUEST_ID = "X-Fescueward-Request-Id"
# Remaining time of the request in milliseconds; a duration, not a point in time.
TIMEOUT_MS = "X-Fescueward-Timeout-Ms"
# Signature by which an upstream proves that it produced the response.
RECEIPT = "X-Fescueward-Response-Sig"
# Instance id of the upstream start to which a request is addressed.
TARGET_INSTANCE = "X-Fescueward-Target-Instance"
NOT_EXECUTED = "X-Fescueward-Not-Executed"
# Service on whose machine the request originated.
CALLER = "X-Fescueward-Caller"
KEY = "X-Fescueward-Shard-Key"
HANDOVER = "X-Fescueward-Handover"
# Requests per second that the upstream takes from all machines together.
SERVER_LIMIT = "Server-Limit"
# Remaining time in milliseconds for which the upstream is cold, in its health responses.
COLD_MS = "X-Fescueward-Cold-Ms"
# Instance id of the upstream that responds, in its health responses.
INSTANCE = "X-Fescueward-Instance"
# `1` in the responses of an upstream that leaves.
SERVER_LEAVING = "Server-Leaving"
# Running and waiting requests, slots and, from some upstreams, how long work takes at present,
# in percent of the usual time.
LOAD = "X-Fescueward-Load"
# Number of times that the store has been restored from an older copy.
STORE_ERA = "Store-Era"

READY_PATH = "/fescueward/ready"
RPC_PATH = "/fescueward/rpc"
HEARTBEAT_CALL = "instances.heartbeat"
LEAVE_CALL = "instances.leave"
GRANT_PATH = "/fescueward/grant"
RELEASE_PATH = "/fescueward/release"
OBJECTS_PATH = "/fescueward/objects"

# Hop-by-hop headers, and below them the headers that this system sets itself.
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
OWN_HEADERS = frozenset(
    name.lower() for name in (TIMEOUT_MS, TARGET_INSTANCE, CALLER, NOT_EXECUTED)
)
