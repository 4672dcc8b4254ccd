"""Evacuation of failure domains on the operator's request."""

from .absent import find_evacuations, find_gate
from .service import EvacuatedDomains

__all__ = ["EvacuatedDomains", "find_evacuations", "find_gate"]
