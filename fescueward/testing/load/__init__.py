"""Load generator: callers that send requests to agents and record each response."""

from .generator import LoadGenerator, LoadPlan
from .keys import KeyDistribution, MovingHotKey, UniformKeys, ZipfKeys
from .paces import ClosedLoop, OpenLoop, Pace
from .records import Record, read_records, write_records
from .summary import Summary, percentile, summarize, unavailable_times

__all__ = [
    "ClosedLoop",
    "KeyDistribution",
    "LoadGenerator",
    "LoadPlan",
    "MovingHotKey",
    "OpenLoop",
    "Pace",
    "Record",
    "Summary",
    "UniformKeys",
    "ZipfKeys",
    "percentile",
    "read_records",
    "summarize",
    "unavailable_times",
    "write_records",
]
