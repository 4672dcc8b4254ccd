"""Names on the platform's wire."""

from __future__ import annotations

SETTINGS_VARIABLE = "FESCUEWARD_CONFIG"

REQUEST_ID = "X-Fescueward-Request-Id"
# Milliseconds that the receiver may still take, not a point in time.
TIMEOUT_MS = "X-Fescueward-Timeout-Ms"
# Proof that an upstream made the answer.
RECEIPT = "X-Fescueward-Response-Sig"
# Id of the upstream's start that a request is meant for.
TARGET_INSTANCE = "X-Fescueward-Target-Instance"
NOT_EXECUTED = "X-Fescueward-Not-Executed"
# Service beside which the request began.
CALLER = "X-Fescueward-Caller"
KEY = "X-Fescueward-Shard-Key"
HANDOVER = "X-Fescueward-Handover"

READY_PATH = "/fescueward/ready"
RPC_PATH = "/fescueward/rpc"
HEARTBEAT_CALL = "instances.heartbeat"
LEAVE_CALL = "instances.leave"
GRANT_PATH = "/fescueward/grant"
RELEASE_PATH = "/fescueward/release"
OBJECTS_PATH = "/fescueward/objects"

# Headers that concern one connection only, and those that the system sets itself.
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
