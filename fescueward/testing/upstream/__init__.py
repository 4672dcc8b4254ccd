"""Stand-in for an upstream: a server with slots, grants, deadlines and a journal.

A message that carries `Fescueward-Request-Id` is a request, whatever its path. Without it,
`PUT /grants`, `POST /cancel/ID`, `GET /health` and `POST /control` are served. The query of a
request names its behaviour:

- `sleep_ms`: time the request takes, instead of the `work_ms` of the switches
- `size`: bytes of the response body, instead of a JSON `UpstreamAnswer`
- `status`: status of the response
- `crash=1`: the process ends halfway through the work
- `truncate=1`: the body is declared longer than it is and the connection is closed
- `slow_body`: ms between the pieces that the body is sent in, of which there are at least ten

A refusal before the run has the header `Fescueward-Refusal`, a run that was ended early the
header `Fescueward-Aborted`. `POST /control` takes some or all fields of `Switches`.
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
