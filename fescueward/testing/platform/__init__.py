"""Stand-in for the platform: an object API with versions, conditional updates and watches.

The protocol is section 5 of docs/design.md. The stand-in keeps its objects in memory.
`POST /control` takes `Faults` as JSON and replaces the ones set before; `GET /counters` returns
`Counters`. Both work in every mode and are not counted.
"""

from .faults import Faults, Mode
from .objects import ObjectEnvelope, WrittenVersion
from .server import MAX_VALUE_BYTES, Counters, PlatformStandIn

__all__ = [
    "MAX_VALUE_BYTES",
    "Counters",
    "Faults",
    "Mode",
    "ObjectEnvelope",
    "PlatformStandIn",
    "WrittenVersion",
]
