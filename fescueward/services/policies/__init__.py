"""Placement policies by name; a new policy is registered in `POLICIES`."""

from __future__ import annotations

from collections.abc import Callable

from ...interfaces import PlacementPolicy
from .bounded import BoundedLoadPolicy
from .static import StaticHashPolicy

POLICIES: dict[str, Callable[[], PlacementPolicy]] = {
    "bounded-load": BoundedLoadPolicy,
    "static-hash": StaticHashPolicy,
}

__all__ = ["POLICIES", "BoundedLoadPolicy", "StaticHashPolicy"]
