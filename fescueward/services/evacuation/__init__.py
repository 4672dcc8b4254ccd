"""Evacuation of failure domains on the operator's request."""

from .absent import NoEvacuations, find_evacuations, find_gate
from .service import EvacuatedDomains

__all__ = ["EvacuatedDomains", "NoEvacuations", "find_evacuations", "find_gate"]
