"""Stand-in for an upstream: a server with slots, grants, deadlines and a journal.

A message with the header `Fescueward-Request-Id` is a request, whatever its path. Without the
header, the paths `PUT /grants`, `POST /cancel/ID`, `GET /health` and `POST /control` are served.
The query of a request selects its behaviour:

- `sleep_ms`: execution time in ms, instead of `Switches.work_ms`
- `size`: size of the response body in bytes, instead of a JSON `UpstreamAnswer`
- `status`: status of the response
- `crash=1`: the process exits halfway through the execution time
- `truncate=1`: the declared length exceeds the body by one byte and the connection is closed
- `slow_body`: pause in ms between the chunks of the body, which is split into at least ten chunks

The response to a request that is rejected before it runs has the header `Fescueward-Refusal`,
and the response to one that is aborted while it runs has the header `Fescueward-Aborted`. The JSON
body of `POST /control` contains some or all fields of `Switches`.
"""

from .calls import DIGEST_HEADER, REFUSAL_HEADER, Refusal, UpstreamAnswer
from .reports import Health, ReportKind
from .runs import ABORTED_HEADER, Abort
from .server import UpstreamStandIn
from .switches import Switches, UpstreamOptions

__all__ = [
    "ABORTED_HEADER",
    "DIGEST_HEADER",
    "REFUSAL_HEADER",
    "Abort",
    "Health",
    "Refusal",
    "ReportKind",
    "Switches",
    "UpstreamAnswer",
    "UpstreamOptions",
    "UpstreamStandIn",
]
