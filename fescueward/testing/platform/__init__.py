"""Stand-in for the platform: an object API with versions, conditional updates and watches.

The protocol is section 5 of docs/design.md. The stand-in keeps its objects in memory.
`POST /control` replaces the faults in force by the `Faults` in its JSON body. `GET /counters`
returns `Counters`. Both calls work in every mode and are not counted.
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
