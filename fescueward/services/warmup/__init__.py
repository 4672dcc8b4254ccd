"""Limits on the requests to an upstream that is cold."""

from .service import ColdStartLimit
from .unlimited import NoColdStarts

__all__ = ["ColdStartLimit", "NoColdStarts"]
